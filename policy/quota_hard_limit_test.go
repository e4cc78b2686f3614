package policy

import (
	"testing"
)

// A new instance starts with an empty hard limit: it may replace an instance that has spent its part.
func TestHardLimitStartsEmpty(t *testing.T) {
	s := testSettings()
	e, r := newEngine(t, s, testServers(4)...)
	q := newRequest(0, "safe", "hard", 1)
	if n := offerRequests(e, r, t0, 30, q); n != 0 {
		t.Errorf("%d requests sent at the start, want 0", n)
	}
	if n := offerRequests(e, r, t0+200*ms, 30, q); n != 5 {
		t.Errorf("%d requests sent after 200 ms at 25 per second, want 5", n)
	}
}
