package residency

import (
	"time"
)

// OverCapacity tells whether an endpoint has more adapters, present and awaited, than places.
func (p *Placer) OverCapacity(id string) bool {
	e := p.endpoints[id]
	return e != nil && len(e.places) > e.Slots
}

// LoadAccepted records an accepted load; the transfer begins now.
func (p *Placer) LoadAccepted(now time.Time, id string, a Adapter) {
	e := p.endpoints[id]
	if e == nil || e.places[a] == nil || e.places[a].state != Loading {
		return
	}
	e.failures = 0
	running, _ := p.fetches()
	e.places[a].ordered = true
	e.places[a].readyAt = now.Add(p.transferTime(e, e.places[a].holding, running))
}

// LoadMustWait tells whether a load has to wait: as many adapters are on their way to the endpoint as it takes at once, or
// from the store as leave each its speed.
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
	running, _ := p.fetches()
	return n >= p.options.MaxTransfers || (!e.remembers(e.places[a].holding) && running >= p.mostFetches())
}

// NeedsReconcile tells whether an endpoint has to be asked for its exact state: an order was accepted or not answered, and its
// end has not been seen for a while.
func (p *Placer) NeedsReconcile(now time.Time, id string) bool {
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

// RecordMissing records that an endpoint does not hold an adapter that was taken for resident. The place counts as taken until
// the endpoint's exact state is known. It reports whether that has to be asked for.
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

// missingGrace is how late a load may be beyond its expected time.
const missingGrace = 400 * time.Millisecond

// UnloadAccepted records an unload that was accepted. The place is free at once if no request used the adapter, and otherwise
// when the endpoint's exact state shows it.
func (p *Placer) UnloadAccepted(now time.Time, id string, a Adapter, done bool) {
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

// OrderRefused records an order that was not carried out: a load leaves no place, an unload leaves it as it was.
func (p *Placer) OrderRefused(now time.Time, id string, a Adapter) {
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

// OrderUnanswered records an order without an answer. The place counts as taken until the endpoint has stated what it holds.
func (p *Placer) OrderUnanswered(now time.Time, id string, a Adapter) {
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
	for _, t := range p.inflight {
		if !t.over() && p.endpoints[t.to.ID] == t.to && t.place.ordered && !t.place.readyAt.After(now) {
			p.settle(now, t.to, t.place, t.place.holding)
		}
	}
}
