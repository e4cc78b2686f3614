package edgeproxy

import (
	"context"
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

// An upgrade: a second process is started while the first still serves. Both have the
// clients' listening socket and share $TMPDIR. The successor meets its predecessor on a
// socket there, says which form of this it knows, and waits, ready. When the predecessor is told
// to end, it stops accepting and hands over, in this order: what its module knows, the peers'
// socket and the word to go. The successor answers that it serves; then each client's
// connection goes over as soon as no request is on it. At no moment do both decide on
// new requests, so that quotas and ceilings need no share for the overlap, and no connection
// of a client is closed. A successor that ends before it has answered leaves the predecessor
// with all that it had: it drains as at a planned restart. The messages are datagrams of one kind
// each, with the descriptor beside them where there is one.
const (
	handoverSocketName     = "mulleinmux-handover"
	handoverMessageTimeout = 2 * time.Second // for one message: the other process is alive, if busy
	handoverVersion        = 1               // of the successor's side; 0 said nothing and did not answer
	maxStateChunk          = 32 << 10

	msgState        = 's' // a part of the module's state
	msgGossipSocket = 'p' // the peers' socket
	msgGo           = 'g' // all of the above has come: serve
	msgClient       = 'c' // a client's connection

	msgHello     = 'h' // from the successor: the form that it knows
	msgTakenOver = 'y' // from the successor: it has taken over
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
func (h *successorListener) acceptSuccessors() {
	defer h.work.Wait()
	for {
		c, err := h.listener.AcceptUnix()
		if err != nil {
			return
		}
		s := &successorConn{conn: c, takenOver: make(chan struct{}), gone: make(chan struct{})}
		h.mu.Lock()
		old := h.successor
		if h.successor = s; h.isClosed {
			old, h.successor = s, nil
		}
		h.mu.Unlock()
		if old != nil {
			old.conn.Close()
		}
		h.work.Go(func() { h.readMessages(s) })
		h.logger.Printf("handover: a successor waits")
	}
}

// readMessages reads what a successor says until it has gone.
func (h *successorListener) readMessages(s *successorConn) {
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
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor == s {
		h.successor = nil
		s.conn.Close()
		if !serves {
			h.logger.Printf("handover: the successor has gone")
		}
	}
}

// hasSuccessor tells whether a successor waits.
func (h *successorListener) hasSuccessor() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor != nil
}

// awaitTakeover waits until the successor has taken over. One that has gone before is an error; one
// that is silent for long lives, and has the word to go, so that nothing may be taken back.
func (h *successorListener) awaitTakeover() error {
	h.mu.Lock()
	s := h.successor
	h.mu.Unlock()
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
		h.logger.Printf("handover: the successor does not say that it serves")
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
func (h *successorListener) stopListening() {
	h.mu.Lock()
	h.isClosed = true
	h.mu.Unlock()
	h.listener.Close()
}

// close ends it all.
func (h *successorListener) close() {
	h.stopListening()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		h.successor.conn.Close()
		h.successor = nil
	}
}

// send sends one message, with the descriptor of rc beside it if there is one.
func (h *successorListener) send(kind byte, body []byte, rc syscall.RawConn) error {
	h.mu.Lock()
	next := h.successor
	h.mu.Unlock()
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
func (h *successorListener) sendState(state []byte) error {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	if err := h.send(msgState, size, nil); err != nil {
		return err
	}
	for len(state) > 0 {
		n := min(len(state), maxStateChunk)
		if err := h.send(msgState, state[:n], nil); err != nil {
			return err
		}
		state = state[n:]
	}
	return nil
}

// sendInheritedState sends all that comes before clients, and the word to go.
func (h *successorListener) sendInheritedState(state []byte, sock *gossip.Socket) error {
	if err := h.sendState(state); err != nil {
		return err
	}
	if sock != nil {
		rc, err := sock.RawConn()
		if err == nil {
			err = h.send(msgGossipSocket, nil, rc)
		}
		if err != nil {
			return err
		}
	}
	return h.send(msgGo, nil, nil)
}

// predecessor is the successor's side.
type predecessor struct {
	conn *net.UnixConn
	buf  []byte
}

// findPredecessor meets the process that serves. It returns nil where there is none; with
// an error, where something stands in its place.
func findPredecessor(path string) (*predecessor, error) {
	c, err := net.DialTimeout("unixpacket", path, handoverMessageTimeout)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		if _, err = c.Write([]byte{msgHello, handoverVersion}); err != nil {
			c.Close()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("handover: no predecessor: %w", err)
	}
	return &predecessor{conn: c.(*net.UnixConn), buf: make([]byte, maxStateChunk+1)}, nil
}

// confirmTakeover tells the predecessor that its place is taken.
func (l *predecessor) confirmTakeover() {
	// One that has gone meanwhile has nothing to be told.
	_, _ = l.conn.Write([]byte{msgTakenOver})
}

// inheritedState is what comes before the word to go.
type inheritedState struct {
	engineState []byte
	gossipConn  *net.UDPConn // nil: none came
}

// awaitState waits for the predecessor's word to go. Its error means that the predecessor has
// ended without one, or that ctx has.
func (l *predecessor) awaitState(ctx context.Context) (in inheritedState, err error) {
	stop := context.AfterFunc(ctx, func() { l.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	defer func() {
		if err != nil && in.gossipConn != nil {
			in.gossipConn.Close()
		}
	}()
	size := -1
	for {
		kind, body, file, err := l.readMessage()
		if err != nil {
			return in, err
		}
		switch {
		case kind == msgState && size < 0 && len(body) == 4:
			size = int(binary.BigEndian.Uint32(body))
		case kind == msgState:
			if in.engineState = append(in.engineState, body...); len(in.engineState) > size {
				return in, errors.New("handover: more state than was announced")
			}
		case kind == msgGossipSocket && file != nil:
			pc, err := net.FilePacketConn(file)
			file.Close()
			if err != nil {
				return in, fmt.Errorf("handover: peers' socket: %w", err)
			}
			var ok bool
			if in.gossipConn, ok = pc.(*net.UDPConn); !ok {
				pc.Close()
				return in, errors.New("handover: peers' socket is none")
			}
		case kind == msgGo && len(in.engineState) == size:
			return in, nil
		default:
			if file != nil {
				file.Close()
			}
			return in, fmt.Errorf("handover: message %q of %d bytes out of place", kind, len(body))
		}
	}
}

// readMessage reads one message.
func (l *predecessor) readMessage() (kind byte, body []byte, file *os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, flags, _, err := l.conn.ReadMsgUnix(l.buf, oob)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err == nil && flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.New("message cut short")
	}
	if err != nil {
		return 0, nil, nil, fmt.Errorf("handover: %w", err)
	}
	if oobn > 0 {
		if file, err = receivedDescriptor(oob[:oobn]); err != nil {
			return 0, nil, nil, fmt.Errorf("handover: %w", err)
		}
	}
	return l.buf[0], l.buf[1:n], file, nil
}

// receivedDescriptor returns the descriptor that came beside a message.
func receivedDescriptor(oob []byte) (*os.File, error) {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(msgs) != 1 {
		return nil, errors.Join(errors.New("no descriptor where one was announced"), err)
	}
	fds, err := syscall.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("not one descriptor"), err)
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "inherited"), nil
}

// Accept returns the next client's connection that the predecessor hands over. With it a
// legacy is a listener; its error is final.
func (l *predecessor) Accept() (net.Conn, error) {
	for {
		kind, _, file, err := l.readMessage()
		if err != nil {
			return nil, err
		}
		if file == nil {
			continue
		}
		c, err := net.FileConn(file)
		file.Close()
		if err != nil {
			continue // the client has gone
		}
		if kind == msgClient {
			return c, nil
		}
		c.Close()
	}
}

// Close ends what the predecessor hands over.
func (l *predecessor) Close() error { return l.conn.Close() }

// Addr is the address of the socket between both.
func (l *predecessor) Addr() net.Addr { return l.conn.LocalAddr() }

// inheritedListener is a listening socket that the process was started with.
func inheritedListener(fd int) (net.Listener, error) {
	// Before os.NewFile, which would own, and some day close, what is not ours.
	switch accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); {
	case err != nil:
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d: %w", fd, err)
	case accepts == 0:
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d is a socket that does not listen", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close() // the listener has one of its own
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d: %w", fd, err)
	}
	return ln, nil
}
