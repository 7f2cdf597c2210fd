package registry_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/measure"
	"lycheevale/internal/state/registry"
)

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// newRegistryOfSize returns a configuration with n adapters of one version each.
func newRegistryOfSize(tb testing.TB, n int) *registry.Registry {
	r := newFilledRegistry(tb)
	for i := 0; i < n; i += 1000 {
		var changes []registry.Object
		for j := i; j < min(i+1000, n); j++ {
			changes = append(changes, adapter(fmt.Sprint("a", j), "banksia", "v1"), version(fmt.Sprint("a", j), "v1"))
		}
		qt.Assert(tb, apply(r, changes...).Err(), qt.IsNil)
	}
	return r
}

// BenchmarkRestartSnapshot measures the restart of an instance for docs/CAPACITY.md: the size of the configuration
// snapshot, the processor time of the source and of the instance, and memory.
func BenchmarkRestartSnapshot(b *testing.B) {
	for _, n := range []int{3_000, 30_000, 140_000, 280_000} {
		b.Run(fmt.Sprint("adapters=", n), func(b *testing.B) {
			before := heapInUse()
			source := newRegistryOfSize(b, n)
			held := heapInUse() - before
			var encode, install time.Duration
			var bytes, peak, copied uint64
			for range b.N {
				begin := measure.ProcessorTime(b)
				data, err := json.Marshal(source.DeltaSince(0))
				encode += measure.ProcessorTime(b) - begin
				qt.Assert(b, err, qt.IsNil)
				bytes = uint64(len(data))
				before := heapInUse()
				begin = measure.ProcessorTime(b)
				var d registry.Delta
				qt.Assert(b, json.Unmarshal(data, &d), qt.IsNil)
				restarted := registry.New()
				qt.Assert(b, restarted.Install(d), qt.IsNil)
				install += measure.ProcessorTime(b) - begin
				peak = bytes + heapInUse() - before // the message, its decoded form and the registry together
				d = registry.Delta{}
				copied = heapInUse() - before
				// The message has to be live in both heap measurements; otherwise the copy would appear smaller.
				runtime.KeepAlive(data)
				runtime.KeepAlive(restarted)
			}
			b.ReportMetric(float64(bytes), "snapshot-B")
			b.ReportMetric(float64(encode.Milliseconds())/float64(b.N), "encode-cpu-ms")
			b.ReportMetric(float64(install.Milliseconds())/float64(b.N), "install-cpu-ms")
			b.ReportMetric(float64(held), "voter-heap-B")
			b.ReportMetric(float64(copied), "heap-B")
			b.ReportMetric(float64(peak), "install-live-B")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(source)
		})
	}
}
