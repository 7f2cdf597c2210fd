package residency

import (
	"time"
)

// MayLoad reports whether an endpoint has a place for a load, counting the adapters that are still loading. Endpoints fail if they are
// ordered to load more than they hold.
func (p *Placer) MayLoad(id string, a Adapter) bool {
	e := p.endpoints[id]
	if e == nil {
		return false
	}
	taken := len(e.places)
	if e.places[a] == nil {
		taken++ // the place was removed while the order was queued
	}
	return taken <= e.Slots
}

// LoadAccepted records that an endpoint has accepted a load, whose transfer begins now. It adds the place if that was removed while
// the order was queued.
func (p *Placer) LoadAccepted(now time.Time, id string, h Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	pl := e.places[h.Adapter]
	if pl == nil {
		pl = &place{holding: h, state: Loading, usedAt: now}
		p.startTransfer(e, pl)
	}
	if pl.state != Loading {
		return
	}
	e.failures = 0
	running, _ := p.countFetches()
	if pl.replaces != nil {
		// Answers of the older version may still arrive, and do not show that the load has ended.
		e.recordDropped(now, pl.replaces.holding, p.options.CachedAdapters)
	}
	pl.ordered, pl.replaces = true, nil
	pl.readyAt = now.Add(p.transferTime(e, pl.holding, running))
	p.hold(now, pl)
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
// place is free; otherwise Reconcile frees it. A place that a load has taken while the order was queued stays as it is.
func (p *Placer) UnloadAccepted(now time.Time, id string, a Adapter, done bool) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil || e.places[a].state != Leaving {
		return
	}
	if done {
		p.remove(now, e, a)
		return
	}
	e.places[a].ordered, e.places[a].changedAt = true, now
}

// LoadRefused records a load that was not executed. Its place is free, unless the endpoint holds an older version, or has reported the adapter, which
// an earlier leader may have ordered.
func (p *Placer) LoadRefused(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if pl := e.places[a]; pl != nil && pl.state == Loading && !pl.ordered {
		switch {
		case pl.stated:
			pl.markUnknown(now)
		case pl.replaces != nil:
			e.places[a] = pl.replaces
		default:
			delete(e.places, a)
		}
	}
	p.pause(now, e)
}

// UnloadRefused records an unload that was not executed, so that its adapter stays resident.
func (p *Placer) UnloadRefused(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if pl := e.places[a]; pl != nil && pl.state == Leaving {
		p.markResident(now, e, pl, pl.holding)
	}
	p.pause(now, e)
}

// LoadUnanswered records a load without an answer. Its place counts as taken until the endpoint has reported its state.
func (p *Placer) LoadUnanswered(now time.Time, id string, h Holding) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if e.places[h.Adapter] == nil {
		e.places[h.Adapter] = &place{holding: h, usedAt: now}
	}
	e.places[h.Adapter].markUnknown(now)
	p.pause(now, e)
}

// UnloadUnanswered records an unload without an answer. Its place counts as taken until the endpoint has reported its state.
func (p *Placer) UnloadUnanswered(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if pl := e.places[a]; pl != nil && pl.state == Leaving {
		pl.markUnknown(now)
	}
	p.pause(now, e)
}

// markUnknown makes a place count as taken until the endpoint has reported its state.
func (pl *place) markUnknown(now time.Time) {
	pl.state, pl.changedAt, pl.readyAt, pl.ordered = Unknown, now, time.Time{}, false
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
