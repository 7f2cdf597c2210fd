package view_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

func decodeEmpty([]byte) (document.Document, error) { return document.Document{}, nil }

// Guards against running requests that are counted for another endpoint. Updates list the counts in the order of a list of
// endpoints, which may have changed.
func TestRunningFollowsItsList(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	apply := func(u report.Update) {
		_, err := v.Apply(time.Now(), u, decodeEmpty)
		c.Assert(err, quicktest.IsNil)
	}
	apply(report.Update{Term: 1, Directory: 2, Endpoints: []report.Endpoint{{ID: "a"}, {ID: "b"}}, Running: []int{3, 5}})
	c.Check(v.Running("b"), quicktest.Equals, 5)
	apply(report.Update{Term: 1, Directory: 2, Running: []int{4, 0}})
	c.Check(v.Running("a"), quicktest.Equals, 4)
	apply(report.Update{Term: 1, Directory: 4, Endpoints: []report.Endpoint{{ID: "b"}}, Running: []int{7}})
	c.Check([]int{v.Running("a"), v.Running("b")}, quicktest.DeepEquals, []int{0, 7})
	apply(report.Update{Term: 1, Directory: 4, Running: []int{1, 2}})
	c.Check(v.Running("b"), quicktest.Equals, 7)
}

// Guards against a leaving endpoint that gets work again, because a new leader has not received its announcement.
func TestLeavingSurvivesNewLeader(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	for term, e := range []report.Endpoint{{ID: "a", Service: "s", Born: 5, Leaving: true}, {ID: "a", Service: "s", Born: 5}} {
		_, err := v.Apply(time.Now(), report.Update{Term: uint64(term + 1), Directory: 2, Endpoints: []report.Endpoint{e}, Running: []int{0}}, decodeEmpty)
		c.Assert(err, quicktest.IsNil)
		c.Check(v.Endpoints("s"), quicktest.HasLen, 0)
	}
	next := report.Endpoint{ID: "a", Service: "s", Born: 6}
	_, err := v.Apply(time.Now(), report.Update{Term: 3, Directory: 4, Endpoints: []report.Endpoint{next}, Running: []int{0}}, decodeEmpty)
	c.Assert(err, quicktest.IsNil)
	c.Check(v.Endpoints("s"), quicktest.HasLen, 1)
	c.Check(v.KnownEndpoints(), quicktest.HasLen, 1)
}

// Guards against deputies from a late answer of a leader that was replaced.
func TestDeputiesFollowLatestLeader(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	applyDeputies := func(term, change uint64, centres ...string) []string {
		u := report.Update{Term: term, DeputyChange: change}
		for _, centre := range centres {
			u.Deputies = append(u.Deputies, report.Deputy{DataCentre: centre})
		}
		_, err := v.Apply(time.Now(), u, decodeEmpty)
		c.Assert(err, quicktest.IsNil)
		var known []string
		for _, d := range v.Deputies() {
			known = append(known, d.DataCentre)
		}
		return known
	}
	c.Check(applyDeputies(1, 3, "a"), quicktest.DeepEquals, []string{"a"})
	c.Check(applyDeputies(1, 3), quicktest.DeepEquals, []string{"a"}) // the update has no deputies, since they have not changed
	c.Check(applyDeputies(2, 3, "b", "c"), quicktest.DeepEquals, []string{"b", "c"})
	c.Check(applyDeputies(1, 4, "d"), quicktest.DeepEquals, []string{"b", "c"})
}

// Guards against refusing a customer at services whose endpoints it does not crash, and against sending a request that crashes endpoints to another
// service of its route.
func TestQuarantineAppliesToServices(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	request, customer := quarantine.Request([]byte("r")), quarantine.Customer("c")
	u := report.Update{Term: 1, QuarantineRevision: 1, Quarantine: []quarantine.Signature{
		quarantine.NewSignature("a", request), quarantine.NewSignature("a", customer), {Service: "a", ID: "part"},
	}}
	_, err := v.Apply(time.Now(), u, decodeEmpty)
	c.Assert(err, quicktest.IsNil)
	all := []string{request, customer, "part", "other"}
	c.Check(v.Quarantined("a", all), quicktest.DeepEquals, []string{request, customer, "part"})
	c.Check(v.Quarantined("b", all), quicktest.DeepEquals, []string{request, "part"})
}

// One endpoint announces a version of an adapter far above that of the others. Guards against asking the others for that version, which they refuse,
// and against losing them for good.
func TestOddVersionHidesNoHolder(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	a := residency.Adapter{Model: "m", Name: "a"}
	u := report.Update{Leading: true, Term: 1, Directory: 1, Reset: true, Placement: 1}
	for _, id := range []string{"a", "odd", "z"} {
		version := 1
		if id == "odd" {
			version = 1 << 30
		}
		u.Endpoints = append(u.Endpoints, report.Endpoint{ID: id, Service: "s"})
		u.Events = append(u.Events, residency.Event{Endpoint: id, Holding: residency.Holding{Adapter: a, Version: version}})
	}
	_, err := v.Apply(time.Unix(0, 0), u, decodeEmpty)
	c.Assert(err, quicktest.IsNil)
	list, version := v.Holders("s", a)
	for _, e := range list {
		c.Check(e.ID == "odd", quicktest.Equals, version == 1<<30, quicktest.Commentf("version %d asked of %q", version, e.ID))
	}
	v.RemoveHolder("odd", a) // it answered that it does not hold that version
	list, version = v.Holders("s", a)
	c.Check(list, quicktest.HasLen, 2)
	c.Check(version, quicktest.Equals, 1)
}

// A new leader lists the endpoints that it knows, and departures that were stored before. Guards against an entry that goes on sending requests to an
// endpoint that has left, because the list does not have all endpoints yet.
func TestPartialListKeepsNoDepartedEndpoint(t *testing.T) {
	c := quicktest.New(t)
	v := view.New()
	decode := func([]byte) (document.Document, error) { return document.Document{}, nil }
	endpoint := func(id string) report.Endpoint { return report.Endpoint{ID: id, Service: "s", Born: 5} }
	_, err := v.Apply(time.Unix(0, 0), report.Update{Term: 1, Directory: 1, Endpoints: []report.Endpoint{endpoint("gone"), endpoint("leaving"), endpoint("stays")}}, decode)
	c.Assert(err, quicktest.IsNil)
	changed, err := v.Apply(time.Unix(1, 0), report.Update{
		Term: 2, Directory: 1, Partial: true, Departed: []report.Departure{{ID: "gone", Born: 5, Gone: true}, {ID: "leaving", Born: 5}, {ID: "stays", Born: 4, Gone: true}},
	}, decode)
	c.Assert(err, quicktest.IsNil)
	c.Check(changed.Removed, quicktest.HasLen, 1)
	c.Check(v.HasEndpoint("gone"), quicktest.IsFalse)
	c.Check(v.HasEndpoint("leaving"), quicktest.IsTrue)
	list := v.Endpoints("s")
	c.Assert(list, quicktest.HasLen, 1)
	c.Check(list[0].ID, quicktest.Equals, "stays")
}

// An entry that was suspended reads its list of software versions while the answer to its next report is applied. Guards against an old list that is
// taken for current because the new one has come meanwhile.
func TestListOfVersionsIsReadWithItsAge(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	v := view.New()
	apply := func(sentAt time.Time, versions ...string) error {
		_, err := v.Apply(sentAt, report.Update{Term: 1, Versions: map[string][]string{"s": versions}}, nil)
		return err
	}
	c.Assert(apply(now.Add(-report.VersionsLease), "v1"), quicktest.IsNil)
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		for {
			select {
			case <-done:
				return nil
			default:
			}
			if err := errs.Combine(apply(now.Add(-report.VersionsLease), "v1"), apply(now, "v1", "v2")); err != nil {
				return err
			}
		}
	})
	relied := 0
	for range 300_000 {
		if versions, current := v.Software("s", now); len(versions) == 1 && current {
			relied++
		}
	}
	close(done)
	c.Check(group.Wait(), quicktest.IsNil)
	c.Check(relied, quicktest.Equals, 0)
}
