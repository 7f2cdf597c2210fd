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
	random  *rand.Rand
	now     time.Time
	queue   []timed
	centres []*centre
	opts    []Option
	shares  map[string]Share
	running map[Key]time.Time // loads in transit, until when their owners may run them
	moving  *move
	early   bool // mutation: increase a share without waiting for the decrease of another one
	err     error
}

// move is the reassignment of one transfer from one data centre to another.
type move struct{ from, to *centre }

type timed struct {
	at  time.Time
	run func()
}

type centre struct {
	name        string
	budget      *Budget
	offset      time.Duration
	incarnation uint64
	nextID      uint64
	asked       map[uint64]time.Time // first sending, by the owner's clock
}

func newSimulation(seed [32]byte, mutate func(*Options)) *simulation {
	w := &simulation{random: rand.New(rand.NewChaCha8(seed)), now: time.Unix(1e9, 0), running: map[Key]time.Time{}}
	if mutate != nil {
		w.opts = []Option{mutate}
	}
	weights := []Weight{}
	for i := range w.draw(1, 3) {
		c := &centre{name: fmt.Sprint("dc", i), asked: map[uint64]time.Time{}}
		w.centres = append(w.centres, c)
		weights = append(weights, Weight{c.name, float64(w.draw(0, 9))})
	}
	w.shares = Split(StoreTransfers, 40, weights)
	for _, c := range w.centres {
		w.restart(c)
	}
	w.advance(3 * time.Second)
	return w
}

func (w *simulation) draw(low, high int) int { return low + w.random.IntN(high-low+1) }

func (w *simulation) restart(c *centre) {
	c.offset = time.Duration(w.draw(-1e6, 1e6)) * time.Second
	c.budget = New(w.now.Add(c.offset), w.shares[c.name], w.opts...)
}

func (w *simulation) send(run func()) {
	if w.draw(0, 9) == 0 {
		return
	}
	for range 1 + w.draw(0, 4)/4 {
		delay := []int{1, 2, 5, 300, 1500}[w.draw(0, 4)]
		w.queue = append(w.queue, timed{w.now.Add(time.Duration(delay) * time.Millisecond), run})
	}
	slices.SortStableFunc(w.queue, func(a, b timed) int { return a.at.Compare(b.at) })
}

func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.run()
	}
	w.now = end
}

// acquire sends an owner's request, either a new one or a resend, and starts the load when the permit arrives.
func (w *simulation) acquire(c *centre) {
	id := c.nextID
	if id == 0 || w.draw(0, 2) > 0 {
		c.nextID++
		id = c.nextID
		c.asked[id] = w.now
	}
	asked, k := c.asked[id], Key{c.name, c.incarnation, id}
	r := Request{Key: k, Refill: w.draw(0, 1) == 0, Work: float64(w.draw(0, 9))}
	w.send(func() {
		now := w.now.Add(c.offset)
		r.Deadline = now.Add(5 * time.Second)
		p, ok := c.budget.Acquire(now, r)
		w.send(func() {
			if first, wanted := c.asked[id]; !wanted || !first.Equal(asked) {
				return // an owner does not start a load that it has released
			}
			if until := asked.Add(p.Life); ok && k.Incarnation == c.incarnation && w.now.Before(until) {
				w.start(k, until)
			}
		})
	})
}

// start adds the load and checks that the loads in transit do not exceed the store's transfers.
func (w *simulation) start(k Key, until time.Time) {
	w.running[k] = until
	count := 0
	for _, u := range w.running {
		if w.now.Before(u) {
			count++
		}
	}
	if count > StoreTransfers {
		w.err = fmt.Errorf("%d loads in transit", count)
	}
}

func (w *simulation) release(c *centre) {
	id := uint64(w.draw(0, int(c.nextID)))
	k := Key{c.name, c.incarnation, id}
	delete(w.running, k)
	delete(c.asked, id)
	if id == c.nextID {
		c.nextID++
		c.asked[c.nextID] = w.now
	}
	w.send(func() { c.budget.Release(w.now.Add(c.offset), k) })
}

// move takes a transfer from one data centre, and adds it to another once no load can be using it.
func (w *simulation) move(from, to *centre) {
	if w.moving == nil && from != to && w.shares[from.name].Transfers > 1 {
		w.moving = &move{from, to}
		w.change(from, -1)
	}
	if m := w.moving; m != nil && (w.early || m.from.budget.Within(w.now.Add(m.from.offset))) {
		w.change(m.to, 1)
		w.moving = nil
	}
}

func (w *simulation) change(c *centre, transfers int) {
	s := w.shares[c.name]
	s.Transfers += transfers
	w.shares[c.name] = s
	c.budget.SetShare(w.now.Add(c.offset), s)
}

func (w *simulation) run(steps int) error {
	faults := w.draw(0, 2)
	for range steps {
		c := w.centres[w.draw(0, len(w.centres)-1)]
		switch action := w.draw(0, 39); {
		case action < faults:
			w.restart(c)
		case action < 2*faults: // the owner restarts; its transfers continue
			c.incarnation++
			c.nextID = 0
			c.budget.Restarted(w.now.Add(c.offset), c.name, c.incarnation)
		case action < 8:
			w.move(c, w.centres[w.draw(0, len(w.centres)-1)])
		case action < 26:
			w.acquire(c)
		case action < 32:
			w.release(c)
		default:
			w.advance(time.Duration(w.draw(0, 400)) * time.Millisecond)
		}
		if w.err != nil {
			return w.err
		}
	}
	return nil
}

func runSimulation(t *rapid.T, mutate func(*Options), early bool) error {
	seed := [32]byte(rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "seed"))
	w := newSimulation(seed, mutate)
	w.early = early
	return w.run(rapid.IntRange(30, 150).Draw(t, "steps"))
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
		"grants before the predecessor's permits expired": func(o *Options) { o.openAtOnce = true },
		"permits of a restarted owner are free at once":   func(o *Options) { o.forgetLost = true },
		"transfers move before they are free":             nil,
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			rapid.Check(t, func(t *rapid.T) { found = found || runSimulation(t, mutate, mutate == nil) != nil })
			quicktest.Assert(t, found, quicktest.IsTrue)
		})
	}
}

// flood keeps refills and heavy loads waiting for a minute and returns how long a light normal load waited and how many
// refills had permits in the first longestWait.
func flood(opts ...Option) (waited time.Duration, refills int) {
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
	byWork := func(o *Options) { o.byWork = true } // then only longestWait protects the light load
	for _, opts := range [][]Option{nil, {byWork}} {
		waited, refills := flood(opts...)
		c.Assert(waited <= longestWait+2*time.Second, quicktest.IsTrue, quicktest.Commentf("waited %v", waited))
		c.Assert(refills >= 5, quicktest.IsTrue, quicktest.Commentf("%d refills", refills))
	}
	waited, _ := flood(func(o *Options) { o.refillFirst = true })
	c.Assert(waited, quicktest.Equals, time.Minute) // the mutation is found
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
	b = New(now, Share{Transfers: 1, Rate: 100}, func(o *Options) { o.forgetDone, o.openAtOnce = true, true })
	now = now.Add(time.Second)
	r := Request{Key: Key{"i", 1, 1}, Deadline: now.Add(time.Minute)}
	b.Acquire(now, r)
	b.Release(now, r.Key)
	_, ok := b.Acquire(now.Add(LoadTime), r)
	c.Assert(ok, quicktest.IsTrue) // the mutation is found
}

// Guards against an owner that gets all permits because of its heavy loads, and against granting yielding loads first.
func TestOwnersTakeTurns(t *testing.T) {
	c := quicktest.New(t)
	play := func(opts ...Option) (order []string) {
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
	c.Assert(play(), quicktest.DeepEquals, []string{"heavy", "light", "heavy", "light", "heavy", "light"})
	byWork := play(func(o *Options) { o.byWork = true })
	c.Assert(byWork[:2], quicktest.DeepEquals, []string{"heavy", "heavy"}) // the mutation is found
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
