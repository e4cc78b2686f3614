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
	acquire := func(customer string, value float64, want int) {
		t.Helper()
		n := 0
		for n < 20 && b.Acquire(customer, value, false) {
			n++
		}
		if n != want {
			t.Fatalf("%s took %d places at value %v, want %d", customer, n, value, want)
		}
	}
	acquire("cheap", 0, 4)    // half of the bound
	acquire("cheap", 1, 4)    // alone, the highest value may have all
	acquire("other", 1, 0)    // and then there is none left
	b.Release("cheap")        // but once one is free
	acquire("cheap", 0.5, 0)  // a class of less value still waits
	acquire("other", 1, 1)    // and another customer comes before one that has most
	b.Release("cheap")        // (8 places, 2 customers)
	acquire("cheap", 1, 0)    // which is past its equal part
	acquire("other", 1, 1)    //
	for range 6 + 2 + 3 + 9 { // places that were never taken give nothing back
		b.Release("cheap")
		b.Release("other")
	}
	if b.InFlight() != 0 {
		t.Errorf("%d in flight", b.InFlight())
	}
	checkRetryBudget(t, b)
}

// Retries: one is saved up at first, then each takes four first attempts.
func TestRelayBudgetRetries(t *testing.T) { checkRetryBudget(t, newTestRelayBudget(t)) }

func checkRetryBudget(t *testing.T, b *RelayBudget) {
	t.Helper()
	for i, want := range []bool{true, false} {
		if got := b.Acquire("a", 1, true); got != want {
			t.Errorf("retry %d: %v", i, got)
		}
		b.Release("a")
	}
	for range 4 {
		b.Acquire("a", 1, false)
		b.Release("a")
	}
	if !b.Acquire("a", 1, true) || b.Acquire("a", 1, true) {
		t.Error("four first attempts must earn one retry")
	}
}
