package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/wire/answertime"
	"lycheevale/internal/wire/upstream"
)

// job is an order that waits for its turn at an endpoint.
type job struct {
	load    bool
	refresh bool // no order: only ask the endpoint for its state
	holding residency.Holding
	done    chan<- bool // told whether the order was accepted; may be nil
}

// line holds the orders of one endpoint, which are given one after the other. The mutex of Control guards it.
type line struct {
	waiting  []job
	running  bool
	asked    time.Time // when the state was last asked for beside orders
	known    bool      // sequence is what the endpoint has last told, and nothing unanswered came since
	sequence uint64    // orders that the endpoint has accepted
	answers  answertime.Estimate
	state    *EngineState // what it has told, until an accepted order has shown that nothing came since
}

// order queues a job. c.mu is held.
func (o *office) order(ctx context.Context, id string, j job) {
	l := o.lines[id]
	if l == nil {
		l = &line{}
		o.lines[id] = l
	}
	l.waiting = append(l.waiting, j)
	if l.running {
		return
	}
	l.running = true
	// The order outlives the call of the entry that asked for it.
	ctx = context.WithoutCancel(ctx)
	o.control.group.Go(func() error {
		o.work(ctx, id, l)
		return nil
	})
}

// mayOrder tells whether orders may be given.
func (o *office) mayOrder() bool { return !o.ended && !o.now().Before(o.ordersFrom) }

// work gives the orders of a line until none waits.
func (o *office) work(ctx context.Context, id string, l *line) {
	c := o.control
	for {
		c.mu.Lock()
		if len(l.waiting) == 0 {
			l.running = false
			c.mu.Unlock()
			return
		}
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		to, present := o.roster.Endpoint(id)
		usable := present && o.mayOrder() && c.leading() == o.term && o.lines[id] == l
		c.mu.Unlock()
		accepted := false
		switch {
		case usable && j.refresh:
			o.refresh(ctx, to, l)
		case usable:
			o.awaitTransit(id, j)
			accepted = o.give(ctx, to, l, j)
		case !j.refresh:
			c.mu.Lock()
			o.placer.OrderRefused(o.now(), id, j.holding.Adapter)
			c.mu.Unlock()
		}
		if j.done != nil {
			j.done <- accepted
		}
	}
}

// awaitTransit waits until the endpoint can take another load; the longest transfer bounds it.
func (o *office) awaitTransit(id string, j job) {
	for range maxTransitWaits {
		o.control.mu.Lock()
		full := j.load && o.placer.LoadMustWait(id, j.holding.Adapter)
		o.control.mu.Unlock()
		if !full {
			return
		}
		time.Sleep(tickInterval)
	}
}

// maxTransitWaits of a tick each are two seconds, more than a fetch waits at most.
const maxTransitWaits = int(2 * time.Second / tickInterval)

// refresh asks an endpoint for its state. The state is exact if the endpoint has accepted no other orders than this leader
// knows of; otherwise the next accepted order shows whether it still is.
func (o *office) refresh(ctx context.Context, to report.Endpoint, l *line) {
	known, sequence := o.known(l), o.sequence(l)
	if o.learn(ctx, to, l) != nil {
		return // it is asked again
	}
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	if known && sequence == l.sequence {
		o.placer.Reconcile(o.now(), to.ID, l.state.Holdings, l.state.Pending)
		l.state = nil
	}
}

// An order without an answer in time may still be carried out. Until an endpoint has answered, several round trips between regions
// are allowed; then what it needs, and the tenth of a second for which a machine may stand still whose share is used up.
const (
	orderTimeout  = 300 * time.Millisecond
	shortestOrder = 120 * time.Millisecond
)

// answerIn returns the time in which an endpoint should answer.
func (o *office) answerIn(l *line) time.Duration {
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	return l.answers.Timeout(shortestOrder, orderTimeout)
}

// answered records how long an endpoint took.
func (o *office) answered(l *line, since time.Time) {
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	l.answers.Observe(o.now().Sub(since))
}

// orderAttempts is how often an order is given that another one has overtaken.
const orderAttempts = 2

// give makes an order, asking the endpoint first where its sequence is not known.
func (o *office) give(ctx context.Context, to report.Endpoint, l *line, j job) (accepted bool) {
	var result Result
	var err error
	for attempt := 0; attempt < orderAttempts; attempt++ {
		if !o.known(l) {
			if err = o.learn(ctx, to, l); err != nil {
				break
			}
		}
		if j.load && o.overfull(to.ID) {
			result = Refused
			break
		}
		result, err = o.call(ctx, to, l, j)
		if err != nil || result != Conflict {
			break
		}
		o.forget(l)
	}
	event.Log(ctx, o.control.options.Logger, event.EndpointOrdered, slog.String("Endpoint", to.ID), slog.Bool("Load", j.load),
		slog.String("Model", j.holding.Model), slog.String("Adapter", j.holding.Name), slog.Int("Version", j.holding.Version), slog.Uint64("Fence", o.term),
		slog.Uint64("Sequence", o.sequence(l)), slog.String("Result", string(result)), slog.Any("Error", err))
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	return o.conclude(to.ID, l, j, result, err)
}

func (o *office) known(l *line) bool {
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	return l.known
}

func (o *office) sequence(l *line) uint64 {
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	return l.sequence
}

// forget makes the next order ask the endpoint first.
func (o *office) forget(l *line) {
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	l.known = false
}

func (o *office) overfull(id string) bool {
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	return o.placer.OverCapacity(id)
}

// learn asks an endpoint for its sequence.
func (o *office) learn(ctx context.Context, to report.Endpoint, l *line) error {
	ctx, cancel := context.WithTimeout(ctx, o.answerIn(l))
	defer cancel()
	asked := o.now()
	state, err := o.control.options.Engines.State(ctx, to)
	if err != nil {
		return errs.Combine(upstream.ErrNotSent, err) // the order itself was not sent
	}
	o.answered(l, asked)
	o.control.mu.Lock()
	defer o.control.mu.Unlock()
	l.sequence, l.known, l.state = state.Sequence, true, &state
	o.placer.AddState(o.now(), to.ID, state.Holdings, state.Pending)
	return nil
}

func (o *office) call(ctx context.Context, to report.Endpoint, l *line, j job) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, o.answerIn(l))
	defer cancel()
	asked := o.now()
	result, err := o.control.options.Engines.Order(ctx, to, Order{
		Load: j.load, Holding: j.holding, Sequence: o.sequence(l), Holder: o.control.options.Settings.Name, Fence: o.term,
	})
	if err == nil {
		o.answered(l, asked)
	}
	return result, err
}

// conclude records the end of an order. c.mu is held.
func (o *office) conclude(id string, l *line, j job, result Result, err error) (accepted bool) {
	now := o.now()
	a := j.holding.Adapter
	if a.Name == "" && o.weights != nil && (errs.Is(err, upstream.ErrNotSent) || (err == nil && result != Accepted && result != Done)) {
		o.weights.Failed(id)
	}
	switch {
	case errs.Is(err, upstream.ErrNotSent):
		o.placer.OrderRefused(now, id, a)
	case err != nil:
		l.known = false
		o.placer.OrderUnanswered(now, id, a)
	case result == Accepted || result == Done:
		if result == Accepted || !j.load {
			l.sequence++
			if l.state != nil {
				o.placer.Reconcile(now, id, l.state.Holdings, l.state.Pending)
			}
			l.state = nil
		}
		if j.load {
			o.placer.LoadAccepted(now, id, a)
		} else {
			o.placer.UnloadAccepted(now, id, a, result == Done)
		}
		return true
	case result == Fenced:
		o.end()
		o.placer.OrderRefused(now, id, a)
	default:
		l.known = false
		o.placer.OrderRefused(now, id, a)
	}
	return false
}
