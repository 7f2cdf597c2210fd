// Package network is an in-memory network with listeners and connections, latency, partitions and connections that
// silently drop data. It works inside a testing/synctest bubble, where timeouts take no real time.
package network

import (
	"context"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// connectTimeout bounds an attempt to connect across a partition, as the dialers of the system do.
const connectTimeout = time.Second

// Network connects hosts, which are IP addresses. It is safe for concurrent use.
type Network struct {
	Latency func(from, to netip.Addr) time.Duration // one way; nil for none
	mu      sync.Mutex
	listens map[netip.AddrPort]*listener
	conns   map[*Conn]bool
	cut     map[link]bool
}

type link struct{ from, to netip.Addr }

// New returns a network without hosts.
func New() *Network {
	return &Network{listens: map[netip.AddrPort]*listener{}, conns: map[*Conn]bool{}, cut: map[link]bool{}}
}

// Listen opens a listener.
func (n *Network) Listen(at netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listens[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, at: at, accept: make(chan *Conn, 64), closed: make(chan struct{})}
	n.listens[at] = l
	return l, nil
}

// Dialer returns the function that opens connections from a host, in the form that net/http takes.
func (n *Network) Dialer(from netip.Addr) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return n.dial(ctx, from, to)
	}
}

func (n *Network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	delay := n.latency(from, to.Addr()) + n.latency(to.Addr(), from)
	select {
	case <-ctx.Done():
		return nil, dialError(ctx.Err())
	case <-time.After(delay):
	}
	if n.isCut(from, to.Addr()) {
		// Nothing refuses a connection across a partition; only the dialler's own timeout ends the attempt.
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, dialError(ctx.Err())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listens[to]
	if l == nil {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	toServer, toClient := newHalf(), newHalf()
	client := &Conn{network: n, local: netip.AddrPortFrom(from, 1), remote: to, in: toClient, out: toServer}
	server := &Conn{network: n, local: to, remote: netip.AddrPortFrom(from, 1), in: toServer, out: toClient}
	select {
	case l.accept <- server:
	default:
		return nil, dialError(syscall.ECONNREFUSED)
	}
	n.conns[client], n.conns[server] = true, true
	return client, nil
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

func (n *Network) latency(from, to netip.Addr) time.Duration {
	if n.Latency == nil {
		return 0
	}
	return n.Latency(from, to)
}

func (n *Network) isCut(from, to netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}]
}

// Cut drops all data between two hosts, in both directions, until Heal.
func (n *Network) Cut(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{a, b}], n.cut[link{b, a}] = true, true
}

// Heal ends a Cut.
func (n *Network) Heal(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, link{a, b})
	delete(n.cut, link{b, a})
}

// HealAll ends all cuts. Connections that have lost bytes stay silent.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Silence makes the open connections between two hosts drop all data permanently; new connections work.
func (n *Network) Silence(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		l := link{c.local.Addr(), c.remote.Addr()}
		if l == (link{a, b}) || l == (link{b, a}) {
			c.out.silence()
		}
	}
}

// Break resets the open connections between two hosts.
func (n *Network) Break(a, b netip.Addr) {
	n.mu.Lock()
	var broken []*Conn
	for c := range n.conns {
		l := link{c.local.Addr(), c.remote.Addr()}
		if l == (link{a, b}) || l == (link{b, a}) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Close waits for dials in progress and closes all connections, so that no goroutine outlives the test.
func (n *Network) Close() {
	time.Sleep(2 * connectTimeout)
	n.mu.Lock()
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

type listener struct {
	network *Network
	at      netip.AddrPort
	accept  chan *Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listens, l.at)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// Conn is one end of a connection.
type Conn struct {
	network       *Network
	local, remote netip.AddrPort
	in, out       *half
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// OpenAndUnread reports whether the other end has not closed the connection and no bytes wait to be read.
func (c *Conn) OpenAndUnread() bool { return c.in.openAndUnread() }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	lost := c.network.isCut(c.local.Addr(), c.remote.Addr())
	return c.out.write(p, time.Now().Add(c.network.latency(c.local.Addr(), c.remote.Addr())), lost)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	lost := c.network.cut[link{c.local.Addr(), c.remote.Addr()}]
	c.network.mu.Unlock()
	c.in.close(net.ErrClosed)
	if !lost {
		c.out.close(io.EOF)
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { c.in.setReadDeadline(t); return nil }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { c.out.setWriteDeadline(t); return nil }
