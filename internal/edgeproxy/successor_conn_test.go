package edgeproxy

import (
	"net"
	"path/filepath"
	"testing"
	"time"
)

// successorPair is a successor's connection, from which no goroutine reads, and the successor's own end.
func successorPair(t *testing.T) (*successorListener, *successorConn, handoverPeer) {
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

// What a successor has sent by the time of its death, or of its answer, counts however late it is read: here it is not
// read before the predecessor looks.
func TestSuccessorMessagesReadLate(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		says []string
		dies bool
		want takeoverAnswer
	}{
		"hello, and dies":                                 {[]string{hello}, true, successorGone},
		"dies without a hello":                            {nil, true, successorGone},
		"takes over":                                      {[]string{hello, string(msgTakenOver)}, false, takeoverConfirmed},
		"takes over, and dies":                            {[]string{hello, string(msgTakenOver)}, true, takeoverConfirmed},
		"a false hello, and dies":                         {[]string{"h"}, true, successorGone},
		"noise and a torn hello, and dies":                {[]string{"?", "hello to you", "h\x00"}, true, successorGone},
		"takes over without a hello, version 0 never did": {[]string{string(msgTakenOver)}, false, takeoverConfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, _, peer := successorPair(t)
			for _, text := range c.says {
				peer.send(text)
			}
			if c.dies {
				peer.Close()
			}
			if answer := l.awaitTakeover(); answer != c.want {
				t.Errorf("answer %v, want %v", answer, c.want)
			}
		})
	}
}

// A successor whose hello, or whose death, comes while the predecessor waits is not taken for one of an old version;
// one of an old version is not waited for.
func TestSuccessorMessagesComeLate(t *testing.T) {
	t.Parallel()
	const pause = 300 * time.Millisecond
	for name, c := range map[string]struct {
		connectedFor time.Duration
		acts         func(peer handoverPeer)
		want         takeoverAnswer
		isAtOnce     bool
	}{
		"hello, then it dies": {0, func(peer handoverPeer) {
			time.Sleep(pause)
			peer.send(hello)
			time.Sleep(pause)
			peer.Close()
		}, successorGone, false},
		"stopped before its hello, then it takes over": {0, func(peer handoverPeer) {
			time.Sleep(pause)
			peer.send(hello)
			peer.send(string(msgTakenOver))
		}, takeoverConfirmed, false},
		"stopped for longer than the predecessor waits": {0, func(peer handoverPeer) {
			peer.send(hello)
		}, takeoverUnconfirmed, false},
		"old version": {handoverMessageTimeout, func(handoverPeer) {}, takeoverUnconfirmed, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, s, peer := successorPair(t)
			s.connectedAt = s.connectedAt.Add(-c.connectedFor)
			l.readers.Go(s.read)
			t.Cleanup(func() {
				s.conn.Close()
				l.readers.Wait()
			})
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.acts(peer)
			}()
			began := time.Now()
			answer := l.awaitTakeover()
			if took := time.Since(began); answer != c.want || c.isAtOnce && took > handoverMessageTimeout/2 {
				t.Errorf("answer %v after %v, want %v", answer, took, c.want)
			}
			<-done
		})
	}
}

// A successor that has connected and was not accepted yet waits to take over.
func TestSuccessorAcceptedLate(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), handoverSocketName)
	l, err := listenForSuccessor(path, discard)
	if err != nil {
		t.Fatal(err)
	}
	if l.hasSuccessor() {
		t.Error("there is none")
	}
	peer := connectAsSuccessor(t, path, hello)
	if !l.hasSuccessor() {
		t.Error("one has connected")
	}
	if _, err := net.Dial("unixpacket", path); err != nil {
		t.Errorf("it goes on listening: %v", err)
	}
	peer.Close()
	l.close()
	l.readers.Wait()
}
