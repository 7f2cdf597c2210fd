package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"lycheevale/internal/member/council"
	"lycheevale/internal/member/report"
	"lycheevale/internal/state/consensus"
)

// gossip is exchanged by control instances.
type gossip struct {
	Known []string `json:"Known"`
	// Leader is the leader that the sender's own voter follows, "" if it knows none. Instances outside the log, and voters that hear of no
	// leader, learn of it here.
	Leader    string `json:"Leader,omitempty"`
	Term      uint64 `json:"Term,omitempty"`
	AgeMillis int64  `json:"AgeMillis,omitempty"` // time since the leader's last message
}

const (
	gossipInterval = 500 * time.Millisecond
	// leaderTimeout is three heartbeats.
	leaderTimeout = 3 * heartbeatInterval
	// missedContact is the time by which others must have heard the leader later than the own voter: one of the leader's gossips may follow
	// its last heartbeat.
	missedContact = 2 * heartbeatInterval
	// reportTimeout is the age that a report can reach before the next one of the same instance.
	reportTimeout = gossipInterval + heartbeatInterval + 100*time.Millisecond
)

// runGossip exchanges gossip periodically, and at once when the own voter follows another leader. The first exchange is immediate, since
// the first election needs the links.
func (c *Control) runGossip(ctx context.Context) error {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		c.exchangeGossip(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.gossipNow:
		}
	}
}

// ownGossip returns what this instance tells others.
func (c *Control) ownGossip() gossip {
	g := gossip{Known: c.gossipPeers()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if own := c.gossipContact(); own.Leader != "" {
		g.Leader, g.Term, g.AgeMillis = own.Leader, own.Term, c.options.Now().Sub(own.HeardAt).Milliseconds()
	}
	return g
}

// exchangeGossip tells the other control instances that this one is alive, and learns of further ones.
func (c *Control) exchangeGossip(ctx context.Context) {
	for _, name := range c.gossipPeers() {
		c.group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, gossipInterval)
			defer cancel()
			var answer gossip
			if err := c.peers.Call(ctx, name, report.GossipMethod, c.ownGossip(), &answer); err == nil {
				c.recordGossip(name, answer)
			}
			return nil // a broken link is logged by package peer
		})
	}
}

// gossipExpiry is the time without a message after which an instance gets no more gossip, unless it is a seed or a voter.
const gossipExpiry = 30 * time.Second

func (c *Control) gossipPeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]bool{}
	for _, name := range seedNames(c.seeds) {
		all[name] = true
	}
	now := c.options.Now()
	for name, at := range c.lastContact {
		if now.Sub(at) < gossipExpiry {
			all[name] = true
		} else {
			delete(c.lastContact, name)
		}
	}
	if c.voter != nil {
		for _, m := range c.voter.Status().Config.Members {
			all[m.Name] = true
		}
	}
	delete(all, c.name)
	return slices.Sorted(maps.Keys(all))
}

// recordGossip records a message of another instance. Instances that it names get gossip, and count as alive once they answer.
func (c *Control) recordGossip(name string, g gossip) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact[name] = c.options.Now()
	for _, other := range g.Known {
		if _, known := c.lastContact[other]; !known && other != c.name {
			c.lastContact[other] = c.options.Now().Add(-lostAfter)
		}
	}
	now := c.options.Now()
	age := max(time.Duration(g.AgeMillis)*time.Millisecond, 0)
	c.reported = c.reported.Merge(now, reportTimeout, council.Contact{Leader: g.Leader, Term: g.Term, HeardAt: now.Add(-age)})
	c.updateLeader()
}

// ownContact returns the leader that the own voter follows, unless it has sent nothing for a few heartbeats, so that calls to it would
// time out. The caller holds c.mu.
func (c *Control) ownContact() council.Contact {
	if c.voter == nil {
		return council.Contact{}
	}
	s, now := c.voter.Status(), c.options.Now()
	own := council.Contact{Leader: s.Leader, Term: s.Term, HeardAt: s.LastContact}
	if s.Role == consensus.Leader {
		own.HeardAt = now
	}
	if !own.Current(now, leaderTimeout) {
		return council.Contact{}
	}
	return own
}

// gossipContact returns the contact that is told to others: a leader that was suspended may have been replaced. The caller holds c.mu.
func (c *Control) gossipContact() council.Contact {
	own := c.ownContact()
	if own.Leader == c.name && c.actingTerm() == 0 {
		return council.Contact{}
	}
	return own
}

// contact returns the leader that calls go to: the one that the own voter hears, or else the one that others report, if they have
// heard it since. The caller holds c.mu.
func (c *Control) contact() council.Contact {
	if own := c.ownContact(); own.Leader != "" {
		return own
	}
	if c.reported.Leader == c.name || !c.reported.Current(c.options.Now(), reportTimeout) {
		return council.Contact{}
	}
	if c.voter != nil && c.reported.HeardAt.Sub(c.voter.Status().LastContact) <= missedContact {
		return council.Contact{}
	}
	return c.reported
}

// knownLeader returns the leader that calls go to, "" if none is known.
func (c *Control) knownLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact().Leader
}

// updateLeader follows changes of the leader. The caller holds c.mu.
func (c *Control) updateLeader() {
	if leader := c.contact().Leader; leader != c.leader {
		c.leader = leader
		c.notifyLeaderChange()
	}
}
