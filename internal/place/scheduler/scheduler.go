// Package scheduler decides for an owner which waiting request runs on which endpoint and which adapters are
// loaded and evicted. It does no I/O and reads no clock: callers pass the time and observations, and execute the actions
// that it returns. It is not safe for concurrent use.
//
// No decision scans all adapters or waiting requests: a dispatch examines the slots of endpoints with free places, and a
// load the customers that want one and the slots of the owner's endpoints.
package scheduler

import (
	"slices"
	"time"

	"lycheevale/internal/base/refusal"
)

// Scheduler is the state of one owner's decisions.
type Scheduler struct {
	options     Options
	origin      time.Time
	endpoints   []*endpoint // by name
	byName      map[string]*endpoint
	customers   map[string]*customer
	adapters    map[adapterKey]*adapter
	adapterList []*adapter
	sweepCursor int
	groups      map[groupKey]*group
	items       map[string]*item
	running     map[string]*run
	deadlines   indexedHeap[*item]
	sequence    uint64 // of the last request
	dirty       []*endpoint
	actions     []Action // collected since the last call of Decide
	returned    []Action

	weights            float64 // total weight of all known customers
	demand             demand  // total of all known customers
	slots              int     // of all endpoints
	backlogged         float64 // total weight of the customers with waiting requests
	virtualTime        float64 // virtual time of service, tokens by weight
	virtualLoadTime    float64 // virtual time of loads
	observedTimeAt     float64 // time for which observedTimeCache was computed
	observedTimeCache  float64 // result of observedTime, in seconds
	wantingLoads       []*customer
	wantedCount        int
	waiting            int
	delayed            []*adapter
	replicaCandidates  []*adapter
	prefetchCandidates []*adapter
	nextPrefetchAt     time.Time
	loads              int
	nextPermitAt       time.Time
	lastEvictedValue   float64
	meanService        float64 // mean seconds from dispatch to end
	outputShare        float64 // mean share of MaxTokens that is generated
	commands           map[string]*command
	commandOrder       []*command
	unloads            []*slot
	closing            []*slot
}

// run is one dispatched request.
type run struct {
	customer *customer
	slot     *slot
	request  Request
	charged  float64
	at       time.Time
}

// New returns a scheduler without endpoints.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{
		options:     Defaults(),
		byName:      map[string]*endpoint{},
		customers:   map[string]*customer{},
		adapters:    map[adapterKey]*adapter{},
		groups:      map[groupKey]*group{},
		items:       map[string]*item{},
		running:     map[string]*run{},
		commands:    map[string]*command{},
		meanService: 1, outputShare: 0.5,
	}
	for _, opt := range opts {
		opt(&s.options)
	}
	s.deadlines = indexedHeap[*item]{
		less:  func(a, b *item) bool { return a.checkAt.Before(b.checkAt) },
		index: func(i *item) *int { return &i.deadline },
	}
	return s
}

func (s *Scheduler) seconds(now time.Time) float64 {
	if s.origin.IsZero() {
		s.origin = now
	}
	return now.Sub(s.origin).Seconds()
}

// Submit queues a request, or refuses it immediately if it cannot be dispatched before its deadline.
func (s *Scheduler) Submit(now time.Time, r Request) error {
	if !r.Deadline.After(now) {
		return refusal.New(refusal.DeadlineExceeded, "deadline has passed")
	}
	if _, known := s.items[r.ID]; known || s.running[r.ID] != nil {
		return refusal.New(refusal.Conflict, "request %q is already known", r.ID)
	}
	s.sweep(now)
	a := s.adapter(now, r.Model, r.Adapter)
	if a.withdrawn {
		return withdrawnError(a)
	}
	if s.quarantined(now, a) {
		return s.failedError(a)
	}
	it := s.enqueue(r, a)
	s.countDemand(now, it.group.customer, r)
	if err := s.checkDeadline(now, it); err != nil {
		s.dequeue(it)
		return err
	}
	for _, c := range a.copies {
		if c.ready() {
			s.markDirty(c.endpoint)
		}
	}
	return nil
}

// checkDeadline returns a refusal if the estimated start of a request is after its deadline.
func (s *Scheduler) checkDeadline(now time.Time, it *item) error {
	if s.options.disabled[RefuseEarly] {
		return nil
	}
	left := it.Deadline.Sub(now)
	if wait := s.placeWait(it.group.customer); wait > left {
		err := refusal.New(refusal.Overloaded, "the customer's waiting requests take until after the deadline")
		return err.WithRetryAt(now.Add(wait - left))
	}
	if it.group.wanted < 0 {
		return nil
	}
	if wait := s.loadWait(now, it.group); wait > left {
		err := refusal.New(refusal.Overloaded, "the adapter cannot be loaded before the deadline")
		return err.WithRetryAt(now.Add(wait - left))
	}
	return nil
}

// placeWait estimates the time until all waiting requests of the customer have been dispatched if it gets its fair share
// of the places that become free. It tends to underestimate, so that only requests that would miss their deadline are
// refused.
func (s *Scheduler) placeWait(c *customer) time.Duration {
	places, free := 0, 0
	for _, e := range s.endpoints {
		if e.accepts() {
			places += e.BatchSize
			free += max(e.free(), 0)
		}
	}
	queued := c.waiting - 1 - free
	if queued <= 0 || places == 0 {
		return 0
	}
	// The requests of other customers ahead are bounded by their shares and by the number that wait.
	byShare := float64(queued) * max(s.backlogged, c.weight) / c.weight
	byCount := float64(queued + s.waiting - c.waiting)
	rate := float64(places) / max(s.meanService, 1e-3)
	return time.Duration(min(byShare, byCount) / rate * float64(time.Second))
}

// loadWait estimates the time until a load for the group ends if its customer gets a fair share of loads. The loads of
// bursting customers come after those of the others.
func (s *Scheduler) loadWait(now time.Time, g *group) time.Duration {
	ahead := 0
	skipBursting := !s.bursting(now, g.customer)
	for _, c := range s.wantingLoads {
		if skipBursting && s.bursting(now, c) {
			continue
		}
		ahead += min(c.wanted.Len(), g.customer.wanted.Len())
	}
	wait := s.options.LoadTime + time.Duration(max(ahead-1, 0))*s.options.LoadInterval
	return wait
}

// Cancel removes a waiting request. Running requests end with Finished.
func (s *Scheduler) Cancel(_ time.Time, id string) {
	if it, ok := s.items[id]; ok {
		s.dequeue(it)
	}
}

// Finished frees the place of a dispatched request and replaces its expected cost by the actual one.
func (s *Scheduler) Finished(now time.Time, f Finish) {
	r, ok := s.running[f.ID]
	if !ok {
		return
	}
	delete(s.running, f.ID)
	r.customer.running--
	r.customer.finish += (float64(f.Tokens) - r.charged) / r.customer.weight
	s.removeIfIdle(r.customer)
	if !f.Failed {
		s.updateAverages(now, r, f)
	}
	r.slot.inUse--
	e := r.slot.endpoint
	if e.removed {
		return
	}
	if r.slot.adapter.withdrawn {
		s.unloadWithdrawn(r.slot.adapter)
	}
	e.running--
	e.history.add(now, e.running)
	s.markDirty(e)
}

// updateAverages updates the moving averages of the service time and of the share of MaxTokens that is generated.
func (s *Scheduler) updateAverages(now time.Time, r *run, f Finish) {
	const weight = 0.02
	s.meanService += weight * (now.Sub(r.at).Seconds() - s.meanService)
	if r.request.MaxTokens > 0 {
		share := float64(f.Tokens-r.request.PromptTokens) / float64(r.request.MaxTokens)
		s.outputShare += weight * (min(max(share, 0), 1) - s.outputShare)
	}
}

func (s *Scheduler) addAction(e *endpoint, a Action) {
	a.Endpoint = e.Name
	a.Incarnation = e.Incarnation
	a.Fence = e.Fence
	s.actions = append(s.actions, a)
}

// Decide returns the actions to execute now, including refusals caused by observations since the last call. The slice is
// valid until the next call.
func (s *Scheduler) Decide(now time.Time) []Action {
	s.expire(now)
	s.dispatch(now)
	s.unload()
	s.load(now)
	s.runCommands()
	clear(s.returned)
	s.actions, s.returned = s.returned[:0], s.actions
	return s.returned
}

// NextWake returns the next time at which Decide may return actions without a new observation, or zero if there is none.
func (s *Scheduler) NextWake() time.Time {
	at := s.nextPermitAt
	consider := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if s.deadlines.Len() > 0 {
		consider(s.deadlines.items[0].checkAt)
	}
	for _, a := range s.delayed {
		consider(a.retryAt)
	}
	if len(s.prefetchCandidates) > 0 {
		consider(s.nextPrefetchAt)
	}
	return at
}

func (s *Scheduler) markDirty(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		s.dirty = append(s.dirty, e)
	}
}

// dispatch fills free places. It chooses the next request by fairness and deadline over all dirty endpoints, then the
// endpoint for it among those where its adapter is resident.
func (s *Scheduler) dispatch(now time.Time) {
	for len(s.dirty) > 0 {
		var best *group
		for i := 0; i < len(s.dirty); i++ {
			e := s.dirty[i]
			g := s.nextGroup(e)
			if g == nil || e.free() <= 0 {
				s.addReplicaCandidate(e, g)
				e.dirty = false
				s.dirty = slices.Delete(s.dirty, i, i+1)
				i--
				continue
			}
			if s.precedes(g, best) {
				best = g
			}
		}
		if best != nil {
			s.start(now, best)
		}
	}
}

// nextGroup returns the group whose request is dispatched next on the endpoint, or nil if there is none.
func (s *Scheduler) nextGroup(e *endpoint) (best *group) {
	if !e.accepts() {
		return nil
	}
	for _, c := range e.slots {
		if c.adapter.waiting == 0 || !c.ready() {
			continue
		}
		for _, g := range c.adapter.groups {
			if g.pin != "" && g.pin != e.Name {
				continue
			}
			if s.precedes(g, best) {
				best = g
			}
		}
	}
	return best
}

func (s *Scheduler) addReplicaCandidate(e *endpoint, g *group) {
	if g == nil || e.free() > 0 || g.adapter.replicaCandidate || g.adapter.key.ref.IsBase() || g.pin != "" || len(s.endpoints) < 2 {
		return
	}
	g.adapter.replicaCandidate = true
	s.replicaCandidates = append(s.replicaCandidates, g.adapter)
}

// start dispatches the first request of the group.
func (s *Scheduler) start(now time.Time, g *group) {
	it := g.items.items[0]
	c := s.chooseSlot(g, it)
	g.customer.running++ // before dequeue, which removes customers without work
	s.dequeue(it)
	if c.state == slotClosing {
		c.quota--
		s.updateAllWanted(g.adapter)
	}
	e := c.endpoint
	expected := s.expectedTokens(it.Request)
	s.charge(g.customer, expected)
	c.inUse++
	g.adapter.use.add(s.seconds(now), &s.options)
	e.running++
	e.history.add(now, e.running)
	e.prefixes.add(it.PrefixHash, s.options.PrefixLimit)
	s.running[it.ID] = &run{customer: g.customer, slot: c, request: it.Request, charged: expected, at: now}
	s.addAction(e, Action{Kind: Dispatch, ID: it.ID, Priority: it.Priority, Adapter: it.Adapter})
}

// expectedTokens estimates the cost of a request before it has run.
func (s *Scheduler) expectedTokens(r Request) float64 {
	return float64(r.PromptTokens) + float64(r.MaxTokens)*s.outputShare
}

// chooseSlot returns the slot for a request on the least filled endpoint. An endpoint that caches the prefix of the
// request is preferred if its fill is higher by less than CopyGap.
func (s *Scheduler) chooseSlot(g *group, it *item) *slot {
	var best *slot
	var bestCost float64
	for _, c := range g.adapter.copies {
		e := c.endpoint
		if !c.ready() || !e.accepts() || e.free() <= 0 || g.pin != "" && g.pin != e.Name {
			continue
		}
		cost := e.fill()
		if e.prefixes.has(it.PrefixHash) {
			cost -= s.options.CopyGap
		}
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}
