package cluster

import "testing"

// The age of the confirmation is in seconds, and -1 where there was none, as the metric's help says.
func TestConfirmedAgeMetric(t *testing.T) {
	for ageMs, want := range map[int64]float64{-1: -1, 0: 0, 1500: 1.5} {
		found := false
		for _, g := range statusGauges {
			if got := g.value(&Status{ConfirmedAgeMs: ageMs}); g.desc == confirmedAgeDesc {
				found = true
				if got != want {
					t.Errorf("%d ms: %v s, want %v", ageMs, got, want)
				}
			}
		}
		if !found {
			t.Error("the metric is missing")
		}
	}
}
