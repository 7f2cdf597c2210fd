package assign

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxOutstanding limits the renewals that await an answer; the answer to an older one is ignored.
const maxOutstanding = 8

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events. After Drain and Lost, the owner calls Stopped once no command is in flight.
const (
	Acquired EventKind = "Acquired" // the owner may act until the deadline
	Renewed  EventKind = "Renewed"  // the deadline was extended
	Drain    EventKind = "Drain"    // finish the current work, then call Stopped
	Lost     EventKind = "Lost"     // stop immediately
)

// Event is a change to an endpoint that an owner holds.
type Event struct {
	Kind     EventKind
	Endpoint string
	Fence    uint64
	Deadline time.Time
}

// Holder is the owner's side of the protocol: it tracks the endpoints that the owner holds and their
// deadlines. It is not safe for concurrent use.
type Holder struct {
	options       Options
	incarnation   uint64
	sequence      uint64
	answered      uint64
	leaving       bool
	leaveAnswered bool
	needFull      bool
	held          map[string]*holding
	lostFences    map[string]lostFence
	stopped       []Held
	pending       map[uint64]pendingRenewal
}

type holding struct {
	fence    uint64
	deadline time.Time
	draining bool
}

// lostFence is the last fencing number under which an endpoint was held. Grants with this
// number or a lower one are ignored until the given time.
type lostFence struct {
	fence uint64
	until time.Time
}

// pendingRenewal is a renewal that awaits an answer.
type pendingRenewal struct {
	at       time.Time
	held     []Held
	released int
	leaving  bool
}

// NewHolder returns the holder of one incarnation of an instance.
func NewHolder(incarnation uint64, opts ...Option) *Holder {
	return &Holder{
		options:     newOptions(opts),
		incarnation: incarnation,
		needFull:    true,
		held:        map[string]*holding{},
		lostFences:  map[string]lostFence{},
		pending:     map[uint64]pendingRenewal{},
	}
}

// Renewal returns the next renewal to send at now.
func (h *Holder) Renewal(now time.Time) Renewal {
	h.sequence++
	delete(h.pending, h.sequence-maxOutstanding)
	held := h.listHeld()
	r := Renewal{
		Incarnation: h.incarnation,
		Sequence:    h.sequence,
		Full:        h.needFull,
		Digest:      Digest(held),
		Released:    slices.Clone(h.stopped),
		Leaving:     h.leaving,
	}
	if r.Full {
		r.Held = held
	}
	h.pending[h.sequence] = pendingRenewal{at: now, held: held, released: len(h.stopped), leaving: h.leaving}
	return r
}

// SetFull makes the next renewal list all held endpoints, which a new coordinator requires.
func (h *Holder) SetFull() {
	h.needFull = true
}

// NeedsFull reports whether the next renewal lists all held endpoints.
func (h *Holder) NeedsFull() bool {
	return h.needFull
}

// Leave makes the next renewal ask the table to release all endpoints.
func (h *Holder) Leave() {
	h.leaving = true
}

// Leaving reports whether Leave was called.
func (h *Holder) Leaving() bool {
	return h.leaving
}

// LeaveAnswered reports whether a table has answered a renewal that asked to release all endpoints. The
// table assigns no further endpoints to the instance after that.
func (h *Holder) LeaveAnswered() bool {
	return h.leaveAnswered
}

// Holding is an endpoint held by the owner, which may act until Deadline.
type Holding struct {
	Held
	Deadline time.Time
}

// List returns the endpoints on which the owner may act at now, sorted by name.
func (h *Holder) List(now time.Time) []Holding {
	var all []Holding
	for _, e := range h.listHeld() {
		if _, ok := h.MayAct(now, e.Endpoint); ok {
			all = append(all, Holding{e, h.held[e.Endpoint].deadline})
		}
	}
	return all
}

// Reply handles the answer to the renewal with the given sequence. An answer to a renewal older than the
// last answered one is ignored.
func (h *Holder) Reply(now time.Time, sequence uint64, r Reply) []Event {
	renewal, known := h.pending[sequence]
	if !known || sequence <= h.answered {
		return nil
	}
	h.removeReported(sequence, renewal)
	h.needFull = r.NeedFull
	if r.NeedFull {
		return nil
	}
	deadline := renewal.at.Add(h.options.holdTime())
	if !now.Before(deadline) {
		return nil
	}
	events := h.Expire(now)
	if r.Same {
		return append(events, h.renewAll(renewal.held, deadline)...)
	}
	for _, g := range r.Grants {
		events = append(events, h.applyGrant(now, g, deadline)...)
	}
	return append(events, h.loseUngranted(now, renewal.held, r.Grants)...)
}

// removeReported removes the released endpoints that the answered renewal has reported, and the earlier
// renewals that still await an answer.
func (h *Holder) removeReported(sequence uint64, answered pendingRenewal) {
	h.answered = sequence
	h.leaveAnswered = h.leaveAnswered || answered.leaving
	h.stopped = slices.Delete(h.stopped, 0, answered.released)
	for number, other := range h.pending {
		if number <= sequence {
			delete(h.pending, number)
			continue
		}
		other.released -= answered.released
		h.pending[number] = other
	}
}

func (h *Holder) renewAll(held []Held, deadline time.Time) []Event {
	var events []Event
	for _, e := range held {
		if p, ok := h.held[e.Endpoint]; ok && p.fence == e.Fence {
			events = append(events, p.renew(e.Endpoint, deadline)...)
		}
	}
	return events
}

func (p *holding) renew(name string, deadline time.Time) []Event {
	if !deadline.After(p.deadline) {
		return nil
	}
	p.deadline = deadline
	return []Event{{Kind: Renewed, Endpoint: name, Fence: p.fence, Deadline: deadline}}
}

func (h *Holder) applyGrant(now time.Time, g Grant, deadline time.Time) []Event {
	p, holds := h.held[g.Endpoint]
	if !holds {
		return h.acquire(g, deadline)
	}
	if p.fence != g.Fence {
		return []Event{h.lose(now, g.Endpoint)}
	}
	events := p.renew(g.Endpoint, deadline)
	if g.Release && !p.draining {
		p.draining = true
		events = append(events, Event{Kind: Drain, Endpoint: g.Endpoint, Fence: g.Fence, Deadline: deadline})
	}
	return events
}

// acquire starts to hold an endpoint, unless it was held under this fencing number before, because
// another instance may have held it since.
func (h *Holder) acquire(g Grant, deadline time.Time) []Event {
	if g.Fence <= h.lostFences[g.Endpoint].fence {
		return nil
	}
	if g.Release {
		// No command was sent yet, so there is nothing to drain.
		h.stopped = append(h.stopped, Held{g.Endpoint, g.Fence})
		h.lostFences[g.Endpoint] = lostFence{g.Fence, deadline.Add(h.options.waitTime())}
		return nil
	}
	h.held[g.Endpoint] = &holding{fence: g.Fence, deadline: deadline}
	return []Event{{Kind: Acquired, Endpoint: g.Endpoint, Fence: g.Fence, Deadline: deadline}}
}

// loseUngranted stops holding the endpoints that the renewal listed and the answer does not grant.
func (h *Holder) loseUngranted(now time.Time, listed []Held, grants []Grant) []Event {
	granted := map[string]uint64{}
	for _, g := range grants {
		granted[g.Endpoint] = g.Fence
	}
	var events []Event
	for _, e := range listed {
		p, holds := h.held[e.Endpoint]
		if holds && p.fence == e.Fence && granted[e.Endpoint] != e.Fence {
			events = append(events, h.lose(now, e.Endpoint))
		}
	}
	return events
}

func (h *Holder) lose(now time.Time, name string) Event {
	p := h.held[name]
	delete(h.held, name)
	// The table stops offering this fencing number within this time; see entry.offered.
	h.lostFences[name] = lostFence{p.fence, now.Add(4 * h.options.waitTime())}
	return Event{Kind: Lost, Endpoint: name, Fence: p.fence, Deadline: p.deadline}
}

// Expire stops holding the endpoints that have reached their deadlines.
func (h *Holder) Expire(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		if !now.Before(h.held[name].deadline) && h.options.StopEarly() {
			events = append(events, h.lose(now, name))
		}
	}
	for name, l := range h.lostFences {
		if now.After(l.until) {
			delete(h.lostFences, name)
		}
	}
	return events
}

// Stopped reports to the table that no command to an endpoint is in flight under a fencing number, so
// that the table can assign the endpoint without waiting for the deadline.
func (h *Holder) Stopped(now time.Time, endpoint string, fence uint64) {
	if p, ok := h.held[endpoint]; ok && p.fence == fence {
		h.lose(now, endpoint)
	}
	h.stopped = append(h.stopped, Held{endpoint, fence})
}

// MayAct returns the fencing number under which the owner may act on an endpoint at now, and false if it
// may not.
func (h *Holder) MayAct(now time.Time, endpoint string) (fence uint64, ok bool) {
	p, holds := h.held[endpoint]
	if !holds || (!now.Before(p.deadline) && h.options.StopEarly()) {
		return 0, false
	}
	return p.fence, true
}

// NextDeadline returns the earliest deadline of a held endpoint, and false if there is none.
func (h *Holder) NextDeadline() (at time.Time, ok bool) {
	for _, p := range h.held {
		if !ok || p.deadline.Before(at) {
			at, ok = p.deadline, true
		}
	}
	return at, ok
}

// Len returns the number of held endpoints and the number of those whose release no answer has
// acknowledged yet.
func (h *Holder) Len() (held, stopped int) {
	return len(h.held), len(h.stopped)
}

func (h *Holder) listHeld() []Held {
	held := make([]Held, 0, len(h.held))
	for name, p := range h.held {
		held = append(held, Held{name, p.fence})
	}
	slices.SortFunc(held, func(a, b Held) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return held
}
