package soak

import (
	"net"
	"os"
	"os/exec"
	"testing"

	"mulleinmux/internal/testserver"
)

// A count tells connections to servers, to the discovery and from clients from other descriptors.
func TestCountDescriptors(t *testing.T) {
	discovery, err := testserver.NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	server, clients := mustListen(t), mustListen(t)
	r := &run{discovery: discovery, servers: []*appServer{{listener: server}}, address: clients.Addr().String()}
	p := &process{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	before, err := r.countDescriptors(p)
	if err != nil {
		t.Fatal(err)
	}
	mustDial(t, discovery.Addr().String())
	mustDial(t, server.Addr().String())
	mustDial(t, server.Addr().String())
	mustDial(t, clients.Addr().String())
	accepted, err := clients.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	after, err := r.countDescriptors(p)
	if err != nil {
		t.Fatal(err)
	}
	if after.discovery != before.discovery+1 || after.servers != before.servers+2 || after.clients != before.clients+1 {
		t.Errorf("got %v, then %v; want 1 of clients, 2 of servers and 1 of the discovery more", before, after)
	}
	if after.others <= before.others { // the test's own ends of the connections
		t.Errorf("got %d other descriptors, then %d; want more", before.others, after.others)
	}
}

func mustListen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := listenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func mustDial(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
}

// The kernel's form of an address is parsed, and anything else is an error.
func TestParseKernelAddr(t *testing.T) {
	for _, text := range []string{"", "0100007F", "0100007F:", "01007F:1F90", "0100007F:11F90", "zz00007F:1F90"} {
		if addr, err := parseKernelAddr(text); err == nil {
			t.Errorf("parsing %q: got %v, want an error", text, addr)
		}
	}
}

// The peak counts attempts that overlap at one server, each until its connection may be reused, and sums the servers.
func TestPeakConnections(t *testing.T) {
	for name, test := range map[string]struct {
		attempts []*attempt
		want     int
	}{
		"none":               {nil, 0},
		"at the same time":   {[]*attempt{{began: at(0), ended: at(100)}, {began: at(50), ended: at(90)}}, 2},
		"before the reuse":   {[]*attempt{{began: at(0), ended: at(100)}, {began: at(190), ended: at(200)}}, 2},
		"after the reuse":    {[]*attempt{{began: at(0), ended: at(100)}, {began: at(210), ended: at(220)}}, 1},
		"without an end":     {[]*attempt{{began: at(0)}, {began: at(900), ended: at(950)}}, 2},
		"at several servers": {[]*attempt{{began: at(0), ended: at(9)}, {server: 1, began: at(500), ended: at(509)}}, 2},
	} {
		if got := peakConnections(test.attempts, reuseDelay(TargetEdgeProxy)); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
	justReleased := []*attempt{{began: at(0), ended: at(100)}, {began: at(160), ended: at(200)}}
	if got := peakConnections(justReleased, reuseDelay(TargetGateway)); got != 1 {
		t.Errorf("an attempt 60 ms after another one, which need not wait: got %d, want 1", got)
	}
}
