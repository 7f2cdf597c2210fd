package forward_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/member/report"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/wire/upstream"
)

// respondPanic answers with a head that makes the decoder of a test fail.
func respondPanic(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Panic", "1")
	_, _ = io.WriteString(w, "fine")
}

// Decoding the head of an answer panics. Guards against the end of the process, and with it of all other requests: heads are decoded in a goroutine of
// their own, whose panics the HTTP server does not catch.
func TestPanicInAnswerEndsNoOtherRequest(t *testing.T) {
	pool := upstream.New(upstream.WithAttempt(func(head http.Header) string {
		if head.Get("Panic") != "" {
			panic("head")
		}
		return ""
	}))
	slow := func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(100 * time.Millisecond) // the picker prefers the other endpoint until that fails
		respondOK(w, q)
	}
	r := newFixture(t, []http.HandlerFunc{respondPanic, slow}, forward.WithPool(pool))
	for range 8 {
		w := r.send(http.MethodGet, "/read/x")
		r.Check(w.Code, quicktest.Equals, http.StatusOK)
		r.Check(w.Body.String(), quicktest.Equals, "fine")
	}
	r.Check(r.hits[0].Load() > 0, quicktest.IsTrue)
	r.Check(r.hits[0].Load() <= 3, quicktest.IsTrue, quicktest.Commentf("%d requests to the broken endpoint", r.hits[0].Load()))
}

// active returns the number of requests that the entry reports at endpoints.
func (r *fixture) active() (n int) {
	var e report.Entry
	r.handler.Report(&e, time.Second)
	for _, count := range e.Active {
		n += count
	}
	return n
}

// An endpoint is silent, and decoding the answer of another one to which its request would move panics. Guards against the end of the process, and
// against a request that waits for that search without end, or counts as running at that endpoint for ever.
func TestPanicInSearchEndsNoRequest(t *testing.T) {
	c := codec()
	decode := c.Reply
	c.Reply = func(now time.Time, status int, head http.Header) forward.Reply {
		if head.Get("Panic") != "" {
			panic("reply")
		}
		return decode(now, status, head)
	}
	var first atomic.Bool
	serve := func(w http.ResponseWriter, q *http.Request) {
		if first.Swap(true) {
			respondPanic(w, q)
			return
		}
		time.Sleep(4 * time.Second)
		respondOK(w, q)
	}
	r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(c))
	ctx, stop := context.WithCancel(context.Background())
	var sweeps errgroup.Group
	sweeps.Go(func() error {
		for ctx.Err() == nil {
			r.handler.Sweep()
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	})
	w := r.send(http.MethodGet, "/long/x")
	stop()
	r.Assert(sweeps.Wait(), quicktest.IsNil)
	r.Check(w.Code, quicktest.Equals, http.StatusOK)
	r.Check(r.total() >= 2, quicktest.IsTrue)
	r.Check(r.active(), quicktest.Equals, 0)
}
