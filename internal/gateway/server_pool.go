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
	loadPath     = "/stats"
	probeTimeout = 500 * time.Millisecond
	idleShare    = 0.8                    // of ConnIdle after which an idle connection is not used again
	maxReply     = 1 << 20                // bytes that the body of an answer may hold
	maxAnswer    = maxReply + 64<<10      // bytes of a whole answer, with heads, chunk sizes and 1xx answers ahead
	answerRest   = 250 * time.Millisecond // from an answer's first bytes to its last
	keptBuffer   = 16 << 10               // bytes of a buffer that an idle connection keeps
)

var pastDeadline = time.Unix(1, 0)

// serverPool holds the connections to the servers of all halls. A connection carries one
// request at a time, and a call of exchange writes a request once at most.
type serverPool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	most    int
	secure  func(ctx context.Context, server string, nc net.Conn) (net.Conn, error) // for instances of other sites

	mu   sync.Mutex
	byID map[string]*serverConns
	open int
}

// serverConns is a server and its idle connections, the latest used last.
type serverConns struct {
	id   string
	addr netip.AddrPort
	boot time.Duration
	up   bool
	idle []*serverConn
}

// serverConn is a connection to a server.
type serverConn struct {
	nc      net.Conn
	raw     syscall.RawConn
	rd      *httpwire.Reader
	left    int // bytes that the answer under way may still take
	got     bool
	hurried bool            // the rest of the answer has a deadline of its own
	call    *attemptControl // under way
	out     []byte          // the request under way
	of      *serverConns
	idle    time.Time
	made    time.Time
}

// Read bounds what an answer takes.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	if c.got && !c.hurried { // most answers come whole in the first read
		c.hurried = true
		c.call.limitRest(c)
	}
	n, err := c.nc.Read(p[:min(len(p), c.left)])
	c.left -= n
	c.got = c.got || n > 0
	return n, err
}

func newServers(cfg *Config) *serverPool {
	return &serverPool{dialer: net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1},
		maxIdle: time.Duration(idleShare * float64(cfg.ConnIdle)), most: cfg.MaxServers, byID: map[string]*serverConns{}}
}

// update takes in entries of a list and returns the connections that are of no more use,
// for the caller to close. A server that drains, moved, restarted or is gone keeps none.
func (u *serverPool) update(entries []discovery.Instance) (stale []*serverConn) {
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
			s = &serverConns{id: e.ID, addr: e.Addr, boot: e.StartedAt}
			u.byID[e.ID] = s
		}
		if s.up = e.State == policy.Up; !s.up {
			stale, s.idle = append(stale, s.idle...), nil
		}
	}
	u.open -= len(stale)
	return stale
}

// pruneIdle closes what has been idle for too long, until ctx ends, then all that is idle.
func (u *serverPool) pruneIdle(ctx context.Context) {
	tick := time.NewTicker(max(u.maxIdle/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		keep := u.maxIdle
		select {
		case <-ctx.Done():
			keep = 0
		case <-tick.C:
		}
		var stale []*serverConn
		u.mu.Lock()
		for _, s := range u.byID {
			n := 0
			for n < len(s.idle) && time.Since(s.idle[n].idle) >= keep {
				n++
			}
			stale = append(stale, s.idle[:n]...)
			s.idle = append([]*serverConn(nil), s.idle[n:]...)
		}
		u.open -= len(stale)
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
	errUnknown = errors.New("server is not up in the list")
	errBudget  = errors.New("no connection left")
)

// acquire returns a connection to a server: the idle one used last, if it still lives, or a
// new one.
func (u *serverPool) acquire(ctx context.Context, id string, begin func(context.CancelFunc)) (*serverConn, error) {
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
			if time.Since(c.idle) < u.maxIdle && c.isIdleClean() {
				return c, nil
			}
			u.discard(c)
			continue
		}
		var spare *serverConn
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
func (u *serverPool) longestIdle() (c *serverConn) {
	var of *serverConns
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
func (u *serverPool) dial(ctx context.Context, s *serverConns, begin func(context.CancelFunc)) (*serverConn, error) {
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
	if u.secure != nil && isRemoteServer(s.id) {
		safe, err := u.secure(ctx, s.id, nc)
		if err != nil {
			u.discard(&serverConn{nc: nc})
			return nil, err
		}
		nc = safe
	}
	c := &serverConn{nc: nc, of: s, made: time.Now()}
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

func (u *serverPool) discard(c *serverConn) {
	c.nc.Close()
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// release returns a connection whose exchange is over to its pool.
func (u *serverPool) release(c *serverConn) {
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

// shortenIdleTimeout closes a server's idle connections after silence on one: a machine that
// vanished leaves all of them open and silent.
func (u *serverPool) shortenIdleTimeout(s *serverConns) {
	u.mu.Lock()
	stale := s.idle
	s.idle = nil
	u.open -= len(stale)
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
