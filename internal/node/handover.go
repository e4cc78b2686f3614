package node

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// An upgrade: a second process is started while the first still serves. Both have the
// clients' listening socket and share $TMPDIR. The successor meets its predecessor on a
// socket there and waits, ready. When the predecessor is told to end, it stops accepting and
// hands over, in this order: what its module knows, the peers' socket, the word to go, and then
// each client's connection as soon as no request is on it. At no moment do both decide on
// new requests, so that quotas and ceilings need no share for the overlap, and no connection
// of a client is closed. The messages are datagrams of one kind each, with the descriptor
// beside them where there is one.
const (
	handoverName  = "mulleinmux-handover"
	handoverLimit = 2 * time.Second // for one message: the other process is alive, if busy
	chunkMost     = 32 << 10

	msgState  = 's' // a part of the module's state
	msgPeers  = 'p' // the peers' socket
	msgGo     = 'g' // all of the above has come: serve
	msgClient = 'c' // a client's connection
)

// heir is the predecessor's side.
type heir struct {
	ln *net.UnixListener

	mu   sync.Mutex
	conn *net.UnixConn // the successor that came last; nil: none
	end  bool
}

// awaitHeir listens for a successor until close. A socket that a process left that was
// killed is replaced.
func awaitHeir(path string) (*heir, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &heir{ln: ln}, nil
}

// meet accepts successors until close.
func (h *heir) meet(logger *log.Logger) {
	for {
		c, err := h.ln.AcceptUnix()
		if err != nil {
			return
		}
		h.mu.Lock()
		old := h.conn
		if h.conn = c; h.end {
			old, h.conn = c, nil
		}
		h.mu.Unlock()
		if old != nil {
			old.Close()
		}
		logger.Printf("handover: a successor waits")
	}
}

// present tells whether a successor waits.
func (h *heir) present() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn != nil
}

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
	if h.conn != nil {
		h.conn.Close()
		h.conn = nil
	}
}

// send sends one message, with the descriptor of rc beside it if there is one.
func (h *heir) send(kind byte, body []byte, rc syscall.RawConn) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn == nil {
		return errors.New("handover: no successor")
	}
	msg := append([]byte{kind}, body...)
	h.conn.SetWriteDeadline(time.Now().Add(handoverLimit))
	write := func(rights []byte) error {
		_, _, err := h.conn.WriteMsgUnix(msg, rights, nil)
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

// legacy is the successor's side.
type legacy struct {
	conn *net.UnixConn
	buf  []byte
}

// findPredecessor meets the process that serves, or returns nil where there is none.
func findPredecessor(path string) *legacy {
	c, err := net.DialTimeout("unixpacket", path, handoverLimit)
	if err != nil {
		return nil
	}
	return &legacy{conn: c.(*net.UnixConn), buf: make([]byte, chunkMost+1)}
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
	file := os.NewFile(uintptr(fd), "clients")
	if file == nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: %d is no descriptor", fd)
	}
	defer file.Close() // the listener has one of its own
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d: %w", fd, err)
	}
	return ln, nil
}
