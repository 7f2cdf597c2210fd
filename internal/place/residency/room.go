package residency

import (
	"cmp"
	"math"
	"time"
)

// Use is an entry's report on its use of an adapter at an endpoint.
type Use struct {
	_ struct{} `cbor:",toarray"`

	Endpoint string  `json:"Endpoint"`
	Adapter  Adapter `json:"Adapter"`
	Count    int     `json:"Count,omitempty"`  // requests since the last report
	Active   int     `json:"Active,omitempty"` // requests that run
}

// useKey names an adapter at an endpoint.
type useKey struct {
	endpoint string
	adapter  Adapter
}

// RecordUses records an entry's report of all its uses, which replaces its previous report.
func (p *Placer) RecordUses(now time.Time, entry string, uses []Use) {
	p.forgetActive(entry)
	for _, u := range uses {
		if u.Active > 0 {
			p.active[useKey{u.Endpoint, u.Adapter}] += u.Active
		}
		if e := p.endpoints[u.Endpoint]; e != nil && e.places[u.Adapter] != nil && u.Count > 0 {
			pl := e.places[u.Adapter]
			pl.uses = p.recentUses(now, pl) + float64(u.Count)
			pl.usedAt = now
		}
	}
	p.reported[entry] = uses
}

// RemoveEntry forgets the uses of an entry that has stopped reporting.
func (p *Placer) RemoveEntry(entry string) {
	p.forgetActive(entry)
	delete(p.reported, entry)
}

func (p *Placer) forgetActive(entry string) {
	for _, u := range p.reported[entry] {
		if u.Active <= 0 {
			continue
		}
		key := useKey{u.Endpoint, u.Adapter}
		if p.active[key] -= u.Active; p.active[key] <= 0 {
			delete(p.active, key)
		}
	}
}

// RecordAnswers records that an entry has received answers for adapters since its last report. They confirm that a load has ended,
// unless the endpoint has held the adapter before and dropped it so recently that the answers may come from then.
func (p *Placer) RecordAnswers(now time.Time, answers []Use) {
	for _, u := range answers {
		e := p.endpoints[u.Endpoint]
		if e == nil || e.places[u.Adapter] == nil || now.Sub(e.addedAt) < p.options.MaxAnnouncementAge {
			continue
		}
		if e.places[u.Adapter].replaces != nil {
			continue // the older version has answered
		}
		if was, dropped := e.dropped[u.Adapter]; !dropped || now.Sub(was.at) >= p.options.MaxAnnouncementAge {
			e.places[u.Adapter].reported = true
		}
	}
}

// inUse reports whether requests use a place, or may be about to.
func (p *Placer) inUse(now time.Time, e *endpoint, pl *place) bool {
	return now.Before(pl.heldUntil) || p.active[useKey{e.ID, pl.holding.Adapter}] > 0
}

// hold keeps a place for requests that were told to use it, until entries have reported them.
func (p *Placer) hold(now time.Time, pl *place) {
	from := now
	if pl.readyAt.After(now) {
		from = pl.readyAt
	}
	if until := from.Add(p.interval + p.options.ReportDelay); until.After(pl.heldUntil) {
		pl.heldUntil = until
	}
}

// recentUses returns the uses of a place, decayed to now.
func (p *Placer) recentUses(now time.Time, pl *place) float64 {
	return pl.uses * math.Exp2(-float64(now.Sub(pl.usedAt))/float64(p.options.UseHalfLife))
}

// maxVictimUses caps the uses of the victim in the cost of an endpoint, so that one very popular adapter does not dominate it.
const maxVictimUses = 10.0

// victim returns the place to evict next: one with an old version, or else the one with the fewest recent uses. It never
// returns places in use, nor those that the endpoint has not reported yet: their load may still be running, and the
// endpoint would answer an unload as if it did not hold the adapter.
func (p *Placer) victim(now time.Time, e *endpoint) *place {
	var worst *place
	score := func(pl *place) float64 {
		if !p.current(pl.holding) {
			return -1
		}
		return p.recentUses(now, pl)
	}
	for _, pl := range e.places {
		if pl.state != Resident || !pl.reported || p.inUse(now, e, pl) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(score(pl), score(worst)), pl.usedAt.Compare(worst.usedAt),
			cmp.Compare(pl.holding.Name, worst.holding.Name)) < 0 {
			worst = pl
		}
	}
	return worst
}

// nextVictim returns a cached result of victim, which is accurate enough to compare endpoints.
func (p *Placer) nextVictim(now time.Time, e *endpoint) *place {
	v := e.cachedVictim
	stale := e.cachedVictimAt.IsZero() || now.Sub(e.cachedVictimAt) >= victimCacheTime
	if stale || (v != nil && (v.state != Resident || p.inUse(now, e, v) || e.places[v.holding.Adapter] != v)) {
		e.cachedVictim, e.cachedVictimAt = p.victim(now, e), now
	}
	return e.cachedVictim
}

// victimCacheTime covers a few ticks of the leader.
const victimCacheTime = 100 * time.Millisecond

// FreePlaces returns the number of places that loads could take immediately.
func (p *Placer) FreePlaces(now time.Time) (n int) {
	for _, e := range p.ordered {
		if e.Accepting && !now.Before(e.pausedUntil) {
			n += max(e.Slots-len(e.places), 0)
		}
	}
	return n
}

// MayFreePlace reports whether a place may become free soon, so that it is worth holding a request that found none.
func (p *Placer) MayFreePlace(now time.Time) bool {
	if running, waiting := p.countFetches(); p.queueTime(running+waiting) > p.options.MaxWait {
		return false
	}
	for _, e := range p.ordered {
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

// Unload is an order to unload an adapter.
type Unload struct {
	Endpoint string
	Holding  Holding
}

// MakeRoom returns the unloads that keep Options.Spare places free ahead of demand, and marks their places as Leaving.
func (p *Placer) MakeRoom(now time.Time) (list []Unload) {
	for _, e := range p.ordered {
		if !e.Accepting || e.Slots == 0 || now.Before(e.pausedUntil) {
			continue
		}
		leaving, slow := 0, 0
		for _, pl := range e.places {
			switch {
			case pl.state == Leaving && pl.ordered && now.Sub(pl.changedAt) > slowUnload:
				slow++
			case pl.state == Leaving || pl.state == Unknown:
				leaving++
			}
		}
		leaving += max(slow-p.options.Spare, 0) // an endpoint that ends no unload keeps its other adapters
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

// slowUnload is the time after which a place whose unload was accepted is not expected to become free soon: a request that runs for longer may hold its adapter. By then the state
// that shows a finished unload has been fetched.
const slowUnload = 2 * reconcileAfter

// Summary counts the places of all endpoints that accept work.
type Summary struct {
	Endpoints int
	Free      int
	Resident  int
	InUse     int // of the resident ones, those that requests use or may be about to use
	Unproven  int // of the resident ones, those whose load the endpoint has not confirmed yet
	Loading   int
	Leaving   int
	Unknown   int
	Paused    int // endpoints that get no loads for now, after a failed order
}

// Summary returns the counts as of now.
func (p *Placer) Summary(now time.Time) (s Summary) {
	for _, e := range p.ordered {
		if !e.Accepting || e.Slots == 0 {
			continue
		}
		s.Endpoints++
		s.Free += max(e.Slots-len(e.places), 0)
		if now.Before(e.pausedUntil) {
			s.Paused++
		}
		for _, pl := range e.places {
			switch pl.state {
			case Resident:
				s.Resident++
				if p.inUse(now, e, pl) {
					s.InUse++
				}
				if !pl.reported {
					s.Unproven++
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
