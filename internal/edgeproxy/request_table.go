package edgeproxy

import (
	"context"
	"sync/atomic"
	"time"

	"mulleinmux/policy"
)

// pendingRequest is a client's request until it has been answered and its attempts have ended. Its fields, except for
// the channel and the atomic one, change under the node's mutex.
type pendingRequest struct {
	id                 string
	request            serverRequest
	deadline           time.Time        // when the host answers the request itself
	answerBy           time.Time        // when the final answer is due
	answer             chan finalAnswer // receives the one final answer
	isAnswered         bool
	attempts           []*attempt
	inFlight           int // number of attempts that have not ended
	bodyMemory         *reservation
	disconnectRecorded atomic.Bool // the client has disconnected
}

// attempt is one attempt of a request.
type attempt struct {
	number     int
	server     string
	sentAt     time.Duration // on the node's clock
	responseBy time.Time
	cancel     context.CancelFunc
	permit     *sendPermit
	latency    time.Duration // until the response was complete, or forwarding began
}

// finalAnswer is the final answer to a request.
type finalAnswer struct {
	kind          answerKind
	retryAfter    time.Duration  // of a rejection; 0 if there is none
	response      serverResponse // of a served request
	pendingWrites []*sendPermit  // of attempts that are still being written; the client is answered after them
}

// answerKind is the outcome of a request.
type answerKind int

const (
	answerServed answerKind = iota
	answerRejected
	answerFailed
)

// beginRequest adds a client's request to the table and passes it to the engine. It returns nil if the ID is in use, or
// was that of a request that has been forwarded.
// The final answer is sent on the pending request's channel; the node supplies it if the engine gives none in time.
func (n *Node) beginRequest(
	engineRequest policy.Request, forwarded serverRequest, deadline time.Time, bodyMemory *reservation,
) *pendingRequest {
	pending := &pendingRequest{
		id:         engineRequest.ID,
		request:    forwarded,
		deadline:   deadline,
		answerBy:   deadline.Add(-n.cfg.Settings.ResponseSlack - 2*n.cfg.Settings.MinEventInterval),
		answer:     make(chan finalAnswer, 1),
		bodyMemory: bodyMemory,
	}
	pending.request.disconnectRecorded = &pending.disconnectRecorded
	isInUse := false
	isHandled := n.handleEvent(func(now time.Duration, out policy.Actions) {
		if isInUse = n.requests[engineRequest.ID] != nil || n.ids.contains(engineRequest.ID); isInUse {
			return
		}
		n.requests[engineRequest.ID] = pending
		n.engine.RequestReceived(now, engineRequest, out)
	})
	if isInUse {
		bodyMemory.release()
		return nil
	}
	if !isHandled {
		n.deadlineExceeded(pending)
	}
	return pending
}

// clientDisconnected ends a request whose client has disconnected.
func (n *Node) clientDisconnected(pending *pendingRequest) {
	pending.disconnectRecorded.Store(true)
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		n.finishRequest(pending, finalAnswer{kind: answerFailed})
		n.engine.ClientDisconnected(now, pending.id, out)
	})
}

// deadlineExceeded ends a request whose time has expired, or for which the engine failed to give an answer. The request
// is rejected if a retry is harmless, which is certain for a request that was never forwarded.
func (n *Node) deadlineExceeded(pending *pendingRequest) {
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if !pending.isAnswered {
			n.engine.DeadlineExceeded(now, pending.id, out)
		}
	})
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if !pending.isAnswered && len(pending.attempts) == 0 {
			n.finishRequest(pending, finalAnswer{kind: answerRejected})
		}
		n.finishRequest(pending, finalAnswer{kind: answerFailed})
		n.engine.ClientDisconnected(now, pending.id, out)
	})
}

// finishRequest sets the final answer of a request that has none yet. Called under the mutex.
func (n *Node) finishRequest(pending *pendingRequest, answer finalAnswer) {
	if pending.isAnswered {
		return
	}
	pending.isAnswered = true
	for _, attempt := range pending.attempts {
		// Nothing is sent after the final answer: no hedged request, and no attempt whose connection is established
		// after its client has disconnected.
		if attempt.permit.revoke() {
			attempt.cancel()
			continue
		}
		select {
		case <-attempt.permit.done:
		default:
			attempt.cancel()
			answer.pendingWrites = append(answer.pendingWrites, attempt.permit)
		}
	}
	pending.answer <- answer
	n.removeIfEnded(pending)
}

// removeIfEnded removes a request from the table once it is answered and its attempts have ended. Called under the
// mutex.
func (n *Node) removeIfEnded(pending *pendingRequest) {
	if pending.isAnswered && pending.inFlight == 0 && n.requests[pending.id] == pending {
		delete(n.requests, pending.id)
		pending.bodyMemory.release()
	}
}

// runAttempt runs one attempt and passes its result to the engine.
func (n *Node) runAttempt(ctx context.Context, pending *pendingRequest, a *attempt) {
	defer n.work.Done()
	if a.number == 0 {
		n.ids.add(pending.id)
	}
	request := pending.request
	request.permit, request.responseBy, request.answerBy = a.permit, a.responseBy, pending.answerBy
	request.onStream = func(response serverResponse) bool { return n.streamAnswer(pending, a, response) }
	response, result := n.pool.exchange(ctx, a.server, &request)
	if response.stream == nil {
		a.latency = n.attemptLatency(pending, a)
	}
	if rest := pending.request.rest; rest != nil && rest.forwardedAt.IsZero() && rest.hasReadFailed.Load() {
		n.clientDisconnected(pending) // its client stopped sending the body
	}
	a.cancel()
	isForwarded := false
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if result == policy.OK && response.stream == nil && !pending.isAnswered {
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: response})
			isForwarded = true
		}
		pending.inFlight--
		n.engine.AttemptCompleted(now, policy.AttemptResult{
			ID:              pending.id,
			Attempt:         a.number,
			RequestAnswered: pending.isAnswered,
			Result:          result,
			Server:          a.server,
			Latency:         a.latency,
			LoadReport:      response.loadReport,
			ConnectedAt:     n.connectedAt(response),
		}, out)
		n.removeIfEnded(pending)
	})
	if !isForwarded {
		response.release()
	}
}

// attemptLatency returns the time that an attempt has taken by now, from the last byte of a streamed request body.
func (n *Node) attemptLatency(pending *pendingRequest, a *attempt) time.Duration {
	if rest := pending.request.rest; rest != nil && !rest.forwardedAt.IsZero() {
		return time.Since(rest.forwardedAt)
	}
	return n.now() - a.sentAt
}

// streamAnswer makes a response that is still being received the final answer. It returns false if the request already
// has its final answer.
func (n *Node) streamAnswer(pending *pendingRequest, a *attempt, response serverResponse) (isFinal bool) {
	a.latency = n.attemptLatency(pending, a)
	response.stream.startStreaming(a.cancel)
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if isFinal = !pending.isAnswered; isFinal {
			n.engine.ResponseStarted(now, pending.id, a.number, out)
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: response})
		}
	})
	if isFinal {
		n.events.count(response.streamCause)
	}
	return isFinal
}

// connectedAt returns when the connection of a response was established, on the node's clock, or 0 if there was no
// response.
func (n *Node) connectedAt(response serverResponse) time.Duration {
	if response.connectedAt.IsZero() {
		return 0
	}
	return n.startAt + response.connectedAt.Sub(n.start)
}
