package raftnode

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A connection carries frames one way: a word (4 bytes, big-endian) with a kind in its upper
// four bits and a length in the others, and so many bytes. A message is a protocol buffer. A
// snapshot's message comes in parts, between which others pass, so that a long one holds no
// heartbeat up. The one who dials sends. Each side knows the other by its certificate:
// the common name is memberName(cluster, id), signed by the cluster's authority, so that a
// member of another cluster behind a swapped address is turned away at the handshake.

// Bounds of the transport. One peer costs, at the most, a queue's messages on the way out
// and a frame on the way in, whatever it does.
const (
	maxFrameBytes       = 72 << 20 // bytes: a proposal of the largest size, or a snapshot
	maxQueuedMessages   = 256
	maxQueuedBytes      = 96 << 20
	dialTimeout         = time.Second
	handshakeTimeout    = 2 * time.Second
	frameTimeout        = 10 * time.Second // for a frame to be written, or to come to its end
	minRedialDelay      = 50 * time.Millisecond
	maxRedialDelay      = time.Second
	maxAcceptedConns    = 64 // connections of peers at once
	snapshotPartBytes   = 256 << 10
	maxBroadcastBytes   = 64 << 10
	maxQueuedBroadcasts = 64
)

// Kinds of frames.
const (
	frameMessage      = iota // a message
	frameSnapshotPart        // of a snapshot's message
	frameSnapshotEnd         // its end
	frameHello               // the first: hello
	frameBroadcast           // a word of the instances to each other, not of the engine
)

// hello tells how often a member's file was opened, and which process this is. A member whose
// file is older than one that it came with before has forgotten what it promised since.
type hello struct {
	incarnation, processID uint64
}

func (h hello) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, h.incarnation), h.processID)
}

// memberCommonName is the common name in a member's certificate.
func memberCommonName(cluster string, id uint64) string { return fmt.Sprintf("%s/%d", cluster, id) }

// Credentials are a member's certificate and key and its cluster's authority.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// transport sends messages to the other members and receives theirs.
type transport struct {
	cluster      string
	memberID     uint64
	credentials  Credentials
	hello        hello // starts 0: not known
	listener     net.Listener
	onMessage    func(*pb.Message)              // from a verified member
	onSendResult func(m *pb.Message, ok bool)   // told for snapshots and for messages that could not go out
	onBroadcast  func(from uint64, text []byte) // from a verified member; nil: words are dropped
	logf         func(format string, args ...any)

	mu            sync.Mutex
	senders       map[uint64]*peerSender
	acceptedConns map[net.Conn]struct{} // accepted
	newestHello   map[uint64]hello      // the newest of each member
	ctx           context.Context
	goroutines    sync.WaitGroup
}

// peerSender is the way to one member.
type peerSender struct {
	memberID    uint64
	address     string
	messages    chan *pb.Message
	broadcasts  chan []byte
	cancel      context.CancelFunc
	mu          sync.Mutex
	queuedBytes int // in the queue
}

// verifyPeer checks that the other side is a member of the cluster, and which. The chain was
// checked against the authority by the library; host names play no part.
func (t *transport) verifyPeer(state tls.ConnectionState, want uint64) (uint64, error) {
	id, err := VerifyMember(t.cluster, state)
	if err == nil && want != 0 && id != want {
		err = fmt.Errorf("member %d answers where member %d is expected", id, want)
	}
	if err != nil {
		return 0, err
	}
	return id, nil
}

// VerifyMember names the member of a cluster at the other end of a connection.
func VerifyMember(cluster string, state tls.ConnectionState) (uint64, error) {
	if len(state.PeerCertificates) == 0 {
		return 0, errors.New("no certificate")
	}
	name := state.PeerCertificates[0].Subject.CommonName
	var id uint64
	of, rest, ok := cutLast(name, '/')
	if _, err := fmt.Sscanf(rest, "%d", &id); !ok || err != nil || of != cluster || name != memberCommonName(cluster, id) {
		return 0, fmt.Errorf("certificate of %q, not of a member of %q", name, cluster)
	}
	return id, nil
}

func cutLast(s string, sep byte) (before, after string, ok bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == sep {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}

// start serves until ctx ends.
func (t *transport) start(ctx context.Context) {
	t.ctx, t.senders, t.acceptedConns = ctx, map[uint64]*peerSender{}, map[net.Conn]struct{}{}
	t.newestHello = map[uint64]hello{}
	t.goroutines.Go(t.acceptConnections)
	t.goroutines.Go(func() {
		<-ctx.Done()
		t.listener.Close()
		t.mu.Lock()
		for c := range t.acceptedConns {
			c.Close()
		}
		t.mu.Unlock()
	})
}

// wait returns when all has ended.
func (t *transport) wait() { t.goroutines.Wait() }

// acceptHello takes in a member's hello, unless its file is older than one that it had.
func (t *transport) acceptHello(from uint64, text []byte) error {
	if len(text) != 16 {
		return fmt.Errorf("member %d: malformed hello", from)
	}
	h := hello{binary.BigEndian.Uint64(text), binary.BigEndian.Uint64(text[8:])}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.newestHello[from]; h.incarnation > 0 && (h.incarnation < s.incarnation || h.incarnation == s.incarnation && h.processID != s.processID) {
		return fmt.Errorf("member %d comes with an old copy of its file and may have forgotten votes: it is not heard; replace it under a new number", from)
	}
	t.newestHello[from] = h
	return nil
}

// setPeers sets the addresses of the other members.
func (t *transport) setPeers(addrs map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.senders {
		if addrs[id] != l.address {
			l.cancel()
			delete(t.senders, id)
		}
	}
	for id, addr := range addrs {
		if id == t.memberID || t.senders[id] != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		l := &peerSender{memberID: id, address: addr, messages: make(chan *pb.Message, maxQueuedMessages), broadcasts: make(chan []byte, maxQueuedBroadcasts), cancel: stop}
		t.senders[id] = l
		t.goroutines.Go(func() { t.runSender(ctx, l) })
	}
}

// broadcast queues a word for all other members. One that finds a queue full is lost.
func (t *transport) broadcast(text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.senders {
		select {
		case l.broadcasts <- text:
		default:
		}
	}
}

// send queues a message. One that finds the queue full is lost, as Raft allows.
func (t *transport) send(m *pb.Message) {
	t.mu.Lock()
	l := t.senders[m.GetTo()]
	t.mu.Unlock()
	if l == nil {
		t.onSendResult(m, false)
		return
	}
	size := proto.Size(m)
	l.mu.Lock()
	fits := l.queuedBytes+size <= maxQueuedBytes
	if fits {
		l.queuedBytes += size
	}
	l.mu.Unlock()
	if fits {
		select {
		case l.messages <- m:
			return
		default:
			l.releaseBytes(size)
		}
	}
	t.onSendResult(m, false)
}

func (l *peerSender) releaseBytes(size int) {
	l.mu.Lock()
	l.queuedBytes -= size
	l.mu.Unlock()
}

// runSender keeps a connection to a member up and writes what is queued.
func (t *transport) runSender(ctx context.Context, l *peerSender) {
	pause, down := minRedialDelay, false
	for ctx.Err() == nil {
		c, err := t.dial(ctx, l)
		if err == nil {
			pause, down = minRedialDelay, false
			err = t.writeFrames(ctx, l, c)
			c.Close()
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			down = true
			t.logf("member %d at %s: %v", l.memberID, l.address, err)
		}
		t.dropQueued(l)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialDelay)
	}
}

// dropQueued empties the queue of a member that can't be reached: what waits in it is old.
func (t *transport) dropQueued(l *peerSender) {
	for {
		select {
		case m := <-l.messages:
			l.releaseBytes(proto.Size(m))
			t.onSendResult(m, false)
		default:
			return
		}
	}
}

func (t *transport) dial(ctx context.Context, l *peerSender) (*tls.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	c := tls.Client(nc, t.credentials.TLSConfig())
	nc.SetDeadline(time.Now().Add(handshakeTimeout))
	if err = c.HandshakeContext(ctx); err == nil {
		_, err = t.verifyPeer(c.ConnectionState(), l.memberID)
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return c, nil
}

// writeFrames writes what is queued until the connection breaks. Messages that are queued by then
// go out together.
func (t *transport) writeFrames(ctx context.Context, l *peerSender, c *tls.Conn) error {
	defer context.AfterFunc(ctx, func() { c.NetConn().Close() })()
	// Nothing comes back but the end of the connection.
	gone := make(chan struct{})
	t.goroutines.Go(func() {
		defer close(gone)
		io.Copy(io.Discard, c)
	})
	defer func() {
		c.NetConn().Close()
		<-gone
	}()
	out := bufio.NewWriterSize(c, 64<<10)
	frame := func(kind int, text []byte) error {
		c.SetWriteDeadline(time.Now().Add(frameTimeout))
		if _, err := out.Write(binary.BigEndian.AppendUint32(nil, uint32(kind)<<28|uint32(len(text)))); err != nil {
			return err
		}
		_, err := out.Write(text)
		return err
	}
	if err := frame(frameHello, t.hello.encode()); err != nil {
		return err
	}
	var snap *pb.Message // under way
	var rest []byte      // of it
	defer func() {
		if snap != nil {
			t.onSendResult(snap, false)
		}
	}()
	for {
		var m *pb.Message
		var word []byte
		if snap == nil && len(l.messages) == 0 && len(l.broadcasts) == 0 {
			if err := out.Flush(); err != nil {
				return err
			}
			select {
			case m = <-l.messages:
			case word = <-l.broadcasts:
			case <-gone:
				return errors.New("the connection has ended")
			case <-ctx.Done():
				return ctx.Err()
			}
		} else {
			select {
			case m = <-l.messages:
			case word = <-l.broadcasts:
			case <-gone:
				return errors.New("the connection has ended")
			default:
			}
		}
		if word != nil {
			if err := frame(frameBroadcast, word); err != nil {
				return err
			}
			continue
		}
		if m != nil {
			l.releaseBytes(proto.Size(m))
			text, err := proto.Marshal(m)
			if err == nil && len(text) > maxFrameBytes {
				err = fmt.Errorf("message of %d bytes", len(text))
			}
			switch {
			case err == nil && m.GetType() != pb.MsgSnap:
				err = frame(frameMessage, text)
			case err == nil && snap == nil:
				snap, rest = m, text
			case m.GetType() == pb.MsgSnap: // a second one meanwhile
				t.onSendResult(m, false)
			}
			if err != nil {
				t.onSendResult(m, false)
				return err
			}
		}
		if snap == nil {
			continue
		}
		kind, n := frameSnapshotPart, snapshotPartBytes
		if len(rest) <= n {
			kind, n = frameSnapshotEnd, len(rest)
		}
		err := frame(kind, rest[:n])
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			return err
		}
		if rest = rest[n:]; kind == frameSnapshotEnd {
			t.onSendResult(snap, true)
			snap = nil
		}
	}
}

// acceptConnections takes in the connections of other members.
func (t *transport) acceptConnections() {
	for {
		nc, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors: one may come free
			continue
		}
		t.mu.Lock()
		full := len(t.acceptedConns) >= maxAcceptedConns || t.ctx.Err() != nil
		if !full {
			t.acceptedConns[nc] = struct{}{}
		}
		t.mu.Unlock()
		if full {
			nc.Close()
			continue
		}
		t.goroutines.Go(func() {
			if err := t.readFrames(nc); err != nil && t.ctx.Err() == nil && !errors.Is(err, io.EOF) {
				t.logf("connection from %s: %v", nc.RemoteAddr(), err)
			}
			nc.Close()
			t.mu.Lock()
			delete(t.acceptedConns, nc)
			t.mu.Unlock()
		})
	}
}

// readFrames hands on what a member sends, which must be in its own name.
func (t *transport) readFrames(nc net.Conn) error {
	c := tls.Server(nc, t.credentials.TLSConfig())
	nc.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := c.HandshakeContext(t.ctx); err != nil {
		return err
	}
	from, err := t.verifyPeer(c.ConnectionState(), 0)
	if err != nil {
		return err
	}
	nc.SetDeadline(time.Time{})
	in := bufio.NewReaderSize(c, 64<<10)
	var head [4]byte
	var text, snap []byte // snap: the parts so far
	for first := true; ; first = false {
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return err
		}
		word := binary.BigEndian.Uint32(head[:])
		kind, n := int(word>>28), int(word&(1<<28-1))
		if n > maxFrameBytes || kind > frameBroadcast || kind == frameBroadcast && n > maxBroadcastBytes || first != (kind == frameHello) || (kind == frameSnapshotPart || kind == frameSnapshotEnd) && (n > snapshotPartBytes || len(snap)+n > maxFrameBytes) {
			return fmt.Errorf("member %d sends a frame of kind %d with %d bytes", from, kind, n)
		}
		nc.SetReadDeadline(time.Now().Add(frameTimeout))
		// Memory follows what has come, not what the length promises.
		text = text[:0]
		for len(text) < n {
			part := min(n-len(text), 1<<20)
			text = slices.Grow(text, part)
			if _, err := io.ReadFull(in, text[len(text):len(text)+part]); err != nil {
				return err
			}
			text = text[:len(text)+part]
		}
		nc.SetReadDeadline(time.Time{})
		if kind == frameHello {
			if err := t.acceptHello(from, text); err != nil {
				return err
			}
			continue
		}
		if kind == frameBroadcast {
			t.mu.Lock()
			word := t.onBroadcast
			t.mu.Unlock()
			if word != nil {
				word(from, text)
			}
			continue
		}
		whole := text
		if kind != frameMessage {
			if snap = append(snap, text...); kind == frameSnapshotPart {
				continue
			}
			whole, snap = snap, nil
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(whole, m); err != nil {
			return fmt.Errorf("member %d: %w", from, err)
		}
		if m.GetFrom() != from || m.GetTo() != t.memberID {
			return fmt.Errorf("member %d sends in the name of %d to %d", from, m.GetFrom(), m.GetTo())
		}
		t.onMessage(m)
		if cap(text) > 1<<20 {
			text = nil
		}
	}
}
