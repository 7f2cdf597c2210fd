package residency

import (
	"time"
)

// OverCapacity reports whether an endpoint has more adapters than slots, counting those that are still loading.
func (p *Placer) OverCapacity(id string) bool {
	e := p.endpoints[id]
	return e != nil && len(e.places) > e.Slots
}

// LoadAccepted records that an endpoint has accepted a load, whose transfer begins now.
func (p *Placer) LoadAccepted(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil || e.places[a].state != Loading {
		return
	}
	e.failures = 0
	running, _ := p.countFetches()
	e.places[a].ordered = true
	e.places[a].readyAt = now.Add(p.transferTime(e, e.places[a].holding, running))
}

// LoadMustWait reports whether a load has to wait because the endpoint or the store is at its limit of concurrent transfers.
func (p *Placer) LoadMustWait(id string, a Adapter) bool {
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
	running, _ := p.countFetches()
	return n >= p.options.MaxTransfers || (!e.caches(e.places[a].holding) && running >= p.maxFetches())
}

// NeedsReconcile reports whether the caller has to query an endpoint's exact state, because an unload was accepted or an
// order was not answered, and no result has been recorded for longer than reconcileAfter.
func (p *Placer) NeedsReconcile(now time.Time, id string) bool {
	e := p.endpoints[id]
	if e == nil {
		return false
	}
	for _, pl := range e.places {
		if (pl.state == Unknown || (pl.state == Leaving && pl.ordered)) && now.Sub(pl.changedAt) > reconcileAfter {
			return true
		}
	}
	return false
}

// reconcileAfter is roughly the time that a request using an adapter needs to finish, and is longer than the delay of a report.
const reconcileAfter = time.Second

// ReadyAt returns the time when a load is expected to end, or false if there is none.
func (p *Placer) ReadyAt(id string, a Adapter) (at time.Time, ok bool) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil || e.places[a].readyAt.IsZero() {
		return at, false
	}
	return e.places[a].readyAt, true
}

// RecordMissing records that an endpoint does not hold an adapter that was recorded as resident. The place counts as
// taken until Reconcile. It reports whether the caller has to query the endpoint's exact state.
func (p *Placer) RecordMissing(now time.Time, id string, a Adapter) bool {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return false
	}
	pl := e.places[a]
	if pl.state != Resident || now.Sub(pl.changedAt) <= missingGrace {
		return false
	}
	if p.current(pl.holding) {
		p.journal.add(Event{Endpoint: id, Holding: pl.holding, Removed: true})
	}
	pl.state, pl.changedAt = Unknown, now
	return true
}

// missingGrace is the time by which a load may exceed its expected duration.
const missingGrace = 400 * time.Millisecond

// UnloadAccepted records that an endpoint has accepted an unload. If it is done, because no request used the adapter, the
// place is free; otherwise Reconcile frees it.
func (p *Placer) UnloadAccepted(now time.Time, id string, a Adapter, done bool) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return
	}
	if done {
		p.remove(now, e, a)
		return
	}
	e.places[a].ordered, e.places[a].changedAt = true, now
}

// OrderRefused records an order that was not executed. A load frees its place; an unload leaves its adapter resident.
func (p *Placer) OrderRefused(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return
	}
	pl := e.places[a]
	if pl.state == Leaving {
		p.markResident(now, e, pl, pl.holding)
	} else {
		delete(e.places, a)
	}
	p.pause(now, e)
}

// OrderUnanswered records an order without an answer. The place counts as taken until the endpoint has reported its state.
func (p *Placer) OrderUnanswered(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil {
		return
	}
	pl := e.places[a]
	pl.state, pl.changedAt, pl.readyAt, pl.ordered = Unknown, now, time.Time{}, false
	p.pause(now, e)
}

// pauseStep is how long loads pause after the first failed order. Each further failure doubles it, up to maxPause.
const (
	pauseStep = 100 * time.Millisecond
	maxPause  = 2 * time.Second
)

func (p *Placer) pause(now time.Time, e *endpoint) {
	e.pausedUntil = now.Add(min(pauseStep<<min(e.failures, 8), maxPause))
	e.failures++
}

// Tick marks the loads as resident whose expected end has passed.
func (p *Placer) Tick(now time.Time) {
	for _, t := range p.inflight {
		if !t.ended() && p.endpoints[t.endpoint.ID] == t.endpoint && t.place.ordered && !t.place.readyAt.After(now) {
			p.markResident(now, t.endpoint, t.place, t.place.holding)
		}
	}
}
