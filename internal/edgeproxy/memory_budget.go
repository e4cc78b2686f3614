package edgeproxy

import (
	"sync/atomic"
)

// bufferedBodyMemoryFraction is the fraction of the node's memory that all buffered request bodies together may take.
const bufferedBodyMemoryFraction = 0.15

// defaultMemoryMB is the node's memory in MiB if the configuration sets no limit.
const defaultMemoryMB = 64

// memoryBudget limits the memory taken by buffered request bodies.
type memoryBudget struct{ available atomic.Int64 } // bytes

// newMemoryBudget returns the budget of a node with memoryMB MiB of memory; 0 means that no limit is known.
func newMemoryBudget(memoryMB int) *memoryBudget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	b := &memoryBudget{}
	b.available.Store(int64(bufferedBodyMemoryFraction * float64(memoryMB) * (1 << 20)))
	return b
}

// reserveBody decides whether size bytes of a request's body are buffered. alreadyReserved is the number of bytes
// reserved for that body so far; reserved is the number after the call. A short body is always buffered, a longer one
// up to maxBufferedBody while the budget lasts. A body that is not buffered is streamed, and its request can't be
// retried.
func (b *memoryBudget) reserveBody(size, alreadyReserved int64) (reserved int64, isBuffered bool) {
	switch {
	case size <= alwaysBufferedBody:
		return alreadyReserved, true
	case size <= maxBufferedBody && b.reserve(size-alreadyReserved):
		return size, true
	}
	return alreadyReserved, false
}

// reserve takes n bytes from the budget. If fewer are available it takes none and returns false.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) >= 0 {
		return true
	}
	b.available.Add(n)
	return false
}

// releaseOnPanic is deferred by functions that read a body. If they panic it returns the reserved bytes to the budget.
func (b *memoryBudget) releaseOnPanic(reserved *int64) {
	if p := recover(); p != nil {
		b.release(*reserved)
		panic(p)
	}
}

// release returns n bytes to the budget.
func (b *memoryBudget) release(n int64) {
	if n != 0 {
		b.available.Add(n)
	}
}
