package seedtest

import (
	"slices"
	"sync/atomic"
	"testing"
)

func TestForEachRunsAllSeeds(t *testing.T) {
	var sum atomic.Uint64
	ForEach(t, 10, 3, func(_ *testing.T, seed uint64) { sum.Add(seed) })
	if got := sum.Load(); got != 10+11+12 {
		t.Errorf("sum of the simulated seeds is %d, want 33", got)
	}
}

func TestCollectKeepsOrder(t *testing.T) {
	squares := Collect(t, 3, 4, func(_ *testing.T, seed uint64) uint64 { return seed * seed })
	if want := []uint64{9, 16, 25, 36}; !slices.Equal(squares, want) {
		t.Errorf("collected results are %v, want %v", squares, want)
	}
}

func TestSubtestsAreNamedBySeed(t *testing.T) {
	names := Collect(t, 7, 2, func(t *testing.T, _ uint64) string { return t.Name() })
	want := []string{"TestSubtestsAreNamedBySeed/seeds/seed=7", "TestSubtestsAreNamedBySeed/seeds/seed=8"}
	if !slices.Equal(names, want) {
		t.Errorf("subtest names are %v, want %v", names, want)
	}
}
