package gateway

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/logging"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// The relay between sites. An instance reaches the servers of its own sites itself; those of another site it reaches
// through that site's instances, which to the engine are servers of that site. A request is relayed over mutual TLS
// as it came, with an ID that is new for each attempt. The remote instance forwards it within its own sites alone, so
// that nothing is relayed twice, and reports truthfully what became of it: an answer; "never ran" (503 with
// X-Never-Ran); or that it may have run (502). Its units were counted where it entered. If the connection breaks
// before the answer, the remote instance is asked over another one: see [multisite.ForwardedRequests]. An instance that
// gives a relayed request up closes its connection; the remote one then begins no attempt of it, and ends the one that
// is in flight. No further attempt follows before the remote instance has said that none is in flight there; if it does
// not say so in time, the request fails unless it is idempotent.

// RelayConfig is an instance's part in the relay.
type RelayConfig struct {
	Own         []string                                  // sites whose servers it reaches itself
	Listen      netip.AddrPort                            // where other sites' instances connect
	Remote      map[string][]RelayPeer                    // by each other site: the instances that reach it
	TLS         *tls.Config                               // for both sides: mutual, with session tickets off
	Verify      func(tls.ConnectionState) (uint64, error) // names the member at the other end
	MaxInFlight int                                       // relayed requests in flight at once; 64 where 0
	listener    net.Listener                              // open, in tests and scenarios
}

// RelayPeer is an instance of another site.
type RelayPeer struct {
	Member uint64
	Addr   netip.AddrPort
}

const (
	defaultMaxRelayed     = 64                     // relayed requests in flight
	relayRetryTokens      = 0.1                    // relayed retries that a first attempt earns
	maxRelayRetryTokens   = 10                     // relayed retries that can be saved up
	relayHandshakeTimeout = time.Second            // for TLS, at both ends
	arrivalTTL            = 30 * time.Second       // no broken connection delivers anything after that
	maxArrivals           = 1 << 16                // relayed requests recorded
	maxRetainedBody       = 16 << 10               // bytes of an answer's body that is retained
	statusPollInterval    = 20 * time.Millisecond  // between two queries of a request that is still executing
	statusTimeout         = 300 * time.Millisecond // for the answer to one query
	remoteServerMark      = "/@"                   // in the engine's name of a remote instance
)

// relay carries out an instance's part in the relay.
type relay struct {
	config       *RelayConfig
	listensSince time.Time // set before the first connection is accepted

	mu       sync.Mutex // guards all below
	arrivals *multisite.ForwardedRequests
	budget   *multisite.RelayBudget
}

func newRelay(config *RelayConfig) (*relay, error) {
	if len(config.Own) == 0 || config.TLS == nil || config.Verify == nil {
		return nil, errRelayConfig
	}
	arrivals, err := multisite.NewForwardedRequests(arrivalTTL, maxArrivals)
	if err != nil {
		return nil, err
	}
	budget, err := multisite.NewRelayBudget(multisite.RelayBudgetConfig{
		MaxInFlight:     orDefault(config.MaxInFlight, defaultMaxRelayed),
		RetryRatio:      relayRetryTokens,
		MaxSavedRetries: maxRelayRetryTokens,
	})
	if err != nil {
		return nil, err
	}
	return &relay{config: config, arrivals: arrivals, budget: budget}, nil
}

// listen returns the listener for other sites' instances.
func (c *RelayConfig) listen() (net.Listener, error) {
	if c.listener != nil {
		return c.listener, nil
	}
	listener, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return listener, nil
}

// isRemoteServer reports whether a server, as the engine names it, is an instance of another site.
func isRemoteServer(server string) bool { return strings.Contains(server, remoteServerMark) }

// remoteServers is the endpoint list of another site: its instances, in place of the servers that only they reach.
func (r *relay) remoteServers(site string) discovery.EndpointList {
	list := discovery.EndpointList{IsComplete: true}
	for _, peer := range r.config.Remote[site] {
		server := policy.Server{ID: "@" + strconv.FormatUint(peer.Member, 10), Weight: 1, Kind: "instance", Zone: site}
		list.Servers = append(list.Servers, discovery.Endpoint{Addr: peer.Addr, Server: server})
	}
	return list
}

// isRemote reports whether a site's servers are reached through that site's instances alone.
func (r *relay) isRemote(site string) bool { return r != nil && !r.ownsSite(site) }

// ownsSite reports whether this instance reaches a site's servers itself.
func (r *relay) ownsSite(site string) bool { return slices.Contains(r.config.Own, site) }

// secure makes a new connection to a remote instance one of mutual TLS.
func (r *relay) secure(ctx context.Context, server string, nc net.Conn) (net.Conn, error) {
	_, number, _ := strings.Cut(server, remoteServerMark)
	want, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("link: %q is no instance", server)
	}
	ctx, cancel := context.WithTimeout(ctx, relayHandshakeTimeout)
	defer cancel()
	c := tls.Client(nc, r.config.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if got, err := r.config.Verify(c.ConnectionState()); err != nil || got != want {
		return nil, fmt.Errorf("link: member %d answers where member %d is expected: %w", got, want, err)
	}
	return c, nil
}

// raw returns the descriptor of a connection, with TLS or without.
func raw(nc net.Conn) (syscall.RawConn, error) {
	if secured, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = secured.NetConn()
	}
	return nc.(syscall.Conn).SyscallConn()
}

// relayListener accepts connections of other sites' instances; each shows its certificate before its first request.
type relayListener struct {
	net.Listener
	relay *relay
}

// Accept returns the next connection. Its handshake takes place in verifyPeer.
func (l relayListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	transport, err := newRelayTransport(nc)
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &relayServerConn{tls.Server(transport, l.relay.config.TLS), transport}, nil
}

// verifyPeer checks the certificate at the other end of a connection of another site's instance.
func (c *clientConn) verifyPeer() bool {
	conn, ok := c.nc.(*relayServerConn)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(c.server.instance.ctx, relayHandshakeTimeout)
	defer cancel()
	err := conn.HandshakeContext(ctx)
	if err == nil {
		_, err = c.server.instance.relay.config.Verify(conn.ConnectionState())
	}
	if err != nil {
		c.server.instance.logger.Warn("relay connection rejected",
			slog.Any(logging.KeyAddress, c.nc.RemoteAddr()), logging.Error(err))
	}
	return err == nil
}
