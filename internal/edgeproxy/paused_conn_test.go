package edgeproxy

import (
	"net"
	"sync"
	"syscall"
)

// gatedListener accepts no connections until the channel gate is closed. Until then the kernel has accepted connections
// that the process has not.
type gatedListener struct {
	*net.TCPListener
	gate   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case <-l.gate:
		return l.TCPListener.Accept()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *gatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// pausedListener accepts connections whose reads block after paused is closed and until resume is closed, as if the
// reading goroutine was not scheduled. Such a read waits with the data still in the socket or, with readsFirst, with
// the data already read.
type pausedListener struct {
	*net.TCPListener
	readsFirst     bool
	paused, resume chan struct{}
}

type pausedConn struct {
	*net.TCPConn
	l *pausedListener
}

type pausedRawConn struct {
	syscall.RawConn
	l *pausedListener
}

func (l *pausedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &pausedConn{c, l}, nil
}

func (c *pausedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &pausedRawConn{raw, c.l}, err
}

func (r *pausedRawConn) Read(read func(fd uintptr) bool) error {
	if !r.l.readsFirst {
		if err := r.RawConn.Read(func(fd uintptr) bool {
			var b [1]byte
			_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err != syscall.EAGAIN
		}); err != nil {
			return err
		}
		r.wait()
	}
	err := r.RawConn.Read(read)
	if r.l.readsFirst && err == nil {
		r.wait()
	}
	return err
}

func (r *pausedRawConn) wait() {
	select {
	case <-r.l.paused:
		<-r.l.resume
	default:
	}
}
