package control

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/member/council"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
)

// leadingControl returns an instance that leads, and its log.
func leadingControl() (c *Control, log *bytes.Buffer) {
	log = &bytes.Buffer{}
	c = New(WithSettings(deployment.Settings{Heartbeat: 1200}), WithLogger(slog.New(slog.NewTextHandler(log, nil))), WithNow(time.Now))
	c.leadership = func() council.Leadership {
		return council.Leadership{Leads: true, Term: 1, CheckedAt: time.Now()}
	}
	c.state = newEngineLeaderState()
	c.state.control = c
	return c, log
}

func soundAnnouncement(id string, last byte) roster.Announcement {
	return roster.Announcement{
		ID: id, Service: "s", DataCentre: "east", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80), Born: 5, Sequence: 1,
		Slots: 4, Models: []string{"m"},
	}
}

// oddAnnouncements returns announcements that decode well.
func oddAnnouncements() (list []roster.Announcement) {
	long := strings.Repeat("x", 1<<20)
	holdings := make([]residency.Holding, 100_000)
	for i := range holdings {
		holdings[i] = residency.Holding{Adapter: residency.Adapter{Model: "m", Name: fmt.Sprint(i)}}
	}
	for _, change := range []func(a *roster.Announcement){
		func(a *roster.Announcement) { a.ID = long },
		func(a *roster.Announcement) { a.Service = long },
		func(a *roster.Announcement) { a.DataCentre = long },
		func(a *roster.Announcement) { a.Models = []string{long} },
		func(a *roster.Announcement) { a.Holdings = holdings },
		func(a *roster.Announcement) {
			a.Holdings = []residency.Holding{{Adapter: residency.Adapter{Model: "m", Name: long}}}
		},
		func(a *roster.Announcement) { a.Address = netip.MustParseAddrPort("[fe80::1%" + long + "]:80") },
		func(a *roster.Announcement) { a.Slots = math.MaxInt },
		func(a *roster.Announcement) { a.Slots = math.MinInt },
		func(a *roster.Announcement) { a.Born = math.MinInt64 },
		func(a *roster.Announcement) { a.ID = "\xff" },
	} {
		a := soundAnnouncement("odd", 9)
		change(&a)
		list = append(list, a)
	}
	return list
}

// Another writer's announcements reach a leader, also by way of an instance that does not check them. Guards against ending the leader,
// against log lines as long as what was sent, and against losing other endpoints.
func TestOddAnnouncementIsRefusedAlone(t *testing.T) {
	for i, odd := range oddAnnouncements() {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			c := quicktest.New(t)
			leader, log := leadingControl()
			_, err := leader.handleAnnounce(t.Context(), "b", soundAnnouncement("x", 1))
			c.Assert(err, quicktest.IsNil)
			log.Reset()
			reply, err := leader.handleAnnounce(t.Context(), "b", odd)
			c.Assert(err, quicktest.IsNil)
			c.Check(reply.Invalid, quicktest.IsTrue)
			_, err = leader.Announce(t.Context(), odd)
			c.Check(errs.Is(err, roster.ErrInvalid), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Check(log.Len() > 0 && log.Len() < 8<<10, quicktest.IsTrue, quicktest.Commentf("%d bytes of log", log.Len()))
			next := soundAnnouncement("x", 1)
			next.Sequence = 2
			reply, err = leader.handleAnnounce(t.Context(), "b", next)
			c.Assert(err, quicktest.IsNil)
			c.Check(reply, quicktest.Equals, announceReply{Leading: true})
			leader.mu.Lock()
			defer leader.mu.Unlock()
			leader.state.tick(t.Context())
			u := leader.state.sync(report.Entry{Name: "e"})
			c.Assert(u.Endpoints, quicktest.HasLen, 1)
			c.Check(u.Endpoints[0].ID, quicktest.Equals, "x")
		})
	}
}

// An instance that does not lead gets another writer's announcement. Guards against passing it on to the leader.
func TestOddAnnouncementIsNotPassedOn(t *testing.T) {
	c := quicktest.New(t)
	follower := New(WithLogger(slog.New(slog.DiscardHandler)))
	for _, odd := range oddAnnouncements() {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := follower.Announce(ctx, odd)
		cancel()
		c.Check(errs.Is(err, roster.ErrInvalid), quicktest.IsTrue, quicktest.Commentf("%v", err))
	}
}

// The leader lists as many endpoints as it may. Guards against acknowledging an announcement that it does not record.
func TestAnnouncementToFullRosterIsNotAcknowledged(t *testing.T) {
	c := quicktest.New(t)
	leader, _ := leadingControl()
	o := roster.DefaultOptions()
	o.MaxEndpoints = 1
	leader.state.roster = roster.New(o)
	_, err := leader.Announce(t.Context(), soundAnnouncement("x", 1))
	c.Assert(err, quicktest.IsNil)
	_, err = leader.Announce(t.Context(), soundAnnouncement("y", 2))
	c.Check(errs.Is(err, roster.ErrFull), quicktest.IsTrue, quicktest.Commentf("%v", err))
}
