package edgeproxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"mulleinmux/internal/serverpool"
	"mulleinmux/internal/serverpool/conntable"
	"mulleinmux/internal/simwire"
)

// defaultMinIdleTime is how long a connection stays idle before it may carry the next request. A faulty server or proxy
// may send a response twice, the second copy some milliseconds late: if it arrives while the connection is idle,
// serverConn.IsQuiet detects it; after that it would be taken for the response to the next request.
const defaultMinIdleTime = 50 * time.Millisecond

var (
	errClientDisconnected = errors.New("client has disconnected")
	errAlreadyAnswered    = errors.New("request already has its final answer")
)

// serverPool holds the connections to app servers. Each call of exchange writes a request at most once.
type serverPool struct {
	*serverpool.Pool[*serverConn]

	// onSent is called when the last byte of an attempt has been written, with whether the client's disconnect was
	// already known. It is not called for health checks. It may be nil.
	onSent func(isDisconnectRecorded bool)
}

// pooledConn is a serverConn with the pool's own state of it.
type pooledConn = serverpool.Conn[*serverConn]

// serverPoolOptions are the options of a pool besides the connection settings.
type serverPoolOptions struct {
	maxConns      int                    // limit of open connections; each takes a descriptor
	minIdleTime   time.Duration          // a connection's idle time before its next request
	subsetServers func() map[string]bool // servers whose idle connections are kept; nil, or a nil map: all
	now           func() time.Time       // the clock; nil: time.Now
}

// newServerPool returns a pool without servers.
func newServerPool(settings simwire.ConnectionSettings, options serverPoolOptions) *serverPool {
	dialer := serverDialer{net.Dialer{Timeout: settings.ConnectTimeout, KeepAlive: -1}}
	return &serverPool{Pool: serverpool.New(serverpool.Config[*serverConn]{
		Config: conntable.Config{
			MaxIdleTimeout:     serverpool.MaxIdleTimeout(settings.ConnIdleTimeout),
			MinIdleBeforeReuse: options.minIdleTime,
			MaxOpen:            options.maxConns,
		},
		Dial:          dialer.dial,
		SubsetServers: options.subsetServers,
		Now:           options.now,
	})}
}

// serverDialer dials app servers.
type serverDialer struct{ net.Dialer }

const (
	dialRetryTimeout  = 60 * time.Millisecond // for which a dial is repeated after transient errors
	dialRetryInterval = 3 * time.Millisecond
)

// localDialErrors are the errors of socket and connect that have their cause in this machine.
var localDialErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// isTransientDialError reports whether a dial may succeed if it is repeated at once.
func isTransientDialError(err error) bool {
	return isAnyOf(err, localDialErrors) || errors.Is(err, syscall.ENETUNREACH)
}

// isAnyOf reports whether an error is one of several.
func isAnyOf(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// dialTCP connects to addr. After a transient error it tries again, for dialRetryTimeout at most.
func (d *serverDialer) dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	for end := time.Now().Add(dialRetryTimeout); ; {
		conn, err := d.DialContext(ctx, "tcp", addr.String())
		if err == nil || !isTransientDialError(err) || ctx.Err() != nil || time.Now().After(end) {
			return conn, err
		}
		time.Sleep(dialRetryInterval)
	}
}

// dial connects to the app server at addr.
func (d *serverDialer) dial(ctx context.Context, _ string, addr netip.AddrPort) (*serverConn, error) {
	nc, err := d.dialTCP(ctx, addr)
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
		buffered:    bufio.NewReaderSize(reader, serverBufferBytes),
		connectedAt: time.Now(),
	}, nil
}
