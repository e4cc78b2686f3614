package quota

// This file splits the tokens between a process and its successor. Until the connections of the process are handed
// over, both may admit requests of one customer: no token may be in both.

import (
	"math"
	"time"
)

// handover describes the splits of the tokens in which a table takes part: one with its predecessor, one with its
// successor.
type handover struct {
	isInherited  bool          // the table has the successor's part of its predecessor's tokens
	inheritedAt  time.Duration // valid if isInherited
	tookOverAt   time.Duration // when this process began to serve in place of its predecessor; 0: not yet
	isHandedOver bool          // the table has given the successor's part of its tokens away
	handedOverAt time.Duration // valid if isHandedOver
}

// bucketTokens are the tokens of a customer's quota and of this instance's share of its hard limit.
type bucketTokens struct {
	quota, hardLimit float64
}

// minus returns the tokens less other ones.
func (b bucketTokens) minus(other bucketTokens) bucketTokens {
	return bucketTokens{b.quota - other.quota, b.hardLimit - other.hardLimit}
}

// HandOver gives the successor's part of all tokens away. [Table.Export] returns that part from here on. This process
// keeps a reserve and continues to refill its quotas.
func (t *Table) HandOver(now time.Duration) {
	for _, quota := range t.list {
		t.Refill(quota, now)
		quota.handOver(quota.tokens().successorPart())
	}
	t.handover.isHandedOver, t.handover.handedOverAt = true, now
}

// IsHandedOver reports whether the tokens were given away, and not taken back since.
func (t *Table) IsHandedOver() bool { return t.handover.isHandedOver }

// TakeBack returns the tokens that [Table.HandOver] has given away to the quotas, up to their bursts. It is for a
// handover that failed, after which there is no successor to spend them.
func (t *Table) TakeBack(now time.Duration) {
	for _, quota := range t.list {
		t.Refill(quota, now)
		quota.takeBack(t.PlanOf(quota))
	}
	t.handover.isHandedOver = false
}

// Inherit records that the table has received the successor's part of its predecessor's tokens. Customers that the
// predecessor did not list begin with that part too, since the predecessor may since have spent its reserve of them.
func (t *Table) Inherit(now time.Duration) {
	t.handover.isInherited, t.handover.inheritedAt = true, now
}

// TakeOver records that this process serves from now on in place of its predecessor, which has refilled its own quotas
// up to now: the quotas of this table refill from here on.
func (t *Table) TakeOver(now time.Duration) {
	t.handover.tookOverAt = now
	for _, quota := range t.list {
		quota.refilledAt = max(quota.refilledAt, now)
	}
}

// fillNew sets the tokens of a quota that is not in the table, refilled up to now.
func (t *Table) fillNew(quota *Quota, now time.Duration) {
	if !t.handover.isHandedOver {
		t.fillInherited(quota, now)
		return
	}
	handedOverAt := t.handover.handedOverAt
	t.fillSinceStart(quota, handedOverAt)
	part := quota.tokens().successorPart() // the successor does not know what is left of an earlier handover
	t.fillInherited(quota, handedOverAt)
	left := quota.tokens()
	quota.handOver(bucketTokens{math.Min(part.quota, left.quota), math.Min(part.hardLimit, left.hardLimit)})
	t.Refill(quota, now)
}

// fillInherited sets the tokens of a quota that is not in the table, refilled up to now, without regard to a successor.
func (t *Table) fillInherited(quota *Quota, now time.Duration) {
	if !t.handover.isInherited {
		t.fillSinceStart(quota, now)
		return
	}
	t.fillSinceStart(quota, t.handover.inheritedAt)
	part := quota.tokens().successorPart()
	quota.Tokens, quota.HardLimitTokens = part.quota, part.hardLimit
	quota.refilledAt = max(quota.refilledAt, t.handover.tookOverAt)
	t.Refill(quota, now)
}

// fillSinceStart sets the tokens of a quota as if it had been refilled from the instance's start up to now.
func (t *Table) fillSinceStart(quota *Quota, now time.Duration) {
	quota.refilledAt = now
	quota.fillSinceStart(t.PlanOf(quota), now-t.StartedAt)
}

// tokens returns the tokens of both buckets.
func (q *Quota) tokens() bucketTokens {
	return bucketTokens{q.Tokens, q.HardLimitTokens}
}

// handOver gives tokens away to the successor.
func (q *Quota) handOver(part bucketTokens) {
	kept := q.tokens().minus(part)
	q.Tokens, q.HardLimitTokens, q.handedOver = kept.quota, kept.hardLimit, part
}

// takeBack returns the tokens that were given away, up to the bursts.
func (q *Quota) takeBack(plan *Plan) {
	q.Tokens = math.Min(q.Tokens+q.handedOver.quota, plan.Burst/q.bucketCount)
	q.HardLimitTokens = math.Min(q.HardLimitTokens+q.handedOver.hardLimit, q.hardLimitCapacity(plan))
	q.handedOver = bucketTokens{}
}
