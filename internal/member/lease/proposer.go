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

// Output holds the message to send to all keepers, the proposer's own acceptor included; at most one
// field is set.
type Output struct {
	Prepare *Prepare
	Accept  *Accept
}

// Proposer tries to obtain and renew the lease. It is not safe for concurrent use.
type Proposer struct {
	options  Options
	machine  *fsm.FSM
	ballot   Ballot
	majority int
	silent   time.Time
	retryAt  time.Time // of the next attempt in state Idle
	giveUp   time.Time // end of the current attempt
	renewAt  time.Time
	deadline time.Time // by which the holder stops
	term     uint64
	sent     time.Time // of the message with the current sequence
	sequence uint64
	yes      map[string]bool
	floor    uint64 // highest fencing number seen reserved
	asked    uint64 // fencing numbers reserved by the message under way
	reserved uint64 // fencing numbers that a majority knows to be reserved
}

// NewProposer returns a proposer among the given number of keepers. It stays silent for one lease
// plus margin from now, as the acceptor of the same keeper does.
func NewProposer(now time.Time, name string, nonce uint64, keepers int, opts ...Option) *Proposer {
	p := &Proposer{
		options:  build(opts),
		ballot:   Ballot{Proposer: name, Nonce: nonce},
		majority: keepers/2 + 1,
		yes:      map[string]bool{},
	}
	p.machine = fsm.NewFSM(string(Idle), fsm.Events{
		{Name: eventPrepare, Src: []string{string(Idle)}, Dst: string(Preparing)},
		{Name: eventAccept, Src: []string{string(Preparing)}, Dst: string(Accepting)},
		{Name: eventHold, Src: []string{string(Accepting)}, Dst: string(Holding)},
		{Name: eventFail, Src: []string{string(Preparing), string(Accepting), string(Holding)}, Dst: string(Idle)},
	}, nil)
	if p.options.Silence() {
		p.silent = now.Add(p.options.silence())
	}
	return p
}

// State returns the current state.
func (p *Proposer) State() State {
	return State(p.machine.Current())
}

// Holds tells whether the proposer may act as the holder at now.
func (p *Proposer) Holds(now time.Time) bool {
	return p.State() == Holding && (now.Before(p.deadline) || !p.options.StopEarly())
}

// Deadline returns the time by which the holder stops unless it renews before.
func (p *Proposer) Deadline() time.Time {
	return p.deadline
}

// Term returns the round in which the lease was obtained; it stays the same while it is renewed.
func (p *Proposer) Term() uint64 {
	return p.term
}

// Observe makes later attempts use rounds above one that was seen elsewhere. It restores the order
// of terms after all keepers were restarted.
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

// MarkUsed moves the floor above the fencing numbers in use, so that the next renewal reserves more.
func (p *Proposer) MarkUsed(fence uint64) {
	p.floor = max(p.floor, fence)
}

// NextWake returns when Tick has something to do.
func (p *Proposer) NextWake() time.Time {
	switch p.State() {
	case Idle:
		return latest(p.retryAt, p.silent)
	case Holding:
		return earliest(p.renewAt, p.deadline)
	default:
		return p.giveUp
	}
}

// Tick starts attempts and renewals. While busy, a proposer in state Idle waits, because its own
// acceptor knows of another holder.
func (p *Proposer) Tick(now time.Time, busy bool) Output {
	switch p.State() {
	case Idle:
		if busy || now.Before(p.silent) || now.Before(p.retryAt) {
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
		if !now.Before(p.giveUp) {
			p.fail(now)
		}
	}
	return Output{}
}

// Promise takes the answer of a keeper to Prepare.
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
	p.yes[from] = true
	if len(p.yes) < p.majority {
		return Output{}
	}
	p.event(eventAccept)
	return p.accept(now)
}

// Accepted takes the answer of a keeper to Accept.
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
		return p.refused(now, m)
	}
	p.yes[from] = true
	if len(p.yes) < p.majority {
		return Output{}
	}
	p.deadline = p.sent.Add(p.options.hold())
	p.reserved = max(p.reserved, p.asked)
	if state == Accepting {
		p.event(eventHold)
		p.term = p.ballot.Round
	}
	return Output{}
}

// refused raises the ballot of a holder that meets a higher promise; a candidate gives up.
func (p *Proposer) refused(now time.Time, m Accepted) Output {
	if p.State() == Accepting {
		p.fail(now)
	}
	p.ballot.Round = max(p.ballot.Round, m.Promised)
	if p.State() == Holding && m.Promised >= m.Ballot.Round {
		p.ballot.Round++
		p.renewAt = earliest(p.renewAt, now.Add(p.options.Attempt/2))
	}
	return Output{}
}

// Resign gives the lease up and returns the ballot to release at the acceptors.
func (p *Proposer) Resign(now time.Time) Ballot {
	p.fail(now)
	p.deadline = now
	return p.ballot
}

func (p *Proposer) prepare(now time.Time) Output {
	p.event(eventPrepare)
	p.ballot.Round++
	p.giveUp = now.Add(p.options.Attempt)
	clear(p.yes)
	return Output{Prepare: &Prepare{Ballot: p.ballot}}
}

func (p *Proposer) accept(now time.Time) Output {
	clear(p.yes)
	p.sequence++
	p.sent = now
	p.giveUp = now.Add(p.options.Attempt)
	p.renewAt = now.Add(p.options.hold() / renewals)
	p.asked = max(p.floor+p.options.Reserve, p.reserved)
	return Output{Accept: &Accept{Ballot: p.ballot, Sequence: p.sequence, Fence: p.asked}}
}

func (p *Proposer) fail(now time.Time) {
	p.event(eventFail)
	clear(p.yes)
	wait := p.options.Random() * backoffShare * float64(p.options.Length)
	p.retryAt = now.Add(time.Duration(wait))
}

func (p *Proposer) event(name string) {
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
