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

// sharedListener is a listening socket that several nodes inherit and accept from.
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

// start runs a node on a duplicate of the shared socket's descriptor.
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
	go func() { r.done <- runOn(ctx, cfg, r.reload, r.logs.Logger(), ln) }()
	t.Cleanup(stop)
	return r
}

// hotRestartConfig returns a configuration with hot restart enabled and the socket in dir.
func hotRestartConfig(t *testing.T, dir string, servers ...Instance) *Config {
	cfg := testConfig(servers...)
	cfg.HandoverSocket = filepath.Join(dir, handoverSocketName)
	cfg.AdminListen = freeAddr(t)
	cfg.drainDelay = 0
	return cfg
}

// restartHarness starts the processes of one node, each of which can take over from the one before. A process is a
// runningNode in the test process.
type restartHarness struct {
	t        *testing.T
	app      *appServer
	dir      string
	listener *sharedListener
}

func newRestartHarness(t *testing.T, app *appServer) *restartHarness {
	return &restartHarness{t: t, app: app, dir: t.TempDir(), listener: newSharedListener(t)}
}

// config returns the configuration for another process.
func (h *restartHarness) config() *Config {
	h.t.Helper()
	return hotRestartConfig(h.t, h.dir, h.app.instance("a"))
}

// startFirst starts a process without a predecessor and waits until it is ready.
func (h *restartHarness) startFirst(cfg *Config) *runningNode {
	h.t.Helper()
	first := h.listener.start(h.t, cfg)
	first.awaitLog(h.t, "ready")
	return first
}

// startSuccessor starts a process and waits until old has accepted it as successor.
func (h *restartHarness) startSuccessor(cfg *Config, old *runningNode) *runningNode {
	h.t.Helper()
	successor := h.listener.start(h.t, cfg)
	old.awaitLog(h.t, "successor waiting")
	return successor
}

// handOver stops a process and waits until its successor is ready.
func (h *restartHarness) handOver(old, successor *runningNode) {
	h.t.Helper()
	old.stop()
	successor.awaitLog(h.t, "ready")
}

// stopAndWait stops a process and waits until it has ended.
func (h *restartHarness) stopAndWait(process *runningNode) {
	h.t.Helper()
	process.stop()
	process.awaitEnd(h.t)
}

// wantKeptOpen checks that a response has a status and doesn't close its connection.
func wantKeptOpen(t *testing.T, what string, a clientResponse, status int) {
	t.Helper()
	if a.status != status || a.close {
		t.Errorf("%s: status %d, close %v, want %d and close false", what, a.status, a.close, status)
	}
}

// blockedCheck returns a request of class check that the server of newBlockingServer blocks.
func blockedCheck(id string) string {
	return request("check", id, "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1")
}

// quotaSpendingCheck returns a request of class check that uses up the quota of its customer.
func quotaSpendingCheck(id string) string {
	return request("check", id, "X-Contract", "tight", "", "GET /check/a?customer=0000000000000007 HTTP/1.1")
}

// A hot restart hands client connections over to the successor without closing them, whether they are silent, idle or
// have an active request, and also the quota usage of customers.
func TestHotRestart(t *testing.T) {
	t.Parallel()
	app, blocked, release := newBlockingServer(t)
	h := newRestartHarness(t, app)
	old := h.startFirst(h.config())
	idle, silent, busy := dial(t, old.addr), dial(t, old.addr), dial(t, old.addr)
	wantKeptOpen(t, "first request", idle.do(quotaSpendingCheck("a")), 200)
	busy.send(blockedCheck("b"))
	<-blocked

	cfg := h.config()
	next := h.startSuccessor(cfg, old)
	requireWaiting(t, next, cfg)
	h.handOver(old, next)
	wantKeptOpen(t, "beyond the quota, after the restart", idle.do(quotaSpendingCheck("c")), 429)
	wantKeptOpen(t, "on a connection that had been silent", silent.do(request("check", "d")), 200)
	wantKeptOpen(t, "on a new connection", dial(t, next.addr).do(request("check", "e")), 200)
	close(release)
	wantKeptOpen(t, "in flight", busy.read(), 200)
	old.awaitEnd(t)

	// The successor has all connections now and counts their requests.
	answered, rejected := checkCounts(t, cfg)
	wantKeptOpen(t, "the busy one, after the end", busy.do(request("check", "f0")), 200)
	wantKeptOpen(t, "the silent one, after the end", silent.do(request("check", "f1")), 200)
	wantKeptOpen(t, "the idle one, after the end", idle.do(quotaSpendingCheck("f2")), 429)
	if a, r := checkCounts(t, cfg); a != answered+2 || r != rejected+1 {
		t.Errorf("successor: %d answered and %d rejected, want 2 and 1 more than %d and %d", a, r, answered, rejected)
	}

	third := h.startSuccessor(h.config(), next)
	h.handOver(next, third)
	next.awaitEnd(t)
	for i, c := range []*client{idle, silent, busy} {
		wantKeptOpen(t, "after the second restart", c.do(request("check", fmt.Sprint("g", i))), 200)
	}
	h.stopAndWait(third)
}

// requireWaiting checks that a successor reports itself ready while it waits, and does not serve yet.
func requireWaiting(t *testing.T, successor *runningNode, cfg *Config) {
	t.Helper()
	successor.awaitLog(t, "waiting for predecessor")
	if status, _ := callAdmin(t, "GET", cfg.AdminListen, adminReadyPath); status != 200 {
		t.Errorf("readiness of the waiting successor: status %d, want 200", status)
	}
	if successor.logs.HasLine("ready") {
		t.Error("successor serves before the handover")
	}
}

// checkCounts returns how many requests of class check a node has answered and rejected, by its metrics.
func checkCounts(t *testing.T, cfg *Config) (answered, rejected int) {
	t.Helper()
	_, text := callAdmin(t, "GET", cfg.AdminListen, adminCountersPath)
	for _, line := range strings.Fields(text) {
		fmt.Sscanf(line, "app.answered.check=%d", &answered)
		fmt.Sscanf(line, "app.deferred.check=%d", &rejected)
	}
	return answered, rejected
}

// A request of which the predecessor has received only a part at the handover is answered by the predecessor.
func TestHotRestartDuringRequest(t *testing.T) {
	t.Parallel()
	h := newRestartHarness(t, newAppServer(t, respondWith(okAnswer)))
	old := h.startFirst(h.config())
	c, text := dial(t, old.addr), request("book", "a")
	c.send(text[:30])
	dial(t, old.addr).do(request("check", "z")) // the first part has been received by now
	next := h.startSuccessor(h.config(), old)
	h.handOver(old, next)
	c.send(text[30:])
	if a := c.read(); a.status != 200 {
		t.Errorf("request in two parts: status %d, want 200", a.status)
	}
	old.awaitEnd(t)
	if a := c.do(request("check", "b")); a.status != 200 {
		t.Errorf("next request on the connection: status %d, want 200", a.status)
	}
	h.stopAndWait(next)
}

// The gossip socket is handed over: the successor gossips from the same address.
func TestHotRestartKeepsGossip(t *testing.T) {
	t.Parallel()
	peer, mine := listenUDP(t), freeUDP(t)
	h := newRestartHarness(t, newAppServer(t, respondWith(okAnswer)))
	config := func() *Config {
		cfg := h.config()
		addPeer(cfg, mine, peer)
		return cfg
	}
	old := h.startFirst(config())
	next := h.startSuccessor(config(), old)
	h.handOver(old, next)
	old.awaitEnd(t)
	c := dial(t, next.addr)
	a := c.do(request("check", "a", "X-Contract", "tight", "X-Metering", "units=1,spread=2,first=0"))
	if a.status != 200 {
		t.Fatalf("request at the successor: status %d, want 200", a.status)
	}
	awaitGossipFrom(t, peer, mine)
	h.stopAndWait(next)
}

// awaitGossipFrom waits until a peer receives a non-empty gossip message from an address.
func awaitGossipFrom(t *testing.T, peer *net.UDPConn, sender netip.AddrPort) {
	t.Helper()
	const emptyMessage = 4 // bytes
	peer.SetReadDeadline(time.Now().Add(testTimeout))
	buf := make([]byte, 300)
	for {
		n, from, err := peer.ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal(err)
		}
		if n > emptyMessage && from.Port() == sender.Port() {
			return
		}
	}
}

// A second hot restart begins while the first process still has an active request. The connection of that request is
// handed over twice, and the metrics of the three processes add up to the requests that clients sent.
func TestOverlappingHotRestarts(t *testing.T) {
	t.Parallel()
	app, blocked, release := newBlockingServer(t)
	h := newRestartHarness(t, app)
	first := h.startFirst(h.config())
	busy, idle := dial(t, first.addr), dial(t, first.addr)
	idle.do(request("check", "a"))
	busy.send(blockedCheck("b"))
	<-blocked
	second := h.startSuccessor(h.config(), first)
	h.handOver(first, second)
	idle.do(request("check", "c"))
	third := h.startSuccessor(h.config(), second)
	h.handOver(second, third)
	idle.do(request("check", "d"))
	time.Sleep(20 * handOverPollInterval) // enough for the second process to end if it waited only for its own clients
	close(release)
	wantKeptOpen(t, "in flight", busy.read(), 200)
	wantKeptOpen(t, "on its connection, two restarts later", busy.do(request("check", "e")), 200)
	first.awaitEnd(t)
	second.awaitEnd(t)
	h.stopAndWait(third)
	sum := map[string]int{}
	for _, r := range []*runningNode{first, second, third} {
		for name, n := range r.finalMetrics(t) {
			sum[name] += n
		}
	}
	if sum["app.answered.check"] != 5 || sum["app.sends"] != 5 ||
		sum["app.current"] != 0 || sum["app.errored.check"] != 0 {
		t.Errorf("sum of metrics for five served requests: %v", sum)
	}
}

// listenUDP opens a UDP socket for a test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// freeUDP returns a UDP address on which nothing listens.
func freeUDP(t *testing.T) netip.AddrPort {
	t.Helper()
	c := listenUDP(t)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// readiness returns the status of the load balancer's health check.
func readiness(t *testing.T, addr string) int {
	t.Helper()
	return dial(t, addr).do("GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").status
}

// wantReadiness checks the status of the load balancer's health check.
func wantReadiness(t *testing.T, what, addr string, want int) {
	t.Helper()
	if got := readiness(t, addr); got != want {
		t.Errorf("readiness %s: status %d, want %d", what, got, want)
	}
}

// mustCallAdmin makes an administration call that has to succeed.
func mustCallAdmin(t *testing.T, at netip.AddrPort, path string) {
	t.Helper()
	if status, text := callAdmin(t, "POST", at, path); status != 200 {
		t.Fatalf("POST %s: status %d, body %q, want 200", path, status, text)
	}
}

// If an operator has taken the predecessor out of service, its clients are still answered during the hot restart, and
// the successor is in service.
func TestOldProcessOutOfServiceDuringHotRestart(t *testing.T) {
	t.Parallel()
	h := newRestartHarness(t, newAppServer(t, respondWith(okAnswer)))
	oldCfg := h.config()
	old := h.startFirst(oldCfg)
	kept := dial(t, old.addr)
	kept.do(request("check", "a"))
	for range 2 {
		mustCallAdmin(t, oldCfg.AdminListen, adminOutOfServicePath)
	}
	next := h.startSuccessor(h.config(), old)
	wantReadiness(t, "of the old process, out of service", old.addr, 503)
	h.handOver(old, next)
	wantReadiness(t, "of the new process", next.addr, 200)
	if a := kept.do(request("check", "b")); a.status != 200 {
		t.Errorf("request on a connection to the predecessor: status %d, want 200", a.status)
	}
	old.awaitEnd(t)
	h.stopAndWait(next)
}

// An administration call to the successor while it waits takes effect once it serves. A process shuts down in order
// while it is out of service.
func TestSuccessorOutOfServiceDuringHotRestart(t *testing.T) {
	t.Parallel()
	h := newRestartHarness(t, newAppServer(t, respondWith(okAnswer)))
	old := h.startFirst(h.config())
	nextCfg := h.config()
	next := h.startSuccessor(nextCfg, old)
	next.awaitLog(t, "waiting for predecessor") // the successor listens for administration calls by then
	mustCallAdmin(t, nextCfg.AdminListen, adminOutOfServicePath)
	h.handOver(old, next)
	old.awaitEnd(t)
	wantReadiness(t, "out of service before it served", next.addr, 503)
	mustCallAdmin(t, nextCfg.AdminListen, adminInServicePath)
	wantReadiness(t, "back in service", next.addr, 200)
	mustCallAdmin(t, nextCfg.AdminListen, adminOutOfServicePath)
	h.stopAndWait(next)
}

// An inherited descriptor that is not a listening socket is reported at the start and is not closed.
func TestInheritedDescriptorIsNoListener(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	listener := newSharedListener(t)
	c, err := net.Dial("tcp", listener.Addr().String())
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
			t.Errorf("%s: listener %v, error %v, want one that names the descriptor", name, ln, err)
		}
	}
	if _, err := file.WriteString("still ours"); err != nil {
		t.Errorf("rejected descriptor was closed: %v", err)
	}
}
