package share_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
)

const (
	seed      = "20261204"
	schedules = 1500
)

func TestMain(m *testing.M) { seeded.Main(m, seed, schedules) }

func ExampleAllocator() {
	a := share.New()
	in := share.Input{
		Revision: 1, DataCentres: []string{"suva-a", "labasa-a"},
		Customers: map[string]registry.Customer{"koro": {Rate: 100, Burst: 1000}},
	}
	for _, o := range a.Plan(time.Unix(0, 0), in) {
		fmt.Printf("%s %.0f %.0f\n", o.Name, o.Share.Rate, o.Share.Burst)
	}
	// Output:
	// koro/labasa-a 50 500
	// koro/suva-a 50 500
}

// simulation holds the shares in the log and those in effect in each data centre.
type simulation struct {
	allocator *share.Allocator
	opts      []share.Option
	now       time.Time
	limit     registry.Customer
	revision  uint64
	shares    []registry.Share
	inEffect  map[string]registry.Share
	demand    map[string]float64
	changes   int
}

var centres = []string{"a", "b", "c"}

func newSimulation(opts ...share.Option) *simulation {
	w := &simulation{
		allocator: share.New(opts...), opts: opts, now: time.Unix(0, 0), limit: registry.Customer{Rate: 900, Burst: 9000},
		revision: 1, inEffect: map[string]registry.Share{}, demand: map[string]float64{},
	}
	w.plan()
	for _, c := range centres {
		w.apply(c)
	}
	return w
}

func (w *simulation) plan() {
	changes := w.allocator.Plan(w.now, share.Input{
		Revision: w.revision, DataCentres: centres, Shares: w.shares,
		Customers: map[string]registry.Customer{"koro": w.limit},
	})
	w.appendLog(changes)
	w.changes += len(changes)
}

func (w *simulation) appendLog(changes []registry.Object) {
	if len(changes) > 0 {
		w.revision++
	}
	w.shares = slices.Clone(w.shares)
	for _, o := range changes {
		i := slices.IndexFunc(w.shares, func(s registry.Share) bool { return share.Name(s) == o.Name })
		if i < 0 {
			w.shares = append(w.shares, *o.Share)
			continue
		}
		w.shares[i] = *o.Share
	}
}

// apply puts the logged share of a data centre into effect.
func (w *simulation) apply(centre string) {
	for _, s := range w.shares {
		if s.DataCentre == centre {
			w.inEffect[centre] = s
		}
	}
}

func (w *simulation) report(centre string) {
	d := share.Demand{Customer: "koro", Rate: w.demand[centre], Largest: 100}
	if e := w.inEffect[centre]; d.Rate > e.Rate {
		d.Waiting = d.Rate - e.Rate
	}
	w.allocator.Report(w.now, share.Report{DataCentre: centre, Full: true, Items: []share.Demand{d}})
}

func (w *simulation) confirm(centre string) {
	changes, _ := share.Confirm(w.shares, []share.Confirmation{{Share: w.inEffect[centre]}})
	w.appendLog(changes)
}

// runSecond runs one second without faults.
func (w *simulation) runSecond() {
	for range 4 {
		for _, c := range centres {
			w.report(c)
			w.apply(c)
			w.confirm(c)
		}
		w.plan()
		w.now = w.now.Add(250 * time.Millisecond)
	}
}

func (w *simulation) check() error {
	rate, burst := 0.0, 0.0
	for _, c := range centres {
		rate += w.inEffect[c].Rate
		burst += w.inEffect[c].Burst
	}
	if rate > w.limit.Rate+1e-6 || burst > w.limit.Burst+1e-6 {
		return fmt.Errorf("shares in effect have rate %v and burst %v", rate, burst)
	}
	return nil
}

func runSchedule(t *rapid.T, opts ...share.Option) error {
	w := newSimulation(opts...)
	random := rand.New(rand.NewChaCha8([32]byte(rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "seed"))))
	for range rapid.IntRange(20, 150).Draw(t, "steps") {
		c := centres[random.IntN(3)]
		switch random.IntN(12) {
		case 0:
			w.demand[c] = float64(random.IntN(1200))
		case 1, 2:
			w.report(c)
		case 3, 4:
			w.apply(c)
		case 5:
			w.confirm(c)
		case 6: // a new leader, which has neither demand reports nor the decreases in progress
			if random.IntN(4) == 0 {
				w.allocator = share.New(w.opts...)
			}
		case 7:
			w.limit.Rate += 10
		default:
			w.plan()
			w.now = w.now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against shares in effect that together exceed the limit when messages are lost or late or the leader changes.
func TestSharesInEffectStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSchedule(t); err != nil {
			t.Fatal(err)
		}
	})
}

// Mutation: the check must detect an increase before the confirmation of the decrease.
func TestEarlyIncreaseIsDetected(t *testing.T) {
	found := false
	rapid.Check(t, func(t *rapid.T) { found = found || runSchedule(t, share.WithEarlyIncrease()) != nil })
	quicktest.Assert(t, found, quicktest.IsTrue)
}

// Guards against shares that follow demand slowly, or that oscillate when demand is steady but noisy.
func TestFollowsDemandWithoutOscillation(t *testing.T) {
	c := quicktest.New(t)
	w := newSimulation()
	random := rand.New(rand.NewPCG(1, 1))
	for turn := range 6 {
		busy := centres[turn%3]
		w.demand = map[string]float64{busy: 800}
		for range 4 {
			w.runSecond()
		}
		c.Assert(w.inEffect[busy].Rate >= 720, quicktest.IsTrue, quicktest.Commentf("rate %v", w.inEffect[busy].Rate))
		before := w.changes
		for range 60 {
			w.demand[busy] = 800 * (0.9 + 0.2*random.Float64())
			w.runSecond()
		}
		c.Assert(w.changes-before <= 6, quicktest.IsTrue, quicktest.Commentf("%d changes in a minute", w.changes-before))
	}
}

// Guards against a cut-off data centre that loses its share or blocks changes of the others.
func TestCutOffKeepsItsShare(t *testing.T) {
	c := quicktest.New(t)
	w := newSimulation()
	w.runSecond()
	own := w.inEffect["c"]
	w.demand = map[string]float64{"a": 590}
	for range 20 {
		for _, centre := range []string{"a", "b"} {
			w.report(centre)
			w.apply(centre)
			w.confirm(centre)
		}
		w.now = w.now.Add(500 * time.Millisecond)
		w.plan()
	}
	c.Assert(w.inEffect["c"], quicktest.Equals, own)
	c.Assert(w.inEffect["a"].Rate > 500, quicktest.IsTrue, quicktest.Commentf("rate %v", w.inEffect["a"].Rate))
}

// Guards against an outlook that includes the share of a cut-off data centre, which cannot move: requests would wait for
// it until their deadlines.
func TestOutlookOfCutOffShare(t *testing.T) {
	a, start := share.New(), time.Unix(0, 0)
	in := share.Input{Revision: 1, DataCentres: centres[:2], Customers: map[string]registry.Customer{"koro": {Rate: 100, Burst: 1000}}}
	for i, centre := range centres[:2] {
		a.Report(start, share.Report{DataCentre: centre, Full: true})
		in.Shares = append(in.Shares, registry.Share{
			Customer: "koro", DataCentre: centre, Rate: []float64{90, 10}[i], Burst: []float64{900, 100}[i], Epoch: 1, Confirmed: true,
		})
	}
	for _, after := range []time.Duration{5 * time.Second, 10 * time.Second, 40 * time.Second} {
		report := share.Report{DataCentre: "b", Full: true, Items: []share.Demand{{Customer: "koro", Rate: 100, Epoch: 1}}}
		a.Report(start.Add(after), report)
		answer := a.Outlook(start.Add(after), in, report)
		quicktest.Check(t, answer.Items[0].Rate, quicktest.Equals, 10.0, quicktest.Commentf("%v", after))
	}
}

// Guards against a new leader that treats a report of changes as a full one and moves shares away.
func TestNewLeaderWaitsForFullReport(t *testing.T) {
	c := quicktest.New(t)
	w := newSimulation()
	c.Assert(w.allocator.Report(w.now, share.Report{DataCentre: "a"}), quicktest.IsFalse)
	c.Assert(w.allocator.Reachable(w.now, "a"), quicktest.IsFalse)
	c.Assert(w.allocator.Report(w.now, share.Report{DataCentre: "a", Full: true}), quicktest.IsTrue)
	c.Assert(w.allocator.Report(w.now, share.Report{DataCentre: "a"}), quicktest.IsTrue)
}

// Guards against shares that outlive a lowered limit or a removed customer.
func TestLimitLoweredAndCustomerRemoved(t *testing.T) {
	c := quicktest.New(t)
	w := newSimulation()
	w.limit = registry.Customer{Rate: 90, Burst: 900}
	for range 3 {
		w.runSecond()
	}
	c.Assert(w.check(), quicktest.IsNil)
	in := share.Input{Revision: 9, DataCentres: centres, Shares: w.shares}
	reduced := share.New().Plan(w.now, in)
	c.Assert(len(reduced), quicktest.Equals, 3)
	for i := range in.Shares {
		c.Assert(reduced[i].Share.Rate == 0 && reduced[i].Share.Burst == 0 && !reduced[i].Share.Confirmed, quicktest.IsTrue)
		in.Shares[i] = *reduced[i].Share
	}
	c.Assert(share.New().Plan(w.now, in), quicktest.HasLen, 0) // not confirmed
	in.Shares[0].Confirmed = true
	deletions := share.New().Plan(w.now, in)
	c.Assert(deletions, quicktest.HasLen, 1)
	c.Assert(deletions[0].Deleted, quicktest.IsTrue)
}
