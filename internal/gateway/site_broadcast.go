package gateway

import (
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// siteBroadcast adds this instance's reports on the sites to a message for the other instances. It takes the load and
// capacity of the sites' servers from the engine.
type siteBroadcast struct {
	*siteCoordinator
	engine   *policy.Engine
	settings *policy.Settings
	sites    map[string]siteWatch // the sites whose servers the instance knows, by name
}

// addReports adds this instance's reports on the sites' health, the recovery ramps and the confirmation of key owners
// to a message. fence returns this member's fence index: see [multisite.QuorumConfirmation].
func (b *siteBroadcast) addReports(now time.Duration, message *multisite.Message, fence func() uint64) {
	if b.health != nil {
		b.recordCapacities(now)
		message.Views = b.health.Views(now)
	}
	if b.ramp != nil && b.health != nil {
		ramp := b.updateRecoveryRamp(now)
		message.Ramp = &ramp
	}
	if b.confirmation != nil {
		confirmation := b.confirmation.NextBroadcast(now, fence())
		message.Confirmation = &confirmation
		b.confirmByQuorum()
	}
}

// recordCapacities passes the capacity of the servers that this instance reaches directly to the health monitor.
func (b *siteBroadcast) recordCapacities(now time.Duration) {
	for site := range b.sites {
		if b.relay.isRemote(site) {
			b.health.SetRemote(site, true)
		} else {
			b.health.RecordCapacity(site, b.engine.ZoneCapacity(now, site))
		}
	}
}

// updateRecoveryRamp limits the engine to this instance's share of the sites' recovery ramps, and returns the message
// on the ramps for the other instances.
func (b *siteBroadcast) updateRecoveryRamp(now time.Duration) multisite.RampMessage {
	message := b.ramp.NextBroadcast(now, b.recordWarmUp(now))
	for site := range b.sites {
		b.engine.SetZoneLimits(site, b.zoneLimits(now, site))
	}
	return message
}

// recordWarmUp passes the load of the cold servers at this instance's own sites to the ramps, and returns the load of
// the warm ones.
func (b *siteBroadcast) recordWarmUp(now time.Duration) (loads []multisite.WarmServerLoad) {
	for site := range b.sites {
		if b.relay.isRemote(site) { // only its own instances know which of its servers are cold
			continue
		}
		if rate, utilization := b.engine.WarmServerLoad(now, site); rate > 0 {
			loads = append(loads, multisite.WarmServerLoad{Site: site, Rate: rate, Utilization: utilization})
		}
		weight, sent, rejected := b.engine.ColdServerWork(now, site)
		load := multisite.WarmingServersLoad{ServerWeight: weight, SentWork: sent, RejectedWork: rejected}
		b.ramp.RecordWarmingServersLoad(now, site, load)
	}
	return loads
}

// zoneLimits decides the engine's limits for the servers of a site: for a remote site, an equal fraction among all
// instances; for a site that this instance reaches directly, its share of the recovery ramp and an equal fraction among
// the instances that reach the site directly.
func (b *siteBroadcast) zoneLimits(now time.Duration, site string) policy.ZoneLimits {
	serverCount, directInstances := b.health.Capacity(now, site)
	if b.relay.isRemote(site) {
		share := 1 / float64(b.settings.InstanceCount)
		return policy.ZoneLimits{IsRemote: true, RemoteServerCount: serverCount, InFlightFraction: share}
	}
	capacity, share := b.ramp.WarmServerCapacity(now, site), b.ramp.Share(now, site)
	return policy.ZoneLimits{
		RemoteServerCount: serverCount,
		WarmServerRate:    warmServerRate(capacity, share, b.settings.ColdBudgetMultiple()),
		InFlightFraction:  1 / float64(max(directInstances, 1)),
	}
}

// coldBudgetFactor is the multiple of a cold server's capacity that all instances together send it at most. The
// engine's budget can save up half as much again, and the total must not overload the server.
const coldBudgetFactor = 1.4

// warmServerRate returns the rate of a warm server from which the engine derives the budget for cold servers: this
// instance's share of a warm server's capacity, scaled so that with the engine's own multiple all instances together
// stay within coldBudgetFactor. capacity and the result are in seconds of work per second; share is from 0 to 1.
func warmServerRate(capacity, share, engineMultiple float64) float64 {
	factor := coldBudgetFactor / engineMultiple
	return factor * capacity * share
}
