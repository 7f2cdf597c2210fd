// Package residency decides which endpoint holds which adapter. One instance, the leader, decides for all endpoints, so
// that each decision takes all places, transfers and rare adapters into account. The package does no I/O: it returns the
// orders, and the caller executes them and records their results.
package residency

import (
	"slices"
	"strings"
	"time"

	"lycheevale/internal/base/locality"
)

// Adapter names an adapter of a base model.
type Adapter struct {
	Model string `json:"Model"`
	Name  string `json:"Name"`
}

// Holding is an adapter at an endpoint.
type Holding struct {
	_ struct{} `cbor:",toarray"`

	Adapter
	Version int `json:"Version"`
}

// Endpoint is an endpoint's announcement of itself.
type Endpoint struct {
	ID         string
	Service    string
	DataCentre string
	Models     []string
	Slots      int // places for adapters
	Accepting  bool
	Holdings   []Holding
}

// State is the state of an adapter at an endpoint.
type State string

// States of a place. A place is Unknown after an order without an answer, which the endpoint may still execute.
const (
	Loading  State = "Loading"
	Resident State = "Resident"
	Leaving  State = "Leaving"
	Unknown  State = "Unknown"
)

// place is a slot of an endpoint that an adapter takes.
type place struct {
	holding   Holding
	state     State
	readyAt   time.Time // when a load is expected to end
	ordered   bool      // the order of the present state was accepted
	reported  bool      // the endpoint has reported that it holds the adapter
	stated    bool      // the endpoint has reported the adapter although a load of it is queued here: an earlier leader has ordered it
	replaces  *place    // the older version that the endpoint holds until it accepts the load, or nil
	changedAt time.Time
	heldUntil time.Time // for requests that were told to use the place and are not reported yet
	usedAt    time.Time
	uses      float64 // recent uses, decayed to usedAt
}

type endpoint struct {
	Endpoint
	addedAt        time.Time
	places         map[Adapter]*place
	load           float64                    // share of its request slots in use
	backlog        time.Duration              // to read the prompts that wait there
	dropped        map[Adapter]droppedAdapter // adapters that it has held
	pausedUntil    time.Time                  // no new loads are ordered before this time
	failures       int
	cachedVictim   *place    // to evict next, as of cachedVictimAt
	cachedVictimAt time.Time // zero if it has to be recomputed
}

// droppedAdapter is an adapter that an endpoint has held and may still cache.
type droppedAdapter struct {
	version int
	at      time.Time // when it was dropped
}

// Options are the settings of a Placer.
type Options struct {
	FetchTime          time.Duration // of an adapter from the weight store, at full speed
	CachedLoadTime     time.Duration // of an adapter that the endpoint caches
	FullSpeedFetches   int           // concurrent fetches, over all endpoints, that the smallest store serves at full speed
	MaxFetches         int           // concurrent fetches ordered from that store; more than FullSpeedFetches, to cover the latency of the orders
	MaxWait            time.Duration // until a fetch begins; requests for fetches that would wait longer are refused
	Spare              int           // places that are kept free ahead of demand
	CachedAdapters     int           // adapters that an endpoint caches
	MaxTransfers       int           // concurrent transfers to one endpoint
	UseHalfLife        time.Duration
	ReportDelay        time.Duration // of an entry's report and of the answer that a request waited for, in transmission
	MaxAnnouncementAge time.Duration // of an endpoint's announcement, unless it is late
	Regions            locality.Regions
}

// Defaults returns the settings for the engines of the current users.
func Defaults() Options {
	return Options{
		FetchTime: 250 * time.Millisecond, CachedLoadTime: 25 * time.Millisecond, FullSpeedFetches: 8, MaxFetches: 10, Spare: 2, CachedAdapters: 150,
		MaxTransfers: 4, MaxWait: 1200 * time.Millisecond,
		UseHalfLife: 8 * time.Second, ReportDelay: 150 * time.Millisecond, MaxAnnouncementAge: 2500 * time.Millisecond,
	}
}

// Placer is the table of all endpoints. It is not safe for concurrent use.
type Placer struct {
	options   Options
	endpoints map[string]*endpoint
	ordered   []*endpoint // by identifier, so that equal inputs lead to equal choices
	versions  map[Adapter]int
	journal   journal
	inflight  []transfer
	active    map[useKey]int   // requests that run, over all entries
	interval  time.Duration    // of entries' reports
	reported  map[string][]Use // last report of each entry
	fullSpeed int              // concurrent fetches, over all endpoints, that the store serves at full speed
}

// New returns a placer without endpoints.
func New(o Options) *Placer {
	return &Placer{
		options: o, endpoints: map[string]*endpoint{}, versions: map[Adapter]int{}, journal: newJournal(), fullSpeed: o.FullSpeedFetches,
		active: map[useKey]int{}, reported: map[string][]Use{}, interval: defaultInterval,
	}
}

// defaultInterval is the interval of entries' reports in a small deployment.
const defaultInterval = 200 * time.Millisecond

// SetReportInterval sets the interval in which entries report their uses.
func (p *Placer) SetReportInterval(interval time.Duration) { p.interval = interval }

// SetVersion makes a version of an adapter the only one that requests may run on.
func (p *Placer) SetVersion(a Adapter, version int) {
	if version <= p.versions[a] {
		return
	}
	p.versions[a] = version
	for _, e := range p.ordered {
		if pl := e.places[a]; pl != nil && pl.state == Resident && !p.current(pl.holding) {
			p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Removed: true})
		}
	}
}

func (p *Placer) current(h Holding) bool { return h.Version >= p.versions[h.Adapter] }

// SetEndpoint records an announcement of an endpoint. The announcement may be seconds old and does not list loads in
// progress, so it can add places but never frees one.
func (p *Placer) SetEndpoint(now time.Time, s Endpoint) {
	e := p.endpoints[s.ID]
	if e == nil {
		e = &endpoint{Endpoint: s, addedAt: now, places: map[Adapter]*place{}, dropped: map[Adapter]droppedAdapter{}}
		p.endpoints[s.ID] = e
		p.ordered = slices.Insert(p.ordered, p.position(s.ID), e)
	}
	e.Endpoint = s
	for _, h := range s.Holdings {
		pl := e.places[h.Adapter]
		left := now.Sub(e.dropped[h.Adapter].at) < p.options.MaxAnnouncementAge
		switch {
		case pl == nil && !left:
			pl = p.addResident(now, e, h)
		case pl != nil && pl.state == Resident && pl.holding.Version < h.Version:
			p.markResident(now, e, pl, h)
		}
		if pl != nil && pl.state == Resident && h.Version >= pl.holding.Version && now.Sub(pl.changedAt) > reportedAfter {
			pl.reported = true
		}
	}
}

// reportedAfter is the time after a load from which an announcement that lists the adapter counts as newer than the load.
const reportedAfter = time.Second

// AddState adds the adapters that an endpoint has reported. It frees no places, because orders that the endpoint has not
// accepted yet may still be in transit.
func (p *Placer) AddState(now time.Time, id string, holdings, pending []Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	for _, h := range holdings {
		pl := e.places[h.Adapter]
		switch {
		case pl == nil:
			p.addResident(now, e, h)
		case pl.state == Loading:
			pl.stated = true
		case h.Version >= pl.holding.Version:
			pl.reported = true
		}
	}
	for _, h := range pending {
		if pl := e.places[h.Adapter]; pl != nil && !pl.replacedBy(h) {
			pl.stated, pl.reported = true, false
			continue
		}
		p.addPending(now, e, h)
	}
}

// replacedBy reports whether a place is that of an older version, whose load is pending.
func (pl *place) replacedBy(h Holding) bool {
	return pl.state == Resident && pl.holding.Version < h.Version
}

// addResident adds a place for an adapter that the endpoint reports as held.
func (p *Placer) addResident(now time.Time, e *endpoint, h Holding) *place {
	pl := &place{usedAt: now, reported: true}
	e.places[h.Adapter] = pl
	p.markResident(now, e, pl, h)
	return pl
}

// addPending adds a place for an adapter that the endpoint reports as being loaded. It may replace an older version, whose answers may still arrive.
func (p *Placer) addPending(now time.Time, e *endpoint, h Holding) {
	switch old := e.places[h.Adapter]; {
	case old == nil:
	case old.replaces != nil:
		e.recordDropped(now, old.replaces.holding, p.options.CachedAdapters)
	case old.replacedBy(h):
		p.remove(now, e, h.Adapter)
	}
	p.startTransfer(e, &place{
		holding: h, state: Loading, changedAt: now, usedAt: now, ordered: true, readyAt: now.Add(p.options.FetchTime),
	})
}

// Reconcile replaces the recorded state of an endpoint by its exact state: the adapters that it holds and those that it
// is loading.
func (p *Placer) Reconcile(now time.Time, id string, holdings, pending []Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	exact, replaced := map[Adapter]Holding{}, map[Adapter]bool{}
	for _, h := range pending {
		replaced[h.Adapter] = true
	}
	for _, h := range holdings {
		exact[h.Adapter] = h
		if replaced[h.Adapter] {
			continue // a newer version takes its place
		}
		pl := e.places[h.Adapter]
		switch {
		case pl == nil:
			p.addResident(now, e, h)
		case pl.state == Loading && pl.holding.Version > h.Version:
			continue // the load of the newer version is queued
		case pl.state == Unknown || pl.state == Loading || pl.holding.Version < h.Version:
			p.markResident(now, e, pl, h)
		}
		pl = e.places[h.Adapter]
		if h.Version >= pl.holding.Version {
			pl.reported = true
		}
	}
	for _, h := range pending {
		exact[h.Adapter] = h
		if pl := e.places[h.Adapter]; pl == nil || pl.state == Unknown || pl.replacedBy(h) {
			p.addPending(now, e, h)
		} else {
			pl.reported = false
		}
	}
	for a, pl := range e.places {
		// A queued load has not been ordered yet, so the endpoint cannot list it.
		if _, there := exact[a]; !there && pl.state != Loading {
			p.remove(now, e, a)
		}
	}
}

// markResident makes a place resident and records the change in the journal.
func (p *Placer) markResident(now time.Time, e *endpoint, pl *place, h Holding) {
	if pl.state == Resident && p.current(pl.holding) {
		p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Removed: true})
	}
	pl.holding, pl.state, pl.changedAt, pl.readyAt, pl.ordered = h, Resident, now, time.Time{}, false
	if p.current(h) {
		p.journal.add(Event{Endpoint: e.ID, Holding: h})
	}
}

func (p *Placer) remove(now time.Time, e *endpoint, a Adapter) {
	pl := e.places[a]
	if pl == nil {
		return
	}
	if pl.state == Resident && p.current(pl.holding) {
		p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Removed: true})
	}
	delete(e.places, a)
	e.recordDropped(now, pl.holding, p.options.CachedAdapters)
}

func (e *endpoint) recordDropped(now time.Time, h Holding, limit int) {
	e.dropped[h.Adapter] = droppedAdapter{version: h.Version, at: now}
	if len(e.dropped) <= limit {
		return
	}
	var oldest Adapter
	at := now
	for a, was := range e.dropped {
		if was.at.Before(at) {
			oldest, at = a, was.at
		}
	}
	delete(e.dropped, oldest)
}

// RemoveEndpoint removes an endpoint and its places.
func (p *Placer) RemoveEndpoint(id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	for _, pl := range e.places {
		if pl.state == Resident && p.current(pl.holding) {
			p.journal.add(Event{Endpoint: id, Holding: pl.holding, Removed: true})
		}
	}
	delete(p.endpoints, id)
	at := p.position(id)
	p.ordered = slices.Delete(p.ordered, at, at+1)
}

// position returns the index in ordered at which an endpoint is or belongs.
func (p *Placer) position(id string) int {
	at, _ := slices.BinarySearchFunc(p.ordered, id, func(e *endpoint, id string) int { return strings.Compare(e.ID, id) })
	return at
}

// Endpoints returns the IDs of all endpoints in unspecified order.
func (p *Placer) Endpoints() (ids []string) {
	for id := range p.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// SetBacklog records how long an endpoint will take to read the prompts that wait there.
func (p *Placer) SetBacklog(id string, backlog time.Duration) {
	if e := p.endpoints[id]; e != nil {
		e.backlog = backlog
	}
}

// SetLoad records the share of an endpoint's request slots that is in use.
func (p *Placer) SetLoad(id string, load float64) {
	if e := p.endpoints[id]; e != nil {
		e.load = load
	}
}
