package policy

// timerKind is the purpose of a timer. A timer's token holds the kind in its low bits, and above them the number of its
// request, or 0.
type timerKind uint64

const (
	timerSample       timerKind = iota // end of a sample
	timerGossip                        // next broadcast
	timerDeadline                      // a request's final answer is due
	timerHedge                         // an attempt has become slow
	timerEndpointPoll                  // next subscription to the endpoint list
	timerOwnerTimeout                  // the owner of a quota has not responded
)

// timerBits is how many bits of a token hold the kind.
const timerBits = 3

// timerToken returns the token of a timer.
func timerToken(kind timerKind, requestNumber uint64) uint64 {
	return requestNumber<<timerBits | uint64(kind)
}

// parseTimerToken splits a token into its parts.
func parseTimerToken(token uint64) (kind timerKind, requestNumber uint64) {
	return timerKind(token & (1<<timerBits - 1)), token >> timerBits
}
