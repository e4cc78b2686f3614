package testserver

import (
	"sync"
	"time"
)

// Arrival is one request that came whole to a server.
type Arrival struct {
	Site, Server, Operation, Effect string
	Trace, Key, Licensee            string
	Version, Units                  int
	At, Ended                       time.Time     // Ended: its answer was written or its connection ended
	Ran                             bool          // it may have had its effect, or will have
	Effected                        bool          // it had it: its key was not remembered
	Draining                        time.Duration // since discovery listed the server as draining; 0: it was not
	Status                          int           // 0: no answer
}

// Ledger is the account of all sites.
type Ledger struct {
	mu        sync.Mutex
	arrivals  []*Arrival
	strays    []string // requests that no route knows
	collapsed []string // servers that collapsed under overload
}

// add records an arrival; later changes to it go through change.
func (l *Ledger) add(a *Arrival) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, a)
	l.mu.Unlock()
}

// addStray records a request that no route matched.
func (l *Ledger) addStray(text string) {
	l.mu.Lock()
	l.strays = append(l.strays, text)
	l.mu.Unlock()
}

// addCollapsed records a server that collapsed, as site/server.
func (l *Ledger) addCollapsed(server string) {
	l.mu.Lock()
	l.collapsed = append(l.collapsed, server)
	l.mu.Unlock()
}

// Arrivals returns the requests that the servers have recorded so far.
func (l *Ledger) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Arrival, len(l.arrivals))
	for i, a := range l.arrivals {
		out[i] = *a
	}
	return out
}

// Strays returns the requests that no route of the servers matched, as text.
func (l *Ledger) Strays() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.strays...)
}

// Collapsed returns the servers that collapsed under overload, as site/server.
func (l *Ledger) Collapsed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.collapsed...)
}

// change changes an arrival under the ledger's mutex.
func (l *Ledger) change(f func()) {
	l.mu.Lock()
	f()
	l.mu.Unlock()
}
