package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/document"
)

func (r *fixture) sendParts(path, parts string) *httptest.ResponseRecorder {
	q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, path, nil)
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", "1")
	q.Header.Set("Parts", parts)
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, q)
	return w
}

// apply updates the view of the handler.
func (r *fixture) apply(change func(u *report.Update)) {
	u := r.update
	u.Content = nil
	change(&u)
	_, err := r.view.Apply(time.Now(), u, func([]byte) (document.Document, error) { return testDocument(), nil })
	r.Assert(err, quicktest.IsNil)
}

// Guards against a request that crashes the endpoint to which it is sent, and then a second one.
func TestRequestThatMayHaveCrashedIsNotSentAgain(t *testing.T) {
	var crash atomic.Bool
	endpoint := func(w http.ResponseWriter, _ *http.Request) {
		if !crash.CompareAndSwap(true, false) {
			respondOK(w, nil)
			return
		}
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	r := newFixture(t, []http.HandlerFunc{endpoint, endpoint})
	crash.Store(true)
	r.Check(r.sendParts("/read/x", "first,unknown").Code, quicktest.Equals, http.StatusBadGateway)
	r.Check(r.total(), quicktest.Equals, int32(1))

	r.Check(r.sendParts("/read/x", "first,known").Code, quicktest.Equals, http.StatusOK)
	crash.Store(true)
	r.Check(r.sendParts("/read/x", "first,known").Code, quicktest.Equals, http.StatusOK)
	r.Check(r.total(), quicktest.Equals, int32(4)) // a request whose parts have begun before is sent again
}

// Guards against sending a quarantined part to an endpoint, and against never finding out that it was blamed wrongly.
func TestQuarantinedPartIsRefused(t *testing.T) {
	r := newFixture(t, []http.HandlerFunc{respondOK})
	parts := []quarantine.Signature{{Service: "s", ID: "dead"}, {Service: "s", ID: "blamed"}}
	r.apply(func(u *report.Update) {
		u.QuarantineRevision, u.Quarantine, u.SuspectRevision, u.Suspects = 1, parts, 1, parts
	})
	for _, prompt := range []string{"first,dead", "blamed", "blamed,dead"} {
		w := r.sendParts("/read/x", prompt)
		r.Check(w.Code, quicktest.Equals, http.StatusServiceUnavailable)
		r.Check(w.Header().Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	}
	r.Check(r.sendParts("/read/x", "first,other").Code, quicktest.Equals, http.StatusOK)
	r.Check(r.total(), quicktest.Equals, int32(1))

	var sent report.Entry
	r.handler.Report(&sent, time.Second)
	r.Check(sent.Refused, quicktest.DeepEquals, map[string]quarantine.Refusals{"dead": {Total: 2, Alone: 1}, "blamed": {Total: 2, Alone: 1}})
	r.Check(sent.Begins, quicktest.HasLen, 0)
	r.handler.Reported(time.Now(), sent, report.Update{Trials: []string{"blamed"}})
	for range 2 {
		r.Check(r.sendParts("/read/x", "blamed,dead").Code, quicktest.Equals, http.StatusServiceUnavailable)
	}
	r.Check(r.sendParts("/read/x", "blamed").Code, quicktest.Equals, http.StatusOK)
	r.Check(r.sendParts("/read/x", "blamed").Code, quicktest.Equals, http.StatusServiceUnavailable) // one trial only
	var after report.Entry
	r.handler.Report(&after, time.Second)
	r.Assert(after.Begins, quicktest.HasLen, 1)
	r.Check(after.Begins[0].Signature, quicktest.Equals, parts[1])
	r.apply(func(u *report.Update) { u.QuarantineRevision, u.Quarantine = 2, parts[:1] })
	r.Check(r.sendParts("/read/x", "blamed").Code, quicktest.Equals, http.StatusOK)
}

// A request with the permit to try a quarantined signature is refused for another reason. Guards against a permit that is used up without a request,
// after which a sound request stays refused.
func TestTrialOutlivesOtherRefusal(t *testing.T) {
	r := newFixture(t, []http.HandlerFunc{respondOK})
	blamed := []quarantine.Signature{{Service: "s", ID: "blamed"}}
	r.apply(func(u *report.Update) { u.QuarantineRevision, u.Quarantine = 1, blamed })
	var sent report.Entry
	r.handler.Report(&sent, time.Second)
	r.handler.Reported(time.Now(), sent, report.Update{Trials: []string{"blamed"}})
	for r.send(http.MethodGet, "/read/x").Code == http.StatusOK {
	}
	r.Check(r.sendParts("/read/x", "blamed").Code, quicktest.Equals, http.StatusTooManyRequests)
	r.grant(1000)
	r.Check(r.sendParts("/read/x", "blamed").Code, quicktest.Equals, http.StatusOK)
	r.Check(r.sendParts("/read/x", "blamed").Code, quicktest.Equals, http.StatusServiceUnavailable)
}
