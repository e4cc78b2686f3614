package gateway

import (
	"net/http"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// Lower bounds of the divisors of relative values.
const (
	minLatencyObjective = 1e-3 // seconds
	minRelativeValue    = 1e-9
)

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

// isIdempotent reports whether the request may run any number of times.
func (r *pendingRequest) isIdempotent() bool {
	return r.operation.Class.Idempotency == policy.Idempotent
}

// serveExecutionStatus answers another site's query for the status of a relayed request.
func (c *clientConn) serveExecutionStatus() (isReusable bool) {
	relay := c.server.instance.relay
	id, err := c.relayID()
	if err != nil {
		return c.rejectBadRequest(err)
	}
	status, answer, report := relay.resolveStatus(id, parseLeaseReport(&c.request.requestHead))
	retained, _ := answer.(*retainedResponse)
	if retained == nil {
		b := c.appendStatusLine(http.StatusNoContent, http.StatusText(http.StatusNoContent))
		return c.writeResponse(report.appendTo(relay.appendStatus(b, status)), noBody)
	}
	b := c.appendStatusLine(retained.status, http.StatusText(retained.status))
	b = report.appendTo(relay.appendStatus(b, status))
	if retained.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", retained.contentType)
	}
	return c.writeResponse(b, wholeBody(retained.body))
}

// resolveStatus returns the status of a relayed request and its retained answer. It records what the relaying instance
// reports about the request's client, and returns the reply.
func (r *relay) resolveStatus(
	id multisite.ForwardedRequestID, report leaseReport,
) (status multisite.ExecutionStatus, answer any, reply leaseReply) {
	now := time.Now()
	r.mu.Lock()
	status, answer = r.forwarded.ResolveStatus(now, id)
	lease, _ := r.forwarded.Executor(id).(*relayedLease) // nil: the request is voided or has ended
	sentAt := r.reportSentAt(now, id, report)
	r.mu.Unlock()
	switch {
	case report.isRevoked:
		if lease != nil {
			lease.revoke(id)
		}
		return status, answer, leaseReply{isRevoked: true}
	case lease != nil:
		if askedAt, hasQuestion := lease.renew(id, sentAt); hasQuestion {
			reply.question = r.clock.reading(askedAt)
		}
	}
	return status, answer, reply
}

// reportSentAt returns when a report that has arrived was sent: not before the question that it answers. The zero time
// means that it answers none. It records the answer as a sample of the sender's clock. The caller must hold mu.
func (r *relay) reportSentAt(now time.Time, id multisite.ForwardedRequestID, report leaseReport) time.Time {
	askedAt := r.clock.time(report.question)
	if report.question == 0 || askedAt.After(now) || now.Sub(askedAt) > maxLeaseAnswerAge {
		return time.Time{}
	}
	clock := r.peerClock(id)
	clock.RecordAnswer(askedAt, now, report.sentAt.duration())
	return latest(askedAt, clock.SentAt(now, report.sentAt.duration()))
}

// peerClock returns the clock of the process that has issued an ID. The caller must hold mu.
func (r *relay) peerClock(id multisite.ForwardedRequestID) *multisite.PeerClock {
	process := relayProcess(id.Number)
	clock := r.clocks[process]
	if clock == nil {
		if len(r.clocks) >= maxPeerClocks {
			clear(r.clocks)
		}
		clock = &multisite.PeerClock{}
		r.clocks[process] = clock
	}
	return clock
}

// beginLease begins the lease of a relayed request that has arrived. It returns the question that is to be asked at
// once, if the lease is not valid or a sample of the sender's clock is due. The caller must hold mu.
func (r *relay) beginLease(
	now time.Time, id multisite.ForwardedRequestID, head *httpwire.Head, lease *relayedLease,
) (askedAt time.Time, isDue bool) {
	sentAt, isRenewable := parseRenewable(head)
	if !isRenewable {
		return lease.begin(now, id, multisite.ClientLease{}, false)
	}
	clock := r.peerClock(id)
	clientLease := multisite.NewClientLease(clock.SentAt(now, sentAt.duration()))
	return lease.begin(now, id, clientLease, clock.IsSampleDue(now))
}

// appendStatus appends the header fields of a status and of how long the instance has recorded what was relayed to it.
func (r *relay) appendStatus(b []byte, status multisite.ExecutionStatus) []byte {
	b = httpwire.AppendField(b, executionStatusField, status.String())
	b = append(b, uptimeField+": "...)
	b = appendSeconds(b, time.Since(r.listeningSince))
	return append(b, "\r\n"...)
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

// acceptRelayed records a relayed request that may run here, and asks for its client if that is due. Its error rejects a
// request that may not run.
func (c *clientConn) acceptRelayed() error {
	askedAt, isDue, err := c.recordRelayed(time.Now())
	if isDue {
		c.askForClient(askedAt)
	}
	return err
}

// recordRelayed records a relayed request and its lease. It returns the question that is to be asked at once, if any.
// Its error rejects a request that may not run here.
func (c *clientConn) recordRelayed(now time.Time) (askedAt time.Time, isDue bool, err error) {
	relay, r := c.server.instance.relay, &c.request
	id, err := c.relayID()
	if err != nil {
		return time.Time{}, false, err
	}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	// Requests on a connection are sequential, so the other instance has read the answer to the previous one.
	if c.lastRelayID.Number != "" && c.lastRelayID != id {
		relay.forwarded.Acknowledge(c.lastRelayID)
	}
	c.lastRelayID = id
	status, isAdmitted := relay.forwarded.Admit(now, id, c.lease)
	if !isAdmitted {
		return time.Time{}, false, relayRejection(status)
	}
	r.relayID = id
	askedAt, isDue = relay.beginLease(now, id, &r.requestHead, c.lease)
	return askedAt, isDue, nil
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
