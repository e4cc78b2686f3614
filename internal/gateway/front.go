package gateway

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

const (
	readyPath  = "/health/ready"
	maxBody    = 64 << 10                // bytes that the body of a request may hold
	transit    = 10 * time.Millisecond   // taken off a client's wait, which counts from its send
	restLimit  = 1500 * time.Millisecond // for a request, from its first bytes to its last
	idleLimit  = 30 * time.Second        // for a connection between requests
	writeLimit = 10 * time.Second        // for an answer
	tellAge    = 2 * time.Second         // of a setup that was not confirmed since: answers tell it
	slack      = 5 * time.Second         // by which idleLimit and writeLimit may come early: saves setting them for each request
)

// front is the client side.
type front struct {
	in       *Instance
	ready    atomic.Bool
	draining atomic.Bool
	handlers sync.WaitGroup

	link net.Listener // of other sites' instances; nil: none come

	mu    sync.Mutex
	conns map[*client]struct{}
}

// client is a connection of a client.
type client struct {
	f       *front
	nc      net.Conn
	raw     syscall.RawConn
	rd      *httpwire.Reader
	fl      flight
	out     []byte
	reads   int       // since the request under way began
	idleBy  time.Time // read deadline in force
	writeBy time.Time // write deadline in force
	busy    atomic.Bool
	linked  bool   // it is of another site's instance
	crossed string // then, the last crossing that came on it
}

// serve answers clients until the listener closes.
func (f *front) serve(ln net.Listener) error {
	_, linked := ln.(linkListener)
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
			time.Sleep(time.Millisecond) // a connection may end meanwhile
			continue
		}
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		c := &client{f: f, nc: nc, linked: linked}
		c.rd = httpwire.NewReader(c)
		c.fl.wake = make(chan struct{}, 1)
		if c.raw, err = raw(nc); err != nil {
			nc.Close()
			continue
		}
		f.mu.Lock()
		full := len(f.conns) >= f.in.cfg.MaxClientConns
		if !full {
			f.conns[c] = struct{}{}
		}
		f.mu.Unlock()
		if full && linked { // the handshake is not worth a wait
			nc.Close()
			continue
		}
		if full {
			nc.SetDeadline(time.Now().Add(restLimit))
			io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			nc.Close()
			continue
		}
		f.handlers.Go(c.loop)
	}
}

// Read counts the reads of a request: one that does not come whole in the first gets a
// deadline of its own, so that none holds a connection by sending slowly.
func (c *client) Read(p []byte) (int, error) {
	if c.reads == 1 {
		c.idleBy = time.Now().Add(restLimit)
		c.nc.SetReadDeadline(c.idleBy)
	}
	c.reads++
	return c.nc.Read(p)
}

// loop answers the requests of one connection.
func (c *client) loop() {
	defer func() {
		c.nc.Close()
		c.f.mu.Lock()
		delete(c.f.conns, c)
		c.f.mu.Unlock()
	}()
	if c.linked && !c.shows() {
		return
	}
	// A connection that was made while the instance drains is answered once.
	for first := true; first || !c.f.draining.Load(); first = false {
		if now := time.Now(); c.reads > 1 || c.idleBy.Sub(now) < idleLimit-slack {
			c.idleBy = now.Add(idleLimit)
			c.nc.SetReadDeadline(c.idleBy)
		}
		c.reads = 0
		if c.rd.Fill() != nil {
			return
		}
		c.busy.Store(true)
		again := c.one()
		c.busy.Store(false)
		if !again {
			return
		}
	}
}

// badRequest is a request that the client should not have sent: nothing is sent on, and
// nothing charged.
type badRequest struct {
	status int
	text   string
	allow  string
	wait   time.Duration // of a refusal
	close  bool          // what follows on the connection can't be told apart
	mayRun bool          // it is a second copy
}

func (e *badRequest) Error() string { return e.text }

// errUnconfirmed refuses a request: what is agreed is not known well enough to serve on.
var errUnconfirmed = &badRequest{status: http.StatusServiceUnavailable, text: "refused: trying again at another instance does no harm", wait: time.Second}

// one answers one request; it is false if the connection is to be closed.
func (c *client) one() (again bool) {
	fl := &c.fl
	fl.body, fl.done, fl.pending, fl.waiting, fl.sent, fl.attempts, fl.call = nil, false, false, false, false, 0, nil
	fl.mayRun, fl.linked, fl.over, fl.why = false, c.linked, false, ""
	select {
	case <-fl.wake: // crossed with the end of the last request's time
	default:
	}
	defer func() {
		if p := recover(); p != nil {
			c.f.in.log.Printf("panic: %v\n%s", p, debug.Stack())
			again = false
		}
	}()
	err := c.rd.Request(&fl.head)
	began := time.Now()
	if err != nil {
		return c.unreadable(err)
	}
	if fl.head.Chunked {
		return c.turnDown(&badRequest{status: http.StatusLengthRequired, text: "Content-Length is wanted, not Transfer-Encoding", close: true})
	}
	if fl.head.Length > maxBody {
		return c.turnDown(&badRequest{status: http.StatusRequestEntityTooLarge, text: "body: over 64 KiB", close: true})
	}
	if fl.head.Length > 0 {
		if e, n := fl.head.Values("Expect"); n > 0 && strings.EqualFold(e, "100-continue") && c.rd.Buffered() == 0 {
			c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
		fl.body = make([]byte, fl.head.Length)
		if err := c.rd.Body(fl.body); err != nil {
			return c.turnDown(&badRequest{status: http.StatusBadRequest, text: "body: incomplete", close: true})
		}
	}
	if fl.head.Target == readyPath && fl.head.Method == "GET" {
		return c.health()
	}
	if c.linked && fl.head.Method == "GET" && fl.head.Target == fatePath {
		return c.tellFate()
	}
	if c.linked && fl.head.Method == "GET" && fl.head.Target == loadPath { // this instance lives
		return c.finish(c.begin(http.StatusOK, "OK"), nil, 0)
	}
	q, err := c.f.parse(fl, began)
	if err == nil && c.linked {
		fl.counters = &Counters{} // it counts where it entered
		err = c.come()
	}
	if err != nil {
		return c.turnDown(err)
	}
	fl.deadline = began.Add(q.Timeout + c.f.in.cfg.Settings.ResponseSlack)
	c.f.in.carry(fl, q, c.gone)
	if c.linked {
		c.left()
	}
	return c.answer()
}

// unreadable answers a head that can't be read, if there is one.
func (c *client) unreadable(err error) bool {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, httpwire.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, httpwire.ErrVersion):
		status = http.StatusHTTPVersionNotSupported
	case errors.Is(err, httpwire.ErrCoding):
		status = http.StatusNotImplemented
	case errors.Is(err, httpwire.ErrMalformed), errors.Is(err, httpwire.ErrLength):
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	default: // the connection broke
		return false
	}
	return c.turnDown(&badRequest{status: status, text: err.Error(), close: true})
}

// gone tells whether the client has closed its connection.
func (c *client) gone() bool {
	if c.rd.Buffered() > 0 {
		return false
	}
	gone := false
	var b [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err == syscall.ECONNRESET
		return true
	})
	return gone || err != nil
}

// parse finds a request's operation and what the module must know of it. The version in
// force is read once: the request keeps it.
func (f *front) parse(fl *flight, began time.Time) (q policy.Request, err error) {
	h := &fl.head
	// First its standing, then the version: a version may be put in force in between, which is
	// confirmed then as well.
	fl.age, fl.version = 0, nil
	if f.in.cfg.Agreement != nil {
		var serves bool
		if fl.age, serves = f.in.Confirmation(began); !serves {
			f.in.refused.Add(1)
			return q, errUnconfirmed
		}
	}
	v := f.in.version.Load()
	fl.version = v
	path, query, _ := strings.Cut(h.Target, "?")
	if reason := v.table.CheckPath(path); reason != "" {
		return q, &badRequest{status: http.StatusBadRequest, text: reason}
	}
	if strings.IndexByte(query, '#') >= 0 {
		return q, &badRequest{status: http.StatusBadRequest, text: "the target has a fragment"}
	}
	if h.Nominated {
		// A field that Connection names is dropped on the way: the cost could stand in it.
		return q, &badRequest{status: http.StatusBadRequest, text: "Connection: names other fields than close and keep-alive"}
	}
	if err := overrides(h, query); err != nil {
		return q, err
	}
	op, allow, a := v.table.Match(h.Method, path)
	switch a {
	case routing.UnknownPath:
		return q, &badRequest{status: http.StatusNotFound, text: "no operation has this path"}
	case routing.UnknownMethod:
		return q, &badRequest{status: http.StatusMethodNotAllowed, text: "this path has no such method", allow: allow}
	case routing.Preflight:
		return q, &badRequest{status: http.StatusNoContent, allow: allow}
	}
	fl.op, fl.counters = op, v.ops[op.Index]
	units, err := op.Charge(routing.Request{Query: query, Header: h, Body: fl.body})
	if err != nil {
		return q, err
	}
	if v.check != nil {
		if err := v.check.Check(op, h, fl.body); err != nil {
			return q, &badRequest{status: http.StatusBadRequest, text: err.Error()}
		}
	}
	var n int
	if fl.licensee, n = h.Values("X-Licensee"); n != 1 || fl.licensee == "" {
		return q, &badRequest{status: http.StatusBadRequest, text: "X-Licensee: one is wanted"}
	}
	l, ok := v.licensees[fl.licensee]
	if !ok {
		return q, &badRequest{status: http.StatusForbidden, text: "X-Licensee: is not known"}
	}
	if fl.trace, n = h.Values("X-Trace-Id"); n > 1 || n == 1 && !validTrace(fl.trace) {
		return q, &badRequest{status: http.StatusBadRequest, text: "X-Trace-Id: malformed"}
	} else if n == 0 {
		fl.trace = newTrace()
	}
	grace := op.Class.Deadline
	if text, n := h.Values("X-Expires-In"); n > 0 {
		s, ok := loadreport.ParseDecimal(text)
		if !ok || s <= 0 || n > 1 {
			return q, &badRequest{status: http.StatusBadRequest, text: "X-Expires-In: malformed"}
		}
		if s < grace.Seconds() { // nobody waits for longer than the class's clients do
			grace = time.Duration(s * float64(time.Second))
		}
	}
	fl.units = units
	if fl.homed = f.in.keys != nil && op.KeySource.In != routing.InNowhere; fl.homed {
		fl.key = keyNumber(fl.licensee, op.ReadKey(routing.Request{Query: query, Header: h, Body: fl.body}, path))
	}
	return policy.Request{Class: op.Class.Name, Plan: l.Plan, Customer: l.Customer, Timeout: grace - transit - time.Since(began),
		Units: float64(units), InstanceCount: f.in.cfg.Settings.InstanceCount}, nil
}

// keyNumber gives a licensee's key its number, the same at every instance (FNV-1a).
func keyNumber(licensee, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(licensee))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return h.Sum64()
}

// overrides turns down what makes a server take a request for another than its line
// says.
func overrides(h *httpwire.Head, query string) error {
	for i := range h.Fields {
		switch n := h.Fields[i].Name; len(n) {
		case 13, 17, 22, 14:
			for _, o := range [...]string{"X-HTTP-Method", "X-Method-Override", "X-HTTP-Method-Override", "X-Original-URL", "X-Rewrite-URL"} {
				if len(o) == len(n) && (strings.EqualFold(n, o) || strings.EqualFold(strings.ReplaceAll(n, "_", "-"), o)) {
					return &badRequest{status: http.StatusBadRequest, text: o + ": the method and path are those of the request's line"}
				}
			}
		}
	}
	if strings.Contains(query, "_method") {
		return &badRequest{status: http.StatusBadRequest, text: "_method: the method is that of the request's line"}
	}
	return nil
}

func validTrace(id string) bool {
	for i := range len(id) {
		c := id[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(id) > 0 && len(id) <= 64
}

// begin starts an answer.
func (c *client) begin(status int, reason string) []byte {
	c.fl.head.Close = c.fl.head.Close || c.f.draining.Load()
	b := append(c.out[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	if c.fl.head.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// finish ends an answer with its body and sends it; it is false if the connection is to
// be closed.
func (c *client) finish(b, body []byte, length int) bool {
	if length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, body...)
	if c.out = b[:0]; cap(c.out) > keptBuffer {
		c.out = nil
	}
	return c.write(b) == nil && !c.fl.head.Close
}

func (c *client) write(b []byte) error {
	if now := time.Now(); c.writeBy.Sub(now) < writeLimit-slack {
		c.writeBy = now.Add(writeLimit)
		c.nc.SetWriteDeadline(c.writeBy)
	}
	_, err := c.nc.Write(b)
	return err
}

// answer words the final answer of the flight.
func (c *client) answer() bool {
	fl := &c.fl
	rec := RequestRecord{Trace: fl.trace, Operation: fl.op.ID, Licensee: fl.licensee, Version: fl.version.number, Units: fl.units,
		Sent: fl.sent, Attempts: fl.attempts, Answer: fl.answer.String(), KeyRejection: fl.why}
	var b, body []byte
	length := 0
	switch fl.answer {
	case served:
		fl.counters.Served.Add(1)
		h := &fl.rep.head
		rec.Status = h.Status
		b = c.begin(h.Status, h.Reason)
		for i := range h.Fields {
			f := &h.Fields[i]
			if !httpwire.HopByHop(f.Name) && !strings.EqualFold(f.Name, "Endpoint-Load-Metrics") && !strings.EqualFold(f.Name, "X-Never-Ran") {
				b = httpwire.AppendField(b, f.Name, f.Value)
			}
		}
		body, length = fl.rep.body, len(fl.rep.body)
		if fl.head.Method == "HEAD" || h.Status == 304 {
			length = int(h.Length)
		} else if h.Status == 204 {
			length = -1
		}
	case refused:
		fl.counters.Refused.Add(1)
		if c.linked && !fl.mayRun {
			return c.neverRan("refused", fl.wait)
		}
		rec.Status = http.StatusTooManyRequests
		b = c.begin(rec.Status, "Too Many Requests")
		if fl.wait > 0 {
			b = append(b, "Retry-After: "...)
			b = appendSeconds(b, fl.wait)
			b = append(b, "\r\n"...)
		}
		body = []byte("refused: trying again does no harm\n")
	default:
		fl.counters.Failed.Add(1)
		if c.linked && !fl.mayRun {
			return c.neverRan("failed: nothing was sent on", 0)
		}
		rec.Status = http.StatusBadGateway
		b = c.begin(rec.Status, "Bad Gateway")
		body = []byte("failed: it may have run\n")
		if !fl.sent {
			body = []byte("failed: nothing was sent on\n")
		}
	}
	if fl.answer != served {
		b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
		length = len(body)
		if fl.head.Method == "HEAD" {
			body = nil
		}
	}
	if _, n := fl.head.Values("X-Mulleinmux-Explain"); n > 0 {
		b = fmt.Appendf(b, "X-Mulleinmux-Version: %d\r\nX-Mulleinmux-Operation: %s\r\nX-Mulleinmux-Units: %d\r\nX-Mulleinmux-Attempts: %d\r\n",
			rec.Version, rec.Operation, rec.Units, rec.Attempts)
	}
	if fl.age > tellAge { // cut off: what clients are told may be old
		b = append(b, "X-Mulleinmux-Config-Age: "...)
		b = appendSeconds(b, fl.age)
		b = append(b, "\r\n"...)
	}
	if c.f.in.cfg.Observe != nil && !c.linked {
		c.f.in.cfg.Observe(rec)
	}
	fl.rep.body = nil
	return c.finish(b, body, length)
}

// turnDown answers a request that is the client's mistake.
func (c *client) turnDown(err error) bool {
	e := &badRequest{status: http.StatusBadRequest, text: err.Error()}
	if r, ok := errors.AsType[*routing.ChargeError](err); ok {
		e.status = r.Status
	} else {
		errors.As(err, &e)
	}
	if e.close {
		c.fl.head.Close = true
	}
	if c.linked && !e.close && !e.mayRun { // whatever it is, it did not run here, and the client is not ours to tell
		return c.neverRan(e.text, e.wait)
	}
	if e.status != http.StatusNoContent && e.wait == 0 {
		c.f.in.bad.Add(1)
	}
	b := c.begin(e.status, http.StatusText(e.status))
	if e.wait > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, e.wait)
		b = append(b, "\r\n"...)
	}
	if e.allow != "" {
		b = httpwire.AppendField(b, "Allow", e.allow)
	}
	if e.status == http.StatusNoContent {
		return c.finish(b, nil, -1)
	}
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	body := []byte(e.text + "\n")
	n := len(body)
	if c.fl.head.Method == "HEAD" {
		body = nil
	}
	again := c.finish(b, body, n)
	if e.close {
		c.linger()
	}
	return again
}

// linger reads what a client still sends for a moment, since closing on it could reset
// the connection before the client has read the answer.
func (c *client) linger() {
	if tc, ok := c.nc.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		c.nc.SetReadDeadline(time.Now().Add(restLimit / 6))
		io.CopyN(io.Discard, c.nc, 256<<10)
	}
}

func (c *client) health() bool {
	if _, serves := c.f.in.Confirmation(time.Now()); serves && c.f.ready.Load() {
		return c.finish(c.begin(http.StatusOK, "OK"), []byte("ready\n"), 6)
	}
	return c.finish(c.begin(http.StatusServiceUnavailable, "Service Unavailable"), []byte("not ready\n"), 10)
}
