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
	bucket         *bucket.Bucket
	lastMark       *uint64 // last mark given out by any bucket of the coordinator
	limit          registry.Customer
	share          registry.Share
	queue          []queuedClaim
	batches        map[batchKey]*lentBatch
	order          []*lentBatch // batches by deadline; closed ones are removed at their deadline
	demand         meter
	largest        peak
	burstIncreases []burstIncrease // increases of the share's burst, newest last
	freed          float64         // tokens dropped when the unconfirmed share took effect
	assumed        float64         // tokens that the previous coordinator may have lent in batches of roomLife
	prospects      []prospect
	reported       share.Demand // last sent to the leader
}

type batchKey struct {
	holder string
	id     uint64
}

// lentBatch is a batch of tokens lent to an instance.
type lentBatch struct {
	key      batchKey
	closed   bool
	tokens   float64
	spent    float64
	prefetch float64 // part that no claim asked for
	room     bool
	deadline time.Time
}

// queuedClaim is a claim waiting for tokens.
type queuedClaim struct {
	holder   string
	id       uint64
	tokens   float64
	deadline time.Time
}

// peak is the largest claim within peakRetention.
type peak struct {
	tokens float64
	at     time.Time
}

// burstIncrease records when an increase took effect. The tokens that another data centre gave up for it arrive later.
type burstIncrease struct {
	epoch uint64
	mark  uint64
}

// prospect is the rate and burst that the share can grow to when unused shares of other data centres move here.
type prospect struct {
	rate, burst float64
	until       time.Time // end of validity
}

func (p *peak) add(now time.Time, tokens float64) {
	if tokens >= p.tokens || now.Sub(p.at) > peakRetention {
		*p = peak{tokens: tokens, at: now}
	}
}

func (p *peak) get(now time.Time) float64 {
	if now.Sub(p.at) > peakRetention {
		return 0
	}
	return p.tokens
}

// expire counts overdue batches as spent and drops overdue claims. Instances are not notified: each ends its
// requests and batches by its own clock.
func (a *account) expire(now time.Time, free bool) {
	overdue := 0
	for overdue < len(a.order) && !now.Before(a.order[overdue].deadline) {
		a.expireBatch(now, a.order[overdue], free)
		overdue++
	}
	a.order = slices.Delete(a.order, 0, overdue)
	a.queue = slices.DeleteFunc(a.queue, func(q queuedClaim) bool {
		overdue := now.After(q.deadline)
		if overdue {
			a.demand.add(now, q.tokens)
		}
		return overdue
	})
}

func (a *account) expireBatch(now time.Time, l *lentBatch, free bool) {
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
	*a.lastMark++
	a.bucket.Advance(*a.lastMark)
	return a.bucket.Spend(now, n)
}

// add records a new batch.
func (a *account) add(l *lentBatch) {
	a.batches[l.key] = l
	i, _ := slices.BinarySearchFunc(a.order, l.deadline, func(x *lentBatch, t time.Time) int {
		return cmp.Or(x.deadline.Compare(t), -1)
	})
	a.order = slices.Insert(a.order, i, l)
}

// assume counts as lent what the previous coordinator may have lent in batches of roomLife: the given part of the
// largest burst that this coordinator has seen. endAssumed counts it as spent once those batches have expired.
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

// roomLent returns the tokens lent in batches of customers with room, which RoomShare limits.
func (a *account) roomLent() (tokens float64) {
	tokens = a.assumed
	for _, l := range a.order {
		if l.room && !l.closed {
			tokens += l.tokens
		}
	}
	return tokens
}

// hasRoom reports whether use of n lent tokens may be reported late. That delays the refill, so the bucket must stay
// well filled and the burst must be large compared with the customer's requests.
func (a *account) hasRoom(now time.Time, n float64) bool {
	burst := a.bucket.Burst()
	return len(a.queue) == 0 && a.share.Confirmed && a.bucket.Level(now)-n >= roomLevel*burst &&
		a.largest.get(now)*roomRequests <= burst
}

// tokensAhead returns the tokens of the claims before the position, without those of silent instances.
func (a *account) tokensAhead(position int, silent func(holder string) bool) (tokens float64) {
	for _, q := range a.queue[:position] {
		if !silent(q.holder) {
			tokens += q.tokens
		}
	}
	return tokens
}

// unclaimedTokens returns lent tokens that no claim asked for; instances return them when they stay unused.
func (a *account) unclaimedTokens() (tokens float64) {
	for _, l := range a.order {
		if !l.closed {
			tokens += max(0, l.prefetch-l.spent)
		}
	}
	return tokens
}

// wait estimates the time until n tokens are available after the claims ahead are served; sinceLeader is the time
// since the leader last answered. ok is false when neither the current share nor its prospect can hold n tokens.
func (a *account) wait(now time.Time, n, ahead float64, sinceLeader time.Duration) (d time.Duration, ok bool) {
	if a.share.Epoch == 0 {
		return 0, true // the share has not been received yet
	}
	missing := ahead + n - a.bucket.Level(now) - a.unclaimedTokens()
	best := time.Duration(-1)
	if n <= a.bucket.Burst() {
		best = duration(missing, a.bucket.Rate())
	}
	if p := a.bestProspect(now, sinceLeader); n <= p.burst {
		moved := duration(missing, p.rate)
		if moved >= 0 && (best < 0 || moved+moveTime < best) {
			best = moved + moveTime
		}
	}
	return best, best >= 0
}

// bestProspect returns the largest rate and burst that the leader announced within prospectRetention, or zero when
// it has not answered for leaderTimeout; sinceLeader is the time since its last answer.
// Demand that has just moved here is still reported elsewhere for a while. With the last answer alone, its requests
// would be refused although the customer is within its rate.
func (a *account) bestProspect(now time.Time, sinceLeader time.Duration) (best prospect) {
	if sinceLeader > leaderTimeout {
		return prospect{}
	}
	for _, p := range a.prospects {
		if now.Before(p.until) {
			best.rate, best.burst = max(best.rate, p.rate), max(best.burst, p.burst)
		}
	}
	return best
}

// addProspect records an answer of the leader.
func (a *account) addProspect(now time.Time, p prospect) {
	a.prospects = slices.DeleteFunc(a.prospects, func(old prospect) bool { return !now.Before(old.until) })
	p.until = now.Add(prospectRetention)
	a.prospects = append(a.prospects, p)
}

// assumeProspect assumes that the share can grow to the whole limit while the leader has not answered for the customer.
func (a *account) assumeProspect(now time.Time) {
	known := slices.ContainsFunc(a.prospects, func(p prospect) bool { return now.Before(p.until) })
	if !known {
		a.addProspect(now, prospect{rate: a.limit.Rate, burst: a.limit.Burst})
	}
}

// report returns the demand, and whether it has changed enough to be part of a report that is not full.
func (a *account) report(now time.Time, customer string) (d share.Demand, changed bool) {
	d = share.Demand{
		Customer: customer, Rate: math.Round(a.demand.decay(now)), Largest: math.Ceil(a.largest.get(now)), Epoch: a.share.Epoch,
	}
	for _, q := range a.queue {
		d.Waiting += math.Ceil(q.tokens)
	}
	sent := a.reported
	changed = d.Waiting > 0 || sent.Waiting > 0 || d.Epoch != sent.Epoch || d.Largest > sent.Largest ||
		math.Abs(d.Rate-sent.Rate) > reportThreshold*max(d.Rate, sent.Rate)
	return d, changed
}

// setShare applies a share. When the burst shrinks, the level is reduced in proportion, and the freed tokens can be
// used by another data centre.
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
		a.burstIncreases = append(a.burstIncreases, burstIncrease{s.Epoch, a.spend(now, 0).Mark})
		a.burstIncreases = slices.Delete(a.burstIncreases, 0, max(0, len(a.burstIncreases)-maxBurstIncreases))
	}
}

// acceptGrant adds tokens that another data centre gave up. Like a late credit, they count from the increase that
// they belong to, so no more than the smallest headroom since then is accepted.
func (a *account) acceptGrant(now time.Time, g share.Grant) {
	i := slices.IndexFunc(a.burstIncreases, func(r burstIncrease) bool { return r.epoch == g.Epoch })
	if i < 0 {
		return
	}
	mark := bucket.Grant{Mark: a.burstIncreases[i].mark, Tokens: g.Tokens}
	a.bucket.Credit(now, mark, g.Tokens)
	a.bucket.Close(mark)
	a.burstIncreases = slices.Delete(a.burstIncreases, i, i+1)
}

// duration returns the time in which the rate refills the tokens, or -1 when that exceeds longestWait.
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
func (a *account) claim(now time.Time, holder string, c Claim, sinceLeader time.Duration, silent func(string) bool) (r RefusedClaim, refused bool) {
	a.largest.add(now, c.Tokens)
	a.assumeProspect(now)
	d, ok := a.wait(now, c.Tokens, a.tokensAhead(len(a.queue), silent), sinceLeader)
	if !ok || d > c.Left.duration() && !c.Again || len(a.queue) >= maxQueue {
		a.demand.add(now, c.Tokens)
		return RefusedClaim{ID: c.ID, Retry: millisUp(max(0, d))}, true
	}
	a.queue = append(a.queue, queuedClaim{holder: holder, id: c.ID, tokens: c.Tokens, deadline: now.Add(c.Left.duration())})
	return RefusedClaim{}, false
}

// grant removes the instance's claims that the level covers after all claims ahead of them, and returns their
// identifiers and tokens.
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

// cancel removes claims of the instance from the queue.
func (a *account) cancel(holder string, ids []uint64) {
	if len(ids) == 0 {
		return
	}
	a.queue = slices.DeleteFunc(a.queue, func(q queuedClaim) bool {
		return q.holder == holder && slices.Contains(ids, q.id)
	})
}

// next returns the time until the first queued claim of the instance may be granted, or 0 when it has none.
func (a *account) next(now time.Time, holder string, sinceLeader time.Duration, silent func(string) bool) time.Duration {
	for i, q := range a.queue {
		if q.holder == holder {
			d, _ := a.wait(now, q.tokens, a.tokensAhead(i, silent), sinceLeader)
			return min(max(d, shortestPoll), longestPoll)
		}
	}
	return 0
}
