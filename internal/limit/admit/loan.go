package admit

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheevale/internal/wire/peer"
)

// With many customers, few instances have enough requests of any one customer to hold tokens for it. One instance of
// the data centre, the customer's lender, then holds tokens for all others. Correctness does not depend on there being
// only one lender: it borrows from the coordinator like every instance, and lends only from its own batches.

const (
	// lendWindow is the longest time from asking the lender to admitting the request; a round trip takes about 2 ms.
	lendWindow = 100 * time.Millisecond
	// lendMargin is added to lendWindow by the lender before it counts a loan as spent. If the tokens were spent after
	// they were counted, the bucket could have refilled in between and the customer would exceed its rate.
	lendMargin = 50 * time.Millisecond
	// lendWait is how long a lender waits for an answer of the coordinator before it replies that it has no tokens.
	lendWait = 20 * time.Millisecond
	// settleWithin is the maximum time for which a settlement waits to be sent along with another request to the same lender.
	settleWithin = 10 * time.Second
	// maxSettled bounds the settlements in one message; four times as many are queued for a lender that does not answer.
	maxSettled = 256
	// lenderPause is how long a lender that had no tokens or did not answer is not asked again.
	lenderPause = 5 * time.Second
	// lentRequests is the minimum number of typical requests that a lender holds tokens for.
	lentRequests = 2
	// lendRetention is how long a lender holds tokens after the last request for them.
	lendRetention = 30 * time.Second
	// loanRetention is the longest run of a request whose unused tokens are credited.
	loanRetention = 10 * time.Minute
)

// loan is the lender's record of the tokens lent for one request.
type loan struct {
	spending *spending
	at       time.Time
	counted  bool
}

type loanKey struct {
	holder string
	number uint32
}

// outbox holds settlements for one lender.
type outbox struct {
	settled    []Settlement
	queuedAt   time.Time // when the first was queued
	avoidUntil time.Time // time before which the lender is not asked
}

// debt is the borrowing side of a loan.
type debt struct {
	lender string
	number uint32
	tokens float64
}

// Lenders returns the lender of each customer by rendezvous hashing with bounded loads: no instance has more than an
// even share of the customers, and few customers move when an instance is lost. Instances with different lists may
// choose different lenders.
func Lenders(customers, instances []string) map[string]string {
	lenders := make(map[string]string, len(customers))
	if len(instances) == 0 {
		return lenders
	}
	maxLoad := (len(customers) + len(instances) - 1) / len(instances)
	loads := make([]int, len(instances))
	seeds := make([]uint64, len(instances))
	for i, name := range instances {
		seeds[i] = xxhash.Sum64String(name)
	}
	for _, customer := range slices.Sorted(slices.Values(customers)) {
		best, bestHash := -1, uint64(0)
		h := xxhash.Sum64String(customer)
		for i, seed := range seeds {
			if sum := mix(h ^ seed); loads[i] < maxLoad && (best < 0 || sum > bestHash) {
				best, bestHash = i, sum
			}
		}
		loads[best]++
		lenders[customer] = instances[best]
	}
	return lenders
}

// mix is the finalizer of SplitMix64; it makes the order of instances independent for each customer.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// firstNumber returns the first LendRequest number of an incarnation. Incarnations come from a clock in nanoseconds, so
// it grows by about a thousand per second, which is more than an instance uses.
func firstNumber(incarnation uint64) uint32 {
	return uint32(incarnation >> 20 & (1<<28 - 1))
}

// askLender composes the request to a lender, or returns nil when this instance should use its own tokens or queue.
func (h *holder) askLender(now time.Time, customer string, n float64, lender string) *LendRequest {
	lb := h.localBucket(now, customer)
	lb.expire(now)
	h.dirty[customer] = lb
	box := h.outbox(lender)
	busy := len(lb.waiters) > 0 || n <= lb.available || h.prefetch(now, lb) > 0
	if busy || now.Before(lb.noLenderUntil) || now.Before(box.avoidUntil) || n > math.MaxUint32 {
		return nil
	}
	return h.composeLend(box, customer, n)
}

func (h *holder) composeLend(box *outbox, customer string, n float64) *LendRequest {
	h.lastLendNumber = (h.lastLendNumber + 1) & (1<<28 - 1)
	list := min(len(box.settled), maxSettled)
	req := &LendRequest{Number: h.lastLendNumber, Tokens: uint32(math.Ceil(n)), Customer: customer, Settled: box.settled[:list:list]}
	box.settled = box.settled[list:]
	return req
}

func (h *holder) outbox(lender string) *outbox {
	box, ok := h.outboxes[lender]
	if !ok {
		box = &outbox{}
		h.outboxes[lender] = box
	}
	return box
}

// applyLend applies the reply. It returns nil when the tokens were not granted or arrived too late.
func (h *holder) applyLend(now, sentAt time.Time, lender string, req *LendRequest, reply LendReply) *debt {
	lb := h.localBucket(now, req.Customer)
	h.dirty[lb.customer] = lb
	if reply.Life <= 0 {
		lb.noLenderUntil = now.Add(lenderPause)
		return nil
	}
	if !now.Before(sentAt.Add(min(reply.Life, lendWindow))) {
		h.queueSettled(now, lender, Settlement{Number: req.Number})
		return nil
	}
	lb.recordDemand(now, float64(req.Tokens))
	return &debt{lender: lender, number: req.Number, tokens: float64(req.Tokens)}
}

// recordLendFailure records that a lender did not answer. It may have lent the tokens, which then count as spent.
func (h *holder) recordLendFailure(now time.Time, lender string, req *LendRequest) {
	box := h.outbox(lender)
	box.avoidUntil = now.Add(lenderPause)
	for _, s := range req.Settled {
		h.queueSettled(now, lender, s)
	}
}

// settleDebt queues the settlement of a debt with the tokens that were used.
func (h *holder) settleDebt(now time.Time, d *debt, used float64) {
	h.queueSettled(now, d.lender, Settlement{Number: d.number, Used: uint32(math.Ceil(min(max(0, used), d.tokens)))})
}

func (h *holder) queueSettled(now time.Time, lender string, s Settlement) {
	box := h.outbox(lender)
	if len(box.settled) == 0 {
		box.queuedAt = now
	}
	if len(box.settled) < 4*maxSettled { // an unsettled loan counts as spent
		box.settled = append(box.settled, s)
	}
}

// flushSettled composes messages with the settlements that have waited for settleWithin, or with all of them.
func (h *holder) flushSettled(now time.Time, all bool) map[string]*LendRequest {
	list := map[string]*LendRequest{}
	for lender, box := range h.outboxes {
		if len(box.settled) > 0 && (all || now.Sub(box.queuedAt) >= settleWithin) {
			list[lender] = h.composeLend(box, "", 0)
			box.queuedAt = now
		}
		if len(box.settled) == 0 && !now.Before(box.avoidUntil) {
			delete(h.outboxes, lender)
		}
	}
	return list
}

// lend answers an instance that asks this one as the lender. If wait is true, the tokens may become available with the
// next answer of the coordinator.
func (h *holder) lend(now time.Time, from string, req LendRequest) (reply LendReply, wait bool) {
	for _, s := range req.Settled {
		h.settleLoan(now, loanKey{from, s.Number}, float64(s.Used))
	}
	if req.Tokens == 0 {
		return reply, false
	}
	h.countMatureLoans(now)
	lb := h.localBucket(now, req.Customer)
	h.dirty[req.Customer] = lb
	lb.lastLendRequest = now
	lb.recordDemand(now, float64(req.Tokens))
	reply.Life = h.tryLend(now, from, req)
	if lb.available < h.target(now, lb)/2 {
		h.asking[req.Customer] = lb
	}
	return reply, reply.Life == 0 && len(lb.waiters) == 0
}

// tryLend lends the tokens if they are available; the life is 0 otherwise.
func (h *holder) tryLend(now time.Time, from string, req LendRequest) (life time.Duration) {
	key, n := loanKey{from, req.Number}, float64(req.Tokens)
	lb := h.localBucket(now, req.Customer)
	lb.expire(now)
	if _, again := h.loans[key]; again || len(lb.waiters) > 0 || n > lb.available {
		return 0
	}
	life = lendWindow
	r := &spending{localBucket: lb, left: n}
	r.parts = r.partsBuffer[:0]
	lb.draw(n, func(b *heldBatch, t float64) {
		b.loaned += t
		life = min(life, b.deadline.Sub(now))
		r.parts = append(r.parts, part{b, t})
	})
	l := &loan{spending: r, at: now}
	h.loans[key] = l
	h.uncountedLoans = append(h.uncountedLoans, l)
	if h.options.earlyLoan {
		h.countLoan(now, l)
	}
	return life
}

// countMatureLoans counts loans whose window has passed as spent, and deletes old loans once a minute.
func (h *holder) countMatureLoans(now time.Time) {
	matured := 0
	for matured < len(h.uncountedLoans) && now.Sub(h.uncountedLoans[matured].at) >= lendWindow+lendMargin {
		h.countLoan(now, h.uncountedLoans[matured])
		matured++
	}
	clear(h.uncountedLoans[:matured])
	h.uncountedLoans = h.uncountedLoans[matured:]
	if now.Sub(h.lastLoanCleanup) < time.Minute {
		return
	}
	h.lastLoanCleanup = now
	for key, l := range h.loans {
		if now.Sub(l.at) > loanRetention {
			delete(h.loans, key)
		}
	}
}

// countLoan counts a loan as spent. If the batch of a part has expired, the coordinator has already counted it, and the
// loan cannot be credited.
func (h *holder) countLoan(now time.Time, l *loan) {
	if l.counted {
		return
	}
	l.counted = true
	r, expired := l.spending, false
	for _, p := range r.parts {
		p.batch.loaned -= p.tokens
		p.batch.spent += p.tokens
		expired = expired || p.batch.id == 0 || !now.Before(p.batch.deadline)
	}
	r.report = r.localBucket.reportFor(expired)
	r.report.open++
	if h.localBuckets[r.localBucket.customer] == r.localBucket {
		h.dirty[r.localBucket.customer] = r.localBucket
	}
}

func (h *holder) settleLoan(now time.Time, key loanKey, used float64) {
	l, ok := h.loans[key]
	if !ok {
		return
	}
	delete(h.loans, key)
	h.countLoan(now, l)
	h.settle(now, l.spending, used)
}

// HandleLender registers the messages of instances that use this one as a lender.
func HandleLender(mux *peer.Mux, a *Admission) {
	mux.Handle(MethodLend, peer.Typed(func(ctx context.Context, from string, req LendRequest) (LendReply, error) {
		a.mu.Lock()
		reply, wait := a.holder.lend(a.options.Now(), from, req)
		ask := len(a.holder.asking) > 0
		answered := a.answered
		a.mu.Unlock()
		if ask {
			a.signal()
		}
		if !wait {
			return reply, nil
		}
		ctx, cancel := context.WithTimeout(ctx, lendWait)
		defer cancel()
		select {
		case <-ctx.Done():
		case <-answered:
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		reply.Life = a.holder.tryLend(a.options.Now(), from, req)
		return reply, nil
	}))
}

// reserveFromLender admits a request with tokens of the customer's lender. It returns nil when the lender grants none.
func (a *Admission) reserveFromLender(ctx context.Context, customer string, tokens float64) *debt {
	lender, ok := a.options.Lender(customer)
	if !ok {
		return nil
	}
	a.mu.Lock()
	sentAt := a.options.Now()
	req := a.holder.askLender(sentAt, customer, tokens, lender)
	a.mu.Unlock()
	if req == nil {
		return nil
	}
	reply, err := a.callLender(ctx, lender, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.holder.recordLendFailure(a.options.Now(), lender, req)
		return nil
	}
	return a.holder.applyLend(a.options.Now(), sentAt, lender, req, reply)
}

func (a *Admission) callLender(ctx context.Context, lender string, req *LendRequest) (reply LendReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, lendWindow)
	defer cancel()
	err = a.options.Call(ctx, lender, MethodLend, req, &reply)
	return reply, err
}

// flushSettled sends settlements that were not sent along with a LendRequest.
func (a *Admission) flushSettled(ctx context.Context, all bool) {
	a.mu.Lock()
	list := a.holder.flushSettled(a.options.Now(), all)
	a.mu.Unlock()
	for lender, req := range list {
		if _, err := a.callLender(ctx, lender, req); err != nil {
			a.mu.Lock()
			a.holder.recordLendFailure(a.options.Now(), lender, req)
			a.mu.Unlock()
		}
	}
}
