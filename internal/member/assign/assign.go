// Package assign decides which instance owns which endpoint of a data centre.
package assign

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/looplab/fsm"
)

// Table is the coordinator's table of endpoints and their owners. It reads no clock and does no I/O. It
// is not safe for concurrent use.
type Table struct {
	options      Options
	machine      *fsm.FSM
	started      time.Time
	highestFence uint64 // highest fencing number used or seen
	fenceLimit   uint64 // highest fencing number that may be used
	entries      map[string]*entry
	byOwner      map[string]map[string]*entry
	instances    map[string]*instance
	sorted       []string // names of all entries; nil after a change
	changed      bool     // a transition was applied since the last call of Changed
}

// instance is the state of an instance as of its last renewal.
type instance struct {
	incarnation uint64
	sequence    uint64
	renewBy     time.Time // by which it must renew in order to get endpoints
	leaving     bool
}

// New returns the empty table of a coordinator whose term starts at now. It assigns nothing until all
// leases that the previous coordinator may have granted have ended or were reported by their owners.
func New(now time.Time, opts ...Option) *Table {
	return &Table{
		options:   newOptions(opts),
		machine:   newStateMachine(),
		started:   now,
		entries:   map[string]*entry{},
		byOwner:   map[string]map[string]*entry{},
		instances: map[string]*instance{},
	}
}

// SetFences sets the range of fencing numbers reserved for this coordinator: above floor, up to limit.
func (t *Table) SetFences(floor, limit uint64) {
	t.highestFence = max(t.highestFence, floor)
	t.fenceLimit = limit
}

// Fence returns the highest fencing number used or seen.
func (t *Table) Fence() uint64 {
	return t.highestFence
}

// Learning reports whether the table still waits for the renewals of existing owners and assigns
// nothing yet.
func (t *Table) Learning(now time.Time) bool {
	return t.options.Learn() && now.Before(t.started.Add(t.options.waitTime()))
}

// settled reports whether no owner that the previous coordinator assigned can still have a command in
// flight.
func (t *Table) settled(now time.Time, e *entry) bool {
	if !e.inherited || !t.options.Learn() {
		return true
	}
	return !now.Before(t.started.Add(t.options.waitTime() + t.commandTime(e)))
}

// commandTime returns how long a command may be in flight after the deadline of the owner that sent it.
func (t *Table) commandTime(e *entry) time.Duration {
	if e.ChecksFencing || !t.options.AwaitCommand() {
		return 0
	}
	return t.options.MaxCommand
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
	t.highestFence = max(t.highestFence, p.HighestFence)
}

// RemoveEndpoint removes an endpoint that is no longer announced. The entry of an endpoint that has an
// owner stays until the owner's deadline, so that the endpoint is not assigned twice if it announces
// itself again.
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

// Renew handles an owner's renewal; the error is ErrOutdated or ErrLate.
func (t *Table) Renew(now time.Time, owner string, r Renewal) (reply Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := t.recordRenewal(now, owner, r); err != nil {
		return Reply{}, err
	}
	for _, h := range r.Released {
		t.release(owner, r.Incarnation, h)
	}
	if r.Full {
		t.applyFullRenewal(now, owner, r)
		return Reply{Grants: t.grant(now, owner)}, nil
	}
	return t.renewByDigest(now, owner, r), nil
}

// Incarnation returns the incarnation of an instance as of its last renewal, or 0.
func (t *Table) Incarnation(owner string) uint64 {
	if i, ok := t.instances[owner]; ok {
		return i.incarnation
	}
	return 0
}

func (t *Table) recordRenewal(now time.Time, owner string, r Renewal) error {
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
	i.renewBy = now.Add(t.options.Length)
	i.leaving = i.leaving || r.Leaving
	return nil
}

// drop stops renewing the endpoints that an earlier incarnation of an instance held.
func (t *Table) drop(owner string) {
	for _, e := range t.byOwner[owner] {
		e.dropped = true
	}
}

func (t *Table) release(owner string, incarnation uint64, h Held) {
	e, known := t.entries[h.Endpoint]
	if !known || e.owner != owner || e.incarnation != incarnation || e.fence != h.Fence {
		return
	}
	if t.step(e, eventRelease) {
		t.free(e)
	}
}

// applyFullRenewal updates the entries of an owner from the list in a full renewal.
func (t *Table) applyFullRenewal(now time.Time, owner string, r Renewal) {
	listed := map[string]uint64{}
	for _, h := range r.Held {
		listed[h.Endpoint] = h.Fence
		t.highestFence = max(t.highestFence, h.Fence)
		t.inherit(now, owner, r.Incarnation, h)
	}
	for name, e := range t.byOwner[owner] {
		if listed[name] == e.fence {
			e.confirmed = true
		} else if e.confirmed {
			e.dropped = true
		}
	}
}

// inherit records an assignment that the previous coordinator made. If two owners report an endpoint,
// the one with the higher fencing number was assigned later and wins.
func (t *Table) inherit(now time.Time, owner string, incarnation uint64, h Held) {
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
	e.confirmed, e.dropped = true, false
}

// renewByDigest renews what the owner holds if its digest matches the table.
func (t *Table) renewByDigest(now time.Time, owner string, r Renewal) Reply {
	var all, seen []Held
	releasing := false
	for _, e := range t.byOwner[owner] {
		if !e.offered(now) {
			continue
		}
		all = append(all, Held{e.Name, e.fence})
		if e.confirmed {
			seen = append(seen, Held{e.Name, e.fence})
		}
		releasing = releasing || e.state == Releasing
	}
	switch r.Digest {
	case Digest(all):
		for _, h := range all {
			t.entries[h.Endpoint].confirmed = true
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

// grant returns the endpoints that the owner may hold and extends their deadlines.
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

// Assignments returns all entries, sorted by name.
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
	e := &entry{state: Unknown, inherited: true, deadline: t.started.Add(t.options.waitTime())}
	e.Name = name
	t.entries[name] = e
	t.sorted = nil
	return e
}

// Owned returns the endpoints of an owner, sorted by name.
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

// Changed reports whether an entry changed its state or owner since the last call.
func (t *Table) Changed() bool {
	changed := t.changed
	t.changed = false
	return changed
}
