package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
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

// The link between sites. An instance reaches the servers of its own sites itself; those of another site it reaches
// by way of that site's instances, which to the engine are servers of that site. A request is relayed over mutual TLS
// as it came, with the id of its relayed request. The remote instance sends it on within its own sites alone, so that
// nothing crosses twice, and says truthfully what became of it: an answer; "never ran" (503 with X-Never-Ran); or
// that it may have run (502). Its units were counted where it entered. If the connection breaks before the answer,
// the remote instance is asked over another one: see [multisite.ForwardedRequests].

// RelayConfig is an instance's part in the link.
type RelayConfig struct {
	Own         []string                                  // sites whose servers it reaches itself
	Listen      netip.AddrPort                            // where other sites' instances come in
	Remote      map[string][]RelayPeer                    // by site of another site: the instances that reach it
	TLS         *tls.Config                               // for both sides: mutual, with session tickets off
	Verify      func(tls.ConnectionState) (uint64, error) // names the member at the other end
	MaxInFlight int                                       // relayed requests out at once; 64 where 0
	listener    net.Listener                              // open, in tests and scenarios
}

// RelayPeer is an instance of another site.
type RelayPeer struct {
	Member uint64
	Addr   netip.AddrPort
}

const (
	relayIDField          = "X-Mulleinmux-Crossing"
	executionStatusField  = "X-Mulleinmux-Fate"
	executionStatusPath   = "/link/fate"
	defaultMaxRelayed     = 64
	relayRetryTokens      = 0.1 // further relayed requests that a first one earns
	maxRelayRetryTokens   = 10
	relayHandshakeTimeout = time.Second
	arrivalTTL            = 30 * time.Second // a broken connection delivers nothing for so long
	maxArrivals           = 1 << 16
	maxRetainedBody       = 16 << 10               // bytes of an answer's body that is kept
	statusPollInterval    = 20 * time.Millisecond  // between two asks for one that is under way
	statusTimeout         = 300 * time.Millisecond // for the answer to one ask
	remoteServerMark      = "/@"                   // in the engine's name of a remote instance
)

// relay is an instance's part in the link, at work.
type relay struct {
	config *RelayConfig

	mu       sync.Mutex
	arrivals *multisite.ForwardedRequests
	budget   *multisite.RelayBudget
}

func newRelay(cfg *RelayConfig) (*relay, error) {
	if len(cfg.Own) == 0 || cfg.TLS == nil || cfg.Verify == nil {
		return nil, errors.New("link: a hall of its own, certificates and a check of them are needed")
	}
	l := &relay{config: cfg}
	var err error
	if l.arrivals, err = multisite.NewForwardedRequests(arrivalTTL, maxArrivals); err != nil {
		return nil, err
	}
	l.budget, err = multisite.NewRelayBudget(multisite.RelayBudgetConfig{
		MaxInFlight:     orDefault(cfg.MaxInFlight, defaultMaxRelayed),
		RetryRatio:      relayRetryTokens,
		MaxSavedRetries: maxRelayRetryTokens,
	})
	return l, err
}

// listen returns the listener for other sites' instances.
func (c *RelayConfig) listen() (net.Listener, error) {
	if c.listener != nil {
		return c.listener, nil
	}
	ln, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return ln, nil
}

// isRemoteServer tells whether a server, as the engine names it, is an instance of another site.
func isRemoteServer(server string) bool { return strings.Contains(server, remoteServerMark) }

// remoteServers is what the engine is told of a site that is reached by way of its own site's instances.
func (l *relay) remoteServers(hall string) (list discovery.EndpointList, ok bool) {
	peers, ok := l.config.Remote[hall]
	for _, p := range peers {
		list.Servers = append(list.Servers, discovery.Endpoint{Addr: p.Addr,
			Server: policy.Server{ID: "@" + strconv.FormatUint(p.Member, 10), Weight: 1, Kind: "instance", Zone: hall}})
	}
	list.IsComplete = true
	return list, ok
}

// ownsSite tells whether this instance reaches a site's servers itself.
func (l *relay) ownsSite(hall string) bool {
	for _, o := range l.config.Own {
		if o == hall {
			return true
		}
	}
	return false
}

// secure makes a connection to a remote instance one of the link.
func (l *relay) secure(ctx context.Context, server string, nc net.Conn) (net.Conn, error) {
	_, number, _ := strings.Cut(server, remoteServerMark)
	want, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("link: %q is no instance", server)
	}
	ctx, cancel := context.WithTimeout(ctx, relayHandshakeTimeout)
	defer cancel()
	c := tls.Client(nc, l.config.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if got, err := l.config.Verify(c.ConnectionState()); err != nil || got != want {
		return nil, fmt.Errorf("link: member %d answers where member %d is expected: %w", got, want, err)
	}
	return c, nil
}

// raw is the descriptor under a connection, of the link or not.
func raw(nc net.Conn) (syscall.RawConn, error) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(syscall.Conn).SyscallConn()
}

// relayListener accepts connections of other sites' instances; each shows its certificate before its first request.
type relayListener struct {
	net.Listener
	link *relay
}

func (l relayListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tls.Server(nc, l.link.config.TLS), nil
}

// verifyPeer checks the certificate at the other end of a connection of the link.
func (c *clientConn) verifyPeer() bool {
	t, ok := c.nc.(*tls.Conn)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(c.server.instance.ctx, relayHandshakeTimeout)
	defer cancel()
	err := t.HandshakeContext(ctx)
	if err == nil {
		_, err = c.server.instance.relay.config.Verify(t.ConnectionState())
	}
	if err != nil {
		c.server.instance.logger.Warn("relay connection rejected",
			slog.Any(logging.KeyAddress, c.nc.RemoteAddr()), logging.Error(err))
	}
	return err == nil
}
