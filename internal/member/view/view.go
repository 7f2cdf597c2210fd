// Package view holds an entry's copy of the leader's state of endpoints, adapters and customers, as of the last update.
package view

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

// View is the state that an entry has received from the leader. It is safe for concurrent use.
type View struct {
	mu             sync.RWMutex
	index          *document.Index
	updatedAt      time.Time
	term           uint64
	document       uint64
	adapters       uint64
	directory      uint64
	placement      uint64
	entries        int
	endpoints      map[string]report.Endpoint
	services       map[string][]report.Endpoint
	holders        map[residency.Adapter]map[string]int // version by endpoint
	versions       map[residency.Adapter]int
	leaving        map[string]leaving  // incarnations that have stated in an answer that they leave, by endpoint
	endpointOrder  []string            // endpoints in the order of the leader's list
	running        map[string]int      // running requests of all entries, by endpoint
	backlog        map[string]int      // milliseconds to read the waiting prompts of all entries, by endpoint
	software       map[string][]string // versions that may have begun streams, by service
	softwareKnown  uint64              // revision of software
	deputies       []report.Deputy
	deputyRevision uint64 // revision of deputies

	suspects           []quarantine.Signature
	suspectRevision    uint64
	quarantined        map[string][]quarantine.Signature // signatures that no endpoint gets, by identifier
	quarantineRevision uint64
	held               map[string]heldRequest // by identifier of an exact request
	termSince          time.Time              // of the first update of the term
}

// leaving is an incarnation of an endpoint that has stated in an answer that it leaves.
type leaving struct {
	born   int64
	listed bool // the leader's list states it too
}

// maxLeaving limits the memory for endpoints that have stated that they leave; those that are not listed any more are forgotten first.
const maxLeaving = 4096

// New returns an empty view.
func New() *View {
	return &View{
		leaving: map[string]leaving{}, endpoints: map[string]report.Endpoint{}, services: map[string][]report.Endpoint{},
		holders: map[residency.Adapter]map[string]int{}, versions: map[residency.Adapter]int{}, entries: 1,
	}
}

// FillReport sets the fields of a report that state the versions and revisions that the view has.
func (v *View) FillReport(r *report.Entry) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	r.Term, r.Document, r.Adapters = v.term, v.document, v.adapters
	r.Directory, r.Placement, r.Deputies = v.directory, v.placement, v.deputyRevision
	r.Suspects, r.Quarantine = v.suspectRevision, v.quarantineRevision
	r.Versions = v.softwareKnown
	for id, l := range v.leaving {
		if e, known := v.endpoints[id]; known && !l.listed && e.Born == l.born {
			r.Leaving = append(r.Leaving, report.Departure{ID: id, Born: l.born})
		}
	}
}

// RecordLeaving records that an endpoint has stated in an answer that it leaves, and reports whether that is new. The incarnation gets no more
// work, also if a leader does not know that it leaves.
func (v *View) RecordLeaving(e report.Endpoint) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current, known := v.endpoints[e.ID]
	if l, recorded := v.leaving[e.ID]; (known && current.Born != e.Born) || (recorded && l.born == e.Born) {
		return false
	}
	if len(v.leaving) >= maxLeaving {
		maps.DeleteFunc(v.leaving, func(id string, _ leaving) bool { _, known := v.endpoints[id]; return !known })
	}
	v.leaving[e.ID] = leaving{born: e.Born, listed: current.Leaving}
	if !known {
		return true // the list that names it follows
	}
	current.Leaving = true
	v.endpoints[e.ID] = current
	services := slices.Clone(v.services[e.Service])
	for i := range services {
		if services[i].ID == e.ID {
			services[i].Leaving = true
		}
	}
	v.services[e.Service] = services
	return true
}

// Changed lists the parts of a view that an update has changed.
type Changed struct {
	Document   bool
	Directory  bool
	Deputies   bool
	Quarantine bool
	Removed    []report.Endpoint
}

// Apply applies the update that answers a report sent at a time; decode decodes a document. An update of an older term is ignored, and so is an
// older document in an update.
func (v *View) Apply(sentAt time.Time, u report.Update, decode func([]byte) (document.Document, error)) (c Changed, err error) {
	var index *document.Index
	if len(u.Content) > 0 {
		content, err := document.Unpack(u.Content)
		if err != nil {
			return c, err
		}
		d, err := decode(content)
		if err != nil {
			return c, err
		}
		index = document.NewIndex(d)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Term < v.term {
		return c, nil
	}
	v.updatedAt = sentAt // the update may have waited, in a process that was suspended, too
	if index != nil && u.Document > v.document {
		v.index, v.document = index, u.Document
		c.Document = true
	}
	v.entries = max(u.Entries, 1)
	v.software, v.softwareKnown = u.Versions, u.VersionsRevision
	v.applyVersions(u)
	c.Deputies = v.applyDeputies(u)
	c.Quarantine = v.applyQuarantine(u)
	v.applyHeld(sentAt, u)
	c.Directory, c.Removed = v.applyDirectory(u)
	v.applyRunning(u)
	v.applyPlacement(u)
	v.term = u.Term
	return c, nil
}

func (v *View) applyVersions(u report.Update) {
	if u.AdapterCount <= v.adapters {
		return
	}
	v.adapters = u.AdapterCount
	for _, a := range u.Adapters {
		v.versions[a.Adapter] = max(v.versions[a.Adapter], a.Version)
	}
}

func (v *View) applyDirectory(u report.Update) (changed bool, removed []report.Endpoint) {
	if u.Directory == v.directory && u.Term == v.term {
		return false, nil
	}
	endpoints, services := map[string]report.Endpoint{}, map[string][]report.Endpoint{}
	v.endpointOrder = nil
	for i, e := range u.Endpoints {
		v.endpointOrder = append(v.endpointOrder, e.ID)
		if len(u.Software) == len(u.Endpoints) {
			e.Software = u.Software[i]
		}
		if l, recorded := v.leaving[e.ID]; recorded && l.born == e.Born {
			l.listed = e.Leaving
			v.leaving[e.ID] = l
			e.Leaving = true
		}
		if old, known := v.endpoints[e.ID]; known && old.Leaving && old.Born == e.Born {
			e.Leaving = true // a new leader may not know yet that the endpoint is leaving
		}
		endpoints[e.ID] = e
		services[e.Service] = append(services[e.Service], e)
	}
	for id, e := range v.endpoints {
		if _, kept := endpoints[id]; kept {
			continue
		}
		if u.Partial && !departed(u, &e) {
			endpoints[id] = e
			services[e.Service] = append(services[e.Service], e)
			continue
		}
		removed = append(removed, e)
	}
	v.endpoints, v.services, v.directory = endpoints, services, u.Directory
	return true, removed
}

// departed reports whether an endpoint that a partial list lacks has left, and marks one that is leaving.
func departed(u report.Update, e *report.Endpoint) bool {
	for _, d := range u.Departed {
		if !d.Covers(e.ID, e.Born) {
			continue
		}
		if d.Gone {
			return true
		}
		e.Leaving = true
	}
	return false
}

// HasLeft reports whether an incarnation of an endpoint has stated in an answer that it leaves.
func (v *View) HasLeft(e report.Endpoint) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	l, recorded := v.leaving[e.ID]
	return recorded && l.born == e.Born
}

func (v *View) applyDeputies(u report.Update) (changed bool) {
	if u.DeputyChange == v.deputyRevision && u.Term == v.term {
		return false
	}
	v.deputies, v.deputyRevision = u.Deputies, u.DeputyChange
	return true
}

func (v *View) applyQuarantine(u report.Update) (changed bool) {
	if u.SuspectRevision != v.suspectRevision {
		v.suspects, v.suspectRevision = u.Suspects, u.SuspectRevision
	}
	if u.QuarantineRevision <= v.quarantineRevision {
		return false
	}
	v.quarantined, v.quarantineRevision = map[string][]quarantine.Signature{}, u.QuarantineRevision
	for _, s := range u.Quarantine {
		v.quarantined[s.ID] = append(v.quarantined[s.ID], s)
	}
	return true
}

// Suspects returns the signatures whose begins the leader wants to know. The caller must not change the list.
func (v *View) Suspects() []quarantine.Signature {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.suspects
}

// Quarantined returns those of the signatures of a request to a service that no endpoint gets, by their identifiers.
func (v *View) Quarantined(service string, signatures []string) (list []string) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if len(v.quarantined) == 0 {
		return nil
	}
	for _, id := range signatures {
		if slices.ContainsFunc(v.quarantined[id], func(s quarantine.Signature) bool { return s.AppliesTo(service) }) {
			list = append(list, id)
		}
	}
	return list
}

// applyRunning records the running requests and waiting prompts of endpoints, which the update lists in the order of the endpoints.
func (v *View) applyRunning(u report.Update) {
	v.running = v.byEndpoint(u.Running, v.running)
	v.backlog = v.byEndpoint(u.Backlog, v.backlog)
}

// byEndpoint returns figures that are listed in the order of the endpoints, or the former ones if the list belongs to other endpoints;
// the next update contains both.
func (v *View) byEndpoint(list []int, former map[string]int) map[string]int {
	if len(list) != len(v.endpointOrder) {
		return former
	}
	figures := make(map[string]int, len(list))
	for i, id := range v.endpointOrder {
		figures[id] = list[i]
	}
	return figures
}

func (v *View) applyPlacement(u report.Update) {
	if u.Reset {
		v.resetHolders(u)
	}
	for _, e := range u.Events {
		v.applyEvent(e)
	}
	v.placement = u.Placement
}

// resetHolders removes the holdings of all endpoints, except for endpoints that a new leader does not know yet.
func (v *View) resetHolders(u report.Update) {
	stated := map[string]bool{}
	for _, e := range u.Endpoints {
		stated[e.ID] = true
	}
	for a, held := range v.holders {
		maps.DeleteFunc(held, func(id string, _ int) bool { return !u.Partial || stated[id] })
		if len(held) == 0 {
			delete(v.holders, a)
		}
	}
}

func (v *View) applyEvent(e residency.Event) {
	a := e.Holding.Adapter
	if e.Removed {
		if v.holders[a][e.Endpoint] == e.Holding.Version {
			delete(v.holders[a], e.Endpoint)
		}
		if len(v.holders[a]) == 0 {
			delete(v.holders, a)
		}
		return
	}
	if v.holders[a] == nil {
		v.holders[a] = map[string]int{}
	}
	v.holders[a][e.Endpoint] = e.Holding.Version
}

// RemoveHolder removes an endpoint from the holders of an adapter, after it answered that it does not hold the adapter.
func (v *View) RemoveHolder(endpoint string, a residency.Adapter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.holders[a], endpoint)
	if len(v.holders[a]) == 0 {
		delete(v.holders, a)
	}
}

// Deputies returns the entries that lend while no leader answers. The caller must not change the list.
func (v *View) Deputies() []report.Deputy {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.deputies
}

// Index returns the document in effect, or nil.
func (v *View) Index() *document.Index {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.index
}

// Age returns the time since the report that the last update answers.
func (v *View) Age(now time.Time) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return now.Sub(v.updatedAt)
}

// Version returns the document's version and the number of known entries.
func (v *View) Version() (document uint64, entries int) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.document, v.entries
}

// Endpoints returns the endpoints of a service that accept work, in a stable order.
func (v *View) Endpoints(service string) (list []report.Endpoint) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, e := range v.services[service] {
		if !e.Leaving {
			list = append(list, e)
		}
	}
	return list
}

// Endpoint returns an endpoint that accepts work.
func (v *View) Endpoint(id string) (e report.Endpoint, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	e, ok = v.endpoints[id]
	return e, ok && !e.Leaving
}

// KnownEndpoints returns the endpoints that accept work, with the adapters that they hold.
func (v *View) KnownEndpoints() (list []report.KnownEndpoint) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	holdings := map[string][]residency.Holding{}
	for a, held := range v.holders {
		for id, version := range held {
			holdings[id] = append(holdings[id], residency.Holding{Adapter: a, Version: version})
		}
	}
	for id, e := range v.endpoints {
		if !e.Leaving {
			list = append(list, report.KnownEndpoint{Endpoint: e, Software: e.Software, Holdings: holdings[id]})
		}
	}
	return list
}

// Empty reports whether no endpoint is known.
func (v *View) Empty() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.endpoints) == 0
}

// HasEndpoint reports whether an endpoint is known, including one that is leaving.
func (v *View) HasEndpoint(id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	_, ok := v.endpoints[id]
	return ok
}

// Holders returns the endpoints of a service that accept work and hold the newest version of an adapter, and that version.
func (v *View) Holders(service string, a residency.Adapter) (list []report.Endpoint, version int) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	version = v.versions[a]
	ids := slices.Sorted(maps.Keys(v.holders[a]))
	for _, id := range ids {
		e, known := v.endpoints[id]
		if !known || e.Leaving || e.Service != service || v.holders[a][id] < version {
			continue
		}
		if held := v.holders[a][id]; held > version {
			list, version = nil, held
		}
		list = append(list, e)
	}
	return list, version
}

// Backlog returns how long an endpoint will take to read the prompts of all entries that wait there, as of the last update.
func (v *View) Backlog(id string) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return time.Duration(v.backlog[id]) * time.Millisecond
}

// Running returns the number of running requests of all entries on an endpoint, as of the last update.
func (v *View) Running(id string) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.running[id]
}
