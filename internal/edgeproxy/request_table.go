package edgeproxy

import (
	"context"
	"sync/atomic"
	"time"

	"mulleinmux/policy"
)

// pendingRequest is a request of a client until it is answered and its attempts have ended.
type pendingRequest struct {
	id            string
	request       serverRequest
	deadline      time.Time
	answer        chan finalAnswer // takes the one final answer
	isAnswered    bool
	attempts      []*attempt
	inFlight      int         // attempts that have not ended
	reservedBytes int64       // of the budget, by its body
	clientLeft    atomic.Bool // its client has
}

// attempt is one attempt of a flight.
type attempt struct {
	number int
	server string
	sentAt time.Duration
	cancel context.CancelFunc
	permit *sendPermit
}

// finalAnswer is a final answer.
type finalAnswer struct {
	kind          answerKind
	retryAfter    time.Duration  // of a refusal
	response      serverResponse // of a served one
	pendingWrites []*sendPermit  // attempts that were just being written: it is given once they are
}

type answerKind int

const (
	answerServed answerKind = iota
	answerRejected
	answerFailed
)

// beginRequest takes a request of a client. It returns nil if its id is in use. The final
// answer comes on the flight's channel, also where the gateway gives none in time.
func (n *Node) beginRequest(q policy.Request, m serverRequest, deadline time.Time, held int64) *pendingRequest {
	pending := &pendingRequest{id: q.ID, request: m, deadline: deadline, reservedBytes: held, answer: make(chan finalAnswer, 1)}
	pending.request.clientLeft = &pending.clientLeft
	taken := false
	ok := n.handleEvent(func(now time.Duration, out policy.Actions) {
		if taken = n.requests[q.ID] != nil; taken {
			return
		}
		n.requests[q.ID] = pending
		n.engine.RequestReceived(now, q, out)
	})
	if taken {
		n.memory.release(held)
		return nil
	}
	if !ok {
		n.deadlineExceeded(pending)
	}
	return pending
}

// clientDisconnected ends a flight whose client has gone or for which no answer was given in time.
func (n *Node) clientDisconnected(pending *pendingRequest) {
	pending.clientLeft.Store(true)
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		n.finishRequest(pending, finalAnswer{kind: answerFailed})
		n.engine.ClientDisconnected(now, pending.id, out)
	})
}

// deadlineExceeded ends a flight that can be waited for no longer, or that the module failed to answer: refused where trying again does
// no harm, as at least for one that was never sent on.
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

// finishRequest gives a flight its final answer unless it has one. Called under the mutex.
func (n *Node) finishRequest(pending *pendingRequest, a finalAnswer) {
	if pending.isAnswered {
		return
	}
	pending.isAnswered = true
	for _, at := range pending.attempts {
		// Nothing goes on after the final answer: neither a second copy, nor an attempt for a client that has left, whose
		// connection comes up late.
		if at.permit.revoke() {
			at.cancel()
			continue
		}
		select {
		case <-at.permit.done:
		default:
			at.cancel()
			a.pendingWrites = append(a.pendingWrites, at.permit)
		}
	}
	pending.answer <- a
	n.removeIfEnded(pending)
}

// removeIfEnded drops a flight once it is over in every respect. Called under the mutex.
func (n *Node) removeIfEnded(pending *pendingRequest) {
	if pending.isAnswered && pending.inFlight == 0 && n.requests[pending.id] == pending {
		delete(n.requests, pending.id)
		n.memory.release(pending.reservedBytes)
		pending.reservedBytes = 0
	}
}

// runAttempt carries out one attempt and brings its outcome to the gateway.
func (n *Node) runAttempt(ctx context.Context, pending *pendingRequest, a *attempt) {
	defer n.work.Done()
	msg := pending.request
	msg.permit = a.permit
	rep, result := n.pool.exchange(ctx, a.server, &msg)
	took := n.now() - a.sentAt
	if more := pending.request.rest; more != nil {
		if !more.forwardedAt.IsZero() {
			took = time.Since(more.forwardedAt)
		} else if more.isBroken.Load() {
			n.clientDisconnected(pending) // its client sends no more of it
		}
	}
	if rep.stream != nil {
		result = n.streamAnswer(pending, a, rep)
	}
	a.cancel()
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if result == policy.OK && rep.stream == nil {
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: rep})
		}
		pending.inFlight--
		n.engine.AttemptCompleted(now, policy.AttemptResult{ID: pending.id, Attempt: a.number, RequestAnswered: pending.isAnswered, Result: result,
			Server: a.server, Latency: took, LoadReport: rep.loadReport, ConnectedAt: n.connectedAt(rep)}, out)
		n.removeIfEnded(pending)
	})
}

// streamAnswer gives the client an answer that goes on as it comes, and waits for its end. One for
// which it comes too late is cut off.
func (n *Node) streamAnswer(pending *pendingRequest, a *attempt, rep serverResponse) policy.Result {
	taken := false
	n.handleEvent(func(now time.Duration, out policy.Actions) {
		if taken = !pending.isAnswered; taken {
			n.engine.ResponseStarted(now, pending.id, a.number, out)
			n.finishRequest(pending, finalAnswer{kind: answerServed, response: rep})
		}
	})
	if !taken {
		rep.stream.finish(policy.Cancelled)
	}
	return <-rep.stream.result
}

// connectedAt is the clock's reading when the connection of an answer was made, 0 where there was none.
func (n *Node) connectedAt(rep serverResponse) time.Duration {
	if rep.connectedAt.IsZero() {
		return 0
	}
	return time.Duration(n.start.UnixNano()) + rep.connectedAt.Sub(n.start)
}
