package edgeproxy

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"mulleinmux/internal/fairqueue"
	"mulleinmux/internal/graceful"
)

// evictionPause is the time between two connections that cost a request, because it is refused or its connection
// evicted. It leaves the processor to the other requests when clients connect again at once.
const evictionPause = time.Millisecond

// receiveBufferLimit is the size in bytes of the kernel's receive buffer of a client connection; the kernel doubles it.
// By default a client may have tens of megabytes there that the node does not read.
const receiveBufferLimit = 256 << 10

// limitReceiveBuffer limits the receive buffers of the connections that a listener will accept.
func limitReceiveBuffer(ln net.Listener) {
	// A listener without a socket, or a kernel that refuses, has its own limit.
	_ = graceful.ControlSocket(ln, func(fd int) {
		_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferLimit)
	})
}

// limitedListener accepts client connections within the limit of a connectionLimiter. To accept one takes a turn, which
// lasts until the connection's first request is processed, or not received yet: all clients that connect anew have
// together as much of the processor as one connection that sends requests.
type limitedListener struct {
	*graceful.Listener
	limiter *connectionLimiter
	turn    *connTurn

	done chan struct{} // closed once no more connections are accepted; nil if nothing waits for that
}

// Accept returns the next connection that is within the limit. It closes the connection that is evicted for it. A
// connection that is not within the limit has its first request refused.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, graceful.ErrFinished) {
			err = http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		l.limiter.awaitRoom()
		l.turn.await(fairqueue.AcceptCost)
		c := newClientConn(nc, l.limiter)
		switch evicted := l.limiter.add(c); evicted {
		case c:
			l.turn.end()
			l.limiter.refuse(c)
			time.Sleep(evictionPause)
			continue
		case nil:
		default:
			l.closeEvicted(evicted)
		}
		l.turn.handOn(c.turn)
		return c, nil
	}
}

// closeEvicted closes a connection that was evicted. It ends the turn first if that may take time.
func (l *limitedListener) closeEvicted(evicted *clientConn) {
	if evicted.stateBeforeEviction() == stateReading {
		l.turn.end()
	}
	if evicted.closeEvicted() {
		time.Sleep(evictionPause)
	}
}
