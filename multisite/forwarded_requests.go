package multisite

import (
	"errors"
	"slices"
	"time"
)

// minSweptExpirations is the number of expirations of acknowledged requests below which they are not swept.
const minSweptExpirations = 1024

// ForwardedRequestID identifies one attempt of one request that another instance has forwarded. Two attempts must never
// have the same ID, whatever IDs clients choose for their requests: a status query would be answered with the outcome
// and the answer of another client's request. Instance is therefore the peer as its certificate names it, and Number is
// issued by that instance: no part of it comes from a client, and no later process of the instance issues it again.
type ForwardedRequestID struct {
	Instance uint64
	Number   string
}

// ForwardedRequests records the requests that another site forwarded to this instance, so that it can report their
// status after the link between the sites has failed. The other site queries the status by the request's ID, which
// is new for each attempt. A query for a request that has not arrived voids the request: if a broken link delivers it
// later, it is rejected. NeverExecuted is therefore final, and the other site may then send the request elsewhere.
//
// A request is recorded until the other site acknowledges its answer, or else for a TTL after it arrived, was voided or
// completed. The caller must reject a request that arrives later than a TTL after it was sent, since it may no longer be
// recorded that the request was voided. A link meets this requirement if it delivers requests in order and its
// connections end within the TTL.
//
// While the table is full, no request is admitted and none can be voided: the status of a request that has not arrived
// is ExecutionUnknown.
//
// It is not safe for concurrent use.
type ForwardedRequests struct {
	ttl         time.Duration
	maxRequests int
	byID        map[ForwardedRequestID]*forwardedRequest
	expirations []requestExpiration // in the order in which they were added
}

type forwardedRequest struct {
	status         ExecutionStatus
	expiresAt      time.Time
	retainedAnswer any
	executor       any // set while the status is Executing
}

type requestExpiration struct {
	dueAt time.Time
	id    ForwardedRequestID
}

// NewForwardedRequests returns an empty table of at most maxRequests requests, each recorded for ttl after its last
// change. Both must be above 0.
func NewForwardedRequests(ttl time.Duration, maxRequests int) (*ForwardedRequests, error) {
	if ttl <= 0 || maxRequests <= 0 {
		return nil, errors.New("multisite: ttl and maxRequests of forwarded requests must be above 0")
	}
	return &ForwardedRequests{ttl: ttl, maxRequests: maxRequests, byID: map[ForwardedRequestID]*forwardedRequest{}}, nil
}

// Admit records a request that has arrived, and what carries it out, which Executor returns. If ok is false, the request must not be executed: either it was voided or
// the table is full, and its status is NeverExecuted, or it has arrived before, and the status is that of the first
// arrival.
func (f *ForwardedRequests) Admit(
	now time.Time, id ForwardedRequestID, executor any,
) (status ExecutionStatus, ok bool) {
	f.expire(now)
	if r := f.byID[id]; r != nil {
		return r.status, false
	}
	if f.isFull() {
		return NeverExecuted, false
	}
	f.add(now, id, Executing).executor = executor
	return Executing, true
}

// Executor returns what carries a request out, as passed to Admit, or nil if the request is not executing.
func (f *ForwardedRequests) Executor(id ForwardedRequestID) any {
	if r := f.byID[id]; r != nil {
		return r.executor
	}
	return nil
}

// Complete records the final status of a request that Admit has admitted, and the answer to retain.
func (f *ForwardedRequests) Complete(now time.Time, id ForwardedRequestID, status ExecutionStatus, answer any) {
	if r := f.byID[id]; r != nil && r.status == Executing {
		r.status, r.executor = status, nil
		r.retainedAnswer = answer
		r.expiresAt = now.Add(f.ttl)
	}
}

// ResolveStatus returns the status of a request and its retained answer. A request that has not arrived is voided.
func (f *ForwardedRequests) ResolveStatus(now time.Time, id ForwardedRequestID) (status ExecutionStatus, answer any) {
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

// Acknowledge drops a request whose answer the other site has received. The other site will not query its status and,
// since it sends each request once, no copy of the request can arrive any more. The table's size therefore depends on
// how many connections break, not on how many requests are forwarded.
func (f *ForwardedRequests) Acknowledge(id ForwardedRequestID) {
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

func (f *ForwardedRequests) add(now time.Time, id ForwardedRequestID, status ExecutionStatus) *forwardedRequest {
	r := &forwardedRequest{status: status, expiresAt: now.Add(f.ttl)}
	f.byID[id] = r
	f.expirations = append(f.expirations, requestExpiration{r.expiresAt, id})
	return r
}

// expire drops the requests whose TTL has passed. A request that is executing is kept until it completes.
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
