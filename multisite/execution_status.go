package multisite

import "time"

// ExecutionStatus is the status of a request that was forwarded to a site, as that site reports it.
type ExecutionStatus int

// The statuses of a forwarded request. Their texts are sent between sites.
const (
	// NeverExecuted means that the request did not run and never will: if it arrives later, it is rejected.
	NeverExecuted ExecutionStatus = iota
	// Executing means that the request has arrived and has no final answer yet.
	Executing
	// Executed means that the request was served. Its answer may have been retained.
	Executed
	// ExecutionUnknown means that the request may have run.
	ExecutionUnknown
)

// uptimePrecision is the largest amount by which the uptime that a site reports may be too long, due to rounding.
const uptimePrecision = time.Millisecond

// CheckedAgainstUptime returns the status that the querying site may rely on, given the status and the uptime that an
// instance of another site has reported. An instance reports NeverExecuted for each request of which it has no record.
// If it was restarted after the request was sent, its predecessor may have executed the request: the uptime does not
// exceed the time since the request was sent, and the status is ExecutionUnknown.
func (s ExecutionStatus) CheckedAgainstUptime(uptime, sinceSent time.Duration) ExecutionStatus {
	if s == NeverExecuted && uptime-uptimePrecision <= sinceSent {
		return ExecutionUnknown
	}
	return s
}

// String returns the text that is sent between sites.
func (s ExecutionStatus) String() string { return executionStatusTexts[s] }

// ParseExecutionStatus is the inverse of [ExecutionStatus.String]. It returns ExecutionUnknown for any other text.
func ParseExecutionStatus(text string) ExecutionStatus {
	for s := NeverExecuted; s < ExecutionUnknown; s++ {
		if s.String() == text {
			return s
		}
	}
	return ExecutionUnknown
}
