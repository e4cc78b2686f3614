package gateway

import (
	"sync/atomic"
)

// Counters count the requests of one operation.
type Counters struct {
	Served, Refused, Failed atomic.Int64 // final answers
	Units                   atomic.Int64 // of requests of which an attempt was written whole
	Sent                    atomic.Int64 // these requests
	Attempts                atomic.Int64 // written whole
}

// RequestRecord is what became of one request that was charged or rejected.
type RequestRecord struct {
	Trace        string `json:"trace"` // X-Trace-Id
	Operation    string `json:"operation"`
	Licensee     string `json:"licensee"`
	Version      uint64 `json:"version"` // of the setup that it was matched with
	Units        int    `json:"units"`
	Sent         bool   `json:"sent"` // an attempt was written whole: the units count
	Attempts     int    `json:"attempts"`
	Status       int    `json:"status"`        // of the final answer
	Answer       string `json:"answer"`        // "served", "refused" or "failed"
	KeyRejection string `json:"why,omitempty"` // a request with a key was rejected for the sake of its key
}

// EachOperation calls f with the counters of each operation that was ever in force.
func (in *Instance) EachOperation(f func(operation string, c *Counters)) {
	in.mu.Lock()
	all := make(map[string]*Counters, len(in.counters))
	for id, c := range in.counters {
		all[id] = c
	}
	in.mu.Unlock()
	for id, c := range all {
		f(id, c)
	}
}

// BadRequestCount is the number of requests that were rejected before they were charged.
func (in *Instance) BadRequestCount() int64 { return in.badRequestCount.Load() }

// UnconfirmedCount is the number of requests rejected because the setup was not confirmed.
func (in *Instance) UnconfirmedCount() int64 { return in.unconfirmedCount.Load() }
