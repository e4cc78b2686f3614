package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/testserver"
)

// readinessTimeout is how long the platform waits for the answer of a health check.
const readinessTimeout = 100 * time.Millisecond

// gatewayProcess is an instance that runs as a process of its own.
type gatewayProcess struct {
	t      *testing.T
	listen string // its address for clients
	cmd    *exec.Cmd
	log    *os.File      // the reading end of its standard error
	ended  chan struct{} // closed when the process has ended
}

// startProcess starts an instance from its file. The process is killed at the end of the test. Nobody reads its log.
func startProcess(t *testing.T, config, listen string) *gatewayProcess {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := &gatewayProcess{t: t, listen: listen, log: reader, ended: make(chan struct{})}
	p.cmd = exec.Command(program, "run", "--config", config)
	// Under the race detector a program waits for a second before it exits.
	p.cmd.Env = append(os.Environ(), "MULLEINGATE_TEST_MAIN=1", "GORACE=atexit_sleep_ms=0")
	p.cmd.Stderr = writer
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	go func() {
		p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.ended
		reader.Close()
	})
	return p
}

// signal sends a signal to the process.
func (p *gatewayProcess) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// fillLog fills the pipe of the process's log, as a reader does that was stopped long ago.
func (p *gatewayProcess) fillLog() {
	p.t.Helper()
	fillPipe(p.t, fmt.Sprintf("/proc/%d/fd/2", p.cmd.Process.Pid))
}

// fillPipe writes to a pipe until it is full.
func fillPipe(t *testing.T, name string) {
	t.Helper()
	if err := testserver.FillPipe(name); err != nil {
		t.Fatal(err)
	}
}

// newPipe creates a named pipe that is open at both ends, so that a program can open it. Nobody reads from it or writes
// to it.
func newPipe(t *testing.T, name string) string {
	t.Helper()
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(name, os.O_RDWR|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pipe.Close() })
	return name
}

// useUpDescriptors leaves the process no descriptor from now on, until it closes one.
func (p *gatewayProcess) useUpDescriptors() {
	p.t.Helper()
	if err := testserver.UseUpDescriptors(p.cmd.Process.Pid); err != nil {
		p.t.Fatal(err)
	}
}

// isReady queries the process's readiness.
func (p *gatewayProcess) isReady() bool {
	client := http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.listen + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *gatewayProcess) awaitReady() {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); !p.isReady(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("the instance at %s is not ready within testTimeout", p.listen)
		}
	}
}

// processWorld is what processes of the gateway need around them: a site of servers that never answer, and certificates.
type processWorld struct {
	*operatorTest
	arrivals    *atomic.Int64 // requests that the servers have received
	discoveries []*testserver.Discovery
	logPipes    map[string]string // of startLone's configuration: the pipe of each log, by its field
	isCuttable  bool              // members reach each other by network, also where hasLinks is set
	network     []*testserver.Link
	hasLinks    bool // member 3 belongs to hall-b and reaches hall-a by the other members
}

// processDeadline is the deadline of all requests in processWorld.
const processDeadline = time.Second

// newProcessWorld starts servers at hall-a that receive requests and never answer.
func newProcessWorld(t *testing.T) *processWorld {
	t.Helper()
	dir := t.TempDir()
	w := &processWorld{
		operatorTest: &operatorTest{t: t, dir: dir, certs: filepath.Join(dir, "certs")},
		arrivals:     new(atomic.Int64),
	}
	for range 2 {
		discovery, err := testserver.NewDiscovery()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(discovery.Close)
		w.discoveries = append(w.discoveries, discovery)
	}
	w.startSilentServer()
	return w
}

func (w *processWorld) startSilentServer() {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { ln.Close() })
	testEnded := make(chan struct{})
	w.t.Cleanup(func() { close(testEnded) })
	go testserver.ServeListener(ln, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Licensee") == "" { // a health check
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\nTEXT queue=0, util=0.10")
			return err == nil
		}
		w.arrivals.Add(1)
		<-testEnded
		return false
	})
	w.discoveries[0].Put(testserver.Entry{InstanceID: "s", HostPort: ln.Addr().String(), Zone: "hall-a",
		MachineType: "k", Lifecycle: "up", Weight: 1})
}

// agreed replaces the addresses and deadlines of an example with those of the world.
func (w *processWorld) agreed(text []byte) string {
	return strings.NewReplacer(
		"127.0.0.1:8500", w.discoveries[0].Addr().String(),
		"127.0.0.1:8501", w.discoveries[1].Addr().String(),
		`deadline = "2s"`, fmt.Sprintf("deadline = %q", processDeadline),
	).Replace(string(text))
}

// startLone starts an instance without a cluster and waits until it is ready.
func (w *processWorld) startLone() *gatewayProcess {
	w.t.Helper()
	p := w.prepareLone()()
	p.awaitReady()
	return p
}

// prepareLone returns a function that starts an instance without a cluster.
func (w *processWorld) prepareLone() (start func() *gatewayProcess) {
	w.t.Helper()
	listen := freeAddr(w.t)
	writeFile(w.t, w.dir, "booking.yaml", string(deploy.Booking))
	text := strings.Replace(w.agreed(deploy.Gateway), "127.0.0.1:8080", listen, 1)
	var logs strings.Builder
	for field, pipe := range w.logPipes {
		fmt.Fprintf(&logs, "%s = %q\n", field, pipe)
	}
	text = strings.Replace(text, "access_log = \"\"", logs.String(), 1)
	config := writeFile(w.t, w.dir, "gateway.toml", text)
	return func() *gatewayProcess { return startProcess(w.t, config, listen) }
}

// prepareMember returns a function that starts the only member of a new cluster that runs.
func (w *processWorld) prepareMember() (start func() *gatewayProcess) {
	w.t.Helper()
	w.mustRun(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--dir", w.certs)
	config := w.writeMemberFiles()[0]
	w.mustRun(0, "init", "--config", config, "--new-cluster")
	return func() *gatewayProcess { return startProcess(w.t, config, w.listenAddrs[0]) }
}

// startCluster starts three members with streams for followers, and waits until all serve the agreed configuration.
func (w *processWorld) startCluster() (members []*gatewayProcess) {
	w.t.Helper()
	w.mustRun(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--followers", "edge-1",
		"--dir", w.certs)
	for i, config := range w.writeMemberFiles() {
		text, err := os.ReadFile(config)
		if err != nil {
			w.t.Fatal(err)
		}
		stream := fmt.Sprintf("stream = %q", w.streamAddr(i))
		edited := strings.Replace(string(text), `stream = ""`, stream, 1)
		if w.hasLinks {
			edited = w.addLinks(edited, i)
		}
		if w.isCuttable {
			edited = w.redirectRaft(edited, i)
		}
		writeFile(w.t, w.dir, filepath.Base(config), edited)
		w.mustRun(0, "init", "--config", config, "--new-cluster")
		members = append(members, startProcess(w.t, config, w.listenAddrs[i]))
	}
	w.awaitAnswer()
	writeFile(w.t, w.dir, "booking.yaml", string(deploy.Booking))
	agreed := w.agreed(deploy.Fleet) + "\n[[follower]]\nname = \"edge-1\"\n"
	fleet := writeFile(w.t, w.dir, "fleet.toml", agreed)
	w.mustConfig(0, "apply", fleet, "--why", "test")
	for _, m := range members {
		m.awaitReady()
	}
	return members
}

// raftAddresses matches a member's number and its address for others in a member's file.
var raftAddresses = regexp.MustCompile(`(?m)^number = (\d)\nraft = "([^"]+)"`)

// redirectRaft makes the file of a member name addresses of the network for the others.
func (w *processWorld) redirectRaft(text string, member int) string {
	w.t.Helper()
	return raftAddresses.ReplaceAllStringFunc(text, func(entry string) string {
		match := raftAddresses.FindStringSubmatch(entry)
		if match[1] == strconv.Itoa(member+1) {
			return entry
		}
		return strings.Replace(entry, match[2], w.networkAddr(match[2]), 1)
	})
}

// networkAddr returns an address of the network that leads to another one, or that one if the network can't be cut.
func (w *processWorld) networkAddr(to string) string {
	w.t.Helper()
	if !w.isCuttable {
		return to
	}
	link, err := testserver.NewLink(to)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(link.Close)
	w.network = append(w.network, link)
	return link.Addr()
}

// cutNetwork makes the network lose all that is sent from now on.
func (w *processWorld) cutNetwork() {
	for _, link := range w.network {
		link.SetCut(true)
	}
}

// addLinks adds the links between sites to the file of a member.
func (w *processWorld) addLinks(text string, member int) string {
	w.t.Helper()
	for len(w.linkAddrs) < 3 {
		w.linkAddrs = append(w.linkAddrs, freeAddr(w.t))
	}
	text += fmt.Sprintf("\n[cluster.link]\nlisten = %q\n", w.linkAddrs[member])
	farHall, farMembers := "hall-b", []int{2}
	if member == 2 {
		text = strings.Replace(text, `zone = "hall-a"`, `zone = "hall-b"`, 1)
		farHall, farMembers = "hall-a", []int{0, 1}
	}
	for _, far := range farMembers {
		text += fmt.Sprintf("\n[[cluster.link.far]]\nhall = %q\nmember = %d\naddress = %q\n", farHall, far+1,
			w.networkAddr(w.linkAddrs[far]))
	}
	return text
}

// streamAddr returns the address of a member's stream, which it chooses at the first call.
func (w *processWorld) streamAddr(member int) string {
	for len(w.streamAddrs) <= member {
		w.streamAddrs = append(w.streamAddrs, freeAddr(w.t))
	}
	return w.streamAddrs[member]
}

// startFollower starts a follower that can reach one member alone, and waits until it is ready.
func (w *processWorld) startFollower(member int) *gatewayProcess {
	w.t.Helper()
	p := w.prepareFollower(member)()
	p.awaitReady()
	return p
}

// prepareFollower returns a function that starts a follower that can reach one member alone.
func (w *processWorld) prepareFollower(member int) (start func() *gatewayProcess) {
	w.t.Helper()
	listen := freeAddr(w.t)
	stream := w.networkAddr(w.streamAddr(member))
	text := strings.NewReplacer("127.0.0.1:8084", listen, "127.0.0.1:7949", freeAddr(w.t),
		"127.0.0.1:7301", stream, "127.0.0.1:7302", stream, "127.0.0.1:7303", stream).Replace(string(deploy.Follower))
	config := writeFile(w.t, w.dir, "follower.toml", text)
	return func() *gatewayProcess { return startProcess(w.t, config, listen) }
}

// leader returns the index of the member that leads.
func (w *processWorld) leader() int {
	w.t.Helper()
	var status struct {
		Members map[int]struct {
			Leader int `json:"leader"`
		} `json:"members"`
	}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if json.Unmarshal([]byte(w.mustConfig(0, "status", "--json")), &status) != nil {
			continue
		}
		for _, m := range status.Members {
			if m.Leader != 0 {
				return m.Leader - 1
			}
		}
	}
	w.t.Fatal("no member leads within testTimeout")
	return 0
}

// processClient is a client's connection to a process.
type processClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialProcess(addr string) (*processClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &processClient{conn, bufio.NewReader(conn)}, nil
}

// post sends a request that must not be repeated.
func (c *processClient) post() error {
	_, err := fmt.Fprintf(c.conn, "POST /v1/holds HTTP/1.1\r\nHost: a\r\nX-Licensee: bahari-net\r\nX-Expires-In: %.3f\r\n"+
		"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}", processDeadline.Seconds())
	return err
}

// getReadiness makes a health check and keeps the connection.
func (c *processClient) getReadiness() error {
	if _, err := fmt.Fprint(c.conn, "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	_, err := c.receive(time.Now().Add(testTimeout))
	return err
}

// receive returns the status of the next answer, which has to come before a time.
func (c *processClient) receive(before time.Time) (status int, err error) {
	c.conn.SetReadDeadline(before)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
