// Package consensus implements the Raft state machine of a replicated log without I/O. Its inputs are the time and
// received messages; its outputs are messages to send, entries to store and committed entries. It is not safe for
// concurrent use.
package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("consensus")

// Errors of proposals and membership changes. The state is unchanged when one of them is returned.
var (
	ErrNotLeader        = errs.New("this voter is not the leader")
	ErrChangeInProgress = errs.New("another membership change is in progress")
	ErrNotCaughtUp      = errs.New("the learner does not have all committed entries yet")
	ErrInvalidChange    = errs.New("the membership change is invalid for the current members")
)

// Core holds the consensus state of one voter.
type Core struct {
	options        Options
	random         *rand.Rand
	lastTime       time.Time // latest time passed by the caller
	clock          time.Time // advances with lastTime, but never goes back
	state          State
	log            *entryLog
	commit         uint64
	applied        uint64
	role           Role
	leader         string
	hadLeader      bool      // a leader has been known since New
	deadline       time.Time // when the election timeout ends; at the leader, when the next heartbeat is due
	lastContact    time.Time // last message of the current leader
	lastCampaign   time.Time // start of the last campaign of this voter
	removedAt      uint64    // highest index of a committed configuration without this voter, as stated by another voter
	quorumDeadline time.Time // when the leader next checks for replies from a majority
	votes          map[string]bool
	peers          map[string]*progress
	out            Output
}

// progress tracks the replication state of another member at the leader.
type progress struct {
	match            uint64
	next             uint64
	active           bool      // replied since the last quorum check
	heard            bool      // replied since this voter was last suspended
	probing          bool      // the last matching entry is still unknown
	probeSent        bool      // a probe is awaiting its reply
	snapshotDeadline time.Time // a snapshot transfer counts as in progress until then
	snapshotIndex    uint64    // index of the snapshot in transfer
}

// New returns a core restored from its persistent state; state, snapshot and entries are zero for a new voter.
func New(now time.Time, state State, snapshot Snapshot, entries []Entry, opts ...Option) (c *Core, err error) {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	l, err := newLog(snapshot, entries)
	if err != nil {
		return nil, err
	}
	c = &Core{
		options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), lastTime: now, clock: now, state: state, log: l,
		commit: snapshot.Index, applied: snapshot.Index,
	}
	// Truncating a damaged tail may have removed the state record that was written together with the last entries.
	if last := l.lastTerm(); last > c.state.Term {
		c.state = State{Term: last}
	}
	c.becomeFollower("")
	return c, nil
}

// Late reports whether the core has not run for an election timeout.
func (c *Core) Late(now time.Time) bool { return now.Sub(c.lastTime) >= c.options.ElectionTimeout }

// advance moves the core's clock forwards only, so that a clock step backwards cannot postpone deadlines. A leader that
// was suspended for an election timeout steps down first, because replies from before the suspension no longer prove
// that it has a majority. After a shorter suspension it leads on, but has to hear a majority before it may act.
func (c *Core) advance(now time.Time) {
	late := c.Late(now)
	d := now.Sub(c.lastTime)
	if d > 0 {
		c.clock = c.clock.Add(d)
	}
	c.lastTime = now
	if d >= suspendedHeartbeats*c.options.Heartbeat {
		for _, p := range c.peers {
			p.heard = false
		}
	}
	if c.role == Leader && late && c.options.Rules.CheckQuorum {
		c.becomeFollower("")
	}
}

// suspendedHeartbeats is the number of heartbeat intervals without a call after which a voter counts as suspended.
const suspendedHeartbeats = 2

// Tick campaigns, sends heartbeats or checks the quorum if the deadline for it has passed. Call it several times per
// heartbeat interval.
func (c *Core) Tick(now time.Time) Output {
	c.advance(now)
	switch {
	case c.role == Leader:
		c.tickLeader()
	case !c.clock.Before(c.deadline):
		c.campaign()
	}
	return c.flush()
}

func (c *Core) tickLeader() {
	if !c.clock.Before(c.quorumDeadline) {
		c.checkQuorum()
	}
	if c.role == Leader && !c.clock.Before(c.deadline) {
		// Heartbeats are aligned to multiples of the interval, so that one call carries those of all logs of an instance.
		c.deadline = c.clock.Truncate(c.options.Heartbeat).Add(c.options.Heartbeat)
		sent := len(c.out.Messages)
		c.broadcast(true)
		for i := range c.out.Messages[sent:] {
			m := &c.out.Messages[sent+i]
			m.Periodic = m.Kind == Append
		}
	}
}

// checkQuorum makes an isolated leader step down, so that its clients look for the leader of the majority.
func (c *Core) checkQuorum() {
	hasQuorum := c.log.config().majority(func(id string) bool { return id == c.options.ID || c.peers[id].active })
	if !hasQuorum && c.options.Rules.CheckQuorum {
		c.becomeFollower("")
		return
	}
	for _, p := range c.peers {
		p.active = false
	}
	c.quorumDeadline = c.clock.Add(c.options.ElectionTimeout)
}

// Propose appends the data of several proposals as one batch and returns the index of the first entry.
func (c *Core) Propose(now time.Time, data ...[]byte) (first uint64, out Output, err error) {
	c.advance(now)
	if c.role != Leader {
		return 0, Output{}, ErrNotLeader
	}
	first = c.log.last() + 1
	for _, d := range data {
		c.append(EntryData, d)
	}
	c.broadcast(false)
	c.advanceCommit()
	return first, c.flush(), nil
}

// Compact drops entries up to index. The runtime must have stored a snapshot with the result of Position first.
func (c *Core) Compact(index uint64) {
	if index > c.log.snapshot.Index && index <= c.applied {
		c.log.compact(index)
	}
}

// SnapshotHeader returns the snapshot header for the state after the entry at index, which must have been returned as
// committed and not compacted.
func (c *Core) SnapshotHeader(index uint64) Snapshot {
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Config: c.log.configAt(index)}
}

// ActingTerm returns the term in which this voter leads, or 0 if it does not, or if no majority has replied since it was last suspended. It holds as of
// checkedAt, the time of the last call that passed one.
func (c *Core) ActingTerm() (term uint64, checkedAt time.Time) {
	if c.role != Leader || !c.log.config().majority(func(id string) bool { return id == c.options.ID || c.peers[id].heard }) {
		return 0, c.lastTime
	}
	return c.state.Term, c.lastTime
}

// Status returns the state of the core.
func (c *Core) Status() Status {
	s := Status{
		ID: c.options.ID, Role: c.role, Term: c.state.Term, Leader: c.leader, LastContact: c.lastContact, Commit: c.commit,
		Last: c.log.last(), Snapshot: c.log.snapshot.Index, Config: c.log.config(),
		Removed: c.removed(),
	}
	s.CommitTerm, _ = c.log.term(c.commit) // 0 before the first entry
	if c.role == Leader {
		s.Match = map[string]uint64{c.options.ID: c.log.last()}
		for id, p := range c.peers {
			s.Match[id] = p.match
		}
	}
	return s
}

func (c *Core) append(kind EntryKind, data []byte) {
	e := Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: kind, Data: data}
	c.store(e)
}

func (c *Core) store(e Entry) {
	// add cannot fail to decode: the configuration is either the leader's own or was validated by the caller.
	if err := c.log.add(e); err == nil {
		c.out.Entries = append(c.out.Entries, e)
	}
}

func (c *Core) setState(term uint64, vote string) {
	c.state = State{Term: term, Vote: vote}
	stored := c.state
	c.out.State = &stored
}

func (c *Core) send(m Message) {
	m.From = c.options.ID
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// becomeFollower ends any candidacy or leadership and sets a new random election deadline.
func (c *Core) becomeFollower(leader string) {
	c.role, c.leader = Follower, leader
	c.hadLeader = c.hadLeader || leader != ""
	c.votes, c.peers = nil, nil
	c.resetDeadline()
}

func (c *Core) resetDeadline() {
	if c.options.QuickStart && !c.hadLeader {
		spread := time.Duration(c.random.Int64N(int64(quickStartJitter * c.options.Heartbeat)))
		c.deadline = c.clock.Add(quickStartDelay*c.options.Heartbeat + spread)
		return
	}
	spread := time.Duration(c.random.Int64N(int64(c.options.ElectionTimeout / 2)))
	c.deadline = c.clock.Add(c.options.ElectionTimeout + spread)
}

// quickStartDelay and quickStartJitter are in heartbeat intervals. A live leader makes contact within one, and the
// jitter makes it rare that two voters campaign within the round trip of a vote.
const (
	quickStartDelay  = 2
	quickStartJitter = 3
)

func (c *Core) flush() Output {
	if c.commit > c.applied {
		// Entries covered by a received snapshot are not applied one by one.
		c.applied = max(c.applied, c.log.snapshot.Index)
		c.out.Committed = c.log.slice(c.applied+1, int(c.commit-c.applied), int(^uint(0)>>1))
		c.applied = c.commit
	}
	out := c.out
	c.out = Output{}
	return out
}
