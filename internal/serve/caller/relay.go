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
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/engine"
)

// errWithdrawn is the cause of a stream's context when its key no longer permits it.
var errWithdrawn = errs.New("key was withdrawn")

// relay runs attempts until one has answered whole or none may follow, and answers the caller.
func (s *Server) relay(ctx context.Context, x *exchange) {
	out := newOutput(x, s.options.WriteTimeout)
	s.retries.earn()
	var tried []string
	mayHaveRun := false
	for n := 1; ; n++ {
		endpoint, err := s.attempt(ctx, x, out, tried)
		x.used = out.tokens(x)
		if err == nil {
			return
		}
		err = s.remember(&mayHaveRun, err)
		if !s.mayRetry(ctx, x, out, err, n) || !backoffWait(ctx, n) {
			s.fail(ctx, x, out, s.explain(ctx, err))
			return
		}
		tried = append(tried, endpoint)
		event.Log(ctx, s.options.Logger, event.RequestRetried, slog.String("Request", x.id),
			slog.String("Endpoint", endpoint), slog.Any("Error", err))
	}
}

// remember keeps that an attempt may have run: a later attempt that surely did not run proves nothing about the
// earlier ones.
func (s *Server) remember(mayHaveRun *bool, err error) error {
	e := refusal.From(err)
	if e.Ran == refusal.Unknown {
		*mayHaveRun = true
	}
	if *mayHaveRun && s.options.Rules.RememberRuns {
		return e.WithUnknown()
	}
	return err
}

// explain names withdrawal and deadline as the reason where they ended the attempt.
func (s *Server) explain(ctx context.Context, err error) error {
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

// fail answers with an error, or ends a stream that has begun with an error event and no end marker.
func (s *Server) fail(ctx context.Context, x *exchange, out *output, err error) {
	x.outcome.Cancelled = x.r.Context().Err() != nil
	if !out.begun {
		s.refuse(x, err)
		return
	}
	e := refusal.From(err)
	s.noteRefusal(x, e)
	if x.r.Context().Err() == nil {
		out.sendError(e)
	}
}

// attempt chooses an endpoint, dispatches to it and relays its answer.
func (s *Server) attempt(ctx context.Context, x *exchange, out *output, tried []string) (endpoint string, err error) {
	request := s.request(x, uuid.NewString())
	request.Body, err = x.body.forEngine(request.Target(), s.options.Rules.RemoveKeys)
	if err != nil {
		return "", refusal.New(refusal.BadRequest, "%v", err)
	}
	s.options.Trace(x.r, StepChoose)
	target, err := s.options.Choose(s.options.Now(), request, tried)
	if err != nil && len(tried) > 0 {
		// Every endpoint has failed once; another try of the same ones is better than none.
		target, err = s.options.Choose(s.options.Now(), request, nil)
	}
	if err != nil {
		return "", err
	}
	// The owner may prefer another of its endpoints at first; a retry must not come back to the one that failed.
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
	out.restart()
	for e, err := range stream.Events(out.flush) {
		if err != nil {
			out.flush()
			return target.Endpoint, err
		}
		s.traceEvent(x, e)
		if err := out.add(s.options.Now(), e); err != nil {
			return target.Endpoint, err
		}
	}
	s.options.Trace(x.r, StepEnd)
	out.end() // before the stream is closed, so that the caller does not wait for that
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

// mayRetry allows another attempt where the request surely did not run or where running it again cannot show.
func (s *Server) mayRetry(ctx context.Context, x *exchange, out *output, err error, n int) bool {
	e := refusal.From(err)
	switch {
	case ctx.Err() != nil || n >= s.options.MaxAttempts:
		return false
	case e.Code != refusal.Unavailable && e.Code != refusal.OutcomeUnknown:
		return false
	case e.Ran == refusal.Unknown && out.begun && x.body.Temperature != 0:
		return false
	case out.mismatch:
		return false
	}
	return s.retries.spend()
}

var usageName = []byte(`"usage"`)

// output writes the answer to the caller, as a stream or as one JSON document.
type output struct {
	x        *exchange
	begun    bool // something has been sent to the caller
	attempts int
	mismatch bool
	seen     int      // events of the current attempt
	sent     []uint64 // hash of each event sent, to compare a repeated attempt with
	parts    assembler
	first    time.Time
	timeout  time.Duration // of one write
	deadline time.Time     // of writes
	writer   *http.ResponseController
	buffer   []byte
	unsent   bool  // something was written and not flushed
	failed   error // of the last flush
}

func newOutput(x *exchange, timeout time.Duration) *output {
	return &output{x: x, timeout: timeout, writer: http.NewResponseController(x.w)}
}

// restart begins a further attempt: its first events must equal what was sent already.
func (o *output) restart() {
	o.seen = 0
	o.parts = assembler{}
}

func (o *output) add(now time.Time, e engine.Event) error {
	o.seen++
	if o.first.IsZero() {
		o.first = now
		o.x.outcome.FirstToken = now
	}
	if o.failed != nil {
		return o.failed
	}
	if o.passes(e.Data) {
		return o.write(e.Data)
	}
	c, err := decodeChunk(e.Data)
	if err != nil {
		return refusal.New(refusal.OutcomeUnknown, "endpoint sent an invalid event: %v", err)
	}
	o.parts.add(c)
	if !o.x.body.Stream {
		return nil
	}
	hash := c.contentHash()
	if o.seen <= len(o.sent) {
		if o.sent[o.seen-1] != hash {
			o.mismatch = true
			return refusal.New(refusal.OutcomeUnknown, "repeated attempt gave a different answer")
		}
		return nil
	}
	if o.x.body.Temperature == 0 {
		o.sent = append(o.sent, hash)
	}
	return o.write(e.Data)
}

// passes tells whether an event goes to the caller without being decoded: its content is never compared with a
// repeated attempt, and it does not carry the usage. Most events of most streams are of this kind.
func (o *output) passes(data []byte) bool {
	return o.x.body.Stream && o.x.body.Temperature != 0 && len(o.sent) == 0 && !bytes.Contains(data, usageName)
}

// write leaves the event in the buffer of the connection until flush is called.
func (o *output) write(data []byte) error {
	o.begin()
	o.limitWrites()
	o.unsent = true
	o.buffer = engine.AppendData(o.buffer[:0], data)
	if _, err := o.x.w.Write(o.buffer); err != nil {
		return refusal.New(refusal.Unavailable, "caller has gone").WithUnknown()
	}
	return nil
}

// limitWrites keeps a caller that stops reading from holding a place in an engine's batch for ever. The deadline is
// renewed once an eighth of it has passed, not for each event.
func (o *output) limitWrites() {
	now := time.Now()
	if o.deadline.Sub(now) < o.timeout-o.timeout/8 {
		o.deadline = now.Add(o.timeout)
		_ = o.writer.SetWriteDeadline(o.deadline)
	}
}

// flush sends what was written; events that arrived together are so sent together.
func (o *output) flush() {
	if !o.unsent || o.failed != nil {
		return
	}
	o.unsent = false
	if err := o.writer.Flush(); err != nil {
		o.failed = refusal.New(refusal.Unavailable, "caller does not read: %v", err).WithUnknown()
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
	raw, _ := json.Marshal(describe(e))
	_ = o.write(raw)
	o.flush()
}

// end finishes a whole answer.
func (o *output) end() {
	if o.x.body.Stream {
		_ = o.write([]byte(engine.DoneMarker))
		o.flush()
		return
	}
	writeJSON(o.x.w, http.StatusOK, o.parts.document(o.x))
}

// tokens returns what the request used: the engine's figure for a whole answer, otherwise the prompt and the events
// seen for each attempt that an engine accepted.
func (o *output) tokens(x *exchange) int {
	if o.attempts == 0 {
		return 0
	}
	if o.parts.usage.Total > 0 && o.attempts == 1 {
		return o.parts.usage.Total
	}
	return min(o.attempts*x.body.promptTokens()+o.seen, x.body.promptTokens()+x.body.MaxTokens)
}
