package residency

import (
	"cmp"
	"math"
	"time"
)

// Use is what an entry reports of an adapter at an endpoint.
type Use struct {
	_ struct{} `cbor:",toarray"`

	Endpoint string  `json:"Endpoint"`
	Adapter  Adapter `json:"Adapter"`
	Count    int     `json:"Count,omitempty"`  // requests since the last report
	Active   int     `json:"Active,omitempty"` // requests that run
}

// RecordUse records use.
func (p *Placer) RecordUse(now time.Time, u Use) {
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
	return pl.heat * math.Exp2(-float64(now.Sub(pl.usedAt))/float64(p.options.UseHalfLife))
}

// maxVictimHeat keeps one very popular adapter from deciding alone.
const maxVictimHeat = 10.0

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
		if worst == nil || cmp.Or(cmp.Compare(score(pl), score(worst)), pl.usedAt.Compare(worst.usedAt),
			cmp.Compare(pl.holding.Name, worst.holding.Name)) < 0 {
			worst = pl
		}
	}
	return worst
}

// nextVictim is the place that made way next a moment ago, which is near enough to compare endpoints by.
func (p *Placer) nextVictim(now time.Time, e *endpoint) *place {
	v := e.next
	stale := e.nextAt.IsZero() || now.Sub(e.nextAt) >= victimMemory
	if stale || (v != nil && (v.state != Resident || now.Before(v.busyUntil) || e.places[v.holding.Adapter] != v)) {
		e.next, e.nextAt = p.victim(now, e), now
	}
	return e.next
}

// victimMemory is a few ticks of the leader.
const victimMemory = 100 * time.Millisecond

// FreePlaces returns the number of places that a load could take at once.
func (p *Placer) FreePlaces(now time.Time) (n int) {
	for _, e := range p.endpoints {
		if e.Accepting && !now.Before(e.hold) {
			n += max(e.Slots-len(e.places), 0)
		}
	}
	return n
}

// minResidence gives the requests that asked for an adapter time to arrive before it may make way.
const minResidence = 1500 * time.Millisecond

// MayFreePlace tells whether a place may become free soon, so that a request that found none is worth holding for a moment.
func (p *Placer) MayFreePlace(now time.Time) bool {
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
		if p.nextVictim(now, e) != nil {
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
				p.journal.add(Event{Endpoint: e.ID, Holding: v.holding, Removed: true})
			}
			v.state, v.changedAt = Leaving, now
			list = append(list, Unload{Endpoint: e.ID, Holding: v.holding})
		}
	}
	return list
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
