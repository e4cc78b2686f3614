package policy

import "time"

// AllInstances as the peer of [Actions.SendGossip] means every other node.
const AllInstances = -1

// Actions is what an engine asks of its host, in the order in which it is to take effect. The host must not call
// back into the engine.
type Actions interface {
	// SendAttempt starts the request's next attempt. A timeout of 0 lasts to the client's deadline.
	SendAttempt(id, server string, timeout time.Duration)
	// RejectRequest is a final answer: nothing happened, and trying again is harmless.
	RejectRequest(id string, retryAfter time.Duration)
	// FailRequest is a final answer that promises nothing.
	FailRequest(id string)
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt(id string, attempt int)
	// SetTimer asks for one call of [Engine.TimerFired] with the token.
	SetTimer(token uint64, after time.Duration)
	// CheckHealth asks a server for its load; [Engine.HealthCheckCompleted] brings the result.
	CheckHealth(server string)
	// SendGossip sends at most 256 bytes to a peer. The host copies what it keeps of the message.
	SendGossip(peer int, message []byte)
	// WatchEndpoints subscribes to changes of the endpoint list, or ends the subscription.
	WatchEndpoints(on bool)
	// Log tells the operators.
	Log(event LogEvent)
}
