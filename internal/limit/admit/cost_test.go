package admit

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/measure"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

var customerCounts = []int{5, 1000, 10_000}

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

func ExampleAdmission() {
	limit := registry.Customer{Rate: 1000, Burst: 10_000}
	now := time.Now()
	coordinator := NewCoordinator(now.Add(-20*time.Second), 1) // its buckets are full now
	coordinator.SetCustomer(now.Add(-20*time.Second), "koro", limit)
	coordinator.SetShare(now.Add(-20*time.Second), registry.Share{Customer: "koro", Rate: 1000, Burst: 10_000, Epoch: 1})
	mux := peer.NewMux()
	server := NewServer(coordinator)
	HandleCoordinator(mux, func() (*Server, bool) { return server, true })

	admission := New(
		WithLimit(func(customer string) (registry.Customer, bool) { return limit, customer == "koro" }),
		WithCoordinator(func() (string, bool) { return "c", true }),
		WithCall(peer.New(peer.WithName("c"), peer.WithMux(mux)).Call),
	)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return admission.Run(ctx) })
	reservation, err := admission.Reserve(ctx, "koro", 500)
	fmt.Println(err)
	reservation.Settle(120)
	_, err = admission.Reserve(ctx, "koro", 20_000)
	fmt.Println(err)
	cancel()
	fmt.Println(group.Wait())
	// Output:
	// <nil>
	// OverRate (NotRun): the request needs 20000 tokens, the burst is 10000
	// <nil>
}

func BenchmarkReserve(b *testing.B) {
	for _, count := range customerCounts {
		b.Run(fmt.Sprint("customers=", count), func(b *testing.B) {
			a := New(WithLimit(func(string) (registry.Customer, bool) {
				return registry.Customer{Rate: 1e9, Burst: 1e9}, true
			}))
			names := make([]string, count)
			for i := range names {
				names[i] = customerName(i)
				a.holder.localBucket(time.Now(), names[i]).add(&heldBatch{id: 1, remaining: 1e15, deadline: time.Now().Add(time.Hour)})
			}
			b.ReportAllocs()
			ctx := context.Background()
			for i := 0; b.Loop(); i++ {
				r, err := a.Reserve(ctx, names[i%count], 500)
				if err != nil {
					b.Fatal(err)
				}
				r.Settle(300)
			}
		})
	}
}

// Guards against a request path that allocates more than its reservation and an occasional report.
func TestAllocationsPerReserve(t *testing.T) {
	a := New(WithLimit(func(string) (registry.Customer, bool) { return registry.Customer{Rate: 1e9, Burst: 1e9}, true }))
	a.holder.localBucket(time.Now(), "koro").add(&heldBatch{id: 1, remaining: 1e15, deadline: time.Now().Add(time.Hour)})
	allocations := testing.AllocsPerRun(1000, func() {
		r, _ := a.Reserve(context.Background(), "koro", 500)
		r.Settle(300)
	})
	t.Logf("%.1f allocations for a Reserve with its Settle", allocations)
	quicktest.Assert(t, allocations <= 2, quicktest.IsTrue)
}

// link connects one instance and its coordinator in virtual time, and counts the bytes of their messages.
type link struct {
	now         time.Time
	coordinator *Coordinator
	holder      *holder
	bytes       int
	calls       int
}

func newLink(customers int) *link {
	l := &link{now: time.Unix(1e9, 0), holder: newHolder(defaultOptions())}
	l.coordinator = NewCoordinator(l.now, 1)
	for i := range customers {
		l.coordinator.SetCustomer(l.now, customerName(i), registry.Customer{Rate: 1e6, Burst: 1e7})
		l.coordinator.SetShare(l.now, registry.Share{Customer: customerName(i), Rate: 1e6, Burst: 1e7, Epoch: 1})
	}
	l.now = l.now.Add(time.Minute)
	return l
}

func (l *link) count(messages ...any) {
	l.calls++
	for _, m := range messages {
		raw, _ := json.Marshal(m)
		l.bytes += len(raw)
	}
}

func (l *link) borrow() {
	if req := l.holder.composeBorrow(l.now); req != nil {
		reply := l.coordinator.Borrow(l.now, "i", *req)
		l.count(req, reply)
		l.holder.applyBorrow(l.now, req, reply)
	}
}

func (l *link) report() {
	if req := l.holder.composeReturn(l.now, false); req != nil {
		reply := l.coordinator.Return(l.now, "i", *req)
		l.count(req, reply)
		l.holder.applyReturn(req, reply)
	}
}

// run sends requests of random customers for the given time and settles each after half a second.
func (l *link) run(customers, perSecond int, length time.Duration) {
	random := rand.New(rand.NewPCG(1, 1))
	type running struct {
		s  *spending
		at time.Time
	}
	var open []running
	const tick = 10 * time.Millisecond
	for end := l.now.Add(length); l.now.Before(end); l.now = l.now.Add(tick) {
		for range perSecond / 100 {
			s, q := l.holder.reserve(l.now, customerName(random.IntN(customers)), 500, l.now.Add(time.Second))
			l.borrow()
			l.borrow()
			if q != nil {
				s = (<-q.done).spending
			}
			open = append(open, running{s, l.now.Add(500 * time.Millisecond)})
		}
		for len(open) > 0 && !l.now.Before(open[0].at) {
			l.holder.settle(l.now, open[0].s, 300)
			open = open[1:]
		}
		if l.now.UnixMilli()%reportEvery.Milliseconds() == 0 {
			l.report()
		}
	}
}

// Guards against control traffic and memory of limits that exceed the design's bounds for all control of a node: 12 KB
// per second and 256 MB, of which limits may use a quarter. Uniformly chosen customers are the worst case, because
// hardly any request finds tokens at its instance.
func TestControlCostPerInstance(t *testing.T) {
	const perSecond, length = 100, 20 * time.Second
	const targetPerSecond = 35_000.0 / 1_100 // requests per second and node
	for _, customers := range customerCounts {
		before := heap()
		l := newLink(customers)
		l.run(customers, perSecond, length)
		perCustomer := float64(heap()-before) / float64(customers)
		report, _ := json.Marshal(l.coordinator.Demand(l.now))
		bytes := float64(l.bytes) / length.Seconds()
		t.Logf("%d customers, %d requests per second: %.0f control bytes per second, %.1f for a request; %.0f bytes of "+
			"memory per customer with coordinator; demand report %d bytes", customers, perSecond, bytes, bytes/perSecond,
			perCustomer, len(report))
		quicktest.Check(t, bytes/perSecond*targetPerSecond < 12*1024, quicktest.IsTrue)
		quicktest.Check(t, perCustomer*float64(customers) < 64<<20, quicktest.IsTrue)
		runtime.KeepAlive(l)
	}
}

// BenchmarkControl measures the processor time and the calls of a request for docs/CAPACITY.md: of the instance and the
// coordinator together, with message encoding and without network connections.
func BenchmarkControl(b *testing.B) {
	const perSecond, length = 100, 20 * time.Second
	for _, customers := range customerCounts {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			var used time.Duration
			calls := 0
			for range b.N {
				l := newLink(customers)
				begin := measure.ProcessorTime(b)
				l.run(customers, perSecond, length)
				used += measure.ProcessorTime(b) - begin
				calls += l.calls
			}
			requests := float64(b.N) * perSecond * length.Seconds()
			b.ReportMetric(float64(used.Microseconds())/requests, "cpu-µs/request")
			b.ReportMetric(float64(calls)/requests, "calls/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
