package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
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
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, test := range []struct {
		name, contentType, content, want string
		hits                             int32
	}{
		{"inside an event", "text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n" + whole, 2},
		{"before the first event", "text/event-stream", "id: 1", whole, 2},
		{"behind an event", "text/event-stream", whole, whole, 1},
		{"no stream", "text/plain", "fine", "fine", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var second atomic.Bool
			serve := func(w http.ResponseWriter, _ *http.Request) {
				if second.Swap(true) {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, whole)
					return
				}
				writeUnframed(w, test.contentType, test.content)
			}
			r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(streamCodec()))
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
	var seen sync.Map
	serve := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		if _, again := seen.LoadOrStore(q.Header.Get("Attempt"), true); !again {
			select {
			case <-q.Context().Done():
				return
			case <-time.After(3 * time.Second):
			}
		}
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(streamCodec()),
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
	var complete, moved atomic.Int32
	for n := range streams {
		callers.Go(func() error {
			defer func() { _ = recover() }() // a stream that is cut ends by aborting its connection
			q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/long/x", http.NoBody)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", strconv.Itoa(n))
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			if strings.HasSuffix(w.Body.String(), "data: b\n\n") {
				complete.Add(1)
			}
			moved.Add(int32(strings.Count(w.Body.String(), "data: a") - 1))
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
	full := streamCodec()
	full.Reply = func(status int, h http.Header) forward.Reply {
		reply := streamCodec().Reply(status, h)
		reply.NotRun = h.Get("Not-Run") != ""
		return reply
	}
	r := newFixture(t, []http.HandlerFunc{breaks, respondFull}, forward.WithCodec(full))
	w := r.send(http.MethodGet, "/read/x")
	r.Check(w.Body.String(), quicktest.Equals, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	r.Check(runs.Load(), quicktest.Equals, int32(2))
}
