package multisite

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A link that drops, delivers late what was written before, and asks that arrive before what they ask about: over
// 1,000 seeds nothing runs that the other side was told never will, and nothing runs twice.
func TestArrivalsSeeds(t *testing.T) {
	seeds := uint64(1000)
	if raceEnabled {
		seeds = 60
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 9))
		a, err := NewForwardedRequests(time.Second, 40)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(0, 0)
		type crossing struct {
			comes, ends time.Time
			ran         int
			never       bool
		}
		all := map[string]*crossing{}
		var ids []string
		for n := range 3000 {
			now = now.Add(time.Millisecond)
			if rng.IntN(12) == 0 {
				id := fmt.Sprint(n)
				all[id] = &crossing{comes: now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)}
				ids = append(ids, id)
			}
			for i := max(0, len(ids)-60); i < len(ids); i++ {
				id := ids[i]
				c := all[id]
				switch {
				case *c == (crossing{}): // settled
				case !c.comes.IsZero() && now.After(c.comes):
					if rng.IntN(8) > 0 { // some come twice, as from a link that repeats
						c.comes = time.Time{}
					}
					if fate, ok := a.Admit(now, id); ok {
						c.ran++
						c.ends = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
					} else if fate == NeverExecuted && c.ran > 0 {
						t.Fatalf("seed %d: %s ran, and its second copy is answered as never", seed, id)
					}
				case !c.ends.IsZero() && now.After(c.ends):
					c.ends = time.Time{}
					a.Complete(now, id, Executed, id)
				case rng.IntN(200) == 0:
					fate, kept := a.ResolveStatus(now, id)
					c.never = c.never || fate == NeverExecuted
					if fate == Executed && (kept != id || c.ran != 1) {
						t.Fatalf("seed %d: %s is said to have run with answer %v, and ran %d times", seed, id, kept, c.ran)
					}
				}
				if c.ran > 1 || c.never && c.ran > 0 {
					t.Fatalf("seed %d: %s ran %d times and was said never to: %v", seed, id, c.ran, c.never)
				}
			}
			if len(ids) > 0 && rng.IntN(10) == 0 { // the other side has one answer, and sends no copy of that one
				id := ids[rng.IntN(len(ids))]
				if c := all[id]; c.comes.IsZero() && c.ends.IsZero() && c.ran > 0 {
					a.Acknowledge(id)
					c.never, all[id] = false, &crossing{}
				}
			}
			if a.Len() > 40 || len(a.ages) > 2*40+agesLeast {
				t.Fatalf("seed %d: %d crossings remembered, %d ages", seed, a.Len(), len(a.ages))
			}
		}
	}
}

// What the other side has the answer of takes no room: many more can cross in a life than are remembered at once.
func TestArrivalsSettled(t *testing.T) {
	a, _ := NewForwardedRequests(time.Hour, 8)
	now := time.Unix(0, 0)
	for i := range 100_000 {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		if _, ok := a.Admit(now, id); !ok {
			t.Fatalf("crossing %d finds no room", i)
		}
		if a.Acknowledge(id); a.Len() == 0 {
			t.Fatal("one that is under way is forgotten")
		}
		a.Complete(now, id, Executed, nil)
		a.Acknowledge(id)
	}
	if a.Len() > 0 || len(a.ages) > 2*agesLeast {
		t.Errorf("%d crossings and %d ages are kept", a.Len(), len(a.ages))
	}
}

// With no room nothing comes in, and what has not come can't be promised never to.
func TestArrivalsFull(t *testing.T) {
	a, _ := NewForwardedRequests(time.Second, 1)
	now := time.Unix(0, 0)
	if _, ok := a.Admit(now, "a"); !ok {
		t.Fatal("one place is none")
	}
	if f, ok := a.Admit(now, "b"); ok || f != NeverExecuted {
		t.Fatalf("one place is two: %v", f)
	}
	if f, _ := a.ResolveStatus(now, "b"); f != ExecutionUnknown {
		t.Errorf("%v, want unknown", f)
	}
	late := now.Add(time.Hour)
	if f, _ := a.ResolveStatus(late, "a"); f != Executing {
		t.Errorf("one that runs for long is forgotten: %v", f)
	}
	a.Complete(late, "a", NeverExecuted, nil)
	if f, _ := a.ResolveStatus(late.Add(time.Minute), "b"); f != NeverExecuted {
		t.Errorf("%v after the first was forgotten", f)
	}
}

func TestBudget(t *testing.T) {
	b, err := NewRelayBudget(RelayBudgetConfig{MaxInFlight: 8, RetryRatio: 0.25, MaxSavedRetries: 1})
	if err != nil {
		t.Fatal(err)
	}
	take := func(licensee string, value float64, want int) {
		t.Helper()
		n := 0
		for n < 20 && b.Acquire(licensee, value, false) {
			n++
		}
		if n != want {
			t.Fatalf("%s took %d places at value %v, want %d", licensee, n, value, want)
		}
	}
	take("cheap", 0, 4)       // half of the bound
	take("cheap", 1, 4)       // alone, the worthiest may have all
	take("other", 1, 0)       // and then there is none left
	b.Release("cheap")        // but once one is free
	take("cheap", 0.5, 0)     // a less worthy class still waits
	take("other", 1, 1)       // and another licensee comes before one that has most
	b.Release("cheap")        // (8 places, 2 licensees)
	take("cheap", 1, 0)       // which is past its equal part
	take("other", 1, 1)       //
	for range 6 + 2 + 3 + 9 { // places that were never taken give nothing back
		b.Release("cheap")
		b.Release("other")
	}
	if b.InFlight() != 0 {
		t.Errorf("%d out", b.InFlight())
	}
	// Further attempts: one is saved up at first, then each takes four first ones.
	for i, want := range []bool{true, false} {
		if got := b.Acquire("a", 1, true); got != want {
			t.Errorf("further attempt %d: %v", i, got)
		}
		b.Release("a")
	}
	for range 4 {
		b.Acquire("a", 1, false)
		b.Release("a")
	}
	if !b.Acquire("a", 1, true) || b.Acquire("a", 1, true) {
		t.Error("four first crossings earn one further")
	}
}
