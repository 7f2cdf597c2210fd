package voter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
)

// otherTraffic is the traffic in bytes per second, with headers, that a voter at the target size needs to feed all relays
// and to compare withdrawn keys (docs/CAPACITY.md, "Relay" and "Voter").
const otherTraffic = 4_399 + 430

// Guards against an instance that exceeds 12 KB per second (design 1.7) because it leads both logs.
func TestTrafficOfBothLogs(t *testing.T) {
	const span = 20 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond, "Config", "Claim")
		defer c.stopAll()
		leader := c.leader()
		for range 100 { // an instance that does not lead both logs is restarted
			if c.node(leader).voters["Claim"].Status().Leader == leader {
				break
			}
			other := c.node(leader).voters["Claim"].Status().Leader
			c.kill(other)
			c.start(other)
			time.Sleep(5 * time.Second)
			leader = c.leader()
		}
		qt.Assert(t, c.node(leader).voters["Claim"].Status().Leader, qt.Equals, leader)
		c.mu.Lock()
		clear(c.bytes)
		clear(c.calls)
		c.mu.Unlock()
		for i := range int(targetRate * span.Seconds()) {
			next := time.Now().Add(time.Duration(float64(time.Second) / targetRate))
			c.change(leader, i)
			time.Sleep(time.Until(next))
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		rate := float64(c.bytes[leader]+2*headerBytes*c.calls[leader]) / span.Seconds()
		t.Logf("leader of both logs %.0f B/s (%.1f calls/s)", rate, float64(c.calls[leader])/span.Seconds())
		qt.Assert(t, rate+otherTraffic < trafficBudget, qt.IsTrue)
	})
}
