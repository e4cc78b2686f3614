package policy

import (
	"math"
	"time"
)

// attempt is one sending of a request to a server.
type attempt struct {
	server        *server
	sentAt        time.Duration
	zone          string // of the server when it was sent
	cell          int    // likewise
	isDone        bool
	isStreaming   bool // its response streams, or its body does: it is no work in flight any more, or not yet
	neverExecuted bool // known not to have run
	result        Result
}

// request is a request in hand. Invariant: inFlight counts the attempts that have not ended, whether or not the
// request has its answer.
type request struct {
	Request
	number           uint64 // names it in timers and quota messages
	class            int
	quota            *customerQuota
	deadline         time.Duration // final answer due
	attempts         []attempt
	inFlight         int
	inQuota          bool
	isLate           bool // it is known to come too late for its latency objective
	ownerUnreachable bool // the owner did not answer: forwarded by chance or not at all
	awaitsOwner      bool // the owner was asked, and has not answered
	isGranted        bool // by the owner, with its part of the hard limit
	owner            int  // node that was asked for its units, or this one
	isSettled        bool
	isAnswered       bool // finally
	isStreaming      bool // its response has begun
}

// requestTable holds the requests in hand. Invariant: a request stands under its number until it is answered
// and, where its quota's owner was asked, the owner has answered or timed out; and under its ID until its last
// attempt has ended.
type requestTable struct {
	byID       map[string]*request
	byNumber   map[uint64]*request
	lastNumber uint64
}

// newRequestTable begins after a number that chance gives, so that answers to a node before its restart match
// nothing.
func newRequestTable(lastNumber uint64) requestTable {
	return requestTable{byID: map[string]*request{}, byNumber: map[uint64]*request{}, lastNumber: lastNumber}
}

// nextNumber returns the number of a new request.
func (t *requestTable) nextNumber() uint64 {
	t.lastNumber++
	return t.lastNumber
}

// add puts a request under its ID and its number.
func (t *requestTable) add(r *request) { t.byID[r.ID], t.byNumber[r.number] = r, r }

// endAttempt books the end of an attempt.
func (e *Engine) endAttempt(r *request, a *attempt, result Result) {
	a.isDone, a.result, a.neverExecuted = true, result, neverExecuted(result)
	if !a.isStreaming {
		e.releaseServer(a.server)
	}
	a.server.connectionEnded(e.now, result)
	r.inFlight--
	r.quota.inFlight--
	e.markForGossip(r.quota)
}

// settleUnits gives back what a request had taken too much of its quota, once its true units are known.
func (e *Engine) settleUnits(r *request, o AttemptResult) {
	if o.Result != OK || !e.settings.SettlesUnits || o.Units <= 0 || !r.inQuota || r.isSettled {
		return
	}
	r.isSettled = true
	e.refill(r.quota)
	e.returnUnits(r, r.Units-o.Units)
}

// occupyServer counts an attempt as work in flight at a server.
func (e *Engine) occupyServer(s *server) {
	s.inFlight++
	e.load.inFlight++
}

// releaseServer ends that.
func (e *Engine) releaseServer(s *server) {
	s.inFlight--
	e.load.inFlight--
}

// cancelAttempts asks to stop waiting for the attempts that are still in flight.
func (e *Engine) cancelAttempts(r *request) {
	for i := range r.attempts {
		if e.settings.AllowsCancel && !r.attempts[i].isDone {
			e.actions.CancelAttempt(r.ID, i)
		}
	}
}

// closeRequest marks the request answered; it is kept until its attempts have ended.
func (e *Engine) closeRequest(r *request) {
	r.isAnswered = true
	if !r.awaitsOwner { // else the owner may still grant it units, which are to be given back
		delete(e.requests.byNumber, r.number)
	}
	if r.inFlight > 0 {
		return
	}
	delete(e.requests.byID, r.ID)
	if len(r.attempts) > 0 && e.settings.Plans[r.quota.plan].MaxInFlight > 0 && r.quota.usesOwner {
		e.returnUnits(r, 0)
	}
}

// expireRequest gives a request, if there is one, the answer that is due by now.
func (e *Engine) expireRequest(r *request) {
	if r != nil && !r.isAnswered && !r.isStreaming {
		e.finish(r)
	}
}

// newRequest makes a request out of what the host has told.
func (e *Engine) newRequest(q Request, class, plan int) *request {
	q.Units = math.Max(q.Units, 0)
	q.InstanceCount = min(max(q.InstanceCount, 1), e.settings.InstanceCount)
	scope := quotaScope{plan: plan, instanceCount: q.InstanceCount, firstInstance: q.FirstInstance}
	quota := e.quotaFor(q.Customer, scope)
	if quota.plan != plan { // the customer has changed its plan
		e.changePlan(quota, e.settings.Plans[quota.plan], plan)
	}
	r := &request{Request: q, number: e.requests.nextNumber(), class: class, quota: quota}
	r.deadline = e.now + q.BodyTimeout + q.Timeout - 2*e.settings.MinEventInterval
	return r
}
