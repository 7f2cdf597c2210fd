package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// snapshotElections is how many election timeouts a snapshot may take before it is sent again: 9.6 s, for 128 chunks one
// after the other at 140,000 adapters with a round trip of 60 ms each.
const snapshotElections = 12

// Step handles one message of another voter; messages to another identity are ignored, because a voter that
// lost its disk must not answer for the identity that was stored on it.
func (c *Core) Step(now time.Time, m Message) Output {
	c.advance(now)
	if m.To == c.options.ID {
		c.step(m)
	}
	return c.flush()
}

func (c *Core) step(m Message) {
	if m.Kind == PreVote {
		c.stepPreVote(m)
		return
	}
	if m.Kind == Vote && m.Term > c.state.Term && c.hearsLeader() {
		return
	}
	granted := m.Kind == PreVoteReply && !m.Reject
	if m.Term > c.state.Term && !granted {
		c.setState(m.Term, "")
		c.follow("")
	}
	switch m.Kind {
	case PreVoteReply:
		c.stepPreVoteReply(m)
	case Vote:
		c.stepVote(m)
	case VoteReply:
		c.stepVoteReply(m)
	case Append:
		c.stepAppend(m)
	case InstallSnapshot:
		c.stepSnapshot(m)
	case AppendReply:
		c.stepAppendReply(m)
	}
}

// hear notes a message of the leader of the current term; it is false for a leader of an older term.
func (c *Core) hear(m Message) bool {
	if m.Term < c.state.Term || c.role == Leader {
		// The reply carries the newer term and makes the old leader step down.
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.commit})
		return false
	}
	c.follow(m.From)
	c.heardAt = c.clock
	return true
}

func (c *Core) stepAppend(m Message) {
	if !c.hear(m) {
		return
	}
	matched := m.Index + uint64(len(m.Entries))
	if matched <= c.commit {
		// Committed entries are the same everywhere, so the leader can continue after them.
		c.send(Message{Kind: AppendReply, To: m.From, Index: c.commit})
		return
	}
	if m.Index < c.commit {
		skip := c.commit - m.Index
		m.Index, m.LogTerm, m.Entries = c.commit, m.Entries[skip-1].Term, m.Entries[skip:]
	}
	if term, known := c.log.term(m.Index); c.options.Rules.LogMatching && (!known || term != m.LogTerm) {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, Hint: c.hint(m.Index)})
		return
	}
	if !c.storeReceived(m.Entries) {
		return
	}
	c.commit = max(c.commit, min(m.Commit, matched, c.log.last()))
	c.send(Message{Kind: AppendReply, To: m.From, Index: matched})
}

// storeReceived stores entries of the leader; it is false for an entry that no leader can have sent.
func (c *Core) storeReceived(entries []Entry) bool {
	for _, e := range entries {
		if term, known := c.log.term(e.Index); known && term == e.Term {
			continue
		}
		if e.Index <= c.commit || !validEntry(e) {
			return false
		}
		if e.Index <= c.log.last() {
			c.log.cut(e.Index)
		}
		if e.Index > c.log.last()+1 {
			// Reached only with LogMatching switched off.
			continue
		}
		c.store(e)
	}
	return true
}

func validEntry(e Entry) bool {
	var config Config
	return e.Kind != EntryConfig || json.Unmarshal(e.Data, &config) == nil
}

// hint skips the whole conflicting term, so that a long divergent log needs few messages.
func (c *Core) hint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	conflict, known := c.log.term(index)
	for known && index > c.commit {
		index--
		if term, ok := c.log.term(index); !ok || term != conflict {
			break
		}
	}
	return max(index, c.commit)
}

func (c *Core) stepSnapshot(m Message) {
	if m.Snapshot == nil || !c.hear(m) {
		return
	}
	s := *m.Snapshot
	if s.Index <= c.commit {
		c.send(Message{Kind: AppendReply, To: m.From, Index: c.commit})
		return
	}
	term, known := c.log.term(s.Index)
	if known && term == s.Term {
		// The log already holds everything that the snapshot covers.
		c.commit = s.Index
		c.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
		return
	}
	header := s
	header.Data = nil
	c.log = &entryLog{snapshot: header}
	c.commit, c.applied = s.Index, s.Index
	c.out.Snapshot = &s
	c.send(Message{Kind: AppendReply, To: m.From, Index: s.Index})
}

func (c *Core) stepAppendReply(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil || m.Term != c.state.Term {
		return
	}
	p.heard = true
	if m.Reject {
		c.stepReject(m, p)
		return
	}
	// The position is updated before the commit index is announced, or the announcement would start from the old one.
	p.probe, p.waiting = false, false
	p.next = max(p.next, m.Index+1)
	if m.Index >= p.target {
		p.install = time.Time{}
	}
	if m.Index > p.match {
		p.match = m.Index
		c.advanceCommit()
	}
	if p.next <= c.log.last() && c.role == Leader && !c.clock.Before(p.install) {
		c.sendAppend(m.From, p)
	}
}

// stepReject goes back to the last entry that may match. A follower that lost acknowledged entries with a corrupted
// tail reports a hint below its match; lowering match is always safe.
func (c *Core) stepReject(m Message, p *progress) {
	if m.Index > p.next-1 || (p.probe && m.Index != p.next-1) {
		return
	}
	p.match = min(p.match, m.Hint)
	p.next = max(min(m.Index, m.Hint+1), 1)
	p.probe, p.waiting = true, false
	c.sendAppend(m.From, p)
}

// broadcast sends what each member lacks; a heartbeat goes also to members that lack nothing.
func (c *Core) broadcast(heartbeat bool) {
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if heartbeat {
			c.sendHeartbeat(id, c.peers[id])
			continue
		}
		c.sendAppend(id, c.peers[id])
	}
}

// sendHeartbeat names the last entry sent, so that the reply reveals a lost message.
func (c *Core) sendHeartbeat(id string, p *progress) {
	previous := p.next - 1
	term, known := c.log.term(previous)
	if known {
		c.send(Message{Kind: Append, To: id, Index: previous, LogTerm: term, Commit: c.commit})
		return
	}
	c.sendSnapshot(id, p)
}

// sendAppend sends the next entries without waiting for the reply to earlier ones, except while probing for the last
// matching entry.
func (c *Core) sendAppend(id string, p *progress) {
	if p.probe && p.waiting {
		return
	}
	previous := p.next - 1
	term, known := c.log.term(previous)
	if !known {
		c.sendSnapshot(id, p)
		return
	}
	entries := c.log.slice(p.next, c.options.MaxEntries, c.options.MaxBytes)
	if len(entries) == 0 {
		return
	}
	c.send(Message{Kind: Append, To: id, Index: previous, LogTerm: term, Entries: entries, Commit: c.commit})
	if p.probe {
		p.waiting = true
		return
	}
	p.next += uint64(len(entries))
}

// sendSnapshot replaces entries that were compacted; while it is on its way, empty messages that match any log keep
// the follower from campaigning.
func (c *Core) sendSnapshot(id string, p *progress) {
	if c.clock.Before(p.install) {
		c.send(Message{Kind: Append, To: id})
		return
	}
	p.install = c.clock.Add(snapshotElections * c.options.Election)
	header := c.log.snapshot
	p.target = header.Index
	c.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &header})
}

// SnapshotFailed tells the leader that a snapshot did not arrive, so that it is sent again at the next heartbeat.
func (c *Core) SnapshotFailed(id string) {
	if p := c.peers[id]; p != nil {
		p.install = time.Time{}
	}
}

// advanceCommit commits the highest entry that a majority stores.
func (c *Core) advanceCommit() {
	index := c.log.last()
	if c.options.Rules.MajorityCommit {
		index = c.majorityMatch()
	}
	term, known := c.log.term(index)
	if index <= c.commit || !known || (term != c.state.Term && c.options.Rules.CurrentTermCommit) {
		return
	}
	c.commit = index
	// The commit index is announced at once, because other voters feed instances from what they have applied.
	c.broadcast(true)
	if c.log.configIndex() <= c.commit && !c.log.config().Voter(c.options.ID) {
		c.follow("")
	}
}

// majorityMatch returns the highest index that more than half of the voters store.
func (c *Core) majorityMatch() uint64 {
	var matches []uint64
	for _, id := range c.log.config().Voters() {
		match := c.log.last()
		if id != c.options.ID {
			match = c.peers[id].match
		}
		matches = append(matches, match)
	}
	if len(matches) == 0 {
		return 0
	}
	slices.Sort(matches)
	return matches[(len(matches)-1)/2]
}
