package gateway

import (
	"net"
	"sync"
	"syscall"
)

// holdPoint is the point of a heldListener's connections at which calls are held. Holding a call simulates a process
// that is not scheduled.
type holdPoint int

const (
	heldAfterRead  holdPoint = iota // data has been read from the socket but not returned to the caller
	heldBeforeRead                  // received data is still in the socket
	heldAfterWrite                  // data has been sent but the call has not returned
)

// heldListener accepts connections whose Read and Write calls can be held until they are released.
type heldListener struct {
	net.Listener
	at holdPoint

	mu       sync.Mutex
	released chan struct{} // closed when the calls are released; nil: no calls are held
}

// hold holds every call that reaches the hold point, also on new connections, until release is called.
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

// wait blocks while calls are held at the given point.
func (l *heldListener) wait(at holdPoint) {
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

// SyscallConn returns the raw connection of the listening socket.
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
