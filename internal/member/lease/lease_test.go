package lease_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lycheevale/internal/member/lease"
)

// seed is fixed so that every run generates the same schedules.
const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 2500) }

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// keeper is a keeper whose clock runs fast or slow by up to the drift bound.
type keeper struct {
	name        string
	clockRate   float64
	incarnation uint64
	acceptor    *lease.Acceptor
	proposer    *lease.Proposer
	cut         bool
}

type message struct {
	at      time.Duration
	deliver func()
}

// simulation holds keepers and a network that loses, delays, duplicates and reorders messages.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	keepers      []*keeper
	queue        []message
	loss         float64
	delay        time.Duration
	opts         []lease.Option
	crashed      bool
	highestFence uint64
	heldTicks    int
}

func (sim *simulation) clock(k *keeper) time.Time {
	return epoch.Add(time.Duration(float64(sim.now) * k.clockRate))
}

func (sim *simulation) start(k *keeper) {
	k.incarnation++
	k.acceptor = lease.NewAcceptor(sim.clock(k), sim.opts...)
	k.proposer = lease.NewProposer(sim.clock(k), k.name, k.incarnation, len(sim.keepers), sim.opts...)
}

func (sim *simulation) send(from, to *keeper, f func()) {
	for range 1 + sim.random.IntN(10)/9 {
		if from != to && sim.random.Float64() < sim.loss {
			continue
		}
		d := time.Duration(sim.random.Int64N(int64(sim.delay)))
		if sim.random.IntN(50) == 0 {
			d *= 20
		}
		sim.queue = append(sim.queue, message{sim.now + d, func() {
			if from == to || (!from.cut && !to.cut) {
				f()
			}
		}})
	}
}

func (sim *simulation) broadcast(k *keeper, out lease.Output) {
	proposer := k.proposer
	for _, to := range sim.keepers {
		sim.send(k, to, func() {
			switch {
			case out.Prepare != nil:
				if p, err := to.acceptor.Prepare(sim.clock(to), *out.Prepare); err == nil {
					sim.send(to, k, func() { sim.broadcast(k, proposer.Promise(sim.clock(k), to.name, p)) })
				}
			case out.Accept != nil:
				if a, err := to.acceptor.Accept(sim.clock(to), *out.Accept); err == nil {
					sim.send(to, k, func() { sim.broadcast(k, proposer.Accepted(sim.clock(k), to.name, a)) })
				}
			}
		})
	}
}

func (sim *simulation) advance(d time.Duration) error {
	for end := sim.now + d; sim.now < end; {
		sim.now += 10 * time.Millisecond
		slices.SortStableFunc(sim.queue, func(a, b message) int { return cmp.Compare(a.at, b.at) })
		for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
			next := sim.queue[0]
			sim.queue = sim.queue[1:]
			next.deliver()
		}
		for _, k := range sim.keepers {
			holder := k.acceptor.Holder(sim.clock(k))
			if out := k.proposer.Tick(sim.clock(k), holder != "" && holder != k.name); out != (lease.Output{}) {
				sim.broadcast(k, out)
			}
		}
		if err := sim.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if two keepers hold the lease at once or a fencing number does not increase.
func (sim *simulation) check() error {
	var holders []string
	for _, k := range sim.keepers {
		if !k.proposer.Holds(sim.clock(k)) {
			continue
		}
		holders = append(holders, k.name)
		floor, limit := k.proposer.Fences()
		if fence := floor + 1; fence <= limit {
			if fence <= sim.highestFence && !sim.crashed {
				return fmt.Errorf("%v: fence %d after %d", sim.now, fence, sim.highestFence)
			}
			sim.highestFence = max(sim.highestFence, fence)
			k.proposer.MarkUsed(fence)
		}
	}
	if len(holders) > 1 {
		return fmt.Errorf("%v: %v hold the lease", sim.now, holders)
	}
	sim.heldTicks += len(holders)
	return nil
}

func (sim *simulation) applyFault(action, i int) {
	k := sim.keepers[i%len(sim.keepers)]
	switch action {
	case 0:
		k.cut = !k.cut
	case 1:
		sim.crashed = true
		sim.start(k)
	case 2:
		ballot := k.proposer.Resign(sim.clock(k))
		for _, to := range sim.keepers {
			sim.send(k, to, func() { to.acceptor.Release(ballot) })
		}
	}
}

// schedule generates a random schedule, runs it and returns the first violation.
func schedule(opts ...lease.Option) *rapid.Generator[error] {
	return rapid.Custom(func(t *rapid.T) error {
		network := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "network")
		sim := &simulation{random: rand.New(rand.NewChaCha8([32]byte(network)))}
		sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		sim.delay = rapid.SampledFrom([]time.Duration{2, 60, 400}).Draw(t, "delay") * time.Millisecond
		sim.opts = append([]lease.Option{lease.WithLength(time.Second), lease.WithMargin(20 * time.Millisecond), lease.WithAttemptTimeout(200 * time.Millisecond),
			lease.WithDrift(0.01), lease.WithReserve(50), lease.WithRandom(sim.random.Float64)}, opts...)
		sim.keepers = make([]*keeper, rapid.SampledFrom([]int{3, 5}).Draw(t, "keepers"))
		for i := range sim.keepers {
			sim.keepers[i] = &keeper{name: fmt.Sprint("k", i), clockRate: 0.99 + 0.02*sim.random.Float64()}
		}
		for _, k := range sim.keepers {
			sim.start(k)
		}
		if err := sim.advance(1200 * time.Millisecond); err != nil {
			return err
		}
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			sim.applyFault(rapid.IntRange(0, 4).Draw(t, "action"), rapid.IntRange(0, 4).Draw(t, "keeper"))
			if err := sim.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * 10 * time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
}

// Guards against two coordinators and against decreasing fencing numbers.
func TestOneHolder(t *testing.T) {
	g := schedule()
	rapid.Check(t, func(rt *rapid.T) {
		if err := g.Draw(rt, "violation"); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a check that does not detect the violation it looks for.
func TestMutationsAreDetected(t *testing.T) {
	disabled := func() bool { return false }
	for name, rules := range map[string]lease.Option{
		"exclusive grant":  func(o *lease.Options) { o.Exclusive = disabled },
		"silence":          func(o *lease.Options) { o.Silence = disabled },
		"stop at deadline": func(o *lease.Options) { o.StopEarly = disabled },
		"margin and drift": func(o *lease.Options) { o.Margin, o.Drift = -300*time.Millisecond, 0 },
		"fence floor":      func(o *lease.Options) { o.LearnFence = disabled },
	} {
		t.Run(name, func(t *testing.T) {
			g := schedule(rules)
			for i := range 3000 {
				if err := g.Example(i); err != nil {
					t.Logf("schedule %d: %v", i, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against a delayed release that ends a later grant. This resulted in two coordinators when one resigned
// and was elected again immediately.
func TestDelayedReleaseKeepsLaterGrant(t *testing.T) {
	c := quicktest.New(t)
	a := lease.NewAcceptor(epoch, func(o *lease.Options) { o.Silence = func() bool { return false } })
	old, later := lease.Ballot{Round: 1, Proposer: "k", Nonce: 1}, lease.Ballot{Round: 2, Proposer: "k", Nonce: 1}
	for _, b := range []lease.Ballot{old, later} {
		answer, err := a.Accept(epoch, lease.Accept{Ballot: b})
		c.Assert(err, quicktest.IsNil)
		c.Assert(answer.OK, quicktest.IsTrue)
	}
	a.Release(old)
	c.Check(a.Holder(epoch), quicktest.Equals, "k")
	a.Release(later)
	c.Check(a.Holder(epoch), quicktest.Equals, "")
}

// Guards against a lease that is never obtained, lost without a fault, or not obtained by another keeper in time.
func TestLiveness(t *testing.T) {
	c := quicktest.New(t)
	sim := &simulation{random: rand.New(rand.NewPCG(1, 1)), delay: 2 * time.Millisecond}
	sim.opts = []lease.Option{lease.WithRandom(sim.random.Float64)}
	for i := range 5 {
		sim.keepers = append(sim.keepers, &keeper{name: fmt.Sprint("k", i), clockRate: 1})
	}
	for _, k := range sim.keepers {
		sim.start(k)
	}
	c.Assert(sim.advance(6*time.Second), quicktest.IsNil)
	before := sim.heldTicks
	c.Assert(sim.advance(60*time.Second), quicktest.IsNil)
	c.Assert(sim.heldTicks-before, quicktest.Equals, 6000)
	for _, k := range sim.keepers {
		k.cut = k.proposer.Holds(sim.clock(k))
	}
	before = sim.heldTicks
	c.Assert(sim.advance(10*time.Second), quicktest.IsNil)
	c.Assert(sim.heldTicks-before > 500, quicktest.IsTrue, quicktest.Commentf("held for %d of 1000 ticks", sim.heldTicks-before))
}
