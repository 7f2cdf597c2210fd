package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/listener"
	"lycheevale/internal/member/report"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/wire/upstream"
)

// leaveFixture is one request to an entry on real sockets, whose caller leaves at a moment.
type leaveFixture struct {
	*fixture
	at        chan struct{} // closed at the moment when the caller leaves
	left      chan struct{} // closed when the entry has noticed that
	ended     chan struct{} // closed when the entry's handler has returned
	cancelled chan struct{} // closed when an endpoint sees the end of its request
	stop      func()        // begins a planned stop
	log       logBuffer
	once      sync.Once
}

// logBuffer keeps the log, in which probes of endpoints may write after the request.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

// Reset drops the log.
func (b *logBuffer) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.content.Reset()
}

// String returns the log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

func (f *leaveFixture) reach() { f.once.Do(func() { close(f.at) }) }

// leaveCase is a moment in a request, what becomes of it when its caller leaves then, and what one reads that has closed its side only.
type leaveCase struct {
	request   string
	before    bool // the caller leaves directly after it has sent the request
	endpoints func(f *leaveFixture) []http.HandlerFunc
	tokens    bool // the request waits for tokens
	connects  bool // its endpoint accepts no connection
	stopping  bool
	begun     bool // the caller has read the beginning of its answer

	status    int    // read by a caller that has closed its side; 0 if its connection is aborted
	body      string // of an answer with status 200
	hits      int32
	cancelled bool // the endpoint sees the end of its request
	event     event.ID
	ran       string
	goneHits  bool // hits and events are those of a caller that has closed its side; one that has closed its connection cuts a long answer
}

func request(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nAttempt: 1\r\n" + strings.Join(fields, "") + "Content-Length: 4\r\n\r\nbody"
}

// untilLeft answers once the entry has noticed that its caller has left, unless the request ends before.
func (f *leaveFixture) untilLeft(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		f.reach()
		select {
		case <-q.Context().Done():
			close(f.cancelled)
			panic(http.ErrAbortHandler)
		case <-f.left:
		}
		select {
		case <-q.Context().Done():
			close(f.cancelled)
		case <-time.After(100 * time.Millisecond): // long enough for a cancellation to arrive
			next(w, q)
		}
	}
}

func untilLeft(next http.HandlerFunc) func(f *leaveFixture) []http.HandlerFunc {
	return func(f *leaveFixture) []http.HandlerFunc {
		return []http.HandlerFunc{f.untilLeft(next), f.untilLeft(next)}
	}
}

// longBeginning is delivered before the answer has ended.
var longBeginning = strings.Repeat("x", 300<<10)

// beginLong begins a long answer.
func beginLong(f *leaveFixture) []http.HandlerFunc {
	rest := f.untilLeft(respondOK)
	return []http.HandlerFunc{func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.WriteString(w, longBeginning)
		_ = http.NewResponseController(w).Flush()
		rest(w, q)
	}}
}

// beginStream begins a stream, and breaks it off or goes on.
func beginStream(broken bool) func(f *leaveFixture) []http.HandlerFunc {
	return func(f *leaveFixture) []http.HandlerFunc {
		return []http.HandlerFunc{func(w http.ResponseWriter, q *http.Request) {
			streamOf(false, event1)(w, q)
			if broken {
				panic(http.ErrAbortHandler)
			}
			f.untilLeft(respondOK)(w, q)
		}}
	}
}

var leaveCases = map[string]leaveCase{
	"refused":                   {request: request("GET", "/none/x"), before: true, status: 404, event: event.RequestRefused, ran: "NotRun"},
	"waits for tokens":          {request: request("POST", "/order/x"), endpoints: func(*leaveFixture) []http.HandlerFunc { return []http.HandlerFunc{respondOK} }, tokens: true, status: 503, event: event.RequestRefused, ran: "NotRun"},
	"waits for a place":         {request: request("POST", "/draft/x", "Adapter: a\r\n"), status: 503, event: event.RequestRefused, ran: "NotRun"},
	"order that is connected":   {request: request("POST", "/order/x"), endpoints: untilLeft(respondOK), connects: true, status: 503, event: event.RequestRefused, ran: "NotRun"},
	"read at an endpoint":       {request: request("POST", "/read/x"), endpoints: untilLeft(respondOK), status: 504, hits: 1, cancelled: true, event: event.RequestRefused, ran: "Unknown"},
	"order at an endpoint":      {request: request("POST", "/order/x"), endpoints: untilLeft(respondOK), status: 200, body: "fine", hits: 1, event: event.RequestServed},
	"order that fails":          {request: request("POST", "/order/x"), endpoints: untilLeft(respondError), status: 500, hits: 1, event: event.RequestServed},
	"order whose answer breaks": {request: request("POST", "/order/x"), endpoints: untilLeft(dropConnection), status: 504, hits: 1, event: event.RequestRefused, ran: "Unknown"},
	"order between two tries":   {request: request("POST", "/order/x"), endpoints: untilLeft(respondFull), status: 503, hits: 1, event: event.RequestRefused, ran: "NotRun"},
	"head of a long order sent": {request: request("POST", "/order/x"), endpoints: beginLong, begun: true, status: 200, body: longBeginning + "fine", hits: 1, event: event.RequestServed, goneHits: true},
	"head of a long read sent":  {request: request("POST", "/read/x"), endpoints: beginLong, begun: true, hits: 1, cancelled: true, event: event.RequestRefused, ran: "Unknown"},
	"stream":                    {request: request("POST", "/long/x"), endpoints: beginStream(false), begun: true, hits: 1, cancelled: true, event: event.RequestRefused, ran: "Unknown"},
	"order in a planned stop":   {request: request("POST", "/order/x"), endpoints: untilLeft(respondOK), stopping: true, status: 200, body: "fine", hits: 1, event: event.RequestServed},
	"read in a planned stop":    {request: request("POST", "/read/x"), endpoints: untilLeft(respondOK), stopping: true, status: 504, hits: 1, cancelled: true, event: event.RequestRefused, ran: "Unknown"},
}

// runLeave serves the request of a case, lets its caller leave, and returns when the entry has ended it.
func runLeave(t *testing.T, test leaveCase, leave func(f *leaveFixture, c *net.TCPConn, answer *bufio.Reader)) *leaveFixture {
	f := &leaveFixture{at: make(chan struct{}), left: make(chan struct{}), ended: make(chan struct{}), cancelled: make(chan struct{})}
	wait := func() {
		f.reach()
		<-f.ended
	}
	var endpoints []http.HandlerFunc
	if test.endpoints != nil {
		endpoints = test.endpoints(f)
	}
	pool := upstream.New()
	if test.connects {
		pool = upstream.New(upstream.WithDial(func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			f.reach()
			<-ctx.Done()
			return nil, ctx.Err()
		}))
	}
	f.fixture = newFixture(t, endpoints, forward.WithPool(pool), forward.WithCodec(resumeCodec()), forward.WithLogger(slog.New(slog.NewJSONHandler(&f.log, nil))),
		forward.WithBorrow(func(context.Context, report.LoanRequest) (report.LoanReply, error) {
			wait()
			return report.LoanReply{}, nil
		}),
		forward.WithRequestPlacement(func(context.Context, report.PlacementRequest) (report.PlacementReply, error) {
			wait()
			return report.PlacementReply{}, nil
		}))
	if test.tokens {
		f.useTokens()
		f.hits[0].Store(0)
		f.log.Reset()
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, quicktest.IsNil)
	server := httpserver.New(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer close(f.ended)
		stop := context.AfterFunc(q.Context(), func() { close(f.left) })
		defer stop()
		f.handler.ServeHTTP(w, q)
	}))
	tracked := listener.Track(inner, server)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(tracked) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait() // the error of a closed server
	})
	f.stop = func() {
		f.handler.Close(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
		group.Go(func() error { return tracked.Shutdown(t.Context()) })
	}
	conn, err := net.Dial("tcp", inner.Addr().String())
	f.Assert(err, quicktest.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, test.request)
	f.Assert(err, quicktest.IsNil)
	if !test.before {
		select {
		case <-f.at:
		case <-f.ended:
			t.Fatalf("the request has ended before its caller left: %s", f.log.String())
		}
	}
	if test.stopping {
		f.stop()
	}
	reader := bufio.NewReader(conn)
	if test.begun {
		_, err := reader.Peek(1)
		f.Assert(err, quicktest.IsNil)
	}
	leave(f, conn.(*net.TCPConn), reader)
	<-f.ended
	return f
}

// outcome returns the log line with which the request ended.
func (f *leaveFixture) outcome() (o struct {
	Event      event.ID
	Ran        any // a number in the lines of attempts
	CallerGone bool
}) {
	for line := range strings.Lines(f.log.String()) {
		f.Assert(json.Unmarshal([]byte(line), &o), quicktest.IsNil)
		if o.Event == event.RequestServed || o.Event == event.RequestRefused {
			return o
		}
	}
	f.Errorf("no outcome in the log: %s", f.log.String())
	return o
}

func (f *leaveFixture) checkEnd(test leaveCase) {
	f.Check(f.total(), quicktest.Equals, test.hits)
	if test.cancelled {
		<-f.cancelled
	}
	select {
	case <-f.cancelled:
		f.Check(test.cancelled, quicktest.IsTrue)
	default:
	}
	o := f.outcome()
	f.Check(o.Event, quicktest.Equals, test.event)
	if test.event == event.RequestRefused {
		f.Check(o.Ran, quicktest.Equals, test.ran)
	}
	f.Check(o.CallerGone || test.before, quicktest.IsTrue)
}

// A caller closes its side of the connection while its request runs, and reads on. Guards against a false success, against "not run" for what has run, and against
// breaking off orders that run.
func TestHalfClosedCallerReadsWhatHappened(t *testing.T) {
	for name, test := range leaveCases {
		t.Run(name, func(t *testing.T) {
			f := runLeave(t, test, func(f *leaveFixture, conn *net.TCPConn, reader *bufio.Reader) {
				f.Assert(conn.CloseWrite(), quicktest.IsNil)
				answer, err := http.ReadResponse(reader, nil)
				status, body := 0, []byte(nil)
				if err == nil {
					defer func() { _ = answer.Body.Close() }()
					if body, err = io.ReadAll(answer.Body); err == nil {
						status = answer.StatusCode
					}
				}
				f.Assert(status, quicktest.Equals, test.status, quicktest.Commentf("%v, %.100q", err, body))
				if status == http.StatusOK {
					f.Check(string(body) == test.body, quicktest.IsTrue, quicktest.Commentf("%.100q", body))
				}
				if status != 0 {
					f.Check(answer.Header.Get("Retry-After") != "", quicktest.Equals, status == http.StatusServiceUnavailable)
				}
			})
			f.checkEnd(test)
		})
	}
}

// A caller closes or resets its connection while its request runs. Guards against work for callers that have left, and against breaking off orders that run.
func TestRequestOfCallerThatLeft(t *testing.T) {
	for way, linger := range map[string]int{"close": -1, "reset": 0} {
		for name, test := range leaveCases {
			t.Run(way+" "+name, func(t *testing.T) {
				f := runLeave(t, test, func(f *leaveFixture, conn *net.TCPConn, _ *bufio.Reader) {
					if !test.before {
						f.Assert(conn.SetLinger(linger), quicktest.IsNil)
					}
					f.Assert(conn.Close(), quicktest.IsNil)
				})
				if test.goneHits {
					f.Check(f.total(), quicktest.Equals, test.hits) // its answer ends with the first write that fails
					return
				}
				f.checkEnd(test)
			})
		}
	}
}
