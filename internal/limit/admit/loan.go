package admit

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheevale/internal/wire/peer"
)

// With many customers hardly any instance has enough requests of one to hold tokens for it. One instance of the data
// centre, the lender, then holds them for all others. Nothing depends on there being one lender only: it borrows from
// the coordinator like every instance, and what it lends stays within its own batches.

const (
	// lendWindow is the time from asking to admitting a request; a round trip takes about 2 ms.
	lendWindow = 100 * time.Millisecond
	// lendMargin is added by the lender: only afterwards it reports a loan as spent, because tokens that are spent
	// later than they were counted come on top of a refilled bucket.
	lendMargin = 50 * time.Millisecond
	// lendWait is how long a lender waits for an answer of the coordinator before it tells that it has no tokens.
	lendWait = 20 * time.Millisecond
	// settleWithin bounds how long settlements wait for another request to the same lender.
	settleWithin = 10 * time.Second
	// maxSettled bounds the settlements of one message and of one lender that does not answer.
	maxSettled = 256
	// lenderPause is how long a lender without tokens, or without an answer, is not asked again.
	lenderPause = 5 * time.Second
	// lentRequests is the number of typical requests that a lender holds ready at least.
	lentRequests = 2
	// lendMemory is how long a lender holds tokens after the last request for them.
	lendMemory = 30 * time.Second
	// loanMemory is the longest run of a request whose unused tokens are credited.
	loanMemory = 10 * time.Minute
)

// loan is what a lender lent for one request.
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
	settled []Settlement
	since   time.Time // when the first was queued
	avoid   time.Time // the lender is not asked before
}

// debt is the borrowing side of a loan.
type debt struct {
	lender string
	number uint32
	tokens float64
}

// Lenders returns the lender of each customer by rendezvous hashing with bounded loads: no instance has more than its
// even part, and few customers move when an instance is lost. Instances that know other lists may disagree.
func Lenders(customers, instances []string) map[string]string {
	lenders := make(map[string]string, len(customers))
	if len(instances) == 0 {
		return lenders
	}
	most := (len(customers) + len(instances) - 1) / len(instances)
	loads := make([]int, len(instances))
	seeds := make([]uint64, len(instances))
	for i, name := range instances {
		seeds[i] = xxhash.Sum64String(name)
	}
	for _, customer := range slices.Sorted(slices.Values(customers)) {
		best, top := -1, uint64(0)
		h := xxhash.Sum64String(customer)
		for i, seed := range seeds {
			if sum := mix(h ^ seed); loads[i] < most && (best < 0 || sum > top) {
				best, top = i, sum
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

// firstNumber starts the numbers of an incarnation. Incarnations are taken from a clock in nanoseconds, so it grows
// by about a thousand per second, which is more than an instance uses.
func firstNumber(incarnation uint64) uint32 {
	return uint32(incarnation >> 20 & (1<<28 - 1))
}

// askLender composes the request to a lender, or nil when this instance should hold tokens or wait itself.
func (h *holder) askLender(now time.Time, customer string, n float64, lender string) *LendRequest {
	w := h.wallet(now, customer)
	w.expire(now)
	h.dirty[customer] = w
	box := h.outbox(lender)
	busy := len(w.waiters) > 0 || n <= w.available || h.prefetch(now, w) > 0
	if busy || now.Before(w.alone) || now.Before(box.avoid) || n > math.MaxUint32 {
		return nil
	}
	return h.composeLend(box, customer, n)
}

func (h *holder) composeLend(box *outbox, customer string, n float64) *LendRequest {
	h.number = (h.number + 1) & (1<<28 - 1)
	list := min(len(box.settled), maxSettled)
	req := &LendRequest{Number: h.number, Tokens: uint32(math.Ceil(n)), Customer: customer, Settled: box.settled[:list:list]}
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

// applyLend applies the answer; the debt is nil when the tokens were not granted.
func (h *holder) applyLend(now, sentAt time.Time, lender string, req *LendRequest, reply LendReply) *debt {
	w := h.wallet(now, req.Customer)
	h.dirty[w.customer] = w
	if reply.Life <= 0 {
		w.alone = now.Add(lenderPause)
		return nil
	}
	if !now.Before(sentAt.Add(min(reply.Life, lendWindow))) {
		h.queueSettled(now, lender, Settlement{Number: req.Number})
		return nil
	}
	w.note(now, float64(req.Tokens))
	return &debt{lender: lender, number: req.Number, tokens: float64(req.Tokens)}
}

// failLend notes that a lender did not answer. It may have lent the tokens, which then count as spent.
func (h *holder) failLend(now time.Time, lender string, req *LendRequest) {
	box := h.outbox(lender)
	box.avoid = now.Add(lenderPause)
	for _, s := range req.Settled {
		h.queueSettled(now, lender, s)
	}
}

// pay ends a debt with the tokens that were used.
func (h *holder) pay(now time.Time, d *debt, used float64) {
	h.queueSettled(now, d.lender, Settlement{Number: d.number, Used: uint32(math.Ceil(min(max(0, used), d.tokens)))})
}

func (h *holder) queueSettled(now time.Time, lender string, s Settlement) {
	box := h.outbox(lender)
	if len(box.settled) == 0 {
		box.since = now
	}
	if len(box.settled) < 4*maxSettled { // an unsettled loan counts as spent
		box.settled = append(box.settled, s)
	}
}

// flushSettled composes messages for lenders that have waited for long, or for all of them.
func (h *holder) flushSettled(now time.Time, all bool) map[string]*LendRequest {
	list := map[string]*LendRequest{}
	for lender, box := range h.outboxes {
		if len(box.settled) > 0 && (all || now.Sub(box.since) >= settleWithin) {
			list[lender] = h.composeLend(box, "", 0)
			box.since = now
		}
		if len(box.settled) == 0 && !now.Before(box.avoid) {
			delete(h.outboxes, lender)
		}
	}
	return list
}

// lend answers an instance that asks this one as the lender. Wait tells that tokens may be there with the next answer
// of the coordinator.
func (h *holder) lend(now time.Time, from string, req LendRequest) (reply LendReply, wait bool) {
	for _, s := range req.Settled {
		h.settleLoan(now, loanKey{from, s.Number}, float64(s.Used))
	}
	if req.Tokens == 0 {
		return reply, false
	}
	h.mature(now)
	w := h.wallet(now, req.Customer)
	h.dirty[req.Customer] = w
	w.lent = now
	w.note(now, float64(req.Tokens))
	reply.Life = h.lendNow(now, from, req)
	if w.available < h.target(now, w)/2 {
		h.asking[req.Customer] = w
	}
	return reply, reply.Life == 0 && len(w.waiters) == 0
}

// lendNow lends the tokens if they are held; the life is 0 otherwise.
func (h *holder) lendNow(now time.Time, from string, req LendRequest) (life time.Duration) {
	key, n := loanKey{from, req.Number}, float64(req.Tokens)
	w := h.wallet(now, req.Customer)
	w.expire(now)
	if _, again := h.loans[key]; again || len(w.waiters) > 0 || n > w.available {
		return 0
	}
	life = lendWindow
	r := &spending{wallet: w, left: n}
	r.parts = r.room[:0]
	w.draw(n, func(b *held, t float64) {
		b.loaned += t
		life = min(life, b.deadline.Sub(now))
		r.parts = append(r.parts, part{b, t})
	})
	l := &loan{spending: r, at: now}
	h.loans[key] = l
	h.young = append(h.young, l)
	if h.options.earlyLoan {
		h.countLoan(now, l)
	}
	return life
}

// mature counts loans as spent whose window has passed.
func (h *holder) mature(now time.Time) {
	done := 0
	for done < len(h.young) && now.Sub(h.young[done].at) >= lendWindow+lendMargin {
		h.countLoan(now, h.young[done])
		done++
	}
	clear(h.young[:done])
	h.young = h.young[done:]
	if now.Sub(h.swept) < time.Minute {
		return
	}
	h.swept = now
	for key, l := range h.loans {
		if now.Sub(l.at) > loanMemory {
			delete(h.loans, key)
		}
	}
}

// countLoan counts a loan as spent. A part whose batch has expired was counted by that, and is not credited.
func (h *holder) countLoan(now time.Time, l *loan) {
	if l.counted {
		return
	}
	l.counted = true
	r, old := l.spending, false
	for _, p := range r.parts {
		p.batch.loaned -= p.tokens
		p.batch.spent += p.tokens
		old = old || p.batch.id == 0 || !now.Before(p.batch.deadline)
	}
	r.report = r.wallet.reportFor(old)
	r.report.open++
	if h.wallets[r.wallet.customer] == r.wallet {
		h.dirty[r.wallet.customer] = r.wallet
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

// HandleLender registers the messages of instances whose lender this one is.
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
		reply.Life = a.holder.lendNow(a.options.Now(), from, req)
		return reply, nil
	}))
}

// reserveFromLender admits a request with tokens of the customer's lender, if it has them at hand.
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
		a.holder.failLend(a.options.Now(), lender, req)
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

// flushSettled sends settlements that no other message has taken along.
func (a *Admission) flushSettled(ctx context.Context, all bool) {
	a.mu.Lock()
	list := a.holder.flushSettled(a.options.Now(), all)
	a.mu.Unlock()
	for lender, req := range list {
		if _, err := a.callLender(ctx, lender, req); err != nil {
			a.mu.Lock()
			a.holder.failLend(a.options.Now(), lender, req)
			a.mu.Unlock()
		}
	}
}
