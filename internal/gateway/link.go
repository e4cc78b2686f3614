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

// The link between sites. An instance reaches the servers of its own halls itself; those of another site it
// reaches by way of that site's instances, which to the module are servers of that hall. A request crosses
// over mutual TLS as it came, with the id of its crossing. The far instance sends it on within its own halls alone, so
// that nothing crosses twice, and says truthfully what became of it: an answer; "never ran" (503 with
// X-Never-Ran); or that it may have run (502). Its units were counted where it entered. If the connection
// breaks before the answer, the far instance is asked over another one: see [multisite.ForwardedRequests].

// RelayConfig is an instance's part in the link.
type RelayConfig struct {
	Own         []string                                  // halls whose servers it reaches itself
	Listen      netip.AddrPort                            // where other sites' instances come in
	Remote      map[string][]RelayPeer                    // by hall of another site: the instances that reach it
	TLS         *tls.Config                               // for both sides: mutual, with session tickets off
	Verify      func(tls.ConnectionState) (uint64, error) // names the member at the other end
	MaxInFlight int                                       // crossings out at once; 64 where 0
	listener    net.Listener                              // open, in tests and the lab
}

// RelayPeer is an instance of another site.
type RelayPeer struct {
	Member uint64
	Addr   netip.AddrPort
}

const (
	crossingField  = "X-Mulleinmux-Crossing"
	fateField      = "X-Mulleinmux-Fate"
	fatePath       = "/link/fate"
	linkMost       = 64
	linkRetries    = 0.1 // further crossings that a first one earns
	linkSaved      = 10
	linkHandshake  = time.Second
	arrivalLife    = 30 * time.Second // a broken connection delivers nothing for so long
	arrivalsMost   = 1 << 16
	keptAnswer     = 16 << 10               // bytes of an answer's body that is kept
	fateEvery      = 20 * time.Millisecond  // between two asks for one that is under way
	fatePatience   = 300 * time.Millisecond // for the answer to one ask
	linkServerMark = "/@"                   // in the module's name of a far instance
)

// link is an instance's part in the link, at work.
type link struct {
	cfg *RelayConfig

	mu       sync.Mutex
	arrivals *multisite.ForwardedRequests
	budget   *multisite.RelayBudget
}

// keptReply is what is kept of a crossing's answer.
type keptReply struct {
	status      int
	contentType string
	body        []byte
}

func newLink(cfg *RelayConfig) (*link, error) {
	if len(cfg.Own) == 0 || cfg.TLS == nil || cfg.Verify == nil {
		return nil, errors.New("link: a hall of its own, certificates and a check of them are needed")
	}
	l := &link{cfg: cfg}
	var err error
	if l.arrivals, err = multisite.NewForwardedRequests(arrivalLife, arrivalsMost); err != nil {
		return nil, err
	}
	l.budget, err = multisite.NewRelayBudget(multisite.RelayBudgetConfig{MaxInFlight: orDefault(cfg.MaxInFlight, linkMost), RetryRatio: linkRetries, MaxSavedRetries: linkSaved})
	return l, err
}

// crosses tells whether a server, as the module names it, is an instance of another site.
func crosses(server string) bool { return strings.Contains(server, linkServerMark) }

// far is what the module is told of a hall that is reached by way of its own site's instances.
func (l *link) far(hall string) (list discovery.EndpointList, ok bool) {
	peers, ok := l.cfg.Remote[hall]
	for _, p := range peers {
		list.Servers = append(list.Servers, discovery.Endpoint{Addr: p.Addr,
			Server: policy.Server{ID: "@" + strconv.FormatUint(p.Member, 10), Weight: 1, Kind: "instance", Zone: hall}})
	}
	list.IsComplete = true
	return list, ok
}

// owns tells whether this instance reaches a hall's servers itself.
func (l *link) owns(hall string) bool {
	for _, o := range l.cfg.Own {
		if o == hall {
			return true
		}
	}
	return false
}

// secure makes a connection to a far instance one of the link.
func (l *link) secure(ctx context.Context, server string, nc net.Conn) (net.Conn, error) {
	_, number, _ := strings.Cut(server, linkServerMark)
	want, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("link: %q is no instance", server)
	}
	ctx, cancel := context.WithTimeout(ctx, linkHandshake)
	defer cancel()
	c := tls.Client(nc, l.cfg.TLS)
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if got, err := l.cfg.Verify(c.ConnectionState()); err != nil || got != want {
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

// take and done hold the budget of crossings.
func (l *link) take(fl *flight) bool {
	best := 0.0
	worth := func(w float64, aim time.Duration) float64 { return w / max(aim.Seconds(), 1e-3) }
	for _, k := range fl.version.table.Classes {
		best = max(best, worth(k.PriorityWeight, k.LatencyObjective))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Acquire(fl.licensee, worth(fl.op.Class.PriorityWeight, fl.op.Class.LatencyObjective)/max(best, 1e-9), fl.attempts > 1)
}

func (l *link) done(fl *flight) {
	l.mu.Lock()
	l.budget.Release(fl.licensee)
	l.mu.Unlock()
}

// crossing is the id of the attempt under way.
func (fl *flight) crossing() string { return fl.trace + "." + strconv.Itoa(fl.attempts) }

// fate asks a far instance, over another connection, what became of a crossing whose connection broke. It
// asks until the answer is final or the attempt's time is over.
func (in *Instance) fate(fl *flight, at attempt) (multisite.ExecutionStatus, *keptReply) {
	id := fl.crossing()
	for until := at.until; time.Now().Before(until); {
		var rep reply
		by := time.Now().Add(fatePatience)
		if until.Before(by) {
			by = until
		}
		result := in.servers.exchange(in.ctx, &call{}, at.server, by, false, &rep, func(b []byte) []byte {
			b = append(b, "GET "+fatePath+" HTTP/1.1\r\nHost: link\r\n"...)
			return append(httpwire.AppendField(b, crossingField, id), "\r\n"...)
		})
		if result == policy.OK {
			switch f := multisite.ParseExecutionStatus(rep.head.Get(fateField)); f {
			case multisite.Executed:
				if rep.head.Status == http.StatusNoContent {
					return f, nil
				}
				return f, &keptReply{rep.head.Status, rep.head.Get("Content-Type"), rep.body}
			case multisite.Executing:
			default:
				return f, nil
			}
		}
		pause := time.NewTimer(fateEvery)
		select {
		case <-pause.C:
		case <-in.ctx.Done():
			pause.Stop()
			return multisite.ExecutionUnknown, nil
		}
	}
	return multisite.ExecutionUnknown, nil
}

// settle finds out what became of an attempt whose connection over the link broke.
func (in *Instance) settle(fl *flight, at attempt) policy.Result {
	f, kept := in.fate(fl, at)
	switch {
	case f == multisite.NeverExecuted:
		fl.rep.whole = false // as if it had not been written; and the far instance lives
		return policy.RejectedByServer
	case f == multisite.Executed && kept != nil:
		h := &fl.rep.head
		*h = httpwire.Head{Status: kept.status, Reason: http.StatusText(kept.status), Length: int64(len(kept.body))}
		if kept.contentType != "" {
			h.Fields = append(h.Fields, httpwire.Field{Name: "Content-Type", Value: kept.contentType})
		}
		fl.rep.body = kept.body
		return policy.OK
	}
	return policy.ConnectionReset
}

// tellFate answers another site's ask.
func (c *client) tellFate() bool {
	l := c.f.in.link
	id, n := c.fl.head.Values(crossingField)
	if n != 1 || id == "" {
		return c.turnDown(&badRequest{status: http.StatusBadRequest, text: crossingField + ": one is wanted"})
	}
	l.mu.Lock()
	f, kept := l.arrivals.ResolveStatus(time.Now(), id)
	l.mu.Unlock()
	status, body := http.StatusNoContent, []byte(nil)
	k, ok := kept.(*keptReply)
	if ok && k != nil {
		status, body = k.status, k.body
	}
	b := httpwire.AppendField(c.begin(status, http.StatusText(status)), fateField, f.String())
	if ok && k != nil && k.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", k.contentType)
	}
	length := len(body)
	if status == http.StatusNoContent {
		length = -1
	}
	return c.finish(b, body, length)
}

// come takes in a crossing; an error turns it down.
func (c *client) come() error {
	l, fl := c.f.in.link, &c.fl
	id, n := fl.head.Values(crossingField)
	if n != 1 || id == "" {
		return &badRequest{status: http.StatusBadRequest, text: crossingField + ": one is wanted"}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.crossed != "" && c.crossed != id { // a connection carries one after the other: the last answer has been read
		l.arrivals.Acknowledge(c.crossed)
	}
	c.crossed = id
	if fate, ok := l.arrivals.Admit(time.Now(), id); !ok && fate == multisite.NeverExecuted {
		return &badRequest{status: http.StatusConflict, text: "the crossing is void or can't be remembered"}
	} else if !ok {
		return &badRequest{status: http.StatusBadGateway, text: "the crossing has come before", mayRun: true}
	}
	fl.crossingID = id
	return nil
}

// left notes the fate of a crossing that has its final answer.
func (c *client) left() {
	l, fl := c.f.in.link, &c.fl
	fate, kept := multisite.ExecutionUnknown, any(nil)
	switch {
	case fl.answer == served:
		fate = multisite.Executed
		if h := &fl.rep.head; len(fl.rep.body) <= keptAnswer && fl.head.Method != http.MethodHead && h.Status != http.StatusNoContent && h.Status != http.StatusNotModified {
			kept = &keptReply{h.Status, h.Get("Content-Type"), fl.rep.body}
		}
	case !fl.mayRun:
		fate = multisite.NeverExecuted
	}
	l.mu.Lock()
	l.arrivals.Complete(time.Now(), fl.crossingID, fate, kept)
	l.mu.Unlock()
}

// neverRan words that a crossing did not run here.
func (c *client) neverRan(text string, wait time.Duration) bool {
	b := c.begin(http.StatusServiceUnavailable, "Service Unavailable")
	b = append(b, "X-Never-Ran: 1\r\n"...)
	if wait > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, wait)
		b = append(b, "\r\n"...)
	}
	body := []byte(text + "\n")
	return c.finish(b, body, len(body))
}

// linkListener accepts connections of other sites' instances; each shows its certificate before its first request.
type linkListener struct {
	net.Listener
	link *link
}

func (l linkListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tls.Server(nc, l.link.cfg.TLS), nil
}

// shows checks the certificate at the other end of a connection of the link.
func (c *client) shows() bool {
	t, ok := c.nc.(*tls.Conn)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(c.f.in.ctx, linkHandshake)
	defer cancel()
	err := t.HandshakeContext(ctx)
	if err == nil {
		_, err = c.f.in.link.cfg.Verify(t.ConnectionState())
	}
	if err != nil {
		c.f.in.log.Printf("link: connection from %s: %v", c.nc.RemoteAddr(), err)
	}
	return err == nil
}
