package multisite

import (
	"fmt"
	"testing"
	"time"
)

// The capacity of a warm server is estimated from the load that all members send to one server and from its
// utilization. Each case continues from the state after the previous one.
func TestWarmServerCapacity(t *testing.T) {
	r, err := NewRecoveryRamp(RampConfig{
		InstanceID: 1, LoanTTL: time.Second, LoadTTL: time.Second, BudgetMultiple: rampTestMultiple,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.ApplyAgreed(0, []Site{{Name: "a"}, {Name: "b"}}, []uint64{1, 2, 3})
	for _, c := range []struct {
		name                 string
		own, other           WarmServerLoad
		now                  time.Duration
		capacityA, capacityB float64
	}{
		{"nothing is known: a second's work a second", WarmServerLoad{"a", 0, -1}, WarmServerLoad{"a", 0, -1}, 0, 1, 1},
		{"busy", WarmServerLoad{"a", 0.5, 0.5}, WarmServerLoad{"a", 0.7, 0.6}, 100 * time.Millisecond, 2, 2},
		{"idle: as learned before",
			WarmServerLoad{"a", 0.1, 0.1}, WarmServerLoad{"a", 0.1, 0.1}, 200 * time.Millisecond, 2, 2},
		{"another site's servers are larger",
			WarmServerLoad{"b", 1, 0.25}, WarmServerLoad{"b", 3, 0.5}, 300 * time.Millisecond, 2, 8},
		{"no reports: at least what they are sent",
			WarmServerLoad{"a", 3, -1}, WarmServerLoad{"a", 3, -1}, 400 * time.Millisecond, 6, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			r.Receive(c.now, 2, RampMessage{Loads: []WarmServerLoad{c.other}})
			r.NextBroadcast(c.now, []WarmServerLoad{c.own})
			got := fmt.Sprintf("%.2f %.2f", r.WarmServerCapacity(c.now, "a"), r.WarmServerCapacity(c.now, "b"))
			if want := fmt.Sprintf("%.2f %.2f", c.capacityA, c.capacityB); got != want {
				t.Errorf("capacities at sites a and b: got %s, want %s", got, want)
			}
		})
	}
	if got := r.WarmServerCapacity(5*time.Second, "a"); got != 2 { // all loads are outdated
		t.Errorf("capacity at site a with outdated loads: got %.2f, want 2", got)
	}
}
