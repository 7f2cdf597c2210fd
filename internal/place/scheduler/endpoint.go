package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// SetEndpoint adds an endpoint or replaces its state. With a new incarnation its slots hold the adapters in Resident, and
// the requests dispatched to the earlier incarnation are dropped.
func (s *Scheduler) SetEndpoint(now time.Time, e Endpoint) {
	old := s.byName[e.Name]
	if old != nil && old.Incarnation == e.Incarnation && old.Model == e.Model {
		s.update(old, e)
		return
	}
	next := &endpoint{Endpoint: e}
	next.prefixes.reset()
	next.Resident = nil
	if old != nil {
		s.removeEndpoint(now, old)
		next.Fence = max(next.Fence, old.Fence)
	}
	s.byName[e.Name] = next
	s.slots += e.Slots
	s.endpoints = append(s.endpoints, next)
	slices.SortFunc(s.endpoints, func(a, b *endpoint) int { return strings.Compare(a.Name, b.Name) })
	s.addSlot(next, s.adapter(now, e.Model, AdapterRef{}), slotResident, now)
	for _, ref := range e.Resident {
		a := s.adapter(now, e.Model, ref)
		if next.used() < e.Slots && next.find(a) == nil {
			s.addSlot(next, a, slotResident, now)
		}
	}
	s.refresh(next)
}

func (s *Scheduler) update(old *endpoint, e Endpoint) {
	old.Draining = e.Draining
	s.slots += e.Slots - old.Slots
	old.Slots = e.Slots
	old.BatchSize = e.BatchSize
	old.Fence = max(old.Fence, e.Fence)
	s.refresh(old)
}

// refresh recomputes the state that depends on whether the endpoint accepts work.
func (s *Scheduler) refresh(e *endpoint) {
	for _, c := range e.slots {
		s.updateAllWanted(c.adapter)
	}
	s.markDirty(e)
}

// RemoveEndpoint removes an endpoint and drops the requests dispatched to it.
func (s *Scheduler) RemoveEndpoint(now time.Time, name string) {
	if e := s.byName[name]; e != nil {
		s.removeEndpoint(now, e)
	}
}

// removeEndpoint removes an endpoint. Its adapters become candidates for prefetch in order of expected use. Adapters with
// waiting requests are loaded before them, in order of waiting work.
func (s *Scheduler) removeEndpoint(now time.Time, e *endpoint) {
	e.removed = true
	s.slots -= e.Slots
	delete(s.byName, e.Name)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(other *endpoint) bool { return other == e })
	s.dirty = slices.DeleteFunc(s.dirty, func(other *endpoint) bool { return other == e })
	e.dirty = false
	if e.command != nil {
		e.command.event("fail")
	}
	for id, r := range s.running {
		if r.slot.endpoint == e {
			delete(s.running, id)
			r.customer.running--
			s.removeIfIdle(r.customer)
		}
	}
	lost := slices.Clone(e.slots)
	for _, c := range lost {
		s.dropSlot(c)
	}
	if e.Draining {
		return
	}
	slices.SortFunc(lost, func(a, b *slot) int {
		return cmp.Compare(s.expectedUse(now, b.adapter), s.expectedUse(now, a.adapter))
	})
	for _, c := range lost {
		s.addPrefetchCandidate(c.adapter)
	}
}

// Withdraw withdraws a version: waiting requests are refused, running ones finish, and its slots are freed.
func (s *Scheduler) Withdraw(now time.Time, model string, ref AdapterRef) {
	a := s.adapter(now, model, ref)
	a.withdrawn = true
	s.refuseAll(a, withdrawnError(a))
	s.unloadWithdrawn(a)
}

// Restore accepts requests for a withdrawn version again.
func (s *Scheduler) Restore(now time.Time, model string, ref AdapterRef) {
	s.adapter(now, model, ref).withdrawn = false
}

func (s *Scheduler) unloadWithdrawn(a *adapter) {
	for _, c := range slices.Clone(a.copies) {
		if c.inUse == 0 && c.state != slotLoading {
			s.unloads = append(s.unloads, c)
		}
	}
}

// unload emits the actions that free the slots of withdrawn versions.
func (s *Scheduler) unload() {
	for _, c := range s.unloads {
		e := c.endpoint
		if e.removed || c.inUse > 0 || !c.adapter.withdrawn || e.find(c.adapter) != c {
			continue
		}
		s.addAction(e, Action{Kind: Unload, Adapter: c.adapter.key.ref})
		s.dropSlot(c)
	}
	s.unloads = s.unloads[:0]
}

// history keeps the owner's own count of running requests over the latest changes, because a load report describes a
// past state.
type history struct {
	at    [historyLength]time.Time
	count [historyLength]int
	next  int
}

const historyLength = 64

func (h *history) add(now time.Time, running int) {
	h.at[h.next%historyLength] = now
	h.count[h.next%historyLength] = running
	h.next++
}

// since returns the highest own count from the last change before the given time until now. It reports known as false if
// that time is before the oldest entry.
func (h *history) since(at time.Time, running int) (highest int, known bool) {
	highest = running
	for i := h.next - 1; i >= 0 && i >= h.next-historyLength; i-- {
		highest = max(highest, h.count[i%historyLength])
		if !h.at[i%historyLength].After(at) {
			return highest, true
		}
	}
	return highest, h.next < historyLength
}

// Report records an engine's load report. The owner's count takes precedence: only running requests beyond the owner's
// highest count since the report was measured count as work of others, such as an earlier owner.
func (s *Scheduler) Report(now time.Time, r LoadReport) {
	e := s.byName[r.Endpoint]
	if e == nil || e.Incarnation != r.Incarnation {
		return
	}
	if highest, known := e.history.since(r.At, e.running); known {
		e.external = max(0, r.Running-highest)
		s.markDirty(e)
	}
	s.reconcile(now, e, r)
}

// reconcile drops adapters that the engine no longer holds although their load ended well before the report.
func (s *Scheduler) reconcile(now time.Time, e *endpoint, r LoadReport) {
	const margin = time.Second // after the end of a load; reports measured later must list the adapter
	if r.Resident == nil {
		return
	}
	for _, c := range slices.Clone(e.slots[1:]) {
		missing := !slices.Contains(r.Resident, c.adapter.key.ref)
		if missing && c.state == slotResident && c.inUse == 0 && c.since.Add(margin).Before(r.At) {
			s.dropSlot(c)
			s.addPrefetchCandidate(c.adapter)
		}
	}
	_ = now
}

// View returns the state of an endpoint and an adapter that entries receive with each answer.
func (s *Scheduler) View(now time.Time, name string, ref AdapterRef) View {
	e := s.byName[name]
	if e == nil {
		return View{}
	}
	v := View{Service: time.Duration(s.meanService * float64(time.Second))}
	waiting := float64(s.waiting) / float64(max(len(s.endpoints), 1))
	places := float64(max(e.BatchSize, 1))
	v.Load = (float64(e.running+e.external) + waiting) / places
	v.Wait = time.Duration(max(v.Load-1, 0) * s.meanService * float64(time.Second))
	v.SlotValue = s.lastEvictedValue
	if a := s.adapters[adapterKey{e.Model, ref}]; a != nil {
		v.Resident = e.find(a) != nil
	}
	_ = now
	return v
}
