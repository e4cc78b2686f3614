package gateway

import (
	"log/slog"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// actions implements [policy.Actions] for the engine. The engine calls its methods while engineHost.mu is held.
type actions Instance

// SendAttempt schedules the next attempt of a request. The request's goroutine begins the attempt once no other attempt
// of the request is in flight.
func (a *actions) SendAttempt(id, server string, timeout time.Duration) {
	in := (*Instance)(a)
	r := in.requests.byID[id]
	if r == nil || r.isAnswered || r.hasNext {
		in.host.afterEvent(func() {
			in.logger.Warn("attempt for unknown request", slog.String(logging.KeyRequest, id))
		})
		return
	}
	r.nextAttempt, r.hasNext = attempt{server: server, deadline: attemptDeadline(time.Now(), timeout, r.deadline)}, true
	r.wakeUp()
}

// RejectRequest answers a request with a rejection. The client may retry the request after retryAfter.
func (a *actions) RejectRequest(id string, retryAfter time.Duration) {
	if r := a.requests.byID[id]; r != nil {
		(*Instance)(a).answer(r, rejected, retryAfter)
	}
}

// FailRequest answers a request with a failure.
func (a *actions) FailRequest(id string) {
	if r := a.requests.byID[id]; r != nil {
		(*Instance)(a).answer(r, failed, 0)
	}
}

// CancelAttempt aborts the given attempt if it is still in flight.
func (a *actions) CancelAttempt(id string, attempt int) {
	if r := a.requests.byID[id]; r != nil && r.current != nil && attempt == r.attempts-1 {
		a.host.afterEvent(r.current.abort)
	}
}

// SetTimer schedules the engine's timer with the given token to fire after the given time.
func (a *actions) SetTimer(token uint64, after time.Duration) { a.host.setTimer(token, after) }

// CheckHealth starts a health check in a goroutine, which ends by healthCheckTimeout. Closing the instance waits for
// it.
func (a *actions) CheckHealth(server string) {
	in := (*Instance)(a)
	in.healthChecks.Add(1)
	go in.checkHealth(server)
}

// SendGossip sends a message to a peer after the current event. The message is copied because the engine reuses its
// buffer.
func (a *actions) SendGossip(peer int, message []byte) {
	in := (*Instance)(a)
	message = append([]byte(nil), message...)
	if in.peers != nil {
		in.host.afterEvent(func() { in.peers.Send(peer, message, in.logger) })
	}
}

// WatchEndpoints does nothing: the instance always watches the endpoint lists.
func (a *actions) WatchEndpoints(bool) {}

// Log logs an event that the engine reports, after the current event.
func (a *actions) Log(event policy.LogEvent) {
	in := (*Instance)(a)
	in.host.afterEvent(func() { logging.PolicyEvent(in.logger, event) })
}
