package testserver

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Faults are chances, from 0 to 1, of what goes wrong with an attempt. What happens to
// one follows from the seed, its trace and its number.
type Faults struct {
	Error           float64 // answers 500 after it ran
	Reset           float64 // closes the connection after it ran
	NoAnswer        float64 // runs and never answers
	Refuse          float64 // turns it away unseen
	ErrorWithoutRun float64 // answers 500 without having run
}

// SiteConfig are those of a hall's servers.
type SiteConfig struct {
	Cores            int
	MaxQueueLength   int           // requests waiting, at most
	IdempotencyTTL   time.Duration // for which a key is remembered
	ColdCapacity     float64       // share of capacity at the start
	WarmupWindow     time.Duration // until warm
	CollapseMultiple float64       // sent more than this multiple of its present capacity
	CollapseWindow   time.Duration // for this long, a cold server falls over
	Faults           Faults
	Seed             uint64
}

// Site is a site: booking servers that share a memory of keys, and their register.
type Site struct {
	Name      string
	Discovery *Discovery
	routes    []Route
	fig       SiteConfig
	ledger    *Ledger

	cut atomic.Bool // what reaches it is not answered, and answers don't leave it

	mu      sync.Mutex
	servers map[string]*AppServer
	keys    map[string]time.Time // when a key was first run
	tries   map[string]int       // attempts seen of a trace
}

// AppServer is one booking server.
type AppServer struct {
	ID    string
	hall  *Site
	ln    net.Listener
	http  *http.Server
	boot  time.Time
	cold  bool
	slots chan struct{}

	mu       sync.Mutex
	waiting  int
	running  int
	drained  time.Time // when the list said that it drains
	arrived  []work    // within the last FallWindow, while cold
	fallen   bool
	busySum  time.Duration // core time used since lastLoad
	lastLoad time.Time
	util     float64
}

type work struct {
	at   time.Time
	cost time.Duration
}

// NewSite starts a hall with its register and no servers.
func NewSite(name string, routes []Route, fig SiteConfig, ledger *Ledger) (*Site, error) {
	reg, err := NewDiscovery()
	if err != nil {
		return nil, err
	}
	return &Site{Name: name, Discovery: reg, routes: routes, fig: fig, ledger: ledger,
		servers: map[string]*AppServer{}, keys: map[string]time.Time{}, tries: map[string]int{}}, nil
}

// Start starts a server and lists it. A cold one has to warm up.
func (h *Site) Start(id string, cold bool) (*AppServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("hall %s: %w", h.Name, err)
	}
	s := &AppServer{ID: id, hall: h, ln: ln, boot: time.Now(), cold: cold, slots: make(chan struct{}, h.fig.Cores), lastLoad: time.Now()}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go s.http.Serve(ln) // ends with Close
	h.mu.Lock()
	h.servers[id] = s
	h.mu.Unlock()
	h.list(s, "up")
	return s, nil
}

func (h *Site) list(s *AppServer, lifecycle string) {
	e := Entry{InstanceID: s.ID, HostPort: s.ln.Addr().String(), Zone: h.Name, MachineType: "std-2core", Lifecycle: lifecycle, Weight: 1}
	if s.cold {
		e.StartedAtMs = float64(s.boot.UnixMilli())
	}
	h.Discovery.Put(e)
}

// SetPartitioned has the hall fall silent, or ends that: what it runs goes on, and nothing it says arrives.
// Its register still lists it.
func (h *Site) SetPartitioned(cut bool) { h.cut.Store(cut) }

// ReplaceServers replaces all servers by cold ones under new ids. What the hall remembers of keys stays.
func (h *Site) ReplaceServers(ids ...string) error {
	h.mu.Lock()
	var old []string
	for id := range h.servers {
		old = append(old, id)
	}
	h.mu.Unlock()
	for _, id := range old {
		h.Kill(id)
	}
	for _, id := range ids {
		if _, err := h.Start(id, true); err != nil {
			return err
		}
	}
	return nil
}

// Drain has the register tell that a server drains.
func (h *Site) Drain(id string) {
	if s := h.server(id); s != nil {
		s.mu.Lock()
		s.drained = time.Now()
		s.mu.Unlock()
		h.list(s, "draining")
	}
}

// Kill ends a server at once; the register says so.
func (h *Site) Kill(id string) {
	if s := h.server(id); s != nil {
		s.http.Close()
		h.list(s, "removed")
		h.mu.Lock()
		delete(h.servers, id)
		h.mu.Unlock()
	}
}

func (h *Site) server(id string) *AppServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers[id]
}

// Close ends the hall.
func (h *Site) Close() {
	h.mu.Lock()
	for _, s := range h.servers {
		s.http.Close()
	}
	h.mu.Unlock()
	h.Discovery.Close()
}

// warmth is the share of its capacity that a server has.
func (s *AppServer) warmth(now time.Time) float64 {
	if !s.cold || s.hall.fig.WarmupWindow <= 0 {
		return 1
	}
	f := &s.hall.fig
	return math.Min(f.ColdCapacity+(1-f.ColdCapacity)*now.Sub(s.boot).Seconds()/f.WarmupWindow.Seconds(), 1)
}

// push enters work that reached the server; it tells whether that pushed it over. All work
// that was sent counts, rejected work too.
func (s *AppServer) push(now time.Time, cost time.Duration) bool {
	f := &s.hall.fig
	w := s.warmth(now)
	if w >= 1 || f.CollapseMultiple <= 0 {
		return false
	}
	s.arrived = append(s.arrived, work{now, cost})
	for len(s.arrived) > 0 && now.Sub(s.arrived[0].at) > f.CollapseWindow {
		s.arrived = s.arrived[1:]
	}
	var sum time.Duration
	for _, a := range s.arrived {
		sum += a.cost
	}
	budget := f.CollapseMultiple * w * float64(f.Cores) * f.CollapseWindow.Seconds()
	if sum.Seconds() <= budget+3*cost.Seconds() || s.fallen {
		return false
	}
	s.fallen = true
	return true
}

const probeWork = 200 * time.Microsecond

// ServeHTTP answers a request that has come.
func (s *AppServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if s.hall.cut.Load() {
		io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)) // so that the library sees the client go
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
		fmt.Fprint(w, s.load(now))
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || r.ContentLength >= 0 && int64(len(body)) != r.ContentLength {
		return // it has not come whole
	}
	h := s.hall
	route := Lookup(h.routes, r.Method, r.RequestURI, r.Header)
	if route == nil {
		h.ledger.stray(r.Method + " " + r.RequestURI)
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	version, _ := strconv.Atoi(r.Header.Get("X-Mulleinmux-Version"))
	a := &Arrival{Site: h.Name, Server: s.ID, Operation: route.Operation, Effect: route.Effect, Trace: r.Header.Get("X-Trace-Id"),
		Key: r.Header.Get("Idempotency-Key"), Licensee: r.Header.Get("X-Licensee"), Version: version,
		Units: route.Units(version, r, body), At: now}
	s.mu.Lock()
	if !s.drained.IsZero() {
		a.Draining = now.Sub(s.drained)
	}
	over := s.push(now, route.Work)
	full := s.waiting >= h.fig.MaxQueueLength
	if s.waiting++; full {
		s.waiting--
	}
	s.mu.Unlock()
	h.ledger.add(a)
	var status atomic.Int64 // end may be called while the answer is written
	end := func() {
		h.ledger.change(func() {
			if a.Ended.IsZero() {
				a.Ended, a.Status = time.Now(), int(status.Load())
			}
		})
	}
	defer end() // net/http writes a short answer when the handler returns
	// The gateway may give it up first, by closing the connection.
	defer context.AfterFunc(r.Context(), end)()
	if over {
		h.ledger.change(func() { h.ledger.fallen = append(h.ledger.fallen, h.Name+"/"+s.ID) })
		go s.http.Close()
		panic(http.ErrAbortHandler)
	}
	chance := h.chance(a.Trace)
	f := &h.fig.Faults
	neverRan := func(code int) {
		status.Store(int64(code))
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(code)
	}
	if full || chance(0) < f.Refuse {
		if !full {
			s.leave()
		}
		neverRan(http.StatusServiceUnavailable)
		return
	}
	wait := 2 * time.Second
	if x, err := strconv.ParseFloat(r.Header.Get("X-Expires-In"), 64); err == nil {
		wait = time.Duration(x * float64(time.Second))
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.leave()
		neverRan(http.StatusGatewayTimeout)
		return
	}
	s.leave()
	h.ledger.change(func() { a.Ran = true })
	cost := time.Duration(route.Work.Seconds() / s.warmth(now) * float64(time.Second))
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	done := time.NewTimer(cost)
	<-done.C
	s.mu.Lock()
	s.running--
	s.busySum += cost
	s.mu.Unlock()
	<-s.slots
	if chance(1) >= f.ErrorWithoutRun {
		effected := route.Effect != "keyed" || h.remember(a.Key, time.Now())
		h.ledger.change(func() { a.Effected = effected })
	}
	switch {
	case h.cut.Load():
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case chance(1) < f.ErrorWithoutRun, chance(2) < f.Error:
		status.Store(http.StatusInternalServerError)
		http.Error(w, "fault", http.StatusInternalServerError)
	case chance(3) < f.Reset:
		panic(http.ErrAbortHandler)
	case chance(4) < f.NoAnswer:
		<-r.Context().Done()
	default:
		status.Store(http.StatusOK)
		if r.Method == http.MethodDelete {
			status.Store(http.StatusNoContent)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"operation": route.Operation, "trace": a.Trace, "hall": h.Name})
	}
}

func (s *AppServer) leave() {
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
}

// remember tells whether a key is new, and keeps it.
func (h *Site) remember(key string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, known := h.keys[key]
	if known && now.Sub(at) < h.fig.IdempotencyTTL {
		return false
	}
	h.keys[key] = now
	return true
}

// chance draws numbers for an attempt that follow from the seed, its trace and its number.
func (h *Site) chance(trace string) func(what int) float64 {
	h.mu.Lock()
	h.tries[trace]++
	n := h.tries[trace]
	h.mu.Unlock()
	return func(what int) float64 {
		f := fnv.New64a()
		fmt.Fprintf(f, "%d %s %s %d %d", h.fig.Seed, h.Name, trace, n, what)
		x := f.Sum64()
		x ^= x >> 29
		x *= 0xbf58476d1ce4e5b9
		x ^= x >> 32
		return float64(x>>11) / (1 << 53)
	}
}

// load words a load report.
func (s *AppServer) load(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busySum += probeWork
	if gap := now.Sub(s.lastLoad); gap > 100*time.Millisecond {
		busy := s.busySum.Seconds()/gap.Seconds()/float64(s.hall.fig.Cores)/2 + float64(s.running)/float64(s.hall.fig.Cores)/2
		s.util, s.busySum, s.lastLoad = math.Min(busy, 1), 0, now
	}
	return fmt.Sprintf("TEXT queue=%d, util=%.2f", s.waiting, s.util)
}

// Addrs are the addresses of the hall's servers.
func (h *Site) Addrs() (addrs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		addrs = append(addrs, s.ln.Addr().String())
	}
	return addrs
}
