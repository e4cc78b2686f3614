// Package serverpool provides the pool of connections to app servers that both hosts, gateway and edge proxy, use.
// Package conntable makes the decisions under the pool's mutex; I/O, that is dials and closes, runs outside it. What is
// sent on a connection is up to the host: each host has its own connection type, which the pool dials, checks and
// closes through functions and methods that the host provides.
//
// The pool replaces net/http's client, which silently resends a request when a connection from its pool turns out to be
// dead. Such an attempt would not be counted.
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

// The errors of an acquisition, besides those of Config.Dial.
var (
	ErrServerNotUp  = conntable.ErrServerNotUp
	ErrNoDescriptor = conntable.ErrNoDescriptor
)

// HostConn is a host's connection to an app server.
type HostConn interface {
	Close() error
	// IsQuiet reports whether an idle connection is still open and has nothing to read.
	IsQuiet() bool
}

// Conn is a connection of a pool. It wraps the host's own connection.
type Conn[C any] = conntable.Conn[C]

// Config configures a pool.
type Config[C HostConn] struct {
	conntable.Config

	// Dial establishes a connection to a server. It is called without the pool's mutex.
	Dial func(ctx context.Context, serverID string, addr netip.AddrPort) (C, error)

	// SubsetServers returns the IDs of the servers in the instance's subset. Idle connections to other servers are closed
	// sooner. If it is nil or returns nil, all servers are in the subset. It is called without the pool's mutex.
	SubsetServers func() map[string]bool

	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Pool holds the connections to app servers. A connection has one user at a time, from its acquisition until the user
// calls [Pool.Release] or [Pool.Discard]. Exactly one of them must be called, once.
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

// StaleConns are connections that were removed from the pool. The caller closes them without holding a mutex.
type StaleConns[C HostConn] []*Conn[C]

// Close closes the connections.
func (s StaleConns[C]) Close() {
	for _, conn := range s {
		conn.HostConn.Close()
	}
}

// UpdateEndpoints applies entries of the endpoint list and returns the idle connections that may no longer be used, for
// the caller to close. These are all idle connections of servers that are draining, moved, restarted or were removed
// from the list.
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

// Acquire returns a connection to a server: the most recently used idle one that is still usable, or a new one.
func (p *Pool[C]) Acquire(ctx context.Context, serverID string) (*Conn[C], error) {
	conn, reservation, err := p.AcquireIdle(serverID)
	if conn != nil || err != nil {
		return conn, err
	}
	return p.Dial(ctx, reservation)
}

// Reservation permits one dial. Its connection is already counted as open, so the owner must call [Pool.Dial] with it,
// exactly once.
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

// Dial establishes the connection of a reservation.
func (p *Pool[C]) Dial(ctx context.Context, r Reservation[C]) (*Conn[C], error) {
	hostConn, err := p.config.Dial(ctx, r.server.ID, r.server.Addr)
	if err != nil {
		p.countClosed()
		return nil, err
	}
	p.mu.Lock()
	conn := p.table.CompleteDial(r.server, hostConn)
	p.mu.Unlock()
	if conn == nil {
		// The endpoint list changed during the dial, so that no new request may be sent on this connection.
		hostConn.Close()
		p.countClosed()
		return nil, ErrServerNotUp
	}
	return conn, nil
}

// IsServerUp reports whether a new request may be sent on a connection according to the endpoint list.
func (p *Pool[C]) IsServerUp(conn *Conn[C]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.IsServerUp(conn)
}

// Release returns a connection to the pool after its use, or closes it if its server is no longer up.
func (p *Pool[C]) Release(conn *Conn[C]) {
	p.mu.Lock()
	isIdle := p.table.Release(p.config.Now(), conn)
	p.mu.Unlock()
	if !isIdle {
		p.Discard(conn)
	}
}

// Discard closes a connection that is not idle in the pool.
func (p *Pool[C]) Discard(conn *Conn[C]) {
	conn.HostConn.Close()
	p.countClosed()
}

// countClosed counts a connection as closed.
func (p *Pool[C]) countClosed() {
	p.mu.Lock()
	p.table.RecordClosed()
	p.mu.Unlock()
}

// Close closes all idle connections and removes all servers. A connection in use is closed when it is released.
func (p *Pool[C]) Close() {
	p.UpdateEndpoints(nil, policy.EndpointsComplete).Close()
}

// Snapshot returns a description of the pool's state, for tests of the hosts.
func (p *Pool[C]) Snapshot() conntable.Snapshot[C] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Snapshot(p.config.Now())
}
