package policy

// Timer tokens: the low bits tell what the timer is for.
const (
	timerSample = iota
	timerGossip
	timerDeadline
	timerHedge
	timerEndpointPoll
	timerOwnerTimeout
	timerBits = 3
)
