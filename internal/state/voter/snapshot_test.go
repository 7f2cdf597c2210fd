package voter_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/state/voter"
)

// Guards against a log that stands still while a snapshot is encoded and written: heartbeats stop and another voter
// is elected.
func TestSlowSnapshotCausesNoElection(t *testing.T) {
	const encoding = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		leader := c.leader()
		term := c.node(leader).voter.Status().Term
		c.encoding.Store(int64(encoding))
		var slowest time.Duration
		for id := range 60 {
			start := time.Now()
			c.change(leader, id)
			slowest = max(slowest, time.Since(start))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * encoding)
		s := c.node(leader).voter.Status()
		t.Logf("slowest change while snapshots take %v: %v", encoding, slowest)
		qt.Assert(t, s.Snapshot > 20, qt.IsTrue) // one was stored
		qt.Assert(t, s.Term, qt.Equals, term)
		qt.Assert(t, c.leader(), qt.Equals, leader)
		qt.Assert(t, slowest < target, qt.IsTrue)
	})
}

// slow delays the encoding of snapshots by c.encoding.
func (c *cluster) slow(m voter.StateMachine) voter.StateMachine {
	view := m.View
	m.View = func() func() ([]byte, error) {
		encode := view()
		return func() ([]byte, error) {
			time.Sleep(time.Duration(c.encoding.Load()))
			return encode()
		}
	}
	return m
}
