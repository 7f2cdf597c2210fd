package view_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
)

// Guards against releasing a held request because a new leader does not know of its crashes yet, against one that stays held without a leader, and against
// one that stays held although the leader has released it.
func TestHeldRequestsFollowLeader(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	start := time.Unix(1_800_000_000, 0)
	update := func(ms int, term uint64, held ...string) {
		_, err := v.Apply(start.Add(time.Duration(ms)*time.Millisecond), report.Update{Term: term, Held: held}, nil)
		c.Assert(err, quicktest.IsNil)
	}
	held := func(ms int) bool {
		_, held := v.Held(start.Add(time.Duration(ms)*time.Millisecond), "request:1")
		return held
	}
	update(0, 1)
	update(2000, 1, "request:1")
	c.Check(held(3999), quicktest.IsTrue)
	c.Check(held(4000), quicktest.IsFalse)
	update(2200, 1)
	c.Check(held(2200), quicktest.IsFalse)
	update(2400, 1, "request:1")
	update(3000, 2)
	c.Check(held(3000), quicktest.IsTrue)
	update(3999, 2)
	c.Check(held(3999), quicktest.IsTrue)
	update(4000, 2)
	c.Check(held(4000), quicktest.IsFalse)
}
