package serverpool

import (
	"net"
	"testing"
	"time"
)

// A connection is quiet until its peer writes or closes it, or until it is closed locally.
func TestIsQuiet(t *testing.T) {
	for name, end := range map[string]func(near, far net.Conn) error{
		"written to":    func(_, far net.Conn) error { _, err := far.Write([]byte("x")); return err },
		"closed there":  func(_, far net.Conn) error { return far.Close() },
		"closed itself": func(near, _ net.Conn) error { return near.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			raw, err := near.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if !IsQuiet(raw) {
				t.Error("new connection is not quiet")
			}
			if err := end(near, far); err != nil {
				t.Fatal(err)
			}
			for limit := time.Now().Add(30 * time.Second); IsQuiet(raw); time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("connection is still quiet after 30s")
				}
			}
		})
	}
}

// connPair returns the two ends of a TCP connection.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}
