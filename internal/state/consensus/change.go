package consensus

import (
	"encoding/json"
	"slices"
	"time"
)

// ChangeKind is the type of a membership change.
type ChangeKind string

// Membership changes; each alters the voters by at most one, so that old and new majorities always intersect.
const (
	AddLearner ChangeKind = "AddLearner" // receives entries without a vote
	Promote    ChangeKind = "Promote"    // gives a learner its vote
	Remove     ChangeKind = "Remove"
)

// Change is one membership change.
type Change struct {
	Kind   ChangeKind `json:"Kind"`
	Member Member     `json:"Member"` // only ID matters for Promote and Remove
}

// ChangeMember appends a membership change, which takes effect immediately, before it is committed.
func (c *Core) ChangeMember(now time.Time, change Change) (index uint64, out Output, err error) {
	c.advance(now)
	if c.role != Leader {
		return 0, Output{}, ErrNotLeader
	}
	// Without a committed entry of the current term, a change by an earlier leader may still take effect, and the two
	// together could produce majorities that do not intersect.
	term, _ := c.log.term(c.commit)
	if c.options.Rules.OneChange && (c.log.configIndex() > c.commit || term != c.state.Term) {
		return 0, Output{}, ErrChangeInProgress
	}
	next, err := c.configAfter(change)
	if err != nil {
		return 0, Output{}, err
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, Output{}, Error.Wrap(err)
	}
	c.append(EntryConfig, data)
	c.syncPeers()
	c.broadcast(false)
	c.advanceCommit()
	return c.log.last(), c.flush(), nil
}

func (c *Core) configAfter(change Change) (next Config, err error) {
	old := c.log.config()
	at := slices.IndexFunc(old.Members, func(m Member) bool { return m.ID == change.Member.ID })
	next.Members = slices.Clone(old.Members)
	switch {
	case change.Member.ID == "":
		return Config{}, ErrInvalidChange
	case change.Kind == AddLearner && at < 0:
		next.Members = append(next.Members, Member{ID: change.Member.ID, Name: change.Member.Name, Learner: true})
	case change.Kind == Promote && at >= 0 && old.Members[at].Learner:
		if c.options.Rules.CaughtUp && c.peers[change.Member.ID].match < c.commit {
			return Config{}, ErrNotCaughtUp
		}
		next.Members[at].Learner = false
	case change.Kind == Remove && at >= 0 && (old.Members[at].Learner || len(old.Voters()) > 1):
		next.Members = slices.Delete(next.Members, at, at+1)
	default:
		return Config{}, ErrInvalidChange
	}
	return next, nil
}
