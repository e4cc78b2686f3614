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
	loadReportPath              = "/stats"                // an app server's load report
	healthCheckTimeout          = 500 * time.Millisecond  // a probe that takes longer tells nothing of the present
	idleTimeoutFraction         = 0.8                     // of connIdle after which an idle connection is not used again
	outsideSubsetIdleTimeout    = time.Second             // after which an idle connection outside of this node's part is closed
	minIdleTimeout              = 50 * time.Millisecond   // one that rested for less is not reset for that
	staleResetWindow            = 20 * time.Millisecond   // from the write to the reset of a connection that was given up
	idleTimeoutDoublingInterval = 10 * time.Second        // after which idle connections are kept for twice as long again
	maxBufferedResponse         = 64 << 10                // bytes of an answer's body up to which it is read whole before any goes on
	maxResponseHeads            = 96 << 10                // bytes of an answer's head, with 1xx answers ahead
	maxBufferedResponseWire     = 4 * maxBufferedResponse // bytes of such a body with its chunks' heads
	maxStreamedResponse         = 64 << 20                // bytes of an answer; no server makes a longer one
	responsePieceTimeout        = 250 * time.Millisecond  // between the pieces of such an answer
	streamPieceTimeout          = 10 * time.Second        // between the pieces of one of which some has gone on
)

// serverRequest is what goes on to an app server.
type serverRequest struct {
	method       string
	target       string // path and query, byte for byte as the client sent them
	host         string
	id           string // X-Trace-Id
	key          string // Idempotency-Key
	contentType  string
	body         []byte       // whole, or what is held of it
	rest         *requestBody // where the rest comes from; nil: body is whole
	isClientGone func() bool  // whether its client has left, unnoticed by others; nil: not known
	clientLeft   *atomic.Bool // set once its client is known to have left; nil: it has none
	permit       *sendPermit  // this attempt's, to be written; nil: nobody takes it back
}

// sendPermit is an attempt's leave to be written, which ends with the request's final answer: an attempt whose connection comes up
// later than that is not sent on, and the answer waits for one that is just being written.
type sendPermit struct {
	state atomic.Int32  // 0: may be written; 1: is being written, or was; 2: will not be
	done  chan struct{} // closed once nothing more of it is written
}

func newSendPermit() *sendPermit { return &sendPermit{done: make(chan struct{})} }

// use uses the leave, and is false where that is gone.
func (l *sendPermit) use() bool { return l.state.CompareAndSwap(0, 1) }

// revoke takes the leave back, and is false where it was used.
func (l *sendPermit) revoke() bool { return l.state.CompareAndSwap(0, 2) }

// serverResponse is an app server's answer: whole, or as much as has come of a long one.
type serverResponse struct {
	body        []byte
	stream      *responseStream // of a long one; nil: body is whole
	contentType string
	loadReport  *policy.LoadReport // nil: it carried no report
	connectedAt time.Time          // when the connection that it came on was made; zero: there was no answer
}

// serverPool holds the connections to app servers. net/http's own client is not used:
// it silently sends a request again when a kept connection turns out dead, which
// would be a second copy. Here one call of exchange writes a request once at most.
type serverPool struct {
	dialer         net.Dialer
	maxIdleTimeout time.Duration
	minIdleTime    time.Duration          // that a connection stands idle at least before its next request
	maxConns       int                    // connections open at once, descriptors being limited
	subsetServers  func() map[string]bool // servers to which idle connections are kept; nil, or a nil map: all
	onSent         func(left bool)        // called when the last byte of an attempt, not of a probe, is written, telling whether its client had left; may be nil

	mu        sync.Mutex
	servers   map[string]*serverConns
	openCount int
}

// serverConns is an app server and its idle connections, the latest used last.
type serverConns struct {
	addr      netip.AddrPort
	startedAt time.Duration
	isUp      bool
	idle      []*serverConn

	learnedIdleTimeout time.Duration // for which its idle connections have proved good, from keepAt; 0: for maxIdle
	learnedAt          time.Time
}

// serverConn is a connection to a backend. It carries one request at a time.
type serverConn struct {
	net.Conn
	raw         syscall.RawConn
	reader      *responseReader
	buffered    *bufio.Reader // over in
	server      *serverConns  // to which it may return; connections of a moved or restarted server belong to none
	idleSince   time.Time
	connectedAt time.Time

	idleTime time.Duration // how long it stood idle before the exchange under way; 0 for a new one
}

// responseReader is what comes in on a connection, bounded for each answer: by bytes against
// heads and bodies without end, and by time against half an answer.
type responseReader struct {
	conn             net.Conn
	ctx              context.Context // of the exchange
	remainingBytes   int             // bytes that the answer may still take
	hasBegun         bool            // some of the answer has come
	hasPieceDeadline bool            // the next piece has a deadline of its own
	deadline         time.Time       // when to give up waiting, beside the exchange's end; zero: no such time
	pieceTimeout     time.Duration   // between pieces
	err              error           // how the connection failed
}

var errResponseTooLong = errors.New("answer too long")

// expect prepares for an answer.
func (in *responseReader) expect(ctx context.Context) {
	in.ctx, in.remainingBytes, in.hasBegun, in.pieceTimeout, in.deadline = ctx, maxResponseHeads, false, responsePieceTimeout, time.Time{}
}

func (in *responseReader) Read(p []byte) (int, error) {
	if in.remainingBytes <= 0 {
		return 0, errResponseTooLong
	}
	if in.hasBegun { // most answers come whole in the first read
		in.hasPieceDeadline = true
		in.conn.SetReadDeadline(time.Now().Add(in.pieceTimeout))
		if in.ctx.Err() != nil { // the end of ctx set a deadline that this one has replaced
			in.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	n, err := in.conn.Read(p[:min(len(p), in.remainingBytes)])
	in.remainingBytes -= n
	in.hasBegun = in.hasBegun || n > 0
	if err != nil {
		in.err = err
	}
	return n, err
}

// clearPieceDeadline takes the deadline of a rest off.
func (in *responseReader) clearPieceDeadline() {
	if in.hasPieceDeadline {
		in.hasPieceDeadline = false
		in.conn.SetReadDeadline(in.deadline)
	}
}

func newServerPool(t simwire.Transport, most int) *serverPool {
	return &serverPool{
		dialer:         net.Dialer{Timeout: t.ConnectTimeout, KeepAlive: -1},
		maxIdleTimeout: time.Duration(idleTimeoutFraction * float64(t.ConnIdle)),
		maxConns:       most,
		servers:        map[string]*serverConns{},
	}
}

// updateEndpoints takes in entries of the list and returns the idle connections that are of
// no more use, for the caller to close. A server that drains, moved, restarted or
// vanished from the list keeps none.
func (u *serverPool) updateEndpoints(entries []discovery.Instance, full bool) (stale []*serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		if e.State == policy.Removed {
			if b := u.servers[e.ID]; b != nil {
				stale = append(stale, u.removeServer(e.ID, b)...)
			}
			continue
		}
		listed[e.ID] = true
		b := u.servers[e.ID]
		if b != nil && (b.addr != e.Addr || b.startedAt != e.StartedAt) {
			stale = append(stale, u.removeServer(e.ID, b)...)
			b = nil
		}
		if b == nil {
			b = &serverConns{addr: e.Addr, startedAt: e.StartedAt}
			u.servers[e.ID] = b
		}
		if b.isUp = e.State == policy.Up; !b.isUp {
			stale, b.idle = append(stale, b.idle...), nil
		}
	}
	if full {
		for id, b := range u.servers {
			if !listed[id] {
				stale = append(stale, u.removeServer(id, b)...)
			}
		}
	}
	u.openCount -= len(stale)
	return stale
}

// removeServer forgets a backend and returns its idle connections.
func (u *serverPool) removeServer(id string, b *serverConns) []*serverConn {
	idle := b.idle
	b.isUp, b.idle = false, nil
	delete(u.servers, id)
	return idle
}

func closeConns(conns []*serverConn) {
	for _, c := range conns {
		c.Close()
	}
}

// runIdlePruning closes what has been idle for too long, once every period until ctx ends.
func (u *serverPool) runIdlePruning(ctx context.Context) {
	tick := time.NewTicker(max(u.maxIdleTimeout/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		closeConns(u.pruneIdle())
	}
}

// pruneIdle takes the connections that have been idle for too long out of their pools, for the caller to close: at servers
// outside of this node's part soon, for each server holds only so many and a fleet's nodes are many.
func (u *serverPool) pruneIdle() (stale []*serverConn) {
	var near map[string]bool
	if u.subsetServers != nil {
		near = u.subsetServers()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, b := range u.servers {
		most := u.maxIdleTimeout
		if near != nil && !near[id] {
			most = min(most, outsideSubsetIdleTimeout)
		}
		fresh := 0
		for fresh < len(b.idle) && time.Since(b.idle[fresh].idleSince) >= most {
			fresh++
		}
		stale = append(stale, b.idle[:fresh]...)
		b.idle = append([]*serverConn(nil), b.idle[fresh:]...)
	}
	u.openCount -= len(stale)
	return stale
}

var (
	errServerNotUp     = errors.New("server is not up in the list")
	errNoDescriptor    = errors.New("no descriptor left for a connection")
	errClientGone      = errors.New("the client has left")
	errAlreadyAnswered = errors.New("the request has its final answer")
)

// acquire returns a connection to the server: the idle one used last, if it still
// lives, or a new one.
func (u *serverPool) acquire(ctx context.Context, server string) (*serverConn, error) {
	for {
		u.mu.Lock()
		b := u.servers[server]
		if b == nil || !b.isUp {
			u.mu.Unlock()
			return nil, errServerNotUp
		}
		if n := b.latestReusable(u.minIdleTime); n >= 0 {
			c := b.idle[n]
			b.idle = slices.Delete(b.idle, n, n+1)
			keep := u.idleTimeout(b)
			u.mu.Unlock()
			if c.idleTime = time.Since(c.idleSince); c.idleTime < keep && c.isQuiet() {
				return c, nil
			}
			u.discard(c)
			continue
		}
		var spare *serverConn
		if u.openCount >= u.maxConns {
			if spare = u.takeLongestIdle(); spare == nil {
				u.mu.Unlock()
				return nil, errNoDescriptor
			}
			u.openCount--
		}
		u.openCount++
		u.mu.Unlock()
		if spare != nil {
			spare.Close()
		}
		return u.dial(ctx, b)
	}
}

// defaultMinIdleTime is how long a connection stands idle before its next request. A server's, or a proxy's, fault may send an answer twice, the second
// some milliseconds late: what comes meanwhile shows in quiet, where later it would be taken for the next request's answer.
const defaultMinIdleTime = 50 * time.Millisecond

// latestReusable is the place of the idle connection used last that may be used again, -1 where there is none. Called under the mutex.
func (b *serverConns) latestReusable(least time.Duration) int {
	for n := len(b.idle) - 1; n >= 0; n-- {
		if time.Since(b.idle[n].idleSince) >= least {
			return n
		}
	}
	return -1
}

// takeLongestIdle takes the connection that has been idle for longest out of its pool,
// or returns nil. Called under the mutex.
func (u *serverPool) takeLongestIdle() *serverConn {
	var of *serverConns
	for _, b := range u.servers {
		if len(b.idle) > 0 && (of == nil || b.idle[0].idleSince.Before(of.idle[0].idleSince)) {
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
func (u *serverPool) dial(ctx context.Context, b *serverConns) (*serverConn, error) {
	nc, err := u.dialer.DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		u.decrementOpen()
		return nil, err
	}
	in := &responseReader{conn: nc}
	c := &serverConn{Conn: nc, reader: in, buffered: bufio.NewReader(in), server: b, connectedAt: time.Now()}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		u.discard(c)
		return nil, err
	}
	if !u.isUp(b) {
		// The list changed while the connection came up: nothing new may go there.
		u.discard(c)
		return nil, errServerNotUp
	}
	return c, nil
}

// isUp tells whether the list says that something new may go to a backend.
func (u *serverPool) isUp(b *serverConns) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return b.isUp
}

func (u *serverPool) decrementOpen() {
	u.mu.Lock()
	u.openCount--
	u.mu.Unlock()
}

func (u *serverPool) discard(c *serverConn) {
	c.Close()
	u.decrementOpen()
}

// release returns a connection whose exchange is over to its pool.
func (u *serverPool) release(c *serverConn) {
	u.mu.Lock()
	if c.server.isUp {
		c.idleSince = time.Now()
		c.server.idle = append(c.server.idle, c)
		u.mu.Unlock()
		return
	}
	u.mu.Unlock()
	u.discard(c)
}

// isQuiet tells whether an idle connection is as it was left: open, with nothing to
// read. One that the server has closed, or on which something came unasked, would
// end a request written to it as a reset, which may not be repeated freely.
func (c *serverConn) isQuiet() bool {
	var b [1]byte
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// checkBeforeSend is asked right before an attempt's first byte. Since the connection was asked for its client may have left or its time have ended,
// which another goroutine brings to the connection later, or the list may have said that the server drains.
func (u *serverPool) checkBeforeSend(ctx context.Context, c *serverConn, m *serverRequest) error {
	if m.isClientGone != nil && m.isClientGone() {
		return errClientGone
	}
	if !u.isUp(c.server) {
		return errServerNotUp
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if m.permit != nil && !m.permit.use() {
		return errAlreadyAnswered
	}
	return nil
}

// exchange writes the message to the server, once at most, and reads the whole
// answer. It gives up when ctx ends, by closing the connection before it returns.
func (u *serverPool) exchange(ctx context.Context, server string, m *serverRequest) (serverResponse, policy.Result) {
	if m.rest != nil && m.rest.isUsed.Load() {
		return serverResponse{}, policy.NotSent // some of its body is gone
	}
	c, err := u.acquire(ctx, server)
	if err != nil {
		return serverResponse{}, unsentResult(ctx, err)
	}
	c.reader.expect(ctx)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	req := m.httpRequest(ctx)
	if err := u.checkBeforeSend(ctx, c, m); err != nil {
		stop()
		u.discard(c)
		return serverResponse{}, unsentResult(ctx, err)
	}
	if m.rest != nil {
		if m.permit != nil {
			close(m.permit.done) // an answer may come before all of a long body
		}
		err = m.rest.forward(req, c)
	} else {
		var out bytes.Buffer
		if err = req.Write(&out); err == nil {
			_, err = c.Write(out.Bytes())
		}
		if m.permit != nil {
			close(m.permit.done)
		}
	}
	if err != nil {
		// A server begins a request when its last byte has come, and that was not written.
		stop()
		u.discard(c)
		return serverResponse{}, unsentResult(ctx, err)
	}
	if m.rest != nil {
		// The client's wait begins now, and ctx, which was made before, knows nothing of it.
		c.reader.deadline = time.Now().Add(m.rest.responseTimeout)
		c.SetReadDeadline(c.reader.deadline)
		if ctx.Err() != nil {
			c.SetDeadline(time.Unix(1, 0))
		}
	}
	written := time.Now()
	if u.onSent != nil && m.id != "" {
		u.onSent(m.clientLeft != nil && m.clientLeft.Load())
	}
	rep, result, reuse := c.readResponse(req)
	if result == policy.ConnectionReset && !c.reader.hasBegun && c.idleTime >= minIdleTimeout && time.Since(written) < staleResetWindow {
		u.shortenIdleTimeout(c)
	}
	if rep.stream != nil {
		if !stop() { // given up: nothing of it goes on
			u.discard(c)
			return serverResponse{}, policy.Cancelled
		}
		rep.stream.pool, rep.connectedAt = u, c.connectedAt
		return rep, policy.OK
	}
	if m.rest != nil {
		c.SetReadDeadline(time.Time{})
		if result == policy.ConnectionReset && errors.Is(c.reader.err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			result = policy.TimedOut
		}
	}
	// stop is false once the deadline has been tampered with.
	if stop() && reuse {
		u.release(c)
	} else {
		u.discard(c)
	}
	if result == policy.ConnectionReset && ctx.Err() != nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			result = policy.Cancelled
		case c.reader.hasBegun: // half an answer is no silence
			result = policy.ErrorResponse
		default:
			result = policy.TimedOut
		}
	}
	switch result {
	case policy.TimedOut:
		u.closeIdleOf(c.server)
	case policy.OK, policy.RejectedByServer, policy.ErrorResponse:
		rep.connectedAt = c.connectedAt
	}
	return rep, result
}

// shortenIdleTimeout learns from a kept connection that was reset as soon as it was written to: the
// server, or something on the way, gives idle connections up sooner than it tells. A
// request that meets one may have run. From then on the server's connections are kept
// for half as long as this one stood idle, which doubles again in time.
func (u *serverPool) shortenIdleTimeout(c *serverConn) {
	u.mu.Lock()
	b := c.server
	b.learnedIdleTimeout, b.learnedAt = max(c.idleTime/2, minIdleTimeout), time.Now()
	u.mu.Unlock()
	u.closeIdleOf(b)
}

// idleTimeout is how long an idle connection of the backend may be used again. Called under
// the mutex.
func (u *serverPool) idleTimeout(b *serverConns) time.Duration {
	if b.learnedIdleTimeout == 0 {
		return u.maxIdleTimeout
	}
	doubled := time.Since(b.learnedAt) / idleTimeoutDoublingInterval
	if doubled > 20 || b.learnedIdleTimeout<<doubled >= u.maxIdleTimeout {
		b.learnedIdleTimeout = 0
		return u.maxIdleTimeout
	}
	return b.learnedIdleTimeout << doubled
}

// closeIdleOf closes a backend's idle connections after silence on one. A machine that
// vanished or is cut off leaves all of them open and silent; a request written to one
// more would time out as well and might have run, while a new connection that does
// not come up proves that it has not.
func (u *serverPool) closeIdleOf(b *serverConns) {
	u.mu.Lock()
	stale := b.idle
	b.idle = nil
	u.openCount -= len(stale)
	u.mu.Unlock()
	closeConns(stale)
}

// unsentResult is the result of an attempt whose last byte was not written, for an error. Where its
// own time ended first, that says nothing of the server.
func unsentResult(ctx context.Context, err error) policy.Result {
	for _, own := range []error{errNoDescriptor, syscall.EMFILE, syscall.ENFILE, errBodyIncomplete, errClientGone, errAlreadyAnswered} {
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

// httpRequest words the message. The target goes on as it came: as the opaque part of
// an address it is not encoded anew.
func (m *serverRequest) httpRequest(ctx context.Context) *http.Request {
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
	if m.rest != nil {
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(m.body), m.rest)), m.rest.length
	} else if len(m.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
	}
	return req
}

// readResponse reads the whole answer and tells whether the connection can be used again.
// An answer that came and can't be read is an error: only a connection that broke is
// a reset, which hints at a server that has restarted. Nothing of a spoilt answer is
// read to its end: the connection is closed instead.
func (c *serverConn) readResponse(req *http.Request) (rep serverResponse, result policy.Result, reuse bool) {
	failure := func() (serverResponse, policy.Result, bool) {
		if c.reader.err == nil || c.reader.hasPieceDeadline && errors.Is(c.reader.err, os.ErrDeadlineExceeded) {
			return serverResponse{}, policy.ErrorResponse, false
		}
		return serverResponse{}, policy.ConnectionReset, false
	}
	resp, err := http.ReadResponse(c.buffered, req)
	for err == nil && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
		c.reader.clearPieceDeadline()
		c.reader.hasBegun = c.buffered.Buffered() > 0 // the answer that counts may come later
		resp, err = http.ReadResponse(c.buffered, req)
	}
	if err != nil {
		return failure()
	}
	c.reader.remainingBytes = maxBufferedResponseWire
	if resp.ContentLength > maxStreamedResponse {
		return serverResponse{}, policy.ErrorResponse, false
	}
	// One that tells no length ends with its connection, by a close and not a reset.
	var body []byte
	long := resp.ContentLength > maxBufferedResponse
	if resp.ContentLength < 0 {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
		long = len(body) > maxBufferedResponse
	} else if !long {
		body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, body)
	}
	if err != nil {
		return failure()
	}
	rep = serverResponse{body: body, contentType: resp.Header.Get("Content-Type")}
	if long {
		if resp.StatusCode != http.StatusOK {
			return serverResponse{}, policy.ErrorResponse, false
		}
		rep.stream = &responseStream{conn: c, body: resp.Body, length: resp.ContentLength, closesConn: resp.Close, result: make(chan policy.Result, 1)}
	}
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" {
		rep.loadReport = loadreport.Parse(text)
	}
	if long {
		return rep, policy.OK, false
	}
	c.reader.clearPieceDeadline()
	// What stands behind the answer belongs to no request: the next one would take it for its own.
	reuse = !resp.Close && c.buffered.Buffered() == 0
	switch {
	case resp.StatusCode == http.StatusOK:
		return rep, policy.OK, reuse
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		return rep, policy.RejectedByServer, reuse
	}
	return rep, policy.ErrorResponse, reuse
}

// takeAllIdle takes all idle connections out of their pools, for the caller to close.
func (u *serverPool) takeAllIdle() (idle []*serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, b := range u.servers {
		idle = append(idle, b.idle...)
		b.idle = nil
	}
	u.openCount -= len(idle)
	return idle
}

// close closes all idle connections.
func (u *serverPool) close() {
	stale := u.updateEndpoints(nil, true)
	closeConns(stale)
}
