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
	isLeased  bool // a lease has been recorded for the request, even if it has ended since
}

// ownerGrants are the grants that an owner has made from one customer's quota.
type ownerGrants struct {
	grantRecords []grantRecord // of recent requests, oldest first
	leases       []lease       // attempts under a limit in flight
}

// recordGrant records that the units of a member's request have been taken, for as long as a repeat may arrive. The
// record is valid until the next one is added or removed.
func (g *ownerGrants) recordGrant(from int, number uint64, now time.Duration) *grantRecord {
	g.grantRecords = append(g.grantRecords, grantRecord{from: from, number: number, expiresAt: now + grantRecordTTL})
	return &g.grantRecords[len(g.grantRecords)-1]
}

// addLease records a lease for a member's request, once: a repeat of the request may arrive after the lease has ended.
func (g *ownerGrants) addLease(record *grantRecord, expiresAt time.Duration) {
	if record.isLeased {
		return
	}
	record.isLeased = true
	g.leases = append(g.leases, lease{record.from, record.number, expiresAt})
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

// findRecord returns the record of a member's request whose units have already been taken, or nil. An expired record
// does not count, since a restarted member may use its number again.
func (g *ownerGrants) findRecord(from int, number uint64, now time.Duration) *grantRecord {
	g.expireRecords(now)
	i := slices.IndexFunc(g.grantRecords, func(r grantRecord) bool { return r.from == from && r.number == number })
	if i < 0 {
		return nil
	}
	return &g.grantRecords[i]
}

// endLease removes the lease of a request.
func (g *ownerGrants) endLease(from int, number uint64) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool { return l.from == from && l.number == number })
}

// dropExpiredLeases removes the leases that have expired.
func (g *ownerGrants) dropExpiredLeases(now time.Duration) {
	g.leases = slices.DeleteFunc(g.leases, func(l lease) bool { return now >= l.expiresAt })
}
