package lease

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// State is the state of a proposer.
type State string

// States of a proposer.
const (
	Idle      State = "Idle"
	Preparing State = "Preparing"
	Accepting State = "Accepting"
	Holding   State = "Holding"
)

// Events of a proposer.
const (
	eventPrepare = "Prepare"
	eventAccept  = "Accept"
	eventHold    = "Hold"
	eventFail    = "Fail"
)

// Output holds the message to send to all keepers, including the proposer's own acceptor. At most one field
// is set.
type Output struct {
	Prepare *Prepare
	Accept  *Accept
}

// Proposer tries to obtain and renew the lease. It is not safe for concurrent use.
type Proposer struct {
	options     Options
	machine     *fsm.FSM
	ballot      Ballot
	majority    int
	silentUntil time.Time
	retryAt     time.Time // of the next attempt in state Idle
	attemptEnd  time.Time // end of the current attempt
	renewAt     time.Time
	deadline    time.Time // until which the holder may act
	term        uint64
	sentAt      time.Time // of the message with the current sequence
	sequence    uint64
	votes       map[string]bool
	floor       uint64 // highest fencing number known to be reserved by others or used
	requested   uint64 // highest fencing number to reserve with the current message
	reserved    uint64 // highest fencing number that a majority has recorded as reserved
}

// NewProposer returns a proposer among the given number of keepers. It does not propose for one lease plus
// margin from now, as the acceptor of the same keeper does not answer.
func NewProposer(now time.Time, name string, nonce uint64, keepers int, opts ...Option) *Proposer {
	p := &Proposer{
		options:  newOptions(opts),
		ballot:   Ballot{Proposer: name, Nonce: nonce},
		majority: keepers/2 + 1,
		votes:    map[string]bool{},
	}
	p.machine = fsm.NewFSM(string(Idle), fsm.Events{
		{Name: eventPrepare, Src: []string{string(Idle)}, Dst: string(Preparing)},
		{Name: eventAccept, Src: []string{string(Preparing)}, Dst: string(Accepting)},
		{Name: eventHold, Src: []string{string(Accepting)}, Dst: string(Holding)},
		{Name: eventFail, Src: []string{string(Preparing), string(Accepting), string(Holding)}, Dst: string(Idle)},
	}, nil)
	if p.options.Silence() {
		p.silentUntil = now.Add(p.options.silenceTime())
	}
	return p
}

// State returns the current state.
func (p *Proposer) State() State {
	return State(p.machine.Current())
}

// Holds reports whether the proposer may act as the holder at now.
func (p *Proposer) Holds(now time.Time) bool {
	return p.State() == Holding && (now.Before(p.deadline) || !p.options.StopEarly())
}

// Deadline returns the time at which the holder must stop unless it renews before.
func (p *Proposer) Deadline() time.Time {
	return p.deadline
}

// Term returns the round in which the lease was obtained; renewals do not change it.
func (p *Proposer) Term() uint64 {
	return p.term
}

// Observe makes later attempts use rounds above one that another instance has reported. This keeps terms
// increasing after all keepers were restarted.
func (p *Proposer) Observe(round uint64) {
	if p.State() == Idle {
		p.ballot.Round = max(p.ballot.Round, round)
	}
}

// Fences returns the range of fencing numbers reserved for this holder: above floor, up to and
// including limit.
func (p *Proposer) Fences() (floor, limit uint64) {
	return p.floor, p.reserved
}

// MarkUsed raises the floor to the highest fencing number in use, so that the next renewal reserves more.
func (p *Proposer) MarkUsed(fence uint64) {
	p.floor = max(p.floor, fence)
}

// NextWake returns when Tick has to be called next.
func (p *Proposer) NextWake() time.Time {
	switch p.State() {
	case Idle:
		return latest(p.retryAt, p.silentUntil)
	case Holding:
		return earliest(p.renewAt, p.deadline)
	default:
		return p.attemptEnd
	}
}

// Tick starts attempts and renewals. A proposer in state Idle starts no attempt while busy is true, which
// means that its own acceptor knows of another holder.
func (p *Proposer) Tick(now time.Time, busy bool) Output {
	switch p.State() {
	case Idle:
		if busy || now.Before(p.silentUntil) || now.Before(p.retryAt) {
			return Output{}
		}
		return p.prepare(now)
	case Holding:
		if !p.Holds(now) {
			p.fail(now)
			return Output{}
		}
		if !now.Before(p.renewAt) {
			return p.accept(now)
		}
	default:
		if !now.Before(p.attemptEnd) {
			p.fail(now)
		}
	}
	return Output{}
}

// Promise handles the answer of a keeper to Prepare.
func (p *Proposer) Promise(now time.Time, from string, m Promise) Output {
	if p.State() != Preparing || m.Ballot != p.ballot {
		return Output{}
	}
	if p.options.LearnFence() {
		p.floor = max(p.floor, m.Fence)
	}
	if !m.OK {
		p.fail(now)
		p.ballot.Round = max(p.ballot.Round, m.Promised)
		return Output{}
	}
	p.votes[from] = true
	if len(p.votes) < p.majority {
		return Output{}
	}
	p.applyEvent(eventAccept)
	return p.accept(now)
}

// Accepted handles the answer of a keeper to Accept.
func (p *Proposer) Accepted(now time.Time, from string, m Accepted) Output {
	state := p.State()
	if (state != Accepting && state != Holding) || m.Sequence != p.sequence || !m.Ballot.sameHolder(p.ballot) {
		return Output{}
	}
	if state == Holding && !p.Holds(now) {
		// Another keeper may have held and released the lease since the deadline.
		p.fail(now)
		return Output{}
	}
	if !m.OK {
		return p.handleRefusal(now, m)
	}
	p.votes[from] = true
	if len(p.votes) < p.majority {
		return Output{}
	}
	p.deadline = p.sentAt.Add(p.options.holdTime())
	p.reserved = max(p.reserved, p.requested)
	if state == Accepting {
		p.applyEvent(eventHold)
		p.term = p.ballot.Round
	}
	return Output{}
}

// handleRefusal raises the ballot of a holder if an acceptor has promised a higher round. A proposer that does
// not hold the lease yet ends its attempt.
func (p *Proposer) handleRefusal(now time.Time, m Accepted) Output {
	if p.State() == Accepting {
		p.fail(now)
	}
	p.ballot.Round = max(p.ballot.Round, m.Promised)
	if p.State() == Holding && m.Promised >= m.Ballot.Round {
		p.ballot.Round++
		p.renewAt = earliest(p.renewAt, now.Add(p.options.AttemptTimeout/2))
	}
	return Output{}
}

// Resign ends the lease at this proposer and returns the ballot to release at the acceptors.
func (p *Proposer) Resign(now time.Time) Ballot {
	p.fail(now)
	p.deadline = now
	return p.ballot
}

func (p *Proposer) prepare(now time.Time) Output {
	p.applyEvent(eventPrepare)
	p.ballot.Round++
	p.attemptEnd = now.Add(p.options.AttemptTimeout)
	clear(p.votes)
	return Output{Prepare: &Prepare{Ballot: p.ballot}}
}

func (p *Proposer) accept(now time.Time) Output {
	clear(p.votes)
	p.sequence++
	p.sentAt = now
	p.attemptEnd = now.Add(p.options.AttemptTimeout)
	p.renewAt = now.Add(p.options.holdTime() / renewalsPerLease)
	p.requested = max(p.floor+p.options.Reserve, p.reserved)
	return Output{Accept: &Accept{Ballot: p.ballot, Sequence: p.sequence, Fence: p.requested}}
}

func (p *Proposer) fail(now time.Time) {
	p.applyEvent(eventFail)
	clear(p.votes)
	wait := p.options.Random() * backoffShare * float64(p.options.Length)
	p.retryAt = now.Add(time.Duration(wait))
}

func (p *Proposer) applyEvent(name string) {
	_ = p.machine.Event(context.Background(), name) // Fail in state Idle is reported as an error
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
