package policy

import (
	"bytes"
	"time"
)

const (
	fleetDialTimeout   = 250 * ms // a connection to a server that is down fails then
	fleetDialWork      = 0.0015   // of a new connection, in seconds of a core
	fleetCheckWork     = 0.0002   // of a health check
	fleetCheckTime     = 4 * ms
	fleetDisorderShare = 0.05 // of messages that are doubled, and of those that are late
)

// fleetHost carries out what one process of an engine asks for.
type fleetHost struct {
	sim         *fleetSim
	engine      int
	incarnation int
}

func (h *fleetHost) isLive() bool { return h.sim.incarnations[h.engine] == h.incarnation }

// afterIfLive calls back the engine, if its process still runs then.
func (h *fleetHost) afterIfLive(d time.Duration, call func(e *Engine)) {
	h.sim.after(d, func() {
		if h.isLive() {
			call(h.sim.engines[h.engine])
		}
	})
}

// attemptRun is one attempt on its way to a server, which is nil if there is none of that name.
type attemptRun struct {
	host     *fleetHost
	request  *fleetRequest
	index    int // among the request's attempts
	serverID string
	server   *simServer
	pool     *connectionPool
	timeout  time.Duration
	bootedAt time.Duration // of the server's process when the attempt was sent
}

func (a *attemptRun) state() *fleetAttempt { return &a.request.attempts[a.index] }

func (h *fleetHost) SendAttempt(id, server string, timeout time.Duration) {
	s, r := h.sim, h.sim.requests[id]
	run := &attemptRun{host: h, request: r, index: len(r.attempts), serverID: server, server: s.byID[server]}
	r.attempts = append(r.attempts, fleetAttempt{server: run.server, incarnation: h.incarnation, sentAt: s.now})
	if run.index == 0 {
		s.total.firstAttemptDelay += s.now - r.at
		s.ledger.requestForwarded(s.now, r)
	}
	s.total.attempts++
	run.timeout = timeout
	if timeout <= 0 || timeout > r.deadline-s.now {
		run.timeout = r.deadline - s.now
	}
	run.pool = s.pool(h.engine, server)
	run.pool.inUse++
	run.takeIdleConnection()
	run.connect()
}

// takeIdleConnection takes the latest idle connection that still stands, and drops the others met on the way.
func (a *attemptRun) takeIdleConnection() {
	s, server := a.host.sim, a.server
	for len(a.pool.idleSince) > 0 {
		last := len(a.pool.idleSince) - 1
		since := a.pool.idleSince[last]
		a.pool.idleSince = a.pool.idleSince[:last]
		isKept := s.now-since < fleetIdleTimeout
		if isKept && server != nil && !server.isDown && (server.bootedAt == 0 || since > server.bootedAt) {
			a.state().reusesConnection = true
			return
		}
		if server != nil {
			server.connections--
		}
	}
}

// connect makes a connection if none is reused, and sends the request.
func (a *attemptRun) connect() {
	s, server := a.host.sim, a.server
	reuses := a.state().reusesConnection
	switch {
	case server == nil || server.isDown && reuses:
		s.total.connectionsFailed++
		a.finish(TimedOut, a.timeout)
	case server.isDown:
		s.total.connectionsFailed++
		a.finish(ConnectFailed, min(a.timeout, fleetDialTimeout))
	case reuses:
		a.bootedAt = server.bootedAt
		s.after(ms, a.arrive)
	default:
		s.total.connectionsOpened++
		if server.connections >= server.maxConnections {
			s.total.connectionsFailed++
			a.finish(ConnectFailed, ms)
			return
		}
		server.connections++
		server.use(s, fleetDialWork)
		a.bootedAt = server.bootedAt
		s.after(ms+fleetConnectTime, a.arrive)
	}
}

// arrive is the request's arrival at the server.
func (a *attemptRun) arrive() {
	s, server := a.host.sim, a.server
	if a.state().isDone {
		return
	}
	if server.inFlight >= fleetQueue {
		server.rejections++
		s.total.serverRejections++
		a.finish(RejectedByServer, ms)
		return
	}
	server.inFlight++
	bootedAt := a.bootedAt
	took := server.use(s, s.work(a.request.class)) - s.now
	s.after(took, func() {
		server.inFlight--
		if server.bootedAt == bootedAt && !server.isDown {
			server.served++
		}
	})
	left := a.state().sentAt + a.timeout - s.now
	if took > left || server.isOverloaded {
		a.finish(TimedOut, left)
	} else {
		a.finish(OK, took+ms)
	}
}

// finish ends the attempt after a while, unless it was cancelled before.
func (a *attemptRun) finish(result Result, took time.Duration) {
	s, server := a.host.sim, a.server
	s.after(took, func() {
		state := a.state()
		if state.isDone {
			return
		}
		state.isDone = true
		a.pool.inUse--
		hasAnswer := result == OK || result == RejectedByServer
		if server != nil && hasAnswer && !server.isDown && !state.isCancelled {
			a.pool.idleSince = append(a.pool.idleSince, s.now)
		} else if server != nil && result != ConnectFailed {
			server.connections--
		}
		if result == OK && !a.request.isDone {
			s.answer(a.request, true, 0)
		}
		a.host.completeAttempt(a, result)
	})
}

// completeAttempt tells the engine, if its process still runs, of the end of an attempt.
func (h *fleetHost) completeAttempt(a *attemptRun, result Result) {
	if !h.isLive() {
		return
	}
	s, sentAt := h.sim, a.state().sentAt
	completed := AttemptResult{ID: a.request.id, Attempt: a.index, RequestAnswered: a.request.isDone, Result: result,
		Server: a.serverID, Latency: s.now - sentAt}
	if result != Cancelled {
		completed.ConnectedAt = sentAt
	}
	s.engines[h.engine].AttemptCompleted(s.now, completed, h)
}

func (h *fleetHost) CancelAttempt(id string, n int) {
	s, r := h.sim, h.sim.requests[id]
	state := &r.attempts[n]
	if state.isDone {
		return
	}
	state.isDone, state.isCancelled = true, true
	s.pool(h.engine, state.server.ID).inUse--
	state.server.connections--
	run := &attemptRun{host: h, request: r, index: n, serverID: state.server.ID}
	s.after(0, func() { h.completeAttempt(run, Cancelled) })
}

func (h *fleetHost) RejectRequest(id string, retryAfter time.Duration) {
	h.sim.answer(h.sim.requests[id], false, retryAfter)
}

func (h *fleetHost) FailRequest(id string) { h.sim.answer(h.sim.requests[id], false, 0) }

func (h *fleetHost) WatchEndpoints(bool) {}

func (h *fleetHost) Log(LogEvent) {}

func (h *fleetHost) SetTimer(token uint64, d time.Duration) {
	h.afterIfLive(d, func(e *Engine) { e.TimerFired(h.sim.now, token, h) })
}

func (h *fleetHost) CheckHealth(id string) {
	s, server := h.sim, h.sim.byID[id]
	s.total.healthChecks++
	result, took := h.checkConnection(server, s.pool(h.engine, id))
	var report *LoadReport
	if result == OK {
		report = server.loadReport(s)
	}
	h.afterIfLive(took, func(e *Engine) { e.HealthCheckCompleted(s.now, id, result, report, h) })
}

// checkConnection finds or makes the connection that a health check goes over.
func (h *fleetHost) checkConnection(server *simServer, pool *connectionPool) (Result, time.Duration) {
	s := h.sim
	if server == nil || server.isDown {
		return ConnectFailed, fleetDialTimeout
	}
	if len(pool.idleSince) > 0 {
		return OK, fleetCheckTime
	}
	if server.connections >= server.maxConnections {
		return ConnectFailed, fleetCheckTime
	}
	server.connections++
	s.total.connectionsOpened++
	pool.idleSince = append(pool.idleSince, s.now)
	server.use(s, fleetDialWork)
	return OK, fleetCheckTime
}

func (h *fleetHost) SendGossip(peer int, message []byte) {
	s := h.sim
	s.total.gossipMessages++
	if s.dropsGossip || s.rng.Float64() < s.loss {
		return
	}
	message = bytes.Clone(message)
	receive := func() { s.engines[peer].GossipReceived(s.now, h.engine, message, s.hosts[peer]) }
	took := time.Duration(1+s.rng.IntN(30)) * ms
	if s.reordersGossip && s.rng.Float64() < fleetDisorderShare {
		s.after(took+time.Duration(s.rng.IntN(300))*ms, receive)
	}
	if s.reordersGossip && s.rng.Float64() < fleetDisorderShare {
		took += time.Duration(s.rng.IntN(300)) * ms
	}
	s.after(took, receive)
}
