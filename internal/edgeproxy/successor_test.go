package edgeproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A predecessor that dies unannounced, or left only its socket's name, is followed by a start from nothing.
func TestPredecessorDies(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	dir, door := t.TempDir(), newSharedListener(t)
	path := filepath.Join(dir, handoverSocketName)
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	next := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	c, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte{msgState, 0, 0, 0, 9})
	c.Write([]byte("shalf"))
	ln.Close()
	c.Close()
	next.awaitLog(t, msgNoInheritedState)
	requireServesAndEnds(t, next)
	// The name of a killed process's socket is still there.
	last := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
	last.awaitLog(t, "ready")
	last.stop()
	last.awaitEnd(t)
}

// listenAsPredecessor listens where a process that serves does, until the end of the test.
func listenAsPredecessor(t *testing.T, dir string) *net.UnixListener {
	t.Helper()
	path := filepath.Join(dir, handoverSocketName)
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// exportedState is the state of an engine that has just started, as a predecessor sends it.
func exportedState(t *testing.T) string {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	node, err := newNode(ctx, testConfig(), discard)
	if err != nil {
		t.Fatal(err)
	}
	node.startEngine()
	state, _, err := node.exportState()
	if err != nil {
		t.Fatal(err)
	}
	return string(state)
}

// stateMessages are a predecessor's messages with a state, and that the successor may go.
func stateMessages(state string) []string {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
	return []string{string(msgState) + string(size), string(msgState) + state, string(msgGo)}
}

// Invalid messages from a predecessor, or its death on the way, are followed by a start from nothing, which is
// logged; one that dies once the successor may go has left all that is needed.
func TestInvalidPredecessorMessages(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	good := exportedState(t)
	for name, c := range map[string]struct {
		messages          []string
		startsFromNothing bool
	}{
		"none":                {nil, true},
		"half a state":        {stateMessages(good)[:1], true},
		"no message to go":    {stateMessages(good)[:2], true},
		"state of later form": {stateMessages(strings.Replace(good, `"Form":1`, `"Form":99`, 1)), true},
		"state is no JSON":    {stateMessages("{"), true},
		"more than announced": {[]string{string(msgState) + "\x00\x00\x00\x01", string(msgState) + "two"}, true},
		"of a later version":  {[]string{"?what"}, true},
		"go without a state":  {[]string{string(msgGo)}, true},
		"complete":            {stateMessages(good), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next := startAfterPredecessor(t, app, c.messages)
			next.awaitLog(t, "ready")
			if got := next.logs.HasLine(msgNoInheritedState, "error="); got != c.startsFromNothing {
				t.Errorf("from nothing %v, want %v:\n%s", got, c.startsFromNothing, next.logs)
			}
			requireServesAndEnds(t, next)
		})
	}
}

// startAfterPredecessor starts a node whose predecessor sends some messages, once it has its hello, and dies.
func startAfterPredecessor(t *testing.T, app *appServer, messages []string) *runningNode {
	t.Helper()
	dir := t.TempDir()
	ln := listenAsPredecessor(t, dir)
	next := newSharedListener(t).start(t, hotRestartConfig(t, dir, app.instance("a")))
	conn, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	peer := handoverPeer{conn, t}
	peer.readUntil(msgHello)
	for _, message := range messages {
		peer.send(message)
	}
	peer.Close()
	return next
}

// sendGossipSocket hands a socket over as a predecessor does.
func (h handoverPeer) sendGossipSocket(conn *net.UDPConn) {
	h.t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		h.t.Fatal(err)
	}
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = h.WriteMsgUnix([]byte{msgGossipSocket}, syscall.UnixRights(int(fd)), nil)
	})
	if err := errors.Join(err, controlErr); err != nil {
		h.t.Fatal(err)
	}
}

// A gossip socket that a predecessor has handed over goes on, also if the predecessor dies before the rest has come or
// sends what is out of place.
func TestGossipSocketOutlivesFailedHandover(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	for name, last := range map[string]string{"dies": "", "out of place": "?what"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gossipPeer, socket := listenUDP(t), listenUDP(t)
			mine := socket.LocalAddr().(*net.UDPAddr).AddrPort()
			dir := t.TempDir()
			ln := listenAsPredecessor(t, dir)
			cfg := hotRestartConfig(t, dir, app.instance("a"))
			addPeer(cfg, mine, gossipPeer)
			next := newSharedListener(t).start(t, cfg)
			conn, err := ln.AcceptUnix()
			if err != nil {
				t.Fatal(err)
			}
			peer := handoverPeer{conn, t}
			peer.readUntil(msgHello)
			peer.send(stateMessages("some state")[0])
			peer.sendGossipSocket(socket)
			socket.Close()
			if last != "" {
				peer.send(last)
			}
			peer.Close()
			next.awaitLog(t, "ready")
			spender := []string{"X-Contract", "tight", "X-Metering", "units=1,spread=2,first=0"}
			if a := dial(t, next.addr).ask(request("check", "a", spender...)); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			awaitGossipFrom(t, gossipPeer, mine)
			next.stop()
			next.awaitEnd(t)
		})
	}
}

// requireServesAndEnds checks that a node serves a request, and ends it.
func requireServesAndEnds(t *testing.T, n *runningNode) {
	t.Helper()
	if a := dial(t, n.addr).ask(request("check", "a")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	n.stop()
	n.awaitEnd(t)
}

// writeFile writes a file, in a folder of its own, and returns its path.
func writeFile(t *testing.T, path, text string, mode os.FileMode) string {
	t.Helper()
	err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte(text), mode))
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// leaveSocket leaves the name of a socket on which nobody listens any more.
func leaveSocket(t *testing.T, path string) string {
	t.Helper()
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	return path
}

// Whatever stands at the socket's path, and where nothing can, the node starts, logs it and serves.
func TestInvalidHandoverSocket(t *testing.T) {
	t.Parallel()
	app := newAppServer(t, respondWith(okAnswer))
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	full := filepath.Dir(writeFile(t, in("full/of"), "something", 0o600))
	const msgUnavailable = "hot restart unavailable"
	for name, c := range map[string]struct{ path, message, detail string }{
		"a file of a process long gone": {
			writeFile(t, in("old"), `{"Form":1,"Stor`, 0o600), msgNoInheritedState, "error="},
		"one that can't be read":       {writeFile(t, in("locked"), "", 0), msgNoInheritedState, "error="},
		"a folder that is not empty":   {full, msgUnavailable, "not empty"},
		"the socket of a dead process": {leaveSocket(t, in("dead")), msgNoInheritedState, "error="},
		"no folder":                    {writeFile(t, in("file"), "", 0o600) + "/in", msgUnavailable, "not a directory"},
		"where nothing can be made":    {"/proc/self/handover", msgUnavailable, `error="handover: `},
		"a path that is too long":      {in(strings.Repeat("x", 120)), msgUnavailable, `error="handover: `},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := hotRestartConfig(t, dir, app.instance("a"))
			cfg.HandoverSocket = c.path
			n := newSharedListener(t).start(t, cfg)
			n.awaitLog(t, "ready")
			if !n.logs.HasLine(c.message, c.detail) {
				t.Errorf("the log does not say %q with %q:\n%s", c.message, c.detail, n.logs)
			}
			requireServesAndEnds(t, n)
		})
	}
}
