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

// testTimeout bounds every wait of a test; none is expected to come near it.
const testTimeout = 30 * time.Second

// Only complete datagrams of known peers are received, under the sender's number.
func TestSocket(t *testing.T) {
	socket := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	addr := func(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }
	other, stranger, all := socket(), socket(), socket()
	p, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), 0,
		[]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), addr(other)}, addr(all))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	heard := make(chan string, 10)
	go p.Receive(func(from int, message []byte) { heard <- fmt.Sprintf("%d %s", from, message) })
	for _, d := range []struct {
		c    *net.UDPConn
		text []byte
	}{{stranger, []byte("stranger")}, {other, make([]byte, maxMessage+1)}, {other, []byte("hi")}} {
		if _, err := d.c.WriteToUDPAddrPort(d.text, addr(p.conn)); err != nil {
			t.Fatal(err)
		}
	}
	if got := <-heard; got != "1 hi" {
		t.Errorf("heard %q, want the peer's message alone", got)
	}

	for peer, c := range map[int]*net.UDPConn{1: other, policy.AllInstances: all} {
		if err := p.write(peer, []byte("hello")); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, maxMessage)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != "hello" || from != addr(p.conn) {
			t.Errorf("to %d: %q from %v, error %v", peer, buf[:n], from, err)
		}
	}
	var logs bytes.Buffer
	logger := logging.New(&logs)
	for _, peer := range []int{2, 2, 1, 1} {
		p.Send(peer, []byte("hello"), logger)
	}
	failed := strings.Index(logs.String(), `msg="gossip send failed" error=`)
	resumed := strings.Index(logs.String(), `msg="gossip send resumed"`)
	if strings.Count(logs.String(), "\n") != 2 || failed < 0 || resumed < failed { // one for each change of state
		t.Errorf("logged %q", logs.String())
	}
	if p.write(1, make([]byte, maxMessage+1)) == nil || p.write(2, []byte("hello")) == nil {
		t.Error("a message too long or to nobody was sent")
	}
}
