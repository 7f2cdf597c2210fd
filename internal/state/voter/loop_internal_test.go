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

// electionTimeout is that of the voters of newLeader.
const electionTimeout = time.Second

// newLeader returns the replica of a leader with two followers, whose first check of a majority has passed.
func newLeader(c *quicktest.C, now time.Time) (*Replica, time.Time) {
	const timeout = electionTimeout
	store, err := record.Open(c.TempDir())
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { c.Check(store.Close(), quicktest.IsNil) })
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
	c.Assert(replica.Status().Role, quicktest.Equals, consensus.Leader)
	for range 11 {
		now = now.Add(timeout / 10)
		replica.Tick(now)
	}
	return replica, now
}

// A leader without processor time for most of an election timeout has answers of its followers in its queue when it runs again. Guards against giving up
// the leadership for want of them, since its check of a majority came before the queue.
func TestQueuedAnswersCountBeforeQuorumCheck(t *testing.T) {
	const timeout = electionTimeout
	c := quicktest.New(t)
	replica, now := newLeader(c, time.Unix(1_800_000_000, 0))
	leader := replica.Status()
	v := New(WithName("a"), WithNow(func() time.Time { return now }))
	l := &loop{voter: v, replica: replica, nextMaintenance: now.Add(time.Hour)}
	v.inputs <- func(_ context.Context, l *loop) {
		l.replica.Step(now, consensus.Message{Kind: consensus.AppendReply, From: "b", To: "a", Term: leader.Term, Index: leader.Last})
	}
	now = now.Add(timeout * 95 / 100)
	l.step(context.Background(), true)
	c.Check(replica.Status().Role, quicktest.Equals, consensus.Leader)
}

// A leader is suspended while its voter waits for the disk. Guards against counting the end of that wait as contact with the other voters, so that the woken
// leader acted until the next tick.
func TestSuspensionDuringSyncIsNoContact(t *testing.T) {
	c := quicktest.New(t)
	replica, now := newLeader(c, time.Unix(1_800_000_000, 0))
	ran := now
	v := New(WithName("a"), WithNow(func() time.Time { return now }), WithLogger(slog.New(slog.DiscardHandler)))
	l := &loop{voter: v, replica: replica, nextMaintenance: now.Add(time.Hour)}
	l.step(context.Background(), true)
	now = now.Add(6 * time.Second)
	l.publish(context.Background())
	c.Check(v.Status().CheckedAt, quicktest.Equals, ran)
	l.step(context.Background(), true)
	c.Check(v.Status().ActingTerm, quicktest.Equals, uint64(0))
	c.Check(v.Status().CheckedAt, quicktest.Equals, now)
}

// A leader is suspended between a decision and its proposal, replaced, and elected again. Guards against a decision of an earlier term in the log.
func TestProposalOfEarlierTermIsRefused(t *testing.T) {
	c := quicktest.New(t)
	replica, now := newLeader(c, time.Unix(1_800_000_000, 0))
	v := New(WithName("a"), WithNow(func() time.Time { return now }))
	l := &loop{voter: v, replica: replica, waiting: map[uint64]waiter{}}
	term, last := replica.Status().Term, replica.Status().Last
	for _, test := range []struct {
		term  uint64
		added uint64
	}{{term - 1, 0}, {term + 1, 0}, {term, 1}, {0, 2}} {
		done := make(chan proposalResult, 1)
		l.proposals = append(l.proposals, pendingProposal{data: []byte("x"), term: test.term, done: done})
		l.proposeWaiting()
		c.Check(replica.Status().Last, quicktest.Equals, last+test.added, quicktest.Commentf("term %d of %d", test.term, term))
		if test.added == 0 {
			c.Check((<-done).Outcome, quicktest.Equals, outcomeNotLeader)
		}
	}
}

// A leader is suspended while it handles an input. Guards against one that passes for checked when it wakes, and acts although another may lead: its core
// steps down only when its clock is read.
func TestSuspendedLeaderIsNotChecked(t *testing.T) {
	const timeout = electionTimeout
	c := quicktest.New(t)
	replica, now := newLeader(c, time.Unix(1_800_000_000, 0))
	v := New(WithName("a"), WithNow(func() time.Time { return now }), WithLogger(slog.New(slog.DiscardHandler)))
	l := &loop{voter: v, replica: replica, nextMaintenance: now.Add(time.Hour)}
	l.publish(t.Context())
	before := now
	c.Check(v.Status().LeaderKnownAt, quicktest.Equals, before)
	now = now.Add(timeout)
	l.publish(t.Context())
	c.Check(v.Status().LeaderKnownAt, quicktest.Equals, before)
	l.step(t.Context(), true)
	l.publish(t.Context())
	c.Check(v.Status().Role, quicktest.Not(quicktest.Equals), consensus.Leader)
}
