package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheevale/internal/limit/bucket"
	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
)

// account is the coordinator's state of one customer.
type account struct {
	bucket    *bucket.Bucket
	marks     *uint64 // last mark of all buckets of the coordinator
	limit     registry.Customer
	share     registry.Share
	queue     []queued
	batches   map[batchKey]*lent
	order     []*lent // of batches, by deadline; closed ones stay until then
	demand    meter
	largest   peak
	raised    []raised // increases of the burst, newest last
	freed     float64  // tokens given up with the unconfirmed share
	assumed   float64  // tokens that the predecessor may have lent in batches of roomLife
	prospects []prospect
	reported  share.Demand // last told to the leader
}

type batchKey struct {
	holder string
	id     uint64
}

// lent is a batch that an instance holds.
type lent struct {
	key      batchKey
	closed   bool
	tokens   float64
	spent    float64
	prefetch float64 // part that no claim asked for
	room     bool
	deadline time.Time
}

// queued is a claim that waits for tokens.
type queued struct {
	holder   string
	id       uint64
	tokens   float64
	deadline time.Time
}

// peak is the largest claim of the last seconds.
type peak struct {
	tokens float64
	at     time.Time
}

// raised marks when an increase took effect, for tokens that follow it.
type raised struct {
	epoch uint64
	mark  uint64
}

// prospect is what the share can become when unused shares of other data centres move here.
type prospect struct {
	rate, burst float64
	until       time.Time // unknown afterwards
}

func (p *peak) add(now time.Time, tokens float64) {
	if tokens >= p.tokens || now.Sub(p.at) > peakMemory {
		*p = peak{tokens: tokens, at: now}
	}
}

func (p *peak) get(now time.Time) float64 {
	if now.Sub(p.at) > peakMemory {
		return 0
	}
	return p.tokens
}

// expire counts overdue batches as spent and forgets overdue claims. It is the caller's part to tell the
// instances: an instance gives up its requests and batches by its own clock.
func (a *account) expire(now time.Time, free bool) {
	overdue := 0
	for overdue < len(a.order) && !now.Before(a.order[overdue].deadline) {
		a.expireBatch(now, a.order[overdue], free)
		overdue++
	}
	a.order = slices.Delete(a.order, 0, overdue)
	a.queue = slices.DeleteFunc(a.queue, func(q queued) bool {
		overdue := now.After(q.deadline)
		if overdue {
			a.demand.add(now, q.tokens)
		}
		return overdue
	})
}

func (a *account) expireBatch(now time.Time, l *lent, free bool) {
	if l.closed {
		return
	}
	delete(a.batches, l.key)
	rest := l.tokens - l.spent
	if free {
		a.bucket.Unhold(now, rest)
		return
	}
	a.bucket.Close(a.spend(now, rest))
	a.demand.add(now, rest)
}

// spend counts lent tokens under a new mark.
func (a *account) spend(now time.Time, n float64) bucket.Grant {
	*a.marks++
	a.bucket.Advance(*a.marks)
	return a.bucket.Spend(now, n)
}

// add notes a new batch.
func (a *account) add(l *lent) {
	a.batches[l.key] = l
	i, _ := slices.BinarySearchFunc(a.order, l.deadline, func(x *lent, t time.Time) int {
		return cmp.Or(x.deadline.Compare(t), -1)
	})
	a.order = slices.Insert(a.order, i, l)
}

// assume counts what the predecessor may have lent in batches of roomLife, at most the part of the largest burst that
// this coordinator has seen. It counts as spent once those batches have expired.
func (a *account) assume(now time.Time, part float64) {
	if more := part*a.share.Burst - a.assumed; more > 0 {
		a.assumed += more
		a.bucket.Assume(now, more)
	}
}

// endAssumed counts the assumed tokens as spent at the time when the last of those batches has expired.
func (a *account) endAssumed(now time.Time) {
	if a.assumed > 0 {
		a.bucket.Close(a.spend(now, a.assumed))
		a.assumed = 0
	}
}

// roomLent sums the batches that count against the RoomShare.
func (a *account) roomLent() (tokens float64) {
	tokens = a.assumed
	for _, l := range a.order {
		if l.room && !l.closed {
			tokens += l.tokens
		}
	}
	return tokens
}

// hasRoom reports whether late reports of n lent tokens cannot keep the bucket from refilling when it matters.
func (a *account) hasRoom(now time.Time, n float64) bool {
	burst := a.bucket.Burst()
	return len(a.queue) == 0 && a.share.Confirmed && a.bucket.Level(now)-n >= roomLevel*burst &&
		a.largest.get(now)*roomRequests <= burst
}

// ahead sums the claims that precede the position, without those of silent instances.
func (a *account) ahead(position int, silent func(holder string) bool) (tokens float64) {
	for _, q := range a.queue[:position] {
		if !silent(q.holder) {
			tokens += q.tokens
		}
	}
	return tokens
}

// spare sums lent tokens that no request asked for; instances return them when they stay idle.
func (a *account) spare() (tokens float64) {
	for _, l := range a.order {
		if !l.closed {
			tokens += max(0, l.prefetch-l.spent)
		}
	}
	return tokens
}

// wait estimates the time until n tokens are there beyond those ahead. The second result is false when
// neither the present share nor its prospect can hold n tokens.
func (a *account) wait(now time.Time, n, ahead float64, led time.Duration) (d time.Duration, ok bool) {
	if a.share.Epoch == 0 {
		return 0, true // the share is not known here yet
	}
	missing := ahead + n - a.bucket.Level(now) - a.spare()
	best := time.Duration(-1)
	if n <= a.bucket.Burst() {
		best = duration(missing, a.bucket.Rate())
	}
	if p := a.outlook(now, led); n <= p.burst {
		moved := duration(missing, p.rate)
		if moved >= 0 && (best < 0 || moved+moveTime < best) {
			best = moved + moveTime
		}
	}
	return best, best >= 0
}

// outlook returns the best that the leader said within outlookMemory, and nothing while it cannot be reached; led is
// the time since its last answer.
// Demand that has just moved here is still reported elsewhere for a while; judged by the last answer alone, its
// requests would be refused although the customer is within its rate.
func (a *account) outlook(now time.Time, led time.Duration) (best prospect) {
	if led > outlookLife {
		return prospect{}
	}
	for _, p := range a.prospects {
		if now.Before(p.until) {
			best.rate, best.burst = max(best.rate, p.rate), max(best.burst, p.burst)
		}
	}
	return best
}

// addOutlook notes an answer of the leader.
func (a *account) addOutlook(now time.Time, p prospect) {
	a.prospects = slices.DeleteFunc(a.prospects, func(old prospect) bool { return !now.Before(old.until) })
	p.until = now.Add(outlookMemory)
	a.prospects = append(a.prospects, p)
}

// expectOutlook assumes the whole limit for a customer that begins to wait, until the leader has answered.
func (a *account) expectOutlook(now time.Time) {
	known := slices.ContainsFunc(a.prospects, func(p prospect) bool { return now.Before(p.until) })
	if !known {
		a.addOutlook(now, prospect{rate: a.limit.Rate, burst: a.limit.Burst})
	}
}

// report returns the demand, and whether the leader should hear of it although it is not asked for a full list.
func (a *account) report(now time.Time, customer string) (d share.Demand, news bool) {
	d = share.Demand{
		Customer: customer, Rate: math.Round(a.demand.decay(now)), Largest: math.Ceil(a.largest.get(now)), Epoch: a.share.Epoch,
	}
	for _, q := range a.queue {
		d.Waiting += math.Ceil(q.tokens)
	}
	sent := a.reported
	news = d.Waiting > 0 || sent.Waiting > 0 || d.Epoch != sent.Epoch || d.Largest > sent.Largest ||
		math.Abs(d.Rate-sent.Rate) > reportChange*max(d.Rate, sent.Rate)
	return d, news
}

// setShare applies a share. With a smaller burst the same part of the level is given up, for another data
// centre to use.
func (a *account) setShare(now time.Time, s registry.Share) {
	before := a.bucket.Level(now)
	old := a.bucket.Burst()
	if s.Epoch != a.share.Epoch {
		a.freed = 0
	}
	a.share = s
	if s.Burst < old {
		a.bucket.Drop(now, before*(1-s.Burst/old))
	}
	a.bucket.SetLimits(now, s.Rate, s.Burst)
	a.freed += before - a.bucket.Level(now)
	if s.Burst > old {
		a.raised = append(a.raised, raised{s.Epoch, a.spend(now, 0).Mark})
		a.raised = slices.Delete(a.raised, 0, max(0, len(a.raised)-maxRaised))
	}
}

// accept takes tokens that another data centre gave up. Like a late credit they count from the increase that
// they belong to, so no more than the smallest headroom since then is accepted.
func (a *account) accept(now time.Time, g share.Grant) {
	i := slices.IndexFunc(a.raised, func(r raised) bool { return r.epoch == g.Epoch })
	if i < 0 {
		return
	}
	mark := bucket.Grant{Mark: a.raised[i].mark, Tokens: g.Tokens}
	a.bucket.Credit(now, mark, g.Tokens)
	a.bucket.Close(mark)
	a.raised = slices.Delete(a.raised, i, i+1)
}

// duration returns the time in which rate yields the tokens, or -1 when it never does.
func duration(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 || tokens/rate > longestWait.Seconds() {
		return -1
	}
	return time.Duration(tokens/rate*float64(time.Second)) + 1
}

// claim queues the claim or returns its refusal.
func (a *account) claim(now time.Time, holder string, c Claim, led time.Duration, silent func(string) bool) (r RefusedClaim, refused bool) {
	a.largest.add(now, c.Tokens)
	a.expectOutlook(now)
	d, ok := a.wait(now, c.Tokens, a.ahead(len(a.queue), silent), led)
	if !ok || d > c.Left.duration() && !c.Again || len(a.queue) >= maxQueue {
		a.demand.add(now, c.Tokens)
		return RefusedClaim{ID: c.ID, Retry: millisUp(max(0, d))}, true
	}
	a.queue = append(a.queue, queued{holder: holder, id: c.ID, tokens: c.Tokens, deadline: now.Add(c.Left.duration())})
	return RefusedClaim{}, false
}

// grant takes the instance's claims that the level covers after all claims ahead of them.
func (a *account) grant(now time.Time, holder string, silent func(string) bool) (ids []uint64, tokens float64) {
	level := a.bucket.Level(now)
	kept := a.queue[:0]
	for _, q := range a.queue {
		if silent(q.holder) {
			kept = append(kept, q)
			continue
		}
		if q.holder == holder && q.tokens <= level {
			ids = append(ids, q.id)
			tokens += q.tokens
		} else {
			kept = append(kept, q)
		}
		level -= q.tokens
	}
	clear(a.queue[len(kept):])
	a.queue = kept
	return ids, tokens
}

// cancel forgets claims of the instance.
func (a *account) cancel(holder string, ids []uint64) {
	if len(ids) == 0 {
		return
	}
	a.queue = slices.DeleteFunc(a.queue, func(q queued) bool {
		return q.holder == holder && slices.Contains(ids, q.id)
	})
}

// next returns the time until the first queued claim of the instance may be granted, 0 without one.
func (a *account) next(now time.Time, holder string, led time.Duration, silent func(string) bool) time.Duration {
	for i, q := range a.queue {
		if q.holder == holder {
			d, _ := a.wait(now, q.tokens, a.ahead(i, silent), led)
			return min(max(d, shortestPoll), longestPoll)
		}
	}
	return 0
}
