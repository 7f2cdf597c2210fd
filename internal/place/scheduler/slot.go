package scheduler

import (
	"math"
	"slices"
	"time"
)

// slotState is a plain enum instead of an fsm.FSM: it changes with each load and is read for each dispatch, where an event
// lookup under a mutex and its allocations would dominate the cost of the decision.
type slotState uint8

const (
	slotLoading slotState = iota
	slotResident
	slotClosing // serves the work accepted before it closed, then becomes evictable
)

// slot is one adapter on one endpoint.
type slot struct {
	adapter  *adapter
	endpoint *endpoint
	state    slotState
	inUse    int
	quota    int       // dispatches left while closing
	holder   *customer // customer that the adapter was loaded for
	since    time.Time
}

func (c *slot) ready() bool {
	return c.state == slotResident || c.state == slotClosing && c.quota > 0
}

// usage counts conversations with exponential decay and keeps the time of the last use. A use after a pause of
// ConversationGap starts a conversation; during constant use, each MaxConversation counts as one.
type usage struct {
	count float64
	since float64 // seconds of the start of the last conversation
	at    float64 // seconds of the last decay
	last  float64 // seconds of the last use
}

func (u *usage) decay(now float64, o *Options) {
	dt := now - u.at
	if dt <= 0 {
		return
	}
	u.count *= math.Exp2(-dt / o.HalfLife.Seconds())
	u.at = now
}

func (u *usage) add(now float64, o *Options) {
	u.decay(now, o)
	if now-u.last > o.ConversationGap.Seconds() || now-u.since > o.MaxConversation.Seconds() {
		u.count++
		u.since = now
	}
	u.last = now
}

// rate returns the expected number of uses per second that a load would serve: the conversations that start, and the next
// request of a conversation that is probably still open after a recent use. Later requests of a conversation need no load
// of their own; counting each of them overrated adapters with one long conversation.
func (u *usage) rate(now, observed float64, o *Options) float64 {
	u.decay(now, o)
	popularity := u.count / observed
	gap := o.TurnGap.Seconds()
	odds := o.OpenShare * math.Exp(-(now-u.last)/gap)
	return popularity + odds/(odds+1-o.OpenShare)/gap
}

// observedTime returns the time in seconds that a decayed count covers, which is shorter soon after the scheduler's start.
// The result is cached for one instant, because an eviction reads it for each slot.
func (s *Scheduler) observedTime(now float64) float64 {
	const shortest = 30 // seconds; the first uses after a start do not indicate popularity
	if s.observedTimeCache == 0 || s.observedTimeAt != now {
		halfLife := s.options.HalfLife.Seconds()
		s.observedTimeCache = halfLife / math.Ln2 * (1 - math.Exp2(-max(now, shortest)/halfLife))
		s.observedTimeAt = now
	}
	return s.observedTimeCache
}

type adapterKey struct {
	model string
	ref   AdapterRef
}

type failure struct {
	endpoint string
	until    time.Time
}

// adapter is one version of an adapter, or the base model.
type adapter struct {
	key               adapterKey
	use               usage
	groups            []*group
	copies            []*slot
	waiting           int
	position          int // in the scheduler's list of adapters
	failures          int
	failedOn          []failure
	retryAt           time.Time
	delayed           bool // waits for retryAt
	replicaCandidate  bool // listed for another replica
	prefetchCandidate bool // listed for prefetch
	withdrawn         bool
}

func (s *Scheduler) adapter(now time.Time, model string, ref AdapterRef) *adapter {
	k := adapterKey{model, ref}
	if s.options.disabled[ExactVersion] {
		k.ref.Version = ""
	}
	if a, ok := s.adapters[k]; ok {
		return a
	}
	a := &adapter{key: k, position: len(s.adapterList)}
	a.use.at = s.seconds(now)
	a.use.last = math.Inf(-1)
	s.adapters[k] = a
	s.adapterList = append(s.adapterList, a)
	return a
}

// sweep removes idle adapters. It checks two entries per call, so that no call scans all of them.
func (s *Scheduler) sweep(now time.Time) {
	const entries = 2
	const idleUses = 0.01
	for range min(entries, len(s.adapterList)) {
		s.sweepCursor = (s.sweepCursor + 1) % len(s.adapterList)
		a := s.adapterList[s.sweepCursor]
		a.use.decay(s.seconds(now), &s.options)
		idle := a.waiting == 0 && len(a.copies) == 0 && a.use.count < idleUses
		if !idle || a.failures > 0 || a.withdrawn || a.prefetchCandidate || a.replicaCandidate {
			continue
		}
		last := s.adapterList[len(s.adapterList)-1]
		s.adapterList[s.sweepCursor] = last
		last.position = s.sweepCursor
		s.adapterList[len(s.adapterList)-1] = nil
		s.adapterList = s.adapterList[:len(s.adapterList)-1]
		delete(s.adapters, a.key)
		if len(s.adapterList) == 0 {
			return
		}
	}
}

// endpoint is the owner's view of one engine.
type endpoint struct {
	Endpoint
	slots    []*slot // the first one is the base model, which needs no adapter slot
	running  int
	external int // running requests that this owner did not dispatch
	loading  int
	dirty    bool
	removed  bool
	history  history
	prefixes prefixes
	command  *command
}

func (e *endpoint) used() int { return len(e.slots) - 1 }

func (e *endpoint) free() int { return e.BatchSize - e.running - e.external }

func (e *endpoint) accepts() bool { return !e.Draining && e.command == nil && !e.removed }

func (e *endpoint) fill() float64 {
	return float64(e.running+e.external) / float64(max(e.BatchSize, 1))
}

func (s *Scheduler) addSlot(e *endpoint, a *adapter, state slotState, now time.Time) *slot {
	c := &slot{adapter: a, endpoint: e, state: state, since: now}
	e.slots = append(e.slots, c)
	a.copies = append(a.copies, c)
	return c
}

func (s *Scheduler) dropSlot(c *slot) {
	e, a := c.endpoint, c.adapter
	if c.state == slotLoading {
		e.loading--
		s.loads--
	}
	if c.state == slotClosing {
		s.closing = slices.DeleteFunc(s.closing, func(other *slot) bool { return other == c })
	}
	s.setHolder(c, nil)
	e.slots = slices.DeleteFunc(e.slots, func(other *slot) bool { return other == c })
	a.copies = slices.DeleteFunc(a.copies, func(other *slot) bool { return other == c })
	s.updateAllWanted(a)
}

func (e *endpoint) find(a *adapter) *slot {
	for _, c := range a.copies {
		if c.endpoint == e {
			return c
		}
	}
	return nil
}

// evictable reports whether no rule protects the adapter in its slot.
func (s *Scheduler) evictable(c *slot) bool {
	o := &s.options
	if c.adapter.key.ref.IsBase() || c.state == slotLoading {
		return false
	}
	if c.inUse > 0 && !o.disabled[ProtectInUse] {
		return false
	}
	if c.state == slotClosing {
		return c.quota == 0
	}
	return !s.hasAcceptedWork(c) || o.disabled[ProtectWaiting]
}

// hasAcceptedWork reports whether a waiting request may run on the slot.
func (s *Scheduler) hasAcceptedWork(c *slot) bool {
	for _, g := range c.adapter.groups {
		if g.items.Len() > 0 && (g.pin == "" || g.pin == c.endpoint.Name) {
			return true
		}
	}
	return false
}

// value returns the expected number of uses per second that would need a load if the slot were evicted.
func (s *Scheduler) value(now time.Time, c *slot) float64 {
	if c.adapter.withdrawn {
		return -1
	}
	v := s.expectedUse(now, c.adapter)
	if len(c.adapter.copies) > 1 {
		v *= s.options.ReplicaValue
	}
	return v
}

func (s *Scheduler) expectedUse(now time.Time, a *adapter) float64 {
	at := s.seconds(now)
	return a.use.rate(at, s.observedTime(at), &s.options)
}

// setHolder assigns the slot to a customer, or to none, in the counts of held slots.
func (s *Scheduler) setHolder(c *slot, holder *customer) {
	if old := c.holder; old != nil {
		old.slots--
		s.removeIfIdle(old)
	}
	c.holder = holder
	if holder != nil {
		holder.slots++
	}
}

// aboveSlotShare reports whether the customer holds more slots than both its share by weight and an equal share.
func (s *Scheduler) aboveSlotShare(c *customer) bool {
	share := max(c.weight/s.weights, 1/float64(len(s.customers)))
	return float64(c.slots) > share*float64(s.slots)
}

// victim returns the slot to evict for a load and its value, or nil and zero if a slot is free.
func (s *Scheduler) victim(now time.Time, e *endpoint, g *group) (victim *slot, value float64, ok bool) {
	if e.used() < e.Slots {
		return nil, 0, true
	}
	over := g != nil && s.aboveSlotShare(g.customer) && !s.options.disabled[FairShares]
	for _, c := range e.slots[1:] {
		if !s.evictable(c) {
			continue
		}
		v := s.value(now, c)
		if over && c.holder != g.customer {
			v *= s.options.ForeignValue
		}
		if victim == nil || v < value {
			victim, value = c, v
		}
	}
	return victim, value, victim != nil
}

// closeSlot closes a slot to new work, for a customer that cannot evict from any slot. It prefers slots of customers above
// their share, then the one with the least accepted work, which the slot still serves. Without it, a customer with much
// waiting work could hold all slots indefinitely.
func (s *Scheduler) closeSlot(g *group) {
	if s.options.disabled[ProtectNewArrivals] || len(s.closing) >= max(len(s.wantingLoads), 2) {
		return
	}
	var best *slot
	var lowest int
	for _, e := range s.endpoints {
		if !e.accepts() || e.Model != g.adapter.key.model || g.pin != "" && g.pin != e.Name {
			continue
		}
		for _, c := range e.slots[1:] {
			if c.state != slotResident {
				continue
			}
			work := c.inUse + c.adapter.waiting
			if c.holder == nil || !s.aboveSlotShare(c.holder) {
				work += e.BatchSize
			}
			if best == nil || work < lowest {
				best, lowest = c, work
			}
		}
	}
	if best == nil {
		return
	}
	best.state = slotClosing
	best.quota = best.adapter.waiting
	s.closing = append(s.closing, best)
	s.updateAllWanted(best.adapter)
}

// reopen lets closing slots accept new work again when no other adapter needs a slot.
func (s *Scheduler) reopen() {
	if len(s.closing) == 0 {
		return
	}
	own := 0
	for _, c := range s.closing {
		for _, g := range c.adapter.groups {
			if g.wanted >= 0 {
				own++
			}
		}
	}
	if s.wantedCount > own {
		return
	}
	for _, c := range s.closing {
		c.state = slotResident
		c.quota = 0
		s.markDirty(c.endpoint)
		s.updateAllWanted(c.adapter)
	}
	s.closing = s.closing[:0]
}
