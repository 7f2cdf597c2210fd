package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/quarantine"
)

func down(tracker *quarantine.Tracker, ms int, endpoints ...string) {
	for _, e := range endpoints {
		tracker.Down(at(ms), quarantine.Incarnation{Endpoint: e, Born: 1})
	}
}

// Guards against begins of exact requests, nearly all of which are unique, that push out those of parts.
func TestUniqueRequestsLeaveBeginsOfParts(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	tracker.Begun(at(0), "s", sent("first", "part", adapter))
	for n := range 20_000 {
		tracker.Begun(at(n), "s", sent(fmt.Sprint(n)))
	}
	c.Check(tracker.Proven("s", sent("other", "part", adapter)), quicktest.IsTrue)
	c.Check(tracker.Begins(at(20_000), 1, []quarantine.Signature{signature("part"), signature(adapter)}), quicktest.HasLen, 2)
}

// Guards against refusing a second endpoint to a request only because it, its adapter or its customer has never begun here.
func TestNewRequestIsProven(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	c.Check(tracker.Proven("s", sent("new", adapter, customer)), quicktest.IsTrue)
	c.Check(tracker.Proven("s", sent("new", "part")), quicktest.IsFalse)
}

// Guards against sending a request to one endpoint after the other that was exposed to a crash before, and against keeping one from other endpoints that
// has begun since, or whose connection was only reset.
func TestRepeatedRequestIsKnown(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	first, second := attempt("e1", at(0), sent("dead", customer)...), attempt("e2", at(500), sent("dead", customer)...)
	tracker.Broken(at(100), first)
	c.Check(tracker.Repeated(second), quicktest.IsFalse)
	down(tracker, 110, "e1")
	c.Check(tracker.Repeated(first), quicktest.IsFalse) // the same crash
	c.Check(tracker.Repeated(second), quicktest.IsTrue)
	c.Check(tracker.Repeated(attempt("e2", at(500), sent("other", customer)...)), quicktest.IsFalse)
	tracker.Begun(at(700), "other service of the route", sent("dead"))
	c.Check(tracker.Repeated(second), quicktest.IsFalse)
}

// Guards against a report from which the leader cannot see which signatures belong to one request, and against one that names requests which have begun
// since.
func TestReportGroupsSignaturesByRequest(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	tracker.Broken(at(100), attempt("down", at(0), sent("a", "part", customer)...))
	tracker.Broken(at(100), attempt("down", at(50), sent("b", customer)...))
	tracker.Broken(at(100), attempt("down", at(0), sent("begun", customer, "other")...))
	down(tracker, 110, "down")
	tracker.Begun(at(200), "s", append(sent("begun"), "other"))
	report := tracker.Report(at(300), 1)
	c.Assert(report, quicktest.HasLen, 1)
	exposure := func(id string, waited int64) quarantine.Exposure {
		return quarantine.Exposure{ID: id, WaitedMillis: waited, Acknowledged: true}
	}
	a := []quarantine.Exposure{exposure(exact("a"), 100), exposure("part", 100), exposure(customer, 100)}
	b := []quarantine.Exposure{exposure(exact("b"), 50), exposure(customer, 50)}
	want := slices.Concat(a, b)
	if exact("b") < exact("a") {
		want = slices.Concat(b, a)
	}
	c.Check(report[0].Exposed, quicktest.DeepEquals, want)
}

// Hundreds of requests wait at an endpoint that crashes. Guards against leaving out the one that was exposed to an earlier crash.
func TestRepeatedRequestSurvivesBound(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	waiting := func(endpoint, name string) {
		a := attempt(endpoint, at(0), sent(name)...)
		a.Acknowledged = false
		tracker.Broken(at(100), a)
	}
	waiting("e1", "dead")
	down(tracker, 110, "e1")
	for n := range 500 {
		waiting("e2", fmt.Sprint("waiting", n))
	}
	waiting("e2", "dead")
	down(tracker, 110, "e2")
	report := tracker.Report(at(200), 1)
	c.Assert(report, quicktest.HasLen, 2)
	for _, k := range report {
		c.Check(slices.ContainsFunc(k.Exposed, func(e quarantine.Exposure) bool { return e.ID == exact("dead") }), quicktest.IsTrue)
		c.Check(len(k.Exposed) <= 64, quicktest.IsTrue)
	}
}

// A new leader gets the crashes of the last ten minutes from all entries. Guards against reports without a bound, and against crashes that are left out.
func TestReportsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	for n := range 100 {
		endpoint := fmt.Sprint("e", n)
		tracker.Broken(at(n), attempt(endpoint, at(0), sent(endpoint)...))
		down(tracker, n, endpoint)
	}
	for _, term := range []uint64{1, 2} {
		reported := map[string]bool{}
		for range 100 {
			report := tracker.Report(at(500), term)
			c.Assert(len(report) <= 16, quicktest.IsTrue)
			for _, k := range report {
				reported[k.Incarnation.Endpoint] = true
			}
			tracker.Delivered(at(500), term, report, nil)
		}
		c.Check(reported, quicktest.HasLen, 100)
		c.Check(tracker.HasUnreported(), quicktest.IsFalse)
	}
}

// A caller leaves before its request begins, and the endpoint's process ends later. Guards against a crash that nothing was exposed to, and against blaming a
// request that has begun since, that the endpoint has ended long before, or that was at an endpoint which cannot be reached.
func TestRequestThatCallerLeftIsExposed(t *testing.T) {
	for name, test := range map[string]struct {
		run     func(tracker *quarantine.Tracker, i quarantine.Incarnation)
		exposed int
	}{
		"process ends":   {func(tracker *quarantine.Tracker, i quarantine.Incarnation) { tracker.Ended(at(1500), i) }, 2},
		"after the time": {func(tracker *quarantine.Tracker, i quarantine.Incarnation) { tracker.Ended(at(3000), i) }, 0},
		"out of reach":   {func(tracker *quarantine.Tracker, i quarantine.Incarnation) { tracker.Down(at(1500), i) }, 0},
		"begun": {func(tracker *quarantine.Tracker, i quarantine.Incarnation) {
			tracker.Begun(at(1600), "s", sent("left", customer))
			tracker.Ended(at(1500), i)
		}, 0},
		"beside another": {func(tracker *quarantine.Tracker, i quarantine.Incarnation) {
			tracker.Broken(at(1400), attempt(i.Endpoint, at(1300), sent("open", customer)...))
			tracker.Ended(at(1500), i)
		}, 4},
		"of a crash that is reported": {func(tracker *quarantine.Tracker, i quarantine.Incarnation) {
			tracker.Broken(at(1400), attempt(i.Endpoint, at(1300), sent("open", customer)...))
			tracker.Down(at(1450), i)
			tracker.Delivered(at(1460), 1, tracker.Report(at(1460), 1), nil)
			tracker.Ended(at(1500), i)
		}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			tracker := quarantine.NewTracker()
			a := attempt("e", at(0), sent("left", customer)...)
			tracker.Left(at(200), a, at(2500))
			c.Check(tracker.LeftAt(at(300)), quicktest.DeepEquals, []quarantine.Incarnation{a.Incarnation})
			test.run(tracker, a.Incarnation)
			exposed := 0
			for _, k := range tracker.Report(at(2000), 1) {
				exposed += len(k.Exposed)
			}
			c.Check(exposed, quicktest.Equals, test.exposed)
			c.Check(tracker.LeftAt(at(3000)), quicktest.HasLen, 0)
		})
	}
}

// Thousands of callers leave. Guards against records without a bound, and against leaving out a request that was exposed to an earlier crash.
func TestRequestsThatCallersLeftAreBounded(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	tracker.Broken(at(0), attempt("first", at(0), sent("dead")...))
	down(tracker, 1, "first")
	for n := range 3000 {
		tracker.Left(at(100), attempt(fmt.Sprint("e", n), at(50), sent(fmt.Sprint(n))...), at(60_000))
	}
	c.Check(len(tracker.LeftAt(at(200))), quicktest.Equals, 1024)
	second := attempt("second", at(150), sent("dead")...)
	tracker.Left(at(200), second, at(60_000))
	c.Check(len(tracker.LeftAt(at(200))), quicktest.Equals, 1024)
	c.Check(tracker.Ended(at(300), second.Incarnation), quicktest.Equals, 1)
}
