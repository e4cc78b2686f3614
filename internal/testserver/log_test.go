package testserver

import "testing"

// A line counts by its whole message, and with all details in its own attributes.
func TestLogHasLine(t *testing.T) {
	var logs Log
	logs.Logger().Info("ready", "address", "a:1")
	logs.Logger().Warn("handover failed", "error", "no successor")
	for _, c := range []struct {
		message string
		details []string
		want    bool
	}{
		{"ready", nil, true},
		{"ready", []string{"address=a:1"}, true},
		{"handover failed", []string{`error="no successor"`}, true},
		{"handover failed", nil, true},
		{"handover", nil, false},
		{"read", nil, false},
		{"successor", nil, false},
		{"ready", []string{"successor"}, false},
		{"handover failed", []string{"no successor", "address"}, false},
	} {
		if got := logs.HasLine(c.message, c.details...); got != c.want {
			t.Errorf("%q with %q: %v", c.message, c.details, got)
		}
	}
}
