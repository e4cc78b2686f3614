package edgeproxy

import (
	"context"
	"time"

	"mulleinmux/policy"
)

// engineActions carries out what the gateway asks for. All are called under the mutex.
type engineActions Node

// SendAttempt starts an attempt, bounded by its timeout and by the client's deadline.
func (a *engineActions) SendAttempt(id, server string, timeout time.Duration) {
	n := (*Node)(a)
	pending := n.requests[id]
	if pending == nil || pending.isAnswered {
		n.logLater("module: send for %s, which is not open", id)
		return
	}
	until := pending.deadline
	if t := time.Now().Add(timeout); timeout != 0 && t.Before(until) {
		until = t
	}
	ctx, cancel := context.WithDeadline(n.ctx, until)
	at := &attempt{number: len(pending.attempts), server: server, sentAt: n.now(), cancel: cancel, permit: newSendPermit()}
	pending.attempts = append(pending.attempts, at)
	pending.inFlight++
	n.work.Add(1)
	go n.runAttempt(ctx, pending, at)
}

func (a *engineActions) RejectRequest(id string, retryAfter time.Duration) {
	if pending := a.requests[id]; pending != nil {
		(*Node)(a).finishRequest(pending, finalAnswer{kind: answerRejected, retryAfter: retryAfter})
	}
}

func (a *engineActions) FailRequest(id string) {
	if pending := a.requests[id]; pending != nil {
		(*Node)(a).finishRequest(pending, finalAnswer{kind: answerFailed})
	}
}

func (a *engineActions) CancelAttempt(id string, attempt int) {
	if pending := a.requests[id]; pending != nil && attempt >= 0 && attempt < len(pending.attempts) {
		pending.attempts[attempt].cancel()
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
