package testserver

import "testing"

// HasLine must match the whole message of a line, and details only in the attributes of the same line.
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
			t.Errorf("HasLine(%q, %q) = %v", c.message, c.details, got)
		}
	}
}
