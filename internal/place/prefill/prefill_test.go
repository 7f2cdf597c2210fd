package prefill_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/prefill"
)

// Engines read 19 tokens a millisecond, and half of the requests wait for other reasons too. Guards against an estimate that counts such waits
// as the time to read.
func TestSpeedIgnoresOtherWaits(t *testing.T) {
	c := quicktest.New(t)
	var s prefill.Speed
	c.Check(s.Delay(1000), quicktest.Equals, time.Duration(0))
	for i := range 400 {
		tokens := 500 + 37*(i%60)
		delay := time.Duration(float64(tokens) / 19 * float64(time.Millisecond))
		if i%2 == 0 {
			delay *= 4
		}
		s.Observe(tokens, delay)
	}
	got := float64(s.Delay(1900)) / float64(100*time.Millisecond)
	c.Check(math.Abs(got-1) < 0.3, quicktest.IsTrue, quicktest.Commentf("%v of the true time", got))
}
