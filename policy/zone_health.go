package policy

import (
	"cmp"
	"slices"
	"time"
)

// Zones are watched by nodes with a subset only: nodes that use all servers learn of each server soon enough.

// zoneSuspicionTTL is how long the servers of a zone are suspected after each evaluation that finds it down.
const zoneSuspicionTTL = 2 * sampleInterval

// observeZoneResponse records in the zone's health that a server responded.
func (e *Engine) observeZoneResponse(s *server) {
	if !e.usesAllServers() {
		e.zoneWatch.ObserveResponse(s.Zone, e.now)
	}
}

// observeZoneFailure records in the zone's health that a server did not answer what was sent at a time.
func (e *Engine) observeZoneFailure(s *server, sentAt time.Duration) {
	if !e.usesAllServers() {
		e.zoneWatch.ObserveFailure(s.Zone, uint64(s.gossipID), sentAt, e.now)
	}
}

// observeZoneFinding records in the zone's health a peer's finding of a server in this node's subset.
func (e *Engine) observeZoneFinding(s *server, from int, finding serverFinding) {
	if finding.isUp {
		e.zoneWatch.ObservePeerResponse(s.Zone, from, e.now)
	} else {
		e.zoneWatch.ObservePeerFailure(s.Zone, uint64(s.gossipID), from, e.now)
	}
}

// updateZoneHealth evaluates each zone, with the unanswered attempts as evidence, and suspects the servers of zones
// that are down: they get no request while others can serve it, and do not count in the bound on work in flight.
func (e *Engine) updateZoneHealth(unanswered []unansweredAttempt) {
	if e.usesAllServers() {
		return
	}
	slices.SortStableFunc(unanswered, func(a, b unansweredAttempt) int { // reproducible, unlike the map's order
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
			s.suspectedUntil = max(s.suspectedUntil, e.now+zoneSuspicionTTL)
		}
	}
	e.zoneWatch.RetainZones(isDown)
}

// isZoneDown reports whether a zone is down, and logs when it has just been found so.
func (e *Engine) isZoneDown(zone string) bool {
	isDown, isNew := e.zoneWatch.Evaluate(zone, e.now)
	if isNew {
		e.actions.Log(ZoneUnresponsive{Zone: zone})
	}
	return isDown
}
