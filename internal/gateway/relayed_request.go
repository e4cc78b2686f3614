package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// Lower limits of what relative values are divided by.
const (
	minLatencyObjective = 1e-3 // seconds
	minRelativeValue    = 1e-9
)

// maxUptime bounds the uptime that a remote instance may tell.
const maxUptime = 100 * 365 * 24 * time.Hour

// relativeValue is what a class earns for its latency objective, in priority weight a second.
func relativeValue(class *policy.Class) float64 {
	return class.PriorityWeight / max(class.LatencyObjective.Seconds(), minLatencyObjective)
}

// acquire decides whether an attempt may be relayed now, and counts it as in flight if so; release ends that. See
// [multisite.RelayBudget].
func (r *relay) acquire(request *pendingRequest) bool {
	classes := request.version.table.Classes
	best := 0.0
	for i := range classes {
		best = max(best, relativeValue(&classes[i]))
	}
	value := relativeValue(&request.operation.Class) / max(best, minRelativeValue)
	isRetry := request.attempts > 1
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Acquire(request.licensee, value, isRetry)
}

// release ends what acquire began.
func (r *relay) release(request *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Release(request.licensee)
}

// attemptRelayID is the id of the attempt under way, as a relayed request.
func (r *pendingRequest) attemptRelayID() string { return r.trace + "." + strconv.Itoa(r.attempts) }

// relayedStatus is what became of a relayed request, as the remote instance reports it.
type relayedStatus struct {
	status   multisite.ExecutionStatus
	retained *retainedResponse // of one that was executed, where its response was retained
}

// isIdempotent reports whether the request may run any number of times.
func (r *pendingRequest) isIdempotent() bool {
	return r.operation.Class.Idempotency == policy.Idempotent
}

// statusDeadline decides whether the remote instance is asked what became of a relayed attempt, and until when. If the
// connection broke, it is, for statusTimeout or to the attempt's own deadline if that is later: the request may have been
// answered, or may never run, and an idempotent one goes on when this is over. If the attempt timed out, it is where
// there is time for a further attempt: this one must have ended before.
func (r *pendingRequest) statusDeadline(
	now time.Time, a attempt, result policy.Result,
) (deadline time.Time, isWanted bool) {
	shortest := attemptDeadline(now, statusTimeout, r.deadline)
	switch {
	case result == policy.ConnectionReset && a.deadline.After(shortest):
		return a.deadline, true
	case result == policy.ConnectionReset:
		return shortest, true
	case result == policy.TimedOut && r.deadline.Sub(now) > statusPollInterval:
		return shortest, true
	}
	return time.Time{}, false
}

// relayedStatusQuery asks a remote instance, over another connection, what became of a relayed attempt.
type relayedStatusQuery struct {
	servers  *serverPool
	control  *attemptControl // of the relayed attempt: what ends that ends the query
	id       string          // of the relayed attempt
	begunAt  time.Time       // the relayed attempt
	server   string          // the remote instance
	deadline time.Time
}

// await asks until the attempt has ended, the query's deadline is over or the request has its answer.
func (q *relayedStatusQuery) await(ctx context.Context) (status relayedStatus, hasEnded bool) {
	aborted := q.control.awaitAbort()
	for time.Now().Before(q.deadline) {
		if status, hasEnded = q.send(ctx); hasEnded {
			return status, true
		}
		pause := time.NewTimer(statusPollInterval)
		select {
		case <-pause.C:
		case <-aborted:
			pause.Stop()
			return relayedStatus{status: multisite.ExecutionUnknown}, false
		case <-ctx.Done():
			pause.Stop()
			return relayedStatus{status: multisite.ExecutionUnknown}, false
		}
	}
	return relayedStatus{status: multisite.ExecutionUnknown}, false
}

// send asks once, and reports whether the attempt has ended: the instance answered, and the request is not executing
// any more.
func (q *relayedStatusQuery) send(ctx context.Context) (result relayedStatus, hasEnded bool) {
	deadline := attemptDeadline(time.Now(), statusTimeout, q.deadline)
	var rep response
	sent := q.servers.exchange(ctx, q.control, q.server, deadline, false, &rep, func(b []byte) []byte {
		b = append(b, "GET "+executionStatusPath+" HTTP/1.1\r\nHost: "+executionStatusHost+"\r\n"...)
		return append(httpwire.AppendField(b, relayIDField, q.id), "\r\n"...)
	})
	if sent != policy.OK {
		return relayedStatus{}, false
	}
	result.status = multisite.ParseExecutionStatus(rep.head.Get(executionStatusField)).
		AsTold(parseUptime(rep.head.Get(uptimeField)), time.Since(q.begunAt))
	if result.status == multisite.Executed && rep.head.Status != http.StatusNoContent {
		result.retained = &retainedResponse{
			status:      rep.head.Status,
			contentType: rep.head.Get("Content-Type"),
			body:        rep.body,
		}
	}
	return result, result.status != multisite.Executing
}

// resolveRelayed decides the result of an attempt without an answer from what became of it at the remote instance. One
// that never ran there counts as never written, so that a retry is harmless.
func (r *pendingRequest) resolveRelayed(result policy.Result, became relayedStatus) policy.Result {
	switch {
	case became.status == multisite.NeverExecuted:
		r.response.wasWritten = false // as if it had not been written; and the remote instance lives
		return policy.RejectedByServer
	case became.status == multisite.Executed && became.retained != nil:
		r.response.head = became.retained.head()
		r.response.body = became.retained.body
		return policy.OK
	}
	return result
}

// serveExecutionStatus answers another site's query of what became of a relayed request.
func (c *clientConn) serveExecutionStatus() (isReusable bool) {
	relay := c.server.instance.relay
	id, err := relayID(&c.request.requestHead)
	if err != nil {
		return c.rejectBadRequest(err)
	}
	relay.mu.Lock()
	status, answer := relay.arrivals.ResolveStatus(time.Now(), id)
	relay.mu.Unlock()
	retained, _ := answer.(*retainedResponse)
	if retained == nil {
		b := c.appendStatusLine(http.StatusNoContent, http.StatusText(http.StatusNoContent))
		return c.writeResponse(relay.appendStatus(b, status), noBody)
	}
	b := c.appendStatusLine(retained.status, http.StatusText(retained.status))
	b = relay.appendStatus(b, status)
	if retained.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", retained.contentType)
	}
	return c.writeResponse(b, wholeBody(retained.body))
}

// appendStatus appends the fields that tell a status, and for how long the instance knows what was relayed to it.
func (r *relay) appendStatus(b []byte, status multisite.ExecutionStatus) []byte {
	b = httpwire.AppendField(b, executionStatusField, status.String())
	b = append(b, uptimeField+": "...)
	b = appendSeconds(b, time.Since(r.listensSince))
	return append(b, "\r\n"...)
}

// parseUptime returns the uptime that a remote instance tells; 0 where it tells none or what can't be read.
func parseUptime(text string) time.Duration {
	seconds, ok := loadreport.ParseDecimal(text)
	if !ok || !(seconds >= 0 && seconds < maxUptime.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// relayID returns the id that a relayed request, or a query of one, must have.
func relayID(head *httpwire.Head) (string, error) {
	id, count := head.Values(relayIDField)
	if count != 1 || id == "" {
		return "", &badRequest{status: http.StatusBadRequest, text: relayIDField + ": one is wanted"}
	}
	return id, nil
}

// acceptRelayed decides whether a relayed request may run here, and records it, or returns why not.
func (c *clientConn) acceptRelayed() error {
	relay, r := c.server.instance.relay, &c.request
	id, err := relayID(&r.requestHead)
	if err != nil {
		return err
	}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	// A connection carries one after the other: the last answer has been read.
	if c.lastRelayID != "" && c.lastRelayID != id {
		relay.arrivals.Acknowledge(c.lastRelayID)
	}
	c.lastRelayID = id
	status, isAdmitted := relay.arrivals.Admit(time.Now(), id)
	if !isAdmitted {
		return relayRejection(status)
	}
	r.relayID = id
	return nil
}

// relayRejection decides the answer to a relayed request that is not admitted, from its status: one that never runs may
// be sent elsewhere; a repeated one may have run.
func relayRejection(status multisite.ExecutionStatus) *badRequest {
	if status == multisite.NeverExecuted {
		return &badRequest{status: http.StatusConflict, text: textVoided}
	}
	return &badRequest{status: http.StatusBadGateway, text: textRepeated, mayRun: true}
}

// finishRelayed records what became of a relayed request that has its final answer.
func (c *clientConn) finishRelayed() {
	relay, r := c.server.instance.relay, &c.request
	status := r.finalExecutionStatus()
	var answer any
	if status == multisite.Executed && r.isRetainable() {
		head := &r.response.head
		answer = &retainedResponse{
			status:      head.Status,
			contentType: head.Get("Content-Type"),
			body:        r.response.body,
		}
	}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	relay.arrivals.Complete(time.Now(), r.relayID, status, answer)
}

// finalExecutionStatus decides what the other site is told of a relayed request that has its final answer. "Never
// executed" is a promise: it holds only if no attempt may have run.
func (r *pendingRequest) finalExecutionStatus() multisite.ExecutionStatus {
	switch {
	case r.answer == served:
		return multisite.Executed
	case !r.mayRun:
		return multisite.NeverExecuted
	}
	return multisite.ExecutionUnknown
}

// isRetainable decides whether the response is retained to be given again later: one of at most maxRetainedBody bytes
// that has a body of its own.
func (r *pendingRequest) isRetainable() bool {
	status := r.response.head.Status
	return len(r.response.body) <= maxRetainedBody && r.requestHead.Method != http.MethodHead &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

// writeNeverRan answers a relayed request that did not run here. retryAfter is 0 where there is none.
func (c *clientConn) writeNeverRan(text string, retryAfter time.Duration) (isReusable bool) {
	b := c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable")
	b = httpwire.AppendField(b, neverRanField, neverRanValue)
	b = appendRetryAfter(b, retryAfter)
	return c.writeResponse(b, wholeBody([]byte(text+"\n")))
}

// retainedResponse is what is retained of the response to a relayed request.
type retainedResponse struct {
	status      int
	contentType string // empty: it had none
	body        []byte
}

// head returns the head of a response that gives a retained one again.
func (r *retainedResponse) head() httpwire.Head {
	head := httpwire.Head{Status: r.status, Reason: http.StatusText(r.status), Length: int64(len(r.body))}
	if r.contentType != "" {
		head.Fields = append(head.Fields, httpwire.Field{Name: "Content-Type", Value: r.contentType})
	}
	return head
}
