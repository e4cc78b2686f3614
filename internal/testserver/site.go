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

// temperature is whether a server has all its capacity from its start.
type temperature int

const (
	warm temperature = iota
	cold
)

// SiteConfig configures a site and its app servers.
type SiteConfig struct {
	Cores            int
	MaxQueueLength   int           // waiting requests
	IdempotencyTTL   time.Duration // for which an idempotency key is remembered
	ColdCapacity     float64       // share of capacity at the start
	WarmupWindow     time.Duration // until a cold server has all its capacity
	CollapseMultiple float64       // of its capacity: a cold server that receives more within CollapseWindow collapses
	CollapseWindow   time.Duration
	Faults           Faults
	Seed             uint64
}

// Site runs app servers that share a memory of idempotency keys, and their discovery.
type Site struct {
	Name      string
	Discovery *Discovery
	routes    []Route
	config    SiteConfig
	ledger    *Ledger

	isPartitioned atomic.Bool // it answers no requests, and answers under way are not sent

	mu            sync.Mutex
	servers       map[string]*AppServer
	keyTimes      map[string]time.Time // when an idempotency key was first run
	attemptCounts map[string]int       // attempts seen of a trace
}

// NewSite starts a site with its discovery and no servers. [Site.Close] ends it.
func NewSite(name string, routes []Route, config SiteConfig, ledger *Ledger) (*Site, error) {
	discovery, err := NewDiscovery()
	if err != nil {
		return nil, err
	}
	return &Site{
		Name: name, Discovery: discovery, routes: routes, config: config, ledger: ledger,
		servers: map[string]*AppServer{}, keyTimes: map[string]time.Time{}, attemptCounts: map[string]int{},
	}, nil
}

// Start starts a warm server and lists it.
func (site *Site) Start(id string) (*AppServer, error) { return site.start(id, warm) }

// StartCold starts a server that has to warm up, and lists it.
func (site *Site) StartCold(id string) (*AppServer, error) { return site.start(id, cold) }

// start starts a server at a temperature and lists it.
func (site *Site) start(id string, startsAt temperature) (*AppServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site %s: %w", site.Name, err)
	}
	now := time.Now()
	server := &AppServer{
		ID: id, site: site, listener: listener, startedAt: now, isCold: startsAt == cold,
		cores: make(chan struct{}, site.config.Cores), lastReportAt: now,
	}
	server.server = &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout}
	go server.server.Serve(listener) // ends with Close
	site.mu.Lock()
	site.servers[id] = server
	site.mu.Unlock()
	site.list(server, lifecycleUp)
	return server, nil
}

// list publishes a server's lifecycle state in the discovery.
func (site *Site) list(server *AppServer, lifecycle string) {
	entry := Entry{
		InstanceID: server.ID, HostPort: server.listener.Addr().String(), Zone: site.Name,
		MachineType: "std-2core", Lifecycle: lifecycle, Weight: 1,
	}
	if server.isCold {
		entry.StartedAtMs = float64(server.startedAt.UnixMilli())
	}
	site.Discovery.Put(entry)
}

// SetPartitioned cuts the site off, or ends the partition: what it runs goes on, and nothing
// that it sends arrives. Its discovery still lists its servers.
func (site *Site) SetPartitioned(partitioned bool) { site.isPartitioned.Store(partitioned) }

// ReplaceServers replaces all servers by cold ones under new ids. The site's memory of
// idempotency keys stays.
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

// Drain has the discovery list a server as draining.
func (site *Site) Drain(id string) {
	server := site.server(id)
	if server == nil {
		return
	}
	server.mu.Lock()
	server.drainedAt = time.Now()
	server.mu.Unlock()
	site.list(server, lifecycleDraining)
}

// Kill ends a server at once and has the discovery list it as removed.
func (site *Site) Kill(id string) {
	server := site.server(id)
	if server == nil {
		return
	}
	server.server.Close()
	site.list(server, lifecycleRemoved)
	site.mu.Lock()
	delete(site.servers, id)
	site.mu.Unlock()
}

// server returns the running server of an id, or nil.
func (site *Site) server(id string) *AppServer {
	site.mu.Lock()
	defer site.mu.Unlock()
	return site.servers[id]
}

// Close ends the site with its servers and its discovery.
func (site *Site) Close() {
	site.mu.Lock()
	for _, server := range site.servers {
		server.server.Close()
	}
	site.mu.Unlock()
	site.Discovery.Close()
}

// Addrs returns the addresses of the site's servers, in no order.
func (site *Site) Addrs() (addrs []string) {
	site.mu.Lock()
	defer site.mu.Unlock()
	for _, server := range site.servers {
		addrs = append(addrs, server.listener.Addr().String())
	}
	return addrs
}
