package raftnode

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/internal/logging"
)

// Limits of one peer's queues.
const (
	maxQueuedMessages   = 256
	maxQueuedBytes      = 96 << 20 // total size of the queued messages; more than maxFrameBytes
	maxQueuedBroadcasts = 64
)

// Timing of connections to a peer.
const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = time.Second
)

// peerSender holds the bounded queues of messages and broadcasts to one member. One goroutine, which runs
// [transport.runSender], reads them.
type peerSender struct {
	memberID   uint64
	address    string
	messages   chan *pb.Message
	broadcasts chan []byte
	cancel     context.CancelFunc // stops runSender

	mu          sync.Mutex // guards the field below
	queuedBytes int        // total size of the queued messages
}

// newPeerSender returns empty queues to a member. cancel stops the goroutine that reads them.
func newPeerSender(memberID uint64, address string, cancel context.CancelFunc) *peerSender {
	return &peerSender{
		memberID:   memberID,
		address:    address,
		messages:   make(chan *pb.Message, maxQueuedMessages),
		broadcasts: make(chan []byte, maxQueuedBroadcasts),
		cancel:     cancel,
	}
}

// enqueue queues a message of size bytes. It reports false, without queuing it, if the queue is full.
func (s *peerSender) enqueue(m *pb.Message, size int) bool {
	if !s.reserveBytes(size) {
		return false
	}
	select {
	case s.messages <- m:
		return true
	default:
		s.releaseBytes(size)
		return false
	}
}

// reserveBytes adds size to the queued bytes. It reports false, without adding it, if the sum would exceed
// maxQueuedBytes. The caller then drops the message, as Raft allows.
func (s *peerSender) reserveBytes(size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedBytes+size > maxQueuedBytes {
		return false
	}
	s.queuedBytes += size
	return true
}

// releaseBytes subtracts size from the queued bytes.
func (s *peerSender) releaseBytes(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queuedBytes -= size
}

// isEmpty reports whether nothing is queued.
func (s *peerSender) isEmpty() bool { return len(s.messages) == 0 && len(s.broadcasts) == 0 }

// runSender maintains a connection to a member and writes the queued items to it, until ctx ends. Of consecutive
// failures it logs only the first.
func (t *transport) runSender(ctx context.Context, sender *peerSender) {
	backoff := newRedialBackoff()
	isFailureLogged := false
	for ctx.Err() == nil {
		conn, err := t.dial(ctx, sender.memberID, sender.address)
		if err == nil {
			backoff = newRedialBackoff()
			isFailureLogged = false
			err = t.writeFrames(ctx, sender, conn)
			conn.Close()
		}
		if ctx.Err() != nil {
			return
		}
		if !isFailureLogged {
			isFailureLogged = true
			t.logger.Warn("connection to member failed", slog.Uint64(logging.KeyMember, sender.memberID),
				slog.String(logging.KeyAddress, sender.address), logging.Error(err))
		}
		t.dropQueued(sender)
		sleepContext(ctx, backoff.next())
	}
}

// redialBackoff computes the delay before a member is dialed again: minRedialDelay after the end of an established
// connection, then twice as long after each failure, up to maxRedialDelay. It has no jitter, since a member dials few
// others.
type redialBackoff struct {
	delay time.Duration // delay before the next attempt
}

func newRedialBackoff() redialBackoff { return redialBackoff{delay: minRedialDelay} }

// next returns the delay before the next attempt, and doubles the delay of the attempt after it.
func (b *redialBackoff) next() time.Duration {
	delay := b.delay
	b.delay = min(2*delay, maxRedialDelay)
	return delay
}

// sleepContext returns after a delay, or earlier if ctx ends.
func sleepContext(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// dropQueued drops the queued messages to an unreachable member: they would be outdated when it is reachable again.
func (t *transport) dropQueued(sender *peerSender) {
	for {
		select {
		case m := <-sender.messages:
			sender.releaseBytes(proto.Size(m))
			t.onSendResult(m, false)
		default:
			return
		}
	}
}

// dial connects to a member at an address and verifies that the peer is that member.
func (t *transport) dial(ctx context.Context, member uint64, address string) (*tls.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	rawConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(rawConn, t.credentials.TLSConfig())
	rawConn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := conn.HandshakeContext(ctx); err != nil {
		rawConn.Close()
		return nil, err
	}
	if _, err := t.verifyPeer(conn.ConnectionState(), member); err != nil {
		rawConn.Close()
		return nil, err
	}
	rawConn.SetDeadline(time.Time{})
	return conn, nil
}
