package voter

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
)

// leadingLoop returns the loop of a leader with two followers.
func leadingLoop(c *quicktest.C, now *time.Time, timeout time.Duration) *loop {
	store, err := record.Open(c.TempDir())
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { c.Check(store.Close(), quicktest.IsNil) })
	machine := StateMachine{
		Apply: func([]byte) []byte { return nil }, Restore: func([]byte) error { return nil },
		View: func() func() ([]byte, error) { return func() ([]byte, error) { return nil, nil } },
	}
	replica, err := OpenReplica(*now, store, machine, ReplicaOptions{
		SnapshotEvery: 1000, KeepEntries: 100, SyncFirst: true, NewIdentity: func() string { return "a" },
		Consensus: []consensus.Option{consensus.WithElectionTimeout(timeout)},
	})
	c.Assert(err, quicktest.IsNil)
	members := []consensus.Member{{ID: "a", Name: "a"}, {ID: "b", Name: "b"}, {ID: "c", Name: "c"}}
	c.Assert(replica.Bootstrap(*now, consensus.Config{Members: members}), quicktest.IsNil)
	*now = now.Add(10 * timeout)
	replica.Tick(*now)
	for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
		term := replica.Status().Term
		if kind == consensus.PreVoteReply {
			term++
		}
		replica.Step(*now, consensus.Message{Kind: kind, From: "b", To: "a", Term: term})
	}
	c.Assert(replica.Status().Role, quicktest.Equals, consensus.Leader)
	v := New(WithName("a"), WithNow(func() time.Time { return *now }), WithLogger(slog.New(slog.DiscardHandler)))
	return &loop{voter: v, replica: replica, nextMaintenance: now.Add(time.Hour)}
}

// A leader without processor time for most of an election timeout has answers of its followers in its queue when it runs again. Guards against giving up
// the leadership for want of them, since its check of a majority came before the queue.
func TestQueuedAnswersCountBeforeQuorumCheck(t *testing.T) {
	const timeout = time.Second
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := leadingLoop(c, &now, timeout)
	replica, leader := l.replica, l.replica.Status()

	for range 11 { // the first check of a majority passes
		now = now.Add(timeout / 10)
		replica.Tick(now)
	}
	l.voter.inputs <- func(_ context.Context, l *loop) {
		l.replica.Step(now, consensus.Message{Kind: consensus.AppendReply, From: "b", To: "a", Term: leader.Term, Index: leader.Last})
	}
	now = now.Add(timeout * 95 / 100)
	l.step(context.Background(), true)
	c.Check(replica.Status().Role, quicktest.Equals, consensus.Leader)
}

// A leader is suspended while it handles an input. Guards against one that passes for checked when it wakes, and acts although another may lead: its core
// steps down only when its clock is read.
func TestSuspendedLeaderIsNotChecked(t *testing.T) {
	const timeout = time.Second
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := leadingLoop(c, &now, timeout)
	l.publish(t.Context())
	before := now
	c.Check(l.voter.Status().LeaderKnownAt, quicktest.Equals, before)
	now = now.Add(timeout)
	l.publish(t.Context())
	c.Check(l.voter.Status().LeaderKnownAt, quicktest.Equals, before)
	l.step(t.Context(), true)
	l.publish(t.Context())
	c.Check(l.voter.Status().Role, quicktest.Not(quicktest.Equals), consensus.Leader)
}
