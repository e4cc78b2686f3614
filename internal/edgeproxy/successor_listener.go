package edgeproxy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/gossip"
)

// successorListener is the predecessor's side.
type successorListener struct {
	listener *net.UnixListener
	logger   *log.Logger

	mu        sync.Mutex
	successor *successorConn // the one that came last and has not gone; nil: none
	isClosed  bool
	work      sync.WaitGroup
}

// successorConn is a process that waits to take over.
type successorConn struct {
	conn      *net.UnixConn
	version   atomic.Int32
	takenOver chan struct{} // closed once it has taken over
	gone      chan struct{} // closed once it has ended
}

// listenForSuccessor listens for a successor until close. A socket that a process left that was
// killed is replaced.
func listenForSuccessor(path string, logger *log.Logger) (*successorListener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &successorListener{listener: ln, logger: logger}, nil
}

// acceptSuccessors accepts successors until close. A second one takes the first one's place.
func (l *successorListener) acceptSuccessors() {
	defer l.work.Wait()
	for {
		c, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		s := &successorConn{conn: c, takenOver: make(chan struct{}), gone: make(chan struct{})}
		l.mu.Lock()
		old := l.successor
		if l.successor = s; l.isClosed {
			old, l.successor = s, nil
		}
		l.mu.Unlock()
		if old != nil {
			old.conn.Close()
		}
		l.work.Go(func() { l.readMessages(s) })
		l.logger.Printf("handover: a successor waits")
	}
}

// readMessages reads what a successor says until it has gone.
func (l *successorListener) readMessages(s *successorConn) {
	defer close(s.gone)
	buf, serves := make([]byte, 16), false
	for {
		n, err := s.conn.Read(buf)
		if n == 0 || err != nil {
			break
		}
		switch {
		case buf[0] == msgHello && n == 2:
			s.version.Store(int32(buf[1]))
		case buf[0] == msgTakenOver && !serves:
			serves = true
			close(s.takenOver)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor == s {
		l.successor = nil
		s.conn.Close()
		if !serves {
			l.logger.Printf("handover: the successor has gone")
		}
	}
}

// hasSuccessor tells whether a successor waits.
func (l *successorListener) hasSuccessor() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successor != nil
}

// awaitTakeover waits until the successor has taken over. One that has gone before is an error; one
// that is silent for long lives, and has the word to go, so that nothing may be taken back.
func (l *successorListener) awaitTakeover() error {
	l.mu.Lock()
	s := l.successor
	l.mu.Unlock()
	if s == nil {
		return errNoSuccessor
	}
	if s.version.Load() == 0 {
		return nil // of a version that does not answer
	}
	late := time.NewTimer(handoverMessageTimeout)
	defer late.Stop()
	select {
	case <-s.takenOver:
		return nil
	case <-s.gone:
	case <-late.C:
		l.logger.Printf("handover: the successor does not say that it serves")
		return nil
	}
	select {
	case <-s.takenOver: // it said so, and went
		return nil
	default:
		return errNoSuccessor
	}
}

var errNoSuccessor = errors.New("handover: no successor")

// stopListening ends the listening, so that the successor can take the path; what is to be handed
// over still can be.
func (l *successorListener) stopListening() {
	l.mu.Lock()
	l.isClosed = true
	l.mu.Unlock()
	l.listener.Close()
}

// close ends it all.
func (l *successorListener) close() {
	l.stopListening()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.successor != nil {
		l.successor.conn.Close()
		l.successor = nil
	}
}

// send sends one message, with the descriptor of rc beside it if there is one.
func (l *successorListener) send(kind byte, body []byte, rc syscall.RawConn) error {
	l.mu.Lock()
	next := l.successor
	l.mu.Unlock()
	if next == nil {
		return errNoSuccessor
	}
	msg := append([]byte{kind}, body...)
	next.conn.SetWriteDeadline(time.Now().Add(handoverMessageTimeout))
	write := func(rights []byte) error {
		_, _, err := next.conn.WriteMsgUnix(msg, rights, nil)
		return err
	}
	var err error
	if rc == nil {
		err = write(nil)
	} else if e := rc.Control(func(fd uintptr) { err = write(syscall.UnixRights(int(fd))) }); e != nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// sendState sends what the module knows, in parts, with their whole length first.
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

// sendInheritedState sends all that comes before clients, and the word to go.
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
