// Package directory tracks the endpoints and instances of a data centre by their announcements and heartbeats.
package directory

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/looplab/fsm"
)

// maxTextLength limits each text field of an announcement, in bytes, so that a limit on the number of entries
// also limits the memory of the directory.
const maxTextLength = 128

// Limits of the numbers of an announcement, so that a faulty endpoint cannot exhaust fencing numbers and incarnations, and sums
// of places do not overflow.
const (
	maxFence       = 1 << 62
	maxIncarnation = 1 << 62   // incarnations are Unix nanoseconds
	maxPlaces      = 1<<16 - 1 // connections from one address to one port
)

// Events of the life cycle of an endpoint.
const (
	announceServing = "AnnounceServing"
	announceLeaving = "AnnounceLeaving"
	restart         = "Restart"
)

// Directory is a table of endpoints and instances. It reads no clock and does no I/O. It is not safe for
// concurrent use.
type Directory struct {
	options          Options
	machine          *fsm.FSM
	endpoints        map[string]Endpoint
	instances        map[string]Instance
	removedEndpoints removedEntries
	removedInstances removedEntries
}

// New returns an empty directory.
func New(opts ...Option) *Directory {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Directory{
		options:          o,
		machine:          newStateMachine(o.LeavingIsFinal()),
		endpoints:        map[string]Endpoint{},
		instances:        map[string]Instance{},
		removedEndpoints: newRemovedEntries(o.MaxEndpoints),
		removedInstances: newRemovedEntries(o.MaxInstances),
	}
}

// newStateMachine returns the state machine of endpoints. All endpoints of a directory share one, because a
// state machine takes several KiB.
func newStateMachine(leavingIsFinal bool) *fsm.FSM {
	events := fsm.Events{
		{Name: announceServing, Src: []string{string(Serving)}, Dst: string(Serving)},
		{Name: announceLeaving, Src: []string{string(Serving), string(Draining)}, Dst: string(Draining)},
		{Name: restart, Src: []string{string(Serving), string(Draining)}, Dst: string(Serving)},
	}
	if !leavingIsFinal {
		events = append(events, fsm.EventDesc{Name: announceServing, Src: []string{string(Draining)}, Dst: string(Serving)})
	}
	return fsm.NewFSM(string(Serving), events, nil)
}

// nextState returns the state after an event; an event that the state does not allow changes nothing.
func (d *Directory) nextState(s State, event string) State {
	d.machine.SetState(string(s))
	if d.machine.Can(event) {
		_ = d.machine.Event(context.Background(), event) // a transition to the same state is reported as an error
	}
	return State(d.machine.Current())
}

// Announce records an announcement and reports whether it changed the entry apart from its deadline.
// Errors are ErrInvalid, ErrIncomplete, ErrForeign, ErrOutdated, ErrConflict and ErrFull.
func (d *Directory) Announce(now time.Time, a Announcement) (changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := d.validate(a); err != nil {
		return false, err
	}
	old, known := d.endpoints[a.Name]
	if !known {
		return d.add(now, a)
	}
	if d.options.IgnoreOlder(old.Incarnation, a.Incarnation) {
		return false, ErrOutdated
	}
	if a.Incarnation == old.Incarnation && a.Address != old.Address {
		return false, ErrConflict
	}
	e := d.merge(now, old, a)
	d.endpoints[a.Name] = e
	return e.Announcement != old.Announcement, nil
}

func (d *Directory) validate(a Announcement) error {
	for _, text := range []string{a.Name, a.DataCentre, a.Service, a.Model} {
		if len(text) > maxTextLength || !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
			return ErrInvalid
		}
	}
	places := func(n int) bool { return n >= 0 && n <= maxPlaces }
	switch {
	case a.Name == "" || !places(a.Slots) || !places(a.BatchSize) || (a.Kind != Engine && a.Kind != Plain):
		return ErrInvalid
	case a.HighestFence > maxFence || a.Incarnation > maxIncarnation || (a.Address.IsValid() && !usable(a.Address)):
		return ErrInvalid
	case !a.Address.IsValid() || a.Incarnation == 0:
		return ErrIncomplete
	case d.options.DataCentre != "" && a.DataCentre != d.options.DataCentre:
		return ErrWrongDataCentre
	}
	return nil
}

// usable reports whether an address is that of one machine and port.
func usable(a netip.AddrPort) bool {
	return a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}

func (d *Directory) add(now time.Time, a Announcement) (bool, error) {
	p := d.removedEndpoints.entries[a.Name]
	if d.options.IgnoreOlder(p.incarnation, a.Incarnation) {
		return false, ErrOutdated
	}
	if len(d.endpoints) >= d.options.MaxEndpoints {
		return false, ErrFull
	}
	old := Endpoint{State: Serving, NoWorkAfter: p.noWorkAfter}
	if !p.noWorkAfter.IsZero() {
		old.State = Draining
	}
	old.Incarnation, old.HighestFence = p.incarnation, p.fence
	delete(d.removedEndpoints.entries, a.Name)
	d.endpoints[a.Name] = d.merge(now, old, a)
	return true, nil
}

func (d *Directory) merge(now time.Time, old Endpoint, a Announcement) Endpoint {
	e := Endpoint{Announcement: a, State: old.State, NoWorkAfter: old.NoWorkAfter}
	if a.Incarnation != old.Incarnation {
		e.State = d.nextState(e.State, restart)
	}
	event := announceServing
	if a.Leaving {
		event = announceLeaving
	}
	e.State = d.nextState(e.State, event)
	e.Leaving = e.State == Draining
	switch {
	case !e.Leaving:
		e.NoWorkAfter = time.Time{}
	case e.NoWorkAfter.IsZero():
		e.NoWorkAfter = now.Add(d.options.Grace)
	}
	// The highest fencing number from before a restart still counts: commands with it may be in flight.
	e.HighestFence = max(a.HighestFence, old.HighestFence)
	e.Deadline = latest(old.Deadline, now.Add(d.options.EndpointLifetime))
	return e
}

// Heartbeat records a heartbeat of an instance and reports whether it changed the entry apart from its
// deadline. Errors are ErrInvalid, ErrIncomplete, ErrOutdated and ErrFull.
func (d *Directory) Heartbeat(now time.Time, i Instance) (changed bool, err error) {
	defer func() { err = Error.Wrap(err) }()
	switch {
	case i.Name == "" || len(i.Name) > maxTextLength:
		return false, ErrInvalid
	case !i.Address.IsValid() || i.Incarnation == 0:
		return false, ErrIncomplete
	}
	old, known := d.instances[i.Name]
	incarnation := old.Incarnation
	if !known {
		incarnation = d.removedInstances.entries[i.Name].incarnation
	}
	if d.options.IgnoreOlder(incarnation, i.Incarnation) {
		return false, ErrOutdated
	}
	if !known && len(d.instances) >= d.options.MaxInstances {
		return false, ErrFull
	}
	i.Leaving = i.Leaving || (known && old.Leaving && old.Incarnation == i.Incarnation && d.options.LeavingIsFinal())
	i.Deadline = latest(old.Deadline, now.Add(d.options.InstanceLifetime))
	delete(d.removedInstances.entries, i.Name)
	d.instances[i.Name] = i
	old.Deadline = i.Deadline
	return i != old, nil
}

// Incarnation returns the highest known incarnation of an instance, or 0.
func (d *Directory) Incarnation(instance string) uint64 {
	if i, ok := d.instances[instance]; ok {
		return i.Incarnation
	}
	return d.removedInstances.entries[instance].incarnation
}

// Refresh extends the deadline of an endpoint if the incarnation matches the entry, and reports whether it does.
func (d *Directory) Refresh(now time.Time, name string, incarnation uint64) bool {
	e, ok := d.endpoints[name]
	if !ok || e.Incarnation != incarnation {
		return false
	}
	e.Deadline = latest(e.Deadline, now.Add(d.options.EndpointLifetime))
	d.endpoints[name] = e
	return true
}

// Endpoint returns the entry of an endpoint.
func (d *Directory) Endpoint(name string) (Endpoint, bool) {
	e, ok := d.endpoints[name]
	return e, ok
}

// Instance returns the entry of an instance.
func (d *Directory) Instance(name string) (Instance, bool) {
	i, ok := d.instances[name]
	return i, ok
}

// Forget removes an instance that has stopped and remembers its incarnation.
func (d *Directory) Forget(now time.Time, instance string) {
	if i, ok := d.instances[instance]; ok {
		d.removedInstances.add(instance, removedEntry{incarnation: i.Incarnation, until: now.Add(d.options.Retention)})
		delete(d.instances, instance)
	}
}

// Expire removes the entries whose deadline has passed and returns their names, sorted.
func (d *Directory) Expire(now time.Time) (r Removed) {
	for name, e := range d.endpoints {
		if !now.Before(e.Deadline) {
			d.removedEndpoints.add(name, removedEntry{e.Incarnation, e.HighestFence, e.NoWorkAfter, now.Add(d.options.Retention)})
			delete(d.endpoints, name)
			r.Endpoints = append(r.Endpoints, name)
		}
	}
	for name, i := range d.instances {
		if !now.Before(i.Deadline) {
			d.removedInstances.add(name, removedEntry{incarnation: i.Incarnation, until: now.Add(d.options.Retention)})
			delete(d.instances, name)
			r.Instances = append(r.Instances, name)
		}
	}
	d.removedEndpoints.expire(now)
	d.removedInstances.expire(now)
	slices.Sort(r.Endpoints)
	slices.Sort(r.Instances)
	return r
}

// Snapshot returns a copy of all entries, including those that Expire has not removed yet.
func (d *Directory) Snapshot() Snapshot {
	return Snapshot{
		Endpoints: slices.SortedFunc(maps.Values(d.endpoints), func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) }),
		Instances: slices.SortedFunc(maps.Values(d.instances), func(a, b Instance) int { return strings.Compare(a.Name, b.Name) }),
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
