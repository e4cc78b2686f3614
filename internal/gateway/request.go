package gateway

import (
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
	"mulleinmux/routing"
)

// pendingRequest is a client's request that has no final answer yet.
type pendingRequest struct {
	id              string // that the engine uses
	traceID         string // X-Trace-Id
	requestHead     httpwire.Head
	body            []byte
	version         *version      // in force when the request was matched; the request keeps this version
	confirmationAge time.Duration // time since the version's last confirmation when the request was matched
	operation       *routing.Operation
	counters        *Counters
	licensee        string
	units           int
	deadline        time.Time
	answerBy        time.Time // until when a response that has begun is awaited; not before deadline
	wasSent         bool      // an attempt was written completely
	hasKeyOwner     bool      // it has an idempotency key that is owned by one site
	key             uint64
	mayHaveRun      bool // an attempt may have run

	isFromRelay bool                         // another site's instance relayed the request to this one
	relayID     multisite.ForwardedRequestID // set if isFromRelay
	isRelayed   bool                         // the current attempt is sent to another site's instance
	relayNumber string                       // of the current attempt, as issued by relayNumbers; set if isRelayed
	clock       messageClock                 // set if isRelayed

	// Guarded by the instance's mutex:
	isAnswered   bool // answer is set and final
	answer       outcome
	retryAfter   time.Duration   // of a rejection; 0: no Retry-After
	keyRejection string          // why the idempotency key caused the rejection; empty: it did not
	nextAttempt  attempt         // requested by the engine and not begun yet
	hasNext      bool            // nextAttempt is set
	current      *attemptControl // of the current attempt
	attempts     int
	isWaiting    bool // the request's goroutine waits for wake
	wake         chan struct{}
	response     response // of the latest attempt

	recorder *traceRecorder // nil: tracing is off
}

// reset prepares the struct for the next request on its connection. No other goroutine may still use the struct.
func (r *pendingRequest) reset(isFromRelay bool) {
	r.body, r.current, r.attempts = nil, nil, 0
	r.isAnswered, r.hasNext, r.isWaiting = false, false, false
	r.wasSent, r.mayHaveRun, r.isRelayed = false, false, false
	r.isFromRelay, r.keyRejection, r.recorder = isFromRelay, "", nil
	select {
	case <-r.wake: // sent while the previous request's wait ended at its deadline
	default:
	}
}

// requestStep is the next step of a request's goroutine.
type requestStep struct {
	action  stepAction
	attempt attempt // set for stepSend
}

type stepAction int

const (
	stepWait   stepAction = iota // wait for a decision of the engine
	stepSend                     // send an attempt
	stepAnswer                   // send the final answer to the client
)

// takeNextStep returns the next step of the request's goroutine. The caller must hold the instance's mutex.
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
		return requestStep{action: stepSend, attempt: r.nextAttempt}
	}
	return requestStep{action: stepWait}
}

// outcome is the kind of a request's final answer.
type outcome int

const (
	served outcome = iota
	rejected
	failed
)

// String returns the outcome's name in the access log and in metrics.
func (o outcome) String() string { return outcomeTexts[o] }

// requestSource is the connection on which a request was received.
type requestSource interface {
	// hasDisconnected reports whether the client, or the other site's instance that relayed the request, has closed the
	// connection, even if watchClose has not noticed it yet.
	hasDisconnected() bool

	// confirmClient reports whether an attempt may begin now: the client is connected. It may wait until the deadline, or
	// until the attempt is aborted.
	confirmClient(control *attemptControl, deadline time.Time) bool

	// watchClose calls onClose if the client disconnects, or if the other site's instance that relayed the request gives
	// it up, before stopWatch is called. If that has happened already, onClose is called before watchClose returns.
	// onClose must not block; it may be called more than once. It is not called any more after stopWatch has returned.
	watchClose(onClose func())
	stopWatch()

	// announceResponse reports to the other site's instance that relayed the request that a server has begun its
	// response.
	announceResponse()
}

// serveRequest carries out a request until it has its final answer.
func (in *Instance) serveRequest(r *pendingRequest, engineRequest policy.Request, source requestSource) {
	step := in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		in.admit(r, engineRequest, now, out)
	})
	for step.action != stepAnswer {
		if step.action == stepSend {
			step = in.runAttempt(r, step.attempt, source)
		} else {
			step = in.awaitDecision(r)
		}
	}
	in.host.handleEvent(func(time.Duration, policy.Actions) { in.requests.remove(r) })
}

// handleRequestEvent runs an event of one request, then the functions that its actions deferred, and returns the next
// step of the request's goroutine.
func (in *Instance) handleRequestEvent(r *pendingRequest, event engineEvent) requestStep {
	host := &in.host
	host.mu.Lock()
	host.runEvent(event)
	deferred := host.takeDeferred()
	if host.isClosed {
		in.answer(r, failed, 0)
	}
	step := r.takeNextStep()
	host.mu.Unlock()
	runAll(deferred)
	return step
}

// awaitDecision waits for the engine's next decision on a request. The request fails if there is none by its deadline.
func (in *Instance) awaitDecision(r *pendingRequest) requestStep {
	timeout := time.NewTimer(time.Until(r.deadline))
	defer timeout.Stop()
	select {
	case <-r.wake:
		return in.handleRequestEvent(r, func(time.Duration, policy.Actions) {})
	case <-timeout.C:
	case <-in.ctx.Done():
	}
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) { // no decision by the deadline
		in.host.recordLateness(in.host.reading(r.deadline), now)
		in.abandonEvent(r)(now, out)
	})
}

// abandonEvent returns the event that fails a request whose answer is no longer awaited and ends its attempt in flight.
func (in *Instance) abandonEvent(r *pendingRequest) engineEvent {
	return func(now time.Duration, out policy.Actions) {
		in.answer(r, failed, 0)
		in.host.engine.ClientDisconnected(now, r.id, out)
	}
}

// failOpenRequests fails all requests that have no answer yet and ends their attempts in flight.
func (in *Instance) failOpenRequests() {
	in.host.handleEvent(func(now time.Duration, out policy.Actions) {
		for _, r := range in.requests.byID {
			in.abandonEvent(r)(now, out)
		}
	})
}

// admit records a request and passes it to the engine. A request whose key has no available owner is rejected instead.
// The caller must hold the instance's mutex.
func (in *Instance) admit(r *pendingRequest, engineRequest policy.Request, now time.Duration, out policy.Actions) {
	in.requests.add(r)
	engineRequest.ID = r.id
	if r.isFromRelay { // a request is relayed at most once
		engineRequest.Zone, engineRequest.IsCharged = in.relay.config.OwnSites[0], true
	}
	if r.hasKeyOwner {
		decision := in.sites.routeKey(now, r.key, r.isFromRelay)
		if decision.Site == "" {
			r.keyRejection = decision.Reason
			in.answer(r, rejected, keyRejectionWait(decision.RetryAfter, in.config.Settings.MaxRetryAfter))
			return
		}
		engineRequest.Zone = decision.Site
	}
	in.host.engine.RequestReceived(now, engineRequest, out)
}

// answer sets the final answer of a request unless it has one. The caller must hold the instance's mutex.
func (in *Instance) answer(r *pendingRequest, result outcome, retryAfter time.Duration) {
	if r.isAnswered {
		return
	}
	r.isAnswered, r.answer, r.retryAfter = true, result, retryAfter
	r.recorder.answerDecided(result)
	if r.current != nil { // the response to the attempt in flight is no longer needed
		in.host.afterEvent(r.current.abort)
	}
	r.wakeUp()
}

// wakeUp wakes the request's goroutine if it waits in awaitDecision. The caller must hold the instance's mutex.
func (r *pendingRequest) wakeUp() {
	if r.isWaiting {
		r.isWaiting = false
		r.wake <- struct{}{} // never blocks: the channel buffers one value, and each wait gets one
	}
}
