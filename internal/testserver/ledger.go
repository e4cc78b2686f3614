package testserver

import (
	"sync"
	"time"
)

// Arrival is one request that a server received in full.
type Arrival struct {
	Site, Server, Operation string
	Effect                  Effect
	Trace, Key, Licensee    string
	Version, Units          int
	At, Ended               time.Time     // Ended: its answer was written or its connection ended
	Ran                     bool          // the server began to run it, so that it may have an effect
	HadEffect               bool          // it had its effect; a repeat with a remembered key has none
	DrainingFor             time.Duration // how long the server had been listed as draining; 0: it was not
	Status                  int           // 0: no answer
}

// Ledger records what reached the servers of all sites.
type Ledger struct {
	mu        sync.Mutex
	arrivals  []*Arrival
	unmatched []string // requests that no route matched
	collapsed []string // servers that collapsed under overload
}

// add records an arrival. Later updates of it are made with updateArrival.
func (ledger *Ledger) add(arrival *Arrival) {
	ledger.mu.Lock()
	ledger.arrivals = append(ledger.arrivals, arrival)
	ledger.mu.Unlock()
}

// addUnmatched records a request that no route matched.
func (ledger *Ledger) addUnmatched(text string) {
	ledger.mu.Lock()
	ledger.unmatched = append(ledger.unmatched, text)
	ledger.mu.Unlock()
}

// addCollapsed records a server that collapsed, as site/server.
func (ledger *Ledger) addCollapsed(server string) {
	ledger.mu.Lock()
	ledger.collapsed = append(ledger.collapsed, server)
	ledger.mu.Unlock()
}

// Arrivals returns the requests that the servers have recorded so far.
func (ledger *Ledger) Arrivals() []Arrival {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	arrivals := make([]Arrival, len(ledger.arrivals))
	for i, arrival := range ledger.arrivals {
		arrivals[i] = *arrival
	}
	return arrivals
}

// Unmatched returns the requests that no route of the servers matched, as text.
func (ledger *Ledger) Unmatched() []string {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return append([]string(nil), ledger.unmatched...)
}

// Collapsed returns the servers that collapsed under overload, as site/server.
func (ledger *Ledger) Collapsed() []string {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return append([]string(nil), ledger.collapsed...)
}

// updateArrival calls update, which modifies an arrival, with the ledger's mutex held.
func (ledger *Ledger) updateArrival(update func()) {
	ledger.mu.Lock()
	update()
	ledger.mu.Unlock()
}
