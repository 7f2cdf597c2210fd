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
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
)

// errIdle is the cause of a context that was cancelled because no event arrived within the idle timeout.
var errIdle = errs.New("no event within the idle timeout")

// Stream is the response to one attempt; Close must be called.
type Stream struct {
	Attempt  string
	Endpoint string
	View     scheduler.View // used by the router of the entry
	Stalled  bool           // the request waited for its adapter to be loaded
	events   func(beforeWait func()) iter.Seq2[engine.Event, error]
	close    func()
}

// Events yields each event once and in order; it ends without an error only at the end marker. If beforeWait is not
// nil, it is called when all received events have been yielded, before waiting for more.
func (s *Stream) Events(beforeWait func()) iter.Seq2[engine.Event, error] {
	return s.events(beforeWait)
}

// Close releases the attempt's resources and cancels it on the engine if it has not ended.
func (s *Stream) Close() { s.close() }

// transfer relays one stream from the engine to its reader.
type transfer struct {
	owner    *Owner
	endpoint *ownedEndpoint
	request  Request
	ctx      context.Context
	cancel   context.CancelFunc
	answer   *engine.Answer
	sentAt   time.Time
	sentTo   engine.Announcement // the endpoint's incarnation at that time
	watch    *watchdog
	last     uint64 // sequence number of the last event yielded
	resumes  int
	complete bool
	once     sync.Once
}

func (o *Owner) open(ctx context.Context, cancel context.CancelFunc, e *ownedEndpoint, r Request) (*Stream, error) {
	t := &transfer{owner: o, endpoint: e, request: r, ctx: ctx, cancel: cancel, sentAt: o.options.Now()}
	o.mu.Lock()
	t.sentTo = e.grant.Endpoint
	o.mu.Unlock()
	attempt := engine.Attempt{
		ID: r.Attempt, Path: r.Path, Model: r.Target(), Priority: r.Priority, Deadline: r.Deadline, Body: r.Body,
	}
	t.watch = t.newWatch()
	answer, err := e.client.Complete(t.watch.ctx, attempt)
	if err != nil {
		t.recordBroken(err, false)
		t.watch.stop()
		t.finish(true)
		return nil, t.toRefusal(err)
	}
	t.answer = answer
	return &Stream{
		Attempt: r.Attempt, Endpoint: e.name, View: o.view(e.name, r.Adapter), events: t.events, close: t.close,
	}, nil
}

// newWatch returns the watchdog of an attempt, which ends when the reader leaves. One of a request that may have crashed endpoints goes on until it has
// begun, since that shows whether it has.
func (t *transfer) newWatch() *watchdog {
	parent := t.ctx
	if t.last == 0 && t.owner.options.Recorder.Suspected(t.request.Model, t.request.Signatures) {
		parent = context.WithoutCancel(t.ctx)
	}
	return newWatchdog(parent, t.owner.options.IdleTimeout)
}

// recordBroken records an attempt that its endpoint accepted and whose connection broke before the answer began, or which this instance has ended before
// that.
func (t *transfer) recordBroken(cause error, acknowledged bool) {
	if engine.NotRun.Has(cause) || engine.WrongAttempt.Has(cause) {
		return
	}
	to := t.sentTo
	a := quarantine.Attempt{
		Incarnation: quarantine.Incarnation{Endpoint: to.Name, Born: int64(to.Incarnation)}, Service: t.request.Model,
		Signatures: t.request.Signatures, SentAt: t.sentAt, Acknowledged: acknowledged,
	}
	if t.watch.ctx.Err() != nil { // the endpoint may run it all the same
		a.Acknowledged = false
		t.owner.options.Recorder.Left(a, to.Address, t.request.Deadline.Add(overrun))
		return
	}
	t.owner.options.Recorder.Broken(t.ctx, a, to.Address)
}

// overrun is the time by which an endpoint may exceed the deadline of a request.
const overrun = time.Second

// toRefusal converts an engine error to a refusal; only class NotRun proves that the request did not run.
func (t *transfer) toRefusal(err error) error {
	if engine.NotRun.Has(err) {
		return refusal.New(refusal.Unavailable, "endpoint did not accept the request: %v", err)
	}
	return refusal.New(refusal.OutcomeUnknown, "%v", err)
}

func (t *transfer) events(beforeWait func()) iter.Seq2[engine.Event, error] {
	return func(yield func(engine.Event, error) bool) {
		for {
			err, wantMore := t.yieldEvents(beforeWait, yield)
			if !wantMore {
				return
			}
			if err == nil {
				t.complete = true
				return
			}
			if err = t.resume(err); err != nil {
				// The attempt has run, also if the engine states that it did not run the request to resume it.
				yield(engine.Event{}, refusal.New(refusal.OutcomeUnknown, "%v", err))
				return
			}
		}
	}
}

// yieldEvents yields the events of the current response; wantMore is false once the reader has stopped. Repeated events are
// dropped, and a gap is treated as a truncated stream.
func (t *transfer) yieldEvents(beforeWait func(), yield func(engine.Event, error) bool) (err error, wantMore bool) { //nolint:revive,staticcheck // the error is a value here
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
		if t.last == 0 {
			t.owner.options.Recorder.Begun(t.request.Model, t.request.Signatures)
		}
		t.last = e.Seq
		if !yield(e, nil) {
			return nil, false
		}
	}
	return nil, true
}

// resume reopens a truncated or idle stream after the last event received. A non-nil error ends the stream.
func (t *transfer) resume(cause error) error {
	o := t.owner
	idle := context.Cause(t.watch.ctx) == errIdle
	if t.last == 0 {
		t.recordBroken(cause, true)
	}
	t.answer.Close()
	t.watch.stop()
	if t.ctx.Err() != nil || t.resumes >= o.options.MaxResumes || engine.WrongAttempt.Has(cause) {
		return cause
	}
	if idle && !t.endpointAlive() {
		return cause
	}
	t.resumes++
	event.Log(t.ctx, o.options.Logger, event.StreamCut, slog.String("Attempt", t.request.Attempt),
		slog.Uint64("After", t.last), slog.Any("Error", cause))
	t.watch = t.newWatch()
	answer, err := t.endpoint.client.Resume(t.watch.ctx, t.request.Attempt, t.request.Target(), t.last)
	if err != nil {
		// Without the class of err: that the endpoint did not accept the resumption does not show that the request has not run.
		return engine.Error.New("%v; resume: %v", cause, err)
	}
	t.answer = answer
	return nil
}

// endpointAlive probes the endpoint on a new connection, to distinguish an unresponsive connection from an unresponsive
// endpoint.
func (t *transfer) endpointAlive() bool {
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
	// The connection is drained for reuse in the background, so that the caller need not wait for it.
	t.watch.detach()
	if !t.complete || !t.owner.spawn(t.drain) {
		t.release()
	}
	t.finish(!t.complete)
}

// drain reads the rest of a complete response so that its connection can be reused; the idle timeout bounds it.
func (t *transfer) drain() {
	t.answer.Drain()
	t.release()
}

func (t *transfer) release() {
	t.watch.stop()
	t.answer.Close()
}

// finish releases the place in the batch. An attempt that did not end is cancelled on the engine first, so that the engine
// does not run it concurrently with the next one.
func (t *transfer) finish(cancelOnEngine bool) {
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

// watchdog cancels its context when it is not reset within the idle timeout, or when the parent ends before detach is
// called.
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
