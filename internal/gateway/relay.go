package gateway

import (
	"context"
	"crypto/rand"
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

// The relay between sites. An instance reaches the servers of its own sites directly. It reaches the servers of another
// site through that site's instances, which the engine treats as servers of that site. A request is relayed unchanged
// over mutual TLS, with an ID that is new for each attempt. The remote instance forwards it only to servers of its own
// sites, so that no request is relayed twice, and reports the outcome: the server's answer; 503 with X-Never-Ran if the
// request did not run and never will; or 502 if it may have run. Only the instance that the client sent the request to
// counts its units.
//
// If the connection breaks before the answer, the relaying instance queries the remote one for the request's status
// over another connection: see [multisite.ForwardedRequests]. An instance that gives up a relayed request closes its
// connection; the remote instance then starts no attempt of the request and ends the one in flight. No further attempt
// follows until the remote instance has reported that none is in flight there; if it does not report that in time, the
// request fails unless it is idempotent.
//
// If the client disconnects, the relaying instance reports that over another connection, and the remote instance gives
// the request up as above but answers it, so that the connection is kept. Since such a report may be lost or late, the
// remote instance itself begins a further attempt, or a late first one, only once the relaying instance has confirmed
// that the client is connected: see [multisite.ClientLease].

// RelayConfig configures an instance's relay to and from other sites.
type RelayConfig struct {
	OwnSites    []string                                  // whose servers the instance reaches directly
	Listen      netip.AddrPort                            // for connections from other sites' instances
	PeersBySite map[string][]RelayPeer                    // for each remote site: the instances that reach it directly
	TLS         *tls.Config                               // for both directions: mutual, with session tickets disabled
	Verify      func(tls.ConnectionState) (uint64, error) // returns the member ID of the peer's certificate
	MaxInFlight int                                       // relayed requests in flight at once; 64 if 0
	listener    net.Listener                              // open listener, in tests and scenarios; nil: Listen is used
}

// RelayPeer is an instance of another site.
type RelayPeer struct {
	Member uint64
	Addr   netip.AddrPort
}

const (
	defaultMaxRelayed     = 64                     // relayed requests in flight
	relayRetryTokens      = 0.1                    // relayed retries that each first attempt earns
	maxRelayRetryTokens   = 10                     // relayed retries that can be saved up
	relayHandshakeTimeout = time.Second            // for TLS, at both ends
	forwardedTTL          = 30 * time.Second       // no broken connection delivers a request after that
	maxForwarded          = 1 << 16                // relayed requests recorded
	maxPeerClocks         = 256                    // recorded clocks of other sites' instances
	maxLeaseAnswerAge     = time.Second            // from a question to an answer that is heeded
	maxRetainedBody       = 16 << 10               // bytes of a retained answer's body
	statusPollInterval    = 20 * time.Millisecond  // between two status queries of an executing request
	statusTimeout         = 300 * time.Millisecond // for the answer to one status query
	remoteServerSeparator = "/@"                   // between site and member ID in a remote instance's server ID
)

// relay holds the state of an instance's relay in both directions.
type relay struct {
	config         *RelayConfig
	listeningSince time.Time // set before the first connection is accepted
	numbers        relayNumbers
	clock          messageClock

	mu        sync.Mutex // guards the fields below
	forwarded *multisite.ForwardedRequests
	clocks    map[string]*multisite.PeerClock // of other sites' instances, by process
	budget    *multisite.RelayBudget
}

func newRelay(config *RelayConfig) (*relay, error) {
	if len(config.OwnSites) == 0 || config.TLS == nil || config.Verify == nil {
		return nil, errRelayConfig
	}
	forwarded, err := multisite.NewForwardedRequests(forwardedTTL, maxForwarded)
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
	return &relay{config: config, numbers: relayNumbers{process: rand.Text()}, clock: newMessageClock(),
		forwarded: forwarded, budget: budget,
		clocks: map[string]*multisite.PeerClock{}}, nil
}

// listen returns the listener for connections from other sites' instances.
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

// isRemoteServer reports whether a server ID of the engine denotes an instance of another site.
func isRemoteServer(server string) bool { return strings.Contains(server, remoteServerSeparator) }

// remoteServers returns the endpoint list of a remote site: its instances, in place of the servers that only they
// reach.
func (r *relay) remoteServers(site string) discovery.EndpointList {
	list := discovery.EndpointList{IsComplete: true}
	for _, peer := range r.config.PeersBySite[site] {
		server := policy.Server{ID: "@" + strconv.FormatUint(peer.Member, 10), Weight: 1, Kind: "instance", Zone: site}
		list.Servers = append(list.Servers, discovery.Endpoint{Addr: peer.Addr, Server: server})
	}
	return list
}

// isRemote reports whether a site's servers are reached only through that site's instances.
func (r *relay) isRemote(site string) bool { return r != nil && !r.ownsSite(site) }

// ownsSite reports whether this instance reaches a site's servers directly.
func (r *relay) ownsSite(site string) bool { return slices.Contains(r.config.OwnSites, site) }

// secure upgrades a new connection to a remote instance to mutual TLS and verifies that the peer is the expected
// member.
func (r *relay) secure(ctx context.Context, server string, nc net.Conn) (net.Conn, error) {
	_, number, _ := strings.Cut(server, remoteServerSeparator)
	want, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("link: server ID %q has no valid member ID", server)
	}
	ctx, cancel := context.WithTimeout(ctx, relayHandshakeTimeout)
	defer cancel()
	c := tls.Client(nc, r.config.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("link: TLS handshake: %w", err)
	}
	got, err := r.config.Verify(c.ConnectionState())
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if got != want {
		return nil, fmt.Errorf("link: peer certificate is for member %d, want member %d", got, want)
	}
	return c, nil
}

// syscallConn returns the raw connection of a socket, with or without TLS on top.
func syscallConn(nc net.Conn) (syscall.RawConn, error) {
	if secured, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = secured.NetConn()
	}
	return nc.(syscall.Conn).SyscallConn()
}

// relayListener accepts connections from other sites' instances, which present a certificate before the first request.
type relayListener struct {
	net.Listener
	relay *relay
}

// Accept returns the next connection. Its TLS handshake takes place in verifyPeer.
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

// verifyPeer completes the TLS handshake with another site's instance and reports whether its certificate is valid.
func (c *clientConn) verifyPeer() bool {
	conn, ok := c.nc.(*relayServerConn)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(c.server.instance.ctx, relayHandshakeTimeout)
	defer cancel()
	err := conn.HandshakeContext(ctx)
	if err == nil {
		c.peerMember, err = c.server.instance.relay.config.Verify(conn.ConnectionState())
	}
	if err != nil {
		c.server.instance.logger.Warn("relay connection rejected",
			slog.Any(logging.KeyAddress, c.nc.RemoteAddr()), logging.Error(err))
	}
	return err == nil
}
