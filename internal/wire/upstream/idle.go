package upstream

import (
	"net"
	"syscall"
)

// openAndUnread reports whether an idle connection is open and has no unread bytes. Bytes that belong to no request make a
// connection unusable, as does end of file.
func openAndUnread(c net.Conn) bool {
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
