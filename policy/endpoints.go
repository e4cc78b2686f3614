package policy

import (
	"math"
	"time"
)

// EndpointsChanged brings the list of servers or changes of it.
func (e *Engine) EndpointsChanged(now time.Duration, form EndpointUpdateKind, entries []Server, out Actions) {
	e.now, e.actions = now, out
	if form == EndpointsUnavailable {
		if e.settings.PollsEndpoints {
			e.actions.SetTimer(timerEndpointPoll, time.Second+time.Duration(e.rng.Int64N(int64(time.Second))))
		}
		return
	}
	if form != EndpointsDelta {
		for _, s := range e.servers {
			s.isListed = false
		}
	}
	for _, listed := range entries {
		s := e.serverByID[listed.ID]
		if s == nil {
			s = &server{latencyRatio: 1, queueLength: -1, warmupBudget: -1, utilization: -1, subsetCorrection: 1, gossipID: gossipIDOf(listed.ID)}
			e.serverByID[listed.ID] = s
			e.servers = append(e.servers, s)
		}
		if s.StartedAt != listed.StartedAt {
			// A restarted server is another one: nothing learned of it holds.
			s.failureRate, s.consecutiveEjections, s.ejectedUntil, s.latencyRatio, s.queueLength, s.warmupBudget, s.isUnresponsive = 0, 0, 0, 1, -1, -1, false
			s.expectedConnections = 0
		}
		s.Server, s.isListed = listed, listed.State != Removed
		e.latencies.addKind(listed.Kind)
	}
	e.updateServers()
}

// updateServers drops servers that are gone and holds what the list says of all that are up.
func (e *Engine) updateServers() {
	kept := e.servers[:0]
	e.maxServerWeight, e.weightsDiffer = 0, false
	for _, s := range e.servers {
		if !s.isListed && s.inFlight == 0 {
			delete(e.serverByID, s.ID)
			continue
		}
		kept = append(kept, s)
		if s.acceptsRequests() {
			e.weightsDiffer = e.weightsDiffer || e.maxServerWeight > 0 && e.serverWeight(s) != e.maxServerWeight
			e.maxServerWeight = math.Max(e.maxServerWeight, e.serverWeight(s))
		}
	}
	e.servers = kept
	e.formSubset()
}
