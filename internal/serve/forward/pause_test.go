package forward_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/ceiling"
	"lycheevale/internal/member/report"
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

// An endpoint that has named a time to retry, and a rate, is not listed for a while, since its announcements do not reach the leader. Guards against sending it
// requests again at once when it is back, and as many as before.
func TestEndpointThatReturnsKeepsItsStatements(t *testing.T) {
	limited := codec()
	paused := limited.Reply
	limited.Reply = func(now time.Time, status int, header http.Header) forward.Reply {
		reply := paused(now, status, header)
		reply.Limit, _ = strconv.ParseFloat(header.Get("Limit"), 64)
		return reply
	}
	r := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Limit", "2")
		respondPaused(w, q)
	}}, forward.WithCodec(limited))
	r.send(http.MethodGet, "/read/x")
	r.Assert(r.total(), quicktest.Equals, int32(1))
	listed := r.update.Endpoints
	r.apply(func(u *report.Update) { u.Directory, u.Endpoints = 2, nil })
	r.handler.Report(&report.Entry{}, time.Second)
	r.apply(func(u *report.Update) { u.Directory, u.Endpoints = 3, listed })
	r.Check(r.send(http.MethodGet, "/read/x").Code, quicktest.Equals, http.StatusServiceUnavailable)
	r.Check(r.total(), quicktest.Equals, int32(1))
	r.Check(r.handler.EndpointLimit("0").Rate, quicktest.Equals, 2.0*ceiling.Unit)
}

// An endpoint that has named a time to retry starts again under the same name. Guards against leaving it alone for what its earlier incarnation has asked for.
func TestLaterIncarnationIsNotLeftAlone(t *testing.T) {
	r := newFixture(t, []http.HandlerFunc{respondPaused})
	r.send(http.MethodGet, "/read/x")
	started := slices.Clone(r.update.Endpoints)
	started[0].Born++
	r.apply(func(u *report.Update) { u.Directory, u.Endpoints = 2, started })
	r.send(http.MethodGet, "/read/x")
	r.Check(r.total(), quicktest.Equals, int32(2))
}
