package policy

import (
	"cmp"
	"slices"
	"time"
)

// zoneResponded and failedZone take in what was met at one server of a zone, for the watch over all of it.
func (e *Engine) zoneResponded(s *server) {
	if !e.usesAllServers() {
		e.zoneWatch.Heard(s.Zone, e.now)
	}
}

func (e *Engine) zoneFailed(s *server, sent time.Duration) {
	if !e.usesAllServers() {
		e.zoneWatch.Failed(s.Zone, uint64(s.gossipID), sent, e.now)
	}
}

// zoneReported takes in what a peer says of a server of this gateway's part.
func (e *Engine) zoneReported(s *server, from int, up bool) {
	if up {
		e.zoneWatch.Met(s.Zone, from, e.now)
	} else {
		e.zoneWatch.Told(s.Zone, uint64(s.gossipID), from, e.now)
	}
}

// updateZoneHealth puts in doubt the servers of zones that seem to be lost, so that they get no request
// while others will do, and the bound on work out counts without them. It goes by the attempts that ages
// found unheard.
func (e *Engine) updateZoneHealth(waits []unansweredAttempt) {
	if e.usesAllServers() {
		return
	}
	slices.SortStableFunc(waits, func(a, b unansweredAttempt) int { return cmp.Compare(a.requestNumber, b.requestNumber) }) // not in a map's order
	for _, w := range waits {
		e.zoneWatch.Waits(w.zone, uint64(w.server.gossipID), w.sentAt, e.now)
	}
	seen := map[string]bool{}
	for _, s := range e.subset {
		down, ok := seen[s.Zone]
		if !ok {
			var found bool
			if down, found = e.zoneWatch.Down(s.Zone, e.now); found {
				e.actions.Log("zone " + s.Zone + " is silent: its servers are held to be lost until one answers")
			}
			seen[s.Zone] = down
		}
		if down {
			s.suspectedUntil = max(s.suspectedUntil, e.now+2*sampleInterval)
		}
	}
	e.zoneWatch.Keep(seen)
}
