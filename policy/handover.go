package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// What one gateway hands to the process that takes its place, so that both count as one:
// what customers have spent, and what was learned of classes, servers and load. Requests under way
// stay with the gateway that took them. Times are readings of the clock that both go by.

// handedForm is the latest form that is understood. It grows with each change that an older successor, going
// by what it knows of the text, would get wrong.
const handedForm = 1

// handedOver is the form of it; names stand for places, which may differ in the successor's settings.
type handedOver struct {
	Form          int // handedForm of who wrote it
	Instances, Me int
	Started       time.Duration
	Plans         []Plan
	Stores        []storeHanded
	Classes       map[string]latencyHanded
	Kinds         []string
	KindMean      []float64
	KindN         []float64
	Servers       []serverHanded
	ARO           aroHanded
	Peers         []peerHanded
	Retries       float64
	InboxRate     float64
	OKRate        float64
	WarmRate      float64
	ProbeDue      float64
}

type storeHanded struct {
	Key                 uint64
	Plan, Spread, First int
	At, Shut, Crowded   time.Duration
	Level, Ceiling      float64
	Since, Untold       float64
	Out, Opened, Zeros  int
	Dirty               bool
	Pass                float64
	Lent                float64         `json:",omitempty"` // of the ceiling, and maybe under way
	LevelsN             []int           `json:",omitempty"`
	LevelsAt            []time.Duration `json:",omitempty"`
	LeaseFrom           []int           `json:",omitempty"`
	LeaseNum            []uint64        `json:",omitempty"`
	LeaseEnds           []time.Duration `json:",omitempty"`
}

type latencyHanded struct {
	Mean, Dev float64
	N         int
	Lowest    []float64 // by kind
	Fresh     time.Duration
}

type serverHanded struct {
	ID                                   string
	Boot, Seen, Ejected, Credited, Broke time.Duration
	Breaks                               []time.Duration
	Heard, Probed                        time.Duration
	Lat, Errs, Queue, Credit             float64
	Strikes                              int
	Lost                                 bool
}

type aroHanded struct {
	F, R         float64
	Occ, N, Sent [probesKept]float64
	Probes       int
	Rho, Alpha   float64
	Mu           float64
	Pool         [poolSize]float64
}

type peerHanded struct {
	Heard                    bool
	InEpoch, OldEpoch, InSeq uint64
}

// ExportState returns the text for [Engine.ImportState]. The gateway goes on with the requests that it has.
func (g *Engine) ExportState(now time.Duration) ([]byte, error) {
	g.now = now
	h := handedOver{Form: handedForm, Instances: g.set.InstanceCount, Me: g.set.InstanceIndex, Started: g.started, Plans: g.set.Plans,
		Classes: map[string]latencyHanded{}, Kinds: make([]string, len(g.kinds)), Retries: g.retries,
		InboxRate: g.inboxRate, OKRate: g.okRate, WarmRate: g.warmRate, ProbeDue: g.probeDue}
	for name, i := range g.kinds {
		h.Kinds[i] = name
	}
	for _, k := range g.kindLat {
		h.KindMean, h.KindN = append(h.KindMean, k.mean), append(h.KindN, k.n)
	}
	for name, i := range g.class {
		l := &g.lat[i]
		c := latencyHanded{Mean: l.mean, Dev: l.dev, N: l.n, Fresh: l.fresh}
		for _, k := range l.kinds {
			c.Lowest = append(c.Lowest, k.lowest)
		}
		h.Classes[name] = c
	}
	for _, st := range g.order {
		g.fillUp(st)
		s := storeHanded{Key: st.key, Plan: st.plan, Spread: st.spread, First: st.first, At: st.at, Shut: st.shut,
			Crowded: st.crowded, Level: st.level, Ceiling: st.ceiling, Since: st.since, Untold: st.untold, Out: st.out,
			Opened: st.opened, Zeros: st.zeros, Dirty: st.dirty, Pass: st.pass,
			Lent: st.lent[0] + st.lent[1]}
		for _, l := range st.levels {
			s.LevelsN, s.LevelsAt = append(s.LevelsN, l.n), append(s.LevelsAt, l.at)
		}
		for _, l := range st.leases {
			s.LeaseFrom, s.LeaseNum, s.LeaseEnds = append(s.LeaseFrom, l.from), append(s.LeaseNum, l.num), append(s.LeaseEnds, l.ends)
		}
		h.Stores = append(h.Stores, s)
	}
	for _, s := range g.servers {
		h.Servers = append(h.Servers, serverHanded{ID: s.ID, Boot: s.StartedAt, Seen: s.seen, Ejected: s.ejected,
			Credited: s.credited, Broke: s.broke, Breaks: s.breaks, Heard: s.heard, Probed: s.probed, Lat: s.lat,
			Errs: s.errs, Queue: s.queue, Credit: s.credit, Strikes: s.strikes, Lost: s.lost})
	}
	a := &g.aro
	h.ARO = aroHanded{F: a.f, R: a.r, Occ: a.occ, N: a.n, Sent: a.sent, Probes: a.probes, Rho: a.rho, Alpha: a.alpha,
		Mu: a.mu, Pool: a.pool}
	for _, p := range g.peers {
		h.Peers = append(h.Peers, peerHanded{Heard: p.heard, InEpoch: p.inEpoch, OldEpoch: p.oldEpoch, InSeq: p.inSeq})
	}
	return json.Marshal(h)
}

// ImportState goes on where the gateway left off that handed the text over. Call it after [Engine.Start] and
// the first list, before the first request. An error changes nothing: the gateway begins as after a start.
func (g *Engine) ImportState(now time.Duration, text []byte) error {
	var h handedOver
	if err := json.Unmarshal(text, &h); err != nil {
		return fmt.Errorf("what was handed over: %w", err)
	}
	if h.Form > handedForm {
		return fmt.Errorf("what was handed over has form %d, and %d is the latest known", h.Form, handedForm)
	}
	if h.Instances != g.set.InstanceCount || h.Me != g.set.InstanceIndex {
		return fmt.Errorf("what was handed over is of gateway %d of %d, and this is %d of %d", h.Me, h.Instances, g.set.InstanceIndex, g.set.InstanceCount)
	}
	for _, s := range h.Stores {
		if s.Plan < 0 || s.Plan >= len(h.Plans) || s.Spread < 1 || s.Spread > g.set.InstanceCount || s.First < 0 ||
			s.First >= g.set.InstanceCount || len(s.LevelsN) != len(s.LevelsAt) || len(s.LevelsN) > g.set.InstanceCount ||
			len(s.LeaseFrom) != len(s.LeaseNum) || len(s.LeaseFrom) != len(s.LeaseEnds) {
			return fmt.Errorf("what was handed over has a customer's store that can't be: %+v", s)
		}
	}
	g.now, g.started = now, h.Started
	for _, s := range h.Stores {
		pi, ok := g.plan[h.Plans[s.Plan].Name]
		if !ok || g.stores[s.Key] != nil {
			continue
		}
		st := &store{key: s.Key, plan: pi, spread: s.Spread, first: s.First, at: min(s.At, now), pass: s.Pass}
		g.split(st, &h.Plans[s.Plan])
		st.shut, st.crowded, st.level, st.ceiling, st.since, st.untold = s.Shut, s.Crowded, s.Level, s.Ceiling, s.Since, s.Untold
		st.opened, st.zeros = s.Opened, s.Zeros
		st.lent, st.lentAt = [2]float64{s.Lent}, now
		if len(s.LevelsN) > 0 {
			st.levels = make([]told, g.set.InstanceCount)
			for i, n := range s.LevelsN {
				st.levels[i] = told{n, s.LevelsAt[i]}
			}
		}
		for i, from := range s.LeaseFrom {
			st.leases = append(st.leases, lease{from, s.LeaseNum[i], s.LeaseEnds[i]})
		}
		for range s.Out { // attempts that the other still has out
			st.leases = append(st.leases, lease{g.set.InstanceIndex, 0, now + g.longestAim()})
		}
		g.stores[s.Key], g.order = st, append(g.order, st)
		if h.Plans[s.Plan] != g.set.Plans[pi] {
			g.replan(st, h.Plans[s.Plan], pi)
		}
		if s.Dirty {
			g.mark(st)
		}
	}
	for name, l := range h.Classes {
		if i, ok := g.class[name]; ok {
			c := &g.lat[i]
			c.mean, c.dev, c.n, c.fresh = l.Mean, l.Dev, l.N, l.Fresh
			c.kinds = nil
			for k, lowest := range l.Lowest {
				if k >= len(h.Kinds) {
					break
				}
				at := g.kindOf(h.Kinds[k])
				for len(c.kinds) <= at {
					c.kinds = append(c.kinds, kindLatency{})
				}
				c.kinds[at].lowest = lowest
			}
		}
	}
	for k, name := range h.Kinds {
		if k < len(h.KindMean) && k < len(h.KindN) {
			*g.kindLat[g.kindOf(name)] = kindMean{h.KindMean[k], h.KindN[k]}
		}
	}
	for _, e := range h.Servers {
		s := g.byID[e.ID]
		if s == nil || s.StartedAt != e.Boot {
			continue
		}
		s.seen, s.ejected, s.credited, s.broke, s.breaks = e.Seen, e.Ejected, min(e.Credited, now), e.Broke, e.Breaks
		s.heard, s.probed, s.lat, s.errs, s.queue = e.Heard, e.Probed, e.Lat, e.Errs, e.Queue
		s.credit, s.strikes, s.lost = e.Credit, e.Strikes, e.Lost
	}
	a := h.ARO
	g.aro = aro{f: clamp(a.F), r: a.R, occ: a.Occ, n: a.N, sent: a.Sent, probes: max(a.Probes, 0), rho: a.Rho,
		alpha: a.Alpha, mu: a.Mu, pool: a.Pool}
	for i, p := range h.Peers {
		if i < len(g.peers) {
			q := &g.peers[i]
			q.heard, q.inEpoch, q.oldEpoch, q.inSeq = p.Heard, p.InEpoch, p.OldEpoch, p.InSeq
		}
	}
	g.retries, g.inboxRate, g.okRate, g.warmRate, g.probeDue = h.Retries, h.InboxRate, h.OKRate, h.WarmRate, h.ProbeDue
	return nil
}

// kindOf is the place of a kind of servers.
func (g *Engine) kindOf(name string) int {
	if i, ok := g.kinds[name]; ok {
		return i
	}
	g.kinds[name] = len(g.kindLat)
	g.kindLat = append(g.kindLat, &kindMean{mean: 1})
	return len(g.kindLat) - 1
}
