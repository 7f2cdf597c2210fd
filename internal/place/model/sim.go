// Package model is a small model of engines, the weight store and entries in virtual time. It drives the real
// scheduler and router, and is used by the benchmark and by tests only.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/route"
	"lycheevale/internal/place/scheduler"
)

// Decider is the part of a scheduler that an owner drives.
type Decider struct {
	SetEndpoint func(time.Time, scheduler.Endpoint)
	Submit      func(time.Time, scheduler.Request) error
	Finished    func(time.Time, scheduler.Finish)
	Loaded      func(time.Time, scheduler.LoadResult)
	Report      func(time.Time, scheduler.LoadReport)
	Decide      func(time.Time) []scheduler.Action
	NextWake    func() time.Time
	View        func(time.Time, string, scheduler.AdapterRef) scheduler.View
}

type event struct {
	at   time.Duration
	seq  int
	call func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

type simulation struct {
	site     Site
	scenario Scenario
	policy   Policy
	now      time.Duration
	seq      int
	events   events
	engines  []*engine
	byName   map[string]*engine
	owners   []*owner
	routers  []*route.Router
	prepared *route.Candidates
	store    *store
	budget   *budget
	rates    [][]*bucket
	random   *rand.Rand
	names    []scheduler.AdapterRef
	index    map[scheduler.AdapterRef]int
	result   *Result
}

// attempt is a call at one owner.
type attempt struct {
	id        string
	call      *Call
	owner     *owner
	router    *route.Router
	submitted time.Duration
	resident  bool // on an endpoint of the owner when it was submitted
	stalled   bool
	tries     int
	exclude   []string
	endpoint  string
	remote    bool
	first     time.Duration
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(d time.Duration, call func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + max(d, 0), s.seq, call})
}

// Run runs one policy through one scenario.
func Run(site Site, sc Scenario, p Policy) *Result {
	s := &simulation{site: site, scenario: sc, policy: p, byName: map[string]*engine{}, result: newResult(site, sc)}
	s.random = rand.New(rand.NewPCG(sc.Seed, 77))
	s.store = &store{sim: s}
	s.budget = newBudget(s, 1)
	s.index = map[scheduler.AdapterRef]int{}
	for i := range site.Adapters {
		ref := scheduler.AdapterRef{Adapter: fmt.Sprintf("adapter-%d", i), Version: "1"}
		s.names = append(s.names, ref)
		s.index[ref] = i
	}
	calls := Generate(site, sc)
	s.build()
	s.arriveNext(calls)
	s.scheduleFaults()
	s.scheduleReports()
	end := sc.Length + 2*site.Deadline
	for s.events.Len() > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.call()
	}
	s.result.Loads = s.store.loads
	s.result.close(s.policy.Name)
	return s.result
}

func (s *simulation) build() {
	var candidates []route.Candidate
	for centre, name := range s.site.DataCentres {
		var shared *owner
		owners, last := s.policy.owners(s.site.Endpoints), -1
		store := s.budget
		if s.policy.SplitBudget {
			store = newBudget(s, len(s.site.DataCentres))
		}
		for i := range s.site.Endpoints {
			e := &engine{sim: s, name: fmt.Sprintf("%s-%d", name, i), centre: centre, incarnation: 1}
			e.start()
			if part := i * owners / s.site.Endpoints; part != last {
				shared, last = s.newOwner(store), part
			}
			e.owner = shared
			s.engines = append(s.engines, e)
			s.byName[e.name] = e
			candidates = append(candidates, route.Candidate{Endpoint: e.name, DataCentre: name})
			shared.announce(e)
			shared.engines = append(shared.engines, e)
		}
		s.rates = append(s.rates, s.newBuckets())
		if s.policy.Router == nil {
			s.routers = append(s.routers, nil)
			continue
		}
		s.routers = append(s.routers, s.policy.Router(s.site, name))
	}
	s.prepared = route.Prepare(candidates)
}

func (s *simulation) newOwner(store *budget) *owner {
	o := &owner{sim: s, budget: store, attempts: map[string]*attempt{}}
	permit := func(_ time.Time, l scheduler.LoadOrder) (bool, time.Time) {
		ok, at := store.permit(o, l)
		return ok, epoch.Add(at)
	}
	o.decider = s.policy.Scheduler(s.site, permit)
	s.owners = append(s.owners, o)
	return o
}

// arriveNext schedules one call at a time, which keeps the heap of events small.
func (s *simulation) arriveNext(calls []*Call) {
	if len(calls) == 0 {
		return
	}
	s.after(calls[0].At-s.now, func() {
		s.arriveNext(calls[1:])
		s.arrive(calls[0])
	})
}

// arrive takes a call at an entry of its data centre.
func (s *simulation) arrive(c *Call) {
	a := &attempt{call: c}
	if s.rates != nil && s.policy.EvenShares && !s.rates[c.DataCentre][c.Customer].take(s.now, c.Prompt+c.Output) {
		s.result.refused(a, refusal.New(refusal.OverRate, "over the data centre's share"), s.now)
		return
	}
	s.send(a)
}

// send chooses an endpoint and passes the attempt to its owner.
func (s *simulation) send(a *attempt) {
	c := a.call
	a.router = s.routers[c.DataCentre]
	var target *engine
	switch {
	case a.router != nil:
		q := route.Request{
			ID: c.ID, Adapter: s.names[c.Adapter].Adapter, Bytes: s.site.BytesPerToken * (c.Prompt + 2*c.Output), Exclude: a.exclude,
		}
		choice, ok := a.router.Choose(s.clock(), q, s.prepared)
		if !ok {
			s.result.refused(a, refusal.New(refusal.Unavailable, "no endpoint left"), s.now)
			return
		}
		target = s.byName[choice.Endpoint]
	default:
		target = s.leastLoaded(c.DataCentre)
	}
	a.remote = target.centre != c.DataCentre
	a.endpoint = target.name
	s.after(s.latency(a), func() { target.owner.submit(a, target) })
}

// leastLoaded is the baselines' routing: the endpoint with the fewest requests in the data centre, from exact counts.
func (s *simulation) leastLoaded(centre int) *engine {
	var best *engine
	lowest := 0
	for _, e := range s.engines {
		if e.centre != centre {
			continue
		}
		load := len(e.sequences) + e.owner.waitingFor(e)
		if best == nil || load < lowest {
			best, lowest = e, load
		}
	}
	return best
}

func (s *simulation) latency(a *attempt) time.Duration {
	if a.remote {
		return s.site.Latency
	}
	return s.site.LocalLatency
}

func (s *simulation) firstToken(a *attempt) {
	a.first = s.now + s.latency(a)
	if a.router == nil {
		return
	}
	view := a.owner.decider.View(s.clock(), a.endpoint, s.names[a.call.Adapter])
	s.after(s.latency(a), func() {
		a.router.Observe(s.clock(), route.Answer{
			Endpoint: a.endpoint, Load: view.Load, Places: s.site.BatchSize, Wait: view.Wait, Service: view.Service,
			SlotValue: view.SlotValue,
		})
	})
}

func (s *simulation) finished(e *engine, a *attempt, failed bool) {
	s.after(s.site.LocalLatency, func() {
		e.owner.finished(a, failed)
	})
	if !failed {
		s.result.completed(a, s.now+s.latency(a), s.site)
	}
}

func (s *simulation) loaded(e *engine, adapter int, failed bool) {
	incarnation := e.incarnation
	s.after(s.site.LocalLatency, func() {
		e.owner.budget.transit--
		e.owner.decider.Loaded(s.clock(), scheduler.LoadResult{
			Endpoint: e.name, Adapter: s.names[adapter], Incarnation: incarnation, Failed: failed,
		})
		e.owner.decide()
	})
}

func (s *simulation) violate(what string) { s.result.Violations[what]++ }

func (s *simulation) countStep(e *engine, tokens int) {
	if s.now < s.scenario.BurstAt || s.now >= s.scenario.BurstAt+s.scenario.BurstFor {
		return
	}
	if e.owner.waiting() == 0 {
		return
	}
	s.result.steps++
	s.result.stepTokens += tokens
}
