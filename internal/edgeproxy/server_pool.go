package edgeproxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"mulleinmux/internal/serverpool"
	"mulleinmux/internal/serverpool/conntable"
	"mulleinmux/internal/simwire"
)

// defaultMinIdleTime is how long a connection is idle before its next request. A faulty server or proxy may send a
// response twice, the second some milliseconds late: serverConn.IsQuiet finds what is received meanwhile, where later
// it would be taken for the response to the next request.
const defaultMinIdleTime = 50 * time.Millisecond

var (
	errClientGone      = errors.New("the client has left")
	errAlreadyAnswered = errors.New("the request has its final answer")
)

// serverPool holds the connections to app servers. One call of exchange writes a request once at most.
type serverPool struct {
	*serverpool.Pool[*serverConn]

	// onSent is called when the last byte of an attempt, not of a health check, is written, with whether its client had
	// disconnected; may be nil.
	onSent func(clientLeft bool)
}

// pooledConn is a serverConn as its pool knows it.
type pooledConn = serverpool.Conn[*serverConn]

// serverPoolOptions is what a pool is made with, beside the settings of connections.
type serverPoolOptions struct {
	maxConns      int                    // connections open at once, descriptors being limited
	minIdleTime   time.Duration          // that a connection is idle at least before its next request
	subsetServers func() map[string]bool // servers to which idle connections are kept; nil, or a nil map: all
	now           func() time.Time       // the clock; nil: time.Now
}

// newServerPool returns a pool that has no server yet.
func newServerPool(settings simwire.ConnectionSettings, options serverPoolOptions) *serverPool {
	dialer := serverDialer{net.Dialer{Timeout: settings.ConnectTimeout, KeepAlive: -1}}
	return &serverPool{Pool: serverpool.New(serverpool.Config[*serverConn]{
		Config: conntable.Config{
			MaxIdleTimeout: serverpool.MaxIdleTimeout(settings.ConnIdleTimeout),
			MinIdleTime:    options.minIdleTime,
			MaxOpen:        options.maxConns,
		},
		Dial:          dialer.dial,
		SubsetServers: options.subsetServers,
		Now:           options.now,
	})}
}

// serverDialer makes connections to app servers.
type serverDialer struct{ net.Dialer }

// dial makes a connection to the server at addr.
func (d *serverDialer) dial(ctx context.Context, _ string, addr netip.AddrPort) (*serverConn, error) {
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	reader := &responseReader{conn: nc}
	return &serverConn{
		Conn:        nc,
		raw:         raw,
		reader:      reader,
		buffered:    bufio.NewReader(reader),
		connectedAt: time.Now(),
	}, nil
}
