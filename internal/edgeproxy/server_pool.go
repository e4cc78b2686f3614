package edgeproxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/simwire"
	"mulleinmux/policy"
)

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
func (p *serverPool) updateEndpoints(entries []discovery.Instance, full bool) (stale []*serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range entries {
		if e.State == policy.Removed {
			if b := p.servers[e.ID]; b != nil {
				stale = append(stale, p.removeServer(e.ID, b)...)
			}
			continue
		}
		listed[e.ID] = true
		b := p.servers[e.ID]
		if b != nil && (b.addr != e.Addr || b.startedAt != e.StartedAt) {
			stale = append(stale, p.removeServer(e.ID, b)...)
			b = nil
		}
		if b == nil {
			b = &serverConns{addr: e.Addr, startedAt: e.StartedAt}
			p.servers[e.ID] = b
		}
		if b.isUp = e.State == policy.Up; !b.isUp {
			stale, b.idle = append(stale, b.idle...), nil
		}
	}
	if full {
		for id, b := range p.servers {
			if !listed[id] {
				stale = append(stale, p.removeServer(id, b)...)
			}
		}
	}
	p.openCount -= len(stale)
	return stale
}

// removeServer forgets a backend and returns its idle connections.
func (p *serverPool) removeServer(id string, b *serverConns) []*serverConn {
	idle := b.idle
	b.isUp, b.idle = false, nil
	delete(p.servers, id)
	return idle
}

func closeConns(conns []*serverConn) {
	for _, c := range conns {
		c.Close()
	}
}

// acquire returns a connection to the server: the idle one used last, if it still
// lives, or a new one.
func (p *serverPool) acquire(ctx context.Context, server string) (*serverConn, error) {
	for {
		p.mu.Lock()
		b := p.servers[server]
		if b == nil || !b.isUp {
			p.mu.Unlock()
			return nil, errServerNotUp
		}
		if n := b.latestReusable(p.minIdleTime); n >= 0 {
			c := b.idle[n]
			b.idle = slices.Delete(b.idle, n, n+1)
			keep := p.idleTimeout(b)
			p.mu.Unlock()
			if c.idleTime = time.Since(c.idleSince); c.idleTime < keep && c.isQuiet() {
				return c, nil
			}
			p.discard(c)
			continue
		}
		var spare *serverConn
		if p.openCount >= p.maxConns {
			if spare = p.takeLongestIdle(); spare == nil {
				p.mu.Unlock()
				return nil, errNoDescriptor
			}
			p.openCount--
		}
		p.openCount++
		p.mu.Unlock()
		if spare != nil {
			spare.Close()
		}
		return p.dial(ctx, b)
	}
}

// takeLongestIdle takes the connection that has been idle for longest out of its pool,
// or returns nil. Called under the mutex.
func (p *serverPool) takeLongestIdle() *serverConn {
	var of *serverConns
	for _, b := range p.servers {
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
func (p *serverPool) dial(ctx context.Context, b *serverConns) (*serverConn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", b.addr.String())
	if err != nil {
		p.decrementOpen()
		return nil, err
	}
	in := &responseReader{conn: nc}
	c := &serverConn{Conn: nc, reader: in, buffered: bufio.NewReader(in), server: b, connectedAt: time.Now()}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		p.discard(c)
		return nil, err
	}
	if !p.isUp(b) {
		// The list changed while the connection came up: nothing new may go there.
		p.discard(c)
		return nil, errServerNotUp
	}
	return c, nil
}

// isUp tells whether the list says that something new may go to a backend.
func (p *serverPool) isUp(b *serverConns) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return b.isUp
}

func (p *serverPool) decrementOpen() {
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

func (p *serverPool) discard(c *serverConn) {
	c.Close()
	p.decrementOpen()
}

// release returns a connection whose exchange is over to its pool.
func (p *serverPool) release(c *serverConn) {
	p.mu.Lock()
	if c.server.isUp {
		c.idleSince = time.Now()
		c.server.idle = append(c.server.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// takeAllIdle takes all idle connections out of their pools, for the caller to close.
func (p *serverPool) takeAllIdle() (idle []*serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.servers {
		idle = append(idle, b.idle...)
		b.idle = nil
	}
	p.openCount -= len(idle)
	return idle
}

// close closes all idle connections.
func (p *serverPool) close() {
	stale := p.updateEndpoints(nil, true)
	closeConns(stale)
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

// latestReusable is the place of the idle connection used last that may be used again, -1 where there is none. Called under the mutex.
func (b *serverConns) latestReusable(least time.Duration) int {
	for n := len(b.idle) - 1; n >= 0; n-- {
		if time.Since(b.idle[n].idleSince) >= least {
			return n
		}
	}
	return -1
}

var (
	errServerNotUp     = errors.New("server is not up in the list")
	errNoDescriptor    = errors.New("no descriptor left for a connection")
	errClientGone      = errors.New("the client has left")
	errAlreadyAnswered = errors.New("the request has its final answer")
)
