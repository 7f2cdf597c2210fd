package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/origin"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	former = origin.Software{Service: "s", Version: "v1"}
	newer  = origin.Software{Service: "s", Version: "v2"}
)

// Guards against a new leader that is not told of the streams which entries had reported to an earlier one, and against reports that grow with the
// streams of services with one software version.
func TestStreamsAreReportedToEachLeader(t *testing.T) {
	c := quicktest.New(t)
	b := origin.New(origin.MaxStreams)
	mixed := origin.Stream{Attempt: "1", Software: former}
	b.Record(start, mixed)
	b.Record(start, origin.Stream{Attempt: "2", Software: origin.Software{Service: "other", Version: "v1"}})
	c.Check(b.Unconfirmed(3, nil, 10, 0), quicktest.HasLen, 0)
	c.Check(b.Unconfirmed(3, []string{"s"}, 10, 0), quicktest.DeepEquals, []origin.Stream{mixed})
	b.Confirm(3, []origin.Stream{mixed})
	c.Check(b.Unconfirmed(3, []string{"s"}, 10, 0), quicktest.HasLen, 0)
	c.Check(b.Unconfirmed(4, []string{"s"}, 10, 0), quicktest.DeepEquals, []origin.Stream{mixed})
	c.Check(b.Unconfirmed(4, []string{"s"}, 10, 1), quicktest.HasLen, 2)
	c.Check(b.Unconfirmed(4, nil, 10, 1), quicktest.HasLen, 1)
}

// Guards against a book that grows without bound, forgets the streams that still run, or takes a later report for the beginning of a stream.
func TestBookKeepsNewestStreams(t *testing.T) {
	c := quicktest.New(t)
	const limit = 100
	b := origin.New(limit)
	for n := range 10 * limit {
		b.Record(start.Add(time.Duration(n)*time.Millisecond), origin.Stream{Attempt: fmt.Sprint(n), Software: former})
	}
	_, known := b.Find("899")
	c.Check(known, quicktest.IsFalse)
	b.Record(start.Add(time.Second), origin.Stream{Attempt: "900", Software: newer})
	s, known := b.Find("900")
	c.Check(known, quicktest.IsTrue)
	c.Check(s, quicktest.Equals, former)
	b.Forget(start.Add(950*time.Millisecond+time.Minute), time.Minute)
	_, known = b.Find("950")
	c.Check(known, quicktest.IsFalse)
	_, known = b.Find("951")
	c.Check(known, quicktest.IsTrue)
}

// The endpoints of the former version have left, and a leader of a later term knows of them only what is stored. Guards against taking the newer version
// for the only one while streams of the former one may be continued.
func TestVersionsCountAfterTheirEndpointsHaveLeft(t *testing.T) {
	c := quicktest.New(t)
	census := origin.NewCensus()
	census.Restore(start, []origin.Software{former, newer})
	at := start
	for range 59 {
		at = at.Add(time.Second)
		census.Observe(at, newer)
		added, removed := census.Changes(at, time.Minute)
		c.Check(len(added)+len(removed), quicktest.Equals, 0)
	}
	c.Check(census.Versions("s"), quicktest.DeepEquals, []string{"v1", "v2"})
	at = at.Add(time.Second)
	census.Observe(at, newer)
	_, removed := census.Changes(at, time.Minute)
	c.Check(removed, quicktest.DeepEquals, []origin.Software{former})
	census.Observe(at, former)
	c.Check(census.Usable(former, func(time.Time, uint64) bool { return true }), quicktest.IsFalse) // it returns while it is being removed
	census.Restore(at, []origin.Software{newer})
	census.Changes(at.Add(time.Minute), time.Minute)
	census.Restore(at, []origin.Software{newer})
	census.Observe(at, newer)
	added, removed := census.Changes(at, time.Minute)
	c.Check(len(added)+len(removed), quicktest.Equals, 0)
	c.Check(census.All(), quicktest.DeepEquals, map[string][]string{"s": {"v2"}})
}

// Guards against endpoints with a new software version that get work before the version is stored and entries know of it, and against the first ones of a
// service that wait for nothing.
func TestNewVersionWaitsUntilItIsKnown(t *testing.T) {
	c := quicktest.New(t)
	census := origin.NewCensus()
	census.Observe(start, former)
	informed := false
	isInformed := func(since time.Time, revision uint64) bool {
		c.Check(since, quicktest.Equals, start)
		c.Check(revision <= census.Revision(), quicktest.IsTrue)
		return informed
	}
	c.Check(census.Usable(former, isInformed), quicktest.IsTrue)
	census.Observe(start, newer)
	informed = true
	c.Check(census.Usable(newer, isInformed), quicktest.IsFalse)
	added, _ := census.Changes(start, time.Minute)
	c.Check(added, quicktest.DeepEquals, []origin.Software{former, newer})
	census.Restore(start.Add(100*time.Millisecond), added)
	c.Check(census.Usable(newer, isInformed), quicktest.IsTrue)
	informed = false
	c.Check(census.Usable(newer, isInformed), quicktest.IsFalse)
	c.Check(census.Usable(former, isInformed), quicktest.IsFalse)
	next := origin.NewCensus()
	next.Restore(start, added)
	c.Check(next.Usable(newer, isInformed), quicktest.IsFalse) // an earlier leader may have stored it just before its end
	next.ObserveListed(start, newer)
	c.Check(next.Usable(newer, isInformed), quicktest.IsTrue)
	c.Check(next.Usable(former, isInformed), quicktest.IsFalse)
	informed = true
	c.Check(next.Usable(former, isInformed), quicktest.IsTrue)
}

// Guards against a log entry for endpoints that name no software.
func TestUnnamedSoftwareIsNotStored(t *testing.T) {
	c := quicktest.New(t)
	census := origin.NewCensus()
	unnamed := origin.Software{Service: "s"}
	census.Observe(start, unnamed)
	added, _ := census.Changes(start, time.Minute)
	c.Check(added, quicktest.HasLen, 0)
	census.Observe(start, newer)
	added, _ = census.Changes(start, time.Minute)
	c.Check(added, quicktest.DeepEquals, []origin.Software{unnamed, newer})
}

func ExampleBook() {
	b := origin.New(origin.MaxStreams)
	b.Record(time.Unix(0, 0), origin.Stream{Attempt: "9c41", Software: origin.Software{Service: "chat", Version: "v7"}})
	s, known := b.Find("9c41")
	fmt.Println(s.Version, known)
	// Output: v7 true
}
