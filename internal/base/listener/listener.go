// Package listener keeps a planned stop from resetting connections that clients have opened and the server has not accepted yet, and from closing
// connections whose requests the server has read.
package listener

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Draining is a listener that can accept all waiting connections before it is closed.
type Draining struct {
	net.Listener
	drained   chan struct{} // closed when no connection waits any more
	closed    chan struct{}
	drainOnce sync.Once
	closeOnce sync.Once
}

// acceptWait is the time to accept waiting connections, and those that are being established: some round trips within a region.
const acceptWait = 50 * time.Millisecond

// New returns a draining listener.
func New(l net.Listener) *Draining {
	return &Draining{Listener: l, drained: make(chan struct{}), closed: make(chan struct{})}
}

// deadliner is implemented by listeners of TCP.
type deadliner interface{ SetDeadline(at time.Time) error }

// Drain waits until the server has accepted the connections that wait; the server accepts none after that. Call it before
// http.Server.Shutdown, which closes listeners while it accepts nothing.
func (d *Draining) Drain() {
	l, ok := d.Listener.(deadliner)
	if !ok || l.SetDeadline(time.Now().Add(acceptWait)) != nil {
		return
	}
	select {
	case <-d.drained:
	case <-d.closed:
	case <-time.After(2 * acceptWait): // nobody accepts
	}
}

// SyscallConn implements syscall.Conn for listeners of TCP.
func (d *Draining) SyscallConn() (syscall.RawConn, error) {
	socket, ok := d.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return socket.SyscallConn()
}

// Accept implements net.Listener.
func (d *Draining) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		return conn, err
	}
	d.drainOnce.Do(func() { close(d.drained) })
	<-d.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (d *Draining) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return d.Listener.Close()
}
