package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// SetEndpoint adds an endpoint or replaces what is known of it. With a new incarnation its slots hold what
// Resident says, and the work dispatched to the earlier incarnation is forgotten.
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
		s.lose(now, old)
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

// refresh recomputes what depends on whether the endpoint accepts work.
func (s *Scheduler) refresh(e *endpoint) {
	for _, c := range e.slots {
		s.coverAll(c.adapter)
	}
	s.markDirty(e)
}

// RemoveEndpoint forgets an endpoint and what was dispatched to it.
func (s *Scheduler) RemoveEndpoint(now time.Time, name string) {
	if e := s.byName[name]; e != nil {
		s.lose(now, e)
	}
}

// lose forgets an endpoint. Its adapters become candidates for prefetch in order of expected use; those with
// waiting requests are loaded first, in order of waiting work.
func (s *Scheduler) lose(now time.Time, e *endpoint) {
	e.gone = true
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
			s.forget(r.customer)
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
		s.hint(c.adapter)
	}
}

// Withdraw ends a version: waiting requests are refused, running ones finish, and its slots are freed.
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
		if e.gone || c.inUse > 0 || !c.adapter.withdrawn || e.find(c.adapter) != c {
			continue
		}
		s.act(e, Action{Kind: Unload, Adapter: c.adapter.key.ref})
		s.dropSlot(c)
	}
	s.unloads = s.unloads[:0]
}

// history holds the owner's own count of running requests over the last changes, because a load report describes
// a moment in the past.
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

// since returns the lowest and highest own count from shortly before the moment until now. known is false when the
// moment lies before what is kept.
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

// Report takes an engine's own load report. The owner's count goes before it: only running requests beyond the
// owner's highest count since the report was measured are taken for work of others, such as an earlier owner's.
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
	const margin = time.Second // between the end of a load and a report that must contain it
	if r.Resident == nil {
		return
	}
	for _, c := range slices.Clone(e.slots[1:]) {
		missing := !slices.Contains(r.Resident, c.adapter.key.ref)
		if missing && c.state == slotResident && c.inUse == 0 && c.since.Add(margin).Before(r.At) {
			s.dropSlot(c)
			s.hint(c.adapter)
		}
	}
	_ = now
}

// View returns what entries learn about an endpoint and an adapter with each answer.
func (s *Scheduler) View(now time.Time, name string, ref AdapterRef) View {
	e := s.byName[name]
	if e == nil {
		return View{}
	}
	v := View{Service: time.Duration(s.service * float64(time.Second))}
	waiting := float64(s.waiting) / float64(max(len(s.endpoints), 1))
	places := float64(max(e.BatchSize, 1))
	v.Load = (float64(e.running+e.external) + waiting) / places
	v.Wait = time.Duration(max(v.Load-1, 0) * s.service * float64(time.Second))
	v.SlotValue = s.lastValue
	if a := s.adapters[adapterKey{e.Model, ref}]; a != nil {
		v.Resident = e.find(a) != nil
	}
	_ = now
	return v
}
