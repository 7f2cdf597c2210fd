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

func (r *rig) runs() int { return r.plains[0].Runs("o") + r.plains[1].Runs("o") }

// Guards against an order that runs twice when its answer is lost, and against a refusal that wrongly says NotRun.
func TestOrderRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		cause func(r *rig)
		code  string
		runs  int
	}{
		{"no fault", func(*rig) {}, "/", 1},
		{"connection lost after the order ran", func(r *rig) {
			r.plains[0].After = func(*http.Request) { panic(http.ErrAbortHandler) }
		}, "OutcomeUnknown/Unknown", 1},
		{"connection lost before the order ran", func(r *rig) {
			r.plains[0].Before = func(*http.Request) { panic(http.ErrAbortHandler) }
		}, "OutcomeUnknown/Unknown", 0},
		{"silent while the order runs", func(r *rig) {
			r.plains[0].After = func(*http.Request) { r.net.Silence(entryIP, plainAddr(0).Addr()) }
		}, "DeadlineExceeded/Unknown", 1},
		{"first endpoint refuses connections", func(r *rig) { r.order = []int{7, 1} }, "/", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, nil, func(r *rig) {
				c.cause(r)
				got := r.do("POST", "/ledger/orders", key1, order, "X-Request-Timeout", "20s")
				r.Check(got.code(), qt.Equals, c.code, qt.Commentf("%s", got.body))
				r.Check(r.runs(), qt.Equals, c.runs)
			})
		})
	}
}

// Guards against an idempotent call that is lost with one endpoint or one silent connection.
func TestLookupIsRetried(t *testing.T) {
	run(t, nil, func(r *rig) {
		r.plains[0].Before = func(*http.Request) { panic(http.ErrAbortHandler) }
		r.Check(r.do("GET", "/ledger/orders/1", key1, "").status, qt.Equals, 200)
		r.plains[0].Before = func(*http.Request) { r.net.Silence(entryIP, plainAddr(0).Addr()) }
		begin := time.Now()
		r.Check(r.do("GET", "/ledger/orders/1", key1, "").status, qt.Equals, 200)
		r.Check(time.Since(begin) <= 4*time.Second, qt.IsTrue)
	})
}

// claimTable is a single-process stand-in for the replicated claims.
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

// Guards against a resend with the same Idempotency-Key that runs the order again.
func TestResendGetsStoredAnswer(t *testing.T) {
	claims := &claimTable{stored: map[string]*caller.StoredResponse{}, held: map[string]bool{}}
	prepare := func(r *rig) {
		r.change = append(r.change, func(o *caller.Options) { o.Claim = claims.claim })
	}
	run(t, prepare, func(r *rig) {
		first := r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i1")
		again := r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i1")
		r.Check(again.body, qt.Equals, first.body)
		r.Check(r.runs(), qt.Equals, 1)
		r.order = []int{7, 7}
		r.Check(r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i2").code(), qt.Equals, "Unavailable/NotRun")
		r.order = []int{0, 1}
		r.Check(r.do("POST", "/ledger/orders", key1, order, "Idempotency-Key", "i2").status, qt.Equals, 200)
		r.Check(r.runs(), qt.Equals, 2)
	})
}
