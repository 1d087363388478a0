package connection

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes or the other side's end have arrived on the socket of a connection that were not read; of a
// connection without a socket it says no. A read whose deadline has passed before it begins does not look for them.
func HasUnread(connection net.Conn) bool {
	for {
		wrapper, ok := connection.(wrapper)
		if !ok {
			break
		}
		connection = wrapper.NetConn()
	}
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(descriptor uintptr) {
		_, _, peeked = unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && (peeked == nil || peeked == unix.ECONNRESET)
}
