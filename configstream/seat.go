package configstream

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// MemberSelector chooses the member that a follower connects to. By rendezvous hashing each follower has its own order of members,
// so that they spread with no word among them and the followers of a member that dies go to all others alike. Weighed
// against the power of two choices: that needs the members' loads before a connection, and gains little where all
// followers weigh the same. After a failure it waits a time drawn between nothing and a bound that doubles
// ("full jitter": M. Brooker, "Exponential Backoff And Jitter", 2015).
type MemberSelector struct {
	cfg    MemberSelectorConfig
	order  []uint64
	at     int
	failed int // in a row
	rng    *rand.Rand
}

// MemberSelectorConfig is what a [MemberSelector] goes by.
type MemberSelectorConfig struct {
	Name           string
	Members        []uint64
	InitialBackoff time.Duration // bound of the first wait
	MaxBackoff     time.Duration // of any
}

// NewMemberSelector returns a seat.
func NewMemberSelector(cfg MemberSelectorConfig, rng *rand.Rand) *MemberSelector {
	s := &MemberSelector{cfg: cfg, rng: rng}
	s.order = slices.Clone(cfg.Members)
	slices.SortFunc(s.order, func(a, b uint64) int { return cmp.Or(cmp.Compare(s.weigh(b), s.weigh(a)), cmp.Compare(a, b)) })
	return s
}

// weigh is the weight of a member for this follower.
func (s *MemberSelector) weigh(member uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s.cfg.Name))
	h.Write([]byte{0, byte(member), byte(member >> 8), byte(member >> 16), byte(member >> 24)})
	x := h.Sum64() // whose last bytes mix badly
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Member is the member to try now. A follower that had to go elsewhere stays there: to go back would cost a handshake for each
// restart of a member.
func (s *MemberSelector) Member() uint64 { return s.order[s.at%len(s.order)] }

// StreamEnded says that a stream has ended or did not begin: began tells which. It returns the wait before the next try.
func (s *MemberSelector) StreamEnded(began bool) time.Duration {
	if began {
		s.failed = 0
	}
	s.at++
	s.failed++
	most := s.cfg.InitialBackoff << min(s.failed-1, 20)
	if most > s.cfg.MaxBackoff || most <= 0 {
		most = s.cfg.MaxBackoff
	}
	return time.Duration(s.rng.Int64N(int64(most) + 1))
}
