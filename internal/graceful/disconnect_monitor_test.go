package graceful

import (
	"io"
	"net"
	"testing"
	"time"
)

// testTimeout bounds the waits of the tests.
const testTimeout = 10 * time.Second

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (server net.Conn, client *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); server.Close() })
	return server, conn.(*net.TCPConn)
}

// A close and a reset are reported, also behind data that nobody has read, and if they come before the watch.
func TestDisconnectMonitor(t *testing.T) {
	m, err := NewDisconnectMonitor()
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	for name, leave := range map[string]func(*net.TCPConn){
		"close":               func(c *net.TCPConn) { c.Close() },
		"reset":               func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"close behind data":   func(c *net.TCPConn) { io.WriteString(c, "data"); c.Close() },
		"reset behind data":   func(c *net.TCPConn) { io.WriteString(c, "data"); c.SetLinger(0); c.Close() },
		"end of what is sent": func(c *net.TCPConn) { c.CloseWrite() },
	} {
		for _, isEarly := range []bool{false, true} {
			server, client := connect(t)
			if isEarly {
				leave(client)
			}
			gone := make(chan bool, 10)
			token, err := m.Watch(server, func() { gone <- true })
			if err != nil {
				t.Fatal(err)
			}
			if !isEarly {
				io.WriteString(client, "data")
				select {
				case <-gone:
					t.Errorf("%s: reported while the client is connected", name)
				case <-time.After(20 * time.Millisecond):
				}
				leave(client)
			}
			select {
			case <-gone:
			case <-time.After(testTimeout):
				t.Errorf("%s (before the watch: %v): not reported", name, isEarly)
			}
			m.Unwatch(token)
		}
	}
}

// Nothing is reported of a connection that is no longer watched, nor of one that later has the same descriptor.
func TestUnwatch(t *testing.T) {
	m, err := NewDisconnectMonitor()
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	for range 100 {
		server, client := connect(t)
		gone := make(chan bool, 10)
		token, err := m.Watch(server, func() { gone <- true })
		if err != nil {
			t.Fatal(err)
		}
		m.Unwatch(token)
		server.Close()
		client.Close()
		if len(gone) != 0 {
			t.Fatal("got a report of a connection that is not watched any more")
		}
	}
	if len(m.watched) != 0 {
		t.Errorf("watched connections at the end: got %d, want 0", len(m.watched))
	}
}

// A connection without a descriptor, and a closed monitor, are errors.
func TestWatchFails(t *testing.T) {
	m, err := NewDisconnectMonitor()
	if err != nil {
		t.Fatal(err)
	}
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	if _, err := m.Watch(a, func() {}); err == nil {
		t.Error("connection without a descriptor: got no error")
	}
	m.Close()
	server, _ := connect(t)
	if _, err := m.Watch(server, func() {}); err == nil || len(m.watched) != 0 {
		t.Errorf("closed monitor: got error %v, %d watched; want an error, 0", err, len(m.watched))
	}
}
