package edgeproxy

import (
	"net"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
)

// successorState is how far a process that connected to take over has come.
type successorState int

const (
	successorConnected successorState = iota // no hello was received: it is just starting, or of version 0
	successorWaiting                         // its hello was received
	successorServing                         // it has taken over
	successorEnded                           // it has ended before
)

// successorConn is the connection to a process that waits to take over.
//
// Invariant: a message is recorded in the same step, under the mutex, in which it leaves the socket. So whoever looks
// knows all that has been received, whether or not the goroutine that reads has run since.
type successorConn struct {
	conn        *net.UnixConn
	connectedAt time.Time
	changed     chan struct{} // receives after a change of the state

	mu    sync.Mutex
	state successorState // guarded by mu
}

func newSuccessorConn(conn *net.UnixConn) *successorConn {
	return &successorConn{conn: conn, connectedAt: time.Now(), changed: make(chan struct{}, 1)}
}

// maxSuccessorMessage is the size of a buffer for a successor's messages, which have two bytes.
const maxSuccessorMessage = 16

// read receives messages until the successor has gone.
func (s *successorConn) read() {
	raw, err := s.conn.SyscallConn()
	if err == nil {
		err = raw.Read(func(fd uintptr) bool { return s.receivePending(int(fd)) })
	}
	if err != nil { // closed by this process
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end()
	}
}

// currentState receives what has come, and returns the state by then.
func (s *successorConn) currentState() successorState {
	// One that this process has closed is ended by read.
	_ = graceful.ControlSocket(s.conn, func(fd int) { s.receivePending(fd) })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// receivePending receives what has come, without waiting, and reports whether the successor has gone.
func (s *successorConn) receivePending(fd int) (hasGone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var buffer [maxSuccessorMessage]byte
	for {
		n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
		case err == syscall.EAGAIN:
			return false
		case err != nil || n == 0:
			s.end()
			return true
		default:
			s.record(buffer[:n])
		}
	}
}

// record records a message. Called under the mutex.
func (s *successorConn) record(message []byte) {
	switch {
	case message[0] == msgHello && len(message) == 2 && message[1] > 0 && s.state == successorConnected:
		s.change(successorWaiting)
	case message[0] == msgTakenOver:
		s.change(successorServing)
	}
}

// end records that the connection has ended. Called under the mutex.
func (s *successorConn) end() {
	if s.state != successorServing {
		s.change(successorEnded)
	}
}

// change changes the state. Called under the mutex.
func (s *successorConn) change(state successorState) {
	s.state = state
	select {
	case s.changed <- struct{}{}:
	default: // an earlier change was not looked at yet
	}
}

// takeoverAnswer is what a successor answered to the message that it may go.
type takeoverAnswer int

const (
	takeoverConfirmed   takeoverAnswer = iota // it has taken over
	takeoverUnconfirmed                       // it lives and may have taken over: nothing may be taken back
	successorGone                             // it has gone before, or there is none
)

// awaitTakeover waits for the answer, for handoverMessageTimeout at most. One of version 0 gives none: that is one
// whose hello has not come for so long since it connected.
func (s *successorConn) awaitTakeover() takeoverAnswer {
	timeout := time.NewTimer(handoverMessageTimeout)
	defer timeout.Stop()
	helloTimeout := time.NewTimer(time.Until(s.connectedAt.Add(handoverMessageTimeout)))
	defer helloTimeout.Stop()
	for isOver, isHelloDue := false, false; ; {
		switch state := s.currentState(); {
		case state == successorServing:
			return takeoverConfirmed
		case state == successorEnded:
			return successorGone
		case isOver || isHelloDue && state == successorConnected:
			return takeoverUnconfirmed
		}
		select {
		case <-s.changed:
		case <-timeout.C:
			isOver = true
		case <-helloTimeout.C:
			isHelloDue = true
		}
	}
}
