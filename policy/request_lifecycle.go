package policy

// The life cycle of a request: its attempts, their results, and its final answer.

// startAttempt sends a request to a server and records the attempt.
func (e *Engine) startAttempt(r *request, s *server) {
	plan := planAttempt(e.now, r, e.latencies.forRequest(r), e.overload.IsHighlyOccupied(), &e.settings)
	if plan.isHedged {
		e.actions.SetTimer(timerToken(timerHedge, r.number), plan.hedgeAfter)
	}
	if s.inFlight == 0 {
		s.lastProgressAt = e.now
	}
	s.recordConnectionUse(e.now)
	// An attempt whose request body is still being received does not count as load of the server.
	if r.BodyTimeout == 0 {
		e.load.addInFlight(s)
	}
	r.inFlight++
	r.quota.InFlight++
	e.quotas.MarkForGossip(r.quota)
	e.slowStart.spend(e.now, s, r.class, e.zones.of(s))
	r.attempts = append(r.attempts, attempt{
		server: s, sentAt: e.now, zone: s.Zone, cell: s.Cell, isStreaming: r.BodyTimeout > 0,
	})
	e.actions.SendAttempt(r.ID, s.ID, plan.timeout)
}

// endAttempt records the end of an attempt.
func (e *Engine) endAttempt(r *request, a *attempt, result Result) {
	a.end(result)
	if !a.isStreaming {
		e.load.removeInFlight(a.server)
	}
	a.server.recordConnectionEnd(e.now, result)
	r.inFlight--
	r.quota.InFlight--
	e.quotas.MarkForGossip(r.quota)
}

// retry starts a further attempt if the retry budget, the deadline and the servers allow one, and reports whether it
// did.
func (e *Engine) retry(r *request) bool {
	if !e.retries.allows() || !r.mayRetryInTime(e.now, e.latencies.forRequest(r).mean) {
		return false
	}
	s := e.selector.selectServer(e.now, r)
	if s == nil {
		return false
	}
	e.retries.spend()
	e.startAttempt(r, s)
	return true
}

// answerUnserved sends the final answer of a request that got no response: a rejection if a retry by the client is
// safe, otherwise a failure.
func (e *Engine) answerUnserved(r *request) {
	if r.isAnswered {
		return
	}
	if mayReject(e.settings.classOf(r), r.attempts) {
		e.reject(r.ID, rejection{rejectUnserved, assessmentInterval})
	} else {
		e.actions.FailRequest(r.ID)
	}
	e.closeRequest(r)
	r.cancelAttempts(&e.settings, e.actions)
}

// expireRequest sends the final answer of a request, unless it has one or its response is being streamed. The request
// may be nil.
func (e *Engine) expireRequest(r *request) {
	if r != nil && !r.isAnswered && !r.isStreaming {
		e.answerUnserved(r)
	}
}

// closeRequest marks the request as answered. The request stays in the table until its attempts have ended.
func (e *Engine) closeRequest(r *request) {
	r.isAnswered = true
	if !r.awaitsOwner { // otherwise the owner may still grant units, which have to be returned
		delete(e.requests.byNumber, r.number)
	}
	if r.inFlight > 0 {
		return
	}
	delete(e.requests.byID, r.ID)
	if len(r.attempts) > 0 && e.quotas.PlanOf(r.quota).MaxInFlight > 0 && r.quota.UsesOwner {
		e.returnUnits(r, 0)
	}
}
