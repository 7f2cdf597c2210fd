package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/state/consensus"
)

// connectOnly connects the named nodes with each other and isolates all others.
func (c *cluster) connectOnly(ids ...string) {
	for _, n := range c.nodes {
		n.partitioned = true
	}
	for _, id := range ids {
		c.nodes[id].partitioned = false
	}
}

func without(ids []string, but ...string) (rest []string) {
next:
	for _, id := range ids {
		for _, b := range but {
			if id == b {
				continue next
			}
		}
		rest = append(rest, id)
	}
	return rest
}

// scenarios lists, for rules that random schedules rarely exercise, a scenario that fails when the rule is disabled.
var scenarios = map[string]struct {
	off func(*consensus.Rules)
	run func(c *cluster) error
}{
	"PreVote":           {func(r *consensus.Rules) { r.PreVote = false }, rejoinAfterPartition},
	"LeaderStickiness":  {func(r *consensus.Rules) { r.LeaderStickiness = false }, oneWayPartition},
	"CheckQuorum":       {func(r *consensus.Rules) { r.CheckQuorum = false }, isolatedLeader},
	"CurrentTermCommit": {func(r *consensus.Rules) { r.CurrentTermCommit = false }, previousTermEntry},
	"CaughtUp":          {func(r *consensus.Rules) { r.CaughtUp = false }, emptyLearner},
	"RemovalNotice":     {func(r *consensus.Rules) { r.RemovalNotice = false }, removedWhilePartitioned},
}

// Guards against the faults described at each scenario, and against a scenario that does not depend on its rule.
func TestRuleScenarios(t *testing.T) {
	for name, d := range scenarios {
		t.Run(name, func(t *testing.T) {
			if err := d.run(newCluster(nil, func(*consensus.Rules) {}, 5, 1)); err != nil {
				t.Fatalf("with the rule enabled: %v", err)
			}
			if err := d.run(newCluster(nil, d.off, 5, 1)); err == nil {
				t.Fatal("no violation although the rule is disabled")
			}
		})
	}
}

// rejoinAfterPartition: a voter returning from a partition must not depose the leader.
func rejoinAfterPartition(c *cluster) error {
	c.settle(3 * time.Second)
	leader := c.leader()
	term := c.nodes[leader].core.Status().Term
	c.nodes[without(c.ids, leader)[0]].partitioned = true
	c.settle(10 * time.Second)
	c.connectOnly(c.ids...)
	c.settle(3 * time.Second)
	return c.unchanged(leader, term)
}

func (c *cluster) unchanged(leader string, term uint64) error {
	if s := c.nodes[leader].core.Status(); s.Role != consensus.Leader || s.Term != term {
		return fmt.Errorf("leader %s of term %d is now %s in term %d", leader, term, s.Role, s.Term)
	}
	return nil
}

// oneWayPartition: a voter that receives nothing from the leader, but reaches the others, must not depose it.
func oneWayPartition(c *cluster) error {
	c.settle(3 * time.Second)
	leader := c.leader()
	term := c.nodes[leader].core.Status().Term
	unreachable := without(c.ids, leader)[0]
	c.drop = func(m consensus.Message) bool { return m.From == leader && m.To == unreachable }
	c.settle(10 * time.Second)
	return c.unchanged(leader, term)
}

// isolatedLeader: a leader that is partitioned from all others must step down.
func isolatedLeader(c *cluster) error {
	c.settle(3 * time.Second)
	leader := c.leader()
	c.connectOnly(leader)
	c.settle(3 * time.Second)
	if c.nodes[leader].core.Status().Role == consensus.Leader {
		return errs.New("an isolated leader did not step down")
	}
	return nil
}

// previousTermEntry: an entry of an earlier term on a majority may still be replaced and must not be committed by itself.
func previousTermEntry(c *cluster) error {
	c.settle(3 * time.Second)
	first := c.leader()
	rest := without(c.ids, first, "v5")
	c.connectOnly(first, rest[0])
	c.propose(first)
	c.settle(100 * time.Millisecond)
	c.connectOnly(rest[1], rest[2], rest[3])
	var second string
	for second == "" {
		for _, id := range rest[1:] {
			c.tick(id, 10*time.Millisecond)
		}
		for len(c.network) > 0 && second == "" {
			c.deliver(0, false, false)
			second = c.leader()
		}
	}
	c.network = nil // the second leader's first entry is lost
	rest = append(without(rest, second, rest[0]), rest[0])
	c.connectOnly(first, rest[2], rest[0])
	// The entry of the third leader's own term is lost.
	c.drop = func(m consensus.Message) bool {
		return len(m.Entries) > 0 && m.Entries[0].Kind == consensus.EntryEmpty
	}
	c.settle(5 * time.Second)
	c.drop = nil
	c.connectOnly(second, rest[0], rest[1])
	c.settle(10 * time.Second)
	return c.fault
}

// emptyLearner: a learner without the committed entries must not count for a majority.
func emptyLearner(c *cluster) error {
	c.settle(3 * time.Second)
	learner := consensus.Member{ID: "v5", Name: "v5"}
	c.nodes["v5"].partitioned = true
	_ = c.change(c.leader(), consensus.Change{Kind: consensus.AddLearner, Member: learner})
	c.settle(time.Second)
	if c.change(c.leader(), consensus.Change{Kind: consensus.Promote, Member: learner}) == nil {
		return errs.New("an empty learner became a voter")
	}
	return nil
}

// removedWhilePartitioned: a voter that was removed while it was partitioned or suspended must stop campaigning, and vote again after it
// was added again. It campaigned without end, and did not ask to join.
func removedWhilePartitioned(c *cluster) error {
	c.settle(3 * time.Second)
	leader := c.leader()
	removed := without(c.ids, leader, "v5")[0]
	c.nodes[removed].partitioned = true
	c.settle(3 * time.Second)
	if err := c.change(leader, consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: removed}}); err != nil {
		return err
	}
	c.settle(3 * time.Second)
	term := c.nodes[leader].core.Status().Term
	c.connectOnly(c.ids...)
	c.settle(3 * time.Second)
	if s := c.nodes[removed].core.Status(); !s.Removed || s.Role != consensus.Follower {
		return fmt.Errorf("removed voter %s is a %s, knows of its removal: %v", removed, s.Role, s.Removed)
	}
	member := consensus.Member{ID: removed, Name: removed}
	for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
		if err := c.change(leader, consensus.Change{Kind: kind, Member: member}); err != nil {
			return err
		}
		c.settle(time.Second)
	}
	if s := c.nodes[removed].core.Status(); s.Removed || s.Leader != leader || !s.Config.Voter(removed) {
		return fmt.Errorf("voter %s was added again; it follows %q, removed: %v", removed, s.Leader, s.Removed)
	}
	if err := c.unchanged(leader, term); err != nil {
		return err
	}
	c.nodes[leader].partitioned = true
	c.connectOnly(removed, without(c.ids, removed, leader)[0], without(c.ids, removed, leader)[1])
	c.settle(5 * time.Second)
	if c.leader() == "" {
		return errs.New("no leader is elected among three of five voters, one of them added again")
	}
	return c.fault
}

// A voter stores the entries that add it, and asks for the pre-vote of one that does not have them yet. Guards against taking that
// one's answer for a removal.
func TestLaggingVoterDoesNotRemove(t *testing.T) {
	c := newCluster(nil, func(*consensus.Rules) {}, 3, 1)
	c.settle(3 * time.Second)
	leader := c.leader()
	lagging := without(c.ids, leader, "v3")[0]
	cutOff := false // v3 gets no messages of the leader
	c.drop = func(m consensus.Message) bool {
		return m.To == lagging && len(m.Entries) > 0 || cutOff && m.To == "v3" && m.From == leader
	}
	member := consensus.Member{ID: "v3", Name: "v3"}
	for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
		if err := c.change(leader, consensus.Change{Kind: kind, Member: member}); err != nil {
			t.Fatal(err)
		}
		c.settle(time.Second)
	}
	cutOff = true
	c.settle(5 * time.Second)
	if s := c.nodes["v3"].core.Status(); s.Removed || s.Role != consensus.PreCandidate || !s.Config.Voter("v3") {
		t.Fatalf("voter v3 is a %s, removed: %v", s.Role, s.Removed)
	}
	if s := c.nodes[lagging].core.Status(); s.Leader != leader || s.Config.Voter("v3") {
		t.Fatalf("voter %s follows %q with the voters %v", lagging, s.Leader, s.Config.Voters())
	}
}

// Guards against a permanent loss of quorum when a second voter is lost right after the first was replaced.
func TestSecondVoterIsLostAfterReplacement(t *testing.T) {
	c := newCluster(nil, func(*consensus.Rules) {}, 3, 2)
	c.settle(3 * time.Second)
	lost, fresh := without(c.ids, c.leader()), []string{"v3", "v4"}
	for i := range 2 {
		c.nodes[lost[i]].partitioned = true
		c.settle(3 * time.Second)
		member := consensus.Member{ID: fresh[i], Name: fresh[i]}
		for _, kind := range []consensus.ChangeKind{consensus.AddLearner, consensus.Promote} {
			if err := c.change(c.leader(), consensus.Change{Kind: kind, Member: member}); err != nil {
				t.Fatal(err)
			}
			c.settle(time.Second)
		}
		old := consensus.Member{ID: lost[i]}
		if err := c.change(c.leader(), consensus.Change{Kind: consensus.Remove, Member: old}); err != nil {
			t.Fatal(err)
		}
		c.settle(time.Second)
	}
	before := c.nodes[c.leader()].core.Status().Commit
	c.propose(c.leader())
	c.settle(time.Second)
	if after := c.nodes[c.leader()].core.Status(); after.Commit != before+1 || len(after.Config.Voters()) != 3 {
		t.Fatalf("commit %d after %d, configuration %v", after.Commit, before, after.Config)
	}
}

// Guards against sending a snapshot to a voter that has just acknowledged newer entries: the voter then received no
// entries until the transfer had timed out.
func TestAcknowledgementEndsProbing(t *testing.T) {
	c := newCluster(nil, func(*consensus.Rules) {}, 3, 0)
	c.settle(3 * time.Second)
	leader := c.leader()
	lagging, core := without(c.ids, leader)[0], c.nodes[leader].core
	c.drop = func(m consensus.Message) bool { return m.To == lagging || m.From == lagging }
	reply := func(index uint64, reject bool, hint uint64) []consensus.Message {
		return core.Step(c.now, consensus.Message{
			Kind: consensus.AppendReply, From: lagging, To: leader, Term: core.Status().Term,
			Index: index, Reject: reject, Hint: hint,
		}).Messages
	}
	first := core.Status().Last
	for range 6 {
		c.propose(leader)
		c.settle(100 * time.Millisecond)
	}
	reply(core.Status().Last, true, first)
	c.compact(leader)
	c.propose(leader)
	for _, m := range reply(core.Status().Last, false, 0) {
		if m.Kind == consensus.InstallSnapshot {
			t.Fatal("a snapshot is sent to a voter that stores all entries")
		}
	}
}

// Guards against split votes: two voters that campaign simultaneously must not wait for another election timeout.
func TestSimultaneousCampaigns(t *testing.T) {
	c := newCluster(nil, func(*consensus.Rules) {}, 3, 0)
	c.settle(3 * time.Second)
	c.nodes[c.leader()].partitioned = true
	for range 2 {
		for _, id := range c.ids {
			c.tick(id, 2*time.Second)
		}
	}
	for len(c.network) > 0 {
		c.deliver(0, false, false)
	}
	if c.leader() == "" {
		t.Fatal("no voter was elected")
	}
}

// Guards against a voter that still claims precedence after its own campaign was refused by a voter that had contact
// with the leader until later: neither of them was elected before another timeout.
func TestRefusedCampaignYields(t *testing.T) {
	for run := range 100 { // the election timeouts depend on the time before
		c := newCluster(nil, func(*consensus.Rules) {}, 3, 0)
		c.settle(3*time.Second + time.Duration(run)*200*time.Millisecond)
		lost := c.leader()
		rest := without(c.ids, lost)
		early, late := rest[1], rest[0] // the early one has the greater identity
		c.drop = func(m consensus.Message) bool { return m.To == early && m.From == lost }
		c.settle(200 * time.Millisecond)
		c.nodes[lost].partitioned = true
		end := c.now.Add(1300 * time.Millisecond) // more than the longest election timeout
		for c.leader() == "" && c.now.Before(end) {
			c.tick(early, 10*time.Millisecond)
			c.tick(late, 0)
			for len(c.network) > 0 {
				c.deliver(0, false, false)
			}
		}
		if c.leader() == "" {
			t.Fatalf("run %d: no voter was elected", run)
		}
	}
}

// Guards against split votes over links with 30 ms one-way delay, for any time between two campaigns and any order of
// messages that arrive at the same time.
func TestElectionOverDelay(t *testing.T) {
	for run := range 1000 {
		c := newCluster(nil, func(*consensus.Rules) {}, 3, 0)
		c.settle(3*time.Second + time.Duration(run)*200*time.Millisecond)
		c.nodes[c.leader()].partitioned = true
		random := rand.New(rand.NewPCG(uint64(run), 1))
		var link [3]int // messages that each of the last 10 ms added
		for end := c.now.Add(1400 * time.Millisecond); c.leader() == "" && c.now.Before(end); {
			before := len(c.network)
			c.now = c.now.Add(10 * time.Millisecond)
			for i := link[0]; i > 0; i-- {
				c.deliver(random.IntN(i), false, false)
			}
			for _, id := range c.ids {
				c.tick(id, 0)
			}
			link = [3]int{link[1], link[2], len(c.network) - before + link[0]}
		}
		if c.leader() == "" {
			t.Fatalf("run %d: no voter was elected", run)
		}
	}
}

// A voter becomes leader before it has applied what an earlier leader has committed. Guards against a leader that is taken as up to date then: after all
// instances had restarted, one acted on the state of its last snapshot.
func TestNewLeaderIsBehindUntilItsTermIsCommitted(t *testing.T) {
	c := quicktest.New(t)
	cluster := newCluster(nil, func(*consensus.Rules) {}, 3, 0)
	cluster.settle(3 * time.Second)
	first := cluster.leader()
	c.Assert(first, quicktest.Not(quicktest.Equals), "")
	cluster.propose(first)
	cluster.settle(time.Second)
	committed := cluster.nodes[first].core.Status().Commit
	rest := without(cluster.ids, first)
	cluster.connectOnly(rest...)
	second := ""
	for range 1000 {
		for _, id := range rest {
			cluster.tick(id, 10*time.Millisecond)
		}
		for len(cluster.network) > 0 && second == "" {
			cluster.deliver(0, false, false)
			second = cluster.leader()
		}
		if second != "" {
			break
		}
	}
	c.Assert(second, quicktest.Not(quicktest.Equals), "")
	s := cluster.nodes[second].core.Status()
	c.Check(s.CommitTerm < s.Term, quicktest.IsTrue, quicktest.Commentf("%+v", s))
	cluster.settle(time.Second)
	s = cluster.nodes[second].core.Status()
	c.Check(s.CommitTerm, quicktest.Equals, s.Term)
	c.Check(s.Commit > committed, quicktest.IsTrue, quicktest.Commentf("%+v, %d was committed before", s, committed))
}

func ExampleCore_Propose() {
	alone := consensus.Snapshot{Index: 1, Term: 1, Config: consensus.Config{Members: []consensus.Member{{ID: "a"}}}}
	now := time.Unix(0, 0)
	core, _ := consensus.New(now, consensus.State{Term: 1}, alone, nil, consensus.WithID("a"))
	core.Tick(now.Add(time.Second)) // the election timeout has passed
	first, out, err := core.Propose(now.Add(time.Second), []byte("x"), []byte("y"))
	fmt.Println(first, len(out.Entries), len(out.Committed), err)
	// Output: 3 2 2 <nil>
}
