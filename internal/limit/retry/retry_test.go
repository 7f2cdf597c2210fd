package retry_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/limit/retry"
)

var epoch = time.Unix(1_800_000_000, 0)

// A service fails nearly half of its answers, and each request asks for three repeats. Guards against repeats of all entries
// together that exceed, in any window, what the ratio and the slack allow.
func TestRepeatsStayWithinBudget(t *testing.T) {
	c := quicktest.New(t)
	const entries = 9
	options := retry.Options{Ratio: 0.14, Window: 10 * time.Second, Slack: 40}
	var budgets []*retry.Budget
	for range entries {
		budgets = append(budgets, retry.New(options))
	}
	type at struct {
		time     time.Time
		requests int
		repeats  int
	}
	var history []at
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		step := at{time: now}
		for _, b := range budgets {
			b.Request(now)
			step.requests++
			for range 3 {
				if b.Take(now, entries) {
					step.repeats++
				}
			}
		}
		history = append(history, step)
		requests, repeats := 0, 0
		for _, h := range history {
			if now.Sub(h.time) < options.Window {
				requests += h.requests
				repeats += h.repeats
			}
		}
		// The users' bound is a fifth of the requests plus 58.
		c.Assert(float64(repeats) <= 0.2*float64(requests)+58, quicktest.IsTrue, quicktest.Commentf("%d of %d", repeats, requests))
	}
}

// Guards against an entry that never repeats because it sees few requests.
func TestSlackIsUsable(t *testing.T) {
	b := retry.New(retry.Options{Ratio: 0.1, Window: 10 * time.Second, Slack: 40})
	quicktest.New(t).Check(b.Take(epoch, 9), quicktest.IsTrue)
}
