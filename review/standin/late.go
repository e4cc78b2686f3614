//go:build review

package standin

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// LateListener is a listener whose new connections can be made to come up late: while it is full, the system drops
// connects, and their side asks again 1 s later.
type LateListener struct {
	*net.TCPListener
	isFull  atomic.Bool
	fillers []net.Conn
}

// lateBacklog is passed to listen(2); lateFillers connections are more than enough to fill it.
const (
	lateBacklog = 8
	lateFillers = 16
)

// NewLateListener returns a listener on a free port.
func NewLateListener() (*LateListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // the listener has a descriptor of its own
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, lateBacklog); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &LateListener{TCPListener: listener.(*net.TCPListener)}, nil
}

// Accept returns the next connection once the listener is not full.
func (l *LateListener) Accept() (net.Conn, error) {
	for {
		if l.isFull.Load() {
			time.Sleep(2 * time.Millisecond)
			continue
		}
		l.SetDeadline(time.Now().Add(10 * time.Millisecond))
		conn, err := l.TCPListener.Accept()
		if err == nil {
			return conn, nil
		}
		if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() {
			return nil, err
		}
	}
}

// Fill makes the listener full. It takes about 0.15 s.
func (l *LateListener) Fill() {
	l.isFull.Store(true)
	time.Sleep(20 * time.Millisecond)
	var mu sync.Mutex
	var dials sync.WaitGroup
	for range lateFillers {
		dials.Go(func() {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
			if err != nil {
				return
			}
			mu.Lock()
			l.fillers = append(l.fillers, conn)
			mu.Unlock()
		})
	}
	dials.Wait()
}

// Empty ends that.
func (l *LateListener) Empty() {
	for _, conn := range l.fillers {
		conn.Close()
	}
	l.fillers = nil
	l.isFull.Store(false)
}
