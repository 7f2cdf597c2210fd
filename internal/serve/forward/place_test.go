package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/member/report"
	"lycheevale/internal/serve/forward"
)

// A leader that answers requests for places more slowly than they arrive got more of them at once each second, and lost its leadership for want of
// time. Guards against more than a few requests of one entry at the leader, and against one that is not asked in its turn.
func TestFewPlacementsAtSlowLeader(t *testing.T) {
	const (
		requests = 60
		limit    = 6
	)
	virtualtime.Test(t, func(t *testing.T) {
		atLeader, most, asked := 0, 0, 0
		var turn = make(chan struct{}, 1) // serializes the counts
		turn <- struct{}{}
		count := func(change int) {
			<-turn
			atLeader += change
			most = max(most, atLeader)
			asked += max(change, 0)
			turn <- struct{}{}
		}
		slow := func(context.Context, report.PlacementRequest) (report.PlacementReply, error) {
			count(1)
			time.Sleep(100 * time.Millisecond)
			count(-1)
			return report.PlacementReply{}, nil
		}
		r := newFixture(t, nil, forward.WithRequestPlacement(slow))
		r.grant(100 * requests)
		var group errgroup.Group
		for n := range requests {
			group.Go(func() error {
				q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/draft/x", nil)
				q.Header.Set("Key", "k")
				q.Header.Set("Attempt", fmt.Sprint(n))
				q.Header.Set("Adapter", fmt.Sprint("a", n))
				r.handler.ServeHTTP(httptest.NewRecorder(), q)
				return nil
			})
		}
		r.Assert(group.Wait(), quicktest.IsNil)
		r.Check(most, quicktest.Equals, limit)
		r.Check(asked, quicktest.Equals, requests)
	})
}
