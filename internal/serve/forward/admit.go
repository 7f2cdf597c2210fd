package forward

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
)

// admit charges the cost of the request to the customer's rate.
func (h *Handler) admit(x *exchange) *refusal.Error {
	if x.customer == nil || x.customer.Rate <= 0 {
		return nil
	}
	cost := 1.0
	if x.customer.CountTokens {
		cost = float64(x.request.Tokens)
		if x.request.Tokens == 0 {
			cost = float64(x.customer.DefaultTokens)
		}
	}
	precedence := quota.Later
	if x.request.LastEvent != "" {
		precedence = quota.First // its caller has the beginning of the answer, which is paid for
	}
	for {
		retryAt, admitted, err := h.charge(x, cost, precedence)
		now := h.options.Now()
		switch {
		case err == nil && admitted:
			x.cost = cost
			return nil
		case precedence != quota.Later && retryAt.Sub(x.arrived) < continueWait:
			precedence = quota.FirstAgain
			if x.sleep(retryAt.Sub(now)) {
				continue
			}
		}
		if err != nil {
			return refusal.New(refusal.Unavailable, "the customer's rate is not known: %v", err).WithRetryAt(h.retryAtWithLeader(x, retryAt))
		}
		return refusal.New(refusal.OverRate, "customer is over its rate").WithRetryAt(retryAt)
	}
}

// continueWait is the time for which a request that continues a stream waits for tokens. It leaves half a second of the shortest gap in a stream, two
// seconds, after which callers leave.
const continueWait = 1500 * time.Millisecond

// sleep waits, and reports whether the caller is still there.
func (x *exchange) sleep(wait time.Duration) bool {
	select {
	case <-x.ctx.Done():
		return false
	case <-time.After(max(wait, minSleep)):
		return true
	}
}

// minSleep limits how often a waiting request asks the leader.
const minSleep = 20 * time.Millisecond

// charge takes tokens for a request from this entry's, or else from the reserve of its customer's rate. Requests of a higher precedence ask the leader
// also while the reserve is empty.
func (h *Handler) charge(x *exchange, cost float64, precedence quota.Precedence) (retryAt time.Time, admitted bool, err error) {
	customer := x.customer.Name
	h.mu.Lock()
	now := h.options.Now()
	retryAt, admitted = h.shares.Take(now, customer, cost)
	borrow := !admitted && (precedence != quota.Later || h.shares.MayBorrow(now, customer))
	h.mu.Unlock()
	if !borrow {
		return retryAt, admitted, nil
	}
	return h.borrow(x, report.LoanRequest{Customer: customer}, cost, retryAt, precedence)
}

// loanQueue holds the requests of a customer, or to an endpoint that has named a rate, that the leader is asked to admit. One call runs at a time: requests that arrive
// meanwhile are batched into the next one, so that a slow leader gets fewer calls.
type loanQueue struct {
	waiting []*pendingLoan
	running bool
}

// loanKey names a customer or an endpoint.
type loanKey struct{ customer, endpoint string }

type pendingLoan struct {
	cost       float64
	precedence quota.Precedence
	done       chan struct{}
	admitted   bool
	retryAt    time.Time
	err        error
}

// borrow asks the leader to admit the request from the reserve of its customer's or endpoint's rate, which loan names. While the reserve is empty,
// further requests are refused without a call.
func (h *Handler) borrow(x *exchange, loan report.LoanRequest, cost float64, retryAt time.Time, precedence quota.Precedence) (at time.Time, admitted bool, err error) {
	l := &pendingLoan{cost: cost, precedence: precedence, retryAt: retryAt, done: make(chan struct{})}
	key := loanKey{loan.Customer, loan.Endpoint}
	h.mu.Lock()
	queue := h.loans[key]
	if queue == nil {
		queue = &loanQueue{}
		h.loans[key] = queue
	}
	queue.waiting = append(queue.waiting, l)
	start := !queue.running
	queue.running = true
	h.mu.Unlock()
	if start {
		h.options.Spawn(func() { h.runLoans(key, queue) })
	}
	select {
	case <-l.done:
		return l.retryAt, l.admitted, l.err
	case <-x.ctx.Done():
		return retryAt, false, x.ctx.Err()
	}
}

// runLoans calls the leader until the queue is empty.
func (h *Handler) runLoans(key loanKey, queue *loanQueue) {
	for {
		h.mu.Lock()
		batch := queue.waiting
		queue.waiting = nil
		if queue.running = len(batch) > 0; !queue.running {
			delete(h.loans, key)
		}
		h.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		loan := report.LoanRequest{Customer: key.customer, Endpoint: key.endpoint}
		first := false
		for _, l := range batch {
			loan.Requests = append(loan.Requests, l.cost)
			loan.Precedence = append(loan.Precedence, l.precedence)
			first = first || l.precedence != quota.Later
		}
		if !first {
			loan.Precedence = nil
		}
		answer, err := h.options.Borrow(context.Background(), loan)
		h.completeLoans(key, batch, answer, err)
	}
}

func (h *Handler) completeLoans(key loanKey, batch []*pendingLoan, answer report.LoanReply, err error) {
	if err == nil && len(answer.Admitted) != len(batch) {
		err = errs.New("%d decisions on %d requests", len(answer.Admitted), len(batch))
	}
	now := h.options.Now()
	back := now.Add(time.Duration(answer.InMillis) * time.Millisecond)
	denied := false
	for i, l := range batch {
		l.err = err
		if err == nil {
			l.admitted = answer.Admitted[i]
			denied = denied || !l.admitted
			l.retryAt = back
		}
		close(l.done)
	}
	if denied {
		h.mu.Lock()
		h.lenderShares(key.endpoint).Denied(back, key.customer+key.endpoint)
		h.mu.Unlock()
	}
}

// lenderShares returns this entry's shares of customers' rates, or of those that endpoints have named. The caller holds h.mu.
func (h *Handler) lenderShares(endpoint string) *quota.EntryPool {
	if endpoint != "" {
		return h.endpointShares
	}
	return h.shares
}

// Lend admits requests of another entry from this entry's shares of the customer's or endpoint's rate. It returns false if this entry has none
// that it may lend.
func (h *Handler) Lend(l report.LoanRequest) (answer report.LoanReply, lends bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	answer.Leading = true
	for _, cost := range l.Requests {
		retryAt, admitted, lends := h.lenderShares(l.Endpoint).Lend(now, l.Customer+l.Endpoint, cost)
		if !lends {
			return report.LoanReply{}, false
		}
		answer.Add(now, retryAt, admitted)
	}
	return answer, true
}

// refund returns the charge of a request that has not run.
func (h *Handler) refund(x *exchange) {
	if x.cost == 0 || x.ran > 0 {
		return
	}
	h.mu.Lock()
	h.shares.Return(h.options.Now(), x.customer.Name, x.cost)
	h.mu.Unlock()
	x.cost = 0
}
