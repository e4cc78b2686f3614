package edgeproxy

import (
	"context"
	"log/slog"
	"time"

	"mulleinmux/internal/logging"
	"mulleinmux/policy"
)

// engineActions implements the actions of the engine. All methods are called under the node's mutex.
type engineActions Node

// SendAttempt starts an attempt. Its server has to begin the response before the client's deadline, or the end of the
// timeout if that is earlier; a timeout of 0 means none. Its goroutine ends with the attempt; close waits for it.
func (a *engineActions) SendAttempt(id, server string, timeout time.Duration) {
	n := (*Node)(a)
	pending := n.requests[id]
	if pending == nil || pending.isAnswered {
		n.afterEvent = append(n.afterEvent, func() {
			n.logger.Warn("attempt for unknown request", slog.String(logging.KeyRequest, id))
		})
		return
	}
	responseBy := pending.deadline
	if end := time.Now().Add(timeout); timeout != 0 && end.Before(responseBy) {
		responseBy = end
	}
	ctx, cancel := context.WithCancel(n.ctx)
	started := &attempt{
		number:     len(pending.attempts),
		server:     server,
		sentAt:     n.now(),
		responseBy: responseBy,
		cancel:     cancel,
		permit:     newSendPermit(),
	}
	pending.attempts = append(pending.attempts, started)
	pending.inFlight++
	n.work.Add(1)
	go n.runAttempt(ctx, pending, started)
}

// RejectRequest ends a request with a rejection. The client may retry after retryAfter.
func (a *engineActions) RejectRequest(id string, retryAfter time.Duration) {
	if pending := a.requests[id]; pending != nil {
		(*Node)(a).finishRequest(pending, finalAnswer{kind: answerRejected, retryAfter: retryAfter})
	}
}

// FailRequest ends a request with a failure.
func (a *engineActions) FailRequest(id string) {
	if pending := a.requests[id]; pending != nil {
		(*Node)(a).finishRequest(pending, finalAnswer{kind: answerFailed})
	}
}

// CancelAttempt cancels an attempt.
func (a *engineActions) CancelAttempt(id string, attempt int) {
	if pending := a.requests[id]; pending != nil && attempt >= 0 && attempt < len(pending.attempts) {
		pending.attempts[attempt].cancel()
	}
}

// SetTimer delivers TimerFired with the token to the engine after the given time.
func (a *engineActions) SetTimer(token uint64, after time.Duration) {
	n := (*Node)(a)
	time.AfterFunc(after, func() {
		n.handleEvent(func(now time.Duration, out policy.Actions) { n.engine.TimerFired(now, token, out) })
	})
}

// CheckHealth starts a health check. Its goroutine ends at its timeout; close waits for it.
func (a *engineActions) CheckHealth(server string) {
	n := (*Node)(a)
	n.work.Add(1)
	go n.checkHealth(server)
}

// SendGossip sends a message to a peer once the event has been handled. The message is copied because the engine reuses
// its buffer.
func (a *engineActions) SendGossip(peer int, message []byte) {
	n := (*Node)(a)
	message = append([]byte(nil), message...)
	if socket := n.gossipSocket; socket != nil {
		n.afterEvent = append(n.afterEvent, func() { socket.Send(peer, message, n.logger) })
	}
}

// WatchEndpoints does nothing, because the endpoint list is always watched.
func (a *engineActions) WatchEndpoints(bool) {}

// Log logs an event of the engine once the event that is being handled is over.
func (a *engineActions) Log(event policy.LogEvent) {
	n := (*Node)(a)
	n.afterEvent = append(n.afterEvent, func() { logging.PolicyEvent(n.logger, event) })
}
