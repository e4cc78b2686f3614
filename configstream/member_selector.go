package configstream

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// maxBackoffDoublings limits the doublings of the initial backoff, so that the shift does not overflow.
const maxBackoffDoublings = 20

// MemberSelector selects the member that a follower connects to. Rendezvous hashing gives each follower its own order
// of members, which spreads followers without coordination, and the followers of a failed member over all other
// members. After a failure the backoff has full jitter (M. Brooker, "Exponential Backoff And Jitter", 2015).
type MemberSelector struct {
	cfg      MemberSelectorConfig
	order    []uint64
	current  int // index in order, modulo its length
	failures int // consecutive failures
	rng      *rand.Rand
}

// MemberSelectorConfig is the configuration of a [MemberSelector].
type MemberSelectorConfig struct {
	Name           string        // name of the follower
	Members        []uint64      // IDs of the members, at least one
	InitialBackoff time.Duration // upper bound of the backoff after the first failure
	MaxBackoff     time.Duration // upper bound of the backoff after any number of failures
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

// Member returns the member to connect to. A follower that had to change its member does not change back, since that
// would cost another handshake for each restart of a member.
func (s *MemberSelector) Member() uint64 { return s.order[s.current%len(s.order)] }

// StreamEnded selects the next member after an established stream has ended (wasEstablished) or a stream could not be
// opened. It returns the backoff before the next attempt.
func (s *MemberSelector) StreamEnded(wasEstablished bool) time.Duration {
	if wasEstablished {
		s.failures = 0
	}
	s.current++
	s.failures++
	return time.Duration(s.rng.Int64N(int64(s.cfg.maxBackoffAfter(s.failures)) + 1))
}

// maxBackoffAfter returns the upper bound of the random backoff after a number of consecutive failures, which is at
// least 1: InitialBackoff, doubled with each further failure, up to MaxBackoff.
func (c *MemberSelectorConfig) maxBackoffAfter(failures int) time.Duration {
	bound := c.InitialBackoff << min(failures-1, maxBackoffDoublings)
	if bound > c.MaxBackoff || bound <= 0 {
		return c.MaxBackoff
	}
	return bound
}

// weight returns the rendezvous weight of a member for this follower. FNV-1a diffuses the last bytes poorly, so that
// the hash is mixed with the finalizer of MurmurHash3 (A. Appleby, fmix64).
func (s *MemberSelector) weight(member uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s.cfg.Name))
	h.Write([]byte{0, byte(member), byte(member >> 8), byte(member >> 16), byte(member >> 24)})
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
