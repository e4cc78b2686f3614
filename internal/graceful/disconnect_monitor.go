package graceful

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// edgeTriggered is EPOLLET, which package syscall declares as a negative number.
const edgeTriggered = 1 << 31

// maxDisconnectEvents is the number of events that DisconnectMonitor takes from the kernel in one call.
const maxDisconnectEvents = 64

// DisconnectMonitor reports peers that close or reset their connections, also while nothing reads from a connection and
// while received data is unread in its socket. Data that arrives causes no event. Its methods may be called by several
// goroutines.
type DisconnectMonitor struct {
	epoll *os.File // an epoll instance, itself watched by Go's poller

	mu         sync.Mutex
	watched    map[uint64]func() // by token
	lastToken  uint64
	waiterDone chan struct{}
}

// NewDisconnectMonitor returns a running monitor. The caller must close it. It returns the error of epoll_create1(2).
func NewDisconnectMonitor() (*DisconnectMonitor, error) {
	fd, err := OpenSocket(func() (int, error) { return syscall.EpollCreate1(syscall.EPOLL_CLOEXEC) })
	if err != nil {
		return nil, fmt.Errorf("disconnect monitor: epoll_create1: %w", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil { // os.NewFile has Go's poller watch only such a descriptor
		syscall.Close(fd)
		return nil, fmt.Errorf("disconnect monitor: %w", err)
	}
	m := &DisconnectMonitor{
		epoll:      os.NewFile(uintptr(fd), "epoll"),
		watched:    map[uint64]func(){},
		waiterDone: make(chan struct{}),
	}
	raw, err := m.epoll.SyscallConn()
	if err != nil {
		m.epoll.Close()
		return nil, fmt.Errorf("disconnect monitor: %w", err)
	}
	go m.wait(raw)
	return m, nil
}

// Close ends the monitor. No function of Watch is called after Close has returned.
func (m *DisconnectMonitor) Close() {
	m.epoll.Close()
	<-m.waiterDone
}

// Watch has onDisconnect called when the peer of a connection closes or resets it, and soon if it has done so already.
// onDisconnect must not block; it may be called more than once. The caller must pass the token to Unwatch once the
// connection is closed. It returns ErrNoSocket for a connection without a file descriptor, or the error of
// epoll_ctl(2).
func (m *DisconnectMonitor) Watch(conn net.Conn, onDisconnect func()) (token uint64, err error) {
	m.mu.Lock()
	m.lastToken++
	token = m.lastToken
	m.watched[token] = onDisconnect
	m.mu.Unlock()
	socketErr := ControlSocket(conn, func(fd int) { err = m.add(fd, token) })
	if socketErr != nil {
		err = socketErr
	}
	if err != nil {
		m.Unwatch(token)
		return 0, fmt.Errorf("disconnect monitor: %w", err)
	}
	return token, nil
}

// Unwatch ends the calls of a connection's function, except one in progress. The kernel forgets a descriptor itself
// when it is closed.
func (m *DisconnectMonitor) Unwatch(token uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.watched, token)
}

// add registers a socket with the epoll instance.
func (m *DisconnectMonitor) add(socket int, token uint64) error {
	raw, err := m.epoll.SyscallConn()
	if err != nil {
		return err
	}
	event := syscall.EpollEvent{
		Events: syscall.EPOLLRDHUP | edgeTriggered, // EPOLLHUP and EPOLLERR are always reported
		Fd:     int32(token),
		Pad:    int32(token >> 32),
	}
	var ctlErr error
	if err := raw.Control(func(epoll uintptr) {
		ctlErr = syscall.EpollCtl(int(epoll), syscall.EPOLL_CTL_ADD, socket, &event)
	}); err != nil {
		return err
	}
	return ctlErr
}

// wait passes on events until the epoll instance is closed.
func (m *DisconnectMonitor) wait(epoll syscall.RawConn) {
	defer close(m.waiterDone)
	var events [maxDisconnectEvents]syscall.EpollEvent
	for {
		count := 0
		err := epoll.Read(func(fd uintptr) (isDone bool) {
			n, err := syscall.EpollWait(int(fd), events[:], 0)
			count = max(n, 0)
			return count > 0 || err != nil && err != syscall.EINTR
		})
		if err != nil {
			return
		}
		for _, event := range events[:count] {
			m.report(uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<32)
		}
	}
}

// report calls the function of a token, if it is still watched.
func (m *DisconnectMonitor) report(token uint64) {
	m.mu.Lock()
	onDisconnect := m.watched[token]
	m.mu.Unlock()
	if onDisconnect != nil {
		onDisconnect()
	}
}
