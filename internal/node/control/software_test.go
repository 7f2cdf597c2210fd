package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/origin"
)

// A software version appears while entries report, are silent, or have stopped. Guards against endpoints of the version that get work while an entry still
// relies on a list without it, and would continue their streams elsewhere; and against a version that waits for entries that are gone.
func TestNewVersionWaitsForEntries(t *testing.T) {
	c := quicktest.New(t)
	start := time.Unix(1_800_000_000, 0)
	now := start
	ls := newLeaderState(&Control{options: Options{Now: func() time.Time { return now }}}, 1)
	now = start.Add(time.Minute)
	since := now
	const revision = 3
	record := func(name string, after time.Duration, versions uint64) {
		ls.recordActive(since.Add(after), report.Entry{Name: name, Term: ls.term, Versions: versions})
	}
	at := func(after time.Duration) bool {
		now = since.Add(after)
		ls.removeSilentEntries(now)
		return ls.informed(since, revision)
	}
	record("reports", -100*time.Millisecond, revision-1)
	record("silent", -1200*time.Millisecond, revision-1)
	c.Check(at(100*time.Millisecond), quicktest.IsFalse)
	record("reports", 200*time.Millisecond, revision-1) // the answer with the revision follows
	c.Check(at(250*time.Millisecond), quicktest.IsFalse)
	record("reports", 280*time.Millisecond, revision)
	c.Check(at(300*time.Millisecond), quicktest.IsFalse) // the other one has been silent for 1.5 s, and may use its list until 1.8 s
	for _, step := range []time.Duration{time.Second, 1700 * time.Millisecond, 1800 * time.Millisecond} {
		record("reports", step, revision)
		c.Check(at(step), quicktest.Equals, step == 1800*time.Millisecond, quicktest.Commentf("after %v", step))
	}
	record("reports", 2*time.Second, 1)
	c.Check(at(2*time.Second), quicktest.IsFalse)
	c.Check(at(report.VersionsLease), quicktest.IsTrue) // its list is too old
}

// An endpoint restarts under its identity with a software version that is new to its service. Guards against an endpoint that is listed with its earlier
// version until the new one may be used, and gets streams of that version.
func TestRestartedEndpointIsNotListedWithFormerVersion(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	ls := newLeaderState(&Control{options: Options{Now: func() time.Time { return now }}}, 1)
	a := roster.Announcement{
		ID: "e", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: 1, Sequence: 9, Slots: 4, Software: "v1",
	}
	c.Assert(ls.admitsSoftware(a), quicktest.IsTrue)
	_, err := ls.announce(a)
	c.Assert(err, quicktest.IsNil)
	late := a
	late.Sequence, late.Software = 8, "v3"
	c.Check(ls.admitsSoftware(late), quicktest.IsTrue) // the roster refuses it
	a.Born, a.Sequence, a.Software = 2, 1, "v2"
	c.Check(ls.admitsSoftware(a), quicktest.IsFalse)
	c.Check(ls.endpoints(), quicktest.HasLen, 0)
	c.Check(ls.census.Versions("s"), quicktest.DeepEquals, []string{"v1", "v2"})
}

// An instance of an earlier release passes on announcements, without the software versions that they name. Guards against endpoints that are listed without
// their version beside others, against one that keeps its former version after a restart, and against losing those that are listed already.
func TestAnnouncementWithoutItsVersionIsNotListed(t *testing.T) {
	c := quicktest.New(t)
	leader, _ := leadingControl()
	named := soundAnnouncement("x", 1)
	named.Software = "v1"
	_, err := leader.Announce(t.Context(), named)
	c.Assert(err, quicktest.IsNil)
	leader.state.census.Restore(time.Now(), []origin.Software{softwareOf(named), {Service: "s"}})
	passOn := func(id string, last byte, born int64, sequence uint64) announceReply {
		a := soundAnnouncement(id, last)
		a.Born, a.Sequence = born, sequence
		reply, err := leader.handleAnnounce(t.Context(), "b", a)
		c.Assert(err, quicktest.IsNil)
		return reply
	}
	c.Check(passOn("y", 2, 5, 1).Leading, quicktest.IsFalse)
	c.Check(passOn("x", 1, 5, 2).Leading, quicktest.IsTrue)
	c.Assert(leader.state.endpoints(), quicktest.HasLen, 1)
	c.Check(leader.state.endpoints()[0].Software, quicktest.Equals, "v1")
	c.Check(passOn("x", 1, 6, 1).Leading, quicktest.IsFalse)
	c.Check(leader.state.endpoints(), quicktest.HasLen, 0)
	unnamed := soundAnnouncement("z", 3)
	c.Check(leader.state.lacksSoftware(unnamed), quicktest.IsTrue)
	unnamed.SoftwareStated = true
	c.Check(leader.state.lacksSoftware(unnamed), quicktest.IsFalse)
}
