package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/serve/engine"
)

// A broken engine answers with a head or a report that does not end. Guards against keeping them in memory.
func TestAnswersWithoutEndAreCut(t *testing.T) {
	var sent atomic.Int64
	flood := func(w io.Writer, text string) {
		for {
			n, err := io.WriteString(w, text)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
	for _, test := range []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"head", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			flood(conn, strings.Repeat("Field: value\r\n", 256))
		}},
		{"report", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"Instance":"`)
			flood(w, strings.Repeat("x", 4096))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent.Store(0)
			server := httptest.NewServer(test.serve)
			defer server.Close()
			c := engine.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := c.State(ctx)
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, ctx.Err(), quicktest.IsNil, quicktest.Commentf("it ended by its deadline"))
			quicktest.Check(t, sent.Load() < 9<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes sent", sent.Load()))
		})
	}
}
