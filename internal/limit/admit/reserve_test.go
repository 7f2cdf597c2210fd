package admit

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
)

// Guards against wrong outcomes of Reserve for customers without a limit, invalid requests and an unreachable
// coordinator, and against refusals that come late or without the time to retry.
func TestReserveOutcomes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		limits := map[string]registry.Customer{"limited": {Rate: 10, Burst: 100}, "unlimited": {}}
		coordinator := NewCoordinator(time.Now(), 1)
		coordinator.SetCustomer(time.Now(), "limited", limits["limited"])
		coordinator.SetShare(time.Now(), registry.Share{Customer: "limited", Rate: 10, Burst: 100, Epoch: 1, Confirmed: true})
		server, up := NewServer(coordinator), true
		a := New(
			WithLimit(func(name string) (registry.Customer, bool) { l, ok := limits[name]; return l, ok }),
			WithCoordinator(func() (string, bool) { return "c", true }),
			WithCall(func(ctx context.Context, _, method string, params, result any) (err error) {
				time.Sleep(time.Millisecond)
				switch {
				case !up:
					return errs.New("down")
				case method == MethodBorrow:
					*result.(*BorrowReply), err = server.Borrow(ctx, "i", *params.(*BorrowRequest))
				default:
					*result.(*ReturnReply), err = server.Return(ctx, "i", *params.(*ReturnRequest))
				}
				return err
			}))
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return a.Run(ctx) })
		time.Sleep(20 * time.Second)

		reserve := func(customer string, tokens float64, left time.Duration) (*refusal.Error, time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), left)
			defer cancel()
			start := time.Now()
			if _, err := a.Reserve(ctx, customer, tokens); err != nil {
				return refusal.From(err), time.Since(start)
			}
			return nil, time.Since(start)
		}
		for _, customer := range []string{"", "unlimited"} {
			err, waited := reserve(customer, 1e12, time.Second)
			c.Check(err == nil && waited == 0, quicktest.IsTrue)
		}
		err, _ := reserve("unknown", 1, time.Second)
		c.Check(err.Code, quicktest.Equals, refusal.NotPermitted)
		err, _ = reserve("limited", -1, time.Second)
		c.Check(err.Code, quicktest.Equals, refusal.BadRequest)
		err, _ = reserve("limited", 101, time.Second)
		c.Check(err.Code == refusal.OverRate && err.RetryAt.IsZero(), quicktest.IsTrue)

		err, _ = reserve("limited", 95, time.Second)
		c.Check(err == nil, quicktest.IsTrue)
		time.Sleep(4 * time.Second) // no leader is needed, because the share is the whole limit
		err, waited := reserve("limited", 95, 2*time.Second)
		c.Assert(err, quicktest.IsNotNil)
		c.Check(err.Code == refusal.OverRate && err.Ran == refusal.NotRun && waited < 100*time.Millisecond, quicktest.IsTrue)
		wait := time.Until(err.RetryAt)
		c.Check(wait > 4*time.Second && wait < 6*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
		err, waited = reserve("limited", 95, 10*time.Second) // refilled before the deadline
		c.Check(err == nil && waited > 4*time.Second && waited < 6*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", waited))

		up = false
		err, waited = reserve("limited", 20, time.Second)
		c.Check(err.Code == refusal.Unavailable && waited == time.Second, quicktest.IsTrue)
		stop()
		c.Check(group.Wait(), quicktest.IsNil)
	})
}

// Guards against a lost lender that delays or fails the requests of its customers.
func TestLenderLost(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		c, _ := newCentre(ctx, &group, 1)
		asked := 0
		a := New(WithCoordinator(func() (string, bool) { return coordinatorName, true }),
			WithLender(func(string) (string, bool) { return "lost", true }),
			WithLimit(func(string) (registry.Customer, bool) { return registry.Customer{Rate: 1e6, Burst: 1e7}, true }),
			WithCall(func(ctx context.Context, to, method string, params, result any) error {
				if to == "lost" {
					asked++
					<-ctx.Done() // the connection gives no answer
					return ctx.Err()
				}
				return c.call("a")(ctx, to, method, params, result)
			}))
		group.Go(func() error { return a.Run(ctx) })
		time.Sleep(10 * time.Second)
		for i := range 3 {
			start := time.Now()
			r, err := a.Reserve(ctx, customerName(0), 500)
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, time.Since(start) < lendWindow+20*time.Millisecond, quicktest.IsTrue)
			quicktest.Check(t, asked, quicktest.Equals, 1, quicktest.Commentf("request %d", i))
			r.Settle(100)
			time.Sleep(lenderPause / 4)
		}
		cancel()
		quicktest.Check(t, group.Wait(), quicktest.IsNil)
	})
}

// Guards against one customer whose change is always rejected and therefore blocks the shares of all others.
func TestRejectedChangeHoldsUpNoOther(t *testing.T) {
	in := share.Input{Revision: 1, DataCentres: []string{"a"}, Customers: map[string]registry.Customer{}}
	for _, name := range []string{"bad", "good", "other"} {
		in.Customers[name] = registry.Customer{Rate: 1, Burst: 1}
	}
	propose := func(_ context.Context, c registry.Command) error {
		for _, o := range c.Changes {
			if o.Share.Customer == "bad" {
				return errs.New("rejected")
			}
		}
		for _, o := range c.Changes {
			in.Shares = append(in.Shares, *o.Share)
		}
		in.Revision++
		return nil
	}
	l := NewLeader(WithLog(func() bool { return true }, func() share.Input { return in }, propose, func() string { return "" }))
	for range 10 {
		_ = l.Step(t.Context())
	}
	quicktest.Assert(t, in.Shares, quicktest.HasLen, 2)
}

// Guards against an instance that restarts with a lower incarnation and is then refused forever.
func TestLowerIncarnationRecovers(t *testing.T) {
	l := newLink(1)
	l.holder.incarnation = 1 << 60
	l.run(1, 100, time.Second)
	l.holder = newHolder(defaultOptions())
	_, q := l.holder.reserve(l.now, customerName(0), 500, l.now.Add(time.Second))
	for range 3 {
		l.borrow()
	}
	quicktest.Assert(t, (<-q.done).spending, quicktest.IsNotNil)
}
