package claims_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheevale/internal/base/measure"
	"lycheevale/internal/state/claims"
)

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkClaims measures memory, snapshot size and processor time per claim finished with a response of 200 bytes, for
// docs/CAPACITY.md.
func BenchmarkClaims(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint("claims=", n), func(b *testing.B) {
			for range b.N {
				before := heapInUse()
				begin := measure.ProcessorTime(b)
				c := claims.New()
				for i := range n {
					command := claims.Command{
						Op: claims.OpClaim, Key: claims.Key{Customer: "banksia", Identifier: fmt.Sprint("order-", i)},
						Attempt: fmt.Sprint("attempt-", i), Fingerprint: fmt.Sprintf("%064d", i),
						At: noon.Add(time.Duration(i) * time.Millisecond),
					}
					qt.Assert(b, c.Apply(command).Outcome, qt.Equals, claims.Granted)
					command.Op, command.Response = claims.OpFinish, &claims.Response{Status: 200, Body: make([]byte, 200)}
					qt.Assert(b, c.Apply(command).Outcome, qt.Equals, claims.Finished)
				}
				used := measure.ProcessorTime(b) - begin
				b.ReportMetric(float64(used.Microseconds())/float64(n), "cpu-µs/claim")
				b.ReportMetric(float64(heapInUse()-before)/float64(n), "heap-B/claim")
				start := time.Now()
				encode := c.View()
				b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "view-ms")
				data, err := encode()
				qt.Assert(b, err, qt.IsNil)
				b.ReportMetric(float64(len(data))/float64(n), "snapshot-B/claim")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
