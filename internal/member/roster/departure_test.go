package roster_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
)

// A new leader learns of endpoints from entries that do not know of a stored departure yet, or before it has read the departure itself. Guards
// against listing the endpoint as one that accepts work.
func TestStoredDepartureAppliesToInheritedEndpoint(t *testing.T) {
	for _, test := range []struct {
		name string
		d    report.Departure
		want []string
	}{
		{"gone", report.Departure{ID: "a", Born: 5, Gone: true}, nil},
		{"leaving", report.Departure{ID: "a", Born: 5}, []string{"a leaving"}},
		{"unknown incarnation gone", report.Departure{ID: "a", Gone: true}, nil},
		{"unknown incarnation leaving", report.Departure{ID: "a"}, []string{"a leaving"}},
		{"earlier incarnation gone", report.Departure{ID: "a", Born: 4, Gone: true}, []string{"a"}},
		{"earlier incarnation leaving", report.Departure{ID: "a", Born: 4}, []string{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			before, after := roster.New(roster.DefaultOptions()), roster.New(roster.DefaultOptions())
			before.Depart(epoch, test.d)
			before.Inherit(epoch, announcement("a", 5, 0))
			c.Check(ids(before), quicktest.DeepEquals, test.want)
			after.Inherit(epoch, announcement("a", 5, 0))
			after.Depart(epoch, test.d)
			c.Check(ids(after), quicktest.DeepEquals, test.want)
			revision := after.Revision()
			after.Depart(epoch, test.d)
			c.Check(after.Revision(), quicktest.Equals, revision, quicktest.Commentf("nothing has changed"))
			_, err := after.Announce(epoch, announcement("a", 6, 1))
			c.Assert(err, quicktest.IsNil)
			c.Check(ids(after), quicktest.DeepEquals, []string{"a"}, quicktest.Commentf("after a restart"))
		})
	}
}

// A heartbeat that was sent before the departure arrives at a later leader. Guards against an endpoint that gets work again by it.
func TestLateHeartbeatDoesNotUndoStoredDeparture(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	r.Depart(epoch, report.Departure{ID: "a", Born: 5})
	_, err := r.Announce(epoch.Add(time.Second), announcement("a", 5, 7))
	c.Assert(err, quicktest.IsNil)
	c.Check(ids(r), quicktest.DeepEquals, []string{"a leaving"})
	r.Depart(epoch.Add(2*time.Second), report.Departure{ID: "a", Born: 5, Gone: true})
	_, err = r.Announce(epoch.Add(3*time.Second), announcement("a", 5, 8))
	c.Check(err, quicktest.ErrorIs, roster.ErrOutdated)
	c.Check(ids(r), quicktest.HasLen, 0)
}

// The acknowledgement of a departure is lost, and the endpoint repeats it. Guards against acknowledging one that was never stored.
func TestRepeatedDepartureIsReturnedAgain(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	_, err := r.Announce(epoch, announcement("a", 5, 1))
	c.Assert(err, quicktest.IsNil)
	leaving := announcement("a", 5, 2)
	leaving.Leaving = true
	for _, test := range []struct {
		announcement roster.Announcement
		want         report.Departure
	}{
		{leaving, report.Departure{ID: "a", Born: 5}},
		{roster.Announcement{ID: "a", Gone: true}, report.Departure{ID: "a", Born: 5, Gone: true}},
	} {
		for range 2 {
			_, _ = r.Announce(epoch, test.announcement) // the second one is outdated
			d, departs := r.Departure(test.announcement, false)
			c.Check(departs, quicktest.IsTrue)
			c.Check(d, quicktest.Equals, test.want)
		}
	}
	_, departs := r.Departure(roster.Announcement{ID: "unknown", Gone: true}, false)
	c.Check(departs, quicktest.IsFalse)
	d, departs := r.Departure(roster.Announcement{ID: "unknown", Gone: true}, true)
	c.Check(departs, quicktest.IsTrue)
	c.Check(d, quicktest.Equals, report.Departure{ID: "unknown", Gone: true})
}
