package feed_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/feed"
)

const (
	strictKeyLimit = 2 * time.Second // default of the setting StrictKeyLimit
	// detection is how long a silent source may go unnoticed: 1.75 s until a missed heartbeat is seen, 1.25 s for the
	// renewal; the rest is for the way to another source.
	detection = 3500 * time.Millisecond
	oneWay    = 30 * time.Millisecond
)

// stagedFleet has two data centres of a relay and twelve instances, three of which feed the others.
func stagedFleet() *fleet {
	f := newFleet(oneWay, 0)
	for _, dc := range []string{"suva-a", "labasa-a"} {
		f.add(dc+"-relay", dc, feed.WithFanout(3), feed.WithSources(func() []string { return []string{"voter"} }))
		sources := []string{dc + "-relay", "voter"}
		for i := range 12 {
			f.add(fmt.Sprint(dc, "-", i), dc, feed.WithFanout(3), feed.WithSources(func() []string { return sources }))
		}
	}
	return f
}

// stage returns an instance of the second stage and one that it feeds.
func (f *fleet) stage() (stage, leaf string) {
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		if source := f.nodes[name].Source(); source != "" && source != "voter" && source != "suva-a-relay" && source != "labasa-a-relay" {
			return source, name
		}
	}
	return "", ""
}

func (f *fleet) setFault(fault func(from, to, method string) outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// inForce waits until the others have the revision and fresh knowledge, and returns how long it took.
func (f *fleet) inForce(t *testing.T, revision uint64, except string) time.Duration {
	start, last := time.Now(), map[string]uint64{}
	for {
		missing := ""
		for name, r := range f.regs {
			qt.Assert(t, r.Revision() >= last[name], qt.IsTrue, qt.Commentf("the revision of %s went down", name))
			last[name] = r.Revision()
			age := time.Since(f.nodes[name].FreshAt())
			qt.Assert(t, age >= 0, qt.IsTrue, qt.Commentf("%s knows what comes in %v", name, -age))
			if name != except && (r.Revision() < revision || age > strictKeyLimit) {
				missing = name
			}
		}
		if missing == "" {
			return time.Since(start)
		}
		qt.Assert(t, time.Since(start) < time.Minute, qt.IsTrue, qt.Commentf("%s is never served", missing))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against each lost message and lost source at the time of a change: it has to be in force within its target,
// and within the time of detection where the source itself is lost.
func TestFaultsOfStages(t *testing.T) {
	for _, method := range []string{"Feed.Push", "Feed.Beat", "Feed.Ack", "Feed.Subscribe"} {
		for _, happens := range []outcome{requestLost, answerLost, requestLate} {
			for _, hop := range []string{"relay", "stage", "leaf"} {
				if method == "Feed.Ack" && hop == "leaf" {
					continue // It has no subscribers to report.
				}
				t.Run(fmt.Sprintf("%s/%d/%s", method, happens, hop), func(t *testing.T) {
					// A renewal comes only after something else was lost.
					lost, bound := []string{method}, target
					if method == "Feed.Subscribe" {
						lost, bound = []string{"Feed.Push", method}, detection
					}
					var left []string
					runStaged(t, bound, func(f *fleet) string {
						stage, leaf := f.stage()
						name := map[string]string{"relay": f.nodes[stage].Source(), "stage": stage, "leaf": leaf}[hop]
						left = slices.Clone(lost)
						f.fault = func(from, to, called string) outcome {
							if len(left) == 0 || called != left[0] || (called == "Feed.Push" && to != name) || (from != name && to != name) {
								return delivered
							}
							left = left[1:]
							return happens
						}
						return ""
					})
					qt.Check(t, left, qt.HasLen, 0)
				})
			}
		}
	}
	lose := map[string]func(f *fleet, name string){
		"dead":   func(f *fleet, name string) { delete(f.muxes, name) },
		"silent": func(f *fleet, name string) { f.fault = cutOff(name) },
	}
	for kind, lost := range lose {
		for _, hop := range []string{"relay", "stage"} {
			t.Run(kind+"/"+hop, func(t *testing.T) {
				runStaged(t, detection, func(f *fleet) string {
					name, _ := f.stage()
					if hop == "relay" {
						name = f.nodes[name].Source()
					}
					lost(f, name)
					return name
				})
			})
		}
	}
}

// Guards against an instance that is sent again and again to a source that only it cannot reach.
func TestLinkToStageIsSilent(t *testing.T) {
	runStaged(t, detection, func(f *fleet) string {
		stage, leaf := f.stage()
		f.fault = func(from, to, _ string) outcome {
			if (from == stage && to == leaf) || (from == leaf && to == stage) {
				return requestLost
			}
			return delivered
		}
		return ""
	})
}

// Guards against a relay that goes on feeding all instances after none of them could reach another for a while.
func TestStagesComeBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := stagedFleet()
		defer f.run()()
		direct := func() (count int) {
			for _, n := range f.nodes {
				if n.Source() == "suva-a-relay" {
					count++
				}
			}
			return count
		}
		time.Sleep(10 * time.Second)
		f.setFault(func(from, to, _ string) outcome {
			if strings.HasPrefix(from, "suva-a-") && strings.HasPrefix(to, "suva-a-") && from != "suva-a-relay" && to != "suva-a-relay" {
				return requestLost
			}
			return delivered
		})
		time.Sleep(20 * time.Second)
		qt.Check(t, direct(), qt.Equals, 12)
		f.setFault(nil)
		time.Sleep(2 * time.Minute)
		qt.Check(t, direct(), qt.Equals, 3)
	})
}

func cutOff(name string) func(from, to, method string) outcome {
	return func(from, to, _ string) outcome {
		if from == name || to == name {
			return requestLost
		}
		return delivered
	}
}

// runStaged injects a fault at different times after a heartbeat, makes a change, and checks it again without the fault.
func runStaged(t *testing.T, bound time.Duration, inject func(f *fleet) (lost string)) {
	for _, phase := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 950 * time.Millisecond} {
		virtualtime.Test(t, func(t *testing.T) {
			f := stagedFleet()
			defer f.run()()
			time.Sleep(10*time.Second + phase)
			f.mu.Lock()
			lost := inject(f)
			f.mu.Unlock()
			took := f.inForce(t, f.change(1), lost)
			qt.Check(t, took <= bound, qt.IsTrue, qt.Commentf("in force after %v, phase %v", took, phase))
			time.Sleep(5 * time.Second)
			took = f.inForce(t, f.change(2), lost)
			qt.Check(t, took <= target, qt.IsTrue, qt.Commentf("the next one after %v, phase %v", took, phase))
		})
	}
}

// Guards against strict key checks that refuse without a fault, and against knowledge that looks fresh because a
// heartbeat was held up on its way.
func TestFreshness(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprint("dc", i))
		}
		f := newFleet(oneWay, 90, names...)
		defer f.run()()
		time.Sleep(10 * time.Second)
		var oldest time.Duration
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range f.nodes {
				oldest = max(oldest, time.Since(n.FreshAt()))
			}
		}
		t.Logf("oldest knowledge of %d instances: %v", len(f.nodes), oldest)
		qt.Check(t, oldest < strictKeyLimit, qt.IsTrue)
	})
	virtualtime.Test(t, func(t *testing.T) {
		f := stagedFleet()
		defer f.run()()
		time.Sleep(10 * time.Second)
		_, leaf := f.stage()
		f.setFault(func(_, to, method string) outcome {
			if to == leaf && method == "Feed.Beat" {
				return requestSlow
			}
			return delivered
		})
		// The voter is cut off just after its heartbeat has reached the relay.
		time.Sleep(10*time.Second + oneWay*3/2)
		cut := time.Now()
		f.setFault(func(from, to, method string) outcome {
			switch {
			case from == "voter" || to == "voter":
				return requestLost
			case to == leaf && method == "Feed.Beat":
				return requestSlow
			}
			return delivered
		})
		time.Sleep(10 * time.Second)
		known := f.nodes[leaf].FreshAt().Sub(cut)
		qt.Check(t, known <= 0 && known > -time.Second, qt.IsTrue, qt.Commentf("cut off at 0, fresh at %v", known))
	})
}

// Guards against instances of a data centre that is cut off: they keep their revision, and have the changes within the
// target after it is over.
func TestDataCentreIsCutOff(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := stagedFleet()
		defer f.run()()
		time.Sleep(10 * time.Second)
		f.setFault(cutOff("voter"))
		time.Sleep(time.Minute)
		revision := f.change(1)
		time.Sleep(time.Minute)
		f.setFault(nil)
		took := f.inForce(t, revision, "")
		qt.Check(t, took <= detection+target, qt.IsTrue, qt.Commentf("in force after %v", took))
	})
}

// Guards against changes that come so fast that the voter spaces their pushes, and are then in force too late.
func TestRunOfChanges(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := stagedFleet()
		defer f.run()()
		time.Sleep(10500 * time.Millisecond)
		var made []time.Time
		var slowest time.Duration
		for i := 0; len(made) < 60 || slowest == 0; i++ {
			if i%20 == 0 && len(made) < 60 {
				f.change(len(made))
				made = append(made, time.Now())
			}
			time.Sleep(10 * time.Millisecond)
			for _, r := range f.regs {
				if revision := int(r.Revision()); revision < len(made) {
					slowest = max(slowest, time.Since(made[revision]))
				}
			}
		}
		t.Logf("slowest of %d changes, five a second: %v", len(made), slowest)
		qt.Check(t, slowest < target, qt.IsTrue)
	})
}
