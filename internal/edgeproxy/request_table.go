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
	deadline           time.Time
	answer             chan finalAnswer // receives the one final answer
	isAnswered         bool
	attempts           []*attempt
	inFlight           int         // number of attempts that have not ended
	reservedBytes      int64       // taken from the memory budget by the body
	disconnectRecorded atomic.Bool // the client has disconnected
}

// attempt is one attempt of a request.
type attempt struct {
	number int
	server string
	sentAt time.Duration // on the node's clock
	cancel context.CancelFunc
	permit *sendPermit
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

// beginRequest adds a client's request to the table and passes it to the engine. It returns nil if the ID is in use.
// The final answer is sent on the pending request's channel; the node supplies it if the engine gives none in time.
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
	pending.request.disconnectRecorded = &pending.disconnectRecorded
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
		n.memory.release(pending.reservedBytes)
		pending.reservedBytes = 0
	}
}

// runAttempt runs one attempt and passes its result to the engine.
func (n *Node) runAttempt(ctx context.Context, pending *pendingRequest, a *attempt) {
	defer n.work.Done()
	request := pending.request
	request.permit = a.permit
	response, result := n.pool.exchange(ctx, a.server, &request)
	latency := n.now() - a.sentAt
	if rest := pending.request.rest; rest != nil {
		if !rest.forwardedAt.IsZero() {
			latency = time.Since(rest.forwardedAt)
		} else if rest.hasReadFailed.Load() {
			n.clientDisconnected(pending) // its client stopped sending the body
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

// streamAnswer makes a streamed response the final answer and waits until it has been forwarded. If the request already
// has its final answer, the response is cancelled.
func (n *Node) streamAnswer(pending *pendingRequest, a *attempt, response serverResponse) policy.Result {
	isFinal := false
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if isFinal = !pending.isAnswered; isFinal {
			n.engine.ResponseStarted(now, pending.id, a.number, out)
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: response})
		}
	})
	if !isFinal {
		response.stream.finish(policy.Cancelled)
	}
	return <-response.stream.result
}

// connectedAt returns when the connection of a response was established, on the node's clock, or 0 if there was no
// response.
func (n *Node) connectedAt(response serverResponse) time.Duration {
	if response.connectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.start.UnixNano()) + response.connectedAt.Sub(n.start)
}
