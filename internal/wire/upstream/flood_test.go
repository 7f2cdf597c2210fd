package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/wire/upstream"
)

// floodServer reads a request and sends begin, and then part without end until the connection closes.
func floodServer(t *testing.T, begin, part string) (to netip.AddrPort, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	sent = &atomic.Int64{}
	var group errgroup.Group
	block := strings.Repeat(part, max(1, 4096/len(part)))
	serve := func(conn net.Conn) error {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, begin); err != nil {
			return err
		}
		for {
			n, err := io.WriteString(conn, block)
			sent.Add(int64(n))
			if err != nil {
				return err
			}
		}
	}
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			group.Go(func() error { return serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait() // the error of a closed listener or connection
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), sent
}

// A broken endpoint sends bytes without end where the protocol expects the end of a head, a chunk line or a trailer. Guards against
// keeping them in memory until the request's deadline: an entry has 184 MB.
func TestBytesWithoutEndAreCut(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, begin, part string }{
		{"header lines", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
		{"one line", "HTTP/1.1 200 OK\r\nField: ", "x"},
		{"status line", "", "H"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 4\r\n\r\nbody"},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		{"chunk extension", chunked + "4;a=", "x"},
		{"chunk extensions", chunked, "1;a=bcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyz\r\nx\r\n"},
		{"trailer", chunked + "0\r\n", "Field: value\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			to, sent := floodServer(t, test.begin, test.part)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := pool().Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/x", Host: "h", Attempt: "1"})
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, errs.Is(err, upstream.ErrNotSent), quicktest.IsFalse)
			quicktest.Check(t, ctx.Err(), quicktest.IsNil, quicktest.Commentf("it ended by its deadline"))
			// Buffers of the connection hold further bytes that were not read.
			quicktest.Check(t, sent.Load() < 32<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes sent", sent.Load()))
		})
	}
}

// A hundred connections receive heads without end at the same time. Guards against more memory than an entry has.
func TestFloodsFitIntoMemory(t *testing.T) {
	to, _ := floodServer(t, "HTTP/1.1 200 OK\r\n", "Field: value\r\n")
	p := pool()
	var group errgroup.Group
	var highest atomic.Uint64
	for range 100 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := p.Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/x", Host: "h", Attempt: "1"})
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			for was := highest.Load(); m.HeapAlloc > was && !highest.CompareAndSwap(was, m.HeapAlloc); was = highest.Load() {
			}
			if err == nil {
				return errs.New("a head without an end was accepted")
			}
			return nil
		})
	}
	quicktest.Assert(t, group.Wait(), quicktest.IsNil)
	const entryMemory = 184 << 20
	quicktest.Check(t, highest.Load() < entryMemory/2, quicktest.IsTrue, quicktest.Commentf("%d bytes of heap", highest.Load()))
}

// An endpoint that echoes identifiers sends a second copy of an answer without one, late, on a connection that is in use again. Guards
// against delivering it to the next caller.
func TestCopyWithoutIdentifierIsRefused(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, answer("1", "one"), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"+answer("2", "two"))
	p := pool()
	_, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	body, err := get(p, to, "2")
	c.Check(err, quicktest.IsNotNil, quicktest.Commentf("got %q", body))
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsFalse)
}

// A request that an endpoint has refused is sent to it again, and a second copy of the refusal arrives late. Guards against taking the copy
// as the answer to the second try, which has run: both carry the identifier of the same attempt.
func TestSecondTryUsesAnotherConnection(t *testing.T) {
	c := quicktest.New(t)
	full := "HTTP/1.1 503 Service Unavailable\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nfull"
	to, _ := endpoint(t, full, answer("1", "ran"))
	p := pool()
	_, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	body, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "ran")
	c.Check(p.Opened(), quicktest.Equals, int64(2))
}

// A hundred probes reach an endpoint that sends bytes without end as soon as it is connected. Guards against reading them, and against using such a
// connection for a request.
func TestProbesReadNothing(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	var server errgroup.Group
	var sent, begun atomic.Int64
	server.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			server.Go(func() error {
				defer func() { _ = conn.Close() }()
				block := make([]byte, 4096)
				n, err := conn.Write(block)
				begun.Add(1)
				for ; err == nil; n, err = conn.Write(block) {
					sent.Add(int64(n))
				}
				return err
			})
		}
	})
	to := listener.Addr().(*net.TCPAddr).AddrPort()
	p := pool()
	for range 100 {
		c.Assert(p.Probe(context.Background(), to), quicktest.IsNil)
	}
	for begun.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	opened := p.Opened()
	_, err = get(p, to, "1")
	c.Check(err, quicktest.IsNotNil)
	c.Check(p.Opened(), quicktest.Equals, opened+1)
	p.Drop(to)
	_ = listener.Close()
	_ = server.Wait() // the error of a closed listener
	// Buffers of the connections hold bytes that were not read.
	c.Check(sent.Load() < 100*(8<<20), quicktest.IsTrue, quicktest.Commentf("%d bytes sent", sent.Load()))
}
