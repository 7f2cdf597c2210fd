package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"lycheevale/internal/base/refusal"
)

// cover keeps a group in its customer's heap of wanted loads exactly while it has waiting requests and no endpoint
// has or loads the adapter for it. One load thereby serves all waiting requests of the adapter.
func (s *Scheduler) cover(g *group) {
	c := g.customer
	if g.items.Len() == 0 || g.adapter.delayed || s.covered(g) {
		if g.wanted >= 0 {
			s.unwant(g)
		}
		return
	}
	if g.wanted >= 0 {
		heap.Fix(&c.wanted, g.wanted)
		return
	}
	if c.wanted.Len() == 0 {
		c.loadFinish = max(c.loadFinish, s.loadVirtual)
		s.wanting = append(s.wanting, c)
	}
	heap.Push(&c.wanted, g)
	s.wantedCount++
}

func (s *Scheduler) unwant(g *group) {
	c := g.customer
	i := g.wanted
	// The heap's order reads the first request, which an emptied group no longer has.
	last := c.wanted.Len() - 1
	c.wanted.Swap(i, last)
	c.wanted.Pop()
	if i < last {
		heap.Fix(&c.wanted, i)
	}
	s.wantedCount--
	if last == 0 {
		s.wanting = slices.DeleteFunc(s.wanting, func(other *customer) bool { return other == c })
	}
}

func (s *Scheduler) covered(g *group) bool {
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

func (s *Scheduler) coverAll(a *adapter) {
	for _, g := range a.groups {
		s.cover(g)
	}
}

// load orders loads: first those that requests wait for, then replicas, then prefetches.
func (s *Scheduler) load(now time.Time) {
	s.resumeDelayed(now)
	s.reopen()
	s.permitAt = time.Time{}
	for s.loads < s.options.MaxLoads && len(s.wanting) > 0 {
		if !s.loadWanted(now) {
			break
		}
	}
	const interval = 200 * time.Millisecond // between looks at the hints
	due := !now.Before(s.hintAt)
	if due {
		s.hintAt = now.Add(interval)
	}
	if len(s.wanting) > 0 {
		return
	}
	s.loadReplicas(now)
	if due {
		s.loadHints(now)
	}
}

// loadWanted orders the next load by fairness between customers; false when none is possible now. Loads are shared
// equally, not by weight: a small customer needs few loads but more for each of its requests than a large one.
func (s *Scheduler) loadWanted(now time.Time) bool {
	slices.SortStableFunc(s.wanting, func(a, b *customer) int { return s.loadOrder(now, a, b) })
	for _, c := range s.wanting {
		g := c.wanted.items[0]
		e, victim, _ := s.target(now, g.adapter, g)
		if e == nil {
			s.closeSlot(g)
			continue
		}
		if !s.permitted(now, LoadOrder{Endpoint: e.Name, Adapter: g.adapter.key.ref, Yield: s.bursting(now, c)}) {
			return false
		}
		start := max(c.loadFinish, s.loadVirtual-1)
		s.loadVirtual = max(s.loadVirtual, start)
		c.loadFinish = start + 1
		s.order(now, e, g.adapter, victim, g.customer)
		return true
	}
	return false
}

// loadOrder compares customers that want loads: bursting ones come last, before them those above their share of slots.
func (s *Scheduler) loadOrder(now time.Time, a, b *customer) int {
	if burstA, burstB := s.bursting(now, a), s.bursting(now, b); burstA != burstB {
		if burstA {
			return 1
		}
		return -1
	}
	if overA, overB := s.overSlots(a), s.overSlots(b); overA != overB && !s.options.disabled[FairShares] {
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
	if !ok && (s.permitAt.IsZero() || retryAt.Before(s.permitAt)) {
		s.permitAt = retryAt
	}
	return ok
}

// target returns the endpoint where a load costs least: by the value of what it evicts, the endpoint's fill and
// its loads in transit. An endpoint where the adapter failed to load recently is the last choice.
func (s *Scheduler) target(now time.Time, a *adapter, g *group) (best *endpoint, victim *slot, value float64) {
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

// order emits the load and takes its slot, for no customer when it is speculative.
func (s *Scheduler) order(now time.Time, e *endpoint, a *adapter, victim *slot, holder *customer) {
	action := Action{Kind: Load, Adapter: a.key.ref, Speculative: holder == nil}
	if victim != nil {
		action.Evict = victim.adapter.key.ref
		s.lastValue = s.value(now, victim)
		s.dropSlot(victim)
		s.hint(victim.adapter)
	}
	s.act(e, action)
	s.hold(s.addSlot(e, a, slotLoading, now), holder)
	e.loading++
	s.loads++
	s.coverAll(a)
}

// loadReplicas loads a further copy of adapters whose requests wait longer for a batch place than a load takes,
// on an endpoint with places left whose victim is worth less. It uses the budget like a waiting request: with what
// was left over, batches stayed emptier than without fair queueing (0.590 against 0.622 of the places at koro).
func (s *Scheduler) loadReplicas(now time.Time) {
	for len(s.pressured) > 0 {
		a := s.pressured[0]
		if s.worthCopy(now, a) {
			e, victim, value := s.target(now, a, nil)
			if e != nil && e.free() > 0 && value < s.expectedUse(now, a)/float64(len(a.copies)+1) {
				if s.loads >= s.options.MaxLoads || !s.permitted(now, LoadOrder{Endpoint: e.Name, Adapter: a.key.ref}) {
					return
				}
				s.order(now, e, a, victim, nil)
			}
		}
		a.pressured = false
		s.pressured = slices.Delete(s.pressured, 0, 1)
	}
}

func (s *Scheduler) worthCopy(now time.Time, a *adapter) bool {
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
	wait := float64(a.waiting) * s.service / float64(max(places, 1))
	return wait > s.options.LoadTime.Seconds()
}

// hint lists an adapter that is not resident for prefetch; the oldest entry makes room.
func (s *Scheduler) hint(a *adapter) {
	const hintLimit = 128
	if a.hinted || a.withdrawn || a.key.ref.IsBase() {
		return
	}
	if len(s.hints) >= hintLimit {
		s.hints[0].hinted = false
		s.hints = slices.Delete(s.hints, 0, 1)
	}
	a.hinted = true
	s.hints = append(s.hints, a)
}

// loadHints prefetches the adapter that is expected to be used most if it is worth more than what it evicts.
func (s *Scheduler) loadHints(now time.Time) {
	if len(s.hints) == 0 || s.loads >= s.options.MaxLoads {
		return
	}
	var best *adapter
	highest := 0.0
	s.hints = slices.DeleteFunc(s.hints, func(a *adapter) bool {
		if len(a.copies) > 0 || a.withdrawn || a.delayed || a.failures > 0 {
			a.hinted = false
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
	e, victim, value := s.target(now, best, nil)
	if e == nil || value*s.options.PrefetchGain >= highest {
		return
	}
	if s.permitted(now, LoadOrder{Endpoint: e.Name, Adapter: best.key.ref, Speculative: true}) {
		s.order(now, e, best, victim, nil)
	}
}

// Expect lists an adapter for prefetch on evidence from outside, such as a version about to become the default;
// uses counts as so many recent uses.
func (s *Scheduler) Expect(now time.Time, model string, ref AdapterRef, uses float64) {
	a := s.adapter(now, model, ref)
	a.use.decay(s.seconds(now), &s.options)
	a.use.count += uses
	s.hint(a)
}

// Loaded ends a load.
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
	s.coverAll(a)
}

// loadFailed delays the next try and ends the adapter's requests after MaxFailures tries in a row.
func (s *Scheduler) loadFailed(now time.Time, a *adapter, e *endpoint) {
	const elsewhere = 16 // an endpoint that failed is avoided for this many delays
	o := &s.options
	if o.disabled[LimitFailures] {
		return
	}
	a.failures++
	delay := o.FailureDelay << min(a.failures-1, 10)
	a.failedOn = append(slices.DeleteFunc(a.failedOn, func(f failure) bool { return !f.until.After(now) }),
		failure{e.Name, now.Add(elsewhere * delay)})
	if a.failures >= o.MaxFailures {
		a.retryAt = now.Add(o.QuarantineFor << min(a.failures-o.MaxFailures, 4))
		s.refuseAll(a, s.failedError(a))
		return
	}
	a.retryAt = now.Add(delay)
	a.delayed = true
	s.delayed = append(s.delayed, a)
	s.coverAll(a)
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
		s.coverAll(a)
		return true
	})
}
