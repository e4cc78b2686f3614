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

// Entry is one server in a register, in the form in which it goes out.
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

// Discovery lists servers and streams changes of the list.
type Discovery struct {
	ln  net.Listener
	srv *http.Server

	mu      sync.Mutex
	gen     uint64
	entries map[string]Entry
	changes []change
	changed chan struct{} // closed at the next change
}

type change struct {
	gen   uint64
	entry Entry
}

// NewDiscovery starts an empty register.
func NewDiscovery() (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	r := &Discovery{ln: ln, gen: 1, entries: map[string]Entry{}, changed: make(chan struct{})}
	r.srv = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	go r.srv.Serve(ln) // ends with Close
	return r, nil
}

// Addr is where the register listens.
func (r *Discovery) Addr() netip.AddrPort { return r.ln.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the register and its watches.
func (r *Discovery) Close() { r.srv.Close() }

// Put changes an entry.
func (r *Discovery) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gen++
	if r.entries[e.InstanceID] = e; e.Lifecycle == "removed" {
		delete(r.entries, e.InstanceID)
	}
	r.changes = append(r.changes, change{r.gen, e})
	close(r.changed)
	r.changed = make(chan struct{})
}

type listing struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// since lists what changed after a version, or all.
func (r *Discovery) since(from uint64) (listing, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := listing{Generation: r.gen, Reset: from == 0 || from > r.gen, Instances: []Entry{}}
	if l.Reset {
		for _, e := range r.entries {
			l.Instances = append(l.Instances, e)
		}
		return l, r.changed
	}
	for _, c := range r.changes {
		if c.gen > from {
			l.Instances = append(l.Instances, c.entry)
		}
	}
	return l, r.changed
}

// ServeHTTP answers a list or a watch.
func (r *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/registry/instances" {
		http.NotFound(w, q)
		return
	}
	from, _ := strconv.ParseUint(q.URL.Query().Get("from"), 10, 64)
	enc := json.NewEncoder(w)
	l, changed := r.since(from)
	if enc.Encode(l) != nil || q.URL.Query().Get("watch") != "1" {
		return
	}
	flush := http.NewResponseController(w)
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for flush.Flush() == nil {
		select {
		case <-q.Context().Done():
			return
		case <-beat.C:
			fmt.Fprintln(w)
		case <-changed:
			l, changed = r.since(l.Generation)
			enc.Encode(l)
		}
	}
}
