package caller_test

import (
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
