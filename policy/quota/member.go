package quota

// This file has the member's side of a quota with owners: decisions without the owner's response, and the effects of a
// response.

import "time"

// OwnerTimeout is the time after which an owner's response counts as lost.
const OwnerTimeout = 100 * time.Millisecond

const (
	maxConsecutiveOwnerTimeouts = 3 // of one owner; after so many it is not waited for
	maxConsecutiveTimeouts      = 6 // over all owners; after so many none is waited for
)

// DecideWithoutOwner decides on a request whose owner has not responded: it is within the quota with the probability
// GrantFraction, the last known fraction of recent requests that the owner granted. The draw is random in [0, 1). This
// covers lost messages and owners that are down, paused or overloaded. The decisions are wrong by as much as the
// owner's fraction has changed since its last response.
func (q *Quota) DecideWithoutOwner(draw float64) Decision {
	return Decision{IsWithinQuota: draw < q.GrantFraction, RetryAfter: OwnerTimeout}
}

// ExceedsHardLimit reports whether the owner has rejected a request for the hard limit alone. Only then does its
// response have no wait, except for a late request, which may have been rejected because the quota is contended.
func (m Response) ExceedsHardLimit(isLate bool) bool {
	return !m.IsGranted && m.Wait == 0 && !isLate
}

// RecordResponse records the owner's response to a request of this instance.
func (q *Quota) RecordResponse(m Response, now time.Duration) {
	q.GrantFraction = m.GrantFraction
	if !m.IsGranted {
		q.RejectedUntil = now + m.Wait
	}
}

// IsRejectedByOwner reports whether a request is rejected without a quota request to the owner, because the owner has
// rejected an earlier one and the wait in its response has not passed. Plans whose requests may be forwarded beyond the
// quota are exempt.
func (q *Quota) IsRejectedByOwner(plan *Plan, now time.Duration) bool {
	return q.UsesOwner && now < q.RejectedUntil && plan.OverQuotaFraction == 0
}

// OwnerRejectionWait returns how much longer the owner is sent no quota requests after it has rejected one.
func (q *Quota) OwnerRejectionWait(now time.Duration) time.Duration {
	return q.RejectedUntil - now
}

// OwnerTimeouts counts the quota requests to which owners have not responded in time.
type OwnerTimeouts struct {
	byOwner     []int // since the owner's last response
	consecutive int   // since the last response of any owner
}

// NewOwnerTimeouts returns the counts of a member that has not sent a quota request to any owner yet.
func NewOwnerTimeouts(instanceCount int) OwnerTimeouts {
	return OwnerTimeouts{byOwner: make([]int, instanceCount)}
}

// IsUnresponsive reports whether members do not wait for an owner, because several requests in a row to that owner, or
// to all owners, had no response.
func (t *OwnerTimeouts) IsUnresponsive(owner int) bool {
	return t.byOwner[owner] >= maxConsecutiveOwnerTimeouts || t.consecutive >= maxConsecutiveTimeouts
}

// RecordTimeout records that an owner has not responded within [OwnerTimeout].
func (t *OwnerTimeouts) RecordTimeout(owner int) {
	t.byOwner[owner]++
	t.consecutive++
}

// RecordResponse records that an owner has responded.
func (t *OwnerTimeouts) RecordResponse(owner int) {
	t.byOwner[owner], t.consecutive = 0, 0
}
