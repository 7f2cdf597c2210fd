package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"lycheevale/internal/base/refusal"
)

// updateWanted adds a group to its customer's heap of wanted loads, or removes it, so that the heap contains exactly the
// groups with waiting requests whose adapter no endpoint holds or loads. One load thus serves all waiting requests of the
// adapter.
func (s *Scheduler) updateWanted(g *group) {
	c := g.customer
	if g.items.Len() == 0 || g.adapter.delayed || s.servable(g) {
		if g.wanted >= 0 {
			s.removeWanted(g)
		}
		return
	}
	if g.wanted >= 0 {
		heap.Fix(&c.wanted, g.wanted)
		return
	}
	if c.wanted.Len() == 0 {
		c.loadFinish = max(c.loadFinish, s.virtualLoadTime)
		s.wantingLoads = append(s.wantingLoads, c)
	}
	heap.Push(&c.wanted, g)
	s.wantedCount++
}

func (s *Scheduler) removeWanted(g *group) {
	c := g.customer
	i := g.wanted
	// heap.Remove would compare by the first request, which an empty group does not have.
	last := c.wanted.Len() - 1
	c.wanted.Swap(i, last)
	c.wanted.Pop()
	if i < last {
		heap.Fix(&c.wanted, i)
	}
	s.wantedCount--
	if last == 0 {
		s.wantingLoads = slices.DeleteFunc(s.wantingLoads, func(other *customer) bool { return other == c })
	}
}

// servable reports whether an endpoint that accepts the group's requests holds or loads their adapter.
func (s *Scheduler) servable(g *group) bool {
	for _, c := range g.adapter.copies {
		if !c.endpoint.accepts() || g.pin != "" && g.pin != c.endpoint.Name {
			continue
		}
		if c.state == slotLoading || c.ready() {
			return true
		}
	}
	return false
}

func (s *Scheduler) updateAllWanted(a *adapter) {
	for _, g := range a.groups {
		s.updateWanted(g)
	}
}

// load orders loads: first those for waiting requests, then replicas, then prefetches.
func (s *Scheduler) load(now time.Time) {
	s.resumeDelayed(now)
	s.reopen()
	s.nextPermitAt = time.Time{}
	for s.loads < s.options.MaxLoads && len(s.wantingLoads) > 0 {
		if !s.loadWanted(now) {
			break
		}
	}
	const interval = 200 * time.Millisecond // between prefetch decisions
	due := !now.Before(s.nextPrefetchAt)
	if due {
		s.nextPrefetchAt = now.Add(interval)
	}
	if len(s.wantingLoads) > 0 {
		return
	}
	s.loadReplicas(now)
	if due {
		s.loadPrefetch(now)
	}
}

// loadWanted orders the next load by fairness between customers, and returns false if none is possible now. Loads are
// shared equally, not by weight: a small customer needs few loads, but more per request than a large one.
func (s *Scheduler) loadWanted(now time.Time) bool {
	slices.SortStableFunc(s.wantingLoads, func(a, b *customer) int { return s.loadOrder(now, a, b) })
	for _, c := range s.wantingLoads {
		g := c.wanted.items[0]
		e, victim, _ := s.cheapestTarget(now, g.adapter, g)
		if e == nil {
			s.closeSlot(g)
			continue
		}
		if !s.permitted(now, LoadOrder{Endpoint: e.Name, Adapter: g.adapter.key.ref, Yield: s.bursting(now, c)}) {
			return false
		}
		start := max(c.loadFinish, s.virtualLoadTime-1)
		s.virtualLoadTime = max(s.virtualLoadTime, start)
		c.loadFinish = start + 1
		s.orderLoad(now, e, g.adapter, victim, g.customer)
		return true
	}
	return false
}

// loadOrder compares customers that want loads. Bursting customers come last, preceded by those above their share of slots.
func (s *Scheduler) loadOrder(now time.Time, a, b *customer) int {
	if burstA, burstB := s.bursting(now, a), s.bursting(now, b); burstA != burstB {
		if burstA {
			return 1
		}
		return -1
	}
	if overA, overB := s.aboveSlotShare(a), s.aboveSlotShare(b); overA != overB && !s.options.disabled[FairShares] {
		if overA {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.loadFinish, b.loadFinish)
}

func (s *Scheduler) permitted(now time.Time, l LoadOrder) bool {
	if s.options.disabled[BudgetLoads] {
		return true
	}
	ok, retryAt := s.options.Permit(now, l)
	if !ok && (s.nextPermitAt.IsZero() || retryAt.Before(s.nextPermitAt)) {
		s.nextPermitAt = retryAt
	}
	return ok
}

// cheapestTarget returns the endpoint where a load costs least, by the value of its victim, the endpoint's fill and its
// loads in transit. An endpoint where the adapter failed to load recently is the last choice.
func (s *Scheduler) cheapestTarget(now time.Time, a *adapter, g *group) (best *endpoint, victim *slot, value float64) {
	const fillCost, loadCost, preferredGain, failedCost = 0.02, 0.02, 0.01, 1e6
	lowest := math.Inf(1)
	for _, e := range s.endpoints {
		if !e.accepts() || e.Model != a.key.model || e.find(a) != nil {
			continue
		}
		if g != nil && g.pin != "" && g.pin != e.Name {
			continue
		}
		v, worth, ok := s.victim(now, e, g)
		if !ok {
			continue
		}
		cost := worth + fillCost*e.fill() + loadCost*float64(e.loading)
		if g != nil && g.items.items[0].Preferred == e.Name {
			cost -= preferredGain
		}
		if a.failedRecently(now, e.Name) {
			cost += failedCost
		}
		if cost < lowest {
			best, victim, value, lowest = e, v, worth, cost
		}
	}
	return best, victim, value
}

func (a *adapter) failedRecently(now time.Time, endpoint string) bool {
	return slices.ContainsFunc(a.failedOn, func(f failure) bool { return f.endpoint == endpoint && f.until.After(now) })
}

// orderLoad emits the load and adds its slot. A speculative load has no holder.
func (s *Scheduler) orderLoad(now time.Time, e *endpoint, a *adapter, victim *slot, holder *customer) {
	action := Action{Kind: Load, Adapter: a.key.ref, Speculative: holder == nil}
	if victim != nil {
		action.Evict = victim.adapter.key.ref
		s.lastEvictedValue = s.value(now, victim)
		s.dropSlot(victim)
		s.addPrefetchCandidate(victim.adapter)
	}
	s.addAction(e, action)
	s.setHolder(s.addSlot(e, a, slotLoading, now), holder)
	e.loading++
	s.loads++
	s.updateAllWanted(a)
}

// loadReplicas loads another copy of adapters whose requests wait longer for a batch place than a load takes, on an
// endpoint with free places and a victim of lower value. Replicas use the budget like loads for waiting requests: when they
// got only the rest of it, batches were emptier than without fair queueing (0.590 against 0.622 of the places at koro).
func (s *Scheduler) loadReplicas(now time.Time) {
	for len(s.replicaCandidates) > 0 {
		a := s.replicaCandidates[0]
		if s.needsReplica(now, a) {
			e, victim, value := s.cheapestTarget(now, a, nil)
			if e != nil && e.free() > 0 && value < s.expectedUse(now, a)/float64(len(a.copies)+1) {
				if s.loads >= s.options.MaxLoads || !s.permitted(now, LoadOrder{Endpoint: e.Name, Adapter: a.key.ref}) {
					return
				}
				s.orderLoad(now, e, a, victim, nil)
			}
		}
		a.replicaCandidate = false
		s.replicaCandidates = slices.Delete(s.replicaCandidates, 0, 1)
	}
}

func (s *Scheduler) needsReplica(now time.Time, a *adapter) bool {
	if a.waiting == 0 || a.withdrawn || a.delayed || s.quarantined(now, a) {
		return false
	}
	places := 0
	for _, c := range a.copies {
		if c.state == slotLoading {
			return false
		}
		places += c.endpoint.BatchSize
	}
	wait := float64(a.waiting) * s.meanService / float64(max(places, 1))
	return wait > s.options.LoadTime.Seconds()
}

// addPrefetchCandidate lists an adapter that is not resident for prefetch. If the list is full, the oldest entry is removed.
func (s *Scheduler) addPrefetchCandidate(a *adapter) {
	const hintLimit = 128
	if a.prefetchCandidate || a.withdrawn || a.key.ref.IsBase() {
		return
	}
	if len(s.prefetchCandidates) >= hintLimit {
		s.prefetchCandidates[0].prefetchCandidate = false
		s.prefetchCandidates = slices.Delete(s.prefetchCandidates, 0, 1)
	}
	a.prefetchCandidate = true
	s.prefetchCandidates = append(s.prefetchCandidates, a)
}

// loadPrefetch prefetches the candidate with the highest expected use if that exceeds its victim's value by PrefetchGain.
func (s *Scheduler) loadPrefetch(now time.Time) {
	if len(s.prefetchCandidates) == 0 || s.loads >= s.options.MaxLoads {
		return
	}
	var best *adapter
	highest := 0.0
	s.prefetchCandidates = slices.DeleteFunc(s.prefetchCandidates, func(a *adapter) bool {
		if len(a.copies) > 0 || a.withdrawn || a.delayed || a.failures > 0 {
			a.prefetchCandidate = false
			return true
		}
		if v := s.expectedUse(now, a); v > highest {
			best, highest = a, v
		}
		return false
	})
	if best == nil {
		return
	}
	e, victim, value := s.cheapestTarget(now, best, nil)
	if e == nil || value*s.options.PrefetchGain >= highest {
		return
	}
	if s.permitted(now, LoadOrder{Endpoint: e.Name, Adapter: best.key.ref, Speculative: true}) {
		s.orderLoad(now, e, best, victim, nil)
	}
}

// Expect lists an adapter for prefetch on external information, such as a version about to become the default. The given
// number of uses is added to its recent uses.
func (s *Scheduler) Expect(now time.Time, model string, ref AdapterRef, uses float64) {
	a := s.adapter(now, model, ref)
	a.use.decay(s.seconds(now), &s.options)
	a.use.count += uses
	s.addPrefetchCandidate(a)
}

// Loaded records the result of a load.
func (s *Scheduler) Loaded(now time.Time, l LoadResult) {
	e := s.byName[l.Endpoint]
	if e == nil || e.Incarnation != l.Incarnation && !s.options.disabled[CheckIncarnation] {
		return
	}
	a := s.adapter(now, e.Model, l.Adapter)
	c := e.find(a)
	if c == nil || c.state != slotLoading {
		return
	}
	if l.Failed {
		s.dropSlot(c)
		s.loadFailed(now, a, e)
		return
	}
	c.state = slotResident
	c.since = now
	e.loading--
	s.loads--
	a.failures = 0
	a.failedOn = nil
	if a.withdrawn {
		s.unloadWithdrawn(a)
	}
	s.markDirty(e)
	s.updateAllWanted(a)
}

// loadFailed delays the next attempt, and refuses the adapter's requests after MaxFailures failures in a row.
func (s *Scheduler) loadFailed(now time.Time, a *adapter, e *endpoint) {
	const avoidDelays = 16 // an endpoint on which the load failed is avoided for this many delays
	o := &s.options
	if o.disabled[LimitFailures] {
		return
	}
	a.failures++
	delay := o.FailureDelay << min(a.failures-1, 10)
	a.failedOn = append(slices.DeleteFunc(a.failedOn, func(f failure) bool { return !f.until.After(now) }),
		failure{e.Name, now.Add(avoidDelays * delay)})
	if a.failures >= o.MaxFailures {
		a.retryAt = now.Add(o.QuarantineFor << min(a.failures-o.MaxFailures, 4))
		s.refuseAll(a, s.failedError(a))
		return
	}
	a.retryAt = now.Add(delay)
	a.delayed = true
	s.delayed = append(s.delayed, a)
	s.updateAllWanted(a)
}

func (s *Scheduler) failedError(a *adapter) *refusal.Error {
	err := refusal.New(refusal.Unavailable, "adapter %q version %q failed to load %d times",
		a.key.ref.Adapter, a.key.ref.Version, a.failures)
	return err.WithRetryAt(a.retryAt)
}

func (s *Scheduler) quarantined(now time.Time, a *adapter) bool {
	return a.failures >= s.options.MaxFailures && a.retryAt.After(now)
}

func (s *Scheduler) refuseAll(a *adapter, err *refusal.Error) {
	for len(a.groups) > 0 {
		s.refuse(a.groups[0].items.items[0], err)
	}
}

func (s *Scheduler) resumeDelayed(now time.Time) {
	s.delayed = slices.DeleteFunc(s.delayed, func(a *adapter) bool {
		if a.retryAt.After(now) {
			return false
		}
		a.delayed = false
		s.updateAllWanted(a)
		return true
	})
}
