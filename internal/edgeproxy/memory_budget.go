package edgeproxy

import (
	"sync/atomic"
)

// bufferedBodyMemoryFraction is the fraction of the node's memory that all buffered request bodies may take.
const bufferedBodyMemoryFraction = 0.15

// defaultMemoryMB is the node's memory where the configuration names no limit.
const defaultMemoryMB = 64

// memoryBudget limits the memory that buffered request bodies take.
type memoryBudget struct{ available atomic.Int64 } // bytes

// newMemoryBudget returns the budget of a node with so many MiB of memory; 0: no limit is known.
func newMemoryBudget(memoryMB int) *memoryBudget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	b := &memoryBudget{}
	b.available.Store(int64(bufferedBodyMemoryFraction * float64(memoryMB) * (1 << 20)))
	return b
}

// reserveBody decides whether size bytes of one request's body are buffered, of which so many are reserved already, and
// returns what is reserved then. A short body always is; a longer one up to maxBufferedBody, as long as the budget has
// room. What is not buffered is streamed, and can't be retried.
func (b *memoryBudget) reserveBody(size, alreadyReserved int64) (reserved int64, isBuffered bool) {
	switch {
	case size <= alwaysBufferedBody:
		return alreadyReserved, true
	case size <= maxBufferedBody && b.reserve(size-alreadyReserved):
		return size, true
	}
	return alreadyReserved, false
}

// reserve takes n bytes, or none and returns false.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

// releaseAtPanic is deferred where a body is read: a panic meanwhile gives what is reserved back.
func (b *memoryBudget) releaseAtPanic(reserved *int64) {
	if p := recover(); p != nil {
		b.release(*reserved)
		panic(p)
	}
}

// release gives n bytes back.
func (b *memoryBudget) release(n int64) {
	if n != 0 {
		b.available.Add(n)
	}
}
