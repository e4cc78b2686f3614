package edgeproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

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
func (p *predecessor) confirmTakeover() {
	// One that has gone meanwhile has nothing to be told.
	_, _ = p.conn.Write([]byte{msgTakenOver})
}

// inheritedState is what comes before the word to go.
type inheritedState struct {
	engineState []byte
	gossipConn  *net.UDPConn // nil: none came
}

// awaitState waits for the predecessor's word to go. Its error means that the predecessor has
// ended without one, or that ctx has.
func (p *predecessor) awaitState(ctx context.Context) (in inheritedState, err error) {
	stop := context.AfterFunc(ctx, func() { p.conn.SetReadDeadline(expiredDeadline) })
	defer stop()
	defer func() {
		if err != nil && in.gossipConn != nil {
			in.gossipConn.Close()
		}
	}()
	size := -1
	for {
		kind, body, file, err := p.readMessage()
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
func (p *predecessor) readMessage() (kind byte, body []byte, file *os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, flags, _, err := p.conn.ReadMsgUnix(p.buf, oob)
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
	return p.buf[0], p.buf[1:n], file, nil
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
func (p *predecessor) Accept() (net.Conn, error) {
	for {
		kind, _, file, err := p.readMessage()
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
func (p *predecessor) Close() error { return p.conn.Close() }

// Addr is the address of the socket between both.
func (p *predecessor) Addr() net.Addr { return p.conn.LocalAddr() }

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
