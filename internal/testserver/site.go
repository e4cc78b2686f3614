package testserver

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// headerTimeout is how long a client may take to send a request's head.
const headerTimeout = 10 * time.Second

// Lifecycle states of an app server in the discovery list.
const (
	lifecycleUp       = "up"
	lifecycleDraining = "draining"
	lifecycleRemoved  = "removed"
)

// temperature is whether a server has all its capacity from its start (warm) or has to warm up (cold).
type temperature int

const (
	warm temperature = iota
	cold
)

// SiteConfig configures a site and its app servers.
type SiteConfig struct {
	Cores            int
	MaxQueueLength   int           // waiting requests
	IdempotencyTTL   time.Duration // how long an idempotency key is remembered
	ColdCapacity     float64       // fraction of its capacity that a cold server has at its start
	WarmupWindow     time.Duration // time until a cold server has all its capacity
	CollapseMultiple float64       // a cold server collapses that receives more than this multiple of its capacity
	CollapseWindow   time.Duration // over which the work that a cold server receives is summed
	Faults           Faults
	Seed             uint64
}

// Site runs app servers and their discovery. The servers share the remembered idempotency keys.
type Site struct {
	Name      string
	Discovery *Discovery
	routes    []Route
	config    SiteConfig
	ledger    *Ledger

	isPartitioned atomic.Bool // the site answers no requests, including those in flight

	mu            sync.Mutex
	servers       map[string]*AppServer
	keyRunTimes   map[string]time.Time // when the first request with an idempotency key ran
	attemptCounts map[string]int       // attempts seen of a trace
}

// NewSite starts a site with its discovery and no servers. [Site.Close] stops it.
func NewSite(name string, routes []Route, config SiteConfig, ledger *Ledger) (*Site, error) {
	discovery, err := NewDiscovery()
	if err != nil {
		return nil, err
	}
	return &Site{
		Name: name, Discovery: discovery, routes: routes, config: config, ledger: ledger,
		servers: map[string]*AppServer{}, keyRunTimes: map[string]time.Time{}, attemptCounts: map[string]int{},
	}, nil
}

// Start starts a warm server and publishes it in the discovery.
func (site *Site) Start(id string) (*AppServer, error) { return site.start(id, warm) }

// StartCold starts a server that has to warm up, and publishes it in the discovery.
func (site *Site) StartCold(id string) (*AppServer, error) { return site.start(id, cold) }

// start starts a server at a temperature and publishes it in the discovery.
func (site *Site) start(id string, startTemperature temperature) (*AppServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site %s: %w", site.Name, err)
	}
	now := time.Now()
	server := &AppServer{
		ID: id, site: site, listener: listener, startedAt: now, isCold: startTemperature == cold,
		cores: make(chan struct{}, site.config.Cores), lastReportAt: now,
	}
	server.server = &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout}
	go server.server.Serve(listener) // ends with Close
	site.mu.Lock()
	site.servers[id] = server
	site.mu.Unlock()
	site.publish(server, lifecycleUp)
	return server, nil
}

// publish puts a server with a lifecycle state into the discovery's list.
func (site *Site) publish(server *AppServer, lifecycle string) {
	entry := Entry{
		InstanceID: server.ID, HostPort: server.listener.Addr().String(), Zone: site.Name,
		MachineType: "std-2core", Lifecycle: lifecycle, Weight: 1,
	}
	if server.isCold {
		entry.StartedAtMs = float64(server.startedAt.UnixMilli())
	}
	site.Discovery.Put(entry)
}

// SetPartitioned starts or ends a partition of the site. A partitioned site continues to run requests but sends no
// answers. Its discovery still lists its servers.
func (site *Site) SetPartitioned(partitioned bool) { site.isPartitioned.Store(partitioned) }

// ReplaceServers replaces all servers by cold ones with the given ids. The site still remembers its idempotency keys.
func (site *Site) ReplaceServers(ids ...string) error {
	site.mu.Lock()
	var old []string
	for id := range site.servers {
		old = append(old, id)
	}
	site.mu.Unlock()
	for _, id := range old {
		site.Kill(id)
	}
	for _, id := range ids {
		if _, err := site.StartCold(id); err != nil {
			return err
		}
	}
	return nil
}

// Drain publishes a server as draining in the discovery.
func (site *Site) Drain(id string) {
	server := site.server(id)
	if server == nil {
		return
	}
	server.mu.Lock()
	server.drainedAt = time.Now()
	server.mu.Unlock()
	site.publish(server, lifecycleDraining)
}

// Kill stops a server at once and publishes it as removed in the discovery.
func (site *Site) Kill(id string) {
	server := site.server(id)
	if server == nil {
		return
	}
	server.server.Close()
	site.publish(server, lifecycleRemoved)
	site.mu.Lock()
	delete(site.servers, id)
	site.mu.Unlock()
}

// server returns the running server with an id, or nil.
func (site *Site) server(id string) *AppServer {
	site.mu.Lock()
	defer site.mu.Unlock()
	return site.servers[id]
}

// Close stops the site's servers and its discovery.
func (site *Site) Close() {
	site.mu.Lock()
	for _, server := range site.servers {
		server.server.Close()
	}
	site.mu.Unlock()
	site.Discovery.Close()
}

// Addrs returns the addresses of the site's servers, in no particular order.
func (site *Site) Addrs() (addrs []string) {
	site.mu.Lock()
	defer site.mu.Unlock()
	for _, server := range site.servers {
		addrs = append(addrs, server.listener.Addr().String())
	}
	return addrs
}
