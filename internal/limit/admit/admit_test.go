package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
)

const (
	simSeed      = "20261204"
	simSchedules = 550 // in each subtest
	simLanes     = 4   // parallel subtests
)

func TestMain(m *testing.M) { seeded.Main(m, simSeed, simSchedules) }

// Guards against admissions that exceed rate × time + burst under any schedule of faults.
func TestNeverOverRate(t *testing.T) {
	for lane := range simLanes {
		t.Run(fmt.Sprint(lane), func(t *testing.T) {
			t.Parallel()
			admissions, lent := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				w := drawSimulation(t, lane, mutation{})
				if err := w.run(); err != nil {
					t.Fatal(err)
				}
				admissions += w.admissions
				lent += w.lent
			})
			t.Logf("%d admissions, %d with tokens of another instance, in %d schedules", admissions, lent, simSchedules)
			quicktest.Check(t, lent > 0, quicktest.Equals, lane%2 == 1)
			quicktest.Assert(t, admissions > 5*simSchedules, quicktest.IsTrue)
		})
	}
}

// Each mutation disables one safety rule; the check of TestNeverOverRate must detect it in random schedules.
func TestMutationsAreFound(t *testing.T) {
	mutations := []mutation{
		{name: "naive credit at settlement", coordinate: func(o *CoordinatorOptions) { o.naiveCredit = true }},
		{name: "full bucket after takeover", coordinate: func(o *CoordinatorOptions) { o.fullStart = true }},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			found, tried := false, 0
			rapid.Check(t, func(t *rapid.T) {
				if !found {
					tried++
					found = drawSimulation(t, 0, m).run() != nil
				}
			})
			t.Logf("found after %d schedules", tried)
			quicktest.Assert(t, found, quicktest.IsTrue)
		})
	}
}

// These rules matter only in schedules that random generation rarely produces, so each mutation has a fixed schedule. It must
// pass with the rule and fail without it.
func TestRareMutationsAreFound(t *testing.T) {
	mutations := []mutation{
		{
			name: "refill before the predecessor's batches expired", play: playTakeover,
			coordinate: func(o *CoordinatorOptions) { o.earlyRefill = true },
		},
		{
			name: "batches of customers with room forgotten by the next coordinator", play: playRoom,
			coordinate: func(o *CoordinatorOptions) { o.ignoreRoomBatches = true },
		},
		{
			name: "resent messages applied again", play: playResent,
			coordinate: func(o *CoordinatorOptions) { o.applyResent = true },
		},
		{
			name: "batches of lost instances given back", play: playLostInstance,
			coordinate: func(o *CoordinatorOptions) { o.freeExpired = true },
		},
		{name: "loan counted when it is lent", play: playLoan, earlyLoan: true},
		{name: "life of a batch from its arrival", play: playLateReply, lateLife: true},
		{
			name: "increase before confirmation", play: playUnconfirmed, centres: 2,
			allocate: []share.Option{share.WithEarlyIncrease()},
		},
		{
			name: "freed tokens for a later coordinator", play: playLaterCoordinator, centres: 2,
			allocate: []share.Option{share.WithAnyTerm()},
		},
	}
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			for _, mutated := range []bool{false, true} {
				tried := mutation{centres: max(1, m.centres)}
				if mutated {
					tried.coordinate, tried.lateLife, tried.earlyLoan, tried.allocate = m.coordinate, m.lateLife, m.earlyLoan, m.allocate
				}
				w := newSimulation([32]byte{}, 0, tried)
				w.reliable, w.delays, w.rate = true, []int{1}, 100
				w.shares, w.history = nil, nil
				w.plan()
				for _, c := range w.centres {
					w.startCoordinator(c)
				}
				w.deliver(8 * time.Second)
				w.setEpochs()
				m.play(w)
				quicktest.Assert(t, w.err != nil, quicktest.Equals, mutated, quicktest.Commentf("%v", w.err))
			}
		})
	}
}

// setEpochs sets the epoch of each instance to that of its coordinator.
func (w *simulation) setEpochs() {
	for _, i := range w.instances {
		i.holder.epoch = i.centre.coordinator.Epoch()
	}
}

// Guards against confirming a smaller share while more tokens are lent in batches of roomLife than the next coordinator
// will assume.
func TestSmallerShareWaitsForRoom(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := NewCoordinator(now, 1)
	s := registry.Share{Customer: "koro", Rate: 100, Burst: 1000, Epoch: 1, Confirmed: true}
	c.SetShare(now, s)
	now = now.Add(time.Minute)
	header := Header{Epoch: 1, Incarnation: 1, Sequence: 1}
	b := c.Borrow(now, "i", BorrowRequest{Header: header, Items: []BorrowItem{{Customer: "koro", Room: 100}}}).Items[0].Batch
	quicktest.Assert(t, b.Room && b.Tokens == 100, quicktest.IsTrue)
	s.Burst, s.Epoch, s.Confirmed = 200, 2, false
	c.SetShare(now, s)
	quicktest.Check(t, c.Unconfirmed(now), quicktest.HasLen, 0)
	c.Return(now, "i", ReturnRequest{Header: header, Items: []ReturnItem{{Customer: "koro", Batches: []BatchReport{{ID: b.ID}}}}})
	quicktest.Check(t, c.Unconfirmed(now), quicktest.HasLen, 1)
}

// reportAlways adds a report to every BorrowRequest, so that the buckets fill sooner.
func (w *simulation) reportAlways() {
	for _, i := range w.instances {
		i.holder.options.Report = 0
	}
}

// lowerRate lowers the rate, so that little refills during a schedule.
func (w *simulation) lowerRate() {
	w.rate = 20
	c := w.centres[0]
	c.coordinator.SetShare(w.now.Add(c.offset), registry.Share{
		Customer: simCustomer, DataCentre: "dc0", Rate: 20, Burst: 100, Epoch: 9, Confirmed: true,
	})
}

// requestAndExchange reserves tokens and exchanges messages until the answer has arrived.
func (w *simulation) requestAndExchange(i int, n, final float64) {
	w.request(w.instances[i], n, final, time.Second)
	for range 4 {
		w.exchange(w.instances[i], false)
		w.deliver(5 * time.Millisecond)
	}
}

// playTakeover delivers a batch of the old coordinator after the new one has started to lend.
func playTakeover(w *simulation) {
	w.delays = []int{450}
	w.request(w.instances[0], 99, 99, time.Second)
	w.exchange(w.instances[0], false)
	w.deliver(455 * time.Millisecond)
	w.startCoordinator(w.centres[0])
	w.delays = []int{1}
	w.deliver(425 * time.Millisecond)
	w.requestAndExchange(1, 40, 40)
	w.deliver(20 * time.Millisecond)
}

// playRoom makes an instance hold a batch of a customer with room while a new coordinator starts, and spend it after
// the new bucket has filled and been spent.
func playRoom(w *simulation) {
	w.reportAlways()
	i, c := w.instances[0], w.centres[0]
	for range 30 { // small requests, for which the customer has room
		w.requestAndExchange(0, 1, 1)
	}
	w.startCoordinator(c)
	w.deliver(2200 * time.Millisecond)
	for range 50 {
		w.requestAndExchange(1, 5, 5)
	}
	for range int(i.holder.localBucket(w.now.Add(i.offset), simCustomer).available) {
		w.request(i, 1, 1, time.Second)
	}
}

// playLoan delivers a loan 80 ms after it was lent. In between, the lender reports, and the bucket refills and is spent.
func playLoan(w *simulation) {
	w.reportAlways()
	lender, i := w.instances[0], w.instances[1]
	for range 30 {
		w.requestAndExchange(0, 1, 1)
	}
	lender.holder.lastReturn = time.Time{} // a report is due
	w.advance(400 * time.Millisecond)
	w.borrowFrom(lender, i, 6, 6)
	w.delays = []int{80}
	w.deliver(2 * time.Millisecond)
	w.delays = []int{1}
	lender.holder.lastReturn = time.Time{}
	w.exchange(lender, true)
	w.deliver(66 * time.Millisecond)
	for range int(lender.holder.localBucket(w.now.Add(lender.offset), simCustomer).available) {
		w.request(lender, 1, 1, time.Second)
	}
	c := w.centres[0]
	w.request(i, math.Floor(c.coordinator.accounts[simCustomer].bucket.Level(w.now.Add(c.offset))), 0, time.Second)
	i.waiting[0].final = i.waiting[0].q.tokens
	for range 4 {
		w.exchange(i, false)
		w.deliver(2 * time.Millisecond)
	}
	w.deliver(20 * time.Millisecond)
}

// playResent delivers a credit twice.
func playResent(w *simulation) {
	w.lowerRate()
	i := w.instances[0]
	w.request(i, 50, 0, time.Second) // reported together with the next request
	w.requestAndExchange(0, 49, 49)
	w.exchange(i, true)
	w.deliver(5 * time.Millisecond)
	i.holder.settle(w.now.Add(i.offset), i.open[0].s, 0)
	w.duplicates = 1
	w.exchange(i, true)
	w.deliver(5 * time.Millisecond)
	w.duplicates = 0
	w.requestAndExchange(1, 95, 95)
}

// playLostInstance restarts an instance that spent a batch and did not report it.
func playLostInstance(w *simulation) {
	w.lowerRate()
	w.requestAndExchange(0, 99, 99)
	w.startInstance(w.instances[0])
	w.deliver(1100 * time.Millisecond)
	w.requestAndExchange(1, 95, 95)
}

// playLateReply delivers a batch 1.2 s after it was asked for, when the wait of its request has ended.
func playLateReply(w *simulation) {
	w.delays = []int{600}
	w.request(w.instances[0], 99, 99, time.Second)
	w.exchange(w.instances[0], false)
	w.deliver(1100 * time.Millisecond)
	w.collect()
	w.deliver(560 * time.Millisecond)
	w.centres[0].coordinator.Tick(w.now.Add(w.centres[0].offset))
	w.deliver(240 * time.Millisecond)
	w.delays = []int{1}
	w.requestAndExchange(1, 20, 20)
	w.request(w.instances[0], 99, 99, time.Second)
	w.requestAndExchange(1, 20, 20)
}

// playUnconfirmed moves shares away from a data centre that is cut off and keeps using its share.
func playUnconfirmed(w *simulation) {
	w.plan()
	w.deliver(5 * time.Millisecond)
	w.centres[1].cut = true
	w.requestAndExchange(0, 48, 48)
	for range 3 {
		w.request(w.instances[0], 45, 45, 4*time.Second)
	}
	w.advance(4 * time.Second)
	w.requestAndExchange(0, 90, 90)
	w.requestAndExchange(2, 48, 48)
}

// playLaterCoordinator replaces a coordinator after its share has grown and before the tokens for the increase arrive,
// while all its tokens are lent.
func playLaterCoordinator(w *simulation) {
	w.requestAndExchange(0, 48, 48)
	w.exchange(w.instances[0], true)
	w.request(w.instances[0], 45, 45, time.Second)
	w.exchange(w.instances[0], false)
	w.deliver(5 * time.Millisecond)
	for range 4 { // decrease, confirmation, increase, assignment of the freed tokens
		w.plan()
		w.deliver(5 * time.Millisecond)
	}
	w.deliver(3 * time.Second)
	w.collect() // the wait of the second request has ended, and the buckets are full
	w.delays = []int{450}
	w.request(w.instances[0], 74, 74, time.Second)
	w.exchange(w.instances[0], false)
	w.deliver(455 * time.Millisecond)
	w.startCoordinator(w.centres[0])
	w.delays = []int{1}
	w.requestAndExchange(1, 30, 30)
	w.plan()
	w.deliver(300 * time.Millisecond)
	w.exchange(w.instances[1], false)
	w.requestAndExchange(2, 10, 10)
	w.deliver(200 * time.Millisecond)
}
