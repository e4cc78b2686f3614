package quota

import (
	"math"
	"slices"
	"time"
)

const (
	minGrantRecords = 32               // grants that an owner can record for one customer, even if its inbox is small
	grantRecordTTL  = 2 * OwnerTimeout // time in which a message about a grant may still arrive
)

// maxGrantRecords returns how many grants an owner can record for one customer at a time: at least as many as its inbox
// receives messages while a record is kept. A further request is rejected.
func (f *Fleet) maxGrantRecords() int {
	received := math.Ceil(f.MaxGossipInboxRate * grantRecordTTL.Seconds())
	return max(minGrantRecords, int(received))
}

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
	g.recentGrants = append(g.recentGrants, lease{from, number, now + grantRecordTTL})
}

// hasRecordSpace reports whether fewer than limit unexpired records are stored.
func (g *ownerGrants) hasRecordSpace(limit int, now time.Duration) bool {
	g.expireGrants(now)
	return len(g.recentGrants) < limit
}

// recordExpiryWait returns the time until the oldest record expires. There must be one.
func (g *ownerGrants) recordExpiryWait(now time.Duration) time.Duration {
	return g.recentGrants[0].expiresAt - now
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
