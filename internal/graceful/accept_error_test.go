package graceful

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failingListener fails with each of its errors before it accepts a connection.
type failingListener struct {
	net.Listener
	errnos []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errnos) == 0 {
		return l.Listener.Accept()
	}
	errno := l.errnos[0]
	l.errnos = l.errnos[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// Accept goes on after every error of accept(2) that passes.
func TestAcceptAfterTransientErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(&failingListener{Listener: inner, errnos: transientAcceptErrors})
	defer l.Finish(time.Now())
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

// Accept returns other errors.
func TestAcceptReturnsLastingErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := NewListener(&failingListener{Listener: inner, errnos: []syscall.Errno{syscall.EBADF}})
	if _, err := l.Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("Accept: got %v, want EBADF", err)
	}
	if l.Finish(time.Now()); !errors.Is(firstError(l), ErrFinished) {
		t.Error("Accept of a finished listener does not return ErrFinished")
	}
}

func firstError(l net.Listener) error {
	_, err := l.Accept()
	return err
}

// useUpDescriptors leaves the process no descriptor for a while.
func useUpDescriptors(t *testing.T, during time.Duration) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	lowered := limit
	lowered.Cur = 3 // no new descriptor gets a number below it
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	restored := make(chan struct{})
	time.AfterFunc(during, func() {
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
		close(restored)
	})
	t.Cleanup(func() { <-restored })
}

// A socket is opened although no descriptor is left for a while. Other errors are returned at once.
func TestOpenSocketWithoutDescriptors(t *testing.T) {
	useUpDescriptors(t, 20*acceptRetryInterval)
	ln, err := OpenSocket(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	calls := 0
	_, err = OpenSocket(func() (net.Listener, error) {
		calls++
		return net.Listen("tcp", ln.Addr().String())
	})
	if !errors.Is(err, syscall.EADDRINUSE) || calls != 1 {
		t.Errorf("address in use: error %v after %d calls", err, calls)
	}
}

// The backlog is accepted completely although no descriptor is left for a while.
func TestBacklogWithoutDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const clients = 5
	for range clients {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
	}
	useUpDescriptors(t, 20*acceptRetryInterval)
	conns := AcceptPending(ln, time.Now().Add(time.Second))
	if len(conns) != clients {
		t.Errorf("accepted %d connections of %d", len(conns), clients)
	}
	for _, conn := range conns {
		conn.Close()
	}
}
