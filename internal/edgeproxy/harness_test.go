package edgeproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/simwire"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
)

type (
	List     = discovery.EndpointList
	Instance = discovery.Endpoint
)

// testTimeout limits every wait of a test. No passing test should come near it.
const testTimeout = 30 * time.Second

// appServer is an app server on a loopback socket. serve answers one complete request; it returns false to close the
// connection.
type appServer struct {
	ln    net.Listener
	serve func(c net.Conn, r *http.Request, body []byte) bool
	conns chan net.Conn // all accepted connections, which are closed at the end of the test

	mu   sync.Mutex
	seen []string // the first line and the body of each request
}

func newAppServer(t testing.TB, serve func(c net.Conn, r *http.Request, body []byte) bool) *appServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &appServer{ln: ln, serve: serve, conns: make(chan net.Conn, 100)}
	t.Cleanup(func() {
		ln.Close()
		for len(s.conns) > 0 {
			(<-s.conns).Close()
		}
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go s.serveConn(c)
		}
	}()
	return s
}

func (s *appServer) serveConn(c net.Conn) {
	testserver.ServeRequests(c, func(r *http.Request, body []byte) bool {
		s.mu.Lock()
		s.seen = append(s.seen, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		return s.serve(c, r, body)
	})
}

func (s *appServer) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.seen...)
}

func (s *appServer) instance(id string) Instance {
	return Instance{Server: policy.Server{ID: id, Weight: 1, Kind: "k", Zone: "z"}, Addr: addrOf(s.ln)}
}

func addrOf(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }

// respondWith returns a serve function that writes the text and keeps the connection.
func respondWith(text string) func(net.Conn, *http.Request, []byte) bool {
	return func(c net.Conn, _ *http.Request, _ []byte) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"

// testConfig returns the configuration of a tier of one edge node, with an idempotent class, one that is idempotent
// with a key, and a plan whose second request within seconds is over quota.
func testConfig(servers ...Instance) *Config {
	return &Config{
		Name: "n0", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: netip.MustParseAddrPort("127.0.0.1:1"),
		MaxSockets: 256, SavedEndpoints: List{Generation: 7, IsComplete: true, Servers: servers},
		ServerConnections: simwire.ConnectionSettings{ConnIdleTimeout: time.Minute, ConnectTimeout: 5 * time.Second},
		Settings: policy.Settings{
			InstanceCount: 1, Zone: "z", MaxAttempts: 3, AllowsCancel: true,
			SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MinEventInterval: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond,
			Classes: []policy.Class{
				{Name: "check", Idempotency: policy.Idempotent,
					LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1},
				{Name: "book", Idempotency: policy.IdempotentWithKey,
					DedupScope: policy.DedupZone, DedupWindow: 4 * time.Second,
					LatencyObjective: 20 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1},
			},
			Plans: []policy.Plan{
				{Name: "wide", Rate: 1e6, Burst: 1e6, PriorityFactor: 1},
				{Name: "tight", Rate: 0.1, Burst: 1, PriorityFactor: 1},
			},
		},
	}
}

// runningNode is a node that runs in the test process.
type runningNode struct {
	addr   string
	stop   context.CancelFunc // has the effect of SIGTERM
	reload chan os.Signal     // has the effect of SIGHUP
	done   chan error
	logs   *testserver.Log
}

func runNode(t testing.TB, cfg *Config) *runningNode {
	t.Helper()
	return runNodeWithListener(t, cfg, func(ln *net.TCPListener) net.Listener { return ln })
}

// runNodeWithListener runs a node whose listener for clients is wrapped.
func runNodeWithListener(t testing.TB, cfg *Config, wrap func(*net.TCPListener) net.Listener) *runningNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &runningNode{
		addr:   ln.Addr().String(),
		stop:   stop,
		reload: make(chan os.Signal, 1),
		done:   make(chan error, 1),
		logs:   &testserver.Log{},
	}
	go func() { r.done <- runOn(ctx, cfg, r.reload, r.logs.Logger(), wrap(ln.(*net.TCPListener))) }()
	t.Cleanup(func() {
		stop()
		if err := testserver.AwaitEnd(r.done, testTimeout); err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return r
}

// client is a client connection.
type client struct {
	net.Conn
	br *bufio.Reader
	t  testing.TB
}

func dial(t testing.TB, addr string) *client {
	t.Helper()
	c, br, err := testserver.DialClient(addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{Conn: c, br: br, t: t}
}

// clientResponse is a response that a client has read.
type clientResponse struct {
	status int
	header http.Header
	body   string
	close  bool
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) read() clientResponse {
	c.t.Helper()
	r, err := testserver.ReadResponse(c.br, "")
	if err != nil {
		c.t.Fatal(err)
	}
	return clientResponse{r.Status, r.Header, r.Body, r.Close}
}

func (c *client) do(text string) clientResponse {
	c.t.Helper()
	c.send(text)
	return c.read()
}

// request returns the text of a valid request. replace is a list of names and values: a header name sets that header,
// or omits it if the value is empty; "" sets the request line, and "body" the body.
func request(class, id string, replace ...string) string {
	lines := map[string]string{"Host": "app.svc", "X-Trace-Id": id, "X-Qos": class, "X-Contract": "wide",
		"X-Expires-In": "20", "X-Metering": "units=1,spread=1,first=0"}
	first, body := "GET /"+class+"/a%2fb?customer=00000000b4d65521&x=%41+ HTTP/1.1", ""
	if class == "book" {
		first, body = strings.Replace(first, "GET", "POST", 1), "slot"
		lines["Idempotency-Key"], lines["Content-Length"] = "key-"+id, "4"
	}
	for i := 0; i < len(replace); i += 2 {
		switch {
		case replace[i] == "":
			first = replace[i+1]
		case replace[i] == "body":
			body = replace[i+1]
		case replace[i+1] == "":
			delete(lines, replace[i])
		default:
			lines[replace[i]] = replace[i+1]
		}
	}
	text := first + "\r\n"
	for name, val := range lines {
		text += name + ": " + val + "\r\n"
	}
	return text + "\r\n" + body
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within testTimeout: %s", what)
		}
	}
}

func listJSON(generation int, full bool, servers ...Instance) string {
	type entry map[string]any
	list := []entry{}
	words := map[policy.ServerState]string{policy.Up: "up", policy.Draining: "draining", policy.Removed: "removed"}
	for _, s := range servers {
		list = append(list, entry{"instanceId": s.ID, "hostPort": s.Addr.String(), "zone": s.Zone,
			"machineType": s.Kind, "cell": s.Cell, "lifecycle": words[s.State], "weight": s.Weight,
			"startedAtMs": s.StartedAt.Milliseconds()})
	}
	b, err := json.Marshal(map[string]any{"generation": generation, "reset": full, "instances": list})
	if err != nil {
		panic(fmt.Sprint("test list: ", err))
	}
	return string(b)
}

// awaitEndBeforeCleanup waits until the node has ended. It puts a result back for the wait of the clean-up.
func (r *runningNode) awaitEndBeforeCleanup(t *testing.T) {
	t.Helper()
	r.awaitEnd(t)
	r.done <- nil
}

// awaitLog waits until a line with the message is logged.
func (r *runningNode) awaitLog(t *testing.T, message string) {
	t.Helper()
	eventually(t, message, func() bool { return r.logs.HasLine(message) })
}

func (r *runningNode) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case err := <-r.done:
		if err != nil {
			t.Fatalf("node ended with error %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("node did not end within testTimeout")
	}
}

// finalMetrics returns the metrics that a node has logged at its end.
func (r *runningNode) finalMetrics(t *testing.T) map[string]int {
	t.Helper()
	_, text, ok := strings.Cut(r.logs.String(), " msg=drained ")
	if !ok {
		t.Fatalf("log has no line with the final metrics:\n%s", r.logs)
	}
	text, _, _ = strings.Cut(text, "\n")
	figures := map[string]int{}
	for _, f := range strings.Fields(text) {
		f, ok := strings.CutPrefix(f, metricsKey+".")
		if !ok {
			continue // the node's name
		}
		name, val, _ := strings.Cut(f, "=")
		n, err := strconv.Atoi(val)
		if err != nil {
			t.Fatalf("metric %q: %v", f, err)
		}
		figures[name] = n
	}
	return figures
}

func awaitRefused(t *testing.T, addr string) {
	t.Helper()
	eventually(t, "listener closed", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
}

func wantEOF(t *testing.T, what string, c *client) {
	t.Helper()
	if _, err := c.br.ReadByte(); err == nil {
		t.Errorf("%s: received data, want a closed connection", what)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("%s: connection is still open, want it closed", what)
	}
}

// newBlockingServer returns an app server that blocks each request whose target contains "hold": it sends to blocked
// when it has received the request, and answers it once release is closed.
func newBlockingServer(t *testing.T) (app *appServer, blocked, release chan bool) {
	release, blocked = make(chan bool), make(chan bool, 1)
	return newAppServer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if strings.Contains(r.RequestURI, "hold") {
			blocked <- true
			<-release
		}
		return respondWith(okAnswer)(c, r, body)
	}), blocked, release
}

// wantClosed waits until the peer has closed or reset the connection.
func wantClosed(t *testing.T, c net.Conn) {
	t.Helper()
	eventually(t, "connection closed by the node", func() bool {
		raw, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			return true
		}
		closed := false
		err = raw.Control(func(fd uintptr) {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			closed = err == nil && n == 0 || err == syscall.ECONNRESET
		})
		return err != nil || closed
	})
}

// freeAddr returns a TCP address on which nothing listens.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return addrOf(ln)
}

// callAdmin makes an administration call and returns the status and body of the response.
func callAdmin(t *testing.T, method string, addr netip.AddrPort, path string) (int, string) {
	t.Helper()
	a := dial(t, addr.String()).do(method + " " + path + " HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n")
	return a.status, a.body
}

// hasMetric returns a function that reports whether the metrics of a node contain a line.
func hasMetric(t *testing.T, at netip.AddrPort, line string) func() bool {
	return func() bool {
		_, text := callAdmin(t, "GET", at, adminCountersPath)
		return strings.Contains("\n"+text, "\n"+line+"\n")
	}
}

// runNodeWithAdmin runs a node with one app server and an administration address, which it returns.
func runNodeWithAdmin(
	t *testing.T, serve func(net.Conn, *http.Request, []byte) bool, change func(*Config),
) (*runningNode, netip.AddrPort) {
	t.Helper()
	cfg := testConfig(newAppServer(t, serve).instance("a"))
	cfg.AdminListen = freeAddr(t)
	if change != nil {
		change(cfg)
	}
	n := runNode(t, cfg)
	eventually(t, "ready", func() bool {
		c, err := net.Dial("tcp", cfg.AdminListen.String())
		if err == nil {
			c.Close()
		}
		return err == nil && n.logs.HasLine("ready")
	})
	return n, cfg.AdminListen
}
