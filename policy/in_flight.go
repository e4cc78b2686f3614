package policy

import (
	"math"
	"time"
)

const (
	// youngAttemptFraction is the age, as a fraction of its latency objective, up to which an attempt counts in the
	// fleet's means.
	youngAttemptFraction = 0.5
	// An attempt counts as unanswered from an age of unansweredLatencyFactor mean latencies, but not before the latency
	// objective divided by unansweredObjectiveDivisor.
	unansweredLatencyFactor    = 3
	unansweredObjectiveDivisor = 4
)

// reachableInFlight returns the number of attempts in flight, without overdue attempts and those at unresponsive
// servers, and the number of servers considered up. A server in slow start counts as its capacity fraction. Servers
// outside the subset are assumed to be up in the same proportion as its members.
func (m *loadMeter) reachableInFlight(
	now time.Duration, servers []*server, settings *Settings,
) (inFlight, reachable float64) {
	inFlight = math.Max(float64(m.inFlight)-m.overdue, 0)
	accepting, inSubset := 0.0, 0.0
	for _, s := range servers {
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
		if !s.isSuspected(now) {
			reachable += s.capacityFraction(now, settings)
		}
	}
	return inFlight, reachable * accepting / math.Max(inSubset, 1)
}

// attemptAges counts the attempts in flight by their age.
type attemptAges struct {
	young      float64             // sent less than a fraction of their class's latency objective ago
	overdue    float64             // past the objective or unanswered, at servers not known to be unresponsive
	unanswered []unansweredAttempt // in no order; only measured with a subset
}

// unansweredAttempt is an attempt that has been in flight for several times the mean latency, at a server that has sent
// no response of any kind since the attempt was sent.
type unansweredAttempt struct {
	*attempt
	requestNumber uint64
}

// attemptAgeLimits are the limits of age, in seconds, by which the attempts of a class are counted.
type attemptAgeLimits struct {
	young      float64 // below which an attempt counts as young
	overdue    float64 // above which it is overdue
	unanswered float64 // above which it may be evidence of a failed server
}

// newAttemptAgeLimits returns the limits for a class, by its latency objective and mean latency, in seconds.
func newAttemptAgeLimits(objective, meanLatency float64) attemptAgeLimits {
	return attemptAgeLimits{
		young:      youngAttemptFraction * objective,
		overdue:    objective,
		unanswered: math.Max(unansweredLatencyFactor*meanLatency, objective/unansweredObjectiveDivisor),
	}
}

// measureAges counts the attempts in flight by their age. Attempts whose body or response is being streamed are left
// out. Unanswered attempts count as evidence of failed servers only with a subset.
func (t *requestTable) measureAges(
	now time.Duration, settings *Settings, latencies *latencyTable, hasSubset bool,
) (ages attemptAges) {
	for _, r := range t.byID {
		limits := newAttemptAgeLimits(settings.classOf(r).LatencyObjective.Seconds(), latencies.forRequest(r).mean)
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.isDone || a.isStreaming {
				continue
			}
			age := (now - a.sentAt).Seconds()
			isUnanswered := hasSubset && a.isUnanswered(age, limits)
			if isUnanswered {
				ages.unanswered = append(ages.unanswered, unansweredAttempt{a, r.number})
			}
			ages.young += boolToFloat(age < limits.young && !isUnanswered)
			ages.overdue += boolToFloat((age > limits.overdue || isUnanswered) && !a.server.isUnresponsive)
		}
	}
	return ages
}

// isUnanswered reports whether an attempt of an age in seconds is evidence of a failed server rather than of queued
// work: the server has sent no response since the attempt was sent. If such attempts counted as load, the bound on work
// in flight would reject requests that the remaining servers have capacity for.
func (a *attempt) isUnanswered(age float64, limits attemptAgeLimits) bool {
	return a.server.lastResponseAt < a.sentAt && age > limits.unanswered
}
