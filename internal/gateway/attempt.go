package gateway

import (
	"net/http"
	"time"

	"mulleinmux/internal/attemptprogress"
	"mulleinmux/policy"
)

// attempt is one send of a request to a server.
type attempt struct {
	server   string
	deadline time.Time
}

// attemptDeadline returns the deadline of an attempt that begins now: it ends after the engine's timeout (0: no
// timeout) and never later than the request's deadline, by which the client must have its response.
func attemptDeadline(now time.Time, timeout time.Duration, requestDeadline time.Time) time.Time {
	if end := now.Add(timeout); timeout != 0 && end.Before(requestDeadline) {
		return end
	}
	return requestDeadline
}

// attemptEnd describes an attempt that has ended.
type attemptEnd struct {
	sentAt          time.Duration // reading of the instance's clock
	result          policy.Result
	isKeyRegistered bool // the attempt was registered with the key owners and must be ended there
}

// runAttempt carries out one attempt and reports its result to the engine. The attempt is sent only if, checked in this
// order, the relay has capacity, the site still owns the request's key and, immediately before the first byte is
// written, the client is still connected.
func (in *Instance) runAttempt(r *pendingRequest, a attempt, source requestSource) requestStep {
	end := attemptEnd{sentAt: in.host.now()}
	r.response.wasWritten, r.response.connectedAt = false, time.Time{}
	r.isRelayed = isRemoteServer(a.server)
	r.relayNumber = ""
	if r.isRelayed {
		r.relayNumber, r.clock = in.relay.numbers.next(), in.relay.clock
	}
	r.recorder.add(TraceStep{
		Kind: StepBegun, Attempt: r.attempts, Server: a.server, Relayed: r.isRelayed, RelayID: r.relayNumber,
	})
	if r.isRelayed {
		if !in.relay.acquire(r) {
			end.result = policy.RejectedByServer // the relay has no capacity now
			return in.completeAttempt(r, a, end)
		}
		defer in.relay.release(r)
	}
	if r.hasKeyOwner {
		end.isKeyRegistered = in.confirmKeyOwner(r, a)
	}
	if r.hasKeyOwner && !end.isKeyRegistered {
		end.result = policy.NotSent
	} else {
		end.result = in.sendWithCloseWatch(r, a, source)
	}
	return in.completeAttempt(r, a, end)
}

// completeAttempt updates the counters for an attempt that has ended and reports its result to the engine.
func (in *Instance) completeAttempt(r *pendingRequest, a attempt, end attemptEnd) requestStep {
	r.recorder.attemptEnded(r.attempts, a, end.result)
	r.countAttempt(end.result)
	report := r.response.report()
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		r.current = nil
		if end.result == policy.TimedOut && !r.isRelayed {
			in.host.recordLateness(in.host.reading(a.deadline), now)
		}
		if r.indicatesSiteHealth(end.result) {
			in.sites.recordResult(now, a.server, end.result, end.sentAt)
		}
		if end.isKeyRegistered {
			in.sites.keys.EndAttempt(r.key, r.neverExecuted(end.result))
		}
		if end.result == policy.OK {
			in.answer(r, served, 0)
		}
		in.host.engine.AttemptCompleted(now, r.attemptResult(in.host.clock, a, end.result, now-end.sentAt, report), out)
	})
}

// indicatesSiteHealth reports whether the result of the latest attempt counts for the health of its server's site. A
// rejection or an error response from a remote instance does not: the fault may lie with that instance alone.
func (r *pendingRequest) indicatesSiteHealth(result policy.Result) bool {
	return !r.isRelayed || result != policy.RejectedByServer && result != policy.ErrorResponse
}

// confirmKeyOwner reports whether the attempt's site still owns the request's key, and registers the attempt if it
// does. Key owners may have changed since the request was admitted. If the site no longer owns the key, the request
// fails if an earlier attempt was sent and is rejected otherwise.
func (in *Instance) confirmKeyOwner(r *pendingRequest, a attempt) (isOwner bool) {
	isOwner = true
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		isOwner = in.sites.keys.BeginAttempt(now, r.key, siteOf(a.server))
		switch {
		case isOwner:
		case r.wasSent:
			in.answer(r, failed, 0)
		default:
			r.keyRejection = reasonOwnerChanged
			in.answer(r, rejected, minKeyRetryAfter)
		}
	})
	return isOwner
}

// fail answers a request with a failure unless it already has its answer.
func (in *Instance) fail(r *pendingRequest) {
	in.host.handleEvent(func(time.Duration, policy.Actions) { in.answer(r, failed, 0) })
}

// sendWithCloseWatch sends an attempt. While a request is relayed to or from another site, it is watched whether the
// client, or the relaying instance, gives the request up. Nothing is sent if the client has disconnected by the time the
// connection to the server is established.
func (in *Instance) sendWithCloseWatch(r *pendingRequest, a attempt, source requestSource) policy.Result {
	r.current.source = source
	switch {
	case r.isFromRelay:
		return in.sendForRelay(r, a, source)
	case r.isRelayed:
		return in.sendRelayed(r, a, source)
	}
	return in.send(r, a, in.exchangeRequest(r, a))
}

// sendForRelay sends an attempt of a request that another site's instance has relayed. It abandons the request if that
// instance gives it up. A further attempt is dialled only once that instance has confirmed that its client is connected.
func (in *Instance) sendForRelay(r *pendingRequest, a attempt, source requestSource) policy.Result {
	source.watchClose(func() {
		r.recorder.add(TraceStep{Kind: StepClosedByPeer})
		in.host.handleEvent(in.abandonEvent(r))
	})
	defer source.stopWatch()
	if r.attempts > 1 && !source.confirmClient(r.current, a.deadline) {
		in.fail(r)
		return policy.NotSent
	}
	return in.send(r, a, in.exchangeRequest(r, a))
}

// sendRelayed relays an attempt to another site's instance. If the attempt may still be in flight there, its execution
// status is queried. If the status stays unknown, a retry could run beside the first attempt, so the request fails
// unless it is idempotent. It also fails if the client has left.
func (in *Instance) sendRelayed(r *pendingRequest, a attempt, source requestSource) policy.Result {
	relayed := newRelayedAttempt(in, r, a, source)
	source.watchClose(relayed.clientDisconnected)
	defer source.stopWatch()
	request := in.exchangeRequest(r, a)
	request.relayed = relayed
	result := in.send(r, a, request)
	relayed.endExchange()
	r.current.source = nil // the status query is sent even if the client has disconnected
	if deadline, needsQuery := r.statusDeadline(time.Now(), a, result); needsQuery {
		result = in.awaitRelayedStatus(r, relayed, deadline, result)
	}
	if relayed.hasClientLeft() && result != policy.OK {
		in.fail(r)
		return resultAfterClientLeft(result)
	}
	return result
}

// awaitRelayedStatus queries the status of a relayed attempt that ended with a result and without an answer, and returns
// the result that follows from it.
func (in *Instance) awaitRelayedStatus(
	r *pendingRequest, relayed *relayedAttempt, deadline time.Time, result policy.Result,
) policy.Result {
	query := relayed.newQuery(r.current, deadline)
	query.isIdempotent = r.isIdempotent()
	r.recorder.add(TraceStep{Kind: StepStatusQueried, Attempt: r.attempts, Server: relayed.server})
	status, hasEnded := query.await(in.ctx, relayed.awaitLeave())
	r.recorder.statusResolved(r.attempts, relayed.server, status.status, hasEnded)
	if !hasEnded && !r.isIdempotent() {
		in.fail(r)
	}
	return r.resolveRelayed(result, status)
}

// exchangeRequest returns the exchange of an attempt.
func (in *Instance) exchangeRequest(r *pendingRequest, a attempt) exchangeRequest {
	request := exchangeRequest{
		server:        a.server,
		limits:        attemptprogress.Limits{ResponseBy: a.deadline, AnswerBy: r.answerBy},
		isHeadRequest: r.requestHead.Method == http.MethodHead,
		isRelayed:     r.isRelayed,
		append:        func(b []byte) []byte { return r.appendRequest(b, a.deadline) },
	}
	if source := r.current.source; r.answerBy.After(r.deadline) {
		request.onBegun = func() { in.responseBegun(r, source) }
	}
	return request
}

// send sends an attempt to its server and reads the response. The request fails if the client is found to have
// disconnected before the first byte was written.
func (in *Instance) send(r *pendingRequest, a attempt, request exchangeRequest) policy.Result {
	result := in.servers.exchange(in.ctx, r.current, request, &r.response)
	r.recorder.attemptExchanged(r.attempts, a, &r.response, result)
	if r.current.isClientGone {
		in.fail(r)
	}
	return result
}

// responseBegun is called when a server has begun its response to a request that was relayed to this instance, and the
// response is not complete yet. The relaying instance waits for it until answerBy, and no other response can follow.
func (in *Instance) responseBegun(r *pendingRequest, source requestSource) {
	source.announceResponse()
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		in.host.engine.ResponseStarted(now, r.id, r.attempts-1, out)
	})
}

// countAttempt counts an attempt that was written completely. The first such attempt also counts the request's units.
func (r *pendingRequest) countAttempt(result policy.Result) {
	if !r.response.wasWritten {
		return
	}
	r.mayHaveRun = r.mayHaveRun || result != policy.RejectedByServer
	r.counters.Attempts.Add(1)
	if !r.wasSent {
		r.wasSent = true
		r.counters.SentRequests.Add(1)
		r.counters.SentUnits.Add(int64(r.units))
	}
}

// neverExecuted reports whether the latest attempt certainly did not run, so that the request's key may move to another
// site.
func (r *pendingRequest) neverExecuted(result policy.Result) bool {
	switch result {
	case policy.RejectedByServer, policy.ConnectFailed, policy.NotSent:
		return true
	}
	return !r.response.wasWritten
}

// attemptResult returns the report to the engine on an attempt that has ended.
func (r *pendingRequest) attemptResult(
	c clock, a attempt, result policy.Result, latency time.Duration, report *policy.LoadReport,
) policy.AttemptResult {
	end := policy.AttemptResult{ID: r.id, Attempt: r.attempts - 1, RequestAnswered: r.isAnswered, Result: result,
		Server: a.server, Latency: latency, LoadReport: report}
	if !r.response.connectedAt.IsZero() {
		end.ConnectedAt = c.reading(r.response.connectedAt)
	}
	return end
}
