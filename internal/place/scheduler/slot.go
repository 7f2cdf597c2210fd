package scheduler

import (
	"math"
	"slices"
	"time"
)

// slotState is a plain enum instead of an fsm.FSM: a slot changes state on the path of each load and is read for
// each dispatch, where an event lookup under a mutex and its allocations would dominate the decision.
type slotState uint8

const (
	slotLoading slotState = iota
	slotResident
	slotClosing // serves the work accepted before, then becomes free
)

// slot is one adapter on one endpoint.
type slot struct {
	adapter  *adapter
	endpoint *endpoint
	state    slotState
	inUse    int
	quota    int       // dispatches left while closing
	holder   *customer // that the adapter was loaded for
	since    time.Time
}

func (c *slot) ready() bool {
	return c.state == slotResident || c.state == slotClosing && c.quota > 0
}

// usage counts conversations with exponential decay and remembers the last use. A use after ConversationGap without one
// starts a conversation, and in constant use each MaxConversation counts as one.
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

// rate is the expected number of uses per second that a load would serve: the conversations that start, and the next
// request of one if the last use was so recent that one is probably open. Later requests of a conversation need no load
// of their own, so counting each of them overrated adapters with one long conversation.
func (u *usage) rate(now, observed float64, o *Options) float64 {
	u.decay(now, o)
	popularity := u.count / observed
	gap := o.TurnGap.Seconds()
	odds := o.OpenShare * math.Exp(-(now-u.last)/gap)
	return popularity + odds/(odds+1-o.OpenShare)/gap
}

// observed is the time in seconds that a decayed count covers, which is shorter while the scheduler has just started. It is
// kept for one instant, because an eviction reads it for each slot.
func (s *Scheduler) observed(now float64) float64 {
	const shortest = 30 // seconds; the first uses after a start are no measure of popularity
	if s.coveredFor == 0 || s.coveredAt != now {
		halfLife := s.options.HalfLife.Seconds()
		s.coveredFor = halfLife / math.Ln2 * (1 - math.Exp2(-max(now, shortest)/halfLife))
		s.coveredAt = now
	}
	return s.coveredFor
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
	key       adapterKey
	use       usage
	groups    []*group
	copies    []*slot
	waiting   int
	position  int // in the scheduler's list of adapters
	failures  int
	failedOn  []failure
	retryAt   time.Time
	delayed   bool // waits for retryAt
	pressured bool // listed for a further replica
	hinted    bool // listed for prefetch
	withdrawn bool
}

func (s *Scheduler) adapter(now time.Time, model string, ref AdapterRef) *adapter {
	k := adapterKey{model, ref}
	if s.options.disabled[ExactVersion] {
		k.ref.Version = ""
	}
	if a, ok := s.adapters[k]; ok {
		return a
	}
	a := &adapter{key: k, position: len(s.list)}
	a.use.at = s.seconds(now)
	a.use.last = math.Inf(-1)
	s.adapters[k] = a
	s.list = append(s.list, a)
	return a
}

// sweep forgets idle adapters, two entries per call, so that no call scans all of them.
func (s *Scheduler) sweep(now time.Time) {
	const entries = 2
	const idleUses = 0.01
	for range min(entries, len(s.list)) {
		s.cursor = (s.cursor + 1) % len(s.list)
		a := s.list[s.cursor]
		a.use.decay(s.seconds(now), &s.options)
		idle := a.waiting == 0 && len(a.copies) == 0 && a.use.count < idleUses
		if !idle || a.failures > 0 || a.withdrawn || a.hinted || a.pressured {
			continue
		}
		last := s.list[len(s.list)-1]
		s.list[s.cursor] = last
		last.position = s.cursor
		s.list[len(s.list)-1] = nil
		s.list = s.list[:len(s.list)-1]
		delete(s.adapters, a.key)
		if len(s.list) == 0 {
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
	gone     bool
	history  history
	prefixes prefixes
	command  *command
}

func (e *endpoint) used() int { return len(e.slots) - 1 }

func (e *endpoint) free() int { return e.BatchSize - e.running - e.external }

func (e *endpoint) accepts() bool { return !e.Draining && e.command == nil && !e.gone }

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
	s.hold(c, nil)
	e.slots = slices.DeleteFunc(e.slots, func(other *slot) bool { return other == c })
	a.copies = slices.DeleteFunc(a.copies, func(other *slot) bool { return other == c })
	s.coverAll(a)
}

func (e *endpoint) find(a *adapter) *slot {
	for _, c := range a.copies {
		if c.endpoint == e {
			return c
		}
	}
	return nil
}

// evictable tells whether no promise keeps the adapter in its slot.
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
	return !s.accepted(c) || o.disabled[ProtectWaiting]
}

// accepted tells whether a waiting request counts on the slot.
func (s *Scheduler) accepted(c *slot) bool {
	for _, g := range c.adapter.groups {
		if g.items.Len() > 0 && (g.pin == "" || g.pin == c.endpoint.Name) {
			return true
		}
	}
	return false
}

// value is the expected number of uses per second that evicting the slot would turn into loads.
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
	return a.use.rate(at, s.observed(at), &s.options)
}

// hold counts the slot for the customer.
func (s *Scheduler) hold(c *slot, holder *customer) {
	if old := c.holder; old != nil {
		old.slots--
		s.forget(old)
	}
	c.holder = holder
	if holder != nil {
		holder.slots++
	}
}

// overSlots tells whether the customer holds more than its share of the slots by weight and more than an equal one.
func (s *Scheduler) overSlots(c *customer) bool {
	share := max(c.weight/s.weights, 1/float64(len(s.customers)))
	return float64(c.slots) > share*float64(s.slots)
}

// victim returns the slot to evict for a load and its value; no slot and a value of zero when one is free.
func (s *Scheduler) victim(now time.Time, e *endpoint, g *group) (victim *slot, value float64, ok bool) {
	if e.used() < e.Slots {
		return nil, 0, true
	}
	over := g != nil && s.overSlots(g.customer) && !s.options.disabled[FairShares]
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

// closeSlot frees a slot for a customer that every slot is closed to: the one with the least accepted work, first of
// customers above their share, serves that work and no other. Without it a customer with much waiting work could
// hold all slots for good.
func (s *Scheduler) closeSlot(g *group) {
	if s.options.disabled[ProtectNewArrivals] || len(s.closing) >= max(len(s.wanting), 2) {
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
			if c.holder == nil || !s.overSlots(c.holder) {
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
	s.coverAll(best.adapter)
}

// reopen lets closing slots take new work again when no other adapter wants a place.
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
		s.coverAll(c.adapter)
	}
	s.closing = s.closing[:0]
}
