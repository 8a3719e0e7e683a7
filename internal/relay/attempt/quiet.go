package attempt

import (
	"net"
	"syscall"
)

// isIdle reports whether a pooled connection is open and has no unread byte. A
// byte there belongs to a late answer or to another request's answer.
func isIdle(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
