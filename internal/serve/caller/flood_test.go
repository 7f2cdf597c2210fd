package caller_test

import (
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/serve/caller"
)

// endlessBody sends bytes without end.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	const pauseAfter = 64 << 10 // so that all answers arrive at the same time
	if b.read += len(p); b.read >= pauseAfter {
		b.read = 0
		time.Sleep(5 * time.Millisecond)
	}
	return len(p), nil
}

func (*endlessBody) Close() error { return nil }

// roundTrip implements http.RoundTripper.
type roundTrip func(q *http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(q *http.Request) (*http.Response, error) { return f(q) }

// Endpoints of a plain service send bodies without end to a hundred requests, beside sound ones. Guards against more memory than an instance has, and
// against sound answers that are refused meanwhile.
func TestPlainAnswersWithoutEndFitIntoMemory(t *testing.T) {
	// An instance has 256 MB, of which it holds 137 MB at the target size.
	const memory = (256 - 137) << 20
	defer debug.SetGCPercent(debug.SetGCPercent(50)) // as daemoncmd sets it
	var served, highest atomic.Int64
	watch := func() {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		for was := highest.Load(); int64(m.HeapAlloc) > was && !highest.CompareAndSwap(was, int64(m.HeapAlloc)); was = highest.Load() {
		}
	}
	prepare := func(r *fixture) {
		r.setOptions = append(r.setOptions, func(o *caller.Options) {
			o.MaxResponse = 16 << 20 // the default of the settings
			o.PlainTransport = roundTrip(func(q *http.Request) (*http.Response, error) {
				if strings.Contains(q.URL.Path, "endless") {
					return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &endlessBody{}}, nil
				}
				time.Sleep(time.Second) // until the others have been read for a while
				watch()
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("fine"))}, nil
			})
		})
	}
	run(t, prepare, func(r *fixture) {
		var group errgroup.Group
		runtime.GC()
		for n := range 100 {
			group.Go(func() error {
				got := r.do("POST", "/ledger/orders", key1, order, "X-Request-Timeout", "20s", "Idempotency-Key", "k"+strconv.Itoa(n))
				if got.status == http.StatusOK && got.body == "fine" {
					served.Add(1)
				}
				return nil
			})
			group.Go(func() error {
				got := r.do("GET", "/ledger/orders/endless", key1, "", "X-Request-Timeout", "20s")
				r.Check(got.status, qt.Not(qt.Equals), http.StatusOK)
				watch()
				return nil
			})
			time.Sleep(time.Millisecond) // the network accepts 64 connections at once
		}
		r.Check(group.Wait(), qt.IsNil)
	})
	t.Logf("%d MB of heap", highest.Load()>>20)
	qt.Check(t, served.Load(), qt.Equals, int64(100))
	qt.Check(t, highest.Load() < memory, qt.IsTrue, qt.Commentf("%d bytes of heap", highest.Load()))
}

// Guards against a memory for responses that refuses the largest one which the settings allow.
func TestLargestPlainResponseIsDelivered(t *testing.T) {
	const size = 16 << 20
	prepare := func(r *fixture) {
		r.setOptions = append(r.setOptions, func(o *caller.Options) {
			o.MaxResponse = size
			o.PlainTransport = roundTrip(func(*http.Request) (*http.Response, error) {
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(io.LimitReader(&endlessBody{}, size))}, nil
			})
		})
	}
	run(t, prepare, func(r *fixture) {
		got := r.do("GET", "/ledger/orders/1", key1, "", "X-Request-Timeout", "20s")
		r.Check(got.status, qt.Equals, http.StatusOK)
		r.Check(len(got.body), qt.Equals, size)
	})
}
