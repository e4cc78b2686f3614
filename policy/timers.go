package policy

// timerKind says what a timer is for. A timer's token holds the kind in its low bits, and above it the number
// of the request that it is for, or 0.
type timerKind uint64

const (
	timerSample timerKind = iota
	timerGossip
	timerDeadline
	timerHedge
	timerEndpointPoll
	timerOwnerTimeout
)

// timerBits is how many bits of a token hold the kind.
const timerBits = 3

// timerToken returns the token of a timer.
func timerToken(kind timerKind, requestNumber uint64) uint64 {
	return requestNumber<<timerBits | uint64(kind)
}

// parseTimerToken takes a token apart.
func parseTimerToken(token uint64) (kind timerKind, requestNumber uint64) {
	return timerKind(token & (1<<timerBits - 1)), token >> timerBits
}
