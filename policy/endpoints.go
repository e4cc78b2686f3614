package policy

import "time"

// EndpointsChanged delivers the endpoint list or changes of it.
func (e *Engine) EndpointsChanged(now time.Duration, kind EndpointUpdateKind, entries []Server, actions Actions) {
	e.beginEvent(now, actions)
	if kind == EndpointsUnavailable {
		if e.settings.PollsEndpoints {
			delay := time.Second + e.randomDelay(time.Second)
			e.actions.SetTimer(timerToken(timerEndpointPoll, 0), delay)
		}
		return
	}
	for _, entry := range entries {
		e.latencies.addKind(entry.Kind)
	}
	e.servers.update(kind, entries)
	e.formSubset()
}
