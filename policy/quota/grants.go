package quota

import (
	"slices"
	"time"
)

// maxRecentGrants is the maximum number of recent grants that an owner stores for one customer.
const maxRecentGrants = 32

// lease permits an instance one attempt under a limit in flight, which an owner has granted. It is also used as the
// record of a grant. It expires unless it is removed before.
type lease struct {
	from      int    // instance index
	number    uint64 // of the request at that instance
	expiresAt time.Duration
}

// ownerGrants are the grants that an owner has made from one customer's quota.
type ownerGrants struct {
	recentGrants []lease // requests whose units were taken recently, to recognize repeats
	leases       []lease // attempts under a limit in flight
}

// recordGrant records that the units of a quota request have been taken, for as long as a repeat may arrive.
func (g *ownerGrants) recordGrant(from int, number uint64, now time.Duration) {
	g.expireGrants(now)
	if len(g.recentGrants) < maxRecentGrants {
		g.recentGrants = append(g.recentGrants, lease{from, number, now + 2*OwnerTimeout})
	}
}

// expireGrants removes grants whose requests can no longer be repeated.
func (g *ownerGrants) expireGrants(now time.Duration) {
	expired := 0
	for expired < len(g.recentGrants) && now >= g.recentGrants[expired].expiresAt {
		expired++
	}
	g.recentGrants = g.recentGrants[expired:]
}

// hasGrant reports whether the units of a quota request have already been taken.
func (g *ownerGrants) hasGrant(from int, number uint64) bool {
	return slices.ContainsFunc(g.recentGrants, func(l lease) bool { return l.from == from && l.number == number })
}

// endLease removes the lease of a request.
func (g *ownerGrants) endLease(from int, number uint64) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool { return l.from == from && l.number == number })
}

// dropExpiredLeases removes the leases that have expired.
func (g *ownerGrants) dropExpiredLeases(now time.Duration) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool { return now >= l.expiresAt })
}
