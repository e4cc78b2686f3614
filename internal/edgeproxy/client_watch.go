package edgeproxy

import (
	"syscall"
)

// maxReadAhead bounds what is read of later requests while one is open.
const maxReadAhead = 16 << 10

// isDisconnectWatch tells whether a read of one byte is the library's watch on a connection whose request has come whole.
func (c *clientConn) isDisconnectWatch() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return (c.state == stateActive || c.state == stateReading) && !c.isReadingHead && !c.isWatchEnded
}

// watchForDisconnect waits until the client leaves or the library ends its watch. The library's own watch ends with the first byte that a
// client sends behind its request; a client that leaves after that would go unnoticed, and its request be sent on.
// So what comes is kept here, for the reads of the next request.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	var buf []byte
	for {
		if buf == nil {
			// Most clients send nothing: one byte is enough to wait with.
			n, err := c.readSocket(p)
			if c.appendReadAhead(p[:n]); err != nil {
				return 0, err
			}
			buf = make([]byte, 2<<10)
		}
		n, err := c.readSocket(buf)
		full := c.appendReadAhead(buf[:n])
		if err != nil {
			return 0, err
		}
		if full {
			c.limiter.mu.Lock()
			defer c.limiter.mu.Unlock()
			c.isWatchEnded = true
			p[0], c.readAhead = c.readAhead[0], c.readAhead[1:]
			c.earlyBytes = append(c.earlyBytes, p[0])
			return 1, nil
		}
	}
}

// appendReadAhead keeps what came of later requests and tells whether that is as much as it may be.
func (c *clientConn) appendReadAhead(p []byte) (full bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.readAhead, c.hasUnrecordedData = append(c.readAhead, p...), false
	return len(c.readAhead) >= maxReadAhead
}

// takeReadAhead gives what is kept of later requests.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	n := copy(p, c.readAhead)
	if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	return n
}

// isClientGone tells whether the client of the open request has left, where the library's watch has ended before that.
func (c *clientConn) isClientGone() bool {
	c.limiter.mu.Lock()
	blind := c.isWatchEnded
	c.limiter.mu.Unlock()
	if !blind {
		return false
	}
	gone := false
	err := controlSocket(c.Conn, func(fd int) {
		info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff // its first byte
		gone = err == nil && (state == tcpClose || state == tcpCloseWait || state == tcpLastAck)
	})
	return gone || err != nil && err != errNoSocket
}

// States of a TCP connection, as Linux numbers them: reset, and closed by the peer.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)
