package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// TestMain runs the test binary as the program if MULLEINMUX_TEST_PROGRAM is set.
func TestMain(m *testing.M) {
	if os.Getenv("MULLEINMUX_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// msgNoInheritedState is logged if a process can't use the state of a predecessor.
const msgNoInheritedState = "starting without inherited state"

// newProgram returns the command that runs the program with a configuration, and a function that returns its log so
// far. The program is killed at the end of the test.
func newProgram(t *testing.T, config string) (*exec.Cmd, func() string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	// Under the race detector a program waits for a second before it exits.
	cmd.Env = append(os.Environ(), "MULLEINMUX_TEST_PROGRAM=1", "PROXY_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { logs.Close() })
	cmd.Stderr = logs
	return cmd, func() string {
		text, err := os.ReadFile(logs.Name())
		if err != nil {
			t.Error(err)
		}
		return string(text)
	}
}

// An invalid configuration ends the program with exit code 1 and a log line that names the field.
func TestBadConfigExits(t *testing.T) {
	cmd, logs := newProgram(t, `{"name":"n0","listen":"nowhere"}`)
	err := cmd.Run()
	if cmd.ProcessState.ExitCode() != 1 || !testserver.HasLogLine(logs(), "invalid configuration", "listen") {
		t.Errorf("error %v, log %q, want exit code 1 and a line that names listen", err, logs())
	}
}

// configText returns a configuration with an address for clients and, unless it is empty, one for administration calls.
func configText(listen, management string) string {
	if management != "" {
		management = fmt.Sprintf(`"management":%q,`, management)
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1",%s
		"limits":{"memory_mb":192,"sockets":1024},
		"settings":{"instances":1,"lanes":[{"name":"c","idempotency":"retryable","onTime":0.4,"deadline":2}]}}`,
		listen, management)
}

// awaitReady waits until the health check of a node succeeds.
func awaitReady(t *testing.T, addr string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Error("node not ready within 30 s")
}

// On SIGHUP the program reads its configuration again and keeps running; on SIGTERM, as at a planned restart, it ends
// with exit code 0.
func TestSignals(t *testing.T) {
	addr := freeAddr(t)
	cmd, logs := newProgram(t, configText(addr, ""))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitReady(t, addr)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, logs, "discovery reloaded")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// Signals during the drain have no effect: the program ends by itself without an error.
	awaitLog(t, logs, "draining")
	for _, again := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, os.Interrupt} {
		if err := cmd.Process.Signal(again); err != nil {
			t.Error(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("program ended with %v, log %q, want exit code 0", err, logs())
	}
}

// freeAddr returns a TCP address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// awaitLog waits until a process has logged a line with a message.
func awaitLog(t *testing.T, logs func() string, message string) {
	t.Helper()
	end := time.Now().Add(30 * time.Second)
	for ; !testserver.HasLogLine(logs(), message); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no log line %q within 30 s:\n%s", message, logs())
		}
	}
}

// sharedSocket is a listening socket for clients that several processes inherit, and the directory that they share.
type sharedSocket struct {
	addr   string
	file   *os.File
	dir    string
	config func(addr, management string) string // of the processes
}

func newSharedSocket(t *testing.T) *sharedSocket {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return &sharedSocket{addr: ln.Addr().String(), file: file, dir: t.TempDir(), config: configText}
}

// start starts the program with the socket as descriptor 5.
func (s *sharedSocket) start(t *testing.T) (*exec.Cmd, func() string) {
	t.Helper()
	cmd, logs := newProgram(t, s.config(s.addr, freeAddr(t)))
	cmd.Env = append(cmd.Env, "TMPDIR="+s.dir, "PROXY_ACCEPT_FD=5")
	cmd.ExtraFiles = []*os.File{s.file, s.file, s.file} // 3, 4 and 5
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, logs
}

// wantReady checks that the node on the socket is ready.
func (s *sharedSocket) wantReady(t *testing.T) {
	t.Helper()
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.addr + "/health/ready")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("health check: status %d, want 200", resp.StatusCode)
	}
}

// Three processes inherit one socket as descriptor 5. The first is killed while the second waits for it; the second
// then starts without inherited state and hands over to the third.
func TestHotRestartOfProcesses(t *testing.T) {
	socket := newSharedSocket(t)
	first, firstLogs := socket.start(t)
	awaitLog(t, firstLogs, "ready")
	second, secondLogs := socket.start(t)
	awaitLog(t, secondLogs, "waiting for predecessor")
	if err := first.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	first.Wait()
	awaitLog(t, secondLogs, msgNoInheritedState)
	awaitLog(t, secondLogs, "ready")
	socket.wantReady(t)
	third, thirdLogs := socket.start(t)
	awaitLog(t, secondLogs, "successor waiting")
	second.Process.Signal(syscall.SIGTERM)
	awaitLog(t, thirdLogs, "ready")
	if testserver.HasLogLine(thirdLogs(), msgNoInheritedState) {
		t.Errorf("third process started without inherited state: %s", thirdLogs())
	}
	socket.wantReady(t)
	if err := second.Wait(); err != nil {
		t.Errorf("second process ended with %v, want exit code 0: %s", err, secondLogs())
	}
	third.Process.Signal(syscall.SIGTERM)
	if err := third.Wait(); err != nil {
		t.Errorf("third process ended with %v, want exit code 0: %s", err, thirdLogs())
	}
}
