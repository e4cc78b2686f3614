// Package seedtest runs a simulation for many seeds in parallel subtests. Simulations must not share mutable state.
package seedtest

import (
	"fmt"
	"testing"
)

// ForEach runs a simulation for count seeds from first on, each in a parallel subtest named seed=N, and returns when
// all have ended.
func ForEach(t *testing.T, first, count uint64, simulate func(t *testing.T, seed uint64)) {
	t.Helper()
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+count; seed++ {
			t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
				t.Parallel()
				simulate(t, seed)
			})
		}
	})
}

// Collect runs simulations as [ForEach] does and returns their results in the order of the seeds. The result of a
// simulation that calls t.FailNow is the zero value.
func Collect[R any](t *testing.T, first, count uint64, simulate func(t *testing.T, seed uint64) R) []R {
	t.Helper()
	results := make([]R, count)
	ForEach(t, first, count, func(t *testing.T, seed uint64) { results[seed-first] = simulate(t, seed) })
	return results
}
