package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/wire/upstream"
)

// refused returns a refusal with a body; an empty attempt leaves the identifier out.
func refused(status, attempt string) string {
	field := ""
	if attempt != "" {
		field = "Attempt: " + attempt + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\n" + field + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// An endpoint writes an earlier refusal once more, on the connection on which the next request is sent. Guards against taking it as the
// answer to that request, which the endpoint runs.
func TestLateRefusalIsNotBelieved(t *testing.T) {
	for _, status := range []string{"421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable"} {
		for name, test := range map[string]struct {
			first, second string
			want          string // "" for an error
		}{
			"with identifier":    {refused(status, "1"), refused(status, "1") + answer("2", "two"), "two"},
			"without identifier": {refused(status, "1"), refused(status, "") + answer("2", "two"), ""},
			"alone":              {refused(status, "1"), refused(status, "1"), ""},
		} {
			t.Run(status[:3]+" "+name, func(t *testing.T) {
				c := quicktest.New(t)
				to, _ := endpoint(t, test.first, test.second, "")
				p := pool()
				_, err := get(p, to, "1")
				c.Assert(err, quicktest.IsNil)
				timeout := 10 * time.Second
				if name == "alone" {
					timeout = 200 * time.Millisecond // no answer follows
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				a, err := p.Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/x", Host: "h", Attempt: "2"})
				c.Assert(err == nil, quicktest.Equals, test.want != "")
				c.Check(p.Opened(), quicktest.Equals, int64(1))
				if err != nil {
					c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsFalse)
					return
				}
				body, err := io.ReadAll(a.Body)
				c.Check(err, quicktest.IsNil)
				c.Check(a.Status, quicktest.Equals, http.StatusOK)
				c.Check(string(body), quicktest.Equals, test.want)
			})
		}
	}
}

// An endpoint writes an earlier refusal once more in the packet of the right answer. Guards against taking it as the answer to the next
// request.
func TestRefusalBehindAnswerIsNotBelieved(t *testing.T) {
	c := quicktest.New(t)
	full := refused("503 Service Unavailable", "1")
	to, _ := endpoint(t, full, answer("2", "two")+full, answer("1", "ran"))
	p := pool()
	for i, want := range []string{"full", "two", "ran"} {
		body, err := get(p, to, []string{"1", "2", "1"}[i])
		c.Assert(err, quicktest.IsNil)
		c.Check(body, quicktest.Equals, want)
	}
}

// An endpoint writes an earlier refusal once more after it has read one half of the next request's body. Guards against taking it as the
// answer to that request.
func TestRefusalBetweenHalvesOfBody(t *testing.T) {
	full := refused("503 Service Unavailable", "1")
	for _, test := range []struct{ name, copied, want string }{
		{"with identifier", full, "two"},
		{"without identifier", refused("503 Service Unavailable", ""), ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			const half = 1 << 20
			to := serveEach(t, func(_ int, reader *bufio.Reader, conn net.Conn) error {
				if _, err := http.ReadRequest(reader); err != nil {
					return err
				}
				if _, err := io.WriteString(conn, full); err != nil {
					return err
				}
				r, err := http.ReadRequest(reader)
				if err != nil {
					return err
				}
				if _, err := io.CopyN(io.Discard, r.Body, half); err != nil {
					return err
				}
				if _, err := io.WriteString(conn, test.copied); err != nil {
					return err
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return err
				}
				_, err = io.WriteString(conn, answer("2", "two"))
				return err
			})
			p := pool()
			_, err := get(p, to, "1")
			c.Assert(err, quicktest.IsNil)
			a, err := p.Do(t.Context(), upstream.Request{
				Address: to, Method: "POST", Target: "/", Host: "h", Attempt: "2", Body: []byte(strings.Repeat("x", 2*half)),
			})
			c.Assert(err == nil, quicktest.Equals, test.want != "", quicktest.Commentf("%v", err))
			if err == nil {
				body, err := io.ReadAll(a.Body)
				c.Check(err, quicktest.IsNil)
				c.Check(string(body), quicktest.Equals, test.want)
			}
		})
	}
}

// serveEach serves connections, which are numbered from 0.
func serveEach(t *testing.T, serve func(n int, reader *bufio.Reader, conn net.Conn) error) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	var group errgroup.Group
	ctx, stop := context.WithCancel(context.Background())
	group.Go(func() error {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			group.Go(func() error {
				unhook := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer func() {
					unhook()
					_ = conn.Close()
				}()
				return serve(n, bufio.NewReader(conn), conn)
			})
		}
	})
	t.Cleanup(func() {
		stop()
		_ = listener.Close()
		_ = group.Wait() // the error of a closed listener or connection
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// serveTexts answers the requests on each connection with its texts, and closes it after the request that follows them.
func serveTexts(t *testing.T, connections ...[]string) netip.AddrPort {
	return serveEach(t, func(n int, reader *bufio.Reader, conn net.Conn) error {
		for _, text := range connections[min(n, len(connections)-1)] {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return err
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return err
			}
		}
		_, err := reader.ReadByte()
		return err
	})
}

// An endpoint that echoes no identifiers writes a refusal once more on a connection that is in use again. Guards against taking it as the
// answer to the next request: nothing tells it from the right one.
func TestConnectionWithoutIdentifiersIsNotUsedAgain(t *testing.T) {
	c := quicktest.New(t)
	full := refused("503 Service Unavailable", "")
	to := serveTexts(t, []string{full, full + answer("2", "two")}, []string{answer("2", "two")})
	p := pool()
	_, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	body, err := get(p, to, "2")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "two")
}

// A request without an identifier follows one whose refusal is written once more. Guards against taking that as its answer, and against
// leaving the connection to others.
func TestRequestWithoutIdentifierUsesItsOwnConnection(t *testing.T) {
	c := quicktest.New(t)
	full := refused("503 Service Unavailable", "1")
	to := serveTexts(t, []string{full, full + answer("", "none")}, []string{answer("", "none"), answer("3", "three")}, []string{answer("3", "three")})
	p := pool()
	for i, want := range []string{"full", "none"} {
		body, err := get(p, to, []string{"1", ""}[i])
		c.Assert(err, quicktest.IsNil)
		c.Check(body, quicktest.Equals, want)
	}
	c.Check(p.Opened(), quicktest.Equals, int64(2))
}

// A late answer to a request of another method precedes the answer to a HEAD request, which has no body. Guards against reading the late
// answer's body as an answer.
func TestLateBodyIsNoAnswerToHead(t *testing.T) {
	c := quicktest.New(t)
	inner := refused("503 Service Unavailable", "2")
	to := serveTexts(t, []string{answer("1", "one"), answer("1", inner) + "HTTP/1.1 200 OK\r\nAttempt: 2\r\n\r\n"})
	p := pool()
	_, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	a, err := p.Do(t.Context(), upstream.Request{Address: to, Method: "HEAD", Target: "/x", Host: "h", Attempt: "2"})
	c.Check(err, quicktest.IsNotNil, quicktest.Commentf("%+v", a))
	c.Check(errs.Is(err, upstream.ErrMalformed), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// An endpoint stops in the middle of the head of its answer and closes the connection. Guards against taking the part that arrived as a complete answer
// without a body, or with a shorter one.
func TestCutHeadIsNoAnswer(t *testing.T) {
	c := quicktest.New(t)
	whole := "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"
	for n := range len(whole) {
		p := upstream.New(upstream.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
			entry, endpoint := net.Pipe()
			var group errgroup.Group
			group.Go(func() error {
				if _, err := http.ReadRequest(bufio.NewReader(endpoint)); err != nil {
					return err
				}
				_, err := io.WriteString(endpoint, whole[:n])
				return errs.Combine(err, endpoint.Close())
			})
			return entry, nil
		}))
		_, err := get(p, netip.MustParseAddrPort("127.0.0.1:1"), "1")
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf("after %q", whole[:n]))
	}
}
