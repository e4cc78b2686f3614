package testserver

import (
	"net"
	"os"
	"syscall"
	"time"
)

const (
	fullListenerBacklog = 40                     // connections that the kernel accepts unasked
	fullListenerWait    = 200 * time.Millisecond // without an answer: the backlog is full
)

// FullListener listens with a full backlog: connections to it are established late, once it is accepted from, and in the
// order in which they were asked for.
type FullListener struct {
	*net.TCPListener
	fillers []net.Conn // fill the backlog, and send nothing
}

// NewFullListener returns a listener on loopback whose backlog is full.
func NewFullListener() (*FullListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // the listener has a descriptor of its own
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, fullListenerBacklog); err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	l := &FullListener{TCPListener: listener.(*net.TCPListener)}
	for {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), fullListenerWait)
		if err != nil {
			return l, nil
		}
		l.fillers = append(l.fillers, conn)
	}
}

// FillerCount is how many connections that send nothing come first.
func (l *FullListener) FillerCount() int { return len(l.fillers) }

// Close ends the listener and closes what fills its backlog.
func (l *FullListener) Close() error {
	for _, conn := range l.fillers {
		conn.Close()
	}
	return l.TCPListener.Close()
}
