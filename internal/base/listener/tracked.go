package listener

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Tracked is a draining listener that closes the idle connections of its server in a planned stop. http.Server.Shutdown and SetKeepAlivesEnabled also
// close connections whose requests are being read; Tracked leaves a connection open once the first byte of a request has been read.
type Tracked struct {
	*Draining
	mu    sync.Mutex
	conns map[*conn]bool
}

const (
	// firstRequestWait is the time that a client has after connecting to send its first request in a planned stop; it equals that of http.Server.Shutdown.
	firstRequestWait = 5 * time.Second
	pollInterval     = 20 * time.Millisecond
	// arrivedWait is the time to read the first bytes of a request that has arrived before its connection is closed.
	arrivedWait = time.Millisecond
)

// Track returns a listener that is to be served by the given server only, without TLS. It sets the server's ConnState, which
// calls the one before.
func Track(l net.Listener, server *http.Server) *Tracked {
	t := &Tracked{Draining: New(l), conns: map[*conn]bool{}}
	before := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		t.observe(c, state)
		if before != nil {
			before(c, state)
		}
	}
	return t
}

// Accept implements net.Listener.
func (t *Tracked) Accept() (net.Conn, error) {
	accepted, err := t.Draining.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, idle: true, keepUntil: time.Now().Add(firstRequestWait)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
	return c, nil
}

func (t *Tracked) observe(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.setIdle(false) // a pipelined request is not seen by Read
	case http.StateIdle:
		tracked.setIdle(true)
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, tracked)
	case http.StateNew:
	}
}

// Shutdown accepts no more connections, closes those that are idle, and waits until all are closed. Requests on open connections are served meanwhile;
// the handler should set "Connection: close". It returns the error of ctx if that ends first; connections may be open then.
func (t *Tracked) Shutdown(ctx context.Context) error {
	t.Drain()
	_ = t.Close()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for t.closeIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeIdle returns the number of connections that were open before.
func (t *Tracked) closeIdle(now time.Time) int {
	t.mu.Lock()
	conns := slices.Collect(maps.Keys(t.conns))
	t.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle(now)
	}
	return len(conns)
}

// conn is a connection that can be closed only while no byte of an unanswered request has been read.
type conn struct {
	net.Conn

	mu           sync.Mutex
	idle         bool      // no byte of a request has been read since the last answer
	waiting      bool      // the server waits in Read for the first byte of a request; pipelined requests are in the server's buffer instead
	closing      bool      // Read reports the end of the connection, so that the server closes it
	keepUntil    time.Time // for the first request
	readDeadline time.Time // as set by the server
}

// NetConn returns the accepted connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.keepUntil = idle, time.Time{}
}

func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.waiting || now.Before(c.keepUntil) {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(now) // interrupts Read
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	if n == 0 && c.isClosing() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(arrivedWait))
		n, err = c.Conn.Read(p)
	}
	if c.endRead(n) {
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = c.idle
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// endRead reports whether the server is to close the connection, unless the beginning of a request has arrived.
func (c *conn) endRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if n == 0 {
		return c.closing
	}
	c.idle = false
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	return false
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite closes the writing side, with which http.Server ends answers to requests that it has not read completely.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}
