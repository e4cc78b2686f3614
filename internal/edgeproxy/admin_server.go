package edgeproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"mulleinmux/internal/graceful"
	"mulleinmux/internal/logging"
)

// Paths and limits of the administration calls.
const (
	adminReadyPath        = "/control/ready"
	adminCountersPath     = "/control/counters"
	adminOutOfServicePath = "/control/out-of-service"
	adminInServicePath    = "/control/in-service"

	maxAdminConns       = 12                     // concurrent calls; one more evicts the oldest connection
	adminReadTimeout    = 800 * time.Millisecond // for the head of a call; a slower call gets no response
	adminWriteTimeout   = 2 * time.Second
	maxAdminHeaderBytes = 8 << 10
)

// adminMethods maps the path of each call to its HTTP method.
var adminMethods = map[string]string{
	adminReadyPath:        http.MethodGet,
	adminCountersPath:     http.MethodGet,
	adminOutOfServicePath: http.MethodPost,
	adminInServicePath:    http.MethodPost,
}

// adminServer serves the administration calls on a separate address, one call per connection. Its connections have a
// limit of their own: they take no descriptors from clients, and a large number of clients doesn't delay them.
type adminServer struct {
	clients    *clientServer
	isReady    func() bool // reports whether this process is ready to serve
	httpServer *http.Server
}

// newAdminServer returns an administration server for clients; isReady reports whether the process is ready to serve.
func newAdminServer(clients *clientServer, isReady func() bool) *adminServer {
	s := &adminServer{clients: clients, isReady: isReady}
	s.httpServer = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: adminReadTimeout,
		ReadTimeout:       adminReadTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    maxAdminHeaderBytes,
		ConnContext:       withClientConn,
		ErrorLog:          logging.HTTPErrors(clients.node.logger),
	}
	s.httpServer.SetKeepAlivesEnabled(false)
	return s
}

// serve accepts calls on ln until close is called.
func (s *adminServer) serve(ln net.Listener) error {
	l := &limitedListener{Listener: graceful.NewListener(ln), limiter: newConnectionLimiter(maxAdminConns)}
	l.limiter.evictsOldest = true // a call arrives in one piece: a partial head needs no protection
	if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// close shuts the server down. Calls that were accepted are answered, for adminReadTimeout at most.
func (s *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminReadTimeout)
	defer cancel()
	if s.httpServer.Shutdown(ctx) != nil {
		s.httpServer.Close()
	}
}

// ServeHTTP implements [http.Handler].
func (s *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := clientConnOf(r)
	conn.setState(stateActive)
	defer conn.setState(stateAnswered)
	method, isKnown := adminMethods[r.URL.Path]
	if isKnown && r.Method != method {
		w.Header().Set("Allow", method)
		writeText(w, http.StatusMethodNotAllowed, "method: the call wants "+method)
		return
	}
	switch r.URL.Path {
	case adminReadyPath:
		if s.isReady() {
			writeText(w, http.StatusOK, textReady)
		} else {
			writeText(w, http.StatusServiceUnavailable, textNotReady)
		}
	case adminCountersPath:
		writeText(w, http.StatusOK, strings.TrimSuffix(s.clients.node.metricsText(), "\n"))
	case adminOutOfServicePath:
		s.clients.takeOutOfService()
		writeText(w, http.StatusOK, "out of service: clients' connections end within 2 s")
	case adminInServicePath:
		s.clients.returnToService()
		writeText(w, http.StatusOK, "in service")
	default:
		paths := []string{adminReadyPath, adminCountersPath, adminOutOfServicePath, adminInServicePath}
		writeText(w, http.StatusNotFound, "calls: "+strings.Join(paths, ", "))
	}
}
