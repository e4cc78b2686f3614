package policy

import (
	"time"
)

// RequestReceived is a new request of a client: it is forwarded or rejected at once, or once the owner of its
// customer's quota has answered.
func (e *Engine) RequestReceived(now time.Duration, q Request, out Actions) {
	e.now, e.actions = now, out
	if e.requests.byID[q.ID] != nil {
		return
	}
	class, hasClass := e.classIndex[q.Class]
	plan, hasPlan := e.planIndex[q.Plan]
	if !hasClass || !hasPlan || q.Timeout <= 0 {
		e.reject(q.ID, rejection{reason: rejectUnknown})
		return
	}
	r := e.newRequest(q, class, plan)
	e.latencies.classes[class].learnFirstTryTimeout(q.Timeout, e.settings.Classes[class].LatencyObjective)
	r.isLate = e.isTooLate(r)
	if why := e.rejectEarly(r); why.reason != rejectNone {
		e.reject(r.ID, why)
		return
	}
	e.requests.add(r)
	e.actions.SetTimer(timerToken(timerDeadline, r.number), max(r.deadline-now, 0))
	e.checkRequestQuota(r)
}

// AttemptCompleted is the end of an attempt.
func (e *Engine) AttemptCompleted(now time.Duration, o AttemptResult, out Actions) {
	e.now, e.actions = now, out
	r := e.requests.byID[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].isDone {
		return
	}
	a := &r.attempts[o.Attempt]
	e.endAttempt(r, a, o.Result)
	e.updateHealth(r, a.server, o)
	e.settleUnits(r, o)
	if o.RequestAnswered || o.Result == OK {
		e.closeRequest(r)
	}
	if r.isAnswered {
		e.closeRequest(r)
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !e.retry(r) {
		e.finish(r)
	}
}

// HealthCheckCompleted brings the result of a health check.
func (e *Engine) HealthCheckCompleted(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	e.now, e.actions = now, out
	s := e.servers.byID[id]
	if s == nil {
		return
	}
	switch res {
	case OK, RejectedByServer, ErrorResponse:
		if res == OK {
			e.recordLoadReport(s, l)
		}
		e.serverResponded(s)
		s.connectionChecked(now)
		s.confirmUpSince(s.healthCheckSince)
	case ConnectFailed:
		s.recordConnectFailure(now)
		e.attemptUnanswered(s, s.lastHealthCheckAt)
	case TimedOut:
		e.attemptUnanswered(s, s.lastHealthCheckAt)
	}
	s.healthCheckSince = 0
}

// ClientDisconnected tells that a request is over without a response of the node.
func (e *Engine) ClientDisconnected(now time.Duration, id string, out Actions) {
	e.now, e.actions = now, out
	r := e.requests.byID[id]
	if r == nil || r.isAnswered {
		return
	}
	e.closeRequest(r)
	if !r.isStreaming {
		e.cancelAttempts(r)
	}
}

// DeadlineExceeded tells that the host can wait for a request's response no longer, as when its process ends:
// the request gets its answer now.
func (e *Engine) DeadlineExceeded(now time.Duration, id string, out Actions) {
	e.now, e.actions = now, out
	e.expireRequest(e.requests.byID[id])
}

// ResponseStarted tells that the response of an attempt has begun to stream: it is the client's now.
func (e *Engine) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	e.now, e.actions = now, out
	r := e.requests.byID[id]
	if r == nil || n < 0 || n >= len(r.attempts) {
		return
	}
	r.isStreaming = true
	a := &r.attempts[n]
	a.server.lastProgressAt = now
	if !a.isStreaming && !a.isDone {
		a.isStreaming = true
		e.releaseServer(a.server)
	}
}

// TimerFired is the firing of a timer.
func (e *Engine) TimerFired(now time.Duration, token uint64, out Actions) {
	e.now, e.actions = now, out
	kind, number := parseTimerToken(token)
	r := e.requests.byNumber[number]
	switch kind {
	case timerSample:
		e.runSample()
		e.actions.SetTimer(timerToken(timerSample, 0), sampleInterval)
	case timerGossip:
		// Each message takes its interval, so that long rounds stay within the inbox limit too.
		messages := max(e.broadcast(), 1)
		e.actions.SetTimer(timerToken(timerGossip, 0), e.gossip.interval*time.Duration(messages))
	case timerEndpointPoll:
		e.actions.WatchEndpoints(true)
	case timerDeadline:
		e.expireRequest(r)
	case timerOwnerTimeout:
		if r != nil && len(r.attempts) == 0 && !e.clientLeft(r) {
			e.ownerTimedOut(r)
		}
	case timerHedge:
		if r != nil && e.mayHedge(r) {
			e.retry(r)
		}
	}
}

// runSample is the work of each sample interval: assess the load, then health, quotas, subset and rates.
func (e *Engine) runSample() {
	ages := e.attemptAges(youngAttemptFraction)
	e.load.overdue = ages.overdue
	before := e.overload.admitFraction
	// Attempts at a few unresponsive servers must not read as an overload of all.
	e.overload.closeSample(e.load.responses, ages.young)
	if before >= 1 && e.overload.admitFraction < 1 {
		e.log(OverloadThrottled{AdmitFraction: e.overload.admitFraction, Occupancy: e.overload.occupancy})
	}
	e.updateZoneHealth(ages.unanswered)
	e.dropIdleQuotas()
	if e.needsNewSubset() {
		e.formSubset()
	}
	e.updateRates()
	e.updateZoneRates()
	e.runHealthCheck()
}
