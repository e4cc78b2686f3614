package edgeproxy

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A predecessor that dies unannounced, or left only its socket's name, is followed by a start from nothing.
func TestPredecessorDies(t *testing.T) {
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
	if a := dial(t, next.addr).ask(request("check", "a")); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	next.stop()
	next.awaitEnd(t)
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

// Invalid messages from a predecessor, or its death on the way, are followed by a start from nothing, which is
// logged; one that dies once the successor may go has left all that is needed.
func TestInvalidPredecessorMessages(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	was, err := newNode(ctx, testConfig(), discard)
	if err != nil {
		t.Fatal(err)
	}
	was.startEngine()
	good, _, err := was.exportState()
	if err != nil {
		t.Fatal(err)
	}
	state := func(text string) []string {
		size := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
		return []string{string(msgState) + string(size), string(msgState) + text, string(msgGo)}
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
			dir, door := t.TempDir(), newSharedListener(t)
			ln := listenAsPredecessor(t, dir)
			next := door.start(t, hotRestartConfig(t, dir, app.instance("a")))
			c1, err := ln.AcceptUnix()
			if err != nil {
				t.Fatal(err)
			}
			h := handoverPeer{c1, t}
			h.readUntil(msgHello)
			for _, text := range c.says {
				h.send(text)
			}
			h.Close()
			next.awaitLog(t, "ready")
			if got := next.logs.HasLine(msgNoInheritedState, "error="); got != c.nothing {
				t.Errorf("from nothing %v, want %v:\n%s", got, c.nothing, next.logs)
			}
			if a := dial(t, next.addr).ask(request("check", "a")); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			next.stop()
			next.awaitEnd(t)
		})
	}
}

// Whatever stands at the socket's path, and where nothing can, the node starts, logs it and serves.
func TestInvalidHandoverSocket(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(dir, name)
		err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte(text), mode))
		if err != nil {
			t.Fatal(err)
		}
		return path
	}
	full := filepath.Dir(write("full/of", "something", 0o600))
	dead, long := filepath.Join(dir, "dead"), filepath.Join(dir, strings.Repeat("x", 120))
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: dead, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	ln.Close()
	const msgUnavailable = "hot restart unavailable"
	for name, c := range map[string]struct{ path, message, detail string }{
		"a file of a process long gone": {write("old", `{"Form":1,"Stor`, 0o600), msgNoInheritedState, "error="},
		"one that can't be read":        {write("locked", "", 0), msgNoInheritedState, "error="},
		"a folder that is not empty":    {full, msgUnavailable, "not empty"},
		"the socket of a dead process":  {dead, msgNoInheritedState, "error="},
		"no folder":                     {write("file", "", 0o600) + "/in", msgUnavailable, "not a directory"},
		"where nothing can be made":     {"/proc/self/handover", msgUnavailable, `error="handover: `},
		"a path that is too long":       {long, msgUnavailable, `error="handover: `},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := hotRestartConfig(t, dir, app.instance("a"))
			cfg.HandoverSocket = c.path
			n := newSharedListener(t).start(t, cfg)
			n.awaitLog(t, "ready")
			if !n.logs.HasLine(c.message, c.detail) {
				t.Errorf("the log does not say %q with %q:\n%s", c.message, c.detail, n.logs)
			}
			if a := dial(t, n.addr).ask(request("check", "a")); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			n.stop()
			n.awaitEnd(t)
		})
	}
}
