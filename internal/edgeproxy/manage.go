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
	readyCall    = "/control/ready"
	countersCall = "/control/counters"
	outCall      = "/control/out-of-service"
	inCall       = "/control/in-service"

	manageSockets = 12                     // calls under way at once; one more closes the one that can best be spared
	manageHead    = 800 * time.Millisecond // for a call's head; who takes longer is not answered
	manageWrite   = 2 * time.Second
)

// counts are what operators read: requests by class and outcome since the start.
type counts struct {
	mu      sync.Mutex
	classes []string // sorted
	ended   map[string]*outcomes
	current int   // requests taken and not yet ended
	sends   int64 // attempts written whole
	forNone int64 // of these, such as were written for a client that was known to have left
}

// outcomes counts the final answers that one class's requests had.
type outcomes struct{ answered, deferred, errored int64 }

func newCounts(classes []string) *counts {
	c := &counts{classes: append([]string(nil), classes...), ended: map[string]*outcomes{}}
	sort.Strings(c.classes)
	for _, name := range c.classes {
		c.ended[name] = &outcomes{}
	}
	return c
}

// taken counts a request that has come whole.
func (c *counts) taken() {
	c.mu.Lock()
	c.current++
	c.mu.Unlock()
}

// over counts a request as ended, once its last byte is written or its client has gone.
func (c *counts) over(class string, kind answerKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current--
	switch o := c.ended[class]; kind {
	case served:
		o.answered++
	case refused:
		o.deferred++
	default:
		o.errored++
	}
}

// sent counts an attempt whose last byte is written, and whether its client had left by then.
func (c *counts) sent(left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sends++; left {
		c.forNone++
	}
}

// text words the figures, one a line.
func (c *counts) text(size, unhealthy int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, name := range c.classes {
		o := c.ended[name]
		fmt.Fprintf(&b, "app.answered.%s=%d\napp.deferred.%s=%d\napp.errored.%s=%d\n",
			name, o.answered, name, o.deferred, name, o.errored)
	}
	fmt.Fprintf(&b, "app.sends=%d\napp.sends_after_leave=%d\napp.current=%d\napp.cluster_size=%d\napp.cluster_unhealthy=%d\n",
		c.sends, c.forNone, c.current, size, unhealthy)
	return b.String()
}

// manager answers operators' calls on an address of its own, one a connection. The
// calls have few descriptors of their own and take none from clients; nor does a
// crowd of clients keep a call waiting.
type manager struct {
	front *front
	ready func() bool // whether this process is ready to serve
	srv   *http.Server
}

func newManager(f *front, ready func() bool) *manager {
	m := &manager{front: f, ready: ready}
	m.srv = &http.Server{
		Handler:           m,
		ReadHeaderTimeout: manageHead,
		ReadTimeout:       manageHead,
		WriteTimeout:      manageWrite,
		MaxHeaderBytes:    8 << 10,
		ConnContext:       withSlot,
		ErrorLog:          f.node.log,
	}
	m.srv.SetKeepAlivesEnabled(false)
	return m
}

// serve answers calls until close.
func (m *manager) serve(ln net.Listener) error {
	l := &slotListener{Listener: ln, slots: newSlots(manageSockets)}
	l.slots.eager = true // a call comes in one piece
	if err := m.srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// close ends the calls: those that were taken are answered.
func (m *manager) close() {
	ctx, cancel := context.WithTimeout(context.Background(), manageHead)
	defer cancel()
	if m.srv.Shutdown(ctx) != nil {
		m.srv.Close()
	}
}

func (m *manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	slot := slotOf(r)
	slot.become(open)
	defer slot.become(idle)
	want, known := map[string]string{readyCall: http.MethodGet, countersCall: http.MethodGet,
		outCall: http.MethodPost, inCall: http.MethodPost}[r.URL.Path]
	if known && r.Method != want {
		w.Header().Set("Allow", want)
		plain(w, http.StatusMethodNotAllowed, "method: the call wants "+want)
		return
	}
	switch r.URL.Path {
	case readyCall:
		if m.ready() {
			plain(w, http.StatusOK, "ready")
		} else {
			plain(w, http.StatusServiceUnavailable, "not ready")
		}
	case countersCall:
		plain(w, http.StatusOK, strings.TrimSuffix(m.front.node.figures(), "\n"))
	case outCall:
		m.front.leave()
		plain(w, http.StatusOK, "out of service: clients' connections end within 2 s")
	case inCall:
		m.front.enter()
		plain(w, http.StatusOK, "in service")
	default:
		plain(w, http.StatusNotFound, "calls: "+strings.Join([]string{readyCall, countersCall, outCall, inCall}, ", "))
	}
}
