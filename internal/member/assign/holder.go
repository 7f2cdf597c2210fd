package assign

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxOutstanding bounds the renewals whose answers are awaited; an older one is given up.
const maxOutstanding = 8

// EventKind tells what happened to an endpoint of an owner.
type EventKind string

// Kinds of events. After Drain and Lost, the owner calls Stopped once no command is in flight.
const (
	Acquired EventKind = "Acquired" // the owner may act until the deadline
	Renewed  EventKind = "Renewed"  // the deadline has moved
	Drain    EventKind = "Drain"    // finish the work in hand, then call Stopped
	Lost     EventKind = "Lost"     // stop at once
)

// Event is a change to what an owner holds.
type Event struct {
	Kind     EventKind
	Endpoint string
	Fence    uint64
	Deadline time.Time
}

// Holder is the owner's side: it knows what the owner holds and until when. It is not safe for
// concurrent use.
type Holder struct {
	options     Options
	incarnation uint64
	sequence    uint64
	answered    uint64
	leaving     bool
	told        bool
	needFull    bool
	held        map[string]*holding
	lost        map[string]lostFence
	stopped     []Held
	sent        map[uint64]sent
}

type holding struct {
	fence    uint64
	deadline time.Time
	draining bool
}

// lostFence is the last fencing number under which an endpoint was held; no grant up to it counts.
type lostFence struct {
	fence uint64
	until time.Time
}

// sent is a renewal that awaits its answer.
type sent struct {
	at       time.Time
	held     []Held
	released int
	leaving  bool
}

// NewHolder returns the holder of one life of an instance.
func NewHolder(incarnation uint64, opts ...Option) *Holder {
	return &Holder{
		options:     build(opts),
		incarnation: incarnation,
		needFull:    true,
		held:        map[string]*holding{},
		lost:        map[string]lostFence{},
		sent:        map[uint64]sent{},
	}
}

// Renewal returns the next renewal to send at now.
func (h *Holder) Renewal(now time.Time) Renewal {
	h.sequence++
	delete(h.sent, h.sequence-maxOutstanding)
	held := h.list()
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
	h.sent[h.sequence] = sent{at: now, held: held, released: len(h.stopped), leaving: h.leaving}
	return r
}

// SetFull makes the next renewal list all held endpoints, as a new coordinator needs.
func (h *Holder) SetFull() {
	h.needFull = true
}

// NeedsFull tells whether the next renewal lists all held endpoints.
func (h *Holder) NeedsFull() bool {
	return h.needFull
}

// Leave asks to release all endpoints, with the next renewal.
func (h *Holder) Leave() {
	h.leaving = true
}

// Leaving tells whether the instance releases all endpoints.
func (h *Holder) Leaving() bool {
	return h.leaving
}

// LeaveAnswered tells whether a table has answered a renewal that asked to release all endpoints; it then
// grants no more.
func (h *Holder) LeaveAnswered() bool {
	return h.told
}

// Holding is an endpoint held by the owner, which may act until Deadline.
type Holding struct {
	Held
	Deadline time.Time
}

// List returns the endpoints on which the owner may act at now, in the order of their names.
func (h *Holder) List(now time.Time) []Holding {
	var all []Holding
	for _, e := range h.list() {
		if _, ok := h.MayAct(now, e.Endpoint); ok {
			all = append(all, Holding{e, h.held[e.Endpoint].deadline})
		}
	}
	return all
}

// Reply takes the answer to the renewal with the given sequence. An answer that is older than one
// already taken is ignored.
func (h *Holder) Reply(now time.Time, sequence uint64, r Reply) []Event {
	s, known := h.sent[sequence]
	if !known || sequence <= h.answered {
		return nil
	}
	h.settle(sequence, s)
	h.needFull = r.NeedFull
	if r.NeedFull {
		return nil
	}
	deadline := s.at.Add(h.options.hold())
	if !now.Before(deadline) {
		return nil
	}
	events := h.Expire(now)
	if r.Same {
		return append(events, h.renewAll(s.held, deadline)...)
	}
	for _, g := range r.Grants {
		events = append(events, h.take(now, g, deadline)...)
	}
	return append(events, h.withdraw(now, s.held, r.Grants)...)
}

// settle removes what the answered renewal and earlier ones have reported as released.
func (h *Holder) settle(sequence uint64, s sent) {
	h.answered = sequence
	h.told = h.told || s.leaving
	h.stopped = slices.Delete(h.stopped, 0, s.released)
	for number, other := range h.sent {
		if number <= sequence {
			delete(h.sent, number)
			continue
		}
		other.released -= s.released
		h.sent[number] = other
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

func (h *Holder) take(now time.Time, g Grant, deadline time.Time) []Event {
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

// acquire starts to hold an endpoint, unless it was held under this fencing number before: the owner
// cannot know who held it since.
func (h *Holder) acquire(g Grant, deadline time.Time) []Event {
	if g.Fence <= h.lost[g.Endpoint].fence {
		return nil
	}
	if g.Release {
		// Nothing was started yet, so there is nothing to drain.
		h.stopped = append(h.stopped, Held{g.Endpoint, g.Fence})
		h.lost[g.Endpoint] = lostFence{g.Fence, deadline.Add(h.options.wait())}
		return nil
	}
	h.held[g.Endpoint] = &holding{fence: g.Fence, deadline: deadline}
	return []Event{{Kind: Acquired, Endpoint: g.Endpoint, Fence: g.Fence, Deadline: deadline}}
}

// withdraw stops what the renewal listed and the answer does not grant.
func (h *Holder) withdraw(now time.Time, listed []Held, grants []Grant) []Event {
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
	// Within this time the table stops offering the number: see Table and entry.offered.
	h.lost[name] = lostFence{p.fence, now.Add(4 * h.options.wait())}
	return Event{Kind: Lost, Endpoint: name, Fence: p.fence, Deadline: p.deadline}
}

// Expire stops what has reached its deadline.
func (h *Holder) Expire(now time.Time) []Event {
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		if !now.Before(h.held[name].deadline) && h.options.StopEarly() {
			events = append(events, h.lose(now, name))
		}
	}
	for name, l := range h.lost {
		if now.After(l.until) {
			delete(h.lost, name)
		}
	}
	return events
}

// Stopped states that no command to an endpoint is in flight under a fencing number; the table then
// gives the endpoint to the next owner at once.
func (h *Holder) Stopped(now time.Time, endpoint string, fence uint64) {
	if p, ok := h.held[endpoint]; ok && p.fence == fence {
		h.lose(now, endpoint)
	}
	h.stopped = append(h.stopped, Held{endpoint, fence})
}

// MayAct tells whether the owner may act on an endpoint at now, and under which fencing number.
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

// Len returns the number of held endpoints and of those whose release is still to be reported.
func (h *Holder) Len() (held, stopped int) {
	return len(h.held), len(h.stopped)
}

func (h *Holder) list() []Held {
	held := make([]Held, 0, len(h.held))
	for name, p := range h.held {
		held = append(held, Held{name, p.fence})
	}
	slices.SortFunc(held, func(a, b Held) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return held
}
