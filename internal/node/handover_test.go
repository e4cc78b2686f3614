package node

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/choice"
)

var discard = log.New(io.Discard, "", 0)

// shared is a listening socket that several nodes accept from, as the platform holds it.
type shared struct{ *net.TCPListener }

func newShared(t *testing.T) *shared {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &shared{ln.(*net.TCPListener)}
}

// start runs a node on the shared socket; its descriptor is one of its own.
func (s *shared) start(t *testing.T, cfg *Config) *running {
	t.Helper()
	file, err := s.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{addr: s.Addr().String(), stop: stop, done: make(chan error, 1), logs: &syncBuffer{}}
	go func() { r.done <- runOn(ctx, cfg, r.hup, log.New(r.logs, "", 0), ln) }()
	t.Cleanup(stop)
	return r
}

func (r *running) says(t *testing.T, what string) {
	t.Helper()
	eventually(t, what, func() bool { return strings.Contains(r.logs.String(), what) })
}

func (r *running) ends(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.done:
		if err != nil {
			t.Fatalf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("does not end")
	}
}

// upgradable is a configuration with which a successor can take over.
func upgradable(t *testing.T, dir string, servers ...Instance) *Config {
	cfg := testConfig(servers...)
	cfg.Handover = filepath.Join(dir, handoverName)
	cfg.Manage = freeAddr(t)
	cfg.drainFor = 0
	return cfg
}

// An upgrade: connections of clients go over to the successor without a break, whether
// silent, idle or with a request on them, and so does what customers have spent.
func TestUpgrade(t *testing.T) {
	hold, held := make(chan bool), make(chan bool, 1)
	app := newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.Contains(r.RequestURI, "hold") {
			held <- true
			<-hold
		}
		return say(okAnswer)(c, r, body)
	})
	spender := []string{"X-Contract", "tight", "", "GET /check/a?customer=0000000000000007 HTTP/1.1"}
	dir, door := t.TempDir(), newShared(t)
	old := door.start(t, upgradable(t, dir, app.instance("a")))
	old.says(t, "ready on")
	idle, silent, busy := dial(t, old.addr), dial(t, old.addr), dial(t, old.addr)
	if a := idle.ask(request("check", "a", spender...)); a.status != 200 {
		t.Fatalf("first request: %d", a.status)
	}
	busy.send(request("check", "b", "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1"))
	<-held

	cfg := upgradable(t, dir, app.instance("a"))
	next := door.start(t, cfg)
	next.says(t, "waiting for the predecessor")
	old.says(t, "a successor waits")
	if status, _ := call(t, "GET", cfg.Manage, readyCall); status != 200 {
		t.Errorf("the successor is not ready: %d", status)
	}
	if strings.Contains(next.logs.String(), "ready on") {
		t.Error("both serve")
	}
	old.stop()
	next.says(t, "ready on")
	// What the customer has spent at the one is spent at the other, on the connection that it kept.
	if a := idle.ask(request("check", "c", spender...)); a.status != 429 || a.close {
		t.Errorf("beyond the quota after the upgrade: %d, close %v", a.status, a.close)
	}
	if a := silent.ask(request("check", "d")); a.status != 200 || a.close {
		t.Errorf("on a connection that had said nothing: %d, close %v", a.status, a.close)
	}
	if a := dial(t, next.addr).ask(request("check", "e")); a.status != 200 {
		t.Errorf("on a new connection: %d", a.status)
	}
	close(hold)
	if a := busy.read(); a.status != 200 || a.close {
		t.Errorf("what was under way: %d, close %v", a.status, a.close)
	}
	old.ends(t)
	if a := busy.ask(request("check", "f")); a.status != 200 || a.close {
		t.Errorf("the request after it: %d, close %v", a.status, a.close)
	}
	_, text := call(t, "GET", cfg.Manage, countersCall)
	if !strings.Contains(text, "app.answered.check=3\n") || !strings.Contains(text, "app.deferred.check=1\n") {
		t.Errorf("the successor's figures:\n%s", text)
	}

	// And once more: the successor has a successor.
	third := door.start(t, upgradable(t, dir, app.instance("a")))
	next.says(t, "a successor waits")
	next.stop()
	third.says(t, "ready on")
	next.ends(t)
	for i, c := range []*client{idle, silent, busy} {
		if a := c.ask(request("check", fmt.Sprint("g", i))); a.status != 200 || a.close {
			t.Errorf("after the second upgrade: %d, close %v", a.status, a.close)
		}
	}
	third.stop()
	third.ends(t)
}

// A client that is half way through a request when the upgrade comes is answered by the process
// that has the first half.
func TestUpgradeDuringARequest(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	dir, door := t.TempDir(), newShared(t)
	old := door.start(t, upgradable(t, dir, app.instance("a")))
	old.says(t, "ready on")
	c, text := dial(t, old.addr), request("book", "a")
	c.send(text[:30])
	other := dial(t, old.addr)
	other.ask(request("check", "z")) // by now the first half has surely come
	next := door.start(t, upgradable(t, dir, app.instance("a")))
	old.says(t, "a successor waits")
	old.stop()
	next.says(t, "ready on")
	c.send(text[30:])
	if a := c.read(); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	old.ends(t)
	if a := c.ask(request("check", "b")); a.status != 200 {
		t.Errorf("the next one: %d", a.status)
	}
	next.stop()
	next.ends(t)
}

// A predecessor that dies without a word, or left only its socket's name, is followed by a start from nothing.
func TestPredecessorDies(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	dir, door := t.TempDir(), newShared(t)
	path := filepath.Join(dir, handoverName)
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	next := door.start(t, upgradable(t, dir, app.instance("a")))
	c, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte{msgState, 0, 0, 0, 9})
	c.Write([]byte("shalf"))
	ln.Close()
	c.Close()
	next.says(t, "beginning from nothing")
	if a := dial(t, next.addr).ask(request("check", "a")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	next.stop()
	next.ends(t)
	// The name of a killed process's socket is still there.
	last := door.start(t, upgradable(t, dir, app.instance("a")))
	last.says(t, "ready on")
	last.stop()
	last.ends(t)
}

// A successor that dies before it is needed leaves an ordinary drain.
func TestSuccessorDies(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	dir, door := t.TempDir(), newShared(t)
	old := door.start(t, upgradable(t, dir, app.instance("a")))
	old.says(t, "ready on")
	next := door.start(t, upgradable(t, dir, app.instance("a")))
	old.says(t, "a successor waits")
	next.stop()
	next.ends(t)
	c := dial(t, old.addr)
	if a := c.ask(request("check", "a")); a.status != 200 || a.close {
		t.Errorf("status %d, close %v", a.status, a.close)
	}
	old.stop()
	old.ends(t)
}

// The peers' socket goes over: what peers tell is heard by the successor, at the same address.
func TestUpgradeKeepsPeers(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	dir, door := t.TempDir(), newShared(t)
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	mine := freeUDP(t)
	config := func() *Config {
		cfg := upgradable(t, dir, app.instance("a"))
		cfg.Settings.Instances, cfg.Settings.Peers, cfg.Settings.InboxPerS = 2, true, 1000
		cfg.PeerListen, cfg.Peers = mine, []netip.AddrPort{mine, other.LocalAddr().(*net.UDPAddr).AddrPort()}
		cfg.PeersAll = cfg.Peers[1]
		cfg.Settings.Plans[1] = choice.Plan{Name: "tight", Rate: 0.001, Burst: 4, Price: 1}
		return cfg
	}
	old := door.start(t, config())
	old.says(t, "ready on")
	next := door.start(t, config())
	old.says(t, "a successor waits")
	old.stop()
	next.says(t, "ready on")
	old.ends(t)
	c := dial(t, next.addr)
	if a := c.ask(request("check", "a", "X-Contract", "tight", "X-Metering", "units=1,spread=2,first=0")); a.status != 200 {
		t.Fatalf("status %d", a.status)
	}
	// The successor tells of it from the address that it took over.
	other.SetReadDeadline(time.Now().Add(patience))
	buf := make([]byte, 300)
	for {
		n, from, err := other.ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		if n > 4 && from.Port() == mine.Port() {
			break
		}
	}
	next.stop()
	next.ends(t)
}

func freeUDP(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}
