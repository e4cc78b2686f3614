package gateway

import (
	"context"
	"sync"
)

// attemptControl lets other goroutines abort an exchange. The mutex guards all fields except the last two, which only
// the goroutine of the exchange uses.
type attemptControl struct {
	mu         sync.Mutex
	conn       *serverConn        // that carries the exchange; nil: before start and after finish
	cancelDial context.CancelFunc // of the dial in progress; nil: no dial is in progress
	hasStarted bool               // a connection was attached
	isAborted  bool
	aborted    chan struct{} // closed by abort; nil: awaitAbort has not been called

	source       requestSource // confirms the client before the first byte is written; nil: no check
	isClientGone bool          // source did not confirm the client, so nothing was written
}

// abort makes the exchange return at once.
func (k *attemptControl) abort() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.abortLocked()
}

// abortLocked is abort. The caller must hold mu.
func (k *attemptControl) abortLocked() {
	if !k.isAborted {
		closeIfSet(k.aborted)
	}
	k.isAborted = true
	if k.conn != nil {
		k.conn.nc.SetDeadline(pastDeadline)
	}
	if k.cancelDial != nil {
		k.cancelDial()
	}
}

// abortDial makes the exchange return at once if it has not got a connection yet, and reports whether that is so.
func (k *attemptControl) abortDial() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasStarted {
		return false
	}
	k.abortLocked()
	return true
}

// awaitAbort returns a channel that is closed once the exchange is aborted.
func (k *attemptControl) awaitAbort() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return signal(&k.aborted, k.isAborted)
}

// start attaches a connection to the exchange and prepares it. It returns false if the exchange was aborted.
func (k *attemptControl) start(c *serverConn, request *exchangeRequest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isAborted {
		return false
	}
	k.conn, k.hasStarted = c, true
	c.beginExchange(k, request)
	return true
}

// setReadDeadline sets the read deadline of the exchange's connection, unless the exchange was aborted.
func (k *attemptControl) setReadDeadline(c *serverConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isAborted {
		c.nc.SetReadDeadline(c.waitsUntil)
	}
}

// finish detaches the connection from the exchange. It returns false if the exchange was aborted: then the connection
// has an expired deadline and can't be reused.
func (k *attemptControl) finish() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = nil
	return !k.isAborted
}

func (k *attemptControl) setDialCancel(cancel context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelDial = cancel; cancel != nil && k.isAborted {
		cancel()
	}
}

// signal returns the channel of a condition. It makes the channel on the first call, closed if the condition is met.
func signal(channel *chan struct{}, isMet bool) <-chan struct{} {
	if *channel == nil {
		*channel = make(chan struct{})
		if isMet {
			close(*channel)
		}
	}
	return *channel
}

// closeIfSet closes a channel unless it is nil.
func closeIfSet(channel chan struct{}) {
	if channel != nil {
		close(channel)
	}
}
