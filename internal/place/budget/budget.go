// Package budget grants permits for loads from the weight store within a data centre's share of its transfers and rate.
// The data centre's coordinator runs it. A Budget does no I/O, reads no clock and is not safe for concurrent use.
package budget

import (
	"cmp"
	"slices"
	"time"

	"lycheevale/internal/limit/bucket"
)

// Key identifies a load. IDs increase with each load of one incarnation of an owner.
type Key struct {
	Owner       string `json:"Owner"`
	Incarnation uint64 `json:"Incarnation"` // of the owner's process
	ID          uint64 `json:"ID"`
}

// Request asks for a permit.
type Request struct {
	Key
	Refill   bool      // of an engine that restarted empty
	Yield    bool      // for a customer that sends far above its rate: granted after all other loads
	Work     float64   // tokens of the requests that wait for the adapter
	Deadline time.Time // after which the load is no longer wanted
}

// Permit allows one load to run until Deadline by the coordinator's clock. An owner counts Life from the first sending of
// its request, so that for the owner the permit ends earlier.
type Permit struct {
	Key
	Life     time.Duration
	Deadline time.Time
}

// Budget is the state of one coordinator.
type Budget struct {
	options       Options
	share         Share
	rate          *bucket.Bucket
	opensAt       time.Time
	permits       map[Key]Permit
	queue         map[Key]*waiting
	released      map[Key]time.Time // released loads, with the time until which they are kept
	lastGrants    map[string]grant  // last grant of each owner
	grants        uint64
	refillBalance float64 // grows with permits of normal loads, falls with those of refills
	arrived       uint64
}

// grant is an owner's last grant. It is dropped after a while, so that owners without loads use no memory.
type grant struct {
	at     time.Time
	number uint64
}

type waiting struct {
	Request
	since   time.Time
	arrival uint64
}

// New returns the budget of a new coordinator. It does not know the permits of its predecessor, so it grants nothing until
// they have expired.
func New(now time.Time, share Share, opts ...Option) *Budget {
	o := Options{Life: permitLife, Margin: permitMargin, RefillPart: refillPart, MaxWait: longestWait}
	for _, opt := range opts {
		opt(&o)
	}
	b := &Budget{
		options: o, share: share, opensAt: now.Add(o.Life + o.Margin),
		permits: map[Key]Permit{}, queue: map[Key]*waiting{}, released: map[Key]time.Time{},
		lastGrants: map[string]grant{},
	}
	if o.grantAtStart {
		b.opensAt = now
	}
	b.rate = bucket.New(b.opensAt, share.Rate, share.burst(), bucket.WithLevel(0))
	return b
}

// SetShare changes the share. A smaller number of transfers is in effect once Within returns true.
func (b *Budget) SetShare(now time.Time, share Share) {
	b.share = share
	b.rate.SetLimits(now, share.Rate, share.burst())
}

// Within reports whether the loads that can be in transit do not exceed the share. A coordinator must not confirm a
// smaller share before.
func (b *Budget) Within(now time.Time) bool {
	b.expire(now)
	return !now.Before(b.opensAt) && len(b.permits) <= b.share.Transfers
}

// Acquire queues the load or returns its permit. A resend returns the same permit, or updates the queued load. It returns
// false while the load waits, and for a load that was released.
func (b *Budget) Acquire(now time.Time, r Request) (p Permit, ok bool) {
	b.expire(now)
	if p, ok := b.permits[r.Key]; ok {
		p.Life = max(0, p.Deadline.Sub(now)-b.options.Margin)
		return p, true
	}
	if _, released := b.released[r.Key]; released || !now.Before(r.Deadline) {
		return Permit{}, false
	}
	if w, ok := b.queue[r.Key]; ok {
		w.Request = r
	} else if len(b.queue) < maxQueue {
		b.arrived++
		b.queue[r.Key] = &waiting{Request: r, since: now, arrival: b.arrived}
	}
	for _, granted := range b.Decide(now) {
		if granted.Key == r.Key {
			return granted, true
		}
	}
	return Permit{}, false
}

// Extend extends the permit of a load that is still running, or returns false if the permit has expired.
func (b *Budget) Extend(now time.Time, k Key) (p Permit, ok bool) {
	b.expire(now)
	if _, ok := b.permits[k]; !ok {
		return Permit{}, false
	}
	p = b.permit(now, k)
	b.permits[k] = p
	return p, true
}

// Release ends a load, whether it succeeded or not, or removes it from the queue. Resends have no effect.
func (b *Budget) Release(now time.Time, k Key) {
	b.expire(now)
	delete(b.permits, k)
	delete(b.queue, k)
	if !b.options.forgetReleased {
		b.released[k] = now.Add(releasedRetention)
	}
}

// Restarted drops the queued loads of earlier incarnations of an owner. Their permits stay until they expire, because a
// running transfer continues without the process that requested it.
func (b *Budget) Restarted(now time.Time, owner string, incarnation uint64) {
	b.expire(now)
	for k := range b.queue {
		if k.Owner == owner && k.Incarnation < incarnation {
			delete(b.queue, k)
		}
	}
	for k := range b.permits {
		if b.options.releaseOnRestart && k.Owner == owner && k.Incarnation < incarnation {
			delete(b.permits, k)
		}
	}
}

// Decide grants permits to waiting loads in order, as far as the share allows. It returns each permit once; a resend of
// Acquire returns it again.
func (b *Budget) Decide(now time.Time) (granted []Permit) {
	b.expire(now)
	if now.Before(b.opensAt) || len(b.permits) >= b.share.Transfers || b.rate.Level(now) < 1 {
		return nil
	}
	order := b.order(now)
	for len(b.permits) < b.share.Transfers && order.waiting() > 0 {
		if _, ok := b.rate.Take(now, 1); !ok {
			break
		}
		w := b.takeNext(&order)
		delete(b.queue, w.Key)
		b.grants++
		b.lastGrants[w.Owner] = grant{at: now, number: b.grants}
		p := b.permit(now, w.Key)
		b.permits[w.Key] = p
		granted = append(granted, p)
	}
	return granted
}

func (b *Budget) permit(now time.Time, k Key) Permit {
	return Permit{Key: k, Life: b.options.Life, Deadline: now.Add(b.options.Life + b.options.Margin)}
}

// NextWake returns the time at which Decide may be able to grant a permit, or zero if no load waits or the rate allows none.
func (b *Budget) NextWake(now time.Time) (at time.Time) {
	if len(b.queue) == 0 {
		return time.Time{}
	}
	at, never := b.rate.When(now, 1)
	if never {
		return time.Time{}
	}
	if at.Before(b.opensAt) {
		at = b.opensAt
	}
	if len(b.permits) < b.share.Transfers {
		return at
	}
	var free time.Time
	for _, p := range b.permits {
		if free.IsZero() || p.Deadline.Before(free) {
			free = p.Deadline
		}
	}
	if free.After(at) {
		return free
	}
	return at
}

// InTransit returns the number of permits in use.
func (b *Budget) InTransit() int { return len(b.permits) }

// Waiting returns the number of waiting loads.
func (b *Budget) Waiting() int { return len(b.queue) }

// expire removes expired permits, queued loads whose deadline has passed, and old entries of released loads and grants.
func (b *Budget) expire(now time.Time) {
	for k, p := range b.permits {
		if !now.Before(p.Deadline) {
			delete(b.permits, k)
		}
	}
	for k, w := range b.queue {
		if !now.Before(w.Deadline) {
			delete(b.queue, k)
		}
	}
	for k, until := range b.released {
		if !now.Before(until) {
			delete(b.released, k)
		}
	}
	for owner, g := range b.lastGrants {
		if now.Sub(g.at) >= grantRetention {
			delete(b.lastGrants, owner)
		}
	}
}

// classes holds the waiting loads by class, each list in the order in which it is served.
type classes struct {
	aged   []*waiting // waited for MaxWait, oldest first
	normal []*waiting // by work; round robin between owners
	refill []*waiting
	yield  []*waiting // by work; round robin between owners
}

func (c *classes) waiting() int { return len(c.aged) + len(c.normal) + len(c.refill) + len(c.yield) }

func (b *Budget) order(now time.Time) (c classes) {
	for _, w := range b.queue {
		switch {
		case w.Yield:
			c.yield = append(c.yield, w)
		case now.Sub(w.since) >= b.options.MaxWait && !w.Refill:
			c.aged = append(c.aged, w)
		case w.Refill:
			c.refill = append(c.refill, w)
		default:
			c.normal = append(c.normal, w)
		}
	}
	slices.SortFunc(c.aged, func(x, y *waiting) int { return cmp.Compare(x.arrival, y.arrival) })
	byWork := func(x, y *waiting) int {
		return cmp.Or(cmp.Compare(y.Work, x.Work), x.Deadline.Compare(y.Deadline), cmp.Compare(x.arrival, y.arrival))
	}
	slices.SortFunc(c.normal, byWork)
	slices.SortFunc(c.refill, byWork)
	slices.SortFunc(c.yield, byWork)
	return c
}

// takeNext removes and returns the next load. While normal loads and refills both wait, each class gets its part of the permits.
func (b *Budget) takeNext(c *classes) *waiting {
	normal := func() *waiting {
		if len(c.aged) > 0 {
			return removeFirst(&c.aged)
		}
		return b.takeRoundRobin(&c.normal)
	}
	waits := len(c.aged)+len(c.normal) > 0
	if !waits && len(c.refill) == 0 {
		return b.takeRoundRobin(&c.yield)
	}
	if len(c.refill) == 0 {
		return normal()
	}
	if !waits || b.options.refillFirst {
		return removeFirst(&c.refill)
	}
	if b.refillBalance >= 0 {
		b.refillBalance -= 1 - b.options.RefillPart
		return removeFirst(&c.refill)
	}
	b.refillBalance += b.options.RefillPart
	return normal()
}

// takeRoundRobin removes and returns the load with the most work of the owner whose last grant is oldest.
func (b *Budget) takeRoundRobin(list *[]*waiting) *waiting {
	if b.options.mostWorkFirst {
		return removeFirst(list)
	}
	first := slices.MinFunc(*list, func(x, y *waiting) int {
		return cmp.Compare(b.lastGrants[x.Owner].number, b.lastGrants[y.Owner].number)
	})
	*list = slices.DeleteFunc(*list, func(w *waiting) bool { return w == first })
	return first
}

func removeFirst(list *[]*waiting) *waiting {
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}
