package scheduler

import (
	"container/heap"
	"time"

	"lycheevale/internal/base/refusal"
)

// indexedHeap is a heap that stores the index of each item in the item, so that any item can be removed or moved.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

func (o *indexedHeap[T]) Len() int           { return len(o.items) }
func (o *indexedHeap[T]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

func (o *indexedHeap[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	*o.index(o.items[i]) = i
	*o.index(o.items[j]) = j
}

// Push implements heap.Interface.
func (o *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*o.index(item) = len(o.items)
	o.items = append(o.items, item)
}

// Pop implements heap.Interface.
func (o *indexedHeap[T]) Pop() any {
	var none T
	last := len(o.items) - 1
	item := o.items[last]
	o.items[last] = none
	o.items = o.items[:last]
	*o.index(item) = -1
	return item
}

func (o *indexedHeap[T]) remove(item T) {
	if i := *o.index(item); i >= 0 {
		heap.Remove(o, i)
	}
}

// item is one waiting request.
type item struct {
	Request
	group    *group
	index    int // in the group
	checkAt  time.Time
	deadline int // index in the heap of deadlines
	sequence uint64
}

// group holds the waiting requests of one customer for one adapter that allow the same endpoint.
type group struct {
	customer *customer
	adapter  *adapter
	pin      string // the only endpoint allowed, empty for any
	items    indexedHeap[*item]
	wanted   int // index in the customer's heap of wanted loads, -1 if none is wanted
}

type groupKey struct {
	customer *customer
	adapter  *adapter
	pin      string
}

// customer holds the tags of start-time fair queueing: finish, in tokens divided by weight, for dispatches, and loadFinish,
// in loads, for loads, which are shared equally.
type customer struct {
	name       string
	weight     float64
	finish     float64
	loadFinish float64
	waiting    int
	running    int
	slots      int // held
	demand     demand
	wanted     indexedHeap[*group]
}

func (s *Scheduler) customer(name string) *customer {
	if c, ok := s.customers[name]; ok {
		return c
	}
	c := &customer{name: name, weight: max(s.options.Weight(name), 1e-6)}
	c.wanted = indexedHeap[*group]{less: s.lessByUrgency, index: func(g *group) *int { return &g.wanted }}
	s.customers[name] = c
	s.weights += c.weight
	return c
}

func lessByPriority(a, b *item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// lessByUrgency orders the loads of a customer by deadline and waiting work.
func (s *Scheduler) lessByUrgency(a, b *group) bool {
	return s.urgency(a).Before(s.urgency(b))
}

func (s *Scheduler) urgency(g *group) time.Time {
	return g.items.items[0].Deadline.Add(-time.Duration(g.items.Len()) * s.options.WorkBonus)
}

func (s *Scheduler) group(c *customer, a *adapter, pin string) *group {
	k := groupKey{c, a, pin}
	if g, ok := s.groups[k]; ok {
		return g
	}
	g := &group{customer: c, adapter: a, pin: pin, wanted: -1}
	g.items = indexedHeap[*item]{less: lessByPriority, index: func(i *item) *int { return &i.index }}
	s.groups[k] = g
	a.groups = append(a.groups, g)
	return g
}

// enqueue adds a request to its group.
func (s *Scheduler) enqueue(r Request, a *adapter) *item {
	c := s.customer(r.Customer)
	if c.waiting == 0 {
		c.finish = max(c.finish, s.virtualTime)
		s.backlogged += c.weight
	}
	g := s.group(c, a, r.Endpoint)
	s.sequence++
	it := &item{Request: r, group: g, sequence: s.sequence, checkAt: r.Deadline.Add(-s.options.LoadTime)}
	heap.Push(&g.items, it)
	heap.Push(&s.deadlines, it)
	s.items[r.ID] = it
	c.waiting++
	a.waiting++
	s.waiting++
	s.updateWanted(g)
	return it
}

// dequeue removes a waiting request, and its group if that is now empty.
func (s *Scheduler) dequeue(it *item) {
	g := it.group
	g.items.remove(it)
	s.deadlines.remove(it)
	delete(s.items, it.ID)
	g.customer.waiting--
	if g.customer.waiting == 0 {
		s.backlogged -= g.customer.weight
	}
	g.adapter.waiting--
	s.waiting--
	s.updateWanted(g)
	if g.items.Len() > 0 {
		return
	}
	delete(s.groups, groupKey{g.customer, g.adapter, g.pin})
	for i, other := range g.adapter.groups {
		if other == g {
			last := len(g.adapter.groups) - 1
			g.adapter.groups[i] = g.adapter.groups[last]
			g.adapter.groups[last] = nil
			g.adapter.groups = g.adapter.groups[:last]
			break
		}
	}
	s.removeIfIdle(g.customer)
}

// removeIfIdle removes a customer without work whose tags are not ahead of the virtual times.
func (s *Scheduler) removeIfIdle(c *customer) {
	idle := c.waiting == 0 && c.running == 0 && c.slots == 0
	if idle && c.finish <= s.virtualTime && c.loadFinish <= s.virtualLoadTime && s.customers[c.name] == c {
		s.weights -= c.weight
		c.demand.decay(s.demand.at)
		s.demand.tokens = max(s.demand.tokens-c.demand.tokens, 0)
		delete(s.customers, c.name)
	}
}

// startTag returns the virtual time at which the customer's next request would start. A customer whose requests waited for
// a load may catch up by CreditTokens at most, so that it does not block the others afterwards.
func (s *Scheduler) startTag(c *customer) float64 {
	return max(c.finish, s.virtualTime-s.options.CreditTokens)
}

// precedes reports whether the first request of a is dispatched before that of b.
func (s *Scheduler) precedes(a, b *group) bool {
	if b == nil {
		return true
	}
	if s.options.disabled[FairShares] {
		return a.items.items[0].sequence < b.items.items[0].sequence
	}
	if a.customer == b.customer {
		return lessByPriority(a.items.items[0], b.items.items[0])
	}
	ta, tb := s.startTag(a.customer), s.startTag(b.customer)
	if ta != tb {
		return ta < tb
	}
	return lessByPriority(a.items.items[0], b.items.items[0])
}

// charge advances the customer's tag by the expected cost of a dispatched request.
func (s *Scheduler) charge(c *customer, tokens float64) {
	start := s.startTag(c)
	s.virtualTime = max(s.virtualTime, start)
	c.finish = start + tokens/c.weight
}

func withdrawnError(a *adapter) *refusal.Error {
	return refusal.New(refusal.Unavailable, "version %q of adapter %q is withdrawn", a.key.ref.Version, a.key.ref.Adapter)
}

// refuse removes a waiting request and emits its refusal.
func (s *Scheduler) refuse(it *item, err *refusal.Error) {
	s.dequeue(it)
	s.actions = append(s.actions, Action{Kind: Refuse, ID: it.ID, Err: err})
}

// expire refuses requests whose deadline has passed, or will pass before a load that has not started could end.
func (s *Scheduler) expire(now time.Time) {
	for s.deadlines.Len() > 0 {
		it := s.deadlines.items[0]
		if it.checkAt.After(now) {
			return
		}
		switch {
		case !it.Deadline.After(now):
			err := refusal.New(refusal.DeadlineExceeded, "no endpoint was free before the deadline")
			s.refuse(it, err.WithRetryAt(now.Add(s.placeWait(it.group.customer))))
		case it.group.wanted >= 0 || it.group.adapter.delayed:
			err := refusal.New(refusal.DeadlineExceeded, "the adapter cannot be loaded before the deadline")
			s.refuse(it, err.WithRetryAt(now.Add(s.loadWait(now, it.group))))
		default:
			it.checkAt = it.Deadline
			heap.Fix(&s.deadlines, it.deadline)
		}
	}
}
