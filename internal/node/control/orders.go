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

// orderJob is an order in the queue of an endpoint.
type orderJob struct {
	load    bool
	refresh bool // only fetch the endpoint's state, without an order
	holding residency.Holding
	done    chan<- bool // receives whether the order was accepted; may be nil
}

// orderQueue holds the orders for one endpoint, which are sent one at a time. The mutex of Control guards it.
type orderQueue struct {
	waiting       []orderJob
	running       bool
	refreshedAt   time.Time           // when the state was last fetched without an order
	sequenceKnown bool                // sequence is as the endpoint last reported, and every order since was answered
	sequence      uint64              // number of orders that the endpoint has accepted
	answers       answertime.Estimate // to loads
	otherAnswers  answertime.Estimate // to unloads and fetches of the state
	state         *EngineState        // last reported state, until an accepted order confirms that no other order came in between
}

// enqueueOrder queues an order. The caller holds the mutex of Control.
func (ls *leaderState) enqueueOrder(ctx context.Context, id string, j orderJob) {
	l := ls.queues[id]
	if l == nil {
		l = &orderQueue{}
		ls.queues[id] = l
	}
	l.waiting = append(l.waiting, j)
	if l.running {
		return
	}
	l.running = true
	// The order must not be cancelled with the call of the entry that requested it.
	ctx = context.WithoutCancel(ctx)
	ls.control.group.Go(func() error {
		ctx, cancel := ls.endsWith(ctx)
		defer cancel()
		ls.runQueue(ctx, id, l)
		return nil
	})
}

// mayOrder reports whether this leader may send orders, as far as earlier leaders are concerned.
func (ls *leaderState) mayOrder() bool {
	return !ls.ended && !ls.fenced && !ls.now().Before(ls.ordersFrom)
}

// runQueue sends the orders of a queue until it is empty.
func (ls *leaderState) runQueue(ctx context.Context, id string, l *orderQueue) {
	c := ls.control
	for {
		c.mu.Lock()
		if len(l.waiting) == 0 {
			l.running = false
			c.mu.Unlock()
			return
		}
		j := l.waiting[0]
		l.waiting = l.waiting[1:]
		to, present := ls.roster.Endpoint(id)
		usable := present && ls.mayOrder() && ls.acts() && ls.queues[id] == l
		c.mu.Unlock()
		accepted := false
		switch {
		case usable && j.refresh:
			ls.refresh(ctx, to, l)
		case usable:
			ls.waitForTransfer(ctx, id, j)
			accepted = ls.executeOrder(ctx, to, l, j)
		case !j.refresh:
			c.mu.Lock()
			ls.orderRefused(id, j)
			c.mu.Unlock()
		}
		if j.done != nil {
			j.done <- accepted
		}
	}
}

// waitForTransfer waits until the endpoint can accept another load, for at most the longest transfer. It ends with this leader.
func (ls *leaderState) waitForTransfer(ctx context.Context, id string, j orderJob) {
	for range maxTransferWaits {
		ls.control.mu.Lock()
		full := j.load && ls.mayOrder() && ls.placer.LoadMustWait(id, j.holding.Adapter)
		ls.control.mu.Unlock()
		if !full {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// maxTransferWaits is two seconds in ticks, more than the longest wait of a fetch.
const maxTransferWaits = int(2 * time.Second / tickInterval)

// refresh fetches the state of an endpoint. The state is exact if the endpoint has accepted only orders that this leader
// knows of; otherwise the next accepted order confirms it.
func (ls *leaderState) refresh(ctx context.Context, to report.Endpoint, l *orderQueue) {
	known, sequence := ls.sequenceKnown(l), ls.sequence(l)
	if err := ls.fetchState(ctx, to, l); err != nil {
		if errs.Is(err, upstream.ErrMalformed) {
			event.Log(ctx, ls.control.options.Logger, event.AnswerMalformed, slog.String("Endpoint", to.ID), slog.Any("Error", err))
		}
		return // the next refresh tries again
	}
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	if known && sequence == l.sequence {
		ls.placer.Reconcile(ls.now(), to.ID, l.state.Holdings, l.state.Pending)
		l.state = nil
	}
}

// An order whose answer times out may still be carried out. The timeout covers several round trips between regions until an endpoint
// has answered; after that it follows the measured answer time, plus the 100 ms for which a machine may pause when its CPU quota is
// used up. If an endpoint echoes no identifiers, an unload and a fetch of the state take a round trip more, for a connection.
const (
	maxOrderTimeout = 300 * time.Millisecond
	minOrderTimeout = 120 * time.Millisecond
	maxOtherTimeout = 2 * maxOrderTimeout
	minOtherTimeout = minOrderTimeout + 100*time.Millisecond
)

// orderTimeout returns the timeout for an answer of an endpoint to a load, or to another call.
func (ls *leaderState) orderTimeout(l *orderQueue, load bool) time.Duration {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	if load {
		return l.answers.Timeout(minOrderTimeout, maxOrderTimeout)
	}
	return l.otherAnswers.Timeout(minOtherTimeout, maxOtherTimeout)
}

// recordAnswerTime records how long an endpoint took to answer a load, or another call.
func (ls *leaderState) recordAnswerTime(l *orderQueue, load bool, since time.Time) {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	e := &l.otherAnswers
	if load {
		e = &l.answers
	}
	e.Observe(ls.now().Sub(since))
}

// orderAttempts is the number of attempts of an order that conflicts with another one.
const orderAttempts = 2

// executeOrder fetches the endpoint's sequence if it is not known, sends an order and records its result.
func (ls *leaderState) executeOrder(ctx context.Context, to report.Endpoint, l *orderQueue, j orderJob) (accepted bool) {
	var result Result
	var err error
	for attempt := 0; attempt < orderAttempts; attempt++ {
		if err = ls.permitOrder(); err != nil {
			break
		}
		if !ls.sequenceKnown(l) {
			if err = ls.fetchState(ctx, to, l); err != nil {
				break
			}
			if err = ls.permitOrder(); err != nil {
				break
			}
		}
		if j.load && j.holding.Name != "" && !ls.mayLoad(to.ID, j.holding.Adapter) {
			result = Refused
			break
		}
		result, err = ls.sendOrder(ctx, to, l, j)
		if err != nil || result != Conflict {
			break
		}
		ls.invalidateSequence(l)
	}
	event.Log(ctx, ls.control.options.Logger, event.EndpointOrdered, slog.String("Endpoint", to.ID), slog.Bool("Load", j.load),
		slog.String("Model", j.holding.Model), slog.String("Adapter", j.holding.Name), slog.Int("Version", j.holding.Version), slog.Uint64("Fence", ls.term),
		slog.Uint64("Sequence", ls.sequence(l)), slog.String("Result", string(result)), slog.Any("Error", err))
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	return ls.completeOrder(to.ID, l, j, result, err)
}

func (ls *leaderState) sequenceKnown(l *orderQueue) bool {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	return l.sequenceKnown
}

func (ls *leaderState) sequence(l *orderQueue) uint64 {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	return l.sequence
}

// invalidateSequence makes the next order fetch the endpoint's sequence first.
func (ls *leaderState) invalidateSequence(l *orderQueue) {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	l.sequenceKnown = false
}

func (ls *leaderState) mayLoad(id string, a residency.Adapter) bool {
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	return ls.placer.MayLoad(id, a)
}

// fetchState fetches the state and the sequence of an endpoint.
func (ls *leaderState) fetchState(ctx context.Context, to report.Endpoint, l *orderQueue) error {
	ctx, cancel := context.WithTimeout(ctx, ls.orderTimeout(l, false))
	defer cancel()
	sentAt := ls.now()
	state, err := ls.control.options.Engines.State(ctx, to)
	if err != nil {
		return errs.Combine(upstream.ErrNotSent, err) // the order itself was not sent
	}
	ls.recordAnswerTime(l, false, sentAt)
	ls.control.mu.Lock()
	defer ls.control.mu.Unlock()
	l.sequence, l.sequenceKnown, l.state = state.Sequence, true, &state
	ls.placer.AddState(ls.now(), to.ID, state.Holdings, state.Pending)
	return nil
}

func (ls *leaderState) sendOrder(ctx context.Context, to report.Endpoint, l *orderQueue, j orderJob) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ls.orderTimeout(l, j.load))
	defer cancel()
	sentAt := ls.now()
	result, err := ls.control.options.Engines.Order(ctx, to, Order{
		Load: j.load, Holding: j.holding, Sequence: ls.sequence(l), Holder: ls.control.options.Settings.Name, Fence: ls.term,
		Permit: ls.permitOrder,
	})
	if err == nil {
		ls.recordAnswerTime(l, j.load, sentAt)
	}
	return result, err
}

// completeOrder records the result of an order. The caller holds the mutex of Control.
func (ls *leaderState) completeOrder(id string, l *orderQueue, j orderJob, result Result, err error) (accepted bool) {
	if j.holding.Name == "" && ls.weights != nil && (errs.Is(err, upstream.ErrNotSent) || (err == nil && result != Accepted && result != Done)) {
		ls.weights.Failed(id)
	}
	switch {
	case errs.Is(err, upstream.ErrNotSent):
		ls.orderRefused(id, j)
	case err != nil:
		l.sequenceKnown = false
		ls.orderUnanswered(id, j)
	case result == Accepted || result == Done:
		ls.advance(id, l, j, result)
		ls.orderAccepted(id, j, result)
		return true
	case result == Fenced:
		ls.fenced = true // its voter will tell whether it still leads
		ls.orderRefused(id, j)
	default:
		l.sequenceKnown = false
		ls.orderRefused(id, j)
	}
	return false
}

// advance counts an order that an endpoint has accepted. The endpoint may answer an unload as done without counting it, if it did not
// hold the adapter, so that such an answer does not show that earlier unanswered orders can no longer be executed. The caller holds
// the mutex of Control.
func (ls *leaderState) advance(id string, l *orderQueue, j orderJob, result Result) {
	switch {
	case result == Accepted:
		l.sequence++
		if l.state != nil {
			ls.placer.Reconcile(ls.now(), id, l.state.Holdings, l.state.Pending)
		}
		l.state = nil
	case !j.load && l.state == nil:
		l.sequence++
	case !j.load:
		l.sequenceKnown, l.state = false, nil
	}
}

// orderAccepted, orderRefused and orderUnanswered record results of orders for adapters. The caller holds the mutex of Control.
func (ls *leaderState) orderAccepted(id string, j orderJob, result Result) {
	switch {
	case j.holding.Name == "": // a base model takes no place of an adapter
	case j.load:
		ls.placer.LoadAccepted(ls.now(), id, j.holding)
	default:
		ls.placer.UnloadAccepted(ls.now(), id, j.holding.Adapter, result == Done)
	}
}

func (ls *leaderState) orderRefused(id string, j orderJob) {
	switch {
	case j.holding.Name == "":
	case j.load:
		ls.placer.LoadRefused(ls.now(), id, j.holding.Adapter)
	default:
		ls.placer.UnloadRefused(ls.now(), id, j.holding.Adapter)
	}
}

func (ls *leaderState) orderUnanswered(id string, j orderJob) {
	switch {
	case j.holding.Name == "": // an unanswered load of a base model is planned again
	case j.load:
		ls.placer.LoadUnanswered(ls.now(), id, j.holding)
	default:
		ls.placer.UnloadUnanswered(ls.now(), id, j.holding.Adapter)
	}
}
