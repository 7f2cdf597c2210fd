package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
)

const (
	simCustomer = "banksia"
	simBurst    = 100.0
)

// simulation runs one or two data centres in virtual time. Every process has its own clock origin, drawn at each
// start, so code that compares times of two processes fails.
type simulation struct {
	random         *rand.Rand
	steps          int
	now            time.Time
	queue          []timed
	instances      []*simInstance
	centres        []*simCentre
	names          []string
	allocator      *share.Allocator
	allocOpts      []share.Option
	coordOpts      []CoordinatorOption
	lateLife       bool
	earlyLoan      bool
	shares         []registry.Share
	history        [][]registry.Share
	revision       uint64
	epoch          uint64
	admissions     int
	ticks          int
	rate           float64
	delays         []int   // milliseconds
	reliable       bool    // no message is lost
	duplicates     int     // of every message
	faults         int     // kind of fault; above 4, all kinds
	level          float64 // of the exact central bucket with final costs
	last           time.Time
	lending        bool // instances also reserve from each other
	requestsAtOnce int  // requests of each instance when all instances send at once
	lent           int
	lendUntil      time.Time // when the windows of all loans have passed
	answered       map[*LendRequest]bool
	err            error
}

type timed struct {
	at  time.Time
	run func()
}

type simInstance struct {
	name    string
	centre  *simCentre
	holder  *holder
	starts  uint64
	offset  time.Duration
	waiting []simWaiter
	open    []simReservation
}

type simWaiter struct {
	q     *waiter
	final float64
}

type simReservation struct {
	s     *spending
	debt  *debt // instead of s
	final float64
}

type simCentre struct {
	name        string
	coordinator *Coordinator
	offset      time.Duration
	cut         bool // disconnected from the leader
	recorded    []registry.Share
}

type mutation struct {
	name       string
	coordinate func(*CoordinatorOptions)
	allocate   []share.Option
	lateLife   bool
	earlyLoan  bool
	centres    int               // data centres, with two instances each; 0 for random numbers
	play       func(*simulation) // a schedule that needs the rule; nil for random schedules
}

func newSimulation(seed [32]byte, steps int, m mutation) *simulation {
	w := &simulation{
		random: rand.New(rand.NewChaCha8(seed)), steps: steps, now: time.Unix(1e9, 0), allocOpts: m.allocate, lateLife: m.lateLife, earlyLoan: m.earlyLoan, level: simBurst,
		coordOpts: []CoordinatorOption{WithBatchLife(batchLife, batchMargin)},
	}
	if m.coordinate != nil {
		w.coordOpts = append(w.coordOpts, m.coordinate)
	}
	w.last, w.answered, w.requestsAtOnce = w.now, map[*LendRequest]bool{}, 4
	w.rate = []float64{20, 100}[w.draw(0, 1)]
	w.delays = [][]int{{1, 2, 5}, {1, 5, 120, 400}, {400, 900}}[w.draw(0, 2)]
	w.faults = w.draw(0, 6)
	w.allocator = share.New(w.allocOpts...)
	centres := 1 + w.draw(0, 1)
	if m.centres > 0 {
		centres = m.centres
	}
	for d := range centres {
		c := &simCentre{name: "dc" + strconv.Itoa(d)}
		w.centres, w.names = append(w.centres, c), append(w.names, c.name)
		for range 1 + max(min(1, m.centres), w.draw(0, 1)) {
			i := &simInstance{name: "i" + strconv.Itoa(len(w.instances)), centre: c}
			w.instances = append(w.instances, i)
			w.startInstance(i)
		}
	}
	w.plan()
	for _, c := range w.centres {
		w.startCoordinator(c)
	}
	w.deliver(8 * time.Second) // fills the buckets
	return w
}

// draw returns a uniformly distributed number. The generators of rapid prefer small numbers, with which most schedules
// are idle.
func (w *simulation) draw(low, high int) int {
	return low + w.random.IntN(high-low+1)
}

func (w *simulation) startInstance(i *simInstance) {
	o := defaultOptions()
	i.starts++
	o.Incarnation, o.lateLife, o.earlyLoan = i.starts<<32, w.lateLife, w.earlyLoan
	i.offset = time.Duration(w.draw(-1e6, 1e6)) * time.Second
	i.holder, i.open, i.waiting = newHolder(o), nil, nil
}

// startCoordinator replaces the coordinator by one without state, whose configuration may be outdated.
func (w *simulation) startCoordinator(c *simCentre) {
	w.epoch++
	c.offset = time.Duration(w.draw(-1e6, 1e6)) * time.Second
	now := w.now.Add(c.offset)
	opts := slices.Concat(w.coordOpts, []CoordinatorOption{WithDataCentre(c.name), WithRecorded(c.recorded)})
	c.coordinator = NewCoordinator(now, w.epoch, opts...)
	c.coordinator.SetCustomer(now, simCustomer, registry.Customer{Rate: w.rate, Burst: simBurst})
	old := w.history[len(w.history)-1-w.draw(0, min(2, len(w.history)-1))]
	w.setShares(c, old)
}

func (w *simulation) setShares(c *simCentre, shares []registry.Share) {
	for _, s := range shares {
		if s.DataCentre == c.name {
			c.coordinator.SetShare(w.now.Add(c.offset), s)
		}
	}
}

// send delivers a message with delay, loss and duplication, and so also out of order.
func (w *simulation) send(run func()) {
	if !w.reliable && w.draw(0, 9) == 0 {
		return
	}
	for range 1 + w.duplicates + w.draw(0, 5)/5 {
		delay := time.Duration(w.delays[w.draw(0, len(w.delays)-1)]) * time.Millisecond
		w.queue = append(w.queue, timed{w.now.Add(delay), run})
	}
	slices.SortStableFunc(w.queue, func(a, b timed) int { return a.at.Compare(b.at) })
}

// advance runs for a time in which instances exchange messages every 100 ms and the leader plans every 500 ms.
func (w *simulation) advance(d time.Duration) {
	for ; d > 0 && w.err == nil; d -= 100 * time.Millisecond {
		w.deliver(min(d, 100*time.Millisecond))
		for _, i := range w.instances {
			w.exchange(i, true)
		}
		if w.ticks++; w.ticks%5 == 0 {
			w.plan()
		}
	}
}

func (w *simulation) deliver(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.run()
		w.collect()
	}
	w.now = end
}

func (w *simulation) exchange(i *simInstance, report bool) {
	c, h := i.centre, i.holder
	now := func() time.Time { return w.now.Add(i.offset) }
	if b := h.composeBorrow(now()); b != nil {
		w.send(func() {
			reply := c.coordinator.Borrow(w.now.Add(c.offset), i.name, *b)
			w.send(func() { h.applyBorrow(now(), b, reply) })
		})
	}
	if !report {
		return
	}
	w.settleDebts(i)
	if r := h.composeReturn(now(), false); r != nil {
		w.send(func() {
			reply := c.coordinator.Return(w.now.Add(c.offset), i.name, *r)
			w.send(func() { h.applyReturn(r, reply) })
		})
	}
}

// plan sends demand reports and confirmations to the leader, and applies a plan.
func (w *simulation) plan() {
	for _, c := range w.centres {
		if c.coordinator == nil || c.cut {
			continue
		}
		now := w.now.Add(c.offset)
		w.demand(c)
		confirmed := c.coordinator.Unconfirmed(now)
		if len(confirmed) > 0 {
			c.recorded = nil
			for _, x := range confirmed {
				c.recorded = append(c.recorded, x.Share)
			}
			w.send(func() {
				changes, freed := share.Confirm(w.shares, confirmed)
				w.apply(changes)
				w.allocator.Free(freed)
			})
		}
	}
	w.apply(w.allocator.Plan(w.now, w.input()))
	for _, c := range w.centres {
		if c.coordinator != nil && !c.cut {
			shares := w.shares
			w.send(func() { w.setShares(c, shares) })
		}
	}
}

// demand reports to the leader. The answer, with tokens of other data centres, is delayed and may arrive twice.
func (w *simulation) demand(c *simCentre) {
	coordinator := c.coordinator
	report := coordinator.Demand(w.now.Add(c.offset))
	known := w.allocator.Report(w.now, report)
	answer := w.allocator.Outlook(w.now, w.input(), report)
	answer.Full = !known
	w.send(func() { coordinator.SetOutlook(w.now.Add(c.offset), answer) })
}

func (w *simulation) input() share.Input {
	return share.Input{
		Revision: w.revision, DataCentres: w.names, Shares: w.shares,
		Customers: map[string]registry.Customer{simCustomer: {Rate: w.rate, Burst: simBurst}},
	}
}

func (w *simulation) apply(changes []registry.Object) {
	if len(changes) == 0 && len(w.history) > 0 {
		return
	}
	w.revision++
	w.shares = slices.Clone(w.shares)
	for _, o := range changes {
		i := slices.IndexFunc(w.shares, func(s registry.Share) bool { return share.Name(s) == o.Name })
		if i < 0 {
			w.shares = append(w.shares, *o.Share)
		} else {
			w.shares[i] = *o.Share
		}
	}
	w.history = append(w.history, w.shares)
}

func (w *simulation) reserve(i *simInstance) {
	n := float64(w.draw(1, 50))
	if w.lending {
		n = float64(w.draw(1, 6)) // small enough for the customer to have room
	}
	left := time.Duration(w.draw(0, 4000)) * time.Millisecond
	w.request(i, n, n*[]float64{0, 0.5, 1, 1}[w.draw(0, 3)], left)
}

func (w *simulation) request(i *simInstance, n, final float64, left time.Duration) {
	if w.lending && w.draw(0, 1) == 0 {
		w.borrowFrom(w.instances[w.draw(0, len(w.instances)-1)], i, n, final)
		return
	}
	now := w.now.Add(i.offset)
	s, q := i.holder.reserve(now, simCustomer, n, now.Add(left))
	if s != nil {
		w.admit(i, simReservation{s: s, final: final})
	} else {
		i.waiting = append(i.waiting, simWaiter{q, final})
	}
}

// borrowFrom reserves with tokens of another instance of the data centre.
func (w *simulation) borrowFrom(lender, i *simInstance, n, final float64) {
	sentAt, h := w.now.Add(i.offset), i.holder
	if lender == i || lender.centre != i.centre {
		return
	}
	req := h.composeLend(h.outbox(lender.name), simCustomer, n) // sent even where askLender would return nil
	w.send(func() {
		reply, _ := lender.holder.lend(w.now.Add(lender.offset), i.name, *req)
		w.lendUntil = w.now.Add(lendWindow + lendMargin)
		w.send(func() {
			if i.holder != h || w.answered[req] {
				return
			}
			w.answered[req] = true
			if d := h.applyLend(w.now.Add(i.offset), sentAt, lender.name, req, reply); d != nil {
				w.lent++
				w.admit(i, simReservation{debt: d, final: final})
			}
		})
	})
}

// settleDebts sends settlements to lenders.
func (w *simulation) settleDebts(i *simInstance) {
	for name, req := range i.holder.flushSettled(w.now.Add(i.offset), true) {
		k := slices.IndexFunc(w.instances, func(x *simInstance) bool { return x.name == name })
		w.send(func() { w.instances[k].holder.lend(w.now.Add(w.instances[k].offset), i.name, *req) })
	}
}

// collect removes requests whose wait has ended, and counts those that were admitted.
func (w *simulation) collect() {
	for _, i := range w.instances {
		i.waiting = slices.DeleteFunc(i.waiting, func(x simWaiter) bool {
			select {
			case o := <-x.q.done:
				if o.spending != nil {
					w.admit(i, simReservation{s: o.spending, final: x.final})
				}
				return true
			default:
			}
			overdue := w.now.Add(i.offset).After(x.q.deadline)
			return overdue && i.holder.cancel(w.now.Add(i.offset), simCustomer, x.q)
		})
	}
}

// admit charges the final cost to the exact central bucket at the time of admission.
func (w *simulation) admit(i *simInstance, r simReservation) {
	w.level = min(simBurst, w.level+w.rate*w.now.Sub(w.last).Seconds()) - r.final
	w.last = w.now
	w.admissions++
	if w.level < -1e-6 && w.err == nil {
		w.err = fmt.Errorf("%v tokens over the exact bucket", -w.level)
	}
	i.open = append(i.open, r)
}

func (w *simulation) settle(i *simInstance) {
	if len(i.open) == 0 {
		return
	}
	k := w.draw(0, len(i.open)-1)
	if r := i.open[k]; r.debt != nil {
		i.holder.settleDebt(w.now.Add(i.offset), r.debt, r.final)
	} else {
		i.holder.settle(w.now.Add(i.offset), r.s, r.final)
	}
	i.open = slices.Delete(i.open, k, k+1)
	w.collect()
}

func drawSimulation(t *rapid.T, lane int, m mutation) *simulation {
	seed := [32]byte(rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "seed"))
	seed[0] ^= byte(lane)
	w := newSimulation(seed, rapid.IntRange(20, 80).Draw(t, "steps"), m)
	if w.lending = lane%2 == 1; w.lending {
		w.requestsAtOnce, w.delays = 2, [][]int{{1, 2, 5}, {1, 5, 90}, {40, 120}}[w.draw(0, 2)] // loans that arrive after the window are not used
	}
	return w
}

// run runs one schedule and returns the first violation.
func (w *simulation) run() error {
	faults := []int{0, 1, 4}[w.draw(0, 2)]
	for range w.steps {
		i := w.instances[w.draw(0, len(w.instances)-1)]
		action := w.draw(0, 59)
		if action < faults {
			w.fault(i)
		}
		switch {
		case action < 12:
			w.settle(i)
		case action < 24:
			w.reserve(i)
		case action < 34: // all instances send requests at once
			for _, i := range w.instances {
				for range w.requestsAtOnce {
					w.reserve(i)
				}
			}
		case action < 38:
			w.advance(time.Duration(w.draw(500, 6000)) * time.Millisecond)
		default:
			w.advance(time.Duration(w.draw(0, 150)) * time.Millisecond)
		}
		w.collect()
		for _, i := range w.instances {
			w.exchange(i, false)
		}
		if w.err != nil {
			return w.err
		}
	}
	return nil
}

func (w *simulation) fault(i *simInstance) {
	kind := w.faults
	if kind > 4 {
		kind = w.draw(0, 4)
	}
	switch kind {
	case 0:
		w.startInstance(i)
	case 1:
		w.startCoordinator(i.centre)
	case 2:
		i.centre.cut = !i.centre.cut
	case 3:
		w.allocator = share.New(w.allocOpts...)
	case 4: // Clocks step. Monotonic clocks never do, but steps in these directions must be safe.
		// A lender waits by its clock until the window of its loans has passed (see loan.go), so its clock does not
		// step before that.
		if !w.now.Before(w.lendUntil) {
			i.offset += time.Duration(w.draw(0, 10)) * time.Second
		}
		i.centre.offset -= time.Duration(w.draw(0, 10)) * time.Second
	}
}
