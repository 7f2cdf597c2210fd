package caller

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/buffers"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/state/registry"
)

// Bounds of plain services.
const (
	plainDialTimeout = time.Second
	plainAnswerWait  = 2 * time.Second // timeout of idempotent calls, on all attempts but the last
)

// newPlainTransport returns a transport that opens a connection for each request: on a reused connection the transport
// may resend a request automatically after a failure, and an unresponsive connection would fail later requests too.
func newPlainTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: plainDialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: engine.MaxHeadBytes,
	}
}

// serviceTable maps paths to services and routes, and models to services; it is rebuilt when the configuration changes.
type serviceTable struct {
	mu       sync.Mutex
	revision uint64
	built    bool
	mux      *http.ServeMux
	routes   map[string]plainRoute
	models   map[string]string // name of the service that a model belongs to
}

type plainRoute struct {
	service string
	registry.Route
}

func (p *serviceTable) find(reg *registry.Registry, r *http.Request) (plainRoute, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(reg)
	_, pattern := p.mux.Handler(r)
	route, ok := p.routes[pattern]
	return route, ok
}

// serviceOf returns the service of a model, or the model's name if it belongs to no service.
func (p *serviceTable) serviceOf(reg *registry.Registry, model string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(reg)
	return cmp.Or(p.models[model], model)
}

func (p *serviceTable) refresh(reg *registry.Registry) {
	if revision := reg.Revision(); !p.built || revision != p.revision {
		p.rebuild(reg)
		p.revision, p.built = revision, true
	}
}

// rebuild skips routes that conflict with an earlier one; the registry rejects such changes.
func (p *serviceTable) rebuild(reg *registry.Registry) {
	p.mux = http.NewServeMux()
	p.routes, p.models = map[string]plainRoute{}, map[string]string{}
	for _, o := range reg.List(registry.KindService) {
		if o.Service.Kind != registry.ServicePlain {
			p.models[o.Service.Model] = o.Name
			continue
		}
		for _, route := range o.Service.Routes {
			p.addRoute(plainRoute{o.Name, route})
		}
	}
}

func (p *serviceTable) addRoute(route plainRoute) {
	defer func() { _ = recover() }()
	pattern := route.Method + " " + route.Path
	p.mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
	p.routes[pattern] = route
}

// plainCall is the state of one call of a plain service.
type plainCall struct {
	*exchange
	route   plainRoute
	body    []byte
	query   string
	buffers *buffers.Account // of the response
}

// servePlain passes a call of a plain service through the filters.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	x, err := s.newExchange(w, r)
	defer func() { s.report(x) }()
	c := &plainCall{exchange: x, buffers: s.options.Buffers.Account()}
	defer c.buffers.Close()
	if err == nil {
		err = s.runFilters(x, s.requireState, c.find(s), s.identify, c.authorise, c.read(s))
	}
	if err != nil {
		s.refuse(x, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	response, err := s.callClaimed(ctx, c)
	if err != nil {
		s.refuse(x, s.endReason(ctx, err))
		return
	}
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func (c *plainCall) find(s *Server) filter {
	return func(x *exchange) error {
		route, ok := s.services.find(s.options.Registry, x.r)
		if !ok {
			return refusal.New(refusal.NotFound, "no service has the route %s %s", x.r.Method, x.r.URL.Path)
		}
		c.route = route
		x.outcome.Service = route.service
		return nil
	}
}

func (c *plainCall) authorise(x *exchange) error {
	if !c.route.Open && x.customer == "" {
		return refusal.New(refusal.NotPermitted, "this route needs a key")
	}
	return nil
}

func (c *plainCall) read(s *Server) filter {
	return func(x *exchange) (err error) {
		raw, err := s.readBody(x)
		if err != nil {
			return err
		}
		if keyPattern.MatchString(x.r.URL.Path) {
			return refusal.New(refusal.BadRequest, "the path contains a key")
		}
		c.body = scrubBody(raw, x.r.Header.Get("Content-Type"))
		c.query = scrubQuery(x.r.URL.RawQuery)
		x.sign(c.query, c.body)
		return s.signShared(x)
	}
}

// callClaimed runs the request, under a claim if it is non-idempotent and has an Idempotency-Key.
func (s *Server) callClaimed(ctx context.Context, c *plainCall) (*StoredResponse, error) {
	key := c.r.Header.Get(headerIdempotency)
	if c.route.Idempotent || key == "" || s.options.Claim == nil {
		return s.callWithRetries(ctx, c)
	}
	s.options.Trace(c.r, StepClaim)
	claim, err := s.options.Claim(ctx, c.customer, key, c.fingerprint())
	if err != nil {
		return nil, err
	}
	if claim.Stored != nil {
		return claim.Stored, nil
	}
	response, err := s.callWithRetries(ctx, c)
	if err != nil && refusal.From(err).Ran == refusal.NotRun {
		return nil, s.releaseClaim(ctx, claim, err)
	}
	if err != nil {
		return nil, err
	}
	s.options.Trace(c.r, StepEnd)
	// The response is valid even if recording it fails; a resend is then refused with an unknown outcome.
	if err := claim.Finish(context.WithoutCancel(ctx), response); err != nil {
		event.Log(ctx, s.options.Logger, event.OutcomeUncertain, slog.String("Request", c.id), slog.Any("Error", err))
	}
	return response, nil
}

func (s *Server) releaseClaim(ctx context.Context, claim Claim, cause error) error {
	if err := claim.Release(context.WithoutCancel(ctx)); err != nil {
		event.Log(ctx, s.options.Logger, event.OutcomeUncertain, slog.String("Request", requestID(ctx)), slog.Any("Error", err))
	}
	return cause
}

func (c *plainCall) fingerprint() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.r.Method), []byte(c.r.URL.Path), []byte(c.query), c.body} {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// callWithRetries tries endpoints until one responds; a non-idempotent request is retried only while it is known not to
// have run.
func (s *Server) callWithRetries(ctx context.Context, c *plainCall) (response *StoredResponse, err error) {
	s.retries.earn()
	var tried []string
	for n := 1; ; n++ {
		var endpoint string
		response, endpoint, err = s.callOnce(ctx, c, tried, n)
		if err == nil {
			return response, nil
		}
		e := refusal.From(err)
		repeatable := c.route.Idempotent || !s.options.Rules.RunOnce
		again := e.Ran == refusal.NotRun && e.Code == refusal.Unavailable || repeatable && e.Ran == refusal.Unknown
		err = s.recordMayHaveRun(c.exchange, err)
		if !again || c.suspect || n >= s.options.MaxAttempts || ctx.Err() != nil || !s.retries.spend() || !backoffWait(ctx, n) {
			return nil, err
		}
		tried = append(tried, endpoint)
	}
}

func (s *Server) callOnce(ctx context.Context, c *plainCall, tried []string, n int) (*StoredResponse, string, error) {
	if err := s.checkQuarantine(c.exchange, c.route.service); err != nil {
		return nil, "", err
	}
	s.options.Trace(c.r, StepChoose)
	target, err := s.options.ChoosePlain(c.route.service, tried)
	if err != nil && len(tried) > 0 {
		target, err = s.options.ChoosePlain(c.route.service, nil)
	}
	if err != nil {
		return nil, "", err
	}
	defer target.Done()
	c.outcome.Endpoint = target.Endpoint
	if c.route.Idempotent && n < s.options.MaxAttempts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, plainAnswerWait)
		defer cancel()
	}
	attempt, cancel := s.runOn(ctx, c)
	defer cancel()
	response, err := s.exchangePlain(attempt, c, target)
	s.recordInterrupted(ctx, c.exchange, c.route.service, err)
	return response, target.Endpoint, err
}

func (s *Server) exchangePlain(ctx context.Context, c *plainCall, target PlainTarget) (*StoredResponse, error) {
	u := url.URL{Scheme: "http", Host: target.Address, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.query}
	req, err := http.NewRequestWithContext(ctx, c.r.Method, u.String(), bytes.NewReader(c.body))
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	attempt := uuid.NewString()
	req.Header = plainHeader(c.r.Header)
	req.Header.Set(engine.HeaderAttempt, attempt)
	s.options.Trace(c.r, StepDispatch)
	sentAt := s.options.Now()
	resp, err := s.options.PlainTransport.RoundTrip(req)
	if err != nil {
		refused := plainError(err)
		if refusal.From(refused).Ran == refusal.Unknown {
			s.recordBroken(ctx, c, target, sentAt, false)
		}
		return nil, refused
	}
	defer func() { _ = resp.Body.Close() }()
	if got := resp.Header.Get(engine.HeaderAttempt); got != "" && got != attempt {
		event.Log(ctx, s.options.Logger, event.AnswerDiscarded, slog.String("Endpoint", target.Endpoint))
		return nil, refusal.New(refusal.OutcomeUnknown, "endpoint answered another request")
	}
	s.options.Trace(c.r, StepFirstByte)
	body, err := c.readResponse(resp.Body, s.options.MaxResponse)
	if errs.Is(err, buffers.ErrFull) {
		event.Log(ctx, s.options.Logger, event.BuffersFull, slog.String("Request", c.id), slog.String("Endpoint", target.Endpoint), slog.Int("Read", len(body)))
		s.recordBegin(c.exchange, c.route.service)
		return nil, refusal.New(refusal.OutcomeUnknown, "%v", err)
	}
	if err != nil {
		s.recordBroken(ctx, c, target, sentAt, true)
		return nil, refusal.New(refusal.OutcomeUnknown, "answer was cut: %v", err)
	}
	s.recordBegin(c.exchange, c.route.service)
	if int64(len(body)) > s.options.MaxResponse {
		return nil, refusal.New(refusal.OutcomeUnknown, "answer is larger than %d bytes", s.options.MaxResponse)
	}
	return &StoredResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// readResponse returns at most limit bytes of a response, and one more if it is longer.
func (c *plainCall) readResponse(r io.Reader, limit int64) (body []byte, err error) {
	c.buffers.Close() // returns what an earlier attempt has used
	body, err = c.buffers.Read(nil, r, min(limit+1, shortResponse), 0)
	if err != nil || len(body) < shortResponse {
		return body, err
	}
	return c.buffers.Read(body, r, limit+1, buffers.Lowest)
}

// plainError returns NotRun only if no connection was opened.
func plainError(err error) error {
	dialled := !errs.IsFunc(err, func(e error) bool { op, ok := e.(*net.OpError); return ok && op.Op == "dial" })
	if dialled {
		return refusal.New(refusal.OutcomeUnknown, "%v", err)
	}
	return refusal.New(refusal.Unavailable, "endpoint cannot be reached: %v", err)
}

// droppedHeaders are hop-by-hop headers and headers that carry keys.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Authorization", headerAPIKey, "Cookie", headerTimeout, "Expect", "Content-Length",
}

func plainHeader(in http.Header) http.Header {
	out := http.Header{}
	for name, values := range in {
		if slices.Contains(droppedHeaders, http.CanonicalHeaderKey(name)) || keyPattern.MatchString(name) {
			continue
		}
		for _, v := range values {
			out.Add(name, scrubText(v))
		}
	}
	return out
}
