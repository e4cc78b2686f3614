package edgeproxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

const (
	readyPath            = "/health/ready"
	alwaysBufferedBody   = 64 << 10                // bytes of a request's body that is always held whole
	clientTransitDelay   = 10 * time.Millisecond   // taken off a client's wait, which counts from its send
	defaultMaxUnits      = 1e6                     // of one request, where the settings don't tell
	readHeaderTimeout    = 2500 * time.Millisecond // for a request's header, from the connection's start or the first byte
	unreadBodyTimeout    = 250 * time.Millisecond  // for the rest of a body that is of no use
	writeTimeout         = 10 * time.Second        // from a request's header to the end of its answer
	clientIdleTimeout    = 30 * time.Second        // for a connection between requests
	defaultDrainDelay    = 500 * time.Millisecond  // connections still come for 0.4 s after a planned restart begins
	handOverPollInterval = 10 * time.Millisecond   // between looks whether the last connection has gone
	reservedDescriptors  = 48                      // descriptors that are neither a client's nor an app server's
)

// maxServerConns and clientSockets share out the descriptors. A request has one
// attempt out at most, so as many connections to app servers as to clients are
// enough.
func maxServerConns(all int) int { return (all - reservedDescriptors) / 2 }
func maxClientConns(all int) int { return (all - reservedDescriptors) / 2 }

// clientServer is the client side.
type clientServer struct {
	node           *Node
	httpServer     *http.Server
	limiter        *connectionLimiter
	isReady        atomic.Bool
	isDraining     atomic.Bool
	hasPredecessor atomic.Bool // a predecessor still hands clients over

	shutdownAt      atomic.Int64  // Unix time in ns at which all has to be answered, once the end has begun
	shutdownExpired chan struct{} // closed then

	listenersMu sync.Mutex
	listeners   []*limitedListener // on which it accepts, or did

	isOutOfService atomic.Bool // by an operator's word
	maintenanceMu  sync.Mutex
	maintenanceEnd chan struct{} // ends the drain by an operator's word; nil where there is none

	classes map[string]policy.Class
	plans   map[string]bool
}

func newClientServer(n *Node) *clientServer {
	f := &clientServer{node: n, limiter: newConnectionLimiter(maxClientConns(n.cfg.MaxSockets)),
		classes: map[string]policy.Class{}, plans: map[string]bool{}, shutdownExpired: make(chan struct{})}
	for _, c := range n.cfg.Settings.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range n.cfg.Settings.Plans {
		f.plans[p.Name] = true
	}
	f.httpServer = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    16 << 10,
		ConnContext:       withClientConn,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).markResponseWritten()
			}
		},
		ErrorLog: n.log,
	}
	return f
}

// serve answers clients until drain has ended.
func (f *clientServer) serve(ln net.Listener) error {
	l := &limitedListener{Listener: ln, limiter: f.limiter, done: make(chan struct{})}
	defer close(l.done)
	f.listenersMu.Lock()
	f.listeners = append(f.listeners, l)
	f.listenersMu.Unlock()
	if err := f.httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// handOver gives clients and what the module knows to the process that takes over, and
// ends once its own requests are answered and the process before it has no more clients to pass on.
// ln, on which it accepted, is closed first; the socket behind it stays with the successor. An error
// means that nothing has changed hands: the node goes on as it was, and accepts on again.
func (f *clientServer) handOver(h *successorListener, ln net.Listener) (again net.Listener, err error) {
	door, err := duplicateDescriptor(ln)
	if err != nil {
		return nil, err
	}
	defer door.Close()
	ln.Close()
	n := f.node
	state, sock, err := n.exportState()
	if err == nil {
		h.stopListening()
		err = h.sendInheritedState(state, sock)
	}
	if err == nil {
		err = h.awaitTakeover()
	}
	if err != nil {
		if sock != nil {
			n.setGossipSocket(sock)
		}
		again, lnErr := net.FileListener(door)
		return again, errors.Join(err, lnErr)
	}
	if sock != nil {
		sock.Close() // from here on the successor hears the peers
	}
	f.limiter.startHandOver(func(c *clientConn) error {
		tc, ok := c.Conn.(syscall.Conn)
		if !ok {
			return errors.New("handover: no descriptor")
		}
		rc, err := tc.SyscallConn()
		if err != nil {
			return err
		}
		return h.send(msgClient, nil, rc)
	})
	closeConns(n.pool.takeAllIdle())
	tick := time.NewTicker(handOverPollInterval)
	defer tick.Stop()
	for end := time.Now().Add(f.longestRequest()); (f.limiter.count() > 0 || f.hasPredecessor.Load()) && time.Now().Before(end); {
		<-tick.C
	}
	return nil, nil
}

// duplicateDescriptor returns another descriptor of a listener's socket.
func duplicateDescriptor(ln net.Listener) (*os.File, error) {
	l, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("handover: the clients' socket has no descriptor")
	}
	return l.File()
}

// servePredecessor answers the clients that a predecessor hands over, until it has none left.
func (f *clientServer) servePredecessor(before *predecessor) {
	defer f.hasPredecessor.Store(false)
	f.serve(before)
}

// longestDeadline is the longest of all classes.
func (f *clientServer) longestDeadline() (d time.Duration) {
	for _, c := range f.node.cfg.Settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// longestRequest is how long the last request taken may still be under way.
func (f *clientServer) longestRequest() time.Duration {
	return f.longestDeadline() + f.node.cfg.Settings.ResponseSlack
}

// The platform kills a process that was told to end after the longest deadline, which it counts as killCounts at most, and
// killGrace more.
const (
	maxKillDeadline   = 3 * time.Second
	killGrace         = 700 * time.Millisecond
	killMargin        = 150 * time.Millisecond // before that all is answered
	drainPollInterval = 10 * time.Millisecond  // between looks at the connections that are left
)

// startShutdownTimer begins the end, once, before a drain or a handover: whatever comes from now on, and what is under way, is answered before
// the platform kills the process.
func (f *clientServer) startShutdownTimer() {
	left := min(f.longestDeadline(), maxKillDeadline) + killGrace - killMargin
	f.shutdownAt.Store(time.Now().Add(left).UnixNano())
	time.AfterFunc(left, func() { close(f.shutdownExpired) })
}

// timeUntilShutdown is how long a request that has come may take, and whether there is such a bound.
func (f *clientServer) timeUntilShutdown() (time.Duration, bool) {
	at := f.shutdownAt.Load()
	return time.Until(time.Unix(0, at)), at != 0
}

// drain ends serving. Clients still come for some time (0 after a handover) and are still
// answered, on connections that close after the answer; then what the machine has accepted is taken in, the listener
// closes, and what was taken is finished. A connection is owed an answer once a request has come on it, read or not: only such
// are closed as have nothing to read, and a request that comes late is answered in the time that is left.
func (f *clientServer) drain(still time.Duration) {
	f.isReady.Store(false)
	f.isDraining.Store(true)
	<-time.After(still)
	f.listenersMu.Lock()
	lns := f.listeners
	f.listenersMu.Unlock()
	for _, ln := range lns { // a process that has taken over has its predecessor's as well
		ln.finish()
		select {
		case <-ln.done: // all are taken in
		case <-f.shutdownExpired:
		}
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for over, end := f.shutdownExpired, (<-chan time.Time)(nil); f.limiter.count() > 0; {
		for _, c := range f.limiter.evictIdle(0, evictionSilentTime) {
			c.Conn.Close()
		}
		select {
		case <-tick.C:
		case <-over: // requests under way are being answered
			over, end = nil, time.After(killMargin/2)
		case <-end:
			f.httpServer.Close()
			return
		}
	}
	f.httpServer.Close()
}

// ServeHTTP answers one request of a client.
func (f *clientServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			panic(p)
		} else if p != nil {
			f.node.log.Printf("panic: %v\n%s", p, debug.Stack())
			writeText(w, http.StatusInternalServerError, "internal error")
		}
	}()
	taken := time.Now()
	slot := clientConnOf(r)
	defer slot.setState(stateIdle)
	head, first := slot.takeHead()
	slot.recordEarlyBytes(pipelinedBytes(r, head))
	f.setConnectionClose(w, slot)
	if err := checkFraming(r, head); err != nil {
		f.writeBadRequest(w, r, err)
		return
	}
	if r.URL.Path == readyPath && r.ContentLength == 0 {
		f.serveReadiness(w)
		return
	}
	q, m, err := f.parseRequest(r)
	var held int64
	if err == nil {
		m.body, m.rest, held, err = readBody(w, r, first, f.node.memory)
	}
	if err != nil {
		f.node.memory.release(held)
		f.writeBadRequest(w, r, err)
		return
	}
	if !slot.setState(stateActive) {
		f.node.memory.release(held)
		return // closed for another: nothing was sent on
	}
	if left, bound := f.timeUntilShutdown(); bound {
		q.Timeout = min(q.Timeout, left-f.node.cfg.Settings.ResponseSlack)
		if q.Timeout <= 0 {
			f.node.memory.release(held)
			w.Header().Set("Connection", "close")
			writeText(w, http.StatusServiceUnavailable, "refused: ending")
			return
		}
	}
	if r.Context().Err() != nil {
		f.node.memory.release(held)
		panic(http.ErrAbortHandler) // its client has left: nothing is sent on
	}
	m.isClientGone = slot.isClientGone
	wait := q.Timeout + f.node.cfg.Settings.ResponseSlack // from the request's last byte
	deadline := time.Now().Add(wait)
	late := time.NewTimer(wait)
	defer late.Stop()
	if m.rest != nil {
		q.BodyTimeout = m.rest.maxRemainingTime()
		deadline = deadline.Add(q.BodyTimeout)
		late.Reset(q.BodyTimeout + wait)
		m.rest.responseTimeout, m.rest.onForwarded = wait, func() { late.Reset(wait) }
		w.Header().Set("Connection", "close") // an answer may come before all of the body
	}
	fl := f.node.beginRequest(q, m, deadline, held)
	if fl == nil {
		writeText(w, http.StatusConflict, "X-Trace-Id is in use")
		return
	}
	f.node.metrics.requestStarted()
	kind := answerFailed
	defer func() { f.node.metrics.requestEnded(q.Class, kind) }()
	var a finalAnswer
	select {
	case a = <-fl.answer:
	case <-r.Context().Done():
		f.node.clientDisconnected(fl)
		if a = <-fl.answer; a.response.stream != nil {
			a.response.stream.finish(policy.Cancelled)
		}
		panic(http.ErrAbortHandler) // no answer is due, and the library would word an empty one
	case <-late.C:
		f.node.deadlineExceeded(fl)
		a = <-fl.answer
	case <-f.shutdownExpired:
		f.node.deadlineExceeded(fl)
		a = <-fl.answer
	}
	for _, l := range a.pendingWrites {
		<-l.done
	}
	f.setConnectionClose(w, slot) // a drain may have begun since
	if time.Since(taken) > writeTimeout/4 {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if a.response.stream != nil {
		if result := f.streamResponse(w, a.response); result != policy.OK {
			panic(http.ErrAbortHandler) // the client can tell that it is not whole
		}
		kind = answerServed
		return
	}
	kind = a.kind
	f.writeAnswer(w, a)
	if m.rest != nil && kind != answerServed {
		http.NewResponseController(w).Flush()
		m.rest.discard()
	}
}

// setConnectionClose has an answer close its connection where that is wanted. A client that has sent its next request is owed an answer to
// that as well: then a later one does.
func (f *clientServer) setConnectionClose(w http.ResponseWriter, slot *clientConn) {
	if (f.closesConnections() || f.limiter.isCrowded()) && !slot.hasNextRequest() {
		w.Header().Set("Connection", "close")
	}
}

// pipelinedBytes is what came in one piece with a request, whose head is given as it came, and is of the next one.
func pipelinedBytes(r *http.Request, head []byte) []byte {
	end := bytes.Index(head, []byte("\r\n\r\n")) + 4
	if end < 4 || r.ContentLength < 0 || int64(len(head)-end) <= r.ContentLength || !isHeadOf(r, head) {
		return nil
	}
	return head[end+int(r.ContentLength):]
}

// streamResponse passes a long answer on as it comes.
func (f *clientServer) streamResponse(w http.ResponseWriter, rep serverResponse) policy.Result {
	setContentType(w.Header(), rep)
	if rep.stream.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(rep.stream.length, 10)}
	}
	w.WriteHeader(http.StatusOK)
	result := rep.stream.copyTo(w, rep.body)
	rep.stream.finish(result)
	return result
}

// setContentType passes an answer's type on. Where it has none the library must not guess one.
func setContentType(h http.Header, rep serverResponse) {
	h["Content-Type"] = nil
	if rep.contentType != "" {
		h["Content-Type"] = []string{rep.contentType}
	}
}

// writeBadRequest answers a request that is the client's mistake. A body that was not read is
// not waited for: what is left of it would be read as the next request.
func (f *clientServer) writeBadRequest(w http.ResponseWriter, r *http.Request, err error) {
	bad := &badRequestError{status: http.StatusBadRequest}
	if errors.As(err, &bad); bad.allow != "" {
		w.Header().Set("Allow", bad.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// The library reads a short rest before it closes, or the client could miss the answer.
		// Half a body would keep it reading for ever.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	writeText(w, bad.status, err.Error())
}

// checkFraming turns down what can be read in two ways. A request with a Transfer-Encoding as well
// as a Content-Length can hide another one in its body; the library lets the first win and
// hides the second, and ignores the first below HTTP/1.1. So the head is looked at as it came.
func checkFraming(r *http.Request, head []byte) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequestError{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	if len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked" || !isPlainlyChunked(r, head) {
		return &badRequestError{status: http.StatusLengthRequired, text: "Transfer-Encoding: one \"chunked\" without a Content-Length is wanted"}
	}
	return nil
}

// isPlainlyChunked tells whether a head is that of the request and has one Transfer-Encoding and
// no Content-Length. What stands behind its empty line is body, whatever it looks like.
func isPlainlyChunked(r *http.Request, head []byte) bool {
	if !isHeadOf(r, head) {
		return false
	}
	encodings := 0
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			break
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			return false
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	return encodings == 1
}

// isHeadOf tells whether a head is that of the request.
func isHeadOf(r *http.Request, head []byte) bool {
	return bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" "))
}

func (f *clientServer) serveReadiness(w http.ResponseWriter) {
	if f.isAvailable() {
		writeText(w, http.StatusOK, "ready")
	} else {
		writeText(w, http.StatusServiceUnavailable, "not ready")
	}
}

// writeAnswer words a final answer.
func (f *clientServer) writeAnswer(w http.ResponseWriter, a finalAnswer) {
	h := w.Header()
	switch a.kind {
	case answerServed:
		setContentType(h, a.response)
		h["Content-Length"] = []string{strconv.Itoa(len(a.response.body))}
		w.WriteHeader(http.StatusOK)
		w.Write(a.response.body) // a client that is gone by now has nothing to be told
	case answerRejected:
		if a.retryAfter > 0 {
			h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64)}
		}
		writeText(w, http.StatusTooManyRequests, "refused: trying again is harmless")
	default:
		writeText(w, http.StatusBadGateway, "failed")
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h["Content-Type"] = []string{"text/plain; charset=utf-8"}
	h["Content-Length"] = []string{strconv.Itoa(len(text) + 1)}
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// badRequestError is an error in what a client sent. None is worded as a refusal.
type badRequestError struct {
	status int
	text   string
	allow  string // the method that the class wants
}

func (e *badRequestError) Error() string { return e.text }

func badRequestf(format string, args ...any) error {
	return &badRequestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// parseRequest reads a request's head.
func (f *clientServer) parseRequest(r *http.Request) (q policy.Request, m serverRequest, err error) {
	header := func(name string) string {
		v := r.Header[name]
		if len(v) != 1 || v[0] == "" {
			if err == nil {
				err = badRequestf("%s: %d values where one is wanted", name, len(v))
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
	class, known := f.classes[q.Class]
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !isValidID(q.ID):
		return q, m, badRequestf("X-Trace-Id: malformed")
	case !known:
		return q, m, badRequestf("X-Qos: unknown class")
	case first != q.Class || !strings.HasPrefix(r.RequestURI, "/"):
		return q, m, badRequestf("path: does not begin with the class")
	case !f.plans[q.Plan]:
		return q, m, badRequestf("X-Contract: unknown plan")
	}
	seconds, ok := loadreport.Decimal(expires)
	if !ok || seconds <= 0 {
		return q, m, badRequestf("X-Expires-In: malformed")
	}
	// Nobody waits for longer than the class's clients do: requests must not pile up.
	seconds = math.Min(seconds, class.Deadline.Seconds())
	q.Timeout = time.Duration(seconds*float64(time.Second)) - clientTransitDelay
	if q.Customer, err = parseCustomer(r.URL.RawQuery); err != nil {
		return q, m, err
	}
	if err = f.parseMetering(metering, &q); err != nil {
		return q, m, err
	}
	m = serverRequest{target: r.RequestURI, host: r.Host, id: q.ID, contentType: r.Header.Get("Content-Type")}
	m.method = http.MethodPost
	if class.Idempotency == policy.Idempotent {
		m.method = http.MethodGet
	}
	if r.Method != m.method {
		return q, m, &badRequestError{http.StatusMethodNotAllowed, "method: the class wants " + m.method, m.method}
	}
	if class.Idempotency == policy.Idempotent && r.ContentLength != 0 {
		return q, m, badRequestf("body: the class has none")
	}
	if class.Idempotency == policy.IdempotentWithKey {
		m.key = header("Idempotency-Key")
	} else {
		m.key = r.Header.Get("Idempotency-Key")
	}
	return q, m, err
}

// isValidID tells whether an id is one word of ordinary characters.
func isValidID(id string) bool {
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}

// parseCustomer takes the customer from the query: 16 hex digits, a number below 2^33.
func parseCustomer(query string) (uint64, error) {
	vals, err := url.ParseQuery(query)
	if err != nil || len(vals["customer"]) != 1 {
		return 0, badRequestf("customer: missing or malformed")
	}
	v := vals["customer"][0]
	x, err := strconv.ParseUint(v, 16, 64)
	if err != nil || len(v) != 16 || x >= 1<<33 {
		return 0, badRequestf("customer: missing or malformed")
	}
	return x, nil
}

// parseMetering takes units, spread and first from X-Metering. What can't be of a usual client
// must not reach the module: it would mark the customer's store in everybody's name.
func (f *clientServer) parseMetering(text string, q *policy.Request) error {
	set := &f.node.cfg.Settings
	number := func(val string, least, most int) (int, bool) {
		x, ok := loadreport.Decimal(val)
		return int(x), ok && x == math.Trunc(x) && x >= float64(least) && x <= float64(most)
	}
	most := set.MaxUnits
	if most <= 0 {
		most = defaultMaxUnits
	}
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return badRequestf("X-Metering: %q stands twice", name)
		}
		seen[name] = true
		ok := true
		switch name {
		case "units":
			q.Units, ok = loadreport.Decimal(val)
			ok = ok && q.Units > 0 && q.Units <= most
		case "spread":
			q.InstanceCount, ok = number(val, 1, set.InstanceCount)
		case "first":
			q.FirstInstance, ok = number(val, 0, set.InstanceCount-1)
		}
		if !ok {
			return badRequestf("X-Metering: %s is malformed or out of range", name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return badRequestf("X-Metering: units, spread or first is missing")
	}
	if (set.InstanceIndex-q.FirstInstance+set.InstanceCount)%set.InstanceCount >= q.InstanceCount {
		return badRequestf("X-Metering: the customer does not come through this node")
	}
	return nil
}
