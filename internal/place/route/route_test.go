package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/place/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints() *route.Candidates {
	var all []route.Candidate
	for _, dc := range []string{"suva-a", "labasa-a", "vunisea-a"} {
		for i := range 3 {
			all = append(all, route.Candidate{Endpoint: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc})
		}
	}
	return route.Prepare(all)
}

func observe(r *route.Router, now time.Time, load, slotValue float64) {
	for _, dc := range []string{"suva-a", "labasa-a", "vunisea-a"} {
		for i := range 3 {
			r.Observe(now, route.Answer{
				Endpoint: fmt.Sprintf("%s-%d", dc, i), Load: load, Places: 16, Service: 2 * time.Second, SlotValue: slotValue,
			})
		}
	}
}

// Guards against a rarely used adapter that takes slots in three data centres, because entries choose different homes.
func TestEntriesAgreeOnHomeOfColdAdapter(t *testing.T) {
	homes := map[string]map[string]bool{}
	for _, dc := range []string{"suva-a", "labasa-a", "vunisea-a"} {
		r := route.New(route.WithDataCentre(dc))
		observe(r, start, 0.3, 0.01)
		for i := range 50 {
			adapter := fmt.Sprint("adapter", i)
			c, ok := r.Choose(start, route.Request{ID: "r", Adapter: adapter, Bytes: 3000}, endpoints())
			qt.Assert(t, ok, qt.IsTrue)
			if homes[adapter] == nil {
				homes[adapter] = map[string]bool{}
			}
			homes[adapter][c.Endpoint] = true
		}
	}
	for adapter, chosen := range homes {
		qt.Check(t, chosen, qt.HasLen, 1, qt.Commentf("%s", adapter))
	}
}

// Guards against sending requests over the slow link for an adapter whose transfers cost more than its slot saves.
func TestPopularAdaptersStayLocalAndGetReplicas(t *testing.T) {
	r := route.New(route.WithDataCentre("suva-a"))
	chosen := map[string]bool{}
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		observe(r, now, 0.3, 0.01)
		c, _ := r.Choose(now, route.Request{ID: fmt.Sprint(i), Adapter: "hot", Bytes: 3000}, endpoints())
		if i > 3000 {
			qt.Assert(t, c.Remote, qt.IsFalse)
			chosen[c.Endpoint] = true
		}
	}
	qt.Check(t, len(chosen) > 1, qt.IsTrue)
}

// Guards against an overloaded data centre that keeps all requests although another one would answer earlier.
func TestOverloadGoesElsewhereOnlyIfItPays(t *testing.T) {
	for _, c := range []struct {
		load   float64
		remote bool
	}{{3, false}, {20, true}} {
		r := route.New(route.WithDataCentre("suva-a"))
		observe(r, start, 0.3, 0)
		for i := range 3 {
			r.Observe(start, route.Answer{
				Endpoint: fmt.Sprint("suva-a-", i), Load: c.load, Places: 16, Service: 2 * time.Second,
			})
		}
		choice, _ := r.Choose(start, route.Request{ID: "r", Adapter: "x", Bytes: 3000}, endpoints())
		qt.Check(t, choice.Remote, qt.Equals, c.remote, qt.Commentf("load %v", c.load))
	}
}

// Guards against a retry at an endpoint that has refused the request, and against a choice when no endpoint is left.
func TestExcludedEndpointsAreNotChosen(t *testing.T) {
	r := route.New(route.WithDataCentre("suva-a"))
	var tried []string
	for range 9 {
		c, ok := r.Choose(start, route.Request{ID: "r", Adapter: "x", Exclude: tried}, endpoints())
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, tried, qt.Not(qt.Contains), c.Endpoint)
		tried = append(tried, c.Endpoint)
	}
	_, ok := r.Choose(start, route.Request{ID: "r", Adapter: "x", Exclude: tried}, endpoints())
	qt.Check(t, ok, qt.IsFalse)
}

// Guards against a thundering herd: entries with the same stale load must not all choose the same endpoint.
func TestStaleLoadsDoNotConcentrateRequests(t *testing.T) {
	counts := map[string]int{}
	for entry := range 30 {
		r := route.New(route.WithDataCentre("suva-a"))
		observe(r, start, 0.5, 0)
		r.Observe(start, route.Answer{Endpoint: "suva-a-0", Load: 0.1, Places: 16, Service: time.Second})
		for i := range 10 {
			c, _ := r.Choose(start, route.Request{ID: fmt.Sprint(entry, i)}, endpoints())
			counts[c.Endpoint]++
		}
	}
	qt.Check(t, counts["suva-a-0"] < 240, qt.IsTrue, qt.Commentf("%v", counts))
}
