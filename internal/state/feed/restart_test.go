package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/measure"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// addAdapters adds n adapters and, if asked, a version of each.
func addAdapters(tb testing.TB, r *registry.Registry, n int, versions bool) *registry.Registry {
	changes := []registry.Object{
		{Kind: registry.KindModel, Name: "quill", Model: &registry.Model{}},
		{Kind: registry.KindCustomer, Name: "banksia", Customer: &registry.Customer{Rate: 1, Burst: 1}},
	}
	for i := range n {
		name := fmt.Sprint("a", i)
		adapter := registry.Adapter{Customer: "banksia", Model: "quill"}
		if versions {
			adapter.DefaultVersion = "v1"
			changes = append(changes, registry.Object{Kind: registry.KindVersion, Name: name + "@v1", Version: &registry.Version{
				Adapter: name, Source: "store/" + name + "/v1", State: registry.VersionActive,
			}})
		}
		changes = append(changes, registry.Object{Kind: registry.KindAdapter, Name: name, Adapter: &adapter})
		if i%1000 == 999 || i == n-1 {
			qt.Assert(tb, r.Apply(registry.Command{Changes: changes}).Err(), qt.IsNil)
			changes = nil
		}
	}
	return r
}

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	return heapBytes()
}

// peakHeap returns the largest heap while f runs, including garbage not yet collected, and the processor time of f.
func peakHeap(tb testing.TB, f func()) (peak uint64, cpu time.Duration) {
	begin := measure.ProcessorTime(tb)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			peak = max(peak, heapBytes())
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	f()
	cancel()
	_ = group.Wait()
	return max(peak, heapBytes()), measure.ProcessorTime(tb) - begin
}

// newRestartedNode returns an empty registry and a node that subscribes to the voter.
func newRestartedNode(call peer.Caller) (*registry.Registry, *feed.Node) {
	r := registry.New()
	return r, feed.New(feed.WithName("a", "suva-a"), feed.WithRegistry(r), feed.WithCaller(call),
		feed.WithLogger(slog.New(slog.DiscardHandler)), feed.WithSources(func() []string { return []string{"voter"} }))
}

// recordRestart measures a source and stores its answers to a restarting instance in files with consecutive numbers.
func recordRestart(b *testing.B, folder string, adapters int) (revision uint64) {
	source, mux := addAdapters(b, registry.New(), adapters, true), peer.NewMux()
	b.ReportMetric(float64(liveHeapBytes()), "source-live-B")
	n := feed.New(feed.WithRegistry(source), feed.WithAge(func() time.Duration { return 0 }))
	n.Register(mux)
	peak, cpu := peakHeap(b, func() {
		for n.Counters().Snapshots+n.Counters().Pushes == 0 {
			_, err := mux.Serve(b.Context(), "a", "Feed.Subscribe", []byte(`{}`))
			qt.Assert(b, err, qt.IsNil)
			time.Sleep(10 * time.Millisecond)
		}
	})
	b.ReportMetric(float64(peak), "source-peak-B")
	b.ReportMetric(float64(cpu.Milliseconds()), "source-cpu-ms")
	calls := 0
	copied, client := newRestartedNode(func(ctx context.Context, _, method string, params, result any) error {
		raw, _ := json.Marshal(params)
		answer, err := mux.Serve(ctx, "a", method, raw)
		if err != nil || result == nil {
			return err
		}
		raw, _ = json.Marshal(answer)
		calls++
		return errs.Combine(os.WriteFile(filepath.Join(folder, fmt.Sprint(calls)), raw, 0o600), json.Unmarshal(raw, result))
	})
	client.Poll(b.Context())
	qt.Assert(b, copied.Revision(), qt.Equals, source.Revision())
	return source.Revision()
}

// BenchmarkRestartMemory measures the heap of a source that encodes its configuration, and then the heap of a restarting
// instance that reads the answers from files, without the source in the process. The figures include no other part of an
// instance.
func BenchmarkRestartMemory(b *testing.B) {
	for _, n := range []int{3_000, 30_000, 140_000} {
		b.Run(fmt.Sprint("adapters=", n), func(b *testing.B) {
			for range b.N {
				folder, calls := b.TempDir(), 0
				revision := recordRestart(b, folder, n)
				before := liveHeapBytes()
				restarted, client := newRestartedNode(func(_ context.Context, _, _ string, _, result any) error {
					if result == nil {
						return nil
					}
					calls++
					raw, err := os.ReadFile(filepath.Join(folder, fmt.Sprint(calls)))
					return errs.Combine(err, json.Unmarshal(raw, result))
				})
				peak, cpu := peakHeap(b, func() { client.Poll(b.Context()) })
				qt.Assert(b, restarted.Revision(), qt.Equals, revision)
				b.ReportMetric(float64(peak), "instance-peak-B")
				b.ReportMetric(float64(cpu.Milliseconds()), "instance-cpu-ms")
				b.ReportMetric(float64(liveHeapBytes()-before), "instance-live-B")
				runtime.KeepAlive(restarted)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// startInstance adds an instance to suva-a and runs it; stop disconnects and ends it.
func (f *fleet) startInstance(name string) (stop func()) {
	f.add(name, "suva-a", feed.WithSources(func() []string { return []string{"suva-a-relay", "voter"} }))
	n := f.nodes[name]
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return n.Run(ctx) })
	return func() {
		f.mu.Lock()
		delete(f.muxes, name)
		f.mu.Unlock()
		cancel()
		_ = group.Wait()
	}
}

// A restarted instance has to receive a complete and consistent large snapshot even if a message is lost, the source or
// peer stops, or the configuration changes during the transfer.
func TestLargeSnapshotWithFaults(t *testing.T) {
	type fault struct {
		method  string
		failure outcome
		action  func(f *fleet, to string)
	}
	faults := map[string]fault{
		"change":      {"Feed.Fetch", delivered, func(f *fleet, _ string) { f.change(int(f.regs["voter"].Revision())) }},
		"source dies": {"Feed.Fetch", delivered, func(f *fleet, _ string) { delete(f.muxes, "suva-a-relay") }},
		"peer dies":   {"Feed.Fetch", delivered, func(f *fleet, to string) { delete(f.muxes, to) }},
	}
	for _, method := range []string{"Feed.Subscribe", "Feed.Snapshot", "Feed.Fetch", "Feed.Beat"} {
		for _, failure := range []outcome{requestLost, answerLost} {
			faults[fmt.Sprint(method, " ", failure)] = fault{method, failure, func(*fleet, string) {}}
		}
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(oneWay, 3, "suva-a")
				addAdapters(t, f.regs["voter"], 5_000, true)
				defer f.run()()
				time.Sleep(20 * time.Second)
				injected := false
				f.setFault(func(from, to, method string) outcome {
					if injected || method != fault.method || (from != "new" && to != "new") {
						return delivered
					}
					if method == "Feed.Fetch" && fault.failure != delivered && f.loads["new"].methods[method].calls < 1 {
						return delivered // Only the last part is lost.
					}
					injected = true
					fault.action(f, to)
					return fault.failure
				})
				defer f.startInstance("new")()
				time.Sleep(20 * time.Second)
				f.setFault(nil)
				time.Sleep(target)
				qt.Assert(t, injected, qt.IsTrue)
				// Of the two parts only the lost one is sent again.
				f.mu.Lock()
				parts := f.loads["new"].methods["Feed.Fetch"].calls
				f.mu.Unlock()
				qt.Check(t, fault.failure == delivered || parts <= 3, qt.IsTrue, qt.Commentf("%v parts", parts))
				qt.Assert(t, f.regs["new"].Revision(), qt.Equals, f.regs["voter"].Revision())
				for _, kind := range []registry.Kind{registry.KindModel, registry.KindAdapter, registry.KindVersion} {
					qt.Assert(t, f.regs["new"].List(kind), qt.DeepEquals, f.regs["voter"].List(kind))
				}
			})
		})
	}
}

// Peers have to serve most snapshots: 135 restarts a day with 33 MB each would cost a single relay 52 KB per second.
func TestSnapshotsComeFromPeers(t *testing.T) {
	const instances, restarts = 30, 20
	// With this share of 69 KB per second (135 * 33.3 MB * 4/3 a day), the rest of the feed fits in the budget of 12 KB.
	const share = 0.12
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(time.Millisecond, 0)
		// The fanout avoids redirections, which alone would spread the snapshots over ten instances.
		f.add("suva-a-relay", "suva-a", feed.WithFanout(2*instances), feed.WithSources(func() []string { return []string{"voter"} }))
		for i := range instances {
			f.add(fmt.Sprint("suva-a-", i), "suva-a", feed.WithSources(func() []string { return []string{"suva-a-relay"} }))
		}
		addAdapters(t, f.regs["voter"], 5_000, true)
		defer f.run()()
		time.Sleep(20 * time.Second)
		f.resetTraffic()
		for i := range restarts {
			name := fmt.Sprint("new-", i)
			stop := f.startInstance(name)
			time.Sleep(10 * time.Second)
			stop()
			qt.Assert(t, f.regs[name].Revision(), qt.Equals, f.regs["voter"].Revision())
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		var all, busiest float64
		for name, l := range f.loads {
			if !strings.HasPrefix(name, "new-") {
				all, busiest = all+l.methods["Feed.Fetch"].bytes, max(busiest, l.methods["Feed.Fetch"].bytes)
			}
		}
		relay := f.loads["suva-a-relay"].methods["Feed.Fetch"].bytes
		t.Logf("%.0f B for %d snapshots, busiest instance %.1f%%, relay %.1f%%", all, restarts, 100*busiest/all, 100*relay/all)
		qt.Check(t, max(relay, busiest) < share*all, qt.IsTrue)
	})
}
