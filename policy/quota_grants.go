package policy

import (
	"slices"
	"time"
)

// maxRecentGrants is the most grants that an owner remembers of one customer.
const maxRecentGrants = 32

// lease is a place under a limit in flight, or the units of one request, that an owner gave to an instance.
type lease struct {
	from      int
	number    uint64 // of the request
	expiresAt time.Duration
}

// recordGrant remembers for a while that a quota request has taken its units.
func (q *customerQuota) recordGrant(from int, number uint64, now time.Duration) {
	q.expireGrants(now)
	if len(q.recentGrants) < maxRecentGrants {
		q.recentGrants = append(q.recentGrants, lease{from, number, now + 2*ownerTimeout})
	}
}

// expireGrants forgets grants of which no repeated request can still come.
func (q *customerQuota) expireGrants(now time.Duration) {
	expired := 0
	for expired < len(q.recentGrants) && now >= q.recentGrants[expired].expiresAt {
		expired++
	}
	q.recentGrants = q.recentGrants[expired:]
}

// hasGrant reports whether a quota request has taken its units already.
func (q *customerQuota) hasGrant(from int, number uint64) bool {
	return slices.ContainsFunc(q.recentGrants, func(l lease) bool { return l.from == from && l.number == number })
}

// dropLeases removes the leases for which isOver holds.
func (q *customerQuota) dropLeases(isOver func(lease) bool) {
	q.leases = slices.DeleteFunc(q.leases, isOver)
}

// ownerOfPart returns the instance that owns a part of a customer's quota, by a hash over the customer's instances.
func (e *Engine) ownerOfPart(quota *customerQuota, part int) int {
	x := (quota.key + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	offset := int((x ^ x>>32) % uint64(quota.instanceCount))
	return (quota.firstInstance + offset) % e.settings.InstanceCount
}

// ownedParts returns how many parts of a customer's quota this instance owns.
func (e *Engine) ownedParts(quota *customerQuota) int {
	owned := 0
	for part := range quota.instanceSplit {
		if e.ownerOfPart(quota, part) == e.settings.InstanceIndex {
			owned++
		}
	}
	return owned
}

// ownerFor returns the owner that this instance asks for units of a customer's quota.
func (e *Engine) ownerFor(quota *customerQuota) int {
	return e.ownerOfPart(quota, e.settings.InstanceIndex%quota.instanceSplit)
}
