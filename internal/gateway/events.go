package gateway

import (
	"log/slog"
	"runtime/debug"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// engineEvent brings one event to the engine, which asks for what follows through out. It runs under the mutex.
type engineEvent func(now time.Duration, out policy.Actions)

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (in *Instance) now() time.Duration {
	return time.Duration(in.startedAt.UnixNano()) + time.Since(in.startedAt)
}

// handleEvent runs one event of the engine, then what its actions left to do.
func (in *Instance) handleEvent(event engineEvent) {
	in.mu.Lock()
	in.runEvent(event)
	deferred := in.takeDeferred()
	in.mu.Unlock()
	runAll(deferred)
}

// takeDeferred returns what the events so far left to do, for when the mutex is released. Called under the mutex.
func (in *Instance) takeDeferred() []func() {
	deferred := in.deferred
	in.deferred = nil
	return deferred
}

func runAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// runEvent runs an event unless the instance is closed. A panic of the engine is logged, with the stack that names
// its cause, and costs the one event. Called under the mutex.
func (in *Instance) runEvent(event engineEvent) {
	if in.isClosed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			stack := debug.Stack()
			in.deferred = append(in.deferred, func() { logging.Panic(in.logger, p, stack) })
		}
	}()
	event(in.now(), (*actions)(in))
}

// handleRequestEvent runs an event of one request, then what its actions left to do, and returns what the request's
// goroutine does next.
func (in *Instance) handleRequestEvent(r *pendingRequest, event engineEvent) requestStep {
	in.mu.Lock()
	in.runEvent(event)
	deferred := in.takeDeferred()
	if in.isClosed {
		in.answer(r, failed, 0)
	}
	step := r.takeNextStep()
	in.mu.Unlock()
	runAll(deferred)
	return step
}

// actions carries out what the engine asks for. All are called under the mutex.
type actions Instance

// SendAttempt notes the request's next attempt, bounded by its timeout and by the client's deadline. The request's
// goroutine begins it once no other is in flight.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	in := (*Instance)(a)
	r := in.requests[id]
	if r == nil || r.isAnswered || r.hasNext {
		in.deferred = append(in.deferred, func() {
			in.logger.Warn("attempt for unknown request", slog.String(logging.KeyRequest, id))
		})
		return
	}
	deadline := r.deadline
	if end := time.Now().Add(timeout); timeout != 0 && end.Before(deadline) {
		deadline = end
	}
	r.next, r.hasNext = attempt{server: server, deadline: deadline}, true
	in.wakeRequest(r)
}

// RejectRequest ends a request with a rejection, which a client may retry after a while.
func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if r := a.requests[id]; r != nil {
		(*Instance)(a).answer(r, rejected, retryAfter)
	}
}

// FailRequest ends a request with a failure.
func (a *actions) FailRequest(id string) {
	if r := a.requests[id]; r != nil {
		(*Instance)(a).answer(r, failed, 0)
	}
}

// CancelAttempt aborts an attempt if it is the one in flight.
func (a *actions) CancelAttempt(id string, attempt int) {
	if r := a.requests[id]; r != nil && r.current != nil && attempt == r.attempts-1 {
		a.deferred = append(a.deferred, r.current.abort)
	}
}

// SetTimer fires the timer with a token after a time.
func (a *actions) SetTimer(token uint64, after time.Duration) {
	in := (*Instance)(a)
	now := in.now()
	in.timers.push(timer{now + after, token})
	in.scheduleTimer(now)
}

// CheckHealth starts a health check. Its goroutine ends at its timeout; close waits for it.
func (a *actions) CheckHealth(server string) {
	in := (*Instance)(a)
	in.healthChecks.Add(1)
	go in.checkHealth(server)
}

// SendGossip sends a message to a peer once the event is over. The message is copied: the engine uses its buffer
// again.
func (a *actions) SendGossip(peer int, message []byte) {
	in := (*Instance)(a)
	message = append([]byte(nil), message...)
	if in.peers != nil {
		in.deferred = append(in.deferred, func() { in.peers.Send(peer, message, in.logger) })
	}
}

// WatchEndpoints has nothing to do: the endpoint lists are always watched.
func (a *actions) WatchEndpoints(bool) {}

// Log logs what the engine reports, once the event is over.
func (a *actions) Log(event policy.LogEvent) {
	in := (*Instance)(a)
	in.deferred = append(in.deferred, func() { logging.PolicyEvent(in.logger, event) })
}

// gossipReceived hands a message of a peer on.
func (in *Instance) gossipReceived(from int, message []byte) {
	in.handleEvent(func(now time.Duration, out policy.Actions) { in.engine.GossipReceived(now, from, message, out) })
}

// checkHealth asks a server for its load.
func (in *Instance) checkHealth(id string) {
	defer in.healthChecks.Done()
	var rep response
	sent := in.now()
	deadline := time.Now().Add(healthCheckTimeout)
	result := in.servers.exchange(in.ctx, &attemptControl{}, id, deadline, false, &rep, func(b []byte) []byte {
		return append(b, "GET "+healthCheckPath+" HTTP/1.1\r\nHost: hall\r\n\r\n"...)
	})
	report := rep.report()
	if report == nil && result == policy.OK {
		report = loadreport.Parse(string(rep.body))
	}
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		if !isRemoteServer(id) || result != policy.OK {
			in.recordSiteHealth(now, id, result, sent)
		}
		in.engine.HealthCheckCompleted(now, id, result, report, out)
	})
}
