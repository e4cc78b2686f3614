package policy

import (
	"slices"
	"time"
)

// lease is a place under an open cap that a holder gave to a gateway.
type lease struct {
	from      int
	number    uint64
	expiresAt time.Duration
}

// recordGrant remembers that an ask has taken its units from the store.
func (st *customerQuota) recordGrant(from int, num uint64, now time.Duration) {
	if st.expireGrants(now); len(st.recentGrants) < maxRecentGrants {
		st.recentGrants = append(st.recentGrants, lease{from, num, now + 2*ownerTimeout})
	}
}

func (st *customerQuota) expireGrants(now time.Duration) {
	n := 0
	for n < len(st.recentGrants) && now >= st.recentGrants[n].expiresAt {
		n++
	}
	st.recentGrants = st.recentGrants[n:]
}

func (st *customerQuota) hasGrant(from int, num uint64) bool {
	return slices.ContainsFunc(st.recentGrants, func(l lease) bool { return l.from == from && l.number == num })
}

// dropLeases removes the leases for which gone holds.
func (st *customerQuota) dropLeases(gone func(lease) bool) {
	kept := st.leases[:0]
	for _, l := range st.leases {
		if !gone(l) {
			kept = append(kept, l)
		}
	}
	st.leases = kept
}

// maxRecentGrants is the most asks that a holder remembers of a store.
const maxRecentGrants = 32

func (e *Engine) ownerOfPart(st *customerQuota, part int) int {
	x := (st.key + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return (st.firstInstance + int((x^x>>32)%uint64(st.instanceCount))) % e.settings.InstanceCount
}

func (e *Engine) ownedParts(st *customerQuota) (n int) {
	for part := range st.instanceSplit {
		n += int(boolToFloat(e.ownerOfPart(st, part) == e.settings.InstanceIndex))
	}
	return n
}

func (e *Engine) ownerFor(st *customerQuota) int {
	return e.ownerOfPart(st, e.settings.InstanceIndex%st.instanceSplit)
}
