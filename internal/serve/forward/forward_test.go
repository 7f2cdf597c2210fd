package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/state/document"
)

// codec is a plain protocol for tests.
func codec() forward.Codec {
	return forward.Codec{
		Decode: func(r *http.Request) (forward.Request, error) {
			q := forward.Request{
				Attempt: r.Header.Get("Attempt"), Method: r.Method, Host: "h", Target: r.RequestURI, Path: r.URL.Path, Key: r.Header.Get("Key"),
				Tokens: 100,
			}
			if a := r.Header.Get("Adapter"); a != "" {
				q.Adapter = residency.Adapter{Model: "m", Name: a}
			}
			return q, nil
		},
		Outgoing: func(caller http.Header, o forward.Outgoing) http.Header {
			return http.Header{"Endpoint": {o.Endpoint}, "Customer": {o.Customer}, "Attempt": {caller.Get("Attempt")}}
		},
		Reply: func(status int, h http.Header) forward.Reply {
			return forward.Reply{NotRun: h.Get("Not-Run") != "", Moved: status == http.StatusMisdirectedRequest}
		},
		EventID: func([]byte) string { return "" },
	}
}

// rig is a handler with endpoints on loopback sockets.
type rig struct {
	*quicktest.C
	handler *forward.Handler
	hits    []atomic.Int32
}

func newRig(t *testing.T, endpoints []http.HandlerFunc, opts ...forward.Option) *rig {
	c := quicktest.New(t)
	r := &rig{C: c, hits: make([]atomic.Int32, len(endpoints))}
	v := view.New()
	content, err := document.Pack([]byte("{}"))
	c.Assert(err, quicktest.IsNil)
	u := report.Update{Leading: true, Term: 1, Document: 1, Directory: 1, Content: content, Entries: 1}
	for i, serve := range endpoints {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			r.hits[i].Add(1)
			serve(w, q)
		}))
		t.Cleanup(server.Close)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		u.Endpoints = append(u.Endpoints, report.Endpoint{ID: fmt.Sprint(i), Service: "s", Address: address, Slots: 4})
	}
	_, err = v.Apply(time.Now(), u, func([]byte) (document.Document, error) { return testDocument(), nil })
	c.Assert(err, quicktest.IsNil)
	r.handler = forward.New(append([]forward.Option{forward.WithCodec(codec()), forward.WithView(v)}, opts...)...)
	r.grant(1000)
	return r
}

// grant gives the entry a customer's tokens.
func (r *rig) grant(tokens float64) {
	terms := quota.Terms{AloneFrom: time.Now().Add(time.Hour), Expires: time.Now().Add(time.Hour)}
	r.handler.Grant(terms, map[string]quota.Grant{"c": {Extra: tokens}}, map[string]quota.Limit{"c": {Rate: tokens, Burst: tokens}})
}

// spend uses the tokens that a rig begins with.
func (r *rig) spend() {
	for range 10 {
		r.Assert(r.send(http.MethodGet, "/read/x").Code, quicktest.Equals, http.StatusOK)
	}
}

func testDocument() document.Document {
	route := func(name string, kind document.Kind) document.Route {
		return document.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, MaxAttempts: 2,
			Targets: []document.Target{{Service: "s", Weight: 1}},
		}
	}
	once := route("once", document.Idempotent)
	once.MaxAttempts = 1
	draft := route("draft", document.Streaming)
	draft.Targets[0].Service = "engines"
	return document.Document{
		Version: 1, Services: []document.Service{{Name: "s"}, {Name: "engines", Engine: &document.Engine{}}},
		Routes:    []document.Route{route("read", document.Idempotent), route("order", document.NonIdempotent), once, draft},
		Customers: []document.Customer{{Name: "c", Keys: []string{"k"}, CountTokens: true, Rate: 1000, Burst: 1000}},
	}
}

func (r *rig) send(method, path string) *httptest.ResponseRecorder {
	q := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader("body"))
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", "1")
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, q)
	return w
}

func (r *rig) total() (n int32) {
	for i := range r.hits {
		n += r.hits[i].Load()
	}
	return n
}

func succeed(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") }

func failed(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "failure of the endpoint")
}

func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func lost(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against QUOTA as seen on the bench: a request that was refused for the rate was given back a charge that was never
// made.
func TestRefusedRequestIsNotRefunded(t *testing.T) {
	r := newRig(t, []http.HandlerFunc{succeed})
	served := 0
	for range 200 {
		if r.send(http.MethodGet, "/read/x").Code == http.StatusOK {
			served++
		}
	}
	// The entry has tokens for ten requests of 100 tokens.
	r.Check(served < 20, quicktest.IsTrue, quicktest.Commentf("%d served", served))
}

// Guards against repeating what must not run twice (P9), and against calling it not run (P8).
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		name      string
		path      string
		endpoints []http.HandlerFunc
		status    int
		hits      int32
	}{
		{"order is answered", "/order/x", []http.HandlerFunc{succeed}, 200, 1},
		{"order whose answer is lost", "/order/x", []http.HandlerFunc{lost, lost}, 502, 1},
		{"order that fails keeps its answer", "/order/x", []http.HandlerFunc{failed, failed}, 500, 1},
		{"order that was turned away goes on", "/order/x", []http.HandlerFunc{full, full}, 503, 2},
		{"read whose answer is lost goes on", "/read/x", []http.HandlerFunc{lost, lost}, 502, 2},
		{"read that fails twice keeps the answer", "/read/x", []http.HandlerFunc{failed, failed}, 500, 2},
		{"read uses two endpoints at most", "/read/x", []http.HandlerFunc{failed, failed, failed}, 500, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, test.endpoints)
			w := r.send(http.MethodPost, test.path)
			r.Check(w.Code, quicktest.Equals, test.status)
			r.Check(r.total(), quicktest.Equals, test.hits)
			if test.status == 503 {
				r.Check(w.Header().Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
			}
			if test.status == 502 {
				r.Check(w.Header().Get("Retry-After"), quicktest.Equals, "")
			}
		})
	}
}

// Pattern: one of three endpoints fails every answer. Guards against reads that fail although others serve.
func TestReadsSurviveFailingEndpoint(t *testing.T) {
	r := newRig(t, []http.HandlerFunc{failed, succeed, succeed})
	r.grant(1e6)
	for range 50 {
		r.Check(r.send(http.MethodGet, "/read/x").Code, quicktest.Equals, http.StatusOK)
	}
	r.Check(r.hits[0].Load() < 20, quicktest.IsTrue)
}

// Guards against work that goes on after its caller has left.
func TestCallerThatLeavesCancels(t *testing.T) {
	ended := make(chan struct{})
	r := newRig(t, []http.HandlerFunc{func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
		close(ended)
	}})
	ctx, leave := context.WithCancel(context.Background())
	q := httptest.NewRequestWithContext(ctx, http.MethodPost, "/read/x", strings.NewReader("body"))
	q.Header.Set("Key", "k")
	time.AfterFunc(50*time.Millisecond, leave)
	r.handler.ServeHTTP(httptest.NewRecorder(), q)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		r.Error("the endpoint still works on the request")
	}
}

// Guards against an answer that waits longer than its route allows.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	r := newRig(t, []http.HandlerFunc{func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
	}})
	r.Check(r.send(http.MethodPost, "/order/x").Code, quicktest.Equals, http.StatusGatewayTimeout)
}

// Pattern: an endpoint stands still for a while and no other one could take its requests. Guards against cutting a request that
// its endpoint would still answer, and against waiting for a silent endpoint while another one is free.
func TestSilentEndpointIsLeftOnlyForAnother(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(1200 * time.Millisecond):
			succeed(w, r)
		case <-r.Context().Done():
		}
	}
	for _, test := range []struct {
		path      string
		endpoints []http.HandlerFunc
		least     time.Duration
	}{
		{"/read/x", []http.HandlerFunc{slow}, 1200 * time.Millisecond},
		{"/read/x", []http.HandlerFunc{slow, succeed}, 0},
		// As seen on the grown deployment: a request that may be sent once was taken back from a slow endpoint and failed.
		{"/once/x", []http.HandlerFunc{slow, slow}, 1200 * time.Millisecond},
	} {
		r := newRig(t, test.endpoints)
		stop := make(chan struct{})
		var group errgroup.Group
		group.Go(func() error {
			for {
				select {
				case <-stop:
					return nil
				case <-time.After(50 * time.Millisecond):
					r.handler.Sweep()
				}
			}
		})
		started := time.Now()
		r.Check(r.send(http.MethodPost, test.path).Code, quicktest.Equals, http.StatusOK)
		took := time.Since(started)
		r.Check(took >= test.least, quicktest.IsTrue, quicktest.Commentf("%v", took))
		close(stop)
		r.Assert(group.Wait(), quicktest.IsNil)
		if test.least > 0 {
			r.Check(r.total(), quicktest.Equals, int32(1))
		}
	}
}

// Pattern: the leader answers late while many requests of one customer need a loan. Guards against a question for each of them, as
// seen on the grown deployment, where the leader fell further behind.
func TestLoansShareQuestions(t *testing.T) {
	const requests = 20
	var questions atomic.Int32
	borrow := func(_ context.Context, l report.Loan) (report.Lent, error) {
		questions.Add(1)
		time.Sleep(100 * time.Millisecond)
		answer := report.Lent{Leading: true, InMillis: 5000}
		for i := range l.Requests {
			answer.Admitted = append(answer.Admitted, i%2 == 0)
		}
		return answer, nil
	}
	r := newRig(t, []http.HandlerFunc{succeed}, forward.WithBorrow(borrow))
	r.spend()
	codes := make([]int, requests)
	var group errgroup.Group
	for i := range requests {
		group.Go(func() error {
			codes[i] = r.send(http.MethodGet, "/read/x").Code
			return nil
		})
	}
	r.Assert(group.Wait(), quicktest.IsNil)
	r.Check(questions.Load() <= 3, quicktest.IsTrue, quicktest.Commentf("%d questions", questions.Load()))
	counts := map[int]int{}
	for _, code := range codes {
		counts[code]++
	}
	r.Check(counts[http.StatusOK]+counts[http.StatusTooManyRequests], quicktest.Equals, requests)
	r.Check(counts[http.StatusOK] >= requests/2, quicktest.IsTrue)
}

// Guards against a refusal that calls a customer over its rate although nobody has counted it.
func TestUnknownRateIsNotCalledExceeded(t *testing.T) {
	r := newRig(t, []http.HandlerFunc{succeed}, forward.WithBorrow(func(context.Context, report.Loan) (report.Lent, error) {
		return report.Lent{}, context.DeadlineExceeded
	}))
	r.spend()
	w := r.send(http.MethodGet, "/read/x")
	r.Check(w.Code, quicktest.Equals, http.StatusServiceUnavailable)
	r.Check(w.Header().Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
}

// Pattern: an endpoint accepts requests and never answers, though it accepts connections too. Guards against going on sending to it
// because each of its callers leaves first, as seen on the grown deployment.
func TestHangingEndpointIsAvoidedAfterCallersLeft(t *testing.T) {
	hang := func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
	}
	slower := func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(100 * time.Millisecond)
		succeed(w, q)
	}
	r := newRig(t, []http.HandlerFunc{hang, slower})
	r.grant(1e6)
	left := 0
	for range 12 {
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		q := httptest.NewRequestWithContext(ctx, http.MethodPost, "/order/x", strings.NewReader("body"))
		q.Header.Set("Key", "k")
		r.handler.ServeHTTP(httptest.NewRecorder(), q)
		if ctx.Err() != nil {
			left++
		}
		leave()
	}
	r.Check(left <= 3, quicktest.IsTrue, quicktest.Commentf("%d of 12 callers left", left))
}

// Pattern: all control instances lose power, and callers repeat a request once. Guards against a time to come back at which no leader
// answers yet, and against one after most of the caller's own time, which is 2 s here.
func TestCallersReturnWithLeader(t *testing.T) {
	for _, back := range []time.Duration{0, 700 * time.Millisecond, time.Minute} {
		lostLeader := forward.WithBorrow(func(context.Context, report.Loan) (report.Lent, error) {
			return report.Lent{}, errs.New("no leader")
		})
		backAt := forward.WithLeaderExpectedAt(func() time.Time {
			if back == 0 {
				return time.Time{}
			}
			return time.Now().Add(back)
		})
		r := newRig(t, []http.HandlerFunc{succeed}, lostLeader, backAt)
		r.spend()
		w := r.send(http.MethodGet, "/read/x")
		r.Assert(w.Code, quicktest.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		r.Assert(err, quicktest.IsNil)
		note := quicktest.Commentf("back in %v: come back in %.2f s", back, seconds)
		r.Check(seconds >= min(back.Seconds(), 1.1), quicktest.IsTrue, note)
		r.Check(seconds <= 1.3, quicktest.IsTrue, note)
	}
}

// Pattern: everything has restarted, and the leader places an adapter at an endpoint that the entry has not been told of. Guards against
// refusing a request that could be served: over half of the refusals in the second after the restart.
func TestPlacedEndpointNeedNotBeKnown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(succeed))
	t.Cleanup(server.Close)
	details := report.Endpoint{
		ID: "new", Service: "engines", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Slots: 4,
	}
	for _, leaving := range []bool{false, true} {
		details.Leaving = leaving
		r := newRig(t, nil, forward.WithRequestPlacement(func(context.Context, report.Want) (report.Placed, error) {
			return report.Placed{Leading: true, Endpoint: details.ID, Details: details}, nil
		}))
		q := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/draft/x", strings.NewReader("body"))
		q.Header.Set("Key", "k")
		q.Header.Set("Adapter", "a")
		w := httptest.NewRecorder()
		r.handler.ServeHTTP(w, q)
		r.Check(w.Code == http.StatusOK, quicktest.Equals, !leaving, quicktest.Commentf("leaving %v: %d", leaving, w.Code))
	}
}
