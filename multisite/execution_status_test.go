package multisite

import (
	"testing"
	"time"
)

// What an instance does not know of counts as never executed only if it was up before the request was sent.
func TestStatusAsTold(t *testing.T) {
	const sinceSent = 300 * time.Millisecond
	for _, test := range []struct {
		name   string
		told   ExecutionStatus
		uptime time.Duration
		want   ExecutionStatus
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
		if got := test.told.AsTold(test.uptime, sinceSent); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
