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
	handoverName  = "mulleinmux-handover"
	handoverLimit = 2 * time.Second // for one message: the other process is alive, if busy
	handoverForm  = 1               // of the successor's side; 0 said nothing and did not answer
	chunkMost     = 32 << 10

	msgState  = 's' // a part of the module's state
	msgPeers  = 'p' // the peers' socket
	msgGo     = 'g' // all of the above has come: serve
	msgClient = 'c' // a client's connection

	msgHello  = 'h' // from the successor: the form that it knows
	msgServes = 'y' // from the successor: it has taken over
)

// heir is the predecessor's side.
type heir struct {
	ln  *net.UnixListener
	log *log.Logger

	mu   sync.Mutex
	next *successor // the one that came last and has not gone; nil: none
	end  bool
	work sync.WaitGroup
}

// successor is a process that waits to take over.
type successor struct {
	conn   *net.UnixConn
	form   atomic.Int32
	serves chan struct{} // closed once it has taken over
	gone   chan struct{} // closed once it has ended
}

// awaitHeir listens for a successor until close. A socket that a process left that was
// killed is replaced.
func awaitHeir(path string, logger *log.Logger) (*heir, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &heir{ln: ln, log: logger}, nil
}

// meet accepts successors until close. A second one takes the first one's place.
func (h *heir) meet() {
	defer h.work.Wait()
	for {
		c, err := h.ln.AcceptUnix()
		if err != nil {
			return
		}
		s := &successor{conn: c, serves: make(chan struct{}), gone: make(chan struct{})}
		h.mu.Lock()
		old := h.next
		if h.next = s; h.end {
			old, h.next = s, nil
		}
		h.mu.Unlock()
		if old != nil {
			old.conn.Close()
		}
		h.work.Go(func() { h.follow(s) })
		h.log.Printf("handover: a successor waits")
	}
}

// follow reads what a successor says until it has gone.
func (h *heir) follow(s *successor) {
	defer close(s.gone)
	buf, serves := make([]byte, 16), false
	for {
		n, err := s.conn.Read(buf)
		if n == 0 || err != nil {
			break
		}
		switch {
		case buf[0] == msgHello && n == 2:
			s.form.Store(int32(buf[1]))
		case buf[0] == msgServes && !serves:
			serves = true
			close(s.serves)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next == s {
		h.next = nil
		s.conn.Close()
		if !serves {
			h.log.Printf("handover: the successor has gone")
		}
	}
}

// present tells whether a successor waits.
func (h *heir) present() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next != nil
}

// answered waits until the successor has taken over. One that has gone before is an error; one
// that is silent for long lives, and has the word to go, so that nothing may be taken back.
func (h *heir) answered() error {
	h.mu.Lock()
	s := h.next
	h.mu.Unlock()
	if s == nil {
		return errNoSuccessor
	}
	if s.form.Load() == 0 {
		return nil // of a version that does not answer
	}
	late := time.NewTimer(handoverLimit)
	defer late.Stop()
	select {
	case <-s.serves:
		return nil
	case <-s.gone:
	case <-late.C:
		h.log.Printf("handover: the successor does not say that it serves")
		return nil
	}
	select {
	case <-s.serves: // it said so, and went
		return nil
	default:
		return errNoSuccessor
	}
}

var errNoSuccessor = errors.New("handover: no successor")

// retire ends the listening, so that the successor can take the path; what is to be handed
// over still can be.
func (h *heir) retire() {
	h.mu.Lock()
	h.end = true
	h.mu.Unlock()
	h.ln.Close()
}

// close ends it all.
func (h *heir) close() {
	h.retire()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next != nil {
		h.next.conn.Close()
		h.next = nil
	}
}

// send sends one message, with the descriptor of rc beside it if there is one.
func (h *heir) send(kind byte, body []byte, rc syscall.RawConn) error {
	h.mu.Lock()
	next := h.next
	h.mu.Unlock()
	if next == nil {
		return errNoSuccessor
	}
	msg := append([]byte{kind}, body...)
	next.conn.SetWriteDeadline(time.Now().Add(handoverLimit))
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
func (h *heir) sendState(state []byte) error {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	if err := h.send(msgState, size, nil); err != nil {
		return err
	}
	for len(state) > 0 {
		n := min(len(state), chunkMost)
		if err := h.send(msgState, state[:n], nil); err != nil {
			return err
		}
		state = state[n:]
	}
	return nil
}

// giveAll sends all that comes before clients, and the word to go.
func (h *heir) giveAll(state []byte, sock *gossip.Socket) error {
	if err := h.sendState(state); err != nil {
		return err
	}
	if sock != nil {
		rc, err := sock.RawConn()
		if err == nil {
			err = h.send(msgPeers, nil, rc)
		}
		if err != nil {
			return err
		}
	}
	return h.send(msgGo, nil, nil)
}

// legacy is the successor's side.
type legacy struct {
	conn *net.UnixConn
	buf  []byte
}

// findPredecessor meets the process that serves. It returns nil where there is none; with
// an error, where something stands in its place.
func findPredecessor(path string) (*legacy, error) {
	c, err := net.DialTimeout("unixpacket", path, handoverLimit)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		if _, err = c.Write([]byte{msgHello, handoverForm}); err != nil {
			c.Close()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("handover: no predecessor: %w", err)
	}
	return &legacy{conn: c.(*net.UnixConn), buf: make([]byte, chunkMost+1)}, nil
}

// serves tells the predecessor that its place is taken.
func (l *legacy) serves() {
	// One that has gone meanwhile has nothing to be told.
	_, _ = l.conn.Write([]byte{msgServes})
}

// inheritance is what comes before the word to go.
type inheritance struct {
	state []byte
	peers *net.UDPConn // nil: none came
}

// await waits for the predecessor's word to go. Its error means that the predecessor has
// ended without one, or that ctx has.
func (l *legacy) await(ctx context.Context) (in inheritance, err error) {
	stop := context.AfterFunc(ctx, func() { l.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	defer func() {
		if err != nil && in.peers != nil {
			in.peers.Close()
		}
	}()
	size := -1
	for {
		kind, body, file, err := l.next()
		if err != nil {
			return in, err
		}
		switch {
		case kind == msgState && size < 0 && len(body) == 4:
			size = int(binary.BigEndian.Uint32(body))
		case kind == msgState:
			if in.state = append(in.state, body...); len(in.state) > size {
				return in, errors.New("handover: more state than was announced")
			}
		case kind == msgPeers && file != nil:
			pc, err := net.FilePacketConn(file)
			file.Close()
			if err != nil {
				return in, fmt.Errorf("handover: peers' socket: %w", err)
			}
			var ok bool
			if in.peers, ok = pc.(*net.UDPConn); !ok {
				pc.Close()
				return in, errors.New("handover: peers' socket is none")
			}
		case kind == msgGo && len(in.state) == size:
			return in, nil
		default:
			if file != nil {
				file.Close()
			}
			return in, fmt.Errorf("handover: message %q of %d bytes out of place", kind, len(body))
		}
	}
}

// next reads one message.
func (l *legacy) next() (kind byte, body []byte, file *os.File, err error) {
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
		if file, err = rights(oob[:oobn]); err != nil {
			return 0, nil, nil, fmt.Errorf("handover: %w", err)
		}
	}
	return l.buf[0], l.buf[1:n], file, nil
}

// rights returns the descriptor that came beside a message.
func rights(oob []byte) (*os.File, error) {
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
func (l *legacy) Accept() (net.Conn, error) {
	for {
		kind, _, file, err := l.next()
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
func (l *legacy) Close() error { return l.conn.Close() }

// Addr is the address of the socket between both.
func (l *legacy) Addr() net.Addr { return l.conn.LocalAddr() }

// inherited is a listening socket that the process was started with.
func inherited(fd int) (net.Listener, error) {
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
