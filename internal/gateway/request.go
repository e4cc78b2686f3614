package gateway

import (
	"time"

	"mulleinmux/internal/httpwire"
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

	recorder *traceRecorder // nil: no trace is wanted
}

// reset makes the request ready for the next one on its connection. Nothing else may use it any more.
func (r *pendingRequest) reset(cameByRelay bool) {
	r.body, r.current, r.attempts = nil, nil, 0
	r.isAnswered, r.hasNext, r.isWaiting = false, false, false
	r.wasSent, r.mayRun, r.isRelayed = false, false, false
	r.cameByRelay, r.keyRejection, r.recorder = cameByRelay, "", nil
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
func (o outcome) String() string { return outcomeTexts[o] }

// requestSource is the connection that a request came on.
type requestSource interface {
	// hasDisconnected reports whether the client, or the other site's instance that has relayed the request, has closed
	// its connection, whatever watchClose has seen.
	hasDisconnected() bool

	// watchClose calls onClose once if another site's instance, which has relayed the request, has closed its connection,
	// before it returns, or closes it, until stop is called.
	watchClose(onClose func()) (stop func())
}

// serveRequest takes a request to its final answer.
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

// handleRequestEvent runs an event of one request, then what its actions left to do, and returns what the request's
// goroutine does next.
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
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) { // the engine gave no answer in time
		in.host.recordLateness(in.host.reading(r.deadline), now)
		in.abandonEvent(r)(now, out)
	})
}

// abandonEvent fails a request whose answer nobody waits for any more, and ends its attempt in flight.
func (in *Instance) abandonEvent(r *pendingRequest) engineEvent {
	return func(now time.Duration, out policy.Actions) {
		in.answer(r, failed, 0)
		in.host.engine.ClientDisconnected(now, r.id, out)
	}
}

// admit records a request and brings it to the engine, unless no site owns its key now. Called under the mutex.
func (in *Instance) admit(r *pendingRequest, engineRequest policy.Request, now time.Duration, out policy.Actions) {
	in.requests.add(r)
	engineRequest.ID = r.id
	if r.cameByRelay { // nothing is relayed twice
		engineRequest.Zone, engineRequest.IsCharged = in.relay.config.Own[0], true
	}
	if r.hasKeyOwner {
		decision := in.sites.routeKey(now, r.key, r.cameByRelay)
		if decision.Site == "" {
			r.keyRejection = decision.Reason
			in.answer(r, rejected, keyRejectionWait(decision.RetryAfter, in.config.Settings.MaxRetryAfter))
			return
		}
		engineRequest.Zone = decision.Site
	}
	in.host.engine.RequestReceived(now, engineRequest, out)
}

// answer gives a request its final answer unless it has one. Called under the mutex.
func (in *Instance) answer(r *pendingRequest, result outcome, retryAfter time.Duration) {
	if r.isAnswered {
		return
	}
	r.isAnswered, r.answer, r.retryAfter = true, result, retryAfter
	r.recorder.answerDecided(result)
	if r.current != nil { // no response to the attempt in flight counts any more
		in.host.afterEvent(r.current.abort)
	}
	r.wakeUp()
}

// wakeUp ends the wait of the request's goroutine, if it waits. Called under the instance's mutex.
func (r *pendingRequest) wakeUp() {
	if r.isWaiting {
		r.isWaiting = false
		r.wake <- struct{}{} // never blocks: its buffer holds one, and one is sent for each wait
	}
}
