package policy

import (
	"iter"
	"math"
	"time"

	"mulleinmux/policy/overload"
)

// ZoneLimits are this node's limits for a zone, if the nodes agree on what each of them may send to the zone's servers.
type ZoneLimits struct {
	IsRemote          bool    // its servers are gateways of another site, which need no slow start
	WarmServerRate    float64 // seconds of work per second that this node may send a warm server of unit weight
	InFlightFraction  float64 // this node's fraction, 0 to 1, of the attempts that may be in flight at its servers
	RemoteServerCount float64 // with IsRemote: warm servers of that site; 0: not known
}

// zoneState holds the limits and the measurements of a zone. Invariant: availableServers is 0 if no server accepts
// requests. The counts of throughput are reset at the end of each sample, sentWork and unmetWork by
// [Engine.ColdServerWork].
type zoneState struct {
	ZoneLimits
	throughput
	isOverloaded     bool    // for the request being handled
	availableServers float64 // as of the last sample, each server counted as its capacity fraction

	sentWork  float64 // seconds of work sent to cold servers since the last call of ColdServerWork
	unmetWork float64 // seconds of work for which cold servers had no budget since then
}

// countServers updates availableServers.
func (z *zoneState) countServers(available iter.Seq2[*server, float64]) {
	z.availableServers = 0
	for _, capacity := range available {
		z.availableServers += capacity
	}
	if z.IsRemote && z.availableServers > 0 && z.RemoteServerCount > 0 {
		z.availableServers = z.RemoteServerCount
	}
}

// updateRates updates the zone's rates at the end of a sample. Unlike a node's warm rate, that of a zone without warm
// servers is 0.
func (z *zoneState) updateRates(available iter.Seq2[*server, float64]) {
	var warmWeight float64
	for s, capacity := range available {
		if capacity >= 1 {
			warmWeight += s.weight()
		}
	}
	if warmWeight <= 0 {
		z.warmRate = 0
	}
	z.closeSample(warmWeight, rateWeight)
}

// isOverBound reports whether the attempts in flight at the zone's servers have reached the number that the servers
// answer for this node within queueTime, in seconds. The bound is at least a minimum per available server; a zone
// without available servers is always over it.
func (z *zoneState) isOverBound(inFlight, queueTime float64) bool {
	bound := math.Max(z.responseRate*queueTime, overload.MinInFlightPerServer*z.availableServers*z.InFlightFraction)
	return z.availableServers == 0 || inFlight >= bound
}

// zoneTable holds, by name, the zones for which the host has set limits.
type zoneTable map[string]*zoneState

// of returns the zone of a server, or nil.
func (t zoneTable) of(s *server) *zoneState { return t[s.Zone] }

// updateOverload sets isOverloaded of each zone, for server selection. Each zone has its own bound, so that overload of
// one does not leave the others idle. It reports whether the named zone or, for an empty name, every zone is overloaded
// for a queue time in seconds.
func (t zoneTable) updateOverload(zone string, queueTime float64, servers *serverTable) bool {
	areOverloaded := true
	for name, z := range t {
		z.isOverloaded = z.isOverBound(servers.inFlightIn(name), queueTime)
		if zone == "" || zone == name {
			areOverloaded = areOverloaded && z.isOverloaded
		}
	}
	return areOverloaded
}

// updateRates updates the rates and the available servers of each zone at the end of a sample.
func (t zoneTable) updateRates(now time.Duration, servers *serverTable, settings *Settings) {
	for name, zone := range t {
		available := servers.availableIn(name, now, settings)
		zone.updateRates(available)
		zone.countServers(available)
	}
}

// SetZoneLimits sets a zone's limits. Their WarmServerRate replaces the engine's own estimate, from which the warm-up
// budgets of cold servers are derived, and the in-flight bound then applies to each zone by itself. The host sets
// limits for all zones or for none, and sets them again after each change. If it no longer knows the limits, it sets a
// WarmServerRate of 0.
func (e *Engine) SetZoneLimits(name string, limits ZoneLimits) {
	zone := e.zones[name]
	if zone == nil {
		zone = &zoneState{}
		zone.responseRate = e.load.responseRate / float64(len(e.zones)+1)
		e.zones[name] = zone
		zone.countServers(e.servers.availableIn(name, e.now, &e.settings))
	}
	zone.ZoneLimits = limits
}

// RemoveZoneLimits removes the limits of a zone.
func (e *Engine) RemoveZoneLimits(name string) { delete(e.zones, name) }

// ColdServerWork returns, for the cold servers of a zone, the sum of their weights times capacity fractions; the
// seconds of work sent to them since the last call; and the seconds of work for which they had no budget since then.
func (e *Engine) ColdServerWork(now time.Duration, zone string) (servers, sent, unmet float64) {
	e.now = now
	for s, capacity := range e.servers.availableIn(zone, now, &e.settings) {
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
	if z := e.zones[zone]; z != nil {
		rate = z.warmRate
	}
	return rate, e.servers.warmUtilization(zone, now, &e.settings)
}

// ZoneCapacity returns the capacity of a zone's available servers, in warm servers of unit weight.
func (e *Engine) ZoneCapacity(now time.Duration, zone string) (capacity float64) {
	e.now = now
	for s, fraction := range e.servers.availableIn(zone, now, &e.settings) {
		capacity += s.weight() * fraction
	}
	return capacity
}
