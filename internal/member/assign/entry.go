package assign

import (
	"context"
	"time"

	"github.com/looplab/fsm"
)

// State is the state of an endpoint in the table.
type State string

// States of an endpoint. An endpoint is Unknown to a new coordinator until an owner reports it or every
// lease that the previous coordinator granted has ended. A Lapsed endpoint waits until the commands of
// an owner that did not renew have ended.
const (
	Unknown   State = "Unknown"
	Free      State = "Free"
	Assigned  State = "Assigned"
	Releasing State = "Releasing"
	Lapsed    State = "Lapsed"
)

// Events of an endpoint in the table.
const (
	eventReport  = "Report"
	eventAssign  = "Assign"
	eventDrain   = "Drain"
	eventRelease = "Release"
	eventLapse   = "Lapse"
	eventElapse  = "Elapse"
)

// entry is one endpoint. Its owner may act until deadline; a new one may start at notBefore.
type entry struct {
	Endpoint
	state       State
	announced   bool // the endpoint announced itself, as opposed to being reported by an owner only
	inherited   bool // this table has not assigned the endpoint yet
	owner       string
	incarnation uint64
	fence       uint64
	deadline    time.Time
	notBefore   time.Time
	offerUntil  time.Time // until when an assignment that the owner has not confirmed is offered to it
	confirmed   bool      // the owner has listed the endpoint as held
	dropped     bool      // the owner no longer holds the endpoint, which is neither offered nor renewed
}

// newStateMachine returns the transition table that all entries of a table share.
func newStateMachine() *fsm.FSM {
	owned := []string{string(Assigned), string(Releasing)}
	return fsm.NewFSM(string(Unknown), fsm.Events{
		{Name: eventReport, Src: []string{string(Unknown), string(Assigned)}, Dst: string(Assigned)},
		{Name: eventAssign, Src: []string{string(Free)}, Dst: string(Assigned)},
		{Name: eventDrain, Src: []string{string(Assigned)}, Dst: string(Releasing)},
		{Name: eventRelease, Src: owned, Dst: string(Free)},
		{Name: eventLapse, Src: owned, Dst: string(Lapsed)},
		{Name: eventElapse, Src: []string{string(Unknown), string(Lapsed)}, Dst: string(Free)},
	}, nil)
}

// step applies an event to an entry and reports whether its state allows the event.
func (t *Table) step(e *entry, event string) bool {
	t.machine.SetState(string(e.state))
	if !t.machine.Can(event) {
		return false
	}
	_ = t.machine.Event(context.Background(), event) // a transition to the same state is reported as an error
	t.changed = true
	e.state = State(t.machine.Current())
	return true
}

// owned reports whether the entry belongs to an owner that may act.
func (e *entry) owned() bool {
	return e.state == Assigned || e.state == Releasing
}

// offered reports whether a renewal at now grants the entry to its owner.
func (e *entry) offered(now time.Time) bool {
	return e.owned() && !e.dropped && (e.confirmed || now.Before(e.offerUntil))
}

// extend sets the deadline to the end of a lease that is renewed at now, unless it is later already.
func (t *Table) extend(now time.Time, e *entry) {
	if deadline := now.Add(t.options.waitTime()); deadline.After(e.deadline) {
		e.deadline = deadline
	}
}

// setOwner sets the owner of an entry and updates the index of owners.
func (t *Table) setOwner(e *entry, owner string, incarnation uint64) {
	if e.owner != "" {
		delete(t.byOwner[e.owner], e.Name)
	}
	e.owner, e.incarnation = owner, incarnation
	if owner == "" {
		return
	}
	if t.byOwner[owner] == nil {
		t.byOwner[owner] = map[string]*entry{}
	}
	t.byOwner[owner][e.Name] = e
}

// free ends the ownership of an entry and removes an entry that is no longer announced.
func (t *Table) free(e *entry) {
	t.setOwner(e, "", 0)
	e.confirmed, e.dropped = false, false
	e.deadline = time.Time{}
	if !e.announced {
		delete(t.entries, e.Name)
		t.sorted = nil
	}
}
