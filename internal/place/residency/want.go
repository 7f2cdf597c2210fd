package residency

import (
	"math"
	"slices"
	"time"

	"lycheevale/internal/base/locality"
)

// fetchesForLoad is the number of adapter fetches at full speed for each load of a model that the store allows a second; the
// users' sheets state 48 at 27 and 32 loads, and 8 at 2.9 and 4.4.
const fetchesForLoad = 1.55

// SetStore sets the speed of the weight store, in loads of models a second. The settings of the placer are the least.
func (p *Placer) SetStore(loadsPerSecond float64) {
	p.fullSpeed = max(p.options.FullSpeedFetches, int(fetchesForLoad*loadsPerSecond))
}

// mostFetches is the number of fetches that are ordered at once: some more than leave each its speed, for the way of the
// orders.
func (p *Placer) mostFetches() int {
	return p.fullSpeed * p.options.MaxFetches / p.options.FullSpeedFetches
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
	running, _ := p.fetches()
	for _, e := range p.endpoints {
		if slices.Contains(avoid, e.ID) {
			continue
		}
		if cost := p.cost(now, e, a, dataCentre, running); cost < bestCost || (cost == bestCost && best != nil && e.ID < best.ID) {
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
	running, _ := p.fetches()
	took := p.transferTime(e, h, running)
	if !e.remembers(h) {
		wait := p.queueTime()
		if wait > p.options.MaxWait {
			return Choice{}, false
		}
		took += wait
	}
	p.load(e, &place{holding: h, state: Loading, changedAt: now, usedAt: now, heat: 1, readyAt: now.Add(took)})
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
		here += p.distanceCost(e, dataCentre)
		if here < cost || (here == cost && e.ID < c.Endpoint) {
			c, cost = Choice{Endpoint: e.ID, Holding: pl.holding, ReadyAt: at}, here
		}
	}
	return c, cost
}

// Costs of a place in milliseconds of a request's time, by which endpoints are compared.
const (
	nearCost   = 6.0   // there and back twice between data centres of one region
	farCost    = 120.0 // the same between regions
	fullCost   = 400.0 // of an endpoint whose slots are all in use
	victimCost = 30.0  // for each recent use of the adapter that makes way
	swapCost   = 60.0  // of the order that makes room
	// replaceCost is that of a newer version that waits for requests on the older one to end.
	replaceCost = 1500.0
)

// distanceCost is that of requests from a data centre at an endpoint.
func (p *Placer) distanceCost(e *endpoint, from string) float64 {
	switch p.options.Regions.Distance(e.DataCentre, from) {
	case locality.Same:
		return 0
	case locality.Near:
		return nearCost
	}
	return farCost
}

func (p *Placer) cost(now time.Time, e *endpoint, a Adapter, dataCentre string, fetches int) float64 {
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
	cost += p.distanceCost(e, dataCentre)
	if n := e.loading(); n >= p.options.MaxTransfers {
		cost += float64(p.options.FetchTime.Milliseconds()) * float64(n-p.options.MaxTransfers+1) / float64(p.options.MaxTransfers)
	}
	cost += float64(p.transferTime(e, Holding{Adapter: a, Version: p.versions[a]}, fetches).Milliseconds())
	if len(e.places) >= e.Slots && old == nil {
		return math.Inf(1)
	}
	if len(e.places) >= e.Slots-p.options.Spare && old == nil {
		cost += swapCost
		if v := p.nextVictim(now, e); v != nil {
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

// transferTime is the expected time of a load beside those that run; fetches beyond full speed share the store.
func (p *Placer) transferTime(e *endpoint, h Holding, running int) time.Duration {
	if e.remembers(h) {
		return p.options.CachedLoadTime
	}
	slowdown := max(float64(running+1)/float64(p.fullSpeed), 1)
	return time.Duration(float64(p.options.FetchTime) * slowdown)
}

func (e *endpoint) remembers(h Holding) bool {
	was, remembered := e.seen[h.Adapter]
	return remembered && was.version >= h.Version
}

// transfer is a load that has been decided; it is over once the place is in another state.
type transfer struct {
	to    *endpoint
	place *place
}

func (t transfer) over() bool {
	return t.place.state != Loading || t.to.places[t.place.holding.Adapter] != t.place
}

// load takes a place for an adapter that is on its way.
func (p *Placer) load(e *endpoint, pl *place) {
	e.places[pl.holding.Adapter] = pl
	p.inflight = append(p.inflight, transfer{to: e, place: pl})
}

// fetches returns the adapters on their way from the store, and those that wait to be ordered.
func (p *Placer) fetches() (running, waiting int) {
	p.inflight = slices.DeleteFunc(p.inflight, transfer.over)
	for _, t := range p.inflight {
		switch {
		case t.to.remembers(t.place.holding) || p.endpoints[t.to.ID] != t.to:
		case t.place.ordered:
			running++
		default:
			waiting++
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
