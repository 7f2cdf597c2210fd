package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/member/report"
)

// An endpoint in another region answers a load after one round trip, and an unload or a fetch of its state after two, since these need connections of their own;
// the leader's processor is now and then used up for a while. Guards against answers that count as lost, after which loads wait for the state and places are blocked.
func TestSecondRoundTripIsNoLostAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		const roundTrip = 61 * time.Millisecond
		random := rand.New(rand.NewPCG(1, 1))
		answer := func(ctx context.Context, roundTrips time.Duration) error {
			took := roundTrips * roundTrip
			if random.IntN(20) == 0 {
				took += time.Duration(random.IntN(50)) * time.Millisecond
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(took):
				return nil
			}
		}
		control := New(WithSettings(deployment.Settings{Heartbeat: 1200}), WithLogger(slog.New(slog.DiscardHandler)), WithEngines(Engines{
			State: func(ctx context.Context, _ report.Endpoint) (EngineState, error) {
				return EngineState{}, answer(ctx, 2)
			},
			Order: func(ctx context.Context, _ report.Endpoint, o Order) (Result, error) {
				if o.Load {
					return Accepted, answer(ctx, 1)
				}
				return Done, answer(ctx, 2)
			},
		}))
		ls, queue := newLeaderState(control, 1), &orderQueue{}
		for range 200 {
			_, err := ls.sendOrder(t.Context(), report.Endpoint{}, queue, orderJob{load: true})
			c.Check(err, quicktest.IsNil)
			_, err = ls.sendOrder(t.Context(), report.Endpoint{}, queue, orderJob{})
			c.Check(err, quicktest.IsNil)
			c.Check(ls.fetchState(t.Context(), report.Endpoint{}, queue), quicktest.IsNil)
		}
	})
}
