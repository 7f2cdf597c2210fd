package node_test

import (
	"flag"
	"testing"
	"time"

	"lycheevale/internal/member/node"
)

// budget is the control traffic allowed to a node in bytes per second, from section 1.7 of the design.
const budget = 12_000

// traffic is what the instance with the most traffic sends and receives in a second.
type traffic struct {
	bytes, withHeaders, calls float64
}

// measure runs a data centre without faults for some renewals after it has settled.
func measure(t *testing.T, instances, endpoints int) (busiest traffic) {
	virtual(t, instances, min(instances, 5), func(c *cluster) {
		settle := node.TimingFor(instances).Length + 18*time.Second
		c.run(settle, endpoints)
		for _, in := range c.instances {
			in.bytes, in.calls = 0, 0
		}
		span := 18 * time.Second
		if *all {
			span = time.Minute // renewals are up to 5 s apart
		}
		c.run(span, endpoints)
		for _, in := range c.instances {
			calls := float64(in.calls) / span.Seconds()
			bytes := float64(in.bytes) / span.Seconds()
			if bytes > busiest.bytes {
				busiest = traffic{bytes, bytes + headers*calls, calls}
			}
		}
	})
	return busiest
}

// all makes the test print the table of docs/membership.md instead of the smallest and largest size.
var all = flag.Bool("all", false, "measure all sizes of the capacity page")

// Guards against control traffic beyond the budget of a node in a large data centre.
func TestTrafficBudget(t *testing.T) {
	t.Parallel()
	sizes := [][2]int{{3, 9}, {30, 9}, {92, 9}, {92, 1000}}
	if *all {
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
		if got.withHeaders > budget {
			t.Errorf("%d instances, %d endpoints: %.0f bytes/s", size[0], size[1], got.withHeaders)
		}
	}
}
