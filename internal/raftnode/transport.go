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
	maxFrame       = 72 << 20 // bytes: a proposal of the largest size, or a snapshot
	queueMessages  = 256
	queueBytes     = 96 << 20
	dialTimeout    = time.Second
	handshakeLimit = 2 * time.Second
	frameLimit     = 10 * time.Second // for a frame to be written, or to come to its end
	redialLeast    = 50 * time.Millisecond
	redialMost     = time.Second
	acceptMost     = 64 // connections of peers at once
	partSize       = 256 << 10
	maxWord        = 64 << 10
	queueWords     = 64
)

// Kinds of frames.
const (
	frameMessage  = iota // a message
	framePart            // of a snapshot's message
	frameLastPart        // its end
	frameHello           // the first: hello
	frameWord            // a word of the instances to each other, not of the engine
)

// hello tells how often a member's file was opened, and which process this is. A member whose
// file is older than one that it came with before has forgotten what it promised since.
type hello struct {
	starts, process uint64
}

func (h hello) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, h.starts), h.process)
}

// memberName is the common name in a member's certificate.
func memberName(cluster string, id uint64) string { return fmt.Sprintf("%s/%d", cluster, id) }

// Credentials are a member's certificate and key and its cluster's authority.
type Credentials struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// transport sends messages to the other members and receives theirs.
type transport struct {
	cluster string
	me      uint64
	creds   Credentials
	hello   hello // starts 0: not known
	ln      net.Listener
	heard   func(*pb.Message)              // from a verified member
	sent    func(m *pb.Message, ok bool)   // told for snapshots and for messages that could not go out
	word    func(from uint64, text []byte) // from a verified member; nil: words are dropped
	logf    func(format string, args ...any)

	mu    sync.Mutex
	links map[uint64]*link
	conns map[net.Conn]struct{} // accepted
	seen  map[uint64]hello      // the newest of each member
	ctx   context.Context
	all   sync.WaitGroup
}

// link is the way to one member.
type link struct {
	to    uint64
	addr  string
	queue chan *pb.Message
	words chan []byte
	stop  context.CancelFunc
	mu    sync.Mutex
	bytes int // in the queue
}

// verify checks that the other side is a member of the cluster, and which. The chain was
// checked against the authority by the library; host names play no part.
func (t *transport) verify(state tls.ConnectionState, want uint64) (uint64, error) {
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
	if _, err := fmt.Sscanf(rest, "%d", &id); !ok || err != nil || of != cluster || name != memberName(cluster, id) {
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
	t.ctx, t.links, t.conns = ctx, map[uint64]*link{}, map[net.Conn]struct{}{}
	t.seen = map[uint64]hello{}
	t.all.Go(t.accept)
	t.all.Go(func() {
		<-ctx.Done()
		t.ln.Close()
		t.mu.Lock()
		for c := range t.conns {
			c.Close()
		}
		t.mu.Unlock()
	})
}

// wait returns when all has ended.
func (t *transport) wait() { t.all.Wait() }

// knows takes in a member's hello, unless its file is older than one that it had.
func (t *transport) knows(from uint64, text []byte) error {
	if len(text) != 16 {
		return fmt.Errorf("member %d: malformed hello", from)
	}
	h := hello{binary.BigEndian.Uint64(text), binary.BigEndian.Uint64(text[8:])}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.seen[from]; h.starts > 0 && (h.starts < s.starts || h.starts == s.starts && h.process != s.process) {
		return fmt.Errorf("member %d comes with an old copy of its file and may have forgotten votes: it is not heard; replace it under a new number", from)
	}
	t.seen[from] = h
	return nil
}

// peers sets the addresses of the other members.
func (t *transport) peers(addrs map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		if addrs[id] != l.addr {
			l.stop()
			delete(t.links, id)
		}
	}
	for id, addr := range addrs {
		if id == t.me || t.links[id] != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		l := &link{to: id, addr: addr, queue: make(chan *pb.Message, queueMessages), words: make(chan []byte, queueWords), stop: stop}
		t.links[id] = l
		t.all.Go(func() { t.run(ctx, l) })
	}
}

// tell queues a word for all other members. One that finds a queue full is lost.
func (t *transport) tell(text []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		select {
		case l.words <- text:
		default:
		}
	}
}

// send queues a message. One that finds the queue full is lost, as Raft allows.
func (t *transport) send(m *pb.Message) {
	t.mu.Lock()
	l := t.links[m.GetTo()]
	t.mu.Unlock()
	if l == nil {
		t.sent(m, false)
		return
	}
	size := proto.Size(m)
	l.mu.Lock()
	fits := l.bytes+size <= queueBytes
	if fits {
		l.bytes += size
	}
	l.mu.Unlock()
	if fits {
		select {
		case l.queue <- m:
			return
		default:
			l.took(size)
		}
	}
	t.sent(m, false)
}

func (l *link) took(size int) {
	l.mu.Lock()
	l.bytes -= size
	l.mu.Unlock()
}

// run keeps a connection to a member up and writes what is queued.
func (t *transport) run(ctx context.Context, l *link) {
	pause, down := redialLeast, false
	for ctx.Err() == nil {
		c, err := t.dial(ctx, l)
		if err == nil {
			pause, down = redialLeast, false
			err = t.write(ctx, l, c)
			c.Close()
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			down = true
			t.logf("member %d at %s: %v", l.to, l.addr, err)
		}
		t.drop(l)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, redialMost)
	}
}

// drop empties the queue of a member that can't be reached: what waits in it is old.
func (t *transport) drop(l *link) {
	for {
		select {
		case m := <-l.queue:
			l.took(proto.Size(m))
			t.sent(m, false)
		default:
			return
		}
	}
}

func (t *transport) dial(ctx context.Context, l *link) (*tls.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	c := tls.Client(nc, t.creds.TLSConfig())
	nc.SetDeadline(time.Now().Add(handshakeLimit))
	if err = c.HandshakeContext(ctx); err == nil {
		_, err = t.verify(c.ConnectionState(), l.to)
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return c, nil
}

// write writes what is queued until the connection breaks. Messages that are queued by then
// go out together.
func (t *transport) write(ctx context.Context, l *link, c *tls.Conn) error {
	defer context.AfterFunc(ctx, func() { c.NetConn().Close() })()
	// Nothing comes back but the end of the connection.
	gone := make(chan struct{})
	t.all.Go(func() {
		defer close(gone)
		io.Copy(io.Discard, c)
	})
	defer func() {
		c.NetConn().Close()
		<-gone
	}()
	out := bufio.NewWriterSize(c, 64<<10)
	frame := func(kind int, text []byte) error {
		c.SetWriteDeadline(time.Now().Add(frameLimit))
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
			t.sent(snap, false)
		}
	}()
	for {
		var m *pb.Message
		var word []byte
		if snap == nil && len(l.queue) == 0 && len(l.words) == 0 {
			if err := out.Flush(); err != nil {
				return err
			}
			select {
			case m = <-l.queue:
			case word = <-l.words:
			case <-gone:
				return errors.New("the connection has ended")
			case <-ctx.Done():
				return ctx.Err()
			}
		} else {
			select {
			case m = <-l.queue:
			case word = <-l.words:
			case <-gone:
				return errors.New("the connection has ended")
			default:
			}
		}
		if word != nil {
			if err := frame(frameWord, word); err != nil {
				return err
			}
			continue
		}
		if m != nil {
			l.took(proto.Size(m))
			text, err := proto.Marshal(m)
			if err == nil && len(text) > maxFrame {
				err = fmt.Errorf("message of %d bytes", len(text))
			}
			switch {
			case err == nil && m.GetType() != pb.MsgSnap:
				err = frame(frameMessage, text)
			case err == nil && snap == nil:
				snap, rest = m, text
			case m.GetType() == pb.MsgSnap: // a second one meanwhile
				t.sent(m, false)
			}
			if err != nil {
				t.sent(m, false)
				return err
			}
		}
		if snap == nil {
			continue
		}
		kind, n := framePart, partSize
		if len(rest) <= n {
			kind, n = frameLastPart, len(rest)
		}
		err := frame(kind, rest[:n])
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			return err
		}
		if rest = rest[n:]; kind == frameLastPart {
			t.sent(snap, true)
			snap = nil
		}
	}
}

// accept takes in the connections of other members.
func (t *transport) accept() {
	for {
		nc, err := t.ln.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors: one may come free
			continue
		}
		t.mu.Lock()
		full := len(t.conns) >= acceptMost || t.ctx.Err() != nil
		if !full {
			t.conns[nc] = struct{}{}
		}
		t.mu.Unlock()
		if full {
			nc.Close()
			continue
		}
		t.all.Go(func() {
			if err := t.read(nc); err != nil && t.ctx.Err() == nil && !errors.Is(err, io.EOF) {
				t.logf("connection from %s: %v", nc.RemoteAddr(), err)
			}
			nc.Close()
			t.mu.Lock()
			delete(t.conns, nc)
			t.mu.Unlock()
		})
	}
}

// read hands on what a member sends, which must be in its own name.
func (t *transport) read(nc net.Conn) error {
	c := tls.Server(nc, t.creds.TLSConfig())
	nc.SetDeadline(time.Now().Add(handshakeLimit))
	if err := c.HandshakeContext(t.ctx); err != nil {
		return err
	}
	from, err := t.verify(c.ConnectionState(), 0)
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
		if n > maxFrame || kind > frameWord || kind == frameWord && n > maxWord || first != (kind == frameHello) || (kind == framePart || kind == frameLastPart) && (n > partSize || len(snap)+n > maxFrame) {
			return fmt.Errorf("member %d sends a frame of kind %d with %d bytes", from, kind, n)
		}
		nc.SetReadDeadline(time.Now().Add(frameLimit))
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
			if err := t.knows(from, text); err != nil {
				return err
			}
			continue
		}
		if kind == frameWord {
			t.mu.Lock()
			word := t.word
			t.mu.Unlock()
			if word != nil {
				word(from, text)
			}
			continue
		}
		whole := text
		if kind != frameMessage {
			if snap = append(snap, text...); kind == framePart {
				continue
			}
			whole, snap = snap, nil
		}
		m := &pb.Message{}
		if err := proto.Unmarshal(whole, m); err != nil {
			return fmt.Errorf("member %d: %w", from, err)
		}
		if m.GetFrom() != from || m.GetTo() != t.me {
			return fmt.Errorf("member %d sends in the name of %d to %d", from, m.GetFrom(), m.GetTo())
		}
		t.heard(m)
		if cap(text) > 1<<20 {
			text = nil
		}
	}
}
