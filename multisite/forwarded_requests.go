package multisite

import (
	"errors"
	"slices"
	"time"
)

// minSweptExpirations is the number of superfluous expirations from which they are swept.
const minSweptExpirations = 1024

// ForwardedRequests records the requests that another site forwarded to this instance, so that it can tell their
// status after the link between the sites has failed. The other site queries the status by the request's ID, which
// is new for each attempt. A query for a request that has not arrived voids it: if a broken link delivers it later,
// it is rejected. So NeverExecuted is final, and the other site may then send the request elsewhere.
//
// A request is recorded until the other site acknowledges its answer, or else for a TTL after it arrived, was voided or
// ended. The host must reject what arrives later than a TTL after it was sent (a link delivers in order, and its
// connections end). While the table is full, nothing is admitted and nothing can be voided: the status is
// ExecutionUnknown.
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

// NewForwardedRequests returns an empty table of at most maxRequests requests, each recorded for ttl after its last
// change. Both must be above 0.
func NewForwardedRequests(ttl time.Duration, maxRequests int) (*ForwardedRequests, error) {
	if ttl <= 0 || maxRequests <= 0 {
		return nil, errors.New("multisite: the TTL and number of forwarded requests must be above 0")
	}
	return &ForwardedRequests{ttl: ttl, maxRequests: maxRequests, byID: map[string]*forwardedRequest{}}, nil
}

// Admit records a request that has arrived. If ok is false, it must not run: it was voided or the table is full,
// with the status NeverExecuted, or it has arrived before, with the status that it has since.
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

// Complete records the final status of a request that Admit has admitted, and what to retain of its answer.
func (f *ForwardedRequests) Complete(now time.Time, id string, status ExecutionStatus, answer any) {
	if r := f.byID[id]; r != nil && r.status == Executing {
		r.status = status
		r.retainedAnswer = answer
		r.expiresAt = now.Add(f.ttl)
	}
}

// ResolveStatus returns the status of a request and what was retained of its answer. A request that has not arrived is
// voided.
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

// Acknowledge drops a request whose answer the other site has received: it will not query the status, and since it
// sends each request once, nothing of it can arrive any more. So the table's size depends on how many connections
// break, not on how many requests are forwarded.
func (f *ForwardedRequests) Acknowledge(id string) {
	if r := f.byID[id]; r == nil || r.status == Executing {
		return
	}
	delete(f.byID, id)
	if len(f.expirations) > 2*len(f.byID)+minSweptExpirations {
		f.expirations = slices.DeleteFunc(f.expirations, func(e requestExpiration) bool { return f.byID[e.id] == nil })
	}
}

// Len returns the number of requests recorded.
func (f *ForwardedRequests) Len() int { return len(f.byID) }

func (f *ForwardedRequests) isFull() bool { return len(f.byID) >= f.maxRequests }

func (f *ForwardedRequests) add(now time.Time, id string, status ExecutionStatus) {
	expiresAt := now.Add(f.ttl)
	f.byID[id] = &forwardedRequest{status: status, expiresAt: expiresAt}
	f.expirations = append(f.expirations, requestExpiration{expiresAt, id})
}

// expire drops the requests whose TTL has passed. A request that is executing is kept until it has ended.
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
