package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// target is the time within which a change has to take effect everywhere (design, P12).
const target = 2 * time.Second

// fleet runs nodes over a network with a one-way delay, in virtual time.
type fleet struct {
	delay time.Duration
	mu    sync.Mutex
	muxes map[string]*peer.Mux
	nodes map[string]*feed.Node
	regs  map[string]*registry.Registry
	bytes atomic.Int64
	loads map[string]*traffic // by instance, sent and received
	fault func(from, to, method string) outcome
}

// outcome is how the simulated network treats one call.
type outcome int

const (
	delivered outcome = iota
	requestLost
	answerLost
	requestLate // delivered after the caller has timed out
	requestSlow
)

// slowRequestDelay is the delay of a slow request; it is shorter than the silence after which an instance renews.
const slowRequestDelay = 1200 * time.Millisecond

// traffic counts the messages of one instance and their bytes.
type traffic struct {
	bytes, calls float64
	methods      map[string]traffic // bytes without headers and calls of each method
}

// count adds a message to both of its ends; f.mu is held.
func (f *fleet) count(from, to, method string, bytes int, calls float64) {
	f.bytes.Add(int64(bytes))
	for _, name := range []string{from, to} {
		if f.loads[name] == nil {
			f.loads[name] = &traffic{methods: map[string]traffic{}}
		}
		f.loads[name].bytes += float64(bytes)
		f.loads[name].calls += calls
		part := f.loads[name].methods[method]
		f.loads[name].methods[method] = traffic{bytes: part.bytes + float64(bytes), calls: part.calls + calls}
	}
}

func (f *fleet) resetTraffic() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.loads)
}

// busiest returns the greatest traffic per second of each role, with headers for both messages of a call.
func (f *fleet) busiest(span time.Duration, headers float64) (voter, relay, other traffic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, l := range f.loads {
		total := traffic{(l.bytes + 2*headers*l.calls) / span.Seconds(), l.calls / span.Seconds(), maps.Clone(l.methods)}
		role := &other
		switch {
		case name == "voter":
			role = &voter
		case strings.HasSuffix(name, "-relay"):
			role = &relay
		}
		if total.bytes > role.bytes {
			*role = total
		}
	}
	return voter, relay, other
}

func (f *fleet) caller(from string) peer.Caller {
	return func(ctx context.Context, to, method string, params, result any) error {
		raw, _ := json.Marshal(params)
		time.Sleep(f.delay)
		f.mu.Lock()
		mux, cut, happens := f.muxes[to], f.muxes[from] == nil, delivered
		if f.fault != nil {
			happens = f.fault(from, to, method)
		}
		f.count(from, to, method, len(raw), 1)
		f.mu.Unlock()
		if mux == nil || cut {
			time.Sleep(f.delay)
			return errs.New("unreachable")
		}
		switch happens {
		case requestLost, requestLate:
			<-ctx.Done()
		case requestSlow:
			time.Sleep(slowRequestDelay)
		}
		if happens == requestLost {
			return ctx.Err()
		}
		answer, err := mux.Serve(ctx, from, method, raw)
		if happens == answerLost || happens == requestLate {
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(f.delay)
		if err != nil || result == nil {
			return err
		}
		raw, _ = json.Marshal(answer)
		f.mu.Lock()
		f.count(to, from, method, len(raw), 0)
		f.mu.Unlock()
		return json.Unmarshal(raw, result)
	}
}

func (f *fleet) add(name, dataCentre string, opts ...feed.Option) {
	r, mux := registry.New(), peer.NewMux()
	n := feed.New(append([]feed.Option{
		feed.WithName(name, dataCentre), feed.WithRegistry(r), feed.WithCaller(f.caller(name)),
		feed.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))),
	}, opts...)...)
	n.Register(mux)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muxes[name], f.nodes[name], f.regs[name] = mux, n, r
}

// newFleet has one voter and, in each other data centre, one relay and some instances.
func newFleet(delay time.Duration, instances int, dataCentres ...string) *fleet {
	f := &fleet{
		delay: delay, muxes: map[string]*peer.Mux{}, nodes: map[string]*feed.Node{}, regs: map[string]*registry.Registry{},
		loads: map[string]*traffic{},
	}
	f.add("voter", "brisbane-a", feed.WithAge(func() time.Duration { return 0 }))
	for _, dc := range dataCentres {
		f.add(dc+"-relay", dc, feed.WithSources(func() []string { return []string{"voter"} }))
		for i := range instances {
			f.add(fmt.Sprint(dc, "-", i), dc, feed.WithSources(func() []string {
				return []string{dc + "-relay", dc + "-0", "voter"}
			}))
		}
	}
	return f
}

func (f *fleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	for _, n := range f.nodes {
		group.Go(func() error { return n.Run(ctx) })
	}
	return func() {
		cancel()
		_ = group.Wait()
	}
}

func (f *fleet) change(i int) uint64 {
	result := f.regs["voter"].Apply(registry.Command{Changes: []registry.Object{
		{Kind: registry.KindModel, Name: fmt.Sprint("m", i), Model: &registry.Model{}},
	}})
	f.nodes["voter"].Changed()
	return result.Revision
}

// A change has to be in force within the target, and the report has to list an instance that was not reached.
func TestChangeIsInForceInTime(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 30 * time.Millisecond} {
		virtualtime.Test(t, func(t *testing.T) {
			f := newFleet(delay, 8, "suva-a", "labasa-a")
			f.change(0)
			defer f.run()()
			time.Sleep(5 * time.Second)
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), target)
			defer cancel()
			force := feed.Await(ctx, f.nodes["voter"], []string{"voter"}, f.change(1))
			t.Logf("one-way delay %v: in force everywhere after %v of virtual time", delay, time.Since(start))
			qt.Assert(t, force.Complete(), qt.IsTrue, qt.Commentf("%+v", force))
			qt.Assert(t, force.InForce, qt.DeepEquals, []string{"brisbane-a", "labasa-a", "suva-a"})
			for name, r := range f.regs {
				qt.Assert(t, r.Revision(), qt.Equals, uint64(2), qt.Commentf("instance %s", name))
			}

			f.mu.Lock()
			delete(f.muxes, "suva-a-3")
			f.mu.Unlock()
			ctx, cancel = context.WithTimeout(context.Background(), target)
			defer cancel()
			force = feed.Await(ctx, f.nodes["voter"], []string{"voter"}, f.change(2))
			qt.Assert(t, force.NotReached, qt.DeepEquals, []string{"suva-a-3"})
		})
	}
}

// A change has to be in force within 10 s at the target size of 1,100 nodes in 12 data centres (design 1.7).
func TestTargetSize(t *testing.T) {
	const dataCentres, instances, bound = 12, 90, 10 * time.Second
	virtualtime.Test(t, func(t *testing.T) {
		var names []string
		for i := range dataCentres {
			names = append(names, fmt.Sprint("dc", i))
		}
		f := newFleet(30*time.Millisecond, instances, names...)
		defer f.run()()
		time.Sleep(5 * time.Second)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		force := feed.Await(ctx, f.nodes["voter"], []string{"voter"}, f.change(1))
		t.Logf("%d instances: in force everywhere after %v of virtual time", len(f.nodes), time.Since(start))
		qt.Assert(t, force.Complete(), qt.IsTrue, qt.Commentf("%+v", force))
	})
}

// Instances that lose their relay have to receive changes from another source. Two instances without contact to a voter
// must not keep each other as sources.
func TestRelayIsLost(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(time.Millisecond, 4, "suva-a", "labasa-a")
		defer f.run()()
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		delete(f.muxes, "suva-a-relay")
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.change(1)
		time.Sleep(target)
		for i := range 4 {
			name := fmt.Sprint("suva-a-", i)
			qt.Assert(t, f.regs[name].Revision(), qt.Equals, uint64(1), qt.Commentf("instance %s", name))
			age := time.Since(f.nodes[name].FreshAt())
			qt.Assert(t, age < 5*time.Second, qt.IsTrue, qt.Commentf("instance %s: %v", name, age))
		}
	})
}

// 16,000 changes a day have to fit in the instance's budget of 12 KB per second (design 1.7).
func TestBytesPerChangeAndInstance(t *testing.T) {
	const changes, instances = 200, 20
	const budget = 12_000 * 86_400 / 16_000
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(time.Millisecond, instances, "suva-a", "labasa-a")
		defer f.run()()
		time.Sleep(5 * time.Second)
		idle := int(f.bytes.Load())
		time.Sleep(changes * 100 * time.Millisecond)
		idle = int(f.bytes.Load()) - idle
		before := int(f.bytes.Load())
		for i := range changes {
			f.change(i)
			time.Sleep(100 * time.Millisecond)
		}
		each := (int(f.bytes.Load()) - before - idle) / changes / len(f.nodes)
		idleRate := idle * 10 / changes / len(f.nodes)
		t.Logf("%d bytes for each change and instance, %d bytes per second and instance when idle", each, idleRate)
		qt.Assert(t, each < budget, qt.IsTrue)
		qt.Assert(t, idleRate < 12_000, qt.IsTrue)
	})
}

// Two instances must not subscribe to each other: they would receive changes only after their configuration is too old.
func TestInstancesDoNotFeedEachOther(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(time.Millisecond, 0)
		f.add("a", "suva-a", feed.WithSources(func() []string { return []string{"b", "voter"} }))
		f.add("b", "suva-a", feed.WithSources(func() []string { return []string{"a", "voter"} }))
		defer f.run()()
		time.Sleep(time.Second)
		for i := range 30 {
			revision := f.change(i)
			time.Sleep(target)
			got := []uint64{f.regs["a"].Revision(), f.regs["b"].Revision()}
			qt.Assert(t, got, qt.DeepEquals, []uint64{revision, revision}, qt.Commentf("change %d", i))
		}
	})
}

func ExampleNode_Report() {
	r := registry.New()
	n := feed.New(feed.WithName("a", "suva-a"), feed.WithRegistry(r))
	r.Apply(registry.Command{Changes: []registry.Object{
		{Kind: registry.KindModel, Name: "quill", Model: &registry.Model{}},
	}})
	fmt.Println(n.Report().Force(1).InForce)
	// Output: [suva-a]
}
