package gateway

import (
	"maps"
	"sync"
	"sync/atomic"

	"mulleinmux/routing"
)

// Counters holds the request counters of one operation.
type Counters struct {
	Served, Rejected, Failed atomic.Int64 // requests by final answer
	SentUnits                atomic.Int64 // of the requests counted by SentRequests
	SentRequests             atomic.Int64 // requests with an attempt that was written completely
	Attempts                 atomic.Int64 // attempts that were written completely
}

// countAnswer counts the final answer of a request.
func (c *Counters) countAnswer(answer outcome) {
	switch answer {
	case served:
		c.Served.Add(1)
	case rejected:
		c.Rejected.Add(1)
	default:
		c.Failed.Add(1)
	}
}

// operationCounters holds the counters of every operation that was ever in force, so that counting continues when the
// version changes.
type operationCounters struct {
	mu   sync.Mutex
	byID map[string]*Counters // guarded by mu
}

// forOperations returns the counters of the given operations, in the same order, and creates those that do not exist.
func (o *operationCounters) forOperations(operations []*routing.Operation) (counters []*Counters) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, operation := range operations {
		c := o.byID[operation.ID]
		if c == nil {
			c = &Counters{}
			o.byID[operation.ID] = c
		}
		counters = append(counters, c)
	}
	return counters
}

func (o *operationCounters) all() map[string]*Counters {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.byID)
}

// EachOperation calls f for each operation that was ever in force.
func (in *Instance) EachOperation(f func(operation string, c *Counters)) {
	for id, c := range in.counters.all() {
		f(id, c)
	}
}

// BadRequestCount returns the number of invalid requests, which were answered without being charged.
func (in *Instance) BadRequestCount() int64 { return in.badRequestCount.Load() }

// UnconfirmedCount returns the number of requests that were rejected because the setup was not confirmed.
func (in *Instance) UnconfirmedCount() int64 { return in.versions.unconfirmedCount.Load() }
