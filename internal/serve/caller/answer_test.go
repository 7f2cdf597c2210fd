package caller_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	fakeengine "lycheevale/internal/fake/engine"
)

// Guards against a response from an adapter or version other than the one requested.
func TestAnswerComesFromNamedVersion(t *testing.T) {
	run(t, nil, func(r *fixture) {
		for model, want := range map[string]string{"a": "a@v2", "a@v1": "a@v1", "a@v2": "a@v2", "quill": "quill", "open": "open@v1"} {
			got := r.do("POST", "/v1/completions", key1, stream(model, 3, ""))
			r.Check(got.status, qt.Equals, http.StatusOK)
			r.Check(strings.Count(got.body, `"text":"`+want+":"), qt.Equals, 3, qt.Commentf("%s: %s", model, got.body))
		}
		whole := r.do("POST", "/v1/chat/completions", key1, `{"model":"a@v1","messages":[{"role":"user","content":"hi"}],"max_tokens":2}`)
		r.Check(whole.body, qt.Contains, `"message":{"role":"assistant","content":"a@v1:1 a@v1:2 "}`)
		r.Check(whole.body, qt.Contains, `"completion_tokens":2`)
	})
}

// once returns a fault that applies to the first attempt only.
func once[T any](value T) func(string) T {
	var first atomic.Pointer[string]
	return func(attempt string) (v T) {
		if first.CompareAndSwap(nil, &attempt) || *first.Load() == attempt {
			return value
		}
		return v
	}
}

// wrongAttemptOnce returns another attempt's identifier for the first attempt only.
func wrongAttemptOnce() func(string) string {
	first := once("!x")
	return func(attempt string) string { return cmp.Or(first(attempt), attempt) }
}

// Guards against missing, duplicated or mixed tokens when the engine's stream is damaged. The caller must receive all
// ten tokens exactly once, or an error without an end marker if a retry could give different output.
func TestDamagedStreams(t *testing.T) {
	cases := []struct {
		name   string
		faults fakeengine.Faults
		extra  string
		tokens int
		whole  bool
		code   string
	}{
		{"truncated and resumed", fakeengine.Faults{CutAfter: once(4)}, "", 10, true, "/"},
		{"wrong attempt identifier on the first attempt", fakeengine.Faults{Answer: wrongAttemptOnce()}, "", 10, true, "/"},
		{"truncated without resume at temperature 0", fakeengine.Faults{CutAfter: once(4), NoResume: true}, `,"temperature":0`, 10, true, "/"},
		{"truncated without resume after output", fakeengine.Faults{CutAfter: once(4), NoResume: true}, "", 4, false, "OutcomeUnknown/Unknown"},
		{"duplicated events", fakeengine.Faults{Duplicate: func(string, uint64) bool { return true }}, "", 10, true, "/"},
		{"unresponsive and resumed", fakeengine.Faults{SilentFrom: once(uint64(4))}, "", 10, true, "/"},
		{"no response header", fakeengine.Faults{HeaderWait: once(time.Hour)}, "", 10, true, "/"},
		{"wrong attempt identifier on every endpoint", fakeengine.Faults{Answer: func(string) string { return "!x" }}, "", 0, false, "OutcomeUnknown/Unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(r *fixture) { r.faults = c.faults }, func(r *fixture) {
				got := r.do("POST", "/v1/completions", key1, stream("a", 10, c.extra))
				tokens, whole := got.tokens()
				r.Check(tokens, qt.Equals, c.tokens, qt.Commentf("%s", got.body))
				r.Check(whole, qt.Equals, c.whole)
				r.Check(got.code(), qt.Equals, c.code)
				for n := 1; n <= c.tokens; n++ {
					r.Check(strings.Count(got.body, fmt.Sprintf(`"a@v2:%d "`, n)), qt.Equals, 1)
				}
				r.Check(strings.Contains(got.body, `"text":"other`), qt.IsFalse)
			})
		})
	}
}

// Guards against requests that fail because a connection between entry and engine silently drops all packets, for
// instance after a middlebox has lost its state.
func TestSilentConnectionToEngine(t *testing.T) {
	run(t, nil, func(r *fixture) {
		r.Assert(r.do("POST", "/v1/completions", key1, stream("a", 2, "")).status, qt.Equals, http.StatusOK)
		silenced := make(chan struct{})
		r.group.Go(func() error {
			time.Sleep(150 * time.Millisecond)
			r.net.Silence(entryIP, engineAddr(0).Addr())
			close(silenced)
			return nil
		})
		got := r.do("POST", "/v1/completions", key1, stream("a", 30, ""))
		<-silenced
		tokens, whole := got.tokens()
		r.Check(tokens, qt.Equals, 30)
		r.Check(whole, qt.IsTrue)
		next := r.do("POST", "/v1/completions", key1, stream("a", 2, ""))
		r.Check(next.status, qt.Equals, http.StatusOK)
	})
}

// Guards against opening a new connection to the engine for each request. The first request runs concurrently with a
// poll, which needs its own connection.
func TestConnectionsToEnginesAreReused(t *testing.T) {
	run(t, nil, func(r *fixture) {
		send := func(tokens int) {
			_, whole := r.do("POST", "/v1/completions", key1, stream("a", tokens, "")).tokens()
			r.Check(whole, qt.IsTrue)
			time.Sleep(10 * time.Millisecond)
		}
		send(30)
		before := r.dials.Load()
		for range 10 {
			send(3)
		}
		r.Check(r.dials.Load(), qt.Equals, before)
	})
}

// Guards against an engine that continues a request whose caller has disconnected.
func TestCancellationReachesEngine(t *testing.T) {
	run(t, nil, func(r *fixture) {
		r.Assert(r.do("POST", "/v1/completions", key1, stream("a", 2, "")).status, qt.Equals, http.StatusOK)
		ctx, cancel := context.WithTimeout(r.ctx, 200*time.Millisecond)
		defer cancel()
		r.doContext(ctx, "POST", "/v1/completions", key1, stream("a", 1000, ""))
		time.Sleep(time.Second)
		r.Check(r.engines[0].Running()+r.engines[1].Running(), qt.Equals, 0)
	})
}

// Guards against a deadline that is not passed on to the engine, and against a false report that the request did not
// run.
func TestDeadlineIsPropagated(t *testing.T) {
	run(t, nil, func(r *fixture) {
		r.Assert(r.do("POST", "/v1/completions", key1, stream("a", 2, "")).status, qt.Equals, http.StatusOK)
		begin := time.Now()
		got := r.do("POST", "/v1/completions", key1, `{"model":"a","prompt":"x","max_tokens":1000}`, "X-Request-Timeout", "1s")
		r.Check(got.status, qt.Equals, http.StatusGatewayTimeout)
		r.Check(got.code(), qt.Equals, "DeadlineExceeded/Unknown")
		r.Check(time.Since(begin) <= 1200*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
		r.Check(r.engines[0].Running()+r.engines[1].Running(), qt.Equals, 0)
	})
}

// Guards against requests that fail because their first endpoint is unreachable.
func TestUnreachableEngineIsAvoided(t *testing.T) {
	run(t, nil, func(r *fixture) {
		r.net.Cut(entryIP, engineAddr(0).Addr())
		got := r.do("POST", "/v1/completions", key1, stream("a", 3, ""), "X-Request-Timeout", "30s")
		tokens, whole := got.tokens()
		r.Check(tokens, qt.Equals, 3, qt.Commentf("%s", got.body))
		r.Check(whole, qt.IsTrue)
	})
}
