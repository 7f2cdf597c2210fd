package node_test

import (
	"flag"
	"testing"
	"time"

	"lycheevale/internal/member/node"
)

// trafficBudget is the control traffic that a node may cause in bytes per second, from section 1.7 of
// docs/design.md.
const trafficBudget = 12_000

// traffic is the traffic per second, sent and received, of the instance with the most traffic.
type traffic struct {
	bytes, withHeaders, calls float64
}

// measure measures a data centre without faults after its endpoints are assigned.
func measure(t *testing.T, instances, endpoints int) (busiest traffic) {
	runCluster(t, instances, min(instances, 5), func(c *cluster) {
		settle := node.TimingFor(instances).OwnerLease + 18*time.Second
		c.run(settle, endpoints)
		for _, in := range c.instances {
			in.bytes, in.calls = 0, 0
		}
		span := 18 * time.Second
		if *allSizes {
			span = time.Minute // renewals are up to 5 s apart
		}
		c.run(span, endpoints)
		for _, in := range c.instances {
			calls := float64(in.calls) / span.Seconds()
			bytes := float64(in.bytes) / span.Seconds()
			if bytes > busiest.bytes {
				busiest = traffic{bytes, bytes + headerOverhead*calls, calls}
			}
		}
	})
	return busiest
}

// allSizes makes the test measure all sizes in the table of docs/membership.md instead of four of them.
var allSizes = flag.Bool("all", false, "measure all sizes in docs/membership.md")

// Guards against control traffic beyond the budget of a node in a large data centre.
func TestTrafficBudget(t *testing.T) {
	t.Parallel()
	sizes := [][2]int{{3, 9}, {30, 9}, {92, 9}, {92, 1000}}
	if *allSizes {
		sizes = nil
		for _, instances := range []int{3, 30, 92} {
			for _, endpoints := range []int{9, 300, 1000} {
				sizes = append(sizes, [2]int{instances, endpoints})
			}
		}
	}
	for _, size := range sizes {
		got := measure(t, size[0], size[1])
		t.Logf("instances=%d endpoints=%d: %.0f B/s, %.0f B/s with headers, %.1f calls/s", size[0], size[1], got.bytes, got.withHeaders, got.calls)
		if got.withHeaders > trafficBudget {
			t.Errorf("%d instances, %d endpoints: %.0f bytes/s exceed the budget", size[0], size[1], got.withHeaders)
		}
	}
}
