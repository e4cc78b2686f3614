package policy

import (
	"time"

	"mulleinmux/policy/overload"
	"mulleinmux/policy/quota"
)

// Handlers of the events of requests and of timers. The rules that they evaluate are methods of the types that own the
// state.

// RequestReceived handles a new request of a client. The request is forwarded or rejected at once, or after the owner
// of its customer's quota has responded or the wait for the owner has timed out.
func (e *Engine) RequestReceived(now time.Duration, received Request, actions Actions) {
	e.beginEvent(now, actions)
	if e.requests.byID[received.ID] != nil {
		return
	}
	class, plan, isServable := e.index.resolve(received)
	if !isServable {
		e.reject(received.ID, rejection{reason: rejectUnknown})
		return
	}
	if !e.quotas.HasRoomFor(received.Customer) {
		e.reject(received.ID, rejection{rejectCustomers, assessmentInterval})
		return
	}
	received = e.settings.clampRequest(received)
	scope := quota.Scope{Plan: plan, InstanceCount: received.InstanceCount, FirstInstance: received.FirstInstance}
	customerQuota := e.quotas.QuotaInPlan(received.Customer, scope, now)
	r := &request{Request: received, number: e.requests.nextNumber(), class: class, quota: customerQuota}
	r.deadline = e.settings.answerDeadline(received, now)
	latency, objective := e.latencies.forRequest(r), e.settings.classOf(r).LatencyObjective
	latency.learnFirstTryTimeout(r.Timeout, objective)
	r.isLate = latency.isTooLate(r.Timeout, objective)
	if rejected := e.findEarlyRejection(r); rejected.reason != rejectNone {
		e.reject(r.ID, rejected)
		return
	}
	e.requests.add(r)
	e.actions.SetTimer(timerToken(timerDeadline, r.number), max(r.deadline-now, 0))
	e.checkRequestQuota(r)
}

// findEarlyRejection returns the rejection of a request before its quota is checked, with the reason rejectNone if the
// request is not rejected.
func (e *Engine) findEarlyRejection(r *request) rejection {
	plan := e.quotas.PlanOf(r.quota)
	retryAfter := e.settings.classOf(r).overloadRetryAfter()
	e.latencies.forRequest(r).discardStaleMean(e.now, r.Timeout)
	switch {
	case e.inFlightBound.isOverloaded(e.now, r.class, r.Zone, plan.PriorityFactor):
		return rejection{rejectOverloaded, retryAfter}
	case r.isLate && e.overload.IsHighlyOccupied():
		return rejection{rejectLate, retryAfter}
	case e.latencies.forRequest(r).isTooShort(r.Timeout):
		return rejection{rejectShortTimeout, retryAfter}
	case !r.IsCharged && r.quota.IsRejectedByOwner(plan, e.now):
		return rejection{rejectQuota, r.quota.OwnerRejectionWait(e.now)}
	}
	return rejection{reason: rejectNone}
}

// checkRequestQuota checks a request against its customer's quota, or sends a quota request to the owner.
func (e *Engine) checkRequestQuota(r *request) {
	if r.IsCharged {
		r.Units = 0
		r.isGranted = true
		e.admit(r, quota.Decision{IsWithinQuota: true})
		return
	}
	r.owner = e.quotas.Fleet.OwnerFor(r.quota)
	if r.quota.UsesOwner && r.owner != e.settings.InstanceIndex {
		e.requestQuota(r)
		return
	}
	decision := e.quotas.Check(r.quota, quota.Demand{Units: r.Units, IsLate: r.isLate}, e.now)
	if decision.IsWithinQuota {
		e.quotas.TakeUnits(r.quota, r.Units)
	}
	e.admit(r, decision)
}

// admit forwards or rejects a request whose quota has been checked. The units of a request inside its quota have been
// taken before.
func (e *Engine) admit(r *request, decision quota.Decision) {
	r.inQuota = decision.IsWithinQuota
	s, rejected := e.chooseServer(r, decision)
	if s == nil {
		e.returnUnits(r, r.Units)
		e.reject(r.ID, rejected)
		e.closeRequest(r)
		return
	}
	e.quotas.RecordForwarded(r.quota, quota.Forwarded{Units: r.Units, IsWithinQuota: r.inQuota, IsGranted: r.isGranted})
	e.overload.CountAccepted()
	e.retries.earn()
	e.startAttempt(r, s)
}

// chooseServer returns the server for a request's first attempt, or nil and the rejection if the request cannot be
// forwarded. It checks the quota, on which decision is, then the hard limit, then overload control, then the servers.
func (e *Engine) chooseServer(r *request, decision quota.Decision) (*server, rejection) {
	plan := e.quotas.PlanOf(r.quota)
	if !r.inQuota && !plan.MayExceedQuota(e.overload.HasSpareCapacity(e.subset.usesAllServers())) {
		return nil, quotaRejection(decision)
	}
	if !r.isGranted && r.quota.ExceedsHardLimit(plan, r.Units) {
		return nil, rejection{rejectHardLimit, e.quotas.RejectBeyondHardLimit(r.quota, r.Units)}
	}
	if !e.overload.Admit() {
		return nil, rejection{rejectThrottled, e.settings.classOf(r).overloadRetryAfter()}
	}
	return e.selector.selectServer(e.now, r), rejection{rejectNoServer, assessmentInterval}
}

// AttemptCompleted handles the end of an attempt.
func (e *Engine) AttemptCompleted(now time.Duration, outcome AttemptResult, actions Actions) {
	e.beginEvent(now, actions)
	r := e.requests.byID[outcome.ID]
	a := r.attemptAt(outcome.Attempt)
	if a == nil || a.isDone {
		return
	}
	e.endAttempt(r, a, outcome.Result)
	e.learnFromAttempt(r, a.server, outcome)
	if unused, isSettled := r.settle(outcome, &e.settings); isSettled {
		e.quotas.Refill(r.quota, e.now)
		e.returnUnits(r, unused)
	}
	if r.isAnswered || outcome.RequestAnswered || outcome.Result == OK {
		e.closeRequest(r)
		return
	}
	if r.inFlight > 0 {
		return
	}
	if outcome.Result == NotSent || !e.retry(r) {
		e.answerUnserved(r)
	}
}

// ClientDisconnected handles a client that disconnects before its final answer: the request gets no answer.
func (e *Engine) ClientDisconnected(now time.Duration, id string, actions Actions) {
	e.beginEvent(now, actions)
	r := e.requests.byID[id]
	if r == nil || r.isAnswered {
		return
	}
	e.closeRequest(r)
	if !r.isStreaming {
		r.cancelAttempts(&e.settings, e.actions)
	}
}

// DeadlineExceeded sends a request's final answer at once, since the host can wait no longer: for example, because its
// process ends.
func (e *Engine) DeadlineExceeded(now time.Duration, id string, actions Actions) {
	e.beginEvent(now, actions)
	e.expireRequest(e.requests.byID[id])
}

// ResponseStarted handles the first bytes of an attempt's streamed response: from then on the request can get no other
// answer.
func (e *Engine) ResponseStarted(now time.Duration, id string, attempt int, actions Actions) {
	e.beginEvent(now, actions)
	r := e.requests.byID[id]
	a := r.attemptAt(attempt)
	if a == nil {
		return
	}
	r.isStreaming = true
	a.server.lastProgressAt = now
	if !a.isStreaming && !a.isDone {
		a.isStreaming = true
		e.load.removeInFlight(a.server)
	}
}

// TimerFired handles the firing of a timer that was set by [Actions.SetTimer].
func (e *Engine) TimerFired(now time.Duration, token uint64, actions Actions) {
	e.beginEvent(now, actions)
	kind, number := parseTimerToken(token)
	r := e.requests.byNumber[number]
	switch kind {
	case timerSample:
		e.closeSample()
		e.actions.SetTimer(timerToken(timerSample, 0), sampleInterval)
	case timerGossip:
		messages := e.gossip.Broadcast(&e.quotas, e.actions)
		e.actions.SetTimer(timerToken(timerGossip, 0), e.quotas.Fleet.NextBroadcastDelay(messages))
	case timerEndpointPoll:
		e.actions.WatchEndpoints(true)
	case timerDeadline:
		e.expireRequest(r)
	case timerOwnerTimeout:
		if r != nil && len(r.attempts) == 0 && !e.requests.endOwnerWait(r) {
			e.admitWithoutOwner(r)
		}
	case timerHedge:
		if r != nil && r.mayHedge(e.overload.IsHighlyOccupied()) && e.quotas.MayHedge(r.quota, e.now) {
			e.retry(r)
		}
	}
}

// closeSample ends a sample: it assesses the load, then updates server health, quotas, the subset and the rates.
func (e *Engine) closeSample() {
	ages := e.requests.measureAges(e.now, &e.settings, &e.latencies, !e.subset.usesAllServers())
	e.load.overdue = ages.overdue
	// Old attempts are left out: those at a few unresponsive servers must not count as an overload of all servers.
	if e.overload.CloseSample(e.load.responses, ages.young) {
		e.log(OverloadThrottled{AdmitFraction: e.overload.AdmitFraction(), Occupancy: e.overload.Occupancy()})
	}
	for _, zone := range e.failures.updateZones(e.now, ages.unanswered) {
		e.actions.Log(ZoneUnresponsive{Zone: zone})
	}
	e.quotas.DropIdle(e.now)
	if e.subset.needsResize(e.now, &e.settings, e.load.inFlight) {
		e.subset.form(e.servers.list)
	}
	warmWeight := e.servers.closeSample(e.now, &e.settings)
	e.load.updateRates(warmWeight, float64(e.now-e.startedAt)/float64(sampleInterval))
	e.gossip.CloseSample()
	e.zones.updateRates(e.now, &e.servers, &e.settings)
	if s := e.healthChecks.nextServer(e.overload.FleetMeans()[overload.MeanAccepted]); s != nil {
		e.healthChecks.send(e.now, s, e.actions)
	}
}
