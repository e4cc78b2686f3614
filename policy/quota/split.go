package quota

// This file decides how a customer's quota is split among the instances that receive its requests, and between a
// process and its successor.

import (
	"math"
	"time"

	"mulleinmux/policy/overload"
)

const (
	memberBurstFraction = 0.5 // fraction of a hard limit's burst that all instances share evenly; owners get the rest
	memberRateFraction  = 0.4 // fraction of a hard limit's rate that is shared in the same way
	ownerInboxFraction  = 0.3 // fraction of an owner's gossip inbox limit for the quota requests of one customer
)

// handoverReserveFraction is the fraction of the tokens, in whole units, that the process keeps for requests that
// arrive before their connections are handed over.
const handoverReserveFraction = 0.25

// Fleet describes this instance's place in the fleet that shares customers' quotas, and how the instances gossip.
type Fleet struct {
	InstanceIndex      int
	InstanceCount      int
	AllowsGossip       bool
	GossipInterval     time.Duration // between broadcasts
	MaxGossipInboxRate float64       // maximum number of messages per second that an instance receives; 0: no limit
}

// Scope is a customer's plan and the instances that receive its requests: InstanceCount instances from FirstInstance
// on, modulo the size of the fleet.
type Scope struct {
	Plan          int // index in the table of plans
	InstanceCount int
	FirstInstance int
}

// includes reports whether an instance receives the customer's requests.
func (s Scope) includes(instance, fleetSize int) bool {
	return (instance-s.FirstInstance+fleetSize)%fleetSize < s.InstanceCount
}

// quotaSplit describes how a customer's quota is split among its instances.
type quotaSplit struct {
	UsesOwner   bool    // quota requests to owners replace gossip, which would arrive too late
	partCount   int     // parts of the capacity: one for each owner or, without owners, for each instance
	bucketCount float64 // buckets of the quota: one for each owner or, without owners, one that all instances keep
}

// hardLimitFractions are this instance's fractions of a customer's hard limit, 0 to 1. The fractions of all instances
// sum to 1.
type hardLimitFractions struct {
	burstFraction float64 // of the limit's burst
	rateFraction  float64 // of the limit's rate
}

// splitQuota decides how a customer's quota is split. If its instances gossip and gossip would arrive too late, the
// quota has owners: as many as it takes for their gossip inboxes to receive the quota requests. Otherwise it is split
// among all instances of the customer.
func (f *Fleet) splitQuota(scope Scope, plan *Plan) quotaSplit {
	gossipIsLate := f.GossipInterval > overload.AssessmentInterval
	if !f.AllowsGossip || scope.InstanceCount <= 1 || !gossipIsLate {
		return quotaSplit{partCount: scope.InstanceCount, bucketCount: 1}
	}
	owners := int(math.Ceil(plan.Rate / (ownerInboxFraction * f.MaxGossipInboxRate)))
	parts := min(max(1, owners), scope.InstanceCount)
	return quotaSplit{UsesOwner: true, partCount: parts, bucketCount: float64(parts)}
}

// splitHardLimit returns this instance's fractions of a customer's hard limit. Owners hold most of the limit, for their
// grants.
func (f *Fleet) splitHardLimit(customer uint64, scope Scope, split quotaSplit) hardLimitFractions {
	evenFraction := 1 / float64(scope.InstanceCount)
	if !split.UsesOwner {
		return hardLimitFractions{burstFraction: evenFraction, rateFraction: evenFraction}
	}
	owned := float64(f.countOwnedParts(customer, scope, split)) / split.bucketCount
	return hardLimitFractions{
		burstFraction: memberBurstFraction*evenFraction + (1-memberBurstFraction)*owned,
		rateFraction:  memberRateFraction*evenFraction + (1-memberRateFraction)*owned,
	}
}

// ownerOfPart returns the instance that owns a part of a customer's quota. A hash selects it from the customer's
// instances.
func (f *Fleet) ownerOfPart(customer uint64, scope Scope, part int) int {
	hash := (customer + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	hash = (hash ^ hash>>32) * 0xd6e8feb86659fd93
	offset := int((hash ^ hash>>32) % uint64(scope.InstanceCount))
	return (scope.FirstInstance + offset) % f.InstanceCount
}

// countOwnedParts returns how many parts of a customer's quota this instance owns.
func (f *Fleet) countOwnedParts(customer uint64, scope Scope, split quotaSplit) int {
	owned := 0
	for part := range split.partCount {
		if f.ownerOfPart(customer, scope, part) == f.InstanceIndex {
			owned++
		}
	}
	return owned
}

// OwnerFor returns the owner to which this instance sends its quota requests for a customer.
func (f *Fleet) OwnerFor(quota *Quota) int {
	return f.ownerOfPart(quota.Customer, quota.Scope, f.InstanceIndex%quota.partCount)
}

// admittingInstances returns the number of instances that spend the same tokens between two gossip messages: the owner
// alone or, without owners, all instances of the customer.
func (q *Quota) admittingInstances() float64 {
	if q.UsesOwner {
		return 1
	}
	return float64(q.partCount)
}

// successorPart returns the part of the tokens that the successor process receives at a handover: all but a reserve. It
// receives all of a debt.
func (b bucketTokens) successorPart() bucketTokens {
	return bucketTokens{successorPart(b.quota), successorPart(b.hardLimit)}
}

func successorPart(tokens float64) float64 {
	return tokens - math.Max(math.Floor(handoverReserveFraction*tokens), 0)
}
