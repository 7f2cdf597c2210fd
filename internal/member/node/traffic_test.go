package node_test

import (
	"fmt"
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
		const span = 18 * time.Second
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

// Guards against control traffic beyond the budget of a node in a large data centre.
func TestTrafficBudget(t *testing.T) {
	for _, size := range [][2]int{{3, 9}, {92, 1000}} {
		got := measure(t, size[0], size[1])
		t.Logf("%d instances, %d endpoints: %+v", size[0], size[1], got)
		if got.withHeaders > budget {
			t.Errorf("%d instances, %d endpoints: %.0f bytes/s", size[0], size[1], got.withHeaders)
		}
	}
}

func BenchmarkTraffic(b *testing.B) {
	for _, instances := range []int{3, 30, 92} {
		for _, endpoints := range []int{9, 300, 1000} {
			b.Run(fmt.Sprintf("instances=%d/endpoints=%d", instances, endpoints), func(b *testing.B) {
				for b.Loop() {
					got := measure(&testing.T{}, instances, endpoints)
					b.ReportMetric(got.bytes, "B/s")
					b.ReportMetric(got.withHeaders, "B/s-with-headers")
					b.ReportMetric(got.calls, "calls/s")
				}
			})
		}
	}
}
