package ceiling_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/limit/ceiling"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func rate(b *ceiling.Book, endpoint string) float64 {
	l, _ := b.Limit(endpoint)
	return l.Rate / ceiling.Unit
}

// Guards against an answer to an earlier request that ends a limit which the endpoint has named since, and against one that an endpoint never ends.
func TestLateAnswerEndsNoLimit(t *testing.T) {
	c := quicktest.New(t)
	b := ceiling.New()
	c.Check(b.State(at(1), at(0), "x", 0), quicktest.IsFalse)
	c.Check(b.State(at(2), at(1), "x", 1.5), quicktest.IsTrue)
	c.Check(b.State(at(3), at(1), "x", 0), quicktest.IsFalse)
	c.Check(rate(b, "x"), quicktest.Equals, 1.5)
	c.Check(b.State(at(4), at(3), "x", 2), quicktest.IsTrue)
	c.Check(b.State(at(6), at(5), "x", 0), quicktest.IsTrue)
	_, limited := b.Limit("x")
	c.Check(limited, quicktest.IsFalse)
	b.Forget(at(40), func(string) bool { return true })
	c.Check(b.List(at(40)), quicktest.HasLen, 0)
}

// Guards against a limit of 0 that no request ever ends, and against limits that are no numbers.
func TestOddRates(t *testing.T) {
	c := quicktest.New(t)
	b := ceiling.New()
	b.State(at(1), at(0), "x", math.SmallestNonzeroFloat64)
	c.Check(rate(b, "x"), quicktest.Equals, 0.25)
	b.Merge(at(1), []ceiling.Named{{Endpoint: "y", Rate: math.NaN()}, {Endpoint: "z", Rate: math.Inf(1)}, {Endpoint: "w", Rate: -1}})
	c.Check(b.Limits(), quicktest.HasLen, 1)
}

// Two entries and a leader exchange what endpoints state. Guards against a statement that seems younger each time it is passed on, so that it undoes a
// later one, and against an entry that keeps a limit which another one has seen end.
func TestLatestStatementWins(t *testing.T) {
	c := quicktest.New(t)
	leader, one, two := ceiling.New(), ceiling.New(), ceiling.New()
	exchange := func(now time.Time, entry *ceiling.Book) {
		const delay = 50 * time.Millisecond
		leader.Merge(now.Add(delay), entry.Own(now))
		entry.Replace(now.Add(2*delay), now, leader.List(now.Add(delay)))
	}
	one.State(at(1), at(0.9), "x", 2)
	for n := range 20 {
		now := at(1 + float64(n)*0.2)
		exchange(now, one)
		exchange(now, two)
	}
	c.Check(rate(two, "x"), quicktest.Equals, 2.0)
	c.Check(two.Own(at(5)), quicktest.HasLen, 0)
	revision := leader.Revision()
	two.State(at(5.1), at(5), "x", 0)
	exchange(at(5.2), two)
	exchange(at(5.3), one)
	exchange(at(5.4), two)
	for _, b := range []*ceiling.Book{leader, one, two} {
		_, limited := b.Limit("x")
		c.Check(limited, quicktest.IsFalse)
	}
	c.Check(leader.Revision(), quicktest.Equals, revision+1)
}

// The leader removes an endpoint from its list. Guards against an entry that keeps its limit, and against losing what the entry has heard since.
func TestLeaderRemovesLimit(t *testing.T) {
	c := quicktest.New(t)
	b := ceiling.New()
	b.State(at(1), at(0), "x", 2)
	b.State(at(5), at(4), "y", 3)
	b.Replace(at(5.1), at(4.9), nil)
	c.Check(rate(b, "x"), quicktest.Equals, 0.0)
	c.Check(rate(b, "y"), quicktest.Equals, 3.0)
}

// An endpoint that names a rate is not listed for some seconds. Guards against forgetting its rate before it is back, and against keeping it without end.
func TestRateOutlivesAbsence(t *testing.T) {
	c := quicktest.New(t)
	b := ceiling.New()
	b.State(at(1), at(0), "x", 2)
	listed := func(string) bool { return true }
	unlisted := func(string) bool { return false }
	for seconds := 200.0; seconds < 300; seconds++ {
		b.Forget(at(seconds), unlisted)
	}
	b.Forget(at(300), listed)
	c.Check(rate(b, "x"), quicktest.Equals, 2.0)
	b.Forget(at(310), unlisted)
	c.Check(rate(b, "x"), quicktest.Equals, 2.0)
	b.Forget(at(430), unlisted)
	c.Check(b.List(at(430)), quicktest.HasLen, 0)
}
