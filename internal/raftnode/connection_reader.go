package raftnode

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/internal/logging"
)

const (
	maxAcceptedConns = 64                    // of all peers together
	acceptRetryDelay = 10 * time.Millisecond // after a failed accept
)

// acceptConnections accepts the connections of other members until the listener is closed.
func (t *transport) acceptConnections() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay) // for example out of file descriptors, until one is closed
			continue
		}
		if !t.registerConnection(conn) {
			conn.Close()
			continue
		}
		t.goroutines.Go(func() { t.serveConnection(conn) })
	}
}

// registerConnection records an accepted connection. It reports false, without recording it, if maxAcceptedConns
// connections are open or the transport is stopping.
func (t *transport) registerConnection(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.acceptedConns) >= maxAcceptedConns || t.ctx.Err() != nil {
		return false
	}
	t.acceptedConns[conn] = struct{}{}
	return true
}

// serveConnection reads a registered connection until it ends, and closes it.
func (t *transport) serveConnection(conn net.Conn) {
	err := t.readFrames(conn)
	if t.ctx.Err() == nil && !errors.Is(err, io.EOF) {
		t.logger.Warn("connection from member failed",
			slog.Any(logging.KeyAddress, conn.RemoteAddr()), logging.Error(err))
	}
	conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.acceptedConns, conn)
}

// connectionReader handles the frames of one verified member's connection.
type connectionReader struct {
	transport *transport
	from      uint64
	frames    *frameReader
	snapshot  []byte // the parts received so far of a message with a snapshot
}

// readFrames verifies the peer and handles its frames until the connection ends. It returns the error that ended the
// connection.
func (t *transport) readFrames(rawConn net.Conn) error {
	conn := tls.Server(rawConn, t.credentials.TLSConfig())
	rawConn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := conn.HandshakeContext(t.ctx); err != nil {
		return err
	}
	from, err := t.verifyPeer(conn.ConnectionState(), anyMember)
	if err != nil {
		return err
	}
	rawConn.SetDeadline(time.Time{})
	r := &connectionReader{transport: t, from: from, frames: newFrameReader(rawConn, conn)}
	for isFirst := true; ; isFirst = false {
		if err := r.readNext(isFirst); err != nil {
			return err
		}
	}
}

// readNext reads and handles one frame. The first frame of a connection must be a hello, and no later one may be.
func (r *connectionReader) readNext(isFirst bool) error {
	header, err := r.frames.readHeader()
	if err != nil {
		return err
	}
	if header.exceedsBounds(len(r.snapshot)) || isFirst != (header.kind == frameHello) {
		return fmt.Errorf("member %d sent an unexpected frame (kind %d, %d bytes)",
			r.from, uint32(header.kind), header.length)
	}
	payload, err := r.frames.readPayload(header.length)
	if err != nil {
		return err
	}
	switch header.kind {
	case frameHello:
		return r.transport.acceptHello(r.from, payload)
	case frameBroadcast:
		r.deliverBroadcast(payload)
		return nil
	case frameSnapshotPart:
		r.snapshot = append(r.snapshot, payload...)
		return nil
	case frameSnapshotEnd:
		encoded := append(r.snapshot, payload...)
		r.snapshot = nil
		return r.deliverMessage(encoded)
	default:
		return r.deliverMessage(payload)
	}
}

// deliverBroadcast passes a broadcast to onBroadcast, which must not retain it.
func (r *connectionReader) deliverBroadcast(text []byte) {
	r.transport.mu.Lock()
	onBroadcast := r.transport.onBroadcast
	r.transport.mu.Unlock()
	if onBroadcast != nil {
		onBroadcast(r.from, text)
	}
}

// deliverMessage decodes a message and passes it to onMessage. The message must be from the connection's peer to this
// member.
func (r *connectionReader) deliverMessage(encoded []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fmt.Errorf("member %d: undecodable message: %w", r.from, err)
	}
	if m.GetFrom() != r.from || m.GetTo() != r.transport.memberID {
		return fmt.Errorf("member %d sent a message from member %d to member %d", r.from, m.GetFrom(), m.GetTo())
	}
	r.transport.onMessage(m)
	r.frames.releaseLargePayload()
	return nil
}
