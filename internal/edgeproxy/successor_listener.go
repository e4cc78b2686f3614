package edgeproxy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/gossip"
	"mulleinmux/internal/graceful"
)

// successorListener is the predecessor's side of a hot restart: it accepts the connection of a successor and sends to
// it.
type successorListener struct {
	listener *net.UnixListener
	logger   *slog.Logger
	readers  sync.WaitGroup // goroutines that read from successors; acceptSuccessors waits for them

	clockOffset func() time.Duration // of the node's clock, for successors; nil: not sent
	deadline    time.Time            // of the messages of a handover, set before they are sent; zero: none

	mu        sync.Mutex
	successor *successorConn // the latest one; nil if none is connected
	isClosed  bool
}

// Errors of a handover.
var (
	errNoSuccessor = errors.New("handover: no successor is connected")
	errNoTakeover  = errors.New("handover: the successor has disconnected, or has not taken over in time")
)

// listenForSuccessor opens the hot restart socket at path. It replaces the socket of a process that was killed.
func listenForSuccessor(path string, logger *slog.Logger) (*successorListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := graceful.OpenSocket(func() (*net.UnixListener, error) {
		return net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &successorListener{listener: ln, logger: logger}, nil
}

// acceptSuccessors accepts successors until stopListening is called, then waits until all have disconnected.
func (l *successorListener) acceptSuccessors() {
	defer l.readers.Wait()
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		l.setSuccessor(conn)
	}
}

// setSuccessor makes the process at the other end of conn the successor, in place of an earlier one.
func (l *successorListener) setSuccessor(conn *net.UnixConn) {
	s := newSuccessorConn(conn)
	s.clockOffset = l.clockOffset
	l.mu.Lock()
	replaced := l.successor
	if l.successor = s; l.isClosed {
		replaced, l.successor = s, nil
	}
	l.mu.Unlock()
	if replaced != nil {
		replaced.conn.Close()
	}
	l.readers.Go(func() {
		s.read()
		l.removeIfCurrent(s)
	})
	l.logger.Info("successor waiting")
}

// removeIfCurrent removes a successor that has disconnected, unless it was replaced already.
func (l *successorListener) removeIfCurrent(s *successorConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != s || s.isHandoverGivenUp() {
		return
	}
	l.successor = nil
	s.conn.Close()
	if s.currentState() != successorServing {
		l.logger.Warn("successor disconnected")
	}
}

// current returns the successor, or nil if none is connected.
func (l *successorListener) current() *successorConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// hasSuccessor reports whether a successor is connected, including one whose connection is not accepted yet. It doesn't
// wait for a descriptor for that one: the shutdown goes on. A nil listener has none.
func (l *successorListener) hasSuccessor() bool {
	if l == nil {
		return false
	}
	for _, conn := range graceful.AcceptPending(l.listener, time.Now()) {
		l.setSuccessor(conn.(*net.UnixConn))
	}
	s := l.current()
	return s != nil && s.currentState() != successorEnded
}

// giveUp ends a handover that has failed, and reports whether the successor has taken over all the same: see
// [successorConn.giveUp]. The connection stays open until close is called.
func (l *successorListener) giveUp() (hasTakenOver bool) {
	s := l.current()
	return s != nil && s.giveUp()
}

// awaitTakeover waits for the successor to confirm the takeover.
func (l *successorListener) awaitTakeover() takeoverResult {
	s := l.current()
	if s == nil {
		return takeoverFailed
	}
	return s.awaitTakeover(l.messageTimeout())
}

// messageTimeout returns how long to wait for the successor at most: handoverMessageTimeout, and not beyond the
// deadline.
func (l *successorListener) messageTimeout() time.Duration {
	if l.deadline.IsZero() {
		return handoverMessageTimeout
	}
	return min(handoverMessageTimeout, time.Until(l.deadline))
}

// stopListening closes the listener, so that the successor can listen at the path. Messages can still be sent.
func (l *successorListener) stopListening() {
	l.mu.Lock()
	l.isClosed = true
	l.mu.Unlock()
	l.listener.Close()
}

// close closes the listener and the connection to the successor.
func (l *successorListener) close() {
	l.stopListening()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != nil {
		l.successor.conn.Close()
		l.successor = nil
	}
}

// send sends one message, with the descriptor of rc unless rc is nil.
func (l *successorListener) send(kind byte, body []byte, rc syscall.RawConn) error {
	successor := l.current()
	if successor == nil {
		return errNoSuccessor
	}
	message := append([]byte{kind}, body...)
	successor.conn.SetWriteDeadline(time.Now().Add(l.messageTimeout()))
	write := func(rights []byte) error {
		_, _, err := successor.conn.WriteMsgUnix(message, rights, nil)
		return err
	}
	var err error
	if rc == nil {
		err = write(nil)
	} else {
		controlErr := rc.Control(func(fd uintptr) { err = write(syscall.UnixRights(int(fd))) })
		if controlErr != nil {
			err = controlErr
		}
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// sendState sends the size of the engine's state, then the state in chunks.
func (l *successorListener) sendState(state []byte) error {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	if err := l.send(msgState, size, nil); err != nil {
		return err
	}
	for len(state) > 0 {
		n := min(len(state), maxStateChunk)
		if err := l.send(msgState, state[:n], nil); err != nil {
			return err
		}
		state = state[n:]
	}
	return nil
}

// takesSentIDs reports whether the successor understands the IDs of forwarded requests.
func (l *successorListener) takesSentIDs() bool {
	s := l.current()
	return s != nil && s.currentVersion() >= sentIDsVersion
}

// sendSentID reports to the successor, which understands it, that a request is about to be forwarded.
func (l *successorListener) sendSentID(hash uint64) {
	if s := l.current(); s != nil {
		sendSentID(s.conn, hash)
	}
}

// setSentIDReceived sets the function that gets the IDs of requests which the successor is about to forward.
func (l *successorListener) setSentIDReceived(receive func(message []byte)) {
	if s := l.current(); s != nil {
		s.setSentIDReceived(receive)
	}
}

// sendInheritedState sends everything that precedes client connections: the engine's state, the IDs of forwarded
// requests, the gossip socket if it is not nil, and that the state is complete.
func (l *successorListener) sendInheritedState(state, sentIDs []byte, socket *gossip.Socket) error {
	if err := l.sendState(state); err != nil {
		return err
	}
	if l.takesSentIDs() {
		for len(sentIDs) > 0 {
			n := min(len(sentIDs), maxStateChunk)
			if err := l.send(msgSentIDs, sentIDs[:n], nil); err != nil {
				return err
			}
			sentIDs = sentIDs[n:]
		}
	}
	if socket != nil {
		rc, err := socket.RawConn()
		if err == nil {
			err = l.send(msgGossipSocket, nil, rc)
		}
		if err != nil {
			return err
		}
	}
	return l.send(msgStateComplete, nil, nil)
}
