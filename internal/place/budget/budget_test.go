package budget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const (
	seed      = "20261204"
	schedules = 1500
)

func TestMain(m *testing.M) { seeded.Main(m, seed, schedules) }

func ExampleBudget() {
	now := time.Unix(0, 0)
	b := New(now, Share{Transfers: 1, Rate: 4})
	now = now.Add(3 * time.Second) // permits of a predecessor have expired
	first := Request{Key: Key{"i1", 1, 1}, Work: 900, Deadline: now.Add(time.Minute)}
	second := Request{Key: Key{"i2", 1, 1}, Work: 100, Deadline: now.Add(time.Minute)}
	_, ok := b.Acquire(now, first)
	fmt.Println(ok)
	_, ok = b.Acquire(now, second)
	fmt.Println(ok)
	now = now.Add(LoadTime)
	b.Release(now, first.Key)
	_, ok = b.Acquire(now, second)
	fmt.Println(ok)
	// Output:
	// true
	// false
	// true
}

// simulation simulates coordinators and owners in virtual time. The clock of each coordinator has its own offset.
type simulation struct {
	random        *rand.Rand
	now           time.Time
	queue         []event
	centres       []*centre
	opts          []Option
	shares        map[string]Share
	running       map[Key]time.Time // loads in transit, until when their owners may run them
	moving        *move
	increaseEarly bool // mutation: increase a share without waiting for the decrease of another one
	err           error
}

// move is the reassignment of one transfer from one data centre to another.
type move struct{ from, to *centre }

type event struct {
	at  time.Time
	run func()
}

type centre struct {
	name        string
	budget      *Budget
	offset      time.Duration
	incarnation uint64
	nextID      uint64
	firstSentAt map[uint64]time.Time // when each load was first requested, by the owner's clock
}

func newSimulation(seed [32]byte, mutate func(*Options)) *simulation {
	sim := &simulation{random: rand.New(rand.NewChaCha8(seed)), now: time.Unix(1e9, 0), running: map[Key]time.Time{}}
	if mutate != nil {
		sim.opts = []Option{mutate}
	}
	weights := []Weight{}
	for i := range sim.draw(1, 3) {
		c := &centre{name: fmt.Sprint("dc", i), firstSentAt: map[uint64]time.Time{}}
		sim.centres = append(sim.centres, c)
		weights = append(weights, Weight{c.name, float64(sim.draw(0, 9))})
	}
	sim.shares = Split(StoreTransfers, 40, weights)
	for _, c := range sim.centres {
		sim.restart(c)
	}
	sim.advance(3 * time.Second)
	return sim
}

func (sim *simulation) draw(low, high int) int { return low + sim.random.IntN(high-low+1) }

func (sim *simulation) restart(c *centre) {
	c.offset = time.Duration(sim.draw(-1e6, 1e6)) * time.Second
	c.budget = New(sim.now.Add(c.offset), sim.shares[c.name], sim.opts...)
}

func (sim *simulation) send(run func()) {
	if sim.draw(0, 9) == 0 {
		return
	}
	for range 1 + sim.draw(0, 4)/4 {
		delay := []int{1, 2, 5, 300, 1500}[sim.draw(0, 4)]
		sim.queue = append(sim.queue, event{sim.now.Add(time.Duration(delay) * time.Millisecond), run})
	}
	slices.SortStableFunc(sim.queue, func(a, b event) int { return a.at.Compare(b.at) })
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// acquire sends an owner's request, either a new one or a resend, and starts the load when the permit arrives.
func (sim *simulation) acquire(c *centre) {
	id := c.nextID
	if id == 0 || sim.draw(0, 2) > 0 {
		c.nextID++
		id = c.nextID
		c.firstSentAt[id] = sim.now
	}
	sentAt, k := c.firstSentAt[id], Key{c.name, c.incarnation, id}
	r := Request{Key: k, Refill: sim.draw(0, 1) == 0, Work: float64(sim.draw(0, 9))}
	sim.send(func() {
		now := sim.now.Add(c.offset)
		r.Deadline = now.Add(5 * time.Second)
		p, ok := c.budget.Acquire(now, r)
		sim.send(func() {
			if first, wanted := c.firstSentAt[id]; !wanted || !first.Equal(sentAt) {
				return // an owner does not start a load that it has released
			}
			if until := sentAt.Add(p.Life); ok && k.Incarnation == c.incarnation && sim.now.Before(until) {
				sim.start(k, until)
			}
		})
	})
}

// start adds the load and checks that the loads in transit do not exceed the store's transfers.
func (sim *simulation) start(k Key, until time.Time) {
	sim.running[k] = until
	count := 0
	for _, u := range sim.running {
		if sim.now.Before(u) {
			count++
		}
	}
	if count > StoreTransfers {
		sim.err = fmt.Errorf("%d loads in transit", count)
	}
}

func (sim *simulation) release(c *centre) {
	id := uint64(sim.draw(0, int(c.nextID)))
	k := Key{c.name, c.incarnation, id}
	delete(sim.running, k)
	delete(c.firstSentAt, id)
	if id == c.nextID {
		c.nextID++
		c.firstSentAt[c.nextID] = sim.now
	}
	sim.send(func() { c.budget.Release(sim.now.Add(c.offset), k) })
}

// move takes a transfer from one data centre, and adds it to another once no load can be using it.
func (sim *simulation) move(from, to *centre) {
	if sim.moving == nil && from != to && sim.shares[from.name].Transfers > 1 {
		sim.moving = &move{from, to}
		sim.change(from, -1)
	}
	if m := sim.moving; m != nil && (sim.increaseEarly || m.from.budget.Within(sim.now.Add(m.from.offset))) {
		sim.change(m.to, 1)
		sim.moving = nil
	}
}

func (sim *simulation) change(c *centre, transfers int) {
	s := sim.shares[c.name]
	s.Transfers += transfers
	sim.shares[c.name] = s
	c.budget.SetShare(sim.now.Add(c.offset), s)
}

func (sim *simulation) run(steps int) error {
	faults := sim.draw(0, 2)
	for range steps {
		c := sim.centres[sim.draw(0, len(sim.centres)-1)]
		switch action := sim.draw(0, 39); {
		case action < faults:
			sim.restart(c)
		case action < 2*faults: // the owner restarts; its transfers continue
			c.incarnation++
			c.nextID = 0
			c.budget.Restarted(sim.now.Add(c.offset), c.name, c.incarnation)
		case action < 8:
			sim.move(c, sim.centres[sim.draw(0, len(sim.centres)-1)])
		case action < 26:
			sim.acquire(c)
		case action < 32:
			sim.release(c)
		default:
			sim.advance(time.Duration(sim.draw(0, 400)) * time.Millisecond)
		}
		if sim.err != nil {
			return sim.err
		}
	}
	return nil
}

func runSimulation(t *rapid.T, mutate func(*Options), increaseEarly bool) error {
	seed := [32]byte(rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "seed"))
	sim := newSimulation(seed, mutate)
	sim.increaseEarly = increaseEarly
	return sim.run(rapid.IntRange(30, 150).Draw(t, "steps"))
}

// Guards against more loads in transit than the weight store serves at full speed.
func TestNeverMoreThanTransfers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSimulation(t, nil, false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against checks that cannot fail: each mutation disables one rule, and the check above must detect it.
func TestMutationsAreFound(t *testing.T) {
	for name, mutate := range map[string]func(*Options){
		"grants before the predecessor's permits expired": func(o *Options) { o.grantAtStart = true },
		"permits of a restarted owner are free at once":   func(o *Options) { o.releaseOnRestart = true },
		"transfers move before they are free":             nil,
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			rapid.Check(t, func(t *rapid.T) { found = found || runSimulation(t, mutate, mutate == nil) != nil })
			quicktest.Assert(t, found, quicktest.IsTrue)
		})
	}
}

// runOverload keeps refills and heavy loads waiting for a minute. It returns how long a light normal load waited, and how
// many refills had permits in the first longestWait.
func runOverload(opts ...Option) (waited time.Duration, refills int) {
	now := time.Unix(0, 0)
	b := New(now, Share{Transfers: 2, Rate: 4}, opts...)
	now = now.Add(3 * time.Second)
	start, light := now, Key{"light", 1, 1}
	for id := uint64(1); now.Sub(start) < time.Minute; id++ {
		for _, owner := range []string{"refill", "heavy"} {
			b.Acquire(now, Request{Key: Key{owner, 1, id}, Refill: owner == "refill", Work: 1000, Deadline: now.Add(time.Hour)})
		}
		if waited == 0 {
			if _, ok := b.Acquire(now, Request{Key: light, Work: 1, Deadline: start.Add(time.Hour)}); ok {
				waited = max(now.Sub(start), 1)
			}
		}
		for k := range b.permits {
			if k.Owner == "refill" && now.Sub(start) < longestWait {
				refills++
			}
			b.Release(now, k)
		}
		now = now.Add(LoadTime)
	}
	if waited == 0 {
		waited = time.Minute
	}
	return waited, refills
}

// Guards against starvation of normal loads by refills, and of light loads by heavy ones.
func TestNoStarvation(t *testing.T) {
	c := quicktest.New(t)
	byWork := func(o *Options) { o.mostWorkFirst = true } // then only longestWait protects the light load
	for _, opts := range [][]Option{nil, {byWork}} {
		waited, refills := runOverload(opts...)
		c.Assert(waited <= longestWait+2*time.Second, quicktest.IsTrue, quicktest.Commentf("waited %v", waited))
		c.Assert(refills >= 5, quicktest.IsTrue, quicktest.Commentf("%d refills", refills))
	}
	waited, _ := runOverload(func(o *Options) { o.refillFirst = true })
	c.Assert(waited, quicktest.Equals, time.Minute) // the check detects the mutation
}

// Guards against granting refills in another order than by waiting work, and against granting a resend twice.
func TestOrderAndResends(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(0, 0)
	var order []uint64
	b := New(now, Share{Transfers: 1, Rate: 100})
	for id, work := range []float64{5, 80, 20} {
		b.Acquire(now, Request{Key: Key{"i", 1, uint64(id)}, Refill: true, Work: work, Deadline: now.Add(time.Minute)})
	}
	for now = b.NextWake(now); b.Waiting() > 0; now = now.Add(LoadTime) {
		for _, p := range b.Decide(now) {
			again, ok := b.Acquire(now, Request{Key: p.Key, Deadline: now.Add(time.Minute)})
			c.Assert(ok && again.Life == p.Life && b.InTransit() == 1, quicktest.IsTrue)
			order = append(order, p.ID)
			b.Release(now, p.Key)
			_, ok = b.Acquire(now, Request{Key: p.Key, Deadline: now.Add(time.Minute)})
			c.Assert(ok, quicktest.IsFalse)
		}
	}
	c.Assert(order, quicktest.DeepEquals, []uint64{1, 2, 0})
	b = New(now, Share{Transfers: 1, Rate: 100}, func(o *Options) { o.forgetReleased, o.grantAtStart = true, true })
	now = now.Add(time.Second)
	r := Request{Key: Key{"i", 1, 1}, Deadline: now.Add(time.Minute)}
	b.Acquire(now, r)
	b.Release(now, r.Key)
	_, ok := b.Acquire(now.Add(LoadTime), r)
	c.Assert(ok, quicktest.IsTrue) // the check detects the mutation
}

// Guards against an owner that gets all permits because of its heavy loads, and against granting yielding loads first.
func TestOwnersTakeTurns(t *testing.T) {
	c := quicktest.New(t)
	grantOrder := func(opts ...Option) (order []string) {
		now := time.Unix(0, 0)
		b := New(now, Share{Transfers: 1, Rate: 100}, opts...)
		for id := range uint64(3) {
			b.Acquire(now, Request{Key: Key{"heavy", 1, id}, Work: 1000, Deadline: now.Add(time.Minute)})
			b.Acquire(now, Request{Key: Key{"light", 1, id}, Work: 1, Yield: id == 2, Deadline: now.Add(time.Minute)})
		}
		for now = b.NextWake(now); b.Waiting() > 0; now = now.Add(LoadTime) {
			for _, p := range b.Decide(now) {
				order = append(order, p.Owner)
				b.Release(now, p.Key)
			}
		}
		return order
	}
	c.Assert(grantOrder(), quicktest.DeepEquals, []string{"heavy", "light", "heavy", "light", "heavy", "light"})
	byWork := grantOrder(func(o *Options) { o.mostWorkFirst = true })
	c.Assert(byWork[:2], quicktest.DeepEquals, []string{"heavy", "heavy"}) // the check detects the mutation
}

// Guards against shares whose sum exceeds the store's capacity, and against a data centre without a share.
func TestSplitIsDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var weights []Weight
		for i := range rapid.IntRange(1, StoreTransfers).Draw(t, "centres") {
			weights = append(weights, Weight{fmt.Sprint(i), rapid.Float64Range(0, 100).Draw(t, "weight")})
		}
		transfers, rate := 0, 0.0
		for _, s := range Split(StoreTransfers, StoreRate, weights) {
			if s.Transfers < 1 || s.Rate <= 0 {
				t.Fatalf("empty share %+v", s)
			}
			transfers += s.Transfers
			rate += s.Rate
		}
		if transfers != StoreTransfers || rate > StoreRate*(1+1e-9) {
			t.Fatalf("%d transfers, %v loads per second", transfers, rate)
		}
	})
	quicktest.Assert(t, Stretch(16), quicktest.Equals, 2*LoadTime)
}
