package control

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Dozens of requests wait for a place at full endpoints. Guards against a leader that is busy with repeating the search for each
// of them, as seen in a large deployment, and against serving later requests first.
func TestFreePlacesWakeWaitersInOrder(t *testing.T) {
	c := quicktest.New(t)
	ls := &leaderState{}
	first, second, third := ls.addWaiter(), ls.addWaiter(), ls.addWaiter()
	ls.wakeWaiters(0)
	c.Check(isClosed(first), quicktest.IsFalse)
	ls.wakeWaiters(2)
	c.Check([]bool{isClosed(first), isClosed(second), isClosed(third)}, quicktest.DeepEquals, []bool{true, true, false})
	ls.wakeWaiters(5)
	c.Check(isClosed(third), quicktest.IsTrue)
	c.Check(ls.waiters, quicktest.HasLen, 0)
}

// Guards against counting the active requests of an entry after its next report, or after it has stopped reporting.
func TestActiveRequestsAreCountedOnce(t *testing.T) {
	c := quicktest.New(t)
	ls := newTestLeaderState()
	now := ls.since
	ls.recordActive(now, report.Entry{Name: "a", Active: map[string]int{"x": 3, "y": 1}})
	ls.recordActive(now, report.Entry{Name: "b", Active: map[string]int{"x": 2}})
	c.Check(ls.active, quicktest.DeepEquals, map[string]int{"x": 5, "y": 1})
	ls.recordActive(now, report.Entry{Name: "a", Active: map[string]int{"x": 1}})
	c.Check(ls.active, quicktest.DeepEquals, map[string]int{"x": 3})
	ls.removeSilentEntries(now.Add(entrySilence))
	c.Check(ls.active, quicktest.HasLen, 0)
}

func newTestLeaderState() *leaderState {
	return newLeaderState(New(WithSettings(deployment.Settings{Heartbeat: 1200})), 1)
}

func knownEndpoints(ids ...string) (list []report.KnownEndpoint) {
	for i, id := range ids {
		list = append(list, report.KnownEndpoint{
			Endpoint: report.Endpoint{
				ID: id, Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), Slots: 4, Born: 5,
				Models: []string{"m"},
			},
			Holdings: []residency.Holding{{Adapter: residency.Adapter{Model: "m", Name: "held-" + id}}},
		})
	}
	return list
}

// newEngineLeaderState returns the leader of a deployment with one model service, whose endpoints it does not know yet.
func newEngineLeaderState() *leaderState {
	ls := newTestLeaderState()
	ls.index = document.NewIndex(document.Document{Services: []document.Service{{
		Name: "s", Engine: &document.Engine{AdapterSlots: 4, WeightMB: 1000, Models: []document.Model{{Name: "m"}}},
	}}})
	return ls
}

// All control instances restart, and a new leader is asked for adapters before the endpoints have announced themselves. Guards
// against refusing those requests for one heartbeat interval, as happened after each change of the leader.
func TestNewLeaderInheritsEndpoints(t *testing.T) {
	c := quicktest.New(t)
	ls := newEngineLeaderState()
	u := ls.sync(report.Entry{Name: "a", Term: 0, Directory: 8})
	c.Assert(u.Tell, quicktest.IsTrue)
	c.Check(ls.sync(report.Entry{Name: "fresh"}).Tell, quicktest.IsFalse, quicktest.Commentf("the entry knows no endpoints"))
	ls.sync(report.Entry{Name: "a", Term: ls.term, Known: knownEndpoints("x", "y")})
	c.Check(ls.endpoints(), quicktest.HasLen, 2)
	choice, ok := ls.placer.Want(ls.now(), residency.Adapter{Model: "m", Name: "held-y"}, "", false)
	c.Assert(ok, quicktest.IsTrue)
	c.Check(choice.Endpoint, quicktest.Equals, "y")
	c.Check(choice.Order, quicktest.IsFalse)

	// An endpoint that another entry does not know has to announce itself.
	ls.sync(report.Entry{Name: "b", Term: ls.term, Known: knownEndpoints("x")})
	c.Check(ls.endpoints(), quicktest.HasLen, 1)

	// An announcement with the same start time keeps loads in progress, one after a restart does not.
	choice, ok = ls.placer.Want(ls.now(), residency.Adapter{Model: "m", Name: "new"}, "", false)
	c.Assert(ok && choice.Order, quicktest.IsTrue)
	a := roster.Announcement{ID: "x", Service: "s", Address: knownEndpoints("x")[0].Endpoint.Address, Slots: 4, Born: 5, Models: []string{"m"}}
	_, err := ls.announce(a)
	c.Assert(err, quicktest.IsNil)
	_, waits := ls.placer.ReadyAt("x", choice.Holding.Adapter)
	c.Check(waits, quicktest.IsTrue)
	a.Born = 6
	_, err = ls.announce(a)
	c.Assert(err, quicktest.IsNil)
	_, waits = ls.placer.ReadyAt("x", choice.Holding.Adapter)
	c.Check(waits, quicktest.IsFalse)
}

// The leader of a busy deployment is replaced and leads again two seconds later. Guards against an endpoint that gets orders of two
// leaders alternately within the lease, as seen in inkrow-grown, scale-1 --seed 590003855739.
func TestReturningLeaderDelaysOrders(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct {
		name    string
		fencing bool
		led     leadPeriod
		term    uint64
		waits   bool
	}{
		{"first leader", true, leadPeriod{}, 1, false},
		{"follows another one", true, leadPeriod{}, 5, false},
		{"endpoints do not check", false, leadPeriod{}, 5, true},
		{"leads again after another one", true, leadPeriod{term: 4, until: time.Unix(100, 0)}, 6, true},
		{"leads on in the next term", true, leadPeriod{term: 4, until: time.Unix(100, 0)}, 5, false},
		{"led long ago", true, leadPeriod{term: 4, until: time.Unix(90, 0)}, 6, false},
	} {
		now := time.Unix(102, 0)
		control := New(WithSettings(deployment.Settings{OrderLease: 3000, Fencing: test.fencing}), WithNow(func() time.Time { return now }))
		control.lastLed = test.led
		ls := newLeaderState(control, test.term)
		c.Check(ls.mayOrder(), quicktest.Equals, !test.waits, quicktest.Commentf("%s", test.name))
		now = now.Add(3 * time.Second)
		c.Check(ls.mayOrder(), quicktest.IsTrue, quicktest.Commentf("%s", test.name))
	}
}

// Half of the orders get no answer for seconds, from endpoints that otherwise answer in 5 ms (fault applied_late). Guards against
// waiting for each of them as long as the farthest endpoint may take, while requests wait for their adapter.
func TestOrderTimeoutFollowsAnswerTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		orders := 0
		engines := Engines{
			State: func(context.Context, report.Endpoint) (EngineState, error) {
				time.Sleep(5 * time.Millisecond)
				return EngineState{}, nil
			},
			Order: func(ctx context.Context, _ report.Endpoint, _ Order) (Result, error) {
				if orders++; orders%2 == 0 {
					<-ctx.Done()
					return "", ctx.Err()
				}
				time.Sleep(5 * time.Millisecond)
				return Accepted, nil
			},
		}
		ls := newLeaderState(New(WithSettings(deployment.Settings{Heartbeat: 1200}), WithEngines(engines), WithNow(time.Now)), 1)
		l := &orderQueue{}
		started := time.Now()
		const pairs = 10
		for range pairs {
			c.Assert(ls.fetchState(t.Context(), report.Endpoint{}, l), quicktest.IsNil)
			for range 2 {
				_, _ = ls.sendOrder(t.Context(), report.Endpoint{}, l, orderJob{load: true}) // every other one fails
			}
		}
		took := time.Since(started)
		c.Check(took <= pairs*130*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
	})
}

// The deputies report to a new leader one after the other. Guards against entries that keep the list of deputies from their first
// report.
func TestEntriesLearnAllDeputies(t *testing.T) {
	c := quicktest.New(t)
	ls := newTestLeaderState()
	ls.pool.Appoint(quota.Appointment{Deputies: []string{"a", "b"}})
	first := ls.sync(report.Entry{Name: "a", Address: netip.MustParseAddr("10.0.0.1")})
	c.Check(first.Deputies, quicktest.HasLen, 1)
	second := ls.sync(report.Entry{Name: "b", Address: netip.MustParseAddr("10.0.0.2")})
	c.Check(second.Deputies, quicktest.HasLen, 2)
	c.Check(ls.sync(report.Entry{Name: "a", Term: ls.term, Deputies: first.DeputyChange}).Deputies, quicktest.HasLen, 2)
	c.Check(ls.sync(report.Entry{Name: "a", Term: ls.term, Deputies: second.DeputyChange}).Deputies, quicktest.HasLen, 0)
}
