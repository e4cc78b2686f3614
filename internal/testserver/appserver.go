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
	// defaultQueueTimeout is how long a request without an expiry time waits in the queue.
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
func (server *AppServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if server.site.isPartitioned.Load() {
		// net/http notices a closed connection only once the body has been read.
		io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes))
		dropRequest(r)
	}
	if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
		fmt.Fprint(w, server.loadReport(now))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || r.ContentLength >= 0 && int64(len(body)) != r.ContentLength {
		return // the request did not arrive in full
	}
	route := Lookup(server.site.routes, r.Method, r.RequestURI, r.Header)
	if route == nil {
		server.site.ledger.addUnmatched(r.Method + " " + r.RequestURI)
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	exchange := &exchange{
		server:   server,
		route:    route,
		response: w,
		request:  r,
		arrival:  server.newArrival(now, route, r, body),
	}
	exchange.serve(now)
}

// dropRequest waits until the client abandons the request, then ends it without an answer.
func dropRequest(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// newArrival returns the ledger's record of a request.
func (server *AppServer) newArrival(now time.Time, route *Route, r *http.Request, body []byte) *Arrival {
	version, _ := strconv.Atoi(r.Header.Get("X-Mulleinmux-Version"))
	return &Arrival{
		Site:      server.site.Name,
		Server:    server.ID,
		Operation: route.Operation,
		Effect:    route.Effect,
		Trace:     r.Header.Get("X-Trace-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Licensee:  r.Header.Get("X-Licensee"),
		Version:   version,
		Units:     route.Units(version, r, body),
		At:        now,
	}
}

// admission is a server's decision about a request on its arrival.
type admission struct {
	isCollapse  bool // the request made the server collapse
	isQueueFull bool
}

// admit records an arrival and, if there is room, enters it in the queue.
func (server *AppServer) admit(now time.Time, arrival *Arrival, cost time.Duration) admission {
	server.mu.Lock()
	defer server.mu.Unlock()
	if !server.drainedAt.IsZero() {
		arrival.DrainingFor = now.Sub(server.drainedAt)
	}
	decision := admission{
		isCollapse:  server.receive(now, cost),
		isQueueFull: server.waitingCount >= server.site.config.MaxQueueLength,
	}
	if !decision.isQueueFull {
		server.waitingCount++
	}
	return decision
}

// leaveQueue removes a request from the queue.
func (server *AppServer) leaveQueue() {
	server.mu.Lock()
	server.waitingCount--
	server.mu.Unlock()
}

// acquireCore waits in the queue for a core and leaves the queue. It reports whether
// a core became free before ctx ended.
func (server *AppServer) acquireCore(ctx context.Context) bool {
	defer server.leaveQueue()
	select {
	case server.cores <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// run occupies the acquired core for the cost's duration and releases it.
func (server *AppServer) run(cost time.Duration) {
	server.mu.Lock()
	server.runningCount++
	server.mu.Unlock()
	done := time.NewTimer(cost)
	<-done.C
	server.mu.Lock()
	server.runningCount--
	server.busyTime += cost
	server.mu.Unlock()
	<-server.cores
}

// exchange is one operation's request and its answer.
type exchange struct {
	server   *AppServer
	route    *Route
	response http.ResponseWriter
	request  *http.Request
	arrival  *Arrival
	status   atomic.Int64 // atomic, as end may be called while the answer is written
}

// serve queues, runs and answers the request.
func (exchange *exchange) serve(now time.Time) {
	server := exchange.server
	ledger := server.site.ledger
	decision := server.admit(now, exchange.arrival, exchange.route.Work)
	ledger.add(exchange.arrival)
	defer exchange.end() // net/http writes a short answer when the handler returns
	// The gateway may abandon the request first, by closing the connection.
	defer context.AfterFunc(exchange.request.Context(), exchange.end)()
	if decision.isCollapse {
		ledger.addCollapsed(server.site.Name + "/" + server.ID)
		go server.server.Close()
		panic(http.ErrAbortHandler)
	}
	draws := server.site.nextDraws(exchange.arrival.Trace)
	if decision.isQueueFull {
		exchange.reject(http.StatusServiceUnavailable)
		return
	}
	if draws.isHit(drawReject, server.site.config.Faults.Reject) {
		server.leaveQueue()
		exchange.reject(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(exchange.request.Context(), queueTimeout(exchange.request))
	defer cancel()
	if !server.acquireCore(ctx) {
		exchange.reject(http.StatusGatewayTimeout)
		return
	}
	ledger.updateArrival(func() { exchange.arrival.Ran = true })
	server.run(time.Duration(exchange.route.Work.Seconds() / server.capacity(now) * float64(time.Second)))
	exchange.applyEffect(draws)
	exchange.answer(draws)
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
func (exchange *exchange) end() {
	exchange.server.site.ledger.updateArrival(func() {
		if !exchange.arrival.Ended.IsZero() {
			return
		}
		exchange.arrival.Ended = time.Now()
		exchange.arrival.Status = int(exchange.status.Load())
	})
}

// reject answers that the request did not run.
func (exchange *exchange) reject(status int) {
	exchange.status.Store(int64(status))
	exchange.response.Header().Set(neverRanHeader, "1")
	exchange.response.WriteHeader(status)
}

// applyEffect gives the request its effect, unless a fault prevents it or its
// idempotency key is remembered.
func (exchange *exchange) applyEffect(draws faultDraws) {
	site := exchange.server.site
	if draws.isHit(drawErrorWithoutRun, site.config.Faults.ErrorWithoutRun) {
		return
	}
	effected := exchange.route.Effect != IdempotentWithKey || site.rememberKey(exchange.arrival.Key, time.Now())
	site.ledger.updateArrival(func() { exchange.arrival.HadEffect = effected })
}

// answer writes the answer of a request that ran, or the fault that was drawn.
func (exchange *exchange) answer(draws faultDraws) {
	faults := &exchange.server.site.config.Faults
	switch {
	case exchange.server.site.isPartitioned.Load():
		dropRequest(exchange.request)
	case draws.isHit(drawErrorWithoutRun, faults.ErrorWithoutRun), draws.isHit(drawError, faults.Error):
		exchange.status.Store(http.StatusInternalServerError)
		http.Error(exchange.response, "fault", http.StatusInternalServerError)
	case draws.isHit(drawReset, faults.Reset):
		panic(http.ErrAbortHandler)
	case draws.isHit(drawNoAnswer, faults.NoAnswer):
		<-exchange.request.Context().Done()
	default:
		exchange.succeed()
	}
}

// succeed writes the answer of an operation that worked.
func (exchange *exchange) succeed() {
	if exchange.request.Method == http.MethodDelete {
		exchange.status.Store(http.StatusNoContent)
		exchange.response.WriteHeader(http.StatusNoContent)
		return
	}
	exchange.status.Store(http.StatusOK)
	exchange.response.Header().Set("Content-Type", "application/json")
	json.NewEncoder(exchange.response).Encode(map[string]any{
		"operation": exchange.route.Operation, "trace": exchange.arrival.Trace, "hall": exchange.server.site.Name,
	})
}
