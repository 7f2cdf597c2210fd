// Package retention derives the clock of replicated state machines from the timestamps of commands, so that all replicas
// expire the same state at the same command.
package retention

import "time"

// MaxStep bounds how far one command moves the clock: a proposer whose clock has jumped cannot make the replicas expire
// all results at once, and a wrong first time is corrected by later commands.
const MaxStep = 10 * time.Minute

// Clock is the clock of a state machine, advanced by commands.
type Clock struct {
	Now time.Time `json:"Now"`
}

// Advance moves the clock towards the time of a command by at most MaxStep and returns the result. A zero time does not
// move it.
func (c *Clock) Advance(at time.Time) time.Time {
	switch {
	case at.IsZero():
	case c.Now.IsZero():
		c.Now = at
	case at.After(c.Now.Add(MaxStep)):
		c.Now = c.Now.Add(MaxStep)
	case at.Before(c.Now.Add(-MaxStep)):
		c.Now = c.Now.Add(-MaxStep)
	default:
		c.Now = at
	}
	return c.Now
}
