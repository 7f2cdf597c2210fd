package control

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/council"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

// suspendable is a leader with one endpoint, which takes one transfer at a time. It can be suspended for six seconds, in which another leader is elected.
type suspendable struct {
	*Control
	group     errgroup.Group
	suspended atomic.Int64 // in nanoseconds
	replaced  bool
	orders    []time.Time // when orders were sent, by the clock that counts suspension
	pauseAt   string      // the call that is suspended: "State", "Connection" or "Answer"
	result    Result      // of orders
}

const suspension = 6 * time.Second

func newSuspendable(slots int) *suspendable {
	s := &suspendable{result: Accepted}
	now := func() time.Time { return time.Now().Add(time.Duration(s.suspended.Load())) }
	s.Control = New(WithSettings(deployment.Settings{Heartbeat: 1200, OrderLease: 3000}), WithLogger(slog.New(slog.DiscardHandler)), WithNow(now), WithEngines(Engines{
		State: func(ctx context.Context, _ report.Endpoint) (EngineState, error) {
			return EngineState{}, s.pause(ctx, "State")
		},
		Order: func(ctx context.Context, _ report.Endpoint, o Order) (Result, error) {
			if err := s.pause(ctx, "Connection"); err != nil {
				return "", err
			}
			if err := o.Permit(); err != nil {
				return "", err
			}
			s.orders = append(s.orders, now())
			return s.result, s.pause(ctx, "Answer")
		},
	}))
	s.options.Placer.MaxTransfers = 1
	s.Control.group = &s.group
	checkedAt := now()
	s.leadership = func() council.Leadership {
		if !s.replaced && s.suspended.Load() == 0 {
			checkedAt = now()
		}
		return council.Leadership{Leads: !s.replaced, Term: 5, CheckedAt: checkedAt}
	}
	s.state = newLeaderState(s.Control, 5)
	s.state.ordersFrom = now()
	s.state.index = document.NewIndex(document.Document{Services: []document.Service{{
		Name: "s", Engine: &document.Engine{AdapterSlots: slots, Models: []document.Model{{Name: "m"}}},
	}}})
	s.state.sync(report.Entry{Name: "entry", Known: knownEndpoints("x")})
	return s
}

func (s *suspendable) pause(ctx context.Context, call string) error {
	if s.pauseAt != call || len(s.orders) > 1 {
		return nil
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(20 * time.Millisecond):
	}
	return nil
}

// suspend passes six seconds in which nothing here runs. The voter has not run yet when it returns.
func (s *suspendable) suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.leadership() // the voter has run until now
	s.suspended.Store(int64(suspension))
}

// request asks for an adapter, and returns the function that waits for the answer.
func (s *suspendable) request(t *testing.T, name string) (answer func() report.PlacementReply) {
	done := make(chan report.PlacementReply, 1)
	s.group.Go(func() error {
		reply, err := s.handlePlace(t.Context(), "entry", report.PlacementRequest{Adapter: residency.Adapter{Model: "m", Name: name}})
		done <- reply
		return err
	})
	return func() report.PlacementReply { return <-done }
}

// A leader is suspended while an order waits, another one is elected, and it wakes. Guards against an order of the former leader, as seen 1.9 s after a thaw
// in review/3, and against telling the entry that its adapter is being loaded.
func TestWokenLeaderSendsNoOrder(t *testing.T) {
	for _, ended := range []bool{false, true} {
		for _, wait := range []string{"Transfer", "State", "Connection", "Answer"} {
			name := wait
			if ended {
				name += ", the leader has ended"
			}
			t.Run(name, func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					c := quicktest.New(t)
					s := newSuspendable(4)
					s.pauseAt = wait
					sent := 0
					if wait == "Transfer" {
						c.Assert(s.request(t, "first")().Leading, quicktest.IsTrue)
						sent = 1
					}
					answer := s.request(t, "second")
					time.Sleep(10 * time.Millisecond)
					s.suspend()
					woken := time.Now()
					if wait == "Answer" {
						sent = 1 // before the suspension
					}
					if ended {
						s.mu.Lock()
						s.replaced = true
						s.mu.Unlock()
						s.tick(t.Context())
						c.Check(answer().Leading, quicktest.IsFalse)
						c.Check(time.Since(woken) < time.Millisecond, quicktest.IsTrue, quicktest.Commentf("it waited on for %v", time.Since(woken)))
					} else {
						c.Check(answer().Leading, quicktest.IsFalse)
					}
					c.Assert(s.group.Wait(), quicktest.IsNil)
					c.Check(s.orders, quicktest.HasLen, sent)
				})
			})
		}
	}
}

// Guards against requests that wait for a place on at a leader that has ended, and against an answer of that leader to them.
func TestWaitForPlaceEndsWithLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := newSuspendable(1)
		c.Assert(s.state.placer.MayFreePlace(s.options.Now()), quicktest.IsTrue)
		answer := s.request(t, "second")
		time.Sleep(10 * time.Millisecond)
		s.suspend()
		woken := time.Now()
		s.mu.Lock()
		s.replaced = true
		s.mu.Unlock()
		s.tick(t.Context())
		c.Check(answer().Leading, quicktest.IsFalse)
		c.Check(time.Since(woken), quicktest.Equals, time.Duration(0))
		c.Assert(s.group.Wait(), quicktest.IsNil)
	})
}

// Guards against answers that a woken leader gives to entries and endpoints before its voter has heard the others, and against answers from the state of an
// earlier term by an instance that leads again.
func TestFormerLeaderAnswersNobody(t *testing.T) {
	for name, change := range map[string]func(s *suspendable){
		"woken":       (*suspendable).suspend,
		"leads again": func(s *suspendable) { s.state.term = 3 },
		"no majority heard since": func(s *suspendable) {
			s.leadership = func() council.Leadership {
				return council.Leadership{Leads: true, Term: 5, CheckedAt: s.options.Now(), Resumed: true}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				s := newSuspendable(4)
				s.state.limits["customer"] = quota.Limit{Rate: 1000, Burst: 1000}
				asked := func() (leading []bool) {
					ctx := t.Context()
					update, err := s.handleSync(ctx, "entry", report.Entry{Name: "entry"})
					c.Check(err, quicktest.IsNil)
					placed, err := s.handlePlace(ctx, "entry", report.PlacementRequest{Adapter: residency.Adapter{Model: "m", Name: "held-x"}})
					c.Check(err, quicktest.IsNil)
					loan, err := s.handleBorrow(ctx, "entry", report.LoanRequest{Customer: "customer", Requests: []float64{1}})
					c.Check(err, quicktest.IsNil)
					origin, err := s.handleOrigin(ctx, "entry", report.OriginRequest{Attempt: "1", Service: "s"})
					c.Check(err, quicktest.IsNil)
					announced, err := s.handleAnnounce(ctx, "instance", roster.Announcement{
						ID: "x", Service: "s", Address: knownEndpoints("x")[0].Endpoint.Address, Slots: 4, Born: 5, Sequence: 1, Models: []string{"m"},
					})
					c.Check(err, quicktest.IsNil)
					return []bool{update.Leading, placed.Leading, loan.Leading, origin.Leading, announced.Leading}
				}
				c.Check(asked(), quicktest.DeepEquals, []bool{true, true, true, true, true})
				change(s)
				c.Check(asked(), quicktest.DeepEquals, []bool{false, false, false, false, false})
				c.Check(s.gossipContact().Leader, quicktest.Equals, "")
				c.Check(s.state.propose(t.Context(), document.Command{Action: document.Quarantine}), quicktest.ErrorIs, errNotActing)
			})
		})
	}
}

// An endpoint answers an order as if it followed a newer leader, while the voter of this one still leads. Guards against an instance that answers no entry and no
// endpoint any more, although no other one leads, and against further orders.
func TestFencedLeaderAnswersEntries(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		s := newSuspendable(4)
		s.result = Fenced
		c.Check(s.request(t, "first")().Endpoint, quicktest.Equals, "")
		c.Check(s.request(t, "second")().Endpoint, quicktest.Equals, "")
		c.Assert(s.group.Wait(), quicktest.IsNil)
		c.Check(s.orders, quicktest.HasLen, 1)
		update, err := s.handleSync(t.Context(), "entry", report.Entry{Name: "entry"})
		c.Check(err, quicktest.IsNil)
		c.Check(update.Leading, quicktest.IsTrue)
		origin, err := s.handleOrigin(t.Context(), "entry", report.OriginRequest{Attempt: "1", Service: "s"})
		c.Check(err, quicktest.IsNil)
		c.Check(origin.Leading, quicktest.IsTrue)
	})
}
