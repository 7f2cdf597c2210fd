package admit

import (
	"slices"
	"time"

	"lycheevale/internal/limit/bucket"
	"lycheevale/internal/state/registry"
)

// account is the coordinator's state of one customer.
type account struct {
	bucket   *bucket.Bucket
	limit    registry.Customer
	share    registry.Share
	queue    []queued
	batches  map[batchKey]*lent
	order    []*lent // of batches, by deadline; closed ones stay until then
	demand   meter
	largest  peak
	prospect prospect
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
	a.bucket.Close(a.bucket.Spend(now, rest))
	a.demand.add(now, rest)
}

// add notes a new batch.
func (a *account) add(l *lent) {
	a.batches[l.key] = l
	a.order = append(a.order, l)
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
func (a *account) wait(now time.Time, n, ahead float64) (d time.Duration, ok bool) {
	missing := ahead + n - a.bucket.Level(now) - a.spare()
	best := time.Duration(-1)
	if n <= a.bucket.Burst() {
		best = duration(missing, a.bucket.Rate())
	}
	if now.Before(a.prospect.until) && n <= a.prospect.burst {
		moved := duration(missing, a.prospect.rate)
		if moved >= 0 && (best < 0 || moved+moveTime < best) {
			best = moved + moveTime
		}
	}
	return best, best >= 0
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
func (a *account) claim(now time.Time, holder string, c Claim, silent func(string) bool) (r RefusedClaim, refused bool) {
	a.largest.add(now, c.Tokens)
	d, ok := a.wait(now, c.Tokens, a.ahead(len(a.queue), silent))
	if !ok || d > c.Left || len(a.queue) >= maxQueue {
		a.demand.add(now, c.Tokens)
		return RefusedClaim{ID: c.ID, Retry: max(0, d)}, true
	}
	a.queue = append(a.queue, queued{holder: holder, id: c.ID, tokens: c.Tokens, deadline: now.Add(c.Left)})
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
func (a *account) next(now time.Time, holder string, silent func(string) bool) time.Duration {
	for i, q := range a.queue {
		if q.holder == holder {
			d, _ := a.wait(now, q.tokens, a.ahead(i, silent))
			return min(max(d, shortestPoll), longestPoll)
		}
	}
	return 0
}
