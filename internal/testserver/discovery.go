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

// heartbeatInterval is how often a watch without changes gets an empty line.
const heartbeatInterval = 2 * time.Second

// Entry is one app server in a discovery list, in its JSON form.
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

// Discovery is a service discovery: it lists app servers and streams changes of the list.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	generation uint64
	entries    map[string]Entry
	changes    []change
	changed    chan struct{} // closed at the next change
}

// change is an entry that was put, with the generation of the list since then.
type change struct {
	generation uint64
	entry      Entry
}

// NewDiscovery starts a discovery with an empty list. [Discovery.Close] ends it.
func NewDiscovery() (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{listener: ln, generation: 1, entries: map[string]Entry{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: headerTimeout}
	go d.server.Serve(ln) // ends with Close
	return d, nil
}

// Addr returns the address on which the discovery listens.
func (d *Discovery) Addr() netip.AddrPort { return d.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the discovery and its watches.
func (d *Discovery) Close() { d.server.Close() }

// Put adds, changes or removes an entry, by its lifecycle state.
func (d *Discovery) Put(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.entries[e.InstanceID] = e
	if e.Lifecycle == lifecycleRemoved {
		delete(d.entries, e.InstanceID)
	}
	d.changes = append(d.changes, change{d.generation, e})
	close(d.changed)
	d.changed = make(chan struct{})
}

// listing is one JSON answer: all entries after a reset, or those that changed.
type listing struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// since lists what changed after a generation, or all entries if the generation is 0 or
// unknown. The channel is closed at the next change.
func (d *Discovery) since(generation uint64) (listing, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isReset := generation == 0 || generation > d.generation
	l := listing{Generation: d.generation, Reset: isReset, Instances: []Entry{}}
	if l.Reset {
		for _, entry := range d.entries {
			l.Instances = append(l.Instances, entry)
		}
		return l, d.changed
	}
	for _, c := range d.changes {
		if c.generation > generation {
			l.Instances = append(l.Instances, c.entry)
		}
	}
	return l, d.changed
}

// ServeHTTP answers a list or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	encoder := json.NewEncoder(w)
	l, changed := d.since(from)
	if encoder.Encode(l) != nil || r.URL.Query().Get("watch") != "1" {
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
			l, changed = d.since(l.Generation)
			encoder.Encode(l)
		}
	}
}
