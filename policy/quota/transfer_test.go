package quota

import (
	"encoding/json"
	"errors"
	"testing"
	"time"
)

// transferCustomer is the only customer of a [transferExchange].
const transferCustomer = 7

// transferScope is the scope of transferCustomer.
var transferScope = Scope{InstanceCount: 2}

// transferExchange is a fleet of two instances. Instance 1 has gossiped that it lacks 3 units of the hard limit, and
// instance 0 has sent it units that have not arrived yet.
type transferExchange struct {
	now                        time.Duration
	sender, receiver           *instance
	senderQuota, receiverQuota *Quota
	tokensBefore               float64 // hard limit tokens of the sender before the transfer
	transferred                float64
	message                    []byte // holds the transfer
}

func newTransferExchange(t *testing.T) transferExchange {
	t.Helper()
	x := transferExchange{now: t0 + 20*time.Second}
	x.sender, x.receiver = newTransferInstance(0, 1, t0), newTransferInstance(1, 2, t0)
	x.senderQuota = x.sender.quotaFor(transferCustomer, transferScope, x.now)
	x.receiverQuota = x.receiver.quotaFor(transferCustomer, transferScope, x.now)
	x.tokensBefore = x.senderQuota.HardLimitTokens

	x.receiverQuota.HardLimitTokens, x.receiverQuota.unmetUnits = 0, 3
	x.receiver.MarkForGossip(x.receiverQuota)
	x.sender.receive(t, x.now, 1, x.receiver.broadcastTo(t, 0))
	x.message = x.sender.broadcastTo(t, 1)
	x.transferred = x.tokensBefore - x.senderQuota.HardLimitTokens
	return x
}

// newTransferInstance returns one of two instances that share a hard limit, with the given epoch and start time.
func newTransferInstance(index int, epoch uint64, startedAt time.Duration) *instance {
	table := newTable(index, 2, 60)
	table.plans = []Plan{
		{Name: "hard", Rate: 1000, Burst: 1000, HardLimitRate: 25, HardLimitBurst: 24, PriorityFactor: 1},
	}
	table.StartedAt = startedAt
	return &instance{Table: table, gossip: NewGossip(epoch, 2), sent: map[int][][]byte{}}
}

// broadcastTo broadcasts the pending quotas and returns the only message sent to the peer.
func (i *instance) broadcastTo(t *testing.T, peer int) []byte {
	t.Helper()
	before := len(i.sent[peer])
	i.gossip.Broadcast(i.Table, i)
	if len(i.sent[peer]) != before+1 {
		t.Fatalf("%d messages to instance %d, want 1", len(i.sent[peer])-before, peer)
	}
	return i.sent[peer][before]
}

// TestDeficitIsTransferredOnce checks that a share's deficit is gossiped, and that a peer with a surplus transfers
// units for it only once.
func TestDeficitIsTransferredOnce(t *testing.T) {
	x := newTransferExchange(t)
	if x.transferred < 3 || x.transferred > x.tokensBefore {
		t.Fatalf("transferred %v of %v units, want at least the deficit of 3", x.transferred, x.tokensBefore)
	}
	x.sender.MarkForGossip(x.senderQuota)
	x.sender.broadcastTo(t, 1)
	if x.tokensBefore-x.senderQuota.HardLimitTokens != x.transferred {
		t.Error("units were transferred twice for one deficit")
	}
}

// TestTransferIsReceivedOnce guards against exceeding the hard limit, which happens if an instance adds a transfer
// twice, or one that an earlier process of the instance may have spent.
func TestTransferIsReceivedOnce(t *testing.T) {
	t.Run("message twice", func(t *testing.T) {
		x := newTransferExchange(t)
		for range 2 {
			x.receiver.receive(t, x.now, 0, x.message)
		}
		if got := x.receiverQuota.HardLimitTokens; got != x.transferred {
			t.Errorf("received units: got %v, want the %v transferred", got, x.transferred)
		}
	})
	// The repeat in the next message was meant for the previous process, which may have spent the transfer.
	t.Run("repeat after a restart", func(t *testing.T) {
		x := newTransferExchange(t)
		for range 2 {
			x.receiver.receive(t, x.now, 0, x.message)
		}
		x.sender.MarkForGossip(x.senderQuota)
		repeat := x.sender.broadcastTo(t, 1)
		decoded, err := x.receiver.Codec().DecodeGossip(repeat)
		if err != nil || len(decoded.PreviousEntries) != 1 || decoded.PreviousEntries[0].Transferred != x.transferred {
			t.Fatalf("repeated message %+v, error %v; want the transfer in its previous entries", decoded, err)
		}
		restarted := newTransferInstance(1, 3, x.now)
		restarted.receive(t, x.now, 0, repeat)
		if got := restarted.Lookup(transferCustomer).HardLimitTokens; got != 0 {
			t.Errorf("hard limit tokens of a restarted instance: got %v, want 0", got)
		}
	})
}

// TestUnitsInTransitCountAsHeld checks that the capacity of a sender's share stays reduced for as long as its transfer
// may be in transit, also after a hot restart.
func TestUnitsInTransitCountAsHeld(t *testing.T) {
	t.Run("after a hot restart", func(t *testing.T) {
		x := newTransferExchange(t)
		text, err := json.Marshal(x.sender.Export(x.now))
		var states []State
		err = errors.Join(err, json.Unmarshal(text, &states))
		if err != nil || len(states) != 1 {
			t.Fatalf("exported quotas: got %d, error %v; want 1", len(states), err)
		}
		successor := newTransferInstance(0, 4, x.now)
		successor.Restore(states[0], &x.sender.plans[0], x.now, time.Second)
		quota := successor.Lookup(transferCustomer)
		if capacity := quota.hardLimitCapacity(successor.PlanOf(quota)); capacity != x.tokensBefore-x.transferred {
			t.Errorf("capacity of the successor's share: got %v, want it reduced by the transfer in transit", capacity)
		}
	})
	t.Run("before the timeout", func(t *testing.T) {
		x := newTransferExchange(t)
		at := x.now + x.sender.Fleet.transferTimeout()/2
		if x.sender.quotaFor(transferCustomer, transferScope, at).HardLimitTokens > x.tokensBefore-x.transferred {
			t.Error("the share was refilled to its full capacity while the transfer may be in transit")
		}
	})
	t.Run("after the timeout", func(t *testing.T) {
		x := newTransferExchange(t)
		timeout := x.sender.Fleet.transferTimeout()
		x.sender.quotaFor(transferCustomer, transferScope, x.now+timeout/2)
		at := x.now + timeout/2 + 2*timeout
		if x.sender.quotaFor(transferCustomer, transferScope, at).HardLimitTokens != x.tokensBefore {
			t.Error("the share was not refilled to its full capacity after the transfer timeout")
		}
	})
}

// TestGossipV1WithoutTransfersIsReceived checks that gossip of the version before transfers is received, since
// instances are upgraded one after the other.
func TestGossipV1WithoutTransfersIsReceived(t *testing.T) {
	receiver, sender := newTransferInstance(0, 1, t0), newTransferInstance(1, 2, t0)
	quota := sender.quotaFor(transferCustomer, transferScope, t0)
	senderTokens := quota.Tokens
	quota.pendingUnits = 5
	entry := sender.Codec().appendEntry(nil, quota.gossipEntryFor(0, sender.PlanOf(quota)))
	receiverTokens := receiver.quotaFor(transferCustomer, transferScope, t0).Tokens
	v1Message := encodeGossip(3, 1, encodedEntries{count: 1, bytes: entry[:len(entry)-2]}, encodedEntries{})
	v1Message[0] = kindGossipV1
	receiver.receive(t, t0, 1, v1Message)
	if got := receiverTokens - receiver.Lookup(transferCustomer).Tokens; got != 5 || senderTokens <= 0 {
		t.Errorf("charged units: got %v, want 5", got)
	}
}
