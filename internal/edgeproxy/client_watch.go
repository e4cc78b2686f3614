package edgeproxy

import (
	"syscall"
)

// maxReadAhead limits the bytes that are read of later requests while one is active.
const maxReadAhead = 16 << 10

// isDisconnectWatch tells whether a read of one byte is that by which net/http notices that the client of a
// complete request disconnects.
func (c *clientConn) isDisconnectWatch() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateActive || c.state == stateReading) && !c.isReadingHead && !c.isWatchEnded
}

// watchForDisconnect waits until the client disconnects or net/http ends its watch. The watch of net/http itself
// ends with the first byte that a client sends behind its request; a client that disconnects after that would go
// unnoticed, and its request be forwarded. So what is received is kept here, for the reads of the next request.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	var buf []byte
	for {
		if buf == nil {
			// Most clients send nothing: a buffer of one byte is enough to wait with.
			n, err := c.readSocket(p)
			if c.appendReadAhead(p[:n]); err != nil {
				return 0, err
			}
			buf = make([]byte, 2<<10)
		}
		n, err := c.readSocket(buf)
		isFull := c.appendReadAhead(buf[:n])
		if err != nil {
			return 0, err
		}
		if isFull {
			c.limiter.mu.Lock()
			defer c.limiter.mu.Unlock()
			c.isWatchEnded = true
			p[0], c.readAhead = c.readAhead[0], c.readAhead[1:]
			c.earlyBytes = append(c.earlyBytes, p[0])
			return 1, nil
		}
	}
}

// appendReadAhead keeps what was received of later requests and tells whether the limit is reached.
func (c *clientConn) appendReadAhead(p []byte) (isFull bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.readAhead, c.hasUnrecordedData = append(c.readAhead, p...), false
	return len(c.readAhead) >= maxReadAhead
}

// takeReadAhead copies what is kept of later requests to p and returns its length.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	n := copy(p, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// isClientGone tells whether the client of the active request has disconnected, where the watch has ended before
// that.
func (c *clientConn) isClientGone() bool {
	c.limiter.mu.Lock()
	isWatchEnded := c.isWatchEnded
	c.limiter.mu.Unlock()
	if !isWatchEnded {
		return false
	}
	isGone := false
	err := controlSocket(c.Conn, func(fd int) {
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff // its first byte
		isGone = err == nil && (state == tcpClose || state == tcpCloseWait || state == tcpLastAck)
	})
	return isGone || err != nil && err != errNoSocket
}

// States of a TCP connection in Linux: reset, and closed by the peer (TCP_CLOSE, TCP_CLOSE_WAIT and TCP_LAST_ACK).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)
