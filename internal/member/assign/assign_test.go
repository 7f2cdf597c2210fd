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
	w := &simulation{random: random, delay: 1, renewInterval: 5, issuer: map[assign.Held]string{}}
	w.opts = append([]assign.Option{assign.WithLength(time.Second), assign.WithMargin(20 * time.Millisecond), assign.WithDrift(0.01),
		assign.WithMaxCommand(maxCommand), assign.WithSuspect(func(_ time.Time, name string) bool {
			i := slices.IndexFunc(w.owners, func(o *owner) bool { return o.name == name })
			return w.owners[i].cut
		})}, opts...)
	for i := range owners {
		w.owners = append(w.owners, &owner{name: fmt.Sprint("i", i), clockRate: 0.99 + 0.02*random.Float64()})
		w.start(w.owners[i])
	}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, assign.Endpoint{Name: fmt.Sprint("e", i), ChecksFencing: i%2 == 0})
	}
	w.elect()
	return w
}

func (w *simulation) clock(rate float64) time.Time {
	return epoch.Add(time.Duration(float64(w.now) * rate))
}

func (w *simulation) start(o *owner) {
	o.incarnation++
	o.stopping = map[assign.Held]bool{}
	o.holder = assign.NewHolder(o.incarnation, w.opts...)
}

// elect replaces the coordinator. The new one gets fencing numbers above those of its predecessor, as
// the keepers record the reserved ones.
func (w *simulation) elect() {
	var floor uint64
	if w.table != nil {
		floor = w.table.Fence()
	}
	w.table = assign.New(w.clock(1), w.opts...)
	w.table.SetFences(floor, floor+1000)
}

func (w *simulation) send(o *owner, f func()) {
	for range 1 + w.random.IntN(10)/9 {
		if w.random.Float64() < w.loss {
			continue
		}
		d := time.Duration(w.random.Int64N(int64(w.delay)))
		if w.random.IntN(30) == 0 {
			d *= 20
		}
		w.queue = append(w.queue, message{w.now + d, func() {
			if !o.cut {
				f()
			}
		}})
	}
}

func (w *simulation) renew(o *owner) {
	holder, r := o.holder, o.holder.Renewal(w.clock(o.clockRate))
	w.send(o, func() {
		reply, err := w.table.Renew(w.clock(1), o.name, r)
		if err != nil {
			return
		}
		w.send(o, func() {
			for _, e := range holder.Reply(w.clock(o.clockRate), r.Sequence, reply) {
				w.handleEvent(o, holder, e)
			}
		})
	})
}

func (w *simulation) handleEvent(o *owner, holder *assign.Holder, e assign.Event) {
	if holder == o.holder && (e.Kind == assign.Drain || e.Kind == assign.Lost) {
		o.stopping[assign.Held{Endpoint: e.Endpoint, Fence: e.Fence}] = true
	}
}

func (w *simulation) inFlight(h assign.Held, owner string) bool {
	return slices.ContainsFunc(w.commands, func(c command) bool { return c.held == h && c.owner == owner })
}

func (w *simulation) advance(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		w.now += tick
		slices.SortStableFunc(w.queue, func(a, b message) int { return cmp.Compare(a.at, b.at) })
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next.deliver()
		}
		w.commands = slices.DeleteFunc(w.commands, func(c command) bool { return c.until <= w.now })
		for _, p := range w.endpoints {
			if w.random.IntN(8) == 0 {
				w.table.SetEndpoint(w.clock(1), p)
			}
		}
		for _, c := range w.table.Decide(w.clock(1)) {
			w.changes++
			i := slices.IndexFunc(w.endpoints, func(p assign.Endpoint) bool { return p.Name == c.Endpoint })
			if w.endpoints[i].Leaving {
				return fmt.Errorf("%v: leaving endpoint assigned: %+v", w.now, c)
			}
		}
		for _, o := range w.owners {
			w.updateOwner(o)
		}
		if err := w.issueCommands(); err != nil {
			return err
		}
	}
	return nil
}

// updateOwner renews and expires the endpoints that an owner holds and reports those that it has stopped
// using.
func (w *simulation) updateOwner(o *owner) {
	for _, e := range o.holder.Expire(w.clock(o.clockRate)) {
		w.handleEvent(o, o.holder, e)
	}
	for h := range o.stopping {
		if !w.inFlight(h, fmt.Sprint(o.name, o.incarnation)) {
			o.holder.Stopped(w.clock(o.clockRate), h.Endpoint, h.Fence)
			delete(o.stopping, h)
		}
	}
	if w.random.IntN(w.renewInterval) == 0 {
		w.renew(o)
	}
}

// issueCommands issues commands and returns an error if two owners act on an endpoint at once or one acts
// with an old fencing number.
func (w *simulation) issueCommands() error {
	for i := range w.endpoints {
		p := &w.endpoints[i]
		acting := ""
		for _, o := range w.owners {
			fence, ok := o.holder.MayAct(w.clock(o.clockRate), p.Name)
			if !ok {
				continue
			}
			id, h := fmt.Sprint(o.name, o.incarnation), assign.Held{Endpoint: p.Name, Fence: fence}
			if acting != "" {
				return fmt.Errorf("%v: %s and %s act on %s", w.now, acting, id, p.Name)
			}
			acting = id
			if by, used := w.issuer[h]; fence < p.HighestFence || (used && by != id) {
				return fmt.Errorf("%v: %s uses fence %d on %s after %d by %s", w.now, id, fence, p.Name, p.HighestFence, by)
			}
			for _, c := range w.commands {
				if c.held.Endpoint == p.Name && c.owner != id && !p.ChecksFencing {
					return fmt.Errorf("%v: %s acts on %s during a command of %s", w.now, id, p.Name, c.owner)
				}
			}
			w.issuer[h], p.HighestFence = id, fence
			if !o.stopping[h] && w.random.IntN(3) == 0 {
				w.commands = append(w.commands, command{h, id, w.now + time.Duration(w.random.Int64N(int64(maxCommand)))})
			}
		}
	}
	return nil
}

func (w *simulation) fault(action, i int) {
	o := w.owners[i%len(w.owners)]
	switch action {
	case 0:
		o.cut = !o.cut
	case 1:
		w.start(o)
	case 2:
		w.elect()
	case 3:
		o.holder.Leave()
	case 4:
		w.endpoints[i%len(w.endpoints)].Leaving = true
		w.table.SetEndpoint(w.clock(1), w.endpoints[i%len(w.endpoints)])
	}
}

// schedule generates a random schedule, runs it and returns the first violation.
func schedule(opts ...assign.Option) *rapid.Generator[error] {
	return rapid.Custom(func(t *rapid.T) error {
		network := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "network")
		w := newSimulation(rand.New(rand.NewChaCha8([32]byte(network))), 3, 4, opts...)
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		w.delay = rapid.SampledFrom([]time.Duration{2, 60, 400}).Draw(t, "delay") * time.Millisecond
		if err := w.advance(2 * time.Second); err != nil {
			return err
		}
		for range rapid.IntRange(3, 10).Draw(t, "steps") {
			w.fault(rapid.IntRange(0, 6).Draw(t, "fault"), rapid.IntRange(0, 3).Draw(t, "target"))
			if err := w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "wait")) * tick); err != nil {
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
	off := func() bool { return false }
	for name, opt := range map[string]assign.Option{
		"await deadline": func(o *assign.Options) { o.AwaitDeadline = off },
		"await command":  func(o *assign.Options) { o.AwaitCommand = off },
		"learn":          func(o *assign.Options) { o.Learn = off },
		"raise fence":    func(o *assign.Options) { o.RaiseFence = off },
		"stop early":     func(o *assign.Options) { o.StopEarly = off },
		"skip leaving":   func(o *assign.Options) { o.SkipLeaving = off },
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
	w := newSimulation(rand.New(rand.NewPCG(1, 1)), 3, 30)
	w.renewInterval = 2
	held := func() (counts []int) {
		for _, o := range w.owners {
			n, _ := o.holder.Len()
			counts = append(counts, n)
		}
		return counts
	}
	c.Assert(w.advance(4*time.Second), quicktest.IsNil)
	c.Assert(held(), quicktest.DeepEquals, []int{10, 10, 10})
	w.owners[0].holder.Leave()
	before := w.changes
	c.Assert(w.advance(2*time.Second), quicktest.IsNil)
	c.Assert(held(), quicktest.DeepEquals, []int{0, 15, 15})
	c.Assert(w.changes-before, quicktest.Equals, 10)
	w.start(w.owners[0])
	before = w.changes
	c.Assert(w.advance(10*time.Second), quicktest.IsNil)
	c.Assert(held(), quicktest.DeepEquals, []int{10, 10, 10})
	c.Assert(w.changes-before, quicktest.Equals, 10)
}
