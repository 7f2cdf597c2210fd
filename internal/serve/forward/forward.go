// Package forward implements the request path of an entry: filters find the route and the customer, admit the request,
// and send it directly to an endpoint.
package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/buffers"
	"lycheevale/internal/limit/ceiling"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/origin"
	"lycheevale/internal/place/pick"
	"lycheevale/internal/place/prefill"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/place/silence"
	"lycheevale/internal/state/document"
)

// Handler serves the requests of callers. It is safe for concurrent use.
type Handler struct {
	options Options
	filters []filter

	mu                sync.Mutex
	random            *rand.Rand
	picker            *pick.Picker
	shares            *quota.EntryPool
	budgets           map[string]*retry.Budget // by service
	uses              map[[2]string]*use       // by endpoint and adapter
	placements        map[residency.Adapter]*placement
	placing           *semaphore.Weighted // requests for places at the leader
	silence           *silence.Watch
	attempts          map[*inFlight]bool
	loans             map[loanKey]*loanQueue
	ceilings          *ceiling.Book    // rates that endpoints have named
	endpointShares    *quota.EntryPool // of these rates, by endpoint
	ceilingRevision   uint64           // of the leader's list of these rates
	reading           prefill.Speed
	unread            map[string]int // tokens of prompts that this entry has sent and whose requests have not begun, by endpoint
	reportedBacklog   map[string]int // milliseconds of this entry's unread prompts as last reported to the leader, by endpoint
	reportedActive    map[string]int // this entry's active requests as last reported to the leader, by endpoint
	closing           bool
	refuseFrom        time.Time // from then on, requests are refused that may last until stopAt
	stopAt            time.Time // when a planned stop cuts the requests that still run
	tracker           *quarantine.Tracker
	refusedSignatures map[string]quarantine.Refusals // requests refused since the last report, by quarantined signature
	trials            map[string]time.Time           // until when one request may try a quarantined signature
	turns             map[string]time.Time           // until when one copy of a held request may be sent
	waiting           map[string]int                 // copies of held requests that wait for a turn
	streams           *origin.Book
	leftAt            map[quarantine.Incarnation]report.Endpoint // endpoints that may run requests of which this entry has let go
	leftProbedAt      map[quarantine.Incarnation]time.Time
	leftCheckedAt     time.Time
}

// use counts requests for an adapter at an endpoint.
type use struct {
	adapter  residency.Adapter
	count    int
	active   int
	answered int // answers that have begun since the last report
}

// filter performs one step of a request; a refusal ends the request.
type filter func(x *exchange) *refusal.Error

// exchange is the state of one request while the filters process it.
type exchange struct {
	http.ResponseWriter
	caller        *http.Request
	ctx           context.Context
	request       Request
	index         *document.Index
	route         *document.Route
	service       *document.Service
	customer      *document.Customer
	body          []byte
	signatures    []string // identifiers, that of the exact request first
	buffers       *buffers.Account
	arrived       time.Time
	deadline      time.Time
	cost          float64         // charged to the customer's rate
	tries         int             // endpoints that were tried
	exclude       []string        // endpoints that are not tried again
	silent        []string        // of these, endpoints at which the request stays while this search looks for another one
	search        *search         // for another endpoint, while that of the last attempt is silent
	charged       bool            // the retry budget is charged for the next attempt
	sent          int             // requests that have reached an endpoint
	ran           int             // of these, requests that may have run or run now
	headSent      bool            // the head of the answer has been written
	delivered     bool            // events of a stream have been written
	identified    bool            // the last identifier is a number, so that another endpoint can continue behind it
	unresumable   bool            // no other endpoint can continue what was delivered
	software      *string         // version that began the stream; others must not continue it
	interruptedAt time.Time       // when the last attempt that may have run ended without its answer, or its endpoint was found to be silent
	sentAt        time.Time       // of the last attempt
	firstByteAt   time.Time       // of the first byte of the answer
	lastEndpoint  string          // endpoint of the last attempt
	missingAt     string          // endpoint that did not hold the adapter
	mayCrash      bool            // it may have crashed the endpoint of the last attempt
	trial         bool            // it may be sent once with a quarantined signature
	turnUntil     time.Time       // until when it may be sent although it is held, unless it has run
	failedAnswer  *completeAnswer // error answer of an endpoint, delivered if no later attempt succeeds
}

// New returns a handler.
func New(opts ...Option) *Handler {
	o := newOptions(opts)
	h := &Handler{
		options: o, picker: pick.New(o.Picker, o.Seed), random: rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		budgets: map[string]*retry.Budget{}, uses: map[[2]string]*use{}, placements: map[residency.Adapter]*placement{}, placing: semaphore.NewWeighted(maxPlacements),
		silence: silence.New(silence.Defaults()), attempts: map[*inFlight]bool{}, loans: map[loanKey]*loanQueue{}, ceilings: ceiling.New(), endpointShares: quota.NewEntryPool(), unread: map[string]int{}, shares: o.Shares,
		tracker: quarantine.NewTracker(), refusedSignatures: map[string]quarantine.Refusals{}, trials: map[string]time.Time{},
		turns: map[string]time.Time{}, waiting: map[string]int{}, streams: origin.New(origin.MaxStreams),
		leftAt: map[quarantine.Incarnation]report.Endpoint{}, leftProbedAt: map[quarantine.Incarnation]time.Time{},
	}
	h.filters = []filter{h.match, h.identify, h.read, h.checkStop, h.sign, h.checkSignatures, h.findOrigin, h.admit, h.dispatch}
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{ResponseWriter: w, caller: r, arrived: h.options.Now(), index: h.options.View.Index(), buffers: h.options.Buffers.Account()}
	defer x.buffers.Close()
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
	if code != served && x.headSent {
		// Also if the caller seems to be gone: one that has closed its side of the connection would see a complete answer.
		panic(http.ErrAbortHandler)
	}
	httpserver.Complete(w)
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
	if !x.firstByteAt.IsZero() {
		o.FirstByte = x.firstByteAt.Sub(x.arrived)
	}
	h.options.Observe(o)
	if code == served {
		customer := ""
		if x.customer != nil {
			customer = x.customer.Name
		}
		event.Log(x.caller.Context(), h.options.Logger, event.RequestServed, slog.String("Attempt", x.request.Attempt),
			slog.String("Customer", customer), slog.String("Adapter", x.request.Adapter.Name),
			slog.String("Endpoint", x.lastEndpoint), slog.Int("Sent", x.sent), slog.Int("Tokens", x.request.Tokens),
			slog.Int64("SentMillis", x.sentAt.Sub(x.arrived).Milliseconds()), slog.Int64("FirstMillis", o.FirstByte.Milliseconds()), slog.Int64("AfterMillis", o.Duration.Milliseconds()),
			slog.Bool("CallerGone", x.caller.Context().Err() != nil), slog.Any("Parts", x.request.SharedParts), slog.String("Request", x.exactRequest()))
	}
}

// match finds the route and picks one of its services by weight.
func (h *Handler) match(x *exchange) *refusal.Error {
	if x.index == nil {
		return refusal.New(refusal.Unavailable, "no configuration is known yet").WithRetryAt(h.retryAtWithLeader(x, x.arrived.Add(startupRetry)))
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
	x.service = x.index.Service(h.chooseService(x.route))
	x.deadline = x.arrived.Add(x.route.Timeout)
	if request.Timeout > 0 && request.Timeout < x.route.Timeout {
		x.deadline = x.arrived.Add(request.Timeout)
	}
	h.mu.Lock()
	h.budget(x.service.Name).Request(x.arrived)
	h.mu.Unlock()
	return nil
}

// startupRetry is roughly the time from the start of an instance to its first configuration.
const startupRetry = time.Second

func (h *Handler) chooseService(r *document.Route) string {
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

// read buffers the body, so that it can be sent again.
func (h *Handler) read(x *exchange) *refusal.Error {
	maxBody := int64(defaultMaxBody)
	if x.index.Limits.MaxBodyBytes > 0 {
		maxBody = int64(x.index.Limits.MaxBodyBytes)
	}
	if x.caller.ContentLength > maxBody {
		return refusal.New(refusal.TooLarge, "body exceeds %d bytes", maxBody)
	}
	// A recorder of a test has no deadlines. The server ends this one once the body has been read.
	_ = http.NewResponseController(x.ResponseWriter).SetReadDeadline(time.Now().Add(x.deadline.Sub(h.options.Now())))
	body, err := x.buffers.Read(nil, x.caller.Body, maxBody+1, h.priority(x))
	switch {
	case errs.Is(err, os.ErrDeadlineExceeded):
		refused := refusal.New(refusal.DeadlineExceeded, "%d bytes of the body have arrived before the deadline of the request", len(body))
		refused.Status = http.StatusRequestTimeout
		return refused
	case errs.Is(err, buffers.ErrFull):
		event.Log(x.ctx, h.options.Logger, event.BuffersFull, slog.String("Attempt", x.request.Attempt), slog.Int("Read", len(body)))
		return h.refuseWithRetry(refusal.Overloaded, "%v", err)
	case err != nil:
		return refusal.New(refusal.BadRequest, "body: %v", err)
	case int64(len(body)) > maxBody:
		return refusal.New(refusal.TooLarge, "body exceeds %d bytes", maxBody)
	}
	x.body = body
	return nil
}

// defaultMaxBody is the maximum size of a body in bytes if the configuration sets none.
const defaultMaxBody = 4 << 20

// refuse answers with an error, unless the answer has begun. A caller that seems to be gone gets it too: it may have closed only its side of the
// connection.
func (h *Handler) refuse(x *exchange, e *refusal.Error) {
	h.logRefusal(x, e)
	if x.headSent {
		return // the connection is aborted
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
	_, _ = io.WriteString(x, e.Message+"\n") // a caller that has disconnected needs no answer
}

// minRetryAfter prevents a Retry-After that rounds to zero, on which a caller would retry immediately.
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
		bucket = h.shares.State(h.options.Now(), customer)
		h.mu.Unlock()
	}
	event.Log(x.ctx, h.options.Logger, event.RequestRefused, slog.String("Attempt", x.request.Attempt),
		slog.String("Route", route), slog.String("Customer", customer), slog.Int("Tokens", x.request.Tokens),
		slog.Any("Bucket", bucket), slog.String("Adapter", x.request.Adapter.Name), slog.String("Code", string(e.Code)), slog.String("Reason", e.Message),
		slog.String("Ran", string(e.Ran)), slog.Int("Sent", x.sent), slog.String("Endpoint", x.lastEndpoint),
		slog.Uint64("Document", version), slog.Int64("ViewAgeMillis", h.options.View.Age(h.options.Now()).Milliseconds()),
		slog.Int64("AfterMillis", h.options.Now().Sub(x.arrived).Milliseconds()), slog.Bool("CallerGone", x.caller.Context().Err() != nil),
		slog.Any("Parts", x.request.SharedParts), slog.String("Request", x.exactRequest()))
}

// Close sets "Connection: close" on all further answers, so that callers reconnect to another instance. Requests that arrive from refuseFrom on and may
// last until stopAt are refused, since another instance can answer them in time.
func (h *Handler) Close(refuseFrom, stopAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closing, h.refuseFrom, h.stopAt = true, refuseFrom, stopAt
}

// checkStop refuses a request that comes late in a planned stop and may not be answered before its end.
func (h *Handler) checkStop(x *exchange) *refusal.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closing || x.arrived.Before(h.refuseFrom) || x.deadline.Before(h.stopAt) {
		return nil
	}
	return refusal.New(refusal.Unavailable, "this instance stops in %v, the request may last %v", h.stopAt.Sub(x.arrived).Round(time.Millisecond),
		x.deadline.Sub(x.arrived)).WithRetryAt(x.arrived)
}

func (h *Handler) isClosing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closing
}

// Report fills in the use of endpoints and customers since the last report.
func (h *Handler) Report(r *report.Entry, elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	r.Customers = h.shares.Report(now, elapsed)
	h.reportCeilings(now, r, elapsed)
	r.Active = map[string]int{}
	h.picker.Forget(now, h.options.View.HasEndpoint)
	for id, n := range h.picker.Running() {
		r.Active[id] = n
	}
	h.reportedActive = r.Active
	r.Backlog = map[string]int{}
	for id, tokens := range h.unread {
		if ms := int(h.reading.Delay(tokens).Milliseconds()); ms > 0 {
			r.Backlog[id] = ms
		}
	}
	h.reportedBacklog = r.Backlog
	h.reportSignatures(now, r)
	h.reportStreams(now, r)
	for key, u := range h.uses {
		r.Uses = append(r.Uses, residency.Use{Endpoint: key[0], Adapter: u.adapter, Count: u.count, Active: u.active})
		if u.answered > 0 {
			r.Answers = append(r.Answers, residency.Use{Endpoint: key[0], Adapter: u.adapter, Count: u.answered})
		}
		u.count, u.answered = 0, 0
		if u.active == 0 {
			delete(h.uses, key)
		}
	}
}

// Grant applies the leader's grants of customers' rates.
func (h *Handler) Grant(terms quota.Terms, grants map[string]quota.Grant, limits map[string]quota.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shares.Grant(h.options.Now(), terms, grants, limits)
}
