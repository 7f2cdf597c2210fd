package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

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

// distinctFields returns n header fields with different short names and no values.
func distinctFields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// streamHead begins the answer to an attempt.
const streamHead = "HTTP/1.1 200 OK\r\n" + engine.HeaderAttempt + ": a\r\n" + engine.HeaderModel + ": m\r\n\r\n"

// A hundred broken engines send heads, events and reports without end, or just below their limits, at the same time. Guards against more memory than an
// instance has, and against reading until the deadline of the request.
func TestFloodsFitIntoMemory(t *testing.T) {
	// An instance has 256 MB, of which it holds 137 MB at the target size.
	const memory = (256 - 137) << 20
	readStream := func(ctx context.Context, c *engine.Client) error {
		answer, err := c.Complete(ctx, engine.Attempt{ID: "a", Path: "/v1/completions", Model: "m", Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			return err
		}
		defer answer.Close()
		for _, err := range answer.Events(nil) {
			if err != nil {
				return err
			}
		}
		return nil
	}
	readState := func(ctx context.Context, c *engine.Client) error {
		_, err := c.State(ctx)
		return err
	}
	const report = "HTTP/1.1 200 OK\r\n\r\n"
	for _, test := range []struct {
		name, begin, part string
		call              func(ctx context.Context, c *engine.Client) error
	}{
		{"head", "HTTP/1.1 200 OK\r\n" + distinctFields(10_000), "x", readState},
		{"complete head", strings.TrimSuffix(streamHead, "\r\n") + distinctFields(9_000) + "\r\n", "x", readStream},
		{"line", streamHead, "x", readStream},
		{"data lines", streamHead, "data: x\n", readStream},
		{"data lines without text", streamHead, "data\n", readStream},
		{"comments", streamHead, ": x\n", readStream},
		{"fields without data", streamHead, "event: x\n", readStream},
		{"empty lines", streamHead, "\n", readStream},
		{"events", streamHead, "id: a/1\ndata: " + strings.Repeat("x", 1000) + "\n\n", readStream},
		{"bytes in a report", report, "x", readState},
		{"blanks behind a report", report + "{}", " ", readState},
		{"list in a report", report + `{"Resident":[""`, `,""`, readState},
		{"complete list in a report", report + `{"Resident":["` + strings.Repeat(`","`, 20_000) + `"]}`, " ", readState},
		{"long list in a report", report + `{"Resident":["` + strings.Repeat(`","`, 1_000_000) + `"]}`, " ", readState},
		{"refusal", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x", readStream},
	} {
		t.Run(test.name, func(t *testing.T) {
			begin, block := []byte(test.begin), []byte(strings.Repeat(test.part, max(1, 4096/len(test.part))))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				for _, err = conn.Write(begin); err == nil; _, err = conn.Write(block) {
				}
			}))
			defer server.Close()
			transport := engine.NewTransport()
			transport.DialContext = (&net.Dialer{}).DialContext
			c := engine.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), engine.WithTransport(transport))
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			var group errgroup.Group
			var highest atomic.Uint64
			runtime.GC()
			connections := 100
			if test.name == "events" {
				connections = 5 // each reads the largest stream
			}
			for range connections {
				group.Go(func() error {
					_ = test.call(ctx, c)
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					for was := highest.Load(); m.HeapAlloc > was && !highest.CompareAndSwap(was, m.HeapAlloc); was = highest.Load() {
					}
					return nil
				})
			}
			_ = group.Wait()
			t.Logf("%d MB of heap", highest.Load()>>20)
			quicktest.Check(t, ctx.Err(), quicktest.IsNil, quicktest.Commentf("a call ended by its deadline"))
			quicktest.Check(t, highest.Load() < memory, quicktest.IsTrue, quicktest.Commentf("%d bytes of heap", highest.Load()))
		})
	}
}
