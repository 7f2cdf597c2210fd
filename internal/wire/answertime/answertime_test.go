package answertime_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/wire/answertime"
)

const (
	minTimeout = 100 * time.Millisecond
	maxTimeout = 300 * time.Millisecond
)

func TestTimeoutFollowsAnswers(t *testing.T) {
	c := quicktest.New(t)
	var e answertime.Estimate
	c.Check(e.Timeout(minTimeout, maxTimeout), quicktest.Equals, maxTimeout)
	for range 20 {
		e.Observe(62 * time.Millisecond)
	}
	c.Check(e.Timeout(minTimeout, maxTimeout), quicktest.Equals, minTimeout)
	// Guards against treating answers as lost once the endpoint has become slow.
	for range 4 {
		e.Observe(150 * time.Millisecond)
	}
	c.Check(e.Timeout(minTimeout, maxTimeout) > 150*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", e.Timeout(minTimeout, maxTimeout)))
	e.Observe(time.Minute)
	c.Check(e.Timeout(minTimeout, maxTimeout), quicktest.Equals, maxTimeout)
}
