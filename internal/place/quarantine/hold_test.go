package quarantine_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/quarantine"
)

// copies returns an entry's report of a crash of an endpoint that had copies of a request, each sent 200 ms before.
func copies(n int, name string, count int) []quarantine.Crash {
	return crashOf(n, false, slices.Repeat(sent(name), count))
}

// Copies of a request come at once. Guards against sending further copies at once while the outcome of one is not known, and against holding a request
// that was at one crash only, or has begun since.
func TestRequestInCopiesIsHeld(t *testing.T) {
	for name, record := range map[string]func(d *quarantine.Detector){
		"endpoints": func(d *quarantine.Detector) {
			d.Record(at(0), "entry", copies(0, "dead", 1))
			d.Record(at(10), "another entry", copies(1, "dead", 1))
		},
		"one endpoint": func(d *quarantine.Detector) { d.Record(at(10), "entry", copies(0, "dead", 2)) },
		"entries": func(d *quarantine.Detector) {
			d.Record(at(10), "entry", copies(0, "dead", 1))
			d.Record(at(10), "entry", copies(0, "dead", 1)) // the report is repeated
			d.Record(at(10), "another entry", copies(0, "dead", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			d := quarantine.NewDetector(quarantine.DefaultOptions())
			d.Record(at(0), "entry", crashOf(9, true, sent("other")))
			record(d)
			dead := []string{exact("dead")}
			turns := func(ms int) []string { return d.Turns(at(ms), []string{exact("other"), exact("dead")}) }
			c.Check(d.Held(), quicktest.DeepEquals, dead)
			c.Check(turns(709), quicktest.HasLen, 0) // it may have begun elsewhere
			c.Check(turns(710), quicktest.DeepEquals, dead)
			c.Check(turns(1000), quicktest.HasLen, 0)
			d.Record(at(1000), "entry", copies(8, "dead", 1))
			c.Check(turns(1699), quicktest.HasLen, 0)
			c.Check(turns(1700), quicktest.DeepEquals, dead)
			c.Check(turns(4699), quicktest.HasLen, 0)
			c.Check(turns(4700), quicktest.DeepEquals, dead) // the outcome of the last one is lost
			d.RecordBegins(at(4800), begin(0, exact("dead")))
			c.Check(d.Held(), quicktest.HasLen, 0)
		})
	}
}

// Guards against delaying a request that is sent all the time because several copies of it were at an endpoint that crashed.
func TestPopularRequestIsNotHeld(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	d.RecordBegins(at(0), begin(0, exact("popular")))
	d.Record(at(1000), "entry", copies(0, "popular", 5))
	d.Record(at(1000), "entry", copies(1, "popular", 5))
	c.Check(d.Held(), quicktest.HasLen, 0)
	d.Record(at(1100), "entry", copies(2, "popular", 1)) // it may have turned deadly
	c.Check(d.Held(), quicktest.HasLen, 1)
}

// Guards against an entry's report that counts copies of a request as one, or grows with their number.
func TestReportCountsCopies(t *testing.T) {
	c := quicktest.New(t)
	tracker := quarantine.NewTracker()
	for n := range 20 {
		tracker.Broken(at(100), attempt("down", at(0), sent("dead", customer)...))
		tracker.Down(at(100), quarantine.Incarnation{Endpoint: "down", Born: 1})
		c.Check(tracker.Report(at(200), 1)[0].Exposed, quicktest.HasLen, min(n+1, 8)+1)
	}
}

// copiesRun is a simulation of entries that send copies of requests to endpoints which crash, alone and in racks, for other causes.
type copiesRun struct {
	seed   uint64
	copies int           // of the deadly request at once, 0 for none
	every  time.Duration // between the first copies and the next ones
	others int           // percent of the rounds of 50 ms in which an endpoint or a rack crashes for another cause
	length time.Duration
	leave  bool // callers of the deadly request leave before it is answered, and so do those of some sound requests

	runs    []time.Time // when copies of the deadly request began to run
	blamed  []string    // sound signatures that were quarantined at some time
	found   bool        // the deadly request is quarantined at the end
	sound   int         // copies of sound requests that several callers send at once
	refused int         // of these, the ones that had no turn within a second
	waited  int         // and those that waited
}

const (
	simulatedEndpoints = 12
	simulatedEntries   = 3
	simulatedRound     = 50 * time.Millisecond
	simulatedLeave     = 150 * time.Millisecond
	simulatedCrash     = 250 * time.Millisecond  // from the sending of a deadly request whose caller leaves
	simulatedTurn      = 1500 * time.Millisecond // in which an entry uses a permit
	simulatedTimeout   = 3500 * time.Millisecond // after which no endpoint runs a request
)

// simulatedCopy is a request at an entry.
type simulatedCopy struct {
	signatures []string
	entry      int
	endpoint   int
	arrived    time.Time
	sentAt     time.Time
	leaves     bool
}

func (r *copiesRun) run() {
	random := rand.New(rand.NewPCG(r.seed, uint64(r.copies)))
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	var trackers [simulatedEntries]*quarantine.Tracker
	var turns [simulatedEntries]map[string]time.Time // until when
	var trials [simulatedEntries]map[string]bool
	var refused [simulatedEntries]map[string]quarantine.Refusals
	for e := range trackers {
		trackers[e], turns[e], trials[e], refused[e] = quarantine.NewTracker(), map[string]time.Time{}, map[string]bool{}, map[string]quarantine.Refusals{}
	}
	var waiting, open, left []simulatedCopy
	var held []string
	var quarantined []quarantine.Signature
	born, downUntil := [simulatedEndpoints]int64{}, [simulatedEndpoints]time.Time{}
	dead := exact("dead")
	for now, round := start, 0; now.Before(start.Add(r.length)); now, round = now.Add(simulatedRound), round+1 {
		up := func(n int) bool { return !now.Before(downUntil[n]) }
		crash := func(n int) {
			if up(n) {
				downUntil[n] = now.Add(time.Second + time.Duration(random.IntN(3000))*time.Millisecond)
			}
		}
		arrive := func(signatures []string) {
			waiting = append(waiting, simulatedCopy{signatures: signatures, entry: random.IntN(simulatedEntries), arrived: now})
		}
		for n := range 2 {
			arrive(sent(fmt.Sprint("request", round, n), customer))
		}
		if round%10 == 0 { // several callers send the same request at once
			for range 1 + random.IntN(6) {
				arrive(sent(fmt.Sprint("popular", random.IntN(4)), customer))
				arrive(sent(fmt.Sprint("new", round), customer))
			}
		}
		if r.leave && round%8 == 0 { // one after the other, each again after 1.6 s
			arrive(sent(fmt.Sprint("impatient", round/8%4), customer))
			arrive(sent(fmt.Sprint("rare", round), quarantine.Adapter("m", "rare"), customer))
			for i := range waiting[len(waiting)-2:] {
				waiting[len(waiting)-1-i].leaves = true
			}
		}
		if every := int(r.every / simulatedRound); r.copies > 0 && round%every == every/2 {
			for range r.copies {
				arrive(sent("dead", customer))
				waiting[len(waiting)-1].leaves = r.leave
			}
		}
		if random.IntN(100) < r.others {
			first := random.IntN(simulatedEndpoints)
			for n := first; n < min(first+1+4*random.IntN(2), simulatedEndpoints); n++ {
				crash(n)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(x simulatedCopy) bool {
			id := x.signatures[0]
			if x.leaves && now.Sub(x.arrived) >= simulatedLeave {
				return true
			}
			popular := id != dead && len(x.signatures) > 1 && !slices.Contains(r.blamed, id)
			if slices.Contains(quarantined, quarantine.NewSignature("s", id)) && !trials[x.entry][id] {
				n := refused[x.entry][id]
				refused[x.entry][id] = quarantine.Refusals{Total: n.Total + 1, Alone: n.Alone + 1}
				return true
			}
			delete(trials[x.entry], id)
			if slices.Contains(held, id) && !now.Before(turns[x.entry][id]) && !trackers[x.entry].LastBegin(id).After(x.arrived) {
				if popular && x.arrived.Equal(now) {
					r.waited++
				}
				if now.Sub(x.arrived) < time.Second {
					return false
				}
				if popular {
					r.refused++
				}
				return true
			}
			delete(turns[x.entry], id)
			x.endpoint, x.sentAt = random.IntN(simulatedEndpoints), now
			if popular {
				r.sound++
			}
			if up(x.endpoint) {
				open = append(open, x)
				if id == dead {
					r.runs = append(r.runs, now)
				}
			}
			return true
		})
		for _, x := range slices.Concat(open, left) {
			if x.signatures[0] == dead && now.After(x.sentAt) && (!x.leaves || now.Sub(x.sentAt) >= simulatedCrash) {
				crash(x.endpoint)
			}
		}
		left = slices.DeleteFunc(left, func(x simulatedCopy) bool { return now.Sub(x.sentAt) >= simulatedCrash })
		open = slices.DeleteFunc(open, func(x simulatedCopy) bool {
			incarnation := quarantine.Incarnation{Endpoint: fmt.Sprint(x.endpoint), Born: born[x.endpoint]}
			attempt := quarantine.Attempt{Incarnation: incarnation, Service: "s", Signatures: x.signatures, SentAt: x.sentAt}
			runsOn := slices.ContainsFunc(d.Suspects(), func(s quarantine.Signature) bool { return slices.Contains(x.signatures, s.ID) }) ||
				trackers[x.entry].Repeated(quarantine.Attempt{Service: "s", Signatures: x.signatures})
			switch {
			case x.leaves && !runsOn && now.Sub(x.sentAt) >= simulatedLeave:
				trackers[x.entry].Left(now, attempt, x.sentAt.Add(simulatedTimeout))
				left = append(left, x)
			case !up(x.endpoint):
				trackers[x.entry].Broken(now, attempt)
				trackers[x.entry].Down(now, incarnation)
			case now.Sub(x.sentAt) >= 400*time.Millisecond:
				trackers[x.entry].Begun(now, "s", x.signatures)
			default:
				return false
			}
			return true
		})
		for _, tracker := range trackers {
			for _, i := range tracker.LeftAt(now) {
				n, err := strconv.Atoi(i.Endpoint)
				if err == nil && (!up(n) || born[n] != i.Born) && round%5 == 0 {
					tracker.Ended(now, i)
				}
			}
		}
		for n := range simulatedEndpoints {
			if now.Before(downUntil[n]) && !now.Add(simulatedRound).Before(downUntil[n]) {
				born[n]++
			}
		}
		if e := round % 4; e < simulatedEntries { // each entry reports every 200 ms
			crashes, begins := trackers[e].Report(now, 1), trackers[e].Begins(now, 1, d.Suspects())
			d.Record(now, fmt.Sprint(e), crashes)
			d.RecordBegins(now, begins)
			trackers[e].Delivered(now, 1, crashes, begins)
			for _, id := range d.Asked(now, refused[e]) {
				trials[e][id] = true
			}
			clear(refused[e])
			ids := map[string]bool{}
			for _, x := range waiting {
				if x.entry == e {
					ids[x.signatures[0]] = true
				}
			}
			for _, id := range d.Turns(now, slices.Sorted(maps.Keys(ids))) {
				turns[e][id] = start.Add(r.length)
				if r.leave { // it may stay unused
					turns[e][id] = now.Add(simulatedTurn)
				}
			}
			held = d.Held()
		}
		if list := d.Blame(now); len(list) > 0 {
			quarantined = append(quarantined, list...)
			for _, s := range list {
				if s.ID != dead {
					r.blamed = append(r.blamed, s.ID)
				}
			}
			d.SetQuarantined(now, quarantined)
		}
		if list := d.Release(now); len(list) > 0 {
			quarantined = slices.DeleteFunc(quarantined, func(s quarantine.Signature) bool { return slices.Contains(list, s) })
			d.SetQuarantined(now, quarantined)
		}
	}
	r.found = slices.Contains(quarantined, quarantine.NewSignature("s", dead))
}

// late counts the runs later than 4 s after the third.
func (r *copiesRun) late() (n int) {
	for i, t := range r.runs {
		if i >= 3 && t.After(r.runs[2].Add(4*time.Second)) {
			n++
		}
	}
	return n
}

// copiesSeeds returns the number of seeds of a simulation with copies; COPIES_SEEDS sets it for long runs by hand.
func copiesSeeds(c *quicktest.C) (seeds uint64) {
	text := os.Getenv("COPIES_SEEDS")
	if text == "" {
		return 25
	}
	seeds, err := strconv.ParseUint(text, 10, 64)
	c.Assert(err, quicktest.IsNil)
	return seeds
}

// otherCrashes are the percentages of rounds in which endpoints crash for other causes.
var otherCrashes = []int{0, 1, 5, 10}

// A deadly request comes in copies at once, again and again, beside crashes of other causes. Guards against a request that crashes more endpoints the more
// copies come at once, and against one that is not found.
func TestCopiesOfDeadlyRequestAreBounded(t *testing.T) {
	const maxLate = 3
	for _, others := range otherCrashes {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			late := map[int]int{}
			for seed := range copiesSeeds(c) {
				r := copiesRun{seed: seed, copies: 1 + int(seed%8), every: time.Duration(5+seed%7) * time.Second, others: others, length: 100 * time.Second}
				r.run()
				late[r.late()]++
				c.Check(r.late() <= maxLate, quicktest.IsTrue, quicktest.Commentf("seed %d: %d of %d runs are late", seed, r.late(), len(r.runs)))
				c.Check(r.found, quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
				c.Check(r.blamed, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
			}
			t.Logf("simulations by late runs: %v", late)
		})
	}
}

// Several callers send the same sound requests at once, beside crashes of other causes. Guards against refusing a sound request that comes in copies.
func TestCopiesOfSoundRequestsAreServed(t *testing.T) {
	const maxRefused = 0.001
	for _, others := range otherCrashes {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			sound, waited, refused := 0, 0, 0
			for seed := range copiesSeeds(c) {
				r := copiesRun{seed: seed, others: others, length: 60 * time.Second}
				r.run()
				c.Check(r.blamed, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
				sound, waited, refused = sound+r.sound, waited+r.waited, refused+r.refused
			}
			t.Logf("%d copies: %d waited for a turn, %d got none", sound, waited, refused)
			c.Check(float64(refused) <= maxRefused*float64(sound), quicktest.IsTrue, quicktest.Commentf("%d of %d", refused, sound))
		})
	}
}

// The callers of a deadly request leave before it is answered, and its endpoints run it all the same; so do callers of sound requests, beside crashes of other
// causes. Guards against a request that crashes one endpoint after the other without being found, and against blaming the sound ones.
func TestRequestsThatCallersLeaveAreToldApart(t *testing.T) {
	const maxLate = 3
	for _, others := range otherCrashes {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			late, wrong := map[int]int{}, 0
			for seed := range copiesSeeds(c) {
				r := copiesRun{
					seed: seed, copies: 1 + int(seed%3), every: time.Duration(1200+200*(seed%7)) * time.Millisecond, others: others, length: 100 * time.Second, leave: true,
				}
				r.run()
				late[r.late()]++
				c.Check(r.late() <= maxLate, quicktest.IsTrue, quicktest.Commentf("seed %d: %d of %d runs are late", seed, r.late(), len(r.runs)))
				c.Check(r.blamed, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
				if len(r.blamed) > 0 {
					wrong++
				}
			}
			t.Logf("simulations by late runs: %v; with a sound signature blamed: %d", late, wrong)
		})
	}
}
