//go:build !race

// The race detector enlarges stacks and allocations, so the memory of a stream is measured in a plain build only;
// .ci/run has a step for it.
package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/serve/engine"
)

// targetStreamBytes is the design's bound on the memory of an open stream.
const targetStreamBytes = 64 << 10

// Guards against open streams that hold more memory than the design allows. Live bytes and stacks are counted; a
// stream by way of another owner is held by two instances.
func TestMemoryPerStream(t *testing.T) {
	for remote, instances := range map[bool]int64{false: 1, true: 2} {
		p := startPair(t, 100*time.Millisecond, remote)
		bytesPerStream(t, p.direct, "warm-up")
		direct := bytesPerStream(t, p.direct, "direct")
		proxied := bytesPerStream(t, p.proxied, "proxied")
		p.stop()
		added := (proxied - direct) / instances
		t.Logf("remote=%t: bytes for each stream, with client and engine: direct %d, proxied %d, added to each instance %d",
			remote, direct, proxied, added)
		if added > targetStreamBytes {
			t.Errorf("remote=%t: a stream holds %d bytes of an instance, target %d", remote, added, targetStreamBytes)
		}
	}
}

func bytesPerStream(t *testing.T, url, name string) int64 {
	const streams = 256
	var group errgroup.Group
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan struct{}, streams)
	before := heap()
	for i := range streams {
		group.Go(func() error { hold(ctx, url, fmt.Sprintf("%s-%d", name, i), opened); return nil })
	}
	for range streams {
		<-opened
	}
	after := heap()
	cancel()
	_ = group.Wait()
	benchClient.CloseIdleConnections()
	return (after - before) / streams
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// hold opens a stream, reads its first byte and keeps it open until ctx ends.
func hold(ctx context.Context, url, attempt string, opened chan<- struct{}) {
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
