// Package graceful helps a server to shut down without cutting off clients: a listener that accepts the kernel's
// backlog before it closes, and checks for unread data and disconnected peers.
package graceful

import (
	"errors"
	"net"
	"syscall"
)

// ErrNoSocket is returned for a connection or listener without a file descriptor.
var ErrNoSocket = errors.New("connection or listener has no file descriptor")

// ControlSocket calls f with the file descriptor of a connection or listener, regardless of its deadlines. It returns
// ErrNoSocket if there is no descriptor; any other error means that the connection or listener is closed.
func ControlSocket(socket any, f func(fd int)) error {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return ErrNoSocket
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// HasUnreadData reports whether a connection's socket has received data that was not read.
func HasUnreadData(conn net.Conn) bool {
	hasData := false
	var buffer [1]byte
	err := ControlSocket(conn, func(fd int) {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasData = err == nil && n > 0
	})
	return err == nil && hasData
}

// Linux states of a TCP connection that was reset (TCP_CLOSE) or closed by the peer (TCP_CLOSE_WAIT, TCP_LAST_ACK).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// IsPeerDisconnected reports whether the peer of a connection has closed or reset it, even if there is unread data.
func IsPeerDisconnected(conn net.Conn) bool {
	state, err := tcpState(conn)
	isGone := state == tcpClose || state == tcpCloseWait || state == tcpLastAck
	return isGone || err != nil && err != ErrNoSocket
}

// IsReset reports whether a connection was reset. A connection that its peer has closed is reset once the peer receives
// data after that.
func IsReset(conn net.Conn) bool {
	state, err := tcpState(conn)
	return err == nil && state == tcpClose
}

// tcpState returns the state of a connection, or 0 if the kernel does not tell it. The error is that of ControlSocket.
func tcpState(conn net.Conn) (state int, err error) {
	err = ControlSocket(conn, func(fd int) {
		if info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			state = info & 0xff // the first byte of TCP_INFO
		}
	})
	return state, err
}
