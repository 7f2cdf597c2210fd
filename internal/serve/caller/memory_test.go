//go:build !race

// The race detector enlarges stacks and allocations, so the memory per stream is measured only in a build without it;
// .ci/run has a step for it.
package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/serve/engine"
)

// targetStreamBytes is the design limit on the memory of an open stream.
const targetStreamBytes = 64 << 10

// Guards against open streams that use more memory than the design allows. Live heap bytes and stacks are counted; a
// stream through a remote owner uses memory of two instances.
func TestMemoryPerStream(t *testing.T) {
	const rounds = 3
	for remote, instances := range map[bool]int64{false: 1, true: 2} {
		var added []int64
		for range rounds {
			// Each round has a new setup without idle connections, whose memory a stream would otherwise reuse.
			p := startBenchSetup(t, 100*time.Millisecond, remote)
			waitForGoroutines()
			direct := bytesOpen(t, p.direct, "direct")
			waitForGoroutines()
			proxied := bytesOpen(t, p.proxied, "proxied")
			p.stop()
			waitForGoroutines()
			added = append(added, (proxied-direct)/streams/instances)
		}
		slices.Sort(added)
		t.Logf("remote=%t: bytes that a stream adds to each instance: %d", remote, added)
		if median := added[rounds/2]; median > targetStreamBytes {
			t.Errorf("remote=%t: a stream holds %d bytes of an instance, target %d", remote, median, targetStreamBytes)
		}
	}
}

// waitForGoroutines waits until no more goroutines of closed connections end; their memory would otherwise be taken for that of an
// idle process.
func waitForGoroutines() {
	const longest = 40
	before := runtime.NumGoroutine()
	for range longest {
		time.Sleep(100 * time.Millisecond)
		now := runtime.NumGoroutine()
		if now >= before {
			return
		}
		before = now
	}
}

// streams is the number of concurrently open streams.
const streams = 256

// bytesOpen returns the memory of the process with all streams open. The difference to an idle process would be too low,
// because the runtime keeps stacks of earlier goroutines.
func bytesOpen(t *testing.T, url, name string) int64 {
	var group errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan struct{}, streams)
	for i := range streams {
		group.Go(func() error { holdStream(ctx, url, fmt.Sprintf("%s-%d", name, i), opened); return nil })
	}
	for range streams {
		<-opened
	}
	after := heap()
	cancel()
	_ = group.Wait()
	benchClient.CloseIdleConnections()
	return after
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// holdStream opens a stream, reads its first byte and keeps it open until ctx ends.
func holdStream(ctx context.Context, url, attempt string, opened chan<- struct{}) {
	body := `{"model":"quill","prompt":"hello","stream":true,"max_tokens":10000}`
	req, _ := http.NewRequestWithContext(ctx, "POST", url+"/v1/completions", bytes.NewReader([]byte(body)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key1)
	req.Header.Set(engine.HeaderAttempt, attempt)
	resp, err := benchClient.Do(req)
	if err == nil {
		defer resp.Body.Close()
		_, _ = resp.Body.Read(make([]byte, 16))
	}
	opened <- struct{}{}
	<-ctx.Done()
}
