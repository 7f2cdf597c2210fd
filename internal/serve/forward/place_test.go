package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/member/report"
	"lycheevale/internal/serve/forward"
)

// slowLeader answers requests for places after some time, and counts them.
type slowLeader struct {
	takes time.Duration

	mu                   sync.Mutex
	present, most, asked int
}

func (l *slowLeader) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.present += change
	l.most = max(l.most, l.present)
	l.asked += max(change, 0)
}

func (l *slowLeader) place(context.Context, report.PlacementRequest) (report.PlacementReply, error) {
	l.count(1)
	defer l.count(-1)
	time.Sleep(l.takes)
	return report.PlacementReply{}, nil
}

func (l *slowLeader) counts() (most, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most, l.asked
}

// requestAdapters sends requests for different adapters at once, whose callers wait for some time, to an entry with a leader.
func requestAdapters(t *testing.T, l *slowLeader, requests int, wait time.Duration) {
	r := newFixture(t, nil, forward.WithRequestPlacement(l.place))
	r.grant(100 * float64(requests))
	var group errgroup.Group
	for n := range requests {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/draft/x", nil)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", fmt.Sprint(n))
			q.Header.Set("Adapter", fmt.Sprint("a", n))
			r.handler.ServeHTTP(httptest.NewRecorder(), q)
			return nil
		})
	}
	r.Assert(group.Wait(), quicktest.IsNil)
	time.Sleep(time.Minute) // for calls without a caller
}

const (
	placementRequests = 60
	placementLimit    = 6
)

// A leader that answers requests for places more slowly than they arrive got more of them at once each second, and lost its leadership for want of
// time. Guards against more than a few requests of one entry at the leader, and against one that is not asked in its turn.
func TestFewPlacementsAtSlowLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := &slowLeader{takes: 100 * time.Millisecond}
		requestAdapters(t, l, placementRequests, time.Minute)
		most, asked := l.counts()
		quicktest.Check(t, most, quicktest.Equals, placementLimit)
		quicktest.Check(t, asked, quicktest.Equals, placementRequests)
	})
}

// Callers leave while their requests wait for their turn at a slow leader. Guards against asking it for places that nobody waits for.
func TestDepartedCallersAskNoLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := &slowLeader{takes: 400 * time.Millisecond}
		requestAdapters(t, l, placementRequests, 500*time.Millisecond)
		_, asked := l.counts()
		quicktest.Check(t, asked, quicktest.Equals, 2*placementLimit) // at 0 and 400 ms
	})
}
