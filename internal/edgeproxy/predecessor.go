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

const (
	stateSizeLength  = 4 // bytes of the first state message
	descriptorLength = 4 // bytes of a descriptor in a control message
)

// predecessor is the successor's side of a hot restart: the connection to the process that serves. As a listener it
// accepts the clients that this process hands over.
type predecessor struct {
	conn *net.UnixConn
	buf  []byte
}

// findPredecessor connects to the process that serves. It returns nil if there is none, with an error if something
// else stands at the path.
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

// confirmTakeover tells the predecessor that this process has taken over.
func (p *predecessor) confirmTakeover() {
	// A predecessor that has gone meanwhile needs no answer.
	_, _ = p.conn.Write([]byte{msgTakenOver})
}

// inheritedState is what a predecessor sends before clients.
type inheritedState struct {
	engineState []byte
	gossipConn  *net.UDPConn // nil: it sent none
}

// awaitState waits for the predecessor's state until the successor may go. Its error means that the predecessor has
// ended before, or that ctx has. A gossip socket that came before it is the successor's all the same: peers know its
// address, which nobody else could open.
func (p *predecessor) awaitState(ctx context.Context) (state inheritedState, err error) {
	stop := context.AfterFunc(ctx, func() { p.conn.SetReadDeadline(expiredDeadline) })
	defer stop()
	stateSize := -1 // not known yet
	for {
		message, err := p.readMessage()
		if err != nil {
			return state, err
		}
		switch {
		case message.kind == msgState && stateSize < 0 && len(message.body) == stateSizeLength:
			stateSize = int(binary.BigEndian.Uint32(message.body))
		case message.kind == msgState:
			state.engineState = append(state.engineState, message.body...)
			if len(state.engineState) > stateSize {
				return state, errors.New("handover: more state than was announced")
			}
		case message.kind == msgGossipSocket && message.file != nil:
			if err := state.takeGossipSocket(message.file); err != nil {
				return state, err
			}
		case message.kind == msgGo && len(state.engineState) == stateSize:
			return state, nil
		default:
			if message.file != nil {
				message.file.Close()
			}
			return state, fmt.Errorf("handover: message %q of %d bytes out of place", message.kind, len(message.body))
		}
	}
}

// takeGossipSocket takes the gossip socket from its descriptor, which it closes.
func (s *inheritedState) takeGossipSocket(file *os.File) error {
	conn, err := net.FilePacketConn(file)
	file.Close()
	if err != nil {
		return fmt.Errorf("handover: peers' socket: %w", err)
	}
	var isUDP bool
	if s.gossipConn, isUDP = conn.(*net.UDPConn); !isUDP {
		conn.Close()
		return errors.New("handover: peers' socket is none")
	}
	return nil
}

// handoverMessage is one message of the predecessor.
type handoverMessage struct {
	kind byte
	body []byte   // valid until the next message is read
	file *os.File // the descriptor beside it; nil: there is none
}

// readMessage reads one message.
func (p *predecessor) readMessage() (message handoverMessage, err error) {
	oob := make([]byte, syscall.CmsgSpace(descriptorLength))
	n, oobn, flags, _, err := p.conn.ReadMsgUnix(p.buf, oob)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err == nil && flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.New("message cut short")
	}
	if err != nil {
		return handoverMessage{}, fmt.Errorf("handover: %w", err)
	}
	message.kind, message.body = p.buf[0], p.buf[1:n]
	if oobn > 0 {
		if message.file, err = receivedDescriptor(oob[:oobn]); err != nil {
			return handoverMessage{}, fmt.Errorf("handover: %w", err)
		}
	}
	return message, nil
}

// receivedDescriptor returns the descriptor that was received beside a message.
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

// Accept returns the next client's connection that the predecessor hands over. Its error is final.
func (p *predecessor) Accept() (net.Conn, error) {
	for {
		message, err := p.readMessage()
		if err != nil {
			return nil, err
		}
		if message.file == nil {
			continue
		}
		conn, err := net.FileConn(message.file)
		message.file.Close()
		if err != nil {
			continue // the client has disconnected
		}
		if message.kind == msgClient {
			return conn, nil
		}
		conn.Close()
	}
}

// Close closes the connection to the predecessor.
func (p *predecessor) Close() error { return p.conn.Close() }

// Addr is the address of the socket between both processes.
func (p *predecessor) Addr() net.Addr { return p.conn.LocalAddr() }

// inheritedListener returns the listening socket that the process was started with.
func inheritedListener(fd int) (net.Listener, error) {
	// Checked before os.NewFile, which would own, and some day close, a descriptor that is not ours.
	switch accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); {
	case err != nil:
		return nil, fmt.Errorf(envAcceptFD+": descriptor %d: %w", fd, err)
	case accepts == 0:
		return nil, fmt.Errorf(envAcceptFD+": descriptor %d is a socket that does not listen", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close() // the listener has one of its own
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf(envAcceptFD+": descriptor %d: %w", fd, err)
	}
	return ln, nil
}
