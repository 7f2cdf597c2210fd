package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/limit/retry"
	"lycheevale/internal/serve/forward"
)

// writeUnframed answers with neither a length nor chunks, and ends the answer with its connection.
func writeUnframed(w http.ResponseWriter, contentType, content string) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(buffer, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+content)
	_ = buffer.Flush()
	_ = connection.Close()
}

// Guards against delivering a stream as complete that has neither a length nor chunks and ends inside an event, and against refusing one that ends
// behind an event, or another answer of that form.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	const whole = event1 + event2
	for _, test := range []struct {
		name, contentType, content, want string
		hits                             int32
	}{
		{"inside an event", "text/event-stream", event1 + "id: 2\nda", whole, 2},
		{"before the first event", "text/event-stream", "id: 1", whole, 2},
		{"behind an event", "text/event-stream", whole, whole, 1},
		{"no stream", "text/plain", "fine", "fine", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var second atomic.Bool
			serve := func(w http.ResponseWriter, q *http.Request) {
				if second.Swap(true) {
					rest := map[string]string{"": whole, "1": event2}
					streamOf(false, rest[q.Header.Get("Last-Event-Id")])(w, q)
					return
				}
				writeUnframed(w, test.contentType, test.content)
			}
			r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()))
			q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/read/x", http.NoBody)
			q.Header.Set("Key", "k")
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			r.Check(w.Body.String(), quicktest.Equals, test.want)
			r.Check(r.total(), quicktest.Equals, test.hits)
		})
	}
}

// Several streams stall at once, and the retry budget allows one repeat. Guards against ending the others, whose endpoint goes on after a while: each
// was told to leave it because the budget allowed a repeat, which the first one then used up.
func TestStalledStreamsStayWithoutBudget(t *testing.T) {
	const streams = 4
	var moved atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if q.Header.Get("Last-Event-Id") != "" {
			moved.Add(1)
		} else {
			_, _ = io.WriteString(w, event1)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-q.Context().Done():
				return
			case <-time.After(3 * time.Second):
			}
		}
		_, _ = io.WriteString(w, event2)
	}
	r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()),
		forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: 1}))
	ctx, stop := context.WithCancel(context.Background())
	var sweeps, callers errgroup.Group
	sweeps.Go(func() error {
		for ctx.Err() == nil {
			r.handler.Sweep()
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	})
	var complete atomic.Int32
	for n := range streams {
		callers.Go(func() error {
			defer func() { _ = recover() }() // a stream that is cut ends by aborting its connection
			q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/long/x", http.NoBody)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", strconv.Itoa(n))
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			if w.Body.String() == event1+event2 {
				complete.Add(1)
			}
			return nil
		})
	}
	r.Assert(callers.Wait(), quicktest.IsNil)
	stop()
	r.Assert(sweeps.Wait(), quicktest.IsNil)
	r.Check(complete.Load(), quicktest.Equals, int32(streams))
	r.Check(moved.Load(), quicktest.Equals, int32(1))
}

// A stream breaks in its middle, and the only other endpoint is full. Guards against ending the answer although the endpoint that began it would
// continue it a moment later.
func TestBegunStreamReturnsToItsEndpoint(t *testing.T) {
	var runs atomic.Int32
	breaks := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if runs.Add(1) == 1 {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	r := newFixture(t, []http.HandlerFunc{breaks, respondFull}, forward.WithCodec(resumeCodec()))
	w := r.send(http.MethodGet, "/read/x")
	r.Check(w.Body.String(), quicktest.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	r.Check(runs.Load(), quicktest.Equals, int32(2))
}

// resumeCodec reads identifiers of events and sends the last one to the next endpoint.
func resumeCodec() forward.Codec {
	c := streamCodec()
	streamed := c.Reply
	c.Reply = func(now time.Time, status int, h http.Header) forward.Reply {
		reply := streamed(now, status, h)
		reply.NotRun, reply.Moved = h.Get("Not-Run") != "", status == http.StatusMisdirectedRequest
		return reply
	}
	c.Outgoing = func(_ http.Header, o forward.Outgoing) http.Header {
		return http.Header{"Last-Event-Id": {o.LastEvent}}
	}
	c.EventID = func(event []byte) string {
		for line := range strings.Lines(string(event)) {
			if id, found := strings.CutPrefix(line, "id:"); found {
				return strings.TrimSpace(id)
			}
		}
		return ""
	}
	return c
}

// streamOf writes events and ends or breaks the stream.
func streamOf(broken bool, events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for _, e := range events {
			_, _ = io.WriteString(w, e)
			_ = http.NewResponseController(w).Flush()
		}
		_ = http.NewResponseController(w).Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// text answers with a status, a type and a text that looks like an event.
func text(status int, contentType string, fields ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		for _, field := range fields {
			w.Header().Set(field, "1")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "id: 4\ndata: failure of the endpoint\n\n")
	}
}

// ask sends a request through a server and returns the answer's body and whether it came complete.
func (r *fixture) ask(t *testing.T, path string) (body string, complete bool) {
	t.Helper()
	entry := httptest.NewServer(r.handler)
	defer entry.Close()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.URL+path, http.NoBody)
	r.Assert(err, quicktest.IsNil)
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", "1")
	answer, err := entry.Client().Do(q)
	r.Assert(err, quicktest.IsNil)
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return string(content), err == nil
}

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
	event4 = "id: 4\ndata: d\n\n"
)

// A stream breaks off behind its third event, and the next endpoint answers in each of these ways. Guards against the answer's text or head,
// or an event twice, in the caller's stream, and against a stream that ends as if it were complete.
func TestAnswersToResume(t *testing.T) {
	const sse = "text/event-stream"
	for name, test := range map[string]struct {
		next  http.HandlerFunc
		whole bool
	}{
		"error":                        {text(500, "text/plain"), false},
		"error as a stream":            {text(500, sse), false},
		"unmarked refusal":             {text(503, sse), false},
		"refusal":                      {text(503, "text/plain", "Not-Run"), false},
		"refusal as a stream":          {text(503, sse, "Not-Run"), false},
		"other endpoint":               {text(421, sse), false},
		"other content":                {text(200, "text/html"), false},
		"created":                      {text(201, sse), false},
		"rest":                         {streamOf(false, event4), true},
		"from the beginning":           {streamOf(false, event1, event2, event3, event4), false},
		"last event again":             {streamOf(false, event3, event4), false},
		"earlier event":                {streamOf(false, event2, event4), false},
		"event without identifier":     {streamOf(false, "data: x\n\n", event4), false},
		"identifier that is no number": {streamOf(false, "id: x\ndata: x\n\n", event4), false},
		"unframed, empty":              {func(w http.ResponseWriter, _ *http.Request) { writeUnframed(w, sse, "") }, false},
		"unframed, broken":             {func(w http.ResponseWriter, _ *http.Request) { writeUnframed(w, sse, event4[:8]) }, false},
		"unframed, earlier event":      {func(w http.ResponseWriter, _ *http.Request) { writeUnframed(w, sse, event1) }, false},
		"empty stream":                 {streamOf(false), false},
		"broken":                       {streamOf(true, event4[:8]), false},
	} {
		t.Run(name, func(t *testing.T) {
			var begun atomic.Bool
			serve := func(w http.ResponseWriter, q *http.Request) {
				if begun.Swap(true) {
					test.next(w, q)
					return
				}
				streamOf(true, event1, event2, event3, "id: 4\nda")(w, q)
			}
			r := newFixture(t, []http.HandlerFunc{serve, serve, serve}, forward.WithCodec(resumeCodec()))
			body, complete := r.ask(t, "/read/x")
			want := event1 + event2 + event3
			if test.whole {
				want += event4
			}
			r.Check(body, quicktest.Equals, want)
			r.Check(complete, quicktest.Equals, test.whole)
		})
	}
}

// A stream breaks off behind events that arrived together, the last of which has no identifier. Guards against resuming it from the
// beginning.
func TestLastIdentifierOfEventsIsSent(t *testing.T) {
	var begun atomic.Bool
	var resumedAfter atomic.Value
	serve := func(w http.ResponseWriter, q *http.Request) {
		if begun.Swap(true) {
			resumedAfter.Store(q.Header.Get("Last-Event-Id"))
			streamOf(false, event3)(w, q)
			return
		}
		streamOf(true, event1+event2+": still here\n\n")(w, q)
	}
	r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()))
	body, complete := r.ask(t, "/read/x")
	r.Check(body, quicktest.Equals, event1+event2+": still here\n\n"+event3)
	r.Check(complete, quicktest.IsTrue)
	r.Check(resumedAfter.Load(), quicktest.Equals, "2")
}

// A long answer that is no stream breaks off after a part of it was passed on, and the next endpoint answers with a stream. Guards against
// the stream behind that part, as if the answer were complete, and against running the request once more in vain.
func TestBrokenLongAnswerIsNotContinued(t *testing.T) {
	var begun atomic.Bool
	part := strings.Repeat("x", 300<<10)
	serve := func(w http.ResponseWriter, q *http.Request) {
		if begun.Swap(true) {
			streamOf(false, event1)(w, q)
			return
		}
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()))
	body, complete := r.ask(t, "/read/x")
	r.Check(strings.Contains(body, event1), quicktest.IsFalse)
	r.Check(complete, quicktest.IsFalse)
	r.Check(r.total(), quicktest.Equals, int32(1))
}

// A stream whose events have no identifiers breaks off. Guards against events twice: another endpoint could only send it from the beginning.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	var begun atomic.Bool
	serve := func(w http.ResponseWriter, q *http.Request) {
		streamOf(!begun.Swap(true), "data: a\n\n", "data: b\n\n")(w, q)
	}
	r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()))
	body, complete := r.ask(t, "/read/x")
	r.Check(body, quicktest.Equals, "data: a\n\ndata: b\n\n")
	r.Check(complete, quicktest.IsFalse)
	r.Check(r.total(), quicktest.Equals, int32(1))
}

// A caller that has sent its request closes its side of the connection and reads on. Guards against a stream that is cut for this, and ends as
// if it were complete.
func TestStreamToHalfClosedCallerIsNotComplete(t *testing.T) {
	begun := make(chan struct{})
	serve := func(w http.ResponseWriter, q *http.Request) {
		streamOf(false, event1)(w, q)
		close(begun)
		<-q.Context().Done()
	}
	r := newFixture(t, []http.HandlerFunc{serve}, forward.WithCodec(resumeCodec()))
	entry := httptest.NewServer(r.handler)
	defer entry.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(entry.URL, "http://"))
	r.Assert(err, quicktest.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /long/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nAttempt: 1\r\n\r\n")
	r.Assert(err, quicktest.IsNil)
	<-begun
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.Assert(err, quicktest.IsNil)
	defer func() { _ = answer.Body.Close() }()
	first := make([]byte, len(event1))
	_, err = io.ReadFull(answer.Body, first)
	r.Assert(err, quicktest.IsNil)
	r.Assert(conn.(*net.TCPConn).CloseWrite(), quicktest.IsNil)
	rest, err := io.ReadAll(answer.Body)
	r.Check(string(first)+string(rest), quicktest.Equals, event1)
	r.Check(err, quicktest.IsNotNil)
}
