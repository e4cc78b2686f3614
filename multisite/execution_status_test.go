package multisite

import (
	"testing"
	"time"
)

// A request of which an instance has no record counts as never executed only if the instance was up before the request
// was sent: the process before a restart may have executed it.
func TestStatusCheckedAgainstUptime(t *testing.T) {
	const sinceSent = 300 * time.Millisecond
	for _, test := range []struct {
		name     string
		reported ExecutionStatus
		uptime   time.Duration
		want     ExecutionStatus
	}{
		{"up before it was sent", NeverExecuted, sinceSent + 2*time.Millisecond, NeverExecuted},
		{"restarted since", NeverExecuted, sinceSent - time.Millisecond, ExecutionUnknown},
		{"restarted as it was sent", NeverExecuted, sinceSent, ExecutionUnknown},
		{"up for longer by no more than a rounding", NeverExecuted, sinceSent + time.Millisecond, ExecutionUnknown},
		{"uptime not told", NeverExecuted, 0, ExecutionUnknown},
		{"executing", Executing, 0, Executing},
		{"executed", Executed, 0, Executed},
		{"unknown", ExecutionUnknown, time.Hour, ExecutionUnknown},
	} {
		if got := test.reported.CheckedAgainstUptime(test.uptime, sinceSent); got != test.want {
			t.Errorf("%s: got status %v, want %v", test.name, got, test.want)
		}
	}
}
