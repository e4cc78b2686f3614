package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/choice"
)

const (
	readyPath  = "/health/ready"
	maxBody    = 64 << 10               // bytes that the body of a request may hold
	transit    = 10 * time.Millisecond  // taken off a client's wait, which counts from its send
	maxWait    = time.Hour              // the longest wait that a client can ask for
	readLimit  = 5 * time.Second        // for a request's header, and for its body
	writeLimit = 10 * time.Second       // from a request's header to the end of its answer
	idleLimit  = 90 * time.Second       // for a connection between requests
	drainTime  = 500 * time.Millisecond // connections still come for 0.4 s after a planned restart begins
	otherFiles = 48                     // descriptors that are neither a client's nor an app server's
)

// serverSockets and clientSockets share out the descriptors. A request has one
// attempt out at most, so as many connections to app servers as to clients are
// enough.
func serverSockets(all int) int { return (all - otherFiles) / 2 }
func clientSockets(all int) int { return (all - otherFiles) / 2 }

// front is the client side.
type front struct {
	node     *Node
	srv      *http.Server
	slots    *slots
	ready    atomic.Bool
	draining atomic.Bool
	classes  map[string]choice.Effect
	plans    map[string]bool
}

func newFront(n *Node) *front {
	f := &front{node: n, slots: newSlots(clientSockets(n.cfg.Sockets)),
		classes: map[string]choice.Effect{}, plans: map[string]bool{}}
	for _, c := range n.cfg.Settings.Classes {
		f.classes[c.Name] = c.Effect
	}
	for _, p := range n.cfg.Settings.Plans {
		f.plans[p.Name] = true
	}
	f.srv = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readLimit,
		WriteTimeout:      writeLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    16 << 10,
		ConnState:         f.slots.state,
		ErrorLog:          n.log,
	}
	return f
}

// serve answers clients until drain has ended.
func (f *front) serve(ln net.Listener) error {
	if err := f.srv.Serve(&slotListener{Listener: ln, slots: f.slots}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// drain ends serving. Clients still come for a while and are still answered, on
// connections that close after the answer; then the listener closes, and what was
// taken is finished. Closing at once would lose what crosses the close.
func (f *front) drain() {
	f.ready.Store(false)
	f.draining.Store(true)
	<-time.After(f.node.cfg.drainFor)
	longest := time.Duration(0)
	for _, c := range f.node.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	ctx, cancel := context.WithTimeout(context.Background(), longest+f.node.cfg.Settings.AnswerSlack)
	defer cancel()
	if err := f.srv.Shutdown(ctx); err != nil {
		// Only connections that never sent a request are left: the deadlines of all taken are past.
		f.srv.Close()
	}
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			f.node.log.Printf("panic: %v\n%s", p, debug.Stack())
			plain(w, http.StatusInternalServerError, "internal error")
		}
	}()
	if f.draining.Load() || f.slots.crowded() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath {
		f.health(w)
		return
	}
	began := time.Now()
	q, m, err := f.parse(r)
	if err == nil {
		m.body, err = readBody(w, r)
	}
	if err != nil {
		bad := &badRequest{status: http.StatusBadRequest}
		if errors.As(err, &bad); bad.allow != "" {
			w.Header().Set("Allow", bad.allow)
		}
		plain(w, bad.status, err.Error())
		return
	}
	q.Grace -= time.Since(began)
	deadline := time.Now().Add(q.Grace + f.node.cfg.Settings.AnswerSlack)
	fl := f.node.begin(q, m, deadline)
	if fl == nil {
		plain(w, http.StatusConflict, "X-Trace-Id is in use")
		return
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case a := <-fl.answer:
		f.reply(w, a)
		return
	case <-r.Context().Done():
		f.node.abandon(fl)
		return
	case <-late.C:
		f.node.abandon(fl)
	}
	f.reply(w, <-fl.answer)
}

func (f *front) health(w http.ResponseWriter) {
	if f.ready.Load() {
		plain(w, http.StatusOK, "ready")
	} else {
		plain(w, http.StatusServiceUnavailable, "not ready")
	}
}

// reply words a final answer.
func (f *front) reply(w http.ResponseWriter, a answer) {
	h := w.Header()
	switch a.kind {
	case served:
		if a.reply.contentType != "" {
			h["Content-Type"] = []string{a.reply.contentType}
		} else {
			h["Content-Type"] = nil // or the library guesses one
		}
		h["Content-Length"] = []string{strconv.Itoa(len(a.reply.body))}
		w.WriteHeader(http.StatusOK)
		w.Write(a.reply.body) // a client that is gone by now has nothing to be told
	case refused:
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64)}
		}
		plain(w, http.StatusTooManyRequests, "refused: trying again is harmless")
	default:
		plain(w, http.StatusBadGateway, "failed")
	}
}

func plain(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// badRequest is an error in what a client sent. None is worded as a refusal.
type badRequest struct {
	status int
	text   string
	allow  string // the method that the class wants
}

func (e *badRequest) Error() string { return e.text }

func bad(format string, args ...any) error {
	return &badRequest{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// parse reads a request's head.
func (f *front) parse(r *http.Request) (q choice.Request, m message, err error) {
	header := func(name string) string {
		v := r.Header[name]
		if len(v) != 1 || v[0] == "" {
			if err == nil {
				err = bad("%s: %d values where one is wanted", name, len(v))
			}
			return ""
		}
		return v[0]
	}
	q.ID, q.Class, q.Plan = header("X-Trace-Id"), header("X-Qos"), header("X-Contract")
	expires, metering := header("X-Expires-In"), header("X-Metering")
	if err != nil {
		return q, m, err
	}
	effect, known := f.classes[q.Class]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !validID(q.ID):
		return q, m, bad("X-Trace-Id: malformed")
	case !known:
		return q, m, bad("X-Qos: unknown class")
	case first != q.Class || !strings.HasPrefix(r.RequestURI, "/"):
		return q, m, bad("path: does not begin with the class")
	case !f.plans[q.Plan]:
		return q, m, bad("X-Contract: unknown plan")
	}
	seconds, err := strconv.ParseFloat(expires, 64)
	if err != nil || !(seconds > 0 && seconds <= maxWait.Seconds()) {
		return q, m, bad("X-Expires-In: malformed")
	}
	q.Grace = time.Duration(seconds*float64(time.Second)) - transit
	if q.Customer, err = customer(r.URL.RawQuery); err != nil {
		return q, m, err
	}
	if err = f.metering(metering, &q); err != nil {
		return q, m, err
	}
	m = message{target: r.RequestURI, host: r.Host, id: q.ID, contentType: r.Header.Get("Content-Type")}
	m.method = http.MethodPost
	if effect == choice.Safe {
		m.method = http.MethodGet
	}
	if r.Method != m.method {
		return q, m, &badRequest{http.StatusMethodNotAllowed, "method: the class wants " + m.method, m.method}
	}
	if effect == choice.Safe && r.ContentLength != 0 {
		return q, m, bad("body: the class has none")
	}
	if effect == choice.Keyed {
		m.key = header("Idempotency-Key")
	} else {
		m.key = r.Header.Get("Idempotency-Key")
	}
	return q, m, err
}

// validID tells whether an id is one word of ordinary characters.
func validID(id string) bool {
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}

// customer takes the customer from the query: 16 hex digits, a number below 2^33.
func customer(query string) (uint64, error) {
	vals, err := url.ParseQuery(query)
	if err != nil || len(vals["customer"]) != 1 {
		return 0, bad("customer: missing or malformed")
	}
	v := vals["customer"][0]
	x, err := strconv.ParseUint(v, 16, 64)
	if err != nil || len(v) != 16 || x >= 1<<33 {
		return 0, bad("customer: missing or malformed")
	}
	return x, nil
}

// metering takes units, spread and first from X-Metering.
func (f *front) metering(text string, q *choice.Request) error {
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return bad("X-Metering: %q stands twice", name)
		}
		seen[name] = true
		var err error
		n := f.node.cfg.Settings.Instances
		switch name {
		case "units":
			q.Units, err = strconv.ParseFloat(val, 64)
			if !(q.Units >= 0) || math.IsInf(q.Units, 0) {
				return bad("X-Metering: units out of range")
			}
		case "spread":
			if q.Spread, err = strconv.Atoi(val); err == nil && (q.Spread < 1 || q.Spread > n) {
				return bad("X-Metering: spread out of range")
			}
		case "first":
			if q.First, err = strconv.Atoi(val); err == nil && (q.First < 0 || q.First >= n) {
				return bad("X-Metering: first out of range")
			}
		}
		if err != nil {
			return bad("X-Metering: malformed")
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return bad("X-Metering: units, spread or first is missing")
	}
	return nil
}

// readBody reads the whole body, within a time so that one sent in part holds no
// socket for ever.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	tooLarge := &badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB"}
	if r.ContentLength > maxBody {
		w.Header().Set("Connection", "close")
		return nil, tooLarge
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(readLimit)); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.Header().Set("Connection", "close")
		if _, over := errors.AsType[*http.MaxBytesError](err); over {
			return nil, tooLarge
		}
		return nil, bad("body: incomplete")
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return body, nil
}

// slots bounds the connections of clients, so that descriptors never run out. When
// three quarters are taken, answers close their connections; when all are, the
// connection that has been idle for longest gives way to the new one.
type slots struct {
	taken chan struct{}
	mu    sync.Mutex
	idle  map[net.Conn]time.Time
}

func newSlots(n int) *slots {
	return &slots{taken: make(chan struct{}, n), idle: map[net.Conn]time.Time{}}
}

func (s *slots) crowded() bool { return len(s.taken)*4 >= cap(s.taken)*3 }

// state follows the connections of the server.
func (s *slots) state(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
	} else {
		delete(s.idle, c)
	}
}

// evict closes the connection that has been idle for longest.
func (s *slots) evict() {
	s.mu.Lock()
	var longest net.Conn
	for c, since := range s.idle {
		if longest == nil || since.Before(s.idle[longest]) {
			longest = c
		}
	}
	delete(s.idle, longest)
	s.mu.Unlock()
	if longest != nil {
		longest.Close()
	}
}

// slotListener accepts a connection when there is a slot for it.
type slotListener struct {
	net.Listener
	slots *slots
}

func (l *slotListener) Accept() (net.Conn, error) {
	select {
	case l.slots.taken <- struct{}{}:
	default:
		l.slots.evict()
		l.slots.taken <- struct{}{}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots.taken
		return nil, err
	}
	return &slotConn{Conn: c, slots: l.slots}, nil
}

// slotConn gives its slot back when it is closed.
type slotConn struct {
	net.Conn
	slots *slots
	once  sync.Once
}

func (c *slotConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots.taken })
	return err
}
