package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/quarantine"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash returns a report at a time of a crash at the same time, to which parts were exposed for 200 ms.
func crash(n int, acknowledged bool, ids ...string) []quarantine.Crash {
	c := quarantine.Crash{Incarnation: quarantine.Incarnation{Endpoint: fmt.Sprint("e", n), Born: 1}, Service: "s"}
	for _, id := range ids {
		c.Exposed = append(c.Exposed, quarantine.Exposure{ID: id, WaitedMillis: 200, Acknowledged: acknowledged})
	}
	return []quarantine.Crash{c}
}

func part(id string) quarantine.Signature { return quarantine.Signature{Service: "s", ID: id} }

func begin(ago int64, ids ...string) (list []quarantine.Begin) {
	for _, id := range ids {
		list = append(list, quarantine.Begin{Signature: signature(id), AgoMillis: ago})
	}
	return list
}

// Guards against blaming a part before other entries could report that it begins there, and against blaming one that does.
func TestThirdCrashBlames(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.Record(at(0), "entry", crash(1, true, "common", "dead"))
	d.Record(at(300), "entry", crash(2, true, "common", "dead"))
	d.RecordBegins(at(400), begin(0, "common"))
	c.Check(d.Blame(at(1000)), quicktest.HasLen, 0) // the second crash
	d.Record(at(1000), "entry", crash(3, true, "common", "dead"))
	c.Check(d.Suspects(), quicktest.DeepEquals, []quarantine.Signature{part("dead"), part("common")})
	c.Check(d.Blame(at(1000)), quicktest.DeepEquals, []quarantine.Signature{part("dead")})
}

// Endpoints of a rack crash together under requests with a rare part. Guards against counting them as crashes one after the other.
func TestSimultaneousCrashesBlameNothing(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 8 {
		d.Record(at(n), "entry", crash(n, false, "rare", fmt.Sprint("other", n)))
	}
	c.Check(d.Blame(at(5000)), quicktest.HasLen, 0)
}

// All endpoints are down, so that common parts do not begin either. Guards against blaming the first part of a route for the crashes of a
// part that is sent with it, and a rare sound part that shares most of the crashes.
func TestCommonPartsAreNotBlamedDuringOutage(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.RecordBegins(at(0), begin(0, "first"))
	for n := range 6 {
		ids := []string{"first", "dead"}
		if n != 2 {
			ids = append(ids, "rare")
		}
		d.Record(at(400*n+400), "entry", crash(n, true, ids...))
	}
	c.Check(d.Blame(at(3000)), quicktest.DeepEquals, []quarantine.Signature{part("dead")})
	c.Check(d.Blame(at(3000)), quicktest.DeepEquals, []quarantine.Signature{part("dead")}) // until it is stored
	d.SetQuarantined(at(3000), []quarantine.Signature{part("dead")})
	c.Check(d.Blame(at(9000)), quicktest.HasLen, 0)
}

// Two parts crash endpoints at the same time. Guards against finding only one of them.
func TestTwoPartsAreBlamed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 8 {
		d.Record(at(400*n), "entry", crash(n, true, []string{"dead1", "dead2"}[n%2], fmt.Sprint("own", n)))
	}
	c.Check(d.Blame(at(5000)), quicktest.DeepEquals, []quarantine.Signature{part("dead1"), part("dead2")})
}

// A sound part was only sent together with one that crashes endpoints. Guards against refusing it for long: a request that has the sound part
// alone may try it, and its begin releases it.
func TestPartBlamedWithAnotherIsReleased(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		d.Record(at(400*n), "entry", crash(n, true, "dead", "sound"))
	}
	both := []quarantine.Signature{part("dead"), part("sound")}
	c.Assert(d.Blame(at(2000)), quicktest.DeepEquals, both)
	d.SetQuarantined(at(2000), both)
	refused := map[string]quarantine.Refusals{"dead": {Total: 3}, "sound": {Total: 4, Alone: 1}}
	c.Check(d.Asked(at(2100), refused), quicktest.HasLen, 0)
	c.Check(d.Asked(at(3100), refused), quicktest.DeepEquals, []string{"sound"})
	c.Check(d.Asked(at(3200), refused), quicktest.HasLen, 0)
	c.Check(d.Release(at(3300)), quicktest.HasLen, 0)
	d.RecordBegins(at(3400), begin(100, "sound"))
	c.Check(d.Release(at(3400)), quicktest.DeepEquals, []quarantine.Signature{part("sound")})
	d.SetQuarantined(at(3400), both[:1])
	c.Check(d.Blame(at(4000)), quicktest.HasLen, 0)
	c.Check(d.Release(at(3200+3600_000)), quicktest.HasLen, 0)
	c.Check(d.Release(at(3200+3600_001)), quicktest.DeepEquals, []quarantine.Signature{part("dead")})
}

// Guards against a part that is tried again and again although each trial crashes an endpoint.
func TestTrialsAreLimited(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.SetQuarantined(at(0), []quarantine.Signature{part("dead")})
	trials := 0
	for second := range 24 * 3600 {
		trials += len(d.Asked(start.Add(time.Duration(second)*time.Second), map[string]quarantine.Refusals{"dead": {Total: 1, Alone: 1}}))
	}
	c.Check(trials, quicktest.Equals, quarantine.DefaultOptions().MaxTrials)
}

// A part turns deadly that has begun for long, as after a new version of the engine. Guards against never blaming it.
func TestPartThatHasBegunBeforeIsBlamed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.RecordBegins(at(0), begin(0, "turned"))
	for n := range 6 {
		c.Check(d.Blame(at(400*n+400)), quicktest.HasLen, 0)
		d.Record(at(400*n+400), "entry", crash(n, true, "turned"))
	}
	c.Check(d.Blame(at(3000)), quicktest.DeepEquals, []quarantine.Signature{part("turned")})
}

// attempt returns an attempt at an endpoint.
func attempt(endpoint string, sentAt time.Time, ids ...string) quarantine.Attempt {
	return quarantine.Attempt{
		Incarnation: quarantine.Incarnation{Endpoint: endpoint, Born: 1}, Service: "s", Signatures: ids, SentAt: sentAt, Acknowledged: true,
	}
}

// Guards against taking a reset connection for a crash, and against reporting a crash to a new leader that the former one already knew.
func TestTrackerReportsConfirmedCrashes(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	c.Check(tracker.Broken(at(100), attempt("reset", at(0), "a")), quicktest.IsTrue)
	c.Check(tracker.Broken(at(110), attempt("down", at(0), "a", "b")), quicktest.IsTrue)
	c.Check(tracker.Broken(at(120), attempt("down", at(50), "b")), quicktest.IsFalse) // it is being checked
	c.Check(tracker.Report(at(130), 1), quicktest.HasLen, 0)
	tracker.Begun(at(150), "s", []string{"a"})
	tracker.Down(at(160), quarantine.Incarnation{Endpoint: "down", Born: 1})
	want := []quarantine.Crash{{
		Incarnation: quarantine.Incarnation{Endpoint: "down", Born: 1}, Service: "s", AgoMillis: 90,
		Exposed: []quarantine.Exposure{{ID: "b", WaitedMillis: 60, Acknowledged: true}},
	}}
	report := tracker.Report(at(200), 1)
	c.Check(report, quicktest.DeepEquals, want)
	tracker.Delivered(at(200), 1, report, nil)
	c.Check(tracker.Report(at(300), 1), quicktest.HasLen, 0)
	c.Check(tracker.Report(at(300), 2), quicktest.HasLen, 1) // a new leader

	suspects := []quarantine.Signature{part("a"), part("b")}
	begins := tracker.Begins(at(250), 1, suspects)
	c.Check(begins, quicktest.DeepEquals, begin(100, "a"))
	tracker.Delivered(at(250), 1, nil, begins)
	c.Check(tracker.Begins(at(300), 1, suspects), quicktest.HasLen, 0)
	c.Check(tracker.Begins(at(300), 2, suspects), quicktest.HasLen, 1)
}

// A connection is reset, and long afterwards the endpoint crashes. Guards against missing that crash, and against counting the request of the reset
// connection as exposed to it.
func TestCrashAfterResetIsReported(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	tracker.Broken(at(0), attempt("e", at(-100), "reset"))
	c.Check(tracker.Broken(at(9000), attempt("e", at(8900), "dead")), quicktest.IsTrue)
	tracker.Down(at(9050), quarantine.Incarnation{Endpoint: "e", Born: 1})
	report := tracker.Report(at(9100), 1)
	c.Assert(report, quicktest.HasLen, 1)
	c.Check(report[0].Exposed, quicktest.DeepEquals, []quarantine.Exposure{{ID: "dead", WaitedMillis: 100, Acknowledged: true}})
}

// Hundreds of requests wait at an endpoint that crashes. Guards against leaving out the one whose answer it had begun, and against records without a
// bound.
func TestExposuresAreBounded(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	for n := range 500 {
		a := attempt("down", at(0), fmt.Sprint("waiting", n))
		a.Acknowledged = false
		tracker.Broken(at(100), a)
	}
	tracker.Broken(at(101), attempt("down", at(0), "dead"))
	tracker.Down(at(150), quarantine.Incarnation{Endpoint: "down", Born: 1})
	report := tracker.Report(at(200), 1)
	c.Assert(report, quicktest.HasLen, 1)
	c.Check(len(report[0].Exposed), quicktest.Equals, 64)
	c.Check(slices.Contains(report[0].Exposed, quarantine.Exposure{ID: "dead", WaitedMillis: 100, Acknowledged: true}), quicktest.IsTrue)
}

// Endpoints crash for other causes, alone and in racks, while nine in ten requests have parts of a few common ones and the others rare
// parts. Guards against blaming any of them.
func TestOtherCrashesBlameNoPart(t *testing.T) {
	const (
		endpoints  = 12
		rounds     = 600
		interval   = 50 // milliseconds
		perRound   = 4
		waitRounds = 8
	)
	for seed := range uint64(50) {
		c := quicktest.New(t)
		random := rand.New(rand.NewPCG(seed, seed))
		d := quarantine.NewDetector(quarantine.DefaultOptions())
		tracker := quarantine.NewTracker()
		type request struct {
			endpoint int
			sentAt   time.Time
			parts    []string
		}
		var open []request
		born, downUntil := make([]int64, endpoints), make([]int, endpoints)
		for round := range rounds {
			now := at(round * interval)
			up := func(n int) bool { return round >= downUntil[n] }
			for range perRound {
				r := request{endpoint: random.IntN(endpoints), sentAt: now, parts: []string{fmt.Sprint("first", random.IntN(3))}}
				if random.IntN(10) == 0 {
					r.parts = append(r.parts, fmt.Sprint("rare", random.IntN(60)))
				} else {
					r.parts = append(r.parts, fmt.Sprint("common", random.IntN(10)))
				}
				if up(r.endpoint) {
					open = append(open, r)
				}
			}
			if crashed := random.IntN(endpoints); random.IntN(10) == 0 && up(crashed) {
				for n := crashed; n < min(crashed+1+4*random.IntN(2), endpoints); n++ {
					downUntil[n] = round + 20 + random.IntN(60)
				}
			}
			open = slices.DeleteFunc(open, func(r request) bool {
				incarnation := quarantine.Incarnation{Endpoint: fmt.Sprint(r.endpoint), Born: born[r.endpoint]}
				switch {
				case !up(r.endpoint):
					tracker.Broken(now, quarantine.Attempt{Incarnation: incarnation, Service: "s", Signatures: r.parts, SentAt: r.sentAt})
					tracker.Down(now, incarnation)
				case now.Sub(r.sentAt) >= waitRounds*interval*time.Millisecond:
					tracker.Begun(now, "s", r.parts)
				default:
					return false
				}
				return true
			})
			for n := range endpoints {
				if round == downUntil[n] {
					born[n]++
				}
			}
			crashes, begins := tracker.Report(now, 1), tracker.Begins(now, 1, d.Suspects())
			d.Record(now, "entry", crashes)
			d.RecordBegins(now, begins)
			tracker.Delivered(now, 1, crashes, begins)
			c.Assert(d.Blame(now), quicktest.HasLen, 0, quicktest.Commentf("seed %d, round %d", seed, round))
		}
	}
}
