package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/wire/upstream"
)

// endpoint answers each request on a connection with the next text; an empty text closes the connection.
func endpoint(t *testing.T, texts ...string) (netip.AddrPort, *int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections := 0
	var mu sync.Mutex
	var open []net.Conn
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			connections++
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			group.Go(func() error { return answerAll(conn, next) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		close(next)
		mu.Lock()
		for _, conn := range open {
			_ = conn.Close()
		}
		mu.Unlock()
		_ = group.Wait() // the error of the closed listener
	})
	return listener.Addr().(*net.TCPAddr).AddrPort(), &connections
}

func answerAll(conn net.Conn, next <-chan string) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil
		}
		text, ok := <-next
		if !ok || text == "" {
			return nil
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return nil
		}
	}
}

func answer(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func pool() *upstream.Pool {
	return upstream.New(upstream.WithAttempt(func(h http.Header) string { return h.Get("Attempt") }))
}

func get(p *upstream.Pool, to netip.AddrPort, attempt string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/x", Host: "h", Attempt: attempt})
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// Guards against opening a connection for each request.
func TestConnectionIsReused(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, answer("1", "one"), answer("2", "two"))
	p := pool()
	for _, attempt := range []string{"1", "2"} {
		_, err := get(p, to, attempt)
		c.Assert(err, quicktest.IsNil)
	}
	c.Check(p.Opened(), quicktest.Equals, int64(1))
}

// Guards against returning a late answer of an earlier request to a caller.
func TestLateAnswerIsSkipped(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, answer("old", "not yours")+answer("2", "yours"))
	body, err := get(pool(), to, "2")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "yours")
}

// Guards against reusing a connection on which bytes arrived that belong to no request.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, answer("1", "one")+"rubbish", answer("2", "two"))
	p := pool()
	body, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "one")
	time.Sleep(20 * time.Millisecond)
	body, err = get(p, to, "2")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "two")
	c.Check(p.Opened(), quicktest.Equals, int64(2))
}

// Guards against treating a truncated answer as complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nConnection: close\r\n\r\nshort", "")
	_, err := get(pool(), to, "1")
	c.Check(err, quicktest.IsNotNil)
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsFalse)
}

// Guards against ErrNotSent for a request that may have run, and against another error for one that was not sent.
func TestErrNotSent(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, "")
	_, err := get(pool(), to, "1")
	c.Check(err, quicktest.IsNotNil)
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsFalse)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := closed.Addr().(*net.TCPAddr).AddrPort()
	c.Assert(closed.Close(), quicktest.IsNil)
	_, err = get(pool(), address, "1")
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsTrue)
}

// Guards against reusing a connection after the time that the endpoint's Keep-Alive field states.
func TestKeepAliveIsRespected(t *testing.T) {
	c := quicktest.New(t)
	first := "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
	to, _ := endpoint(t, first, answer("2", "two"))
	now := time.Now()
	p := upstream.New(upstream.WithNow(func() time.Time { return now }))
	_, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	now = now.Add(700 * time.Millisecond)
	_, err = get(p, to, "2")
	c.Assert(err, quicktest.IsNil)
	c.Check(p.Opened(), quicktest.Equals, int64(2))
}

// Guards against ignoring the end of the context while waiting for an answer.
func TestCancelClosesConnection(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	to := listener.Addr().(*net.TCPAddr).AddrPort()
	_, err = pool().Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/", Host: "h"})
	c.Check(errs.Is(err, context.DeadlineExceeded), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// An endpoint answers before it has read a long body. Guards against waiting for the body to be written before the answer is read.
func TestEarlyAnswerToLongBody(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = listener.Close() }()
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
			return err
		}
		_, err = io.WriteString(conn, answer("1", "early"))
		return err
	})
	p := pool()
	a, err := p.Do(context.Background(), upstream.Request{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), Method: "POST", Target: "/", Host: "h", Attempt: "1",
		Body: []byte(strings.Repeat("x", 64<<20)),
	})
	c.Assert(err, quicktest.IsNil)
	b, err := io.ReadAll(a.Body)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(b), quicktest.Equals, "early")
	c.Assert(group.Wait(), quicktest.IsNil)
}

// Guards against a failed probe of an open listener, and against discarding the connection that a probe has opened.
func TestProbe(t *testing.T) {
	c := quicktest.New(t)
	address, connections := endpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
	pool := upstream.New()
	c.Assert(pool.Probe(t.Context(), address), quicktest.IsNil)
	answer, err := pool.Do(t.Context(), upstream.Request{Address: address, Method: http.MethodGet, Target: "/"})
	c.Assert(err, quicktest.IsNil)
	_, err = io.Copy(io.Discard, answer.Body)
	c.Check(err, quicktest.IsNil)
	c.Check(*connections, quicktest.Equals, 1)

	tries := 0
	unreachable := upstream.New(upstream.WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) {
		tries++
		return nil, errs.New("no answer")
	}))
	c.Check(unreachable.Probe(t.Context(), address), quicktest.IsNotNil)
	c.Check(tries, quicktest.Equals, 2)
}

// The caller of a request leaves before it is sent, and an idle connection to the endpoint is open. Guards against a request that the endpoint still
// runs, and against closing the connection.
func TestRequestOfEndedContextIsNotSent(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, answer("1", "one"), answer("3", "three"))
	p := pool()
	_, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	ctx, leave := context.WithCancel(context.Background())
	leave()
	_, err = p.Do(ctx, upstream.Request{Address: to, Method: "GET", Target: "/x", Host: "h", Attempt: "2"})
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsTrue)
	body, err := get(p, to, "3")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "three")
	c.Check(p.Opened(), quicktest.Equals, int64(1))
}

// The caller of a request leaves while a connection is opened for it. Guards against sending it all the same.
func TestRequestThatEndsBeforeItIsSent(t *testing.T) {
	c := quicktest.New(t)
	to, _ := endpoint(t, answer("1", "one"))
	ctx, cancel := context.WithCancel(t.Context())
	leave := func() error { cancel(); return nil }
	_, err := pool().Do(ctx, upstream.Request{Address: to, Method: "POST", Target: "/", Host: "h", Attempt: "1", Permit: leave})
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// An endpoint echoes no identifiers. Guards against a connection for each request that tolerates late copies, and against any other request on one that such a
// request has used.
func TestAnonymousConnectionServesWhatToleratesCopies(t *testing.T) {
	c := quicktest.New(t)
	one := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	to, _ := endpoint(t, one, one, one, one)
	p := pool()
	for i, test := range []struct {
		tolerates bool
		opened    int64
	}{{true, 1}, {true, 1}, {false, 2}, {true, 2}} {
		a, err := p.Do(t.Context(), upstream.Request{
			Address: to, Method: "POST", Target: "/", Host: "h", Attempt: strconv.Itoa(i), ToleratesCopies: test.tolerates,
		})
		c.Assert(err, quicktest.IsNil)
		_, err = io.ReadAll(a.Body)
		c.Assert(err, quicktest.IsNil)
		c.Check(p.Opened(), quicktest.Equals, test.opened, quicktest.Commentf("request %d", i))
	}
}

// Guards against taking an endpoint whose process has ended for one that runs, against using up the connection that is checked, and against opening one.
func TestIdleConnectionShowsEndOfEndpoint(t *testing.T) {
	c := quicktest.New(t)
	address, connections := endpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "")
	p := upstream.New()
	c.Check(p.CheckIdle(address), quicktest.Equals, upstream.NoIdle)
	get := upstream.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h"}
	a, err := p.Do(t.Context(), get)
	c.Assert(err, quicktest.IsNil)
	_, err = io.ReadAll(a.Body)
	c.Assert(err, quicktest.IsNil)
	c.Check(p.CheckIdle(address), quicktest.Equals, upstream.IdleOpen)
	c.Check(p.CheckIdle(address), quicktest.Equals, upstream.IdleOpen)
	c.Check(*connections, quicktest.Equals, 1)
}

// Guards against missing that the other end of an idle connection has closed it.
func TestIdleConnectionThatIsClosed(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	p := upstream.New()
	c.Assert(p.Probe(t.Context(), address), quicktest.IsNil)
	conn, err := listener.Accept()
	c.Assert(err, quicktest.IsNil)
	c.Check(p.CheckIdle(address), quicktest.Equals, upstream.IdleOpen)
	c.Assert(conn.Close(), quicktest.IsNil)
	c.Assert(listener.Close(), quicktest.IsNil)
	for range 100 {
		if idle := p.CheckIdle(address); idle != upstream.IdleOpen {
			c.Check(idle, quicktest.Equals, upstream.IdleClosed)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(p.CheckIdle(address), quicktest.Equals, upstream.NoIdle)
}
