package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// The link between sites. An instance reaches the servers of its own sites itself; those of another site it
// reaches by way of that site's instances, which to the engine are servers of that site. A request is relayed
// over mutual TLS as it came, with the id of its relayed request. The remote instance sends it on within its own sites alone, so
// that nothing crosses twice, and says truthfully what became of it: an answer; "never ran" (503 with
// X-Never-Ran); or that it may have run (502). Its units were counted where it entered. If the connection
// breaks before the answer, the remote instance is asked over another one: see [multisite.Arrivals].

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
	arrivals *multisite.Arrivals
	budget   *multisite.Budget
}

// retainedResponse is what is kept of a relayed request's answer.
type retainedResponse struct {
	status      int
	contentType string
	body        []byte
}

func newRelay(cfg *RelayConfig) (*relay, error) {
	if len(cfg.Own) == 0 || cfg.TLS == nil || cfg.Verify == nil {
		return nil, errors.New("link: a hall of its own, certificates and a check of them are needed")
	}
	l := &relay{config: cfg}
	var err error
	if l.arrivals, err = multisite.NewArrivals(arrivalTTL, maxArrivals); err != nil {
		return nil, err
	}
	l.budget, err = multisite.NewBudget(multisite.BudgetConfig{Most: orDefault(cfg.MaxInFlight, defaultMaxRelayed), Retries: relayRetryTokens, Saved: maxRelayRetryTokens})
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
func (l *relay) remoteServers(hall string) (list discovery.List, ok bool) {
	peers, ok := l.config.Remote[hall]
	for _, p := range peers {
		list.Servers = append(list.Servers, discovery.Instance{Addr: p.Addr,
			Server: policy.Server{ID: "@" + strconv.FormatUint(p.Member, 10), Weight: 1, Kind: "instance", Zone: hall}})
	}
	list.Full = true
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

// acquire and done hold the budget of relayed requests.
func (l *relay) acquire(r *pendingRequest) bool {
	best := 0.0
	worth := func(w float64, aim time.Duration) float64 { return w / max(aim.Seconds(), 1e-3) }
	for _, k := range r.version.table.Classes {
		best = max(best, worth(k.PriorityWeight, k.LatencyObjective))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(r.licensee, worth(r.operation.Class.PriorityWeight, r.operation.Class.LatencyObjective)/max(best, 1e-9), r.attempts > 1)
}

func (l *relay) release(r *pendingRequest) {
	l.mu.Lock()
	l.budget.Done(r.licensee)
	l.mu.Unlock()
}

// nextRelayID is the id of the attempt under way.
func (r *pendingRequest) nextRelayID() string { return r.trace + "." + strconv.Itoa(r.attempts) }

// executionStatus asks a remote instance, over another connection, what became of a relayed request whose connection broke. It
// asks until the answer is final or the attempt's time is over.
func (in *Instance) executionStatus(r *pendingRequest, at attempt) (multisite.Fate, *retainedResponse) {
	id := r.nextRelayID()
	for until := at.deadline; time.Now().Before(until); {
		var rep response
		by := time.Now().Add(statusTimeout)
		if until.Before(by) {
			by = until
		}
		result := in.servers.exchange(in.ctx, &attemptControl{}, at.server, by, false, &rep, func(b []byte) []byte {
			b = append(b, "GET "+executionStatusPath+" HTTP/1.1\r\nHost: link\r\n"...)
			return append(httpwire.AppendField(b, relayIDField, id), "\r\n"...)
		})
		if result == policy.OK {
			switch f := multisite.ParseFate(rep.head.Get(executionStatusField)); f {
			case multisite.Ran:
				if rep.head.Status == http.StatusNoContent {
					return f, nil
				}
				return f, &retainedResponse{rep.head.Status, rep.head.Get("Content-Type"), rep.body}
			case multisite.Underway:
			default:
				return f, nil
			}
		}
		pause := time.NewTimer(statusPollInterval)
		select {
		case <-pause.C:
		case <-in.ctx.Done():
			pause.Stop()
			return multisite.Unknown, nil
		}
	}
	return multisite.Unknown, nil
}

// resolveRelayed finds out what became of an attempt whose connection over the link broke.
func (in *Instance) resolveRelayed(r *pendingRequest, at attempt) policy.Result {
	f, kept := in.executionStatus(r, at)
	switch {
	case f == multisite.Never:
		r.response.wasWritten = false // as if it had not been written; and the remote instance lives
		return policy.RejectedByServer
	case f == multisite.Ran && kept != nil:
		h := &r.response.head
		*h = httpwire.Head{Status: kept.status, Reason: http.StatusText(kept.status), Length: int64(len(kept.body))}
		if kept.contentType != "" {
			h.Fields = append(h.Fields, httpwire.Field{Name: "Content-Type", Value: kept.contentType})
		}
		r.response.body = kept.body
		return policy.OK
	}
	return policy.ConnectionReset
}

// serveExecutionStatus answers another site's ask.
func (c *clientConn) serveExecutionStatus() bool {
	l := c.server.instance.relay
	id, n := c.request.requestHead.Values(relayIDField)
	if n != 1 || id == "" {
		return c.rejectBadRequest(&badRequest{status: http.StatusBadRequest, text: relayIDField + ": one is wanted"})
	}
	l.mu.Lock()
	f, kept := l.arrivals.Ask(time.Now(), id)
	l.mu.Unlock()
	status, body := http.StatusNoContent, []byte(nil)
	k, ok := kept.(*retainedResponse)
	if ok && k != nil {
		status, body = k.status, k.body
	}
	b := httpwire.AppendField(c.appendStatusLine(status, http.StatusText(status)), executionStatusField, f.String())
	if ok && k != nil && k.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", k.contentType)
	}
	length := len(body)
	if status == http.StatusNoContent {
		length = -1
	}
	return c.writeResponse(b, body, length)
}

// acceptRelayed takes in a relayed request; an error turns it down.
func (c *clientConn) acceptRelayed() error {
	l, r := c.server.instance.relay, &c.request
	id, n := r.requestHead.Values(relayIDField)
	if n != 1 || id == "" {
		return &badRequest{status: http.StatusBadRequest, text: relayIDField + ": one is wanted"}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.lastRelayID != "" && c.lastRelayID != id { // a connection carries one after the other: the last answer has been read
		l.arrivals.Settled(c.lastRelayID)
	}
	c.lastRelayID = id
	if fate, ok := l.arrivals.Come(time.Now(), id); !ok && fate == multisite.Never {
		return &badRequest{status: http.StatusConflict, text: "the crossing is void or can't be remembered"}
	} else if !ok {
		return &badRequest{status: http.StatusBadGateway, text: "the crossing has come before", mayRun: true}
	}
	r.relayID = id
	return nil
}

// finishRelayed notes the fate of a relayed request that has its final answer.
func (c *clientConn) finishRelayed() {
	l, r := c.server.instance.relay, &c.request
	fate, kept := multisite.Unknown, any(nil)
	switch {
	case r.answer == served:
		fate = multisite.Ran
		if h := &r.response.head; len(r.response.body) <= maxRetainedBody && r.requestHead.Method != http.MethodHead && h.Status != http.StatusNoContent && h.Status != http.StatusNotModified {
			kept = &retainedResponse{h.Status, h.Get("Content-Type"), r.response.body}
		}
	case !r.mayRun:
		fate = multisite.Never
	}
	l.mu.Lock()
	l.arrivals.Ended(time.Now(), r.relayID, fate, kept)
	l.mu.Unlock()
}

// neverRan words that a relayed request did not run here.
func (c *clientConn) neverRan(text string, wait time.Duration) bool {
	b := c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable")
	b = append(b, "X-Never-Ran: 1\r\n"...)
	if wait > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, wait)
		b = append(b, "\r\n"...)
	}
	body := []byte(text + "\n")
	return c.writeResponse(b, body, len(body))
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
		c.server.instance.log.Printf("link: connection from %s: %v", c.nc.RemoteAddr(), err)
	}
	return err == nil
}
