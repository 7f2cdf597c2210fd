package caller_test

import (
	"fmt"
	"testing"
	"time"

	"lycheevale/internal/base/measure"

	"golang.org/x/sync/errgroup"
)

// BenchmarkStreamCost measures the processor time that the proxy adds to a streamed request, for docs/CAPACITY.md. The
// direct calls of the same run measure the cost of client and engine. A remote request passes an entry and an owner.
func BenchmarkStreamCost(b *testing.B) {
	const streams = 64
	// Tokens that are 10 ms apart are written and flushed one by one; without a pause many arrive together.
	for _, step := range []time.Duration{10 * time.Millisecond, 0} {
		for _, remote := range []bool{false, true} {
			for _, tokens := range []int{8, 64, 128, 371} { // 371 is 13 million tokens over 35,000 requests
				b.Run(fmt.Sprintf("step=%v/remote=%t/tokens=%d", step, remote, tokens), func(b *testing.B) {
					p := startBenchSetup(b, step, remote)
					defer p.stop()
					round := func(name, url string) time.Duration {
						before := measure.ProcessorTime(b)
						var group errgroup.Group
						for s := range streams {
							group.Go(func() error { send(b, url, fmt.Sprint(name, "-", s), tokens); return nil })
						}
						_ = group.Wait()
						return measure.ProcessorTime(b) - before
					}
					round("warm-up-direct", p.direct)
					round("warm-up-proxied", p.proxied)
					var direct, proxied time.Duration
					for i := range b.N {
						direct += round(fmt.Sprint("direct-", i), p.direct)
						proxied += round(fmt.Sprint("proxied-", i), p.proxied)
					}
					requests := float64(b.N * streams)
					b.ReportMetric(float64(direct.Microseconds())/requests, "direct-cpu-µs/request")
					b.ReportMetric(float64((proxied-direct).Microseconds())/requests, "added-cpu-µs/request")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
