package edgeproxy

import (
	"time"

	"mulleinmux/internal/memaccount"
)

// reservation is a part of a connection's memory that is reserved and released on its own. The zero value with its
// memory set is empty; with a nil memory nothing is counted.
type reservation struct {
	memory *connMemory
	bytes  int64 // guarded by the account's mutex
}

// growTo reserves memory for a request that is being received until the reservation has at least the given size. It
// waits as long as the account tells it to, without the connection's turn. The error is errNoMemory or errMemoryEvicted.
func (r *reservation) growTo(bytes int64) error {
	if r.memory == nil {
		return nil
	}
	for {
		decision, isEvicted := r.tryStep(bytes)
		switch {
		case isEvicted:
			return errMemoryEvicted
		case decision == memaccount.Granted:
			return nil
		case decision == memaccount.Refused:
			return errNoMemory
		}
		if r.memory.beforeWait != nil {
			r.memory.beforeWait()
		}
		time.Sleep(reservationRetryInterval)
	}
}

// shrinkTo releases what the reservation has beyond a size.
func (r *reservation) shrinkTo(bytes int64) {
	if r.memory == nil {
		return
	}
	r.memory.do(func(account *memaccount.Account[*connMemory]) {
		if bytes < r.bytes {
			account.Release(&r.memory.holder, r.bytes-max(bytes, 0))
			r.bytes = max(bytes, 0)
		}
	})
}

// growsAtOnce is growTo without waiting. It reports whether the reservation has the size.
func (r *reservation) growsAtOnce(bytes int64) bool {
	if r.memory == nil {
		return true
	}
	decision, isEvicted := r.tryStep(bytes)
	return decision == memaccount.Granted && !isEvicted
}

// tryStep asks for the reservation to have at least the given size, and ends the requests that are evicted for it.
func (r *reservation) tryStep(bytes int64) (decision memaccount.Decision, isEvicted bool) {
	var evicted []*memaccount.Holder[*connMemory]
	r.memory.do(func(account *memaccount.Account[*connMemory]) {
		if bytes <= r.bytes {
			return
		}
		decision, evicted = account.Reserve(time.Now(), &r.memory.holder, bytes-r.bytes)
		if decision == memaccount.Granted {
			r.bytes = bytes
		}
		isEvicted = r.memory.holder.IsEvicted()
	})
	evictAll(evicted)
	return decision, isEvicted
}

// tryGrowTo reserves memory for a complete request until the reservation has at least the given size, without waiting.
// It reports whether the reservation has the size.
func (r *reservation) tryGrowTo(bytes int64) (isGranted bool) {
	if r.memory == nil {
		return true
	}
	isGranted = true
	var evicted []*memaccount.Holder[*connMemory]
	r.memory.do(func(account *memaccount.Account[*connMemory]) {
		if bytes <= r.bytes {
			return
		}
		isGranted, evicted = account.ReserveAnyway(time.Now(), &r.memory.holder, bytes-r.bytes)
		if isGranted {
			r.bytes = bytes
		}
	})
	evictAll(evicted)
	return isGranted
}

// release releases the whole reservation.
func (r *reservation) release() { r.shrinkTo(0) }

// releaseOnPanic is deferred by functions that fill the memory. If they panic it releases the reservation.
func (r *reservation) releaseOnPanic() {
	if p := recover(); p != nil {
		r.release()
		panic(p)
	}
}
