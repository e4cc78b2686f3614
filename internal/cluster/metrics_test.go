package cluster

import "testing"

// The metric of the confirmation's age is in seconds, and -1 if there was none, as its help text says.
func TestConfirmedAgeMetric(t *testing.T) {
	for ageMs, want := range map[int64]float64{-1: -1, 0: 0, 1500: 1.5} {
		found := false
		for _, g := range statusGauges {
			if got := g.value(&Status{ConfirmedAgeMs: ageMs}); g.desc == confirmedAgeDesc {
				found = true
				if got != want {
					t.Errorf("age of %d ms: got %v s, want %v", ageMs, got, want)
				}
			}
		}
		if !found {
			t.Error("statusGauges does not contain the gauge of the confirmation's age")
		}
	}
}
