package caller_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/caller"
)

const order = `{"reference":"o"}`

func (r *fixture) runs() int { return r.services[0].Runs("o") + r.services[1].Runs("o") }

// Guards against an order that runs twice when its response is lost, and against a refusal that wrongly reports NotRun.
func TestOrderRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		cause func(r *fixture)
		code  string
		runs  int
	}{
		{"no fault", func(*fixture) {}, "/", 1},
		{"connection lost after the order ran", func(r *fixture) {
			r.services[0].After = func(*http.Request) { panic(http.ErrAbortHandler) }
		}, "OutcomeUnknown/Unknown", 1},
		{"connection lost before the order ran", func(r *fixture) {
			r.services[0].Before = func(*http.Request) { panic(http.ErrAbortHandler) }
		}, "OutcomeUnknown/Unknown", 0},
		{"connection unresponsive while the order runs", func(r *fixture) {
			r.services[0].After = func(*http.Request) { r.net.Silence(entryIP, plainAddr(0).Addr()) }
		}, "DeadlineExceeded/Unknown", 1},
		{"first endpoint refuses connections", func(r *fixture) { r.preference = []int{7, 1} }, "/", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, nil, func(r *fixture) {
				c.cause(r)
				got := r.do("POST", "/ledger/orders", key1, order, "X-Request-Timeout", "20s")
				r.Check(got.code(), qt.Equals, c.code, qt.Commentf("%s", got.body))
				r.Check(r.runs(), qt.Equals, c.runs)
			})
		})
	}
}

// Guards against an idempotent call that fails because of one failed endpoint or one unresponsive connection.
func TestLookupIsRetried(t *testing.T) {
	run(t, nil, func(r *fixture) {
		r.services[0].Before = func(*http.Request) { panic(http.ErrAbortHandler) }
		r.Check(r.do("GET", "/ledger/orders/1", key1, "").status, qt.Equals, 200)
		r.services[0].Before = func(*http.Request) { r.net.Silence(entryIP, plainAddr(0).Addr()) }
		begin := time.Now()
		r.Check(r.do("GET", "/ledger/orders/1", key1, "").status, qt.Equals, 200)
		r.Check(time.Since(begin) <= 4*time.Second, qt.IsTrue)
	})
}

// claimTable is an in-memory fake of the replicated claims.
type claimTable struct {
	mu     sync.Mutex
	stored map[string]*caller.StoredResponse
	held   map[string]bool
}

func (c *claimTable) claim(_ context.Context, customer, key, _ string) (caller.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := customer + "/" + key
	if c.stored[id] != nil {
		return caller.Claim{Stored: c.stored[id]}, nil
	}
	if c.held[id] {
		return caller.Claim{}, refusal.New(refusal.OutcomeUnknown, "an earlier request has not ended")
	}
	c.held[id] = true
	return caller.Claim{
		Finish: func(_ context.Context, s *caller.StoredResponse) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.stored[id] = s
			return nil
		},
		Release: func(context.Context) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.held, id)
			return nil
		},
	}, nil
}

// Guards against running an order again when it is resent with the same Idempotency-Key.
func TestResendGetsStoredAnswer(t *testing.T) {
	claims := &claimTable{stored: map[string]*caller.StoredResponse{}, held: map[string]bool{}}
	prepare := func(r *fixture) {
		r.setOptions = append(r.setOptions, func(o *caller.Options) { o.Claim = claims.claim })
	}
	run(t, prepare, func(r *fixture) {
		first := r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i1")
		again := r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i1")
		r.Check(again.body, qt.Equals, first.body)
		r.Check(r.runs(), qt.Equals, 1)
		r.preference = []int{7, 7}
		r.Check(r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i2").code(), qt.Equals, "Unavailable/NotRun")
		r.preference = []int{0, 1}
		r.Check(r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i2").status, qt.Equals, 200)
		r.Check(r.runs(), qt.Equals, 2)
	})
}
