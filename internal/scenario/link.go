package scenario

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkEnds are the indexes of two instances: a link goes from the one to the other.
type linkEnds struct{ from, to int }

// link is the path from one member to another: a forwarder on loopback that can be cut. The
// bytes of a member's messages go in one direction, so that a cut is one-way.
type link struct {
	ln         net.Listener
	to         string
	cut        atomic.Bool
	silentBack atomic.Bool  // what comes back is lost
	delay      atomic.Int64 // of each piece, in ns
	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

// newLink opens a link to an address.
func newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, to: to, conns: map[net.Conn]struct{}{}}
	l.goroutines.Go(l.serve)
	return l, nil
}

// addr is the address at which the link is reached.
func (l *link) addr() string { return l.ln.Addr().String() }

// setCut cuts the link or heals it. Connections on a cut link carry nothing, as on a network
// that loses all packets; they end when it heals.
func (l *link) setCut(cut bool) {
	if l.cut.Swap(cut) && !cut {
		l.closeAll()
	}
}

// setSilentBack has what comes back on the link be lost, or heals it as setCut does.
func (l *link) setSilentBack(silent bool) {
	if l.silentBack.Swap(silent) && !silent {
		l.closeAll()
	}
}

// setDelay holds back each piece on the link for a time, or none any more.
func (l *link) setDelay(delay time.Duration, isSlow bool) {
	if !isSlow {
		delay = 0
	}
	l.delay.Store(int64(delay))
}

// closeAll closes the connections on the link.
func (l *link) closeAll() {
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
}

// close ends the link.
func (l *link) close() {
	l.ln.Close()
	l.closeAll()
	l.goroutines.Wait()
}

// track notes a connection; the function that it returns closes and forgets it.
func (l *link) track(c net.Conn) func() {
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

// serve accepts connections and forwards what comes on them.
func (l *link) serve() {
	for {
		c, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // out of descriptors: one may come free
			continue
		}
		l.goroutines.Go(func() {
			defer l.track(c)()
			if l.cut.Load() { // nothing answers
				io.Copy(io.Discard, c)
				return
			}
			d, err := net.DialTimeout("tcp", l.to, time.Second)
			if err != nil {
				return
			}
			defer l.track(d)()
			back := make(chan struct{})
			go func() {
				defer close(back)
				l.forward(c, d, &l.silentBack)
				c.Close()
			}()
			l.forward(d, c, &l.cut)
			d.Close()
			<-back
		})
	}
}

// forward copies until an end closes. What comes while the link is cut, or silent, is lost, and with it the
// connection, once the link heals.
func (l *link) forward(to, from net.Conn, isSilent *atomic.Bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if delay := l.delay.Load(); delay > 0 {
			time.Sleep(time.Duration(delay))
		}
		if n > 0 && !l.cut.Load() && !isSilent.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
