package deployment

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// sockets holds listeners on free ports. They are opened when their addresses are chosen, so that deployments running
// concurrently on one machine do not take each other's ports.
type sockets struct {
	mu   sync.Mutex
	open map[netip.AddrPort]net.Listener
}

func newSockets() *sockets { return &sockets{open: map[netip.AddrPort]net.Listener{}} }

func (s *sockets) reserve(host netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[at] = l
	return at, nil
}

// listen returns the listener that was opened for the address, or opens it again after a restart.
func (s *sockets) listen(at netip.AddrPort) (net.Listener, error) {
	s.mu.Lock()
	l, ok := s.open[at]
	delete(s.open, at)
	s.mu.Unlock()
	if ok {
		return l, nil
	}
	return net.Listen("tcp", at.String())
}

func dialer(netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext
}
