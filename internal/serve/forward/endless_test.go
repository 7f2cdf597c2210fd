package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/serve/forward"
)

// A broken endpoint sends complete events, or a long answer, without end, to a caller who reads them. Guards against passing them on as fast as the
// processor allows until the request's deadline, and against sending further requests to that endpoint.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	for _, test := range []struct{ name, contentType, part string }{
		{"events", "text/event-stream", strings.Repeat("id: 1\ndata: x\n\n", 273)},
		{"empty events", "text/event-stream", strings.Repeat("\n", 4096)},
		{"comments", "text/event-stream", strings.Repeat(":\n\n", 1365)},
		{"bytes", "text/plain", strings.Repeat("x", 4096)},
	} {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int64
			slow := func(w http.ResponseWriter, q *http.Request) {
				time.Sleep(100 * time.Millisecond) // the picker prefers the other endpoint until that fails
				respondOK(w, q)
			}
			r := newFixture(t, []http.HandlerFunc{flood(test.contentType, test.part, &sent), slow}, forward.WithCodec(streamCodec()))
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			const requests = 8
			for range requests {
				q := httptest.NewRequestWithContext(ctx, http.MethodGet, "/minutes/x", http.NoBody)
				q.Header.Set("Key", "k")
				func() {
					defer func() { _ = recover() }() // an answer that has begun ends by aborting its connection
					r.handler.ServeHTTP(discardRecorder{httptest.NewRecorder(), &atomic.Int64{}}, q)
				}()
			}
			r.Check(ctx.Err(), quicktest.IsNil, quicktest.Commentf("an answer ended by its deadline"))
			r.Check(sent.Load() < 256<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes sent", sent.Load()))
			r.Check(r.hits[0].Load() > 0, quicktest.IsTrue)
			r.Check(r.hits[0].Load() <= 3, quicktest.IsTrue, quicktest.Commentf("%d requests to the broken endpoint", r.hits[0].Load()))
		})
	}
}
