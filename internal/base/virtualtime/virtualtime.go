// Package virtualtime runs tests in virtual time.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest. Under the race detector it runs on one processor: in Go 1.26,
// goroutines of a bubble that receive from expired timers concurrently share one context of the detector, which corrupts it.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		processors.enter()
		defer processors.leave()
	}
	synctest.Test(t, f)
}

// processorLimit restricts the process to one processor while any bubble runs.
type processorLimit struct {
	mu       sync.Mutex
	bubbles  int
	previous int
}

var processors processorLimit

func (g *processorLimit) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bubbles == 0 {
		g.previous = runtime.GOMAXPROCS(1)
	}
	g.bubbles++
}

func (g *processorLimit) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bubbles--
	if g.bubbles == 0 {
		runtime.GOMAXPROCS(g.previous)
	}
}
