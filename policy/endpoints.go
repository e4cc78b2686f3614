package policy

import (
	"math"
	"time"
)

// EndpointsChanged brings the endpoint list or changes of it.
func (e *Engine) EndpointsChanged(now time.Duration, kind EndpointUpdateKind, entries []Server, out Actions) {
	e.now, e.actions = now, out
	if kind == EndpointsUnavailable {
		if e.settings.PollsEndpoints {
			delay := time.Second + e.randomDelay(time.Second)
			e.actions.SetTimer(timerToken(timerEndpointPoll, 0), delay)
		}
		return
	}
	if kind != EndpointsDelta {
		for _, s := range e.servers {
			s.isListed = false
		}
	}
	for _, listed := range entries {
		s := e.serverByID[listed.ID]
		if s == nil {
			s = newServer(listed.ID)
			e.serverByID[listed.ID] = s
			e.servers = append(e.servers, s)
		}
		s.update(listed)
		e.latencies.addKind(listed.Kind)
	}
	e.updateServers()
}

// updateServers drops servers that are gone, weighs those that accept requests and forms the subset of them.
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
			e.weightsDiffer = e.weightsDiffer || e.maxServerWeight > 0 && s.weight() != e.maxServerWeight
			e.maxServerWeight = math.Max(e.maxServerWeight, s.weight())
		}
	}
	e.servers = kept
	e.formSubset()
}
