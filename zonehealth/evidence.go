package zonehealth

import (
	"slices"
	"time"
)

// maxEvidence is the maximum number of pieces of evidence that are kept for a zone.
const maxEvidence = 16

// failureWeight is the weight of a failed attempt of the node itself.
const failureWeight = 1

// noPeer takes the place of a peer's index where there is no peer, as for evidence of the node itself.
const noPeer = -1

// evidence is one sign that a server of a zone is unresponsive.
type evidence struct {
	server     uint64
	peer       int // index of the peer that reported the evidence, or noPeer if this node observed it
	weight     float64
	observedAt time.Duration
	sentAt     time.Duration // when the failed or slow attempt was sent
}

// isOwn reports whether this node observed the evidence itself.
func (e *evidence) isOwn() bool { return e.peer < 0 }

// supersedes reports whether only one of e and old may count: they concern the same server or are from the same peer.
func (e *evidence) supersedes(old *evidence) bool {
	return old.server == e.server || !e.isOwn() && old.peer == e.peer
}

// add adds evidence. The strongest evidence for each server and from each peer is kept. Evidence of attempts that were
// sent before the zone last responded is ignored.
func (z *zoneState) add(e evidence) {
	if z.hasResponded && e.sentAt < z.lastResponseAt {
		return
	}
	for i := range z.evidence {
		old := &z.evidence[i]
		if !e.supersedes(old) {
			continue
		}
		if e.weight >= old.weight {
			*old = e
		}
		return
	}
	if len(z.evidence) == maxEvidence {
		z.evidence = slices.Delete(z.evidence, 0, 1)
	}
	z.evidence = append(z.evidence, e)
}

// weigh returns the total weight of the evidence that is younger than ttl, and whether any of it is the node's own.
func (z *zoneState) weigh(now, ttl time.Duration) (sum float64, hasOwn bool) {
	for i := range z.evidence {
		e := &z.evidence[i]
		if now-e.observedAt < ttl {
			sum += e.weight
			hasOwn = hasOwn || e.isOwn()
		}
	}
	return sum, hasOwn
}
