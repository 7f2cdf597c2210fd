package model

import (
	"slices"
	"time"

	"lycheevale/internal/base/refusal"
)

// Result is what one run measured after its warm-up.
type Result struct {
	Site, Policy string
	Scenario     Scenario
	Requests     int
	Stalled      int
	Loads        int
	Within       int // requests of customers within their rate
	FalseRefused int // of those, refused
	FirstToken   []time.Duration
	RemoteBytes  int64
	Violations   map[string]int
	CustomerTime []time.Duration // mean time to the last token by customer
	Codes        map[refusal.Code]int
	Longest      time.Duration // longest wait of a dispatched request at an owner

	counts     []int
	sums       []time.Duration
	steps      int
	stepTokens int
	prefixHits int
	batch      int
}

func newResult(site Site, sc Scenario) *Result {
	n := len(site.Shares)
	return &Result{
		Site: site.Name, Scenario: sc, Violations: map[string]int{}, Codes: map[refusal.Code]int{}, batch: site.BatchSize,
		counts: make([]int, n), sums: make([]time.Duration, n), CustomerTime: make([]time.Duration, n),
	}
}

func (r *Result) count(a *attempt) bool {
	if !a.call.measured {
		return false
	}
	r.Requests++
	if a.call.OverRate {
		return true
	}
	r.Within++
	if a.stalled {
		r.Stalled++
	}
	return true
}

func (r *Result) completed(a *attempt, end time.Duration, site Site) {
	if !r.count(a) {
		return
	}
	if !a.call.OverRate {
		r.FirstToken = append(r.FirstToken, a.first-a.call.At)
	}
	if a.remote {
		r.RemoteBytes += int64(site.BytesPerToken * (a.call.Prompt + 2*a.call.Output))
	}
	r.counts[a.call.Customer]++
	r.sums[a.call.Customer] += end - a.call.At
}

func (r *Result) refused(a *attempt, err *refusal.Error, _ time.Duration) {
	if !r.count(a) {
		return
	}
	r.Codes[err.Code]++
	if !a.call.OverRate {
		r.FalseRefused++
	}
}

func (r *Result) close(policy string) {
	r.Policy = policy
	slices.Sort(r.FirstToken)
	for i, n := range r.counts {
		if n > 0 {
			r.CustomerTime[i] = r.sums[i] / time.Duration(n)
		}
	}
}

// StallShare is the share of requests of customers within their rate that waited for a load.
func (r *Result) StallShare() float64 { return share(r.Stalled, r.Within) }

// FalseShare is the share of refused requests of customers within their rate.
func (r *Result) FalseShare() float64 { return share(r.FalseRefused, r.Within) }

// BatchShare is the tokens of a batch step against the engine's best while requests waited.
func (r *Result) BatchShare() float64 { return share(r.stepTokens, r.steps*r.batch) }

// TimeToFirst returns a quantile of the time to the first token.
func (r *Result) TimeToFirst(q float64) time.Duration {
	if len(r.FirstToken) == 0 {
		return 0
	}
	return r.FirstToken[min(int(q*float64(len(r.FirstToken))), len(r.FirstToken)-1)]
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// Slowdown returns the highest ratio of a customer's time to its time alone, without the customer that sends more
// than its rate. alone returns the result of the customer's run alone.
func (r *Result) Slowdown(alone func(customer int) *Result) (worst float64) {
	for i, t := range r.CustomerTime {
		if i == r.Scenario.Burster || t == 0 {
			continue
		}
		worst = max(worst, float64(t)/float64(alone(i).CustomerTime[i]))
	}
	return worst
}
