package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
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

// An endpoint announces that it leaves while a request waits there for its adapter. Guards against sending the request to it nevertheless: a load may
// take longer than an endpoint that leaves goes on serving.
func TestEndpointThatLeavesDuringLoadGetsNoRequest(t *testing.T) {
	for name, leave := range map[string]func(u *report.Update){
		"leaving": func(u *report.Update) { u.Endpoints[0].Leaving = true },
		"gone":    func(u *report.Update) { u.Endpoints = u.Endpoints[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			var r *fixture
			place := func(_ context.Context, q report.PlacementRequest) (report.PlacementReply, error) {
				if len(q.Avoid) > 0 {
					return report.PlacementReply{Endpoint: "1"}, nil
				}
				u := r.update
				u.Directory, u.Endpoints = u.Directory+1, slices.Clone(u.Endpoints)
				leave(&u)
				time.AfterFunc(20*time.Millisecond, func() {
					_, err := r.view.Apply(time.Now(), u, nil)
					r.Check(err, quicktest.IsNil)
				})
				return report.PlacementReply{Endpoint: "0", InMillis: 100}, nil
			}
			ok := func(http.ResponseWriter, *http.Request) {}
			r = newFixture(t, []http.HandlerFunc{ok, ok}, forward.WithRequestPlacement(place))
			r.update.Content = nil
			q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/draft/x", nil)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", "1")
			q.Header.Set("Adapter", "a")
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			r.Check(w.Code, quicktest.Equals, http.StatusOK)
			r.Check(r.hits[0].Load(), quicktest.Equals, int32(0))
			r.Check(r.hits[1].Load(), quicktest.Equals, int32(1))
		})
	}
}
