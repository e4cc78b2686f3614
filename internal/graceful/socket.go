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

// States of a TCP connection in Linux: reset, and closed by the peer (TCP_CLOSE, TCP_CLOSE_WAIT and TCP_LAST_ACK).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// IsPeerGone reports whether the peer of a connection has closed or reset it, also behind data that was not read.
func IsPeerGone(conn net.Conn) bool {
	isGone := false
	err := ControlSocket(conn, func(fd int) {
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff // its first byte
		isGone = err == nil && (state == tcpClose || state == tcpCloseWait || state == tcpLastAck)
	})
	return isGone || err != nil && err != ErrNoSocket
}
