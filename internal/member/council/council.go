// Package council decides which instances with a disk vote in the log, so that a lost one is replaced without an operator.
package council

import (
	"slices"
	"time"
)

// Instance is what the leader knows of an instance with a disk.
type Instance struct {
	Name        string
	Voter       bool
	LastContact time.Time // of its last sign of life; the leader's own is the present
}

// Options are the settings of Wanted.
type Options struct {
	Voters       int           // voters
	ReplaceAfter time.Duration // silence after which a voter is replaced if another instance can take its place
}

// VotersFor returns how many voters bear the loss of the given number of instances.
func VotersFor(losses int) int { return 2*losses + 1 }

// SelectVoters returns the names of the instances that should vote. Voters stay unless they are silent and a live instance can
// replace them; a silent voter without a replacement stays, since removing it would not make the rest safer.
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

// Leadership is what an instance knows of its own voter.
type Leadership struct {
	Leads     bool
	Term      uint64
	CheckedAt time.Time // when the voter last ran
}

// MayAct tells whether a leader may give orders: its voter has run a moment ago, so that it would have heard of another one.
func (l Leadership) MayAct(now time.Time, fresh time.Duration) bool {
	return l.Leads && now.Sub(l.CheckedAt) <= fresh
}

// KeepsState tells whether an instance keeps what it has learned as the leader of a term. It does while its voter is only late.
func (l Leadership) KeepsState(term uint64) bool { return l.Leads && l.Term == term }
