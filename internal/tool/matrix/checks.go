package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/demo"
)

// Evidence is what a cell leaves behind for the checks that look at the end only.
type Evidence struct {
	EvictedInUse int      // adapters evicted while requests used them
	Received     []string // what endpoints received
	Secrets      []string // that no endpoint may see
	OrderRuns    int
	LateWork     int             // requests sent to an endpoint long after it began to leave
	Accepted     map[string]bool // accepted changes, and whether they are in force everywhere
	Allowance    float64         // tokens that the busiest customer may have been given
	Used         float64         // tokens that it was given
}

// Check returns the promises that the evidence breaks.
func Check(e Evidence) (violations []string) {
	add := func(broken bool, format string, args ...any) {
		if broken {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	add(e.EvictedInUse > 0, "P2: %d adapters were evicted while in use", e.EvictedInUse)
	for _, secret := range e.Secrets {
		for _, r := range e.Received {
			add(strings.Contains(r, secret), "P4: an endpoint received a key: %s", r)
		}
	}
	add(e.Used > e.Allowance, "P6: %g tokens were given, %g allowed", e.Used, e.Allowance)
	add(e.OrderRuns > 1, "P9: the order ran %d times", e.OrderRuns)
	add(e.LateWork > 0, "P10: a leaving endpoint got %d late requests", e.LateWork)
	for name, everywhere := range e.Accepted {
		add(!everywhere, "P12: the accepted change %s is not in force everywhere", name)
	}
	return violations
}

// violations returns what was seen while the deployment ran and what the evidence shows.
func (h *Harness) violations(e Evidence) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(Check(e), h.watched...)
}

// evidence collects what the end of a cell shows.
func (h *Harness) evidence() Evidence {
	e := Evidence{OrderRuns: h.runs(orderReference), Accepted: map[string]bool{}, Allowance: h.allowance()}
	for _, p := range h.Endpoints {
		if p.Engine != nil {
			e.EvictedInUse += p.Engine.EvictedInUse()
		}
	}
	for n := range demo.Customers() {
		_, secret, _ := strings.Cut(strings.TrimPrefix(demo.Key(n), "lv_"), "_")
		e.Secrets = append(e.Secrets, secret)
	}
	if _, ok := h.voter(0).Current().Object(registry.KindAdapter, changeName); ok {
		e.Accepted[fmt.Sprint(changeName, h.missing(changeName))] = h.everywhere(changeName)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Received, e.LateWork, e.Used = slices.Clone(h.received), h.lateWork, float64(h.used)
	return e
}

// allowance is what the limit of the probe's customer gives in the time of the cell.
func (h *Harness) allowance() float64 {
	o, ok := h.voter(0).Current().Object(registry.KindCustomer, probeCustomer)
	if !ok {
		return 0
	}
	return o.Customer.Burst + o.Customer.Rate*time.Since(h.begin).Seconds()
}
