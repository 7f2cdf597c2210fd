package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/limit/retry"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/state/document"
)

// breaksAfterFirst sends the first event of a stream and breaks off.
func breaksAfterFirst(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	send(w, event1)
	panic(http.ErrAbortHandler)
}

// refusesFor refuses requests for some time after the first one arrives, each in the next way, and continues streams after that.
func refusesFor(d time.Duration, ways ...http.HandlerFunc) http.HandlerFunc {
	var arrivals atomic.Int32
	var until atomic.Int64
	return func(w http.ResponseWriter, q *http.Request) {
		until.CompareAndSwap(0, time.Now().Add(d).UnixNano())
		if n := int(arrivals.Add(1)) - 1; time.Now().UnixNano() < until.Load() {
			ways[n%len(ways)](w, q)
			return
		}
		streamOf(false, event2+event3)(w, q)
	}
}

// The endpoint of a begun stream breaks off, and others refuse the stream for a while: one is full, another one does not hold it. Guards against the
// caller's connection cut after a few refusals, which use up the tries of a request in a fraction of the time that a stream may wait.
func TestBrokenStreamOutlivesRefusals(t *testing.T) {
	full, moved := http.HandlerFunc(respondFull), respondStatus(http.StatusMisdirectedRequest)
	for name, ways := range map[string][]http.HandlerFunc{"full": {full}, "moved": {moved}, "full and moved": {full, moved, moved}} {
		for _, d := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
			for _, endpoints := range []int{3, 9} {
				t.Run(fmt.Sprint(name, d, endpoints), func(t *testing.T) {
					runSilent(t, endpoints, firstThen(breaksAfterFirst, refusesFor(d, ways...)), func(r *fixture) {
						body, complete := r.stream("/long/x")
						r.Check(body, quicktest.Equals, event1+event2+event3)
						r.Check(complete, quicktest.IsTrue)
					}, forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: 30}))
				})
			}
		}
	}
}

// No endpoint takes a broken stream over. Guards against requests without end, beyond the retry budget, and against a caller that waits for longer than
// the pause after which it leaves.
func TestBrokenStreamIsGivenUp(t *testing.T) {
	for _, test := range []struct {
		slack   float64
		maxHits int32
	}{{100, 18}, {4, 5}} {
		runSilent(t, 9, firstThen(breaksAfterFirst, respondFull), func(r *fixture) {
			started := time.Now()
			body, complete := r.stream("/long/x")
			r.Check(body, quicktest.Equals, event1)
			r.Check(complete, quicktest.IsFalse)
			took := time.Since(started)
			r.Check(took < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", took))
			r.Check(r.total() <= test.maxHits, quicktest.IsTrue, quicktest.Commentf("%d requests", r.total()))
		}, forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: test.slack}))
	}
}

// The leader places the adapter of a broken stream at another endpoint, which answers 421 until it has loaded it. Guards against a cut stream when the
// load takes longer than a few tries.
func TestBrokenStreamWaitsForItsAdapter(t *testing.T) {
	for _, load := range []time.Duration{250 * time.Millisecond, 900 * time.Millisecond} {
		serve := firstThen(breaksAfterFirst, refusesFor(load, respondStatus(http.StatusMisdirectedRequest)))
		place := func(_ context.Context, q report.PlacementRequest) (report.PlacementReply, error) {
			if slices.Contains(q.Avoid, "0") {
				return report.PlacementReply{Leading: true, Endpoint: "1"}, nil
			}
			return report.PlacementReply{Leading: true, Endpoint: "0"}, nil
		}
		runSilent(t, 2, serve, func(r *fixture) {
			r.replaceDocument(useEngines, func(e *report.Endpoint) { e.Service, e.Models = "engines", []string{"m"} })
			body, complete := r.streamWith("/long/x", http.Header{"Adapter": {"a"}})
			r.Check(body, quicktest.Equals, event1+event2+event3, quicktest.Commentf("load takes %v", load))
			r.Check(complete, quicktest.IsTrue)
		}, forward.WithRequestPlacement(place))
	}
}

// All endpoints hold the adapter of a broken stream. The others are full for a moment, and the leader answers late, or not at all. Guards against a cut
// stream, and one that stands still, because it waits for the leader while an endpoint that holds its adapter is free; and against many calls to the leader.
func TestBrokenStreamNeedsNoLeader(t *testing.T) {
	for _, takes := range []time.Duration{0, 100 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		var calls atomic.Int32
		place := func(_ context.Context, _ report.PlacementRequest) (report.PlacementReply, error) {
			calls.Add(1)
			time.Sleep(takes)
			return report.PlacementReply{}, errs.New("no leader")
		}
		runSilent(t, 3, firstThen(breaksAfterFirst, refusesFor(300*time.Millisecond, respondFull)), func(r *fixture) {
			for i := range r.update.Endpoints {
				r.update.Events = append(r.update.Events, residency.Event{
					Endpoint: r.update.Endpoints[i].ID, Holding: residency.Holding{Adapter: residency.Adapter{Model: "m", Name: "a"}, Version: 1},
				})
			}
			r.update.Placement++
			r.replaceDocument(useEngines, func(e *report.Endpoint) { e.Service, e.Models = "engines", []string{"m"} })
			began := time.Now()
			body, complete := r.streamWith("/long/x", http.Header{"Adapter": {"a"}})
			took := time.Since(began)
			r.Check(body, quicktest.Equals, event1+event2+event3, quicktest.Commentf("leader takes %v", takes))
			r.Check(complete, quicktest.IsTrue)
			r.Check(took < 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
			r.Check(calls.Load() <= 3, quicktest.IsTrue, quicktest.Commentf("%d calls", calls.Load()))
		}, forward.WithRequestPlacement(place))
	}
}

// useEngines lets requests on the route "long" go to engines.
func useEngines(d *document.Document) {
	d.Routes[slices.IndexFunc(d.Routes, func(r document.Route) bool { return r.Name == "long" })].Targets[0].Service = "engines"
}

// A configuration arrives between the break of a stream and its continuation. Guards against a cut stream because its route or service is no longer
// the one that it began with.
func TestBrokenStreamOutlivesConfiguration(t *testing.T) {
	for name, change := range map[string]func(d *document.Document){
		"the same":         func(*document.Document) {},
		"route removed":    func(d *document.Document) { d.Routes = d.Routes[:1] },
		"key removed":      func(d *document.Document) { d.Customers[0].Keys = []string{"other"} },
		"customer removed": func(d *document.Document) { d.Customers = nil },
		"other service": func(d *document.Document) {
			for i := range d.Routes {
				d.Routes[i].Targets = []document.Target{{Service: "engines", Weight: 1}}
			}
		},
		"service removed": func(d *document.Document) { d.Routes, d.Services = nil, d.Services[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, 3, firstThen(breaksAfterFirst, refusesFor(600*time.Millisecond, respondFull)), func(r *fixture) {
				timer := time.AfterFunc(300*time.Millisecond, func() { r.replaceDocument(change, func(*report.Endpoint) {}) })
				defer timer.Stop()
				body, complete := r.stream("/long/x")
				r.Check(body, quicktest.Equals, event1+event2+event3)
				r.Check(complete, quicktest.IsTrue)
			})
		})
	}
}

// replaceDocument applies an update with a changed document and changed endpoints.
func (r *fixture) replaceDocument(change func(d *document.Document), changeEndpoint func(e *report.Endpoint)) {
	u := r.update
	u.Document, u.Directory, u.Endpoints = u.Document+1, u.Directory+1, slices.Clone(u.Endpoints)
	for i := range u.Endpoints {
		changeEndpoint(&u.Endpoints[i])
	}
	d := testDocument()
	d.Version++
	change(&d)
	_, err := r.view.Apply(time.Now(), u, func([]byte) (document.Document, error) { return d, nil })
	r.Check(err, quicktest.IsNil)
}

// A stream breaks off, five endpoints refuse it, and the one that continues it hangs. Guards against a stream that stays at a hung endpoint because it
// used up its tries in an earlier search.
func TestContinuedStreamMayStillMove(t *testing.T) {
	var arrivals atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		switch n := arrivals.Add(1); {
		case n == 1:
			breaksAfterFirst(w, q)
		case n <= 6:
			respondFull(w, q)
		case n == 7:
			w.Header().Set("Content-Type", "text/event-stream")
			send(w, event2)
			<-q.Context().Done()
		default:
			streamOf(false, event3)(w, q)
		}
	}
	runSilent(t, 9, serve, func(r *fixture) {
		body, complete := r.stream("/triple/x")
		r.Check(body, quicktest.Equals, event1+event2+event3)
		r.Check(complete, quicktest.IsTrue)
	}, forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: 30}))
}

// blockingWriter is a caller that reads nothing for some time after its first event.
type blockingWriter struct {
	*httptest.ResponseRecorder
	blocks time.Duration
}

// Write implements io.Writer.
func (w *blockingWriter) Write(content []byte) (int, error) {
	time.Sleep(w.blocks)
	w.blocks = 0
	return w.ResponseRecorder.Write(content)
}

// A caller reads its stream slowly, and another caller's stream breaks off. Guards against a cut stream because the retry budget was charged for the slow
// one, whose endpoint seemed silent.
func TestSlowCallerUsesNoRetryBudget(t *testing.T) {
	var breaks atomic.Bool
	serve := func(w http.ResponseWriter, q *http.Request) {
		if breaks.Swap(false) {
			breaksAfterFirst(w, q)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		events := []string{event1, event2, event3}
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for _, event := range events[last:] {
			send(w, event)
			pause(q, 20*time.Millisecond)
		}
	}
	for _, blocks := range []time.Duration{time.Second, 1700 * time.Millisecond, 4 * time.Second} {
		runSilent(t, 3, serve, func(r *fixture) {
			q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/triple/x", http.NoBody)
			q.Header.Set("Key", "k")
			q.Header.Set("Attempt", "1")
			w := &blockingWriter{httptest.NewRecorder(), blocks}
			r.handler.ServeHTTP(w, q)
			r.Check(w.Body.String(), quicktest.Equals, event1+event2+event3)
			breaks.Store(true)
			body, complete := r.stream("/triple/x")
			r.Check(body, quicktest.Equals, event1+event2+event3, quicktest.Commentf("blocked for %v", blocks))
			r.Check(complete, quicktest.IsTrue)
		}, forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: 1}))
	}
}

// A caller reads an answer that is no stream slowly, and another caller's stream breaks off. Guards against the same as the test above.
func TestSlowCallerOfAnswerUsesNoRetryBudget(t *testing.T) {
	for _, blocks := range []time.Duration{time.Second, 1700 * time.Millisecond, 4 * time.Second} {
		var arrivals atomic.Int32
		serve := func(w http.ResponseWriter, q *http.Request) {
			switch arrivals.Add(1) {
			case 1:
				_, _ = io.WriteString(w, "answer")
			case 2:
				breaksAfterFirst(w, q)
			default:
				streamOf(false, event2+event3)(w, q)
			}
		}
		runSilent(t, 3, serve, func(r *fixture) {
			q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/triple/x", http.NoBody)
			q.Header.Set("Key", "k")
			w := &blockingWriter{httptest.NewRecorder(), blocks}
			r.handler.ServeHTTP(w, q)
			r.Check(w.Body.String(), quicktest.Equals, "answer")
			body, complete := r.stream("/triple/x")
			r.Check(body, quicktest.Equals, event1+event2+event3, quicktest.Commentf("blocked for %v", blocks))
			r.Check(complete, quicktest.IsTrue)
		}, forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: 1}))
	}
}
