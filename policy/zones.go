package policy

import (
	"iter"
	"time"
)

// ZoneLimits are this node's limits for a zone, where the nodes agree on what each may send to its servers.
type ZoneLimits struct {
	IsRemote          bool    // its servers are gateways of another site, which need no slow start
	WarmServerRate    float64 // seconds of work per second that this node may send a warm server of unit weight
	InFlightFraction  float64 // this node's fraction, 0 to 1, of the attempts that may be in flight there
	RemoteServerCount float64 // with IsRemote: warm servers of that site; 0: not known
}

// zoneState is a zone with limits, and what is measured of it. Invariant: servers is 0 if none accepts requests. The
// counts are reset at the end of each sample or by [Engine.ColdServerWork].
type zoneState struct {
	ZoneLimits
	isOverloaded bool    // for the request being handled
	servers      float64 // available ones as of the last sample, each counted as its capacity fraction

	warmWork     float64 // work that warm servers completed in the open sample, in seconds
	warmRate     float64 // such work per second and unit of weight, moving average
	responses    float64 // good responses in the open sample
	responseRate float64 // good responses per second, moving average

	sentWork  float64 // seconds of work sent to cold servers since the last call of ColdServerWork
	unmetWork float64 // seconds of work for which they had no budget, likewise
}

// SetZoneLimits sets a zone's limits. They replace the engine's own estimate for cold servers, and the bound on work in
// flight becomes one for each zone. The host sets them for all zones or none, and again after each change; if it no
// longer knows them, it sets a rate of 0.
func (e *Engine) SetZoneLimits(name string, limits ZoneLimits) {
	zone := e.zones[name]
	if zone == nil {
		zone = &zoneState{responseRate: e.load.responseRate / float64(len(e.zones)+1)}
		e.zones[name] = zone
		e.countZoneServers(name, zone)
	}
	zone.ZoneLimits = limits
}

// RemoveZoneLimits removes the limits of a zone.
func (e *Engine) RemoveZoneLimits(name string) { delete(e.zones, name) }

// availableServers yields the servers of a zone that accept requests and are not unresponsive, with the capacity
// fraction of each.
func (e *Engine) availableServers(zone string) iter.Seq2[*server, float64] {
	return func(yield func(*server, float64) bool) {
		for _, s := range e.servers.list {
			if s.Zone != zone || !s.acceptsRequests() || s.isUnresponsive {
				continue
			}
			if !yield(s, e.capacityFraction(s)) {
				return
			}
		}
	}
}

// zoneInFlight returns the attempts in flight at servers of a zone that are not unresponsive.
func (e *Engine) zoneInFlight(zone string) (inFlight float64) {
	for _, s := range e.servers.list {
		if s.Zone == zone && !s.isUnresponsive {
			inFlight += float64(s.inFlight)
		}
	}
	return inFlight
}

// countZoneServers updates the number of available servers of a zone.
func (e *Engine) countZoneServers(name string, zone *zoneState) {
	zone.servers = 0
	for _, capacity := range e.availableServers(name) {
		zone.servers += capacity
	}
	if zone.IsRemote && zone.servers > 0 && zone.RemoteServerCount > 0 {
		zone.servers = zone.RemoteServerCount
	}
}

// ColdServerWork returns, for the cold servers of a zone, the sum of their weights times capacity fractions; the
// seconds of work sent to them since the last call; and the seconds of work for which they had no budget since then.
func (e *Engine) ColdServerWork(now time.Duration, zone string) (servers, sent, unmet float64) {
	e.now = now
	for s, capacity := range e.availableServers(zone) {
		if capacity < 1 {
			servers += s.weight() * capacity
		}
	}
	if z := e.zones[zone]; z != nil {
		sent, unmet = z.sentWork, z.unmetWork
		z.sentWork, z.unmetWork = 0, 0
	}
	return servers, sent, unmet
}

// WarmServerLoad returns, for a zone with limits, the seconds of work per second that this node sends to a warm
// server of unit weight, and the mean utilization that the warm servers report; negative if none does.
func (e *Engine) WarmServerLoad(now time.Duration, zone string) (rate, utilization float64) {
	e.now = now
	reports := 0.0
	for _, s := range e.servers.list {
		if s.Zone != zone || !s.acceptsRequests() || e.capacityFraction(s) < 1 {
			continue
		}
		if s.utilization >= 0 && now-s.reportedAt < decayTime {
			utilization += s.utilization
			reports++
		}
	}
	if z := e.zones[zone]; z != nil {
		rate = z.warmRate
	}
	if reports == 0 {
		return rate, -1
	}
	return rate, utilization / reports
}

// updateZoneRates updates each zone's rates with the counts of a sample.
func (e *Engine) updateZoneRates() {
	for name, zone := range e.zones {
		var weight float64
		for s, capacity := range e.availableServers(name) {
			if capacity >= 1 {
				weight += s.weight()
			}
		}
		zone.updateRates(weight)
		e.countZoneServers(name, zone)
	}
}

// updateRates closes a sample. The weight is that of the zone's warm servers together.
func (z *zoneState) updateRates(warmWeight float64) {
	if warmWeight > 0 {
		z.warmRate += slowMeanWeight * (z.warmWork/warmWeight/sampleInterval.Seconds() - z.warmRate)
	} else {
		z.warmRate = 0
	}
	z.responseRate += rateWeight * (z.responses/sampleInterval.Seconds() - z.responseRate)
	z.warmWork, z.responses = 0, 0
}

// ZoneCapacity returns the capacity of a zone's available servers, in warm servers of unit weight.
func (e *Engine) ZoneCapacity(now time.Duration, zone string) (capacity float64) {
	e.now = now
	for s, fraction := range e.availableServers(zone) {
		capacity += s.weight() * fraction
	}
	return capacity
}
