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
	cfg    *Config
	log    *log.Logger
	start  time.Time // the clock reads Unix time at the start plus the monotonic time since
	ctx    context.Context
	up     *upstream
	counts *counts
	memory *budget

	mu      sync.Mutex
	gw      *policy.Engine
	peers   *gossip.Socket // nil where edge nodes don't message each other, or another process does
	flights map[string]*flight
	after   []func() // what the event under way leaves to do without the mutex
	closed  bool     // no more events
	work    sync.WaitGroup
}

// flight is a request of a client until it is answered and its attempts have ended.
type flight struct {
	id       string
	msg      message
	deadline time.Time
	answer   chan answer // takes the one final answer
	done     bool
	attempts []*attempt
	out      int         // attempts that have not ended
	held     int64       // of the budget, by its body
	left     atomic.Bool // its client has
}

// attempt is one attempt of a flight.
type attempt struct {
	number int
	server string
	sent   time.Duration
	cancel context.CancelFunc
	leave  *leave
}

// answer is a final answer.
type answer struct {
	kind       answerKind
	retryAfter time.Duration // of a refusal
	reply      reply         // of a served one
	writes     []*leave      // attempts that were just being written: it is given once they are
}

type answerKind int

const (
	served answerKind = iota
	refused
	failed
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
		counts: newCounts(classes),
		memory: newBudget(cfg.MemoryMB),
		cfg:    cfg, log: logger, start: time.Now(), ctx: ctx, gw: gw, flights: map[string]*flight{},
		up: newUpstream(cfg.Transport, serverSockets(cfg.MaxSockets)),
	}
	n.up.rest = cfg.rest
	n.up.sent, n.up.near = n.counts.sent, n.near
	return n, nil
}

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (n *Node) now() time.Duration {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// event runs one event of the gateway, then what its actions left to do. It tells
// whether the event came through: a panic of the module is logged, with the stack
// that names its cause, and costs the one event.
func (n *Node) event(f func(now time.Duration, out policy.Actions)) bool {
	n.mu.Lock()
	ok := !n.closed && n.guarded(f)
	after := n.after
	n.after = nil
	n.mu.Unlock()
	for _, do := range after {
		do()
	}
	return ok
}

func (n *Node) guarded(f func(now time.Duration, out policy.Actions)) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
			n.after = append(n.after, func() { n.log.Print(text) })
		}
	}()
	f(n.now(), (*actions)(n))
	return true
}

// close ends the node's events, then waits for its attempts and probes, whose context
// has ended.
func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.work.Wait()
	n.up.shut()
}

// spawn runs f in a goroutine that close waits for; f ends with the node's context. It is false
// once the node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.work.Go(f)
	return true
}

// join gives the node the socket on which its peers are heard.
func (n *Node) join(sock *gossip.Socket) {
	n.mu.Lock()
	n.peers = sock
	n.mu.Unlock()
}

// leavePeers takes the peers' socket away from the node.
func (n *Node) leavePeers() *gossip.Socket {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock := n.peers
	n.peers = nil
	return sock
}

// retire returns what the module hands to the process that takes over, and the peers'
// socket, on which nothing is sent any more. The requests under way go on.
func (n *Node) retire() (state []byte, sock *gossip.Socket, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sock, n.peers = n.peers, nil
	state, err = n.gw.ExportState(n.now())
	return state, sock, err
}

// takeOver goes on from what another process's module knew.
func (n *Node) takeOver(state []byte) {
	n.mu.Lock()
	err := n.gw.ImportState(n.now(), state)
	n.mu.Unlock()
	if err != nil {
		n.log.Printf("handover: %v: beginning from nothing", err)
	}
}

// near names the servers to which connections are kept.
func (n *Node) near() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gw.SubsetServerIDs()
}

// figures words what operators read.
func (n *Node) figures() string {
	n.mu.Lock()
	size, unhealthy := n.gw.ServerCounts(n.now())
	part, doubted := n.gw.SubsetCounts()
	var rules strings.Builder
	fmt.Fprintf(&rules, "choice.part=%d\nchoice.part_doubted=%d\n", part, doubted)
	n.gw.EachRejectionCount(func(rule string, count uint64) { fmt.Fprintf(&rules, "choice.refused.%s=%d\n", rule, count) })
	b := n.gw.OverQuotaUnits()
	fmt.Fprintf(&rules, "choice.beyond_quota.sent=%.0f\nchoice.beyond_quota.found=%.0f\n", b.Sent, b.Discovered)
	n.mu.Unlock()
	return n.counts.text(size, unhealthy) + rules.String()
}

// boot starts the gateway with the saved list.
func (n *Node) boot() {
	n.event(func(now time.Duration, out policy.Actions) { n.gw.Start(now, out) })
	n.list(n.cfg.SavedEndpoints, policy.EndpointsSaved)
}

// list hands a list to the connections and to the gateway, as one event.
func (n *Node) list(l discovery.EndpointList, form policy.EndpointUpdateKind) {
	servers := make([]policy.Server, len(l.Servers))
	for i, s := range l.Servers {
		servers[i] = s.Server
	}
	n.event(func(now time.Duration, out policy.Actions) {
		stale := n.up.update(l.Servers, form != policy.EndpointsDelta)
		n.after = append(n.after, func() { closeAll(stale) })
		n.gw.EndpointsChanged(now, form, servers, out)
	})
}

// heard hands a message of discovery on.
func (n *Node) heard(l discovery.EndpointList) {
	form := policy.EndpointsDelta
	if l.IsComplete {
		form = policy.EndpointsComplete
	}
	n.list(l, form)
}

// whisper hands a message of a peer on.
func (n *Node) whisper(from int, message []byte) {
	n.event(func(now time.Duration, out policy.Actions) { n.gw.GossipReceived(now, from, message, out) })
}

// begin takes a request of a client. It returns nil if its id is in use. The final
// answer comes on the flight's channel, also where the gateway gives none in time.
func (n *Node) begin(q policy.Request, m message, deadline time.Time, held int64) *flight {
	fl := &flight{id: q.ID, msg: m, deadline: deadline, held: held, answer: make(chan answer, 1)}
	fl.msg.left = &fl.left
	taken := false
	ok := n.event(func(now time.Duration, out policy.Actions) {
		if taken = n.flights[q.ID] != nil; taken {
			return
		}
		n.flights[q.ID] = fl
		n.gw.RequestReceived(now, q, out)
	})
	if taken {
		n.memory.release(held)
		return nil
	}
	if !ok {
		n.expire(fl)
	}
	return fl
}

// abandon ends a flight whose client has gone or for which no answer was given in time.
func (n *Node) abandon(fl *flight) {
	fl.left.Store(true)
	n.event(func(now time.Duration, out policy.Actions) {
		n.end(fl, answer{kind: failed})
		n.gw.ClientDisconnected(now, fl.id, out)
	})
}

// expire ends a flight that can be waited for no longer, or that the module failed to answer: refused where trying again does
// no harm, as at least for one that was never sent on.
func (n *Node) expire(fl *flight) {
	n.event(func(now time.Duration, out policy.Actions) {
		if !fl.done {
			n.gw.DeadlineExceeded(now, fl.id, out)
		}
	})
	n.event(func(now time.Duration, out policy.Actions) {
		if !fl.done && len(fl.attempts) == 0 {
			n.end(fl, answer{kind: refused})
		}
		n.end(fl, answer{kind: failed})
		n.gw.ClientDisconnected(now, fl.id, out)
	})
}

// end gives a flight its final answer unless it has one. Called under the mutex.
func (n *Node) end(fl *flight, a answer) {
	if fl.done {
		return
	}
	fl.done = true
	for _, at := range fl.attempts {
		// Nothing goes on after the final answer: neither a second copy, nor an attempt for a client that has left, whose
		// connection comes up late.
		if at.leave.end() {
			at.cancel()
			continue
		}
		select {
		case <-at.leave.over:
		default:
			at.cancel()
			a.writes = append(a.writes, at.leave)
		}
	}
	fl.answer <- a
	n.forget(fl)
}

// forget drops a flight once it is over in every respect. Called under the mutex.
func (n *Node) forget(fl *flight) {
	if fl.done && fl.out == 0 && n.flights[fl.id] == fl {
		delete(n.flights, fl.id)
		n.memory.release(fl.held)
		fl.held = 0
	}
}

// try carries out one attempt and brings its outcome to the gateway.
func (n *Node) try(ctx context.Context, fl *flight, a *attempt) {
	defer n.work.Done()
	msg := fl.msg
	msg.leave = a.leave
	rep, result := n.up.exchange(ctx, a.server, &msg)
	took := n.now() - a.sent
	if more := fl.msg.more; more != nil {
		if !more.passed.IsZero() {
			took = time.Since(more.passed)
		} else if more.broken.Load() {
			n.abandon(fl) // its client sends no more of it
		}
	}
	if rep.rest != nil {
		result = n.stream(fl, a, rep)
	}
	a.cancel()
	n.event(func(now time.Duration, out policy.Actions) {
		if result == policy.OK && rep.rest == nil {
			n.end(fl, answer{kind: served, reply: rep})
		}
		fl.out--
		n.gw.AttemptCompleted(now, policy.AttemptResult{ID: fl.id, Attempt: a.number, RequestAnswered: fl.done, Result: result,
			Server: a.server, Latency: took, LoadReport: rep.load, ConnectedAt: n.since(rep)}, out)
		n.forget(fl)
	})
}

// stream gives the client an answer that goes on as it comes, and waits for its end. One for
// which it comes too late is cut off.
func (n *Node) stream(fl *flight, a *attempt, rep reply) policy.Result {
	taken := false
	n.event(func(now time.Duration, out policy.Actions) {
		if taken = !fl.done; taken {
			n.gw.ResponseStarted(now, fl.id, a.number, out)
			n.end(fl, answer{kind: served, reply: rep})
		}
	})
	if !taken {
		rep.rest.finish(policy.Cancelled)
	}
	return <-rep.rest.done
}

// since is the clock's reading when the connection of an answer was made, 0 where there was none.
func (n *Node) since(rep reply) time.Duration {
	if rep.since.IsZero() {
		return 0
	}
	return time.Duration(n.start.UnixNano()) + rep.since.Sub(n.start)
}

// probe asks a server for its load.
func (n *Node) probe(server string) {
	defer n.work.Done()
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	rep, result := n.up.exchange(ctx, server, &message{method: "GET", target: loadPath})
	report := rep.load
	if report == nil {
		report = loadreport.Parse(string(rep.body))
	}
	n.event(func(now time.Duration, out policy.Actions) {
		n.gw.HealthCheckCompleted(now, server, result, report, out)
	})
}

// actions carries out what the gateway asks for. All are called under the mutex.
type actions Node

// SendAttempt starts an attempt, bounded by its timeout and by the client's deadline.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	n := (*Node)(a)
	fl := n.flights[id]
	if fl == nil || fl.done {
		n.logLater("module: send for %s, which is not open", id)
		return
	}
	until := fl.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	ctx, cancel := context.WithDeadline(n.ctx, until)
	at := &attempt{number: len(fl.attempts), server: server, sent: n.now(), cancel: cancel, leave: newLeave()}
	fl.attempts = append(fl.attempts, at)
	fl.out++
	n.work.Add(1)
	go n.try(ctx, fl, at)
}

func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if fl := a.flights[id]; fl != nil {
		(*Node)(a).end(fl, answer{kind: refused, retryAfter: retryAfter})
	}
}

func (a *actions) FailRequest(id string) {
	if fl := a.flights[id]; fl != nil {
		(*Node)(a).end(fl, answer{kind: failed})
	}
}

func (a *actions) CancelAttempt(id string, attempt int) {
	if fl := a.flights[id]; fl != nil && attempt >= 0 && attempt < len(fl.attempts) {
		fl.attempts[attempt].cancel()
	}
}

func (a *actions) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(a)
	time.AfterFunc(after, func() {
		n.event(func(now time.Duration, out policy.Actions) { n.gw.TimerFired(now, token, out) })
	})
}

func (a *actions) CheckHealth(server string) {
	n := (*Node)(a)
	n.work.Add(1)
	go n.probe(server)
}

func (a *actions) SendGossip(peer int, message []byte) {
	n := (*Node)(a)
	message = append([]byte(nil), message...)
	if sock := n.peers; sock != nil {
		n.after = append(n.after, func() { sock.Send(peer, message, n.log.Printf) })
	}
}

// WatchEndpoints has nothing to do: the list is always watched.
func (a *actions) WatchEndpoints(bool) {}

func (a *actions) Log(text string) { (*Node)(a).logLater("module: %s", text) }

func (n *Node) logLater(format string, args ...any) {
	n.after = append(n.after, func() { n.log.Printf(format, args...) })
}
