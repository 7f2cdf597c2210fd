package consensus

import "time"

// campaign starts with a pre-vote, so that a voter returning from a partition cannot depose a working leader with a
// higher term.
func (c *Core) campaign() {
	c.resetDeadline()
	c.leader, c.lastCampaign = "", c.clock
	if c.removed() {
		c.role = Follower
		return
	}
	// A voter removed by an uncommitted entry may hold the only log that can win the election.
	if !c.log.config().Voter(c.options.ID) && !c.log.configAt(c.commit).Voter(c.options.ID) {
		return
	}
	if c.options.Rules.PreVote {
		c.role = PreCandidate
		c.requestVotes(PreVote, c.state.Term+1)
		return
	}
	c.becomeCandidate()
}

// removed reports whether another voter has stated that a committed configuration, at least as late as the last one in this log, does
// not contain this voter. A voter that was added again has a later configuration in its log before it gets its vote back, because a
// learner is promoted only once it stores all committed entries.
func (c *Core) removed() bool { return c.removedAt > 0 && c.log.configIndex() <= c.removedAt }

func (c *Core) becomeCandidate() {
	c.role = Candidate
	c.setState(c.state.Term+1, c.options.ID)
	c.requestVotes(Vote, c.state.Term)
}

func (c *Core) requestVotes(kind Kind, term uint64) {
	c.votes = map[string]bool{c.options.ID: true}
	for _, id := range c.log.config().Voters() {
		if id != c.options.ID {
			c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm()})
		}
	}
	c.countVotes()
}

func (c *Core) countVotes() {
	if !c.log.config().majority(func(id string) bool { return c.votes[id] }) {
		return
	}
	if c.role == PreCandidate {
		c.becomeCandidate()
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.hadLeader = Leader, c.options.ID, true
	c.votes = nil
	c.peers = map[string]*progress{}
	c.deadline = c.clock.Add(c.options.Heartbeat)
	c.quorumDeadline = c.clock.Add(c.options.ElectionTimeout)
	c.syncPeers()
	// Entries of earlier terms are committed only together with an entry of the current term.
	c.append(EntryEmpty, nil)
	c.broadcast(false)
	c.advanceCommit()
}

// syncPeers adds and removes progress trackers to match the other members of the current configuration.
func (c *Core) syncPeers() {
	config := c.log.config()
	for _, m := range config.Members {
		if _, known := c.peers[m.ID]; !known && m.ID != c.options.ID {
			c.peers[m.ID] = &progress{next: c.log.last() + 1, active: true, heard: true, probing: true}
		}
	}
	for id := range c.peers {
		if _, member := config.member(id); !member {
			delete(c.peers, id)
		}
	}
}

func (c *Core) upToDate(m Message) bool {
	if !c.options.Rules.UpToDateVote {
		return true
	}
	last := c.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= c.log.last())
}

// hasActiveLeader reports whether a vote would disturb a working leader.
func (c *Core) hasActiveLeader() bool {
	if !c.options.Rules.LeaderStickiness {
		return false
	}
	return c.role == Leader || (c.leader != "" && c.clock.Before(c.lastContact.Add(c.options.ElectionTimeout)))
}

func (c *Core) stepPreVote(m Message) {
	granted := m.Term > c.state.Term && c.upToDate(m) && !c.hasActiveLeader() && !c.precedes(m)
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.state.Term
		if _, member := c.log.configAt(c.commit).member(m.From); !member && c.options.Rules.RemovalNotice {
			reply.Removed, reply.Commit = true, c.commit
		}
	} else {
		c.postponeCampaign()
	}
	c.send(reply)
}

// postponeCampaign gives the candidate that received this voter's pre-vote time to complete its election. A concurrent
// campaign of this voter would split the votes.
func (c *Core) postponeCampaign() {
	if c.role == PreCandidate {
		c.role = Follower
	}
	if later := c.clock.Add(c.options.ElectionTimeout / 4); c.deadline.Before(later) {
		c.deadline = later
	}
}

// precedes reports whether this voter's campaign takes precedence over that of a voter with an equal log, so that only
// one of two concurrent campaigns continues; otherwise they would split the votes and wait for another election timeout.
// The precedence expires after half an election timeout, because this voter's own requests may be lost.
func (c *Core) precedes(m Message) bool {
	return c.role == PreCandidate && c.clock.Before(c.lastCampaign.Add(c.options.ElectionTimeout/2)) &&
		m.LogTerm == c.log.lastTerm() && m.Index == c.log.last() && c.options.ID > m.From
}

func (c *Core) stepPreVoteReply(m Message) {
	if m.Reject {
		// The sender still has contact with a leader. Another voter's campaign may succeed before this voter's next one.
		c.lastCampaign = time.Time{}
	}
	if m.Removed {
		c.removedAt = max(c.removedAt, m.Commit)
	}
	if c.role == PreCandidate && c.removed() {
		c.role = Follower
	}
	if c.role != PreCandidate || m.Reject || m.Term != c.state.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) stepVote(m Message) {
	mayVote := c.state.Vote == "" || c.state.Vote == m.From || !c.options.Rules.VoteOnce
	granted := m.Term == c.state.Term && mayVote && c.upToDate(m)
	if granted {
		c.setState(c.state.Term, m.From)
		c.resetDeadline()
	}
	c.send(Message{Kind: VoteReply, To: m.From, Reject: !granted})
}

func (c *Core) stepVoteReply(m Message) {
	if c.role != Candidate || m.Reject || m.Term != c.state.Term {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}
