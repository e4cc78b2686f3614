package edgeproxy

import (
	"net/http"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/httpboundary"
)

const (
	minRefusals    = 16                     // connections beyond the limit, for which reservedDescriptors has room
	maxRefusals    = 128                    // the same where there are descriptors for more connections than memory
	refusalTimeout = 100 * time.Millisecond // for the head of a request that is refused

	refusalPollInterval = 2 * time.Millisecond // between checks whether another refusal has ended
)

// maxRefusals returns how many connections beyond the limit may have their request refused at a time.
func (c *Config) maxRefusals() int {
	return min(minRefusals+c.descriptorConnLimit()-c.maxConnsPerSide(), maxRefusals)
}

// mayRefuse reports whether another connection may have its request refused. Called under the mutex.
func (l *connectionLimiter) mayRefuse() bool { return l.refusalCount < l.maxRefusals }

// stateBeforeEviction returns the state in which a connection was evicted for another one.
func (c *clientConn) stateBeforeEviction() clientConnState {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.evictedFrom
}

// closeEvicted closes a connection that was evicted. If part of a request was received, that is rejected; closeEvicted
// reports whether it was.
func (c *clientConn) closeEvicted() (isRejected bool) {
	evictedFrom := c.stateBeforeEviction()
	switch evictedFrom {
	case stateReading:
		c.limiter.events.count(closedReading)
		c.writeRejection(http.StatusServiceUnavailable) // an error means that the client has disconnected
	case stateSilent:
		c.limiter.events.count(closedSilent)
	default:
		c.limiter.events.count(closedIdle)
	}
	c.Conn.Close()
	return evictedFrom == stateReading
}

// refuse rejects the first request on a connection that is not in the limiter, and closes the connection. If too many
// are being refused, it waits, so that further connections remain in the kernel's backlog.
func (l *connectionLimiter) refuse(c *clientConn) {
	if !l.beginRefusal() {
		l.events.count(closedUnread)
		c.Conn.Close()
		return
	}
	l.events.count(refusedAtLimit)
	go func() { // ends with the timeouts
		defer func() {
			c.Conn.Close()
			l.mu.Lock()
			l.refusalCount--
			l.mu.Unlock()
		}()
		c.refuseRequest()
	}()
}

// beginRefusal waits until another connection may have its request refused, for refusalTimeout at most, and reports
// whether it may.
func (l *connectionLimiter) beginRefusal() bool {
	for end := time.Now().Add(refusalTimeout); ; time.Sleep(refusalPollInterval) {
		l.mu.Lock()
		mayRefuse := l.mayRefuse()
		if mayRefuse {
			l.refusalCount++
		}
		hasNone := l.maxRefusals == 0
		l.mu.Unlock()
		if mayRefuse || hasNone || time.Now().After(end) {
			return mayRefuse
		}
	}
}

// refuseRequest reads the head of a request and rejects it. It sends nothing to a client that sends nothing.
func (c *clientConn) refuseRequest() {
	c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout))
	var head httpboundary.HeadScanner
	received := make([]byte, 0, receiveBufferBytes)
	for len(received) < cap(received) && !(len(received) > 0 && head.ScanHead(received)) {
		n, err := c.Conn.Read(received[len(received):cap(received)])
		received = received[:len(received)+n]
		if isTimeout(err) && graceful.HasUnreadData(c.Conn) { // received in time, while the process did not run
			c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout))
			continue
		}
		if err != nil {
			break
		}
	}
	if len(received) > 0 && c.writeRejection(http.StatusServiceUnavailable) == nil {
		c.linger()
	}
}
