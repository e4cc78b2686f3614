package edgeproxy

import (
	"sync/atomic"
)

// bufferedBodyMemoryFraction is the fraction of the node's memory that all buffered request bodies may take.
const bufferedBodyMemoryFraction = 0.15

// defaultMemoryMB is the node's memory where the configuration names no limit.
const defaultMemoryMB = 64

// memoryBudget is the memory that held bodies may take.
type memoryBudget struct{ available atomic.Int64 }

func newMemoryBudget(memoryMB int) *memoryBudget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	b := &memoryBudget{}
	b.available.Store(int64(bufferedBodyMemoryFraction * float64(memoryMB) * (1 << 20)))
	return b
}

// reserve takes n bytes, or none and returns false.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

func (b *memoryBudget) release(n int64) {
	if n != 0 {
		b.available.Add(n)
	}
}
