package policy

// What a process hands to its successor, so that both count as one: what customers have spent, and what was
// learned of classes, servers and load. Requests in flight stay with the process that took them. Times are
// readings of the clock that both go by.

import (
	"encoding/json"
	"fmt"
	"time"
)

// stateFormat is the latest form that is understood. It grows with each change that an older successor, going
// by what it knows of the text, would get wrong.
const stateFormat = 1

// engineState is the form of it; names stand for places, which may differ in the successor's settings.
type engineState struct {
	Form          int // handedForm of who wrote it
	Instances, Me int
	Started       time.Duration
	Plans         []Plan
	Stores        []quotaState
	Classes       map[string]latencyState
	Kinds         []string
	KindMean      []float64
	KindN         []float64
	Servers       []serverStateSnapshot
	ARO           overloadState
	Peers         []peerState
	Retries       float64
	InboxRate     float64
	OKRate        float64
	WarmRate      float64
	ProbeDue      float64
}

type quotaState struct {
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

type latencyState struct {
	Mean, Dev float64
	N         int
	Lowest    []float64 // by kind
	Fresh     time.Duration
}

type serverStateSnapshot struct {
	ID                                   string
	Boot, Seen, Ejected, Credited, Broke time.Duration
	Breaks                               []time.Duration
	Heard, Probed                        time.Duration
	Lat, Errs, Queue, Credit             float64
	Strikes                              int
	Lost                                 bool
}

type overloadState struct {
	F, R         float64
	Occ, N, Sent [samplesPerAssessment]float64
	Probes       int
	Rho, Alpha   float64
	Mu           float64
	Pool         [fleetMeanCount]float64
}

type peerState struct {
	Heard                    bool
	InEpoch, OldEpoch, InSeq uint64
}

// ExportState returns the text for [Engine.ImportState]. The gateway goes on with the requests that it has.
func (e *Engine) ExportState(now time.Duration) ([]byte, error) {
	e.now = now
	h := engineState{Form: stateFormat, Instances: e.settings.InstanceCount, Me: e.settings.InstanceIndex, Started: e.startedAt, Plans: e.settings.Plans,
		Classes: map[string]latencyState{}, Kinds: make([]string, len(e.latencies.kindIndex)), Retries: e.retryTokens,
		InboxRate: e.gossipRate, OKRate: e.responseRate, WarmRate: e.warmRate, ProbeDue: e.healthCheckCredit}
	for name, i := range e.latencies.kindIndex {
		h.Kinds[i] = name
	}
	for _, k := range e.latencies.kindRatios {
		h.KindMean, h.KindN = append(h.KindMean, k.mean), append(h.KindN, k.n)
	}
	for name, i := range e.classIndex {
		l := &e.latencies.classes[i]
		c := latencyState{Mean: l.mean, Dev: l.deviation, N: l.samples, Fresh: l.firstTryTimeout}
		for _, k := range l.kinds {
			c.Lowest = append(c.Lowest, k.lowest)
		}
		h.Classes[name] = c
	}
	for _, st := range e.quotaList {
		e.refill(st)
		s := quotaState{Key: st.key, Plan: st.plan, Spread: st.instanceCount, First: st.firstInstance, At: st.refilledAt, Shut: st.rejectedUntil,
			Crowded: st.contendedUntil, Level: st.tokens, Ceiling: st.hardLimitTokens, Since: st.unitsSinceGossip, Untold: st.pendingUnits, Out: st.inFlight,
			Opened: st.startedSinceGossip, Zeros: st.idleGossipRounds, Dirty: st.needsGossip, Pass: st.grantFraction,
			Lent: st.unitsInTransit[0] + st.unitsInTransit[1]}
		for _, l := range st.peerInFlight {
			s.LevelsN, s.LevelsAt = append(s.LevelsN, l.inFlight), append(s.LevelsAt, l.receivedAt)
		}
		for _, l := range st.leases {
			s.LeaseFrom, s.LeaseNum, s.LeaseEnds = append(s.LeaseFrom, l.from), append(s.LeaseNum, l.number), append(s.LeaseEnds, l.expiresAt)
		}
		h.Stores = append(h.Stores, s)
	}
	for _, s := range e.servers {
		h.Servers = append(h.Servers, serverStateSnapshot{ID: s.ID, Boot: s.StartedAt, Seen: s.lastProgressAt, Ejected: s.ejectedUntil,
			Credited: s.budgetUpdatedAt, Broke: s.connectFailedAt, Breaks: s.connectFailures, Heard: s.lastHeardAt, Probed: s.lastHealthCheckAt, Lat: s.latencyRatio,
			Errs: s.failureRate, Queue: s.queueLength, Credit: s.warmupBudget, Strikes: s.consecutiveEjections, Lost: s.isUnresponsive})
	}
	a := &e.overload
	h.ARO = overloadState{F: a.admitFraction, R: a.throttleCredit, Occ: a.occupancySums, N: a.occupancySamples, Sent: a.accepted, Probes: a.sampleCount, Rho: a.occupancy, Alpha: a.acceptanceRate,
		Mu: a.maxThroughput, Pool: a.fleetMeans}
	for _, p := range e.peers {
		h.Peers = append(h.Peers, peerState{Heard: p.isKnown, InEpoch: p.epoch, OldEpoch: p.previousEpoch, InSeq: p.receivedSequence})
	}
	return json.Marshal(h)
}

// ImportState goes on where the gateway left off that handed the text over. Call it after [Engine.Start] and
// the first list, before the first request. An error changes nothing: the gateway begins as after a start.
func (e *Engine) ImportState(now time.Duration, text []byte) error {
	var h engineState
	if err := json.Unmarshal(text, &h); err != nil {
		return fmt.Errorf("what was handed over: %w", err)
	}
	if h.Form > stateFormat {
		return fmt.Errorf("what was handed over has form %d, and %d is the latest known", h.Form, stateFormat)
	}
	if h.Instances != e.settings.InstanceCount || h.Me != e.settings.InstanceIndex {
		return fmt.Errorf("what was handed over is of gateway %d of %d, and this is %d of %d", h.Me, h.Instances, e.settings.InstanceIndex, e.settings.InstanceCount)
	}
	for _, s := range h.Stores {
		if s.Plan < 0 || s.Plan >= len(h.Plans) || s.Spread < 1 || s.Spread > e.settings.InstanceCount || s.First < 0 ||
			s.First >= e.settings.InstanceCount || len(s.LevelsN) != len(s.LevelsAt) || len(s.LevelsN) > e.settings.InstanceCount ||
			len(s.LeaseFrom) != len(s.LeaseNum) || len(s.LeaseFrom) != len(s.LeaseEnds) {
			return fmt.Errorf("what was handed over has a customer's store that can't be: %+v", s)
		}
	}
	e.now, e.startedAt = now, h.Started
	for _, s := range h.Stores {
		pi, ok := e.planIndex[h.Plans[s.Plan].Name]
		if !ok || e.quotas[s.Key] != nil {
			continue
		}
		st := &customerQuota{key: s.Key, plan: pi, instanceCount: s.Spread, firstInstance: s.First, refilledAt: min(s.At, now), grantFraction: s.Pass}
		e.splitQuota(st, &h.Plans[s.Plan])
		st.rejectedUntil, st.contendedUntil, st.tokens, st.hardLimitTokens, st.unitsSinceGossip, st.pendingUnits = s.Shut, s.Crowded, s.Level, s.Ceiling, s.Since, s.Untold
		st.startedSinceGossip, st.idleGossipRounds = s.Opened, s.Zeros
		st.unitsInTransit, st.transitSince = [2]float64{s.Lent}, now
		if len(s.LevelsN) > 0 {
			st.peerInFlight = make([]peerCount, e.settings.InstanceCount)
			for i, n := range s.LevelsN {
				st.peerInFlight[i] = peerCount{n, s.LevelsAt[i]}
			}
		}
		for i, from := range s.LeaseFrom {
			st.leases = append(st.leases, lease{from, s.LeaseNum[i], s.LeaseEnds[i]})
		}
		for range s.Out { // attempts that the other still has out
			st.leases = append(st.leases, lease{e.settings.InstanceIndex, 0, now + e.maxLatencyObjective()})
		}
		e.quotas[s.Key], e.quotaList = st, append(e.quotaList, st)
		if h.Plans[s.Plan] != e.settings.Plans[pi] {
			e.changePlan(st, h.Plans[s.Plan], pi)
		}
		if s.Dirty {
			e.markForGossip(st)
		}
	}
	for name, l := range h.Classes {
		if i, ok := e.classIndex[name]; ok {
			c := &e.latencies.classes[i]
			c.mean, c.deviation, c.samples, c.firstTryTimeout = l.Mean, l.Dev, l.N, l.Fresh
			c.kinds = nil
			for k, lowest := range l.Lowest {
				if k >= len(h.Kinds) {
					break
				}
				at := e.latencies.addKind(h.Kinds[k])
				for len(c.kinds) <= at {
					c.kinds = append(c.kinds, kindLatency{})
				}
				c.kinds[at].lowest = lowest
			}
		}
	}
	for k, name := range h.Kinds {
		if k < len(h.KindMean) && k < len(h.KindN) {
			*e.latencies.kindRatios[e.latencies.addKind(name)] = kindRatio{h.KindMean[k], h.KindN[k]}
		}
	}
	for _, saved := range h.Servers {
		s := e.serverByID[saved.ID]
		if s == nil || s.StartedAt != saved.Boot {
			continue
		}
		s.lastProgressAt, s.ejectedUntil, s.budgetUpdatedAt, s.connectFailedAt, s.connectFailures = saved.Seen, saved.Ejected, min(saved.Credited, now), saved.Broke, saved.Breaks
		s.lastHeardAt, s.lastHealthCheckAt, s.latencyRatio, s.failureRate, s.queueLength = saved.Heard, saved.Probed, saved.Lat, saved.Errs, saved.Queue
		s.warmupBudget, s.consecutiveEjections, s.isUnresponsive = saved.Credit, saved.Strikes, saved.Lost
	}
	a := h.ARO
	e.overload = overloadController{admitFraction: clampFraction(a.F), throttleCredit: a.R, occupancySums: a.Occ, occupancySamples: a.N, accepted: a.Sent, sampleCount: max(a.Probes, 0), occupancy: a.Rho,
		acceptanceRate: a.Alpha, maxThroughput: a.Mu, fleetMeans: a.Pool}
	for i, p := range h.Peers {
		if i < len(e.peers) {
			q := &e.peers[i]
			q.isKnown, q.epoch, q.previousEpoch, q.receivedSequence = p.Heard, p.InEpoch, p.OldEpoch, p.InSeq
		}
	}
	e.retryTokens, e.gossipRate, e.responseRate, e.warmRate, e.healthCheckCredit = h.Retries, h.InboxRate, h.OKRate, h.WarmRate, h.ProbeDue
	return nil
}
