// Package outage finds out that a whole group of servers has gone, such as those of a hall, from what a node meets at some of
// them. Server by server it would take a node that asks each of them once in some seconds as many seconds, and each finding
// would cost a request.
//
// The rule: a group is down while nothing has been heard of it since things that were sent to several of its servers came to
// nothing, and another group was heard meanwhile. One answer from any of its servers ends that. What is sent and comes to nothing at one
// server alone, however often, says nothing of the others; a node that hears nobody is cut off itself and concludes nothing.
//
// Evidence has three strengths: a failure of one's own (a time-out, a connection that did not come up); a wait of one's own
// that has become long; and what a peer says it found. A peer is believed for its latest server only, so that one alone
// does nothing; without any evidence of one's own the group has to have been quiet for longer: a node that hears it is to go by that.
// Peers that meet answers there end it as well, two of them, since a node that sends nothing there hears nothing.
//
// The package does no I/O, keeps no clock and draws no random numbers. Times are readings of any clock that does not go back.
package zonehealth

import (
	"maps"
	"slices"
	"time"
)

// Settings sets what evidence it takes.
type Settings struct {
	DownThreshold     float64       // weight of evidence at which a group is down
	SlowAttemptWeight float64       // weight of a long wait at a server; of a failure it is 1
	PeerReportWeight  float64       // weight of a peer's finding
	EvidenceTTL       time.Duration // evidence older than that counts no more
	MinSilence        time.Duration // a group that was heard so recently is not down
	MinSilenceByPeers time.Duration // nor by peers' word alone one that was heard so recently
}

// DefaultSettings is a rule for nodes that hear a group of theirs some times a second: failures or long waits at two servers, a failure and a peer,
// a long wait and two peers, or three peers.
var DefaultSettings = Settings{DownThreshold: 1.4, SlowAttemptWeight: 0.7, PeerReportWeight: 0.5, EvidenceTTL: 3 * time.Second, MinSilence: 200 * time.Millisecond, MinSilenceByPeers: time.Second}

// evidenceMost bounds what is kept of a group.
const evidenceMost = 16

// evidence is that something at a server came to nothing.
type evidence struct {
	server uint64
	peer   int // -1: own
	weight float64
	at     time.Duration // when it became known
	sent   time.Duration // what came to nothing was sent then
}

type group struct {
	heard    time.Duration
	ever     bool
	evidence []evidence
	down     bool
	since    time.Duration // when it was found to be
	peer     int           // that met an answer there since; -1: none
}

// Detector keeps watch over the groups that a node asks. The zero value watches none; make one with New.
type Detector struct {
	rule   Settings
	groups map[string]*group
}

// New returns a watch by a rule.
func New(rule Settings) *Detector { return &Detector{rule: rule, groups: map[string]*group{}} }

func (w *Detector) of(name string) *group {
	g := w.groups[name]
	if g == nil {
		g = &group{}
		w.groups[name] = g
	}
	return g
}

// RetainZones forgets the groups that are not among the keys.
func (w *Detector) RetainZones(names map[string]bool) {
	maps.DeleteFunc(w.groups, func(name string, _ *group) bool {
		_, ok := names[name]
		return !ok
	})
}

// ObserveResponse takes in an answer of any kind from a server of the group.
func (w *Detector) ObserveResponse(name string, now time.Duration) {
	g := w.of(name)
	g.heard, g.ever, g.down = now, true, false
	g.evidence = g.evidence[:0]
}

// ObserveFailure takes in that something sent to a server at a time came to nothing.
func (w *Detector) ObserveFailure(name string, server uint64, sent, now time.Duration) {
	w.add(name, evidence{server: server, peer: -1, weight: 1, at: now, sent: sent})
}

// ObserveSlowAttempt takes in that something sent to a server at a time has waited for long.
func (w *Detector) ObserveSlowAttempt(name string, server uint64, sent, now time.Duration) {
	w.add(name, evidence{server: server, peer: -1, weight: w.rule.SlowAttemptWeight, at: now, sent: sent})
}

// ObservePeerFailure takes in that a peer found a server silent.
func (w *Detector) ObservePeerFailure(name string, server uint64, peer int, now time.Duration) {
	w.add(name, evidence{server: server, peer: peer, weight: w.rule.PeerReportWeight, at: now, sent: now})
}

// ObservePeerResponse takes in that a peer has met an answer there. What it met before it heard of the outage is no sign of its end.
func (w *Detector) ObservePeerResponse(name string, peer int, now time.Duration) {
	g := w.groups[name]
	switch {
	case g == nil || !g.down || now-g.since < w.rule.EvidenceTTL:
	case g.peer < 0 || g.peer == peer:
		g.peer = peer
	default:
		g.down, g.evidence = false, g.evidence[:0]
	}
}

// add keeps the strongest evidence of each server and, of peers, of each peer.
func (w *Detector) add(name string, e evidence) {
	g := w.of(name)
	if g.ever && e.sent < g.heard {
		return // the group was heard since
	}
	for i := range g.evidence {
		old := &g.evidence[i]
		if old.server != e.server && (e.peer < 0 || old.peer != e.peer) {
			continue
		}
		if e.weight >= old.weight {
			*old = e
		}
		return
	}
	if len(g.evidence) == evidenceMost {
		g.evidence = slices.Delete(g.evidence, 0, 1)
	}
	g.evidence = append(g.evidence, e)
}

// Evaluate tells whether the group is down, and whether it has just been found to be.
func (w *Detector) Evaluate(name string, now time.Duration) (down, found bool) {
	g := w.groups[name]
	if g == nil {
		return false, false
	}
	if g.down {
		return true, false
	}
	if !g.ever || now-g.heard < w.rule.MinSilence || !w.others(name, now) {
		return false, false
	}
	sum, own := 0.0, false
	for _, e := range g.evidence {
		if now-e.at < w.rule.EvidenceTTL {
			sum += e.weight
			own = own || e.peer < 0
		}
	}
	if sum < w.rule.DownThreshold || !own && now-g.heard < w.rule.MinSilenceByPeers {
		return false, false
	}
	g.down, g.since, g.peer = true, now, -1
	return true, true
}

// others tells whether another group was heard since this one was.
func (w *Detector) others(name string, now time.Duration) bool {
	g := w.groups[name]
	for other, o := range w.groups {
		if other != name && o.ever && o.heard > g.heard && !o.down && now-o.heard < w.rule.EvidenceTTL {
			return true
		}
	}
	return false
}
