package gateway

import (
	"net"
	"sync"
	"syscall"
)

// heldAt is where the calls of a heldListener's connections are held back, as at a process that gets no processor.
type heldAt int

const (
	heldAfterRead  heldAt = iota // what was received has left the socket and is not returned
	heldBeforeRead               // what was received is still in the socket
	heldAfterWrite               // what was written has gone, and the writer does not know
)

// heldListener accepts connections whose calls can be held back until they are released.
type heldListener struct {
	net.Listener
	at heldAt

	mu       sync.Mutex
	released chan struct{} // closed when the calls are released; nil: none is held
}

// hold holds back, from now on, every call that comes to the place, also of new connections, until release is called.
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

// wait waits at a place while calls are held there.
func (l *heldListener) wait(at heldAt) {
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released != nil && at == l.at {
		<-released
	}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{conn.(*net.TCPConn), l}, nil
}

// SyscallConn returns the descriptor of the listening socket.
func (l *heldListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(*net.TCPListener).SyscallConn()
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c *heldConn) Read(p []byte) (int, error) {
	c.listener.wait(heldBeforeRead)
	n, err := c.TCPConn.Read(p)
	c.listener.wait(heldAfterRead)
	return n, err
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.listener.wait(heldAfterWrite)
	return n, err
}
