package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/multisite"
)

// Figures of the homes of keys: see package sites. Clients wait for 2 s at the most over all
// their tries, and halls drop repeats for 4 s.
const (
	keyLease  = time.Second
	keyLife   = 2500 * time.Millisecond
	keyMemory = 4 * time.Second
	keysMost  = 1 << 20
	keysTell  = 20 * time.Millisecond
	keysWord  = 400 // keys in a word
)

// Figures of the halls' health: a loss moves homes, so it takes a majority and half a second; the
// hold after it grows to half a minute where a hall flaps.
const (
	hallLeast    = 3
	hallLost     = 500 * time.Millisecond
	hallFresh    = time.Second
	hallHold     = time.Second
	hallHoldMost = 30 * time.Second
	hallCalm     = time.Minute
	hallJudge    = 50 * time.Millisecond // between two judgements
	rampLease    = 500 * time.Millisecond
)

// judgeHalls has the leader propose what becomes of the halls, until ctx ends. Any member might:
// a second proposal of the same is refused.
func (f *Member) judgeHalls(ctx context.Context) {
	tick := time.NewTicker(hallJudge)
	defer tick.Stop()
	states := map[string]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := f.in.HallStates()
		for name, s := range now {
			if was, ok := states[name]; ok && was != s {
				f.log.Printf("hall %s is %s (was %s)", name, s, was)
			}
		}
		states = now
		change, ok := f.in.JudgeHalls()
		if !ok {
			continue
		}
		s, err := f.node.Status(ctx)
		if err != nil || s.Leader != s.ID {
			continue
		}
		if err := f.proposeHall(ctx, change); err != nil {
			f.log.Printf("hall %s: %v", change.Hall, err)
		}
	}
}

// proposeHall proposes that a hall is lost or back.
func (f *Member) proposeHall(ctx context.Context, c multisite.HallChange) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	s, err := f.node.Freeze(ctx)
	if err != nil {
		return err
	}
	change := clusterconfig.Put("lost", c.Hall, clusterconfig.LostHall{Why: c.Why, Part: c.Part})
	word := "lost"
	switch {
	case !c.Lost && c.Part == 0:
		change, word = clusterconfig.Change{Op: "remove", Kind: "lost", Name: c.Hall}, "back"
	case !c.Lost:
		word = fmt.Sprintf("back with %d of 8 of its keys", c.Part)
	}
	p := &clusterconfig.Proposal{ID: fmt.Sprintf("hall-%s-%v-%d-%d", c.Hall, c.Lost, c.Part, s.Homes()), Author: fmt.Sprint("member ", f.cfg.MemberID),
		Why: c.Why, AtMs: time.Now().UnixMilli(), Changes: []clusterconfig.Change{change}}
	if err := s.Check(p); err != nil {
		return err
	}
	o, err := f.node.Propose(ctx, p)
	if err == nil && o.Applied {
		f.log.Printf("hall %s is agreed to be %s: %s", c.Hall, word, c.Why)
	}
	return err
}

// takeHomes has the instance take over the epoch of homes that is applied here, with the
// members of the same moment, and returns it.
func (f *Member) takeHomes(ctx context.Context) uint64 {
	if f.gate.Keys == nil {
		return 0
	}
	s, m, err := f.node.FreezeWith(ctx)
	if err != nil {
		return 0
	}
	h, agreed, parts := homesOf(s, m.Members)
	f.in.InstallHomes(h, m.Index, m.Voters, m.Joint)
	f.in.AgreeHalls(agreed, parts, m.Members)
	return h.Epoch
}

// homesOf are the homes of keys of a state, with the instances whose words on keys count, and which halls are agreed on and
// lost. Followers tell nothing: as long as there are any, an instance that is never heard stands for them.
func homesOf(s *clusterconfig.State, instances []uint64) (h multisite.Homes, agreed []multisite.Hall, parts map[string]int) {
	h = multisite.Homes{Epoch: s.Homes(), Instances: slices.Clone(instances)}
	if len(clusterconfig.Read[clusterconfig.Follower](s, "follower")) > 0 && !slices.Contains(instances, anyFollower) {
		h.Instances = append(h.Instances, anyFollower)
	}
	halls := clusterconfig.Read[clusterconfig.Hall](s, "hall")
	lost := clusterconfig.Read[clusterconfig.LostHall](s, "lost")
	parts = map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(halls)) {
		l, gone := lost[name]
		if gone {
			parts[name] = l.Part
		}
		h.Halls = append(h.Halls, multisite.Hall{Name: name, Open: !halls[name].Closed && (!gone || l.Part > 0), Part: l.Part})
		agreed = append(agreed, multisite.Hall{Name: name, Open: !halls[name].Closed})
	}
	return h, agreed, parts
}

// tellKeys tells the other instances which keys this one has sent, until ctx ends.
func (f *Member) tellKeys(ctx context.Context) {
	tick := time.NewTicker(keysTell)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for more := true; more; {
			var m multisite.Message
			m, more = f.in.TellKeys(keysWord, f.node.Fence)
			text, err := json.Marshal(&m)
			if err == nil {
				err = f.node.Tell(text)
			}
			if err != nil {
				f.log.Printf("keys: %v", err)
			}
		}
	}
}

// hearKeys takes in what another instance tells.
func (f *Member) hearKeys(from uint64, text []byte) {
	if f.streams.hear(from, text) {
		return
	}
	f.mu.Lock()
	in := f.in
	f.mu.Unlock()
	var m multisite.Message
	if in == nil || f.gate.Keys == nil || json.Unmarshal(text, &m) != nil || m.From != from {
		return // a gap in its words, as if it had been lost
	}
	in.HearKeys(m)
}
