package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/httpwire"
	"mulleinmux/policy"
)

const (
	healthCheckPath     = "/stats"
	healthCheckTimeout  = 500 * time.Millisecond
	idleTimeoutFraction = 0.8     // of ConnIdle after which an idle connection is not used again
	maxResponseBody     = 1 << 20 // bytes that the body of an answer may hold
	// Bytes of a whole answer, with heads, chunk sizes and 1xx answers ahead.
	maxResponseSize     = maxResponseBody + 64<<10
	responseRestTimeout = 250 * time.Millisecond // from an answer's first bytes to its last
	maxRetainedBuffer   = 16 << 10               // bytes of a buffer that an idle connection keeps
)

var pastDeadline = time.Unix(1, 0)

// serverPool holds the connections to the servers of all sites. A connection carries one
// request at a time, and a call of exchange writes a request once at most.
type serverPool struct {
	dialer      net.Dialer
	idleTimeout time.Duration
	maxOpen     int
	secure      func(ctx context.Context, server string, nc net.Conn) (net.Conn, error) // for instances of other sites

	mu        sync.Mutex
	byID      map[string]*serverConns
	openCount int
}

// serverConns is a server and its idle connections, the latest used last.
type serverConns struct {
	id        string
	addr      netip.AddrPort
	startedAt time.Duration
	isUp      bool
	idle      []*serverConn
}

// serverConn is a connection to a server.
type serverConn struct {
	nc              net.Conn
	raw             syscall.RawConn
	reader          *httpwire.Reader
	remaining       int // bytes that the answer under way may still take
	hasBytes        bool
	hasRestDeadline bool            // the rest of the answer has a deadline of its own
	attempt         *attemptControl // under way
	buffer          []byte          // the request under way
	server          *serverConns
	idleSince       time.Time
	connectedAt     time.Time
}

// Read bounds what an answer takes.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errTooLong
	}
	if c.hasBytes && !c.hasRestDeadline { // most answers come whole in the first read
		c.hasRestDeadline = true
		c.attempt.limitRest(c)
	}
	n, err := c.nc.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	c.hasBytes = c.hasBytes || n > 0
	return n, err
}

func newServerPool(cfg *Config) *serverPool {
	return &serverPool{dialer: net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1},
		idleTimeout: time.Duration(idleTimeoutFraction * float64(cfg.ServerIdleTimeout)),
		maxOpen:     cfg.MaxServerConns, byID: map[string]*serverConns{}}
}

// update takes in entries of a list and returns the connections that are of no more use,
// for the caller to close. A server that drains, moved, restarted or is gone keeps none.
func (u *serverPool) update(entries []discovery.Endpoint) (stale []*serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range entries {
		s := u.byID[e.ID]
		if s != nil && (e.State == policy.Removed || s.addr != e.Addr || s.startedAt != e.StartedAt) {
			stale = append(stale, s.idle...)
			s.isUp, s.idle = false, nil
			delete(u.byID, e.ID)
			s = nil
		}
		if e.State == policy.Removed {
			continue
		}
		if s == nil {
			s = &serverConns{id: e.ID, addr: e.Addr, startedAt: e.StartedAt}
			u.byID[e.ID] = s
		}
		if s.isUp = e.State == policy.Up; !s.isUp {
			stale, s.idle = append(stale, s.idle...), nil
		}
	}
	u.openCount -= len(stale)
	return stale
}

// pruneIdle closes what has been idle for too long, until ctx ends, then all that is idle.
func (u *serverPool) pruneIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.idleTimeout/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		keep := u.idleTimeout
		select {
		case <-ctx.Done():
			keep = 0
		case <-tick.C:
		}
		var stale []*serverConn
		u.mu.Lock()
		for _, s := range u.byID {
			n := 0
			for n < len(s.idle) && time.Since(s.idle[n].idleSince) >= keep {
				n++
			}
			stale = append(stale, s.idle[:n]...)
			s.idle = append([]*serverConn(nil), s.idle[n:]...)
		}
		u.openCount -= len(stale)
		u.mu.Unlock()
		closeAll(stale)
		if keep == 0 {
			return
		}
	}
}

func closeAll(conns []*serverConn) {
	for _, c := range conns {
		c.nc.Close()
	}
}

var (
	errUnknownServer = errors.New("server is not up in the list")
	errNoCapacity    = errors.New("no connection left")
)

// acquire returns a connection to a server: the idle one used last, if it still lives, or a
// new one.
func (u *serverPool) acquire(ctx context.Context, id string, begin func(context.CancelFunc)) (*serverConn, error) {
	for {
		u.mu.Lock()
		s := u.byID[id]
		if s == nil || !s.isUp {
			u.mu.Unlock()
			return nil, errUnknownServer
		}
		if n := len(s.idle); n > 0 {
			c := s.idle[n-1]
			s.idle = s.idle[:n-1]
			u.mu.Unlock()
			if time.Since(c.idleSince) < u.idleTimeout && c.isIdleClean() {
				return c, nil
			}
			u.discard(c)
			continue
		}
		var spare *serverConn
		if u.openCount >= u.maxOpen {
			if spare = u.longestIdle(); spare == nil {
				u.mu.Unlock()
				return nil, errNoCapacity
			}
			u.openCount--
		}
		u.openCount++
		u.mu.Unlock()
		if spare != nil {
			spare.nc.Close()
		}
		return u.dial(ctx, s, begin)
	}
}

// longestIdle takes the connection that has been idle for longest, or nil. Called under
// the mutex.
func (u *serverPool) longestIdle() (c *serverConn) {
	var of *serverConns
	for _, s := range u.byID {
		if len(s.idle) > 0 && (of == nil || s.idle[0].idleSince.Before(of.idle[0].idleSince)) {
			of = s
		}
	}
	if of != nil {
		c, of.idle = of.idle[0], of.idle[1:]
	}
	return c
}

// dial makes a connection, which is already counted. begin takes what calls it off.
func (u *serverPool) dial(ctx context.Context, s *serverConns, begin func(context.CancelFunc)) (*serverConn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin(cancel)
	defer begin(nil)
	nc, err := u.dialer.DialContext(ctx, "tcp", s.addr.String())
	if err != nil {
		u.mu.Lock()
		u.openCount--
		u.mu.Unlock()
		return nil, err
	}
	if u.secure != nil && isRemoteServer(s.id) {
		safe, err := u.secure(ctx, s.id, nc)
		if err != nil {
			u.discard(&serverConn{nc: nc})
			return nil, err
		}
		nc = safe
	}
	c := &serverConn{nc: nc, server: s, connectedAt: time.Now()}
	c.reader = httpwire.NewReader(c)
	if c.raw, err = raw(nc); err != nil {
		u.discard(c)
		return nil, err
	}
	u.mu.Lock()
	up := s.isUp
	u.mu.Unlock()
	if !up { // the list changed meanwhile: nothing new may go there
		u.discard(c)
		return nil, errUnknownServer
	}
	return c, nil
}

func (u *serverPool) discard(c *serverConn) {
	c.nc.Close()
	u.mu.Lock()
	u.openCount--
	u.mu.Unlock()
}

// release returns a connection whose exchange is over to its pool.
func (u *serverPool) release(c *serverConn) {
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
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

// shortenIdleTimeout closes a server's idle connections after silence on one: a machine that
// vanished leaves all of them open and silent.
func (u *serverPool) shortenIdleTimeout(s *serverConns) {
	u.mu.Lock()
	stale := s.idle
	s.idle = nil
	u.openCount -= len(stale)
	u.mu.Unlock()
	closeAll(stale)
}

// isIdleClean tells whether an idle connection is open with nothing to read. A request written
// to any other would end as a reset, which may not be repeated freely.
func (c *serverConn) isIdleClean() bool {
	var b [1]byte
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
