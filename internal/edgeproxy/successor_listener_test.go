package edgeproxy

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"mulleinmux/policy"
)

var discard = slog.New(slog.DiscardHandler)

// If the successor ends before the predecessor is stopped, the predecessor drains as usual.
func TestSuccessorDies(t *testing.T) {
	t.Parallel()
	h := newRestartHarness(t, newAppServer(t, respondWith(okAnswer)))
	old := h.startFirst(h.config())
	next := h.startSuccessor(h.config(), old)
	h.stopAndWait(next)
	wantKeptOpen(t, "after the successor", dial(t, old.addr).do(request("check", "a")), 200)
	h.stopAndWait(old)
}

// handoverPeer is the test's end of a hot restart connection.
type handoverPeer struct {
	*net.UnixConn
	t *testing.T
}

// connectAsSuccessor connects to a hot restart socket as a successor does, and sends messages.
func connectAsSuccessor(t *testing.T, path string, messages ...string) handoverPeer {
	t.Helper()
	c, err := net.Dial("unixpacket", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	h := handoverPeer{c.(*net.UnixConn), t}
	for _, text := range messages {
		h.send(text)
	}
	return h
}

func (h handoverPeer) send(text string) {
	h.t.Helper()
	if _, err := h.Write([]byte(text)); err != nil {
		h.t.Fatal(err)
	}
}

// readUntil reads messages up to the first one of a kind.
func (h handoverPeer) readUntil(kind byte) {
	h.t.Helper()
	h.SetReadDeadline(time.Now().Add(testTimeout))
	buf := make([]byte, maxStateChunk+1)
	for buf[0] != kind {
		if n, err := h.Read(buf); n == 0 || err != nil {
			h.t.Fatalf("no message %q received: %v", kind, err)
		}
	}
}

const hello = string(msgHello) + "\x01"

// requireDrainWithoutSuccessor disconnects a successor and checks that the predecessor then drains with its listener,
// clients and gossip socket.
func requireDrainWithoutSuccessor(
	t *testing.T, app *appServer, disconnect func(*testing.T, *runningNode, handoverPeer), wantsHandover bool,
) {
	t.Helper()
	h, gossipPeer := newRestartHarness(t, app), listenUDP(t)
	cfg := h.config()
	cfg.drainDelay = 3 * time.Second
	addPeer(cfg, freeUDP(t), gossipPeer)
	old := h.startFirst(cfg)
	kept := dial(t, old.addr)
	quotaHeaders := []string{"X-Contract", "tight", "X-Metering", "units=1,spread=2,first=0"}
	if a := kept.do(request("check", "a", quotaHeaders...)); a.status != 200 {
		t.Fatalf("request before the restart: status %d, want 200", a.status)
	}
	successor := connectAsSuccessor(t, cfg.HandoverSocket, hello)
	old.awaitLog(t, "successor waiting")
	disconnect(t, old, successor)
	old.awaitLog(t, "draining")
	if tried := old.logs.HasLine("handing over"); tried != wantsHandover {
		t.Errorf("handover attempted: %v, want the opposite", tried)
	}
	for len(readDatagram(gossipPeer)) > 0 { // discard what was sent before
	}
	if a := kept.do(request("check", "b", quotaHeaders...)); a.status != 200 {
		t.Errorf("request on a kept connection: status %d, want 200", a.status)
	}
	if a := dial(t, old.addr).do(request("check", "c")); a.status != 200 || !a.close {
		t.Errorf("request on a new connection: status %d, close %v, want 200 and close true", a.status, a.close)
	}
	gossipPeer.SetReadDeadline(time.Now().Add(testTimeout))
	if _, _, err := gossipPeer.ReadFromUDPAddrPort(make([]byte, 300)); err != nil {
		t.Errorf("peer received no gossip after the failed handover: %v", err)
	}
	old.awaitEnd(t)
}

// disconnectBeforeHandover disconnects the successor while the predecessor serves, then stops the predecessor.
func disconnectBeforeHandover(t *testing.T, old *runningNode, successor handoverPeer) {
	successor.Close()
	old.awaitLog(t, "successor disconnected")
	wantReadiness(t, "of the old process", old.addr, 200)
	old.stop()
}

// disconnectAfter returns a function that stops the predecessor, and disconnects the successor once it has received a
// message of a kind.
func disconnectAfter(kind byte) func(*testing.T, *runningNode, handoverPeer) {
	return func(t *testing.T, old *runningNode, successor handoverPeer) {
		old.stop()
		successor.readUntil(kind)
		successor.Close()
		old.awaitLog(t, "handover failed")
	}
}

// A successor that disconnects at any point before it serves leaves the predecessor with everything: it stays ready
// until it is stopped, and then drains as at a planned restart, with its listening socket, clients and gossip socket.
func TestSuccessorDiesDuringHandover(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	for name, c := range map[string]struct {
		disconnect    func(*testing.T, *runningNode, handoverPeer)
		wantsHandover bool
	}{
		"before its yes":                {disconnectBeforeHandover, false},
		"as the old process hands over": {disconnectAfter(msgState), true},
		"with the word to go":           {disconnectAfter(msgStateComplete), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireDrainWithoutSuccessor(t, app, c.disconnect, c.wantsHandover)
		})
	}
}

// readDatagram reads one pending datagram; the result is empty if there is none.
func readDatagram(c *net.UDPConn) []byte {
	buf := make([]byte, 300)
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	n, _, _ := c.ReadFromUDPAddrPort(buf)
	return buf[:n]
}

// addPeer changes a configuration to a tier of two nodes: this one gossips on mine, and other is the socket of the
// peer.
func addPeer(cfg *Config, mine netip.AddrPort, other *net.UDPConn) {
	cfg.Settings.InstanceCount, cfg.Settings.AllowsGossip, cfg.Settings.GossipInboxRate = 2, true, 1000
	cfg.GossipListen, cfg.GossipPeers = mine, []netip.AddrPort{mine, other.LocalAddr().(*net.UDPAddr).AddrPort()}
	cfg.GossipBroadcast = cfg.GossipPeers[1]
	cfg.Settings.Plans[1] = policy.Plan{Name: "tight", Rate: 0.001, Burst: 40, PriorityFactor: 1}
}

// requestStatuses sends requests of a customer with the plan tight, each on the connection that connect returns, and
// returns how many were answered with each status.
func requestStatuses(connect func() *client, count int) map[int]int {
	statuses := map[int]int{}
	for i := range count {
		statuses[connect().do(quotaSpendingCheck(fmt.Sprint("q", i))).status]++
	}
	return statuses
}

// After the export of its state, the predecessor spends on the connections that it still has no more than its reserve
// of a quota. If the handover then fails, it has the whole quota again.
func TestQuotaDuringHandover(t *testing.T) {
	t.Parallel()
	const burst, reserve = 8, 2
	for name, c := range map[string]struct {
		handoverFails bool
		wantAdmitted  int
	}{
		"successor does not take over yet": {false, reserve},
		"handover failed":                  {true, burst},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newRestartHarness(t, newAppServer(t, respondWith(okAnswer)))
			cfg := h.config()
			cfg.drainDelay = 3 * time.Second
			cfg.Settings.Plans[1] = policy.Plan{Name: "tight", Rate: 0.001, Burst: burst, PriorityFactor: 1}
			old := h.startFirst(cfg)
			kept := dial(t, old.addr)
			kept.do(request("check", "before"))
			successor := connectAsSuccessor(t, cfg.HandoverSocket, hello)
			old.awaitLog(t, "successor waiting")
			old.stop()
			successor.readUntil(msgStateComplete)
			connect := func() *client { return kept }
			if c.handoverFails {
				successor.Close()
				old.awaitLog(t, "handover failed")
				connect = func() *client { return dial(t, old.addr) } // a draining process closes each after its answer
			}
			if got := requestStatuses(connect, burst+1); got[200] != c.wantAdmitted {
				t.Errorf("statuses of %d requests: got %v, want %d times 200", burst+1, got, c.wantAdmitted)
			}
			if !c.handoverFails {
				successor.send(string(msgTakenOver))
			}
			old.awaitEnd(t)
		})
	}
}
