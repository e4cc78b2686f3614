package policy

import (
	"math"
)

const youngAttemptFraction = 0.5 // of its latency objective until which an attempt counts as in flight

// unansweredLatencyFactor is how many mean latencies after which an attempt at a server that has said nothing
// since is no work in flight.
const unansweredLatencyFactor = 3

// attemptAges is what the ages of the attempts in flight tell.
type attemptAges struct {
	young      float64             // sent less than a fraction of their class's latency objective ago
	overdue    float64             // past the objective, at servers not known to be unresponsive
	unanswered []unansweredAttempt // in no order; only with a subset
}

// unansweredAttempt is an attempt, of a request by its number, that has been in flight for several times as
// long as responses take, at a server that has said nothing since.
type unansweredAttempt struct {
	*attempt
	requestNumber uint64
}

// reachableInFlight counts the attempts in flight at servers that are held to be up, overdue ones aside, and
// these servers, a cold one as the fraction of one that it is. Of servers outside of its subset a node knows
// nothing: they are held to be as those of the subset are.
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

// attemptAges looks at the ages of the attempts in flight.
func (e *Engine) attemptAges(youngFraction float64) (ages attemptAges) {
	for _, r := range e.requests.byID {
		objective := e.settings.Classes[r.class].LatencyObjective.Seconds()
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

// isUnanswered reports whether an attempt tells of its server and not of work that waits: the server has said
// nothing since, for several times as long as responses take. Where a fifth of the servers falls silent, the
// bound on work in flight would reject what the others can do.
func (e *Engine) isUnanswered(r *request, a *attempt, age float64) bool {
	if e.usesAllServers() || a.server.lastHeardAt >= a.sentAt {
		return false
	}
	mean := e.latencies.classes[r.class].mean
	objective := e.settings.Classes[r.class].LatencyObjective.Seconds()
	return age > math.Max(unansweredLatencyFactor*mean, objective/4)
}
