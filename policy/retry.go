package policy

import (
	"time"
)

// slowAttemptDeviations is how many mean deviations over the mean make an attempt count as slow.
const slowAttemptDeviations = 10

// mayAttempt reports whether a further attempt of the request at the server is safe: no request runs twice
// unless its class allows it.
func (e *Engine) mayAttempt(r *request, s *server) bool {
	if r.isAnswered || r.isStreaming || r.inFlight > 0 && !e.settings.AllowsHedging ||
		e.settings.MaxAttempts > 0 && len(r.attempts) >= e.settings.MaxAttempts {
		return false
	}
	c := &e.settings.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverExecuted || c.Idempotency == Idempotent {
			continue
		}
		repeats := c.DedupWindow - 2*e.settings.MinEventInterval - e.settings.ConnectTimeout
		if c.Idempotency == NonIdempotent || e.now-a.sentAt > repeats {
			return false
		}
		if c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// mayReject reports whether a request may be rejected, which promises that trying again is harmless.
func (e *Engine) mayReject(r *request) bool {
	c := &e.settings.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAllServers {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverExecuted {
			return false
		}
	}
	return true
}

// startAttempt sends a request to a server.
func (e *Engine) startAttempt(r *request, s *server) {
	timeout := e.planHedge(r)
	if s.inFlight == 0 {
		s.lastProgressAt = e.now
	}
	s.connectionUsed(e.now)
	// A body that is still coming is no work in flight yet, nor is a response that has begun.
	if r.BodyTimeout == 0 {
		e.occupyServer(s)
	}
	r.inFlight++
	r.quota.inFlight++
	e.markForGossip(r.quota)
	if e.capacityFraction(s) < 1 {
		work := e.expectedWork(r.class)
		s.warmup.spend(work)
		if zone := e.zones[s.Zone]; zone != nil {
			zone.sentWork += work
		}
	}
	r.attempts = append(r.attempts, attempt{
		server: s, sentAt: e.now, zone: s.Zone, cell: s.Cell, isStreaming: r.BodyTimeout > 0,
	})
	e.actions.SendAttempt(r.ID, s.ID, timeout)
}

// planHedge returns the timeout of a request's next attempt. Where the request may be repeated and the
// servers are not under pressure, a slow attempt gives way to another: beside it if hedging is allowed, or
// after it.
func (e *Engine) planHedge(r *request) time.Duration {
	c, l := &e.settings.Classes[r.class], &e.latencies.classes[r.class]
	timeout := max(r.deadline-e.now, e.settings.MinEventInterval)
	hasMore := e.settings.MaxAttempts == 0 || len(r.attempts)+1 < e.settings.MaxAttempts
	if c.Idempotency == NonIdempotent || !hasMore || r.BodyTimeout != 0 ||
		l.samples < minBatchSamples || e.overload.occupancy >= highOccupancy {
		return timeout
	}
	slow := time.Duration((l.mean + slowAttemptDeviations*l.deviation) * float64(time.Second))
	slow = max(slow, c.LatencyObjective/4)
	if e.settings.AllowsHedging {
		e.actions.SetTimer(timerToken(timerHedge, r.number), slow)
		return timeout
	}
	if slow < timeout/2 && slow < c.LatencyObjective {
		return slow
	}
	return timeout
}

// retry sends a further attempt if one is legal, affordable and of use.
func (e *Engine) retry(r *request) bool {
	mean := time.Duration(e.latencies.classes[r.class].mean * float64(time.Second))
	if !e.retries.allows() || e.now+mean > r.deadline {
		return false
	}
	s := e.selectServer(r)
	if s == nil {
		return false
	}
	e.retries.spend()
	e.startAttempt(r, s)
	return true
}

// mayHedge reports whether a second attempt of a request may be in flight now. It must not push the
// customer's next request beyond its limit.
func (e *Engine) mayHedge(r *request) bool {
	if r.isAnswered || r.isStreaming || r.inFlight != 1 || e.overload.occupancy >= highOccupancy {
		return false
	}
	limit := e.settings.Plans[r.quota.plan].MaxInFlight
	return limit == 0 || e.inFlightCapacity(r.quota) > r.quota.instanceCount
}

// finish gives the final answer: a rejection where its promise holds.
func (e *Engine) finish(r *request) {
	if r.isAnswered {
		return
	}
	if e.mayReject(r) {
		e.reject(r.ID, rejection{rejectAttemptsSpent, assessmentInterval})
	} else {
		e.actions.FailRequest(r.ID)
	}
	e.closeRequest(r)
	e.cancelAttempts(r)
}

// neverExecuted tells which results prove that the attempt did not run.
func neverExecuted(r Result) bool { return r == RejectedByServer || r == ConnectFailed || r == NotSent }
