// Package serverpool is a pool of connections to app servers, which both hosts use. Package conntable decides under the
// pool's mutex; what does I/O, a dial or a close, runs without it. The bytes on a connection are the host's own matter:
// each host has a type of connection, which the pool dials, looks into and closes by way of functions and methods that
// the host provides.
//
// net/http's own client is not used: it silently sends a request again when a connection from its pool turns out dead,
// which would be an attempt that nobody counts.
package serverpool

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/serverpool/conntable"
	"mulleinmux/policy"
)

// The errors of an acquisition, beside those of a dial.
var (
	ErrServerNotUp  = conntable.ErrServerNotUp
	ErrNoDescriptor = conntable.ErrNoDescriptor
)

// HostConn is a host's connection to an app server.
type HostConn interface {
	Close() error
	// IsQuiet tells whether an idle connection is as it was left: open, with nothing to read.
	IsQuiet() bool
}

// Conn is a connection of a pool, with the host's own connection in it.
type Conn[C any] = conntable.Conn[C]

// Config is what a pool is made with.
type Config[C HostConn] struct {
	conntable.Config

	// Dial makes a connection to a server. It is called without the pool's mutex.
	Dial func(ctx context.Context, serverID string, addr netip.AddrPort) (C, error)

	// SubsetServers returns the IDs of the servers to which idle connections are kept; nil, or a nil map: all. It is
	// called without the pool's mutex.
	SubsetServers func() map[string]bool

	// Now reads the clock; nil: time.Now.
	Now func() time.Time
}

// Pool holds the connections to app servers. A connection is with one user at a time, from its acquisition until
// [Pool.Release] or [Pool.Discard], one of which is called once.
type Pool[C HostConn] struct {
	config Config[C]

	mu    sync.Mutex
	table *conntable.Table[C]
}

// New returns a pool without servers.
func New[C HostConn](config Config[C]) *Pool[C] {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Pool[C]{config: config, table: conntable.New[C](config.Config)}
}

// StaleConns are connections out of the pool, for the caller to close without a mutex.
type StaleConns[C HostConn] []*Conn[C]

// Close closes the connections.
func (s StaleConns[C]) Close() {
	for _, conn := range s {
		conn.HostConn.Close()
	}
}

// UpdateEndpoints takes in entries of the endpoint list and returns the idle connections that are of no more use, for
// the caller to close. A server that drains, moved, restarted or is not in the list any more keeps none.
func (p *Pool[C]) UpdateEndpoints(
	entries []discovery.Endpoint, kind policy.EndpointUpdateKind,
) (stale StaleConns[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		stale = append(stale, p.table.UpdateServer(entry.Server, entry.Addr)...)
		if entry.State != policy.Removed {
			listed[entry.ID] = true
		}
	}
	if kind != policy.EndpointsDelta {
		stale = append(stale, p.table.RemoveUnlisted(listed)...)
	}
	return stale
}

// Acquire returns a connection to a server: the idle one used last, if it is still good, or a new one.
func (p *Pool[C]) Acquire(ctx context.Context, serverID string) (*Conn[C], error) {
	conn, reservation, err := p.AcquireIdle(serverID)
	if conn != nil || err != nil {
		return conn, err
	}
	return p.Dial(ctx, reservation)
}

// Reservation permits a dial: the connection counts as open already. Its owner calls [Pool.Dial] with it, once.
type Reservation[C any] struct{ server *conntable.Server[C] }

// AcquireIdle returns an idle connection to a server, or a reservation for a new one if there is none.
func (p *Pool[C]) AcquireIdle(serverID string) (*Conn[C], Reservation[C], error) {
	for {
		p.mu.Lock()
		step, err := p.table.Acquire(p.config.Now(), serverID)
		p.mu.Unlock()
		if err != nil {
			return nil, Reservation[C]{}, err
		}
		if step.Kind == conntable.Dial {
			if step.Evicted != nil {
				step.Evicted.HostConn.Close()
			}
			return nil, Reservation[C]{step.Server}, nil
		}
		if step.Kind == conntable.Reuse && step.Conn.HostConn.IsQuiet() {
			return step.Conn, Reservation[C]{}, nil
		}
		p.Discard(step.Conn)
	}
}

// Dial makes a new connection.
func (p *Pool[C]) Dial(ctx context.Context, r Reservation[C]) (*Conn[C], error) {
	hostConn, err := p.config.Dial(ctx, r.server.ID, r.server.Addr)
	if err != nil {
		p.countClosed()
		return nil, err
	}
	p.mu.Lock()
	conn := p.table.Dialled(r.server, hostConn)
	p.mu.Unlock()
	if conn == nil {
		// The list changed while the connection was established: nothing new may be sent there.
		hostConn.Close()
		p.countClosed()
		return nil, ErrServerNotUp
	}
	return conn, nil
}

// IsServerUp tells whether something new may be sent on a connection, by the endpoint list.
func (p *Pool[C]) IsServerUp(conn *Conn[C]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.IsServerUp(conn)
}

// Release returns a connection whose use is over to the pool.
func (p *Pool[C]) Release(conn *Conn[C]) {
	p.mu.Lock()
	isIdle := p.table.Release(p.config.Now(), conn)
	p.mu.Unlock()
	if !isIdle {
		p.Discard(conn)
	}
}

// Discard closes a connection that is out of the pool.
func (p *Pool[C]) Discard(conn *Conn[C]) {
	conn.HostConn.Close()
	p.countClosed()
}

// countClosed counts a connection as closed.
func (p *Pool[C]) countClosed() {
	p.mu.Lock()
	p.table.Closed()
	p.mu.Unlock()
}

// Close closes all idle connections and removes all servers. Connections in use are closed when they are released.
func (p *Pool[C]) Close() {
	p.UpdateEndpoints(nil, policy.EndpointsComplete).Close()
}

// Snapshot describes the pool, for its hosts' tests.
func (p *Pool[C]) Snapshot() conntable.Snapshot[C] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Snapshot(p.config.Now())
}
