package gateway

import (
	"context"
	"net"
	"net/netip"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/serverpool"
	"mulleinmux/internal/serverpool/conntable"
)

// pastDeadline ends the reads and writes of a connection that are under way.
var pastDeadline = time.Unix(1, 0)

// noDeadline has reads and writes wait without a limit.
var noDeadline time.Time

// serverPool holds the connections to the servers of all sites. A connection carries one request at a time, and a call
// of exchange writes a request once at most.
type serverPool struct {
	*serverpool.Pool[*serverConn]

	dialer net.Dialer
	secure func(ctx context.Context, server string, nc net.Conn) (net.Conn, error) // for instances of other sites
}

// pooledConn is a serverConn as its pool knows it.
type pooledConn = serverpool.Conn[*serverConn]

// serverPoolOptions is what a pool is made with, beside the configuration.
type serverPoolOptions struct {
	subsetServers func() map[string]bool // servers to which idle connections are kept; nil, or a nil map: all
	now           func() time.Time       // the clock; nil: time.Now
}

// newServerPool returns a pool that has no server yet.
func newServerPool(cfg *Config, options serverPoolOptions) *serverPool {
	p := &serverPool{dialer: net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}}
	p.Pool = serverpool.New(serverpool.Config[*serverConn]{
		Config: conntable.Config{
			MaxIdleTimeout: serverpool.MaxIdleTimeout(cfg.ServerIdleTimeout),
			MaxOpen:        cfg.MaxServerConns,
		},
		Dial:          p.dial,
		SubsetServers: options.subsetServers,
		Now:           options.now,
	})
	return p
}

// dial makes a connection to the server at addr, over TLS if it is an instance of another site.
func (p *serverPool) dial(ctx context.Context, server string, addr netip.AddrPort) (*serverConn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	if p.secure != nil && isRemoteServer(server) {
		secured, err := p.secure(ctx, server, nc)
		if err != nil {
			nc.Close()
			return nil, err
		}
		nc = secured
	}
	rawConn, err := raw(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	conn := &serverConn{nc: nc, raw: rawConn, connectedAt: time.Now()}
	conn.reader = httpwire.NewReader(conn)
	return conn, nil
}

// acquire returns a connection to a server: the idle one used last, if it is still good, or a new one. Its dial, with the
// handshake at an instance of another site, ends at the deadline or when control is aborted.
func (p *serverPool) acquire(
	ctx context.Context, control *attemptControl, server string, deadline time.Time,
) (*pooledConn, error) {
	conn, reservation, err := p.AcquireIdle(server)
	if conn != nil || err != nil {
		return conn, err
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	control.setDialCancel(cancel)
	defer control.setDialCancel(nil)
	return p.Dial(ctx, reservation)
}

// release returns a connection whose exchange is over to the pool.
func (p *serverPool) release(conn *pooledConn) {
	conn.HostConn.trimBuffer()
	p.Release(conn)
}

// releaseUnused returns a connection on which nothing was written to the pool, unless the exchange was aborted.
func (p *serverPool) releaseUnused(conn *pooledConn, control *attemptControl) {
	if control.finish() {
		p.release(conn)
	} else {
		p.Discard(conn)
	}
}

// pruneIdle closes what has been idle for too long, until ctx ends, then all that is idle.
func (p *serverPool) pruneIdle(ctx context.Context) {
	p.RunPruning(ctx)
	p.CloseIdle()
}
