package graceful

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// ErrFinished is the error of Accept once a finished listener has no connection left. It is a net.ErrClosed.
var ErrFinished = fmt.Errorf("listener finished: %w", net.ErrClosed)

// Listener is a listener that can be closed without a reset for the connections that the kernel has accepted and the
// process has not. Its methods may be called by several goroutines.
type Listener struct {
	net.Listener

	mu         sync.Mutex
	isFinished bool
	backlog    []net.Conn // accepted by Finish
}

// NewListener returns a Listener of another listener, which it closes.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Finish ends the listening. Connections that the kernel has accepted by then are still returned by Accept.
func (l *Listener) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFinished = true
	l.backlog = AcceptPending(l.Listener)
	l.Listener.Close()
}

// Accept returns the next connection, those that were accepted by Finish last.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.isFinished:
		return nil, err
	case len(l.backlog) == 0:
		return nil, ErrFinished
	}
	conn, l.backlog = l.backlog[0], l.backlog[1:]
	return conn, nil
}

// AcceptPending returns the connections that the kernel has accepted at a listener, without waiting for more. One that
// is closed has none.
func AcceptPending(listener net.Listener) (all []net.Conn) {
	_ = ControlSocket(listener, func(fd int) { all = acceptPending(fd) })
	return all
}

// acceptPending is AcceptPending of a listening socket's descriptor.
func acceptPending(fd int) (all []net.Conn) {
	for {
		n, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err == syscall.EINTR || err == syscall.ECONNABORTED {
			continue
		}
		if err != nil {
			return all
		}
		file := os.NewFile(uintptr(n), "client")
		if conn, err := net.FileConn(file); err == nil {
			all = append(all, conn)
		}
		file.Close()
	}
}
