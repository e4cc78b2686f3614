package edgeproxy

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"mulleinmux/internal/graceful"
)

const (
	stateSizeLength  = 4 // bytes of the first state message
	clockLength      = 8 // bytes of the clock's offset
	descriptorLength = 4 // bytes of a file descriptor in a control message
)

// predecessor is the successor's side of a hot restart: the connection to the process that still serves. It implements
// [net.Listener], which accepts the client connections that the predecessor hands over.
type predecessor struct {
	conn           *net.UnixConn
	buf            []byte
	unread         *handoverMessage     // received, to be returned by readMessage; nil if there is none
	sentIDReceived func(message []byte) // gets the IDs of requests that it is about to forward; nil: ignored
}

// findPredecessor connects to the predecessor's socket. It returns nil if nothing exists at the path, and an error if
// the path exists but the connection fails.
func findPredecessor(path string) (*predecessor, error) {
	c, err := graceful.OpenSocket(func() (net.Conn, error) {
		return net.DialTimeout("unixpacket", path, handoverMessageTimeout)
	})
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil {
		if _, err = c.Write([]byte{msgHello, handoverVersion}); err != nil {
			c.Close()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("handover: connection to the predecessor failed: %w", err)
	}
	return &predecessor{conn: c.(*net.UnixConn), buf: make([]byte, maxStateChunk+1)}, nil
}

// errHandoverGivenUp means that the predecessor has not waited until this process has taken over.
var errHandoverGivenUp = errors.New("handover: the predecessor has given it up")

// confirmTakeover reports to the predecessor that this process takes over, so that it serves from now on. If the
// predecessor has given up the handover, confirmTakeover returns an error once the predecessor accepts no more clients,
// or ctx ends. A predecessor that has died needs no confirmation.
func (p *predecessor) confirmTakeover(ctx context.Context) error {
	if _, err := p.conn.Write([]byte{msgTakenOver}); err == nil {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { p.conn.SetReadDeadline(expiredDeadline) })
	defer stop()
	for isGivenUp := false; ; {
		message, err := p.readMessage()
		switch {
		case err == nil:
			isGivenUp = isGivenUp || message.kind == msgGivenUp
		case isGivenUp:
			return errHandoverGivenUp
		default:
			return nil
		}
	}
}

// awaitClock waits for the offset of the node's clock, for clockTimeout at most. An older predecessor sends none.
func (p *predecessor) awaitClock() (offset time.Duration, isKnown bool) {
	p.conn.SetReadDeadline(time.Now().Add(clockTimeout))
	defer p.conn.SetReadDeadline(time.Time{})
	message, err := p.readMessage()
	if err != nil { // awaitState finds out if the predecessor has disconnected
		return 0, false
	}
	if message.kind != msgClock || len(message.body) != clockLength {
		message.body = bytes.Clone(message.body)
		p.unread = &message
		return 0, false
	}
	return time.Duration(binary.BigEndian.Uint64(message.body)), true
}

// inheritedState is what the predecessor sends before client connections.
type inheritedState struct {
	engineState []byte
	sentIDs     []byte       // of forwarded requests; nil if the predecessor sent none
	reportedIDs [][]byte     // messages about requests that it forwarded meanwhile
	gossipConn  *net.UDPConn // nil if the predecessor sent none
}

// awaitState receives the predecessor's state until it is complete. An error means that the predecessor disconnected or
// sent an invalid message before, or that ctx ended. A gossip socket that was received before the error is returned all
// the same: peers have its address, which no other socket could be opened on.
func (p *predecessor) awaitState(ctx context.Context) (state inheritedState, err error) {
	stop := context.AfterFunc(ctx, func() { p.conn.SetReadDeadline(expiredDeadline) })
	defer stop()
	stateSize := -1 // not received yet
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
				return state, errors.New("handover: engine state is longer than its announced size")
			}
		case message.kind == msgSentIDs:
			state.sentIDs = append(state.sentIDs, message.body...)
		case message.kind == msgClock: // came too late
		case message.kind == msgSentID:
			state.reportedIDs = append(state.reportedIDs, bytes.Clone(message.body))
		case message.kind == msgGossipSocket && message.file != nil:
			if err := state.takeGossipSocket(message.file); err != nil {
				return state, err
			}
		case message.kind == msgStateComplete && len(state.engineState) == stateSize:
			return state, nil
		default:
			if message.file != nil {
				message.file.Close()
			}
			return state, fmt.Errorf("handover: unexpected message %q of %d bytes", message.kind, len(message.body))
		}
	}
}

// takeGossipSocket opens the gossip socket from a descriptor, which it closes.
func (s *inheritedState) takeGossipSocket(file *os.File) error {
	conn, err := graceful.OpenSocket(func() (net.PacketConn, error) { return net.FilePacketConn(file) })
	file.Close()
	if err != nil {
		return fmt.Errorf("handover: gossip socket: %w", err)
	}
	var isUDP bool
	if s.gossipConn, isUDP = conn.(*net.UDPConn); !isUDP {
		conn.Close()
		return errors.New("handover: gossip socket is not a UDP socket")
	}
	return nil
}

// handoverMessage is one message from the predecessor.
type handoverMessage struct {
	kind byte
	body []byte   // valid until the next message is read
	file *os.File // the descriptor sent with the message; nil if there is none
}

// errTruncatedMessage means that no descriptor was left for the one in a message.
var errTruncatedMessage = errors.New("message is truncated")

// readMessage reads one message.
func (p *predecessor) readMessage() (message handoverMessage, err error) {
	if unread := p.unread; unread != nil {
		p.unread = nil
		return *unread, nil
	}
	oob := make([]byte, syscall.CmsgSpace(descriptorLength))
	n, oobn, flags, _, err := p.conn.ReadMsgUnix(p.buf, oob)
	if errors.Is(err, syscall.ECONNRESET) { // reported once, in front of the messages that were received before
		n, oobn, flags, _, err = p.conn.ReadMsgUnix(p.buf, oob)
	}
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err == nil && flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errTruncatedMessage
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

// receivedDescriptor returns the descriptor in the control message oob.
func receivedDescriptor(oob []byte) (*os.File, error) {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(msgs) != 1 {
		return nil, errors.Join(errors.New("want exactly one valid control message"), err)
	}
	fds, err := syscall.ParseUnixRights(&msgs[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("want exactly one descriptor in the control message"), err)
	}
	syscall.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "inherited"), nil
}

// Accept returns the next client connection that the predecessor hands over. After an error there are no more.
func (p *predecessor) Accept() (net.Conn, error) {
	for {
		message, err := p.readMessage()
		if errors.Is(err, errTruncatedMessage) {
			continue // the connection of one client, for which no descriptor was left
		}
		if err != nil {
			return nil, err
		}
		if message.kind == msgSentID && p.sentIDReceived != nil {
			p.sentIDReceived(message.body)
		}
		if message.file == nil {
			continue
		}
		conn, err := fileConn(message.file)
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

// sendSentID reports to the predecessor that a request is about to be forwarded.
func (p *predecessor) sendSentID(hash uint64) { sendSentID(p.conn, hash) }

// Close closes the connection to the predecessor.
func (p *predecessor) Close() error { return p.conn.Close() }

// Addr returns the address of the socket between both processes.
func (p *predecessor) Addr() net.Addr { return p.conn.LocalAddr() }

// inheritedListener returns a listener on the listening socket with descriptor fd, which the process has inherited.
func inheritedListener(fd int) (net.Listener, error) {
	// Checked before os.NewFile, whose file would own and eventually close a descriptor that has another use.
	switch accepts, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); {
	case err != nil:
		return nil, fmt.Errorf(envAcceptFD+": descriptor %d: %w", fd, err)
	case accepts == 0:
		return nil, fmt.Errorf(envAcceptFD+": descriptor %d is not a listening socket", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close() // the listener has a duplicate of the descriptor
	ln, err := fileListener(file)
	if err != nil {
		return nil, fmt.Errorf(envAcceptFD+": descriptor %d: %w", fd, err)
	}
	return ln, nil
}
