//go:build review

package standin

import (
	"io"
	"net"
	"sync"
)

// Link is a way between two processes that can be cut. While it is cut, open connections stay open and silent and new
// ones never come up. When it is back, the connections of the time before and of the cut are reset if ResetsWhenBack is
// set; otherwise what was held is delivered.
type Link struct {
	ResetsWhenBack bool

	target   string
	listener net.Listener

	mu    sync.Mutex
	isCut bool
	back  chan struct{} // closed when the cut ends
	conns map[net.Conn]struct{}
}

// NewLink returns a link to an address. Clients connect to its own address.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, listener: ln, back: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	close(l.back)
	go l.accept()
	return l, nil
}

// Addr returns the address on which the link accepts connections.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCut {
		l.isCut, l.back = true, make(chan struct{})
	}
}

// Restore ends the cut.
func (l *Link) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCut {
		return
	}
	l.isCut = false
	if l.ResetsWhenBack {
		l.closeAll()
	}
	close(l.back)
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.listener.Close()
	l.Restore()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeAll()
}

// closeAll resets all connections. The caller holds the mutex.
func (l *Link) closeAll() {
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
	clear(l.conns)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

// await waits until the link is not cut.
func (l *Link) await() {
	for {
		l.mu.Lock()
		back, isCut := l.back, l.isCut
		l.mu.Unlock()
		if !isCut {
			return
		}
		<-back
	}
}

func (l *Link) add(conn net.Conn) {
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
}

func (l *Link) serve(from net.Conn) {
	l.add(from)
	defer from.Close()
	l.await()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.add(to)
	defer to.Close()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			l.copy(way[1], way[0])
			done <- struct{}{}
		}()
	}
	<-done
}

// copy passes bytes on while the link is not cut.
func (l *Link) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
