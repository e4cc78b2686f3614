package quota

import (
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	t0 = 1000 * time.Second // start of the instances
)

// The plans of newTable, by index.
const (
	hardLimitPlan = iota
	ratePlan
	inFlightPlan
)

// testPlans returns plans with a hard limit, a rate alone and a limit in flight.
func testPlans() []Plan {
	return []Plan{
		{
			Name:           "hard",
			Rate:           20,
			Burst:          20,
			HardLimitRate:  25,
			HardLimitBurst: 24,
			HardLimitSlack: 1,
			PriorityFactor: 1,
		},
		{Name: "rate", Rate: 40, Burst: 40, PriorityFactor: 1},
		{Name: "open", MaxInFlight: 6, PriorityFactor: 1},
	}
}

// newTable returns the table of one of count instances that share each customer's quota and receive at most inboxRate
// messages a second.
func newTable(index, count int, inboxRate float64) *Table {
	table := NewTable(Fleet{
		InstanceIndex:      index,
		InstanceCount:      count,
		AllowsGossip:       true,
		GossipInterval:     GossipInterval(inboxRate, count, ms),
		MaxGossipInboxRate: inboxRate,
	}, testPlans())
	table.StartedAt = t0
	return &table
}

// newPairTable returns the table of the first of two instances.
func newPairTable() *Table { return newTable(0, 2, 60) }

// ownedScope is the scope of a customer of a plan with a rate, whose requests are received by instances 10 to 109.
// These are so many that the quota has owners.
var ownedScope = Scope{Plan: ratePlan, InstanceCount: 100, FirstInstance: 10}

// newOwnerQuota returns the table of an instance in a fleet of 300, and its quota for a customer with ownedScope.
func newOwnerQuota(index int) (*Table, *Quota) {
	table := newTable(index, 300, 40)
	return table, table.quotaFor(77, ownedScope, t0)
}

// instance is an instance that gossips. It records the messages that it has sent, by peer.
type instance struct {
	*Table
	gossip Gossip
	sent   map[int][][]byte
}

// SendGossip implements [Sender].
func (i *instance) SendGossip(peer int, message []byte) {
	i.sent[peer] = append(i.sent[peer], slices.Clone(message))
}

// receive decodes a gossip message and applies its entries.
func (i *instance) receive(t *testing.T, now time.Duration, from int, message []byte) {
	t.Helper()
	decoded, err := i.Codec().DecodeGossip(message)
	if err != nil {
		t.Fatal(err)
	}
	i.ReceiveEntries(from, i.gossip.AcceptMessage(from, decoded), now)
}
