package edgeproxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// sharedListener is a listening socket that several nodes accept from, as the platform holds it.
type sharedListener struct{ *net.TCPListener }

func newSharedListener(t *testing.T) *sharedListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &sharedListener{ln.(*net.TCPListener)}
}

// start runs a node on the shared socket; its descriptor is one of its own.
func (s *sharedListener) start(t *testing.T, cfg *Config) *runningNode {
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
	r := &runningNode{addr: s.Addr().String(), stop: stop, done: make(chan error, 1), logs: &testserver.Log{}}
	go func() { r.done <- runOn(ctx, cfg, r.hup, r.logs.Logger(), ln) }()
	t.Cleanup(stop)
	return r
}

// hotRestartConfig is a configuration with which a successor can take over.
func hotRestartConfig(t *testing.T, dir string, servers ...Instance) *Config {
	cfg := testConfig(servers...)
	cfg.HandoverSocket = filepath.Join(dir, handoverSocketName)
	cfg.AdminListen = freeAddr(t)
	cfg.drainDelay = 0
	return cfg
}

// requireTakenOver ends a process to which a successor has come, and checks that this one serves its clients.
func requireTakenOver(t *testing.T, old, successor *runningNode, clients []*client) {
	t.Helper()
	old.awaitLog(t, "successor waiting")
	old.stop()
	successor.awaitLog(t, "ready")
	old.awaitEnd(t)
	for i, c := range clients {
		if a := c.ask(request("check", fmt.Sprint("g", i))); a.status != 200 || a.close {
			t.Errorf("after the second upgrade: %d, close %v", a.status, a.close)
		}
	}
}

// A hot restart: connections of clients are handed over to the successor without a break, whether silent, idle or
// with an active request, and so is what customers have spent.
func TestHotRestart(t *testing.T) {
	app, held, hold := newBlockingServer(t)
	spender := []string{"X-Contract", "tight", "", "GET /check/a?customer=0000000000000007 HTTP/1.1"}
	dir, door := t.TempDir(), newSharedListener(t)
	old := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	old.awaitLog(t, "ready")
	idle, silent, busy := dial(t, old.addr), dial(t, old.addr), dial(t, old.addr)
	if a := idle.ask(request("check", "a", spender...)); a.status != 200 {
		t.Fatalf("first request: %d", a.status)
	}
	busy.send(request("check", "b", "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1"))
	<-held

	cfg := hotRestartConfig(t, dir, app.instance("a"))
	next := door.start(t, cfg)
	next.awaitLog(t, "waiting for predecessor")
	old.awaitLog(t, "successor waiting")
	if status, _ := callAdmin(t, "GET", cfg.AdminListen, adminReadyPath); status != 200 {
		t.Errorf("the successor is not ready: %d", status)
	}
	if next.logs.HasLine("ready") {
		t.Error("both serve")
	}
	old.stop()
	next.awaitLog(t, "ready")
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
	old.awaitEnd(t)
	// Now all of them are the successor's for certain, and so is the count.
	answered, deferred := checkCounts(t, cfg)
	for i, c := range []*client{busy, silent, idle} {
		want := []int{200, 200, 429}[i]
		a := c.ask(request("check", fmt.Sprint("f", i), [][]string{nil, nil, spender}[i]...))
		if a.status != want || a.close {
			t.Errorf("connection %d once the old one has ended: %d, close %v", i, a.status, a.close)
		}
	}
	if a, d := checkCounts(t, cfg); a != answered+2 || d != deferred+1 {
		t.Errorf("the successor counts %d answered and %d deferred, before %d and %d", a, d, answered, deferred)
	}

	third := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	requireTakenOver(t, next, third, []*client{idle, silent, busy})
	third.stop()
	third.awaitEnd(t)
}

// checkCounts is how many checks an instance has answered and deferred, by its own figures.
func checkCounts(t *testing.T, cfg *Config) (answered, deferred int) {
	t.Helper()
	_, text := callAdmin(t, "GET", cfg.AdminListen, adminCountersPath)
	for _, line := range strings.Fields(text) {
		fmt.Sscanf(line, "app.answered.check=%d", &answered)
		fmt.Sscanf(line, "app.deferred.check=%d", &deferred)
	}
	return answered, deferred
}

// A client that is half way through a request when the restart begins is answered by the process that has the first
// half.
func TestHotRestartDuringRequest(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	dir, door := t.TempDir(), newSharedListener(t)
	old := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	old.awaitLog(t, "ready")
	c, text := dial(t, old.addr), request("book", "a")
	c.send(text[:30])
	other := dial(t, old.addr)
	other.ask(request("check", "z")) // by now the first half has surely come
	next := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	old.awaitLog(t, "successor waiting")
	old.stop()
	next.awaitLog(t, "ready")
	c.send(text[30:])
	if a := c.read(); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	old.awaitEnd(t)
	if a := c.ask(request("check", "b")); a.status != 200 {
		t.Errorf("the next one: %d", a.status)
	}
	next.stop()
	next.awaitEnd(t)
}

// The gossip socket is handed over: gossip is received by the successor, at the same address.
func TestHotRestartKeepsGossip(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	dir, door := t.TempDir(), newSharedListener(t)
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	mine := freeUDP(t)
	config := func() *Config {
		cfg := hotRestartConfig(t, dir, app.instance("a"))
		addPeer(cfg, mine, other)
		return cfg
	}
	old := door.start(t, config())
	old.awaitLog(t, "ready")
	next := door.start(t, config())
	old.awaitLog(t, "successor waiting")
	old.stop()
	next.awaitLog(t, "ready")
	old.awaitEnd(t)
	c := dial(t, next.addr)
	a := c.ask(request("check", "a", "X-Contract", "tight", "X-Metering", "units=1,spread=2,first=0"))
	if a.status != 200 {
		t.Fatalf("status %d", a.status)
	}
	// The successor tells of it from the address that it took over.
	other.SetReadDeadline(time.Now().Add(testTimeout))
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
	next.awaitEnd(t)
}

// A second restart begins while the first old process still serves: the connection on which it does goes through
// both, and the metrics of all three add up to what clients sent.
func TestOverlappingHotRestarts(t *testing.T) {
	app, held, hold := newBlockingServer(t)
	dir, door := t.TempDir(), newSharedListener(t)
	first := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	first.awaitLog(t, "ready")
	busy, idle := dial(t, first.addr), dial(t, first.addr)
	idle.ask(request("check", "a"))
	busy.send(request("check", "b", "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1"))
	<-held
	second := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	first.awaitLog(t, "successor waiting")
	first.stop()
	second.awaitLog(t, "ready")
	idle.ask(request("check", "c"))
	third := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	second.awaitLog(t, "successor waiting")
	second.stop()
	third.awaitLog(t, "ready")
	idle.ask(request("check", "d"))
	time.Sleep(20 * handOverPollInterval) // in which the second one would end if it waited for its own clients alone
	close(hold)
	if a := busy.read(); a.status != 200 || a.close {
		t.Fatalf("what was under way: %d, close %v", a.status, a.close)
	}
	if a := busy.ask(request("check", "e")); a.status != 200 || a.close {
		t.Errorf("on its connection, two upgrades later: %d, close %v", a.status, a.close)
	}
	first.awaitEnd(t)
	second.awaitEnd(t)
	third.stop()
	third.awaitEnd(t)
	sum := map[string]int{}
	for _, r := range []*runningNode{first, second, third} {
		for name, n := range r.finalMetrics(t) {
			sum[name] += n
		}
	}
	if sum["app.answered.check"] != 5 || sum["app.sends"] != 5 ||
		sum["app.current"] != 0 || sum["app.errored.check"] != 0 {
		t.Errorf("five requests were served, the figures say %v", sum)
	}
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

// An operator's drain beside a restart: the old process's clients are all answered, and the new one is in service;
// a call to the new one, while it waits, takes effect once it serves.
func TestOutOfServiceDuringHotRestart(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	dir, door := t.TempDir(), newSharedListener(t)
	oldCfg := hotRestartConfig(t, dir, app.instance("a"))
	nextCfg := hotRestartConfig(t, dir, app.instance("a"))
	lastCfg := hotRestartConfig(t, dir, app.instance("a"))
	old := door.start(t, oldCfg)
	old.awaitLog(t, "ready")
	kept := dial(t, old.addr)
	kept.ask(request("check", "a"))
	for range 2 {
		if s, _ := callAdmin(t, "POST", oldCfg.AdminListen, adminOutOfServicePath); s != 200 {
			t.Fatalf("out: %d", s)
		}
	}
	next := door.start(t, nextCfg)
	old.awaitLog(t, "successor waiting")
	health := func() int {
		c := dial(t, door.Addr().String())
		return c.ask("GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").status
	}
	if s := health(); s != 503 {
		t.Errorf("the old process, out of service: %d", s)
	}
	old.stop()
	next.awaitLog(t, "ready")
	if s := health(); s != 200 {
		t.Errorf("the new process: %d", s)
	}
	if a := kept.ask(request("check", "b")); a.status != 200 {
		t.Errorf("on a connection of before: %d", a.status)
	}
	old.awaitEnd(t)

	last := door.start(t, lastCfg)
	next.awaitLog(t, "successor waiting")
	last.awaitLog(t, "waiting for predecessor") // it listens for operators' calls by then
	if s, _ := callAdmin(t, "POST", lastCfg.AdminListen, adminOutOfServicePath); s != 200 {
		t.Fatalf("out of the one that waits: %d", s)
	}
	next.stop()
	last.awaitLog(t, "ready")
	next.awaitEnd(t)
	if s := health(); s != 503 {
		t.Errorf("told to be out of service before it served: %d", s)
	}
	if s, _ := callAdmin(t, "POST", lastCfg.AdminListen, adminInServicePath); s != 200 || health() != 200 {
		t.Error("not back in service")
	}
	// And while SIGTERM comes.
	callAdmin(t, "POST", lastCfg.AdminListen, adminOutOfServicePath)
	last.stop()
	last.awaitEnd(t)
}

// A descriptor that is no listening socket is reported at the start, not found out by clients.
func TestInheritedDescriptorIsNoListener(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	door := newSharedListener(t)
	c, err := net.Dial("tcp", door.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	socket, err := c.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	for name, fd := range map[string]uintptr{"closed": 60000, "a file": file.Fd(), "a connection": socket.Fd()} {
		want := fmt.Sprint("PROXY_ACCEPT_FD: descriptor ", fd)
		if ln, err := inheritedListener(int(fd)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, error %v", name, ln, err)
		}
	}
	if _, err := file.WriteString("still ours"); err != nil {
		t.Errorf("a descriptor that is not taken was closed: %v", err)
	}
}
