package gateway

import (
	"time"

	"mulleinmux/policy"
)

// attempt is one send of a request to a server.
type attempt struct {
	server   string
	deadline time.Time
}

// attemptDeadline decides when an attempt that begins now ends: after the engine's timeout for it (0: none), but no
// later than the request, whose client then has its answer.
func attemptDeadline(now time.Time, timeout time.Duration, requestDeadline time.Time) time.Time {
	if end := now.Add(timeout); timeout != 0 && end.Before(requestDeadline) {
		return end
	}
	return requestDeadline
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	sentAt  time.Duration // by the instance's clock
	result  policy.Result
	usedKey bool // the key table counts the attempt as under way
}

// runAttempt carries out one attempt and brings its result to the engine. It asks in this order whether the attempt may
// be sent: whether the relay has capacity, whether the site still owns the request's key, and, right before the first
// byte, whether the client is still there.
func (in *Instance) runAttempt(r *pendingRequest, a attempt, source requestSource) requestStep {
	end := attemptEnd{sentAt: in.host.now()}
	r.response.wasWritten, r.response.connectedAt = false, time.Time{}
	r.isRelayed = isRemoteServer(a.server)
	r.recorder.add(TraceStep{Kind: StepBegun, Attempt: r.attempts, Server: a.server, Relayed: r.isRelayed})
	if r.isRelayed {
		if !in.relay.acquire(r) {
			end.result = policy.RejectedByServer // no more may be relayed now
			return in.completeAttempt(r, a, end)
		}
		defer in.relay.release(r)
	}
	if r.hasKeyOwner {
		end.usedKey = in.confirmKeyOwner(r, a)
	}
	if r.hasKeyOwner && !end.usedKey {
		end.result = policy.NotSent
	} else {
		end.result = in.sendWatched(r, a, source)
	}
	return in.completeAttempt(r, a, end)
}

// completeAttempt counts an attempt that has ended and brings its result to the engine.
func (in *Instance) completeAttempt(r *pendingRequest, a attempt, end attemptEnd) requestStep {
	r.recorder.attemptEnded(r.attempts, a, end.result)
	r.countAttempt(end.result)
	report := r.response.report()
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		r.current = nil
		if end.result == policy.TimedOut && !r.isRelayed {
			in.host.recordLateness(in.host.reading(a.deadline), now)
		}
		if r.tellsOfSite(end.result) {
			in.sites.recordResult(now, a.server, end.result, end.sentAt)
		}
		if end.usedKey {
			in.sites.keys.EndAttempt(r.key, r.neverExecuted(end.result))
		}
		if end.result == policy.OK {
			in.answer(r, served, 0)
		}
		in.host.engine.AttemptCompleted(now, r.attemptResult(in.host.clock, a, end.result, now-end.sentAt, report), out)
	})
}

// tellsOfSite decides whether the latest attempt's result says something of the health of its server's site. What a
// remote instance rejects or answers with an error does not: the fault may be its own.
func (r *pendingRequest) tellsOfSite(result policy.Result) bool {
	return !r.isRelayed || result != policy.RejectedByServer && result != policy.ErrorResponse
}

// confirmKeyOwner reports whether the attempt's site still owns the request's key: key owners may have changed since
// the request was admitted. If not, the request is answered: it fails if an attempt of it was sent before, else it is
// rejected.
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

// fail gives a request that has no answer yet a failure.
func (in *Instance) fail(r *pendingRequest) {
	in.host.handleEvent(func(time.Duration, policy.Actions) { in.answer(r, failed, 0) })
}

// sendWatched sends an attempt unless the client has left by the time its connection has come up, and ends it if another
// site's instance gives its request up.
func (in *Instance) sendWatched(r *pendingRequest, a attempt, source requestSource) policy.Result {
	r.current.source = source
	if !r.cameByRelay {
		return in.send(r, a)
	}
	stop := source.watchClose(func() {
		r.recorder.add(TraceStep{Kind: StepClosedByPeer})
		in.host.handleEvent(in.abandonEvent(r))
	})
	defer stop()
	return in.send(r, a)
}

// send exchanges an attempt with its server. The other site is asked what became of a relayed one that may still be in
// flight there. If it does not say, a further attempt could be a second one in flight: unless the request is
// idempotent, so that this would do no harm, it fails.
func (in *Instance) send(r *pendingRequest, a attempt) policy.Result {
	begunAt := time.Now()
	result := in.servers.exchange(in.ctx, r.current, a.server, a.deadline, r.requestHead.Method == "HEAD", &r.response,
		func(b []byte) []byte { return r.appendRequest(b, a.deadline) })
	r.recorder.attemptExchanged(r.attempts, a, &r.response, result)
	if r.current.wasClientGone {
		in.fail(r)
	}
	r.current.source = nil // a question of what became of the attempt harms nobody
	if !r.isRelayed {
		return result
	}
	deadline, isWanted := r.statusDeadline(time.Now(), a, result)
	if !isWanted {
		return result
	}
	query := relayedStatusQuery{servers: in.servers, control: r.current, id: r.attemptRelayID(), begunAt: begunAt,
		server: a.server, deadline: deadline}
	r.recorder.add(TraceStep{Kind: StepStatusAsked, Attempt: r.attempts, Server: a.server})
	status, hasEnded := query.await(in.ctx)
	r.recorder.statusResolved(r.attempts, a.server, status.status, hasEnded)
	if !hasEnded && !r.isIdempotent() {
		in.fail(r)
	}
	return r.resolveRelayed(result, status)
}

// countAttempt counts an attempt that was written whole, and the request's units with the first of these.
func (r *pendingRequest) countAttempt(result policy.Result) {
	if !r.response.wasWritten {
		return
	}
	r.mayRun = r.mayRun || result != policy.RejectedByServer
	r.counters.Attempts.Add(1)
	if !r.wasSent {
		r.wasSent = true
		r.counters.Sent.Add(1)
		r.counters.Units.Add(int64(r.units))
	}
}

// neverExecuted decides whether the latest attempt surely never ran, so that the request's key may go to another site.
func (r *pendingRequest) neverExecuted(result policy.Result) bool {
	switch result {
	case policy.RejectedByServer, policy.ConnectFailed, policy.NotSent:
		return true
	}
	return !r.response.wasWritten
}

// attemptResult is what the engine learns of an attempt's end.
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
