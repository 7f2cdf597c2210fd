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

// sent is a request with its signatures, that of the exact request first.
func sent(name string, others ...string) []string {
	return append([]string{exact(name)}, others...)
}

func exact(name string) string { return quarantine.Request([]byte(name)) }

var (
	adapter  = quarantine.Adapter("m", "a")
	customer = quarantine.Customer("acme")
)

// crashOf returns a report of a crash to which requests were exposed for 200 ms.
func crashOf(n int, acknowledged bool, requests ...[]string) []quarantine.Crash {
	return crash(n, acknowledged, slices.Concat(requests...)...)
}

func signature(id string) quarantine.Signature { return quarantine.NewSignature("s", id) }

// blamed decides until nothing more is blamed, and stores what is.
func blamed(d *quarantine.Detector, now time.Time) (all []string) {
	var stored []quarantine.Signature
	for list := d.Blame(now); len(list) > 0; list = d.Blame(now) {
		for _, s := range list {
			stored = append(stored, s)
			all = append(all, s.ID)
		}
		d.SetQuarantined(now, stored)
	}
	slices.Sort(all)
	return all
}

func sorted(ids ...string) []string {
	slices.Sort(ids)
	return ids
}

// One request crashes endpoints again and again, and nothing else begins meanwhile. Guards against refusing sound requests that have the same parts,
// adapter or customer.
func TestExactRequestIsBlamedAlone(t *testing.T) {
	for _, acknowledged := range []bool{true, false} {
		c := quicktest.New(t)
		d := quarantine.NewDetector(quarantine.DefaultOptions())
		for n := range 3 {
			c.Check(d.Blame(at(900*n)), quicktest.HasLen, 0)
			d.Record(at(900*n), "entry", crashOf(n, acknowledged, sent("dead", "first", "part", adapter, customer)))
		}
		c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(exact("dead")))
	}
}

// Guards against taking a request that crashes endpoints of two services, which its route chooses by weight, for two requests.
func TestCrashesOfAllServicesBlameRequest(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		report := crashOf(n, false, sent("dead", customer))
		report[0].Service = []string{"s", "other"}[n%2]
		d.Record(at(900*n), "entry", report)
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(exact("dead")))
}

// A part that crashes endpoints comes first in one request that is repeated. Guards against as many crashes again until the part is blamed, and against
// blaming the adapter and the customer, too.
func TestPartIsFoundBehindRequest(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		d.Record(at(900*n), "entry", crashOf(n, true, sent("repeated", "dead", adapter, customer)))
	}
	request := d.Blame(at(4000))
	c.Assert(request, quicktest.DeepEquals, []quarantine.Signature{signature(exact("repeated"))})
	d.SetQuarantined(at(4000), request)
	d.Record(at(5000), "entry", crashOf(4, true, sent("second", "dead", adapter, customer)))
	c.Check(d.Blame(at(7000)), quicktest.HasLen, 0)
	d.Record(at(7000), "entry", crashOf(5, true, sent("third", "dead", adapter, customer)))
	c.Check(d.Blame(at(9000)), quicktest.DeepEquals, []quarantine.Signature{signature("dead")})
}

// Guards against blaming a part for the crashes of two requests that have it by chance.
func TestPartOfTwoDeadlyRequestsIsNotBlamed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.RecordBegins(at(0), begin(0, "part", adapter, customer))
	for n := range 6 {
		d.Record(at(900*n+900), "entry", crashOf(n, true, sent(fmt.Sprint("dead", n%2), "part", adapter, customer)))
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(exact("dead0"), exact("dead1")))
}

// An adapter crashes endpoints. Guards against never finding it, and against refusing its customer or parts of its prompts.
func TestAdapterIsBlamed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 5 {
		now := at(900 * n)
		c.Check(d.Blame(now), quicktest.HasLen, 0)
		d.Record(now, "entry", crashOf(n, true, sent(fmt.Sprint("own", n), "first", adapter, customer), sent(fmt.Sprint("other", n), "first", customer)))
		d.RecordBegins(now.Add(400*time.Millisecond), begin(0, "first", exact(fmt.Sprint("other", n))))
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(adapter))
}

// A customer crashes endpoints with all that it sends. Guards against never finding it.
func TestCustomerIsBlamed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 5 {
		now := at(900 * n)
		c.Check(d.Blame(now), quicktest.HasLen, 0)
		d.Record(now, "entry", crashOf(n, false, sent(fmt.Sprint("own", n), customer), sent(fmt.Sprint("other", n), quarantine.Customer("other"))))
		d.RecordBegins(now.Add(400*time.Millisecond), begin(0, quarantine.Customer("other")))
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(customer))
}

// Some requests of a customer crash endpoints, each of them repeated, and others begin. Guards against refusing the whole customer.
func TestCustomerWithDeadlyRequestsIsServed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	var want []string
	for n := range 18 {
		now := at(900 * n)
		name := fmt.Sprint("dead", n/3)
		d.Record(now, "entry", crashOf(n, false, sent(name, customer)))
		if n%3 == 2 {
			want = append(want, exact(name))
			d.RecordBegins(now.Add(100*time.Millisecond), begin(0, customer))
		}
	}
	c.Check(blamed(d, at(18000)), quicktest.DeepEquals, sorted(want...))
}

// A sound request was exposed to each crash of a deadly request, or of a deadly part. Guards against missing the deadly one, and against refusing
// the sound one for long: it is tried after a second, and its begin releases it.
func TestSoundRequestBlamedWithAnotherIsReleased(t *testing.T) {
	for name, deadly := range map[string][]string{"request": {exact("dead")}, "part": {"dead"}} {
		c := quicktest.New(t)
		d := quarantine.NewDetector(quarantine.DefaultOptions())
		for n := range 3 {
			request := sent("dead", customer)
			if name == "part" {
				request = sent(fmt.Sprint("own", n), "dead", customer)
			}
			d.Record(at(900*n), "entry", crashOf(n, false, request, sent("sound", customer)))
		}
		c.Assert(blamed(d, at(4000)), quicktest.DeepEquals, sorted(append(deadly, exact("sound"))...), quicktest.Commentf(name))
		refused := map[string]quarantine.Refusals{deadly[0]: {Total: 1}, exact("sound"): {Total: 1, Alone: 1}}
		c.Check(d.Asked(at(4500), refused), quicktest.HasLen, 0)
		c.Check(d.Asked(at(5000), refused), quicktest.DeepEquals, []string{exact("sound")})
		d.RecordBegins(at(5400), begin(0, exact("sound")))
		c.Check(d.Release(at(5400)), quicktest.DeepEquals, []quarantine.Signature{signature(exact("sound"))})
	}
}

// Guards against a request blamed wrongly that is never tried, and against trials of a deadly one that crash several endpoints.
func TestRequestIsTriedOnce(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.SetQuarantined(at(0), []quarantine.Signature{signature(exact("dead"))})
	trials := 0
	for second := range 3600 {
		trials += len(d.Asked(at(1000*second), map[string]quarantine.Refusals{exact("dead"): {Total: 1, Alone: 1}}))
	}
	c.Check(trials, quicktest.Equals, 1)
}

// Entries of the release before report parts only. Guards against never blaming a part for them.
func TestReportsWithoutRequestsBlameParts(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		ids := []string{"dead", fmt.Sprint("own", n)}
		if n == 1 {
			ids = sent("from an entry of this release", ids...)
		}
		d.Record(at(900*n), "entry", crash(n, true, ids...))
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted("dead"))
}

// Hundreds of requests wait at endpoints that crash. Guards against records without a bound, and against leaving out the request that was exposed to
// several crashes.
func TestRecordedExposuresAreBounded(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		requests := [][]string{}
		for waiting := range 2000 {
			requests = append(requests, sent(fmt.Sprint("waiting", n, waiting)))
		}
		position := n * 1000
		if n == 2 {
			position = len(requests)
		}
		requests = slices.Insert(requests, position, sent("dead"))
		report := crashOf(n, false, requests...)
		if n == 1 {
			i := slices.IndexFunc(report[0].Exposed, func(e quarantine.Exposure) bool { return e.ID == exact("dead") })
			report[0].Exposed[i].Acknowledged = true
		}
		d.Record(at(900*n), "entry", report)
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(exact("dead")))
}

// Guards against a decision that waits for new evidence although the time to settle has passed, and against one that is not made again when the time
// to report begins changes.
func TestDecisionFollowsSettleTime(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		d.Record(at(300*n), "entry", crashOf(n, false, sent("dead")))
	}
	c.Check(d.Blame(at(999)), quicktest.HasLen, 0)
	c.Check(d.Blame(at(1000)), quicktest.HasLen, 1)
	d.SetSettle(time.Second)
	c.Check(d.Blame(at(1001)), quicktest.HasLen, 0)
	c.Check(d.Blame(at(1300)), quicktest.HasLen, 1)
}

// A deadly request beside endpoints that crash for another cause, and requests that callers repeat. Guards against blaming a sound signature, and
// against missing the deadly one.
func TestOtherCrashesBlameNoSignature(t *testing.T) {
	for _, deadly := range []bool{false, true} {
		for _, repeats := range []int{0, 50} {
			for seed := range uint64(50) {
				c := quicktest.New(t)
				got := simulate(seed, deadly, repeats)
				want := []string(nil)
				if deadly {
					want = sorted(exact("dead"))
				}
				c.Assert(got, quicktest.DeepEquals, want, quicktest.Commentf("seed %d, deadly %v, repeats %d%%", seed, deadly, repeats))
			}
		}
	}
}

// simulate runs 12 endpoints for 30 s, of which some crash alone and in racks, and returns what was blamed. Some percent of the requests that were
// exposed to a crash are repeated.
func simulate(seed uint64, deadly bool, repeats int) []string {
	const (
		endpoints  = 12
		rounds     = 600
		interval   = 50 // milliseconds
		perRound   = 4
		waitRounds = 8
		warmUp     = 20
	)
	type request struct {
		endpoint   int
		sentAt     time.Time
		signatures []string
	}
	random := rand.New(rand.NewPCG(seed, seed))
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	tracker := quarantine.NewTracker()
	var open []request
	var repeat [][]string
	var found []quarantine.Signature
	born, downUntil := make([]int64, endpoints), make([]int, endpoints)
	for round := range rounds {
		now := at(round * interval)
		up := func(n int) bool { return round >= downUntil[n] }
		quarantined := func(signatures []string) bool {
			return slices.ContainsFunc(found, func(s quarantine.Signature) bool { return slices.Contains(signatures, s.ID) })
		}
		send := func(signatures []string) {
			r := request{endpoint: random.IntN(endpoints), sentAt: now, signatures: signatures}
			if up(r.endpoint) && !quarantined(signatures) {
				open = append(open, r)
			}
		}
		for n := range perRound {
			kind := fmt.Sprint("common", random.IntN(10))
			if random.IntN(10) == 0 {
				kind = fmt.Sprint("rare", random.IntN(60))
			}
			send(sent(fmt.Sprint("request", round, n), fmt.Sprint("first", random.IntN(3)), kind,
				quarantine.Adapter("m", fmt.Sprint(random.IntN(40))), quarantine.Customer(fmt.Sprint(random.IntN(5)))))
		}
		for _, signatures := range repeat {
			send(signatures)
		}
		repeat = nil
		if deadly && round > warmUp && round%10 == 0 {
			send(sent("dead", "first0", "common0", quarantine.Adapter("m", "0"), quarantine.Customer("0")))
		}
		if crashed := random.IntN(endpoints); random.IntN(10) == 0 && up(crashed) && round > warmUp {
			for n := crashed; n < min(crashed+1+4*random.IntN(2), endpoints); n++ {
				downUntil[n] = round + 20 + random.IntN(60)
			}
		}
		for _, r := range open {
			if r.signatures[0] == exact("dead") && up(r.endpoint) && now.After(r.sentAt) {
				downUntil[r.endpoint] = round + 20 + random.IntN(60)
			}
		}
		open = slices.DeleteFunc(open, func(r request) bool {
			incarnation := quarantine.Incarnation{Endpoint: fmt.Sprint(r.endpoint), Born: born[r.endpoint]}
			switch {
			case !up(r.endpoint):
				tracker.Broken(now, quarantine.Attempt{Incarnation: incarnation, Service: "s", Signatures: r.signatures, SentAt: r.sentAt})
				tracker.Down(now, incarnation)
				if random.IntN(100) < repeats && r.signatures[0] != exact("dead") {
					repeat = append(repeat, r.signatures)
				}
			case now.Sub(r.sentAt) >= waitRounds*interval*time.Millisecond:
				tracker.Begun(now, "s", r.signatures)
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
		if list := d.Blame(now); len(list) > 0 {
			found = append(found, list...)
			d.SetQuarantined(now, found)
		}
	}
	var ids []string
	for _, s := range found {
		ids = append(ids, s.ID)
	}
	return ids
}

// Several entries report one crash, and the quarantined request that caused it is in the last report. Guards against blaming a sound request for a
// crash that is explained only then.
func TestLateReportExplainsCrash(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.SetQuarantined(at(0), []quarantine.Signature{quarantine.NewSignature("s", "dead")})
	for n, ms := range []int{0, 300, 600} {
		d.Record(at(ms), "entry", crash(n, true, "sound"))
		d.Blame(at(ms))
	}
	d.Record(at(800), "entry", crash(2, true, "dead"))
	c.Check(d.Blame(at(3000)), quicktest.HasLen, 0)
}
