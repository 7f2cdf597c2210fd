package admit

import (
	"cmp"
	"slices"
	"time"
)

// localBucket holds an instance's tokens and waiting requests of one customer.
type localBucket struct {
	customer        string
	batches         []*heldBatch // by deadline
	available       float64      // tokens of all batches that are not spent
	waiters         []*waiter
	cancelled       []uint64
	openReport      *report // collects spending that was not yet reported
	credits         []*report
	demand          meter
	lastUsed        time.Time // last spending
	meanTokens      float64   // mean tokens of a request
	nextPoll        time.Time // when to ask for the state of claims; zero without claims
	room            bool      // the last batch was one of a customer with room
	lastLendRequest time.Time // when another instance last asked for tokens
	noLenderUntil   time.Time // time before which the lender is not asked
}

// heldBatch is a batch that the coordinator has lent to this instance.
type heldBatch struct {
	id        uint64
	remaining float64
	spent     float64
	reported  float64 // part of spent that was put into a ReturnRequest
	loaned    float64 // lent to other instances and not yet counted as spent; not part of remaining
	room      bool
	deadline  time.Time
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       uint64
	tokens   float64
	claimed  float64 // asked for at the coordinator, 0 when its tokens are held
	sent     bool
	deadline time.Time
	answered bool         // the coordinator has answered the claim
	done     chan outcome // buffers one outcome
}

// outcome ends the wait of a request.
type outcome struct {
	spending *spending // nil when refused
	retryAt  time.Time
}

// report collects spending that the coordinator counts as one grant.
type report struct {
	composed     bool    // part of a ReturnRequest; its spending can no longer be restored to the batches
	mark         uint64  // 0 when spending cannot be credited, or not yet
	open         int     // reservations that are not settled
	unused       float64 // to be credited
	creditQueued bool    // part of the local bucket's credits
}

// spending is the state of a reservation.
type spending struct {
	localBucket *localBucket
	report      *report
	left        float64 // reserved
	settled     bool
	parts       []part
	partsBuffer [2]part // initial storage of parts, which avoids a second allocation
}

// part is what a reservation took from one batch.
type part struct {
	batch  *heldBatch
	tokens float64
}

// expire drops batches whose deadline has passed. The coordinator counts them as spent at that time, so the
// unreported spending of the local bucket can no longer be credited under a later mark.
func (lb *localBucket) expire(now time.Time) {
	keep := lb.batches[:0]
	for _, b := range lb.batches {
		if now.Before(b.deadline) {
			keep = append(keep, b)
			continue
		}
		lb.available -= b.remaining
		if b.spent > b.reported {
			lb.abandon()
		}
	}
	clear(lb.batches[len(keep):])
	lb.batches = keep
	if len(keep) == 0 {
		lb.available = 0 // without the rounding error of many sums
	}
}

// abandon closes the open report, so that its spending is not credited later.
func (lb *localBucket) abandon() {
	if lb.openReport != nil {
		lb.openReport.composed = true
		lb.openReport = nil
	}
}

// add inserts a lent batch.
func (lb *localBucket) add(b *heldBatch) {
	i, _ := slices.BinarySearchFunc(lb.batches, b, func(x, y *heldBatch) int { return cmp.Compare(x.deadline.Sub(y.deadline), 0) })
	lb.batches = slices.Insert(lb.batches, i, b)
	lb.available += b.remaining
}

// spend takes n tokens, which are available, from the batches that expire first.
func (lb *localBucket) spend(now time.Time, n float64) *spending {
	r := &spending{localBucket: lb, left: n}
	r.parts = r.partsBuffer[:0]
	lb.recordDemand(now, n)
	old := false
	lb.draw(n, func(b *heldBatch, t float64) {
		b.spent += t
		r.parts = append(r.parts, part{b, t})
		old = old || b.id == 0
	})
	r.report = lb.reportFor(old)
	r.report.open++
	return r
}

// recordDemand adds a request of n tokens to the demand and to the mean size.
func (lb *localBucket) recordDemand(now time.Time, n float64) {
	lb.lastUsed = now
	lb.demand.add(now, n)
	if lb.meanTokens == 0 {
		lb.meanTokens = n
	}
	lb.meanTokens += (n - lb.meanTokens) / typicalWindow
}

// draw takes n tokens, which are available, from the batches that expire first.
func (lb *localBucket) draw(n float64, take func(b *heldBatch, tokens float64)) {
	for _, b := range lb.batches {
		t := min(n, b.remaining)
		if t <= 0 {
			continue
		}
		b.remaining -= t
		lb.available -= t
		take(b, t)
		if n -= t; n <= 0 {
			return
		}
	}
}

// reportFor returns the report that collects new spending. Spending from batches of an earlier session is never
// reported and thus never credited.
func (lb *localBucket) reportFor(old bool) *report {
	if old {
		return &report{composed: true}
	}
	if lb.openReport == nil {
		lb.openReport = &report{}
	}
	return lb.openReport
}

// restore moves n tokens of unreported spending back to their batches. Tokens of an expired batch are lost, because
// the coordinator counts them as spent.
func (lb *localBucket) restore(now time.Time, r *spending, n float64) {
	for i := len(r.parts) - 1; i >= 0 && n > 0; i-- {
		p := &r.parts[i]
		t := min(n, p.tokens)
		n -= t
		p.tokens -= t
		if !now.Before(p.batch.deadline) {
			continue
		}
		p.batch.spent -= t
		p.batch.remaining += t
		lb.available += t
	}
}

// settle returns unused tokens of a reservation.
func (lb *localBucket) settle(now time.Time, r *spending, unused float64) {
	lb.demand.add(now, -unused)
	r.report.open--
	if !r.report.composed {
		lb.restore(now, r, unused)
		return
	}
	r.report.unused += unused
	lb.queueCredit(r.report)
}

// queueCredit queues a report for crediting if it has unused tokens or is fully settled.
func (lb *localBucket) queueCredit(r *report) {
	if r.creditQueued || r.mark == 0 || (r.unused <= 0 && r.open > 0) {
		return
	}
	r.creditQueued = true
	lb.credits = append(lb.credits, r)
}

// shortage returns the tokens that waiting requests need beyond what is held and claimed.
func (lb *localBucket) shortage() float64 {
	short := -lb.available
	for _, q := range lb.waiters {
		short += q.tokens - q.claimed
	}
	return short
}

// serveWaiters ends the wait of queued requests, in order, as long as the available tokens suffice.
func (lb *localBucket) serveWaiters(now time.Time) {
	for len(lb.waiters) > 0 && lb.waiters[0].tokens <= lb.available {
		q := lb.waiters[0]
		lb.waiters = slices.Delete(lb.waiters, 0, 1)
		if q.claimed > 0 && q.sent {
			lb.cancelled = append(lb.cancelled, q.id)
		}
		q.done <- outcome{spending: lb.spend(now, q.tokens)}
	}
}

// remove takes a request out of the queue and reports whether it was there.
func (lb *localBucket) remove(q *waiter) bool {
	i := slices.Index(lb.waiters, q)
	if i < 0 {
		return false
	}
	lb.waiters = slices.Delete(lb.waiters, i, i+1)
	if q.claimed > 0 && q.sent {
		lb.cancelled = append(lb.cancelled, q.id)
	}
	return true
}

// waiter returns the waiting request with the identifier.
func (lb *localBucket) waiter(id uint64) *waiter {
	i := slices.IndexFunc(lb.waiters, func(q *waiter) bool { return q.id == id })
	if i < 0 {
		return nil
	}
	return lb.waiters[i]
}

// empty reports whether the local bucket can be deleted.
func (lb *localBucket) empty(now time.Time) bool {
	return len(lb.batches) == 0 && len(lb.waiters) == 0 && lb.openReport == nil && len(lb.credits) == 0 &&
		len(lb.cancelled) == 0 && now.Sub(lb.lastUsed) > localBucketRetention
}
