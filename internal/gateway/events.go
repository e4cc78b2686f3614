package gateway

import (
	"log/slog"
	"runtime/debug"
	"time"

	"mulleinmux/internal/loadreport"
	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// now reads the clock: Unix time, so that start times in lists convert, which never goes back.
func (in *Instance) now() time.Duration {
	return time.Duration(in.startedAt.UnixNano()) + time.Since(in.startedAt)
}

// handleEvent runs one event of the engine, then what its actions left to do.
func (in *Instance) handleEvent(f func(now time.Duration, out policy.Actions)) {
	in.mu.Lock()
	in.runEvent(f)
	after := in.deferred
	in.deferred = nil
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
}

// runEvent runs an event. A panic of the engine is logged, with the stack that names its
// cause, and costs the one event.
func (in *Instance) runEvent(f func(now time.Duration, out policy.Actions)) {
	if in.isClosed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			stack := debug.Stack()
			in.deferred = append(in.deferred, func() { logging.Panic(in.logger, p, stack) })
		}
	}()
	f(in.now(), (*actions)(in))
}

// handleRequestEvent runs an event of one request and takes what comes next for it.
func (in *Instance) handleRequestEvent(r *pendingRequest, f func(now time.Duration, out policy.Actions)) (
	next attempt, pending, done bool,
) {
	in.mu.Lock()
	in.runEvent(f)
	after := in.deferred
	in.deferred = nil
	if in.isClosed {
		in.answer(r, failed, 0)
	}
	next, pending, done = r.next, r.hasNext, r.isAnswered
	if r.hasNext = false; pending && !done {
		r.current = &attemptControl{}
		r.attempts++
	}
	r.isWaiting = !pending && !done
	in.mu.Unlock()
	for _, do := range after {
		do()
	}
	return next, pending, done
}

// actions carries out what the engine asks for. All are called under the mutex.
type actions Instance

// SendAttempt leaves word of the request's next attempt, bounded by its timeout and by the
// client's deadline. The request's goroutine begins it once no other is out.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	in := (*Instance)(a)
	r := in.requests[id]
	if r == nil || r.isAnswered || r.hasNext {
		in.deferred = append(in.deferred, func() {
			in.logger.Warn("attempt for unknown request", slog.String(logging.KeyRequest, id))
		})
		return
	}
	until := r.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	r.next, r.hasNext = attempt{server, until}, true
	in.wakeRequest(r)
}

func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if r := a.requests[id]; r != nil {
		(*Instance)(a).answer(r, rejected, retryAfter)
	}
}

func (a *actions) FailRequest(id string) {
	if r := a.requests[id]; r != nil {
		(*Instance)(a).answer(r, failed, 0)
	}
}

func (a *actions) CancelAttempt(id string, attempt int) {
	if r := a.requests[id]; r != nil && r.current != nil && attempt == r.attempts-1 {
		a.deferred = append(a.deferred, r.current.abort)
	}
}

func (a *actions) SetTimer(token uint64, after time.Duration) {
	in := (*Instance)(a)
	now := in.now()
	in.timers.push(timer{now + after, token})
	in.scheduleTimer(now)
}

func (a *actions) CheckHealth(server string) {
	in := (*Instance)(a)
	in.healthChecks.Add(1)
	go in.checkHealth(server)
}

func (a *actions) SendGossip(peer int, message []byte) {
	in := (*Instance)(a)
	message = append([]byte(nil), message...)
	if in.peers != nil {
		in.deferred = append(in.deferred, func() { in.peers.Send(peer, message, in.logger) })
	}
}

// WatchEndpoints has nothing to do: the lists are always watched.
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
