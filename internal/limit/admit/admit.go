// Package admit limits requests to the rates of their customers. Each instance borrows small batches of tokens from
// the exact token buckets of its data centre's coordinator and spends them locally.
package admit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/share"
)

// Error is the class of errors of this package.
var Error = errs.Class("admit")

// Admission admits the requests of one instance. It is safe for concurrent use.
type Admission struct {
	options           Options
	mu                sync.Mutex
	holder            *holder
	wake              chan struct{}
	answered          chan struct{} // closed and replaced when the coordinator has answered a BorrowRequest
	coordinatorSilent bool          // the coordinator did not answer the last message
}

// Reservation holds the tokens of an admitted request. The zero Reservation belongs to a request without a limit.
type Reservation struct {
	admission *Admission
	spending  *spending
	debt      *debt // set instead of spending when the tokens came from the customer's lender
}

// New returns an Admission. Requests of limited customers are admitted only while Run is running.
func New(opts ...Option) *Admission {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Admission{options: o, holder: newHolder(o), wake: make(chan struct{}, 1), answered: make(chan struct{})}
}

// Reserve admits a request that uses at most the given tokens, which are charged now. If they will be available
// before the deadline of ctx, it waits in the customer's queue; otherwise it returns a refusal at once: OverRate with
// the time to retry, BadRequest, or Unavailable when the coordinator cannot be reached. Requests on open routes,
// whose customer is empty, and customers without rate and burst have no limit.
func (a *Admission) Reserve(ctx context.Context, customer string, tokens float64) (Reservation, error) {
	limited, err := a.check(customer, tokens)
	if err != nil || !limited {
		return Reservation{}, err
	}
	if d := a.reserveFromLender(ctx, customer, tokens); d != nil {
		return Reservation{admission: a, debt: d}, nil
	}
	now := a.options.Now()
	deadline := now.Add(longestRequest)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	a.mu.Lock()
	if lb, ok := a.holder.localBuckets[customer]; ok && len(lb.waiters) >= maxWaiters {
		a.mu.Unlock()
		return Reservation{}, refusal.New(refusal.OverRate, "too many waiting requests of customer %q", customer)
	}
	s, q := a.holder.reserve(now, customer, tokens, deadline)
	ask := len(a.holder.asking) > 0
	a.mu.Unlock()
	if ask {
		a.signal()
	}
	if s != nil {
		return Reservation{admission: a, spending: s}, nil
	}
	return a.wait(ctx, customer, q)
}

// check reports whether the customer has a limit, or returns the refusal of a request that can never be admitted.
func (a *Admission) check(customer string, tokens float64) (limited bool, err error) {
	if math.IsNaN(tokens) || math.IsInf(tokens, 0) || tokens < 0 {
		return false, refusal.New(refusal.BadRequest, "invalid number of tokens")
	}
	if customer == "" || tokens == 0 {
		return false, nil
	}
	limit, ok := a.options.Limit(customer)
	if !ok {
		return false, refusal.New(refusal.NotPermitted, "customer %q is not configured", customer)
	}
	if share.Unlimited(limit) {
		return false, nil
	}
	if tokens > limit.Burst {
		return false, refusal.New(refusal.OverRate, "the request needs %.0f tokens, the burst is %.0f", tokens, limit.Burst)
	}
	return true, nil
}

func (a *Admission) wait(ctx context.Context, customer string, q *waiter) (Reservation, error) {
	timer := time.NewTimer(q.deadline.Sub(a.options.Now()))
	defer timer.Stop()
	select {
	case o := <-q.done:
		return a.finish(customer, o)
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	waited := a.holder.cancel(a.options.Now(), customer, q)
	answered, next := q.answered, a.holder.localBucket(a.options.Now(), customer).nextPoll
	silent := a.coordinatorSilent
	a.mu.Unlock()
	a.signal()
	if !waited {
		return a.finish(customer, <-q.done)
	}
	switch {
	case errs.Is(ctx.Err(), context.Canceled):
		return Reservation{}, refusal.New(refusal.DeadlineExceeded, "the request was cancelled while it waited for its rate")
	case !answered || silent:
		return Reservation{}, refusal.New(refusal.Unavailable, "the coordinator of rates cannot be reached")
	default:
		return Reservation{}, refusal.New(refusal.OverRate, "customer %q is over its rate", customer).WithRetryAt(next)
	}
}

func (a *Admission) finish(customer string, o outcome) (Reservation, error) {
	if o.spending != nil {
		return Reservation{admission: a, spending: o.spending}, nil
	}
	return Reservation{}, refusal.New(refusal.OverRate, "customer %q is over its rate", customer).WithRetryAt(o.retryAt)
}

// Settle ends the reservation and returns the tokens that were not used. Later calls have no effect.
func (r Reservation) Settle(used float64) {
	if r.admission == nil {
		return
	}
	a := r.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.debt != nil {
		a.holder.settleDebt(a.options.Now(), r.debt, used)
		return
	}
	a.holder.settle(a.options.Now(), r.spending, used)
}

func (a *Admission) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run exchanges messages with the coordinator until ctx ends, and then returns all unused tokens.
func (a *Admission) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.runBorrow(ctx) })
	group.Go(func() error { return a.runReturn(ctx) })
	err = group.Wait()
	if errs.Is(err, context.Canceled) {
		err = nil
	}
	a.returnAll(context.WithoutCancel(ctx))
	return err
}

func (a *Admission) runBorrow(ctx context.Context) error {
	for {
		if err := a.awaitBorrow(ctx); err != nil {
			return err
		}
		if !a.borrowOnce(ctx) {
			if err := pause(ctx, a.options.Resend/2); err != nil {
				return err
			}
		}
	}
}

// awaitBorrow waits until a BorrowRequest is due.
func (a *Admission) awaitBorrow(ctx context.Context) error {
	for {
		a.mu.Lock()
		now := a.options.Now()
		at := a.holder.nextBorrow(now)
		a.mu.Unlock()
		if !at.IsZero() && !at.After(now) {
			return ctx.Err()
		}
		d := longestPoll
		if !at.IsZero() {
			d = at.Sub(now)
		}
		timer := time.NewTimer(d)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-a.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// borrowOnce sends one BorrowRequest if one is due, and reports false when it was not answered.
func (a *Admission) borrowOnce(ctx context.Context) bool {
	a.mu.Lock()
	req := a.holder.composeBorrow(a.options.Now())
	a.mu.Unlock()
	if req == nil {
		return true
	}
	var reply BorrowReply
	if !a.call(ctx, MethodBorrow, req, &reply) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.applyBorrow(a.options.Now(), req, reply)
	close(a.answered)
	a.answered = make(chan struct{})
	return true
}

func (a *Admission) runReturn(ctx context.Context) error {
	for {
		if err := pause(ctx, a.options.Report); err != nil {
			return err
		}
		a.returnOnce(ctx, false)
		a.flushSettled(ctx, false)
	}
}

func (a *Admission) returnOnce(ctx context.Context, all bool) bool {
	a.mu.Lock()
	req := a.holder.composeReturn(a.options.Now(), all)
	a.mu.Unlock()
	if req == nil {
		return true
	}
	var reply ReturnReply
	if !a.call(ctx, MethodReturn, req, &reply) {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.applyReturn(req, reply)
	return true
}

// returnAll sends the pending report and then returns all batches. Tokens whose return fails count as spent.
func (a *Admission) returnAll(ctx context.Context) {
	a.flushSettled(ctx, true)
	for range 2 {
		a.returnOnce(ctx, true)
	}
}

// call sends a message to the coordinator and logs when it starts or stops answering.
func (a *Admission) call(ctx context.Context, method string, req, reply any) (ok bool) {
	name, known := a.options.Coordinator()
	if known {
		ctx, cancel := context.WithTimeout(ctx, a.options.Resend)
		defer cancel()
		ok = a.options.Call(ctx, name, method, req, reply) == nil
	}
	a.mu.Lock()
	changed := a.coordinatorSilent == ok
	a.coordinatorSilent = !ok
	a.mu.Unlock()
	if changed && ok {
		event.Log(ctx, a.options.Logger, event.LimitCoordinatorFound)
	} else if changed {
		event.Log(ctx, a.options.Logger, event.LimitCoordinatorSilent)
	}
	return ok
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
