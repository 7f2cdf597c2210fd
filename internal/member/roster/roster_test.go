package roster_test

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
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

// Another writer announces an endpoint that no request can be sent to, or that breaks later what reads it. Guards against listing it, and against
// losing another endpoint by it.
func TestInvalidAnnouncements(t *testing.T) {
	holding := func(model, name string, version int) []residency.Holding {
		return []residency.Holding{{Adapter: residency.Adapter{Model: model, Name: name}, Version: version}}
	}
	long := strings.Repeat("x", 129)
	for name, change := range map[string]func(a *roster.Announcement){
		"no ID":                     func(a *roster.Announcement) { a.ID = "" },
		"long ID":                   func(a *roster.Announcement) { a.ID = long },
		"ID with a line break":      func(a *roster.Announcement) { a.ID = "b\r\nc" },
		"ID with spaces":            func(a *roster.Announcement) { a.ID = " b" },
		"ID that is no UTF-8":       func(a *roster.Announcement) { a.ID = "b\xff" },
		"no service":                func(a *roster.Announcement) { a.Service = "" },
		"service that is no UTF-8":  func(a *roster.Announcement) { a.Service = "s\xff" },
		"long data centre":          func(a *roster.Announcement) { a.DataCentre = long },
		"no address":                func(a *roster.Announcement) { a.Address = netip.AddrPort{} },
		"any address":               func(a *roster.Announcement) { a.Address = netip.MustParseAddrPort("0.0.0.0:80") },
		"any address and port":      func(a *roster.Announcement) { a.Address = netip.MustParseAddrPort("0.0.0.0:0") },
		"port 0":                    func(a *roster.Announcement) { a.Address = netip.MustParseAddrPort("10.0.0.2:0") },
		"multicast address":         func(a *roster.Announcement) { a.Address = netip.MustParseAddrPort("224.0.0.1:80") },
		"address with a zone":       func(a *roster.Announcement) { a.Address = netip.MustParseAddrPort("[fe80::1%" + long + "]:80") },
		"negative slots":            func(a *roster.Announcement) { a.Slots = -1 },
		"no slots":                  func(a *roster.Announcement) { a.Slots = 0 },
		"slots beyond 32 bits":      func(a *roster.Announcement) { a.Slots = 1 << 31 },
		"slots that overflow":       func(a *roster.Announcement) { a.Slots = math.MaxInt },
		"negative start":            func(a *roster.Announcement) { a.Born = -1 },
		"start far in the future":   func(a *roster.Announcement) { a.Born = math.MaxInt64 },
		"last sequence number":      func(a *roster.Announcement) { a.Sequence = math.MaxUint64 },
		"100,000 models":            func(a *roster.Announcement) { a.Models = numbered(100_000) },
		"model without a name":      func(a *roster.Announcement) { a.Models = []string{""} },
		"model with a long name":    func(a *roster.Announcement) { a.Models = []string{long} },
		"100,000 adapters":          func(a *roster.Announcement) { a.Holdings = adapters(100_000) },
		"adapter without a name":    func(a *roster.Announcement) { a.Holdings = holding("m", "", 1) },
		"adapter with a long name":  func(a *roster.Announcement) { a.Holdings = holding("m", long, 1) },
		"adapter without a model":   func(a *roster.Announcement) { a.Holdings = holding("", "a", 1) },
		"negative adapter version":  func(a *roster.Announcement) { a.Holdings = holding("m", "a", -1) },
		"adapter version too large": func(a *roster.Announcement) { a.Holdings = holding("m", "a", math.MaxInt) },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			r := roster.New(roster.DefaultOptions())
			_, err := r.Announce(epoch, announcement("a", 5, 5))
			c.Assert(err, quicktest.IsNil)
			odd := announcement("a", 5, 6)
			change(&odd)
			_, err = r.Announce(epoch, odd)
			c.Check(errs.Is(err, roster.ErrInvalid), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(roster.New(roster.DefaultOptions()).Inherit(epoch, odd), quicktest.IsFalse)
			_, err = r.Announce(epoch, announcement("a", 5, 6))
			c.Check(err, quicktest.IsNil)
			c.Check(ids(r), quicktest.DeepEquals, []string{"a"})
		})
	}
}

func numbered(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint("n", i))
	}
	return list
}

func adapters(n int) (list []residency.Holding) {
	for _, name := range numbered(n) {
		list = append(list, residency.Holding{Adapter: residency.Adapter{Model: "m", Name: name}, Version: 1})
	}
	return list
}

// Guards against refusing announcements that are unusual and sound: an engine with many adapters, two versions of one adapter, a model twice, an
// ID with slashes, an endpoint that states neither its start nor its data centre.
func TestUnusualAnnouncements(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	a := announcement("a/b/../c", 0, 1)
	a.DataCentre, a.Slots, a.Models, a.Holdings = "", 4096, []string{"m", "m"}, append(adapters(4095), residency.Holding{
		Adapter: residency.Adapter{Model: "m", Name: "n1"}, Version: 2,
	})
	_, err := r.Announce(epoch, a)
	c.Check(err, quicktest.IsNil)
	c.Check(ids(r), quicktest.DeepEquals, []string{"a/b/../c"})
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

// One announcement names the address of another endpoint, which goes on announcing itself. Guards against refusing that endpoint for longer than the
// other announcement is valid.
func TestDisplacedEndpointReturns(t *testing.T) {
	for _, announced := range []int{1, 2} {
		c := quicktest.New(t)
		r := roster.New(roster.DefaultOptions())
		_, err := r.Announce(epoch, announcement("sound", 5, 1))
		c.Assert(err, quicktest.IsNil)
		for n := range announced {
			_, err = r.Announce(epoch, announcement("odd", 6, uint64(n+1)))
			c.Assert(err, quicktest.IsNil)
		}
		c.Check(ids(r), quicktest.DeepEquals, []string{"odd"})
		r.Expire(epoch)
		expireAfter := roster.DefaultOptions().ExpireAfter
		for at := time.Duration(0); at <= expireAfter; at += time.Second {
			r.Expire(epoch.Add(at))
		}
		_, err = r.Announce(epoch.Add(expireAfter), announcement("sound", 5, 9))
		// An endpoint that announces itself repeatedly has the address.
		c.Check(err == nil, quicktest.Equals, announced == 1, quicktest.Commentf("announced %d times: %v", announced, err))
	}
}

// Another writer names more endpoints as stopped than there are. Guards against remembering all of them.
func TestStoppedEndpointsAreBounded(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.Options{ExpireAfter: time.Hour, Retention: time.Hour, MaxEndpoints: 100})
	for i := range 1000 {
		_, err := r.Announce(epoch, roster.Announcement{ID: fmt.Sprint("gone-", i), Gone: true, Born: 5})
		c.Assert(err, quicktest.IsNil)
		_, err = r.Announce(epoch, announcement(fmt.Sprint("moved-", i), int64(i+5), 1)) // all have one address
		c.Assert(err, quicktest.IsNil)
	}
	c.Check(r.Ended() <= 100, quicktest.IsTrue, quicktest.Commentf("%d remembered", r.Ended()))
	c.Check(ids(r), quicktest.DeepEquals, []string{"moved-999"})
	_, err := r.Announce(epoch, announcement("moved-998", 1003, 2))
	c.Check(errs.Is(err, roster.ErrOutdated), quicktest.IsTrue)
}

// A late or odd announcement of a running endpoint names another software version, or none. Guards against streams that go on at an endpoint whose version
// is not the one that runs, and against a restarted endpoint that keeps its earlier version.
func TestSoftwareChangesOnlyWithIncarnation(t *testing.T) {
	c := quicktest.New(t)
	r := roster.New(roster.DefaultOptions())
	for sequence, test := range []struct {
		born           int64
		announced, set string
	}{{1, "v1", "v1"}, {1, "v2", "v1"}, {1, "", "v1"}, {2, "v2", "v2"}} {
		a := announcement("a", test.born, uint64(sequence+1))
		a.Software = test.announced
		_, err := r.Announce(epoch, a)
		c.Assert(err, quicktest.IsNil)
		c.Check(r.Endpoints()[0].Software, quicktest.Equals, test.set, quicktest.Commentf("%+v", test))
	}
}
