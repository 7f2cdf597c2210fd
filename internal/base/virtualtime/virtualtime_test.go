package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"lycheevale/internal/base/virtualtime"
)

// Many goroutines receive from timers that expire at the same time. Guards against the failed check of the race detector
// (tsan_rtl.cpp:346) that aborted CI: with synctest.Test and several processors this test was aborted in 3 of 3 runs.
func TestExpiredTimersUnderRaceDetector(t *testing.T) {
	const rounds, workers, steps = 10, 64, 200
	for range rounds {
		virtualtime.Test(t, func(*testing.T) {
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					ticker := time.NewTicker(time.Millisecond)
					defer ticker.Stop()
					for range steps {
						<-ticker.C
						time.Sleep(3 * time.Millisecond)
						<-time.After(0)
					}
				})
			}
			group.Wait()
		})
	}
}
