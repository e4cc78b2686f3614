package policy

import "math"

const (
	// youngAttemptFraction is the age, as a fraction of its latency objective, up to which an attempt counts in the
	// fleet's means.
	youngAttemptFraction = 0.5
	// An attempt is unanswered from an age of this many mean latencies, and not before the latency objective divided by
	// unansweredObjectiveDivisor.
	unansweredLatencyFactor    = 3
	unansweredObjectiveDivisor = 4
)

// attemptAges counts the attempts in flight by their age.
type attemptAges struct {
	young      float64             // sent less than a fraction of their class's latency objective ago
	overdue    float64             // past the objective, at servers not known to be unresponsive
	unanswered []unansweredAttempt // in no order; only with a subset
}

// unansweredAttempt is an attempt that has been in flight for several times the mean latency, at a server that has
// sent no response of any kind meanwhile.
type unansweredAttempt struct {
	*attempt
	requestNumber uint64
}

// reachableInFlight returns the attempts in flight at servers considered up, without overdue ones, and the number of
// these servers, in which one that warms up counts as its capacity fraction. Servers outside of the subset are assumed
// to be up in the same proportion as its members.
func (e *Engine) reachableInFlight() (inFlight, servers float64) {
	inFlight = math.Max(float64(e.load.inFlight)-e.load.overdue, 0)
	accepting, inSubset := 0.0, 0.0
	for _, s := range e.servers.list {
		if s.isUnresponsive {
			inFlight -= float64(s.inFlight)
		}
		if !s.acceptsRequests() {
			continue
		}
		accepting++
		if !s.inSubset {
			continue
		}
		inSubset++
		if !s.isSuspected(e.now) {
			servers += e.capacityFraction(s)
		}
	}
	return inFlight, servers * accepting / math.Max(inSubset, 1)
}

// measureAttemptAges counts the attempts in flight by their age. Attempts whose body or response is being streamed are
// left out.
func (e *Engine) measureAttemptAges(youngFraction float64) (ages attemptAges) {
	for _, r := range e.requests.byID {
		objective := e.classOf(r).LatencyObjective.Seconds()
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.isDone || a.isStreaming {
				continue
			}
			age := (e.now - a.sentAt).Seconds()
			isUnanswered := e.isUnanswered(r, a, age)
			if isUnanswered {
				ages.unanswered = append(ages.unanswered, unansweredAttempt{a, r.number})
			}
			ages.young += boolToFloat(age < youngFraction*objective && !isUnanswered)
			ages.overdue += boolToFloat((age > objective || isUnanswered) && !a.server.isUnresponsive)
		}
	}
	return ages
}

// isUnanswered reports whether an attempt is evidence of a server that has failed rather than of queued work: it has
// waited for several mean latencies, and the server has sent nothing since. If such attempts counted as load, the bound
// on work in flight would reject requests that the remaining servers can take.
func (e *Engine) isUnanswered(r *request, a *attempt, age float64) bool {
	if e.usesAllServers() || a.server.lastHeardAt >= a.sentAt {
		return false
	}
	objective := e.classOf(r).LatencyObjective.Seconds()
	return age > math.Max(unansweredLatencyFactor*e.latencyOf(r).mean, objective/unansweredObjectiveDivisor)
}
