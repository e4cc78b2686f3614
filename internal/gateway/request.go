package gateway

import (
	"strconv"
	"strings"
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

// attempt is one send of a request to a server.
type attempt struct {
	server   string
	deadline time.Time
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

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	sentAt  time.Duration // by the instance's clock
	result  policy.Result
	usedKey bool // the key table counts the attempt as under way
}

// runAttempt carries out one attempt and brings its result to the engine.
func (in *Instance) runAttempt(r *pendingRequest, a attempt, hasDisconnected func() bool) requestStep {
	end := attemptEnd{sentAt: in.now()}
	r.response.wasWritten, r.response.connectedAt = false, time.Time{}
	r.isRelayed = isRemoteServer(a.server)
	if r.isRelayed {
		if !in.relay.acquire(r) {
			end.result = policy.RejectedByServer // no more may be relayed now
			return in.completeAttempt(r, a, end)
		}
		defer in.relay.release(r)
	}
	if r.hasKeyOwner {
		end.usedKey = in.confirmKeyOwner(r, a)
	}
	switch {
	case r.hasKeyOwner && !end.usedKey:
		end.result = policy.NotSent
	case r.attempts > 1 && hasDisconnected():
		end.result = policy.NotSent
		in.handleEvent(func(time.Duration, policy.Actions) { in.answer(r, failed, 0) })
	default:
		end.result = in.send(r, a)
	}
	return in.completeAttempt(r, a, end)
}

// completeAttempt counts an attempt that has ended and brings its result to the engine.
func (in *Instance) completeAttempt(r *pendingRequest, a attempt, end attemptEnd) requestStep {
	r.countAttempt(end.result)
	report := r.response.report()
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		r.current = nil
		if r.tellsOfSite(end.result) {
			in.recordSiteHealth(now, a.server, end.result, end.sentAt)
		}
		if end.usedKey {
			in.keys.EndAttempt(r.key, r.neverExecuted(end.result))
		}
		if end.result == policy.OK {
			in.answer(r, served, 0)
		}
		in.engine.AttemptCompleted(now, in.attemptResult(r, a, end.result, now-end.sentAt, report), out)
	})
}

// tellsOfSite tells whether the latest attempt's result says something of the health of its server's site. What a
// remote instance rejects or answers with an error does not.
func (r *pendingRequest) tellsOfSite(result policy.Result) bool {
	return !r.isRelayed || result != policy.RejectedByServer && result != policy.ErrorResponse
}

// confirmKeyOwner tells whether the attempt's site still owns the request's key: key owners may have changed since
// the request was admitted. If not, the request is answered.
func (in *Instance) confirmKeyOwner(r *pendingRequest, a attempt) (isOwner bool) {
	isOwner = true
	in.handleEvent(func(now time.Duration, out policy.Actions) {
		site, _, _ := strings.Cut(a.server, "/")
		isOwner = in.keys.BeginAttempt(now, r.key, site)
		switch {
		case isOwner:
		case r.wasSent:
			in.answer(r, failed, 0)
		default:
			r.keyRejection = "its home has moved meanwhile"
			in.answer(r, rejected, minRetryAfter)
		}
	})
	return isOwner
}

// send exchanges an attempt with its server. The other site is asked what became of a relayed one whose connection
// broke.
func (in *Instance) send(r *pendingRequest, a attempt) policy.Result {
	result := in.servers.exchange(in.ctx, r.current, a.server, a.deadline, r.requestHead.Method == "HEAD", &r.response,
		func(b []byte) []byte { return r.appendRequest(b, a.deadline) })
	if r.isRelayed && result == policy.ConnectionReset {
		return in.resolveRelayed(r, a)
	}
	return result
}

// countAttempt counts an attempt that was written whole, and the request's units with the first of these.
func (r *pendingRequest) countAttempt(result policy.Result) {
	if !r.response.wasWritten {
		return
	}
	r.mayRun = r.mayRun || result != policy.RejectedByServer
	r.counters.Attempts.Add(1)
	if !r.wasSent {
		r.wasSent = true
		r.counters.Sent.Add(1)
		r.counters.Units.Add(int64(r.units))
	}
}

// neverExecuted tells whether the latest attempt surely never ran.
func (r *pendingRequest) neverExecuted(result policy.Result) bool {
	switch result {
	case policy.RejectedByServer, policy.ConnectFailed, policy.NotSent:
		return true
	}
	return !r.response.wasWritten
}

// attemptResult is what the engine is told of an attempt's end.
func (in *Instance) attemptResult(r *pendingRequest, a attempt, result policy.Result, latency time.Duration,
	report *policy.LoadReport,
) policy.AttemptResult {
	end := policy.AttemptResult{ID: r.id, Attempt: r.attempts - 1, RequestAnswered: r.isAnswered, Result: result,
		Server: a.server, Latency: latency, LoadReport: report}
	if !r.response.connectedAt.IsZero() {
		end.ConnectedAt = time.Duration(in.startedAt.UnixNano()) + r.response.connectedAt.Sub(in.startedAt)
	}
	return end
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
