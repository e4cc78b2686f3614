package policy

import (
	"time"
)

// ZoneLimits is what a host tells of a zone where gateways share out what its servers may be sent.
type ZoneLimits struct {
	IsRemote          bool    // its servers are gateways of another site, which need no ramp
	WarmServerRate    float64 // this gateway's part of what a warm server of unit weight can take, work a second (seconds of a request served alone)
	InFlightFraction  float64 // this gateway's part of the attempts that may be out there
	RemoteServerCount float64 // with Far: warm servers behind them all; 0: not known
}

// zoneState is a zone that a host has told of, and what came of it.
type zoneState struct {
	ZoneLimits
	isOverloaded            bool    // as of the request under way
	servers                 float64 // warm ones, as of the last probe; a cold one as the part of one that it is
	warmWork                float64 // work answered by warm servers since the last probe
	warmRate                float64 // per second and unit of weight, averaged
	responses, responseRate float64 // answers since the last probe, and per second, averaged
	sentWork, unmetWork     float64 // work sent to cold servers, and work that found no room there, since the last Cold
}

// SetZoneLimits tells of a zone. For its cold servers the gateway goes by the ramp told instead of its own
// estimate, and the bound on work out is the zone's own. It is to be told of all zones or none, again
// whenever a figure changes; a host that has nothing to go by any more tells of a ramp of 0.
func (e *Engine) SetZoneLimits(name string, z ZoneLimits) {
	c := e.zones[name]
	if c == nil {
		c = &zoneState{responseRate: e.responseRate / float64(len(e.zones)+1)}
		e.zones[name] = c
		e.countZoneServers(name, c)
	}
	c.ZoneLimits = z
}

// RemoveZoneLimits forgets a zone.
func (e *Engine) RemoveZoneLimits(name string) { delete(e.zones, name) }

// zoneInFlight counts the attempts out at servers of a zone that are held to be alive.
func (e *Engine) zoneInFlight(zone string) (out float64) {
	for _, s := range e.servers {
		if s.Zone == zone && !s.isUnresponsive {
			out += float64(s.inFlight)
		}
	}
	return out
}

// countZoneServers counts the servers of a zone that take requests and answer.
func (e *Engine) countZoneServers(zone string, c *zoneState) {
	c.servers = 0
	for _, s := range e.servers {
		if s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive {
			c.servers += e.capacityFraction(s)
		}
	}
	if c.IsRemote && c.servers > 0 && c.RemoteServerCount > 0 {
		c.servers = c.RemoteServerCount
	}
}

// ColdServerWork returns what the cold servers of a zone are worth, by weight and warmth; the work that was
// sent to them since it was last called; and the work for which they had no room.
func (e *Engine) ColdServerWork(now time.Duration, zone string) (servers, sent, short float64) {
	e.now = now
	for _, s := range e.servers {
		if w := e.capacityFraction(s); s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive && w < 1 {
			servers += s.weight() * w
		}
	}
	if c := e.zones[zone]; c != nil {
		sent, short = c.sentWork, c.unmetWork
		c.sentWork, c.unmetWork = 0, 0
	}
	return servers, sent, short
}

// WarmServerLoad returns the work a second that this gateway sends to a warm server of unit weight in a
// zone that it was told of by SetZone, and the busy share that those there report, on average; below 0:
// none does.
func (e *Engine) WarmServerLoad(now time.Duration, zone string) (rate, util float64) {
	e.now = now
	n := 0.0
	for _, s := range e.servers {
		if s.Zone == zone && s.acceptsRequests() && e.capacityFraction(s) >= 1 && s.utilization >= 0 && now-s.reportedAt < decayTime {
			util += s.utilization
			n++
		}
	}
	if c := e.zones[zone]; c != nil {
		rate = c.warmRate
	}
	if n == 0 {
		return rate, -1
	}
	return rate, util / n
}

// updateZoneRates learns, once a probe, what a warm server of each zone that was told of takes from this
// gateway.
func (e *Engine) updateZoneRates() {
	for zone, c := range e.zones {
		var weight float64
		for _, s := range e.servers {
			if s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive && e.capacityFraction(s) >= 1 {
				weight += s.weight()
			}
		}
		if weight > 0 {
			c.warmRate += slowMeanWeight * (c.warmWork/weight/sampleInterval.Seconds() - c.warmRate)
		} else {
			c.warmRate = 0
		}
		c.responseRate += rateWeight * (c.responses/sampleInterval.Seconds() - c.responseRate)
		c.warmWork, c.responses = 0, 0
		e.countZoneServers(zone, c)
	}
}

// ZoneCapacity is how many warm servers of unit weight those of a zone are worth that take requests and
// answer.
func (e *Engine) ZoneCapacity(now time.Duration, zone string) (sum float64) {
	e.now = now
	for _, s := range e.servers {
		if s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive {
			sum += s.weight() * e.capacityFraction(s)
		}
	}
	return sum
}
