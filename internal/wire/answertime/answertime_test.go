package answertime_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/wire/answertime"
)

const (
	least = 100 * time.Millisecond
	most  = 300 * time.Millisecond
)

func TestTimeoutFollowsAnswers(t *testing.T) {
	c := quicktest.New(t)
	var e answertime.Estimate
	c.Check(e.Timeout(least, most), quicktest.Equals, most)
	for range 20 {
		e.Observe(62 * time.Millisecond)
	}
	c.Check(e.Timeout(least, most), quicktest.Equals, least)
	// Guards against slow answers that are taken for lost ones once the endpoint has become slow.
	for range 4 {
		e.Observe(150 * time.Millisecond)
	}
	c.Check(e.Timeout(least, most) > 150*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", e.Timeout(least, most)))
	e.Observe(time.Minute)
	c.Check(e.Timeout(least, most), quicktest.Equals, most)
}
