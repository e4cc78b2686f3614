package gateway

import "strconv"

// requestTable holds the pending requests and assigns their IDs. It is guarded by engineHost.mu.
type requestTable struct {
	byID       map[string]*pendingRequest
	lastNumber uint64
}

// add assigns the ID that the engine uses to a request and records the request.
func (t *requestTable) add(r *pendingRequest) {
	t.lastNumber++
	var digits [20]byte
	r.id = string(strconv.AppendUint(digits[:0], t.lastNumber, 36))
	t.byID[r.id] = r
}

func (t *requestTable) remove(r *pendingRequest) { delete(t.byID, r.id) }
