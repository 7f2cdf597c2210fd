package directory_test

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"pgregory.net/rapid"

	"lycheevale/internal/member/directory"
)

// seed is fixed so that every run generates the same schedules.
const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 1000) }

var (
	epoch   = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	address = netip.MustParseAddrPort("127.0.0.1:9000")
)

func announcement(name string, incarnation uint64) directory.Announcement {
	return directory.Announcement{Name: name, DataCentre: "suva-a", Address: address, Incarnation: incarnation, Kind: directory.Engine}
}

// endpoints is the number of endpoints in a schedule and the limit of the directory. A lower limit would let the
// directory forget removed endpoints.
const endpoints = 5

// schedule announces endpoints in random order and returns the first violation.
func schedule(opts ...directory.Option) *rapid.Generator[error] {
	return rapid.Custom(func(t *rapid.T) error {
		d := directory.New(append([]directory.Option{directory.WithLimits(endpoints, 1)}, opts...)...)
		now := epoch
		highest, fences := map[string]uint64{}, map[string]uint64{}
		left := map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			a := announcement(fmt.Sprint("e", rapid.IntRange(1, endpoints).Draw(t, "endpoint")), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
			a.Leaving, a.HighestFence = rapid.Bool().Draw(t, "leaving"), uint64(rapid.IntRange(0, 9).Draw(t, "fence"))
			d.Expire(now)
			_, err := d.Announce(now, a)
			e, _ := d.Endpoint(a.Name)
			key := fmt.Sprint(a.Name, "/", a.Incarnation)
			if err == nil {
				fences[a.Name] = max(fences[a.Name], a.HighestFence)
				if _, seen := left[key]; a.Leaving && !seen {
					left[key] = now
				}
			}
			at, leaving := left[key]
			switch {
			case err == nil && a.Incarnation < highest[a.Name]:
				return fmt.Errorf("%s: incarnation %d after %d", a.Name, a.Incarnation, highest[a.Name])
			case err == nil && e.HighestFence != fences[a.Name]:
				return fmt.Errorf("%s: fence %d instead of %d", a.Name, e.HighestFence, fences[a.Name])
			case err == nil && leaving && e.AcceptsWork(now) && now.Sub(at) >= 2*time.Second:
				return fmt.Errorf("%s accepts work %v after it announced that it is leaving", key, now.Sub(at))
			}
			if err == nil {
				highest[a.Name] = a.Incarnation
			}
		}
		return nil
	})
}

// Guards against delayed announcements that restore an older incarnation or a leaving endpoint.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	g := schedule()
	rapid.Check(t, func(rt *rapid.T) {
		if err := g.Draw(rt, "violation"); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a check that does not detect the violation it looks for.
func TestMutationsAreDetected(t *testing.T) {
	for name, opt := range map[string]directory.Option{
		"ignore older":     directory.WithIgnoreOlder(func(uint64, uint64) bool { return false }),
		"leaving is final": directory.WithLeavingIsFinal(func() bool { return false }),
		"grace":            directory.WithGrace(time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			g := schedule(opt)
			for i := range 1000 {
				if g.Example(i) != nil {
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against a delayed message that restores an expired entry.
func TestRemovedIncarnationIsRemembered(t *testing.T) {
	c := quicktest.New(t)
	d := directory.New()
	_, err := d.Announce(epoch, announcement("e", 2))
	c.Assert(err, quicktest.IsNil)
	_, err = d.Heartbeat(epoch, directory.Instance{Name: "i", Address: address, Incarnation: 5})
	c.Assert(err, quicktest.IsNil)
	c.Assert(d.Expire(epoch.Add(9*time.Second)), quicktest.DeepEquals, directory.Removed{})
	now := epoch.Add(10 * time.Second)
	c.Assert(d.Expire(now), quicktest.DeepEquals, directory.Removed{Endpoints: []string{"e"}, Instances: []string{"i"}})
	_, err = d.Announce(now, announcement("e", 1))
	c.Assert(err, quicktest.ErrorIs, directory.ErrOutdated)
	_, err = d.Heartbeat(now, directory.Instance{Name: "i", Address: address, Incarnation: 4})
	c.Assert(err, quicktest.ErrorIs, directory.ErrOutdated)
	d.Expire(now.Add(3 * time.Minute))
	changed, err := d.Announce(now.Add(3*time.Minute), announcement("e", 1))
	c.Assert(err, quicktest.IsNil)
	c.Assert(changed, quicktest.IsTrue)
}

// Guards against memory use that grows with each announced name.
func TestRemovedEntriesAreBounded(t *testing.T) {
	c := quicktest.New(t)
	d := directory.New(directory.WithLimits(1, 1))
	for i, name := range []string{"e", "f"} {
		at := epoch.Add(time.Duration(i) * 20 * time.Second)
		d.Expire(at)
		_, err := d.Announce(at, announcement(name, 2))
		c.Assert(err, quicktest.IsNil)
	}
	now := epoch.Add(40 * time.Second)
	d.Expire(now)
	_, err := d.Announce(now, announcement("f", 1))
	c.Check(err, quicktest.ErrorIs, directory.ErrOutdated)
	_, err = d.Announce(now, announcement("e", 1))
	c.Check(err, quicktest.IsNil)
}

// Guards against announcements that cannot be served or would exhaust memory or fencing numbers.
func TestRefusals(t *testing.T) {
	c := quicktest.New(t)
	d := directory.New(directory.WithDataCentre("suva-a"), directory.WithLimits(1, 1))
	for want, edit := range map[error]func(*directory.Announcement){
		directory.ErrInvalid:         func(a *directory.Announcement) { a.HighestFence = 1 << 63 },
		directory.ErrIncomplete:      func(a *directory.Announcement) { a.Address = netip.AddrPort{} },
		directory.ErrWrongDataCentre: func(a *directory.Announcement) { a.DataCentre = "labasa-a" },
	} {
		a := announcement("e", 1)
		edit(&a)
		_, err := d.Announce(epoch, a)
		c.Check(err, quicktest.ErrorIs, want)
	}
	_, err := d.Announce(epoch, announcement("e", 1))
	c.Assert(err, quicktest.IsNil)
	_, err = d.Announce(epoch, announcement("f", 1))
	c.Check(err, quicktest.ErrorIs, directory.ErrFull)
	moved := announcement("e", 1)
	moved.Address = netip.MustParseAddrPort("127.0.0.1:9001")
	_, err = d.Announce(epoch, moved)
	c.Check(err, quicktest.ErrorIs, directory.ErrConflict)
}

// Another writer announces an endpoint with values that decode well and break later: sums of places that overflow, an address to which nothing can
// be sent or which is the sender itself, an incarnation that none can follow. Guards against listing it, and against losing the endpoint it names.
func TestOddAnnouncementsAreRefusedAlone(t *testing.T) {
	at := func(text string) func(*directory.Announcement) {
		return func(a *directory.Announcement) { a.Address = netip.MustParseAddrPort(text) }
	}
	long := strings.Repeat("x", 129)
	for name, edit := range map[string]func(*directory.Announcement){
		"any address":            at("0.0.0.0:9000"),
		"any address and port":   at("0.0.0.0:0"),
		"port 0":                 at("127.0.0.1:0"),
		"multicast":              at("224.0.0.1:9000"),
		"address with a zone":    at("[fe80::1%" + long + "]:9000"),
		"negative slots":         func(a *directory.Announcement) { a.Slots = -1 },
		"slots beyond 32 bits":   func(a *directory.Announcement) { a.Slots = 1 << 31 },
		"slots that overflow":    func(a *directory.Announcement) { a.Slots = math.MaxInt },
		"batch that overflows":   func(a *directory.Announcement) { a.BatchSize = math.MaxInt },
		"last incarnation":       func(a *directory.Announcement) { a.Incarnation = math.MaxUint64 },
		"last fencing number":    func(a *directory.Announcement) { a.HighestFence = math.MaxUint64 },
		"no name":                func(a *directory.Announcement) { a.Name = "" },
		"long name":              func(a *directory.Announcement) { a.Name = long },
		"name with a line break": func(a *directory.Announcement) { a.Name = "a\r\nb" },
		"name that is no UTF-8":  func(a *directory.Announcement) { a.Name = "a\xff" },
		"long model":             func(a *directory.Announcement) { a.Model = long },
		"unknown kind":           func(a *directory.Announcement) { a.Kind = "Odd" },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			d := directory.New(directory.WithDataCentre("suva-a"))
			_, err := d.Announce(epoch, announcement("e", 1))
			c.Assert(err, quicktest.IsNil)
			odd := announcement("e", 2)
			edit(&odd)
			_, err = d.Announce(epoch, odd)
			c.Check(errs.Is(err, directory.ErrInvalid) || errs.Is(err, directory.ErrIncomplete), quicktest.IsTrue, quicktest.Commentf("%v", err))
			_, err = d.Announce(epoch, announcement("e", 1))
			c.Check(err, quicktest.IsNil)
			c.Check(d.Snapshot().Endpoints, quicktest.HasLen, 1)
		})
	}
	c := quicktest.New(t)
	d := directory.New(directory.WithDataCentre("suva-a"))
	unusual := announcement("a/b", 1)
	unusual.Slots, unusual.BatchSize = 1<<16-1, 1<<16-1
	_, err := d.Announce(epoch, unusual)
	c.Check(err, quicktest.IsNil)
}
