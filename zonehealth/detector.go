// Package zonehealth detects the loss of a whole zone from a node's observations of a few of its servers. If each
// server were judged alone, a node that sends to each server once in several seconds would need several seconds to
// detect the loss, and the detection of each server would cost a request.
//
// A zone is down if attempts at several of its servers failed, no server of the zone has responded since, and another
// zone has. A response from any of its servers ends the outage. Failures at a single server, however many, are no
// evidence about the others. If no zone responds, the node itself is cut off, and no zone is declared down.
//
// Evidence has three weights: a failed attempt of the node (a timeout, a connection that could not be established); an
// attempt of the node that has been waiting for long; and a peer's report. Only the latest server that a peer reported
// counts, so that one peer alone cannot declare a zone down. If the node has no evidence of its own, the zone must have
// been silent for longer, since responses to the node itself are better evidence than reports. Responses that two peers
// report also end an outage, since a node that sends nothing to a zone receives nothing from it.
//
// The package does no I/O, reads no clock and draws no random numbers. Times are readings of one monotonic clock.
package zonehealth

import (
	"maps"
	"time"
)

// Detector tracks the zones that a node sends to. It is not safe for concurrent use.
type Detector struct {
	settings Settings
	zones    map[string]*zoneState
}

// zoneState is the observed state of one zone. Invariant: while isDown, no response has been observed since downSince.
type zoneState struct {
	lastResponseAt time.Duration
	hasResponded   bool // the zone has responded since tracking began
	evidence       []evidence
	isDown         bool
	downSince      time.Duration
	respondingPeer int // index of the peer that has reported a response since downSince, or noPeer
}

// New returns a detector that does not track any zone yet.
func New(settings Settings) *Detector {
	return &Detector{settings: settings, zones: map[string]*zoneState{}}
}

// zone returns the state of a zone, and starts tracking a zone that is new.
func (d *Detector) zone(name string) *zoneState {
	z := d.zones[name]
	if z == nil {
		z = &zoneState{}
		d.zones[name] = z
	}
	return z
}

// RetainZones stops tracking the zones that are not keys of names.
func (d *Detector) RetainZones(names map[string]bool) {
	maps.DeleteFunc(d.zones, func(name string, _ *zoneState) bool {
		_, ok := names[name]
		return !ok
	})
}

// ObserveResponse records a response of any kind from a server of the zone. The zone is up.
func (d *Detector) ObserveResponse(zone string, now time.Duration) {
	z := d.zone(zone)
	z.lastResponseAt = now
	z.hasResponded = true
	z.markUp()
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

// ObservePeerResponse records a peer's report of a response from the zone. The second peer to report one ends an
// outage. Reports within EvidenceTTL of the outage's start are ignored, since they may be of earlier responses.
func (d *Detector) ObservePeerResponse(zone string, peer int, now time.Duration) {
	z := d.zones[zone]
	switch {
	case z == nil || !z.isDown || now-z.downSince < d.settings.EvidenceTTL:
	case z.respondingPeer < 0 || z.respondingPeer == peer:
		z.respondingPeer = peer
	default:
		z.markUp()
	}
}

// Evaluate reports whether the zone is down, and whether this call is the first to detect it.
func (d *Detector) Evaluate(zone string, now time.Duration) (isDown, isNew bool) {
	z := d.zones[zone]
	if z == nil {
		return false, false
	}
	if z.isDown {
		return true, false
	}
	if !d.hasEnoughEvidence(z, now) || !d.anotherZoneResponds(zone, now) {
		return false, false
	}
	z.isDown = true
	z.downSince = now
	z.respondingPeer = noPeer
	return true, true
}

// hasEnoughEvidence reports whether the zone's silence and the evidence suffice to declare it down.
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

// anotherZoneResponds reports whether another zone has responded since this one did.
func (d *Detector) anotherZoneResponds(zone string, now time.Duration) bool {
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

// markUp marks the zone as up and drops the evidence against it.
func (z *zoneState) markUp() {
	z.isDown = false
	z.evidence = z.evidence[:0]
}
