package raftnode

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/multisite"
)

// consenters are the members of a simulated cluster that confirm homes to each other, on the same faulty network.
type consenters struct {
	*cluster
	starts   map[uint64]uint64
	with     map[uint64]*multisite.QuorumConfirmation
	of       map[uint64]*Core // the process that with belongs to
	words    []consentLetter
	moves    []uint64 // committed entries that change homes, by index
	commits  map[uint64]int
	seen     uint64 // commit index looked at
	halves   int    // confirmations while no majority was in reach
	confirms int
}

type consentLetter struct {
	at       int
	from, to uint64
	word     multisite.ConfirmationMessage
}

func (c *consenters) clock(id uint64) time.Duration { // as differing as they come
	return time.Duration(c.tick)*time.Millisecond + time.Duration(id)*time.Hour
}

// turn has each member take in what has come, tell its word and look at what is confirmed.
func (c *consenters) turn() {
	c.committed()
	left := c.words[:0:0]
	for _, l := range c.words {
		switch m := c.members[l.to-1]; {
		case l.at > c.tick:
			left = append(left, l)
		case m.core != nil && c.of[l.to] == m.core:
			c.with[l.to].Receive(l.from, l.word)
		}
	}
	c.words = left
	for _, m := range c.members {
		if m.core == nil {
			continue
		}
		if c.of[m.id] != m.core { // another process
			c.starts[m.id]++
			s, err := multisite.NewQuorumConfirmation(multisite.ConfirmationConfig{InstanceID: m.id, Incarnation: c.starts[m.id]})
			if err != nil {
				c.fatalf("%v", err)
			}
			c.with[m.id], c.of[m.id] = s, m.core
		}
		s := c.with[m.id]
		v, _ := m.core.Members()
		s.ApplyAgreed(m.core.AppliedIndex(), v, len(m.core.conf.GetVotersOutgoing()) > 0)
		word := s.NextBroadcast(c.clock(m.id), m.core.FenceIndex())
		for _, o := range c.members {
			if o.id == m.id || c.cut[[2]uint64{m.id, o.id}] || c.rng.Float64() < 0.1 {
				continue
			}
			late := 1
			if c.rng.Float64() < 0.1 {
				late += c.rng.IntN(60)
			}
			c.words = append(c.words, consentLetter{c.tick + late, m.id, o.id, word})
		}
		c.look(m, s)
	}
}

// committed notes when entries that change homes were committed, as far as any member knows.
func (c *consenters) committed() {
	for _, m := range c.members {
		if m.core == nil {
			continue
		}
		for last := m.core.rn.BasicStatus().GetCommit(); c.seen < last; {
			c.seen++
			if es, err := m.core.mem.Entries(c.seen, c.seen+1, 1<<30); err == nil && len(es) == 1 && len(es[0].GetData()) > 0 && clusterconfig.ChangesPlacement(es[0].GetData()) {
				c.moves = append(c.moves, c.seen)
				c.commits[c.seen] = c.tick
			}
		}
	}
}

// look checks the promise: no homes were agreed on by the time confirmed behind those in force.
func (c *consenters) look(m *member, s *multisite.QuorumConfirmation) {
	at, ok := s.ConfirmedAt()
	if !ok {
		return
	}
	tick := int((at - c.clock(m.id)) / time.Millisecond)
	tick += c.tick
	for _, index := range c.moves {
		if index > m.core.AppliedIndex() && c.commits[index] < tick {
			c.fatalf("member %d has homes of entry %d confirmed as of tick %d; entry %d moved them at tick %d", m.id, m.core.AppliedIndex(), tick, index, c.commits[index])
		}
	}
	if c.confirms++; c.tick-tick < 20 && c.reach(m) <= len(c.members)/2 {
		c.halves++
	}
}

// reach counts the members that one can talk with, itself among them.
func (c *consenters) reach(m *member) (n int) {
	for _, o := range c.members {
		if o == m || o.core != nil && !c.cut[[2]uint64{m.id, o.id}] && !c.cut[[2]uint64{o.id, m.id}] {
			n++
		}
	}
	return n
}

// Homes that are confirmed by half of an even number of members, or a majority of an odd one, are the newest as of then,
// while the members are killed, cut from each other (half from half more often than not) and change homes.
func TestConsentSeeds(t *testing.T) {
	n := 300
	if testing.Short() {
		n = 20
	} else if raceEnabled {
		n = 25
	}
	halves, confirms, moves := 0, 0, 0
	for seed := range uint64(n) {
		c := &consenters{cluster: newCluster(t, seed, 2+int(seed%4)), starts: map[uint64]uint64{}, with: map[uint64]*multisite.QuorumConfirmation{}, of: map[uint64]*Core{}, commits: map[uint64]int{}}
		ids := 0
		for c.tick < 500 {
			c.step()
			c.turn()
			if k := len(c.members); c.rng.Float64() < 0.01 && k > 2 { // two sites cut from each other
				for _, a := range c.members {
					for _, b := range c.members {
						if a.id%2 != b.id%2 {
							c.cut[[2]uint64{a.id, b.id}] = true
						}
					}
				}
			}
			if m := c.members[c.rng.IntN(len(c.members))]; m.core != nil && c.rng.Float64() < 0.2 {
				ids++
				p := proposal(fmt.Sprint("p", ids), "plan-1")
				if c.rng.IntN(2) == 0 {
					p.Changes = []clusterconfig.Change{{Op: "put", Kind: "hall", Name: "a", Value: json.RawMessage(fmt.Sprintf(`{"register":"127.0.0.1:%d"}`, 1+ids))}}
				}
				m.core.Propose(p, func(clusterconfig.Outcome, error) {})
				c.work(m)
			}
		}
		halves, confirms, moves = halves+c.halves, confirms+c.confirms, moves+len(c.moves)
	}
	t.Logf("%d seeds: %d changes of homes, %d confirmations, %d of them without a majority in reach", n, moves, confirms, halves)
	if moves < 5*n || halves < 20*n {
		t.Errorf("%d changes of homes and %d confirmations without a majority put too little to the test", moves, halves)
	}
}
