package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/serve/forward"
)

// writeUnframed answers with neither a length nor chunks, and ends the answer with its connection.
func writeUnframed(w http.ResponseWriter, contentType, content string) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(buffer, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+content)
	_ = buffer.Flush()
	_ = connection.Close()
}

// Guards against delivering a stream as complete that has neither a length nor chunks and ends inside an event, and against refusing one that ends
// behind an event, or another answer of that form.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, test := range []struct {
		name, contentType, content, want string
		hits                             int32
	}{
		{"inside an event", "text/event-stream", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n" + whole, 2},
		{"before the first event", "text/event-stream", "id: 1", whole, 2},
		{"behind an event", "text/event-stream", whole, whole, 1},
		{"no stream", "text/plain", "fine", "fine", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var second atomic.Bool
			serve := func(w http.ResponseWriter, _ *http.Request) {
				if second.Swap(true) {
					w.Header().Set("Content-Type", "text/event-stream")
					_, _ = io.WriteString(w, whole)
					return
				}
				writeUnframed(w, test.contentType, test.content)
			}
			r := newFixture(t, []http.HandlerFunc{serve, serve}, forward.WithCodec(streamCodec()))
			q := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/read/x", http.NoBody)
			q.Header.Set("Key", "k")
			w := httptest.NewRecorder()
			r.handler.ServeHTTP(w, q)
			r.Check(w.Body.String(), quicktest.Equals, test.want)
			r.Check(r.total(), quicktest.Equals, test.hits)
		})
	}
}
