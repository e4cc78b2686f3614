package gateway

import (
	"net"
	"sync"
	"time"
)

// connState is the state of a connection of a client, or of another site's instance.
type connState int

const (
	stateNew    connState = iota // accepted, and nothing was read
	stateActive                  // a request was read, or a part of one, and has no response yet
	stateIdle                    // between requests
)

// newConnGrace is how long a draining instance waits for the first request of a connection: a client connects in order
// to send one, and it may be on its way.
const newConnGrace = 400 * time.Millisecond

// connLife is the state of a connection. Its goroutine changes the state; a drain interrupts its wait for a request.
//
// Invariant: the read deadline of an active connection is never one that interrupt has set.
type connLife struct {
	conn net.Conn

	mu            sync.Mutex // guards all below, and calls of conn.SetReadDeadline by interrupt
	state         connState
	acceptedAt    time.Time
	isInterrupted bool // since the connection waits for its next request
}

// interrupt ends a connection's wait for a request, if a drain at this time may: what was received by then is still
// read. It is called again until the connection has ended, since its goroutine may have set a deadline meanwhile.
func (l *connLife) interrupt(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == stateActive || l.state == stateNew && now.Sub(l.acceptedAt) < newConnGrace {
		return
	}
	l.isInterrupted = true
	l.conn.SetReadDeadline(pastDeadline)
}

// activate records that a request, or part of one, was received. It reports whether the wait for it was interrupted:
// the connection then needs a new read deadline.
func (l *connLife) activate() (wasInterrupted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasInterrupted = l.isInterrupted
	l.state, l.isInterrupted = stateActive, false
	return wasInterrupted
}

// idle records that the last request has its response.
func (l *connLife) idle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = stateIdle
}
