package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/report"
	"lycheevale/internal/serve/forward"
)

// An endpoint that does not hold the adapter yet gets the request again. Guards against the second try on the connection of the first: a
// copy of its refusal could not be told from the answer.
func TestSecondTryAtEndpointUsesAnotherConnection(t *testing.T) {
	var connections []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if connections = append(connections, q.RemoteAddr); len(connections) == 1 {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	}))
	t.Cleanup(server.Close)
	details := report.Endpoint{
		ID: "e", Service: "engines", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), Slots: 4,
	}
	r := newFixture(t, nil, forward.WithRequestPlacement(func(context.Context, report.PlacementRequest) (report.PlacementReply, error) {
		return report.PlacementReply{Leading: true, Endpoint: details.ID, Details: details}, nil
	}))
	q := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/draft/x", strings.NewReader("body"))
	q.Header.Set("Key", "k")
	q.Header.Set("Adapter", "a")
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, q)
	r.Check(w.Code, quicktest.Equals, http.StatusOK)
	r.Assert(connections, quicktest.HasLen, 2)
	r.Check(connections[0], quicktest.Not(quicktest.Equals), connections[1])
}

// respondStatus answers with a status, and does not state that the request has not run.
func respondStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// An endpoint answers with a status by which callers know that a request has not run, without stating that. Guards against sending an order
// to another endpoint, and against passing on a promise that nobody made.
func TestUnmarkedStatusIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for path, hits := range map[string]int32{"/order/x": 1, "/read/x": 2} {
			t.Run(strconv.Itoa(status)+path, func(t *testing.T) {
				serve := respondStatus(status)
				r := newFixture(t, []http.HandlerFunc{serve, serve, serve})
				w := r.send(http.MethodPost, path)
				r.Check(w.Code, quicktest.Equals, http.StatusBadGateway)
				r.Check(w.Header().Get("Retry-After"), quicktest.Equals, "")
				r.Check(r.total(), quicktest.Equals, hits)
			})
		}
	}
}
