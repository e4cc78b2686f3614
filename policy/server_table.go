package policy

import "time"

// serverTable holds the servers of the endpoint list, and removed ones that still have attempts in flight.
// Invariant: list and byID hold the same servers. Server selection shuffles the list.
type serverTable struct {
	list          []*server
	byID          map[string]*server
	weightsDiffer bool // among the servers that accept requests
}

// update applies the endpoint list or changes of it.
func (t *serverTable) update(kind EndpointUpdateKind, entries []Server) {
	if kind != EndpointsDelta {
		for _, s := range t.list {
			s.isListed = false
		}
	}
	for _, entry := range entries {
		s := t.byID[entry.ID]
		if s == nil {
			s = newServer(entry.ID)
			t.byID[entry.ID] = s
			t.list = append(t.list, s)
		}
		s.update(entry)
	}
	t.prune()
	t.compareWeights()
}

// prune drops removed servers that have nothing in flight.
func (t *serverTable) prune() {
	kept := t.list[:0]
	for _, s := range t.list {
		if !s.isListed && s.inFlight == 0 {
			delete(t.byID, s.ID)
			continue
		}
		kept = append(kept, s)
	}
	t.list = kept
}

// compareWeights sets weightsDiffer.
func (t *serverTable) compareWeights() {
	t.weightsDiffer = false
	first := 0.0
	for _, s := range t.list {
		if !s.acceptsRequests() {
			continue
		}
		if first == 0 {
			first = s.weight()
		}
		t.weightsDiffer = t.weightsDiffer || s.weight() != first
	}
}

// ServerCounts returns the number of servers in the endpoint list, and of those that are avoided because they are
// unresponsive or ejected.
func (e *Engine) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range e.servers.list {
		if s.isListed {
			listed++
			avoided += boolToInt(s.isEjected(now))
		}
	}
	return listed, avoided
}
