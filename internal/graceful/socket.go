// Package graceful has what a server needs to end without cutting off a client: a listener that accepts what the kernel
// has accepted before it closes, and a look at what a socket has received and nobody has read.
package graceful

import (
	"errors"
	"net"
	"syscall"
)

// ErrNoSocket is the error of a connection or listener without a descriptor.
var ErrNoSocket = errors.New("no socket")

// ControlSocket calls f with the descriptor of a connection or a listener, whatever its deadlines. The error is
// ErrNoSocket if it has none; any other error means that it is closed.
func ControlSocket(of any, f func(fd int)) error {
	conn, ok := of.(syscall.Conn)
	if !ok {
		return ErrNoSocket
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// HasUnreadData reports whether a connection's socket has received something that was not read.
func HasUnreadData(conn net.Conn) bool {
	hasData := false
	var buffer [1]byte
	err := ControlSocket(conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasData = err == nil && n > 0
	})
	return err == nil && hasData
}
