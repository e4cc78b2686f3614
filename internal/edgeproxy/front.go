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
	readyPath  = "/health/ready"
	maxBody    = 64 << 10                // bytes of a request's body that is always held whole
	transit    = 10 * time.Millisecond   // taken off a client's wait, which counts from its send
	mostUnits  = 1e6                     // of one request, where the settings don't tell
	headLimit  = 2500 * time.Millisecond // for a request's header, from the connection's start or the first byte
	restWait   = 250 * time.Millisecond  // for the rest of a body that is of no use
	writeLimit = 10 * time.Second        // from a request's header to the end of its answer
	idleLimit  = 30 * time.Second        // for a connection between requests
	drainTime  = 500 * time.Millisecond  // connections still come for 0.4 s after a planned restart begins
	leavePoll  = 10 * time.Millisecond   // between looks whether the last connection has gone
	otherFiles = 48                      // descriptors that are neither a client's nor an app server's
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
	inherits atomic.Bool // a predecessor still hands clients over

	endAt atomic.Int64  // Unix time in ns at which all has to be answered, once the end has begun
	over  chan struct{} // closed then

	lnMu sync.Mutex
	lns  []*slotListener // on which it accepts, or did

	outOfService atomic.Bool // by an operator's word
	outMu        sync.Mutex
	outEnd       chan struct{} // ends the drain by an operator's word; nil where there is none

	classes map[string]policy.Class
	plans   map[string]bool
}

func newFront(n *Node) *front {
	f := &front{node: n, slots: newSlots(clientSockets(n.cfg.MaxSockets)),
		classes: map[string]policy.Class{}, plans: map[string]bool{}, over: make(chan struct{})}
	for _, c := range n.cfg.Settings.Classes {
		f.classes[c.Name] = c
	}
	for _, p := range n.cfg.Settings.Plans {
		f.plans[p.Name] = true
	}
	f.srv = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headLimit,
		WriteTimeout:      writeLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    16 << 10,
		ConnContext:       withSlot,
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*slotConn).rest()
			}
		},
		ErrorLog: n.log,
	}
	return f
}

// serve answers clients until drain has ended.
func (f *front) serve(ln net.Listener) error {
	l := &slotListener{Listener: ln, slots: f.slots, done: make(chan struct{})}
	defer close(l.done)
	f.lnMu.Lock()
	f.lns = append(f.lns, l)
	f.lnMu.Unlock()
	if err := f.srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// handOver gives clients and what the module knows to the process that takes over, and
// ends once its own requests are answered and the process before it has no more clients to pass on.
// ln, on which it accepted, is closed first; the socket behind it stays with the successor. An error
// means that nothing has changed hands: the node goes on as it was, and accepts on again.
func (f *front) handOver(h *heir, ln net.Listener) (again net.Listener, err error) {
	door, err := keep(ln)
	if err != nil {
		return nil, err
	}
	defer door.Close()
	ln.Close()
	n := f.node
	state, sock, err := n.retire()
	if err == nil {
		h.retire()
		err = h.giveAll(state, sock)
	}
	if err == nil {
		err = h.answered()
	}
	if err != nil {
		if sock != nil {
			n.join(sock)
		}
		again, lnErr := net.FileListener(door)
		return again, errors.Join(err, lnErr)
	}
	if sock != nil {
		sock.Close() // from here on the successor hears the peers
	}
	f.slots.moveAll(func(c *slotConn) error {
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
	closeAll(n.up.idleAll())
	tick := time.NewTicker(leavePoll)
	defer tick.Stop()
	for end := time.Now().Add(f.longest()); (f.slots.count() > 0 || f.inherits.Load()) && time.Now().Before(end); {
		<-tick.C
	}
	return nil, nil
}

// keep returns another descriptor of a listener's socket.
func keep(ln net.Listener) (*os.File, error) {
	l, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return nil, errors.New("handover: the clients' socket has no descriptor")
	}
	return l.File()
}

// serveLegacy answers the clients that a predecessor hands over, until it has none left.
func (f *front) serveLegacy(before *legacy) {
	defer f.inherits.Store(false)
	f.serve(before)
}

// deadline is the longest of all classes.
func (f *front) deadline() (d time.Duration) {
	for _, c := range f.node.cfg.Settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// longest is how long the last request taken may still be under way.
func (f *front) longest() time.Duration { return f.deadline() + f.node.cfg.Settings.ResponseSlack }

// The platform kills a process that was told to end after the longest deadline, which it counts as killCounts at most, and
// killGrace more.
const (
	killCounts = 3 * time.Second
	killGrace  = 700 * time.Millisecond
	killSpare  = 150 * time.Millisecond // before that all is answered
	drainPoll  = 10 * time.Millisecond  // between looks at the connections that are left
)

// begin begins the end, once, before a drain or a handover: whatever comes from now on, and what is under way, is answered before
// the platform kills the process.
func (f *front) begin() {
	left := min(f.deadline(), killCounts) + killGrace - killSpare
	f.endAt.Store(time.Now().Add(left).UnixNano())
	time.AfterFunc(left, func() { close(f.over) })
}

// timeLeft is how long a request that has come may take, and whether there is such a bound.
func (f *front) timeLeft() (time.Duration, bool) {
	at := f.endAt.Load()
	return time.Until(time.Unix(0, at)), at != 0
}

// drain ends serving. Clients still come for some time (0 after a handover) and are still
// answered, on connections that close after the answer; then what the machine has accepted is taken in, the listener
// closes, and what was taken is finished. A connection is owed an answer once a request has come on it, read or not: only such
// are closed as have nothing to read, and a request that comes late is answered in the time that is left.
func (f *front) drain(still time.Duration) {
	f.ready.Store(false)
	f.draining.Store(true)
	<-time.After(still)
	f.lnMu.Lock()
	lns := f.lns
	f.lnMu.Unlock()
	for _, ln := range lns { // a process that has taken over has its predecessor's as well
		ln.finish()
		select {
		case <-ln.done: // all are taken in
		case <-f.over:
		}
	}
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for over, end := f.over, (<-chan time.Time)(nil); f.slots.count() > 0; {
		for _, c := range f.slots.shed(0, shedSilent) {
			c.Conn.Close()
		}
		select {
		case <-tick.C:
		case <-over: // requests under way are being answered
			over, end = nil, time.After(killSpare/2)
		case <-end:
			f.srv.Close()
			return
		}
	}
	f.srv.Close()
}

// ServeHTTP answers one request of a client.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			panic(p)
		} else if p != nil {
			f.node.log.Printf("panic: %v\n%s", p, debug.Stack())
			plain(w, http.StatusInternalServerError, "internal error")
		}
	}()
	taken := time.Now()
	slot := slotOf(r)
	defer slot.become(idle)
	head, first := slot.takeHead()
	slot.keepEarly(behind(r, head))
	f.last(w, slot)
	if err := framing(r, head); err != nil {
		f.turnDown(w, r, err)
		return
	}
	if r.URL.Path == readyPath && r.ContentLength == 0 {
		f.health(w)
		return
	}
	q, m, err := f.parse(r)
	var held int64
	if err == nil {
		m.body, m.more, held, err = readBody(w, r, first, f.node.memory)
	}
	if err != nil {
		f.node.memory.release(held)
		f.turnDown(w, r, err)
		return
	}
	if !slot.become(open) {
		f.node.memory.release(held)
		return // closed for another: nothing was sent on
	}
	if left, bound := f.timeLeft(); bound {
		q.Timeout = min(q.Timeout, left-f.node.cfg.Settings.ResponseSlack)
		if q.Timeout <= 0 {
			f.node.memory.release(held)
			w.Header().Set("Connection", "close")
			plain(w, http.StatusServiceUnavailable, "refused: ending")
			return
		}
	}
	if r.Context().Err() != nil {
		f.node.memory.release(held)
		panic(http.ErrAbortHandler) // its client has left: nothing is sent on
	}
	m.gone = slot.gone
	wait := q.Timeout + f.node.cfg.Settings.ResponseSlack // from the request's last byte
	deadline := time.Now().Add(wait)
	late := time.NewTimer(wait)
	defer late.Stop()
	if m.more != nil {
		q.BodyTimeout = m.more.longest()
		deadline = deadline.Add(q.BodyTimeout)
		late.Reset(q.BodyTimeout + wait)
		m.more.grace, m.more.whole = wait, func() { late.Reset(wait) }
		w.Header().Set("Connection", "close") // an answer may come before all of the body
	}
	fl := f.node.begin(q, m, deadline, held)
	if fl == nil {
		plain(w, http.StatusConflict, "X-Trace-Id is in use")
		return
	}
	f.node.counts.taken()
	kind := failed
	defer func() { f.node.counts.over(q.Class, kind) }()
	var a answer
	select {
	case a = <-fl.answer:
	case <-r.Context().Done():
		f.node.abandon(fl)
		if a = <-fl.answer; a.reply.rest != nil {
			a.reply.rest.finish(policy.Cancelled)
		}
		panic(http.ErrAbortHandler) // no answer is due, and the library would word an empty one
	case <-late.C:
		f.node.expire(fl)
		a = <-fl.answer
	case <-f.over:
		f.node.expire(fl)
		a = <-fl.answer
	}
	for _, l := range a.writes {
		<-l.over
	}
	f.last(w, slot) // a drain may have begun since
	if time.Since(taken) > writeLimit/4 {
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit))
	}
	if a.reply.rest != nil {
		if result := f.relay(w, a.reply); result != policy.OK {
			panic(http.ErrAbortHandler) // the client can tell that it is not whole
		}
		kind = served
		return
	}
	kind = a.kind
	f.reply(w, a)
	if m.more != nil && kind != served {
		http.NewResponseController(w).Flush()
		m.more.discard()
	}
}

// last has an answer close its connection where that is wanted. A client that has sent its next request is owed an answer to
// that as well: then a later one does.
func (f *front) last(w http.ResponseWriter, slot *slotConn) {
	if (f.empties() || f.slots.crowded()) && !slot.more() {
		w.Header().Set("Connection", "close")
	}
}

// behind is what came in one piece with a request, whose head is given as it came, and is of the next one.
func behind(r *http.Request, head []byte) []byte {
	end := bytes.Index(head, []byte("\r\n\r\n")) + 4
	if end < 4 || r.ContentLength < 0 || int64(len(head)-end) <= r.ContentLength || !ofRequest(r, head) {
		return nil
	}
	return head[end+int(r.ContentLength):]
}

// relay passes a long answer on as it comes.
func (f *front) relay(w http.ResponseWriter, rep reply) policy.Result {
	setType(w.Header(), rep)
	if rep.rest.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(rep.rest.length, 10)}
	}
	w.WriteHeader(http.StatusOK)
	result := rep.rest.relayTo(w, rep.body)
	rep.rest.finish(result)
	return result
}

// setType passes an answer's type on. Where it has none the library must not guess one.
func setType(h http.Header, rep reply) {
	h["Content-Type"] = nil
	if rep.contentType != "" {
		h["Content-Type"] = []string{rep.contentType}
	}
}

// turnDown answers a request that is the client's mistake. A body that was not read is
// not waited for: what is left of it would be read as the next request.
func (f *front) turnDown(w http.ResponseWriter, r *http.Request, err error) {
	bad := &badRequest{status: http.StatusBadRequest}
	if errors.As(err, &bad); bad.allow != "" {
		w.Header().Set("Allow", bad.allow)
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		// The library reads a short rest before it closes, or the client could miss the answer.
		// Half a body would keep it reading for ever.
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(restWait))
	}
	plain(w, bad.status, err.Error())
}

// framing turns down what can be read in two ways. A request with a Transfer-Encoding as well
// as a Content-Length can hide another one in its body; the library lets the first win and
// hides the second, and ignores the first below HTTP/1.1. So the head is looked at as it came.
func framing(r *http.Request, head []byte) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badRequest{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) == 0 {
		return nil
	}
	if len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked" || !plainlyChunked(r, head) {
		return &badRequest{status: http.StatusLengthRequired, text: "Transfer-Encoding: one \"chunked\" without a Content-Length is wanted"}
	}
	return nil
}

// plainlyChunked tells whether a head is that of the request and has one Transfer-Encoding and
// no Content-Length. What stands behind its empty line is body, whatever it looks like.
func plainlyChunked(r *http.Request, head []byte) bool {
	if !ofRequest(r, head) {
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

// ofRequest tells whether a head is that of the request.
func ofRequest(r *http.Request, head []byte) bool {
	return bytes.HasPrefix(head, []byte(r.Method+" "+r.RequestURI+" "))
}

func (f *front) health(w http.ResponseWriter) {
	if f.takes() {
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
		setType(h, a.reply)
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
func (f *front) parse(r *http.Request) (q policy.Request, m message, err error) {
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
	class, known := f.classes[q.Class]
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
	seconds, ok := loadreport.ParseDecimal(expires)
	if !ok || seconds <= 0 {
		return q, m, bad("X-Expires-In: malformed")
	}
	// Nobody waits for longer than the class's clients do: requests must not pile up.
	seconds = math.Min(seconds, class.Deadline.Seconds())
	q.Timeout = time.Duration(seconds*float64(time.Second)) - transit
	if q.Customer, err = customer(r.URL.RawQuery); err != nil {
		return q, m, err
	}
	if err = f.metering(metering, &q); err != nil {
		return q, m, err
	}
	m = message{target: r.RequestURI, host: r.Host, id: q.ID, contentType: r.Header.Get("Content-Type")}
	m.method = http.MethodPost
	if class.Idempotency == policy.Idempotent {
		m.method = http.MethodGet
	}
	if r.Method != m.method {
		return q, m, &badRequest{http.StatusMethodNotAllowed, "method: the class wants " + m.method, m.method}
	}
	if class.Idempotency == policy.Idempotent && r.ContentLength != 0 {
		return q, m, bad("body: the class has none")
	}
	if class.Idempotency == policy.IdempotentWithKey {
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

// metering takes units, spread and first from X-Metering. What can't be of a usual client
// must not reach the module: it would mark the customer's store in everybody's name.
func (f *front) metering(text string, q *policy.Request) error {
	set := &f.node.cfg.Settings
	number := func(val string, least, most int) (int, bool) {
		x, ok := loadreport.ParseDecimal(val)
		return int(x), ok && x == math.Trunc(x) && x >= float64(least) && x <= float64(most)
	}
	most := set.MaxUnits
	if most <= 0 {
		most = mostUnits
	}
	seen := map[string]bool{}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if seen[name] {
			return bad("X-Metering: %q stands twice", name)
		}
		seen[name] = true
		ok := true
		switch name {
		case "units":
			q.Units, ok = loadreport.ParseDecimal(val)
			ok = ok && q.Units > 0 && q.Units <= most
		case "spread":
			q.InstanceCount, ok = number(val, 1, set.InstanceCount)
		case "first":
			q.FirstInstance, ok = number(val, 0, set.InstanceCount-1)
		}
		if !ok {
			return bad("X-Metering: %s is malformed or out of range", name)
		}
	}
	if !seen["units"] || !seen["spread"] || !seen["first"] {
		return bad("X-Metering: units, spread or first is missing")
	}
	if (set.InstanceIndex-q.FirstInstance+set.InstanceCount)%set.InstanceCount >= q.InstanceCount {
		return bad("X-Metering: the customer does not come through this node")
	}
	return nil
}
