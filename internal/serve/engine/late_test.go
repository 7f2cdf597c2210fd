package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/serve/engine"
)

// scripted answers the requests on each connection with the texts, in order, and returns its address.
func scripted(t *testing.T, texts ...string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	var group errgroup.Group
	serve := func(conn net.Conn) error {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, text := range texts {
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
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

const (
	refusedA  = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a\r\nX-Not-Run: true\r\nContent-Length: 4\r\n\r\nfull"
	refusedB  = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: b\r\nX-Not-Run: true\r\nContent-Length: 4\r\n\r\nfull"
	anonymous = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nContent-Length: 4\r\n\r\nfull"
	servedB   = "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nX-Served-Model: m\r\nContent-Length: 27\r\n\r\nid: b/1\ndata: text of b\n\n..."
)

// An engine writes a refusal of attempt a once more on the connection on which attempt b is sent next. Guards against taking it as proof
// that b has not run.
func TestLateRefusalIsNoProof(t *testing.T) {
	for _, test := range []struct {
		name, first, second string
		notRun              bool
	}{
		{"copy", refusedA, refusedA + servedB, false},
		{"copy alone", refusedA, refusedA, false},
		{"copy without identifier", anonymous, anonymous + servedB, false},
		{"own refusal", refusedA, refusedB, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := engine.New(scripted(t, test.first, test.second))
			defer c.CloseIdle()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := c.Complete(ctx, engine.Attempt{ID: "a", Path: "/", Model: "m"})
			quicktest.Assert(t, engine.NotRun.Has(err), quicktest.IsTrue, quicktest.Commentf("%v", err))
			_, err = c.Complete(ctx, engine.Attempt{ID: "b", Path: "/", Model: "m"})
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, engine.NotRun.Has(err), quicktest.Equals, test.notRun, quicktest.Commentf("%v", err))
		})
	}
}

// Guards against taking a late answer of an attempt as the answer to a command, which the engine may not have received.
func TestLateAnswerIsNoCommandResult(t *testing.T) {
	for _, late := range []string{refusedA, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"} {
		c := engine.New(scripted(t, refusedA, late))
		defer c.CloseIdle()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.Complete(ctx, engine.Attempt{ID: "a", Path: "/", Model: "m"})
		quicktest.Assert(t, err, quicktest.IsNotNil)
		err = c.SendCommand(ctx, engine.Command{ID: "c"})
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, engine.NotRun.Has(err), quicktest.IsFalse, quicktest.Commentf("%v", err))
	}
}

// An engine refuses a command and a report of its state follows, or another command, before which it sends an earlier answer once more. Guards against taking
// that for the result of the command, which the engine has refused, or for its state.
func TestLateCopyIsNoCommandResult(t *testing.T) {
	const done, state = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"Incarnation\":7}"
	const failed = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\n\r\nfull"
	var group errgroup.Group
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	answers := make(chan string, 4)
	answers <- done
	answers <- failed
	answers <- "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"Incarnation\":6}"
	answers <- state
	serve := func(conn net.Conn) error {
		defer func() { _ = conn.Close() }()
		reader, last := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer := <-answers
			_, _ = io.WriteString(conn, last+answer)
			last = answer
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
	c := engine.New(listener.Addr().(*net.TCPAddr).AddrPort())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	quicktest.Check(t, c.SendCommand(ctx, engine.Command{ID: "a", Kind: engine.UnloadAdapter}), quicktest.IsNil)
	quicktest.Check(t, engine.LoadFailure.Has(c.SendCommand(ctx, engine.Command{ID: "b", Kind: engine.UnloadAdapter})), quicktest.IsTrue)
	for want := range uint64(2) {
		s, err := c.State(ctx)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, s.Incarnation, quicktest.Equals, 6+want)
	}
	c.CloseIdle()
	_ = listener.Close()
	_ = group.Wait() // the error of a closed listener or connection
}
