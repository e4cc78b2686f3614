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
	wasSent         bool   // an attempt was written whole
	key             uint64 // of a keyed request that sites decides on
	hasKeyOwner     bool   // it is one
	mayRun          bool   // an attempt may have run

	cameByRelay bool   // it came over the link
	relayID     string // then
	isRelayed   bool   // the attempt under way is relayed the link

	// Under the instance's mutex:
	isAnswered   bool // answer is final
	answer       outcome
	retryAfter   time.Duration   // of a refusal
	keyRejection string          // of one for the sake of its key
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
	case <-r.wake: // crossed with the end of the last request's time
	default:
	}
}

// attempt is one send of a request to a server.
type attempt struct {
	server   string
	deadline time.Time
}

type outcome int

func (k outcome) String() string { return [...]string{"served", "refused", "failed"}[k] }

const (
	served outcome = iota
	rejected
	failed
)

// serveRequest takes a request to its final answer. hasDisconnected tells whether the client has closed its
// connection; it is asked before each retry.
func (in *Instance) serveRequest(r *pendingRequest, q policy.Request, hasDisconnected func() bool) {
	next, hasNext, isAnswered := in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		in.admit(r, q, now, out)
	})
	for !isAnswered {
		if hasNext {
			next, hasNext, isAnswered = in.runAttempt(r, next, hasDisconnected)
			continue
		}
		late := time.NewTimer(time.Until(r.deadline))
		select {
		case <-r.wake:
			next, hasNext, isAnswered = in.handleRequestEvent(r, func(time.Duration, policy.Actions) {})
		case <-late.C:
			next, hasNext, isAnswered = in.clientDisconnected(r)
		case <-in.ctx.Done():
			next, hasNext, isAnswered = in.clientDisconnected(r)
		}
		late.Stop()
	}
	in.handleEvent(func(time.Duration, policy.Actions) { delete(in.requests, r.id) })
}

// admit service discovery a request and brings it to the engine, unless its key has no owner now. Called under the
// mutex.
func (in *Instance) admit(r *pendingRequest, q policy.Request, now time.Duration, out policy.Actions) {
	in.lastRequestNumber++
	var b [20]byte
	r.id = string(strconv.AppendUint(b[:0], in.lastRequestNumber, 36))
	q.ID = r.id
	in.requests[r.id] = r
	if r.cameByRelay { // nothing is relayed twice
		q.Zone, q.IsCharged = in.relay.config.Own[0], true
	}
	if r.hasKeyOwner {
		verdict := in.routeKey(r, now)
		if verdict.Site == "" {
			r.keyRejection = verdict.Reason
			in.answer(r, rejected, min(max(verdict.RetryAfter, minRetryAfter), in.config.Settings.MaxRetryAfter))
			return
		}
		q.Zone = verdict.Site
	}
	in.engine.RequestReceived(now, q, out)
}

// routeKey returns the site that owns a request's key. A relayed request whose key this site does not own is
// rejected: one of the two sites goes by older key owners. Called under the mutex.
func (in *Instance) routeKey(r *pendingRequest, now time.Duration) multisite.RoutingDecision {
	verdict := in.keys.Route(now, r.key)
	if verdict.Site != "" && r.cameByRelay && !in.relay.ownsSite(verdict.Site) {
		return multisite.RoutingDecision{RetryAfter: minRetryAfter, Reason: "the sites differ on its home"}
	}
	return verdict
}

// clientDisconnected ends a request whose client has gone or for which no answer was given in time.
func (in *Instance) clientDisconnected(r *pendingRequest) (next attempt, hasNext, isAnswered bool) {
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		in.answer(r, failed, 0)
		in.engine.ClientDisconnected(now, r.id, out)
	})
}

// runAttempt carries out one attempt and brings its result to the engine.
func (in *Instance) runAttempt(r *pendingRequest, a attempt, hasDisconnected func() bool) (
	next attempt, hasNext, isAnswered bool,
) {
	sentAt := in.now()
	r.response.wasWritten, r.response.connectedAt = false, time.Time{}
	r.isRelayed = isRemoteServer(a.server)
	hasCapacity := true
	if r.isRelayed {
		if hasCapacity = in.relay.acquire(r); hasCapacity {
			defer in.relay.release(r)
		}
	}
	ownsKey := true
	if r.hasKeyOwner && hasCapacity {
		ownsKey = in.confirmKeyOwner(r, a)
	}
	var result policy.Result
	switch {
	case !hasCapacity:
		result = policy.RejectedByServer // no more may be relayed now
	case !ownsKey:
		result = policy.NotSent
	case r.attempts > 1 && hasDisconnected():
		result = policy.NotSent
		in.handleEvent(func(now time.Duration, out policy.Actions) { in.answer(r, failed, 0) })
	default:
		result = in.send(r, a)
	}
	r.countAttempt(result)
	report := r.response.report()
	return in.handleRequestEvent(r, func(now time.Duration, out policy.Actions) {
		r.current = nil
		if !r.isRelayed || result != policy.RejectedByServer && result != policy.ErrorResponse {
			// What a remote instance rejects says nothing of its site.
			in.recordSiteHealth(now, a.server, result, sentAt)
		}
		if r.hasKeyOwner && ownsKey && hasCapacity {
			in.keys.EndAttempt(r.key, r.neverExecuted(result))
		}
		if result == policy.OK {
			in.answer(r, served, 0)
		}
		in.engine.AttemptCompleted(now, in.attemptResult(r, a, result, now-sentAt, report), out)
	})
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

// send exchanges an attempt with its server. A relayed one whose connection broke is asked for at the other site.
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
	if r.current != nil { // no response to the attempt in request counts any more
		in.deferred = append(in.deferred, r.current.abort)
	}
	in.wakeRequest(r)
}

// wakeRequest has a request's goroutine look at what is next. Called under the mutex.
func (in *Instance) wakeRequest(r *pendingRequest) {
	if r.isWaiting {
		r.isWaiting = false
		r.wake <- struct{}{} // never blocks: its buffer holds one, and one is sent for each wait
	}
}
