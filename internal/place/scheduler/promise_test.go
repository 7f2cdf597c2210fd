package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lycheevale/internal/place/scheduler"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) { seeded.Main(m, "20260101", 100) }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	model  = "quill"
	places = 4
	slots  = 3
)

type key struct {
	endpoint string
	ref      scheduler.AdapterRef
}

type load struct {
	key
	incarnation uint64
}

// simulation executes the scheduler's actions on simulated engines and records violations of its guarantees.
type simulation struct {
	s           *scheduler.Scheduler
	now         time.Time
	incarnation map[string]uint64
	resident    map[key]bool
	inUse       map[key]int
	running     map[string]key
	waiting     map[string]scheduler.AdapterRef
	loads       []load
	permits     int
	submitted   int
	order       []string // running requests in a fixed order, so that random choices are repeatable
	violations  map[string]bool
}

func newSimulation(opts ...scheduler.Option) *simulation {
	w := &simulation{
		now: start, incarnation: map[string]uint64{}, resident: map[key]bool{}, inUse: map[key]int{},
		running: map[string]key{}, waiting: map[string]scheduler.AdapterRef{}, violations: map[string]bool{},
	}
	permit := func(time.Time, scheduler.LoadOrder) (bool, time.Time) {
		w.permits++
		return true, time.Time{}
	}
	opts = append([]scheduler.Option{scheduler.WithPermit(permit), scheduler.WithMaxLoads(3)}, opts...)
	w.s = scheduler.New(opts...)
	for _, name := range []string{"a", "b"} {
		w.restart(name)
	}
	return w
}

func (w *simulation) restart(name string) {
	w.incarnation[name]++
	for k := range w.resident {
		if k.endpoint == name {
			delete(w.resident, k)
			delete(w.inUse, k)
		}
	}
	for id, k := range w.running {
		if k.endpoint == name {
			delete(w.running, id)
		}
	}
	w.s.SetEndpoint(w.now, scheduler.Endpoint{
		Name: name, Model: model, Incarnation: w.incarnation[name], Slots: slots, BatchSize: places,
	})
}

func (w *simulation) submit(customer string, ref scheduler.AdapterRef, deadline time.Duration) error {
	w.submitted++
	r := scheduler.Request{
		ID: fmt.Sprint("r", w.submitted), Customer: customer, Model: model, Adapter: ref,
		PromptTokens: 100, MaxTokens: 100, Arrived: w.now, Deadline: w.now.Add(deadline),
	}
	err := w.s.Submit(w.now, r)
	if err == nil {
		w.waiting[r.ID] = ref
	}
	return err
}

func (w *simulation) finish(i int) {
	id := w.order[i%len(w.order)]
	if k, ok := w.running[id]; ok {
		w.inUse[k]--
		delete(w.running, id)
	}
	w.order[i%len(w.order)] = w.order[len(w.order)-1]
	w.order = w.order[:len(w.order)-1]
	w.s.Finished(w.now, scheduler.Finish{ID: id, Tokens: 150})
}

func (w *simulation) endLoad(i int, failed bool) {
	l := w.loads[i%len(w.loads)]
	w.loads[i%len(w.loads)] = w.loads[len(w.loads)-1]
	w.loads = w.loads[:len(w.loads)-1]
	if l.incarnation == w.incarnation[l.endpoint] && !failed {
		w.resident[l.key] = true
	}
	w.s.Loaded(w.now, scheduler.LoadResult{
		Endpoint: l.endpoint, Adapter: l.ref, Incarnation: l.incarnation, Failed: failed,
	})
}

// decide executes the scheduler's actions and returns them.
func (w *simulation) decide() []scheduler.Action {
	before := w.permits
	actions := w.s.Decide(w.now)
	ordered := 0
	for _, a := range actions {
		k := key{a.Endpoint, a.Adapter}
		switch a.Kind {
		case scheduler.Dispatch:
			w.check(w.resident[k] && w.waiting[a.ID] == a.Adapter, "request ran on another adapter or version")
			w.inUse[k]++
			w.running[a.ID] = k
			w.order = append(w.order, a.ID)
			delete(w.waiting, a.ID)
		case scheduler.Load:
			ordered++
			w.evict(key{a.Endpoint, a.Evict})
			w.loads = append(w.loads, load{k, a.Incarnation})
		case scheduler.Unload:
			w.evict(k)
		case scheduler.Refuse:
			delete(w.waiting, a.ID)
		}
	}
	w.check(ordered <= w.permits-before, "load without a permit")
	return actions
}

func (w *simulation) evict(k key) {
	if k.ref.IsBase() {
		return
	}
	w.check(w.inUse[k] == 0, "adapter in use was evicted")
	for _, ref := range w.waiting {
		w.check(ref != k.ref, "adapter with accepted work was evicted")
	}
	delete(w.resident, k)
}

func (w *simulation) check(ok bool, violation string) {
	if !ok {
		w.violations[violation] = true
	}
}

// step performs one random operation; pick returns a random number below n.
func (w *simulation) step(pick func(n int) int) {
	w.now = w.now.Add(time.Duration(pick(200)) * time.Millisecond)
	switch n := pick(20); {
	case n < 9:
		ref := scheduler.AdapterRef{Adapter: fmt.Sprint("adapter", pick(5)), Version: fmt.Sprint(1 + pick(2))}
		_ = w.submit(fmt.Sprint("customer", pick(3)), ref, time.Duration(1+pick(20))*time.Second)
	case n < 14 && len(w.order) > 0:
		w.finish(pick(len(w.order)))
	case n < 18 && len(w.loads) > 0:
		w.endLoad(pick(len(w.loads)), pick(6) == 0)
	case n == 18 && pick(4) == 0:
		w.restart([]string{"a", "b"}[pick(2)])
	case n == 19 && pick(4) == 0:
		ref := scheduler.AdapterRef{Adapter: fmt.Sprint("adapter", pick(5)), Version: "1"}
		w.s.Withdraw(w.now, model, ref)
		w.decide()
		w.s.Restore(w.now, model, ref)
	}
	w.decide()
}

// Guards against running a request on another adapter or version, evicting an adapter in use or with accepted work, and
// loading without a permit, under random loads, failures, restarts and withdrawn versions. ProtectNewArrivals is off,
// because a closed slot is evicted although work may have arrived after it closed, which this check would report.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newSimulation(scheduler.WithoutRule(scheduler.ProtectNewArrivals))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 2))
		for range rapid.IntRange(50, 300).Draw(r, "steps") {
			w.step(random.IntN)
		}
		if len(w.violations) > 0 {
			r.Fatalf("violations: %v", w.violations)
		}
	})
}

// Guards against requests that are neither dispatched nor refused, with all rules enabled.
func TestEveryRequestEnds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newSimulation()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 3))
		for range rapid.IntRange(50, 300).Draw(r, "steps") {
			w.step(random.IntN)
		}
		for range 300 {
			w.now = w.now.Add(100 * time.Millisecond)
			for len(w.loads) > 0 {
				w.endLoad(0, false)
			}
			for len(w.order) > 0 {
				w.finish(0)
			}
			w.decide()
		}
		delete(w.violations, "adapter with accepted work was evicted")
		if len(w.waiting) > 0 || len(w.violations) > 0 {
			r.Fatalf("%d requests wait, violations: %v", len(w.waiting), w.violations)
		}
	})
}

// Guards against checks that cannot fail: with a rule disabled, the check must detect its violation.
func TestMutationsAreFound(t *testing.T) {
	for rule, violation := range map[scheduler.Rule]string{
		scheduler.ProtectInUse:     "adapter in use was evicted",
		scheduler.ProtectWaiting:   "adapter with accepted work was evicted",
		scheduler.ExactVersion:     "request ran on another adapter or version",
		scheduler.CheckIncarnation: "request ran on another adapter or version",
		scheduler.BudgetLoads:      "load without a permit",
	} {
		t.Run(violation, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 50 && !found; seed++ {
				random := rand.New(rand.NewPCG(seed, 1))
				w := newSimulation(scheduler.WithoutRule(scheduler.ProtectNewArrivals), scheduler.WithoutRule(rule))
				for range 300 {
					w.step(random.IntN)
				}
				found = w.violations[violation]
			}
			qt.Assert(t, found, qt.IsTrue)
		})
	}
}

const floodDeadline = 5 * time.Second // deadline of the requests that keep the slots busy

// waitUnderFlood keeps every slot busy with requests of one customer and returns how long a request of another one waits.
func waitUnderFlood(opts ...scheduler.Option) time.Duration {
	const limit = 30 * time.Second
	w := newSimulation(opts...)
	for step := 0; w.now.Before(start.Add(limit)); step++ {
		w.now = start.Add(time.Duration(step) * 50 * time.Millisecond)
		for i := range 6 {
			_ = w.submit("loud", scheduler.AdapterRef{Adapter: fmt.Sprint("loud", i), Version: "1"}, floodDeadline)
		}
		if step == 100 {
			_ = w.submit("quiet", scheduler.AdapterRef{Adapter: "quiet", Version: "1"}, time.Minute)
		}
		for step%4 == 0 && len(w.order) > 0 {
			w.finish(0)
		}
		for step%5 == 0 && len(w.loads) > 0 {
			w.endLoad(0, false)
		}
		for _, a := range w.decide() {
			if a.Kind == scheduler.Dispatch && a.Adapter.Adapter == "quiet" {
				return w.now.Sub(start.Add(100 * 50 * time.Millisecond))
			}
		}
	}
	return limit
}

// Guards against starvation by a customer that sends far more than its rate. A closing slot still serves the work accepted
// before it closed, which waits until its deadline at most. A load and the wait for a batch place follow.
func TestNoStarvation(t *testing.T) {
	const bound = floodDeadline + time.Second
	qt.Check(t, waitUnderFlood() <= bound, qt.IsTrue, qt.Commentf("waited %v", waitUnderFlood()))
	without := waitUnderFlood(scheduler.WithoutRule(scheduler.ProtectNewArrivals))
	qt.Check(t, without > bound, qt.IsTrue, qt.Commentf("waited %v", without))
}
