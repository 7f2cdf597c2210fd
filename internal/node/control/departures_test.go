package control

import (
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

// The log has no majority. Guards against acknowledging a departure that the next leader does not know.
func TestDepartureIsNotAcknowledgedBeforeItIsStored(t *testing.T) {
	c := quicktest.New(t)
	leader, _ := leadingControl()
	a := soundAnnouncement("x", 1)
	reply, err := leader.handleAnnounce(t.Context(), "b", a)
	c.Assert(err, quicktest.IsNil)
	c.Check(reply.Leading, quicktest.IsTrue)
	a.Sequence, a.Leaving = 2, true
	for _, departure := range []roster.Announcement{a, a, {ID: "x", Gone: true}, {ID: "x", Gone: true}} {
		_, err = leader.handleAnnounce(t.Context(), "b", departure)
		c.Check(err, quicktest.IsNotNil)
		c.Check(leader.state.roster.Endpoints(), quicktest.Satisfies, func(list []report.Endpoint) bool { return len(list) == 0 || list[0].Leaving })
	}
}

// An endpoint that states no start time deregisters at a new leader before any entry has told it which endpoints there are. Guards against
// acknowledging a departure that does not name the incarnation, and against taking the endpoint over afterwards.
func TestDepartureOfUnknownEndpointWaitsForEntries(t *testing.T) {
	c := quicktest.New(t)
	leader, _ := leadingControl()
	leader.state.since = leader.options.Now()
	gone := roster.Announcement{ID: "x", Gone: true}
	reply, err := leader.handleAnnounce(t.Context(), "b", gone)
	c.Assert(err, quicktest.IsNil)
	c.Check(reply.Leading, quicktest.IsFalse)
	leader.state.sync(report.Entry{Name: "e", Term: leader.state.term, Known: knownEndpoints("x", "y")})
	_, err = leader.handleAnnounce(t.Context(), "b", gone)
	c.Check(err, quicktest.IsNotNil) // the log has no majority
	c.Check(leader.state.departureCommand(gone).Depart, quicktest.DeepEquals, []report.Departure{{ID: "x", Born: 5, Gone: true}})
	c.Check(leader.state.roster.Endpoints(), quicktest.HasLen, 1)
}

// A new leader knows from the log that an endpoint is leaving, and takes it over from an entry. Guards against placing adapters there: entries refuse
// the requests for them, although other endpoints have room.
func TestLeavingEndpointTakenOverGetsNoAdapters(t *testing.T) {
	c := quicktest.New(t)
	ls := newEngineLeaderState()
	ls.applyDepartures(document.Stored{Departures: []report.Departure{{ID: "x", Born: 5}}, DepartureRevision: 1})
	ls.sync(report.Entry{Name: "e", Term: ls.term, Known: knownEndpoints("x", "y")})
	for _, name := range []string{"held-x", "a", "b"} {
		choice, ok := ls.placer.Want(ls.now(), residency.Adapter{Model: "m", Name: name}, "", false)
		c.Assert(ok, quicktest.IsTrue)
		c.Check(choice.Endpoint, quicktest.Equals, "y", quicktest.Commentf("adapter %q", name))
	}
}
