package gateway

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"mulleinmux/internal/graceful"
)

// relayTransport is the socket below a TLS connection from another site's instance. It distinguishes two ways in which
// the connection may end, which TLS reports alike: an instance that closes it because it has given up its request sends
// a TLS alert; a broken link ends the stream without an alert, and the request continues (see [relay]).
type relayTransport struct {
	net.Conn
	raw       syscall.RawConn
	isPolling atomic.Bool // reads don't wait for data
	hasEnded  atomic.Bool // the stream has ended
}

func newRelayTransport(nc net.Conn) (*relayTransport, error) {
	rawConn, err := syscallConn(nc)
	if err != nil {
		return nil, err
	}
	return &relayTransport{Conn: nc, raw: rawConn}, nil
}

// SyscallConn returns the raw connection of the socket.
func (t *relayTransport) SyscallConn() (syscall.RawConn, error) { return t.raw, nil }

// Read reads from the socket. While isPolling is set it does not wait: if nothing has been received it returns
// os.ErrDeadlineExceeded, after which TLS can continue the read later.
func (t *relayTransport) Read(p []byte) (n int, err error) {
	if t.isPolling.Load() {
		n, err = t.poll(p)
	} else {
		n, err = t.Conn.Read(p)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.hasEnded.Store(true)
	}
	return n, err
}

// poll reads what has been received, without waiting. It uses Control, which works even if the read deadline has
// passed.
func (t *relayTransport) poll(p []byte) (n int, err error) {
	controlErr := t.raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return 0, os.ErrDeadlineExceeded
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// relayServerConn is the server side of a TLS connection from another site's instance.
type relayServerConn struct {
	*tls.Conn
	transport *relayTransport
}

// wasClosedByPeer decides from the error of a read whether the other instance has closed the connection, as opposed to
// a broken link.
func (c *relayServerConn) wasClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) && !c.transport.hasEnded.Load()
}

// closeWatch detects that another site's instance closes its connection while a request that came on it is in progress,
// as net/http does in the background for its handlers. Requests on such a connection are sequential, so no data is
// expected meanwhile; a byte that arrives nevertheless is kept for the next request.
//
// Invariant: at most one goroutine reads from the connection: the watch's goroutine from start to stop, otherwise the
// one that serves the connection.
type closeWatch struct {
	conn  *relayServerConn
	input *requestInput
	done  chan struct{} // closed when the watch's goroutine has ended; nil: none runs
}

// hasUnread reports whether data of the next request has been received. It does not wait.
func (w *closeWatch) hasUnread() bool {
	w.pollAhead(func() {})
	return w.input.hasReadAhead
}

// pollAhead is readAhead without waiting for data.
func (w *closeWatch) pollAhead(onClose func()) (isDone bool) {
	w.conn.transport.isPolling.Store(true)
	defer w.conn.transport.isPolling.Store(false)
	return w.readAhead(onClose)
}

// start begins the watch. It calls onClose before it returns if the connection is already closed, otherwise as soon as
// the connection is closed.
func (w *closeWatch) start(onClose func()) {
	if w.pollAhead(onClose) {
		return
	}
	w.input.setDeadline(noDeadline)
	w.done = make(chan struct{})
	go func() {
		defer close(w.done)
		w.readAhead(onClose)
	}()
}

// readAhead reads one byte ahead. isDone is true if nothing is left to watch: a byte was read, or the stream has ended.
func (w *closeWatch) readAhead(onClose func()) (isDone bool) {
	if w.input.hasReadAhead {
		return true
	}
	var buffer [1]byte
	n, err := w.conn.Read(buffer[:])
	if n > 0 {
		w.input.unreadByte(buffer[0])
		return true
	}
	if w.conn.wasClosedByPeer(err) {
		onClose()
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// hasClosed reports whether the other instance has closed the connection, even if the watch's goroutine has not run
// since. It stops the watch if the stream has ended, as nothing is left to wait for. Called by the goroutine that calls
// start and stop.
func (w *closeWatch) hasClosed() (isClosed bool) {
	if !graceful.IsPeerDisconnected(w.conn.transport) {
		return false
	}
	w.stop()
	w.pollAhead(func() { isClosed = true })
	return isClosed
}

// stop ends the watch. onClose is not called any more after stop has returned.
func (w *closeWatch) stop() {
	if w.done == nil {
		return
	}
	w.input.setDeadline(pastDeadline)
	<-w.done
	w.done = nil
}
