// Package retention derives time and retention of replicated state from the times that commands carry, so that every
// replica forgets the same at the same command.
package retention

import "time"

// MaxStep bounds how far one command moves the clock: a proposer whose clock was stepped cannot make the replicas
// forget results at once, and a wrong first time is corrected by the commands that follow.
const MaxStep = 10 * time.Minute

// Clock is the time of a state machine.
type Clock struct {
	Now time.Time `json:"Now"`
}

// Advance moves the clock towards the time of a command by at most MaxStep; a zero time moves nothing.
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
