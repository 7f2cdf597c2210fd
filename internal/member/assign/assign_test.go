package assign_test

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

	"lycheevale/internal/member/assign"
)

// seed is fixed so that every run generates the same schedules.
const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 1500) }

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	tick       = 50 * time.Millisecond
	maxCommand = 400 * time.Millisecond
)

// owner is an instance whose clock runs fast or slow by up to the drift bound.
type owner struct {
	name        string
	clockRate   float64
	incarnation uint64
	holder      *assign.Holder
	cut         bool
	stopping    map[assign.Held]bool // reported as stopped as soon as no command is in flight
}

// command is in flight to an endpoint until the given time, even if its owner crashes.
type command struct {
	held  assign.Held
	owner string
	until time.Duration
}

type message struct {
	at      time.Duration
	deliver func()
}

// simulation holds the current coordinator, owners, endpoints and a network with faults.
type simulation struct {
	random        *rand.Rand
	now           time.Duration
	table         *assign.Table
	owners        []*owner
	endpoints     []assign.Endpoint
	issuer        map[assign.Held]string
	commands      []command
	queue         []message
	loss          float64
	delay         time.Duration
	opts          []assign.Option
	changes       int
	renewInterval int // average ticks between renewals
}

func newSimulation(random *rand.Rand, owners, endpoints int, opts ...assign.Option) *simulation {
	sim := &simulation{random: random, delay: 1, renewInterval: 5, issuer: map[assign.Held]string{}}
	sim.opts = append([]assign.Option{assign.WithLength(time.Second), assign.WithMargin(20 * time.Millisecond), assign.WithDrift(0.01),
		assign.WithMaxCommand(maxCommand), assign.WithSuspect(func(_ time.Time, name string) bool {
			i := slices.IndexFunc(sim.owners, func(o *owner) bool { return o.name == name })
			return sim.owners[i].cut
		})}, opts...)
	for i := range owners {
		sim.owners = append(sim.owners, &owner{name: fmt.Sprint("i", i), clockRate: 0.99 + 0.02*random.Float64()})
		sim.start(sim.owners[i])
	}
	for i := range endpoints {
		sim.endpoints = append(sim.endpoints, assign.Endpoint{Name: fmt.Sprint("e", i), ChecksFencing: i%2 == 0})
	}
	sim.elect()
	return sim
}

func (sim *simulation) clock(rate float64) time.Time {
	return epoch.Add(time.Duration(float64(sim.now) * rate))
}

func (sim *simulation) start(o *owner) {
	o.incarnation++
	o.stopping = map[assign.Held]bool{}
	o.holder = assign.NewHolder(o.incarnation, sim.opts...)
}

// elect replaces the coordinator. The new one gets fencing numbers above those of its predecessor, as
// the keepers record the reserved ones.
func (sim *simulation) elect() {
	var floor uint64
	if sim.table != nil {
		floor = sim.table.Fence()
	}
	sim.table = assign.New(sim.clock(1), sim.opts...)
	sim.table.SetFences(floor, floor+1000)
}

func (sim *simulation) send(o *owner, f func()) {
	for range 1 + sim.random.IntN(10)/9 {
		if sim.random.Float64() < sim.loss {
			continue
		}
		d := time.Duration(sim.random.Int64N(int64(sim.delay)))
		if sim.random.IntN(30) == 0 {
			d *= 20
		}
		sim.queue = append(sim.queue, message{sim.now + d, func() {
			if !o.cut {
				f()
			}
		}})
	}
}

func (sim *simulation) renew(o *owner) {
	holder, r := o.holder, o.holder.Renewal(sim.clock(o.clockRate))
	sim.send(o, func() {
		reply, err := sim.table.Renew(sim.clock(1), o.name, r)
		if err != nil {
			return
		}
		sim.send(o, func() {
			for _, e := range holder.Reply(sim.clock(o.clockRate), r.Sequence, reply) {
				sim.handleEvent(o, holder, e)
			}
		})
	})
}

func (sim *simulation) handleEvent(o *owner, holder *assign.Holder, e assign.Event) {
	if holder == o.holder && (e.Kind == assign.Drain || e.Kind == assign.Lost) {
		o.stopping[assign.Held{Endpoint: e.Endpoint, Fence: e.Fence}] = true
	}
}

func (sim *simulation) inFlight(h assign.Held, owner string) bool {
	return slices.ContainsFunc(sim.commands, func(c command) bool { return c.held == h && c.owner == owner })
}

func (sim *simulation) advance(d time.Duration) error {
	for end := sim.now + d; sim.now < end; {
		sim.now += tick
		slices.SortStableFunc(sim.queue, func(a, b message) int { return cmp.Compare(a.at, b.at) })
		for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
			next := sim.queue[0]
			sim.queue = sim.queue[1:]
			next.deliver()
		}
		sim.commands = slices.DeleteFunc(sim.commands, func(c command) bool { return c.until <= sim.now })
		for _, p := range sim.endpoints {
			if sim.random.IntN(8) == 0 {
				sim.table.SetEndpoint(sim.clock(1), p)
			}
		}
		for _, c := range sim.table.Decide(sim.clock(1)) {
			sim.changes++
			i := slices.IndexFunc(sim.endpoints, func(p assign.Endpoint) bool { return p.Name == c.Endpoint })
			if sim.endpoints[i].Leaving {
				return fmt.Errorf("%v: leaving endpoint assigned: %+v", sim.now, c)
			}
		}
		for _, o := range sim.owners {
			sim.updateOwner(o)
		}
		if err := sim.issueCommands(); err != nil {
			return err
		}
	}
	return nil
}

// updateOwner renews and expires the endpoints that an owner holds and reports those that it has stopped
// using.
func (sim *simulation) updateOwner(o *owner) {
	for _, e := range o.holder.Expire(sim.clock(o.clockRate)) {
		sim.handleEvent(o, o.holder, e)
	}
	for h := range o.stopping {
		if !sim.inFlight(h, fmt.Sprint(o.name, o.incarnation)) {
			o.holder.Stopped(sim.clock(o.clockRate), h.Endpoint, h.Fence)
			delete(o.stopping, h)
		}
	}
	if sim.random.IntN(sim.renewInterval) == 0 {
		sim.renew(o)
	}
}

// issueCommands issues commands and returns an error if two owners act on an endpoint at once or one acts
// with an old fencing number.
func (sim *simulation) issueCommands() error {
	for i := range sim.endpoints {
		p := &sim.endpoints[i]
		acting := ""
		for _, o := range sim.owners {
			fence, ok := o.holder.MayAct(sim.clock(o.clockRate), p.Name)
			if !ok {
				continue
			}
			id, h := fmt.Sprint(o.name, o.incarnation), assign.Held{Endpoint: p.Name, Fence: fence}
			if acting != "" {
				return fmt.Errorf("%v: %s and %s act on %s", sim.now, acting, id, p.Name)
			}
			acting = id
			if by, used := sim.issuer[h]; fence < p.HighestFence || (used && by != id) {
				return fmt.Errorf("%v: %s uses fence %d on %s after %d by %s", sim.now, id, fence, p.Name, p.HighestFence, by)
			}
			for _, c := range sim.commands {
				if c.held.Endpoint == p.Name && c.owner != id && !p.ChecksFencing {
					return fmt.Errorf("%v: %s acts on %s during a command of %s", sim.now, id, p.Name, c.owner)
				}
			}
			sim.issuer[h], p.HighestFence = id, fence
			if !o.stopping[h] && sim.random.IntN(3) == 0 {
				sim.commands = append(sim.commands, command{h, id, sim.now + time.Duration(sim.random.Int64N(int64(maxCommand)))})
			}
		}
	}
	return nil
}

func (sim *simulation) fault(action, i int) {
	o := sim.owners[i%len(sim.owners)]
	switch action {
	case 0:
		o.cut = !o.cut
	case 1:
		sim.start(o)
	case 2:
		sim.elect()
	case 3:
		o.holder.Leave()
	case 4:
		sim.endpoints[i%len(sim.endpoints)].Leaving = true
		sim.table.SetEndpoint(sim.clock(1), sim.endpoints[i%len(sim.endpoints)])
	}
}

// schedule generates a random schedule, runs it and returns the first violation.
func schedule(opts ...assign.Option) *rapid.Generator[error] {
	return rapid.Custom(func(t *rapid.T) error {
		network := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "network")
		sim := newSimulation(rand.New(rand.NewChaCha8([32]byte(network))), 3, 4, opts...)
		sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		sim.delay = rapid.SampledFrom([]time.Duration{2, 60, 400}).Draw(t, "delay") * time.Millisecond
		if err := sim.advance(2 * time.Second); err != nil {
			return err
		}
		for range rapid.IntRange(3, 10).Draw(t, "steps") {
			sim.fault(rapid.IntRange(0, 6).Draw(t, "fault"), rapid.IntRange(0, 3).Draw(t, "target"))
			if err := sim.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * tick); err != nil {
				return err
			}
		}
		return nil
	})
}

// Guards against two owners of one endpoint, commands that overlap those of the next owner, decreasing
// fencing numbers, and the assignment of a leaving endpoint.
func TestOneOwner(t *testing.T) {
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
	for name, opt := range map[string]assign.Option{
		"await deadline": func(o *assign.Options) { o.AwaitDeadline = disabled },
		"await command":  func(o *assign.Options) { o.AwaitCommand = disabled },
		"learn":          func(o *assign.Options) { o.Learn = disabled },
		"raise fence":    func(o *assign.Options) { o.RaiseFence = disabled },
		"stop early":     func(o *assign.Options) { o.StopEarly = disabled },
		"skip leaving":   func(o *assign.Options) { o.SkipLeaving = disabled },
	} {
		t.Run(name, func(t *testing.T) {
			g := schedule(opt)
			for i := range 1000 {
				if err := g.Example(i); err != nil {
					t.Logf("schedule %d: %v", i, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against endpoints without an owner, imbalance, needless moves, and a planned handover that
// waits for a deadline.
func TestBalanceAndPlannedHandover(t *testing.T) {
	c := quicktest.New(t)
	sim := newSimulation(rand.New(rand.NewPCG(1, 1)), 3, 30)
	sim.renewInterval = 2
	held := func() (counts []int) {
		for _, o := range sim.owners {
			n, _ := o.holder.Len()
			counts = append(counts, n)
		}
		return counts
	}
	c.Assert(sim.advance(4*time.Second), quicktest.IsNil)
	c.Assert(held(), quicktest.DeepEquals, []int{10, 10, 10})
	sim.owners[0].holder.Leave()
	before := sim.changes
	c.Assert(sim.advance(2*time.Second), quicktest.IsNil)
	c.Assert(held(), quicktest.DeepEquals, []int{0, 15, 15})
	c.Assert(sim.changes-before, quicktest.Equals, 10)
	sim.start(sim.owners[0])
	before = sim.changes
	c.Assert(sim.advance(10*time.Second), quicktest.IsNil)
	c.Assert(held(), quicktest.DeepEquals, []int{10, 10, 10})
	c.Assert(sim.changes-before, quicktest.Equals, 10)
}
