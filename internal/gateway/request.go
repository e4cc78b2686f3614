package gateway

import (
	"strconv"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// pendingRequest is a client's request until it has its final answer.
type pendingRequest struct {
	id              string // the engine's
	trace           string // X-Trace-Id
	requestHead     httpwire.Head
	body            []byte
	version         *version      // in force when it was matched: it keeps it
	confirmationAge time.Duration // of the version's last confirmation, then
	operation       *routing.Operation
	counters        *Counters
	licensee        string
	units           int
	deadline        time.Time
	wasSent         bool // an attempt was written whole
	hasKeyOwner     bool // it has an idempotency key, and one site owns that
	key             uint64
	mayRun          bool // an attempt may have run

	cameByRelay bool   // another site's instance relayed it
	relayID     string // set if cameByRelay
	isRelayed   bool   // the attempt under way goes to another site's instance

	// Under the instance's mutex:
	isAnswered   bool // answer is final
	answer       outcome
	retryAfter   time.Duration   // of a rejection; 0: none
	keyRejection string          // why its key made it a rejection; empty: it did not
	next         attempt         // asked for and not begun
	hasNext      bool            // next is set
	current      *attemptControl // the attempt under way
	attempts     int
	isWaiting    bool // its goroutine waits for wake
	wake         chan struct{}
	response     response // of the latest attempt
}

// reset makes the request ready for the next one on its connection. Nothing else may use it any more.
func (r *pendingRequest) reset(cameByRelay bool) {
	r.body, r.current, r.attempts = nil, nil, 0
	r.isAnswered, r.hasNext, r.isWaiting = false, false, false
	r.wasSent, r.mayRun, r.isRelayed = false, false, false
	r.cameByRelay, r.keyRejection = cameByRelay, ""
	select {
	case <-r.wake: // sent just as the last request's deadline ended its wait
	default:
	}
}

// requestStep is what a request's goroutine does next.
type requestStep struct {
	action  stepAction
	attempt attempt // of stepSend
}

type stepAction int

const (
	stepWait   stepAction = iota // until the engine has decided
	stepSend                     // an attempt
	stepAnswer                   // the client: the answer is final
)

// takeNextStep returns what the request's goroutine does next. Called under the instance's mutex.
func (r *pendingRequest) takeNextStep() requestStep {
	hasNext := r.hasNext
	r.hasNext = false
	r.isWaiting = !hasNext && !r.isAnswered
	switch {
	case r.isAnswered:
		return requestStep{action: stepAnswer}
	case hasNext:
		r.current = &attemptControl{}
		r.attempts++
		return requestStep{action: stepSend, attempt: r.next}
	}
	return requestStep{action: stepWait}
}

// outcome says how a request ended.
type outcome int

const (
	served outcome = iota
	rejected
	failed
)

// String returns the word that access log and figures have for an outcome.
func (o outcome) String() string { return [...]string{"served", "refused", "failed"}[o] }

// serveRequest takes a request to its final answer. hasDisconnected tells whether the client has closed its
// connection; it is asked before each retry.
func (in *Instance) serveRequest(r *pendingRequest, engineRequest policy.Request, hasDisconnected func() bool) {
	step := in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		in.admit(r, engineRequest, now, out)
	})
	for step.action != stepAnswer {
		if step.action == stepSend {
			step = in.runAttempt(r, step.attempt, hasDisconnected)
		} else {
			step = in.awaitDecision(r)
		}
	}
	in.handleEvent(func(time.Duration, policy.Actions) { delete(in.requests, r.id) })
}

// awaitDecision waits until the engine has decided what comes next for a request. One for which it decides nothing
// in time fails.
func (in *Instance) awaitDecision(r *pendingRequest) requestStep {
	timeout := time.NewTimer(time.Until(r.deadline))
	defer timeout.Stop()
	select {
	case <-r.wake:
		return in.handleRequestEvent(r, func(time.Duration, policy.Actions) {})
	case <-timeout.C:
	case <-in.ctx.Done():
	}
	return in.failUndecided(r)
}

// failUndecided fails a request for which the engine gave no answer in time.
func (in *Instance) failUndecided(r *pendingRequest) requestStep {
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		in.answer(r, failed, 0)
		in.engine.ClientDisconnected(now, r.id, out)
	})
}

// admit records a request and brings it to the engine, unless no site owns its key now. Called under the mutex.
func (in *Instance) admit(r *pendingRequest, engineRequest policy.Request, now time.Duration, out policy.Actions) {
	in.lastRequestNumber++
	var digits [20]byte
	r.id = string(strconv.AppendUint(digits[:0], in.lastRequestNumber, 36))
	engineRequest.ID = r.id
	in.requests[r.id] = r
	if r.cameByRelay { // nothing is relayed twice
		engineRequest.Zone, engineRequest.IsCharged = in.relay.config.Own[0], true
	}
	if r.hasKeyOwner {
		decision := in.routeKey(r, now)
		if decision.Site == "" {
			r.keyRejection = decision.Reason
			retryAfter := max(decision.RetryAfter, minRetryAfter)
			in.answer(r, rejected, min(retryAfter, in.config.Settings.MaxRetryAfter))
			return
		}
		engineRequest.Zone = decision.Site
	}
	in.engine.RequestReceived(now, engineRequest, out)
}

// routeKey returns the site that owns a request's key. A relayed request whose key this site does not own is
// rejected: one of the two sites goes by older key owners. Called under the mutex.
func (in *Instance) routeKey(r *pendingRequest, now time.Duration) multisite.RoutingDecision {
	decision := in.keys.Route(now, r.key)
	if decision.Site != "" && r.cameByRelay && !in.relay.ownsSite(decision.Site) {
		return multisite.RoutingDecision{RetryAfter: minRetryAfter, Reason: "the sites differ on its home"}
	}
	return decision
}

// answer gives a request its final answer unless it has one. Called under the mutex.
func (in *Instance) answer(r *pendingRequest, result outcome, retryAfter time.Duration) {
	if r.isAnswered {
		return
	}
	r.isAnswered, r.answer, r.retryAfter = true, result, retryAfter
	if r.current != nil { // no response to the attempt in flight counts any more
		in.deferred = append(in.deferred, r.current.abort)
	}
	in.wakeRequest(r)
}

// wakeRequest ends the wait of a request's goroutine, if it waits. Called under the mutex.
func (in *Instance) wakeRequest(r *pendingRequest) {
	if r.isWaiting {
		r.isWaiting = false
		r.wake <- struct{}{} // never blocks: its buffer holds one, and one is sent for each wait
	}
}
