package gateway

import (
	"net"
	"sync"
)

// heldListener accepts connections whose reads can be held back: what has been received by then is returned once they
// are released, as at a process that gets no processor. What follows stays in the socket meanwhile.
type heldListener struct {
	net.Listener

	mu       sync.Mutex
	released chan struct{} // closed when the reads are released; nil: none is held
}

// hold holds back every read that returns from now on, and every new connection's, until release is called.
func (l *heldListener) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	released := make(chan struct{})
	l.released = released
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		close(released)
		l.released = nil
	})
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{conn.(*net.TCPConn), l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.listener.mu.Lock()
	released := c.listener.released
	c.listener.mu.Unlock()
	if released != nil {
		<-released
	}
	return n, err
}
