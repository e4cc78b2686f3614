package policy

// timerKind is the purpose of a timer. A timer's token holds the kind in its low bits, and above them the number of its
// request, or 0.
type timerKind uint64

const (
	timerSample       timerKind = iota // end of a sample
	timerGossip                        // next gossip broadcast
	timerDeadline                      // a request's final answer is due
	timerHedge                         // an attempt is slow: a hedged request may be sent
	timerEndpointPoll                  // next subscription to the endpoint list
	timerOwnerTimeout                  // the owner of a quota has not responded
)

// timerKindBits is the number of bits of a token that hold the kind.
const timerKindBits = 3

// timerToken returns the token of a timer.
func timerToken(kind timerKind, requestNumber uint64) uint64 {
	return requestNumber<<timerKindBits | uint64(kind)
}

// parseTimerToken returns the kind and the request number of a token.
func parseTimerToken(token uint64) (kind timerKind, requestNumber uint64) {
	return timerKind(token & (1<<timerKindBits - 1)), token >> timerKindBits
}
