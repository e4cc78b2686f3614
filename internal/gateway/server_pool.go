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

// pastDeadline is a deadline that makes pending and later reads and writes of a connection fail at once.
var pastDeadline = time.Unix(1, 0)

// noDeadline is the deadline with which reads and writes never time out.
var noDeadline time.Time

// serverPool holds the connections to the servers of all sites. A connection carries one request at a time, and a call
// of exchange writes its request at most once.
type serverPool struct {
	*serverpool.Pool[*serverConn]

	dialer net.Dialer

	// secure performs the TLS handshake with an instance of another site; nil: no TLS.
	secure func(ctx context.Context, server string, nc net.Conn) (net.Conn, error)
}

// pooledConn is a serverConn with the pool's bookkeeping.
type pooledConn = serverpool.Conn[*serverConn]

// serverPoolOptions holds the settings of a server pool that are not part of Config.
type serverPoolOptions struct {
	subsetServers func() map[string]bool // IDs of servers to which idle connections are kept; nil, or a nil map: all
	now           func() time.Time       // the clock; nil: time.Now
}

// newServerPool returns a pool without servers.
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

// dial connects to the server at addr, over TLS if the server is an instance of another site.
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
	rawConn, err := syscallConn(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	conn := &serverConn{nc: nc, raw: rawConn, connectedAt: time.Now()}
	conn.reader = httpwire.NewReader(conn)
	return conn, nil
}

// acquire returns a connection to a server: the idle connection that was used last, if it is still usable, or a new
// one. Dialing, including the TLS handshake with another site's instance, ends at the deadline or when control is
// aborted.
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

// release returns a connection to the pool after its exchange has ended.
func (p *serverPool) release(conn *pooledConn) {
	conn.HostConn.trimBuffer()
	p.Release(conn)
}

// releaseUnused returns a connection on which nothing was written to the pool, or closes it if the exchange was
// aborted.
func (p *serverPool) releaseUnused(conn *pooledConn, control *attemptControl) {
	if control.finish() {
		p.release(conn)
	} else {
		p.Discard(conn)
	}
}

// pruneIdle closes connections that have been idle for too long until ctx ends, then closes all idle connections.
func (p *serverPool) pruneIdle(ctx context.Context) {
	p.RunPruning(ctx)
	p.CloseIdle()
}
