package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/serve/forward"
)

// A broken endpoint sends complete events, or a long answer, without end, to a caller who reads them. Guards against passing them on as fast as the
// processor allows until the request's deadline, and against sending further requests to that endpoint.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	for _, test := range []struct{ name, contentType, part string }{
		{"events", "text/event-stream", strings.Repeat("id: 1\ndata: x\n\n", 273)},
		{"empty events", "text/event-stream", strings.Repeat("\n", 4096)},
		{"comments", "text/event-stream", strings.Repeat(":\n\n", 1365)},
		{"bytes", "text/plain", strings.Repeat("x", 4096)},
	} {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int64
			slow := func(w http.ResponseWriter, q *http.Request) {
				time.Sleep(100 * time.Millisecond) // the picker prefers the other endpoint until that fails
				respondOK(w, q)
			}
			r := newFixture(t, []http.HandlerFunc{flood(test.contentType, test.part, &sent), slow}, forward.WithCodec(streamCodec()))
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			const requests = 8
			for range requests {
				q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/minutes/x", http.NoBody)
				q.Header.Set("Key", "k")
				func() {
					defer func() { _ = recover() }() // an answer that has begun ends by aborting its connection
					r.handler.ServeHTTP(discardRecorder{httptest.NewRecorder(), &atomic.Int64{}}, q)
				}()
			}
			r.Check(ctx.Err(), quicktest.IsNil, quicktest.Commentf("an answer ended by its deadline"))
			r.Check(sent.Load() < 256<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes sent", sent.Load()))
			r.Check(r.hits[0].Load() > 0, quicktest.IsTrue)
			r.Check(r.hits[0].Load() <= 3, quicktest.IsTrue, quicktest.Commentf("%d requests to the broken endpoint", r.hits[0].Load()))
		})
	}
}

// An endpoint sends a byte of its head, or of the space between events, now and then. Guards against a request that waits for it until its deadline
// because bytes arrive.
func TestSlowBytesWithoutEndAreLeft(t *testing.T) {
	for _, test := range []struct{ name, begin, part string }{
		{"head", "HTTP/1.1 200 OK\r\nField: ", "x"},
		{"informational answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: ", "x"},
		{"empty events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "\n"},
		{"empty events behind an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + event1, "\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var first atomic.Bool
			serve := func(w http.ResponseWriter, q *http.Request) {
				if !first.CompareAndSwap(false, true) {
					rest := event2
					if q.Header.Get("Last-Event-Id") == "" {
						rest = event1 + event2
					}
					streamOf(false, rest)(w, q)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				for _, err = io.WriteString(conn, test.begin); err == nil; _, err = io.WriteString(conn, test.part) {
					time.Sleep(20 * time.Millisecond)
				}
			}
			r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(resumeCodec()))
			ctx, stop := context.WithCancel(context.Background())
			var sweeps errgroup.Group
			sweeps.Go(func() error {
				for ctx.Err() == nil {
					r.handler.Sweep()
					time.Sleep(20 * time.Millisecond)
				}
				return nil
			})
			body, complete := r.ask(t, "/long/x")
			stop()
			r.Assert(sweeps.Wait(), quicktest.IsNil)
			r.Check(complete, quicktest.IsTrue)
			r.Check(strings.ReplaceAll(body, "\n\n\n", "\n\n"), quicktest.Equals, event1+event2)
			r.Check(r.total(), quicktest.Equals, int32(2))
		})
	}
}
