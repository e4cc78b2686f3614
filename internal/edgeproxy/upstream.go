package edgeproxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

const (
	loadPath     = "/stats"               // an app server's load report
	probeTimeout = 500 * time.Millisecond // a probe that takes longer tells nothing of the present
	idleShare    = 0.8                    // of connIdle after which an idle connection is not used again
	farIdle      = time.Second            // after which an idle connection outside of this node's part is closed
	leastKeep    = 50 * time.Millisecond  // one that rested for less is not reset for that
	staleWithin  = 20 * time.Millisecond  // from the write to the reset of a connection that was given up
	keepDoubles  = 10 * time.Second       // after which idle connections are kept for twice as long again
	maxReply     = 64 << 10               // bytes of an answer's body up to which it is read whole before any goes on
	maxHeads     = 96 << 10               // bytes of an answer's head, with 1xx answers ahead
	maxWire      = 4 * maxReply           // bytes of such a body with its chunks' heads
	maxStream    = 64 << 20               // bytes of an answer; no server makes a longer one
	restLimit    = 250 * time.Millisecond // between the pieces of such an answer
	streamStall  = 10 * time.Second       // between the pieces of one of which some has gone on
)

// message is what goes on to an app server.
type message struct {
	method      string
	target      string // path and query, byte for byte as the client sent them
	host        string
	id          string // X-Trace-Id
	key         string // Idempotency-Key
	contentType string
	body        []byte       // whole, or what is held of it
	more        *intake      // where the rest comes from; nil: body is whole
	gone        func() bool  // whether its client has left, unnoticed by others; nil: not known
	left        *atomic.Bool // set once its client is known to have left; nil: it has none
	leave       *leave       // this attempt's, to be written; nil: nobody takes it back
}

// leave is an attempt's leave to be written, which ends with the request's final answer: an attempt whose connection comes up
// later than that is not sent on, and the answer waits for one that is just being written.
type leave struct {
	state atomic.Int32  // 0: may be written; 1: is being written, or was; 2: will not be
	over  chan struct{} // closed once nothing more of it is written
}

func newLeave() *leave { return &leave{over: make(chan struct{})} }

// take uses the leave, and is false where that is gone.
func (l *leave) take() bool { return l.state.CompareAndSwap(0, 1) }

// end takes the leave back, and is false where it was used.
func (l *leave) end() bool { return l.state.CompareAndSwap(0, 2) }

// reply is an app server's answer: whole, or as much as has come of a long one.
type reply struct {
	body        []byte
	rest        *relay // of a long one; nil: body is whole
	contentType string
	load        *policy.LoadReport // nil: it carried no report
	since       time.Time          // when the connection that it came on was made; zero: there was no answer
}

// upstream holds the connections to app servers. net/http's own client is not used:
// it silently sends a request again when a kept connection turns out dead, which
// would be a second copy. Here one call of exchange writes a request once at most.
type upstream struct {
	dialer  net.Dialer
	maxIdle time.Duration
	rest    time.Duration          // that a connection stands idle at least before its next request
	most    int                    // connections open at once, descriptors being limited
	near    func() map[string]bool // servers to which idle connections are kept; nil, or a nil map: all
	sent    func(left bool)        // called when the last byte of an attempt, not of a probe, is written, telling whether its client had left; may be nil

	mu       sync.Mutex
	backends map[string]*backend
	open     int
}

// backend is an app server and its idle connections, the latest used last.
type backend struct {
	addr netip.AddrPort
	boot time.Duration
	up   bool
	idle []*conn

	keep   time.Duration // for which its idle connections have proved good, from keepAt; 0: for maxIdle
	keepAt time.Time
}

// conn is a connection to a backend. It carries one request at a time.
type conn struct {
	net.Conn
	raw  syscall.RawConn
	in   *inlet
	br   *bufio.Reader // over in
	of   *backend      // to which it may return; connections of a moved or restarted server belong to none
	idle time.Time
	made time.Time

	rested time.Duration // how long it stood idle before the exchange under way; 0 for a new one
}

// inlet is what comes in on a connection, bounded for each answer: by bytes against
// heads and bodies without end, and by time against half an answer.
type inlet struct {
	conn    net.Conn
	ctx     context.Context // of the exchange
	left    int             // bytes that the answer may still take
	begun   bool            // some of the answer has come
	hurried bool            // the next piece has a deadline of its own
	until   time.Time       // when to give up waiting, beside the exchange's end; zero: no such time
	stall   time.Duration   // between pieces
	err     error           // how the connection failed
}

var errTooLong = errors.New("answer too long")

// expect prepares for an answer.
func (in *inlet) expect(ctx context.Context) {
	in.ctx, in.left, in.begun, in.stall, in.until = ctx, maxHeads, false, restLimit, time.Time{}
}

func (in *inlet) Read(p []byte) (int, error) {
	if in.left <= 0 {
		return 0, errTooLong
	}
	if in.begun { // most answers come whole in the first read
		in.hurried = true
		in.conn.SetReadDeadline(time.Now().Add(in.stall))
		if in.ctx.Err() != nil { // the end of ctx set a deadline that this one has replaced
			in.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	n, err := in.conn.Read(p[:min(len(p), in.left)])
	in.left -= n
	in.begun = in.begun || n > 0
	if err != nil {
		in.err = err
	}
	return n, err
}

// settle takes the deadline of a rest off.
func (in *inlet) settle() {
	if in.hurried {
		in.hurried = false
		in.conn.SetReadDeadline(in.until)
	}
}

func newUpstream(t simwire.ConnectionSettings, most int) *upstream {
	return &upstream{
		dialer:   net.Dialer{Timeout: t.ConnectTimeout, KeepAlive: -1},
		maxIdle:  time.Duration(idleShare * float64(t.ConnIdleTimeout)),
		most:     most,
		backends: map[string]*backend{},
	}
}

// update takes in entries of the list and returns the idle connections that are of
// no more use, for the caller to close. A server that drains, moved, restarted or
// vanished from the list keeps none.
func (u *upstream) update(entries []discovery.Endpoint, full bool) (stale []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		if e.State == policy.Removed {
			if b := u.backends[e.ID]; b != nil {
				stale = append(stale, u.drop(e.ID, b)...)
			}
			continue
		}
		listed[e.ID] = true
		b := u.backends[e.ID]
		if b != nil && (b.addr != e.Addr || b.boot != e.StartedAt) {
			stale = append(stale, u.drop(e.ID, b)...)
			b = nil
		}
		if b == nil {
			b = &backend{addr: e.Addr, boot: e.StartedAt}
			u.backends[e.ID] = b
		}
		if b.up = e.State == policy.Up; !b.up {
			stale, b.idle = append(stale, b.idle...), nil
		}
	}
	if full {
		for id, b := range u.backends {
			if !listed[id] {
				stale = append(stale, u.drop(id, b)...)
			}
		}
	}
	u.open -= len(stale)
	return stale
}

// drop forgets a backend and returns its idle connections.
func (u *upstream) drop(id string, b *backend) []*conn {
	idle := b.idle
	b.up, b.idle = false, nil
	delete(u.backends, id)
	return idle
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}

// reap closes what has been idle for too long, once every period until ctx ends.
func (u *upstream) reap(ctx context.Context) {
	tick := time.NewTicker(max(u.maxIdle/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		closeAll(u.stand())
	}
}

// stand takes the connections that have been idle for too long out of their pools, for the caller to close: at servers
// outside of this node's part soon, for each server holds only so many and a fleet's nodes are many.
func (u *upstream) stand() (stale []*conn) {
	var near map[string]bool
	if u.near != nil {
		near = u.near()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, b := range u.backends {
		most := u.maxIdle
		if near != nil && !near[id] {
			most = min(most, farIdle)
		}
		fresh := 0
		for fresh < len(b.idle) && time.Since(b.idle[fresh].idle) >= most {
			fresh++
		}
		stale = append(stale, b.idle[:fresh]...)
		b.idle = append([]*conn(nil), b.idle[fresh:]...)
	}
	u.open -= len(stale)
	return stale
}

var (
	errUnknown = errors.New("server is not up in the list")
	errBudget  = errors.New("no descriptor left for a connection")
	errGone    = errors.New("the client has left")
	errOver    = errors.New("the request has its final answer")
)

// take returns a connection to the server: the idle one used last, if it still
// lives, or a new one.
func (u *upstream) take(ctx context.Context, server string) (*conn, error) {
	for {
		u.mu.Lock()
		b := u.backends[server]
		if b == nil || !b.up {
			u.mu.Unlock()
			return nil, errUnknown
		}
		if n := b.rested(u.rest); n >= 0 {
			c := b.idle[n]
			b.idle = slices.Delete(b.idle, n, n+1)
			keep := u.keepFor(b)
			u.mu.Unlock()
			if c.rested = time.Since(c.idle); c.rested < keep && c.quiet() {
				return c, nil
			}
			u.discard(c)
			continue
		}
		var spare *conn
		if u.open >= u.most {
			if spare = u.longestIdle(); spare == nil {
				u.mu.Unlock()
				return nil, errBudget
			}
			u.open--
		}
		u.open++
		u.mu.Unlock()
		if spare != nil {
			spare.Close()
		}
		return u.dial(ctx, b)
	}
}

// restLeast is how long a connection stands idle before its next request. A server's, or a proxy's, fault may send an answer twice, the second
// some milliseconds late: what comes meanwhile shows in quiet, where later it would be taken for the next request's answer.
const restLeast = 50 * time.Millisecond

// rested is the place of the idle connection used last that may be used again, -1 where there is none. Called under the mutex.
func (b *backend) rested(least time.Duration) int {
	for n := len(b.idle) - 1; n >= 0; n-- {
		if time.Since(b.idle[n].idle) >= least {
			return n
		}
	}
	return -1
}

// longestIdle takes the connection that has been idle for longest out of its pool,
// or returns nil. Called under the mutex.
func (u *upstream) longestIdle() *conn {
	var of *backend
	for _, b := range u.backends {
		if len(b.idle) > 0 && (of == nil || b.idle[0].idle.Before(of.idle[0].idle)) {
			of = b
		}
	}
	if of == nil {
		return nil
	}
	c := of.idle[0]
	of.idle = of.idle[1:]
	return c
}

// dial makes a connection, which is already counted.
func (u *upstream) dial(ctx context.Context, b *backend) (*conn, error) {
	nc, err := u.dialer.DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		u.uncount()
		return nil, err
	}
	in := &inlet{conn: nc}
	c := &conn{Conn: nc, in: in, br: bufio.NewReader(in), of: b, made: time.Now()}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		u.discard(c)
		return nil, err
	}
	if !u.up(b) {
		// The list changed while the connection came up: nothing new may go there.
		u.discard(c)
		return nil, errUnknown
	}
	return c, nil
}

// up tells whether the list says that something new may go to a backend.
func (u *upstream) up(b *backend) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return b.up
}

func (u *upstream) uncount() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

func (u *upstream) discard(c *conn) {
	c.Close()
	u.uncount()
}

// giveBack returns a connection whose exchange is over to its pool.
func (u *upstream) giveBack(c *conn) {
	u.mu.Lock()
	if c.of.up {
		c.idle = time.Now()
		c.of.idle = append(c.of.idle, c)
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	u.discard(c)
}

// quiet tells whether an idle connection is as it was left: open, with nothing to
// read. One that the server has closed, or on which something came unasked, would
// end a request written to it as a reset, which may not be repeated freely.
func (c *conn) quiet() bool {
	var b [1]byte
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// may is asked right before an attempt's first byte. Since the connection was asked for its client may have left or its time have ended,
// which another goroutine brings to the connection later, or the list may have said that the server drains.
func (u *upstream) may(ctx context.Context, c *conn, m *message) error {
	if m.gone != nil && m.gone() {
		return errGone
	}
	if !u.up(c.of) {
		return errUnknown
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if m.leave != nil && !m.leave.take() {
		return errOver
	}
	return nil
}

// exchange writes the message to the server, once at most, and reads the whole
// answer. It gives up when ctx ends, by closing the connection before it returns.
func (u *upstream) exchange(ctx context.Context, server string, m *message) (reply, policy.Result) {
	if m.more != nil && m.more.used.Load() {
		return reply{}, policy.NotSent // some of its body is gone
	}
	c, err := u.take(ctx, server)
	if err != nil {
		return reply{}, neverSent(ctx, err)
	}
	c.in.expect(ctx)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	req := m.request(ctx)
	if err := u.may(ctx, c, m); err != nil {
		stop()
		u.discard(c)
		return reply{}, neverSent(ctx, err)
	}
	if m.more != nil {
		if m.leave != nil {
			close(m.leave.over) // an answer may come before all of a long body
		}
		err = m.more.pass(req, c)
	} else {
		var out bytes.Buffer
		if err = req.Write(&out); err == nil {
			_, err = c.Write(out.Bytes())
		}
		if m.leave != nil {
			close(m.leave.over)
		}
	}
	if err != nil {
		// A server begins a request when its last byte has come, and that was not written.
		stop()
		u.discard(c)
		return reply{}, neverSent(ctx, err)
	}
	if m.more != nil {
		// The client's wait begins now, and ctx, which was made before, knows nothing of it.
		c.in.until = time.Now().Add(m.more.grace)
		c.SetReadDeadline(c.in.until)
		if ctx.Err() != nil {
			c.SetDeadline(time.Unix(1, 0))
		}
	}
	written := time.Now()
	if u.sent != nil && m.id != "" {
		u.sent(m.left != nil && m.left.Load())
	}
	rep, result, reuse := c.read(req)
	if result == policy.ConnectionReset && !c.in.begun && c.rested >= leastKeep && time.Since(written) < staleWithin {
		u.stale(c)
	}
	if rep.rest != nil {
		if !stop() { // given up: nothing of it goes on
			u.discard(c)
			return reply{}, policy.Cancelled
		}
		rep.rest.up, rep.since = u, c.made
		return rep, policy.OK
	}
	if m.more != nil {
		c.SetReadDeadline(time.Time{})
		if result == policy.ConnectionReset && errors.Is(c.in.err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			result = policy.TimedOut
		}
	}
	// stop is false once the deadline has been tampered with.
	if stop() && reuse {
		u.giveBack(c)
	} else {
		u.discard(c)
	}
	if result == policy.ConnectionReset && ctx.Err() != nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			result = policy.Cancelled
		case c.in.begun: // half an answer is no silence
			result = policy.ErrorResponse
		default:
			result = policy.TimedOut
		}
	}
	switch result {
	case policy.TimedOut:
		u.distrust(c.of)
	case policy.OK, policy.RejectedByServer, policy.ErrorResponse:
		rep.since = c.made
	}
	return rep, result
}

// stale learns from a kept connection that was reset as soon as it was written to: the
// server, or something on the way, gives idle connections up sooner than it tells. A
// request that meets one may have run. From then on the server's connections are kept
// for half as long as this one stood idle, which doubles again in time.
func (u *upstream) stale(c *conn) {
	u.mu.Lock()
	b := c.of
	b.keep, b.keepAt = max(c.rested/2, leastKeep), time.Now()
	u.mu.Unlock()
	u.distrust(b)
}

// keepFor is how long an idle connection of the backend may be used again. Called under
// the mutex.
func (u *upstream) keepFor(b *backend) time.Duration {
	if b.keep == 0 {
		return u.maxIdle
	}
	doubled := time.Since(b.keepAt) / keepDoubles
	if doubled > 20 || b.keep<<doubled >= u.maxIdle {
		b.keep = 0
		return u.maxIdle
	}
	return b.keep << doubled
}

// distrust closes a backend's idle connections after silence on one. A machine that
// vanished or is cut off leaves all of them open and silent; a request written to one
// more would time out as well and might have run, while a new connection that does
// not come up proves that it has not.
func (u *upstream) distrust(b *backend) {
	u.mu.Lock()
	stale := b.idle
	b.idle = nil
	u.open -= len(stale)
	u.mu.Unlock()
	closeAll(stale)
}

// neverSent is the result of an attempt whose last byte was not written, for an error. Where its
// own time ended first, that says nothing of the server.
func neverSent(ctx context.Context, err error) policy.Result {
	for _, own := range []error{errBudget, syscall.EMFILE, syscall.ENFILE, errIntake, errGone, errOver} {
		if errors.Is(err, own) {
			return policy.NotSent // no fault of the server's
		}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case ctx.Err() != nil:
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// request words the message. The target goes on as it came: as the opaque part of
// an address it is not encoded anew.
func (m *message) request(ctx context.Context) *http.Request {
	path, query, force := strings.Cut(m.target, "?")
	h := http.Header{"User-Agent": {""}} // none, rather than the library's own
	if m.id != "" {
		h["X-Trace-Id"] = []string{m.id}
	}
	if m.key != "" {
		h["Idempotency-Key"] = []string{m.key}
	}
	if m.contentType != "" {
		h["Content-Type"] = []string{m.contentType}
	}
	if until, ok := ctx.Deadline(); ok {
		left := math.Max(time.Until(until).Seconds(), 0.001)
		h["X-Expires-In"] = []string{strconv.FormatFloat(left, 'f', 3, 64)}
	}
	req := &http.Request{Method: m.method, Host: m.host, Header: h,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: force}}
	if req.Host == "" {
		req.Host = "app.svc"
	}
	if m.more != nil {
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(m.body), m.more)), m.more.length
	} else if len(m.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
	}
	return req
}

// read reads the whole answer and tells whether the connection can be used again.
// An answer that came and can't be read is an error: only a connection that broke is
// a reset, which hints at a server that has restarted. Nothing of a spoilt answer is
// read to its end: the connection is closed instead.
func (c *conn) read(req *http.Request) (rep reply, result policy.Result, reuse bool) {
	failure := func() (reply, policy.Result, bool) {
		if c.in.err == nil || c.in.hurried && errors.Is(c.in.err, os.ErrDeadlineExceeded) {
			return reply{}, policy.ErrorResponse, false
		}
		return reply{}, policy.ConnectionReset, false
	}
	resp, err := http.ReadResponse(c.br, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.in.settle()
		c.in.begun = c.br.Buffered() > 0 // the answer that counts may come later
		resp, err = http.ReadResponse(c.br, req)
	}
	if err != nil {
		return failure()
	}
	c.in.left = maxWire
	if resp.ContentLength > maxStream {
		return reply{}, policy.ErrorResponse, false
	}
	// One that tells no length ends with its connection, by a close and not a reset.
	var body []byte
	long := resp.ContentLength > maxReply
	if resp.ContentLength < 0 {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
		long = len(body) > maxReply
	} else if !long {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	}
	if err != nil {
		return failure()
	}
	rep = reply{body: body, contentType: resp.Header.Get("Content-Type")}
	if long {
		if resp.StatusCode != http.StatusOK {
			return reply{}, policy.ErrorResponse, false
		}
		rep.rest = &relay{c: c, body: resp.Body, length: resp.ContentLength, close: resp.Close, done: make(chan policy.Result, 1)}
	}
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" {
		rep.load = loadreport.Parse(text)
	}
	if long {
		return rep, policy.OK, false
	}
	c.in.settle()
	// What stands behind the answer belongs to no request: the next one would take it for its own.
	reuse = !resp.Close && c.br.Buffered() == 0
	switch {
	case resp.StatusCode == http.StatusOK:
		return rep, policy.OK, reuse
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return rep, policy.RejectedByServer, reuse
	}
	return rep, policy.ErrorResponse, reuse
}

// idleAll takes all idle connections out of their pools, for the caller to close.
func (u *upstream) idleAll() (idle []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.backends {
		idle = append(idle, b.idle...)
		b.idle = nil
	}
	u.open -= len(idle)
	return idle
}

// shut closes all idle connections.
func (u *upstream) shut() {
	stale := u.update(nil, true)
	closeAll(stale)
}
