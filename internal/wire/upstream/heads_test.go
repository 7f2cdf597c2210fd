package upstream_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/wire/upstream"
)

// distinctFields returns header fields with n different short names and no values.
func distinctFields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// A hundred answers have heads just below the limit of bytes, with as many fields as fit, and are all in use at the same time. Guards against more
// memory than an entry has: decoded, a field takes many times the memory of its text.
func TestHeadsOfManyFieldsFitIntoMemory(t *testing.T) {
	const entryMemory = 184 << 20
	for _, test := range []struct{ name, begin string }{
		{"different fields", "HTTP/1.1 200 OK\r\n" + distinctFields(10_000) + "\r\n"},
		{"one field many times", "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 16_000) + "\r\n"},
		{"informational answer", "HTTP/1.1 103 Early Hints\r\n" + distinctFields(10_000) + "\r\nHTTP/1.1 200 OK\r\n\r\n"},
		{"answer to another request", "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 0\r\n" + distinctFields(10_000) + "\r\nHTTP/1.1 200 OK\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			to, _ := floodServer(t, test.begin, "x")
			p := pool()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			answers := make([]*upstream.Answer, 100)
			var group errgroup.Group
			runtime.GC()
			for i := range answers {
				group.Go(func() error {
					// An error is right too; its answer takes no memory.
					answers[i], _ = p.Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/x", Host: "h", Attempt: "1"})
					return nil
				})
			}
			_ = group.Wait()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			t.Logf("%d MB of heap", m.HeapAlloc>>20)
			quicktest.Check(t, ctx.Err(), quicktest.IsNil)
			quicktest.Check(t, m.HeapAlloc < entryMemory/2, quicktest.IsTrue, quicktest.Commentf("%d bytes of heap", m.HeapAlloc))
			for _, a := range answers {
				if a != nil {
					_ = a.Body.Close()
				}
			}
		})
	}
}

// cutConn returns its content in two reads, cut at a position.
type cutConn struct {
	net.Conn
	content string
	cut     int
}

func (c *cutConn) Read(p []byte) (int, error) {
	end := len(c.content)
	if c.cut > 0 {
		end = c.cut
	}
	n := copy(p, c.content[:end])
	c.content, c.cut = c.content[n:], max(c.cut-n, 0)
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (*cutConn) Write(p []byte) (int, error) { return len(p), nil }

func (*cutConn) Close() error { return nil }

// An answer whose body consists of line feeds arrives in two parts, cut anywhere. Guards against counting lines of the body as lines of the head.
func TestLinesOfBodyAreNoLinesOfHead(t *testing.T) {
	body := strings.Repeat("\n", 1000)
	answer := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 1000\r\n\r\n" + body
	for cut := range len(answer) - len(body) + 3 {
		p := upstream.New(upstream.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			return &cutConn{content: answer, cut: cut}, nil
		}))
		a, err := p.Do(context.Background(), upstream.Request{Method: "GET", Target: "/x", Host: "h", Attempt: "1"})
		quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("cut at %d", cut))
		content, err := io.ReadAll(a.Body)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(content), quicktest.Equals, body)
		_ = a.Body.Close()
	}
}
