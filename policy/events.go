package policy

import (
	"math"
	"time"
)

// RequestReceived is a new try of a client: it is sent on or refused at once.
func (e *Engine) RequestReceived(now time.Duration, q Request, out Actions) {
	e.now, e.actions = now, out
	if e.requests[q.ID] != nil {
		return
	}
	ci, okClass := e.classIndex[q.Class]
	pi, okPlan := e.planIndex[q.Plan]
	if !okClass || !okPlan || q.Timeout <= 0 {
		e.reject(q.ID, 0, rejectUnknown)
		return
	}
	q.Units = math.Max(q.Units, 0)
	q.InstanceCount = min(max(q.InstanceCount, 1), e.settings.InstanceCount)
	scope := quotaScope{plan: pi, instanceCount: q.InstanceCount, firstInstance: q.FirstInstance}
	st := e.quotaFor(q.Customer, scope)
	if st.plan != pi { // the customer has changed its plan
		e.changePlan(st, e.settings.Plans[st.plan], pi)
	}
	e.lastRequestNumber++
	r := &request{Request: q, number: e.lastRequestNumber, class: ci, quota: st}
	r.deadline = now + q.BodyTimeout + q.Timeout - 2*e.settings.MinEventInterval
	late, l := e.isTooLate(ci, q.Timeout), &e.latencies.classes[ci]
	wait, why := e.settings.Classes[ci].LatencyObjective/throttleRetryFraction, rejectNone
	switch {
	case e.isOverloaded(ci, q.Zone, e.settings.Plans[pi].PriorityFactor):
		why = rejectOverloaded
	case late && e.overload.occupancy >= highOccupancy:
		why = rejectLate
	case l.samples >= minBatchSamples && q.Timeout.Seconds() < l.mean:
		why = rejectShortTimeout
	case st.usesOwner && !q.IsCharged && now < st.rejectedUntil &&
		e.settings.Plans[pi].OverQuotaFraction == 0:
		wait, why = st.rejectedUntil-now, rejectQuota
	}
	if why != rejectNone {
		e.reject(q.ID, wait, why)
		return
	}
	e.requests[q.ID], e.requestByNumber[r.number] = r, r
	e.actions.SetTimer(r.number<<timerBits|timerDeadline, max(r.deadline-now, 0))
	if q.IsCharged {
		r.Units, r.isGranted = 0, true
		e.admit(r, true, 0)
		return
	}
	if r.owner = e.ownerFor(st); st.usesOwner && r.owner != e.settings.InstanceIndex {
		r.isLate = late
		e.requestQuota(r)
		return
	}
	in, wait := e.checkQuota(st, quotaDemand{q.Units, late})
	if in {
		e.takeUnits(st, q.Units)
	}
	e.admit(r, in, wait)
}

// AttemptCompleted is the end of an attempt.
func (e *Engine) AttemptCompleted(now time.Duration, o AttemptResult, out Actions) {
	e.now, e.actions = now, out
	r := e.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].isDone {
		return
	}
	a := &r.attempts[o.Attempt]
	a.isDone, a.result, a.neverExecuted = true, o.Result, neverExecuted(o.Result)
	s := a.server
	if !a.isStreaming {
		s.inFlight--
		e.inFlight--
	}
	switch o.Result {
	case OK, RejectedByServer, ErrorResponse:
		s.lastUsedAt = e.now
	case TimedOut, ConnectFailed:
		s.expectedConnections = 0 // the host closes the idle ones as well
	default:
		s.expectedConnections = max(s.expectedConnections-1, 0)
	}
	r.inFlight--
	r.quota.inFlight--
	e.markForGossip(r.quota)
	e.updateHealth(r, s, o)
	if o.Result == OK && e.settings.SettlesUnits && o.Units > 0 && r.inQuota && !r.isSettled {
		r.isSettled = true
		e.refill(r.quota)
		e.returnUnits(r, r.Units-o.Units)
	}
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

// HealthCheckCompleted brings the result of a probe.
func (e *Engine) HealthCheckCompleted(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	e.now, e.actions = now, out
	s := e.serverByID[id]
	if s == nil {
		return
	}
	switch res {
	case OK:
		e.recordLoadReport(s, l)
		fallthrough
	case RejectedByServer, ErrorResponse:
		e.serverResponded(s)
		s.expectedConnections, s.lastUsedAt = max(s.expectedConnections, s.inFlight+1), e.now
		if s.healthCheckSince > 0 {
			s.confirmUpSince(s.healthCheckSince)
		}
	case ConnectFailed:
		s.recordConnectFailure(e.now)
		fallthrough
	case TimedOut:
		e.attemptUnanswered(s, s.lastHealthCheckAt)
	}
	s.healthCheckSince = 0
}

// ClientDisconnected tells that a request is over without an answer of the gateway.
func (e *Engine) ClientDisconnected(now time.Duration, id string, out Actions) {
	e.now, e.actions = now, out
	r := e.requests[id]
	if r == nil || r.isAnswered {
		return
	}
	e.closeRequest(r)
	if !r.isStreaming {
		e.cancelAttempts(r)
	}
}

// DeadlineExceeded tells that the host can wait for a request's answer no longer, as when its process ends:
// it gets it now.
func (e *Engine) DeadlineExceeded(now time.Duration, id string, out Actions) {
	e.now, e.actions = now, out
	e.expireRequest(e.requests[id])
}

// ResponseStarted tells that the answer of an attempt has begun to stream: it is the client's now.
func (e *Engine) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	e.now, e.actions = now, out
	if r := e.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.isStreaming = true
		a := &r.attempts[n]
		if a.server.lastProgressAt = now; !a.isStreaming && !a.isDone {
			a.isStreaming = true
			a.server.inFlight--
			e.inFlight--
		}
	}
}

// TimerFired is the firing of a timer.
func (e *Engine) TimerFired(now time.Duration, token uint64, out Actions) {
	e.now, e.actions = now, out
	r := e.requestByNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerSample:
		e.runSample()
		e.actions.SetTimer(timerSample, sampleInterval)
	case timerGossip:
		// Each message takes its gap, so that long tells stay within the inbox limit too.
		e.actions.SetTimer(timerGossip, e.gossipInterval*time.Duration(max(e.broadcast(), 1)))
	case timerEndpointPoll:
		e.actions.WatchEndpoints(true)
	case timerDeadline:
		e.expireRequest(r)
	case timerOwnerTimeout:
		if r != nil && len(r.attempts) == 0 && !e.clientLeft(r, false) {
			e.ownerTimedOut(r)
		}
	case timerHedge:
		if r != nil && e.mayHedge(r) {
			e.retry(r)
		}
	}
}

// runSample is the work of each probe.
func (e *Engine) runSample() {
	f := e.overload.admitFraction
	young, overdue, waits := e.attemptAges(youngAttemptFraction)
	e.overdue = overdue
	// Attempts at a few unresponsive servers must not read as an overload of all.
	e.overload.closeSample(e.responses, young)
	if f >= 1 && e.overload.admitFraction < 1 {
		e.log("overload: sending on %.2f of what quotas admit, occupancy %.2f",
			e.overload.admitFraction, e.overload.occupancy)
	}
	e.updateZoneHealth(waits)
	e.dropIdleQuotas()
	if e.needsNewSubset() {
		e.formSubset()
	}
	var weight float64
	keep := math.Exp(-sampleInterval.Seconds() / decayTime.Seconds())
	for _, s := range e.servers {
		if s.acceptsRequests() && s.inSubset && e.capacityFraction(s) >= 1 {
			weight += e.serverWeight(s) * s.subsetCorrection
		}
		if s.inFlight == 0 {
			s.latencyRatio = 1 + (s.latencyRatio-1)*keep
			s.failureRate *= keep
		}
	}
	if weight > 0 {
		e.warmRate += slowMeanWeight * (e.warmWork/weight/sampleInterval.Seconds() - e.warmRate)
	}
	// After a start the average is over what there is, or the first second would be refused.
	share := math.Max(rateWeight, 1/(1+float64(e.now-e.startedAt)/float64(sampleInterval)))
	e.responseRate += share * (e.responses/sampleInterval.Seconds() - e.responseRate)
	e.gossipRate += rateWeight * (e.gossipReceived/sampleInterval.Seconds() - e.gossipRate)
	e.warmWork, e.responses, e.gossipReceived = 0, 0, 0
	e.updateZoneRates()
	// Probes are priced and cost work: a gateway that sends seldom probes seldom.
	earned := e.overload.fleetMeans[meanAccepted] * e.healthChecksPerRequest()
	e.healthCheckCredit = math.Min(e.healthCheckCredit+earned, 1)
	if e.mayCheckHealth() && len(e.servers) > 0 && e.healthCheckCredit >= 1 {
		e.healthCheckCredit = 0
		var next *server // the one whose last probe is longest ago; pick shuffles the servers
		for _, s := range e.subset {
			if s.acceptsRequests() && (next == nil || e.healthCheckOrder(s) < e.healthCheckOrder(next)) {
				next = s
			}
		}
		if next != nil {
			next.lastHealthCheckAt = e.now
			e.actions.CheckHealth(next.ID)
		}
	}
}
