package edgeproxy

import (
	"errors"
	"net"
	"net/http"

	"mulleinmux/internal/graceful"
)

// limitedListener accepts client connections within the limit of a connectionLimiter.
type limitedListener struct {
	*graceful.Listener
	limiter *connectionLimiter

	done chan struct{} // closed once no more connections are accepted; nil if nothing waits for that
}

// Accept returns the next connection that is within the limit. It closes the connection that is evicted for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, graceful.ErrFinished) {
			err = http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		c := newClientConn(nc, l.limiter)
		evicted := l.limiter.add(c)
		if evicted != nil {
			evicted.Conn.Close()
		}
		if evicted != c {
			return c, nil
		}
	}
}
