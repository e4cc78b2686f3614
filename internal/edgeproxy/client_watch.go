package edgeproxy

import (
	"io"

	"mulleinmux/internal/graceful"
)

// maxReadAhead limits the bytes of pipelined requests that are read while a request is active.
const maxReadAhead = 16 << 10

// isDisconnectWatch reports whether a read of one byte is the background read by which net/http notices that the client
// of a complete request disconnects. No other read of a single byte happens when all of a request has been returned, or
// before the head of the next one is complete: net/http may begin the background read late, when the request is
// answered.
func (c *clientConn) isDisconnectWatch() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.input.isReturned() || !c.input.isHeadComplete
}

// watchForDisconnect waits until the client disconnects or net/http ends its background read. That read would end with
// the first byte after the request, and the request of a client that disconnects later would still be forwarded. So the
// data received meanwhile is kept here, for the reads of the next request.
func (c *clientConn) watchForDisconnect(p []byte) (int, error) {
	for {
		if c.isReadAheadFull() {
			c.limiter.mu.Lock()
			defer c.limiter.mu.Unlock()
			p[0] = c.input.endWatch()
			return 1, nil
		}
		if _, err := c.receiveSocket(); err != nil {
			if c.handOverIfPossible() { // a pending handover has ended the read
				return 0, io.EOF
			}
			return 0, err
		}
	}
}

// isReadAheadFull reports whether no more data of later requests is received for now, because of its limit or for lack
// of memory.
func (c *clientConn) isReadAheadFull() bool {
	c.limiter.mu.Lock()
	received, size := len(c.input.received), c.input.size()
	c.limiter.mu.Unlock()
	if received == 0 {
		return false
	}
	return received >= maxReadAhead || !c.memory.input.tryGrowTo(size+receiveBufferBytes-includedInputBytes)
}

// hasClientDisconnected reports whether the client of the active request has disconnected. It queries the socket,
// because the watch may have ended already, or its goroutine may run after the caller's.
func (c *clientConn) hasClientDisconnected() bool { return graceful.IsPeerDisconnected(c.Conn) }
