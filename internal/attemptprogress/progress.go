// Package attemptprogress is the state machine of one attempt to have a request served: what of the request was written
// and of the response received, until when the host waits for more, and what it does then. The only times that end a
// wait are those that the client or the policy set: a server that pauses is not given up as long as the request's final
// answer is not due.
//
// The package does no I/O and reads no clock.
package attemptprogress

import "time"

// Phase is how far an attempt has come.
type Phase int

// The phases, in order. An interim response leads back to AwaitingResponse.
const (
	AwaitingResponse Phase = iota // nothing of the response was received
	ReceivingHead                 // part of its head was received
	AwaitingBody                  // its head is complete
	ReceivingBody                 // part of its body was received; none was forwarded
	Streaming                     // the body is forwarded as it is received
)

const (
	// MaxBufferedBody is the size in bytes of the longest response body that is buffered.
	MaxBufferedBody = 64 << 10

	// StreamPauseTimeout is how long a server may pause while its response is forwarded.
	StreamPauseTimeout = 10 * time.Second

	// streamLead is how long before its final answer is due the forwarding of an incomplete response begins at the
	// latest.
	streamLead = 20 * time.Millisecond

	// shortBodyGrace is by how much the end of a short response of known length may be forwarded too late: its client
	// counts it by its last byte.
	shortBodyGrace = 400 * time.Millisecond
)

// Limits are the times of an attempt. A zero time is no limit.
type Limits struct {
	ResponseBy time.Time // the policy's timeout: the server has to begin its response before it
	AnswerBy   time.Time // when the request's final answer is due
	MayStream  bool      // the response may be forwarded before it is complete
}

// Attempt is the progress of one attempt.
type Attempt struct {
	limits   Limits
	phase    Phase
	length   int64 // of the body; -1: unknown
	received int64 // bytes of the body
	isServed bool  // the response may be forwarded to the client, by its status
}

// New returns the progress of an attempt whose request was written.
func New(limits Limits) Attempt { return Attempt{limits: limits, length: -1} }

// Phase returns how far the attempt has come.
func (a *Attempt) Phase() Phase { return a.phase }

// HasBegun reports whether part of the response was received.
func (a *Attempt) HasBegun() bool { return a.phase != AwaitingResponse }

// DataReceived records that bytes of the response were received.
func (a *Attempt) DataReceived() {
	if a.phase == AwaitingResponse {
		a.phase = ReceivingHead
	}
}

// InterimReceived records that an interim (1xx) response was received completely. The final one may follow much later.
func (a *Attempt) InterimReceived() { a.phase = AwaitingResponse }

// HeadReceived records that the head of the final response was received: the length of its body, or -1 if it is
// unknown, and whether its status is that of a served request.
func (a *Attempt) HeadReceived(length int64, isServed bool) {
	a.phase, a.length, a.isServed = AwaitingBody, length, isServed
}

// BodyReceived records that n bytes of the body were received.
func (a *Attempt) BodyReceived(n int) {
	if n == 0 {
		return
	}
	a.received += int64(n)
	if a.phase == AwaitingBody {
		a.phase = ReceivingBody
	}
}

// StreamingStarted records that the response is forwarded from here on as it is received.
func (a *Attempt) StreamingStarted() { a.phase = Streaming }

// MayStream reports whether forwarding of the response may begin.
func (a *Attempt) MayStream() bool {
	return a.limits.MayStream && a.isServed && (a.phase == AwaitingBody || a.phase == ReceivingBody)
}

// MustStream reports whether the forwarding of an incomplete response has to begin now: because it is too long to be
// buffered, or because the final answer is due soon. Then at least one byte of its body was received.
func (a *Attempt) MustStream(now time.Time) bool {
	if a.phase != ReceivingBody || !a.MayStream() {
		return false
	}
	isDue := !a.limits.AnswerBy.IsZero() && !now.Before(a.limits.AnswerBy.Add(-streamLead))
	return a.IsLong() || isDue
}

// IsLong reports whether the body is too long to be buffered, as far as it is known.
func (a *Attempt) IsLong() bool { return max(a.length, a.received) > MaxBufferedBody }

// WaitUntil returns until when the host waits for more data; the zero time is without end.
func (a *Attempt) WaitUntil(now time.Time) time.Time {
	switch {
	case a.phase == AwaitingResponse:
		return earlier(a.limits.ResponseBy, a.limits.AnswerBy)
	case a.phase == Streaming && a.isShort():
		return a.limits.AnswerBy.Add(shortBodyGrace)
	case a.phase == Streaming:
		return now.Add(StreamPauseTimeout)
	case a.phase == ReceivingBody && a.MayStream() && !a.limits.AnswerBy.IsZero():
		return a.limits.AnswerBy.Add(-streamLead)
	}
	return a.limits.AnswerBy
}

// isShort reports whether the body has a known length that could have been buffered, and the final answer is due.
func (a *Attempt) isShort() bool {
	return a.length >= 0 && !a.IsLong() && !a.limits.AnswerBy.IsZero()
}

// earlier returns the earlier of two times, where the zero time is later than all others.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// Step is what the host does once the time of WaitUntil has come.
type Step int

// The steps.
const (
	KeepWaiting    Step = iota // the time is not over
	StartStreaming             // forward what was received, then go on receiving
	GiveUp                     // end the attempt
)

// WaitEnded returns what the host does at a time at which its wait has ended.
func (a *Attempt) WaitEnded(now time.Time) Step {
	switch until := a.WaitUntil(now); {
	case a.MustStream(now):
		return StartStreaming
	case a.phase == Streaming && !a.isShort():
		return GiveUp // WaitUntil counts from now
	case until.IsZero() || now.Before(until):
		return KeepWaiting
	}
	return GiveUp
}
