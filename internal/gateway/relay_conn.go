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

// relayTransport is the socket below a TLS connection of another site's instance. It tells the two ends of such a
// connection apart, which TLS reports alike: an instance that closes it, because it has given its request up, says so
// in a TLS alert; a link that breaks ends the stream without one, and the request goes on (see [relay]).
type relayTransport struct {
	net.Conn
	raw       syscall.RawConn
	isPolling atomic.Bool // reads return at once, with what has been received
	hasEnded  atomic.Bool // the stream has ended
}

func newRelayTransport(nc net.Conn) (*relayTransport, error) {
	rawConn, err := raw(nc)
	if err != nil {
		return nil, err
	}
	return &relayTransport{Conn: nc, raw: rawConn}, nil
}

// SyscallConn returns the descriptor of the socket.
func (t *relayTransport) SyscallConn() (syscall.RawConn, error) { return t.raw, nil }

// Read reads from the socket. While polling it never waits: where nothing has been received it returns
// os.ErrDeadlineExceeded, which TLS takes for a read to be continued later.
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

// poll reads what has been received. It goes by Control, which asks for no read deadline: that may have passed.
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

// relayServerConn is a TLS connection of another site's instance, at the instance that serves it.
type relayServerConn struct {
	*tls.Conn
	transport *relayTransport
}

// wasClosedByPeer decides what the error of a read means: whether the other instance has closed the connection, rather
// than the link broken.
func (c *relayServerConn) wasClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) && !c.transport.hasEnded.Load()
}

// closeWatch watches a connection of another site's instance for its close while a request of it is being carried out,
// as net/http does in the background for its handlers. Requests follow one another on such a connection, so that
// nothing else is due; a byte that comes nevertheless is kept for the next request.
//
// Invariant: at most one goroutine reads from the connection. It is the watch's from start to stop, else the one that
// serves the connection.
type closeWatch struct {
	conn  *relayServerConn
	input *requestInput
	done  chan struct{} // closed when the goroutine has ended; nil: there is none
}

// poll reports whether a request has come. It does not wait.
func (w *closeWatch) poll() bool {
	w.pollAhead(func() {})
	return w.input.hasReadAhead
}

// pollAhead is readAhead without a wait.
func (w *closeWatch) pollAhead(onClose func()) (isOver bool) {
	w.conn.transport.isPolling.Store(true)
	defer w.conn.transport.isPolling.Store(false)
	return w.readAhead(onClose)
}

// start calls onClose, before it returns, if the connection is closed already, and else as soon as it is.
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

// readAhead reads one byte, and reports whether there is nothing more to watch for.
func (w *closeWatch) readAhead(onClose func()) (isOver bool) {
	if w.input.hasReadAhead {
		return true
	}
	var buffer [1]byte
	n, err := w.conn.Read(buffer[:])
	if n > 0 {
		w.input.keep(buffer[0])
		return true
	}
	if w.conn.wasClosedByPeer(err) {
		onClose()
	}
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// hasClosed reports whether the other instance has closed the connection, whether or not the watch's goroutine has run
// since. Once the stream has ended the watch has nothing more to wait for. Called by the goroutine of start and stop.
func (w *closeWatch) hasClosed() (isClosed bool) {
	if !graceful.IsPeerGone(w.conn.transport) {
		return false
	}
	w.stop()
	w.pollAhead(func() { isClosed = true })
	return isClosed
}

// stop ends the watch. onClose is not called any more when it returns.
func (w *closeWatch) stop() {
	if w.done == nil {
		return
	}
	w.input.setDeadline(pastDeadline)
	<-w.done
	w.done = nil
}
