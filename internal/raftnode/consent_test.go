package raftnode

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/multisite"
)

// consentCluster are the members of a simulated cluster that confirm homes to each other, on the same faulty network.
type consentCluster struct {
	*simCluster
	incarnations          map[uint64]uint64
	consents              map[uint64]*multisite.Consent
	processes             map[uint64]*Core // the process that with belongs to
	messages              []consentMessage
	moves                 []uint64 // committed entries that change homes, by index
	commitTicks           map[uint64]int
	checkedIndex          uint64 // commit index looked at
	minorityConfirmations int    // confirmations while no majority was in reach
	confirmations         int
}

type consentMessage struct {
	arrivalTick int
	from, to    uint64
	word        multisite.ConsentWord
}

func (c *consentCluster) clock(id uint64) time.Duration { // as differing as they come
	return time.Duration(c.tick)*time.Millisecond + time.Duration(id)*time.Hour
}

// exchangeConsent has each member take in what has come, tell its word and look at what is confirmed.
func (c *consentCluster) exchangeConsent() {
	c.recordCommits()
	left := c.messages[:0:0]
	for _, l := range c.messages {
		switch m := c.members[l.to-1]; {
		case l.arrivalTick > c.tick:
			left = append(left, l)
		case m.core != nil && c.processes[l.to] == m.core:
			c.consents[l.to].Hear(l.from, l.word)
		}
	}
	c.messages = left
	for _, m := range c.members {
		if m.core == nil {
			continue
		}
		if c.processes[m.id] != m.core { // another process
			c.incarnations[m.id]++
			s, err := multisite.NewConsent(multisite.ConsentConfig{Me: m.id, Incarnation: c.incarnations[m.id]})
			if err != nil {
				c.fatalf("%v", err)
			}
			c.consents[m.id], c.processes[m.id] = s, m.core
		}
		s := c.consents[m.id]
		v, _ := m.core.Members()
		s.Agree(m.core.AppliedIndex(), v, len(m.core.confState.GetVotersOutgoing()) > 0)
		word := s.Tell(c.clock(m.id), m.core.FenceIndex())
		for _, o := range c.members {
			if o.id == m.id || c.cutLinks[[2]uint64{m.id, o.id}] || c.rng.Float64() < 0.1 {
				continue
			}
			late := 1
			if c.rng.Float64() < 0.1 {
				late += c.rng.IntN(60)
			}
			c.messages = append(c.messages, consentMessage{c.tick + late, m.id, o.id, word})
		}
		c.checkConfirmation(m, s)
	}
}

// recordCommits notes when entries that change homes were committed, as far as any member knows.
func (c *consentCluster) recordCommits() {
	for _, m := range c.members {
		if m.core == nil {
			continue
		}
		for last := m.core.rawNode.BasicStatus().GetCommit(); c.checkedIndex < last; {
			c.checkedIndex++
			if es, err := m.core.raftLog.Entries(c.checkedIndex, c.checkedIndex+1, 1<<30); err == nil && len(es) == 1 && len(es[0].GetData()) > 0 && clusterconfig.MovesHomes(es[0].GetData()) {
				c.moves = append(c.moves, c.checkedIndex)
				c.commitTicks[c.checkedIndex] = c.tick
			}
		}
	}
}

// checkConfirmation checks the promise: no homes were agreed on by the time confirmed behind those in force.
func (c *consentCluster) checkConfirmation(m *simMember, s *multisite.Consent) {
	at, ok := s.Confirmed()
	if !ok {
		return
	}
	tick := int((at - c.clock(m.id)) / time.Millisecond)
	tick += c.tick
	for _, index := range c.moves {
		if index > m.core.AppliedIndex() && c.commitTicks[index] < tick {
			c.fatalf("member %d has homes of entry %d confirmed as of tick %d; entry %d moved them at tick %d", m.id, m.core.AppliedIndex(), tick, index, c.commitTicks[index])
		}
	}
	if c.confirmations++; c.tick-tick < 20 && c.reachableCount(m) <= len(c.members)/2 {
		c.minorityConfirmations++
	}
}

// reachableCount counts the members that one can talk with, itself among them.
func (c *consentCluster) reachableCount(m *simMember) (n int) {
	for _, o := range c.members {
		if o == m || o.core != nil && !c.cutLinks[[2]uint64{m.id, o.id}] && !c.cutLinks[[2]uint64{o.id, m.id}] {
			n++
		}
	}
	return n
}

// Homes that are confirmed by half of an even number of members, or a majority of an odd one, are the newest as of then,
// while the members are killed, cut from each other (half from half more often than not) and change homes.
func TestConsentUnderPartitions(t *testing.T) {
	n := 300
	if testing.Short() {
		n = 20
	} else if raceEnabled {
		n = 25
	}
	halves, confirms, moves := 0, 0, 0
	for seed := range uint64(n) {
		c := &consentCluster{simCluster: newSimCluster(t, seed, 2+int(seed%4)), incarnations: map[uint64]uint64{}, consents: map[uint64]*multisite.Consent{}, processes: map[uint64]*Core{}, commitTicks: map[uint64]int{}}
		ids := 0
		for c.tick < 500 {
			c.step()
			c.exchangeConsent()
			if k := len(c.members); c.rng.Float64() < 0.01 && k > 2 { // two sites cut from each other
				for _, a := range c.members {
					for _, b := range c.members {
						if a.id%2 != b.id%2 {
							c.cutLinks[[2]uint64{a.id, b.id}] = true
						}
					}
				}
			}
			if m := c.members[c.rng.IntN(len(c.members))]; m.core != nil && c.rng.Float64() < 0.2 {
				ids++
				p := planProposal(fmt.Sprint("p", ids), "plan-1")
				if c.rng.IntN(2) == 0 {
					p.Changes = []clusterconfig.Change{{Op: "put", Kind: "hall", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"register":"127.0.0.1:%d"}`, 1+ids))}}
				}
				m.core.Propose(p, func(clusterconfig.Outcome, error) {})
				c.processReady(m)
			}
		}
		halves, confirms, moves = halves+c.minorityConfirmations, confirms+c.confirmations, moves+len(c.moves)
	}
	t.Logf("%d seeds: %d changes of homes, %d confirmations, %d of them without a majority in reach", n, moves, confirms, halves)
	if moves < 5*n || halves < 20*n {
		t.Errorf("%d changes of homes and %d confirmations without a majority put too little to the test", moves, halves)
	}
}
