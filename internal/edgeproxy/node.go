// Package node is the real edge node: the host of a [policy.Engine] on sockets.
// It moves bytes, keeps the clock and enforces what the module relies on; what is
// sent where, refused or tried again is decided in package choice alone.
package edgeproxy

import (
	"context"
	"fmt"
	"log"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gossip"
	"mulleinmux/internal/loadreport"
	"mulleinmux/policy"
)

// Node hosts the gateway of one edge node. Its events come from many goroutines;
// one mutex makes them one sequence. The gateway's actions change the books under
// the mutex; what does I/O runs after it is released or in a goroutine of its own.
type Node struct {
	cfg     *Config
	log     *log.Logger
	start   time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx     context.Context
	pool    *serverPool
	metrics *metrics
	memory  *memoryBudget

	mu           sync.Mutex
	engine       *policy.Engine
	gossipSocket *gossip.Socket // nil where edge nodes don't message each other, or another process does
	requests     map[string]*pendingRequest
	afterEvent   []func() // what the event under way leaves to do without the mutex
	isClosed     bool     // no more events
	work         sync.WaitGroup
}

// pendingRequest is a request of a client until it is answered and its attempts have ended.
type pendingRequest struct {
	id            string
	request       serverRequest
	deadline      time.Time
	answer        chan finalAnswer // takes the one final answer
	isAnswered    bool
	attempts      []*attempt
	inFlight      int         // attempts that have not ended
	reservedBytes int64       // of the budget, by its body
	clientLeft    atomic.Bool // its client has
}

// attempt is one attempt of a flight.
type attempt struct {
	number int
	server string
	sentAt time.Duration
	cancel context.CancelFunc
	permit *sendPermit
}

// finalAnswer is a final answer.
type finalAnswer struct {
	kind          answerKind
	retryAfter    time.Duration  // of a refusal
	response      serverResponse // of a served one
	pendingWrites []*sendPermit  // attempts that were just being written: it is given once they are
}

type answerKind int

const (
	answerServed answerKind = iota
	answerRejected
	answerFailed
)

// newNode makes a node whose goroutines end with ctx.
func newNode(ctx context.Context, cfg *Config, logger *log.Logger) (*Node, error) {
	gw, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var classes []string
	for _, c := range cfg.Settings.Classes {
		classes = append(classes, c.Name)
	}
	n := &Node{
		metrics: newMetrics(classes),
		memory:  newMemoryBudget(cfg.MemoryMB),
		cfg:     cfg, log: logger, start: time.Now(), ctx: ctx, engine: gw, requests: map[string]*pendingRequest{},
		pool: newServerPool(cfg.Transport, maxServerConns(cfg.MaxSockets)),
	}
	n.pool.minIdleTime = cfg.minIdleTime
	n.pool.onSent, n.pool.subsetServers = n.metrics.attemptSent, n.subsetServers
	return n, nil
}

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (n *Node) now() time.Duration {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handleEvent runs one event of the gateway, then what its actions left to do. It tells
// whether the event came through: a panic of the module is logged, with the stack
// that names its cause, and costs the one event.
func (n *Node) handleEvent(f func(now time.Duration, out policy.Actions)) bool {
	n.mu.Lock()
	ok := !n.isClosed && n.runGuarded(f)
	after := n.afterEvent
	n.afterEvent = nil
	n.mu.Unlock()
	for _, do := range after {
		do()
	}
	return ok
}

func (n *Node) runGuarded(f func(now time.Duration, out policy.Actions)) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
			n.afterEvent = append(n.afterEvent, func() { n.log.Print(text) })
		}
	}()
	f(n.now(), (*engineActions)(n))
	return true
}

// close ends the node's events, then waits for its attempts and probes, whose context
// has ended.
func (n *Node) close() {
	n.mu.Lock()
	n.isClosed = true
	n.mu.Unlock()
	n.work.Wait()
	n.pool.close()
}

// spawn runs f in a goroutine that close waits for; f ends with the node's context. It is false
// once the node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isClosed {
		return false
	}
	n.work.Go(f)
	return true
}

// setGossipSocket gives the node the socket on which its peers are heard.
func (n *Node) setGossipSocket(sock *gossip.Socket) {
	n.mu.Lock()
	n.gossipSocket = sock
	n.mu.Unlock()
}

// takeGossipSocket takes the peers' socket away from the node.
func (n *Node) takeGossipSocket() *gossip.Socket {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock := n.gossipSocket
	n.gossipSocket = nil
	return sock
}

// exportState returns what the module hands to the process that takes over, and the peers'
// socket, on which nothing is sent any more. The requests under way go on.
func (n *Node) exportState() (state []byte, sock *gossip.Socket, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock, n.gossipSocket = n.gossipSocket, nil
	state, err = n.engine.ExportState(n.now())
	return state, sock, err
}

// importState goes on from what another process's module knew.
func (n *Node) importState(state []byte) {
	n.mu.Lock()
	err := n.engine.ImportState(n.now(), state)
	n.mu.Unlock()
	if err != nil {
		n.log.Printf("handover: %v: beginning from nothing", err)
	}
}

// subsetServers names the servers to which connections are kept.
func (n *Node) subsetServers() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine.SubsetServerIDs()
}

// metricsText words what operators read.
func (n *Node) metricsText() string {
	n.mu.Lock()
	size, unhealthy := n.engine.ServerCounts(n.now())
	part, doubted := n.engine.SubsetCounts()
	var rules strings.Builder
	fmt.Fprintf(&rules, "choice.part=%d\nchoice.part_doubted=%d\n", part, doubted)
	n.engine.EachRejectionCount(func(rule string, count uint64) { fmt.Fprintf(&rules, "choice.refused.%s=%d\n", rule, count) })
	b := n.engine.OverQuotaUnits()
	fmt.Fprintf(&rules, "choice.beyond_quota.sent=%.0f\nchoice.beyond_quota.found=%.0f\n", b.Sent, b.Discovered)
	n.mu.Unlock()
	return n.metrics.text(size, unhealthy) + rules.String()
}

// startEngine starts the gateway with the saved list.
func (n *Node) startEngine() {
	n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.Start(now, out) })
	n.updateEndpoints(n.cfg.SavedEndpoints, policy.EndpointsSaved)
}

// updateEndpoints hands a list to the connections and to the gateway, as one event.
func (n *Node) updateEndpoints(l discovery.List, form policy.EndpointUpdateKind) {
	servers := make([]policy.Server, len(l.Servers))
	for i, s := range l.Servers {
		servers[i] = s.Server
	}
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		stale := n.pool.updateEndpoints(l.Servers, form != policy.EndpointsDelta)
		n.afterEvent = append(n.afterEvent, func() { closeConns(stale) })
		n.engine.EndpointsChanged(now, form, servers, out)
	})
}

// endpointsReceived hands a message of discovery on.
func (n *Node) endpointsReceived(l discovery.List) {
	form := policy.EndpointsDelta
	if l.Full {
		form = policy.EndpointsComplete
	}
	n.updateEndpoints(l, form)
}

// gossipReceived hands a message of a peer on.
func (n *Node) gossipReceived(from int, message []byte) {
	n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.GossipReceived(now, from, message, out) })
}

// beginRequest takes a request of a client. It returns nil if its id is in use. The final
// answer comes on the flight's channel, also where the gateway gives none in time.
func (n *Node) beginRequest(q policy.Request, m serverRequest, deadline time.Time, held int64) *pendingRequest {
	fl := &pendingRequest{id: q.ID, request: m, deadline: deadline, reservedBytes: held, answer: make(chan finalAnswer, 1)}
	fl.request.clientLeft = &fl.clientLeft
	taken := false
	ok := n.handleEvent(func(now time.Duration, out policy.Actions) {
		if taken = n.requests[q.ID] != nil; taken {
			return
		}
		n.requests[q.ID] = fl
		n.engine.RequestReceived(now, q, out)
	})
	if taken {
		n.memory.release(held)
		return nil
	}
	if !ok {
		n.deadlineExceeded(fl)
	}
	return fl
}

// clientDisconnected ends a flight whose client has gone or for which no answer was given in time.
func (n *Node) clientDisconnected(fl *pendingRequest) {
	fl.clientLeft.Store(true)
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		n.finishRequest(fl, finalAnswer{kind: answerFailed})
		n.engine.ClientDisconnected(now, fl.id, out)
	})
}

// deadlineExceeded ends a flight that can be waited for no longer, or that the module failed to answer: refused where trying again does
// no harm, as at least for one that was never sent on.
func (n *Node) deadlineExceeded(fl *pendingRequest) {
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if !fl.isAnswered {
			n.engine.DeadlineExceeded(now, fl.id, out)
		}
	})
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if !fl.isAnswered && len(fl.attempts) == 0 {
			n.finishRequest(fl, finalAnswer{kind: answerRejected})
		}
		n.finishRequest(fl, finalAnswer{kind: answerFailed})
		n.engine.ClientDisconnected(now, fl.id, out)
	})
}

// finishRequest gives a flight its final answer unless it has one. Called under the mutex.
func (n *Node) finishRequest(fl *pendingRequest, a finalAnswer) {
	if fl.isAnswered {
		return
	}
	fl.isAnswered = true
	for _, at := range fl.attempts {
		// Nothing goes on after the final answer: neither a second copy, nor an attempt for a client that has left, whose
		// connection comes up late.
		if at.permit.revoke() {
			at.cancel()
			continue
		}
		select {
		case <-at.permit.done:
		default:
			at.cancel()
			a.pendingWrites = append(a.pendingWrites, at.permit)
		}
	}
	fl.answer <- a
	n.removeIfEnded(fl)
}

// removeIfEnded drops a flight once it is over in every respect. Called under the mutex.
func (n *Node) removeIfEnded(fl *pendingRequest) {
	if fl.isAnswered && fl.inFlight == 0 && n.requests[fl.id] == fl {
		delete(n.requests, fl.id)
		n.memory.release(fl.reservedBytes)
		fl.reservedBytes = 0
	}
}

// runAttempt carries out one attempt and brings its outcome to the gateway.
func (n *Node) runAttempt(ctx context.Context, fl *pendingRequest, a *attempt) {
	defer n.work.Done()
	msg := fl.request
	msg.permit = a.permit
	rep, result := n.pool.exchange(ctx, a.server, &msg)
	took := n.now() - a.sentAt
	if more := fl.request.rest; more != nil {
		if !more.forwardedAt.IsZero() {
			took = time.Since(more.forwardedAt)
		} else if more.isBroken.Load() {
			n.clientDisconnected(fl) // its client sends no more of it
		}
	}
	if rep.stream != nil {
		result = n.streamAnswer(fl, a, rep)
	}
	a.cancel()
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if result == policy.OK && rep.stream == nil {
			n.finishRequest(fl, finalAnswer{kind: answerServed, response: rep})
		}
		fl.inFlight--
		n.engine.AttemptCompleted(now, policy.AttemptResult{ID: fl.id, Attempt: a.number, RequestAnswered: fl.isAnswered, Result: result,
			Server: a.server, Latency: took, LoadReport: rep.loadReport, ConnectedAt: n.connectedAt(rep)}, out)
		n.removeIfEnded(fl)
	})
}

// streamAnswer gives the client an answer that goes on as it comes, and waits for its end. One for
// which it comes too late is cut off.
func (n *Node) streamAnswer(fl *pendingRequest, a *attempt, rep serverResponse) policy.Result {
	taken := false
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if taken = !fl.isAnswered; taken {
			n.engine.ResponseStarted(now, fl.id, a.number, out)
			n.finishRequest(fl, finalAnswer{kind: answerServed, response: rep})
		}
	})
	if !taken {
		rep.stream.finish(policy.Cancelled)
	}
	return <-rep.stream.result
}

// connectedAt is the clock's reading when the connection of an answer was made, 0 where there was none.
func (n *Node) connectedAt(rep serverResponse) time.Duration {
	if rep.connectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.start.UnixNano()) + rep.connectedAt.Sub(n.start)
}

// checkHealth asks a server for its load.
func (n *Node) checkHealth(server string) {
	defer n.work.Done()
	ctx, cancel := context.WithTimeout(n.ctx, healthCheckTimeout)
	defer cancel()
	rep, result := n.pool.exchange(ctx, server, &serverRequest{method: "GET", target: loadReportPath})
	report := rep.loadReport
	if report == nil {
		report = loadreport.Parse(string(rep.body))
	}
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		n.engine.HealthCheckCompleted(now, server, result, report, out)
	})
}

// engineActions carries out what the gateway asks for. All are called under the mutex.
type engineActions Node

// SendAttempt starts an attempt, bounded by its timeout and by the client's deadline.
func (a *engineActions) SendAttempt(id, server string, timeout time.Duration) {
	n := (*Node)(a)
	fl := n.requests[id]
	if fl == nil || fl.isAnswered {
		n.logLater("module: send for %s, which is not open", id)
		return
	}
	until := fl.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	ctx, cancel := context.WithDeadline(n.ctx, until)
	at := &attempt{number: len(fl.attempts), server: server, sentAt: n.now(), cancel: cancel, permit: newSendPermit()}
	fl.attempts = append(fl.attempts, at)
	fl.inFlight++
	n.work.Add(1)
	go n.runAttempt(ctx, fl, at)
}

func (a *engineActions) RejectRequest(id string, retryAfter time.Duration) {
	if fl := a.requests[id]; fl != nil {
		(*Node)(a).finishRequest(fl, finalAnswer{kind: answerRejected, retryAfter: retryAfter})
	}
}

func (a *engineActions) FailRequest(id string) {
	if fl := a.requests[id]; fl != nil {
		(*Node)(a).finishRequest(fl, finalAnswer{kind: answerFailed})
	}
}

func (a *engineActions) CancelAttempt(id string, attempt int) {
	if fl := a.requests[id]; fl != nil && attempt >= 0 && attempt < len(fl.attempts) {
		fl.attempts[attempt].cancel()
	}
}

func (a *engineActions) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(a)
	time.AfterFunc(after, func() {
		n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.TimerFired(now, token, out) })
	})
}

func (a *engineActions) CheckHealth(server string) {
	n := (*Node)(a)
	n.work.Add(1)
	go n.checkHealth(server)
}

func (a *engineActions) SendGossip(peer int, message []byte) {
	n := (*Node)(a)
	message = append([]byte(nil), message...)
	if sock := n.gossipSocket; sock != nil {
		n.afterEvent = append(n.afterEvent, func() { sock.Tell(peer, message, n.log.Printf) })
	}
}

// WatchEndpoints has nothing to do: the list is always watched.
func (a *engineActions) WatchEndpoints(bool) {}

func (a *engineActions) Log(text string) { (*Node)(a).logLater("module: %s", text) }

func (n *Node) logLater(format string, args ...any) {
	n.afterEvent = append(n.afterEvent, func() { n.log.Printf(format, args...) })
}
