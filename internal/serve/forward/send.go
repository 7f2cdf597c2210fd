package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/wire/upstream"
)

// verdict tells what may follow a sending.
type verdict int

const (
	answered verdict = iota // the caller has its answer, whole
	notRun                  // the request has not run there
	mayRun                  // the request may have run, or failed
)

// maxSends bounds the endpoints that one request is offered to, those that turn it away included.
const maxSends = 6

// dispatch sends the request until it is answered or nothing further is allowed.
func (h *Handler) dispatch(x *exchange) *refusal.Error {
	ctx, cancel := context.WithTimeout(x.ctx, x.deadline.Sub(h.options.Now()))
	defer cancel()
	x.ctx = ctx
	var exclude []string
	for tries := 0; ; tries++ {
		c, refused := h.place(x, exclude)
		if refused != nil {
			return h.giveUp(x, refused)
		}
		if !h.allowed(x, tries) {
			return h.giveUp(x, h.later(refusal.Overloaded, "no further endpoint may be tried"))
		}
		v, reason := h.send(x, c)
		if v == answered {
			return nil
		}
		h.logRetry(x, c, v, reason)
		if x.ctx.Err() != nil || (v == mayRun && !h.repeatable(x)) {
			return h.giveUp(x, refusal.New(refusal.OutcomeUnknown, "endpoint failed: %s", reason))
		}
		if v == notRun && reason == reasonMissing {
			// The adapter is late, or has gone since: the leader tells which.
			x.missing = c.ID
			h.pause(x)
			continue
		}
		exclude = append(exclude, c.ID)
	}
}

// missingPause is about a tenth of the time in which an adapter is loaded.
const missingPause = 30 * time.Millisecond

func (h *Handler) pause(x *exchange) {
	select {
	case <-x.ctx.Done():
	case <-time.After(missingPause):
	}
}

// repeatable tells whether a request that may have run may go to another endpoint.
func (h *Handler) repeatable(x *exchange) bool {
	return x.route.Repeatable() && x.ran < max(x.route.MaxAttempts, 1)
}

// allowed counts a sending against the budget of repeats.
func (h *Handler) allowed(x *exchange, tries int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budget(x.service.Name)
	now := h.options.Now()
	if x.sent == 0 {
		return tries < maxSends
	}
	_, entries := h.options.View.Version()
	return tries < maxSends && b.Take(now, entries)
}

// budget returns the budget of repeats of a service. h.mu is held.
func (h *Handler) budget(service string) *retry.Budget {
	b := h.budgets[service]
	if b == nil {
		b = retry.New(h.options.Retry)
		h.budgets[service] = b
	}
	return b
}

// giveUp ends a request that was not answered. What an endpoint answered goes first; a refusal states that the request
// has not run only if that is so.
func (h *Handler) giveUp(x *exchange, refused *refusal.Error) *refusal.Error {
	if x.failed != nil && !x.begun {
		x.failed.deliver(x)
		return nil
	}
	if x.ran > 0 && refused.Ran == refusal.NotRun {
		refused = refusal.New(refusal.OutcomeUnknown, "endpoint %q failed, and then: %s", x.last, refused.Message)
	}
	if refused.Code == refusal.OutcomeUnknown && x.ctx.Err() != nil {
		refused.Status = http.StatusGatewayTimeout
	}
	return refused
}

// Reasons for which a sending was not answered.
const (
	reasonUnreachable = "Unreachable"
	reasonBroken      = "Broken"
	reasonSilent      = "Silent"
	reasonFull        = "Full"
	reasonMissing     = "Missing"
	reasonError       = "Error"
	reasonStopped     = "Stopped" // by the caller or its deadline
)

// errSilent ends a sending to an endpoint from which nothing comes.
var errSilent = errs.New("endpoint is silent")

// sending is one attempt of a request at an endpoint.
type sending struct {
	choice
	ctx     context.Context
	flight  *flight
	started time.Time
}

// send makes one sending and relays its answer.
func (h *Handler) send(x *exchange, c choice) (v verdict, reason string) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	s := sending{choice: c, ctx: ctx, flight: h.takeOff(x, c, cancel), started: h.options.Now()}
	defer h.land(x, s)
	x.last, x.sentAt = c.ID, s.started
	answer, err := h.options.Pool.Do(ctx, h.outgoing(x, c))
	if errs.Is(err, upstream.ErrNotSent) {
		if x.ctx.Err() != nil {
			return notRun, reasonStopped
		}
		h.observe(c.ID, pick.Unreachable, 0)
		return notRun, reasonUnreachable
	}
	x.sent++
	if err != nil {
		x.ran++
		return mayRun, h.broken(x, s)
	}
	defer func() { _ = answer.Body.Close() }()
	h.hear(s.flight)
	reply := h.options.Codec.Reply(answer.Status, answer.Header)
	if reply.Moved || (reply.NotRun && answer.Status == http.StatusServiceUnavailable) || answer.Status == http.StatusTooManyRequests {
		return h.turnedAway(x, c, reply)
	}
	x.ran++
	return h.relay(x, s, answer, reply)
}

// turnedAway handles an endpoint that states that the request has not run.
func (h *Handler) turnedAway(x *exchange, c choice, reply Reply) (verdict, string) {
	if x.request.Adapter.Name != "" && (reply.Moved || c.loaded) {
		h.options.View.Missing(c.ID, x.request.Adapter)
		return notRun, reasonMissing
	}
	h.observe(c.ID, pick.Refused, 0)
	return notRun, reasonFull
}

// broken observes a connection that ended before its answer.
func (h *Handler) broken(x *exchange, s sending) (reason string) {
	switch {
	case errs.Is(context.Cause(s.ctx), errSilent):
		h.observe(s.ID, pick.Silent, 0)
		return reasonSilent
	case x.ctx.Err() != nil:
		h.observeUnanswered(s)
		return reasonStopped
	}
	h.observe(s.ID, pick.Failed, 0)
	return reasonBroken
}

// observeUnanswered counts an endpoint as silent from which nothing came until the caller left or its time was over. Otherwise one
// that accepts requests and never answers would go on getting them.
func (h *Handler) observeUnanswered(s sending) {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !s.flight.begun && h.silence.SilentSince(s.ID, s.started) && now.Sub(s.started) > unansweredTime {
		h.picker.Observe(now, s.ID, pick.Silent, 0)
	}
}

// unansweredTime is above the objective of most requests.
const unansweredTime = 900 * time.Millisecond

func (h *Handler) observe(id string, o pick.Outcome, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Observe(h.options.Now(), id, o, delay)
}

func (h *Handler) outgoing(x *exchange, c choice) upstream.Request {
	o := Outgoing{
		Endpoint: c.ID, Timeout: x.deadline.Sub(h.options.Now()), Version: c.version, LastEvent: x.request.LastEvent,
		Priority: h.priority(x),
	}
	if x.customer != nil {
		o.Customer = x.customer.Name
	}
	return upstream.Request{
		Address: c.Address, Method: x.request.Method, Target: x.request.Target, Host: x.request.Host,
		Header: h.options.Codec.Outgoing(x.caller.Header, o), Body: x.body, Attempt: x.request.Attempt,
	}
}

// priorityLevels of a route are told apart within one level of its customer.
const priorityLevels = 3

// lastPriority is the least urgent level that endpoints know.
const lastPriority = 9

func (h *Handler) priority(x *exchange) int {
	level := min(x.route.Priority, priorityLevels-1)
	if x.customer != nil {
		level += priorityLevels * x.customer.Priority
	}
	return min(level, lastPriority)
}

// failure is the complete answer of an endpoint that failed.
type failure struct {
	status int
	header http.Header
	body   []byte
}

func (f *failure) deliver(x *exchange) {
	copyHeader(x.Header(), f.header)
	x.WriteHeader(f.status)
	_, _ = x.Write(f.body) // a caller that has gone needs no answer
}

// connectionFields concern one connection only.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionFields, name) {
			to[name] = values
		}
	}
}

// relay passes an answer on. Whole answers are read to their end first, so that one that breaks off can be repeated.
func (h *Handler) relay(x *exchange, s sending, a *upstream.Answer, reply Reply) (verdict, string) {
	if reply.Streamed && a.Status == http.StatusOK {
		return h.stream(x, s, a)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return mayRun, h.broken(x, s)
	}
	whole := &failure{status: a.Status, header: a.Header, body: body}
	if a.Status >= http.StatusInternalServerError {
		h.observe(s.ID, pick.Failed, 0)
		x.failed = whole
		return mayRun, reasonError
	}
	if x.begun {
		return mayRun, reasonError // a stream cannot go on with another kind of answer
	}
	h.observe(s.ID, pick.Served, h.options.Now().Sub(s.started))
	x.first = h.options.Now()
	whole.deliver(x)
	return answered, ""
}

// maxAnswer bounds an answer that is no stream, in bytes.
const maxAnswer = 8 << 20

func (h *Handler) logRetry(x *exchange, c choice, v verdict, reason string) {
	event.Log(x.ctx, h.options.Logger, event.RequestRetried, slog.String("Attempt", x.request.Attempt),
		slog.String("Endpoint", c.ID), slog.String("Reason", reason), slog.Bool("NotRun", v == notRun),
		slog.Int("Sent", x.sent), slog.Int("Ran", x.ran), slog.Bool("Begun", x.begun), slog.String("LastEvent", x.request.LastEvent))
}
