package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// The deadline of configText, and when the platform kills the program after SIGTERM.
const (
	configDeadline = 2 * time.Second
	killsAfter     = configDeadline + 700*time.Millisecond
)

// answerTolerance is by how much an answer may come after its client's deadline: the slack of the settings, and the time
// on the way.
const answerTolerance = 100 * time.Millisecond

// fillLog fills the pipe of a process's log.
func fillLog(t *testing.T, pid int) {
	t.Helper()
	if err := testserver.FillPipe(fmt.Sprintf("/proc/%d/fd/2", pid)); err != nil {
		t.Fatal(err)
	}
}

// replaceByPipe replaces a file by a pipe that nobody writes to, so that whoever opens it waits.
func replaceByPipe(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a shutdown that waits for the reader of the log, or for a file that a reload reads: the program went on
// to take work and was killed.
func TestShutdownBesideFileThatHangs(t *testing.T) {
	for name, trouble := range map[string]func(t *testing.T, program *exec.Cmd, configPath string){
		"log is not read": func(t *testing.T, program *exec.Cmd, _ string) { fillLog(t, program.Process.Pid) },
		"reload hangs": func(t *testing.T, program *exec.Cmd, configPath string) {
			replaceByPipe(t, configPath)
			for range 2 { // the second one comes while the first one hangs
				program.Process.Signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr := freeAddr(t)
			cmd, _ := newProgram(t, configText(addr, ""))
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			cmd.Stderr = writer
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			writer.Close()
			awaitReady(t, addr)
			trouble(t, cmd, configPath(cmd))
			requireShutdown(t, cmd, addr)
		})
	}
}

// configPath returns the path of a program's configuration.
func configPath(program *exec.Cmd) (path string) {
	for _, variable := range program.Env {
		if value, isPath := strings.CutPrefix(variable, "PROXY_CONFIG="); isPath {
			path = value
		}
	}
	return path
}

// requireShutdown sends SIGTERM to a program without open requests. It checks that the program is not ready soon
// after, accepts no clients later, and has ended before the platform kills it.
func requireShutdown(t *testing.T, cmd *exec.Cmd, addr string) {
	t.Helper()
	termAt := time.Now()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(termAt.Add(150 * time.Millisecond)))
	if resp, err := http.Get("http://" + addr + "/health/ready"); err == nil {
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Errorf("the program is ready %v after SIGTERM", time.Since(termAt).Round(time.Millisecond))
		}
	}
	time.Sleep(time.Until(termAt.Add(900 * time.Millisecond))) // clients are accepted for 0.5 s
	if conn, err := net.Dial("tcp", addr); err == nil {
		conn.Close()
		t.Errorf("the program accepts clients %v after SIGTERM", time.Since(termAt).Round(time.Millisecond))
	}
	requireEnd(t, cmd, time.Until(termAt.Add(killsAfter)))
}

// Guards against a shutdown that waits for a successor which was stopped, beyond the time at which the platform kills
// the process, or that leaves clients to one: requests that are open then, or sent later, are lost.
func TestShutdownBesideStoppedSuccessor(t *testing.T) {
	for name, c := range map[string]struct {
		signal   syscall.Signal // to the successor, just before SIGTERM
		deadline time.Duration
	}{
		"stopped":                  {syscall.SIGSTOP, 400 * time.Millisecond},
		"just died":                {syscall.SIGKILL, 400 * time.Millisecond},
		"stopped, long deadline":   {syscall.SIGSTOP, 2 * time.Second},
		"just died, long deadline": {syscall.SIGKILL, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			requestCount := make(chan struct{}, 3)
			server := startAbuseServer(t, func(conn net.Conn, _ *http.Request) bool {
				select {
				case requestCount <- struct{}{}:
				default:
				}
				io.Copy(io.Discard, conn) // it never answers
				return false
			})
			socket := newSharedSocket(t)
			socket.config = func(addr, management string) string {
				return abuseConfig(addr, management, server.listener.Addr(), c.deadline)
			}
			first, firstLogs := socket.start(t)
			awaitLog(t, firstLogs, "ready")
			second, secondLogs := socket.start(t)
			awaitLog(t, firstLogs, "successor waiting")
			idle := newNodeClient(t, socket.addr)
			if err := idle.query(); err != nil {
				t.Fatal(err)
			}
			var clients sync.WaitGroup
			for i := range 3 {
				client := newNodeClient(t, socket.addr)
				clients.Go(func() {
					requireAnswer(t, "a request that was open at SIGTERM", client, fmt.Sprint("open", i), c.deadline)
				})
			}
			<-requestCount // the server has a request
			second.Process.Signal(c.signal)
			defer second.Process.Kill()
			termAt := time.Now()
			first.Process.Signal(syscall.SIGTERM)
			kill := time.AfterFunc(c.deadline+700*time.Millisecond, func() { first.Process.Kill() })
			defer kill.Stop()
			time.Sleep(time.Until(termAt.Add(350 * time.Millisecond))) // the platform sends new clients for 0.4 s
			late := newNodeClient(t, socket.addr)
			clients.Go(func() { requireAnswer(t, "a request on an idle connection", idle, "idle", c.deadline) })
			clients.Go(func() { requireAnswer(t, "the request of a new client", late, "late", c.deadline) })
			time.Sleep(time.Until(termAt.Add(600 * time.Millisecond))) // the first process accepts clients for 0.5 s
			if c.signal == syscall.SIGSTOP {
				second.Process.Signal(syscall.SIGCONT)
				next := newNodeClient(t, socket.addr)
				clients.Go(func() { requireAnswer(t, "the request of a client after SIGCONT", next, "next", c.deadline) })
			}
			clients.Wait()
			if err := first.Wait(); err != nil {
				t.Errorf("the program ended %v after SIGTERM with %v, want exit code 0 before the kill",
					time.Since(termAt).Round(time.Millisecond), err)
			}
			if c.signal == syscall.SIGSTOP {
				awaitLog(t, secondLogs, msgNoInheritedState)
				second.Process.Signal(syscall.SIGTERM)
				requireEnd(t, second, c.deadline+700*time.Millisecond)
			}
		})
	}
}

// abuseConfig returns a configuration with one server, and with a deadline of all classes.
func abuseConfig(listen, management string, server net.Addr, deadline time.Duration) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","management":%q,"seed":"1",
		"limits":{"memory_mb":192,"sockets":1024},"known":{"generation":1,"reset":true,"instances":[
		{"instanceId":"s","hostPort":%q,"zone":"z","machineType":"k","lifecycle":"up","weight":1}]},
		"settings":%s}`, listen, management, server, fmt.Sprintf(abuseSettings, deadline.Seconds()))
}

// requireAnswer sends a request whose client waits for a deadline, and checks that it is answered within that time.
func requireAnswer(t *testing.T, what string, client *nodeClient, id string, deadline time.Duration) {
	sentAt := time.Now()
	client.sendCheck(id, deadline)
	_, err := testserver.ReadResponse(client.reader, "GET")
	if took := time.Since(sentAt); err != nil || took > deadline+answerTolerance {
		t.Errorf("%s: error %v after %v, want an answer within %v", what, err, took.Round(time.Millisecond), deadline)
	}
}

// Guards against a successor whose shutdown waits for its predecessor, which was stopped: while the successor waits to
// take over, or while the predecessor still hands over clients.
func TestShutdownBesideStoppedPredecessor(t *testing.T) {
	for name, hasTakenOver := range map[string]bool{"waiting": false, "serving": true} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			server := startAbuseServer(t, func(conn net.Conn, _ *http.Request) bool {
				arrived <- struct{}{}
				io.Copy(io.Discard, conn) // it never answers
				return false
			})
			socket := newSharedSocket(t)
			socket.config = func(addr, management string) string {
				return abuseConfig(addr, management, server.listener.Addr(), configDeadline)
			}
			first, firstLogs := socket.start(t)
			awaitLog(t, firstLogs, "ready")
			second, secondLogs := socket.start(t)
			awaitLog(t, firstLogs, "successor waiting")
			if hasTakenOver {
				open := newNodeClient(t, socket.addr)
				open.sendCheck("open", configDeadline)
				<-arrived
				first.Process.Signal(syscall.SIGTERM)
				awaitLog(t, secondLogs, "ready")
			}
			first.Process.Signal(syscall.SIGSTOP)
			defer first.Process.Kill()
			second.Process.Signal(syscall.SIGTERM)
			if hasTakenOver {
				time.Sleep(350 * time.Millisecond) // the platform sends new clients for 0.4 s
				late := newNodeClient(t, socket.addr)
				if err := late.query(); err != nil || late.status == http.StatusOK {
					t.Errorf("the readiness query of a new client: status %d, error %v", late.status, err)
				}
			}
			requireEnd(t, second, killsAfter)
		})
	}
}

// Guards against a shutdown that first waits for a descriptor, to accept a successor that may have connected just now.
// Until then the node stayed ready.
func TestReadinessDuringShutdownWithoutDescriptors(t *testing.T) {
	socket := newSharedSocket(t)
	cmd, logs := socket.start(t)
	awaitLog(t, logs, "ready")
	client := newNodeClient(t, socket.addr)
	if err := client.query(); err != nil {
		t.Fatal(err)
	}
	setDescriptors(t, cmd.Process.Pid, 3) // no descriptor has a lower number
	cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(150 * time.Millisecond)
	if err := client.query(); err != nil || client.status == http.StatusOK {
		t.Errorf("150 ms after SIGTERM: status %d, error %v", client.status, err)
	}
	requireEnd(t, cmd, killsAfter)
}

// Guards against a shutdown in which the connections of clients that send nothing hold all descriptors, while clients
// that have just connected wait for one in the kernel's backlog: they were reset.
func TestShutdownWhileIdleConnectionsHoldAllDescriptors(t *testing.T) {
	addr := freeAddr(t)
	cmd, logs := newProgram(t, configText(addr, ""))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, logs, "ready")
	for range 3 {
		if err := newNodeClient(t, addr).query(); err != nil {
			t.Fatal(err)
		}
	}
	if err := testserver.UseUpDescriptors(cmd.Process.Pid); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(350 * time.Millisecond) // the platform sends new clients for 0.4 s
	if err := newNodeClient(t, addr).query(); err != nil {
		t.Errorf("the request of a new client has no answer: %v", err)
	}
	requireEnd(t, cmd, killsAfter)
}

// Guards against a drain in which connections that are about to close, because their answer said so, fill the limit of
// connections: idle ones were closed for the clients that connect anew, and their next requests were lost.
func TestIdleClientsAreAnsweredWhileOthersReconnectDuringShutdown(t *testing.T) {
	const (
		sockets             = 80 // 16 connections of clients
		idleClients         = 3
		reconnectingClients = 6
	)
	addr := freeAddr(t)
	cmd, logs := newProgram(t, strings.Replace(configText(addr, ""), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitLog(t, logs, "ready")
	var idle []*nodeClient
	for range idleClients {
		client := newNodeClient(t, addr)
		if err := client.query(); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, client)
	}
	time.Sleep(150 * time.Millisecond) // the clients' connections are idle for long enough to be closed for others
	cmd.Process.Signal(syscall.SIGTERM)
	termAt := time.Now()
	var reconnecting sync.WaitGroup
	for range reconnectingClients {
		reconnecting.Go(func() { queryOnNewConnections(addr, termAt.Add(300*time.Millisecond)) })
	}
	reconnecting.Wait()
	for i, client := range idle {
		if err := client.query(); err != nil {
			t.Errorf("%v after SIGTERM: the request of idle client %d has no answer: %v",
				time.Since(termAt).Round(time.Millisecond), i, err)
		}
	}
	requireEnd(t, cmd, killsAfter)
}

// queryOnNewConnections queries a node's readiness until a time, each time on a new connection.
func queryOnNewConnections(addr string, until time.Time) {
	for time.Now().Before(until) {
		conn, reader, err := testserver.DialClient(addr, time.Second)
		if err != nil {
			continue
		}
		client := &nodeClient{conn: conn, reader: reader}
		_ = client.query() // only the idle clients are checked
		conn.Close()
	}
}

// Guards against a node that gets SIGTERM in the middle of its start and resets clients that have connected, or runs on.
// A successor that ends so leaves all clients to its predecessor.
func TestShutdownDuringStart(t *testing.T) {
	const startTime = 100 * time.Millisecond // SIGTERM comes within it
	for _, hasPredecessor := range []bool{false, true} {
		t.Run(fmt.Sprintf("predecessor %v", hasPredecessor), func(t *testing.T) {
			socket := newSharedSocket(t)
			if hasPredecessor {
				predecessor, logs := socket.start(t)
				awaitLog(t, logs, "ready")
				defer requireEnd(t, predecessor, killsAfter)
				defer predecessor.Process.Signal(syscall.SIGTERM)
			}
			for delay := time.Duration(0); delay < startTime; delay += startTime / 10 {
				var node *exec.Cmd
				addr := socket.addr
				if hasPredecessor {
					node, _ = socket.start(t)
				} else {
					addr = freeAddr(t)
					node, _ = newProgram(t, configText(addr, ""))
					if err := node.Start(); err != nil {
						t.Fatal(err)
					}
				}
				terminateDuringStart(t, node, addr, delay)
			}
		})
	}
}

// terminateDuringStart sends SIGTERM to a program some time after its start. Each client that could connect to an
// address has to get an answer, and the program has to end before the platform kills it.
func terminateDuringStart(t *testing.T, node *exec.Cmd, addr string, delay time.Duration) {
	t.Helper()
	termAt := time.Now().Add(delay)
	term := time.AfterFunc(delay, func() { node.Process.Signal(syscall.SIGTERM) })
	defer term.Stop()
	var clients sync.WaitGroup
	for ; time.Since(termAt) < 350*time.Millisecond; time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		client := &nodeClient{conn: conn, reader: bufio.NewReader(conn)}
		clients.Go(func() {
			defer conn.Close()
			conn.SetDeadline(termAt.Add(killsAfter))
			if err := client.query(); err != nil {
				t.Errorf("SIGTERM %v after the start: a client that connected has no answer: %v", delay, err)
			}
		})
	}
	requireEnd(t, node, time.Until(termAt.Add(killsAfter)))
	clients.Wait()
}

// requireEnd checks that a program ends within a time.
func requireEnd(t *testing.T, cmd *exec.Cmd, within time.Duration) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(within):
		t.Errorf("the program has not ended within %v", within)
		cmd.Process.Kill()
		<-ended
	}
}

// nodeClient sends requests to a node on one connection.
type nodeClient struct {
	conn   net.Conn
	reader *bufio.Reader
	status int // of the last answer
}

func newNodeClient(t *testing.T, addr string) *nodeClient {
	t.Helper()
	conn, reader, err := testserver.DialClient(addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &nodeClient{conn: conn, reader: reader}
}

// sendCheck sends a request whose client waits for a deadline.
func (c *nodeClient) sendCheck(id string, deadline time.Duration) {
	fmt.Fprintf(c.conn, "GET /check/a?customer=00000000b4d65521 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n"+
		"X-Qos: check\r\nX-Contract: wide\r\nX-Expires-In: %v\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n",
		id, deadline.Seconds())
}

func (c *nodeClient) query() error {
	if _, err := io.WriteString(c.conn, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	response, err := testserver.ReadResponse(c.reader, "GET")
	c.status = response.Status
	return err
}
