package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/metrics"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/measure"
	"lycheevale/internal/state/feed"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// addAdapters adds n adapters with one version each.
func addAdapters(tb testing.TB, r *registry.Registry, n int) *registry.Registry {
	for i := 0; i < n; i += 1000 {
		var changes []registry.Object
		if i == 0 {
			changes = append(changes,
				registry.Object{Kind: registry.KindModel, Name: "quill", Model: &registry.Model{}},
				registry.Object{Kind: registry.KindCustomer, Name: "banksia", Customer: &registry.Customer{Rate: 1, Burst: 1}})
		}
		for j := i; j < min(i+1000, n); j++ {
			name := fmt.Sprint("a", j)
			changes = append(changes,
				registry.Object{Kind: registry.KindAdapter, Name: name, Adapter: &registry.Adapter{
					Customer: "banksia", Model: "quill", DefaultVersion: "v1",
				}},
				registry.Object{Kind: registry.KindVersion, Name: name + "@v1", Version: &registry.Version{
					Adapter: name, Source: "store/" + name + "/v1", State: registry.VersionActive,
				}})
		}
		qt.Assert(tb, r.Apply(registry.Command{Changes: changes}).Err(), qt.IsNil)
	}
	return r
}

func heap() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	return heap()
}

// peakHeap returns the greatest heap while f runs, garbage that is not collected yet included, and its processor time.
func peakHeap(tb testing.TB, f func()) (peak uint64, cpu time.Duration) {
	begin := measure.ProcessorTime(tb)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			peak = max(peak, heap())
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	f()
	cancel()
	_ = group.Wait()
	return max(peak, heap()), measure.ProcessorTime(tb) - begin
}

// BenchmarkRestartMemory measures the heap of a source that encodes its configuration, and then, from files and without
// the source in the process, of an instance that starts with it. Nothing else of an instance is in the figures.
func BenchmarkRestartMemory(b *testing.B) {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, n := range []int{3_000, 30_000, 140_000} {
		b.Run(fmt.Sprint("adapters=", n), func(b *testing.B) {
			for range b.N {
				folder, calls := b.TempDir(), 0
				answerFile := func() string { return filepath.Join(folder, fmt.Sprint(calls)) }
				start := func(call peer.Caller) (*registry.Registry, *feed.Node) {
					r := registry.New()
					return r, feed.New(feed.WithName("a", "suva-a"), feed.WithRegistry(r), feed.WithLogger(logger),
						feed.WithCaller(call), feed.WithSources(func() []string { return []string{"voter"} }))
				}

				source := addAdapters(b, registry.New(), n)
				revision := source.Revision()
				b.ReportMetric(float64(liveHeap()), "source-live-B")
				mux := peer.NewMux()
				feed.New(feed.WithName("voter", "brisbane-a"), feed.WithRegistry(source), feed.WithLogger(logger),
					feed.WithAge(func() time.Duration { return 0 })).Register(mux)
				subscribe := func() (prepared bool) {
					answer, err := mux.Serve(b.Context(), "a", "Feed.Subscribe", []byte(`{"DataCentre":"suva-a"}`))
					qt.Assert(b, err, qt.IsNil)
					raw, _ := json.Marshal(answer)
					var state struct{ Preparing bool }
					qt.Assert(b, json.Unmarshal(raw, &state), qt.IsNil)
					return !state.Preparing
				}
				peak, cpu := peakHeap(b, func() {
					for !subscribe() {
						time.Sleep(10 * time.Millisecond)
					}
				})
				b.ReportMetric(float64(peak), "source-peak-B")
				b.ReportMetric(float64(cpu.Milliseconds()), "source-cpu-ms")
				recorded := recording{serve: mux.Serve, file: answerFile, calls: &calls}
				copied, client := start(recorded.call)
				client.Poll(b.Context())
				qt.Assert(b, copied.Revision(), qt.Equals, revision)
				source, copied, client, mux, recorded.serve = nil, nil, nil, nil, nil

				calls = 0
				before := liveHeap()
				restarted, client := start(recorded.replay)
				peak, cpu = peakHeap(b, func() { client.Poll(b.Context()) })
				qt.Assert(b, restarted.Revision(), qt.Equals, revision)
				b.ReportMetric(float64(peak), "instance-peak-B")
				b.ReportMetric(float64(cpu.Milliseconds()), "instance-cpu-ms")
				b.ReportMetric(float64(liveHeap()-before), "instance-live-B")
				runtime.KeepAlive(restarted)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// recording stores the answers of a source in files and answers from them later.
type recording struct {
	serve func(ctx context.Context, from, method string, params json.RawMessage) (any, error)
	file  func() string
	calls *int
}

func (r *recording) call(ctx context.Context, _, method string, params, result any) error {
	raw, _ := json.Marshal(params)
	answer, err := r.serve(ctx, "a", method, raw)
	if err != nil || result == nil {
		return err
	}
	if raw, err = json.Marshal(answer); err != nil {
		return err
	}
	*r.calls++
	if err := os.WriteFile(r.file(), raw, 0o600); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (r *recording) replay(_ context.Context, _, _ string, _, result any) error {
	if result == nil {
		return nil
	}
	*r.calls++
	raw, err := os.ReadFile(r.file())
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Guards against a restarted instance that never gets a large snapshot, or gets a mixed one, when a message is lost,
// the source dies or the configuration changes while it is fetched.
func TestLargeSnapshotWithFaults(t *testing.T) {
	type fault struct {
		method  string
		happens outcome
		also    func(f *fleet)
	}
	faults := map[string]fault{
		"change":      {"Feed.Fetch", delivered, func(f *fleet) { f.change(int(f.regs["voter"].Revision())) }},
		"source dies": {"Feed.Fetch", delivered, func(f *fleet) { delete(f.muxes, "suva-a-relay") }},
	}
	for _, method := range []string{"Feed.Subscribe", "Feed.Fetch", "Feed.Beat"} {
		for _, happens := range []outcome{requestLost, answerLost} {
			faults[fmt.Sprint(method, " ", happens)] = fault{method, happens, func(*fleet) {}}
		}
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(oneWay, 3, "suva-a")
				addAdapters(t, f.regs["voter"], 6_000)
				defer f.run()()
				time.Sleep(20 * time.Second)
				f.add("new", "suva-a", feed.WithSources(func() []string { return []string{"suva-a-relay", "voter"} }))
				ctx, cancel := context.WithCancel(context.Background())
				var group errgroup.Group
				defer func() {
					cancel()
					_ = group.Wait()
				}()
				hit := false
				f.setFault(func(from, to, method string) outcome {
					if hit || method != fault.method || (from != "new" && to != "new") {
						return delivered
					}
					hit = true
					fault.also(f)
					return fault.happens
				})
				group.Go(func() error { return f.nodes["new"].Run(ctx) })
				time.Sleep(20 * time.Second)
				f.setFault(nil)
				time.Sleep(target)
				qt.Assert(t, hit, qt.IsTrue)
				qt.Assert(t, f.regs["new"].Revision(), qt.Equals, f.regs["voter"].Revision())
				for _, kind := range []registry.Kind{registry.KindModel, registry.KindAdapter, registry.KindVersion} {
					qt.Assert(t, f.regs["new"].List(kind), qt.DeepEquals, f.regs["voter"].List(kind))
				}
			})
		})
	}
}
