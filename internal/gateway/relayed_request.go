package gateway

import (
	"context"
	"net/http"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/internal/loadreport"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// Lower bounds of the divisors of relative values.
const (
	minLatencyObjective = 1e-3 // seconds
	minRelativeValue    = 1e-9
)

// maxUptime bounds the uptime that a remote instance may report.
const maxUptime = 100 * 365 * 24 * time.Hour

// relativeValue returns a class's priority weight per second of its latency objective.
func relativeValue(class *policy.Class) float64 {
	return class.PriorityWeight / max(class.LatencyObjective.Seconds(), minLatencyObjective)
}

// acquire decides whether an attempt may be relayed now. If so, the attempt counts as in flight until release. See
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

// release records that an attempt admitted by acquire is no longer in flight.
func (r *relay) release(request *pendingRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Release(request.licensee)
}

// relayedStatus is the execution status of a relayed request, as the remote instance reports it.
type relayedStatus struct {
	status   multisite.ExecutionStatus
	retained *retainedResponse // of an executed request; nil: its response was not retained
}

// isIdempotent reports whether the request may run any number of times.
func (r *pendingRequest) isIdempotent() bool {
	return r.operation.Class.Idempotency == policy.Idempotent
}

// statusDeadline decides whether the remote instance is queried for the status of a relayed attempt, and until when. It
// is queried if the connection broke, since the request may have been answered or may never run, and if the attempt
// timed out and there is time for a further one, before which this one must have ended. A request that is not idempotent
// fails if the status stays unknown, so that the query may take all the time that is left of it. An idempotent one may
// be retried once its attempt has ended there, at the latest at the attempt's own deadline, or at that of the request if
// the response has begun and the instance does not refuse connections; a query takes statusTimeout at least.
func (r *pendingRequest) statusDeadline(
	now time.Time, a attempt, result policy.Result,
) (deadline time.Time, needsQuery bool) {
	earliest := attemptDeadline(now, statusTimeout, r.deadline)
	switch {
	case result != policy.ConnectionReset && (result != policy.TimedOut || r.deadline.Sub(now) <= statusPollInterval):
		return time.Time{}, false
	case !r.isIdempotent() || r.response.hasBegun:
		return r.deadline, true
	case result == policy.ConnectionReset && a.deadline.After(earliest):
		return a.deadline, true
	}
	return earliest, true
}

// relayedStatusQuery queries a remote instance for the status of a relayed attempt, over another connection.
type relayedStatusQuery struct {
	servers   *serverPool
	control   *attemptControl // of the relayed attempt; its abort also ends the query
	number    string          // of the attempt, as issued by relayNumbers
	startedAt time.Time       // when the attempt started
	server    string          // the remote instance
	deadline  time.Time

	isIdempotent bool      // the request may run any number of times
	refusedSince time.Time // since when the instance has refused connections; zero: it does not
}

// await repeats the query until the attempt has ended, the query's deadline has passed or the request has its answer. It
// gives up an idempotent request earlier if the instance has died.
func (q *relayedStatusQuery) await(ctx context.Context) (status relayedStatus, hasEnded bool) {
	aborted := q.control.awaitAbort()
	for time.Now().Before(q.deadline) {
		if status, hasEnded = q.send(ctx); hasEnded || q.hasInstanceDied(time.Now()) {
			return status, hasEnded
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

// hasInstanceDied decides whether the remote instance counts as dead, with its attempts, for an idempotent request: it
// has refused connections for statusTimeout.
func (q *relayedStatusQuery) hasInstanceDied(now time.Time) bool {
	return q.isIdempotent && !q.refusedSince.IsZero() && now.Sub(q.refusedSince) >= statusTimeout
}

// send sends one query. hasEnded is true if the remote instance has responded and the attempt is not executing any
// more.
func (q *relayedStatusQuery) send(ctx context.Context) (result relayedStatus, hasEnded bool) {
	var resp response
	request := exchangeRequest{
		server: q.server,
		limits: untilDeadline(attemptDeadline(time.Now(), statusTimeout, q.deadline)),
		append: func(b []byte) []byte {
			b = append(b, "GET "+executionStatusPath+" HTTP/1.1\r\nHost: "+executionStatusHost+"\r\n"...)
			return append(httpwire.AppendField(b, relayIDField, q.number), "\r\n"...)
		},
	}
	exchangeResult := q.servers.exchange(ctx, q.control, request, &resp)
	switch {
	case !resp.wasRefused:
		q.refusedSince = time.Time{}
	case q.refusedSince.IsZero():
		q.refusedSince = time.Now()
	}
	if exchangeResult != policy.OK {
		return relayedStatus{}, false
	}
	result.status = multisite.ParseExecutionStatus(resp.head.Get(executionStatusField)).
		CheckedAgainstUptime(parseUptime(resp.head.Get(uptimeField)), time.Since(q.startedAt))
	if result.status == multisite.Executed && resp.head.Status != http.StatusNoContent {
		result.retained = &retainedResponse{
			status:      resp.head.Status,
			contentType: resp.head.Get("Content-Type"),
			body:        resp.body,
		}
	}
	return result, result.status != multisite.Executing
}

// resolveRelayed decides the result of an attempt without an answer from its status at the remote instance. An attempt
// that never ran there counts as never written, so that a retry does no harm.
func (r *pendingRequest) resolveRelayed(result policy.Result, remote relayedStatus) policy.Result {
	switch {
	case remote.status == multisite.NeverExecuted:
		// Nothing ran, so the attempt counts as not written. The remote instance is responsive, so it counts as a rejection.
		r.response.wasWritten = false
		return policy.RejectedByServer
	case remote.status == multisite.Executed && remote.retained != nil:
		r.response.head = remote.retained.head()
		r.response.body = remote.retained.body
		return policy.OK
	}
	return result
}

// serveExecutionStatus answers another site's query for the status of a relayed request.
func (c *clientConn) serveExecutionStatus() (isReusable bool) {
	relay := c.server.instance.relay
	id, err := c.relayID()
	if err != nil {
		return c.rejectBadRequest(err)
	}
	relay.mu.Lock()
	status, answer := relay.forwarded.ResolveStatus(time.Now(), id)
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

// appendStatus appends the header fields of a status and of how long the instance has recorded what was relayed to it.
func (r *relay) appendStatus(b []byte, status multisite.ExecutionStatus) []byte {
	b = httpwire.AppendField(b, executionStatusField, status.String())
	b = append(b, uptimeField+": "...)
	b = appendSeconds(b, time.Since(r.listeningSince))
	return append(b, "\r\n"...)
}

// parseUptime returns the uptime that a remote instance reports, or 0 if it is missing or invalid.
func parseUptime(text string) time.Duration {
	seconds, ok := loadreport.ParseDecimal(text)
	if !ok || !(seconds >= 0 && seconds < maxUptime.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// relayID returns the ID of the relayed request, or of the request whose status is queried. Exactly one is required.
func (c *clientConn) relayID() (id multisite.ForwardedRequestID, err error) {
	number, count := c.request.requestHead.Values(relayIDField)
	if count != 1 || number == "" {
		return id, &badRequest{status: http.StatusBadRequest,
			text: relayIDField + ": exactly one non-empty value is required"}
	}
	return multisite.ForwardedRequestID{Instance: c.peerMember, Number: number}, nil
}

// acceptRelayed records a relayed request that may run here. Its error rejects one that may not.
func (c *clientConn) acceptRelayed() error {
	relay, r := c.server.instance.relay, &c.request
	id, err := c.relayID()
	if err != nil {
		return err
	}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	// Requests on a connection are sequential, so the other instance has read the answer to the previous one.
	if c.lastRelayID.Number != "" && c.lastRelayID != id {
		relay.forwarded.Acknowledge(c.lastRelayID)
	}
	c.lastRelayID = id
	status, isAdmitted := relay.forwarded.Admit(time.Now(), id)
	if !isAdmitted {
		return relayRejection(status)
	}
	r.relayID = id
	return nil
}

// relayRejection decides the answer to a relayed request that is not admitted, from its status: a request that never
// runs may be sent elsewhere; a repeated one may have run.
func relayRejection(status multisite.ExecutionStatus) *badRequest {
	if status == multisite.NeverExecuted {
		return &badRequest{status: http.StatusConflict, text: textVoided}
	}
	return &badRequest{status: http.StatusBadGateway, text: textRepeated, mayHaveRun: true}
}

// finishRelayed records the status of a relayed request that has its final answer.
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
	relay.forwarded.Complete(time.Now(), r.relayID, status, answer)
}

// finalExecutionStatus decides the status that is reported to the other site for a relayed request that has its final
// answer. NeverExecuted is a guarantee, which requires that no attempt may have run.
func (r *pendingRequest) finalExecutionStatus() multisite.ExecutionStatus {
	switch {
	case r.answer == served:
		return multisite.Executed
	case !r.mayHaveRun:
		return multisite.NeverExecuted
	}
	return multisite.ExecutionUnknown
}

// isRetainable decides whether the response is retained for status queries: its body has at most maxRetainedBody bytes,
// and its method and status allow a body.
func (r *pendingRequest) isRetainable() bool {
	status := r.response.head.Status
	return len(r.response.body) <= maxRetainedBody && r.requestHead.Method != http.MethodHead &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

// writeNeverRan answers a relayed request that did not run here. A retryAfter of 0 sends no Retry-After.
func (c *clientConn) writeNeverRan(text string, retryAfter time.Duration) (isReusable bool) {
	b := c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable")
	b = httpwire.AppendField(b, neverRanField, neverRanValue)
	b = appendRetryAfter(b, retryAfter)
	return c.writeResponse(b, wholeBody([]byte(text+"\n")))
}

// retainedResponse is the part of a relayed request's response that is retained for status queries.
type retainedResponse struct {
	status      int
	contentType string // empty: it had none
	body        []byte
}

// head returns the response head that corresponds to the retained response.
func (r *retainedResponse) head() httpwire.Head {
	head := httpwire.Head{Status: r.status, Reason: http.StatusText(r.status), ContentLength: int64(len(r.body))}
	if r.contentType != "" {
		head.Fields = append(head.Fields, httpwire.Field{Name: "Content-Type", Value: r.contentType})
	}
	return head
}
