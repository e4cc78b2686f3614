package multisite

import (
	"errors"
	"slices"
	"time"
)

// minSweptExpirations is for how many acknowledged requests the expirations are swept at once.
const minSweptExpirations = 1024

// ForwardedRequests is what an instance remembers of the requests that were forwarded to it by another site, so that it
// can prove, once a link that dropped is back, what became of one. The other site asks with the request's ID, new for
// each attempt. Asking about one that has not arrived voids it: bytes that a broken link still delivers later run
// nothing. So NeverExecuted is final, and with it the other site may send the request elsewhere.
//
// A request is remembered until the other site acknowledges its answer, else for a TTL after it arrived or was voided,
// or after its end. What arrives later than a TTL after it was sent must be held off by the host (a link delivers in
// order, and its connections end). With no room left, nothing is admitted and nothing can be voided: the status is
// ExecutionUnknown then.
//
// It is not safe for concurrent use.
type ForwardedRequests struct {
	ttl         time.Duration
	maxRequests int
	byID        map[string]*forwardedRequest
	expirations []requestExpiration // in the order in which they were added
}

type forwardedRequest struct {
	status         ExecutionStatus
	expiresAt      time.Time
	retainedAnswer any
}

type requestExpiration struct {
	dueAt time.Time
	id    string
}

// NewForwardedRequests remembers maxRequests requests at the most, each for ttl after its last change.
func NewForwardedRequests(ttl time.Duration, maxRequests int) (*ForwardedRequests, error) {
	if ttl <= 0 || maxRequests <= 0 {
		return nil, errors.New("multisite: the TTL and number of forwarded requests must be above 0")
	}
	return &ForwardedRequests{ttl: ttl, maxRequests: maxRequests, byID: map[string]*forwardedRequest{}}, nil
}

// Admit takes in a request that has arrived. If it is false, the request must not run: it was voided or there is no
// room to remember it, which is NeverExecuted, or it has arrived before, with the status that it has.
func (f *ForwardedRequests) Admit(now time.Time, id string) (status ExecutionStatus, ok bool) {
	f.expire(now)
	if r := f.byID[id]; r != nil {
		return r.status, false
	}
	if f.isFull() {
		return NeverExecuted, false
	}
	f.add(now, id, Executing)
	return Executing, true
}

// Complete records the final status of a request that Admit let in, and what to retain of its answer.
func (f *ForwardedRequests) Complete(now time.Time, id string, status ExecutionStatus, answer any) {
	if r := f.byID[id]; r != nil && r.status == Executing {
		r.status, r.retainedAnswer, r.expiresAt = status, answer, now.Add(f.ttl)
	}
}

// ResolveStatus returns what became of a request, and what was retained of its answer. One that has not arrived is void
// from here on.
func (f *ForwardedRequests) ResolveStatus(now time.Time, id string) (status ExecutionStatus, answer any) {
	f.expire(now)
	if r := f.byID[id]; r != nil {
		return r.status, r.retainedAnswer
	}
	if f.isFull() {
		return ExecutionUnknown, nil
	}
	f.add(now, id, NeverExecuted)
	return NeverExecuted, nil
}

// Acknowledge drops a request whose answer the other site has: it will not ask, and as it sends each request once,
// nothing of it can arrive any more. So the room needed follows from connections that break, not from how many requests
// are forwarded.
func (f *ForwardedRequests) Acknowledge(id string) {
	if r := f.byID[id]; r == nil || r.status == Executing {
		return
	}
	delete(f.byID, id)
	if len(f.expirations) > 2*len(f.byID)+minSweptExpirations {
		f.expirations = slices.DeleteFunc(f.expirations, func(e requestExpiration) bool { return f.byID[e.id] == nil })
	}
}

// Len is the number of requests remembered.
func (f *ForwardedRequests) Len() int { return len(f.byID) }

func (f *ForwardedRequests) isFull() bool { return len(f.byID) >= f.maxRequests }

func (f *ForwardedRequests) add(now time.Time, id string, status ExecutionStatus) {
	expiresAt := now.Add(f.ttl)
	f.byID[id] = &forwardedRequest{status: status, expiresAt: expiresAt}
	f.expirations = append(f.expirations, requestExpiration{expiresAt, id})
}

// expire drops what is past its TTL. A request that is executing stays until it has ended.
func (f *ForwardedRequests) expire(now time.Time) {
	done := 0
	for ; done < len(f.expirations) && !now.Before(f.expirations[done].dueAt); done++ {
		id := f.expirations[done].id
		r := f.byID[id]
		if r == nil {
			continue // acknowledged
		}
		if r.status == Executing {
			r.expiresAt = now.Add(f.ttl)
		}
		if now.Before(r.expiresAt) {
			f.expirations = append(f.expirations, requestExpiration{r.expiresAt, id})
		} else {
			delete(f.byID, id)
		}
	}
	f.expirations = f.expirations[done:]
}
