package edgeproxy

import (
	"slices"
	"sync"
	"time"
)

// connectionLimiter limits the number of client connections, so that the process never runs out of descriptors. A new
// connection is accepted first; if it exceeds the limit, the connection with the highest eviction priority is closed. A
// connection with an active request is never evicted.
type connectionLimiter struct {
	maxConns     int
	maxRefusals  int            // connections beyond the limit whose request may be refused at a time
	evictsOldest bool           // ignore states and evict the oldest connection that has no active request
	memory       *memoryAccount // of what the connections make the process hold; nil: not counted
	turns        *turnQueue     // nil: a request is processed as soon as it is received
	events       *hostCounters  // nil: not counted

	mu            sync.Mutex              // also guards the state of each connection
	conns         []*clientConn           // in no order
	freeCount     int                     // connections that can be evicted without loss: see isFree
	handOver      func(*clientConn) error // hands a connection over to the successor process; nil: no handover
	handOverCount int                     // connections whose handover is in progress
	refusalCount  int                     // connections beyond the limit whose request is being refused
	receiveBuffer [receiveBufferBytes]byte
}

// newConnectionLimiter returns a limiter for at most maxConns connections.
func newConnectionLimiter(maxConns int) *connectionLimiter {
	return &connectionLimiter{maxConns: maxConns}
}

// isNearLimit reports whether a response should close its connection c; see isNearConnLimit.
func (l *connectionLimiter) isNearLimit(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	inUse := len(l.conns) - l.freeCount
	if c.isFree() {
		inUse++
	}
	return isNearConnLimit(inUse, l.maxConns)
}

// add adds a new connection and returns the connection to be evicted for it, if any; that is the new one if no other
// can be evicted. The caller closes the returned connection.
func (l *connectionLimiter) add(c *clientConn) (evicted *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	for evicted == nil && len(l.conns) >= l.maxConns {
		candidate := l.evictionCandidate(now)
		evicted = candidate.conn
		switch {
		case evicted == nil || candidate.priority.prefersRefusal(candidate.idleConns, l.maxConns) && l.mayRefuse():
			c.state = stateClosed
			return c
		case (evicted.state != stateReading || !l.evictsOldest) && evicted.hasUnreadData():
			// A request, or the rest of one, was received and has not been read yet: it must be answered.
			l.changeState(evicted, stateReading)
			evicted.stateSince, evicted.lastReadAt = now, now
			evicted = nil
		default:
			evicted.evictedFrom = evicted.state
			l.changeState(evicted, stateClosed)
			l.remove(evicted)
		}
	}
	c.index = len(l.conns)
	l.conns = append(l.conns, c)
	l.freeCount++
	return evicted
}

// The wait of awaitRoom.
const (
	maxRoomPolls     = 20 // a count: while the process gets no processor, it closes no connection either
	roomPollInterval = time.Millisecond
)

// awaitRoom waits while the limit is reached and a connection is about to be closed, for maxRoomPolls at most. Otherwise
// a connection between requests would be evicted for a new one although there is room in a moment, and the next request
// of its client would be lost: during a drain each answer ends its connection, and clients connect anew at once.
func (l *connectionLimiter) awaitRoom() {
	for range maxRoomPolls {
		if !l.isRoomDue(time.Now()) {
			return
		}
		time.Sleep(roomPollInterval) // the goroutines that close connections run meanwhile
	}
}

// isRoomDue reports whether the limit is reached and a connection is about to be closed.
func (l *connectionLimiter) isRoomDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.maxConns {
		return false
	}
	return slices.ContainsFunc(l.conns, func(c *clientConn) bool { return c.activity(now).endsSoon() })
}

// evictionCandidate is the connection with the highest eviction priority.
type evictionCandidate struct {
	conn      *clientConn // nil if none can be evicted
	priority  evictionPriority
	idleConns int // connections between requests, of all
}

// evictionCandidate returns the connection with the highest eviction priority and, among equals, the oldest. Called under
// the mutex.
func (l *connectionLimiter) evictionCandidate(now time.Time) (candidate evictionCandidate) {
	for _, c := range l.conns {
		priority := c.activity(now).evictionPriority(l.evictsOldest)
		if c.state.isBetweenRequests() {
			candidate.idleConns++
		}
		isEqual := priority == candidate.priority && priority > evictNever
		if priority > candidate.priority || isEqual && c.stateSince.Before(candidate.conn.stateSince) {
			candidate.conn, candidate.priority = c, priority
		}
	}
	return candidate
}

// evictIdle removes connections without an active request, for a drain: those for which isUnusedFor is true and that
// have no unread data. The caller closes the returned connections.
func (l *connectionLimiter) evictIdle(minIdle, minSilent time.Duration) (evicted []*clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, c := range l.conns {
		if c.activity(now).isUnusedFor(minIdle, minSilent) && !c.hasUnreadData() {
			evicted = append(evicted, c)
		}
	}
	for _, c := range evicted {
		l.changeState(c, stateClosed)
		l.remove(c)
	}
	return evicted
}

// remove removes a connection, if it is in the limiter. Called under the mutex.
func (l *connectionLimiter) remove(c *clientConn) {
	last := len(l.conns) - 1
	if c.index > last || l.conns[c.index] != c {
		return
	}
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
}

// changeState changes the state of a connection that is in the limiter. Called under the mutex.
func (l *connectionLimiter) changeState(c *clientConn, to clientConnState) {
	if c.isFree() {
		l.freeCount--
	}
	if c.state = to; c.isFree() {
		l.freeCount++
	}
}

// startHandOver calls handOver for every connection as soon as no request is on it.
func (l *connectionLimiter) startHandOver(handOver func(*clientConn) error) {
	l.mu.Lock()
	l.handOver = handOver
	var idle []*clientConn
	for _, c := range l.conns {
		if c.canHandOver() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Conn.SetReadDeadline(expiredDeadline) // ends the pending Read, which performs the handover
	}
}

// count returns the number of connections, including those whose handover or refusal is in progress: if the process
// exited now, they would be dropped.
func (l *connectionLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) + l.handOverCount + l.refusalCount
}
