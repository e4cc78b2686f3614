// Package zonehealth detects the loss of a whole zone from what a node observes at a few of its servers.
// Judged server by server, a node that asks each of them once in some seconds would need as many seconds, and
// each finding would cost a request.
//
// The rule: a zone is down while nothing has been heard of it since attempts at several of its servers
// failed, and another zone responded meanwhile. One response from any of its servers ends that. Failures at
// one server alone, however many, say nothing of the others; a node that hears no zone at all is cut off
// itself and concludes nothing.
//
// Evidence has three strengths: a failure of one's own (a time-out, a connection that could not be made); an
// attempt of one's own that has been waiting for long; and a peer's report. Of each peer only its latest
// server counts, so that one peer alone can't declare a zone down. Without any evidence of one's own the zone
// has to have been silent for longer: a node that hears it goes by that. Responses that peers met end an
// outage too, once two peers report them, since a node that sends nothing there hears nothing.
//
// The package does no I/O, keeps no clock and draws no random numbers. Times are readings of any clock that
// does not go back.
package zonehealth

import (
	"maps"
	"time"
)

// Detector tracks the zones that a node sends to. Make one with [New].
type Detector struct {
	settings Settings
	zones    map[string]*zoneState
}

// zoneState is what is known of one zone. Its invariant: while isDown, no response has been observed since downSince.
type zoneState struct {
	lastResponseAt time.Duration
	hasResponded   bool // ever
	evidence       []evidence
	isDown         bool
	downSince      time.Duration
	respondingPeer int // met a response there since downSince; noPeer: none
}

// New returns a detector that knows no zone yet.
func New(settings Settings) *Detector {
	return &Detector{settings: settings, zones: map[string]*zoneState{}}
}

// zone returns the state of a zone, made where there is none.
func (d *Detector) zone(name string) *zoneState {
	z := d.zones[name]
	if z == nil {
		z = &zoneState{}
		d.zones[name] = z
	}
	return z
}

// RetainZones forgets the zones that are not among the keys.
func (d *Detector) RetainZones(names map[string]bool) {
	maps.DeleteFunc(d.zones, func(name string, _ *zoneState) bool {
		_, ok := names[name]
		return !ok
	})
}

// ObserveResponse records a response of any kind from a server of the zone. The zone is up.
func (d *Detector) ObserveResponse(zone string, now time.Duration) {
	z := d.zone(zone)
	z.lastResponseAt, z.hasResponded = now, true
	z.recover()
}

// ObserveFailure records that an attempt sent to a server at sentAt failed.
func (d *Detector) ObserveFailure(zone string, server uint64, sentAt, now time.Duration) {
	d.zone(zone).add(evidence{
		server:     server,
		peer:       noPeer,
		weight:     failureWeight,
		observedAt: now,
		sentAt:     sentAt,
	})
}

// ObserveSlowAttempt records that an attempt sent to a server at sentAt has been waiting for long.
func (d *Detector) ObserveSlowAttempt(zone string, server uint64, sentAt, now time.Duration) {
	d.zone(zone).add(evidence{
		server:     server,
		peer:       noPeer,
		weight:     d.settings.SlowAttemptWeight,
		observedAt: now,
		sentAt:     sentAt,
	})
}

// ObservePeerFailure records a peer's report that a server is unresponsive.
func (d *Detector) ObservePeerFailure(zone string, server uint64, peer int, now time.Duration) {
	d.zone(zone).add(evidence{
		server:     server,
		peer:       peer,
		weight:     d.settings.PeerReportWeight,
		observedAt: now,
		sentAt:     now,
	})
}

// ObservePeerResponse records a peer's report of a response from the zone. The second peer to report one ends
// an outage. Reports that come sooner than EvidenceTTL after its start may be of responses before it, and
// don't count.
func (d *Detector) ObservePeerResponse(zone string, peer int, now time.Duration) {
	z := d.zones[zone]
	switch {
	case z == nil || !z.isDown || now-z.downSince < d.settings.EvidenceTTL:
	case z.respondingPeer < 0 || z.respondingPeer == peer:
		z.respondingPeer = peer
	default:
		z.recover()
	}
}

// Evaluate reports whether the zone is down, and whether this call was the first to find it so.
func (d *Detector) Evaluate(zone string, now time.Duration) (isDown, isNew bool) {
	z := d.zones[zone]
	if z == nil {
		return false, false
	}
	if z.isDown {
		return true, false
	}
	if !d.hasEnoughEvidence(z, now) || !d.anotherResponds(zone, now) {
		return false, false
	}
	z.isDown, z.downSince, z.respondingPeer = true, now, noPeer
	return true, true
}

// hasEnoughEvidence reports whether the zone's silence and the evidence suffice for an outage.
func (d *Detector) hasEnoughEvidence(z *zoneState, now time.Duration) bool {
	silence := now - z.lastResponseAt
	if !z.hasResponded || silence < d.settings.MinSilence {
		return false
	}
	weight, hasOwn := z.weigh(now, d.settings.EvidenceTTL)
	if weight < d.settings.DownThreshold {
		return false
	}
	return hasOwn || silence >= d.settings.MinSilenceByPeers
}

// anotherResponds reports whether another zone has responded since this one did.
func (d *Detector) anotherResponds(zone string, now time.Duration) bool {
	z := d.zones[zone]
	for name, other := range d.zones {
		if name == zone || !other.hasResponded || other.isDown {
			continue
		}
		if other.lastResponseAt > z.lastResponseAt && now-other.lastResponseAt < d.settings.EvidenceTTL {
			return true
		}
	}
	return false
}

// recover marks the zone as up, with no evidence against it.
func (z *zoneState) recover() {
	z.isDown = false
	z.evidence = z.evidence[:0]
}
