package edgeproxy

import (
	"context"
	"sync/atomic"
	"time"

	"mulleinmux/policy"
)

// pendingRequest is a client's request until it is answered and its attempts have ended. All but its channel and atomic
// fields change under the node's mutex.
type pendingRequest struct {
	id            string
	request       serverRequest
	deadline      time.Time
	answer        chan finalAnswer // takes the one final answer
	isAnswered    bool
	attempts      []*attempt
	inFlight      int         // attempts that have not ended
	reservedBytes int64       // of the memory budget, by its body
	clientLeft    atomic.Bool // its client has disconnected
}

// attempt is one attempt of a request.
type attempt struct {
	number int
	server string
	sentAt time.Duration // by the node's clock
	cancel context.CancelFunc
	permit *sendPermit
}

// finalAnswer is the final answer to a request.
type finalAnswer struct {
	kind          answerKind
	retryAfter    time.Duration  // of a rejection; 0: none
	response      serverResponse // of a served request
	pendingWrites []*sendPermit  // of attempts that were just being written: the client is answered once they are
}

// answerKind says how a request ended.
type answerKind int

const (
	answerServed answerKind = iota
	answerRejected
	answerFailed
)

// beginRequest records a client's request and asks the engine. It returns nil if its ID is in use. The final answer
// is sent on the pending request's channel, also if the engine gives none in time.
func (n *Node) beginRequest(
	engineRequest policy.Request, forwarded serverRequest, deadline time.Time, reservedBytes int64,
) *pendingRequest {
	pending := &pendingRequest{
		id:            engineRequest.ID,
		request:       forwarded,
		deadline:      deadline,
		answer:        make(chan finalAnswer, 1),
		reservedBytes: reservedBytes,
	}
	pending.request.clientLeft = &pending.clientLeft
	isInUse := false
	isHandled := n.handleEvent(func(now time.Duration, out policy.Actions) {
		if isInUse = n.requests[engineRequest.ID] != nil; isInUse {
			return
		}
		n.requests[engineRequest.ID] = pending
		n.engine.RequestReceived(now, engineRequest, out)
	})
	if isInUse {
		n.memory.release(reservedBytes)
		return nil
	}
	if !isHandled {
		n.deadlineExceeded(pending)
	}
	return pending
}

// clientDisconnected ends a request whose client has disconnected.
func (n *Node) clientDisconnected(pending *pendingRequest) {
	pending.clientLeft.Store(true)
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		n.finishRequest(pending, finalAnswer{kind: answerFailed})
		n.engine.ClientDisconnected(now, pending.id, out)
	})
}

// deadlineExceeded ends a request that can't wait any longer, or that the engine failed to answer: it is rejected
// if a retry does no harm, as at least for one that was never forwarded.
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

// finishRequest gives a request its final answer unless it has one. Called under the mutex.
func (n *Node) finishRequest(pending *pendingRequest, answer finalAnswer) {
	if pending.isAnswered {
		return
	}
	pending.isAnswered = true
	for _, attempt := range pending.attempts {
		// Nothing is sent after the final answer: neither a hedged request, nor an attempt for a client that has
		// disconnected, whose connection is established late.
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

// removeIfEnded removes a request once it is answered and its attempts have ended. Called under the mutex.
func (n *Node) removeIfEnded(pending *pendingRequest) {
	if pending.isAnswered && pending.inFlight == 0 && n.requests[pending.id] == pending {
		delete(n.requests, pending.id)
		n.memory.release(pending.reservedBytes)
		pending.reservedBytes = 0
	}
}

// runAttempt carries out one attempt and tells the engine its result.
func (n *Node) runAttempt(ctx context.Context, pending *pendingRequest, a *attempt) {
	defer n.work.Done()
	request := pending.request
	request.permit = a.permit
	response, result := n.pool.exchange(ctx, a.server, &request)
	latency := n.now() - a.sentAt
	if rest := pending.request.rest; rest != nil {
		if !rest.forwardedAt.IsZero() {
			latency = time.Since(rest.forwardedAt)
		} else if rest.isBroken.Load() {
			n.clientDisconnected(pending) // its client sends no more of it
		}
	}
	if response.stream != nil {
		result = n.streamAnswer(pending, a, response)
	}
	a.cancel()
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if result == policy.OK && response.stream == nil {
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: response})
		}
		pending.inFlight--
		n.engine.AttemptCompleted(now, policy.AttemptResult{
			ID:              pending.id,
			Attempt:         a.number,
			RequestAnswered: pending.isAnswered,
			Result:          result,
			Server:          a.server,
			Latency:         latency,
			LoadReport:      response.loadReport,
			ConnectedAt:     n.connectedAt(response),
		}, out)
		n.removeIfEnded(pending)
	})
}

// streamAnswer answers the client with a streamed response, and waits for its end. If the request has its final
// answer already, the response is cut off.
func (n *Node) streamAnswer(pending *pendingRequest, a *attempt, response serverResponse) policy.Result {
	isTaken := false
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if isTaken = !pending.isAnswered; isTaken {
			n.engine.ResponseStarted(now, pending.id, a.number, out)
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: response})
		}
	})
	if !isTaken {
		response.stream.finish(policy.Cancelled)
	}
	return <-response.stream.result
}

// connectedAt is the clock's reading when the connection of a response was established, 0 if there was no response.
func (n *Node) connectedAt(response serverResponse) time.Duration {
	if response.connectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.start.UnixNano()) + response.connectedAt.Sub(n.start)
}
