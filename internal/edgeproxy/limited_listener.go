package edgeproxy

import (
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
)

// limitedListener counts what it accepts.
type limitedListener struct {
	net.Listener
	limiter *connectionLimiter

	mu         sync.Mutex
	isFinished bool          // by finish
	backlog    []net.Conn    // accepted by finish
	done       chan struct{} // closed once nothing more is accepted; nil where nobody waits for that
}

// finish ends the listening. What the machine has accepted by then is the node's to answer, also where the program has not
// come to it: closing at once would reset it.
func (l *limitedListener) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFinished = true
	_ = controlSocket(l.Listener, func(fd int) { l.backlog = acceptPending(fd) }) // of one that is closed there is no rest
	l.Listener.Close()
}

// acceptNext returns the next connection, those of finish last.
func (l *limitedListener) acceptNext() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		return nc, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.isFinished:
		return nil, err
	case len(l.backlog) == 0:
		return nil, http.ErrServerClosed
	}
	nc, l.backlog = l.backlog[0], l.backlog[1:]
	return nc, nil
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		c := newClientConn(nc, l.limiter)
		spare := l.limiter.add(c)
		if spare != nil {
			spare.Conn.Close()
		}
		if spare != c {
			return c, nil
		}
	}
}

// acceptPending accepts the connections that wait at a listening socket, without waiting for more.
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
		if c, err := net.FileConn(file); err == nil {
			all = append(all, c)
		}
		file.Close()
	}
}
