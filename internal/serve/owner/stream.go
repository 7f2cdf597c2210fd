package owner

import (
	"context"
	"iter"
	"log/slog"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

// errIdle is the cause of a context that ended because a connection stayed without events.
var errIdle = errs.New("no event before the idle deadline")

// Stream is the answer to one attempt; Close must be called.
type Stream struct {
	Attempt  string
	Endpoint string
	View     scheduler.View // for the router of the entry
	Stalled  bool           // the request waited for its adapter to be loaded
	events   func(beforeWait func()) iter.Seq2[engine.Event, error]
	close    func()
}

// Events yields each event once and in order; it ends without error only at the end marker. The function beforeWait,
// which may be nil, is called when all events that have arrived were yielded, before the next ones are waited for.
func (s *Stream) Events(beforeWait func()) iter.Seq2[engine.Event, error] {
	return s.events(beforeWait)
}

// Close frees what the attempt holds and cancels it on the engine if it has not ended.
func (s *Stream) Close() { s.close() }

// transfer is the state of one stream between engine and reader.
type transfer struct {
	owner    *Owner
	endpoint *ownedEndpoint
	request  Request
	ctx      context.Context
	cancel   context.CancelFunc
	answer   *engine.Answer
	watch    *watchdog
	last     uint64 // sequence number of the last event yielded
	resumes  int
	complete bool
	once     sync.Once
}

func (o *Owner) open(ctx context.Context, cancel context.CancelFunc, e *ownedEndpoint, r Request) (*Stream, error) {
	t := &transfer{owner: o, endpoint: e, request: r, ctx: ctx, cancel: cancel}
	attempt := engine.Attempt{
		ID: r.Attempt, Path: r.Path, Model: r.Target(), Priority: r.Priority, Deadline: r.Deadline, Body: r.Body,
	}
	t.watch = newWatchdog(ctx, o.options.IdleTimeout)
	answer, err := e.client.Complete(t.watch.ctx, attempt)
	if err != nil {
		t.watch.stop()
		t.free(true)
		return nil, t.refuse(err)
	}
	t.answer = answer
	return &Stream{
		Attempt: r.Attempt, Endpoint: e.name, View: o.view(e.name, r.Adapter), events: t.events, close: t.close,
	}, nil
}

// refuse types an error of the engine; only class NotRun is proof that the request did not run.
func (t *transfer) refuse(err error) error {
	if engine.NotRun.Has(err) {
		return refusal.New(refusal.Unavailable, "endpoint did not accept the request: %v", err)
	}
	return refusal.New(refusal.OutcomeUnknown, "%v", err)
}

func (t *transfer) events(beforeWait func()) iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		for {
			err, goOn := t.pass(beforeWait, yield)
			if !goOn {
				return
			}
			if err == nil {
				t.complete = true
				return
			}
			if err = t.resume(err); err != nil {
				yield(engine.Event{}, t.refuse(err))
				return
			}
		}
	}
}

// pass yields the events of the current answer. Repeated events are dropped and a gap counts as a cut.
func (t *transfer) pass(beforeWait func(), yield func(engine.Event, error) bool) (err error, goOn bool) { //nolint:revive,staticcheck // the error is a value here
	check := t.owner.options.Rules.CheckOrder
	for e, err := range t.answer.Events(beforeWait) {
		switch {
		case err != nil:
			return err, true
		case check && e.Seq <= t.last:
			continue
		case check && e.Seq > t.last+1:
			return engine.Truncated.New("event %d follows event %d", e.Seq, t.last), true
		}
		t.watch.reset()
		t.last = e.Seq
		if !yield(e, nil) {
			return nil, false
		}
	}
	return nil, true
}

// resume reopens a cut or silent stream after the last event; it returns the error that ends the stream.
func (t *transfer) resume(cause error) error {
	o := t.owner
	idle := context.Cause(t.watch.ctx) == errIdle
	t.answer.Close()
	t.watch.stop()
	if t.ctx.Err() != nil || t.resumes >= o.options.MaxResumes || engine.WrongAttempt.Has(cause) {
		return cause
	}
	if idle && !t.alive() {
		return cause
	}
	t.resumes++
	event.Log(t.ctx, o.options.Logger, event.StreamCut, slog.String("Attempt", t.request.Attempt),
		slog.Uint64("After", t.last), slog.Any("Error", cause))
	t.watch = newWatchdog(t.ctx, o.options.IdleTimeout)
	answer, err := t.endpoint.client.Resume(t.watch.ctx, t.request.Attempt, t.request.Target(), t.last)
	if err != nil {
		return err
	}
	t.answer = answer
	return nil
}

// alive tells a silent connection from a silent endpoint by a probe on a new connection.
func (t *transfer) alive() bool {
	o := t.owner
	ctx, cancel := context.WithTimeout(t.ctx, o.options.ProbeTimeout)
	defer cancel()
	if t.endpoint.client.Probe(ctx) != nil {
		return false
	}
	t.endpoint.client.CloseIdle()
	event.Log(t.ctx, o.options.Logger, event.ConnectionSilent,
		slog.String("Endpoint", t.endpoint.name))
	return true
}

func (t *transfer) close() {
	// The connection is drained for its next request beyond the end of this one, whose caller need not wait for it.
	t.watch.detach()
	if !t.complete || !t.owner.spawn(t.drain) {
		t.release()
	}
	t.free(!t.complete)
}

// drain makes the connection of a complete answer reusable; the idle deadline bounds it.
func (t *transfer) drain() {
	t.answer.Drain()
	t.release()
}

func (t *transfer) release() {
	t.watch.stop()
	t.answer.Close()
}

// free gives back the place in the batch; an attempt that did not end is cancelled on the engine first, so that
// the engine does not run it beside the next one.
func (t *transfer) free(cancelOnEngine bool) {
	t.once.Do(func() {
		t.cancel()
		if !cancelOnEngine {
			t.owner.finish(t.request.Attempt, int(t.last)+t.request.PromptTokens, false)
			return
		}
		release := func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), t.owner.options.ProbeTimeout)
			defer cancel()
			_ = t.endpoint.client.Cancel(ctx, t.request.Attempt)
			t.owner.finish(t.request.Attempt, int(t.last)+t.request.PromptTokens, true)
		}
		if !t.owner.spawn(release) {
			release()
		}
	})
}

// watchdog ends a context when it is not reset for a while, or when the parent ends before detach is called.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	detach func() bool
	timer  *time.Timer
	idle   time.Duration
}

func newWatchdog(parent context.Context, idle time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(parent))
	return &watchdog{
		ctx: ctx, cancel: cancel, idle: idle, timer: time.AfterFunc(idle, func() { cancel(errIdle) }),
		detach: context.AfterFunc(parent, func() { cancel(context.Cause(parent)) }),
	}
}

func (w *watchdog) reset() { w.timer.Reset(w.idle) }

func (w *watchdog) stop() {
	w.detach()
	w.timer.Stop()
	w.cancel(context.Canceled)
}
