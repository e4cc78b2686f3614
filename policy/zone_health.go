package policy

import (
	"cmp"
	"slices"
	"time"
)

// The watch over whole zones is kept by nodes with a subset alone: those that see all servers need none.

// zoneSuspicion is how long a lost zone's servers are suspected for, unless the watch renews it.
const zoneSuspicion = 2 * sampleInterval

// zoneResponded takes in that a server of a zone responded.
func (e *Engine) zoneResponded(s *server) {
	if !e.usesAllServers() {
		e.zoneWatch.ObserveResponse(s.Zone, e.now)
	}
}

// zoneFailed takes in that something sent to a server of a zone came to nothing.
func (e *Engine) zoneFailed(s *server, sent time.Duration) {
	if !e.usesAllServers() {
		e.zoneWatch.ObserveFailure(s.Zone, uint64(s.gossipID), sent, e.now)
	}
}

// zoneReported takes in what a peer says of a server of this node's subset.
func (e *Engine) zoneReported(s *server, from int, finding serverFinding) {
	if finding.isUp {
		e.zoneWatch.ObservePeerResponse(s.Zone, from, e.now)
	} else {
		e.zoneWatch.ObservePeerFailure(s.Zone, uint64(s.gossipID), from, e.now)
	}
}

// updateZoneHealth suspects the servers of zones that seem to be lost, so that they get no request while others
// will do, and the bound on work in flight counts without them. It goes by the unanswered attempts.
func (e *Engine) updateZoneHealth(unanswered []unansweredAttempt) {
	if e.usesAllServers() {
		return
	}
	slices.SortStableFunc(unanswered, func(a, b unansweredAttempt) int { // not in a map's order
		return cmp.Compare(a.requestNumber, b.requestNumber)
	})
	for _, a := range unanswered {
		e.zoneWatch.ObserveSlowAttempt(a.zone, uint64(a.server.gossipID), a.sentAt, e.now)
	}
	isDown := map[string]bool{} // by zone
	for _, s := range e.subset.members {
		if _, isKnown := isDown[s.Zone]; !isKnown {
			isDown[s.Zone] = e.isZoneDown(s.Zone)
		}
		if isDown[s.Zone] {
			s.suspectedUntil = max(s.suspectedUntil, e.now+zoneSuspicion)
		}
	}
	e.zoneWatch.RetainZones(isDown)
}

// isZoneDown asks the watch, and logs what it has just found.
func (e *Engine) isZoneDown(zone string) bool {
	isDown, isNew := e.zoneWatch.Evaluate(zone, e.now)
	if isNew {
		e.actions.Log(ZoneUnresponsive{Zone: zone})
	}
	return isDown
}
