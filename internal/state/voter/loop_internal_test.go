package voter

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
)

// A leader without processor time for most of an election timeout has answers of its followers in its queue when it runs again. Guards against giving up
// the leadership for want of them, since its check of a majority came before the queue.
func TestQueuedAnswersCountBeforeQuorumCheck(t *testing.T) {
	const timeout = time.Second
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	store, err := record.Open(t.TempDir())
	c.Assert(err, quicktest.IsNil)
	defer func() { c.Check(store.Close(), quicktest.IsNil) }()
	machine := StateMachine{
		Apply: func([]byte) []byte { return nil }, Restore: func([]byte) error { return nil },
		View: func() func() ([]byte, error) { return func() ([]byte, error) { return nil, nil } },
	}
	replica, err := OpenReplica(now, store, machine, ReplicaOptions{
		SnapshotEvery: 1000, KeepEntries: 100, SyncFirst: true, NewIdentity: func() string { return "a" },
		Consensus: []consensus.Option{consensus.WithElectionTimeout(timeout)},
	})
	c.Assert(err, quicktest.IsNil)
	members := []consensus.Member{{ID: "a", Name: "a"}, {ID: "b", Name: "b"}, {ID: "c", Name: "c"}}
	c.Assert(replica.Bootstrap(now, consensus.Config{Members: members}), quicktest.IsNil)
	now = now.Add(10 * timeout)
	replica.Tick(now)
	for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
		term := replica.Status().Term
		if kind == consensus.PreVoteReply {
			term++
		}
		replica.Step(now, consensus.Message{Kind: kind, From: "b", To: "a", Term: term})
	}
	leader := replica.Status()
	c.Assert(leader.Role, quicktest.Equals, consensus.Leader)

	for range 11 { // the first check of a majority passes
		now = now.Add(timeout / 10)
		replica.Tick(now)
	}
	v := New(WithName("a"), WithNow(func() time.Time { return now }))
	l := &loop{voter: v, replica: replica, nextMaintenance: now.Add(time.Hour)}
	v.inputs <- func(_ context.Context, l *loop) {
		l.replica.Step(now, consensus.Message{Kind: consensus.AppendReply, From: "b", To: "a", Term: leader.Term, Index: leader.Last})
	}
	now = now.Add(timeout * 95 / 100)
	l.step(context.Background(), true)
	c.Check(replica.Status().Role, quicktest.Equals, consensus.Leader)
}
