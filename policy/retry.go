package policy

import "time"

const (
	slowAttemptDeviations       = 10 // an attempt is slow from this many mean deviations above the mean latency
	slowAttemptObjectiveDivisor = 4  // but not before the latency objective divided by this
)

// mayAttempt reports whether a further attempt of the request may be sent to the server: no request runs twice unless
// its class allows it.
func mayAttempt(now time.Duration, r *request, s *server, settings *Settings) bool {
	if r.isAnswered || r.isStreaming || r.inFlight > 0 && !settings.AllowsHedging ||
		settings.MaxAttempts > 0 && len(r.attempts) >= settings.MaxAttempts {
		return false
	}
	class := settings.classOf(r)
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverExecuted && !mayRepeat(now, class, a, s, settings) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether an attempt that may have run already may be repeated at the server.
func mayRepeat(now time.Duration, class *Class, a *attempt, s *server, settings *Settings) bool {
	switch class.Idempotency {
	case Idempotent:
		return true
	case NonIdempotent:
		return false
	}
	return now-a.sentAt <= repeatWindow(class, settings) && class.sharesDedupScope(a, s)
}

// repeatWindow returns how long after an attempt it may be repeated with its idempotency key. It is shorter than the
// deduplication window, since a repeat arrives later than it is sent, when the key may have been dropped.
func repeatWindow(class *Class, settings *Settings) time.Duration {
	return class.DedupWindow - 2*settings.MinEventInterval - settings.ConnectTimeout
}

// sharesDedupScope reports whether the server is in the deduplication scope of an attempt, so that it recognizes the
// idempotency key.
func (c *Class) sharesDedupScope(a *attempt, s *server) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.zone == s.Zone
	case DedupCell:
		return a.cell == s.Cell
	}
	return true
}

// mayReject reports whether a request with these attempts may be rejected, which states to its client that a retry is
// safe.
func mayReject(class *Class, attempts []attempt) bool {
	hasGlobalDedup := class.Idempotency == IdempotentWithKey && class.DedupScope == DedupAllServers
	if class.Idempotency == Idempotent || hasGlobalDedup {
		return true
	}
	for i := range attempts {
		if !attempts[i].neverExecuted {
			return false
		}
	}
	return true
}

// neverExecuted reports whether a result proves that the attempt did not run.
func neverExecuted(result Result) bool {
	return result == RejectedByServer || result == ConnectFailed || result == NotSent
}

// mayRetryInTime reports whether a retry is expected to be answered before the deadline, given the class's mean latency
// in seconds.
func (r *request) mayRetryInTime(now time.Duration, meanLatency float64) bool {
	return now+time.Duration(meanLatency*float64(time.Second)) <= r.deadline
}

// attemptPlan is the timeout of an attempt, and whether and when it is hedged.
type attemptPlan struct {
	timeout    time.Duration
	isHedged   bool          // a hedged request may follow
	hedgeAfter time.Duration // if isHedged: delay of the hedged request
}

// planAttempt returns the plan of a request's next attempt. If the request may be repeated and occupancy is not high, a
// slow attempt is hedged where hedging is allowed; otherwise it times out early so that a retry can follow.
func planAttempt(
	now time.Duration, r *request, latency *classLatency, isHighlyOccupied bool, settings *Settings,
) attemptPlan {
	class := settings.classOf(r)
	timeout := max(r.deadline-now, settings.MinEventInterval)
	hasMoreAttempts := settings.MaxAttempts == 0 || len(r.attempts)+1 < settings.MaxAttempts
	if class.Idempotency == NonIdempotent || !hasMoreAttempts || r.BodyTimeout != 0 ||
		latency.samples < minBatchSamples || isHighlyOccupied {
		return attemptPlan{timeout: timeout}
	}
	slow := max(latency.slowThreshold(), class.LatencyObjective/slowAttemptObjectiveDivisor)
	switch {
	case settings.AllowsHedging:
		return attemptPlan{timeout: timeout, isHedged: true, hedgeAfter: slow}
	case slow < timeout/2 && slow < class.LatencyObjective:
		return attemptPlan{timeout: slow}
	}
	return attemptPlan{timeout: timeout}
}

// slowThreshold returns the duration from which an attempt of the class is slow.
func (c *classLatency) slowThreshold() time.Duration {
	return time.Duration((c.mean + slowAttemptDeviations*c.deviation) * float64(time.Second))
}

// mayHedge reports whether a hedged request may be sent now.
func (r *request) mayHedge(isHighlyOccupied bool) bool {
	return !r.isAnswered && !r.isStreaming && r.inFlight == 1 && !isHighlyOccupied
}
