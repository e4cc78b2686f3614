package policy

import (
	"bytes"
	"time"
)

const (
	fleetDialTimeout     = 250 * ms // after which a connection to a server that is down fails
	fleetDialWork        = 0.0015   // work of a new connection, in seconds of a core
	fleetCheckWork       = 0.0002   // work of a health check, in seconds of a core
	fleetCheckTime       = 4 * ms
	fleetReorderFraction = 0.05 // fraction of messages that are duplicated, and of those that are delayed
)

// fleetHost performs the actions of one process of an engine.
type fleetHost struct {
	sim         *fleetSim
	engine      int
	incarnation int
}

func (h *fleetHost) isRunning() bool { return h.sim.incarnations[h.engine] == h.incarnation }

// scheduleIfRunning schedules a call of the engine, which is dropped if the process no longer runs by then.
func (h *fleetHost) scheduleIfRunning(d time.Duration, call func(e *Engine)) {
	h.sim.schedule(d, func() {
		if h.isRunning() {
			call(h.sim.engines[h.engine])
		}
	})
}

// attemptExecution is the execution of one attempt. The server is nil if there is none with the ID.
type attemptExecution struct {
	host     *fleetHost
	request  *fleetRequest
	index    int // among the request's attempts
	serverID string
	server   *simServer
	pool     *connectionPool
	timeout  time.Duration
	bootedAt time.Duration // of the server's process when the attempt was sent
}

func (a *attemptExecution) state() *fleetAttempt { return &a.request.attempts[a.index] }

func (h *fleetHost) SendAttempt(id, server string, timeout time.Duration) {
	s, r := h.sim, h.sim.requests[id]
	execution := &attemptExecution{
		host: h, request: r, index: len(r.attempts), serverID: server, server: s.serversByID[server]}
	r.attempts = append(r.attempts, fleetAttempt{server: execution.server, incarnation: h.incarnation, sentAt: s.now})
	if execution.index == 0 {
		s.total.firstAttemptDelay += s.now - r.at
		s.ledger.requestForwarded(s.now, r)
	}
	s.total.attempts++
	execution.timeout = timeout
	if timeout <= 0 || timeout > r.deadline-s.now {
		execution.timeout = r.deadline - s.now
	}
	execution.pool = s.pool(h.engine, server)
	execution.pool.inUse++
	execution.takeIdleConnection()
	execution.connect()
}

// takeIdleConnection reuses the connection that became idle last, if the server still has it open. It removes the
// closed connections that it finds first.
func (a *attemptExecution) takeIdleConnection() {
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

// connect opens a connection if none is reused, and sends the request.
func (a *attemptExecution) connect() {
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
		s.schedule(ms, a.arriveAtServer)
	default:
		s.total.connectionsOpened++
		if server.connections >= server.maxConnections {
			s.total.connectionsFailed++
			a.finish(ConnectFailed, ms)
			return
		}
		server.connections++
		server.addWork(s, fleetDialWork)
		a.bootedAt = server.bootedAt
		s.schedule(ms+fleetConnectTime, a.arriveAtServer)
	}
}

// arriveAtServer has the server process or reject the request.
func (a *attemptExecution) arriveAtServer() {
	s, server := a.host.sim, a.server
	if a.state().isDone {
		return
	}
	if server.inFlight >= fleetMaxInFlight {
		server.rejections++
		s.total.serverRejections++
		a.finish(RejectedByServer, ms)
		return
	}
	server.inFlight++
	bootedAt := a.bootedAt
	took := server.addWork(s, s.drawWork(a.request.class)) - s.now
	s.schedule(took, func() {
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

// finish ends the attempt after a delay, unless it was cancelled before.
func (a *attemptExecution) finish(result Result, took time.Duration) {
	s, server := a.host.sim, a.server
	s.schedule(took, func() {
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
			s.handleAnswer(a.request, true, 0)
		}
		a.host.completeAttempt(a, result)
	})
}

// completeAttempt reports the end of an attempt to the engine, if its process still runs.
func (h *fleetHost) completeAttempt(a *attemptExecution, result Result) {
	if !h.isRunning() {
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
	execution := &attemptExecution{host: h, request: r, index: n, serverID: state.server.ID}
	s.schedule(0, func() { h.completeAttempt(execution, Cancelled) })
}

func (h *fleetHost) RejectRequest(id string, retryAfter time.Duration) {
	h.sim.handleAnswer(h.sim.requests[id], false, retryAfter)
}

func (h *fleetHost) FailRequest(id string) { h.sim.handleAnswer(h.sim.requests[id], false, 0) }

func (h *fleetHost) WatchEndpoints(bool) {}

func (h *fleetHost) Log(LogEvent) {}

func (h *fleetHost) SetTimer(token uint64, d time.Duration) {
	h.scheduleIfRunning(d, func(e *Engine) { e.TimerFired(h.sim.now, token, h) })
}

func (h *fleetHost) CheckHealth(id string) {
	s, server := h.sim, h.sim.serversByID[id]
	s.total.healthChecks++
	result, took := h.checkConnection(server, s.pool(h.engine, id))
	var report *LoadReport
	if result == OK {
		report = server.loadReport(s)
	}
	h.scheduleIfRunning(took, func(e *Engine) { e.HealthCheckCompleted(s.now, id, result, report, h) })
}

// checkConnection returns the result and the duration of a health check, which uses an idle connection or opens one.
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
	server.addWork(s, fleetDialWork)
	return OK, fleetCheckTime
}

func (h *fleetHost) SendGossip(peer int, message []byte) {
	s := h.sim
	s.total.gossipMessages++
	if s.dropsGossip || s.rng.Float64() < s.gossipLoss {
		return
	}
	message = bytes.Clone(message)
	receive := func() { s.engines[peer].GossipReceived(s.now, h.engine, message, s.hosts[peer]) }
	took := time.Duration(1+s.rng.IntN(30)) * ms
	if s.reordersGossip && s.rng.Float64() < fleetReorderFraction {
		s.schedule(took+time.Duration(s.rng.IntN(300))*ms, receive)
	}
	if s.reordersGossip && s.rng.Float64() < fleetReorderFraction {
		took += time.Duration(s.rng.IntN(300)) * ms
	}
	s.schedule(took, receive)
}
