package upstream

import (
	"net"
	"net/netip"
	"syscall"
)

// Idle states whether there is an open connection to an endpoint that no request uses.
type Idle int

// States of idle connections.
const (
	NoIdle     Idle = iota
	IdleOpen        // the endpoint's process has not ended since the connection was opened
	IdleClosed      // the endpoint has closed one, perhaps because it was idle for too long
)

// CheckIdle checks the connection to an address that was used last, without opening one.
func (p *Pool) CheckIdle(address netip.AddrPort) Idle {
	p.mu.Lock()
	list := p.idle[address]
	if len(list) == 0 {
		p.mu.Unlock()
		return NoIdle
	}
	c := list[len(list)-1] // no other caller may read from it meanwhile
	p.idle[address] = list[:len(list)-1]
	p.mu.Unlock()
	if !openAndUnread(c.Conn) {
		_ = c.Close()
		return IdleClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
	return IdleOpen
}

// openAndUnread reports whether an idle connection is open and has no unread bytes. Bytes that belong to no request make a
// connection unusable, as does end of file.
func openAndUnread(c net.Conn) bool {
	if checked, ok := c.(interface{ OpenAndUnread() bool }); ok { // it is no socket
		return checked.OpenAndUnread()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
