package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/serve/forward"
	"lycheevale/internal/state/document"
)

// leaveAfter sends a request whose caller leaves after some time.
func (r *fixture) leaveAfter(t *testing.T, path, body string, after time.Duration) {
	t.Helper()
	ctx, leave := context.WithTimeout(t.Context(), after)
	defer leave()
	q := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	q.Header.Set("Key", "k")
	q.Header.Set("Attempt", body)
	r.handler.ServeHTTP(httptest.NewRecorder(), q)
}

// The caller of a request leaves before it is answered, or its time passes, and the endpoint's process ends later, while this entry has no other request
// there. Guards against a crash that nobody notices, and against one that the request was not exposed to.
func TestEndpointIsWatchedAfterCallerHasLeft(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		after time.Duration
		keeps bool // the entry has an idle connection to the endpoint
		leave bool // the endpoint leaves, and so ends without a crash
	}{
		"lookup":              {"/read/x", 100 * time.Millisecond, false, false},
		"lookup, connection":  {"/read/x", 100 * time.Millisecond, true, false},
		"lookup, time passes": {"/read/x", 10 * time.Second, false, false},
		"order, time passes":  {"/order/x", 100 * time.Millisecond, false, false},
		"lookup, leaves":      {"/read/x", 100 * time.Millisecond, true, true},
		"stream":              {"/brief/x", 100 * time.Millisecond, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := &fixture{C: quicktest.New(t)}
			ended := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.Header.Get("Attempt") == "deadly" {
					<-ended
				}
				w.WriteHeader(http.StatusOK)
			}))
			r.start([]netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, nil)
			if test.keeps {
				r.send(http.MethodGet, "/read/other")
			}
			r.leaveAfter(t, test.path, "deadly", test.after)
			for range 10 {
				r.handler.Sweep()
				time.Sleep(50 * time.Millisecond)
			}
			r.Check(r.handler.HasCrash(), quicktest.IsFalse)
			if test.leave {
				r.replaceDocument(func(*document.Document) {}, func(e *report.Endpoint) { e.Leaving = true })
			}
			server.CloseClientConnections()
			close(ended)
			server.Close()
			for range 30 {
				r.handler.Sweep()
				time.Sleep(50 * time.Millisecond)
			}
			r.Assert(r.handler.HasCrash(), quicktest.Equals, !test.leave)
			if test.leave {
				return
			}
			var e report.Entry
			r.view.FillReport(&e)
			r.handler.Report(&e, time.Second)
			r.Assert(e.Crashes, quicktest.HasLen, 1)
			r.Check(strings.HasPrefix(e.Crashes[0].Exposed[0].ID, "request:"), quicktest.IsTrue)
		})
	}
}

// A request may have crashed endpoints, and its caller leaves. Guards against never finding out that it is sound because its callers always leave, and against
// sending other requests on for nobody.
func TestSuspectRunsOnWithoutItsCaller(t *testing.T) {
	for _, suspect := range []bool{false, true} {
		cancelled := make(chan bool, 1)
		r := newFixture(t, []http.HandlerFunc{func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body) // the server notices then that the connection closes
			select {
			case <-q.Context().Done():
			case <-time.After(300 * time.Millisecond):
			}
			cancelled <- q.Context().Err() != nil
			w.WriteHeader(http.StatusOK)
		}}, forward.WithCodec(codec()))
		id := quarantine.Request([]byte(http.MethodPost), []byte("/read/x"), []byte("c"), []byte("body"))
		if suspect {
			r.apply(func(u *report.Update) {
				u.SuspectRevision, u.Suspects = 1, []quarantine.Signature{quarantine.NewSignature("s", id)}
			})
		}
		r.leaveAfter(t, "/read/x", "body", 100*time.Millisecond)
		r.Check(<-cancelled, quicktest.Equals, !suspect)
		var e report.Entry
		r.view.FillReport(&e)
		r.handler.Report(&e, time.Second)
		if suspect {
			r.Check(e.Begins, quicktest.HasLen, 1)
		}
	}
}
