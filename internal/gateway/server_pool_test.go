package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/serverpool/conntable"
	"mulleinmux/policy"
)

// poolServer is a TCP server that passes each request to a function. The function reports whether the connection stays
// open; if not, the connection is reset.
type poolServer struct {
	ln           net.Listener
	goroutines   sync.WaitGroup
	requestCount atomic.Int64
	connCount    atomic.Int64 // accepted connections
}

func startPoolServer(t *testing.T, serve func(c net.Conn, r *http.Request) bool) *poolServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &poolServer{ln: ln}
	s.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.connCount.Add(1)
			s.goroutines.Go(func() { s.serveConn(c, serve) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		s.goroutines.Wait()
	})
	return s
}

func (s *poolServer) serveConn(c net.Conn, serve func(c net.Conn, r *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requestCount.Add(1)
		if !serve(c, r) {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (s *poolServer) endpoint(id string) discovery.Endpoint {
	return discovery.Endpoint{
		Server: policy.Server{ID: id, State: policy.Up},
		Addr:   s.ln.Addr().(*net.TCPAddr).AddrPort(),
	}
}

func respondOK(c net.Conn, _ *http.Request) bool {
	_, err := io.WriteString(c, responseText(http.StatusOK, "", "ok"))
	return err == nil
}

// testClock is a clock that only moves when it is advanced.
type testClock struct {
	start   time.Time
	elapsed atomic.Int64 // nanoseconds
}

func newTestClock() *testClock { return &testClock{start: time.Now()} }

func (c *testClock) now() time.Time { return c.start.Add(time.Duration(c.elapsed.Load())) }

func (c *testClock) advance(d time.Duration) { c.elapsed.Add(int64(d)) }

func newTestPool(t *testing.T, options serverPoolOptions, servers ...discovery.Endpoint) *serverPool {
	t.Helper()
	cfg := &Config{ConnectTimeout: 5 * time.Second, ServerIdleTimeout: time.Minute, MaxServerConns: 100}
	pool := newServerPool(cfg, options)
	pool.UpdateEndpoints(servers, policy.EndpointsComplete).Close()
	t.Cleanup(pool.Close)
	return pool
}

// runExchange sends a request for a path to a server. If beforeWrite is set, it is called before the first byte is
// written.
func runExchange(t *testing.T, pool *serverPool, server, path string, beforeWrite func()) policy.Result {
	t.Helper()
	var resp response
	request := exchangeRequest{
		server: server,
		limits: untilDeadline(time.Now().Add(testTimeout)),
		append: func(b []byte) []byte {
			if beforeWrite != nil {
				beforeWrite()
			}
			return append(b, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"...)
		},
	}
	return pool.exchange(context.Background(), &attemptControl{}, request, &resp)
}

func wantResult(t *testing.T, got, want policy.Result) {
	t.Helper()
	if got != want {
		t.Errorf("exchange result: got %v, want %v", got, want)
	}
}

func wantOpenConns(t *testing.T, pool *serverPool, want int) {
	t.Helper()
	if got := pool.Snapshot().OpenCount; got != want {
		t.Errorf("open connections in the pool: got %d, want %d", got, want)
	}
}

// If a server closes idle connections earlier than configured, the gateway notices only when a request on such a
// connection is reset, and that request may have run. After the first such reset, idle connections to the server are
// kept for a shorter time. A reset after the server has begun the request, or on a connection used shortly before, does
// not change that time.
func TestStaleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		idleTime, work      time.Duration // idle time before the request, and time from the request to the reset
		response            string        // part of the response that is sent before the reset
		shortensIdleTimeout bool
	}{
		"stale":              {10 * conntable.MinIdleTimeout, 0, "", true},
		"just used":          {0, 0, "", false},
		"server at work":     {10 * conntable.MinIdleTimeout, 2 * conntable.StaleResetWindow, "", false},
		"idle for little":    {conntable.MinIdleTimeout / 2, 0, "", false},
		"response has begun": {10 * conntable.MinIdleTimeout, 0, "HTTP/1.1 200 OK\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			server := startPoolServer(t, func(conn net.Conn, r *http.Request) bool {
				if r.URL.Path == "/fine" {
					return respondOK(conn, r)
				}
				time.Sleep(c.work)
				io.WriteString(conn, c.response)
				return false
			})
			clock := newTestClock()
			pool := newTestPool(t, serverPoolOptions{now: clock.now}, server.endpoint("a"))
			wantResult(t, runExchange(t, pool, "a", "/fine", nil), policy.OK)
			clock.advance(c.idleTime)
			wantResult(t, runExchange(t, pool, "a", "/reset", nil), policy.ConnectionReset)
			wantResult(t, runExchange(t, pool, "a", "/fine", nil), policy.OK)
			before := server.connCount.Load()
			clock.advance(c.idleTime)
			wantResult(t, runExchange(t, pool, "a", "/fine", nil), policy.OK)
			if isNew := server.connCount.Load() != before; isNew != c.shortensIdleTimeout {
				t.Errorf("connection idle for as long as the reset one: got replaced %v, want %v", isNew, c.shortensIdleTimeout)
			}
			wantOpenConns(t, pool, 1)
		})
	}
}

// Idle connections to servers outside the instance's subset are closed after OutsideSubsetIdleTimeout. Those to servers
// in the subset, or without a subset, are kept.
func TestIdleConnectionsOutsideSubset(t *testing.T) {
	near, far := startPoolServer(t, respondOK), startPoolServer(t, respondOK)
	clock := newTestClock()
	var subset map[string]bool
	options := serverPoolOptions{now: clock.now, subsetServers: func() map[string]bool { return subset }}
	pool := newTestPool(t, options, near.endpoint("near"), far.endpoint("far"))
	for _, id := range []string{"near", "far"} {
		wantResult(t, runExchange(t, pool, id, "/", nil), policy.OK)
	}
	clock.advance(conntable.OutsideSubsetIdleTimeout)
	pool.Prune()
	wantOpenConns(t, pool, 2)
	subset = map[string]bool{"near": true}
	pool.Prune()
	wantOpenConns(t, pool, 1)
	if servers := pool.Snapshot().Servers; len(servers["near"].Idle) != 1 || len(servers["far"].Idle) != 0 {
		t.Errorf("idle connections: got %+v, want one to near and none to far", servers)
	}
}

// An instance's pool uses the subset that its engine selects. With many servers and instances, connections that have
// been idle for OutsideSubsetIdleTimeout are closed if their server is outside the subset, and kept otherwise.
func TestInstancePrunesBySubset(t *testing.T) {
	const serverCount, instanceCount = 100, 20
	server := startPoolServer(t, respondOK)
	settings := testSettings()
	settings.InstanceCount = instanceCount
	cfg := &Config{Name: "g", Settings: settings, Classes: testClasses(),
		peerConn: &net.UDPConn{}} // not used, because the instance does not run
	table, _ := testTable(t, description)
	in, err := newInstance(t.Context(), cfg, cfg.Setup(1, table, nil), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.close)
	t.Cleanup(in.servers.Close)
	in.host.handleEvent(in.host.engine.Start)
	list := discovery.EndpointList{IsComplete: true}
	for i := range serverCount {
		list.Servers = append(list.Servers, server.endpoint(fmt.Sprint("s", i)))
	}
	in.host.handleEvent(func(now time.Duration, out policy.Actions) { in.applyEndpoints(now, "site-a", list, out) })
	subset := in.host.subsetServers()
	if len(subset) == 0 || len(subset) == serverCount {
		t.Fatalf("subset: got %d of %d servers, want some but not all", len(subset), serverCount)
	}
	in.healthChecks.Wait()
	in.servers.CloseIdle()
	for id := range in.servers.Snapshot().Servers {
		wantResult(t, runExchange(t, in.servers, id, "/", nil), policy.OK)
	}
	wantOpenConns(t, in.servers, serverCount)
	time.Sleep(conntable.OutsideSubsetIdleTimeout)
	in.servers.Prune()
	wantOpenConns(t, in.servers, len(subset))
}
