// Package assign decides which instance owns which endpoint of a data centre.
package assign

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/looplab/fsm"
)

// Table is the coordinator's table of owners. It is pure and not safe for concurrent use.
type Table struct {
	options   Options
	life      *fsm.FSM
	started   time.Time
	fence     uint64 // highest fencing number used or seen
	limit     uint64 // highest fencing number that may be used
	entries   map[string]*entry
	byOwner   map[string]map[string]*entry
	instances map[string]*instance
	sorted    []string // names of all entries; nil after a change
	changed   bool     // an owner has changed
}

// instance is an owner by its last renewal.
type instance struct {
	incarnation uint64
	sequence    uint64
	until       time.Time // by which it must renew in order to get endpoints
	leaving     bool
}

// New returns the empty table of a coordinator whose term starts at now. It assigns nothing until
// all leases that a predecessor may have granted have ended or were reported.
func New(now time.Time, opts ...Option) *Table {
	return &Table{
		options:   build(opts),
		life:      newLife(),
		started:   now,
		entries:   map[string]*entry{},
		byOwner:   map[string]map[string]*entry{},
		instances: map[string]*instance{},
	}
}

// SetFences sets the range of fencing numbers reserved for this coordinator: above floor, up to limit.
func (t *Table) SetFences(floor, limit uint64) {
	t.fence = max(t.fence, floor)
	t.limit = limit
}

// Fence returns the highest fencing number used or seen.
func (t *Table) Fence() uint64 {
	return t.fence
}

// Learning tells whether the table assigns nothing yet.
func (t *Table) Learning(now time.Time) bool {
	return t.options.Learn() && now.Before(t.started.Add(t.options.wait()))
}

// settled tells whether no owner under the predecessor can have a command in flight.
func (t *Table) settled(now time.Time, e *entry) bool {
	if !e.inherited || !t.options.Learn() {
		return true
	}
	return !now.Before(t.started.Add(t.options.wait() + t.command(e)))
}

// command returns how long a command may be in flight after the deadline of its owner.
func (t *Table) command(e *entry) time.Duration {
	if e.ChecksFencing || !t.options.AwaitCommand() {
		return 0
	}
	return t.options.Command
}

// SetEndpoint adds an announced endpoint or updates it.
func (t *Table) SetEndpoint(_ time.Time, p Endpoint) {
	e, known := t.entries[p.Name]
	if !known {
		e = t.add(p.Name)
	}
	p.HighestFence = max(p.HighestFence, e.HighestFence)
	e.Endpoint = p
	e.announced = true
	t.fence = max(t.fence, p.HighestFence)
}

// RemoveEndpoint takes an endpoint that is no longer known out of the table; its owner keeps it until
// the owner's deadline, so that it cannot be assigned twice should it return.
func (t *Table) RemoveEndpoint(name string) {
	e, known := t.entries[name]
	if !known {
		return
	}
	e.announced = false
	if e.state == Free {
		t.free(e)
		return
	}
	t.step(e, eventDrain)
}

// Renew takes an owner's renewal; the error is ErrOutdated or ErrLate.
func (t *Table) Renew(now time.Time, owner string, r Renewal) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := t.note(now, owner, r); err != nil {
		return Reply{}, err
	}
	for _, h := range r.Released {
		t.released(owner, r.Incarnation, h)
	}
	if r.Full {
		t.report(now, owner, r)
		return Reply{Grants: t.grant(now, owner)}, nil
	}
	return t.renewByDigest(now, owner, r), nil
}

// Incarnation returns the known incarnation of an instance, or 0.
func (t *Table) Incarnation(owner string) uint64 {
	if i, ok := t.instances[owner]; ok {
		return i.incarnation
	}
	return 0
}

func (t *Table) note(now time.Time, owner string, r Renewal) error {
	i, known := t.instances[owner]
	switch {
	case !known:
		i = &instance{}
		t.instances[owner] = i
	case r.Incarnation < i.incarnation:
		return ErrOutdated
	case r.Incarnation == i.incarnation && r.Sequence <= i.sequence:
		return ErrLate
	}
	if r.Incarnation != i.incarnation {
		t.drop(owner)
		i.leaving = false
	}
	i.incarnation, i.sequence = r.Incarnation, r.Sequence
	i.until = now.Add(t.options.Length)
	i.leaving = i.leaving || r.Leaving
	return nil
}

// drop stops renewing what an earlier life of an instance held.
func (t *Table) drop(owner string) {
	for _, e := range t.byOwner[owner] {
		e.dropped = true
	}
}

func (t *Table) released(owner string, incarnation uint64, h Held) {
	e, known := t.entries[h.Endpoint]
	if !known || e.owner != owner || e.incarnation != incarnation || e.fence != h.Fence {
		return
	}
	if t.step(e, eventRelease) {
		t.free(e)
	}
}

// report learns from a full renewal what the owner holds and what it has lost.
func (t *Table) report(now time.Time, owner string, r Renewal) {
	listed := map[string]uint64{}
	for _, h := range r.Held {
		listed[h.Endpoint] = h.Fence
		t.fence = max(t.fence, h.Fence)
		t.learn(now, owner, r.Incarnation, h)
	}
	for name, e := range t.byOwner[owner] {
		if listed[name] == e.fence {
			e.seen = true
		} else if e.seen {
			e.dropped = true
		}
	}
}

// learn takes over an assignment of the predecessor. Of two reports, the higher fencing number is
// the later assignment.
func (t *Table) learn(now time.Time, owner string, incarnation uint64, h Held) {
	e, known := t.entries[h.Endpoint]
	if !known {
		if !t.Learning(now) {
			return
		}
		e = t.add(h.Endpoint)
	}
	if !t.Learning(now) || e.fence >= h.Fence || !t.step(e, eventReport) {
		return
	}
	t.setOwner(e, owner, incarnation)
	e.fence = h.Fence
	e.seen, e.dropped = true, false
}

// renewByDigest renews what the owner holds if the digest proves that both sides agree.
func (t *Table) renewByDigest(now time.Time, owner string, r Renewal) Reply {
	var all, seen []Held
	releasing := false
	for _, e := range t.byOwner[owner] {
		if !e.offered(now) {
			continue
		}
		all = append(all, Held{e.Name, e.fence})
		if e.seen {
			seen = append(seen, Held{e.Name, e.fence})
		}
		releasing = releasing || e.state == Releasing
	}
	switch r.Digest {
	case Digest(all):
		for _, h := range all {
			t.entries[h.Endpoint].seen = true
			t.extend(now, t.entries[h.Endpoint])
		}
		if !releasing {
			return Reply{Same: true}
		}
		return Reply{Grants: t.grant(now, owner)}
	case Digest(seen):
		return Reply{Grants: t.grant(now, owner)}
	}
	return Reply{NeedFull: true}
}

// grant lists what the owner may hold and extends the deadlines.
func (t *Table) grant(now time.Time, owner string) []Grant {
	var grants []Grant
	for _, e := range t.byOwner[owner] {
		if !e.offered(now) {
			continue
		}
		t.extend(now, e)
		grants = append(grants, Grant{Endpoint: e.Name, Fence: e.fence, Release: e.state == Releasing})
	}
	slices.SortFunc(grants, func(a, b Grant) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return grants
}

// Assignments returns all entries in the order of their names.
func (t *Table) Assignments() []Assignment {
	all := make([]Assignment, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, Assignment{Endpoint: e.Name, Owner: e.owner, Fence: e.fence, State: e.state, Deadline: e.deadline})
	}
	slices.SortFunc(all, func(a, b Assignment) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// names returns the sorted names of all entries, so that decisions do not depend on map order.
func (t *Table) names() []string {
	if t.sorted == nil {
		t.sorted = slices.Sorted(maps.Keys(t.entries))
	}
	return t.sorted
}

// add puts a new entry into the table.
func (t *Table) add(name string) *entry {
	e := &entry{state: Unknown, inherited: true, deadline: t.started.Add(t.options.wait())}
	e.Name = name
	t.entries[name] = e
	t.sorted = nil
	return e
}

// Owned returns the endpoints of an owner in the order of their names.
func (t *Table) Owned(owner string) []string {
	return slices.Sorted(maps.Keys(t.byOwner[owner]))
}

// Owner returns the owner of an endpoint, or an empty string while no owner may act.
func (t *Table) Owner(endpoint string) string {
	if e, ok := t.entries[endpoint]; ok && e.owned() {
		return e.owner
	}
	return ""
}

// Changed tells whether an owner has changed since the last call.
func (t *Table) Changed() bool {
	changed := t.changed
	t.changed = false
	return changed
}
