package policy

import "time"

// serverTable holds the servers of the endpoint list, and those gone from it with attempts still in flight.
// Invariant: list and byID hold the same servers. Server selection shuffles the list.
type serverTable struct {
	list          []*server
	byID          map[string]*server
	weightsDiffer bool // between those that accept requests
}

// update takes over the endpoint list or changes of it.
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

// prune drops servers that are gone and have nothing in flight.
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

// compareWeights finds out whether the weights tell servers apart.
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

// ServerCounts counts the servers in the list, and those of them that get no request while others are left:
// unresponsive, or ejected for their failures.
func (e *Engine) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range e.servers.list {
		if s.isListed {
			listed++
			avoided += boolToInt(s.isEjected(now))
		}
	}
	return listed, avoided
}
