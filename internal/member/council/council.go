// Package council decides which instances with a disk are voters of the log, so that a failed voter is replaced without an
// operator.
package council

import (
	"slices"
	"time"
)

// Instance is the leader's record of an instance with a disk.
type Instance struct {
	Name        string
	Voter       bool
	LastContact time.Time // of the last message from the instance; the current time for the leader itself
}

// Options are the parameters of SelectVoters.
type Options struct {
	Voters       int           // voters
	ReplaceAfter time.Duration // silence after which a voter is replaced if another instance can take its place
}

// VotersFor returns the number of voters that tolerates the loss of the given number of instances.
func VotersFor(losses int) int { return 2*losses + 1 }

// SelectVoters returns the names of the instances that should vote. A voter stays unless it is silent and a live instance can
// replace it. A silent voter without a replacement stays, since removing it would not make the rest safer.
func SelectVoters(now time.Time, instances []Instance, o Options) []string {
	var voters, silent, standby []string
	for _, i := range instances {
		live := now.Sub(i.LastContact) < o.ReplaceAfter
		switch {
		case i.Voter && live:
			voters = append(voters, i.Name)
		case i.Voter:
			silent = append(silent, i.Name)
		case live:
			standby = append(standby, i.Name)
		}
	}
	slices.Sort(voters)
	slices.Sort(standby)
	slices.Sort(silent)
	for len(voters) < o.Voters && len(standby) > 0 {
		voters, standby = append(voters, standby[0]), standby[1:]
	}
	for len(voters) < o.Voters && len(silent) > 0 {
		voters, silent = append(voters, silent[0]), silent[1:]
	}
	slices.Sort(voters)
	return voters
}

// Contact is what an instance knows of the leader.
type Contact struct {
	Leader  string
	Term    uint64
	HeardAt time.Time // when the instance that reports it received the leader's last message
}

// Current reports whether the leader was heard within maxAge.
func (c Contact) Current(now time.Time, maxAge time.Duration) bool {
	return c.Leader != "" && now.Sub(c.HeardAt) <= maxAge
}

// Merge returns the newer of this contact and one that another instance reports. A contact that is no longer current is replaced by
// any other one, because a leader of a later term may have lost its majority.
func (c Contact) Merge(now time.Time, maxAge time.Duration, reported Contact) Contact {
	newer := reported.Term > c.Term || (reported.Term == c.Term && reported.HeardAt.After(c.HeardAt))
	if reported.Current(now, maxAge) && (newer || !c.Current(now, maxAge)) {
		return reported
	}
	return c
}

// Leadership is the state of an instance's own voter.
type Leadership struct {
	Leads     bool
	Term      uint64
	CheckedAt time.Time // when the voter last ran
	Resumed   bool      // it was suspended, and has not heard a majority since
}

// MayAct reports whether a leader may give orders: its voter has run within maxAge, so that it would have received messages
// of another leader, and has heard a majority since it was last suspended.
func (l Leadership) MayAct(now time.Time, maxAge time.Duration) bool {
	return l.Leads && now.Sub(l.CheckedAt) <= maxAge && !l.Resumed
}

// KeepsState reports whether an instance keeps the state that it has collected as the leader of a term. It keeps the state
// while its voter is only late.
func (l Leadership) KeepsState(term uint64) bool { return l.Leads && l.Term == term }
