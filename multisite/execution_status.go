package multisite

import "time"

// ExecutionStatus is what a site knows of the execution of a request that was forwarded to it.
type ExecutionStatus int

// The statuses of a forwarded request. Their texts are sent between sites.
const (
	// NeverExecuted: it did not run here and never will; if it arrives later it is rejected.
	NeverExecuted ExecutionStatus = iota
	// Executing: it has arrived and has no final answer yet.
	Executing
	// Executed: it was served; its answer may have been retained.
	Executed
	// ExecutionUnknown: it may have run.
	ExecutionUnknown
)

// uptimePrecision is what an uptime that another site tells may be too long by, as it is rounded.
const uptimePrecision = time.Millisecond

// AsTold returns what a status that a site told is worth to the one that asked. "Never executed" is what an instance
// says of all that it does not know. Where it was restarted since the request was sent, its predecessor may have executed
// the request: it has been up for less time than the request has been under way, and the status is unknown.
func (s ExecutionStatus) AsTold(uptime, sinceSent time.Duration) ExecutionStatus {
	if s == NeverExecuted && uptime-uptimePrecision <= sinceSent {
		return ExecutionUnknown
	}
	return s
}

// String returns the text that is sent between sites.
func (s ExecutionStatus) String() string { return executionStatusTexts[s] }

// ParseExecutionStatus is the inverse of [ExecutionStatus.String]; a text that it does not know is ExecutionUnknown.
func ParseExecutionStatus(text string) ExecutionStatus {
	for s := NeverExecuted; s < ExecutionUnknown; s++ {
		if s.String() == text {
			return s
		}
	}
	return ExecutionUnknown
}
