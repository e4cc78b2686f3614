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

// maxUptime bounds the uptime that a remote instance may report.
const maxUptime = 100 * 365 * 24 * time.Hour

// relayedStatus is the execution status of a relayed request, as the remote instance reports it.
type relayedStatus struct {
	status    multisite.ExecutionStatus
	retained  *retainedResponse // of an executed request; nil: its response was not retained
	isRevoked bool              // the remote instance has recorded that the client has left
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

// relayedStatusQuery queries a remote instance for the status of a relayed attempt, over another connection. Each query
// also reports whether the client is still connected.
type relayedStatusQuery struct {
	servers   *serverPool
	control   *attemptControl // its abort ends the query
	source    requestSource   // the client
	clock     messageClock
	number    string    // of the attempt, as issued by relayNumbers
	startedAt time.Time // when the attempt started
	server    string    // the remote instance
	deadline  time.Time
	question  clockReading // last question about the client; 0: none was asked

	isIdempotent bool      // the request may run any number of times
	refusedSince time.Time // since when the instance has refused connections; zero: it does not
}

// await repeats the query until the attempt has ended, the query's deadline has passed or the request has its answer. It
// gives up an idempotent request earlier if the instance has died. Once clientLeft is closed, it queries at once.
func (q *relayedStatusQuery) await(
	ctx context.Context, clientLeft <-chan struct{},
) (status relayedStatus, hasEnded bool) {
	aborted := q.control.awaitAbort()
	for time.Now().Before(q.deadline) {
		if status, hasEnded = q.send(ctx); hasEnded || q.hasInstanceDied(time.Now()) {
			return status, hasEnded
		}
		pause := time.NewTimer(statusPollInterval)
		select {
		case <-pause.C:
		case <-clientLeft:
			clientLeft = nil
			pause.Stop()
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
		append: q.appendTo,
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
	reply := parseLeaseReply(&resp.head)
	q.question, result.isRevoked = reply.question, reply.isRevoked
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

// appendTo appends the text of the query. It is called once the connection is established, right before the query is
// written, so that what it reports about the client is recent.
func (q *relayedStatusQuery) appendTo(b []byte) []byte {
	report := leaseReport{question: q.question, sentAt: q.clock.reading(time.Now())}
	if q.source.hasDisconnected() {
		report = leaseReport{isRevoked: true}
	}
	b = append(b, "GET "+executionStatusPath+" HTTP/1.1\r\nHost: "+executionStatusHost+"\r\n"...)
	b = httpwire.AppendField(b, relayIDField, q.number)
	return append(report.appendTo(b), "\r\n"...)
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

// parseUptime returns the uptime that a remote instance reports, or 0 if it is missing or invalid.
func parseUptime(text string) time.Duration {
	seconds, ok := loadreport.ParseDecimal(text)
	if !ok || !(seconds >= 0 && seconds < maxUptime.Seconds()) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
