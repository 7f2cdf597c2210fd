package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/fake/network"
	"lycheevale/internal/limit/retry"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/wire/upstream"
)

// oneWay is the latency between the entry and its endpoints.
const oneWay = 30 * time.Millisecond

// runSilent runs an entry that looks for silent endpoints, and endpoints that all serve the same way, in virtual time.
func runSilent(t *testing.T, endpoints int, serve http.HandlerFunc, test func(r *fixture), opts ...forward.Option) {
	t.Helper()
	runSilentBeside(t, endpoints, 0, serve, test, opts...)
}

// runSilentBeside does the same beside endpoints that accept no connections.
func runSilentBeside(t *testing.T, endpoints, unreachable int, serve http.HandlerFunc, test func(r *fixture), opts ...forward.Option) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		r := &fixture{C: quicktest.New(t), hits: make([]atomic.Int32, endpoints)}
		n := network.New()
		n.Latency = func(_, _ netip.Addr) time.Duration { return oneWay }
		var group errgroup.Group
		var servers []*http.Server
		var addresses []netip.AddrPort
		for i := range endpoints + unreachable {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 1)}), 80)
			addresses = append(addresses, address)
			if i >= endpoints {
				continue
			}
			listener, err := n.Listen(address)
			r.Assert(err, quicktest.IsNil)
			server := &http.Server{Handler: r.countHits(i, serve), ReadHeaderTimeout: time.Minute}
			group.Go(func() error { return server.Serve(listener) })
			servers = append(servers, server)
		}
		dial := n.Dialer(netip.MustParseAddr("127.1.0.100"))
		pool := upstream.New(upstream.WithDial(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return dial(ctx, "tcp", to.String()) }))
		r.start(addresses, append([]forward.Option{forward.WithCodec(resumeCodec()), forward.WithPool(pool)}, opts...))
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() error {
			for ctx.Err() == nil {
				r.handler.Sweep()
				time.Sleep(50 * time.Millisecond)
			}
			return nil
		})
		test(r)
		cancel()
		for _, server := range servers {
			r.Check(server.Close(), quicktest.IsNil)
		}
		r.Check(group.Wait(), quicktest.ErrorIs, http.ErrServerClosed)
		n.Close()
	})
}

// stream sends a request and returns the body of its answer and whether it came complete.
func (r *fixture) stream(path string) (body string, complete bool) {
	return r.streamWith(path, http.Header{})
}

// streamWith does the same with further header fields.
func (r *fixture) streamWith(path string, header http.Header) (body string, complete bool) {
	ctx, cancel := context.WithCancel(context.Background()) // as a server does, the request's context ends with the handler
	defer cancel()
	q := httptest.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	q.Header = header.Clone()
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", "1")
	w := httptest.NewRecorder()
	func() {
		defer func() { complete = recover() == nil && w.Code == http.StatusOK }() // a stream that is cut aborts its connection
		r.handler.ServeHTTP(w, q)
	}()
	return w.Body.String(), complete
}

// pause waits and reports whether the request is still wanted then.
func pause(q *http.Request, d time.Duration) bool {
	select {
	case <-q.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// send writes a part of an answer.
func send(w http.ResponseWriter, content string) {
	_, _ = io.WriteString(w, content)
	_ = http.NewResponseController(w).Flush()
}

// pausing answers with a stream whose endpoint falls silent, before or after its first event.
func pausing(begins bool, silent time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if begins {
			send(w, event1)
		}
		if !pause(q, silent) {
			return
		}
		if !begins {
			send(w, event1)
		}
		send(w, event2+event3)
	}
}

// firstThen lets the first request be served in one way and all others in another.
func firstThen(first, others http.HandlerFunc) http.HandlerFunc {
	var begun atomic.Bool
	return func(w http.ResponseWriter, q *http.Request) {
		if begun.Swap(true) {
			others(w, q)
			return
		}
		first(w, q)
	}
}

// unavailable lists the ways in which other endpoints fail to take over a request.
func unavailable() map[string]http.HandlerFunc {
	const sse = "text/event-stream"
	return map[string]http.HandlerFunc{
		"full":              respondFull,
		"other endpoint":    respondStatus(http.StatusMisdirectedRequest),
		"unmarked refusal":  respondStatus(http.StatusServiceUnavailable),
		"error":             respondError,
		"no answer":         dropConnection,
		"begins and breaks": streamOf(true, "id: 2\nda"),
		"empty unframed":    func(w http.ResponseWriter, _ *http.Request) { writeUnframed(w, sse, "") },
		"head only": func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Type", sse)
			send(w, "")
			<-q.Context().Done()
		},
		"silent":               func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() },
		"answer breaks":        truncate,
		"refuses after a wait": func(w http.ResponseWriter, q *http.Request) { pause(q, 600*time.Millisecond); respondFull(w, q) },
	}
}

// A stream's endpoint is silent for longer than requests stay at a silent endpoint, and goes on; no other one takes the stream over. Guards against
// the caller's connection cut in the middle of the stream (inkrow-grown, LOST beside a change of the configuration).
func TestSilentStreamStaysUntilAnotherEndpointTakesIt(t *testing.T) {
	for _, silent := range []time.Duration{1500 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond} {
		for name, others := range unavailable() {
			for _, path := range []string{"/long/x", "/triple/x"} {
				t.Run(fmt.Sprint(name, silent, path), func(t *testing.T) {
					runSilent(t, 3, firstThen(pausing(true, silent), others), func(r *fixture) {
						body, complete := r.stream(path)
						r.Check(body, quicktest.Equals, event1+event2+event3)
						r.Check(complete, quicktest.IsTrue)
					})
				})
			}
		}
	}
}

// A request's endpoint reads a long prompt in silence; no other one takes the request over. Guards against an error for the caller although the
// endpoint would have answered.
func TestSilentRequestStaysUntilAnotherEndpointTakesIt(t *testing.T) {
	for name, others := range unavailable() {
		if name == "begins and breaks" {
			others = streamOf(true, "id: 1\nda")
		}
		t.Run(name, func(t *testing.T) {
			runSilent(t, 3, firstThen(pausing(false, 2*time.Second), others), func(r *fixture) {
				body, complete := r.stream("/long/x")
				r.Check(body, quicktest.Equals, event1+event2+event3)
				r.Check(complete, quicktest.IsTrue)
			})
		})
	}
}

// The endpoint of a request that is no stream is silent before its answer, or in the middle of it. Guards against an error for the caller although
// the endpoint would have answered.
func TestSilentAnswerStaysUntilAnotherEndpointTakesIt(t *testing.T) {
	for _, begins := range []bool{false, true} {
		slow := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Length", "4")
			if begins {
				send(w, "fi")
			}
			if pause(q, 2*time.Second) {
				send(w, "fine"[len("fi")*btoi(begins):])
			}
		}
		for name, others := range unavailable() {
			t.Run(fmt.Sprint(name, begins), func(t *testing.T) {
				runSilent(t, 3, firstThen(slow, others), func(r *fixture) {
					body, complete := r.stream("/long/x")
					r.Check(body, quicktest.Equals, "fine")
					r.Check(complete, quicktest.IsTrue)
				})
			})
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// An endpoint sends the head or the end of a stream while another endpoint is sought, and nothing else for a while. Guards against a search that goes
// on without its request, against a second one beside it, and against more than an answer that is complete.
func TestSilentStreamWithoutEvents(t *testing.T) {
	const sse = "text/event-stream"
	lateHead := func(w http.ResponseWriter, q *http.Request) {
		pause(q, 1200*time.Millisecond)
		w.Header().Set("Content-Type", sse)
		send(w, "")
		pausing(false, 2200*time.Millisecond)(w, q)
	}
	lateEnd := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", sse)
		send(w, event1+event2+event3)
		pause(q, 2500*time.Millisecond)
	}
	for firstName, first := range map[string]http.HandlerFunc{"late head": lateHead, "late end": lateEnd} {
		for _, name := range []string{"silent", "head only", "full", "empty unframed"} {
			t.Run(firstName+name, func(t *testing.T) {
				var running atomic.Int32
				serve := firstThen(first, func(w http.ResponseWriter, q *http.Request) {
					running.Add(1)
					defer running.Add(-1)
					unavailable()[name](w, q)
				})
				runSilent(t, 3, serve, func(r *fixture) {
					body, complete := r.stream("/long/x")
					r.Check(body, quicktest.Equals, event1+event2+event3)
					r.Check(complete, quicktest.IsTrue)
					r.Check(name == "full" || r.total() == 2, quicktest.IsTrue, quicktest.Commentf("%d requests", r.total()))
					time.Sleep(100 * time.Millisecond)
					r.Check(running.Load(), quicktest.Equals, int32(0))
				})
			})
		}
	}
}

// Other endpoints refuse a silent stream until its limit of tries or the retry budget is reached. Guards against more requests than these allow,
// and against the cut stream that followed.
func TestSilentStreamOutlivesItsLimits(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints int
		slack     float64
		maxHits   int32
	}{
		{"tries", 9, 100, 6},
		{"budget", 9, 2, 3},
		{"no budget", 9, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			runSilent(t, test.endpoints, firstThen(pausing(true, 2500*time.Millisecond), respondFull), func(r *fixture) {
				body, complete := r.stream("/long/x")
				r.Check(body, quicktest.Equals, event1+event2+event3)
				r.Check(complete, quicktest.IsTrue)
				r.Check(r.total() <= test.maxHits, quicktest.IsTrue, quicktest.Commentf("%d requests", r.total()))
			}, forward.WithRetry(retry.Options{Window: 10 * time.Second, Slack: test.slack}))
		})
	}
}

// A stream's endpoint is silent twice, and the others break off. Guards against more endpoints that may have run the request than its route allows: the
// silent one counts, and so do those that a search has tried.
func TestSilentEndpointCountsAsAttempt(t *testing.T) {
	silentTwice := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range []string{event1, event2, event3} {
			send(w, event)
			if !pause(q, 2500*time.Millisecond) {
				return
			}
		}
	}
	for path, hits := range map[string]int32{"/long/x": 2, "/triple/x": 3} {
		runSilent(t, 5, firstThen(silentTwice, dropConnection), func(r *fixture) {
			_, complete := r.stream(path)
			r.Check(complete, quicktest.IsTrue)
			r.Check(r.total(), quicktest.Equals, hits)
		})
	}
}

// A stream's endpoint is silent, and no other one accepts connections. Guards against a cut stream, and against sending the request to the silent endpoint
// once more, which would run it twice at the same time.
func TestSilentStreamIsNotSentToItsEndpointAgain(t *testing.T) {
	for unreachable := range 4 {
		runSilentBeside(t, 1, unreachable, pausing(true, 2500*time.Millisecond), func(r *fixture) {
			for range 4 { // until an endpoint that accepts connections is chosen first
				before := r.total()
				body, complete := r.stream("/triple/x")
				r.Check(body, quicktest.Equals, event1+event2+event3)
				r.Check(complete, quicktest.IsTrue)
				r.Check(r.total()-before, quicktest.Equals, int32(1))
				time.Sleep(20 * time.Second)
			}
		})
	}
}

// A stream's endpoint is silent and comes back too late, or never. Guards against events that are missing or come twice, and against two endpoints
// that work on one request at the same time.
func TestSilentStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		begins bool
		others []http.HandlerFunc
	}{
		"begun":                  {"/long/x", true, nil},
		"not begun":              {"/long/x", false, nil},
		"next one refuses":       {"/long/x", true, []http.HandlerFunc{respondFull}},
		"next one is silent too": {"/triple/x", true, []http.HandlerFunc{pausing(false, time.Minute)}},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var continuedAt, endedAt time.Time
			handlers := append([]http.HandlerFunc{func(w http.ResponseWriter, q *http.Request) {
				pausing(test.begins, time.Minute)(w, q)
				mu.Lock()
				defer mu.Unlock()
				endedAt = time.Now()
			}}, test.others...)
			var arrivals atomic.Int32
			serve := func(w http.ResponseWriter, q *http.Request) {
				if i := int(arrivals.Add(1)) - 1; i < len(handlers) {
					handlers[i](w, q)
					return
				}
				mu.Lock()
				continuedAt = time.Now()
				mu.Unlock()
				rest := event2 + event3
				if q.Header.Get("Last-Event-Id") == "" {
					rest = event1 + rest
				}
				streamOf(false, rest)(w, q)
			}
			runSilent(t, 4, serve, func(r *fixture) {
				body, complete := r.stream(test.path)
				r.Check(body, quicktest.Equals, event1+event2+event3)
				r.Check(complete, quicktest.IsTrue)
				r.Check(r.total(), quicktest.Equals, int32(len(handlers)+1))
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				overlap := endedAt.Sub(continuedAt)
				r.Check(!endedAt.IsZero() && overlap < 400*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("both worked on it for %v", overlap))
			})
		})
	}
}

// A stream's endpoint goes on about when another one takes the stream over. Guards against events that are missing or come twice.
func TestStreamThatGoesOnAtTwoEndpoints(t *testing.T) {
	rest := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		events := []string{event1, event2, event3, event4}
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for _, event := range events[max(last, 1):] {
			send(w, event)
			if !pause(q, 20*time.Millisecond) {
				return
			}
		}
	}
	for silent := 1300 * time.Millisecond; silent < 1800*time.Millisecond; silent += 5 * time.Millisecond {
		first := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			send(w, event1)
			if pause(q, silent) {
				rest(w, q)
			}
		}
		runSilent(t, 2, firstThen(first, rest), func(r *fixture) {
			body, complete := r.stream("/long/x")
			note := quicktest.Commentf("silent for %v", silent)
			r.Check(body, quicktest.Equals, event1+event2+event3+event4, note)
			r.Check(complete, quicktest.IsTrue, note)
		})
	}
}

// A stream goes on after a silence in which others refused it, and breaks off later. Guards against the limit of tries used up by the refusals.
func TestStreamThatWentOnMayStillMove(t *testing.T) {
	var refusing atomic.Bool
	refusing.Store(true)
	first := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		send(w, event1)
		pause(q, 2500*time.Millisecond)
		send(w, event2)
		refusing.Store(false)
		panic(http.ErrAbortHandler)
	}
	others := func(w http.ResponseWriter, q *http.Request) {
		if refusing.Load() {
			respondFull(w, q)
			return
		}
		streamOf(false, event3)(w, q)
	}
	runSilent(t, 9, firstThen(first, others), func(r *fixture) {
		body, complete := r.stream("/long/x")
		r.Check(body, quicktest.Equals, event1+event2+event3)
		r.Check(complete, quicktest.IsTrue)
	})
}

// A stream breaks off while the retry budget is exhausted, which is free again a second later. Guards against a cut stream.
func TestBrokenStreamWaitsForBudget(t *testing.T) {
	first := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		send(w, event1)
		pause(q, 500*time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	runSilent(t, 2, firstThen(first, streamOf(false, event2)), func(r *fixture) {
		r.grant(1e6)
		var group errgroup.Group
		group.Go(func() error {
			body, complete := r.stream("/long/x")
			r.Check(body, quicktest.Equals, event1+event2)
			r.Check(complete, quicktest.IsTrue)
			return nil
		})
		time.Sleep(time.Second)
		for range 10 { // requests of others raise the budget
			group.Go(func() error {
				body, _ := r.stream("/long/x")
				r.Check(body, quicktest.Equals, event2)
				return nil
			})
			time.Sleep(50 * time.Millisecond)
		}
		r.Check(group.Wait(), quicktest.IsNil)
	}, forward.WithRetry(retry.Options{Ratio: 0.1, Window: 10 * time.Second}))
}

// Endpoints fall silent for two seconds before they go on, several times. Guards against these delays taken as the usual ones, so that the next request
// stays longer at a silent endpoint.
func TestSilencesDoNotChangeEstimates(t *testing.T) {
	var moves atomic.Bool
	var silent atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		switch {
		case silent.Add(1) == 1:
			pausing(false, 2*time.Second)(w, q)
		case moves.Load():
			streamOf(false, event1)(w, q)
		default:
			respondFull(w, q)
		}
	}
	c := resumeCodec()
	decode := c.Decode
	c.Decode = func(r *http.Request) (forward.Request, error) {
		q, err := decode(r)
		q.PromptTokens = 1000
		return q, err
	}
	runSilent(t, 3, serve, func(r *fixture) {
		r.grant(1e6)
		for range 6 {
			_, complete := r.stream("/triple/x")
			r.Check(complete, quicktest.IsTrue)
			time.Sleep(10 * time.Second)
			silent.Store(0)
		}
		moves.Store(true)
		started := time.Now()
		body, complete := r.stream("/triple/x")
		r.Check(body, quicktest.Equals, event1)
		r.Check(complete, quicktest.IsTrue)
		took := time.Since(started)
		r.Check(took < 1200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
	}, forward.WithCodec(c))
}

// A caller leaves while another endpoint is sought for its silent stream. Guards against endpoints that go on with the request.
func TestLeavingCallerEndsAllAttempts(t *testing.T) {
	var running atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		pausing(q.Header.Get("Last-Event-Id") == "", time.Minute)(w, q)
	}
	runSilent(t, 3, serve, func(r *fixture) {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/long/x", http.NoBody)
		q.Header.Set("Key", "k")
		func() {
			defer func() { _ = recover() }()
			r.handler.ServeHTTP(httptest.NewRecorder(), q)
		}()
		r.Check(r.total(), quicktest.Equals, int32(2))
		time.Sleep(100 * time.Millisecond)
		r.Check(running.Load(), quicktest.Equals, int32(0))
	})
}

// An endpoint falls silent after the head of its answer, and breaks while the request looks for another endpoint. Guards against a request that may have
// crashed its endpoint and is sent on by that search.
func TestSuspectIsNotSentOnBySearch(t *testing.T) {
	for breaks := 1000 * time.Millisecond; breaks < 2200*time.Millisecond; breaks += 200 * time.Millisecond {
		var brokenAt atomic.Int64
		var late atomic.Int32
		first := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			send(w, "")
			pause(q, breaks)
			brokenAt.Store(time.Now().UnixMilli())
			panic(http.ErrAbortHandler)
		}
		others := func(w http.ResponseWriter, q *http.Request) {
			if at := brokenAt.Load(); at > 0 && time.Now().UnixMilli()-at > 100 {
				late.Add(1)
			}
			respondFull(w, q)
		}
		runSilent(t, 3, firstThen(first, others), func(r *fixture) {
			r.streamWithParts("/triple/x", "p1")
			r.Check(late.Load(), quicktest.Equals, int32(0), quicktest.Commentf("breaks after %v", breaks))
		})
	}
}

// The endpoint that a search has found breaks after the head of its answer, and then the silent one refuses. Guards against a third endpoint that gets a
// request which may crash it.
func TestSuspectOfSearchIsNotSentOn(t *testing.T) {
	var n, late atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request) {
		switch n.Add(1) {
		case 1:
			pause(q, 1300*time.Millisecond)
			respondFull(w, q)
		case 2:
			w.Header().Set("Content-Type", "text/event-stream")
			send(w, "")
			pause(q, 50*time.Millisecond)
			panic(http.ErrAbortHandler)
		default:
			late.Add(1)
			streamOf(false, event1)(w, q)
		}
	}
	runSilent(t, 4, serve, func(r *fixture) {
		r.streamWithParts("/triple/x", "p1")
		r.Check(late.Load(), quicktest.Equals, int32(0))
	})
}

// An endpoint hangs for good, and the others are full for four seconds. Guards against a request that looks for another endpoint only once and waits for its
// deadline then.
func TestHungRequestIsSearchedForAgain(t *testing.T) {
	started := time.Time{}
	hangs := func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }
	others := func(w http.ResponseWriter, q *http.Request) {
		if time.Since(started) < 4*time.Second {
			respondFull(w, q)
			return
		}
		streamOf(false, event1, event2, event3)(w, q)
	}
	runSilent(t, 3, firstThen(hangs, others), func(r *fixture) {
		started = time.Now()
		body, complete := r.stream("/triple/x")
		r.Check(complete, quicktest.IsTrue, quicktest.Commentf("%q after %v", body, time.Since(started)))
	})
}

// An endpoint is silent for two seconds, and the next one answers with a failure. Guards against the failure in place of the sound endpoint's answer.
func TestFailureElsewhereDoesNotReplaceSilentEndpoint(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict} {
		others := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
		runSilent(t, 3, firstThen(pausing(false, 2*time.Second), others), func(r *fixture) {
			body, complete := r.stream("/long/x")
			r.Check(complete, quicktest.IsTrue, quicktest.Commentf("status %d: %q", status, body))
		})
	}
}

// streamWithParts sends a request with parts of a prompt to the handler.
func (r *fixture) streamWithParts(path, parts string) {
	q := httptest.NewRequestWithContext(r.Context(), http.MethodGet, path, http.NoBody)
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", "1")
	q.Header.Set("Parts", parts)
	func() {
		defer func() { _ = recover() }() // a connection that is cut
		r.handler.ServeHTTP(httptest.NewRecorder(), q)
	}()
}
