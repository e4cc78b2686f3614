package edgeproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// startDiscovery starts a discovery agent and returns its address. It calls script for each watch, with the number of
// the watch and the generation from which it starts, to write the response.
func startDiscovery(t *testing.T, script func(n int, from string, w io.Writer, ctx context.Context)) netip.AddrPort {
	t.Helper()
	var calls atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/registry/instances" || r.URL.Query().Get("watch") != "1" {
			t.Errorf("unexpected request to the discovery agent: %s", r.URL)
		}
		w.WriteHeader(200)
		w.(http.Flusher).Flush()
		script(int(calls.Add(1)), r.URL.Query().Get("from"), flushingWriter{w}, r.Context())
	}))
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// flushingWriter flushes the response after each write.
type flushingWriter struct{ http.ResponseWriter }

func (f flushingWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	f.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

// watchScriptedAgent starts an agent that responds by script and a watcher of its list. It returns channels with the
// lists received and the generations from which the watches start.
func watchScriptedAgent(
	t *testing.T, silenceTimeout time.Duration, script func(n int, w io.Writer, ctx context.Context),
) (lists chan List, startGenerations chan string) {
	t.Helper()
	lists, startGenerations = make(chan List, 10), make(chan string, 100)
	addr := startDiscovery(t, func(n int, from string, w io.Writer, ctx context.Context) {
		startGenerations <- from
		script(n, w, ctx)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	r := &discovery.Watcher{Addr: addr, SilenceTimeout: silenceTimeout, LastGeneration: 7,
		OnList: func(l List) { lists <- l }, Logger: logging.New(t.Output())}
	go func() {
		r.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return lists, startGenerations
}

// A watch starts from the generation of the latest list, also after a reconnect.
func TestWatchResumes(t *testing.T) {
	a := Instance{Server: policy.Server{ID: "a", Zone: "z", Kind: "k", Cell: 3, Weight: 1.5, StartedAt: 5 * time.Second,
		State: policy.Draining}, Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	lists, startGenerations := watchScriptedAgent(t, testTimeout, func(n int, w io.Writer, ctx context.Context) {
		if n > 1 {
			<-ctx.Done()
			return
		}
		fmt.Fprintf(w, "\n%s\n\n", listJSON(8, true, a))
		fmt.Fprintf(w, "%s\n", listJSON(9, false))
	})
	if l := <-lists; !l.IsComplete || len(l.Servers) != 1 || l.Servers[0] != a {
		t.Errorf("first list %+v, want a complete one with %+v", l, a)
	}
	if l := <-lists; l.IsComplete || l.Generation != 9 {
		t.Errorf("second list %+v, want a delta of generation 9", l)
	}
	if first, second := <-startGenerations, <-startGenerations; first != "7" || second != "9" {
		t.Errorf("watches from generations %s and %s, want 7 and 9", first, second)
	}
}

// A watch can fail with its connection still open: it is reopened after the silence timeout.
func TestSilentWatchIsReopened(t *testing.T) {
	_, startGenerations := watchScriptedAgent(t, 100*time.Millisecond,
		func(n int, w io.Writer, ctx context.Context) { <-ctx.Done() })
	<-startGenerations
	<-startGenerations
}

// The content of a malformed line is lost, so the complete list is requested.
func TestMalformedListIsRequestedAgain(t *testing.T) {
	_, startGenerations := watchScriptedAgent(t, testTimeout, func(n int, w io.Writer, ctx context.Context) {
		if n == 1 {
			io.WriteString(w, `{"generation":8,"instances":[{"instanceId":"a",`+"\n")
			return
		}
		<-ctx.Done()
	})
	if first, second := <-startGenerations, <-startGenerations; first != "7" || second != "0" {
		t.Errorf("watches from generations %s and %s, want 7 and 0", first, second)
	}
}

// Invalid entries are skipped without affecting the rest of the list, and don't cause the list to be requested again
// forever.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	good := Instance{Server: policy.Server{ID: "good", State: policy.Up}, Addr: netip.MustParseAddrPort("127.0.0.1:9")}
	text := listJSON(8, true, good)
	for _, entry := range []string{`{}`, `7`, `{"instanceId":"a","lifecycle":"odd","hostPort":"127.0.0.1:1"}`,
		`{"instanceId":"a","lifecycle":"up","hostPort":"nowhere"}`,
		`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","weight":"x"}`,
		`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","weight":-1}`,
		`{"instanceId":"a","lifecycle":"up","hostPort":"127.0.0.1:1","startedAtMs":1e300}`} {
		text = strings.Replace(text, "[", "["+entry+",", 1)
	}
	lists, startGenerations := watchScriptedAgent(t, testTimeout, func(n int, w io.Writer, ctx context.Context) {
		fmt.Fprintf(w, "%s\n%s\n", text, listJSON(9, false))
		<-ctx.Done()
	})
	if l := <-lists; !l.IsComplete || len(l.Servers) != 1 || l.Servers[0] != good {
		t.Errorf("first list %+v, want a complete one with the valid entry alone", l)
	}
	if l := <-lists; l.Generation != 9 { // on the same watch
		t.Errorf("second list %+v, want generation 9", l)
	}
	if len(startGenerations) != 1 {
		t.Errorf("%d watches, want 1", len(startGenerations))
	}
}

// A new process uses the agent's list from its first request on: no request is sent by a saved list that contradicts
// it. The saved generation may be that of another agent, so the complete list is requested.
func TestAgentListPrecedesFirstRequest(t *testing.T) {
	a, b := newAppServer(t, respondWith(okAnswer)), newAppServer(t, respondWith(okAnswer))
	called, release := make(chan string, 10), make(chan struct{})
	cfg := testConfig(a.instance("a"), b.instance("b"))
	cfg.firstListTimeout = testTimeout
	cfg.Discovery = startDiscovery(t, func(n int, from string, w io.Writer, ctx context.Context) {
		called <- from
		<-release
		drains := a.instance("a")
		drains.State = policy.Draining
		fmt.Fprintln(w, listJSON(3, true, drains, b.instance("b")))
		<-ctx.Done()
	})
	n := runNode(t, cfg)
	if from := <-called; from != "0" {
		t.Errorf("first watch from generation %s, want 0 for the complete list", from)
	}
	clients := make([]*client, 2)
	for i := range clients {
		clients[i] = dial(t, n.addr)
		clients[i].send(request("check", fmt.Sprint("r", i)))
	}
	time.Sleep(50 * time.Millisecond) // a node that doesn't wait has forwarded them by then
	close(release)
	for _, c := range clients {
		if r := c.read(); r.status != 200 {
			t.Errorf("status %d, want 200", r.status)
		}
	}
	if sent := a.requests(); len(sent) != 0 {
		t.Errorf("%d requests were sent to a server that the agent's list has as draining, want 0", len(sent))
	}
}

// The node starts to serve after firstListTimeout even if the agent does not answer.
func TestUnresponsiveAgentAtStart(t *testing.T) {
	app := newAppServer(t, respondWith(okAnswer))
	cfg := testConfig(app.instance("a"))
	cfg.firstListTimeout = 20 * time.Millisecond
	cfg.Discovery = startDiscovery(t, func(_ int, _ string, _ io.Writer, ctx context.Context) { <-ctx.Done() })
	if r := dial(t, runNode(t, cfg).addr).do(request("check", "x")); r.status != 200 {
		t.Errorf("status %d, want 200", r.status)
	}
}

// Server selection uses the lists from discovery.
func TestWatchMovesTraffic(t *testing.T) {
	old, replacement := newAppServer(t, respondWith(okAnswer)), newAppServer(t, respondWith(okAnswer))
	cfg := testConfig(old.instance("a"))
	cfg.Discovery = startDiscovery(t, func(n int, _ string, w io.Writer, ctx context.Context) {
		fmt.Fprintf(w, "%s\n", listJSON(8, true, replacement.instance("b")))
		<-ctx.Done()
	})
	c := requestUntilServedBy(t, runNode(t, cfg), replacement)
	before := len(old.requests())
	c.do(request("check", "last"))
	if len(old.requests()) != before {
		t.Error("a request was sent to a server that is no longer listed")
	}
}

// staticAgent is an agent that sends the same list to each watch.
type staticAgent struct {
	addr             netip.AddrPort
	startGenerations chan string   // generation from which each watch starts
	watchClosed      chan struct{} // closed once the node has closed a watch
}

func newStaticAgent(t *testing.T, generation int, servers ...Instance) *staticAgent {
	t.Helper()
	agent := &staticAgent{startGenerations: make(chan string, 100), watchClosed: make(chan struct{})}
	var closeOnce sync.Once
	agent.addr = startDiscovery(t, func(_ int, from string, w io.Writer, ctx context.Context) {
		agent.startGenerations <- from
		fmt.Fprintf(w, "%s\n", listJSON(generation, true, servers...))
		<-ctx.Done()
		closeOnce.Do(func() { close(agent.watchClosed) })
	})
	return agent
}

// A reload switches to the new agent at once and requests its complete list, because each agent numbers its generations
// by itself. An invalid configuration changes nothing.
func TestReloadMovesTheWatch(t *testing.T) {
	old, replacement := newAppServer(t, respondWith(okAnswer)), newAppServer(t, respondWith(okAnswer))
	first, second := newStaticAgent(t, 900, old.instance("a")), newStaticAgent(t, 3, replacement.instance("b"))
	cfg := testConfig(old.instance("a"))
	cfg.Discovery = first.addr
	rereadErrors := make(chan error, 1)
	cfg.reread = func() (*Config, error) {
		moved := *cfg
		moved.Discovery = second.addr
		return &moved, <-rereadErrors
	}
	n := runNode(t, cfg)
	<-first.startGenerations // otherwise the watch could be switched before the first agent is called
	rereadErrors <- errors.New("discovery: no port")
	n.reload <- syscall.SIGHUP
	eventually(t, "bad configuration logged", func() bool {
		return n.logs.HasLine("reload failed", `error="discovery: no port"`)
	})
	select {
	case <-first.watchClosed:
		t.Fatal("watch of the first agent was closed by a reload of an invalid configuration")
	default:
	}
	rereadErrors <- nil
	n.reload <- syscall.SIGHUP
	<-first.watchClosed
	if !n.logs.HasLine("discovery reloaded", fmt.Sprint("address=", second.addr, " previous_address=", first.addr)) {
		t.Errorf("log has no line for the new discovery address:\n%s", n.logs)
	}
	if from := <-second.startGenerations; from != "0" {
		t.Errorf("watch of the new agent from generation %s, want 0", from)
	}
	requestUntilServedBy(t, n, replacement)
}

// requestUntilServedBy sends requests to a node until a server has received one. It returns the client connection.
func requestUntilServedBy(t *testing.T, n *runningNode, server *appServer) *client {
	t.Helper()
	c, i := dial(t, n.addr), 0
	eventually(t, "new server used", func() bool {
		i++
		c.do(request("check", fmt.Sprint("t", i)))
		return len(server.requests()) > 0
	})
	return c
}

// PROXY_DISCOVERY dates from the start of the process. A reload takes the address from the file, because the watch
// could not be moved otherwise.
func TestReloadReadsDiscoveryFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		t.Helper()
		text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:1","discovery":%q,"seed":"1","settings":{
			"instances":1,"lanes":[{"name":"c","idempotency":"retryable","onTime":0.4,"deadline":2}]}}`, discovery)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_NAME": "n1", "PROXY_DISCOVERY": "127.0.0.1:2"}
	write("127.0.0.1:2")
	cfg, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	write("127.0.0.1:3")
	reread, err := cfg.reread()
	if err != nil || reread.Discovery != netip.MustParseAddrPort("127.0.0.1:3") || reread.Name != "n1" {
		t.Errorf("reread: got %+v, error %v, want the file's discovery and the environment's name", reread, err)
	}
	write("nowhere")
	if _, err := cfg.reread(); err == nil || !strings.Contains(err.Error(), "discovery") {
		t.Errorf("invalid address: error %v, want one that names discovery", err)
	}
}

// The node uses the saved list while discovery is down.
func TestSavedEndpointsServe(t *testing.T) {
	s := newAppServer(t, respondWith(okAnswer))
	n := runNode(t, testConfig(s.instance("a"))) // its discovery refuses connections
	eventually(t, "discovery found down", func() bool { return n.logs.HasLine("discovery watch ended", "error=") })
	if a := dial(t, n.addr).do(request("check", "t1")); a.status != 200 {
		t.Errorf("status %d, want 200", a.status)
	}
}
