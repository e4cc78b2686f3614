package testserver

import (
	"net"
	"os"
	"syscall"
	"time"
)

const (
	fullListenerBacklog = 40                     // backlog passed to listen(2)
	fullListenerWait    = 200 * time.Millisecond // after which an unanswered connect means that the backlog is full
)

// FullListener is a listener whose backlog is full. Further connections are established only once others have been
// accepted, in the order in which they were requested.
type FullListener struct {
	*net.TCPListener
	fillers []net.Conn // connections that fill the backlog and send nothing
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

// FillerCount returns how many connections that send nothing are accepted before any other.
func (l *FullListener) FillerCount() int { return len(l.fillers) }

// Close closes the listener and the connections that fill its backlog.
func (l *FullListener) Close() error {
	for _, conn := range l.fillers {
		conn.Close()
	}
	return l.TCPListener.Close()
}
