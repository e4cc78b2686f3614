package multisite

import "testing"

func newTestRelayBudget(t *testing.T) *RelayBudget {
	t.Helper()
	b, err := NewRelayBudget(RelayBudgetConfig{MaxInFlight: 8, RetryRatio: 0.25, MaxSavedRetries: 1})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRelayBudgetBounds(t *testing.T) {
	b := newTestRelayBudget(t)
	acquire := func(customer string, value float64, want int, rule string) {
		t.Helper()
		n := 0
		for n < 20 && b.Acquire(customer, value, false) {
			n++
		}
		if n != want {
			t.Fatalf("%s: %s acquired %d at value %v, want %d", rule, customer, n, value, want)
		}
	}
	acquire("first", 0, 4, "half of the bound for the lowest value")
	acquire("first", 1, 4, "the whole bound for the highest value and a single customer")
	acquire("second", 1, 0, "nothing beyond the bound")
	b.Release("first")
	acquire("first", 0.5, 0, "no free place for half of the highest value")
	acquire("second", 1, 1, "one free place for a customer with none in flight")
	b.Release("first")
	acquire("first", 1, 0, "nothing beyond an equal part: 4 of 8 for 2 customers")
	acquire("second", 1, 1, "one free place for a customer below its equal part")
	for range 6 + 2 + 3 + 9 { // more than were acquired: the excess releases have no effect
		b.Release("first")
		b.Release("second")
	}
	if b.InFlight() != 0 {
		t.Errorf("%d requests in flight after all were released, want 0", b.InFlight())
	}
	checkRetryBudget(t, b)
}

// One retry is saved at the start; each further one must be earned by four first attempts.
func TestRelayBudgetRetries(t *testing.T) { checkRetryBudget(t, newTestRelayBudget(t)) }

func checkRetryBudget(t *testing.T, b *RelayBudget) {
	t.Helper()
	for i, want := range []bool{true, false} {
		if got := b.Acquire("a", 1, true); got != want {
			t.Errorf("retry %d: wrong decision %v", i, got)
		}
		b.Release("a")
	}
	for range 4 {
		b.Acquire("a", 1, false)
		b.Release("a")
	}
	if !b.Acquire("a", 1, true) || b.Acquire("a", 1, true) {
		t.Error("four first attempts did not earn exactly one retry")
	}
}
