package admit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// holder is the state machine of an instance, without clocks and goroutines: it composes requests and applies
// replies, and each method is given the time. The caller holds the lock.
type holder struct {
	options         Options
	localBuckets    map[string]*localBucket
	dirty           map[string]*localBucket // local buckets that may have something to report
	asking          map[string]*localBucket // local buckets that may have something to borrow
	epoch           uint64
	incarnation     uint64
	nextID          uint64
	borrowStream    stream[BorrowRequest]
	returnStream    stream[ReturnRequest]
	reports         map[string]*report // of the unanswered ReturnRequest, by customer
	lastBorrow      time.Time          // when the last BorrowRequest was composed
	lastReturn      time.Time          // when the last ReturnRequest was composed
	lastReturnCheck time.Time          // when composeReturn last examined the local buckets
	lastLendNumber  uint32             // of the last LendRequest
	outboxes        map[string]*outbox // by lender
	loans           map[loanKey]*loan  // that this instance lent
	uncountedLoans  []*loan            // not yet counted as spent, oldest first
	lastLoanCleanup time.Time          // when old loans were last deleted
}

// stream is the state of one message method, which has at most one unanswered message.
type stream[M any] struct {
	sequence uint64
	pending  *M
	sentAt   time.Time // first sending of pending
}

func newHolder(o Options) *holder {
	return &holder{
		options: o, localBuckets: map[string]*localBucket{}, dirty: map[string]*localBucket{}, asking: map[string]*localBucket{},
		incarnation: o.Incarnation, reports: map[string]*report{},
		lastLendNumber: firstNumber(o.Incarnation), outboxes: map[string]*outbox{}, loans: map[loanKey]*loan{},
	}
}

func (h *holder) localBucket(now time.Time, customer string) *localBucket {
	lb, ok := h.localBuckets[customer]
	if !ok {
		lb = &localBucket{customer: customer, lastUsed: now}
		h.localBuckets[customer] = lb
	}
	return lb
}

// reserve spends available tokens, or returns a waiter that is queued behind the customer's other requests.
func (h *holder) reserve(now time.Time, customer string, n float64, deadline time.Time) (*spending, *waiter) {
	lb := h.localBucket(now, customer)
	lb.expire(now)
	if len(lb.waiters) == 0 && n <= lb.available {
		r := lb.spend(now, n)
		h.dirty[customer] = lb
		if lb.available < h.target(now, lb)/2 {
			h.asking[customer] = lb
		}
		return r, nil
	}
	h.nextID++
	q := &waiter{id: h.nextID, tokens: n, deadline: deadline, done: make(chan outcome, 1)}
	q.claimed = min(n, max(0, lb.shortage()+n))
	lb.waiters = append(lb.waiters, q)
	h.asking[customer] = lb
	return nil, q
}

// settle ends a reservation and returns the tokens that it did not use.
func (h *holder) settle(now time.Time, r *spending, used float64) {
	lb := h.localBucket(now, r.localBucket.customer) // not r.localBucket if that was deleted in the meantime
	if r.settled {
		return
	}
	r.settled = true
	lb.settle(now, r, max(0, r.left-max(0, used)))
	lb.serveWaiters(now)
	h.dirty[lb.customer] = lb
}

// cancel ends the wait of a request. It reports false when the outcome has already been sent.
func (h *holder) cancel(now time.Time, customer string, q *waiter) bool {
	lb := h.localBucket(now, customer)
	if !lb.remove(q) {
		return false
	}
	lb.serveWaiters(now)
	h.asking[customer] = lb
	h.dirty[customer] = lb
	return true
}

// prefetch returns the tokens that the demand needs within Horizon, or 0 when that is less than a typical request: a
// customer with rare requests borrows for each of them, which costs fewer messages.
func (h *holder) prefetch(now time.Time, lb *localBucket) float64 {
	tokens := lb.demand.decay(now) * h.options.Horizon.Seconds()
	if tokens < lb.meanTokens {
		return 0
	}
	return math.Ceil(tokens)
}

// roomPrefetch returns the tokens that the demand of a customer with room needs within roomHorizon.
func (h *holder) roomPrefetch(now time.Time, lb *localBucket) float64 {
	ahead := math.Ceil(h.prefetch(now, lb) * float64(roomHorizon) / float64(h.options.Horizon))
	if lb.lends(now) {
		ahead = max(ahead, math.Ceil(lb.demand.decay(now)*roomHorizon.Seconds()), lentRequests*math.Ceil(lb.meanTokens))
	}
	return ahead
}

// target returns the tokens that the local bucket should hold.
func (h *holder) target(now time.Time, lb *localBucket) float64 {
	if lb.room || lb.lends(now) {
		return h.roomPrefetch(now, lb)
	}
	return h.prefetch(now, lb)
}

// lends reports whether other instances have asked for tokens of the customer within lendRetention.
func (lb *localBucket) lends(now time.Time) bool {
	return !lb.lastLendRequest.IsZero() && now.Sub(lb.lastLendRequest) < lendRetention
}

// canDelayBorrow reports whether borrowing for the customer can wait, to share a message with other customers.
func (lb *localBucket) canDelayBorrow() bool {
	return lb.room && lb.available >= lb.meanTokens && len(lb.waiters) == 0 && len(lb.cancelled) == 0
}

// composeBorrow returns the unanswered BorrowRequest, or a new one, or nil when there is nothing to borrow.
func (h *holder) composeBorrow(now time.Time) *BorrowRequest {
	if h.borrowStream.pending != nil {
		return h.borrowStream.pending
	}
	req := BorrowRequest{}
	for _, name := range slices.Sorted(maps.Keys(h.asking)) {
		lb := h.asking[name]
		if item, ok := h.borrowItem(now, lb); ok {
			req.Items = append(req.Items, item)
		}
		if len(lb.waiters) == 0 && len(lb.cancelled) == 0 {
			delete(h.asking, name)
		}
		if len(req.Items) == maxItems {
			break
		}
	}
	if len(req.Items) == 0 {
		return nil
	}
	h.borrowStream.sequence++
	req.Header = Header{Epoch: h.epoch, Incarnation: h.incarnation, Sequence: h.borrowStream.sequence}
	if h.returnStream.pending == nil && now.Sub(h.lastReturnCheck) >= h.options.Report {
		req.Return = h.composeReturn(now, false)
	}
	h.borrowStream.pending, h.borrowStream.sentAt, h.lastBorrow = &req, now, now
	return &req
}

func (h *holder) borrowItem(now time.Time, lb *localBucket) (item BorrowItem, ok bool) {
	lb.expire(now)
	item = BorrowItem{Customer: lb.customer, Cancelled: lb.cancelled}
	lb.cancelled = nil
	if short := lb.shortage(); short > shortageTolerance && len(lb.waiters) > 0 {
		h.reclaim(lb, short)
	}
	for _, q := range lb.waiters {
		if q.claimed > 0 && !q.sent {
			q.sent = true
			item.Claims = append(item.Claims, Claim{ID: q.id, Tokens: q.claimed, Left: millis(max(0, q.deadline.Sub(now))), Again: q.answered})
		}
	}
	if len(lb.waiters) == 0 {
		item.Prefetch = math.Ceil(max(0, h.prefetch(now, lb)-lb.available))
		item.Room = math.Ceil(max(0, h.roomPrefetch(now, lb)-lb.available))
	}
	due := len(lb.waiters) > 0 && !now.Before(lb.nextPoll)
	return item, len(item.Claims) > 0 || len(item.Cancelled) > 0 || item.Prefetch > 0 || item.Room > 0 || due
}

// reclaim makes new claims for tokens that were granted but expired or were lost in transit.
func (h *holder) reclaim(lb *localBucket, short float64) {
	for _, q := range lb.waiters {
		if q.claimed == 0 {
			h.nextID++
			q.id, q.sent = h.nextID, false
			q.claimed = min(q.tokens, short)
			short -= q.claimed
		}
		if short <= shortageTolerance {
			return
		}
	}
}

// applyBorrow applies the reply to the unanswered BorrowRequest.
func (h *holder) applyBorrow(now time.Time, req *BorrowRequest, reply BorrowReply) {
	if h.borrowStream.pending != req || reply.Epoch < h.epoch {
		return
	}
	if reply.Reset {
		h.reset(reply.Answer)
		return
	}
	if reply.Return != nil {
		h.applyReturn(req.Return, *reply.Return)
		if h.borrowStream.pending != req {
			return // applying the report has started a new session
		}
	}
	sentAt := h.borrowStream.sentAt
	for _, item := range h.borrowStream.pending.Items {
		if lb, ok := h.localBuckets[item.Customer]; ok {
			lb.nextPoll = now.Add(longestPoll)
			lb.markAnswered(item.Claims)
		}
	}
	h.borrowStream.pending = nil
	for _, answer := range reply.Items {
		h.applyAnswer(now, sentAt, answer)
	}
}

func (lb *localBucket) markAnswered(claims []Claim) {
	for _, c := range claims {
		if q := lb.waiter(c.ID); q != nil {
			q.answered = true
		}
	}
}

func (h *holder) applyAnswer(now, sentAt time.Time, answer BorrowAnswer) {
	lb := h.localBucket(now, answer.Customer)
	lb.expire(now)
	h.dirty[lb.customer] = lb // lets composeReturn delete the local bucket even if it received nothing
	if b := answer.Batch; b != nil {
		life := b.Life.duration()
		if h.options.lateLife {
			sentAt = now
		}
		if deadline := sentAt.Add(life); now.Before(deadline) {
			lb.add(&heldBatch{id: b.ID, remaining: b.Tokens, room: b.Room, deadline: deadline})
			lb.lastUsed, lb.room = now, b.Room
		}
	}
	for _, id := range answer.Granted {
		if q := lb.waiter(id); q != nil {
			q.claimed = 0
		}
	}
	for _, r := range answer.Refused {
		h.refuse(now, lb, r)
	}
	lb.serveWaiters(now)
	if answer.Next > 0 {
		lb.nextPoll = now.Add(answer.Next.duration())
	}
	if len(lb.waiters)+len(lb.cancelled) > 0 {
		h.asking[lb.customer] = lb
	}
}

func (h *holder) refuse(now time.Time, lb *localBucket, r RefusedClaim) {
	q := lb.waiter(r.ID)
	if q == nil {
		return
	}
	q.claimed = 0
	lb.remove(q)
	lb.demand.add(now, q.tokens)
	var retryAt time.Time
	if r.Retry > 0 {
		retryAt = now.Add(r.Retry.duration())
	}
	q.done <- outcome{retryAt: retryAt}
}

// nextBorrow returns the time at which the next BorrowRequest is due, or zero when nothing is to be borrowed.
func (h *holder) nextBorrow(now time.Time) (at time.Time) {
	if h.borrowStream.pending != nil {
		return now
	}
	for _, lb := range h.asking {
		wake := lb.nextPoll
		if lb.canDelayBorrow() {
			wake = h.lastBorrow.Add(roomBorrowDelay)
		} else if len(lb.waiters) == 0 || len(lb.cancelled) > 0 || lb.unsent() {
			return now
		}
		if at.IsZero() || wake.Before(at) {
			at = wake
		}
	}
	return at
}

func (lb *localBucket) unsent() bool {
	return slices.ContainsFunc(lb.waiters, func(q *waiter) bool { return q.claimed > 0 && !q.sent })
}

// reset starts a new session after the coordinator changed or lost its session of this instance. Held batches stay
// usable until their deadlines, but their spending and credits can no longer be reported.
func (h *holder) reset(answer Answer) {
	h.epoch = answer.Epoch
	h.incarnation = max(h.incarnation, answer.Known) + 1
	h.borrowStream = stream[BorrowRequest]{}
	h.returnStream = stream[ReturnRequest]{}
	clear(h.reports)
	for _, lb := range h.localBuckets {
		lb.reset()
		if len(lb.waiters) > 0 {
			h.asking[lb.customer] = lb
		}
	}
}

func (lb *localBucket) reset() {
	for _, b := range lb.batches {
		b.id = 0
	}
	lb.abandon()
	lb.credits = nil
	lb.cancelled = nil
	for _, q := range lb.waiters {
		q.sent, q.answered = false, false
	}
}
