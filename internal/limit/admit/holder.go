package admit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// holder is the instance's side without its goroutines: it takes the time, composes requests and applies
// replies. The caller holds the lock.
type holder struct {
	options     Options
	wallets     map[string]*wallet
	dirty       map[string]*wallet // with something to report
	asking      map[string]*wallet // with something to ask for
	epoch       uint64
	incarnation uint64
	nextID      uint64
	borrow      stream[BorrowRequest]
	giveBack    stream[ReturnRequest]
	reports     map[string]*report // of the unanswered ReturnRequest, by customer
	borrowed    time.Time          // when the last BorrowRequest was composed
	returned    time.Time          // when the last ReturnRequest was composed
	looked      time.Time          // when the wallets were last looked through for one
	number      uint32             // of the last LendRequest
	outboxes    map[string]*outbox // by lender
	loans       map[loanKey]*loan  // that this instance lent
	young       []*loan            // not yet counted, oldest first
	swept       time.Time          // when loans were last forgotten
}

// stream is the state of one method: at most one message is unanswered.
type stream[M any] struct {
	sequence uint64
	pending  *M
	sentAt   time.Time // first sending of pending
}

func newHolder(o Options) *holder {
	return &holder{
		options: o, wallets: map[string]*wallet{}, dirty: map[string]*wallet{}, asking: map[string]*wallet{},
		incarnation: o.Incarnation, reports: map[string]*report{},
		number: firstNumber(o.Incarnation), outboxes: map[string]*outbox{}, loans: map[loanKey]*loan{},
	}
}

func (h *holder) wallet(now time.Time, customer string) *wallet {
	w, ok := h.wallets[customer]
	if !ok {
		w = &wallet{customer: customer, used: now}
		h.wallets[customer] = w
	}
	return w
}

// reserve spends held tokens, or returns a waiter that is queued behind the customer's other requests.
func (h *holder) reserve(now time.Time, customer string, n float64, deadline time.Time) (*spending, *waiter) {
	w := h.wallet(now, customer)
	w.expire(now)
	if len(w.waiters) == 0 && n <= w.available {
		r := w.spend(now, n)
		h.dirty[customer] = w
		if w.available < h.target(now, w)/2 {
			h.asking[customer] = w
		}
		return r, nil
	}
	h.nextID++
	q := &waiter{id: h.nextID, tokens: n, deadline: deadline, done: make(chan outcome, 1)}
	q.claimed = min(n, max(0, w.shortage()+n))
	w.waiters = append(w.waiters, q)
	h.asking[customer] = w
	return nil, q
}

// settle returns what a reservation did not use.
func (h *holder) settle(now time.Time, r *spending, used float64) {
	w := h.wallet(now, r.wallet.customer) // another one when the first was forgotten in between
	if r.settled {
		return
	}
	r.settled = true
	w.settle(now, r, max(0, r.left-max(0, used)))
	w.serve(now)
	h.dirty[w.customer] = w
}

// cancel ends the wait of a request; it is false when the outcome is already there.
func (h *holder) cancel(now time.Time, customer string, q *waiter) bool {
	w := h.wallet(now, customer)
	if !w.remove(q) {
		return false
	}
	w.serve(now)
	h.asking[customer] = w
	h.dirty[customer] = w
	return true
}

// prefetch returns the tokens that the demand of the horizon needs, and none when that is less than a request: a
// customer with rare requests borrows for each of them, which costs fewer messages.
func (h *holder) prefetch(now time.Time, w *wallet) float64 {
	tokens := w.demand.decay(now) * h.options.Horizon.Seconds()
	if tokens < w.typical {
		return 0
	}
	return math.Ceil(tokens)
}

// ahead returns the tokens that the demand of roomHorizon needs, for a customer with room.
func (h *holder) ahead(now time.Time, w *wallet) float64 {
	ahead := math.Ceil(h.prefetch(now, w) * float64(roomHorizon) / float64(h.options.Horizon))
	if w.lends(now) {
		ahead = max(ahead, math.Ceil(w.demand.decay(now)*roomHorizon.Seconds()), lentRequests*math.Ceil(w.typical))
	}
	return ahead
}

// target returns the tokens that should be held.
func (h *holder) target(now time.Time, w *wallet) float64 {
	if w.room || w.lends(now) {
		return h.ahead(now, w)
	}
	return h.prefetch(now, w)
}

// lends reports whether other instances have lately asked for tokens of the customer.
func (w *wallet) lends(now time.Time) bool {
	return !w.lent.IsZero() && now.Sub(w.lent) < lendMemory
}

// lingers reports whether asking for the customer can wait for others to be asked for.
func (w *wallet) lingers() bool {
	return w.room && w.available >= w.typical && len(w.waiters) == 0 && len(w.cancelled) == 0
}

// composeBorrow returns the unanswered request, or a new one; nil when there is nothing to ask.
func (h *holder) composeBorrow(now time.Time) *BorrowRequest {
	if h.borrow.pending != nil {
		return h.borrow.pending
	}
	req := BorrowRequest{}
	for _, name := range slices.Sorted(maps.Keys(h.asking)) {
		w := h.asking[name]
		if item, ok := h.borrowItem(now, w); ok {
			req.Items = append(req.Items, item)
		}
		if len(w.waiters) == 0 && len(w.cancelled) == 0 {
			delete(h.asking, name)
		}
		if len(req.Items) == maxItems {
			break
		}
	}
	if len(req.Items) == 0 {
		return nil
	}
	h.borrow.sequence++
	req.Header = Header{Epoch: h.epoch, Incarnation: h.incarnation, Sequence: h.borrow.sequence}
	if h.giveBack.pending == nil && now.Sub(h.looked) >= h.options.Report {
		req.Return = h.composeReturn(now, false)
	}
	h.borrow.pending, h.borrow.sentAt, h.borrowed = &req, now, now
	return &req
}

func (h *holder) borrowItem(now time.Time, w *wallet) (item BorrowItem, ok bool) {
	w.expire(now)
	item = BorrowItem{Customer: w.customer, Cancelled: w.cancelled}
	w.cancelled = nil
	if short := w.shortage(); short > shortageSlack && len(w.waiters) > 0 {
		h.reclaim(w, short)
	}
	for _, q := range w.waiters {
		if q.claimed > 0 && !q.sent {
			q.sent = true
			item.Claims = append(item.Claims, Claim{ID: q.id, Tokens: q.claimed, Left: millis(max(0, q.deadline.Sub(now))), Again: q.answered})
		}
	}
	if len(w.waiters) == 0 {
		item.Prefetch = math.Ceil(max(0, h.prefetch(now, w)-w.available))
		item.Room = math.Ceil(max(0, h.ahead(now, w)-w.available))
	}
	due := len(w.waiters) > 0 && !now.Before(w.poll)
	return item, len(item.Claims) > 0 || len(item.Cancelled) > 0 || item.Prefetch > 0 || item.Room > 0 || due
}

// reclaim asks again for tokens that expired or were lost on the way.
func (h *holder) reclaim(w *wallet, short float64) {
	for _, q := range w.waiters {
		if q.claimed == 0 {
			h.nextID++
			q.id, q.sent = h.nextID, false
			q.claimed = min(q.tokens, short)
			short -= q.claimed
		}
		if short <= shortageSlack {
			return
		}
	}
}

// applyBorrow applies the reply to the unanswered request.
func (h *holder) applyBorrow(now time.Time, req *BorrowRequest, reply BorrowReply) {
	if h.borrow.pending != req || reply.Epoch < h.epoch {
		return
	}
	if reply.Reset {
		h.reset(reply.Answer)
		return
	}
	if reply.Return != nil {
		h.applyReturn(req.Return, *reply.Return)
		if h.borrow.pending != req {
			return // the report was answered by another session
		}
	}
	sentAt := h.borrow.sentAt
	for _, item := range h.borrow.pending.Items {
		if w, ok := h.wallets[item.Customer]; ok {
			w.poll = now.Add(longestPoll)
			w.markAnswered(item.Claims)
		}
	}
	h.borrow.pending = nil
	for _, answer := range reply.Items {
		h.applyAnswer(now, sentAt, answer)
	}
}

func (w *wallet) markAnswered(claims []Claim) {
	for _, c := range claims {
		if q := w.waiter(c.ID); q != nil {
			q.answered = true
		}
	}
}

func (h *holder) applyAnswer(now, sentAt time.Time, answer BorrowAnswer) {
	w := h.wallet(now, answer.Customer)
	w.expire(now)
	h.dirty[w.customer] = w // also a wallet that gets nothing is forgotten in time
	if b := answer.Batch; b != nil {
		life := b.Life.duration()
		if h.options.lateLife {
			sentAt = now
		}
		if deadline := sentAt.Add(life); now.Before(deadline) {
			w.add(&held{id: b.ID, remaining: b.Tokens, room: b.Room, deadline: deadline})
			w.used, w.room = now, b.Room
		}
	}
	for _, id := range answer.Granted {
		if q := w.waiter(id); q != nil {
			q.claimed = 0
		}
	}
	for _, r := range answer.Refused {
		h.refuse(now, w, r)
	}
	w.serve(now)
	if answer.Next > 0 {
		w.poll = now.Add(answer.Next.duration())
	}
	if len(w.waiters)+len(w.cancelled) > 0 {
		h.asking[w.customer] = w
	}
}

func (h *holder) refuse(now time.Time, w *wallet, r RefusedClaim) {
	q := w.waiter(r.ID)
	if q == nil {
		return
	}
	q.claimed = 0
	w.remove(q)
	w.demand.add(now, q.tokens)
	var retryAt time.Time
	if r.Retry > 0 {
		retryAt = now.Add(r.Retry.duration())
	}
	q.done <- outcome{retryAt: retryAt}
}

// nextBorrow returns when composeBorrow has something to do; zero when nothing is wanted.
func (h *holder) nextBorrow(now time.Time) (at time.Time) {
	if h.borrow.pending != nil {
		return now
	}
	for _, w := range h.asking {
		wake := w.poll
		if w.lingers() {
			wake = h.borrowed.Add(roomLinger)
		} else if len(w.waiters) == 0 || len(w.cancelled) > 0 || w.unsent() {
			return now
		}
		if at.IsZero() || wake.Before(at) {
			at = wake
		}
	}
	return at
}

func (w *wallet) unsent() bool {
	return slices.ContainsFunc(w.waiters, func(q *waiter) bool { return q.claimed > 0 && !q.sent })
}

// reset starts a new session after the coordinator changed or forgot this instance. Held batches stay usable
// until their deadlines; what was spent or could be credited is known to no coordinator any more.
func (h *holder) reset(answer Answer) {
	h.epoch = answer.Epoch
	h.incarnation = max(h.incarnation, answer.Known) + 1
	h.borrow = stream[BorrowRequest]{}
	h.giveBack = stream[ReturnRequest]{}
	clear(h.reports)
	for _, w := range h.wallets {
		w.reset()
		if len(w.waiters) > 0 {
			h.asking[w.customer] = w
		}
	}
}

func (w *wallet) reset() {
	for _, b := range w.batches {
		b.id = 0
	}
	w.abandon()
	w.credits = nil
	w.cancelled = nil
	for _, q := range w.waiters {
		q.sent, q.answered = false, false
	}
}
