package policy

import (
	"math"
	"time"

	"mulleinmux/policy/quota"
)

// attempt is one send of a request to a server.
type attempt struct {
	server        *server
	sentAt        time.Duration
	zone          string // the zone of the server when the attempt was sent
	cell          int    // the cell of the server when the attempt was sent
	isDone        bool
	isStreaming   bool // the request body or the response is being streamed; not counted as load of the server
	neverExecuted bool // the server is known not to have executed it
	result        Result
}

// request is a request without a final answer, or one with attempts in flight. Invariant: inFlight counts the attempts
// that have not ended, including those that are in flight after the final answer.
type request struct {
	Request
	number              uint64 // identifies it in timers and quota messages
	class               int
	quota               *quota.Quota
	deadline            time.Duration // clock reading at which the final answer is due
	attempts            []attempt
	inFlight            int
	inQuota             bool
	isLate              bool // it cannot be answered within its latency objective: see [classLatency.isTooLate]
	decidedWithoutOwner bool // admitted or rejected without the owner's response: see [quota.Quota.DecideWithoutOwner]
	awaitsOwner         bool // a quota request to the owner is in flight
	isGranted           bool // the owner or another node has charged its units, also to the hard limit
	owner               int  // index of the instance from which its units were requested, or of this one
	isSettled           bool // its estimated units have been corrected to the true ones
	isAnswered          bool // it has its final answer, or its client has disconnected
	isStreaming         bool // its response has started
}

// requestTable holds the requests. Invariant: a request is in byNumber until it is answered and no quota request to its
// owner is in flight, and in byID until it is answered and its last attempt has ended.
type requestTable struct {
	byID       map[string]*request
	byNumber   map[uint64]*request
	lastNumber uint64
}

// newRequestTable returns an empty table. The last number used should be random, so that a response of a quota owner to
// an earlier process of this instance matches no request.
func newRequestTable(lastNumber uint64) requestTable {
	return requestTable{byID: map[string]*request{}, byNumber: map[uint64]*request{}, lastNumber: lastNumber}
}

// nextNumber returns the number for a new request.
func (t *requestTable) nextNumber() uint64 {
	t.lastNumber++
	return t.lastNumber
}

// add adds a request under its ID and its number.
func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	t.byNumber[r.number] = r
}

// attemptAt returns an attempt by its index, or nil if the request or the attempt is unknown.
func (r *request) attemptAt(index int) *attempt {
	if r == nil || index < 0 || index >= len(r.attempts) {
		return nil
	}
	return &r.attempts[index]
}

// end records the result of an attempt that has ended.
func (a *attempt) end(result Result) {
	a.isDone = true
	a.result = result
	a.neverExecuted = neverExecuted(result)
}

// clampRequest returns a received request with its units and its instance count clamped to their valid ranges.
func (s *Settings) clampRequest(received Request) Request {
	received.Units = math.Max(received.Units, 0)
	received.InstanceCount = min(max(received.InstanceCount, 1), s.InstanceCount)
	return received
}

// answerDeadline returns the time at which the final answer of a received request is due: two event intervals before
// its client's timeout, so that the answer is written in time.
func (s *Settings) answerDeadline(received Request, now time.Duration) time.Duration {
	return now + received.BodyTimeout + received.Timeout - 2*s.MinEventInterval
}

// settle returns how many units a request took from its quota in excess of its true units; the number is negative if it
// took too few. It settles a request once, when its true units are known, and only if it was inside its quota.
func (r *request) settle(outcome AttemptResult, settings *Settings) (unused float64, isSettled bool) {
	isKnown := outcome.Result == OK && outcome.Units > 0
	if !isKnown || !settings.SettlesUnits || !r.inQuota || r.isSettled {
		return 0, false
	}
	r.isSettled = true
	return r.Units - outcome.Units, true
}

// cancelAttempts cancels the attempts that are still in flight, if the settings allow it.
func (r *request) cancelAttempts(settings *Settings, actions Actions) {
	if !settings.AllowsCancel {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].isDone {
			actions.CancelAttempt(r.ID, i)
		}
	}
}
