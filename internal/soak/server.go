package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/testserver"
)

// traceHeader is the header with a request's ID, which the program forwards to servers.
const traceHeader = "X-Trace-Id"

// hangingSuffix marks the ID of a request that no server responds to.
const hangingSuffix = "-hangs"

// appServer is a test server that behaves as its plan says and records the attempts that it receives.
type appServer struct {
	index       int
	plan        serverPlan
	records     *records
	listener    net.Listener
	server      *http.Server
	sigtermSent *atomic.Bool // a process has received the first SIGTERM

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// startServer starts a server and adds it to the service discovery.
func startServer(
	index int, p *Plan, records *records, sigtermSent *atomic.Bool, discovery *testserver.Discovery,
) (*appServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: opening the socket of a server: %w", err)
	}
	s := &appServer{index: index, plan: p.Servers[index], records: records, listener: listener, sigtermSent: sigtermSent,
		random: rand.New(rand.NewPCG(p.Seed, uint64(index)+1))}
	s.server = &http.Server{Handler: s, IdleTimeout: s.plan.IdleTimeout}
	go s.server.Serve(listener) // returns once close is called
	discovery.Put(s.entry("up"))
	return s, nil
}

// entry returns the server's entry in the endpoint list.
func (s *appServer) entry(lifecycle string) testserver.Entry {
	return testserver.Entry{InstanceID: fmt.Sprint("s", s.index), HostPort: s.listener.Addr().String(), Zone: "z",
		MachineType: "k", Lifecycle: lifecycle, Weight: 1}
}

// behavior is how a server treats one request.
type behavior struct {
	latency                time.Duration
	hangs, resets, rejects bool
}

// drawBehavior draws the behavior for the next request.
func (s *appServer) drawBehavior() behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return behavior{
		latency: time.Duration(s.random.Int64N(int64(s.plan.MaxLatency))),
		hangs:   s.random.Float64() < s.plan.Hangs || s.plan.HangsAtEnd && s.sigtermSent.Load(),
		resets:  s.random.Float64() < s.plan.Resets,
		rejects: s.random.Float64() < s.plan.Rejects,
	}
}

// ServeHTTP handles one request as the plan says: it responds, rejects, resets the connection, or does not respond.
func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(traceHeader)
	if id == "" { // a health check
		fmt.Fprint(w, "TEXT queue=0, util=0.10")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil { // net/http detects a disconnect only after reading the body
		return
	}
	a := &attempt{id: id, server: s.index, began: time.Now()}
	s.records.addAttempt(a)
	b := s.drawBehavior()
	b.hangs = b.hangs || strings.HasSuffix(id, hangingSuffix)
	if b.rejects && !b.hangs {
		s.records.endAttempt(a, true)
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.records.endAttempt(a, false)
	var done <-chan time.Time
	if !b.hangs {
		done = time.After(b.latency)
	}
	select {
	case <-done:
	case <-r.Context().Done():
		return
	}
	if b.resets {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, id)
}

func (s *appServer) close() { s.server.Close() }
