package roster_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/member/roster"
)

var epoch = time.Unix(1_800_000_000, 0)

func announcement(id string, born int64, sequence uint64) roster.Announcement {
	return roster.Announcement{
		ID: id, Service: "s", DataCentre: "east", Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: born, Sequence: sequence,
		Slots: 4,
	}
}

func ids(r *roster.Roster) (list []string) {
	for _, e := range r.Endpoints() {
		id := e.ID
		if e.Leaving {
			id += " leaving"
		}
		list = append(list, id)
	}
	return list
}

// Guards against a late announcement that overwrites a newer one.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	leaving := announcement("a", 1, 5)
	leaving.Leaving = true
	_, err := r.Announce(epoch, leaving)
	c.Assert(err, quicktest.IsNil)
	_, err = r.Announce(epoch, announcement("a", 1, 4))
	c.Check(errs.Is(err, roster.ErrOutdated), quicktest.IsTrue)
	_, err = r.Announce(epoch, announcement("a", 1, 6))
	c.Assert(err, quicktest.IsNil)
	c.Check(ids(r), quicktest.DeepEquals, []string{"a leaving"})
}

// Guards against a restarted endpoint that is treated as its earlier incarnation, which has left.
func TestRestartedEndpointServesAgain(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	for _, a := range []roster.Announcement{announcement("a", 1, 5), {ID: "a", Gone: true}, announcement("a", 2, 1)} {
		_, err := r.Announce(epoch, a)
		c.Assert(err, quicktest.IsNil)
	}
	c.Check(ids(r), quicktest.DeepEquals, []string{"a"})
}

// Guards against an announcement that arrives after its sender has left and restores it.
func TestDelayedAnnouncementAfterGoneIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	_, err := r.Announce(epoch, announcement("a", 1, 5))
	c.Assert(err, quicktest.IsNil)
	_, err = r.Announce(epoch, roster.Announcement{ID: "a", Gone: true, Born: 1})
	c.Assert(err, quicktest.IsNil)
	_, err = r.Announce(epoch.Add(20*time.Second), announcement("a", 1, 9))
	c.Check(errs.Is(err, roster.ErrOutdated), quicktest.IsTrue)
	c.Check(ids(r), quicktest.HasLen, 0)
}

// Guards against requests to an endpoint whose address another endpoint uses now, and against an old announcement that
// assigns the address to its former endpoint.
func TestAddressBelongsToLatestEndpoint(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	_, err := r.Announce(epoch, announcement("old", 1, 9))
	c.Assert(err, quicktest.IsNil)
	_, err = r.Announce(epoch, announcement("new", 2, 1))
	c.Assert(err, quicktest.IsNil)
	_, err = r.Announce(epoch, announcement("old", 1, 10))
	c.Check(errs.Is(err, roster.ErrOutdated), quicktest.IsTrue)
	c.Check(ids(r), quicktest.DeepEquals, []string{"new"})
}

// Guards against removing all endpoints after this process was suspended.
func TestSuspendedProcessExpiresNoEndpoint(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	_, err := r.Announce(epoch, announcement("a", 1, 1))
	c.Assert(err, quicktest.IsNil)
	r.Expire(epoch.Add(time.Second))
	c.Check(r.Expire(epoch.Add(time.Minute)), quicktest.HasLen, 0)
	for s := range 7 {
		expired := r.Expire(epoch.Add(time.Minute + time.Duration(s)*time.Second))
		c.Check(len(expired) > 0, quicktest.Equals, s == 5, quicktest.Commentf("second %d", s))
	}
}

// Guards against announcements that are not valid, as other implementations may send them.
func TestInvalidAnnouncements(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	for _, change := range []func(a *roster.Announcement){
		func(a *roster.Announcement) { a.ID = "" },
		func(a *roster.Announcement) { a.Service = "" },
		func(a *roster.Announcement) { a.Address = netip.AddrPort{} },
		func(a *roster.Announcement) { a.Slots = -1 },
	} {
		a := announcement("a", 1, 1)
		change(&a)
		_, err := r.Announce(epoch, a)
		c.Check(errs.Is(err, roster.ErrInvalid), quicktest.IsTrue)
	}
}

// Guards against an inherited endpoint that stays without announcing itself or replaces something newer.
func TestInheritedEndpointHasToAnnounceItself(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	c.Check(r.Inherit(epoch, announcement("a", 5, 7)), quicktest.IsTrue)
	c.Check(r.Inherit(epoch, announcement("b", 6, 1)), quicktest.IsFalse, quicktest.Commentf("another endpoint has the address"))
	_, err := r.Announce(epoch, announcement("a", 4, 9))
	c.Check(errs.Is(err, roster.ErrOutdated), quicktest.IsTrue)
	_, err = r.Announce(epoch, announcement("a", 5, 2))
	c.Check(err, quicktest.IsNil)
	c.Check(r.RemoveInherited("a"), quicktest.IsFalse)

	r = roster.New(roster.DefaultOptions())
	c.Check(r.Inherit(epoch, announcement("a", 5, 7)), quicktest.IsTrue)
	c.Check(r.Expire(epoch.Add(roster.DefaultOptions().ExpireAfter)), quicktest.DeepEquals, []string{"a"})

	_, err = r.Announce(epoch, announcement("a", 5, 3))
	c.Assert(err, quicktest.IsNil)
	gone := announcement("a", 5, 0)
	gone.Gone = true
	_, err = r.Announce(epoch, gone)
	c.Assert(err, quicktest.IsNil)
	c.Check(r.Inherit(epoch, announcement("a", 5, 7)), quicktest.IsFalse, quicktest.Commentf("this incarnation has ended"))
}
