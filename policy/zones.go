package policy

import (
	"iter"
	"time"
)

// ZoneLimits is what a host tells of a zone where nodes share out what its servers may be sent.
type ZoneLimits struct {
	IsRemote          bool    // its servers are gateways of another site, which need no slow start
	WarmServerRate    float64 // of one of unit weight: seconds of work a second, this node's part
	InFlightFraction  float64 // this node's part of the attempts that may be in flight there
	RemoteServerCount float64 // with IsRemote: warm servers behind them all; 0: not known
}

// zoneState is a zone that a host has told of, and what came of it. Invariant: servers is 0 where none accepts
// requests; the counts begin anew with each sample or each call of [Engine.ColdServerWork].
type zoneState struct {
	ZoneLimits
	isOverloaded bool    // as of the request in hand
	servers      float64 // warm ones, as of the last sample; a cold one as the fraction of one that it is

	warmWork     float64 // work answered by warm servers in this sample
	warmRate     float64 // a second and unit of weight, moving average
	responses    float64 // in this sample
	responseRate float64 // a second, moving average

	sentWork  float64 // to cold servers, since the last call of ColdServerWork
	unmetWork float64 // for which they had no budget, likewise
}

// SetZoneLimits tells of a zone. For its cold servers the engine goes by the limits told instead of its own
// estimate, and the bound on work in flight is the zone's own. It is to be told of all zones or none, again
// whenever a figure changes; a host that has nothing to go by any more tells of a rate of 0.
func (e *Engine) SetZoneLimits(name string, limits ZoneLimits) {
	zone := e.zones[name]
	if zone == nil {
		zone = &zoneState{responseRate: e.load.responseRate / float64(len(e.zones)+1)}
		e.zones[name] = zone
		e.countZoneServers(name, zone)
	}
	zone.ZoneLimits = limits
}

// RemoveZoneLimits forgets a zone.
func (e *Engine) RemoveZoneLimits(name string) { delete(e.zones, name) }

// availableServers yields the servers of a zone that accept requests and respond, with their fraction of
// capacity.
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

// zoneInFlight counts the attempts in flight at servers of a zone that are held to be up.
func (e *Engine) zoneInFlight(zone string) (inFlight float64) {
	for _, s := range e.servers.list {
		if s.Zone == zone && !s.isUnresponsive {
			inFlight += float64(s.inFlight)
		}
	}
	return inFlight
}

// countZoneServers counts the servers of a zone that accept requests and respond.
func (e *Engine) countZoneServers(name string, zone *zoneState) {
	zone.servers = 0
	for _, capacity := range e.availableServers(name) {
		zone.servers += capacity
	}
	if zone.IsRemote && zone.servers > 0 && zone.RemoteServerCount > 0 {
		zone.servers = zone.RemoteServerCount
	}
}

// ColdServerWork returns the capacity of the cold servers of a zone, by weight; the work that was sent to them
// since it was last called, in seconds; and the work for which they had no budget.
func (e *Engine) ColdServerWork(now time.Duration, zone string) (servers, sent, short float64) {
	e.now = now
	for s, capacity := range e.availableServers(zone) {
		if capacity < 1 {
			servers += s.weight() * capacity
		}
	}
	if z := e.zones[zone]; z != nil {
		sent, short = z.sentWork, z.unmetWork
		z.sentWork, z.unmetWork = 0, 0
	}
	return servers, sent, short
}

// WarmServerLoad returns the work a second that this node sends to a warm server of unit weight in a zone that
// it was told of by [Engine.SetZoneLimits], and the utilization that those there report, on average; below 0:
// none does.
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

// updateZoneRates takes what was counted in a sample into each zone's rates.
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

// updateRates ends a sample, in which warm servers of some weight together were available.
func (z *zoneState) updateRates(warmWeight float64) {
	if warmWeight > 0 {
		z.warmRate += slowMeanWeight * (z.warmWork/warmWeight/sampleInterval.Seconds() - z.warmRate)
	} else {
		z.warmRate = 0
	}
	z.responseRate += rateWeight * (z.responses/sampleInterval.Seconds() - z.responseRate)
	z.warmWork, z.responses = 0, 0
}

// ZoneCapacity is how many warm servers of unit weight those of a zone are worth that accept requests and
// respond.
func (e *Engine) ZoneCapacity(now time.Duration, zone string) (capacity float64) {
	e.now = now
	for s, fraction := range e.availableServers(zone) {
		capacity += s.weight() * fraction
	}
	return capacity
}
