package subset

import (
	"math"
	"testing"
	"time"
)

// A subset of which half is healthy does not widen. With less than a third healthy it widens at once, and it narrows
// again one step at a time.
func TestWidthFollowsAvailability(t *testing.T) {
	var w WidthController
	if w.Update(0, 0.5, 16, 1); w.Factor() != 1 {
		t.Fatal("the subset was widened although half of it is healthy")
	}
	if !w.Update(time.Second, 0.2, 16, 1) || w.Factor() < 0.35/0.2-1e-9 {
		t.Fatalf("a fifth of the subset is healthy: got width %v, want at least 0.35/0.2", w.Factor())
	}
	top := w.Factor()
	if w.Update(5*time.Second, 1, 32, 1); w.Factor() != top {
		t.Fatal("the subset was narrowed at once")
	}
	for at := 6 * time.Second; at < 10*time.Second; at += time.Second / 10 {
		w.Update(at, 1, 32, 1)
	}
	if f := w.Factor(); f >= top || f < top/2 {
		t.Fatalf("width after some seconds: got %v, want less than %v and at least half of it", f, top)
	}
	for at := 12 * time.Second; at < 60*time.Second; at += time.Second / 10 {
		w.Update(at, 1, 16, 1)
	}
	if w.Factor() != 1 {
		t.Fatalf("width after a minute: got %v, want 1", w.Factor())
	}
}

// A node with many attempts in flight widens its subset as well, but not twice within a short time.
func TestWidthFollowsAttemptsInFlight(t *testing.T) {
	var w WidthController
	if !w.Update(61*time.Second, 1, 16, 35) || w.Factor() < 35.0/16-1e-9 {
		t.Fatalf("35 attempts in flight at 16 members: got width %v, want at least 35/16", w.Factor())
	}
	if w.Update(61*time.Second+time.Millisecond, 0, 16, 1) {
		t.Fatal("the subset was widened twice within a millisecond")
	}
}

// The width is bounded even if no member seems healthy for a moment or for minutes.
func TestWidthIsBounded(t *testing.T) {
	var w WidthController
	if w.Update(0, 0, 16, 1); w.Factor() > 2.26 {
		t.Fatalf("no healthy member for a moment: got width %v, want at most 2.26", w.Factor())
	}
	for i := range 100 {
		w.Update(time.Duration(i+1)*time.Second, 0, 16, 1)
	}
	if w.Factor() > 26 || math.IsNaN(w.Factor()) {
		t.Fatalf("no healthy member for 100 seconds: got width %v, want at most 26", w.Factor())
	}
}
