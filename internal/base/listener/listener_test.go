package listener_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/listener"
)

// slowAccept accepts connections late, as a busy process does.
type slowAccept struct {
	*net.TCPListener
	open chan struct{}
}

func (s slowAccept) Accept() (net.Conn, error) {
	<-s.open
	return s.TCPListener.Accept()
}

// A server is stopped while connections with complete requests wait to be accepted. Guards against resetting them.
func TestWaitingConnectionsAreServed(t *testing.T) {
	c := quicktest.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	slow := slowAccept{inner.(*net.TCPListener), make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })}
	draining := listener.New(slow)
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(draining); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	const callers = 50
	var answered, sent atomic.Int32
	for range callers {
		group.Go(func() error {
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
				return err
			}
			sent.Add(1)
			answer, err := io.ReadAll(conn)
			if err == nil && len(answer) > 0 {
				answered.Add(1)
			}
			return nil
		})
	}
	for sent.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	close(slow.open)
	draining.Drain()
	c.Assert(server.Shutdown(context.Background()), quicktest.IsNil)
	c.Assert(group.Wait(), quicktest.IsNil)
	c.Check(answered.Load(), quicktest.Equals, int32(callers))
}
