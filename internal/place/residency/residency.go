// Package residency decides which endpoint holds which adapter. One instance, the leader, decides for all endpoints, so
// that places, transfers and rare adapters are seen together. It is pure: commands come out, results go in.
package residency

import (
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

// Endpoint is what an engine states about itself.
type Endpoint struct {
	ID         string
	Service    string
	DataCentre string
	Models     []string
	Slots      int // places for adapters
	Accepting  bool
	Holdings   []Holding
}

// State of an adapter at an endpoint.
type State string

// States of a place. Unknown follows an order without an answer, which may still be carried out.
const (
	Loading  State = "Loading"
	Resident State = "Resident"
	Leaving  State = "Leaving"
	Unknown  State = "Unknown"
)

type place struct {
	holding   Holding
	state     State
	readyAt   time.Time // when a load is expected to end
	ordered   bool      // the order of the present state was accepted
	stated    bool      // the endpoint has stated that it holds the adapter
	changedAt time.Time
	busyUntil time.Time
	usedAt    time.Time
	heat      float64 // recent uses, decayed to usedAt
}

type endpoint struct {
	Endpoint
	places   map[Adapter]*place
	load     float64          // share of its request slots in use
	seen     map[Adapter]past // what it has held
	hold     time.Time        // no new loads before
	failures int
	next     *place    // that makes way next, as of nextAt
	nextAt   time.Time // zero if it has to be found anew
}

// past is an adapter that an endpoint has held.
type past struct {
	version int
	at      time.Time // when it was dropped
}

// Options are the settings of a Placer.
type Options struct {
	FetchTime          time.Duration // of an adapter from the weight store, at full speed
	CachedLoadTime     time.Duration // of an adapter that the endpoint remembers
	FullSpeedFetches   int           // fetches at once, over all endpoints, that slow nobody down, from the smallest store
	MaxFetches         int           // fetches at once that are ordered from it: some more, for the way of the orders
	MaxWait            time.Duration // for a fetch to begin, above which a request for it is refused
	Spare              int           // places that are kept free ahead of demand
	CachedAdapters     int           // adapters that an endpoint remembers
	MaxTransfers       int           // adapters on their way to one endpoint at most
	UseHalfLife        time.Duration
	BusyFor            time.Duration // after a report of use, until the next one is due
	MaxAnnouncementAge time.Duration // age of an endpoint's announcement at most, but for late ones
	Regions            locality.Regions
}

// Defaults returns the settings for the engines of today's users.
func Defaults() Options {
	return Options{
		FetchTime: 250 * time.Millisecond, CachedLoadTime: 25 * time.Millisecond, FullSpeedFetches: 8, MaxFetches: 10, Spare: 2, CachedAdapters: 150,
		MaxTransfers: 4, MaxWait: 1200 * time.Millisecond,
		UseHalfLife: 8 * time.Second, BusyFor: 1200 * time.Millisecond, MaxAnnouncementAge: 2500 * time.Millisecond,
	}
}

// Placer is the table of all endpoints. It is not safe for concurrent use.
type Placer struct {
	options   Options
	endpoints map[string]*endpoint
	versions  map[Adapter]int
	journal   journal
	inflight  []transfer
	fullSpeed int // fetches at once, over all endpoints, that slow nobody down
}

// New returns a placer without endpoints.
func New(o Options) *Placer {
	return &Placer{options: o, endpoints: map[string]*endpoint{}, versions: map[Adapter]int{}, journal: newJournal(), fullSpeed: o.FullSpeedFetches}
}

// SetVersion makes a version of an adapter the only one that requests may run on.
func (p *Placer) SetVersion(a Adapter, version int) {
	if version <= p.versions[a] {
		return
	}
	p.versions[a] = version
	for _, e := range p.endpoints {
		if pl := e.places[a]; pl != nil && pl.state == Resident && !p.current(pl.holding) {
			p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Removed: true})
		}
	}
}

func (p *Placer) current(h Holding) bool { return h.Version >= p.versions[h.Adapter] }

// SetEndpoint records an announcement of an endpoint. It may be seconds old and leaves out what is on its way, so that it
// adds places and never frees one.
func (p *Placer) SetEndpoint(now time.Time, s Endpoint) {
	e := p.endpoints[s.ID]
	if e == nil {
		e = &endpoint{places: map[Adapter]*place{}, seen: map[Adapter]past{}}
		p.endpoints[s.ID] = e
	}
	e.Endpoint = s
	for _, h := range s.Holdings {
		pl := e.places[h.Adapter]
		left := now.Sub(e.seen[h.Adapter].at) < p.options.MaxAnnouncementAge
		switch {
		case pl == nil && !left:
			pl = p.discover(now, e, h)
		case pl != nil && pl.state == Resident && pl.holding.Version < h.Version:
			p.settle(now, e, pl, h)
		}
		if pl != nil && pl.state == Resident && now.Sub(pl.changedAt) > statedAfter {
			pl.stated = true
		}
	}
}

// statedAfter is the time from which on an announcement that names an adapter is younger than its load.
const statedAfter = time.Second

// AddState adds what an endpoint has told of its state, and frees nothing: orders that it has not accepted yet may be on
// their way.
func (p *Placer) AddState(now time.Time, id string, holdings, pending []Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	for _, h := range holdings {
		pl := e.places[h.Adapter]
		if pl == nil {
			pl = p.discover(now, e, h)
		}
		pl.stated = true
	}
	for _, h := range pending {
		if e.places[h.Adapter] == nil {
			p.loadPending(now, e, h)
		}
	}
}

// discover takes a place for an adapter that the endpoint states to hold.
func (p *Placer) discover(now time.Time, e *endpoint, h Holding) *place {
	pl := &place{usedAt: now, stated: true}
	e.places[h.Adapter] = pl
	p.settle(now, e, pl, h)
	return pl
}

// loadPending takes a place for an adapter that the endpoint states to be on its way.
func (p *Placer) loadPending(now time.Time, e *endpoint, h Holding) {
	p.load(e, &place{
		holding: h, state: Loading, changedAt: now, usedAt: now, ordered: true, readyAt: now.Add(p.options.FetchTime),
	})
}

// Reconcile replaces what is believed of an endpoint by its exact state: what it holds, and what is on its way to it.
func (p *Placer) Reconcile(now time.Time, id string, holdings, pending []Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	exact := map[Adapter]Holding{}
	for _, h := range holdings {
		exact[h.Adapter] = h
		pl := e.places[h.Adapter]
		switch {
		case pl == nil:
			p.discover(now, e, h)
		case pl.state == Unknown || pl.state == Loading || pl.holding.Version < h.Version:
			p.settle(now, e, pl, h)
		}
	}
	for _, h := range pending {
		exact[h.Adapter] = h
		if pl := e.places[h.Adapter]; pl == nil || pl.state == Unknown {
			p.loadPending(now, e, h)
		}
	}
	for a, pl := range e.places {
		// A load that waits for its turn has been neither ordered nor carried out.
		if _, there := exact[a]; !there && pl.state != Loading {
			p.drop(now, e, a)
		}
	}
}

// settle makes a place resident.
func (p *Placer) settle(now time.Time, e *endpoint, pl *place, h Holding) {
	if pl.state == Resident && p.current(pl.holding) {
		p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Removed: true})
	}
	pl.holding, pl.state, pl.changedAt, pl.readyAt, pl.ordered = h, Resident, now, time.Time{}, false
	if p.current(h) {
		p.journal.add(Event{Endpoint: e.ID, Holding: h})
	}
}

func (p *Placer) drop(now time.Time, e *endpoint, a Adapter) {
	pl := e.places[a]
	if pl == nil {
		return
	}
	if pl.state == Resident && p.current(pl.holding) {
		p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Removed: true})
	}
	delete(e.places, a)
	e.remember(now, pl.holding, p.options.CachedAdapters)
}

func (e *endpoint) remember(now time.Time, h Holding, most int) {
	e.seen[h.Adapter] = past{version: h.Version, at: now}
	if len(e.seen) <= most {
		return
	}
	var oldest Adapter
	at := now
	for a, was := range e.seen {
		if was.at.Before(at) {
			oldest, at = a, was.at
		}
	}
	delete(e.seen, oldest)
}

// RemoveEndpoint forgets an endpoint.
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
}

// Endpoints returns the identities of all endpoints, in no order.
func (p *Placer) Endpoints() (ids []string) {
	for id := range p.endpoints {
		ids = append(ids, id)
	}
	return ids
}

// SetLoad records the share of an endpoint's request slots that is in use.
func (p *Placer) SetLoad(id string, load float64) {
	if e := p.endpoints[id]; e != nil {
		e.load = load
	}
}
