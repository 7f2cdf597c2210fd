package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/forward"
)

// respondPaused turns a request away and asks for none for some time.
func respondPaused(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Pause", "30s")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// An endpoint turns a request away and says for how long it wants no more. Guards against sending it further ones in that time while another endpoint
// serves, and against trying it when none does: callers are refused at once then, until the endpoint wants requests again.
func TestEndpointThatNamesARetryTimeIsLeftAlone(t *testing.T) {
	r := newFixture(t, []http.HandlerFunc{respondPaused, respondOK})
	for range 10 {
		r.Check(r.send(http.MethodGet, "/read/x").Code, quicktest.Equals, http.StatusOK)
	}
	r.Check(r.hits[0].Load() <= 1, quicktest.IsTrue, quicktest.Commentf("%d requests", r.hits[0].Load()))

	var outcomes []string
	r = newFixture(t, []http.HandlerFunc{respondPaused, respondPaused}, forward.WithObserve(func(o forward.Outcome) { outcomes = append(outcomes, o.Code) }))
	var last *httptest.ResponseRecorder
	for range 5 {
		last = r.send(http.MethodPost, "/order/x")
	}
	r.Check(r.total(), quicktest.Equals, int32(2))
	r.Check(outcomes[4], quicktest.Equals, string(refusal.Overloaded))
	r.Check(last.Code, quicktest.Equals, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(last.Header().Get("Retry-After"), 64)
	r.Assert(err, quicktest.IsNil)
	r.Check(wait > 25 && wait < 35, quicktest.IsTrue, quicktest.Commentf("Retry-After %v", wait))
}
