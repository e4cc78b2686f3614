package edgeproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// readSocket reads from the socket. The non-blocking read and the update of hasUnrecordedData happen together under the
// mutex, and the flag stays set until the data is recorded. Otherwise the connection would look idle in between and
// could be evicted although a request was received.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	if c.raw == nil {
		c.turn.end()
		return c.Conn.Read(p)
	}
	return c.readRaw(p)
}

// receiveSocket reads from the socket and adds the data to the input, without a buffer of the connection's own while it
// waits.
func (c *clientConn) receiveSocket() (n int, err error) {
	if c.raw == nil {
		c.turn.end()
		buffer := make([]byte, receiveBufferBytes)
		n, err = c.Conn.Read(buffer)
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.recordInput(buffer[:n])
		return n, err
	}
	return c.readRaw(nil)
}

// recordInput adds received data to the input. Called under limiter.mu.
func (c *clientConn) recordInput(p []byte) {
	if len(p) > 0 {
		c.input.append(p, time.Now())
		c.recordReceived()
	}
}

// readNoEINTR reads from a descriptor until the call is not interrupted.
func readNoEINTR(fd int, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(fd, p); err != syscall.EINTR {
			return n, err
		}
	}
}

// readRaw waits until the socket is readable, or its deadline, and reads from it. With a nil buffer the data is added
// to the input. From a connection that was evicted nothing is read: its close over unread data resets it.
func (c *clientConn) readRaw(p []byte) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		switch {
		case c.state == stateClosed:
			n, err = 0, net.ErrClosed
			return true
		case c.isMemoryEvicted:
			n, err = 0, errMemoryEvicted
			return true
		}
		n, err = c.readLocked(int(fd), p)
		return err != syscall.EAGAIN
	})
	switch {
	case err == errMemoryEvicted || rawErr != nil && c.isEvictedForMemory():
		return 0, errMemoryEvicted
	case rawErr != nil:
		return 0, rawErr
	case err == net.ErrClosed:
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", err)}
	case n == 0 && (p == nil || len(p) > 0):
		return 0, io.EOF
	}
	return n, nil
}

// readLocked reads from the socket without waiting. Called under limiter.mu.
func (c *clientConn) readLocked(fd int, p []byte) (n int, err error) {
	if p == nil {
		if n, err = readNoEINTR(fd, c.limiter.receiveBuffer[:]); n > 0 {
			c.recordInput(c.limiter.receiveBuffer[:n])
		}
	} else {
		n, err = readNoEINTR(fd, p)
		c.hasUnrecordedData = n > 0
	}
	if err == syscall.EAGAIN { // the caller waits for more data
		c.lastEmptyAt = time.Now()
		c.turn.end()
	}
	return n, err
}

// emptySince returns when the node last waited for more data of the client.
func (c *clientConn) emptySince() time.Time {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.lastEmptyAt
}

// isTimeout reports whether an error is that of a read deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
