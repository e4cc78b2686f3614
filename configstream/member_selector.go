package configstream

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// maxBackoffDoublings bounds the shift of the initial backoff.
const maxBackoffDoublings = 20

// MemberSelector selects the member that a follower connects to. By rendezvous hashing each follower has its own order
// of members, so that followers spread without coordination and those of a member that fails go to all others alike.
// The power of two choices was considered: it needs the members' loads before a connection, and gains little where all
// followers cost the same. After a failure the selector waits a time drawn between zero and a bound that doubles
// ("full jitter": M. Brooker, "Exponential Backoff And Jitter", 2015).
type MemberSelector struct {
	cfg      MemberSelectorConfig
	order    []uint64
	current  int // index into order, modulo its length
	failures int // in a row
	rng      *rand.Rand
}

// MemberSelectorConfig is the configuration of a [MemberSelector].
type MemberSelectorConfig struct {
	Name           string   // of the follower
	Members        []uint64 // at least one
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// NewMemberSelector returns a selector that draws its backoff from rng.
func NewMemberSelector(cfg MemberSelectorConfig, rng *rand.Rand) *MemberSelector {
	s := &MemberSelector{cfg: cfg, rng: rng}
	s.order = slices.Clone(cfg.Members)
	slices.SortFunc(s.order, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(s.weight(b), s.weight(a)), cmp.Compare(a, b))
	})
	return s
}

// Member returns the member to connect to. A follower that had to go elsewhere stays there: going back would cost a
// handshake for each restart of a member.
func (s *MemberSelector) Member() uint64 { return s.order[s.current%len(s.order)] }

// StreamEnded selects the next member after a stream has ended, or could not be opened: wasEstablished tells which. It
// returns the backoff before the next attempt.
func (s *MemberSelector) StreamEnded(wasEstablished bool) time.Duration {
	if wasEstablished {
		s.failures = 0
	}
	s.current++
	s.failures++
	bound := s.cfg.InitialBackoff << min(s.failures-1, maxBackoffDoublings)
	if bound > s.cfg.MaxBackoff || bound <= 0 {
		bound = s.cfg.MaxBackoff
	}
	return time.Duration(s.rng.Int64N(int64(bound) + 1))
}

// weight returns the rendezvous weight of a member for this follower. FNV mixes the last bytes badly, so that the
// finalizer of MurmurHash3 (A. Appleby, fmix64) follows.
func (s *MemberSelector) weight(member uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s.cfg.Name))
	h.Write([]byte{0, byte(member), byte(member >> 8), byte(member >> 16), byte(member >> 24)})
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
