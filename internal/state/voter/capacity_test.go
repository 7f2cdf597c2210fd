package voter_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/knownred"
	"lycheevale/internal/base/measure"
	"lycheevale/internal/base/virtualtime"
)

const (
	trafficBudget = 12_000 // control traffic in bytes per second and node (design 1.7)
	targetRate    = 0.2    // changes per second: 16,000 a day are 0.185
	headerBytes   = 74     // bytes of TLS, TCP and IP for each message, as in docs/membership.md
)

// Guards against a voter that exceeds 12 KB per second (design 1.7) at 16,000 changes a day (0.185 per second), and
// prints the traffic of one log between three voters for docs/CAPACITY.md.
func TestVoterTraffic(t *testing.T) {
	const span = 20 * time.Second
	for _, perSecond := range []float64{0, targetRate, 1, 5, 20} {
		t.Run(fmt.Sprint("changes=", perSecond), func(t *testing.T) {
			var busiest float64
			virtualtime.Test(t, func(t *testing.T) {
				c := newCluster(t, 30*time.Millisecond)
				defer c.stopAll()
				leader := c.leader()
				c.mu.Lock()
				clear(c.bytes)
				clear(c.calls)
				c.mu.Unlock()
				end := time.Now().Add(span)
				for i := range int(perSecond * span.Seconds()) {
					next := time.Now().Add(time.Duration(float64(time.Second) / perSecond))
					c.change(leader, i)
					time.Sleep(time.Until(next))
				}
				time.Sleep(time.Until(end))
				qt.Assert(t, c.leader(), qt.Equals, leader)
				c.mu.Lock()
				defer c.mu.Unlock()
				rate := func(name string) float64 {
					return (float64(c.bytes[name]) + 2*headerBytes*float64(c.calls[name])) / span.Seconds()
				}
				follower := 0.0
				for name := range maps.Keys(c.bytes) {
					if name != leader {
						follower = max(follower, rate(name))
					}
				}
				t.Logf("leader %.0f B/s (%.1f calls/s), follower %.0f B/s", rate(leader),
					float64(c.calls[leader])/span.Seconds(), follower)
				busiest = rate(leader)
			})
			if perSecond == targetRate {
				knownred.Target(t, busiest < trafficBudget, "leader %.0f B/s, bound %d", busiest, trafficBudget)
			}
		})
	}
}

// BenchmarkChange measures the processor time of a change at a voter, without waiting for the disk: encoding, log, state
// machine and a snapshot after every 10,000 changes.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprint("changes=", n), func(b *testing.B) {
			var used time.Duration
			for range b.N {
				a := &singleVoter{dir: b.TempDir(), now: time.Unix(1_800_000_000, 0)}
				a.open(b)
				begin := measure.ProcessorTime(b)
				a.proposeChanges(b, n)
				used += measure.ProcessorTime(b) - begin
				qt.Assert(b, a.store.Close(), qt.IsNil)
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N*n), "cpu-µs/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}
