package raftnode

import (
	"fmt"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/seedtest"
	"mulleinmux/multisite"
)

// confirmationCluster is a simulated cluster whose members also exchange quorum confirmations of the key owners, over
// the same faulty network.
type confirmationCluster struct {
	*simCluster
	incarnations        map[uint64]uint64                        // by member id
	quorumConfirmations map[uint64]*multisite.QuorumConfirmation // by member id
	processes           map[uint64]*Core                         // by member id: the process of the confirmation
	messages            []confirmationMessage                    // messages in flight

	ownerChanges []uint64       // indexes of the committed entries that change key owners
	commitTicks  map[uint64]int // tick at which an entry was seen as committed, by the index in ownerChanges
	checkedIndex uint64         // last committed index that recordCommits has examined

	confirmations         int
	minorityConfirmations int // confirmations while no majority was reachable
	proposalCount         int
}

// confirmationMessage is a message of the quorum confirmation in flight.
type confirmationMessage struct {
	arrivalTick int
	from, to    uint64
	body        multisite.ConfirmationMessage
}

func newConfirmationCluster(t testing.TB, seed uint64, memberCount int) *confirmationCluster {
	return &confirmationCluster{
		simCluster:          newSimCluster(t, seed, memberCount),
		incarnations:        map[uint64]uint64{},
		quorumConfirmations: map[uint64]*multisite.QuorumConfirmation{},
		processes:           map[uint64]*Core{},
		commitTicks:         map[uint64]int{},
	}
}

// clock returns a member's clock reading. The members' clocks differ by hours.
func (c *confirmationCluster) clock(id uint64) time.Duration {
	return time.Duration(c.tick)*time.Millisecond + time.Duration(id)*time.Hour
}

// exchangeConfirmations delivers the due confirmation messages. Then each running member sends its next message, and
// its confirmation is checked.
func (c *confirmationCluster) exchangeConfirmations() {
	c.recordCommits()
	c.deliverConfirmationMessages()
	for _, m := range c.members {
		if m.core == nil {
			continue
		}
		if c.processes[m.id] != m.core {
			c.restartConfirmation(m)
		}
		confirmation := c.quorumConfirmations[m.id]
		voters, _ := m.core.Members()
		confirmation.ApplyAgreed(m.core.AppliedIndex(), voters, m.core.membership.isJoint())
		c.sendConfirmationMessage(m, confirmation.NextBroadcast(c.clock(m.id), m.core.FenceIndex()))
		c.checkConfirmation(m, confirmation)
	}
}

// deliverConfirmationMessages delivers the due messages. A message whose receiver was killed or restarted is lost.
func (c *confirmationCluster) deliverConfirmationMessages() {
	remaining := c.messages[:0:0]
	for _, message := range c.messages {
		receiver := c.members[message.to-1]
		switch {
		case message.arrivalTick > c.tick:
			remaining = append(remaining, message)
		case receiver.core != nil && c.processes[message.to] == receiver.core:
			c.quorumConfirmations[message.to].Receive(message.from, message.body)
		}
	}
	c.messages = remaining
}

// restartConfirmation starts the quorum confirmation of a member's next incarnation.
func (c *confirmationCluster) restartConfirmation(m *simMember) {
	c.incarnations[m.id]++
	confirmation, err := multisite.NewQuorumConfirmation(multisite.ConfirmationConfig{
		InstanceID:  m.id,
		Incarnation: c.incarnations[m.id],
	})
	if err != nil {
		c.fatalf("%v", err)
	}
	c.quorumConfirmations[m.id] = confirmation
	c.processes[m.id] = m.core
}

// sendConfirmationMessage sends a message to all other members. It may be lost or delayed on each link.
func (c *confirmationCluster) sendConfirmationMessage(m *simMember, body multisite.ConfirmationMessage) {
	for _, other := range c.members {
		if other.id == m.id || c.cutLinks[link{m.id, other.id}] || c.rng.Float64() < 0.1 {
			continue
		}
		delay := 1
		if c.rng.Float64() < 0.1 {
			delay += c.rng.IntN(60)
		}
		c.messages = append(c.messages, confirmationMessage{c.tick + delay, m.id, other.id, body})
	}
}

// recordCommits records the ticks at which entries that change key owners are first known as committed to any member.
func (c *confirmationCluster) recordCommits() {
	for _, m := range c.members {
		if m.core == nil {
			continue
		}
		for commit := m.core.rawNode.BasicStatus().GetCommit(); c.checkedIndex < commit; {
			c.checkedIndex++
			if changesOwners(m.core, c.checkedIndex) {
				c.ownerChanges = append(c.ownerChanges, c.checkedIndex)
				c.commitTicks[c.checkedIndex] = c.tick
			}
		}
	}
}

// changesOwners reports whether the entry at an index of a member's log changes key owners.
func changesOwners(core *Core, index uint64) bool {
	entries, err := core.log.memory.Entries(index, index+1, 1<<30)
	if err != nil || len(entries) != 1 || len(entries[0].GetData()) == 0 {
		return false
	}
	return clusterconfig.ChangesPlacement(entries[0].GetData())
}

// checkConfirmation checks the guarantee of a confirmation: by the confirmed time, no change of key owners was
// committed that the member has not applied.
func (c *confirmationCluster) checkConfirmation(m *simMember, confirmation *multisite.QuorumConfirmation) {
	confirmedAt, ok := confirmation.ConfirmedAt()
	if !ok {
		return
	}
	confirmedTick := c.tick + int((confirmedAt-c.clock(m.id))/time.Millisecond)
	for _, index := range c.ownerChanges {
		if index > m.core.AppliedIndex() && c.commitTicks[index] < confirmedTick {
			c.fatalf("member %d: key owners as of entry %d confirmed as of tick %d, but entry %d changed them at tick %d",
				m.id, m.core.AppliedIndex(), confirmedTick, index, c.commitTicks[index])
		}
	}
	c.confirmations++
	if c.tick-confirmedTick < 20 && c.reachableCount(m) <= len(c.members)/2 {
		c.minorityConfirmations++
	}
}

// reachableCount returns the number of running members that a member can exchange messages with, including itself.
func (c *confirmationCluster) reachableCount(m *simMember) int {
	count := 0
	for _, other := range c.members {
		isCut := c.cutLinks[link{m.id, other.id}] || c.cutLinks[link{other.id, m.id}]
		if other == m || other.core != nil && !isCut {
			count++
		}
	}
	return count
}

// cutSites cuts all links between the members with odd ids and those with even ids, as between two sites.
func (c *confirmationCluster) cutSites() {
	for _, a := range c.members {
		for _, b := range c.members {
			if a.id%2 != b.id%2 {
				c.cutLinks[link{a.id, b.id}] = true
			}
		}
	}
}

// proposeRandom proposes a change to a random member, on average in one tick of five. Half of the changes are of key
// owners.
func (c *confirmationCluster) proposeRandom() {
	m := c.randomMember()
	if m.core == nil || c.rng.Float64() >= 0.2 {
		return
	}
	c.proposalCount++
	proposal := putPlanProposal(fmt.Sprint("p", c.proposalCount), 1)
	if c.rng.IntN(2) == 0 {
		site := clusterconfig.Site{DiscoveryAddress: fmt.Sprintf("127.0.0.1:%d", 1+c.proposalCount)}
		proposal.Changes = []clusterconfig.Change{clusterconfig.NewPutChange(clusterconfig.KindSite, "a", site)}
	}
	m.core.Propose(proposal, func(clusterconfig.Outcome, error) {})
	c.processReady(m)
}

// Tests that confirmed key owners are the newest ones as of the confirmed time while members are killed, links are cut
// (often so that the members are split into two sites) and key owners change. Half of an even number of members, or a
// majority of an odd number, is sufficient for a confirmation.
func TestQuorumConfirmationUnderPartitions(t *testing.T) {
	seedCount := 300
	if testing.Short() {
		seedCount = 20
	} else if raceEnabled {
		seedCount = 25
	}
	type counts struct{ minorityConfirmations, confirmations, ownerChanges int }
	results := seedtest.Collect(t, 0, uint64(seedCount), func(t *testing.T, seed uint64) counts {
		c := newConfirmationCluster(t, seed, 2+int(seed%4))
		for c.tick < 500 {
			c.step()
			c.exchangeConfirmations()
			if c.rng.Float64() < 0.01 && len(c.members) > 2 {
				c.cutSites()
			}
			c.proposeRandom()
		}
		return counts{c.minorityConfirmations, c.confirmations, len(c.ownerChanges)}
	})
	var minorityConfirmations, confirmations, ownerChanges int
	for _, result := range results {
		minorityConfirmations += result.minorityConfirmations
		confirmations += result.confirmations
		ownerChanges += result.ownerChanges
	}
	t.Logf("%d seeds: %d changes of key owners, %d confirmations, %d of them without a majority in reach",
		seedCount, ownerChanges, confirmations, minorityConfirmations)
	if ownerChanges < 5*seedCount || minorityConfirmations < 20*seedCount {
		t.Errorf("too few events to test: %d changes of key owners, %d confirmations without a majority",
			ownerChanges, minorityConfirmations)
	}
}
