package voter_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/voter"
)

// Guards against a log that blocks while a snapshot is encoded and written, so that heartbeats stop and another voter is
// elected.
func TestSlowSnapshotCausesNoElection(t *testing.T) {
	const encoding = 2 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		leader := c.leader()
		term := c.node(leader).voter.Status().Term
		c.encodeTime.Store(int64(encoding))
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
		qt.Assert(t, slowest < changeTarget, qt.IsTrue)
	})
}

// Guards against a voter that never catches up because a snapshot transfer takes longer than the core's resend timeout,
// and the second transfer aborts the first.
func TestSnapshotOverSlowLink(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t, 30*time.Millisecond)
		defer c.stopAll()
		c.padding, c.chunkDelay = 4<<20, time.Second // 17 chunks
		lagging := c.followers()[0]
		c.kill(lagging)
		id := 0
		for ; id < 60; id++ {
			c.change(c.leader(), id)
		}
		c.start(lagging)
		time.Sleep(30 * time.Second)
		qt.Assert(t, c.node(lagging).registry.Revision(), qt.Equals, uint64(id))
	})
}

// delaySnapshots delays the encoding of snapshots by c.encodeTime and adds c.padding bytes.
func (c *cluster) delaySnapshots(m voter.StateMachine) voter.StateMachine {
	view := m.View
	m.View = func() func() ([]byte, error) {
		encode := view()
		return func() ([]byte, error) {
			time.Sleep(time.Duration(c.encodeTime.Load()))
			data, err := encode()
			return append(data, bytes.Repeat([]byte(" "), c.padding)...), err
		}
	}
	return m
}
