package testserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the interval at which an empty line is sent on a watch without changes.
const heartbeatInterval = 2 * time.Second

// Entry is one app server in an endpoint list, in its JSON form.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// Discovery is a service discovery server: it lists app servers and streams changes of the list.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	generation uint64
	entries    map[string]Entry
	changes    []change
	changed    chan struct{} // closed at the next change
}

// change is an entry that was put, with the list's generation after that change.
type change struct {
	generation uint64
	entry      Entry
}

// NewDiscovery starts a discovery with an empty list. [Discovery.Close] stops it.
func NewDiscovery() (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	discovery := &Discovery{
		listener:   listener,
		generation: 1,
		entries:    map[string]Entry{},
		changed:    make(chan struct{}),
	}
	discovery.server = &http.Server{Handler: discovery, ReadHeaderTimeout: headerTimeout}
	go discovery.server.Serve(listener) // ends with Close
	return discovery, nil
}

// Addr returns the address on which the discovery listens.
func (discovery *Discovery) Addr() netip.AddrPort {
	return discovery.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the discovery and closes its watches.
func (discovery *Discovery) Close() { discovery.server.Close() }

// Put adds, changes or removes an entry, by its lifecycle state.
func (discovery *Discovery) Put(entry Entry) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	discovery.generation++
	discovery.entries[entry.InstanceID] = entry
	if entry.Lifecycle == lifecycleRemoved {
		delete(discovery.entries, entry.InstanceID)
	}
	discovery.changes = append(discovery.changes, change{generation: discovery.generation, entry: entry})
	close(discovery.changed)
	discovery.changed = make(chan struct{})
}

// listing is one JSON answer: all entries after a reset, or those that changed.
type listing struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// since lists what changed after a generation, or all entries if the generation is 0 or
// unknown. The channel is closed at the next change.
func (discovery *Discovery) since(generation uint64) (listing, chan struct{}) {
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	isReset := generation == 0 || generation > discovery.generation
	list := listing{Generation: discovery.generation, Reset: isReset, Instances: []Entry{}}
	if list.Reset {
		for _, entry := range discovery.entries {
			list.Instances = append(list.Instances, entry)
		}
		return list, discovery.changed
	}
	for _, change := range discovery.changes {
		if change.generation > generation {
			list.Instances = append(list.Instances, change.entry)
		}
	}
	return list, discovery.changed
}

// ServeHTTP answers with the list since the generation of the from parameter and, with watch=1, streams later changes.
func (discovery *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	encoder := json.NewEncoder(w)
	list, changed := discovery.since(from)
	if encoder.Encode(list) != nil || r.URL.Query().Get("watch") != "1" {
		return
	}
	controller := http.NewResponseController(w)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for controller.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-heartbeat.C:
			fmt.Fprintln(w)
		case <-changed:
			list, changed = discovery.since(list.Generation)
			encoder.Encode(list)
		}
	}
}
