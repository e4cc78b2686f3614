package edgeproxy

import (
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
)

// successorState is the progress of a successor.
type successorState int

const (
	successorConnected successorState = iota // no hello was received: the successor is starting, or has version 0
	successorWaiting                         // its hello was received
	successorServing                         // it has taken over
	successorEnded                           // it disconnected before it had taken over
)

// successorConn is the connection to a successor.
//
// Invariant: a message is read from the socket and recorded in one step under the mutex. So currentState returns a
// state that includes every message received, whether or not the reading goroutine has run since.
type successorConn struct {
	conn        *net.UnixConn
	connectedAt time.Time
	changed     chan struct{} // receives a value after each change of state, with capacity 1

	mu             sync.Mutex // guards the fields below
	state          successorState
	isGivenUp      bool                 // the handover was given up
	version        byte                 // of its hello; 0 before
	sentIDReceived func(message []byte) // gets the IDs of requests that it is about to forward; nil: ignored

	clockOffset func() time.Duration // of the node's clock; nil: not sent
}

func newSuccessorConn(conn *net.UnixConn) *successorConn {
	return &successorConn{conn: conn, connectedAt: time.Now(), changed: make(chan struct{}, 1)}
}

// maxSuccessorMessage is the size of the buffer for a successor's messages, which have at most nine bytes.
const maxSuccessorMessage = 16

// read receives messages until the successor disconnects.
func (s *successorConn) read() {
	raw, err := s.conn.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { return s.receivePending(int(fd)) })
	}
	if err != nil { // the connection was closed by this process
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordDisconnect()
	}
}

// currentState receives all pending messages and returns the state after them.
func (s *successorConn) currentState() successorState {
	// On a connection that this process has closed, read records the disconnect.
	_ = graceful.ControlSocket(s.conn, func(fd int) { s.receivePending(fd) })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// receivePending receives all pending messages, without waiting, and reports whether the successor has disconnected.
func (s *successorConn) receivePending(fd int) (isDisconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var buffer [maxSuccessorMessage]byte
	for isReset := false; ; {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.ECONNRESET && !isReset: // reported once, in front of the messages that were received before
			isReset = true
		case err == syscall.EAGAIN:
			return false
		case err != nil || n == 0:
			s.recordDisconnect()
			return true
		default:
			s.recordMessage(buffer[:n])
		}
	}
}

// recordMessage changes the state by a message from the successor. The caller holds the mutex.
func (s *successorConn) recordMessage(message []byte) {
	switch {
	case message[0] == msgHello && len(message) == 2 && message[1] > 0 && s.state == successorConnected:
		s.version = message[1]
		s.sendClock()
		s.setState(successorWaiting)
	case message[0] == msgSentID && s.sentIDReceived != nil:
		s.sentIDReceived(message[1:])
	case message[0] == msgTakenOver:
		s.setState(successorServing)
	}
}

// sendClock sends the offset of the node's clock to a successor that understands it. The connection's buffer is empty.
func (s *successorConn) sendClock() {
	if s.version >= clockVersion && s.clockOffset != nil {
		sendNow(s.conn, binary.BigEndian.AppendUint64([]byte{msgClock}, uint64(s.clockOffset())))
	}
}

// currentVersion receives all pending messages and returns the version of the successor's hello, or 0.
func (s *successorConn) currentVersion() byte {
	s.currentState()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// setSentIDReceived sets the function that gets the IDs of requests which the successor is about to forward.
func (s *successorConn) setSentIDReceived(receive func(message []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentIDReceived = receive
}

// recordDisconnect records that the connection has ended. The caller holds the mutex.
func (s *successorConn) recordDisconnect() {
	if s.state != successorServing {
		s.setState(successorEnded)
	}
}

// setState sets the state and signals the change. The caller holds the mutex.
func (s *successorConn) setState(state successorState) {
	s.state = state
	select {
	case s.changed <- struct{}{}:
	default: // an earlier change is still signaled
	}
}

// takeoverResult is the result of awaitTakeover.
type takeoverResult int

const (
	takeoverConfirmed   takeoverResult = iota // the successor has taken over
	takeoverUnconfirmed                       // the successor has version 0 and may have taken over
	takeoverFailed                            // the successor has disconnected, is stopped, or there is none
)

// awaitTakeover waits for the successor to confirm the takeover, for maxWait at most. A successor of version 0 never
// confirms; it is recognized by the lack of a hello for handoverMessageTimeout since it connected.
func (s *successorConn) awaitTakeover(maxWait time.Duration) takeoverResult {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	helloTimeout := time.NewTimer(time.Until(s.connectedAt.Add(handoverMessageTimeout)))
	defer helloTimeout.Stop()
	for isTimedOut, isHelloOverdue := false, false; ; {
		switch state := s.currentState(); {
		case state == successorServing:
			return takeoverConfirmed
		case isHelloOverdue && state == successorConnected:
			return takeoverUnconfirmed
		case isTimedOut || state == successorEnded:
			return takeoverFailed
		}
		select {
		case <-s.changed:
		case <-timeout.C:
			isTimedOut = true
		case <-helloTimeout.C:
			isHelloOverdue = true
		}
	}
}

// giveUp ends the handover unless the successor has taken over, and reports whether it has. From then on the successor
// can't confirm a takeover: it finds that out when it tries, however late it runs.
func (s *successorConn) giveUp() (hasTakenOver bool) {
	s.mu.Lock()
	s.isGivenUp = true
	s.mu.Unlock()
	_ = s.conn.CloseRead() // fails if the connection has ended; what was sent before can still be received
	if s.currentState() == successorServing {
		return true
	}
	sendNow(s.conn, []byte{msgGivenUp})
	return false
}

// isHandoverGivenUp reports whether giveUp was called.
func (s *successorConn) isHandoverGivenUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isGivenUp
}
