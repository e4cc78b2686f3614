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

// lease permits an instance one attempt under a limit in flight, which an owner has granted. It expires unless it is
// removed before.
type lease struct {
	from      int    // instance index
	number    uint64 // of the request at that instance
	expiresAt time.Duration
}

// grantRecord states that the units of a member's request have been taken, by a grant or a usage report.
type grantRecord struct {
	from      int    // instance index
	number    uint64 // of the request at that instance
	expiresAt time.Duration
}

// ownerGrants are the grants that an owner has made from one customer's quota.
type ownerGrants struct {
	grantRecords []grantRecord // of recent requests, oldest first
	leases       []lease       // attempts under a limit in flight
}

// recordGrant records that the units of a member's request have been taken, for as long as a repeat may arrive.
func (g *ownerGrants) recordGrant(from int, number uint64, now time.Duration) {
	g.grantRecords = append(g.grantRecords, grantRecord{from, number, now + grantRecordTTL})
}

// hasRecordSpace reports whether fewer than limit unexpired records are stored.
func (g *ownerGrants) hasRecordSpace(limit int, now time.Duration) bool {
	g.expireRecords(now)
	return len(g.grantRecords) < limit
}

// recordExpiryWait returns the time until the oldest record expires. There must be one.
func (g *ownerGrants) recordExpiryWait(now time.Duration) time.Duration {
	return g.grantRecords[0].expiresAt - now
}

// expireRecords removes the records of requests that can no longer be repeated.
func (g *ownerGrants) expireRecords(now time.Duration) {
	expired := 0
	for expired < len(g.grantRecords) && now >= g.grantRecords[expired].expiresAt {
		expired++
	}
	g.grantRecords = g.grantRecords[expired:]
}

// hasGrant reports whether the units of a quota request have already been taken.
func (g *ownerGrants) hasGrant(from int, number uint64) bool {
	return slices.ContainsFunc(g.grantRecords, func(r grantRecord) bool {
		return r.from == from && r.number == number
	})
}

// endLease removes the lease of a request.
func (g *ownerGrants) endLease(from int, number uint64) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool { return l.from == from && l.number == number })
}

// dropExpiredLeases removes the leases that have expired.
func (g *ownerGrants) dropExpiredLeases(now time.Duration) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool { return now >= l.expiresAt })
}
