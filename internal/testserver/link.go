package testserver

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Link is a forwarder on loopback for the path from one instance to another. It can be cut. There is
// a link for each direction: the bytes of a member's messages go in one direction, so that a cut is one-way.
type Link struct {
	ln           net.Listener
	to           string
	cut          atomic.Bool
	dropsReplies atomic.Bool  // bytes from the far instance are lost
	delay        atomic.Int64 // of each read, in ns
	mu           sync.Mutex
	conns        map[net.Conn]struct{}
	goroutines   sync.WaitGroup
}

// NewLink opens a link to an address.
func NewLink(to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	l.goroutines.Go(l.serve)
	return l, nil
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// SetCut cuts the link or heals it. Connections on a cut link lose all bytes, as on a network
// that drops all packets. They are closed when the link heals.
func (l *Link) SetCut(cut bool) {
	if l.cut.Swap(cut) && !cut {
		l.CloseConnections()
	}
}

// SetDropsReplies makes the link lose the bytes from the far instance, or heals it as SetCut does.
func (l *Link) SetDropsReplies(drops bool) {
	if l.dropsReplies.Swap(drops) && !drops {
		l.CloseConnections()
	}
}

// SetDelay delays each read on the link if isSlow, else removes the delay.
func (l *Link) SetDelay(delay time.Duration, isSlow bool) {
	if !isSlow {
		delay = 0
	}
	l.delay.Store(int64(delay))
}

// CloseConnections closes the connections on the link.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
}

// Close closes the link with its connections and waits until its goroutines have ended.
func (l *Link) Close() {
	l.ln.Close()
	l.CloseConnections()
	l.goroutines.Wait()
}

// track registers a connection. The function that it returns closes and unregisters it.
func (l *Link) track(c net.Conn) func() {
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return func() {
		c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}
}

// serve accepts connections and forwards their bytes in both directions.
func (l *Link) serve() {
	for {
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // out of file descriptors: wait until one is free
			continue
		}
		l.goroutines.Go(func() {
			defer l.track(c)()
			if l.cut.Load() { // like a peer that doesn't answer
				io.Copy(io.Discard, c)
				return
			}
			upstream, err := net.DialTimeout("tcp", l.to, time.Second)
			if err != nil {
				return
			}
			defer l.track(upstream)()
			back := make(chan struct{})
			go func() {
				defer close(back)
				l.forward(c, upstream, &l.dropsReplies)
				c.Close()
			}()
			l.forward(upstream, c, &l.cut)
			upstream.Close()
			<-back
		})
	}
}

// forward copies bytes until either connection ends. Bytes that arrive while the link is cut, or isDropping is set, are
// lost; their connection is therefore closed once the link heals.
func (l *Link) forward(to, from net.Conn, isDropping *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if delay := l.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		if n > 0 && !l.cut.Load() && !isDropping.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
