package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmux/internal/discovery"
	"mulleinmux/internal/gossip"
	"mulleinmux/internal/graceful"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// Instance is one instance of the gateway. It connects the components that own its state; their types document what
// guards each of them.
//
// Each request has its own goroutine, which executes the request's attempts one after another, so that no two can be in
// flight at once. The engine's actions only record the next attempt.
type Instance struct {
	config       *Config
	logger       *slog.Logger
	ctx          context.Context
	servers      *serverPool
	peers        *gossip.Socket // nil: no gossip
	relay        *relay         // nil: the instance reaches all sites directly
	healthChecks sync.WaitGroup

	disconnects    *graceful.DisconnectMonitor // of clients; nil: the instance relays nothing
	relayReporting sync.WaitGroup              // goroutines that report to other sites' instances about clients

	versions        versions
	counters        operationCounters
	badRequestCount atomic.Int64 // requests rejected before they were charged

	host engineHost

	// Guarded by the mutex of host:
	requests  requestTable
	deadlines openDeadlines
	sites     *siteCoordinator
	endpoints siteEndpoints
	watches   siteWatches
}

// placeholderClasses are the engine's classes while no table is installed, since the engine requires at least one
// class. No operation belongs to it.
var placeholderClasses = []policy.Class{{Name: "/none"}}

// newInstance returns an instance whose goroutines end when ctx is done. Without a table it rejects all requests until
// one is installed.
func newInstance(ctx context.Context, config *Config, setup Setup, logger *slog.Logger) (*Instance, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	settings := config.Settings
	settings.Classes, settings.Plans = placeholderClasses, nil
	engine, err := policy.New(settings, config.Seed)
	if err != nil {
		return nil, err
	}
	clock := clock{startedAt: time.Now()}
	in := &Instance{
		config: config, logger: logger, ctx: ctx,
		versions:  versions{agreement: config.Agreement, startedAt: clock.startedAt},
		counters:  operationCounters{byID: map[string]*Counters{}},
		host:      engineHost{clock: clock, logger: logger, engine: engine},
		requests:  requestTable{byID: map[string]*pendingRequest{}},
		endpoints: siteEndpoints{serverIDs: map[string]map[string]bool{}},
		watches:   siteWatches{ctx: ctx, logger: logger, bySite: map[string]siteWatch{}},
	}
	in.host.actions = (*actions)(in)
	in.servers = newServerPool(config, serverPoolOptions{subsetServers: in.host.subsetServers})
	if in.sites, err = newSiteCoordinator(config, clock.now()); err != nil {
		return nil, err
	}
	if in.relay = in.sites.relay; in.relay != nil {
		in.servers.secure = in.relay.secure
	}
	in.host.start()
	in.versions.current.Store(&version{table: &routing.Table{}})
	return in, in.Install(setup)
}

// Install puts a setup in force atomically: requests that are matched from then on use it; requests that were matched
// before keep their version until their final answer. If Install returns an error, nothing has changed.
func (in *Instance) Install(s Setup) error {
	for i, site := range s.Sites {
		if slices.ContainsFunc(s.Sites[:i], func(other Site) bool { return other.Name == site.Name }) {
			return fmt.Errorf(textDuplicateSite, site.Name)
		}
	}
	err := errors.New("gateway: instance is closed")
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		old := in.versions.current.Load()
		if s.Table == nil {
			s.Table, s.Checker = old.table, old.checker
		}
		if err = in.setTables(now, s, old); err != nil {
			return
		}
		in.versions.current.Store(in.newVersion(s, old))
		in.deadlines.replace(now, s.Table.Classes)
		deadline, window := s.Table.KeyLifetimes()
		in.sites.setKeyLifetimes(now, deadline, window)
		in.watchSites(now, s.Sites, out)
	})
	return err
}

// setTables passes a setup's classes and plans to the engine. If one is invalid, it changes nothing and returns an
// error. Called under the mutex.
func (in *Instance) setTables(now time.Duration, s Setup, old *version) error {
	engine := in.host.engine
	classes := s.Table.Classes
	if len(classes) == 0 {
		classes = placeholderClasses
	}
	if err := engine.ValidateTables(classes, s.Plans); err != nil {
		return err
	}
	if err := engine.SetPlans(now, s.Plans); err != nil || s.Table == old.table {
		return err
	}
	return engine.SetClasses(classes)
}

// newVersion returns the version for a setup. It keeps the counters of the old version if the table stays.
func (in *Instance) newVersion(s Setup, old *version) *version {
	v := &version{number: s.Number, table: s.Table, checker: s.Checker, licensees: s.Licensees}
	if s.Table == old.table {
		v.counters = old.counters
	} else {
		v.counters = in.counters.forOperations(s.Table.Operations)
	}
	return v
}

// ConfirmVersion records that a quorum has confirmed, as of a time, that the setup in force is the agreed one.
func (in *Instance) ConfirmVersion(at time.Time) { in.versions.confirm(at) }

// Confirmation returns how long ago the setup in force was confirmed, and whether requests are served on it.
func (in *Instance) Confirmation(now time.Time) (age time.Duration, serves bool) {
	return in.versions.confirmation(now)
}

// Version returns the version number of the setup in force.
func (in *Instance) Version() uint64 { return in.versions.current.Load().number }

// Table returns the routing table in force.
func (in *Instance) Table() *routing.Table { return in.versions.current.Load().table }

// watchSites watches the service discovery of these sites and of no others. The servers of a site that is no longer
// listed are removed; those of a site whose discovery address has changed stay until the new discovery responds. A
// remote site has no discovery: its servers are its instances, which the configuration lists. Called under the mutex.
func (in *Instance) watchSites(now time.Duration, sites []Site, out policy.Actions) {
	for _, name := range in.watches.stopUnneeded(sites) {
		in.applyEndpoints(now, name, discovery.EndpointList{IsComplete: true}, out)
		in.host.engine.RemoveZoneLimits(name)
		in.endpoints.removeSite(name)
	}
	for _, site := range sites {
		if in.watches.has(site.Name) {
			continue
		}
		ctx := in.watches.add(site)
		if in.relay.isRemote(site.Name) {
			in.applyEndpoints(now, site.Name, in.relay.remoteServers(site.Name), out)
			continue
		}
		in.watches.start(ctx, site, func(list discovery.EndpointList) { in.endpointsReceived(ctx, site.Name, list) })
	}
}

// endpointsReceived applies a site's endpoint list unless its watch was stopped.
func (in *Instance) endpointsReceived(ctx context.Context, site string, list discovery.EndpointList) {
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		if ctx.Err() == nil {
			in.applyEndpoints(now, site, list, out)
		}
	})
}

// applyEndpoints passes a site's endpoint list to the server pool and the engine as a delta, which leaves the servers
// of other sites unchanged. Called under the mutex.
func (in *Instance) applyEndpoints(now time.Duration, site string, list discovery.EndpointList, out policy.Actions) {
	changes := in.endpoints.changes(site, list)
	stale := in.servers.UpdateEndpoints(changes, policy.EndpointsDelta)
	in.host.afterEvent(stale.Close)
	servers := make([]policy.Server, len(changes))
	for i, endpoint := range changes {
		servers[i] = endpoint.Server
	}
	in.host.engine.EndpointsChanged(now, policy.EndpointsDelta, servers, out)
}

// gossipReceived passes a peer's gossip message to the engine.
func (in *Instance) gossipReceived(from int, message []byte) {
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		in.host.engine.GossipReceived(now, from, message, out)
	})
}

// close stops the engine's events and the watches, then waits for the goroutines of the health checks and the watches.
// The instance's context must be done.
func (in *Instance) close() {
	in.host.close(in.watches.stopAll)
	if in.disconnects != nil {
		in.disconnects.Close()
	}
	in.healthChecks.Wait()
	in.relayReporting.Wait()
	in.watches.watchers.Wait()
}
