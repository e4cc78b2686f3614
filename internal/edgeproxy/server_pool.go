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

// serverPool holds the connections to app servers. net/http's own client is not used: it silently sends a request
// again when a connection from its pool turns out dead, which would be an attempt that nobody counts. Here one call
// of exchange writes a request once at most.
type serverPool struct {
	dialer         net.Dialer
	maxIdleTimeout time.Duration          // of a server whose connections were not reset
	minIdleTime    time.Duration          // that a connection is idle at least before its next request
	maxConns       int                    // connections open at once, descriptors being limited
	subsetServers  func() map[string]bool // servers to which idle connections are kept; nil, or a nil map: all

	// onSent is called when the last byte of an attempt, not of a health check, is written, with whether its client had
	// disconnected; may be nil.
	onSent func(clientLeft bool)

	mu        sync.Mutex
	servers   map[string]*serverConns // by ID
	openCount int                     // connections, idle or not
}

// serverConns is an app server and its idle connections. Guarded by the pool's mutex, but for addr and startedAt, which
// don't change.
type serverConns struct {
	addr      netip.AddrPort
	startedAt time.Duration
	isUp      bool
	idle      []*serverConn // the one used last at the end

	learnedIdleTimeout time.Duration // shorter than maxIdleTimeout, at learnedAt; 0: nothing was learned
	learnedAt          time.Time
}

var (
	errServerNotUp     = errors.New("server is not up in the list")
	errNoDescriptor    = errors.New("no descriptor left for a connection")
	errClientGone      = errors.New("the client has left")
	errAlreadyAnswered = errors.New("the request has its final answer")
)

// newServerPool returns a pool of maxConns connections, to no server yet.
func newServerPool(t simwire.ConnectionSettings, maxConns int) *serverPool {
	return &serverPool{
		dialer:         net.Dialer{Timeout: t.ConnectTimeout, KeepAlive: -1},
		maxIdleTimeout: time.Duration(idleTimeoutFraction * float64(t.ConnIdleTimeout)),
		maxConns:       maxConns,
		servers:        map[string]*serverConns{},
	}
}

// updateEndpoints takes in entries of the endpoint list and returns the idle connections that are of no more use, for
// the caller to close. A server that drains, moved, restarted or is not in the list any more keeps none.
func (p *serverPool) updateEndpoints(
	entries []discovery.Endpoint, kind policy.EndpointUpdateKind,
) (stale []*serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		if entry.State == policy.Removed {
			stale = append(stale, p.removeServer(entry.ID)...)
			continue
		}
		listed[entry.ID] = true
		stale = append(stale, p.updateServer(entry)...)
	}
	if kind != policy.EndpointsDelta {
		for id := range p.servers {
			if !listed[id] {
				stale = append(stale, p.removeServer(id)...)
			}
		}
	}
	p.openCount -= len(stale)
	return stale
}

// updateServer takes in the entry of one server and returns the connections that it keeps no longer. Called under the
// mutex.
func (p *serverPool) updateServer(entry discovery.Endpoint) (stale []*serverConn) {
	server := p.servers[entry.ID]
	if server != nil && (server.addr != entry.Addr || server.startedAt != entry.StartedAt) {
		stale = p.removeServer(entry.ID)
		server = nil
	}
	if server == nil {
		server = &serverConns{addr: entry.Addr, startedAt: entry.StartedAt}
		p.servers[entry.ID] = server
	}
	server.isUp = entry.State == policy.Up
	if !server.isUp {
		stale = append(stale, server.idle...)
		server.idle = nil
	}
	return stale
}

// removeServer removes a server, if it is there, and returns its idle connections. Called under the mutex.
func (p *serverPool) removeServer(id string) []*serverConn {
	server := p.servers[id]
	if server == nil {
		return nil
	}
	idle := server.idle
	server.isUp, server.idle = false, nil
	delete(p.servers, id)
	return idle
}

// closeConns closes connections that are out of the pool.
func closeConns(conns []*serverConn) {
	for _, c := range conns {
		c.Close()
	}
}

// acquire returns a connection to a server: the idle one used last, if it is still good, or a new one.
func (p *serverPool) acquire(ctx context.Context, id string) (*serverConn, error) {
	for {
		p.mu.Lock()
		server := p.servers[id]
		if server == nil || !server.isUp {
			p.mu.Unlock()
			return nil, errServerNotUp
		}
		if n := server.latestReusable(p.minIdleTime); n >= 0 {
			c := server.idle[n]
			server.idle = slices.Delete(server.idle, n, n+1)
			idleTimeout := p.idleTimeout(server)
			p.mu.Unlock()
			if c.idleTime = time.Since(c.idleSince); c.idleTime < idleTimeout && c.isQuiet() {
				return c, nil
			}
			p.discard(c)
			continue
		}
		var evicted *serverConn
		if p.openCount >= p.maxConns {
			if evicted = p.takeLongestIdle(); evicted == nil {
				p.mu.Unlock()
				return nil, errNoDescriptor
			}
			p.openCount--
		}
		p.openCount++
		p.mu.Unlock()
		if evicted != nil {
			evicted.Close()
		}
		return p.dial(ctx, server)
	}
}

// takeLongestIdle takes out the connection that has been idle for longest, or returns nil. Called under the mutex.
func (p *serverPool) takeLongestIdle() *serverConn {
	var longest *serverConns
	for _, server := range p.servers {
		if len(server.idle) > 0 && (longest == nil || server.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = server
		}
	}
	if longest == nil {
		return nil
	}
	c := longest.idle[0]
	longest.idle = longest.idle[1:]
	return c
}

// dial makes a new connection, which is counted already.
func (p *serverPool) dial(ctx context.Context, server *serverConns) (*serverConn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", server.addr.String())
	if err != nil {
		p.decrementOpen()
		return nil, err
	}
	reader := &responseReader{conn: nc}
	c := &serverConn{
		Conn:        nc,
		reader:      reader,
		buffered:    bufio.NewReader(reader),
		server:      server,
		connectedAt: time.Now(),
	}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		p.discard(c)
		return nil, err
	}
	if !p.isUp(server) {
		// The list changed while the connection was established: nothing new may be sent there.
		p.discard(c)
		return nil, errServerNotUp
	}
	return c, nil
}

// isUp tells whether something new may be sent to a server, by the endpoint list.
func (p *serverPool) isUp(server *serverConns) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return server.isUp
}

// decrementOpen counts a connection as closed.
func (p *serverPool) decrementOpen() {
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// discard closes a connection that is out of the pool.
func (p *serverPool) discard(c *serverConn) {
	c.Close()
	p.decrementOpen()
}

// release returns a connection whose exchange is over to the pool.
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

// takeAllIdle takes out all idle connections, for the caller to close.
func (p *serverPool) takeAllIdle() (idle []*serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.servers {
		idle = append(idle, server.idle...)
		server.idle = nil
	}
	p.openCount -= len(idle)
	return idle
}

// close closes all idle connections and removes all servers.
func (p *serverPool) close() {
	stale := p.updateEndpoints(nil, policy.EndpointsComplete)
	closeConns(stale)
}

// latestReusable is the index of the idle connection used last that has been idle for long enough, -1 if there is
// none. Called under the mutex.
func (s *serverConns) latestReusable(minIdleTime time.Duration) int {
	for n := len(s.idle) - 1; n >= 0; n-- {
		if time.Since(s.idle[n].idleSince) >= minIdleTime {
			return n
		}
	}
	return -1
}
