package policy

import (
	"math"
)

const youngAttemptFraction = 0.5 // of its latency objective until which an attempt counts as in flight

// reachableInFlight counts the attempts out at servers that are held to be alive, overdue ones aside, and
// these servers, a cold one as the part of one that it is. Of servers outside of its part a gateway knows
// nothing: they are held to be as those of the part are.
func (e *Engine) reachableInFlight() (out, servers float64) {
	out = math.Max(float64(e.inFlight)-e.overdue, 0)
	take, near := 0.0, 0.0
	for _, s := range e.servers {
		if s.isUnresponsive {
			out -= float64(s.inFlight)
		}
		if !s.acceptsRequests() {
			continue
		}
		if take++; s.inSubset {
			near++
			if !s.isUnresponsive && e.now >= s.suspectedUntil {
				servers += e.capacityFraction(s)
			}
		}
	}
	return out, servers * take / math.Max(near, 1)
}

// attemptAges counts the attempts out that were sent less than a share of their class's aim ago, and those
// that are past the aim at servers not known to be lost. Where the gateway keeps to a part it tells the
// unheard ones, in no order.
func (e *Engine) attemptAges(share float64) (younger, overdue float64, waits []unansweredAttempt) {
	for _, r := range e.requests {
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.isDone || a.isStreaming {
				continue
			}
			age, aim := (e.now - a.sentAt).Seconds(), e.settings.Classes[r.class].LatencyObjective.Seconds()
			// One at a server that has said nothing since, for several times as long as answers take, tells
			// of that server and not of work that waits: where a fifth falls silent, the bound would refuse
			// what the others can do.
			silent := !e.usesAllServers() && a.server.lastHeardAt < a.sentAt && age > math.Max(unansweredLatencyFactor*e.latencies.classes[r.class].mean, aim/4)
			if silent {
				waits = append(waits, unansweredAttempt{a, r.number})
			}
			younger += boolToFloat(age < share*aim && !silent)
			overdue += boolToFloat((age > aim || silent) && !a.server.isUnresponsive)
		}
	}
	return younger, overdue, waits
}

// unansweredAttempt is an attempt, of a request by its number, that has been out for several times as long
// as answers take at a server that has said nothing since.
type unansweredAttempt struct {
	*attempt
	requestNumber uint64
}

// unansweredLatencyFactor is the mean latencies after which an attempt at a server that says nothing is no
// work out.
const unansweredLatencyFactor = 3
