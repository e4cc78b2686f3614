package edgeproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Where operators call.
const (
	adminReadyPath        = "/control/ready"
	adminCountersPath     = "/control/counters"
	adminOutOfServicePath = "/control/out-of-service"
	adminInServicePath    = "/control/in-service"

	maxAdminConns     = 12                     // calls under way at once; one more closes the one that can best be spared
	adminReadTimeout  = 800 * time.Millisecond // for a call's head; who takes longer is not answered
	adminWriteTimeout = 2 * time.Second
)

// metrics are what operators read: requests by class and outcome since the start.
type metrics struct {
	mu             sync.Mutex
	classes        []string // sorted
	outcomes       map[string]*outcomeCounts
	inFlight       int   // requests taken and not yet ended
	sentAttempts   int64 // attempts written whole
	sentAfterLeave int64 // of these, such as were written for a client that was known to have left
}

// outcomeCounts counts the final answers that one class's requests had.
type outcomeCounts struct{ served, rejected, failed int64 }

func newMetrics(classes []string) *metrics {
	c := &metrics{classes: append([]string(nil), classes...), outcomes: map[string]*outcomeCounts{}}
	sort.Strings(c.classes)
	for _, name := range c.classes {
		c.outcomes[name] = &outcomeCounts{}
	}
	return c
}

// requestStarted counts a request that has come whole.
func (c *metrics) requestStarted() {
	c.mu.Lock()
	c.inFlight++
	c.mu.Unlock()
}

// requestEnded counts a request as ended, once its last byte is written or its client has gone.
func (c *metrics) requestEnded(class string, kind answerKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	switch o := c.outcomes[class]; kind {
	case answerServed:
		o.served++
	case answerRejected:
		o.rejected++
	default:
		o.failed++
	}
}

// attemptSent counts an attempt whose last byte is written, and whether its client had left by then.
func (c *metrics) attemptSent(left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sentAttempts++; left {
		c.sentAfterLeave++
	}
}

// text words the figures, one a line.
func (c *metrics) text(size, unhealthy int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, name := range c.classes {
		o := c.outcomes[name]
		fmt.Fprintf(&b, "app.answered.%s=%d\napp.deferred.%s=%d\napp.errored.%s=%d\n",
			name, o.served, name, o.rejected, name, o.failed)
	}
	fmt.Fprintf(&b, "app.sends=%d\napp.sends_after_leave=%d\napp.current=%d\napp.cluster_size=%d\napp.cluster_unhealthy=%d\n",
		c.sentAttempts, c.sentAfterLeave, c.inFlight, size, unhealthy)
	return b.String()
}

// adminServer answers operators' calls on an address of its own, one a connection. The
// calls have few descriptors of their own and take none from clients; nor does a
// crowd of clients keep a call waiting.
type adminServer struct {
	clients    *clientServer
	isReady    func() bool // whether this process is ready to serve
	httpServer *http.Server
}

func newAdminServer(f *clientServer, ready func() bool) *adminServer {
	m := &adminServer{clients: f, isReady: ready}
	m.httpServer = &http.Server{
		Handler:           m,
		ReadHeaderTimeout: adminReadTimeout,
		ReadTimeout:       adminReadTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    8 << 10,
		ConnContext:       withClientConn,
		ErrorLog:          f.node.log,
	}
	m.httpServer.SetKeepAlivesEnabled(false)
	return m
}

// serve answers calls until close.
func (m *adminServer) serve(ln net.Listener) error {
	l := &limitedListener{Listener: ln, limiter: newConnectionLimiter(maxAdminConns)}
	l.limiter.evictsOldest = true // a call comes in one piece
	if err := m.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// close ends the calls: those that were taken are answered.
func (m *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminReadTimeout)
	defer cancel()
	if m.httpServer.Shutdown(ctx) != nil {
		m.httpServer.Close()
	}
}

func (m *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	slot := clientConnOf(r)
	slot.setState(stateActive)
	defer slot.setState(stateIdle)
	want, known := map[string]string{adminReadyPath: http.MethodGet, adminCountersPath: http.MethodGet,
		adminOutOfServicePath: http.MethodPost, adminInServicePath: http.MethodPost}[r.URL.Path]
	if known && r.Method != want {
		w.Header().Set("Allow", want)
		writeText(w, http.StatusMethodNotAllowed, "method: the call wants "+want)
		return
	}
	switch r.URL.Path {
	case adminReadyPath:
		if m.isReady() {
			writeText(w, http.StatusOK, "ready")
		} else {
			writeText(w, http.StatusServiceUnavailable, "not ready")
		}
	case adminCountersPath:
		writeText(w, http.StatusOK, strings.TrimSuffix(m.clients.node.metricsText(), "\n"))
	case adminOutOfServicePath:
		m.clients.takeOutOfService()
		writeText(w, http.StatusOK, "out of service: clients' connections end within 2 s")
	case adminInServicePath:
		m.clients.returnToService()
		writeText(w, http.StatusOK, "in service")
	default:
		writeText(w, http.StatusNotFound, "calls: "+strings.Join([]string{adminReadyPath, adminCountersPath, adminOutOfServicePath, adminInServicePath}, ", "))
	}
}
