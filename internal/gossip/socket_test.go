package gossip

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// testTimeout limits every wait of a test. No passing test should come near it.
const testTimeout = 30 * time.Second

// listenUDP opens a socket for a test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// testNetwork has the gossip socket of node 0, the socket of its peer, node 1, and the one at the broadcast address.
type testNetwork struct {
	socket    *Socket
	peer      *net.UDPConn
	broadcast *net.UDPConn
}

func newTestNetwork(t *testing.T) testNetwork {
	t.Helper()
	n := testNetwork{peer: listenUDP(t), broadcast: listenUDP(t)}
	addrs := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addrOf(n.peer)}
	var err error
	if n.socket, err = Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0, addrs, addrOf(n.broadcast)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.socket.Close() })
	return n
}

// Receive passes on only datagrams of known peers that are not too long, with the index of the sender.
func TestReceive(t *testing.T) {
	n, stranger := newTestNetwork(t), listenUDP(t)
	received := make(chan string, 10)
	go n.socket.Receive(func(from int, message []byte) { received <- fmt.Sprintf("%d %s", from, message) })
	for _, datagram := range []struct {
		from *net.UDPConn
		text []byte
	}{{stranger, []byte("stranger")}, {n.peer, make([]byte, maxMessage+1)}, {n.peer, []byte("hi")}} {
		if _, err := datagram.from.WriteToUDPAddrPort(datagram.text, addrOf(n.socket.conn)); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-received; got != "1 hi" {
		t.Errorf("received %q, want only the peer's message", got)
	}
}

// A message to one peer or to all is sent to the peer's address or the broadcast address, from the address of the
// socket.
func TestSend(t *testing.T) {
	n := newTestNetwork(t)
	for peer, c := range map[int]*net.UDPConn{1: n.peer, policy.AllInstances: n.broadcast} {
		if err := n.socket.write(peer, []byte("hello")); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, maxMessage)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		size, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:size]) != "hello" || from != addrOf(n.socket.conn) {
			t.Errorf("message to %d: received %q from %v, error %v", peer, buf[:size], from, err)
		}
	}
	if n.socket.write(1, make([]byte, maxMessage+1)) == nil || n.socket.write(2, []byte("hello")) == nil {
		t.Error("write of a message that is too long or to an unknown peer succeeded")
	}
}

// The first failed send and the first successful one after it are logged.
func TestSendLogsChangesOfState(t *testing.T) {
	n := newTestNetwork(t)
	var logs bytes.Buffer
	logger := logging.New(&logs)
	for _, peer := range []int{2, 2, 1, 1} {
		n.socket.Send(peer, []byte("hello"), logger)
	}
	failed := strings.Index(logs.String(), `msg="gossip send failed" error=`)
	resumed := strings.Index(logs.String(), `msg="gossip send resumed"`)
	if strings.Count(logs.String(), "\n") != 2 || failed < 0 || resumed < failed {
		t.Errorf("log %q, want one line for the failure and then one for the recovery", logs.String())
	}
}
