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
	register netip.AddrPort
	stop     context.CancelFunc
}

// watchSites follows the service discovery of these sites and of no others. The servers of a site
// that is no longer there are gone; those of one whose discovery has moved stay until the
// new one answers. Called under the mutex.
func (in *Instance) watchSites(now time.Duration, halls []Site, out policy.Actions) {
	wanted := map[string]netip.AddrPort{}
	for _, h := range halls {
		wanted[h.Name] = h.Discovery
	}
	for name, w := range in.siteWatches {
		if at, ok := wanted[name]; ok && at == w.register {
			continue
		} else if !ok {
			in.applyEndpoints(now, name, discovery.EndpointList{IsComplete: true}, out)
			in.engine.RemoveZoneLimits(name)
			delete(in.serversBySite, name)
		}
		w.stop()
		delete(in.siteWatches, name)
	}
	for _, h := range halls {
		if in.siteWatches[h.Name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(in.ctx)
		in.siteWatches[h.Name] = &siteWatch{h.Discovery, stop}
		if in.isRemote(h.Name) {
			list, _ := in.relay.remoteServers(h.Name)
			in.applyEndpoints(now, h.Name, list, out)
			continue
		}
		f := &discovery.Watcher{Addr: h.Discovery, SilenceTimeout: discovery.SilenceTimeout,
			OnList: func(l discovery.EndpointList) { in.endpointsReceived(ctx, h.Name, l) },
			Logger: in.logger.With(slog.String(logging.KeySite, h.Name))}
		in.discoveryFollowers.Go(func() { f.Run(ctx) })
	}
}

// endpointsReceived takes in a site's endpoint list, unless its watch has ended.
func (in *Instance) endpointsReceived(ctx context.Context, hall string, l discovery.EndpointList) {
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		if ctx.Err() == nil {
			in.applyEndpoints(now, hall, l, out)
		}
	})
}

// applyEndpoints brings a site's endpoint list to the engine as changes: the lists of the other sites stay as they
// are. Called under the mutex.
func (in *Instance) applyEndpoints(now time.Duration, hall string, l discovery.EndpointList, out policy.Actions) {
	known := in.serversBySite[hall]
	if known == nil {
		known = map[string]bool{}
		in.serversBySite[hall] = known
	}
	entries := make([]discovery.Endpoint, 0, len(l.Servers))
	listed := map[string]bool{}
	for _, s := range l.Servers {
		s.ID = hall + "/" + s.ID
		s.Zone = hall
		listed[s.ID] = true
		if known[s.ID] = true; s.State == policy.Removed {
			delete(known, s.ID)
		}
		entries = append(entries, s)
	}
	if l.IsComplete {
		for id := range known {
			if !listed[id] {
				delete(known, id)
				gone := policy.Server{ID: id, State: policy.Removed, Zone: hall}
				entries = append(entries, discovery.Endpoint{Server: gone})
			}
		}
	}
	stale := in.servers.update(entries)
	in.deferred = append(in.deferred, func() { closeAll(stale) })
	list := make([]policy.Server, len(entries))
	for i, s := range entries {
		list[i] = s.Server
	}
	in.engine.EndpointsChanged(now, policy.EndpointsDelta, list, out)
}

// isRemote tells whether a site is reached by way of another site's instances alone.
func (in *Instance) isRemote(hall string) bool { return in.relay != nil && !in.relay.ownsSite(hall) }

// recordSiteHealth notes what an attempt or a health check says of its server's site. Called under the mutex.
func (in *Instance) recordSiteHealth(now time.Duration, server string, result policy.Result, sent time.Duration) {
	if in.health == nil {
		return
	}
	hall, _, _ := strings.Cut(server, "/")
	switch result {
	case policy.OK, policy.ErrorResponse, policy.RejectedByServer:
		in.health.RecordAnswer(now, hall)
	case policy.TimedOut, policy.ConnectFailed:
		in.health.RecordMiss(now, hall, sent)
	}
}

// SetAgreedSites takes over which sites there are, which of them are lost, and the members.
func (in *Instance) SetAgreedSites(halls []multisite.Site, lost map[string]int, members []uint64) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			in.health.ApplyAgreed(now, halls, lost, members)
		}
		if in.ramp != nil {
			in.ramp.ApplyAgreed(now, halls, members)
		}
	})
}

// ProposeSiteChange is [multisite.HealthMonitor.ProposeChange].
func (in *Instance) ProposeSiteChange() (c multisite.SiteChange, ok bool) {
	in.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.health != nil {
			c, ok = in.health.ProposeChange(now)
		}
	})
	return c, ok
}

// SiteStates tells what the instance makes of each site that it has a service discovery of.
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

// updateRecoveryRamp has the engine go by this instance's part in the ramps of the sites, and returns what to tell
// the others. Called under the mutex.
func (in *Instance) updateRecoveryRamp(now time.Duration) multisite.RampMessage {
	var carried []multisite.WarmLoad
	for name := range in.siteWatches {
		if in.isRemote(name) { // its own instances know which of its servers are cold
			continue
		}
		if rate, util := in.engine.WarmServerLoad(now, name); rate > 0 {
			carried = append(carried, multisite.WarmLoad{Site: name, Rate: rate, Utilization: util})
		}
		servers, sent, short := in.engine.ColdServerWork(now, name)
		in.ramp.RecordWarmUpLoad(now, name, multisite.WarmUpLoad{ServerWeight: servers, SentWork: sent, RejectedWork: short})
	}
	w := in.ramp.NextBroadcast(now, carried)
	for name := range in.siteWatches {
		servers, near := in.health.Capacity(now, name)
		z := policy.ZoneLimits{IsRemote: in.isRemote(name), RemoteServerCount: servers}
		z.InFlightFraction = 1 / float64(in.config.Settings.InstanceCount)
		if !z.IsRemote {
			factor := coldBudgetFactor / in.config.Settings.ColdBudgetMultiple()
			z.WarmServerRate = factor * in.ramp.WarmServerCapacity(now, name) * in.ramp.Share(now, name)
			z.InFlightFraction = 1 / float64(max(near, 1))
		}
		in.engine.SetZoneLimits(name, z)
	}
	return w
}

// coldBudgetFactor is the multiple of what a cold server can take, as warm as it must be, that all instances together
// send it at the most: half as much again may be saved up, and the whole stays below what pushes it over.
const coldBudgetFactor = 1.4

// AwaitServers waits until so many servers are known, over all sites.
func (in *Instance) AwaitServers(ctx context.Context, n int, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		in.mu.Lock()
		have := 0
		for _, k := range in.serversBySite {
			have += len(k)
		}
		in.mu.Unlock()
		if have >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %d servers known of %d: %w", in.config.Name, have, n, ctx.Err())
		case <-tick.C:
		}
	}
}
