// Package memaccount decides who may hold memory for what peers send: heads and bodies of requests, data received ahead
// and responses. An [Account] has one limit for all of it. Package edgeproxy reports to it what each client connection
// makes the process hold, and carries out its decisions.
//
// The rules, in the order in which they are asked:
//
//   - What fits under the limit is granted. Requests that are still being received leave a part of the limit to those
//     that are complete, because these must be answered.
//   - If a reservation does not fit, holders whose peer has stopped in the middle of a request are evicted, the one that
//     holds most first, until it will fit.
//   - If that is not enough, a holder that is still receiving its request waits, and is refused after [MaxWait]. A
//     complete request does not wait: its holder does without the reservation.
//
// The package does no I/O and reads no clock; the caller guards an account with a mutex.
package memaccount

import (
	"slices"
	"time"
)

const (
	// StallGrace is how long a peer may send nothing in the middle of a request before its holder can be evicted.
	StallGrace = 500 * time.Millisecond

	// MaxWait is how long a reservation waits before it is refused.
	MaxWait = 250 * time.Millisecond

	// receivingPercent is the percentage of the limit up to which requests that are being received may reserve.
	receivingPercent = 75
)

// Decision is the decision on a reservation.
type Decision int

// The decisions.
const (
	Granted Decision = iota
	Wait             // reserve again later: nothing was reserved
	Refused          // nothing was reserved
)

// Account holds the reservations of all holders. Invariant: the used bytes are the sum of those of all holders, and
// never exceed the limit.
type Account[O any] struct {
	limit, used int64 // bytes
	evicting    int64 // bytes of evicted holders that have not been released yet
	receiving   []*Holder[O]
	counts      Counts
}

// Counts counts decisions since the start.
type Counts struct {
	Waits, Refusals, Evictions uint64
}

// New returns an account with a limit in bytes.
func New[O any](limit int64) *Account[O] { return &Account[O]{limit: limit} }

// Holder is what one client connection makes the process hold. The zero value holds nothing. O identifies the
// connection to the caller.
type Holder[O any] struct {
	Owner O

	bytes       int64
	isReceiving bool      // a request is being received
	isEvicted   bool      // has to release everything
	progressAt  time.Time // when data of the request was last received
	waitsSince  time.Time // zero: not waiting
}

// Bytes returns how much the holder has reserved.
func (h *Holder[O]) Bytes() int64 { return h.bytes }

// IsEvicted reports whether the holder has to end its request and release everything.
func (h *Holder[O]) IsEvicted() bool { return h.isEvicted }

// BeginReceiving records that a request of the holder has begun to be received, or that more of it was received.
func (a *Account[O]) BeginReceiving(now time.Time, h *Holder[O]) {
	h.progressAt = now
	if !h.isReceiving {
		h.isReceiving = true
		a.receiving = append(a.receiving, h)
	}
}

// EndReceiving records that the holder's request is complete, or has ended. From then on the holder is not evicted.
func (a *Account[O]) EndReceiving(h *Holder[O]) {
	if !h.isReceiving {
		return
	}
	h.isReceiving = false
	h.waitsSince = time.Time{}
	if h.isEvicted { // its request has ended, or became complete just before
		h.isEvicted = false
		a.evicting -= h.bytes
	}
	i := slices.Index(a.receiving, h)
	a.receiving[i] = a.receiving[len(a.receiving)-1]
	a.receiving[len(a.receiving)-1] = nil
	a.receiving = a.receiving[:len(a.receiving)-1]
}

// Reserve decides whether the holder may hold n more bytes. The caller ends the requests of the evicted holders, which
// then release their bytes; until then a receiving holder waits.
func (a *Account[O]) Reserve(now time.Time, h *Holder[O], n int64) (decision Decision, evicted []*Holder[O]) {
	limit := a.limit
	if h.isReceiving {
		limit = limit * receivingPercent / 100
	}
	switch {
	case h.isEvicted:
		return Refused, nil
	case a.used+n <= limit:
		a.used += n
		h.bytes += n
		if !h.waitsSince.IsZero() {
			h.waitsSince, h.progressAt = time.Time{}, now // until now the peer could not send
		}
		return Granted, nil
	}
	evicted = a.evictStalled(now, h, a.used-a.evicting+n-limit)
	switch {
	case !h.isReceiving || n > limit:
		a.counts.Refusals++
		return Refused, evicted
	case h.waitsSince.IsZero():
		h.waitsSince = now
		a.counts.Waits++
	case now.Sub(h.waitsSince) >= MaxWait:
		a.counts.Refusals++
		return Refused, evicted
	}
	return Wait, evicted
}

// ReserveAnyway is Reserve for a complete request, whose reservation may use all of the limit and is not waited for.
func (a *Account[O]) ReserveAnyway(now time.Time, h *Holder[O], n int64) (isGranted bool, evicted []*Holder[O]) {
	if h.isEvicted {
		return false, nil
	}
	if a.used+n <= a.limit {
		a.used += n
		h.bytes += n
		return true, nil
	}
	a.counts.Refusals++
	return false, a.evictStalled(now, h, a.used-a.evicting+n-a.limit)
}

// evictStalled evicts holders, other than the one that needs memory, whose peers have stopped in the middle of a
// request, until they hold at least shortage bytes together.
func (a *Account[O]) evictStalled(now time.Time, needs *Holder[O], shortage int64) (evicted []*Holder[O]) {
	for shortage > 0 {
		var largest *Holder[O]
		for _, h := range a.receiving {
			isStalled := !h.isEvicted && h.waitsSince.IsZero() && now.Sub(h.progressAt) >= StallGrace
			if h != needs && isStalled && h.bytes > 0 && (largest == nil || h.bytes > largest.bytes) {
				largest = h
			}
		}
		if largest == nil {
			return evicted
		}
		largest.isEvicted = true
		a.evicting += largest.bytes
		a.counts.Evictions++
		shortage -= largest.bytes
		evicted = append(evicted, largest)
	}
	return evicted
}

// Release gives back n bytes of the holder.
func (a *Account[O]) Release(h *Holder[O], n int64) {
	h.bytes -= n
	a.used -= n
	if h.isEvicted {
		a.evicting -= n
	}
}

// shortPercent and availablePercent are the percentages of the limit from which on memory is short, and under which it
// is available again.
const (
	shortPercent     = 70
	availablePercent = 40
)

// IsShort reports whether memory is short, given whether it was before.
func (a *Account[O]) IsShort(wasShort bool) bool {
	if wasShort {
		return a.used*100 >= a.limit*availablePercent
	}
	return a.used*100 >= a.limit*shortPercent
}

// Used returns the bytes that are reserved.
func (a *Account[O]) Used() int64 { return a.used }

// Limit returns the limit in bytes.
func (a *Account[O]) Limit() int64 { return a.limit }

// Counts returns the decisions since the start.
func (a *Account[O]) Counts() Counts { return a.counts }
