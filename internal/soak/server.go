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

// traceHeader names a request, to servers as to the program.
const traceHeader = "X-Trace-Id"

// hangingSuffix ends the name of a request that no server answers.
const hangingSuffix = "-hangs"

// appServer is a server that behaves as its plan says, and records what it receives.
type appServer struct {
	index    int
	plan     serverPlan
	records  *records
	listener net.Listener
	server   *http.Server
	isEnding *atomic.Bool // the first signal was sent

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// startServer starts a server and lists it.
func startServer(
	index int, p *Plan, records *records, isEnding *atomic.Bool, discovery *testserver.Discovery,
) (*appServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	s := &appServer{index: index, plan: p.Servers[index], records: records, listener: listener, isEnding: isEnding,
		random: rand.New(rand.NewPCG(p.Seed, uint64(index)+1))}
	s.server = &http.Server{Handler: s, IdleTimeout: s.plan.IdleTimeout}
	go s.server.Serve(listener) // ends with close
	discovery.Put(testserver.Entry{InstanceID: fmt.Sprint("s", index), HostPort: listener.Addr().String(), Zone: "z",
		MachineType: "k", Lifecycle: "up", Weight: 1})
	return s, nil
}

// draw is what happens to one request.
type draw struct {
	latency               time.Duration
	hangs, resets, denied bool
}

func (s *appServer) draw() draw {
	s.mu.Lock()
	defer s.mu.Unlock()
	return draw{
		latency: time.Duration(s.random.Int64N(int64(s.plan.MaxLatency))),
		hangs:   s.random.Float64() < s.plan.Hangs || s.plan.HangsAtEnd && s.isEnding.Load(),
		resets:  s.random.Float64() < s.plan.Resets,
		denied:  s.random.Float64() < s.plan.Rejects,
	}
}

// ServeHTTP answers one request, or not.
func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(traceHeader)
	if id == "" { // a health check
		fmt.Fprint(w, "TEXT queue=0, util=0.10")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil { // only then net/http watches for the connection's end
		return
	}
	a := &attempt{id: id, server: s.index, began: time.Now()}
	s.records.addAttempt(a)
	d := s.draw()
	d.hangs = d.hangs || strings.HasSuffix(id, hangingSuffix)
	if d.denied && !d.hangs {
		s.records.endAttempt(a, true)
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.records.endAttempt(a, false)
	var done <-chan time.Time
	if !d.hangs {
		done = time.After(d.latency)
	}
	select {
	case <-done:
	case <-r.Context().Done():
		return
	}
	if d.resets {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, id)
}

func (s *appServer) close() { s.server.Close() }
