package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/logging"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// siteWatch follows the service discovery of a site.
type siteWatch struct {
	discovery netip.AddrPort
	stop      context.CancelFunc
}

// watchSites follows the service discovery of these sites and of no others. The servers of a site that is no longer
// there are removed; those of one whose discovery has moved stay until the new one answers. Called under the mutex.
func (in *Instance) watchSites(now time.Duration, sites []Site, out policy.Actions) {
	in.stopWatches(now, sites, out)
	for _, site := range sites {
		if in.siteWatches[site.Name] == nil {
			in.startWatch(now, site, out)
		}
	}
}

// stopWatches ends the watches that these sites do not need, and removes the servers of a site that is not one of
// them. Called under the mutex.
func (in *Instance) stopWatches(now time.Duration, sites []Site, out policy.Actions) {
	wanted := map[string]netip.AddrPort{}
	for _, site := range sites {
		wanted[site.Name] = site.Discovery
	}
	for name, watch := range in.siteWatches {
		addr, isWanted := wanted[name]
		if isWanted && addr == watch.discovery {
			continue
		}
		if !isWanted {
			in.applyEndpoints(now, name, discovery.EndpointList{IsComplete: true}, out)
			in.engine.RemoveZoneLimits(name)
			delete(in.serversBySite, name)
		}
		watch.stop()
		delete(in.siteWatches, name)
	}
}

// startWatch follows the service discovery of a site. A remote one has none: its servers are its instances, which the
// configuration lists. Called under the mutex.
func (in *Instance) startWatch(now time.Duration, site Site, out policy.Actions) {
	ctx, stop := context.WithCancel(in.ctx)
	in.siteWatches[site.Name] = &siteWatch{discovery: site.Discovery, stop: stop}
	if in.isRemote(site.Name) {
		in.applyEndpoints(now, site.Name, in.relay.remoteServers(site.Name), out)
		return
	}
	watcher := &discovery.Watcher{Addr: site.Discovery, SilenceTimeout: discovery.SilenceTimeout,
		OnList: func(list discovery.EndpointList) { in.endpointsReceived(ctx, site.Name, list) },
		Logger: in.logger.With(slog.String(logging.KeySite, site.Name))}
	in.discoveryFollowers.Go(func() { watcher.Run(ctx) })
}

// endpointsReceived applies a site's endpoint list, unless its watch has ended.
func (in *Instance) endpointsReceived(ctx context.Context, site string, list discovery.EndpointList) {
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		if ctx.Err() == nil {
			in.applyEndpoints(now, site, list, out)
		}
	})
}

// applyEndpoints brings a site's endpoint list to the engine as changes: the lists of the other sites stay as they
// are. Called under the mutex.
func (in *Instance) applyEndpoints(now time.Duration, site string, list discovery.EndpointList, out policy.Actions) {
	changes := in.endpointChanges(site, list)
	stale := in.servers.UpdateEndpoints(changes, policy.EndpointsDelta)
	in.deferred = append(in.deferred, stale.Close)
	servers := make([]policy.Server, len(changes))
	for i, endpoint := range changes {
		servers[i] = endpoint.Server
	}
	in.engine.EndpointsChanged(now, policy.EndpointsDelta, servers, out)
}

// endpointChanges returns the entries of a site's endpoint list by their names over all sites, with an entry that
// removes it for each server that a complete list does not have any more. Called under the mutex.
func (in *Instance) endpointChanges(site string, list discovery.EndpointList) []discovery.Endpoint {
	known := in.serversBySite[site]
	if known == nil {
		known = map[string]bool{}
		in.serversBySite[site] = known
	}
	changes := make([]discovery.Endpoint, 0, len(list.Servers))
	listed := map[string]bool{}
	for _, endpoint := range list.Servers {
		endpoint.ID = site + "/" + endpoint.ID
		endpoint.Zone = site
		listed[endpoint.ID] = true
		if endpoint.State == policy.Removed {
			delete(known, endpoint.ID)
		} else {
			known[endpoint.ID] = true
		}
		changes = append(changes, endpoint)
	}
	if !list.IsComplete {
		return changes
	}
	for id := range known {
		if !listed[id] {
			delete(known, id)
			removed := policy.Server{ID: id, State: policy.Removed, Zone: site}
			changes = append(changes, discovery.Endpoint{Server: removed})
		}
	}
	return changes
}

// isRemote tells whether a site's servers are reached through that site's instances alone.
func (in *Instance) isRemote(site string) bool { return in.relay != nil && !in.relay.ownsSite(site) }

// recordSiteHealth notes what an attempt or a health check says of its server's site. Called under the mutex.
func (in *Instance) recordSiteHealth(now time.Duration, server string, result policy.Result, sent time.Duration) {
	if in.health == nil {
		return
	}
	site, _, _ := strings.Cut(server, "/")
	switch result {
	case policy.OK, policy.ErrorResponse, policy.RejectedByServer:
		in.health.RecordAnswer(now, site)
	case policy.TimedOut, policy.ConnectFailed:
		in.health.RecordMiss(now, site, sent)
	}
}

// SetAgreedSites applies which sites there are, which of them are lost, and the members.
func (in *Instance) SetAgreedSites(sites []multisite.Site, lost map[string]int, members []uint64) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			in.health.ApplyAgreed(now, sites, lost, members)
		}
		if in.ramp != nil {
			in.ramp.ApplyAgreed(now, sites, members)
		}
	})
}

// ProposeSiteChange is [multisite.HealthMonitor.ProposeChange].
func (in *Instance) ProposeSiteChange() (change multisite.SiteChange, ok bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			change, ok = in.health.ProposeChange(now)
		}
	})
	return change, ok
}

// SiteStates returns the state of each site, by its name, as this instance judges it.
func (in *Instance) SiteStates() map[string]string {
	states := map[string]string{}
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		for name := range in.siteWatches {
			if in.health != nil {
				states[name] = in.health.State(now, name).String()
			}
		}
	})
	return states
}

// updateRecoveryRamp has the engine obey this instance's share in the recovery ramps of the sites, and returns the
// message about them for the other instances. Called under the mutex.
func (in *Instance) updateRecoveryRamp(now time.Duration) multisite.RampMessage {
	message := in.ramp.NextBroadcast(now, in.recordWarmUp(now))
	for site := range in.siteWatches {
		in.engine.SetZoneLimits(site, in.zoneLimits(now, site))
	}
	return message
}

// recordWarmUp gives the ramps what the cold servers of this instance's own sites need, and returns what the warm ones
// carry. Called under the mutex.
func (in *Instance) recordWarmUp(now time.Duration) (loads []multisite.WarmLoad) {
	for site := range in.siteWatches {
		if in.isRemote(site) { // its own instances know which of its servers are cold
			continue
		}
		if rate, utilization := in.engine.WarmServerLoad(now, site); rate > 0 {
			loads = append(loads, multisite.WarmLoad{Site: site, Rate: rate, Utilization: utilization})
		}
		weight, sent, rejected := in.engine.ColdServerWork(now, site)
		load := multisite.WarmUpLoad{ServerWeight: weight, SentWork: sent, RejectedWork: rejected}
		in.ramp.RecordWarmUpLoad(now, site, load)
	}
	return loads
}

// zoneLimits returns what the engine may send to the servers of a site. Called under the mutex.
func (in *Instance) zoneLimits(now time.Duration, site string) policy.ZoneLimits {
	serverCount, nearInstances := in.health.Capacity(now, site)
	if in.isRemote(site) {
		share := 1 / float64(in.config.Settings.InstanceCount)
		return policy.ZoneLimits{IsRemote: true, RemoteServerCount: serverCount, InFlightFraction: share}
	}
	factor := coldBudgetFactor / in.config.Settings.ColdBudgetMultiple()
	return policy.ZoneLimits{
		RemoteServerCount: serverCount,
		WarmServerRate:    factor * in.ramp.WarmServerCapacity(now, site) * in.ramp.Share(now, site),
		InFlightFraction:  1 / float64(max(nearInstances, 1)),
	}
}

// coldBudgetFactor is the multiple of what a cold server can take, as warm as it must be, that all instances together
// send it at the most: half as much again may be saved up, and the whole stays below what pushes it over.
const coldBudgetFactor = 1.4

// serverPollInterval is how often AwaitServers looks.
const serverPollInterval = 5 * time.Millisecond

// AwaitServers waits until so many servers are known, over all sites.
func (in *Instance) AwaitServers(ctx context.Context, wanted int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(serverPollInterval)
	defer ticker.Stop()
	for {
		known := in.serverCount()
		if known >= wanted {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %d servers known of %d: %w", in.config.Name, known, wanted, ctx.Err())
		case <-ticker.C:
		}
	}
}

// serverCount is how many servers are known, over all sites.
func (in *Instance) serverCount() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	count := 0
	for _, servers := range in.serversBySite {
		count += len(servers)
	}
	return count
}
