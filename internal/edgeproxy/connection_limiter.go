package edgeproxy

import (
	"sync"
	"time"
)

// connectionLimiter bounds the connections of clients, so that descriptors never run out. A new
// connection is accepted first; if it is one too many, the one that can best be spared
// is closed, and never one on which a request is open.
type connectionLimiter struct {
	maxConns     int
	evictsOldest bool // of those without a request the eldest goes, whatever it is at

	mu          sync.Mutex
	conns       map[*clientConn]struct{}
	silentCount int // of them, those on which nothing has come

	handOver      func(*clientConn) error // hands a connection to the process that takes over; nil: none does
	handOverCount int                     // connections that it is handing over just now
}

// isCrowded tells whether answers should close their connections. To close one that has
// been idle for a moment costs its client the next request, and a new connection, for
// which another would be closed; one that is told of the close with its answer loses
// nothing. Silent connections don't count: they give way at no cost.
func (l *connectionLimiter) isCrowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return (len(l.conns)-l.silentCount)*4 >= l.maxConns*3
}

func newConnectionLimiter(n int) *connectionLimiter {
	return &connectionLimiter{maxConns: n, conns: map[*clientConn]struct{}{}}
}

// add takes in a new connection and returns the one to be closed for it, if any,
// which is the new one where no other can be spared.
func (l *connectionLimiter) add(c *clientConn) (spare *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	for spare == nil && len(l.conns) >= l.maxConns {
		best := 0
		for o := range l.conns {
			if r := o.evictionPriority(now); r > best || r == best && r > 0 && o.stateSince.Before(spare.stateSince) {
				best, spare = r, o
			}
		}
		switch {
		case spare == nil:
			c.state = stateClosed
			return c
		case (spare.state != stateReading || !l.evictsOldest) && spare.hasUnreadData():
			// A request has come that was not read yet: one client more that means to ask. The rest of a head may have
			// come as well while its goroutine waits for the core: then it is whole, and the node's to answer.
			l.changeState(spare, stateReading)
			spare.stateSince, spare.lastReadAt, spare = now, now, nil
		default:
			l.changeState(spare, stateClosed)
			delete(l.conns, spare)
		}
	}
	l.conns[c] = struct{}{}
	l.silentCount++
	return spare
}

// evictIdle ends connections on which no request is open, for a drain: those idle, or silent since
// they came, for at least the given times. A request that has come on one and was not read
// keeps it. The caller closes what is returned.
func (l *connectionLimiter) evictIdle(idleFor, silentFor time.Duration) (shed []*clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := range l.conns {
		age := now.Sub(c.stateSince)
		if (c.state == stateIdle && age >= max(idleFor, writtenGrace) || c.state == stateSilent && age >= silentFor) && !c.hasUnreadData() {
			l.changeState(c, stateClosed)
			delete(l.conns, c)
			shed = append(shed, c)
		}
	}
	return shed
}

// changeState changes the state of a connection that counts. Called under the mutex.
func (l *connectionLimiter) changeState(c *clientConn, to clientConnState) {
	if c.state == stateSilent {
		l.silentCount--
	}
	c.state = to
}

// startHandOver has every connection handed over by move as soon as no request is on it.
func (l *connectionLimiter) startHandOver(move func(*clientConn) error) {
	l.mu.Lock()
	l.handOver = move
	var resting []*clientConn
	for c := range l.conns {
		if c.canHandOver() {
			resting = append(resting, c)
		}
	}
	l.mu.Unlock()
	for _, c := range resting {
		c.Conn.SetReadDeadline(expiredDeadline) // ends its Read, which hands it over
	}
}

// count is the number of connections, with those that are just being handed over: a process that ended now would drop them.
func (l *connectionLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) + l.handOverCount
}

// Ages past which a connection is spared more easily.
const (
	silentGrace  = 100 * time.Millisecond // clients that mean to ask do so as soon as they have connected
	idleGrace    = 2 * time.Second        // a client's due
	readingGrace = 500 * time.Millisecond // between the pieces of a head
	writtenGrace = 100 * time.Millisecond // after it an answer is on its way
)

// evictionPriority tells how easily a connection is spared; 0 is never. Those that came by hundreds
// and say nothing go first, then what has been idle for its due or is slow to send, and
// only then the rest. Called under the mutex.
func (c *clientConn) evictionPriority(now time.Time) int {
	age := now.Sub(c.stateSince)
	switch {
	case c.limiter.evictsOldest:
		if c.state == stateActive {
			return 0
		}
		return 1
	case c.state == stateSilent && age >= silentGrace:
		return 6
	case c.state == stateIdle && age >= idleGrace:
		return 5
	case c.state == stateReading && age >= readingGrace && now.Sub(c.lastReadAt) >= readingGrace:
		return 4
	case c.state == stateSilent:
		return 3
	case c.state == stateIdle && age >= writtenGrace:
		return 2
	case c.state == stateReading && age >= readingGrace:
		return 1 // it still writes a request, if slowly
	}
	return 0
}
