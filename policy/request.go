package policy

import (
	"time"
)

type attempt struct {
	server        *server
	sentAt        time.Duration
	zone          string // of the server when it was sent
	cell          int
	isDone        bool
	isStreaming   bool // its answer streams, or its body does: it counts no more, or not yet, as work out
	neverExecuted bool // known not to have run
	result        Result
}

type request struct {
	Request
	number           uint64
	class            int
	quota            *customerQuota
	deadline         time.Duration // final answer due
	attempts         []attempt
	inFlight         int
	inQuota          bool
	isLate           bool // it is known to come too late for its aim
	ownerUnreachable bool // its ask came to nothing: sent by chance or not at all
	awaitsOwner      bool // its holder was asked, and has not answered
	isGranted        bool // by its holder, with its part of the ceiling
	owner            int  // gateway that was asked for its units, or this one
	isSettled        bool
	isAnswered       bool // finally answered
	isStreaming      bool // its stream has begun
}

// cancelAttempts asks to stop waiting for the attempts that are still out.
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
	if !r.awaitsOwner { // else an answer may still grant it units, which are to be given back
		delete(e.requestByNumber, r.number)
	}
	if r.inFlight == 0 {
		delete(e.requests, r.ID)
		if len(r.attempts) > 0 && e.settings.Plans[r.quota.plan].MaxInFlight > 0 && r.quota.usesOwner {
			e.returnUnits(r, 0)
		}
	}
}

// expireRequest gives a request, if there is one, the answer that is due by now.
func (e *Engine) expireRequest(r *request) {
	if r != nil && !r.isAnswered && !r.isStreaming {
		e.finish(r)
	}
}
