package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/listener"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/fake/network"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// fixture holds a server whose answers take two seconds and keep connections open.
type fixture struct {
	*quicktest.C
	network *network.Network
	group   errgroup.Group
	tracked *listener.Tracked
	server  *http.Server
	address netip.AddrPort
}

// runServer closes the server when the test has ended; accepted, if not nil, replaces each accepted connection.
func runServer(t *testing.T, accepted func(net.Conn) net.Conn, test func(f *fixture)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		f := &fixture{C: quicktest.New(t), network: network.New(), address: netip.MustParseAddrPort("10.0.0.1:80")}
		inner, err := f.network.Listen(f.address)
		f.Assert(err, quicktest.IsNil)
		if accepted != nil {
			inner = replacing{inner, accepted}
		}
		f.server = &http.Server{Handler: http.HandlerFunc(serveSlowly)}
		f.tracked = listener.Track(inner, f.server)
		f.group.Go(func() error {
			if err := f.server.Serve(f.tracked); err != net.ErrClosed {
				return err
			}
			return nil
		})
		test(f)
		f.Check(f.server.Close(), quicktest.IsNil)
		f.Check(f.group.Wait(), quicktest.IsNil)
		f.network.Close()
	})
}

func serveSlowly(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(2 * time.Second):
		_, _ = io.WriteString(w, "fine")
	}
}

type replacing struct {
	net.Listener
	accepted func(net.Conn) net.Conn
}

func (r replacing) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return r.accepted(c), nil
}

// client is a connection to the server.
type client struct {
	net.Conn
	*bufio.Reader
	f *fixture
}

func (f *fixture) connect() client {
	conn, err := f.network.Dialer(netip.MustParseAddr("10.0.0.2"))(context.Background(), "tcp", f.address.String())
	f.Assert(err, quicktest.IsNil)
	return client{conn, bufio.NewReader(conn), f}
}

func (c client) send(text string) {
	_, err := io.WriteString(c.Conn, text)
	c.f.Assert(err, quicktest.IsNil)
}

// status returns the status of the next answer, or 0 if the connection was closed without one.
func (c client) status() int {
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	c.f.Check(err, quicktest.IsNil)
	return response.StatusCode
}

// shutDown begins a planned stop, whose error it sends when the server has stopped.
func (f *fixture) shutDown(within time.Duration) <-chan error {
	done := make(chan error, 1)
	f.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		done <- f.tracked.Shutdown(ctx)
		return nil
	})
	time.Sleep(time.Second)
	return done
}

// A server is stopped while requests are on their way. Guards against closing their connections without an answer, as http.Server.Shutdown does.
func TestRequestsDuringShutdownAreAnswered(t *testing.T) {
	for name, parts := range map[string]struct{ kept, before, after string }{
		"first request":                {"", "", request},
		"head read in part":            {"", request[:9], request[9:]},
		"head read in part, kept":      {request, request[:9], request[9:]},
		"single byte read, kept":       {request, request[:1], request[1:]},
		"read, and not answered":       {"", request, ""},
		"read, and not answered, kept": {request, request, ""},
	} {
		t.Run(name, func(t *testing.T) {
			runServer(t, nil, func(f *fixture) {
				c := f.connect()
				if parts.kept != "" {
					c.send(parts.kept)
					f.Check(c.status(), quicktest.Equals, http.StatusOK)
				}
				c.send(parts.before)
				time.Sleep(10 * time.Millisecond)
				done := f.shutDown(time.Minute)
				c.send(parts.after)
				f.Check(c.status(), quicktest.Equals, http.StatusOK)
				f.Check(c.status(), quicktest.Equals, 0) // it is idle then
				f.Check(<-done, quicktest.IsNil)
			})
		})
	}
}

// Guards against closing a connection as idle between two requests that were sent together: the server has read the second one.
func TestPipelinedRequestDuringShutdownIsAnswered(t *testing.T) {
	runServer(t, nil, func(f *fixture) {
		observe := f.server.ConnState
		f.server.ConnState = func(c net.Conn, state http.ConnState) {
			observe(c, state)
			if state == http.StateIdle {
				time.Sleep(time.Second) // as if the process was not scheduled
			}
		}
		c := f.connect()
		c.send(request + request)
		time.Sleep(10 * time.Millisecond)
		done := f.shutDown(time.Minute)
		f.Check(c.status(), quicktest.Equals, http.StatusOK)
		f.Check(c.status(), quicktest.Equals, http.StatusOK)
		f.Check(<-done, quicktest.IsNil)
	})
}

// crossing sends something when Read is interrupted.
type crossing struct {
	net.Conn
	interrupted func()
}

func (c crossing) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errs.Is(err, os.ErrDeadlineExceeded) {
		c.interrupted()
	}
	return n, err
}

// The beginning of a request arrives when its idle connection is being closed, of which the client has not heard yet. Guards against resetting it.
func TestRequestThatCrossesCloseIsAnswered(t *testing.T) {
	for name, kept := range map[string]string{"first request": "", "kept": request} {
		t.Run(name, func(t *testing.T) {
			var c client
			var stopping, sent atomic.Bool
			replace := func(accepted net.Conn) net.Conn {
				return crossing{accepted, func() {
					if stopping.Load() && !sent.Swap(true) {
						c.send(request[:9])
					}
				}}
			}
			runServer(t, replace, func(f *fixture) {
				c = f.connect()
				if kept != "" {
					c.send(kept)
					f.Check(c.status(), quicktest.Equals, http.StatusOK)
				}
				time.Sleep(10 * time.Millisecond)
				stopping.Store(true)
				done := f.shutDown(time.Minute)
				time.Sleep(5 * time.Second)
				f.Assert(sent.Load(), quicktest.IsTrue)
				c.send(request[9:])
				f.Check(c.status(), quicktest.Equals, http.StatusOK)
				f.Check(<-done, quicktest.IsNil)
			})
		})
	}
}

// Guards against a stop that waits for clients that send nothing.
func TestIdleConnectionsAreClosed(t *testing.T) {
	runServer(t, nil, func(f *fixture) {
		kept := f.connect()
		kept.send(request)
		f.Check(kept.status(), quicktest.Equals, http.StatusOK)
		unused, connected := f.connect(), time.Now()
		begun := time.Now()
		done := f.shutDown(time.Minute)
		f.Check(kept.status(), quicktest.Equals, 0)
		f.Check(time.Since(begun) <= time.Second, quicktest.IsTrue)
		f.Check(unused.status(), quicktest.Equals, 0)
		f.Check(time.Since(connected).Round(time.Second), quicktest.Equals, 5*time.Second)
		f.Check(<-done, quicktest.IsNil)
	})
}

// Guards against a stop that outlasts its time.
func TestShutdownEndsWithContext(t *testing.T) {
	runServer(t, nil, func(f *fixture) {
		c := f.connect()
		time.Sleep(10 * time.Millisecond)
		done := f.shutDown(1500 * time.Millisecond)
		c.send(request)
		f.Check(<-done, quicktest.Equals, context.DeadlineExceeded)
	})
}
