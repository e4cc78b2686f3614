package gateway

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"mulleinmux/internal/graceful"
)

// newInputPair returns the input of a TCP connection and the peer that writes to it.
func newInputPair(t *testing.T) (input *requestInput, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &requestInput{conn: conn}, peer
}

// A process that did not run notices the read deadline of a request before the rest of the request, which was received
// in time. It must read the rest. Without received data, the deadline ends the read.
func TestRestOfRequestIsReadAfterDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		readCount int // reads of the request so far
		hasData   bool
		want      error
	}{
		"rest received":        {2, true, nil},
		"rest not received":    {2, false, os.ErrDeadlineExceeded},
		"next request arrives": {0, true, os.ErrDeadlineExceeded}, // awaitRequest reads it
	} {
		t.Run(name, func(t *testing.T) {
			input, peer := newInputPair(t)
			if test.hasData {
				if _, err := peer.Write([]byte("x")); err != nil {
					t.Fatal(err)
				}
				for end := time.Now().Add(time.Second); !graceful.HasUnreadData(input.conn) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
			input.setDeadline(time.Now().Add(-time.Second))
			input.readCount = test.readCount
			buffer := make([]byte, 8)
			n, err := input.Read(buffer)
			if !errors.Is(err, test.want) || (n == 1) != (test.want == nil) {
				t.Errorf("got %d bytes, error %v; want error %v", n, err, test.want)
			}
			if _, err := input.conn.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("read after it: got error %v, want the deadline still in force", err)
			}
		})
	}
}
