package testserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBodyBytes is how much of a request's body is read.
	maxBodyBytes = 1 << 20
	// defaultQueueTimeout is how long a request waits that does not say when it expires.
	defaultQueueTimeout = 2 * time.Second
	// neverRanHeader marks an answer to a request that had no effect.
	neverRanHeader = "X-Never-Ran"
)

// AppServer is one app server of a site.
type AppServer struct {
	ID        string
	site      *Site
	listener  net.Listener
	server    *http.Server
	startedAt time.Time
	isCold    bool
	cores     chan struct{} // holds a value for each core in use

	mu           sync.Mutex
	waitingCount int
	runningCount int
	drainedAt    time.Time      // when discovery listed it as draining
	received     []receivedWork // within the last CollapseWindow, while cold
	isCollapsed  bool
	busyTime     time.Duration // core time used since lastReportAt
	lastReportAt time.Time
	utilization  float64
}

// ServeHTTP answers a load report or an operation's request.
func (s *AppServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if s.site.isPartitioned.Load() {
		io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)) // so that the library sees the client go
		dropRequest(r)
	}
	if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
		fmt.Fprint(w, s.loadReport(now))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || r.ContentLength >= 0 && int64(len(body)) != r.ContentLength {
		return // it has not come whole
	}
	route := Lookup(s.site.routes, r.Method, r.RequestURI, r.Header)
	if route == nil {
		s.site.ledger.addStray(r.Method + " " + r.RequestURI)
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	x := &exchange{server: s, route: route, w: w, r: r, arrival: s.newArrival(now, route, r, body)}
	x.serve(now)
}

// dropRequest waits until the client gives the request up and ends it without an answer.
func dropRequest(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// newArrival returns the ledger's record of a request.
func (s *AppServer) newArrival(now time.Time, route *Route, r *http.Request, body []byte) *Arrival {
	version, _ := strconv.Atoi(r.Header.Get("X-Mulleinmux-Version"))
	return &Arrival{
		Site: s.site.Name, Server: s.ID, Operation: route.Operation, Effect: route.Effect,
		Trace: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"), Licensee: r.Header.Get("X-Licensee"),
		Version: version, Units: route.Units(version, r, body), At: now,
	}
}

// admission is what a server decides about a request when it arrives.
type admission struct {
	isCollapse  bool // the request made the server collapse
	isQueueFull bool
}

// admit records an arrival and, if there is room, enters it in the queue.
func (s *AppServer) admit(now time.Time, arrival *Arrival, cost time.Duration) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainedAt.IsZero() {
		arrival.Draining = now.Sub(s.drainedAt)
	}
	decision := admission{
		isCollapse:  s.receive(now, cost),
		isQueueFull: s.waitingCount >= s.site.config.MaxQueueLength,
	}
	if !decision.isQueueFull {
		s.waitingCount++
	}
	return decision
}

// leaveQueue takes a request off the queue.
func (s *AppServer) leaveQueue() {
	s.mu.Lock()
	s.waitingCount--
	s.mu.Unlock()
}

// acquireCore waits in the queue for a core and leaves the queue. It reports whether
// there was a core before ctx ended.
func (s *AppServer) acquireCore(ctx context.Context) bool {
	defer s.leaveQueue()
	select {
	case s.cores <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// run uses the acquired core for a time and releases it.
func (s *AppServer) run(cost time.Duration) {
	s.mu.Lock()
	s.runningCount++
	s.mu.Unlock()
	done := time.NewTimer(cost)
	<-done.C
	s.mu.Lock()
	s.runningCount--
	s.busyTime += cost
	s.mu.Unlock()
	<-s.cores
}

// exchange is one operation's request and its answer.
type exchange struct {
	server  *AppServer
	route   *Route
	w       http.ResponseWriter
	r       *http.Request
	arrival *Arrival
	status  atomic.Int64 // end may be called while the answer is written
}

// serve queues, runs and answers the request.
func (x *exchange) serve(now time.Time) {
	s, ledger := x.server, x.server.site.ledger
	decision := s.admit(now, x.arrival, x.route.Work)
	ledger.add(x.arrival)
	defer x.end() // net/http writes a short answer when the handler returns
	// The gateway may give it up first, by closing the connection.
	defer context.AfterFunc(x.r.Context(), x.end)()
	if decision.isCollapse {
		ledger.addCollapsed(s.site.Name + "/" + s.ID)
		go s.server.Close()
		panic(http.ErrAbortHandler)
	}
	draws := s.site.nextDraws(x.arrival.Trace)
	if decision.isQueueFull {
		x.refuse(http.StatusServiceUnavailable)
		return
	}
	if draws.isHit(drawRefuse, s.site.config.Faults.Refuse) {
		s.leaveQueue()
		x.refuse(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), queueTimeout(x.r))
	defer cancel()
	if !s.acquireCore(ctx) {
		x.refuse(http.StatusGatewayTimeout)
		return
	}
	ledger.change(func() { x.arrival.Ran = true })
	s.run(time.Duration(x.route.Work.Seconds() / s.capacity(now) * float64(time.Second)))
	x.applyEffect(draws)
	x.answer(draws)
}

// queueTimeout returns how long a request may wait for a core.
func queueTimeout(r *http.Request) time.Duration {
	seconds, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64)
	if err != nil {
		return defaultQueueTimeout
	}
	return time.Duration(seconds * float64(time.Second))
}

// end records in the ledger that the exchange is over, once.
func (x *exchange) end() {
	x.server.site.ledger.change(func() {
		if x.arrival.Ended.IsZero() {
			x.arrival.Ended, x.arrival.Status = time.Now(), int(x.status.Load())
		}
	})
}

// refuse answers that the request did not run.
func (x *exchange) refuse(status int) {
	x.status.Store(int64(status))
	x.w.Header().Set(neverRanHeader, "1")
	x.w.WriteHeader(status)
}

// applyEffect gives the request its effect, unless a fault prevents it or its
// idempotency key is remembered.
func (x *exchange) applyEffect(draws faultDraws) {
	site := x.server.site
	if draws.isHit(drawErrorWithoutRun, site.config.Faults.ErrorWithoutRun) {
		return
	}
	effected := x.route.Effect != effectKeyed || site.rememberKey(x.arrival.Key, time.Now())
	site.ledger.change(func() { x.arrival.Effected = effected })
}

// answer writes the answer of a request that ran, or the fault that was drawn.
func (x *exchange) answer(draws faultDraws) {
	faults := &x.server.site.config.Faults
	switch {
	case x.server.site.isPartitioned.Load():
		dropRequest(x.r)
	case draws.isHit(drawErrorWithoutRun, faults.ErrorWithoutRun), draws.isHit(drawError, faults.Error):
		x.status.Store(http.StatusInternalServerError)
		http.Error(x.w, "fault", http.StatusInternalServerError)
	case draws.isHit(drawReset, faults.Reset):
		panic(http.ErrAbortHandler)
	case draws.isHit(drawNoAnswer, faults.NoAnswer):
		<-x.r.Context().Done()
	default:
		x.succeed()
	}
}

// succeed writes the answer of an operation that worked.
func (x *exchange) succeed() {
	if x.r.Method == http.MethodDelete {
		x.status.Store(http.StatusNoContent)
		x.w.WriteHeader(http.StatusNoContent)
		return
	}
	x.status.Store(http.StatusOK)
	x.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(x.w).Encode(map[string]any{
		"operation": x.route.Operation, "trace": x.arrival.Trace, "hall": x.server.site.Name,
	})
}
