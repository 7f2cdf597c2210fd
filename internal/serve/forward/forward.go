// Package forward is the request path of an entry: filters find the route and the customer, admit the request, and send
// it straight to an endpoint.
package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/place/silence"
	"lycheevale/internal/state/document"
)

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	options Options
	filters []filter

	mu       sync.Mutex
	random   *rand.Rand
	picker   *pick.Picker
	wallet   *quota.Wallet
	budgets  map[string]*retry.Budget // by service
	uses     map[[2]string]*use       // by endpoint and adapter
	wanted   map[residency.Adapter]*want
	silence  *silence.Watch
	flights  map[*flight]bool
	loans    map[string]*loans // by customer
	reported map[string]int    // requests of this entry that the leader's figures include, by endpoint
	closing  bool
}

// use counts requests for an adapter at an endpoint.
type use struct {
	adapter residency.Adapter
	count   int
	active  int
}

// filter handles a part of a request and returns a refusal to end it.
type filter func(x *exchange) *refusal.Error

// exchange is a request on its way through the filters.
type exchange struct {
	http.ResponseWriter
	caller   *http.Request
	ctx      context.Context
	request  Request
	index    *document.Index
	route    *document.Route
	service  *document.Service
	customer *document.Customer
	body     []byte
	arrived  time.Time
	deadline time.Time
	cost     float64   // charged to the customer's rate
	sent     int       // requests that have reached an endpoint
	ran      int       // of these, requests that may have run
	begun    bool      // the head of the answer is written
	sentAt   time.Time // of the last sending
	first    time.Time // of the first byte of the answer
	last     string    // endpoint of the last sending
	missing  string    // endpoint that lacked the adapter
	failed   *failure  // answer of an endpoint that is delivered if nothing better comes
}

// New returns a handler.
func New(opts ...Option) *Handler {
	o := build(opts)
	h := &Handler{
		options: o, picker: pick.New(o.Picker, o.Seed), random: rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		budgets: map[string]*retry.Budget{}, uses: map[[2]string]*use{}, wanted: map[residency.Adapter]*want{},
		silence: silence.New(silence.Defaults()), flights: map[*flight]bool{}, loans: map[string]*loans{}, wallet: o.Shares,
	}
	h.filters = []filter{h.match, h.identify, h.read, h.admit, h.dispatch}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{ResponseWriter: w, caller: r, arrived: h.options.Now(), index: h.options.View.Index()}
	x.ctx = r.Context()
	if h.isClosing() {
		w.Header().Set("Connection", "close")
	}
	code := served
	if refused := h.run(x); refused != nil {
		code = string(refused.Code)
		h.refuse(x, refused)
	}
	h.finish(x, code)
}

// served is the code of a request that an endpoint answered.
const served = "Served"

func (h *Handler) run(x *exchange) *refusal.Error {
	for _, f := range h.filters {
		if refused := f(x); refused != nil {
			return refused
		}
	}
	return nil
}

func (h *Handler) finish(x *exchange, code string) {
	o := Outcome{Code: code, Duration: h.options.Now().Sub(x.arrived)}
	if x.route != nil {
		o.Kind = x.route.Kind
	}
	if x.service != nil {
		o.Service = x.service.Name
	}
	if !x.first.IsZero() {
		o.FirstByte = x.first.Sub(x.arrived)
	}
	h.options.Observe(o)
	if code == served {
		event.Log(x.caller.Context(), h.options.Logger, event.RequestServed, slog.String("Attempt", x.request.Attempt),
			slog.String("Endpoint", x.last), slog.Int("Sent", x.sent), slog.Int("Tokens", x.request.Tokens),
			slog.Int64("SentMillis", x.sentAt.Sub(x.arrived).Milliseconds()), slog.Int64("FirstMillis", o.FirstByte.Milliseconds()), slog.Int64("AfterMillis", o.Duration.Milliseconds()))
	}
}

// match finds the route and chooses among its services by weight.
func (h *Handler) match(x *exchange) *refusal.Error {
	if x.index == nil {
		return refusal.New(refusal.Unavailable, "no configuration is known yet").WithRetryAt(h.withLeader(x, x.arrived.Add(startupRetry)))
	}
	request, err := h.options.Codec.Decode(x.caller)
	if err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	x.request = request
	x.route = x.index.Route(request.Host, request.Path)
	if x.route == nil {
		return refusal.New(refusal.NotFound, "no route")
	}
	x.service = x.index.Service(h.target(x.route))
	x.deadline = x.arrived.Add(x.route.Timeout)
	if request.Timeout > 0 && request.Timeout < x.route.Timeout {
		x.deadline = x.arrived.Add(request.Timeout)
	}
	h.mu.Lock()
	h.budget(x.service.Name).Request(x.arrived)
	h.mu.Unlock()
	return nil
}

// startupRetry is about the time from the start of an instance to its first configuration.
const startupRetry = time.Second

func (h *Handler) target(r *document.Route) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	n := 0
	if len(r.Targets) > 1 {
		h.mu.Lock()
		n = h.random.IntN(total)
		h.mu.Unlock()
	}
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// identify finds the customer that holds the key.
func (h *Handler) identify(x *exchange) *refusal.Error {
	x.customer = x.index.Customer(x.request.Key)
	if x.customer == nil && !x.route.Open && len(x.index.Customers) > 0 {
		refused := refusal.New(refusal.NotPermitted, "key is missing or unknown")
		refused.Status = http.StatusUnauthorized
		return refused
	}
	return nil
}

// read takes the body, which is kept for a repeat.
func (h *Handler) read(x *exchange) *refusal.Error {
	most := int64(defaultMaxBody)
	if x.index.Limits.MaxBodyBytes > 0 {
		most = int64(x.index.Limits.MaxBodyBytes)
	}
	if x.caller.ContentLength > most {
		return refusal.New(refusal.TooLarge, "body exceeds %d bytes", most)
	}
	body, err := io.ReadAll(io.LimitReader(x.caller.Body, most+1))
	if err != nil {
		return refusal.New(refusal.BadRequest, "body: %v", err)
	}
	if int64(len(body)) > most {
		return refusal.New(refusal.TooLarge, "body exceeds %d bytes", most)
	}
	x.body = body
	return nil
}

// defaultMaxBody bounds a body where the configuration does not, in bytes.
const defaultMaxBody = 4 << 20

// refuse answers with an error, or breaks off an answer that has begun.
func (h *Handler) refuse(x *exchange, e *refusal.Error) {
	h.logRefusal(x, e)
	if x.caller.Context().Err() != nil {
		return // the caller has gone
	}
	if x.begun {
		panic(http.ErrAbortHandler)
	}
	h.refund(x)
	header := x.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if wait := e.RetryAt.Sub(h.options.Now()); !e.RetryAt.IsZero() && e.Ran == refusal.NotRun {
		header.Set("Retry-After", strconv.FormatFloat(max(wait, minRetryAfter).Seconds(), 'f', 2, 64))
	}
	if e.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	x.WriteHeader(e.Status)
	_, _ = io.WriteString(x, e.Message+"\n") // a caller that has gone needs no answer
}

// minRetryAfter keeps rounding from telling a caller to come back at once.
const minRetryAfter = 50 * time.Millisecond

func (h *Handler) logRefusal(x *exchange, e *refusal.Error) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	version, _ := h.options.View.Version()
	customer, bucket := "", quota.State{}
	if x.customer != nil {
		customer = x.customer.Name
		h.mu.Lock()
		bucket = h.wallet.State(h.options.Now(), customer)
		h.mu.Unlock()
	}
	event.Log(x.ctx, h.options.Logger, event.RequestRefused, slog.String("Attempt", x.request.Attempt),
		slog.String("Route", route), slog.String("Customer", customer), slog.Int("Tokens", x.request.Tokens),
		slog.Any("Bucket", bucket), slog.String("Adapter", x.request.Adapter.Name), slog.String("Code", string(e.Code)), slog.String("Reason", e.Message),
		slog.String("Ran", string(e.Ran)), slog.Int("Sent", x.sent), slog.String("Endpoint", x.last),
		slog.Uint64("Document", version), slog.Int64("ViewAgeMillis", h.options.View.Age(h.options.Now()).Milliseconds()),
		slog.Int64("AfterMillis", h.options.Now().Sub(x.arrived).Milliseconds()), slog.Bool("CallerGone", x.caller.Context().Err() != nil))
}

// Close makes every further answer ask its caller to open a new connection elsewhere.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing = true
}

func (h *Handler) isClosing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closing
}

// Report fills the use of endpoints and customers since the last report.
func (h *Handler) Report(r *report.Entry, elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	r.Customers = h.wallet.Report(now, elapsed)
	r.Active = map[string]int{}
	h.picker.Forget(h.options.View.Known)
	for id, n := range h.picker.Running() {
		r.Active[id] = n
	}
	h.reported = r.Active
	for key, u := range h.uses {
		r.Uses = append(r.Uses, residency.Use{Endpoint: key[0], Adapter: u.adapter, Count: u.count, Active: u.active})
		u.count = 0
		if u.active == 0 {
			delete(h.uses, key)
		}
	}
}

// Grant passes on what the leader gives of customers' rates.
func (h *Handler) Grant(terms quota.Terms, grants map[string]quota.Grant, limits map[string]quota.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wallet.Grant(h.options.Now(), terms, grants, limits)
}
