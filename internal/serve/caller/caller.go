// Package caller serves callers over HTTP: completions with server-sent events, the list of models, and plain
// services. A request passes through the steps identify, authorise, admit, claim, choose, dispatch, verify and settle.
package caller

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/justinas/alice"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/state/registry"
)

// Header names of the callers' protocol.
const (
	headerTimeout     = "X-Request-Timeout" // a Go duration such as 5s
	headerRequestID   = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
)

// Server is the HTTP handler for callers.
type Server struct {
	options  Options
	handler  http.Handler
	services *serviceTable
	streams  *streamTable
	retries  *retryBudget
}

// New returns a server. Without options it has an empty configuration.
func New(opts ...Option) *Server {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	s := &Server{options: o, services: &serviceTable{}, streams: newStreamTable(), retries: newRetryBudget(o.RetryBudget)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("/", s.servePlain)
	s.handler = alice.New(s.recoverPanics, s.setRequestID).Then(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// exchange is the state of one request while the filters process it.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	arrived  time.Time
	deadline time.Time
	keyID    string
	customer string // empty for anonymous callers
	body     *completion
	ref      registry.ModelRef
	reserved Reservation
	used     int // tokens
	outcome  Outcome

	signatures []string // compared by place/quarantine
	trial      bool     // it may be sent once with a quarantined signature
	mayHaveRun bool     // an endpoint may have run it
	begun      bool     // an endpoint has begun to answer the current attempt
	suspect    bool     // it may be what crashes endpoints
}

func (s *Server) setRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(headerRequestID, id)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
	})
}

type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler {
				panic(p)
			}
			event.Log(r.Context(), s.options.Logger, event.RequestPanicked, slog.Any("Panic", p),
				slog.String("Stack", string(debug.Stack())))
			s.writeError(w, refusal.New(refusal.OutcomeUnknown, "internal error"))
		}()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) (x *exchange, err error) {
	x = &exchange{w: w, r: r, id: requestID(r.Context()), arrived: s.options.Now()}
	timeout := s.options.DefaultTimeout
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err = time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return x, refusal.New(refusal.BadRequest, "%s must be a positive duration such as 5s", headerTimeout)
		}
	}
	x.deadline = x.arrived.Add(min(timeout, s.options.MaxTimeout))
	return x, nil
}

// complete passes a completion through all filters.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	x, err := s.newExchange(w, r)
	defer func() { s.report(x) }()
	if err == nil {
		err = s.runFilters(x, s.requireState, s.identify, s.parse, s.authorise, s.signShared, s.checkCompletion, s.admit)
	}
	if err != nil {
		s.refuse(x, err)
		return
	}
	defer s.settle(x)
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, done := s.streams.add(ctx, x.keyID, func() bool { return s.permitted(x) })
	defer done()
	s.relay(ctx, x)
}

// filter is one step of the pipeline before an endpoint is chosen.
type filter func(x *exchange) error

func (s *Server) runFilters(x *exchange, filters ...filter) error {
	for _, f := range filters {
		if err := f(x); err != nil {
			return err
		}
	}
	return nil
}

// admit reserves the maximum number of tokens that the request may use and waits for them until the deadline.
func (s *Server) admit(x *exchange) error {
	s.options.Trace(x.r, StepAdmit)
	if x.customer == "" {
		x.reserved = Reservation{Settle: func(int) {}}
		return nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	reserved, err := s.options.Reserve(ctx, x.customer, x.body.promptTokens()+x.body.MaxTokens)
	x.reserved = reserved
	return err
}

func (s *Server) settle(x *exchange) {
	s.options.Trace(x.r, StepSettle)
	x.reserved.Settle(x.used)
}

func (s *Server) request(x *exchange, attempt string) owner.Request {
	return owner.Request{
		Attempt: attempt, Customer: x.customer, Model: x.ref.Model, Adapter: adapterOf(x.ref), Path: x.r.URL.Path,
		PrefixHash: x.body.prefixHash(), PromptTokens: x.body.promptTokens(), MaxTokens: x.body.MaxTokens,
		Priority: s.priority(x.customer), Deadline: x.deadline, Signatures: x.signatures, Trial: x.trial,
	}
}

func (s *Server) priority(customer string) int {
	if o, ok := s.options.Registry.Get(registry.KindCustomer, customer); ok {
		return o.Customer.Priority
	}
	return 0
}

// refuse responds with an error in the format that client libraries of this protocol parse.
func (s *Server) refuse(x *exchange, err error) {
	e := refusal.From(err)
	s.recordRefusal(x, e)
	s.writeError(x.w, e)
}

// recordRefusal logs a refusal and stores its code in the outcome.
func (s *Server) recordRefusal(x *exchange, e *refusal.Error) {
	x.outcome.Code, x.outcome.Ran = e.Code, e.Ran
	event.Log(x.r.Context(), s.options.Logger, event.RequestRefused, slog.String("Request", x.id),
		slog.String("Customer", x.customer), slog.String("Code", string(e.Code)), slog.String("Ran", string(e.Ran)),
		slog.String("Reason", e.Message))
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Ran     string  `json:"ran"`
}

func errorBodyOf(e *refusal.Error) errorBody {
	kind := "api_error"
	switch {
	case e.Status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case e.Status < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	return errorBody{errorDetail{Message: e.Message, Type: kind, Code: string(e.Code), Ran: string(e.Ran)}}
}

func (s *Server) writeError(w http.ResponseWriter, e *refusal.Error) {
	if !e.RetryAt.IsZero() {
		seconds := math.Ceil(e.RetryAt.Sub(s.options.Now()).Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(max(1, seconds))))
	}
	writeJSON(w, e.Status, errorBodyOf(e))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
