package edgeproxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
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
func (s *adminServer) serve(ln net.Listener) error {
	l := &limitedListener{Listener: ln, limiter: newConnectionLimiter(maxAdminConns)}
	l.limiter.evictsOldest = true // a call comes in one piece
	if err := s.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// close ends the calls: those that were taken are answered.
func (s *adminServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminReadTimeout)
	defer cancel()
	if s.httpServer.Shutdown(ctx) != nil {
		s.httpServer.Close()
	}
}

func (s *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
		if s.isReady() {
			writeText(w, http.StatusOK, "ready")
		} else {
			writeText(w, http.StatusServiceUnavailable, "not ready")
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
		writeText(w, http.StatusNotFound, "calls: "+strings.Join([]string{adminReadyPath, adminCountersPath, adminOutOfServicePath, adminInServicePath}, ", "))
	}
}
