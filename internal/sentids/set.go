// Package sentids remembers the IDs of requests that were forwarded, so that one that comes again is recognized after
// its request has ended: its client may have disconnected while the request ran. IDs are kept as keyed hashes. The
// package does no I/O and reads no clock; the caller guards a set with a mutex.
package sentids

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"time"
)

// Set is a set of IDs, each of which is forgotten after a time. Invariant: order[head:] holds exactly the IDs of the
// map, those added first in front.
type Set struct {
	key     uint64
	ttl     time.Duration
	maxSize int
	addedAt map[uint64]time.Duration // by hash
	order   []uint64                 // hashes
	head    int
	dropped uint64
}

// New returns an empty set that keeps an ID for ttl, and maxSize IDs at most. key is a random number: it keeps clients
// from choosing IDs with the same hash.
func New(key uint64, ttl time.Duration, maxSize int) *Set {
	return &Set{key: key, ttl: ttl, maxSize: maxSize, addedAt: map[uint64]time.Duration{}}
}

// Hash returns the hash by which the set knows an ID.
func (s *Set) Hash(id string) uint64 {
	buffer := binary.BigEndian.AppendUint64(make([]byte, 0, keyBytes+maxIDBytes), s.key)
	buffer = append(buffer, id...)
	h := fnv.New64a()
	h.Write(buffer)
	return h.Sum64()
}

// maxIDBytes is the length of an ID up to which Hash needs no further memory.
const maxIDBytes = 64

// Contains reports whether the ID with a hash was added within the last ttl.
func (s *Set) Contains(now time.Duration, hash uint64) bool {
	s.expire(now)
	_, isKnown := s.addedAt[hash]
	return isKnown
}

// Add adds the ID with a hash. An ID that is in the set keeps its time. If the set is full, the oldest ID is dropped.
func (s *Set) Add(now time.Duration, hash uint64) {
	s.expire(now)
	if _, isKnown := s.addedAt[hash]; isKnown {
		return
	}
	if s.Len() >= s.maxSize {
		s.removeOldest()
		s.dropped++
	}
	s.addedAt[hash] = now
	s.order = append(s.order, hash)
}

// Len returns the number of IDs.
func (s *Set) Len() int { return len(s.order) - s.head }

// Dropped returns how many IDs were dropped before their time because the set was full.
func (s *Set) Dropped() uint64 { return s.dropped }

// expire removes the IDs whose time is over.
func (s *Set) expire(now time.Duration) {
	for s.Len() > 0 && now-s.addedAt[s.order[s.head]] >= s.ttl {
		s.removeOldest()
	}
}

// removeOldest removes the ID that was added first.
func (s *Set) removeOldest() {
	delete(s.addedAt, s.order[s.head])
	s.head++
	if s.head > len(s.order)/2 {
		s.order = s.order[:copy(s.order, s.order[s.head:])]
		s.head = 0
	}
}

// Sizes in the exported form.
const (
	keyBytes   = 8
	entryBytes = 8 + 4 // hash and age
)

// errMalformed is returned for an exported form that can't be imported.
var errMalformed = errors.New("sent IDs: malformed")

// Export returns the set for another process: the key, then each hash with its age in ms.
func (s *Set) Export(now time.Duration) []byte {
	s.expire(now)
	exported := binary.BigEndian.AppendUint64(nil, s.key)
	for _, hash := range s.order[s.head:] {
		exported = binary.BigEndian.AppendUint64(exported, hash)
		exported = binary.BigEndian.AppendUint32(exported, uint32((now - s.addedAt[hash]).Milliseconds()))
	}
	return exported
}

// Import replaces the set by an exported one. In case of an error the set is unchanged.
func (s *Set) Import(now time.Duration, exported []byte) error {
	if len(exported) < keyBytes || (len(exported)-keyBytes)%entryBytes != 0 {
		return errMalformed
	}
	imported := New(binary.BigEndian.Uint64(exported), s.ttl, s.maxSize)
	for entries := exported[keyBytes:]; len(entries) > 0; entries = entries[entryBytes:] {
		age := time.Duration(binary.BigEndian.Uint32(entries[8:])) * time.Millisecond
		imported.Add(now-age, binary.BigEndian.Uint64(entries))
	}
	*s = *imported
	return nil
}
