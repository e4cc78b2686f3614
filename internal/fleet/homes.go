package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"mulleinmux/fleetconfig"
	"mulleinmux/sites"
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

// takeHomes has the instance take over the epoch of homes that is applied here, with the
// members of the same moment, and returns it.
func (f *Fleet) takeHomes(ctx context.Context) uint64 {
	if f.gate.Keys == nil {
		return 0
	}
	s, members, err := f.node.FreezeWith(ctx)
	if err != nil {
		return 0
	}
	h := sites.Homes{Epoch: s.Homes(), Instances: members}
	halls := fleetconfig.Read[fleetconfig.Hall](s, "hall")
	for _, name := range slices.Sorted(maps.Keys(halls)) {
		h.Halls = append(h.Halls, sites.Hall{Name: name, Open: !halls[name].Closed})
	}
	f.in.InstallHomes(h)
	return h.Epoch
}

// tellKeys tells the other instances which keys this one has sent, until ctx ends.
func (f *Fleet) tellKeys(ctx context.Context) {
	tick := time.NewTicker(keysTell)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for more := true; more; {
			var m sites.Message
			m, more = f.in.TellKeys(keysWord)
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
func (f *Fleet) hearKeys(from uint64, text []byte) {
	f.mu.Lock()
	in := f.in
	f.mu.Unlock()
	var m sites.Message
	if in == nil || f.gate.Keys == nil || json.Unmarshal(text, &m) != nil || m.From != from {
		return // a gap in its words, as if it had been lost
	}
	in.HearKeys(m)
}
