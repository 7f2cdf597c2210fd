package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/chain"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
)

func ref(name string) scheduler.AdapterRef { return scheduler.AdapterRef{Adapter: name, Version: "1"} }

func kinds(actions []scheduler.Action, kind scheduler.ActionKind) (found []scheduler.Action) {
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// Guards against ordering one load for each waiting request of an adapter.
func TestWaitingRequestsShareOneLoad(t *testing.T) {
	w := newSimulation()
	for range 5 {
		qt.Assert(t, w.submit("c", ref("x"), time.Second*5), qt.IsNil)
	}
	qt.Check(t, kinds(w.decide(), scheduler.Load), qt.HasLen, 1)
	w.endLoad(0, false)
	qt.Check(t, kinds(w.decide(), scheduler.Dispatch), qt.HasLen, places)
}

// Guards against a withdrawn version that keeps its slot because its load ended after the withdrawal.
func TestWithdrawnVersionIsUnloaded(t *testing.T) {
	w := newSimulation()
	qt.Assert(t, w.submit("c", ref("x"), 5*time.Second), qt.IsNil)
	w.decide()
	w.s.Withdraw(w.now, model, ref("x"))
	qt.Check(t, kinds(w.decide(), scheduler.Refuse), qt.HasLen, 1)
	w.endLoad(0, false)
	qt.Check(t, kinds(w.decide(), scheduler.Unload), qt.HasLen, 1)
	qt.Check(t, w.submit("c", ref("x"), 5*time.Second), qt.ErrorMatches, ".*is withdrawn")
}

// failEveryLoad fails every load for a minute and returns the number of loads and the last refusal.
func failEveryLoad(opts ...scheduler.Option) (loads int, last error) {
	w := newSimulation(opts...)
	_ = w.submit("c", ref("x"), 50*time.Second)
	for range 600 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, a := range w.decide() {
			switch a.Kind {
			case scheduler.Load:
				loads++
			case scheduler.Refuse:
				last = a.Err
			}
		}
		for len(w.loads) > 0 {
			w.endLoad(0, true)
		}
	}
	return loads, last
}

// Guards against endless retries of a failing load, and against a request that waits for it without being refused.
func TestFailedLoadsEndInRefusal(t *testing.T) {
	loads, last := failEveryLoad()
	qt.Check(t, loads, qt.Equals, scheduler.Defaults().MaxFailures)
	var r *refusal.Error
	qt.Assert(t, chain.As(last, &r), qt.IsTrue)
	qt.Check(t, r.Code, qt.Equals, refusal.Unavailable)
	qt.Check(t, r.RetryAt.After(start), qt.IsTrue)
	loads, _ = failEveryLoad(scheduler.WithoutRule(scheduler.LimitFailures))
	qt.Check(t, loads > scheduler.Defaults().MaxFailures, qt.IsTrue)
}

// Guards against retrying a load on the endpoint where it has just failed while another one is free.
func TestFailedLoadIsRetriedElsewhere(t *testing.T) {
	w := newSimulation()
	qt.Assert(t, w.submit("c", ref("x"), 10*time.Second), qt.IsNil)
	first := kinds(w.decide(), scheduler.Load)[0].Endpoint
	w.endLoad(0, true)
	qt.Check(t, kinds(w.decide(), scheduler.Load), qt.HasLen, 0)
	w.now = w.s.NextWake()
	again := kinds(w.decide(), scheduler.Load)
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Check(t, again[0].Endpoint, qt.Not(qt.Equals), first)
}

// Guards against queueing requests that cannot meet their deadline, and against refusals without a retry time.
func TestRequestsThatWouldMissDeadlineAreRefused(t *testing.T) {
	submitMany := func(opts ...scheduler.Option) (err error) {
		w := newSimulation(opts...)
		for range 200 {
			err = errs.Combine(err, w.submit("c", ref("x"), 2*time.Second))
		}
		return err
	}
	var r *refusal.Error
	qt.Assert(t, chain.As(submitMany(), &r), qt.IsTrue)
	qt.Check(t, r.Code, qt.Equals, refusal.Overloaded)
	qt.Check(t, r.Ran, qt.Equals, refusal.NotRun)
	qt.Check(t, r.RetryAt.After(start), qt.IsTrue)
	qt.Check(t, submitMany(scheduler.WithoutRule(scheduler.RefuseEarly)), qt.IsNil)
	w := newSimulation()
	qt.Check(t, w.submit("c", ref("x"), 100*time.Millisecond), qt.ErrorMatches, ".*cannot be loaded.*")
}

// quietDispatches returns the number of the quiet customer's requests among the first 24 dispatches, when the loud customer
// has queued 40 requests before the 8 of the quiet one.
func quietDispatches(opts ...scheduler.Option) (quiet int) {
	w := newSimulation(opts...)
	for i := range 40 {
		_ = w.submit("loud", ref("x"), time.Hour-time.Duration(i)*time.Minute/10)
	}
	for range 8 {
		w.now = w.now.Add(time.Millisecond)
		_ = w.submit("quiet", ref("x"), time.Hour)
	}
	w.decide()
	w.endLoad(0, false)
	for len(w.order)+len(w.waiting) > 24 {
		w.now = w.now.Add(time.Second)
		for _, a := range kinds(w.decide(), scheduler.Dispatch) {
			var n int
			_, _ = fmt.Sscanf(a.ID, "r%d", &n)
			if n > 40 {
				quiet++
			}
		}
		for len(w.order) > 0 {
			w.finish(0)
		}
	}
	return quiet
}

// Guards against a customer whose requests wait behind all earlier requests of another customer.
func TestFairSharesBetweenCustomers(t *testing.T) {
	qt.Check(t, quietDispatches(), qt.Equals, 8)
	qt.Check(t, quietDispatches(scheduler.WithoutRule(scheduler.FairShares)) < 8, qt.IsTrue)
}

// Guards against a burst of loads after a restart: loads wait for permits, and the adapter with the most waiting requests
// is loaded first.
func TestRestartIsRefilledInOrderOfWork(t *testing.T) {
	granted := 0
	permit := func(now time.Time, _ scheduler.LoadOrder) (bool, time.Time) {
		granted++
		return granted <= 1, now.Add(time.Second)
	}
	w := newSimulation(scheduler.WithPermit(permit))
	for i, name := range []string{"few", "many", "some"} {
		for range []int{1, 6, 3}[i] {
			qt.Assert(t, w.submit("c", ref(name), 30*time.Second), qt.IsNil)
		}
	}
	w.restart("a")
	w.restart("b")
	loads := kinds(w.s.Decide(w.now), scheduler.Load)
	qt.Assert(t, loads, qt.HasLen, 1)
	qt.Check(t, loads[0].Adapter, qt.Equals, ref("many"))
	qt.Check(t, loads[0].Incarnation, qt.Equals, uint64(2))
}

// Guards against counting places twice when a late report includes requests that have ended since, and against overfilling
// an engine that still runs requests of an earlier owner.
func TestReportsAreCorrectedByOwnCount(t *testing.T) {
	w := newSimulation(scheduler.WithMaxLoads(1))
	w.s.RemoveEndpoint(w.now, "b")
	for range 2 * places {
		qt.Assert(t, w.submit("c", scheduler.AdapterRef{}, time.Minute), qt.IsNil)
	}
	qt.Check(t, w.s.Decide(w.now), qt.HasLen, places)
	measured := w.now
	w.now = w.now.Add(time.Second)
	for i := range places {
		w.s.Finished(w.now, scheduler.Finish{ID: fmt.Sprint("r", i+1), Tokens: 10})
	}
	w.s.Report(w.now, scheduler.LoadReport{Endpoint: "a", Incarnation: 1, Running: places, At: measured})
	qt.Check(t, w.s.Decide(w.now), qt.HasLen, places)
	w.now = w.now.Add(time.Second)
	w.s.Report(w.now, scheduler.LoadReport{Endpoint: "a", Incarnation: 1, Running: places + 2, At: w.now})
	w.s.Finished(w.now, scheduler.Finish{ID: "r5", Tokens: 10})
	qt.Assert(t, w.submit("c", scheduler.AdapterRef{}, time.Minute), qt.IsNil)
	qt.Check(t, w.s.Decide(w.now), qt.HasLen, 0)
}

// Guards against sending requests or loads to a draining endpoint.
func TestDrainingEndpointGetsNoWork(t *testing.T) {
	w := newSimulation()
	for _, name := range []string{"a", "b"} {
		w.s.SetEndpoint(w.now, scheduler.Endpoint{
			Name: name, Model: model, Incarnation: 1, Slots: slots, BatchSize: places, Draining: true,
		})
	}
	qt.Assert(t, w.submit("c", ref("x"), time.Minute), qt.IsNil)
	qt.Assert(t, w.submit("c", scheduler.AdapterRef{}, time.Minute), qt.IsNil)
	qt.Check(t, w.decide(), qt.HasLen, 0)
}

// Guards against executing a resent command twice, and against accepting commands of an earlier owner.
func TestCommandsAreFencedAndIdempotent(t *testing.T) {
	w := newSimulation()
	c := scheduler.Command{ID: "m1", Kind: scheduler.SetModel, Endpoint: "a", Value: "other", Fence: 7}
	for range 2 {
		state, err := w.s.Command(w.now, c)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, state, qt.Equals, scheduler.CommandWaiting)
	}
	issued := kinds(w.s.Decide(w.now), scheduler.SetModel)
	qt.Assert(t, issued, qt.HasLen, 1)
	qt.Check(t, issued[0].Fence, qt.Equals, uint64(7))
	qt.Check(t, kinds(w.s.Decide(w.now), scheduler.SetModel), qt.HasLen, 0)
	w.s.CommandEnded(w.now, scheduler.CommandResult{ID: "m1", Incarnation: 1})
	state, err := w.s.Command(w.now, c)
	qt.Check(t, state, qt.Equals, scheduler.CommandDone)
	qt.Check(t, err, qt.IsNil)
	_, err = w.s.Command(w.now, scheduler.Command{ID: "m2", Kind: scheduler.SetRole, Endpoint: "a", Value: "prefill", Fence: 6})
	qt.Check(t, err, qt.ErrorMatches, ".*fencing number 6 is below 7.*")
}

// Guards against a command that stays in progress after its endpoint has restarted, and against a restart that resets the
// fencing number.
func TestRestartEndsCommands(t *testing.T) {
	w := newSimulation()
	c := scheduler.Command{ID: "m1", Kind: scheduler.SetRole, Endpoint: "a", Value: "decode", Fence: 7}
	_, err := w.s.Command(w.now, c)
	qt.Assert(t, err, qt.IsNil)
	w.restart("a")
	state, err := w.s.Command(w.now, c)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, state, qt.Equals, scheduler.CommandFailed)
	c.ID, c.Fence = "m2", 6
	_, err = w.s.Command(w.now, c)
	qt.Check(t, err, qt.ErrorMatches, ".*below 7.*")
}

// Guards against prefix affinity that uses a set known to be incomplete, or that outweighs a difference in load.
func TestPrefixAffinityBreaksTiesOnly(t *testing.T) {
	w := newSimulation()
	send := func(id string, prefix uint64) string {
		_ = w.s.Submit(w.now, scheduler.Request{
			ID: id, Customer: "c", Model: model, PrefixHash: prefix, MaxTokens: 1, Deadline: w.now.Add(time.Minute),
		})
		return kinds(w.s.Decide(w.now), scheduler.Dispatch)[0].Endpoint
	}
	cached := func(sequence, prefix uint64) {
		w.s.RecordCacheEvent(w.now, scheduler.CacheEvent{Endpoint: "b", Incarnation: 1, Sequence: sequence, Prefix: prefix})
	}
	cached(1, 9)
	qt.Check(t, send("p1", 9), qt.Equals, "b")
	qt.Check(t, send("p2", 9), qt.Equals, "a") // b is fuller by CopyGap
	w.s.Finished(w.now, scheduler.Finish{ID: "p1"})
	w.s.Finished(w.now, scheduler.Finish{ID: "p2"})
	cached(2, 8)
	qt.Check(t, send("p3", 8), qt.Equals, "b")
	w.s.Finished(w.now, scheduler.Finish{ID: "p3"})
	cached(5, 7) // a gap clears the set
	cached(4, 8) // late
	qt.Check(t, send("p4", 8), qt.Equals, "a")
}

// Guards against delaying the loads of a customer within its rate behind those of a customer that sends far more.
func TestLoadsOfBurstingCustomerYield(t *testing.T) {
	var orders []scheduler.LoadOrder
	permit := func(now time.Time, l scheduler.LoadOrder) (bool, time.Time) {
		orders = append(orders, l)
		return false, now.Add(time.Second)
	}
	ask := func(opts ...scheduler.Option) scheduler.LoadOrder {
		w := newSimulation(append(opts, scheduler.WithPermit(permit))...)
		for i := range 8 {
			qt.Assert(t, w.submit("loud", ref(fmt.Sprint("l", i)), 5*time.Second), qt.IsNil)
		}
		w.decide()
		qt.Assert(t, w.submit("quiet", ref("q"), 9*time.Second), qt.IsNil)
		w.decide()
		return orders[len(orders)-1]
	}
	qt.Check(t, ask().Adapter, qt.Equals, ref("q"))
	qt.Check(t, ask().Yield, qt.IsFalse)
	qt.Check(t, ask(scheduler.WithoutRule(scheduler.FairShares)).Adapter, qt.Not(qt.Equals), ref("q"))
	w := newSimulation(scheduler.WithPermit(permit))
	qt.Assert(t, w.submit("quiet", scheduler.AdapterRef{}, 5*time.Second), qt.IsNil)
	for range 5 {
		qt.Assert(t, w.submit("loud", ref("l"), 5*time.Second), qt.IsNil)
	}
	w.decide()
	qt.Check(t, orders[len(orders)-1].Yield, qt.IsTrue)
}

// Guards against evicting an adapter used by several conversations before one used by a single long conversation.
func TestEvictionCountsConversations(t *testing.T) {
	w := newSimulation()
	w.s.RemoveEndpoint(w.now, "b")
	use := func(name string, pause time.Duration) {
		w.now = w.now.Add(pause)
		qt.Assert(t, w.submit("c", ref(name), 5*time.Second), qt.IsNil)
		w.decide()
		for len(w.loads) > 0 {
			w.endLoad(0, false)
		}
		w.decide()
		for len(w.running) > 0 {
			w.finish(0)
		}
	}
	for range 3 {
		use("often", 30*time.Second)
	}
	for range 8 {
		use("long", 5*time.Second)
	}
	for range 3 {
		use("other", 30*time.Second)
	}
	use("new", time.Minute)
	qt.Check(t, w.resident[key{"a", ref("often")}], qt.IsTrue)
	qt.Check(t, w.resident[key{"a", ref("long")}], qt.IsFalse)
}
