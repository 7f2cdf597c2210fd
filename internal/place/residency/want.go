package residency

import (
	"math"
	"slices"
	"time"

	"lycheevale/internal/base/locality"
)

// fetchesPerModelLoad is the number of concurrent adapter fetches at full speed per model load that the store allows each
// second. The users' data sheets state 48 fetches for stores with 27 and 32 loads a second, and 8 for 2.9 and 4.4.
const fetchesPerModelLoad = 1.55

// SetStore sets the speed of the weight store, in model loads a second. Options.FullSpeedFetches is the lower bound.
func (p *Placer) SetStore(loadsPerSecond float64) {
	p.fullSpeed = max(p.options.FullSpeedFetches, int(fetchesPerModelLoad*loadsPerSecond))
}

// maxFetches returns the limit of concurrent fetches. It is above the number that run at full speed, to cover the latency
// of the orders.
func (p *Placer) maxFetches() int {
	return p.fullSpeed * p.options.MaxFetches / p.options.FullSpeedFetches
}

// Choice is the endpoint that Want has chosen.
type Choice struct {
	Endpoint string
	Holding  Holding
	Order    bool      // the load has to be ordered
	ReadyAt  time.Time // when requests can be sent
}

// Want chooses the endpoint for requests for an adapter from a data centre: either an endpoint in any data centre that
// holds the adapter or is loading it, or one that has to load it, on which a place is reserved. It reports false if no
// endpoint has room. Endpoints in avoid have failed the request before; replicate asks for another copy even if an
// endpoint holds the adapter.
func (p *Placer) Want(now time.Time, a Adapter, dataCentre string, replicate bool, avoid ...string) (c Choice, ok bool) {
	var best *endpoint
	bestCost := math.Inf(1)
	running, waiting := p.countFetches()
	for _, e := range p.ordered {
		if slices.Contains(avoid, e.ID) {
			continue
		}
		if cost := p.cost(now, e, a, dataCentre, running, bestCost); cost < bestCost || (cost == bestCost && best != nil && e.ID < best.ID) {
			best, bestCost = e, cost
		}
	}
	if !replicate {
		if best != nil {
			bestCost += replicaCost + float64(best.backlog.Milliseconds())
		}
		if c, cost := p.cheapestHolder(now, a, dataCentre, avoid); cost <= bestCost && !math.IsInf(cost, 1) {
			p.hold(now, p.endpoints[c.Endpoint].places[a])
			return c, true
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return p.reserve(now, best, a, running, waiting)
}

// reserve adds a place for a load that has to be ordered, or reports false if the queue of fetches, of which some run, is too long.
func (p *Placer) reserve(now time.Time, e *endpoint, a Adapter, running, waiting int) (c Choice, ok bool) {
	h := Holding{Adapter: a, Version: p.versions[a]}
	took := p.transferTime(e, h, running)
	if !e.caches(h) {
		wait := p.queueTime(running + waiting)
		if wait > p.options.MaxWait {
			return Choice{}, false
		}
		took += wait
	}
	pl := &place{holding: h, state: Loading, replaces: e.places[a], changedAt: now, usedAt: now, uses: 1, readyAt: now.Add(took)}
	p.hold(now, pl)
	p.startTransfer(e, pl)
	return Choice{Endpoint: e.ID, Holding: h, Order: true, ReadyAt: now.Add(took)}, true
}

// cheapestHolder returns the endpoint, among those that hold or load the adapter, where its use costs least, and that cost.
func (p *Placer) cheapestHolder(now time.Time, a Adapter, dataCentre string, avoid []string) (c Choice, cost float64) {
	cost = math.Inf(1)
	for _, e := range p.ordered {
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
		here := float64(max(at.Sub(now), e.backlog).Milliseconds()) + loadCost*e.load*e.load
		here += p.distanceCost(e, dataCentre)
		if here < cost || (here == cost && e.ID < c.Endpoint) {
			c, cost = Choice{Endpoint: e.ID, Holding: pl.holding, ReadyAt: at}, here
		}
	}
	return c, cost
}

// Costs by which endpoints are compared, in milliseconds of a request's time.
const (
	nearCost   = 6.0   // two round trips between data centres of one region
	farCost    = 120.0 // the same between regions
	loadCost   = 400.0 // for an endpoint whose request slots are all in use
	victimCost = 30.0  // for each recent use of the adapter to evict
	// replicaCost is for a place and a fetch, if another endpoint holds the adapter. The time to read the prompts that wait counts twice
	// then: copies do not help where all endpoints are busy.
	replicaCost  = 250.0
	evictionCost = 60.0 // for the unload that precedes the load
	// replaceCost applies if the load of a newer version has to wait until requests on the older one have ended.
	replaceCost = 1500.0
)

// distanceCost returns the cost of the network latency for requests from a data centre to an endpoint.
func (p *Placer) distanceCost(e *endpoint, from string) float64 {
	switch p.options.Regions.Distance(e.DataCentre, from) {
	case locality.Same:
		return 0
	case locality.Near:
		return nearCost
	}
	return farCost
}

// cost returns the cost of loading an adapter at an endpoint for requests from a data centre. It is infinite if the endpoint cannot load the
// adapter, and may be if it exceeds limit.
func (p *Placer) cost(now time.Time, e *endpoint, a Adapter, dataCentre string, fetches int, limit float64) float64 {
	if !e.Accepting || e.Slots == 0 || now.Before(e.pausedUntil) {
		return math.Inf(1)
	}
	cost := loadCost*e.load*e.load + float64(e.backlog.Milliseconds()) + p.distanceCost(e, dataCentre)
	if cost > limit || !slices.Contains(e.Models, a.Model) {
		return math.Inf(1)
	}
	old := e.places[a]
	switch {
	case old == nil && len(e.places) >= e.Slots:
		return math.Inf(1)
	case old == nil:
	case old.state != Resident || p.current(old.holding):
		return math.Inf(1)
	case p.inUse(now, e, old):
		cost += replaceCost
	}
	if n := e.loading(); n >= p.options.MaxTransfers {
		cost += float64(p.options.FetchTime.Milliseconds()) * float64(n-p.options.MaxTransfers+1) / float64(p.options.MaxTransfers)
	}
	cost += float64(p.transferTime(e, Holding{Adapter: a, Version: p.versions[a]}, fetches).Milliseconds())
	if len(e.places) >= e.Slots-p.options.Spare && old == nil {
		cost += evictionCost
		if v := p.nextVictim(now, e); v != nil {
			cost += victimCost * min(p.recentUses(now, v), maxVictimUses)
		}
	}
	return cost
}

// loading returns the number of loads that run or are queued.
func (e *endpoint) loading() (n int) {
	for _, pl := range e.places {
		if pl.state == Loading {
			n++
		}
	}
	return n
}

// transferTime returns the expected time of a load in addition to the running ones. Fetches above the number at full speed
// share the bandwidth of the store.
func (p *Placer) transferTime(e *endpoint, h Holding, running int) time.Duration {
	if e.caches(h) {
		return p.options.CachedLoadTime
	}
	slowdown := max(float64(running+1)/float64(p.fullSpeed), 1)
	return time.Duration(float64(p.options.FetchTime) * slowdown)
}

// caches reports whether the endpoint is expected to have the adapter in its cache.
func (e *endpoint) caches(h Holding) bool {
	was, remembered := e.dropped[h.Adapter]
	return remembered && was.version >= h.Version
}

// transfer is a load that was decided. It ends when its place changes its state.
type transfer struct {
	endpoint *endpoint
	place    *place
}

func (t transfer) ended() bool {
	return t.place.state != Loading || t.endpoint.places[t.place.holding.Adapter] != t.place
}

// startTransfer adds a place for an adapter that is to be loaded.
func (p *Placer) startTransfer(e *endpoint, pl *place) {
	e.places[pl.holding.Adapter] = pl
	p.inflight = append(p.inflight, transfer{endpoint: e, place: pl})
}

// countFetches returns the number of running fetches from the store and of those that have not been ordered yet.
func (p *Placer) countFetches() (running, waiting int) {
	p.inflight = slices.DeleteFunc(p.inflight, transfer.ended)
	for _, t := range p.inflight {
		switch {
		case t.endpoint.caches(t.place.holding) || p.endpoints[t.endpoint.ID] != t.endpoint:
		case t.place.ordered:
			running++
		default:
			waiting++
		}
	}
	return running, waiting
}

// queueTime returns the expected time until another fetch can be ordered, behind those that run or wait.
func (p *Placer) queueTime(fetches int) time.Duration {
	ahead := max(fetches+1-p.maxFetches(), 0)
	return time.Duration(float64(p.options.FetchTime) * float64(ahead) / float64(p.fullSpeed))
}
