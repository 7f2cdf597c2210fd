package caller_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/serve/engine"
)

// answerResumes makes the first engine answer attempts to resume a stream with respond.
func answerResumes(respond http.HandlerFunc) func(int, http.Handler) http.Handler {
	return func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/streams/") {
				respond(w, r)
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// refuseResume states that the request to resume has not run, and the text of the error.
func refuseResume(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(engine.HeaderNotRun, "true")
	http.Error(w, "batch is full", http.StatusServiceUnavailable)
}

// Streams break off, and engines refuse to resume them with the statement that they did not run the request to resume. Guards against
// telling the caller that its own request has not run, and against appending the stream of another attempt.
func TestRefusedResumeIsNoProof(t *testing.T) {
	for _, test := range []struct {
		name, body string
		faults     fakeengine.Faults
		tokens     int
	}{
		{"stream", stream("a", 10, ""), fakeengine.Faults{CutAfter: once(4)}, 4},
		{"document", `{"model":"a","prompt":"hello","max_tokens":10}`, fakeengine.Faults{CutAfter: func(string) int { return 4 }}, 0},
	} {
		run(t, func(r *fixture) {
			r.faults = test.faults
			r.intercept = answerResumes(refuseResume)
		}, func(r *fixture) {
			got := r.do("POST", "/v1/completions", key1, test.body)
			r.Check(got.code(), qt.Equals, "OutcomeUnknown/Unknown", qt.Commentf("%s: %s", test.name, got.body))
			n, whole := got.tokens()
			r.Check(n, qt.Equals, test.tokens)
			r.Check(whole, qt.IsFalse)
		})
	}
}

// resumed answers like an engine that resumes a stream, with events of the given numbers; a negative one is that of an end marker.
func resumed(status int, contentType string, numbers ...int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt := strings.TrimPrefix(r.URL.Path, "/v1/streams/")
		w.Header().Set("Content-Type", contentType)
		w.Header().Set(engine.HeaderAttempt, attempt)
		w.Header().Set(engine.HeaderModel, "a@v2")
		w.WriteHeader(status)
		for _, n := range numbers {
			text := fmt.Sprintf(`{"choices":[{"index":0,"text":"a@v2:%d ","finish_reason":null}]}`, n)
			if n < 0 {
				n, text = -n, engine.DoneMarker
			}
			_, _ = w.Write(engine.AppendEvent(nil, attempt, engine.Event{Seq: uint64(n), Data: []byte(text)}))
		}
	}
}

// A stream breaks off after four events of ten, and the engine answers the request to resume it in each of these ways. Guards against the
// answer's text or a wrong event in the caller's stream, and against a stream that ends as if it were complete.
func TestAnswersToResume(t *testing.T) {
	const sse = "text/event-stream"
	rest := []int{5, 6, 7, 8, 9, 10, -11}
	text := func(status int, contentType string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = w.Write([]byte("id: 5\ndata: failure of the engine\n\n"))
		}
	}
	for name, test := range map[string]struct {
		respond http.HandlerFunc
		whole   bool
	}{
		"error":                          {text(500, "text/plain"), false},
		"error as a stream":              {text(500, sse), false},
		"full":                           {text(503, "text/plain"), false},
		"full as a stream":               {text(503, sse), false},
		"other engine":                   {text(421, sse), false},
		"other content":                  {text(200, "text/html"), false},
		"head of the attempt alone":      {resumed(200, "application/json"), false},
		"empty stream":                   {resumed(200, sse), false},
		"error with the attempt":         {resumed(500, sse, rest...), false},
		"rest":                           {resumed(200, sse, rest...), true},
		"from the beginning":             {resumed(200, sse, append([]int{1, 2, 3, 4}, rest...)...), true},
		"gap":                            {resumed(200, sse, 7, 8, 9, 10, -11), false},
		"end marker of an earlier event": {resumed(200, sse, -2), false},
		"end marker of a later event":    {resumed(200, sse, -11), false},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(r *fixture) {
				r.faults, r.intercept = fakeengine.Faults{CutAfter: once(4)}, answerResumes(test.respond)
			}, func(r *fixture) {
				got := r.do("POST", "/v1/completions", key1, stream("a", 10, ""))
				want := 4
				if test.whole {
					want = 10
				}
				for n := 1; n <= 10; n++ {
					copies := strings.Count(got.body, fmt.Sprintf(`"a@v2:%d "`, n))
					r.Check(copies == 1, qt.Equals, n <= want, qt.Commentf("event %d: %s", n, got.body))
					r.Check(copies < 2, qt.IsTrue, qt.Commentf("event %d", n))
				}
				_, whole := got.tokens()
				r.Check(whole, qt.Equals, test.whole, qt.Commentf("%s", got.body))
				r.Check(got.code() == "OutcomeUnknown/Unknown", qt.Equals, !test.whole, qt.Commentf("%s", got.body))
				r.Check(strings.Contains(got.body, "\ndata: failure"), qt.IsFalse)
			})
		})
	}
}

// A stream of temperature 0 breaks off after four events, and the next engine's answer to the repeated request is shorter. Guards against
// ending the caller's stream as if it were complete.
func TestShorterRepeatIsNotComplete(t *testing.T) {
	for _, events := range []int{0, 3, 4} {
		run(t, func(r *fixture) {
			r.faults = fakeengine.Faults{CutAfter: once(4), NoResume: true}
			r.intercept = func(n int, next http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					if n == 0 || q.URL.Path != "/v1/completions" {
						next.ServeHTTP(w, q)
						return
					}
					var numbers []int
					for i := 1; i <= events; i++ {
						numbers = append(numbers, i)
					}
					q.URL.Path = "/v1/streams/" + q.Header.Get(engine.HeaderAttempt)
					resumed(http.StatusOK, "text/event-stream", append(numbers, -events-1)...)(w, q)
				})
			}
		}, func(r *fixture) {
			got := r.do("POST", "/v1/completions", key1, stream("a", 10, `,"temperature":0`))
			tokens, whole := got.tokens()
			r.Check(tokens, qt.Equals, 4, qt.Commentf("%d events: %s", events, got.body))
			r.Check(whole, qt.Equals, events == 4, qt.Commentf("%d events: %s", events, got.body))
		})
	}
}
