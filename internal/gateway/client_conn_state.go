package gateway

import (
	"net"
	"sync"
	"time"
)

// connState is the state of a clientConn.
type connState int

const (
	stateNew    connState = iota // accepted; nothing has been read
	stateActive                  // a request has been received, at least in part, and has no response yet
	stateIdle                    // between requests
)

// newConnGrace is how long a draining instance waits for the first request of a new connection. A client connects to
// send a request, so one may already be in transit.
const newConnGrace = 400 * time.Millisecond

// connLifecycle tracks the state of a connection. The connection's goroutine changes the state, and a drain may
// interrupt its wait for a request.
//
// Invariant: an active connection never has the read deadline that interrupt sets.
type connLifecycle struct {
	conn net.Conn

	mu            sync.Mutex // guards all below, and calls of conn.SetReadDeadline by interrupt
	state         connState
	acceptedAt    time.Time
	isInterrupted bool // the current wait for a request was interrupted
}

// interrupt ends the connection's wait for a request, unless a request is being served or the connection is younger
// than newConnGrace. Data received by then is still read. A drain calls interrupt repeatedly until the connection has
// closed, because the connection's goroutine may set a new deadline in between.
func (l *connLifecycle) interrupt(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == stateActive || l.state == stateNew && now.Sub(l.acceptedAt) < newConnGrace {
		return
	}
	l.isInterrupted = true
	l.conn.SetReadDeadline(pastDeadline)
}

// markActive records that a request was received, at least in part. It reports whether the wait for the request was
// interrupted, in which case the connection needs a new read deadline.
func (l *connLifecycle) markActive() (wasInterrupted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasInterrupted = l.isInterrupted
	l.state, l.isInterrupted = stateActive, false
	return wasInterrupted
}

// markIdle records that the current request has been answered.
func (l *connLifecycle) markIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = stateIdle
}
