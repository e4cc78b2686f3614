package edgeproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
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
	r := &running{addr: s.Addr().String(), stop: stop, done: make(chan error, 1), logs: &testserver.Log{}}
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
	cfg.HandoverSocket = filepath.Join(dir, handoverName)
	cfg.AdminListen = freeAddr(t)
	cfg.drainFor = 0
	return cfg
}

// newHoldingServer is an app server that says on held that it has a request with "hold" in its target, and
// answers that one once hold is closed.
func newHoldingServer(t *testing.T) (app *appServer, held, hold chan bool) {
	hold, held = make(chan bool), make(chan bool, 1)
	return newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.Contains(r.RequestURI, "hold") {
			held <- true
			<-hold
		}
		return say(okAnswer)(c, r, body)
	}), held, hold
}

// An upgrade: connections of clients go over to the successor without a break, whether
// silent, idle or with a request on them, and so does what customers have spent.
func TestUpgrade(t *testing.T) {
	app, held, hold := newHoldingServer(t)
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
	if status, _ := call(t, "GET", cfg.AdminListen, readyCall); status != 200 {
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
	// Now all of them are the successor's for certain, and so is the count.
	answered, deferred := checksOf(t, cfg)
	for i, c := range []*client{busy, silent, idle} {
		want := []int{200, 200, 429}[i]
		if a := c.ask(request("check", fmt.Sprint("f", i), [][]string{nil, nil, spender}[i]...)); a.status != want || a.close {
			t.Errorf("connection %d once the old one has ended: %d, close %v", i, a.status, a.close)
		}
	}
	if a, d := checksOf(t, cfg); a != answered+2 || d != deferred+1 {
		t.Errorf("the successor counts %d answered and %d deferred, before %d and %d", a, d, answered, deferred)
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

// checksOf is how many checks an instance has answered and deferred, by its own figures.
func checksOf(t *testing.T, cfg *Config) (answered, deferred int) {
	t.Helper()
	_, text := call(t, "GET", cfg.AdminListen, countersCall)
	for _, line := range strings.Fields(text) {
		fmt.Sscanf(line, "app.answered.check=%d", &answered)
		fmt.Sscanf(line, "app.deferred.check=%d", &deferred)
	}
	return answered, deferred
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
		withPeer(cfg, mine, other)
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

// endFigures are the figures that a node logs as it ends.
func (r *running) endFigures(t *testing.T) map[string]int {
	t.Helper()
	_, text, ok := strings.Cut(r.logs.String(), "figures at the end: ")
	if !ok {
		t.Fatalf("no figures in the log:\n%s", r.logs)
	}
	figures := map[string]int{}
	for _, f := range strings.Fields(text) {
		name, val, _ := strings.Cut(f, "=")
		n, err := strconv.Atoi(val)
		if err != nil {
			t.Fatalf("figure %q: %v", f, err)
		}
		figures[name] = n
	}
	return figures
}

// A second upgrade begins while the first old process still has work: the connection on which that is
// goes through both, and the figures of all three add up to what clients asked.
func TestSecondUpgradeBeforeTheFirstHasEnded(t *testing.T) {
	app, held, hold := newHoldingServer(t)
	dir, door := t.TempDir(), newShared(t)
	first := door.start(t, upgradable(t, dir, app.instance("a")))
	first.says(t, "ready on")
	busy, idle := dial(t, first.addr), dial(t, first.addr)
	idle.ask(request("check", "a"))
	busy.send(request("check", "b", "", "GET /check/hold?customer=00000000b4d65521 HTTP/1.1"))
	<-held
	second := door.start(t, upgradable(t, dir, app.instance("a")))
	first.says(t, "a successor waits")
	first.stop()
	second.says(t, "ready on")
	idle.ask(request("check", "c"))
	third := door.start(t, upgradable(t, dir, app.instance("a")))
	second.says(t, "a successor waits")
	second.stop()
	third.says(t, "ready on")
	idle.ask(request("check", "d"))
	time.Sleep(20 * leavePoll) // in which the second one would end if it waited for its own clients alone
	close(hold)
	if a := busy.read(); a.status != 200 || a.close {
		t.Fatalf("what was under way: %d, close %v", a.status, a.close)
	}
	if a := busy.ask(request("check", "e")); a.status != 200 || a.close {
		t.Errorf("on its connection, two upgrades later: %d, close %v", a.status, a.close)
	}
	first.ends(t)
	second.ends(t)
	third.stop()
	third.ends(t)
	sum := map[string]int{}
	for _, r := range []*running{first, second, third} {
		for name, n := range r.endFigures(t) {
			sum[name] += n
		}
	}
	if sum["app.answered.check"] != 5 || sum["app.sends"] != 5 || sum["app.current"] != 0 || sum["app.errored.check"] != 0 {
		t.Errorf("five requests were served, the figures say %v", sum)
	}
}

// half is the test's own side of a handover.
type half struct {
	*net.UnixConn
	t *testing.T
}

// meetAs meets the process that serves, as a new one would.
func meetAs(t *testing.T, path string, says ...string) half {
	t.Helper()
	c, err := net.Dial("unixpacket", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	h := half{c.(*net.UnixConn), t}
	for _, text := range says {
		h.send(text)
	}
	return h
}

func (h half) send(text string) {
	h.t.Helper()
	if _, err := h.Write([]byte(text)); err != nil {
		h.t.Fatal(err)
	}
}

// readTo reads up to the first message of a kind.
func (h half) readTo(kind byte) {
	h.t.Helper()
	h.SetReadDeadline(time.Now().Add(patience))
	buf := make([]byte, chunkMost+1)
	for buf[0] != kind {
		if n, err := h.Read(buf); n == 0 || err != nil {
			h.t.Fatalf("message %q never came: %v", kind, err)
		}
	}
}

const hello = string(msgHello) + "\x01"

// A successor that dies, at whatever point before it serves, leaves the old process with all that it had: it is
// ready while it has no word to end, and after that it drains as at a planned restart, with its
// listening socket, its clients and its peers.
func TestSuccessorDiesOnTheWay(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	for name, dies := range map[string]func(old *running, h half){
		"before its yes": func(old *running, h half) {
			h.Close()
			old.says(t, "the successor has gone")
			if s := dial(t, old.addr).ask("GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n").status; s != 200 {
				t.Errorf("the old process is not ready: %d", s)
			}
			old.stop()
		},
		"as the old process hands over": func(old *running, h half) {
			old.stop()
			h.readTo(msgState)
			h.Close()
			old.says(t, "not handed over")
		},
		"with the word to go": func(old *running, h half) {
			old.stop()
			h.readTo(msgGo)
			h.Close()
			old.says(t, "not handed over")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir, door := t.TempDir(), newShared(t)
			other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			cfg := upgradable(t, dir, app.instance("a"))
			cfg.drainFor = 3 * time.Second
			withPeer(cfg, freeUDP(t), other)
			old := door.start(t, cfg)
			old.says(t, "ready on")
			kept := dial(t, old.addr)
			spender := []string{"X-Contract", "tight", "X-Metering", "units=1,spread=2,first=0"}
			if a := kept.ask(request("check", "a", spender...)); a.status != 200 {
				t.Fatalf("status %d", a.status)
			}
			h := meetAs(t, cfg.HandoverSocket, hello)
			old.says(t, "a successor waits")
			dies(old, h)
			old.says(t, "draining")
			if tried := strings.Contains(old.logs.String(), "handing over"); tried == (name == "before its yes") {
				t.Errorf("a handover was tried: %v", tried)
			}
			for len(drainUDP(other)) > 0 { // what was told before
			}
			if a := kept.ask(request("check", "b", spender...)); a.status != 200 {
				t.Errorf("on a kept connection: %d", a.status)
			}
			fresh := dial(t, old.addr)
			if a := fresh.ask(request("check", "c")); a.status != 200 || !a.close {
				t.Errorf("on a new connection: %d, close %v", a.status, a.close)
			}
			other.SetReadDeadline(time.Now().Add(patience))
			if _, _, err := other.ReadFromUDPAddrPort(make([]byte, 300)); err != nil {
				t.Errorf("peers are told nothing any more: %v", err)
			}
			old.ends(t)
		})
	}
}

// drainUDP reads what has come.
func drainUDP(c *net.UDPConn) []byte {
	buf := make([]byte, 300)
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, _, _ := c.ReadFromUDPAddrPort(buf)
	return buf[:n]
}

// withPeer makes the configuration one of two nodes, the other of which is the socket.
func withPeer(cfg *Config, mine netip.AddrPort, other *net.UDPConn) {
	cfg.Settings.InstanceCount, cfg.Settings.AllowsGossip, cfg.Settings.GossipInboxRate = 2, true, 1000
	cfg.GossipListen, cfg.GossipPeers = mine, []netip.AddrPort{mine, other.LocalAddr().(*net.UDPAddr).AddrPort()}
	cfg.GossipBroadcast = cfg.GossipPeers[1]
	cfg.Settings.Plans[1] = policy.Plan{Name: "tight", Rate: 0.001, Burst: 40, PriorityFactor: 1}
}

// What a predecessor says that makes no sense, or that it dies over, is followed by a start from nothing, said in
// the log; one that dies once it has given the word has left all that is needed.
func TestPredecessorMakesNoSense(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	was, err := newNode(ctx, testConfig(), discard)
	if err != nil {
		t.Fatal(err)
	}
	was.boot()
	good, _, err := was.retire()
	if err != nil {
		t.Fatal(err)
	}
	state := func(text string) []string {
		return []string{string(msgState) + string(binary.BigEndian.AppendUint32(nil, uint32(len(text)))), string(msgState) + text, string(msgGo)}
	}
	for name, c := range map[string]struct {
		says    []string
		nothing bool
	}{
		"nothing":            {nil, true},
		"half a state":       {state(string(good))[:1], true},
		"no word to go":      {state(string(good))[:2], true},
		"a later form":       {state(strings.Replace(string(good), `"Form":1`, `"Form":99`, 1)), true},
		"no JSON":            {state("{"), true},
		"more than it said":  {[]string{string(msgState) + "\x00\x00\x00\x01", string(msgState) + "two"}, true},
		"a message of later": {[]string{"?what"}, true},
		"go at once":         {[]string{string(msgGo)}, true},
		"all":                {state(string(good)), false},
	} {
		t.Run(name, func(t *testing.T) {
			dir, door := t.TempDir(), newShared(t)
			ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, handoverName), Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			next := door.start(t, upgradable(t, dir, app.instance("a")))
			c1, err := ln.AcceptUnix()
			if err != nil {
				t.Fatal(err)
			}
			h := half{c1, t}
			h.readTo(msgHello)
			for _, text := range c.says {
				h.send(text)
			}
			h.Close()
			next.says(t, "ready on")
			if got := strings.Contains(next.logs.String(), "beginning from nothing"); got != c.nothing {
				t.Errorf("from nothing %v, want %v:\n%s", got, c.nothing, next.logs)
			}
			if a := dial(t, next.addr).ask(request("check", "a")); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			next.stop()
			next.ends(t)
		})
	}
}

// Whatever stands where the processes meet, and where nothing can, the node starts, says so and serves.
func TestPlaceOfHandoverIsSpoilt(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte(text), mode)); err != nil {
			t.Fatal(err)
		}
		return path
	}
	full := filepath.Dir(write("full/of", "something", 0o600))
	dead := filepath.Join(dir, "dead")
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: dead, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	for name, c := range map[string]struct{ path, log string }{
		"a file of a process long gone": {write("old", `{"Form":1,"Stor`, 0o600), "beginning from nothing"},
		"one that can't be read":        {write("locked", "", 0), "beginning from nothing"},
		"a folder that is not empty":    {full, "not empty"},
		"the socket of a dead process":  {dead, "beginning from nothing"},
		"no folder":                     {write("file", "", 0o600) + "/in", "not a directory"},
		"where nothing can be made":     {"/proc/self/handover", "handover: "},
		"a path that is too long":       {filepath.Join(dir, strings.Repeat("x", 120)), "handover: "},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := upgradable(t, dir, app.instance("a"))
			cfg.HandoverSocket = c.path
			n := newShared(t).start(t, cfg)
			n.says(t, "ready on")
			if !strings.Contains(n.logs.String(), c.log) {
				t.Errorf("the log does not say %q:\n%s", c.log, n.logs)
			}
			if a := dial(t, n.addr).ask(request("check", "a")); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			n.stop()
			n.ends(t)
		})
	}
}

// A descriptor that is no listening socket is named at the start, not found out by clients.
func TestInheritedIsNoListener(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	door := newShared(t)
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
		if ln, err := inherited(int(fd)); err == nil || !strings.Contains(err.Error(), fmt.Sprint("PROXY_ACCEPT_FD: descriptor ", fd)) {
			t.Errorf("%s: %v, error %v", name, ln, err)
		}
	}
	if _, err := file.WriteString("still ours"); err != nil {
		t.Errorf("a descriptor that is not taken was closed: %v", err)
	}
}

// An operator's drain beside an upgrade: the old process's clients are all answered, and the new one is in
// service; the word to the new one, while it waits, holds once it serves.
func TestOutOfServiceDuringAnUpgrade(t *testing.T) {
	app := newAppServer(t, say(okAnswer))
	dir, door := t.TempDir(), newShared(t)
	oldCfg, nextCfg, lastCfg := upgradable(t, dir, app.instance("a")), upgradable(t, dir, app.instance("a")), upgradable(t, dir, app.instance("a"))
	old := door.start(t, oldCfg)
	old.says(t, "ready on")
	kept := dial(t, old.addr)
	kept.ask(request("check", "a"))
	for range 2 {
		if s, _ := call(t, "POST", oldCfg.AdminListen, outCall); s != 200 {
			t.Fatalf("out: %d", s)
		}
	}
	next := door.start(t, nextCfg)
	old.says(t, "a successor waits")
	health := func() int {
		return dial(t, door.Addr().String()).ask("GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").status
	}
	if s := health(); s != 503 {
		t.Errorf("the old process, out of service: %d", s)
	}
	old.stop()
	next.says(t, "ready on")
	if s := health(); s != 200 {
		t.Errorf("the new process: %d", s)
	}
	if a := kept.ask(request("check", "b")); a.status != 200 {
		t.Errorf("on a connection of before: %d", a.status)
	}
	old.ends(t)

	last := door.start(t, lastCfg)
	next.says(t, "a successor waits")
	if s, _ := call(t, "POST", lastCfg.AdminListen, outCall); s != 200 {
		t.Fatalf("out of the one that waits: %d", s)
	}
	next.stop()
	last.says(t, "ready on")
	next.ends(t)
	if s := health(); s != 503 {
		t.Errorf("told to be out of service before it served: %d", s)
	}
	if s, _ := call(t, "POST", lastCfg.AdminListen, inCall); s != 200 || health() != 200 {
		t.Error("not back in service")
	}
	// And while SIGTERM comes.
	call(t, "POST", lastCfg.AdminListen, outCall)
	last.stop()
	last.ends(t)
}

// Once a node is closed nothing begins any more: a drain by an operator's word that comes so late must not.
func TestNothingBeginsAfterTheEnd(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n, err := newNode(ctx, testConfig(), discard)
	if err != nil {
		t.Fatal(err)
	}
	f := newFront(n)
	n.close()
	began := make(chan bool, 1)
	if n.spawn(func() { began <- true }) || len(began) > 0 {
		t.Fatal("a goroutine was started in a node that is closed")
	}
	f.leave()
	n.work.Wait()
	if f.takes() {
		t.Error("out of service, and takes clients")
	}
}
