// Package virtualtime runs tests in virtual time.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest. Under the race detector it runs on one processor: Go 1.26 lets goroutines of a
// bubble that receive from expired timers at the same moment share one context of the detector, which corrupts it.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		processors.enter()
		defer processors.leave()
	}
	synctest.Test(t, f)
}

// gate keeps the process on one processor while any bubble runs.
type gate struct {
	mu      sync.Mutex
	bubbles int
	before  int
}

var processors gate

func (g *gate) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bubbles == 0 {
		g.before = runtime.GOMAXPROCS(1)
	}
	g.bubbles++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bubbles--
	if g.bubbles == 0 {
		runtime.GOMAXPROCS(g.before)
	}
}
