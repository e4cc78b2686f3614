package gateway

import (
	"context"
	"sync"
	"time"

	"mulleinmux/policy"
)

const (
	// revokeTimeout is how long a remote instance may take to answer a request that was given up for its client, before
	// the link's connection is closed instead.
	revokeTimeout = 40 * time.Millisecond

	// leaseAnswerTimeout bounds an answer to a question about a client. The remote instance asks again after less.
	leaseAnswerTimeout = 100 * time.Millisecond
)

// relayedAttempt is an attempt that is relayed to another site's instance, while it is in progress. It reports to that
// instance whether the client is connected: in answer to its questions, and at once if the client leaves.
type relayedAttempt struct {
	instance  *Instance
	control   *attemptControl // of the attempt
	source    requestSource   // the client
	recorder  *traceRecorder
	server    string // the remote instance
	number    string // of the attempt, as issued by relayNumbers
	startedAt time.Time

	mu            sync.Mutex    // guards the fields below, and is held while the exchange is aborted
	hasLeft       bool          // the client has left
	hasExchanged  bool          // the exchange has ended
	leave         chan struct{} // closed when hasLeft is set; nil: nobody waits
	exchangeEnded chan struct{} // closed when hasExchanged is set; nil: nobody waits
}

func newRelayedAttempt(in *Instance, r *pendingRequest, a attempt, source requestSource) *relayedAttempt {
	return &relayedAttempt{
		instance: in, control: r.current, source: source, recorder: r.recorder, server: a.server,
		number: r.relayNumber, startedAt: time.Now(),
	}
}

// clientDisconnected gives the attempt up. It does not block and may be called more than once.
func (a *relayedAttempt) clientDisconnected() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasLeft {
		return
	}
	a.recorder.add(TraceStep{Kind: StepClientLeft, Server: a.server, RelayID: a.number})
	a.hasLeft = true
	closeIfSet(a.leave)
	a.instance.relayReporting.Go(a.revoke)
}

// hasClientLeft reports whether the client has left while the attempt was in progress.
func (a *relayedAttempt) hasClientLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasLeft
}

// awaitLeave returns a channel that is closed once the client has left.
func (a *relayedAttempt) awaitLeave() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return signal(&a.leave, a.hasLeft)
}

// awaitExchange returns a channel that is closed once the exchange has ended.
func (a *relayedAttempt) awaitExchange() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return signal(&a.exchangeEnded, a.hasExchanged)
}

// endExchange records that the exchange has ended: the attempt's control is not aborted for the client any more.
func (a *relayedAttempt) endExchange() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hasExchanged = true
	closeIfSet(a.exchangeEnded)
}

// abortExchange closes the link's connection, unless the exchange has ended.
func (a *relayedAttempt) abortExchange() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasExchanged {
		a.control.abort()
	}
}

// abortDial ends an attempt that has not got a connection yet, so that nothing has been written. It reports whether
// nothing is left to be given up: that is so, or the exchange has ended.
func (a *relayedAttempt) abortDial() (isDone bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasExchanged || a.control.abortDial()
}

// revoke has the remote instance give the request up. It then answers the request, so that the exchange ends and the
// link's connection can be reused. If it does not answer soon, or is of a version that can't, the connection is closed,
// by which every version gives up the request. An attempt that has no connection yet ends at once.
func (a *relayedAttempt) revoke() {
	if a.abortDial() {
		return
	}
	answerBy := time.Now().Add(revokeTimeout)
	if a.report(0, answerBy).isRevoked {
		timeout := time.NewTimer(time.Until(answerBy))
		defer timeout.Stop()
		select {
		case <-a.awaitExchange():
		case <-timeout.C:
		}
	}
	a.abortExchange()
}

// answerQuestion answers a question of the remote instance about the client, in the background.
func (a *relayedAttempt) answerQuestion(question clockReading) {
	if a.source.hasDisconnected() {
		a.clientDisconnected()
		return
	}
	a.instance.relayReporting.Go(func() { a.report(question, time.Now().Add(leaseAnswerTimeout)) })
}

// report sends one status query, which reports whether the client is connected.
func (a *relayedAttempt) report(question clockReading, deadline time.Time) relayedStatus {
	query := a.newQuery(&attemptControl{}, deadline)
	query.question = question
	defer context.AfterFunc(a.instance.ctx, query.control.abort)()
	status, _ := query.send(a.instance.ctx)
	return status
}

// newQuery returns a query for the attempt's status.
func (a *relayedAttempt) newQuery(control *attemptControl, deadline time.Time) relayedStatusQuery {
	return relayedStatusQuery{servers: a.instance.servers, control: control, source: a.source,
		clock: a.instance.relay.clock, number: a.number,
		startedAt: a.startedAt, server: a.server, deadline: deadline}
}

// resultAfterClientLeft decides the result of a relayed attempt whose client has left: what the remote instance answers
// to a request that it has given up says nothing of its health. Its statement that nothing ran holds, but the attempt
// may have reached a server that has rejected it, so it still counts as sent.
func resultAfterClientLeft(result policy.Result) policy.Result {
	switch result {
	case policy.RejectedByServer:
		return policy.NotSent
	case policy.ErrorResponse:
		return policy.Cancelled
	}
	return result
}
