package edgeproxy

import (
	"errors"
	"net"
	"os"
	"syscall"

	"mulleinmux/internal/graceful"
)

// States of a TCP connection in Linux: reset, and closed by the peer (TCP_CLOSE, TCP_CLOSE_WAIT and TCP_LAST_ACK).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// isPeerGone tells whether the peer of a connection has closed or reset it.
func isPeerGone(c net.Conn) bool {
	isGone := false
	err := graceful.ControlSocket(c, func(fd int) {
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff // its first byte
		isGone = err == nil && (state == tcpClose || state == tcpCloseWait || state == tcpLastAck)
	})
	return isGone || err != nil && err != graceful.ErrNoSocket
}

// duplicateDescriptor returns another descriptor of a listener's socket.
func duplicateDescriptor(ln net.Listener) (*os.File, error) {
	l, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("handover: the clients' socket has no descriptor")
	}
	return l.File()
}
