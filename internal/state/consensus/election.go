package consensus

import "time"

// campaign starts with a pre-vote, so that a voter that was cut off cannot depose a working leader by its higher term.
func (c *Core) campaign() {
	c.resetDeadline()
	c.leader, c.campaignAt = "", c.clock
	// A voter removed by an entry that is not committed may hold the only log that can win.
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
	c.lead()
}

func (c *Core) lead() {
	c.role, c.leader, c.started = Leader, c.options.ID, true
	c.votes = nil
	c.peers = map[string]*progress{}
	c.deadline = c.clock.Add(c.options.Heartbeat)
	c.quorumAt = c.clock.Add(c.options.Election)
	c.syncPeers()
	// Entries of earlier terms become committed only together with an entry of this term.
	c.append(EntryEmpty, nil)
	c.broadcast(false)
	c.advanceCommit()
}

// syncPeers keeps one progress for each other member of the current configuration.
func (c *Core) syncPeers() {
	config := c.log.config()
	for _, m := range config.Members {
		if _, known := c.peers[m.ID]; !known && m.ID != c.options.ID {
			c.peers[m.ID] = &progress{next: c.log.last() + 1, heard: true, probe: true}
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

// hearsLeader is true while a vote would disturb a working leader.
func (c *Core) hearsLeader() bool {
	if !c.options.Rules.LeaderStickiness {
		return false
	}
	return c.role == Leader || (c.leader != "" && c.clock.Before(c.heardAt.Add(c.options.Election)))
}

func (c *Core) stepPreVote(m Message) {
	granted := m.Term > c.state.Term && c.upToDate(m) && !c.hearsLeader() && !c.precedes(m)
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = c.state.Term
	} else {
		c.yield()
	}
	c.send(reply)
}

// yield gives the candidate that has this voter's pre-vote the time of its election. A campaign of this voter that got
// its pre-votes at the same moment would split the votes.
func (c *Core) yield() {
	if c.role == PreCandidate {
		c.role = Follower
	}
	if later := c.clock.Add(c.options.Election / 4); c.deadline.Before(later) {
		c.deadline = later
	}
}

// precedes lets only one of two voters with equal logs that campaign at the same moment become a candidate; both would
// split the votes and wait for another election timeout. It ends after a while, because this voter's own requests may
// reach nobody.
func (c *Core) precedes(m Message) bool {
	return c.role == PreCandidate && c.clock.Before(c.campaignAt.Add(c.options.Election/2)) &&
		m.LogTerm == c.log.lastTerm() && m.Index == c.log.last() && c.options.ID > m.From
}

func (c *Core) stepPreVoteReply(m Message) {
	if m.Reject {
		// A voter that still hears a leader refused; another campaign may succeed before the next one here.
		c.campaignAt = time.Time{}
	}
	if c.role != PreCandidate || m.Reject || m.Term != c.state.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) stepVote(m Message) {
	free := c.state.Vote == "" || c.state.Vote == m.From || !c.options.Rules.VoteOnce
	granted := m.Term == c.state.Term && free && c.upToDate(m)
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
