package graceful

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrFinished is returned by Accept once a finished listener has no connection left. It wraps [net.ErrClosed].
var ErrFinished = fmt.Errorf("listener finished: %w", net.ErrClosed)

// Listener is a listener that can be closed without resetting the connections in the kernel's backlog, which the
// process has not accepted. Its methods may be called by several goroutines.
type Listener struct {
	net.Listener

	mu         sync.Mutex
	isFinished bool
	backlog    []net.Conn // accepted by Finish and not yet returned by Accept
}

// NewListener returns a Listener that wraps inner. Closing it closes inner.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Finish closes the listener. Accept still returns the connections that were in the kernel's backlog. While no
// descriptor or memory is left for one, Finish tries again until retryUntil, so the caller should free some meanwhile.
func (l *Listener) Finish(retryUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFinished = true
	l.backlog = AcceptPending(l.Listener, retryUntil)
	l.Listener.Close()
}

// Accept returns the next connection. Those that Finish has accepted are returned last. A transient error is not
// returned: Accept tries again after a pause.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for IsTransientAcceptError(err) {
		time.Sleep(acceptRetryInterval)
		conn, err = l.Listener.Accept()
	}
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

// AcceptPending accepts the connections in the kernel's backlog of a listener, without waiting for more. It returns
// none for a closed listener. If no descriptor or memory is left, it tries again until retryUntil: the kernel resets the
// connections that are still in the backlog when the listener is closed.
func AcceptPending(listener net.Listener, retryUntil time.Time) (conns []net.Conn) {
	_ = ControlSocket(listener, func(fd int) { conns = acceptPending(fd, retryUntil) })
	return conns
}

// acceptPending is AcceptPending on the descriptor of a listening socket.
func acceptPending(fd int, retryUntil time.Time) (conns []net.Conn) {
	for {
		conn, err := acceptNow(fd)
		switch {
		case err == nil:
			conns = append(conns, conn)
		case errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED): // the next one may succeed
		case errors.Is(err, syscall.EAGAIN) || !IsTransientAcceptError(err) || !time.Now().Before(retryUntil):
			return conns
		default:
			time.Sleep(acceptRetryInterval)
		}
	}
}

// acceptNow accepts a connection from a listening socket without waiting for one.
func acceptNow(fd int) (net.Conn, error) {
	connFD, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(connFD), "client")
	defer file.Close()
	// FileConn opens a duplicate of the descriptor.
	return OpenSocket(func() (net.Conn, error) { return net.FileConn(file) })
}
