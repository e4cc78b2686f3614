package edgeproxy

import (
	"net"
	"path/filepath"
	"testing"
	"time"
)

// newSuccessorPair returns a listener, the connection of its successor, from which no goroutine reads, and the
// successor's end of the connection.
func newSuccessorPair(t *testing.T) (*successorListener, *successorConn, handoverPeer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), handoverSocketName)
	l, err := listenForSuccessor(path, discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.listener.Close() })
	peer := connectAsSuccessor(t, path)
	conn, err := l.listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	s := newSuccessorConn(conn)
	l.successor = s
	return l, s, peer
}

// awaitTakeover takes all messages into account that the successor sent before it disconnected or confirmed, even if
// they are read late: here nothing reads them before awaitTakeover.
func TestSuccessorMessagesReadLate(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		messages    []string
		disconnects bool
		want        takeoverResult
	}{
		"hello, and dies":                                 {[]string{hello}, true, takeoverFailed},
		"dies without a hello":                            {nil, true, takeoverFailed},
		"takes over":                                      {[]string{hello, string(msgTakenOver)}, false, takeoverConfirmed},
		"takes over, and dies":                            {[]string{hello, string(msgTakenOver)}, true, takeoverConfirmed},
		"a false hello, and dies":                         {[]string{"h"}, true, takeoverFailed},
		"noise and a torn hello, and dies":                {[]string{"?", "hello to you", "h\x00"}, true, takeoverFailed},
		"takes over without a hello, version 0 never did": {[]string{string(msgTakenOver)}, false, takeoverConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, s, peer := newSuccessorPair(t)
			for _, text := range c.messages {
				peer.send(text)
			}
			if c.disconnects {
				s.sendUnread(t)
				peer.Close()
			}
			if result := l.awaitTakeover(); result != c.want {
				t.Errorf("awaitTakeover: result %v, want %v", result, c.want)
			}
		})
	}
}

// sendUnread sends a message that the successor does not read, so that its disconnect is a reset.
func (s *successorConn) sendUnread(t *testing.T) {
	t.Helper()
	if _, err := s.conn.Write([]byte(sentIDMessage)); err != nil {
		t.Fatal(err)
	}
}

// A successor whose hello or disconnect is received while the predecessor waits is not treated as one of version 0. For
// a successor of version 0 the predecessor does not wait.
func TestSuccessorMessagesComeLate(t *testing.T) {
	t.Parallel()
	const pause = 300 * time.Millisecond
	for name, c := range map[string]struct {
		connectedFor time.Duration
		act          func(peer handoverPeer)
		want         takeoverResult
		isImmediate  bool
	}{
		"hello, then it dies": {0, func(peer handoverPeer) {
			time.Sleep(pause)
			peer.send(hello)
			time.Sleep(pause)
			peer.Close()
		}, takeoverFailed, false},
		"stopped before its hello, then it takes over": {0, func(peer handoverPeer) {
			time.Sleep(pause)
			peer.send(hello)
			peer.send(string(msgTakenOver))
		}, takeoverConfirmed, false},
		"stopped for longer than the predecessor waits": {0, func(peer handoverPeer) {
			peer.send(hello)
		}, takeoverFailed, false},
		"old version": {handoverMessageTimeout, func(handoverPeer) {}, takeoverUnconfirmed, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, s, peer := newSuccessorPair(t)
			s.connectedAt = s.connectedAt.Add(-c.connectedFor)
			l.readers.Go(s.read)
			t.Cleanup(func() {
				s.conn.Close()
				l.readers.Wait()
			})
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.act(peer)
			}()
			startedAt := time.Now()
			result := l.awaitTakeover()
			if took := time.Since(startedAt); result != c.want || c.isImmediate && took > handoverMessageTimeout/2 {
				t.Errorf("awaitTakeover: result %v after %v, want %v", result, took, c.want)
			}
			<-done
		})
	}
}

// hasSuccessor accepts a pending connection of a successor.
func TestSuccessorAcceptedLate(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), handoverSocketName)
	l, err := listenForSuccessor(path, discard)
	if err != nil {
		t.Fatal(err)
	}
	if l.hasSuccessor() {
		t.Error("hasSuccessor is true without a connection")
	}
	peer := connectAsSuccessor(t, path, hello)
	if !l.hasSuccessor() {
		t.Error("hasSuccessor is false although a successor has connected")
	}
	if _, err := net.Dial("unixpacket", path); err != nil {
		t.Errorf("second connection to the listener: %v, want it to be still listening", err)
	}
	peer.Close()
	l.close()
	l.readers.Wait()
}
