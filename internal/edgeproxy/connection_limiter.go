package edgeproxy

import (
	"sync"
	"time"
)

// connectionLimiter limits the number of client connections, so that the process never runs out of descriptors. A new
// connection is accepted first; if it exceeds the limit, the connection with the highest eviction priority is closed. A
// connection with an active request is never evicted.
type connectionLimiter struct {
	maxConns     int
	evictsOldest bool // ignore states and evict the oldest connection that has no active request

	mu            sync.Mutex // also guards the state of each connection
	conns         map[*clientConn]struct{}
	silentCount   int                     // connections in stateSilent
	handOver      func(*clientConn) error // hands a connection over to the successor process; nil: no handover
	handOverCount int                     // connections whose handover is in progress
}

// newConnectionLimiter returns a limiter for at most maxConns connections.
func newConnectionLimiter(maxConns int) *connectionLimiter {
	return &connectionLimiter{maxConns: maxConns, conns: map[*clientConn]struct{}{}}
}

// isNearLimit reports whether responses should close their connections; see isNearConnLimit.
func (l *connectionLimiter) isNearLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return isNearConnLimit(len(l.conns)-l.silentCount, l.maxConns)
}

// add adds a new connection and returns the connection to be evicted for it, if any; that is the new one if no other
// can be evicted. The caller closes the returned connection.
func (l *connectionLimiter) add(c *clientConn) (evicted *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c.stateSince = now
	for evicted == nil && len(l.conns) >= l.maxConns {
		evicted = l.evictionCandidate(now)
		switch {
		case evicted == nil:
			c.state = stateClosed
			return c
		case (evicted.state != stateReading || !l.evictsOldest) && evicted.hasUnreadData():
			// A request, or the rest of one, was received and has not been read yet: it must be answered.
			l.changeState(evicted, stateReading)
			evicted.stateSince, evicted.lastReadAt = now, now
			evicted = nil
		default:
			l.changeState(evicted, stateClosed)
			delete(l.conns, evicted)
		}
	}
	l.conns[c] = struct{}{}
	l.silentCount++
	return evicted
}

// evictionCandidate returns the connection with the highest eviction priority and, among equals, the oldest. It returns
// nil if none can be evicted. Called under the mutex.
func (l *connectionLimiter) evictionCandidate(now time.Time) (candidate *clientConn) {
	highest := evictNever
	for c := range l.conns {
		priority := c.activity(now).evictionPriority(l.evictsOldest)
		isOlder := priority == highest && priority > evictNever && c.stateSince.Before(candidate.stateSince)
		if priority > highest || isOlder {
			highest, candidate = priority, c
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
	for c := range l.conns {
		if c.activity(now).isUnusedFor(minIdle, minSilent) && !c.hasUnreadData() {
			l.changeState(c, stateClosed)
			delete(l.conns, c)
			evicted = append(evicted, c)
		}
	}
	return evicted
}

// changeState changes the state of a connection that is in the limiter. Called under the mutex.
func (l *connectionLimiter) changeState(c *clientConn, to clientConnState) {
	if c.state == stateSilent {
		l.silentCount--
	}
	c.state = to
}

// startHandOver calls handOver for every connection as soon as no request is on it.
func (l *connectionLimiter) startHandOver(handOver func(*clientConn) error) {
	l.mu.Lock()
	l.handOver = handOver
	var idle []*clientConn
	for c := range l.conns {
		if c.canHandOver() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Conn.SetReadDeadline(expiredDeadline) // ends the pending Read, which performs the handover
	}
}

// count returns the number of connections, including those whose handover is in progress: if the process exited now,
// they would be dropped.
func (l *connectionLimiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) + l.handOverCount
}
