package gateway

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

const (
	loadPath     = "/stats"
	probeTimeout = 500 * time.Millisecond
	idleShare    = 0.8                    // of ConnIdle after which an idle connection is not used again
	maxReply     = 1 << 20                // bytes that the body of an answer may hold
	maxAnswer    = maxReply + 64<<10      // bytes of a whole answer, with heads, chunk sizes and 1xx answers ahead
	answerRest   = 250 * time.Millisecond // from an answer's first bytes to its last
	keptBuffer   = 16 << 10               // bytes of a buffer that an idle connection keeps
)

var past = time.Unix(1, 0)

// reply is a server's whole answer.
type reply struct {
	head  httpwire.Head
	body  []byte
	since time.Time // when the connection that it came on was made; zero: there was no answer
	whole bool      // the request was written whole
}

// servers holds the connections to the servers of all halls. A connection carries one
// request at a time, and a call of exchange writes a request once at most.
type servers struct {
	dialer  net.Dialer
	maxIdle time.Duration
	most    int
	secure  func(ctx context.Context, server string, nc net.Conn) (net.Conn, error) // for instances of other sites

	mu   sync.Mutex
	byID map[string]*server
	open int
}

// server is a server and its idle connections, the latest used last.
type server struct {
	id   string
	addr netip.AddrPort
	boot time.Duration
	up   bool
	idle []*conn
}

// conn is a connection to a server.
type conn struct {
	nc      net.Conn
	raw     syscall.RawConn
	rd      *httpwire.Reader
	left    int // bytes that the answer under way may still take
	got     bool
	hurried bool   // the rest of the answer has a deadline of its own
	call    *call  // under way
	out     []byte // the request under way
	of      *server
	idle    time.Time
	made    time.Time
}

var errTooLong = errors.New("answer too long")

// Read bounds what an answer takes.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	if c.got && !c.hurried { // most answers come whole in the first read
		c.hurried = true
		c.call.hurry(c)
	}
	n, err := c.nc.Read(p[:min(len(p), c.left)])
	c.left -= n
	c.got = c.got || n > 0
	return n, err
}

func newServers(cfg *Config) *servers {
	return &servers{dialer: net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1},
		maxIdle: time.Duration(idleShare * float64(cfg.ServerIdleTimeout)), most: cfg.MaxServerConns, byID: map[string]*server{}}
}

// update takes in entries of a list and returns the connections that are of no more use,
// for the caller to close. A server that drains, moved, restarted or is gone keeps none.
func (u *servers) update(entries []discovery.Endpoint) (stale []*conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range entries {
		s := u.byID[e.ID]
		if s != nil && (e.State == policy.Removed || s.addr != e.Addr || s.boot != e.StartedAt) {
			stale = append(stale, s.idle...)
			s.up, s.idle = false, nil
			delete(u.byID, e.ID)
			s = nil
		}
		if e.State == policy.Removed {
			continue
		}
		if s == nil {
			s = &server{id: e.ID, addr: e.Addr, boot: e.StartedAt}
			u.byID[e.ID] = s
		}
		if s.up = e.State == policy.Up; !s.up {
			stale, s.idle = append(stale, s.idle...), nil
		}
	}
	u.open -= len(stale)
	return stale
}

// reap closes what has been idle for too long, until ctx ends, then all that is idle.
func (u *servers) reap(ctx context.Context) {
	tick := time.NewTicker(max(u.maxIdle/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		keep := u.maxIdle
		select {
		case <-ctx.Done():
			keep = 0
		case <-tick.C:
		}
		var stale []*conn
		u.mu.Lock()
		for _, s := range u.byID {
			n := 0
			for n < len(s.idle) && time.Since(s.idle[n].idle) >= keep {
				n++
			}
			stale = append(stale, s.idle[:n]...)
			s.idle = append([]*conn(nil), s.idle[n:]...)
		}
		u.open -= len(stale)
		u.mu.Unlock()
		closeAll(stale)
		if keep == 0 {
			return
		}
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.nc.Close()
	}
}

var (
	errUnknown = errors.New("server is not up in the list")
	errBudget  = errors.New("no connection left")
)

// take returns a connection to a server: the idle one used last, if it still lives, or a
// new one.
func (u *servers) take(ctx context.Context, id string, begin func(context.CancelFunc)) (*conn, error) {
	for {
		u.mu.Lock()
		s := u.byID[id]
		if s == nil || !s.up {
			u.mu.Unlock()
			return nil, errUnknown
		}
		if n := len(s.idle); n > 0 {
			c := s.idle[n-1]
			s.idle = s.idle[:n-1]
			u.mu.Unlock()
			if time.Since(c.idle) < u.maxIdle && c.quiet() {
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
			spare.nc.Close()
		}
		return u.dial(ctx, s, begin)
	}
}

// longestIdle takes the connection that has been idle for longest, or nil. Called under
// the mutex.
func (u *servers) longestIdle() (c *conn) {
	var of *server
	for _, s := range u.byID {
		if len(s.idle) > 0 && (of == nil || s.idle[0].idle.Before(of.idle[0].idle)) {
			of = s
		}
	}
	if of != nil {
		c, of.idle = of.idle[0], of.idle[1:]
	}
	return c
}

// dial makes a connection, which is already counted. begin takes what calls it off.
func (u *servers) dial(ctx context.Context, s *server, begin func(context.CancelFunc)) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin(cancel)
	defer begin(nil)
	nc, err := u.dialer.DialContext(ctx, "tcp", s.addr.String())
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	if u.secure != nil && crosses(s.id) {
		safe, err := u.secure(ctx, s.id, nc)
		if err != nil {
			u.discard(&conn{nc: nc})
			return nil, err
		}
		nc = safe
	}
	c := &conn{nc: nc, of: s, made: time.Now()}
	c.rd = httpwire.NewReader(c)
	if c.raw, err = raw(nc); err != nil {
		u.discard(c)
		return nil, err
	}
	u.mu.Lock()
	up := s.up
	u.mu.Unlock()
	if !up { // the list changed meanwhile: nothing new may go there
		u.discard(c)
		return nil, errUnknown
	}
	return c, nil
}

func (u *servers) discard(c *conn) {
	c.nc.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// giveBack returns a connection whose exchange is over to its pool.
func (u *servers) giveBack(c *conn) {
	if cap(c.out) > keptBuffer {
		c.out = nil
	}
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

// distrust closes a server's idle connections after silence on one: a machine that
// vanished leaves all of them open and silent.
func (u *servers) distrust(s *server) {
	u.mu.Lock()
	stale := s.idle
	s.idle = nil
	u.open -= len(stale)
	u.mu.Unlock()
	closeAll(stale)
}

// quiet tells whether an idle connection is open with nothing to read. A request written
// to any other would end as a reset, which may not be repeated freely.
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

// call is an exchange as those see it who may want to end it before its time.
type call struct {
	mu     sync.Mutex
	conn   *conn              // on which it is under way
	cancel context.CancelFunc // of the connection that is being made
	until  time.Time
	ended  bool // given up
}

// giveUp ends the exchange at once.
func (k *call) giveUp() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	if k.conn != nil {
		k.conn.nc.SetDeadline(past)
	}
	if k.cancel != nil {
		k.cancel()
	}
}

// begin sets the connection under way; it is false if the exchange was given up.
func (k *call) begin(c *conn, until time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return false
	}
	k.conn, k.until = c, until
	c.left, c.got, c.hurried, c.call = maxAnswer, false, false, k
	c.nc.SetDeadline(until)
	return true
}

// hurry bounds the rest of an answer that has begun: servers write it in one piece, and
// half a one must not take all of the time that another attempt would need.
func (k *call) hurry(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if rest := time.Now().Add(answerRest); !k.ended && rest.Before(k.until) {
		c.nc.SetReadDeadline(rest)
	}
}

// relax takes the bound of hurry off.
func (k *call) relax(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ended {
		c.nc.SetReadDeadline(k.until)
	}
}

// end takes the connection back; it is false if the exchange was given up, which has
// left the connection with a deadline.
func (k *call) end() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn = nil
	return !k.ended
}

func (k *call) dialing(cancel context.CancelFunc) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancel = cancel; cancel != nil && k.ended {
		cancel()
	}
}

// exchange writes a request to a server, once at most, and reads the whole answer into
// rep. word appends the request to a buffer. It ends when until has come or k is given up;
// the connection is closed by then.
func (u *servers) exchange(ctx context.Context, k *call, id string, until time.Time, headOnly bool, rep *reply, word func([]byte) []byte) policy.Result {
	rep.whole, rep.since, rep.body = false, time.Time{}, nil
	dctx, cancel := ctx, context.CancelFunc(nil)
	if time.Until(until) < u.dialer.Timeout {
		dctx, cancel = context.WithDeadline(ctx, until)
		defer cancel()
	}
	c, err := u.take(dctx, id, k.dialing)
	if errors.Is(err, errBudget) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return policy.NotSent // no fault of the server's
	}
	if err != nil {
		return neverSent(k, until)
	}
	if !k.begin(c, until) {
		u.discard(c)
		return policy.Cancelled
	}
	c.out = word(c.out[:0])
	if _, err = c.nc.Write(c.out); err != nil {
		// A server begins a request when its last byte has come, and that was not written.
		k.end()
		u.discard(c)
		return neverSent(k, until)
	}
	rep.whole = true
	result, reuse, err := c.read(rep, headOnly)
	asWas := k.end()
	if asWas && reuse {
		u.giveBack(c)
	} else {
		u.discard(c)
	}
	if err != nil {
		switch {
		case !asWas:
			result = policy.Cancelled
		case errors.Is(err, os.ErrDeadlineExceeded) && !c.got:
			result = policy.TimedOut
			u.distrust(c.of)
		case errors.Is(err, os.ErrDeadlineExceeded) || answered(err):
			result = policy.ErrorResponse // half an answer, or one that can't be read, is no silence
		default:
			result = policy.ConnectionReset
		}
	}
	if result == policy.OK || result == policy.RejectedByServer || result == policy.ErrorResponse {
		rep.since = c.made
	}
	return result
}

// answered tells whether an answer came that can't be read, rather than none.
func answered(err error) bool {
	for _, e := range []error{httpwire.ErrMalformed, httpwire.ErrTooLarge, httpwire.ErrLength, httpwire.ErrCoding, errTooLong, errNoLength} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// neverSent is the result of an attempt whose last byte was not written. Where its own
// time ended first, that says nothing of the server.
func neverSent(k *call, until time.Time) policy.Result {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.ended:
		return policy.Cancelled
	case !time.Now().Before(until):
		return policy.NotSent
	}
	return policy.ConnectFailed
}

var errNoLength = errors.New("answer does not tell its length")

// read reads the whole answer and tells whether the connection can be used again.
func (c *conn) read(rep *reply, headOnly bool) (result policy.Result, reuse bool, err error) {
	for {
		if err := c.rd.Answer(&rep.head); err != nil {
			return 0, false, err
		}
		if rep.head.Status >= 200 || rep.head.Status == 101 {
			break
		}
		c.got = c.rd.Buffered() > 0 // the answer that counts may come later
		if c.hurried {
			c.hurried = false
			c.call.relax(c)
		}
	}
	h := &rep.head
	switch {
	case headOnly || h.Status == 204 || h.Status == 304:
	case h.Chunked:
		if rep.body, err = c.rd.Chunked(maxReply); err != nil {
			return 0, false, err
		}
	case h.Length < 0: // it ends with its connection: whether it is whole can't be told
		return 0, false, errNoLength
	case h.Length > maxReply:
		return 0, false, errTooLong
	case h.Length > 0:
		rep.body = make([]byte, h.Length)
		if err = c.rd.Body(rep.body); err != nil {
			return 0, false, err
		}
	}
	if h.Status < 200 {
		return policy.ErrorResponse, false, nil // 101: what follows is no HTTP
	}
	// What stands behind the answer belongs to no request: the next one would take it for its own.
	return judge(h), !h.Close && c.rd.Buffered() == 0, nil
}

// judge says what an answer means. An answer that promises that trying again does no
// harm is a server's to give only with the word that it never ran.
func judge(h *httpwire.Head) policy.Result {
	neverRan := h.Status == 429 || h.Status == 503 || h.Status == 504
	switch {
	case neverRan && h.Get("X-Never-Ran") == "1":
		return policy.RejectedByServer
	case neverRan || h.Status >= 500 || h.Status == 408:
		return policy.ErrorResponse
	}
	return policy.OK
}

// report returns an answer's load report, or nil.
func (r *reply) report() *policy.LoadReport {
	if r.since.IsZero() {
		return nil
	}
	if text, n := r.head.Values("Endpoint-Load-Metrics"); n > 0 {
		return loadreport.Parse(text)
	}
	return nil
}

// seconds words a wait for X-Expires-In.
func appendSeconds(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, math.Max(d.Seconds(), 0.001), 'f', 3, 64)
}

// word appends the request to b, for an attempt that ends at until.
func (fl *flight) word(b []byte, until time.Time) []byte {
	h := &fl.head
	b = append(b, h.Method...)
	b = append(b, ' ')
	b = append(b, h.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for i := range h.Fields {
		f := &h.Fields[i]
		if httpwire.HopByHop(f.Name) || ownField(f.Name) {
			continue
		}
		b = httpwire.AppendField(b, f.Name, f.Value)
	}
	b = httpwire.AppendField(b, "X-Trace-Id", fl.trace)
	b = append(b, "X-Expires-In: "...)
	b = appendSeconds(b, time.Until(until))
	if fl.over {
		b = append(b, "\r\n"+crossingField+": "...)
		b = append(b, fl.crossing()...)
	}
	b = append(b, "\r\nX-Mulleinmux-Version: "...)
	if from, n := h.Values("X-Mulleinmux-Version"); fl.linked && n == 1 {
		b = append(b, from...) // it keeps the version that it was matched with where it entered
	} else {
		b = strconv.AppendUint(b, fl.version.number, 10)
	}
	b = append(b, "\r\n"...)
	if len(fl.body) > 0 || h.Length >= 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(fl.body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, fl.body...)
}

// ownField tells whether a field is one that the gateway words anew.
func ownField(name string) bool {
	switch len(name) {
	case 10:
		return strings.EqualFold(name, "X-Trace-Id")
	case 12:
		return strings.EqualFold(name, "X-Expires-In")
	case len(crossingField):
		return strings.EqualFold(name, crossingField)
	case 20:
		return strings.EqualFold(name, "X-Mulleinmux-Version") || strings.EqualFold(name, "X-Mulleinmux-Explain")
	}
	return false
}
