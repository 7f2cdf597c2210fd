// Package clients limits what the clients of a process can make it hold: connections, heads of requests, and bytes that have arrived and are not read yet.
// net/http bounds each head, but neither their sum nor the number of connections.
package clients

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/limit/buffers"
)

// Limits are shared by the listeners of a process. They are safe for concurrent use.
type Limits struct {
	options Options
	heads   *buffers.Budget
}

// New returns limits for a process.
func New(opts ...Option) *Limits {
	o := newOptions(opts)
	return &Limits{options: o, heads: buffers.New(o.Memory / headShare)}
}

const (
	// headShare is the part of the memory of a process, as a divisor, that the heads of all requests may take; bodies have a quarter.
	headShare = 8
	// connShare is the part of the file descriptors, as a divisor, that the connections of callers may take. A request needs a second descriptor for its endpoint.
	connShare = 2
	// connMemory is what a connection takes in memory, in bytes: stacks, buffers of net/http and the state of a request that waits for its body.
	connMemory = 32 << 10
	// connMemoryShare is the part of the memory of a process, as a divisor, that connections may take.
	connMemoryShare = 4
	// linkShare is the part of the file descriptors, as a divisor, that links of other instances may take.
	linkShare = 4
	// fewConns is the number of connections of a listener for checks and metrics, which one or two clients use.
	fewConns = 64
	// bufferSize bounds what the system keeps in each direction of one connection, in bytes.
	bufferSize = 16 << 10
)

// Conns returns the number of connections for a listener that serves requests.
func (l *Limits) Conns() int {
	n := l.options.Files / connShare
	if l.options.MemoryKnown {
		n = min(n, int(l.options.Memory/connMemoryShare/connMemory))
	}
	return n
}

// Links returns the number of links that other instances may open.
func (l *Limits) Links() int { return l.options.Files / linkShare }

// Listener accepts connections within limits. While as many are open as allowed, the one that has waited longest for the rest of its request, or else for its
// next request, gives way to a new one.
type Listener struct {
	net.Listener
	limits *Limits
	name   string
	max    int
	head   func() int

	mu      sync.Mutex
	open    int
	waiting list.List // of *conn: no request has been read yet, the longest wait first
	reading list.List // of *conn: the body of a request has not been read
	idle    list.List // of *conn: between two requests
}

// Limit returns a listener for requests of a server, and sets the server's ConnState, ConnContext and Handler.
func (l *Limits) Limit(inner net.Listener, server *http.Server, opts ...ListenOption) *Listener {
	limited := &Listener{Listener: inner, limits: l, max: l.Conns()}
	for _, opt := range opts {
		opt(limited)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if limited := unwrap(c); limited != nil {
			limited.observe(state)
		}
	}
	if limited.head != nil {
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, unwrap(c))
		}
		server.Handler = observeBodies(server.Handler)
	}
	l.setBuffers(inner)
	return limited
}

// unwrap returns the connection of this package inside c, or nil.
func unwrap(c net.Conn) *conn {
	for {
		if limited, ok := c.(*conn); ok {
			return limited
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = outer.NetConn()
	}
}

// setBuffers bounds the unread and the unsent bytes of each connection, also of those that wait to be accepted. The system would let them grow to megabytes.
func (l *Limits) setBuffers(inner net.Listener) {
	socket, ok := inner.(syscall.Conn)
	if !ok {
		return // of a test
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		var failed error
		err = raw.Control(func(fd uintptr) {
			failed = errs.Combine(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferSize),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bufferSize))
		})
		err = errs.Combine(err, failed)
	}
	if err != nil {
		event.Log(context.Background(), l.options.Logger, event.ClientBufferUnset, slog.Int("Bytes", bufferSize), slog.Any("Error", err))
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		l.log("too many connections", accepted, l.max)
		_ = accepted.Close()
	}
}

// admit returns nil if the requests of all open connections have been read and are being answered.
func (l *Listener) admit(accepted net.Conn) *conn {
	l.mu.Lock()
	var victim *conn
	if l.open >= l.max {
		if victim = l.longest(); victim == nil {
			l.mu.Unlock()
			return nil
		}
		victim.removeLocked()
	}
	c := &conn{Conn: accepted, listener: l, inHead: true, heads: l.limits.heads.Account()}
	c.place, c.element = &l.waiting, l.waiting.PushBack(c)
	l.open++
	l.mu.Unlock()
	if victim != nil {
		l.log("gives way to a new connection", victim.Conn, l.max)
		_ = victim.Close() // its server notices
	}
	return c
}

// longest returns the connection that has waited longest, first among those whose first request has not been read.
func (l *Listener) longest() *conn {
	for _, candidates := range []*list.List{&l.waiting, &l.reading, &l.idle} {
		if e := candidates.Front(); e != nil {
			return e.Value.(*conn)
		}
	}
	return nil
}

func (l *Listener) log(reason string, c net.Conn, limit int) {
	event.Log(context.Background(), l.limits.options.Logger, event.ClientRefused, slog.String("Listener", l.name), slog.String("Reason", reason),
		slog.String("Client", c.RemoteAddr().String()), slog.Int("Limit", limit))
}
