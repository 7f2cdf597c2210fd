// Package residency decides which endpoint holds which adapter. One instance, the leader, decides for all endpoints, so
// that places, transfers and rare adapters are seen together. It is pure: commands come out, results go in.
package residency

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Adapter names an adapter of a base model.
type Adapter struct {
	Model string `json:"Model"`
	Name  string `json:"Name"`
}

// Holding is an adapter at an endpoint.
type Holding struct {
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
}

// past is an adapter that an endpoint has held.
type past struct {
	version int
	at      time.Time // when it was dropped
}

// Options are the settings of a Placer.
type Options struct {
	FetchTime    time.Duration // of an adapter from the weight store, at full speed
	RecallTime   time.Duration // of an adapter that the endpoint remembers
	FullSpeed    int           // fetches at once, over all endpoints, that slow nobody down, from the smallest store
	Fetches      int           // fetches at once that are ordered from it: some more, for the way of the orders
	MaxWait      time.Duration // for a fetch to begin, above which a request for it is refused
	Spare        int           // places that are kept free ahead of demand
	Remembered   int           // adapters that an endpoint remembers
	Transits     int           // adapters on their way to one endpoint at most
	HeatHalfLife time.Duration
	BusyFor      time.Duration // after a report of use, until the next one is due
	ReportLag    time.Duration // age of an endpoint's announcement at most, but for late ones
}

// Defaults returns the settings for the engines of today's users.
func Defaults() Options {
	return Options{
		FetchTime: 250 * time.Millisecond, RecallTime: 25 * time.Millisecond, FullSpeed: 8, Fetches: 10, Spare: 2, Remembered: 150,
		Transits: 4, MaxWait: 1200 * time.Millisecond,
		HeatHalfLife: 8 * time.Second, BusyFor: 1200 * time.Millisecond, ReportLag: 2500 * time.Millisecond,
	}
}

// Placer is the table of all endpoints. It is not safe for concurrent use.
type Placer struct {
	options   Options
	endpoints map[string]*endpoint
	versions  map[Adapter]int
	journal   journal
	fullSpeed int // fetches at once, over all endpoints, that slow nobody down
}

// New returns a placer without endpoints.
func New(o Options) *Placer {
	return &Placer{options: o, endpoints: map[string]*endpoint{}, versions: map[Adapter]int{}, journal: newJournal(), fullSpeed: o.FullSpeed}
}

// fetchesForLoad is the number of adapter fetches at full speed for each load of a model that the store allows a second; the
// users' sheets state 48 at 27 and 32 loads, and 8 at 2.9 and 4.4.
const fetchesForLoad = 1.55

// SetStore sets the speed of the weight store, in loads of models a second. The settings of the placer are the least.
func (p *Placer) SetStore(loadsPerSecond float64) {
	p.fullSpeed = max(p.options.FullSpeed, int(fetchesForLoad*loadsPerSecond))
}

// ordered fetches at once: some more than leave each its speed, for the way of the orders.
func (p *Placer) mostFetches() int {
	return p.fullSpeed * p.options.Fetches / p.options.FullSpeed
}

// SetVersion makes a version of an adapter the only one that requests may run on.
func (p *Placer) SetVersion(a Adapter, version int) {
	if version <= p.versions[a] {
		return
	}
	p.versions[a] = version
	for _, e := range p.endpoints {
		if pl := e.places[a]; pl != nil && pl.state == Resident && !p.current(pl.holding) {
			p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Gone: true})
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
		left := now.Sub(e.seen[h.Adapter].at) < p.options.ReportLag
		switch {
		case pl == nil && !left:
			pl = &place{usedAt: now, stated: true}
			e.places[h.Adapter] = pl
			p.settle(now, e, pl, h)
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

// Absorb adds what an endpoint has told of its state, and frees nothing: orders that it has not accepted yet may be on
// their way.
func (p *Placer) Absorb(now time.Time, id string, holdings, pending []Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	for _, h := range holdings {
		pl := e.places[h.Adapter]
		if pl == nil {
			pl = &place{usedAt: now}
			e.places[h.Adapter] = pl
			p.settle(now, e, pl, h)
		}
		pl.stated = true
	}
	for _, h := range pending {
		if e.places[h.Adapter] == nil {
			e.places[h.Adapter] = &place{
				holding: h, state: Loading, changedAt: now, usedAt: now, ordered: true, readyAt: now.Add(p.options.FetchTime),
			}
		}
	}
}

// Overfull tells whether an endpoint has more adapters, present and awaited, than places.
func (p *Placer) Overfull(id string) bool {
	e := p.endpoints[id]
	return e != nil && len(e.places) > e.Slots
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
			pl = &place{usedAt: now, stated: true}
			e.places[h.Adapter] = pl
			p.settle(now, e, pl, h)
		case pl.state == Unknown || pl.state == Loading || pl.holding.Version < h.Version:
			p.settle(now, e, pl, h)
		}
	}
	for _, h := range pending {
		exact[h.Adapter] = h
		if pl := e.places[h.Adapter]; pl == nil || pl.state == Unknown {
			e.places[h.Adapter] = &place{
				holding: h, state: Loading, changedAt: now, usedAt: now, ordered: true, readyAt: now.Add(p.options.FetchTime),
			}
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
		p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Gone: true})
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
		p.journal.add(Event{Endpoint: e.ID, Holding: pl.holding, Gone: true})
	}
	delete(e.places, a)
	e.remember(now, pl.holding, p.options.Remembered)
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
			p.journal.add(Event{Endpoint: id, Holding: pl.holding, Gone: true})
		}
	}
	delete(p.endpoints, id)
}

// SetLoad records the share of an endpoint's request slots that is in use.
func (p *Placer) SetLoad(id string, load float64) {
	if e := p.endpoints[id]; e != nil {
		e.load = load
	}
}

// Use is what an entry reports of an adapter at an endpoint.
type Use struct {
	Endpoint string  `json:"Endpoint"`
	Adapter  Adapter `json:"Adapter"`
	Count    int     `json:"Count,omitempty"`  // requests since the last report
	Active   int     `json:"Active,omitempty"` // requests that run
}

// Used records use.
func (p *Placer) Used(now time.Time, u Use) {
	e := p.endpoints[u.Endpoint]
	if e == nil || e.places[u.Adapter] == nil {
		return
	}
	pl := e.places[u.Adapter]
	if u.Count > 0 {
		pl.heat = p.heat(now, pl) + float64(u.Count)
		pl.usedAt = now
	}
	if u.Active > 0 {
		pl.busyUntil = now.Add(p.options.BusyFor)
	}
}

func (p *Placer) heat(now time.Time, pl *place) float64 {
	return pl.heat * math.Exp2(-float64(now.Sub(pl.usedAt))/float64(p.options.HeatHalfLife))
}

// Choice answers Want.
type Choice struct {
	Endpoint string
	Holding  Holding
	Order    bool      // the load has to be ordered
	ReadyAt  time.Time // when requests can be sent
}

// Want chooses the endpoint for requests for an adapter from a data centre: one that holds it or gets it soon, wherever it
// is, or one that is to load it, whose place is reserved. It reports false if no endpoint has room. Endpoints to avoid have
// failed the request before; to replicate asks for another copy in any case.
func (p *Placer) Want(now time.Time, a Adapter, dataCentre string, replicate bool, avoid ...string) (c Choice, ok bool) {
	var best *endpoint
	bestCost := math.Inf(1)
	for _, e := range p.endpoints {
		if slices.Contains(avoid, e.ID) {
			continue
		}
		if cost := p.cost(now, e, a, dataCentre); cost < bestCost || (cost == bestCost && best != nil && e.ID < best.ID) {
			best, bestCost = e, cost
		}
	}
	if !replicate {
		if c, cost := p.present(now, a, dataCentre, avoid); cost <= bestCost && !math.IsInf(cost, 1) {
			return c, true
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.reserve(now, best, a)
}

// reserve takes a place for a load.
func (p *Placer) reserve(now time.Time, e *endpoint, a Adapter) (c Choice, ok bool) {
	h := Holding{Adapter: a, Version: p.versions[a]}
	took := p.transferTime(e, h)
	if !e.remembers(h) {
		wait := p.queueTime()
		if wait > p.options.MaxWait {
			return Choice{}, false
		}
		took += wait
	}
	e.places[a] = &place{holding: h, state: Loading, changedAt: now, usedAt: now, heat: 1, readyAt: now.Add(took)}
	return Choice{Endpoint: e.ID, Holding: h, Order: true, ReadyAt: now.Add(took)}, true
}

// present finds the adapter where it is, or will be soonest, and what it costs to use it there.
func (p *Placer) present(now time.Time, a Adapter, dataCentre string, avoid []string) (c Choice, cost float64) {
	cost = math.Inf(1)
	for _, e := range p.endpoints {
		pl := e.places[a]
		if pl == nil || !e.Accepting || !p.current(pl.holding) || slices.Contains(avoid, e.ID) {
			continue
		}
		if pl.state != Resident && pl.state != Loading {
			continue
		}
		at := now
		if pl.readyAt.After(now) {
			at = pl.readyAt
		}
		here := float64(at.Sub(now).Milliseconds()) + fullCost*e.load*e.load
		if e.DataCentre != dataCentre {
			here += remoteCost
		}
		if here < cost || (here == cost && e.ID < c.Endpoint) {
			c, cost = Choice{Endpoint: e.ID, Holding: pl.holding, ReadyAt: at}, here
		}
	}
	return c, cost
}

// Costs of a place in milliseconds of a request's time, by which endpoints are compared.
const (
	remoteCost = 120.0 // there and back twice between regions
	fullCost   = 400.0 // of an endpoint whose slots are all in use
	victimCost = 30.0  // for each recent use of the adapter that makes way
	swapCost   = 60.0  // of the order that makes room
	// replaceCost is that of a newer version that waits for requests on the older one to end.
	replaceCost = 1500.0
)

func (p *Placer) cost(now time.Time, e *endpoint, a Adapter, dataCentre string) float64 {
	if !e.Accepting || e.Slots == 0 || !slices.Contains(e.Models, a.Model) || now.Before(e.hold) {
		return math.Inf(1)
	}
	cost := fullCost * e.load * e.load
	old := e.places[a]
	switch {
	case old == nil:
	case old.state != Resident || p.current(old.holding):
		return math.Inf(1)
	case now.Before(old.busyUntil):
		cost += replaceCost
	}
	if e.DataCentre != dataCentre {
		cost += remoteCost
	}
	if n := e.loading(); n >= p.options.Transits {
		cost += float64(p.options.FetchTime.Milliseconds()) * float64(n-p.options.Transits+1) / float64(p.options.Transits)
	}
	cost += float64(p.transferTime(e, Holding{Adapter: a, Version: p.versions[a]}).Milliseconds())
	if len(e.places) >= e.Slots && old == nil {
		return math.Inf(1)
	}
	if len(e.places) >= e.Slots-p.options.Spare && old == nil {
		cost += swapCost
		if v := p.victim(now, e); v != nil {
			cost += victimCost * min(p.heat(now, v), maxVictimHeat)
		}
	}
	return cost
}

// loading returns the number of adapters that are on their way or wait for it.
func (e *endpoint) loading() (n int) {
	for _, pl := range e.places {
		if pl.state == Loading {
			n++
		}
	}
	return n
}

// maxVictimHeat keeps one very popular adapter from deciding alone.
const maxVictimHeat = 10.0

// transferTime is the expected time of a load; fetches beyond full speed share the store.
func (p *Placer) transferTime(e *endpoint, h Holding) time.Duration {
	if e.remembers(h) {
		return p.options.RecallTime
	}
	running, _ := p.fetches()
	slowdown := max(float64(running+1)/float64(p.fullSpeed), 1)
	return time.Duration(float64(p.options.FetchTime) * slowdown)
}

func (e *endpoint) remembers(h Holding) bool {
	was, remembered := e.seen[h.Adapter]
	return remembered && was.version >= h.Version
}

// fetches returns the adapters on their way from the store, and those that wait to be ordered.
func (p *Placer) fetches() (running, waiting int) {
	for _, e := range p.endpoints {
		for _, pl := range e.places {
			switch {
			case pl.state != Loading || e.remembers(pl.holding):
			case pl.ordered:
				running++
			default:
				waiting++
			}
		}
	}
	return running, waiting
}

// queueTime is the expected time until a further fetch can be ordered.
func (p *Placer) queueTime() time.Duration {
	running, waiting := p.fetches()
	ahead := max(running+waiting+1-p.mostFetches(), 0)
	return time.Duration(float64(p.options.FetchTime) * float64(ahead) / float64(p.fullSpeed))
}

// victim is the place that makes way next: one with an old version, or else the one with the least recent use. Places
// in use are never chosen, nor those that the endpoint has not stated: their load may still run, and an unload would be
// answered as if nothing were there.
func (p *Placer) victim(now time.Time, e *endpoint) *place {
	var worst *place
	score := func(pl *place) float64 {
		if !p.current(pl.holding) {
			return -1
		}
		return p.heat(now, pl)
	}
	for _, pl := range e.places {
		if pl.state != Resident || !pl.stated || now.Before(pl.busyUntil) || now.Sub(pl.changedAt) < minResidence {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(score(pl), score(worst)), pl.usedAt.Compare(worst.usedAt)) < 0 {
			worst = pl
		}
	}
	return worst
}

// minResidence gives the requests that asked for an adapter time to arrive before it may make way.
const minResidence = 1500 * time.Millisecond

// Yields tells whether a place may become free soon, so that a request that found none is worth holding for a moment.
func (p *Placer) Yields(now time.Time) bool {
	if p.queueTime() > p.options.MaxWait {
		return false
	}
	for _, e := range p.endpoints {
		if !e.Accepting || e.Slots == 0 {
			continue
		}
		for _, pl := range e.places {
			if pl.state == Leaving {
				return true
			}
		}
		if p.victim(now, e) != nil {
			return true
		}
	}
	return false
}

// Unload is an order to drop an adapter.
type Unload struct {
	Endpoint string
	Holding  Holding
}

// MakeRoom returns the unloads that keep places free ahead of demand, and marks them as leaving.
func (p *Placer) MakeRoom(now time.Time) (list []Unload) {
	for _, e := range p.endpoints {
		if !e.Accepting || e.Slots == 0 || now.Before(e.hold) {
			continue
		}
		leaving := 0
		for _, pl := range e.places {
			if pl.state == Leaving || pl.state == Unknown {
				leaving++
			}
		}
		for need := len(e.places) - leaving - (e.Slots - p.options.Spare); need > 0; need-- {
			v := p.victim(now, e)
			if v == nil {
				break
			}
			if p.current(v.holding) {
				p.journal.add(Event{Endpoint: e.ID, Holding: v.holding, Gone: true})
			}
			v.state, v.changedAt = Leaving, now
			list = append(list, Unload{Endpoint: e.ID, Holding: v.holding})
		}
	}
	return list
}

// Loaded records an accepted load; the transfer begins now.
func (p *Placer) Loaded(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil || e.places[a].state != Loading {
		return
	}
	e.failures = 0
	e.places[a].ordered = true
	e.places[a].readyAt = now.Add(p.transferTime(e, e.places[a].holding))
}

// InTransit tells whether a load has to wait: as many adapters are on their way to the endpoint as it takes at once, or
// from the store as leave each its speed.
func (p *Placer) InTransit(id string, a Adapter) bool {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return false
	}
	n := 0
	for _, pl := range e.places {
		if pl.state == Loading && pl.ordered {
			n++
		}
	}
	running, _ := p.fetches()
	return n >= p.options.Transits || (!e.remembers(e.places[a].holding) && running >= p.mostFetches())
}

// Unsettled tells whether an endpoint has to be asked for its exact state: an order was accepted or not answered, and its
// end has not been seen for a while.
func (p *Placer) Unsettled(now time.Time, id string) bool {
	e := p.endpoints[id]
	if e == nil {
		return false
	}
	for _, pl := range e.places {
		if (pl.state == Unknown || (pl.state == Leaving && pl.ordered)) && now.Sub(pl.changedAt) > settleTime {
			return true
		}
	}
	return false
}

// settleTime is about the time in which a request that keeps an adapter ends, and longer than the lag of a report.
const settleTime = time.Second

// ReadyAt returns when a load is expected to end; false if none runs.
func (p *Placer) ReadyAt(id string, a Adapter) (at time.Time, ok bool) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil || e.places[a].readyAt.IsZero() {
		return at, false
	}
	return e.places[a].readyAt, true
}

// Missing records that an endpoint does not hold an adapter that was taken for resident. The place counts as taken until
// the endpoint's exact state is known. It reports whether that has to be asked for.
func (p *Placer) Missing(now time.Time, id string, a Adapter) bool {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return false
	}
	pl := e.places[a]
	if pl.state != Resident || now.Sub(pl.changedAt) <= missingGrace {
		return false
	}
	if p.current(pl.holding) {
		p.journal.add(Event{Endpoint: id, Holding: pl.holding, Gone: true})
	}
	pl.state, pl.changedAt = Unknown, now
	return true
}

// missingGrace is how late a load may be beyond its expected time.
const missingGrace = 400 * time.Millisecond

// Unloaded records an unload that was accepted. The place is free at once if no request used the adapter, and otherwise
// when the endpoint's exact state shows it.
func (p *Placer) Unloaded(now time.Time, id string, a Adapter, done bool) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return
	}
	if done {
		p.drop(now, e, a)
		return
	}
	e.places[a].ordered, e.places[a].changedAt = true, now
}

// Refused records an order that was not carried out: a load leaves no place, an unload leaves it as it was.
func (p *Placer) Refused(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return
	}
	pl := e.places[a]
	if pl.state == Leaving {
		p.settle(now, e, pl, pl.holding)
	} else {
		delete(e.places, a)
	}
	p.pause(now, e)
}

// Unanswered records an order without an answer. The place counts as taken until the endpoint has stated what it holds.
func (p *Placer) Unanswered(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return
	}
	pl := e.places[a]
	pl.state, pl.changedAt, pl.readyAt, pl.ordered = Unknown, now, time.Time{}, false
	p.pause(now, e)
}

// pauseStep is the pause of loads after the first failed order, doubled by each further one up to maxPause.
const (
	pauseStep = 100 * time.Millisecond
	maxPause  = 2 * time.Second
)

func (p *Placer) pause(now time.Time, e *endpoint) {
	e.hold = now.Add(min(pauseStep<<min(e.failures, 8), maxPause))
	e.failures++
}

// Tick makes loads resident whose time has come.
func (p *Placer) Tick(now time.Time) {
	for _, e := range p.endpoints {
		for _, pl := range e.places {
			if pl.state == Loading && pl.ordered && !pl.readyAt.After(now) {
				p.settle(now, e, pl, pl.holding)
			}
		}
	}
}

// Summary counts the places of all endpoints that accept work.
type Summary struct {
	Endpoints int
	Free      int
	Resident  int
	InUse     int // of the resident ones, those in use or too young to make way
	Loading   int
	Leaving   int
	Unknown   int
	Paused    int // endpoints that get no loads for a moment, after a failed order
}

// Summary returns the counts at a moment.
func (p *Placer) Summary(now time.Time) (s Summary) {
	for _, e := range p.endpoints {
		if !e.Accepting || e.Slots == 0 {
			continue
		}
		s.Endpoints++
		s.Free += max(e.Slots-len(e.places), 0)
		if now.Before(e.hold) {
			s.Paused++
		}
		for _, pl := range e.places {
			switch pl.state {
			case Resident:
				s.Resident++
				if now.Before(pl.busyUntil) || now.Sub(pl.changedAt) < minResidence {
					s.InUse++
				}
			case Loading:
				s.Loading++
			case Leaving:
				s.Leaving++
			case Unknown:
				s.Unknown++
			}
		}
	}
	return s
}
