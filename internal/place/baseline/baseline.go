// Package baseline implements the scheduler against which the benchmark compares: requests in FIFO order, the least loaded
// endpoint among those where the adapter is resident, and eviction of the least recently used adapter.
package baseline

import (
	"slices"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
)

// Scheduler is the state of one owner's decisions.
type Scheduler struct {
	loadLimit int
	endpoints map[string]*endpoint
	queue     []scheduler.Request
	running   map[string]assignment
	loads     int
}

type endpoint struct {
	scheduler.Endpoint
	inUse    map[scheduler.AdapterRef]int
	resident map[scheduler.AdapterRef]time.Time // last use
	loading  map[scheduler.AdapterRef]bool
	running  int
}

type assignment struct {
	endpoint string
	request  scheduler.Request
}

// New returns a scheduler without endpoints that keeps at most maxLoads loads in transit.
func New(maxLoads int) *Scheduler {
	return &Scheduler{loadLimit: maxLoads, endpoints: map[string]*endpoint{}, running: map[string]assignment{}}
}

// SetEndpoint adds an endpoint or updates its state. A new incarnation starts with the adapters in Resident.
func (s *Scheduler) SetEndpoint(now time.Time, e scheduler.Endpoint) {
	old, known := s.endpoints[e.Name]
	if known && old.Incarnation == e.Incarnation {
		old.Draining = e.Draining
		return
	}
	next := &endpoint{
		Endpoint: e, inUse: map[scheduler.AdapterRef]int{}, resident: map[scheduler.AdapterRef]time.Time{}, loading: map[scheduler.AdapterRef]bool{},
	}
	for _, a := range e.Resident {
		next.resident[a] = now
	}
	s.endpoints[e.Name] = next
	if known {
		s.loads -= len(old.loading)
	}
}

// RemoveEndpoint removes an endpoint.
func (s *Scheduler) RemoveEndpoint(_ time.Time, name string) {
	if e, ok := s.endpoints[name]; ok {
		s.loads -= len(e.loading)
		delete(s.endpoints, name)
	}
}

// Submit queues a request, or refuses it if its deadline has passed.
func (s *Scheduler) Submit(now time.Time, r scheduler.Request) error {
	if !r.Deadline.After(now) {
		return refusal.New(refusal.DeadlineExceeded, "deadline has passed")
	}
	s.queue = append(s.queue, r)
	return nil
}

// Cancel removes a waiting request. Running requests end with Finished.
func (s *Scheduler) Cancel(_ time.Time, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(r scheduler.Request) bool { return r.ID == id })
}

// Finished frees the place of a dispatched request.
func (s *Scheduler) Finished(now time.Time, f scheduler.Finish) {
	a, ok := s.running[f.ID]
	if !ok {
		return
	}
	delete(s.running, f.ID)
	e, ok := s.endpoints[a.endpoint]
	if !ok {
		return
	}
	e.running--
	e.inUse[a.request.Adapter]--
	e.resident[a.request.Adapter] = now
}

// Loaded records the result of a load.
func (s *Scheduler) Loaded(now time.Time, l scheduler.LoadResult) {
	e, ok := s.endpoints[l.Endpoint]
	if !ok || e.Incarnation != l.Incarnation || !e.loading[l.Adapter] {
		return
	}
	delete(e.loading, l.Adapter)
	s.loads--
	if !l.Failed {
		e.resident[l.Adapter] = now
	}
}

// Report ignores an engine's load report.
func (s *Scheduler) Report(time.Time, scheduler.LoadReport) {}

// NextWake returns the earliest deadline of the waiting requests, or zero if there are none.
func (s *Scheduler) NextWake() time.Time {
	var at time.Time
	for _, r := range s.queue {
		if at.IsZero() || r.Deadline.Before(at) {
			at = r.Deadline
		}
	}
	return at
}

// Decide returns the actions to execute now.
func (s *Scheduler) Decide(now time.Time) []scheduler.Action {
	var actions []scheduler.Action
	var waiting []scheduler.Request
	for _, r := range s.queue {
		action, done := s.decideOne(now, r)
		if action.Kind != "" {
			actions = append(actions, action)
		}
		if !done {
			waiting = append(waiting, r)
		}
	}
	s.queue = waiting
	return actions
}

func (s *Scheduler) decideOne(now time.Time, r scheduler.Request) (action scheduler.Action, done bool) {
	if !r.Deadline.After(now) {
		err := refusal.New(refusal.DeadlineExceeded, "no endpoint was free before the deadline")
		return scheduler.Action{Kind: scheduler.Refuse, ID: r.ID, Err: err}, true
	}
	if e := s.residentEndpoint(r); e != nil {
		e.running++
		e.inUse[r.Adapter]++
		s.running[r.ID] = assignment{e.Name, r}
		return scheduler.Action{Kind: scheduler.Dispatch, ID: r.ID, Endpoint: e.Name, Adapter: r.Adapter}, true
	}
	return s.load(r), false
}

func (s *Scheduler) residentEndpoint(r scheduler.Request) *endpoint {
	var best *endpoint
	for _, name := range s.sortedNames() {
		e := s.endpoints[name]
		_, resident := e.resident[r.Adapter]
		usable := e.canRun(r) && (resident || r.Adapter.IsBase()) && e.running < e.BatchSize
		if usable && (best == nil || e.running < best.running) {
			best = e
		}
	}
	return best
}

func (e *endpoint) canRun(r scheduler.Request) bool {
	return e.Model == r.Model && !e.Draining && (r.Endpoint == "" || r.Endpoint == e.Name)
}

func (s *Scheduler) sortedNames() []string {
	names := make([]string, 0, len(s.endpoints))
	for name := range s.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// load orders a load for the request unless one is running or the adapter is resident on a busy endpoint.
func (s *Scheduler) load(r scheduler.Request) scheduler.Action {
	var target *endpoint
	for _, name := range s.sortedNames() {
		e := s.endpoints[name]
		if !e.canRun(r) {
			continue
		}
		if _, resident := e.resident[r.Adapter]; resident || e.loading[r.Adapter] {
			return scheduler.Action{}
		}
		if target == nil || e.running < target.running {
			target = e
		}
	}
	if target == nil || s.loads >= s.loadLimit {
		return scheduler.Action{}
	}
	evict, ok := target.victim()
	if !ok {
		return scheduler.Action{}
	}
	if !evict.IsBase() {
		delete(target.resident, evict)
	}
	target.loading[r.Adapter] = true
	s.loads++
	return scheduler.Action{Kind: scheduler.Load, Endpoint: target.Name, Adapter: r.Adapter, Evict: evict}
}

// victim returns the least recently used adapter that is not in use, or the zero value if a slot is free.
func (e *endpoint) victim() (scheduler.AdapterRef, bool) {
	if len(e.resident)+len(e.loading) < e.Slots {
		return scheduler.AdapterRef{}, true
	}
	var victim scheduler.AdapterRef
	var oldest time.Time
	for a, used := range e.resident {
		if a.IsBase() || e.inUse[a] > 0 {
			continue
		}
		// Ties are broken by name, so that runs with the same seed give the same result.
		if victim.IsBase() || used.Before(oldest) || used.Equal(oldest) && a.Adapter < victim.Adapter {
			victim, oldest = a, used
		}
	}
	return victim, !victim.IsBase()
}
