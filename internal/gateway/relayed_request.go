package gateway

import (
	"net/http"
	"strconv"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// relativeValue is what a class earns for its latency objective, in priority weight a second.
func relativeValue(c *policy.Class) float64 {
	return c.PriorityWeight / max(c.LatencyObjective.Seconds(), 1e-3)
}

// acquire takes a place for an attempt within the budget of relayed requests; release gives it back.
func (l *relay) acquire(r *pendingRequest) bool {
	best := 0.0
	for i := range r.version.table.Classes {
		best = max(best, relativeValue(&r.version.table.Classes[i]))
	}
	value := relativeValue(&r.operation.Class) / max(best, 1e-9)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Acquire(r.licensee, value, r.attempts > 1)
}

func (l *relay) release(r *pendingRequest) {
	l.mu.Lock()
	l.budget.Release(r.licensee)
	l.mu.Unlock()
}

// nextRelayID is the id of the attempt under way.
func (r *pendingRequest) nextRelayID() string { return r.trace + "." + strconv.Itoa(r.attempts) }

// executionStatus asks a remote instance, over another connection, what became of a relayed request whose connection
// broke. It asks until the answer is final or the attempt's time is over.
func (in *Instance) executionStatus(r *pendingRequest, at attempt) (multisite.ExecutionStatus, *retainedResponse) {
	id := r.nextRelayID()
	for until := at.deadline; time.Now().Before(until); {
		var rep response
		by := time.Now().Add(statusTimeout)
		if until.Before(by) {
			by = until
		}
		result := in.servers.exchange(in.ctx, &attemptControl{}, at.server, by, false, &rep, func(b []byte) []byte {
			b = append(b, "GET "+executionStatusPath+" HTTP/1.1\r\nHost: link\r\n"...)
			return append(httpwire.AppendField(b, relayIDField, id), "\r\n"...)
		})
		if result == policy.OK {
			switch f := multisite.ParseExecutionStatus(rep.head.Get(executionStatusField)); f {
			case multisite.Executed:
				if rep.head.Status == http.StatusNoContent {
					return f, nil
				}
				return f, &retainedResponse{rep.head.Status, rep.head.Get("Content-Type"), rep.body}
			case multisite.Executing:
			default:
				return f, nil
			}
		}
		pause := time.NewTimer(statusPollInterval)
		select {
		case <-pause.C:
		case <-in.ctx.Done():
			pause.Stop()
			return multisite.ExecutionUnknown, nil
		}
	}
	return multisite.ExecutionUnknown, nil
}

// resolveRelayed finds out what became of an attempt whose connection over the link broke.
func (in *Instance) resolveRelayed(r *pendingRequest, at attempt) policy.Result {
	f, kept := in.executionStatus(r, at)
	switch {
	case f == multisite.NeverExecuted:
		r.response.wasWritten = false // as if it had not been written; and the remote instance lives
		return policy.RejectedByServer
	case f == multisite.Executed && kept != nil:
		h := &r.response.head
		*h = httpwire.Head{Status: kept.status, Reason: http.StatusText(kept.status), Length: int64(len(kept.body))}
		if kept.contentType != "" {
			h.Fields = append(h.Fields, httpwire.Field{Name: "Content-Type", Value: kept.contentType})
		}
		r.response.body = kept.body
		return policy.OK
	}
	return policy.ConnectionReset
}

// serveExecutionStatus answers another site's ask.
func (c *clientConn) serveExecutionStatus() bool {
	l := c.server.instance.relay
	id, n := c.request.requestHead.Values(relayIDField)
	if n != 1 || id == "" {
		return c.rejectBadRequest(&badRequest{status: http.StatusBadRequest, text: relayIDField + ": one is wanted"})
	}
	l.mu.Lock()
	f, kept := l.arrivals.ResolveStatus(time.Now(), id)
	l.mu.Unlock()
	status, body := http.StatusNoContent, []byte(nil)
	k, ok := kept.(*retainedResponse)
	if ok && k != nil {
		status, body = k.status, k.body
	}
	b := httpwire.AppendField(c.appendStatusLine(status, http.StatusText(status)), executionStatusField, f.String())
	if ok && k != nil && k.contentType != "" {
		b = httpwire.AppendField(b, "Content-Type", k.contentType)
	}
	length := len(body)
	if status == http.StatusNoContent {
		length = -1
	}
	return c.writeResponse(b, body, length)
}

// acceptRelayed takes in a relayed request; an error turns it down.
func (c *clientConn) acceptRelayed() error {
	l, r := c.server.instance.relay, &c.request
	id, n := r.requestHead.Values(relayIDField)
	if n != 1 || id == "" {
		return &badRequest{status: http.StatusBadRequest, text: relayIDField + ": one is wanted"}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A connection carries one after the other: the last answer has been read.
	if c.lastRelayID != "" && c.lastRelayID != id {
		l.arrivals.Acknowledge(c.lastRelayID)
	}
	c.lastRelayID = id
	if fate, ok := l.arrivals.Admit(time.Now(), id); !ok && fate == multisite.NeverExecuted {
		return &badRequest{status: http.StatusConflict, text: "the crossing is void or can't be remembered"}
	} else if !ok {
		return &badRequest{status: http.StatusBadGateway, text: "the crossing has come before", mayRun: true}
	}
	r.relayID = id
	return nil
}

// finishRelayed notes the fate of a relayed request that has its final answer.
func (c *clientConn) finishRelayed() {
	l, r := c.server.instance.relay, &c.request
	fate, kept := multisite.ExecutionUnknown, any(nil)
	switch {
	case r.answer == served:
		fate = multisite.Executed
		if r.isRetainable() {
			h := &r.response.head
			kept = &retainedResponse{h.Status, h.Get("Content-Type"), r.response.body}
		}
	case !r.mayRun:
		fate = multisite.NeverExecuted
	}
	l.mu.Lock()
	l.arrivals.Complete(time.Now(), r.relayID, fate, kept)
	l.mu.Unlock()
}

// isRetainable tells whether the response can be given again later: a small one that has a body of its own.
func (r *pendingRequest) isRetainable() bool {
	status := r.response.head.Status
	return len(r.response.body) <= maxRetainedBody && r.requestHead.Method != http.MethodHead &&
		status != http.StatusNoContent && status != http.StatusNotModified
}

// neverRan words that a relayed request did not run here.
func (c *clientConn) neverRan(text string, wait time.Duration) bool {
	b := c.appendStatusLine(http.StatusServiceUnavailable, "Service Unavailable")
	b = append(b, "X-Never-Ran: 1\r\n"...)
	if wait > 0 {
		b = append(b, "Retry-After: "...)
		b = appendSeconds(b, wait)
		b = append(b, "\r\n"...)
	}
	body := []byte(text + "\n")
	return c.writeResponse(b, body, len(body))
}

// retainedResponse is what is kept of a relayed request's answer.
type retainedResponse struct {
	status      int
	contentType string
	body        []byte
}
