package consensus

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// snapshotTimeoutElections is the number of election timeouts after which a snapshot is sent again. The resulting 9.6 s
// allow for a snapshot of 140,000 adapters: 128 sequential chunks with a round trip of 60 ms each.
const snapshotTimeoutElections = 12

// Step handles one message from another voter. It ignores messages addressed to another identity, because a voter that
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
	if m.Kind == Vote && m.Term > c.state.Term && c.hasActiveLeader() {
		return
	}
	granted := m.Kind == PreVoteReply && !m.Reject
	if m.Term > c.state.Term && !granted {
		c.setState(m.Term, "")
		c.becomeFollower("")
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

// acceptLeader records contact with the leader of the current term. It returns false for a leader of an older term.
func (c *Core) acceptLeader(m Message) bool {
	if m.Term < c.state.Term || c.role == Leader {
		// The reply carries the newer term and makes the old leader step down.
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Hint: c.commit})
		return false
	}
	c.becomeFollower(m.From)
	c.lastContact = c.clock
	return true
}

func (c *Core) stepAppend(m Message) {
	if !c.acceptLeader(m) {
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
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: m.Index, Hint: c.conflictHint(m.Index)})
		return
	}
	if !c.storeReceived(m.Entries) {
		return
	}
	c.commit = max(c.commit, min(m.Commit, matched, c.log.last()))
	c.send(Message{Kind: AppendReply, To: m.From, Index: matched})
}

// storeReceived stores entries received from the leader. It returns false for an entry that no correct leader sends.
func (c *Core) storeReceived(entries []Entry) bool {
	for _, e := range entries {
		if term, known := c.log.term(e.Index); known && term == e.Term {
			continue
		}
		if e.Index <= c.commit || !validEntry(e) {
			return false
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index)
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

// conflictHint returns an index before the whole conflicting term, so that a long divergent log needs few messages.
func (c *Core) conflictHint(index uint64) uint64 {
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
	if m.Snapshot == nil || !c.acceptLeader(m) {
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
	p.active, p.heard = true, true
	if m.Reject {
		c.stepReject(m, p)
		return
	}
	// next must be updated before the commit index is announced, because the announcement starts from it.
	p.probing, p.probeSent = false, false
	p.next = max(p.next, m.Index+1)
	if m.Index >= p.snapshotIndex {
		p.snapshotDeadline = time.Time{}
	}
	if m.Index > p.match {
		p.match = m.Index
		c.advanceCommit()
	}
	if p.next <= c.log.last() && c.role == Leader && !c.clock.Before(p.snapshotDeadline) {
		c.sendAppend(m.From, p)
	}
}

// stepReject moves back to the last entry that may match. A follower that lost acknowledged entries with a corrupted
// tail reports a hint below its match index; lowering match is always safe.
func (c *Core) stepReject(m Message, p *progress) {
	if m.Index > p.next-1 || (p.probing && m.Index != p.next-1) {
		return
	}
	p.match = min(p.match, m.Hint)
	p.next = max(min(m.Index, m.Hint+1), 1)
	p.probing, p.probeSent = true, false
	c.sendAppend(m.From, p)
}

// broadcast sends each member the entries it lacks; a heartbeat also goes to members that are up to date.
func (c *Core) broadcast(heartbeat bool) {
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		if heartbeat {
			c.sendHeartbeat(id, c.peers[id])
			continue
		}
		c.sendAppend(id, c.peers[id])
	}
}

// sendHeartbeat includes the position of the last entry sent, so that the reply reveals a lost message.
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
	if p.probing && p.probeSent {
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
	if p.probing {
		p.probeSent = true
		return
	}
	p.next += uint64(len(entries))
}

// sendSnapshot sends the snapshot in place of compacted entries. During the transfer, empty messages that match any log
// keep the follower from campaigning.
func (c *Core) sendSnapshot(id string, p *progress) {
	if c.clock.Before(p.snapshotDeadline) {
		c.send(Message{Kind: Append, To: id})
		return
	}
	p.snapshotDeadline = c.clock.Add(snapshotTimeoutElections * c.options.ElectionTimeout)
	header := c.log.snapshot
	p.snapshotIndex = header.Index
	c.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &header})
}

// SnapshotFailed reports that the snapshot sent to a member did not arrive, so that it is sent again with the next
// heartbeat.
func (c *Core) SnapshotFailed(id string) {
	if p := c.peers[id]; p != nil {
		p.snapshotDeadline = time.Time{}
	}
}

// advanceCommit raises the commit index to the highest entry that a majority stores.
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
	// The commit index is announced immediately, because other voters serve instances from their applied entries.
	c.broadcast(true)
	if c.log.configIndex() <= c.commit && !c.log.config().Voter(c.options.ID) {
		c.becomeFollower("")
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
