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

// successorListener is the predecessor's side of a hot restart: it accepts a process that waits to take over.
type successorListener struct {
	listener *net.UnixListener
	logger   *slog.Logger
	readers  sync.WaitGroup // goroutines that read from successors; acceptSuccessors waits for them

	mu        sync.Mutex
	successor *successorConn // the latest one, unless it has gone; nil: none
	isClosed  bool
}

// errNoSuccessor says that no successor waits, or that it has gone.
var errNoSuccessor = errors.New("handover: no successor")

// listenForSuccessor listens for successors until close. The socket of a process that was killed is replaced.
func listenForSuccessor(path string, logger *slog.Logger) (*successorListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &successorListener{listener: ln, logger: logger}, nil
}

// acceptSuccessors accepts successors until stopListening, and waits until the last has gone.
func (l *successorListener) acceptSuccessors() {
	defer l.readers.Wait()
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		l.admit(conn)
	}
}

// admit makes a process that has connected the successor; it replaces an earlier one.
func (l *successorListener) admit(conn *net.UnixConn) {
	s := newSuccessorConn(conn)
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
		l.remove(s)
	})
	l.logger.Info("successor waiting")
}

// remove forgets a successor that has gone.
func (l *successorListener) remove(s *successorConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != s {
		return
	}
	l.successor = nil
	s.conn.Close()
	if s.currentState() != successorServing {
		l.logger.Warn("successor disconnected")
	}
}

// current returns the successor; nil: there is none.
func (l *successorListener) current() *successorConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor
}

// hasSuccessor tells whether a successor waits, one that has connected and was not accepted yet among them. A nil
// listener has none.
func (l *successorListener) hasSuccessor() bool {
	if l == nil {
		return false
	}
	for _, conn := range graceful.AcceptPending(l.listener) {
		l.admit(conn.(*net.UnixConn))
	}
	s := l.current()
	return s != nil && s.currentState() != successorEnded
}

// awaitTakeover waits for the successor's answer to the message that it may go.
func (l *successorListener) awaitTakeover() takeoverAnswer {
	s := l.current()
	if s == nil {
		return successorGone
	}
	answer := s.awaitTakeover()
	if answer == takeoverUnconfirmed && s.currentState() == successorWaiting {
		l.logger.Warn("successor did not confirm takeover")
	}
	return answer
}

// stopListening ends the listening, so that the successor can take the path; messages can still be sent.
func (l *successorListener) stopListening() {
	l.mu.Lock()
	l.isClosed = true
	l.mu.Unlock()
	l.listener.Close()
}

// close ends the listening and the connection to the successor.
func (l *successorListener) close() {
	l.stopListening()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != nil {
		l.successor.conn.Close()
		l.successor = nil
	}
}

// send sends one message, with the descriptor of rc beside it unless that is nil.
func (l *successorListener) send(kind byte, body []byte, rc syscall.RawConn) error {
	successor := l.current()
	if successor == nil {
		return errNoSuccessor
	}
	message := append([]byte{kind}, body...)
	successor.conn.SetWriteDeadline(time.Now().Add(handoverMessageTimeout))
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

// sendState sends the engine's state, in parts after its size.
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

// sendInheritedState sends everything that precedes clients, and that the successor may go.
func (l *successorListener) sendInheritedState(state []byte, sock *gossip.Socket) error {
	if err := l.sendState(state); err != nil {
		return err
	}
	if sock != nil {
		rc, err := sock.RawConn()
		if err == nil {
			err = l.send(msgGossipSocket, nil, rc)
		}
		if err != nil {
			return err
		}
	}
	return l.send(msgGo, nil, nil)
}
