package model

import (
	"math"
	"time"
)

// uses knows the future uses of each adapter.
type uses struct {
	times [][]time.Duration
}

func newUses(calls []*Call, adapters int) *uses {
	u := &uses{times: make([][]time.Duration, adapters)}
	for _, c := range calls {
		u.times[c.Adapter] = append(u.times[c.Adapter], c.At)
	}
	return u
}

func (u *uses) pass(c *Call) {
	if t := u.times[c.Adapter]; len(t) > 0 {
		u.times[c.Adapter] = t[1:]
	}
}

// OfflineBound returns the share of stalled requests of eviction with knowledge of the future, in the most
// favourable setting: all slots of the site form one pool that any request can use, every request runs for its time
// in an empty batch, and the weight store has no rate. An adapter that is running is not evicted.
func OfflineBound(site Site, sc Scenario) *Result {
	calls := Generate(site, sc)
	b := &bound{site: site, slots: map[int]*boundSlot{}, future: newUses(calls, site.Adapters)}
	r := newResult(site, sc)
	for _, c := range calls {
		a := &attempt{call: c}
		b.future.pass(c)
		a.stalled = b.use(c)
		r.count(a)
	}
	r.Loads = b.loads
	r.close("offline bound")
	return r
}

type boundSlot struct {
	readyAt, busyUntil time.Duration
}

type bound struct {
	site   Site
	slots  map[int]*boundSlot
	future *uses
	loads  int
}

func (b *bound) use(c *Call) (stalled bool) {
	slot := b.slots[c.Adapter]
	if slot == nil {
		b.evict(c.At)
		slot = &boundSlot{readyAt: c.At + b.site.LoadTime}
		b.slots[c.Adapter] = slot
		b.loads++
	}
	stalled = slot.readyAt > c.At
	run := time.Duration(c.Output) * b.site.StepBase
	slot.busyUntil = max(slot.busyUntil, max(slot.readyAt, c.At)+run)
	return stalled
}

// evict makes room by dropping the adapter whose next use is last.
func (b *bound) evict(now time.Duration) {
	if len(b.slots) < b.site.Slots*b.site.Endpoints*len(b.site.DataCentres) {
		return
	}
	victim, last := -1, time.Duration(-1)
	for i, slot := range b.slots {
		if slot.busyUntil > now {
			continue
		}
		next := time.Duration(math.MaxInt64)
		if t := b.future.times[i]; len(t) > 0 {
			next = t[0]
		}
		if next > last || next == last && i < victim {
			victim, last = i, next
		}
	}
	if victim >= 0 {
		delete(b.slots, victim)
	}
}
