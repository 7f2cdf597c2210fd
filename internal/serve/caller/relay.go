package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/engine"
)

// errWithdrawn is the cause of a stream's context when its key was withdrawn.
var errWithdrawn = errs.New("key was withdrawn")

// relay runs attempts until one completes or no further one is allowed, and responds to the caller.
func (s *Server) relay(ctx context.Context, x *exchange) {
	out := newOutput(x, s.options.WriteTimeout)
	s.retries.earn()
	var tried []string
	for n := 1; ; n++ {
		endpoint, err := s.attempt(ctx, x, out, tried)
		x.used = out.tokens(x)
		if err == nil {
			return
		}
		s.recordInterrupted(ctx, x, x.ref.Model, err)
		err = s.recordMayHaveRun(x, err)
		if !s.mayRetry(ctx, x, out, err, n) || !backoffWait(ctx, n) {
			s.finishWithError(ctx, x, out, s.endReason(ctx, err))
			return
		}
		tried = append(tried, endpoint)
		event.Log(ctx, s.options.Logger, event.RequestRetried, slog.String("Request", x.id),
			slog.String("Endpoint", endpoint), slog.Any("Error", err))
	}
}

// recordMayHaveRun records whether an attempt may have run. From then on errors of later attempts are marked as unknown
// too, because a later attempt that did not run proves nothing about the earlier ones.
func (s *Server) recordMayHaveRun(x *exchange, err error) error {
	e := refusal.From(err)
	if e.Ran == refusal.Unknown {
		x.mayHaveRun = true
	}
	if x.mayHaveRun && s.options.Rules.RememberRuns {
		return e.WithUnknown()
	}
	return err
}

// endReason replaces the error if a withdrawn key or the deadline ended the attempt.
func (s *Server) endReason(ctx context.Context, err error) error {
	e := refusal.From(err)
	switch {
	case context.Cause(ctx) == errWithdrawn:
		refused := refusal.New(refusal.NotPermitted, "key was withdrawn")
		refused.Ran = e.Ran
		return refused
	case ctx.Err() == context.DeadlineExceeded:
		refused := refusal.New(refusal.DeadlineExceeded, "deadline has passed: %s", e.Message)
		refused.Ran = e.Ran
		return refused
	}
	return e
}

// finishWithError responds with an error. A stream that has begun ends with an error event and without an end marker.
func (s *Server) finishWithError(ctx context.Context, x *exchange, out *output, err error) {
	x.outcome.Cancelled = x.r.Context().Err() != nil
	if !out.begun {
		s.refuse(x, err)
		return
	}
	e := refusal.From(err)
	s.recordRefusal(x, e)
	if x.r.Context().Err() == nil {
		out.sendError(e)
	}
}

// attempt selects an endpoint, dispatches to it and relays its response.
func (s *Server) attempt(ctx context.Context, x *exchange, out *output, tried []string) (endpoint string, err error) {
	x.begun = false
	if err := s.checkCompletion(x); err != nil { // a signature may have been quarantined meanwhile
		return "", err
	}
	request := s.request(x, uuid.NewString())
	request.Body, err = x.body.forEngine(request.Target(), s.options.Rules.RemoveKeys)
	if err != nil {
		return "", refusal.New(refusal.BadRequest, "%v", err)
	}
	s.options.Trace(x.r, StepChoose)
	target, err := s.options.Choose(s.options.Now(), request, tried)
	if err != nil && len(tried) > 0 {
		// Every endpoint has failed once; retrying them is better than giving up.
		target, err = s.options.Choose(s.options.Now(), request, nil)
	}
	if err != nil {
		return "", err
	}
	// On the first attempt the owner may select another of its endpoints; a retry must not return to the failed one.
	if len(tried) == 0 {
		request.Preferred = target.Endpoint
	} else {
		request.Endpoint = target.Endpoint
	}
	s.options.Trace(x.r, StepDispatch)
	stream, err := target.Dispatch(ctx, request)
	if err != nil {
		return target.Endpoint, err
	}
	target.Endpoint = stream.Endpoint
	defer stream.Close()
	x.outcome.Endpoint, x.outcome.Stalled = stream.Endpoint, x.outcome.Stalled || stream.Stalled
	out.attempts++
	out.startAttempt()
	for e, err := range stream.Events(out.flush) {
		if err != nil {
			out.flush()
			return target.Endpoint, err
		}
		s.recordBegin(x, x.ref.Model)
		s.traceEvent(x, e)
		if err := out.addEvent(s.options.Now(), e); err != nil {
			return target.Endpoint, err
		}
	}
	if err := out.checkLength(); err != nil {
		return target.Endpoint, err
	}
	s.options.Trace(x.r, StepEnd)
	out.end() // before the stream is closed, so that the caller does not wait for the close
	return target.Endpoint, nil
}

func (s *Server) traceEvent(x *exchange, e engine.Event) {
	switch e.Seq {
	case 1:
		s.options.Trace(x.r, StepFirstByte)
	case midStreamEvent:
		s.options.Trace(x.r, StepMidStream)
	}
}

// mayRetry reports whether another attempt is allowed: the request is known not to have run, or the caller cannot notice
// that it ran twice.
func (s *Server) mayRetry(ctx context.Context, x *exchange, out *output, err error, n int) bool {
	e := refusal.From(err)
	switch {
	case ctx.Err() != nil || n >= s.options.MaxAttempts:
		return false
	case e.Code != refusal.Unavailable && e.Code != refusal.OutcomeUnknown:
		return false
	case e.Ran == refusal.Unknown && out.begun && x.body.Temperature != 0:
		return false
	case out.mismatch || x.suspect:
		return false
	}
	return s.retries.spend()
}

var usageName = []byte(`"usage"`)

// output writes the response to the caller, as a stream or as one JSON document.
type output struct {
	x             *exchange
	begun         bool // something has been sent to the caller
	attempts      int
	mismatch      bool
	attemptEvents int      // events of the current attempt
	sentHashes    []uint64 // content hash of each event sent, compared with the events of a repeated attempt
	assembled     assembler
	first         time.Time
	timeout       time.Duration // of one write
	deadline      time.Time     // of writes
	writer        *http.ResponseController
	buffer        []byte
	unflushed     bool  // something was written and not flushed
	flushErr      error // of the last flush
}

func newOutput(x *exchange, timeout time.Duration) *output {
	return &output{x: x, timeout: timeout, writer: http.NewResponseController(x.w)}
}

// startAttempt prepares for the events of a new attempt, which must start with those that were already sent.
func (o *output) startAttempt() {
	o.attemptEvents = 0
	o.assembled = assembler{}
}

func (o *output) addEvent(now time.Time, e engine.Event) error {
	o.attemptEvents++
	if o.first.IsZero() {
		o.first = now
		o.x.outcome.FirstToken = now
	}
	if o.flushErr != nil {
		return o.flushErr
	}
	if o.passThrough(e.Data) {
		return o.write(e.Data)
	}
	c, err := decodeChunk(e.Data)
	if err != nil {
		return refusal.New(refusal.OutcomeUnknown, "endpoint sent an invalid event: %v", err)
	}
	o.assembled.add(c)
	if !o.x.body.Stream {
		return nil
	}
	hash := c.contentHash()
	if o.attemptEvents <= len(o.sentHashes) {
		if o.sentHashes[o.attemptEvents-1] != hash {
			o.mismatch = true
			return refusal.New(refusal.OutcomeUnknown, "repeated attempt gave a different answer")
		}
		return nil
	}
	if o.x.body.Temperature == 0 {
		o.sentHashes = append(o.sentHashes, hash)
	}
	return o.write(e.Data)
}

// checkLength returns an error if a repeated attempt has ended before the events that were already sent.
func (o *output) checkLength() error {
	if o.attemptEvents >= len(o.sentHashes) {
		return nil
	}
	o.mismatch = true
	return refusal.New(refusal.OutcomeUnknown, "repeated attempt gave %d events, %d were sent before", o.attemptEvents, len(o.sentHashes))
}

// passThrough reports whether an event is forwarded without being decoded: its content is never compared with a
// repeated attempt, and it does not contain the usage. This holds for most events of most streams.
func (o *output) passThrough(data []byte) bool {
	return o.x.body.Stream && o.x.body.Temperature != 0 && len(o.sentHashes) == 0 && !bytes.Contains(data, usageName)
}

// write writes the event to the connection's buffer; flush sends it.
func (o *output) write(data []byte) error {
	o.begin()
	o.limitWrites()
	o.unflushed = true
	o.buffer = engine.AppendData(o.buffer[:0], data)
	if _, err := o.x.w.Write(o.buffer); err != nil {
		return refusal.New(refusal.Unavailable, "caller disconnected").WithUnknown()
	}
	return nil
}

// limitWrites sets a write deadline, so that a caller that stops reading does not hold a place in an engine's batch
// indefinitely. The deadline is renewed after an eighth of the timeout, not for each event.
func (o *output) limitWrites() {
	now := time.Now()
	if o.deadline.Sub(now) < o.timeout-o.timeout/8 {
		o.deadline = now.Add(o.timeout)
		_ = o.writer.SetWriteDeadline(o.deadline)
	}
}

// flush sends what was written. Events that were received together are sent together.
func (o *output) flush() {
	if !o.unflushed || o.flushErr != nil {
		return
	}
	o.unflushed = false
	if err := o.writer.Flush(); err != nil {
		o.flushErr = refusal.New(refusal.Unavailable, "caller does not read: %v", err).WithUnknown()
	}
}

func (o *output) begin() {
	if o.begun {
		return
	}
	o.begun = true
	h := o.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	o.x.w.WriteHeader(http.StatusOK)
}

func (o *output) sendError(e *refusal.Error) {
	raw, _ := json.Marshal(errorBodyOf(e))
	_ = o.write(raw)
	o.flush()
	httpserver.Complete(o.x.w) // with this event as its last one
}

// end finishes a complete response.
func (o *output) end() {
	if o.x.body.Stream {
		_ = o.write([]byte(engine.DoneMarker))
		o.flush()
		httpserver.Complete(o.x.w)
		return
	}
	writeJSON(o.x.w, http.StatusOK, o.assembled.document(o.x))
}

// tokens returns the tokens used by the request: the engine's count if its only attempt completed, otherwise an estimate
// from the prompt of each accepted attempt and the events received.
func (o *output) tokens(x *exchange) int {
	if o.attempts == 0 {
		return 0
	}
	if o.assembled.usage.Total > 0 && o.attempts == 1 {
		return o.assembled.usage.Total
	}
	return min(o.attempts*x.body.promptTokens()+o.attemptEvents, x.body.promptTokens()+x.body.MaxTokens)
}
