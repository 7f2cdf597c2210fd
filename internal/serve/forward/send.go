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
	"lycheevale/internal/limit/buffers"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/state/document"
	"lycheevale/internal/wire/upstream"
)

// attemptResult states what is known of an attempt, and so whether another may follow.
type attemptResult int

const (
	answered   attemptResult = iota // the complete answer has been delivered
	begun                           // a part of the answer can be delivered
	notRun                          // the endpoint has not run the request
	mayHaveRun                      // the request may have run, or has failed
)

// maxEndpointsTried limits the attempts of one request, including those at endpoints that did not run it. A begun stream that breaks off may be tried
// once more after each awaitPause.
const maxEndpointsTried = 6

// dispatch sends the request to endpoints until one answers or no further attempt is allowed.
func (h *Handler) dispatch(x *exchange) *refusal.Error {
	ctx, cancel := context.WithTimeout(x.ctx, x.deadline.Sub(h.options.Now()))
	defer cancel()
	x.ctx = ctx
	s, refused := h.begin(x)
	for refused == nil {
		v, reason := h.deliver(x, s)
		if v == answered {
			h.cancelSearch(x, s)
			return nil
		}
		if s, refused = h.replace(x, s, v, reason); s == nil && refused == nil {
			s, refused = h.begin(x)
		}
	}
	return h.giveUp(x, refused)
}

// begin sends the request to endpoints until one has begun to answer. The attempt that it returns has an answer that is no stream, or the first
// events of one; nothing of it has been delivered.
func (h *Handler) begin(x *exchange) (s *attempt, refused *refusal.Error) {
	var running *attempt
	defer func() {
		if running != nil { // after a panic
			h.endAttempt(x, running)
		}
	}()
	for {
		c, refused := h.placeAllowed(x)
		if refused != nil {
			return nil, refused
		}
		s = h.start(x, c)
		running = s
		v, reason := h.awaitBegin(x, s)
		running = nil
		if v == begun {
			h.cancelSearch(x, s)
			h.allowTries(x, s.inFlight)
			return s, nil
		}
		h.endAttempt(x, s)
		if s, refused = h.replace(x, s, v, reason); s != nil || refused != nil {
			return s, refused
		}
	}
}

// allowTries forgets the tries before an endpoint has begun to answer, so that as many are allowed if it breaks off or falls silent.
func (h *Handler) allowTries(x *exchange, f *inFlight) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x.tries = 1
	f.movable = h.movable(x)
}

// placeAllowed chooses the endpoint of the next attempt, if one may be made.
func (h *Handler) placeAllowed(x *exchange) (c choice, refused *refusal.Error) {
	for {
		c, refused = h.placeAdmitted(x)
		if refused == nil {
			if refused = h.checkBacklog(x, c); refused != nil {
				return c, refused
			}
			if waited, refused := h.awaitTurn(x); refused != nil {
				return c, refused
			} else if waited {
				continue // the endpoint may have crashed meanwhile
			}
			if refused = h.allowAttempt(x); refused == nil {
				return c, h.checkQuarantine(x, true) // a signature may have been quarantined since the request arrived
			}
		}
		if !h.awaitEndpoint(x) {
			return c, refused
		}
	}
}

// replace returns the attempt that a search has found in place of one that was not answered, or none if the request may be sent again, or a refusal.
func (h *Handler) replace(x *exchange, s *attempt, v attemptResult, reason string) (next *attempt, refused *refusal.Error) {
	h.logRetry(x, s.choice, v, reason)
	if v == mayHaveRun {
		x.interruptedAt = h.options.Now()
	}
	if x.mayCrash {
		h.cancelUnfinishedSearch(x, s) // the request may crash the next endpoint too
	}
	if next = h.joinSearch(x); next != nil {
		return next, nil
	}
	if x.ctx.Err() != nil && v == notRun && x.ran == 0 {
		return nil, h.refuseWithRetry(refusal.Unavailable, "the caller left or its time has passed, and no endpoint has run the request: %s", reason)
	}
	if x.ctx.Err() != nil || ((v == mayHaveRun || x.ran > 0) && !h.repeatable(x)) {
		return nil, refusal.New(refusal.OutcomeUnknown, "endpoint failed: %s", reason)
	}
	if v == notRun && reason == reasonMissing {
		// The adapter is not ready yet or has been evicted; the leader knows which.
		x.missingAt = s.ID
		h.pauseForAdapter(x)
		return nil, nil
	}
	x.exclude = append(slices.Clip(x.exclude), s.ID)
	return nil, nil
}

// awaitEndpoint waits for an endpoint that may take over a stream which has begun, or a request at a silent endpoint, if there is none now; also for
// those that refused it before. It returns false if no other one may take it or its caller is about to leave.
func (h *Handler) awaitEndpoint(x *exchange) bool {
	broken := x.headSent && len(x.silent) == 0
	waits := broken || (len(x.silent) > 0 && x.tries < maxEndpointsTried)
	if !waits || !h.repeatable(x) || h.options.Now().Sub(x.interruptedAt) >= streamWait {
		return false
	}
	x.exclude = x.silent
	select {
	case <-x.ctx.Done():
		return false
	case <-time.After(awaitPause):
	}
	if broken {
		x.tries = min(x.tries, maxEndpointsTried-1) // refusals must not end a stream before its time; the pauses limit the further tries
	}
	return true
}

const (
	// streamWait leaves half a second of the shortest gap in a stream, two seconds, after which callers leave.
	streamWait = 1500 * time.Millisecond
	// awaitPause is a few times the time to the first event of a free endpoint.
	awaitPause = 150 * time.Millisecond
)

// checkBacklog refuses a request that would wait at its endpoint for much longer than its latency objective, because of the prompts ahead of
// it. An engine reads all prompts that it has accepted, also those whose callers leave, so that accepting more than it reads in time makes
// every answer late.
func (h *Handler) checkBacklog(x *exchange, c choice) *refusal.Error {
	limit := maxBacklog(x.route)
	if x.sent > 0 || x.request.PromptTokens == 0 || limit <= 0 || x.request.LastEvent != "" {
		return nil // the caller of a stream that is continued has the beginning of the answer
	}
	h.mu.Lock()
	ahead := h.backlog(c.ID)
	h.mu.Unlock()
	if ahead <= limit {
		return nil
	}
	refused := h.refuseWithRetry(refusal.Overloaded, "prompts ahead at endpoint %q take %v, limit %v", c.ID, ahead.Round(time.Millisecond), limit)
	return refused.WithRetryAt(refused.RetryAt.Add(ahead - limit))
}

// maxBacklog returns the longest time to read the prompts ahead of a request of a route, 0 for no limit.
func maxBacklog(r *document.Route) time.Duration {
	return time.Duration(backlogLimit * float64(r.Objective))
}

// backlogLimit is the time to read the prompts ahead of a request, in latency objectives of its route, up to which it is sent.
const backlogLimit = 1.5

// missingAdapterPause is roughly a tenth of the load time of an adapter.
const missingAdapterPause = 30 * time.Millisecond

func (h *Handler) pauseForAdapter(x *exchange) {
	select {
	case <-x.ctx.Done():
	case <-time.After(missingAdapterPause):
	}
}

// repeatable reports whether a request that may have run may go to another endpoint.
func (h *Handler) repeatable(x *exchange) bool {
	return x.route.Repeatable() && x.ran < max(x.route.MaxAttempts, 1) && !x.mayCrash && !x.unresumable
}

// allowAttempt refuses a request that may not be sent to another endpoint, and charges repeats to the retry budget.
func (h *Handler) allowAttempt(x *exchange) *refusal.Error {
	if x.tries >= maxEndpointsTried {
		return h.refuseWithRetry(refusal.Overloaded, "%d endpoints were tried", x.tries)
	}
	charged := x.sent == 0 || x.charged
	x.charged = false
	if charged || h.takeRepeat(x.service.Name) {
		return nil
	}
	return h.refuseWithRetry(refusal.Overloaded, "the retry budget of service %q is exhausted", x.service.Name)
}

func (h *Handler) takeRepeat(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, entries := h.options.View.Version()
	return h.budget(service).Take(h.options.Now(), entries)
}

// budget returns the retry budget of a service. The caller holds h.mu.
func (h *Handler) budget(service string) *retry.Budget {
	b := h.budgets[service]
	if b == nil {
		b = retry.New(h.options.Retry)
		h.budgets[service] = b
	}
	return b
}

// giveUp ends a request that was not answered. An endpoint's error answer takes precedence over the refusal; a refusal
// states that the request has not run only if no endpoint may have run it.
func (h *Handler) giveUp(x *exchange, refused *refusal.Error) *refusal.Error {
	if x.failedAnswer != nil && !x.headSent {
		x.failedAnswer.deliver(x)
		return nil
	}
	if x.ran > 0 && refused.Ran == refusal.NotRun {
		refused = refusal.New(refusal.OutcomeUnknown, "endpoint %q failed, and then: %s", x.lastEndpoint, refused.Message)
	}
	if refused.Code == refusal.OutcomeUnknown && x.ctx.Err() != nil {
		refused.Status = http.StatusGatewayTimeout
	}
	return refused
}

// Reasons for which an attempt was not answered.
const (
	reasonUnavailable = "Unavailable" // the endpoint has left, or takes no more requests of this entry for now
	reasonRestarted   = "Restarted"   // the endpoint may have another software version now
	reasonUnreachable = "Unreachable"
	reasonBroken      = "Broken"
	reasonSilent      = "Silent"
	reasonFull        = "Full"
	reasonMissing     = "Missing"
	reasonError       = "Error"
	reasonUnmarked    = "Unmarked"  // the endpoint refused, but does not state that the request has not run
	reasonMalformed   = "Malformed" // the answer breaks the protocol or exceeds a limit
	reasonStopped     = "Stopped"   // the caller disconnected or its deadline passed
)

// recordStatements records what an endpoint states about itself in the head of an answer. An answer to a request that was meant for another endpoint
// states nothing about that one.
func (h *Handler) recordStatements(x *exchange, c choice, reply Reply) {
	if reply.Moved {
		return
	}
	if reply.Leaving && h.options.View.RecordLeaving(c.Endpoint) {
		event.Log(x.ctx, h.options.Logger, event.EndpointLeaves, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", c.ID),
			slog.Int64("Born", c.Born))
	}
	h.recordCeiling(x, c, reply.Limit)
	now := h.options.Now()
	if !reply.RetryAt.After(now) {
		return
	}
	event.Log(x.ctx, h.options.Logger, event.EndpointPaused, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", c.ID),
		slog.Int64("ForMillis", reply.RetryAt.Sub(now).Milliseconds()))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.picker.Pause(now, c.ID, reply.RetryAt)
}

// promisesNotRun reports whether callers take a status as a promise that the request has not run. It is passed on only if the endpoint
// states the same.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// handleNotRun handles an answer which states that the request has not run.
func (h *Handler) handleNotRun(x *exchange, c choice, reply Reply) (attemptResult, string) {
	if x.request.Adapter.Name != "" && (reply.Moved || c.loaded) {
		h.options.View.RemoveHolder(c.ID, x.request.Adapter)
		return notRun, reasonMissing
	}
	h.observe(c.ID, pick.Refused, 0)
	return notRun, reasonFull
}

// connectionBroken records the failure of a connection that ended before the answer was complete.
func (h *Handler) connectionBroken(x *exchange, s *attempt, err error) (reason string) {
	switch {
	case errs.Is(err, upstream.ErrMalformed):
		event.Log(x.ctx, h.options.Logger, event.AnswerMalformed, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", s.ID),
			slog.Any("Error", err))
		h.observe(s.ID, pick.Malformed, 0)
		return reasonMalformed
	case errs.Is(err, errReplaced):
		h.recordLeft(x, s)
		return reasonSilent
	case errs.Is(err, errRestarted):
		return reasonRestarted
	case s.ctx.Err() != nil:
		h.observeUnanswered(s)
		h.recordLeft(x, s)
		return reasonStopped
	}
	h.observe(s.ID, pick.Failed, 0)
	h.recordBroken(x, s)
	return reasonBroken
}

// observeUnanswered records an endpoint as silent if it sent nothing until the caller disconnected or its deadline passed. Without
// this, an endpoint that accepts requests and never answers would keep receiving them.
func (h *Handler) observeUnanswered(s *attempt) {
	now := h.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !s.inFlight.begun && h.silence.SilentSince(s.ID, s.started) && now.Sub(s.started) > unansweredTime {
		h.picker.Observe(now, s.ID, pick.Silent, 0)
	}
}

// unansweredTime is longer than the latency objective of most requests.
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

// priorityLevels is the number of route priorities within one priority level of a customer.
const priorityLevels = 3

// lastPriority is the lowest priority that endpoints accept.
const lastPriority = 9

func (h *Handler) priority(x *exchange) int {
	level := min(x.route.Priority, priorityLevels-1)
	if x.customer != nil {
		level += priorityLevels * x.customer.Priority
	}
	return min(level, lastPriority)
}

// completeAnswer is an answer that has been read to its end.
type completeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (f *completeAnswer) deliver(x *exchange) {
	copyHeader(x.Header(), f.header)
	x.WriteHeader(f.status)
	_, _ = x.Write(f.body) // a caller that has disconnected needs no answer
}

// connectionFields are the header fields that apply to one connection only and are not relayed.
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

// awaitAnswer reads a short answer that is no stream completely, so that the request can be sent again if the connection breaks, and the beginning of
// a long one.
func (h *Handler) awaitAnswer(x *exchange, s *attempt) (attemptResult, string) {
	body, err := x.buffers.Read(nil, h.body(x, s), maxBufferedAnswer, h.priority(x))
	s.long = err == nil && len(body) == maxBufferedAnswer
	if errs.Is(err, buffers.ErrFull) {
		event.Log(x.ctx, h.options.Logger, event.BuffersFull, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", s.ID), slog.Int("Read", len(body)))
		s.long = true
	} else if err != nil {
		return mayHaveRun, h.connectionBroken(x, s, err)
	}
	if x.headSent {
		return mayHaveRun, reasonError // a stream that has begun cannot continue with an answer that is no stream
	}
	if len(x.silent) > 0 && s.answer.Status >= http.StatusMultipleChoices {
		return mayHaveRun, reasonError // a failure here is no reason to give up the endpoint that is silent
	}
	s.complete = &completeAnswer{status: s.answer.Status, header: s.answer.Header, body: body}
	if s.answer.Status >= http.StatusInternalServerError {
		h.observe(s.ID, pick.Failed, 0)
		if !s.long {
			x.failedAnswer = s.complete
			return mayHaveRun, reasonError
		}
		return begun, ""
	}
	h.observe(s.ID, pick.Served, h.options.Now().Sub(s.started))
	h.recordBegin(x)
	return begun, ""
}

// deliver passes on the answer of an attempt that has begun, and ends it. A long answer is passed on as it arrives.
func (h *Handler) deliver(x *exchange, s *attempt) (attemptResult, string) {
	if s.complete != nil && !s.long {
		h.endAttempt(x, s) // the endpoint has room again, also if the caller does not read
		x.firstByteAt = h.options.Now()
		s.complete.deliver(x)
		return answered, ""
	}
	defer h.endAttempt(x, s)
	// Behind the deadline the endpoint sends nothing more. A recorder of a test has no deadlines.
	_ = http.NewResponseController(x.ResponseWriter).SetWriteDeadline(time.Now().Add(x.deadline.Sub(h.options.Now())))
	if s.complete == nil {
		return h.stream(x, s)
	}
	x.firstByteAt = h.options.Now()
	written := h.awaitCaller(s.inFlight)
	s.complete.deliver(x)
	written()
	return h.relayRest(x, s)
}

// relayRest passes on the rest of an answer whose beginning was delivered.
func (h *Handler) relayRest(x *exchange, s *attempt) (attemptResult, string) {
	x.headSent = true
	h.recordUnresumable(x, s.inFlight, true)
	w := &callerWriter{Writer: x.ResponseWriter}
	if _, err := io.Copy(w, h.body(x, s)); w.failed {
		return mayHaveRun, reasonStopped
	} else if err != nil {
		return mayHaveRun, h.connectionBroken(x, s, err)
	}
	return answered, ""
}

// callerWriter records that a write has failed, which is not the endpoint's fault.
type callerWriter struct {
	io.Writer
	failed bool
}

// Write implements io.Writer.
func (w *callerWriter) Write(p []byte) (n int, err error) {
	n, err = w.Writer.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// maxBufferedAnswer is the size in bytes up to which an answer that is no stream is read before it is passed on.
const maxBufferedAnswer = 256 << 10

func (h *Handler) logRetry(x *exchange, c choice, v attemptResult, reason string) {
	event.Log(x.ctx, h.options.Logger, event.RequestRetried, slog.String("Attempt", x.request.Attempt),
		slog.String("Endpoint", c.ID), slog.String("Reason", reason), slog.Bool("NotRun", v == notRun),
		slog.Int("Sent", x.sent), slog.Int("Ran", x.ran), slog.Bool("Begun", x.headSent), slog.String("LastEvent", x.request.LastEvent),
		slog.Any("Parts", x.request.SharedParts), slog.String("Request", x.exactRequest()), slog.Int64("AtEndpointMillis", h.options.Now().Sub(x.sentAt).Milliseconds()))
}
