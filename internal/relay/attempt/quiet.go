package attempt

import (
	"net"
	"syscall"
)

// isQuiet reports whether an idle connection is open and holds no byte. A
// byte on an idle connection is a late or crossed answer.
func isQuiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
