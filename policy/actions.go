package policy

import "time"

// AllInstances is the peer index that makes [Actions.SendGossip] send to every other node.
const AllInstances = -1

// Actions is the interface through which an engine acts on the network and the timers. The engine calls its methods in
// the order in which they are to take effect; the host must not call back into the engine.
type Actions interface {
	// SendAttempt sends the request's next attempt to a server. With a timeout of 0 the attempt may last until the
	// client's deadline.
	SendAttempt(id, server string, timeout time.Duration)
	// RejectRequest sends the client a final answer that states that a retry is safe.
	RejectRequest(id string, retryAfter time.Duration)
	// FailRequest sends the client a final answer that does not state that a retry is safe.
	FailRequest(id string)
	// CancelAttempt cancels an attempt, given by its index as in [AttemptResult].
	CancelAttempt(id string, attempt int)
	// SetTimer schedules one call of [Engine.TimerFired] with the token.
	SetTimer(token uint64, after time.Duration)
	// CheckHealth sends a health check. The host passes one result for each check to [Engine.HealthCheckCompleted],
	// within healthCheckExpiry. A result counts for the oldest check of the server that has none.
	CheckHealth(server string)
	// SendGossip sends a message of at most 256 bytes to a peer: an instance index or [AllInstances]. The host must not
	// retain the message.
	SendGossip(peer int, message []byte)
	// WatchEndpoints subscribes to changes of the endpoint list, or cancels the subscription.
	WatchEndpoints(subscribe bool)
	// Log adds an event to the operators' log.
	Log(event LogEvent)
}
