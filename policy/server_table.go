package policy

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"
)

// minEndpointPollDelay is the minimum delay from a failed poll of the endpoint list to the next one. A random delay of
// up to the same length is added, so that nodes do not poll at the same moments.
const minEndpointPollDelay = time.Second

// endpointPollDelay returns the delay from a failed poll of the endpoint list to the next one.
func endpointPollDelay(rng *rand.Rand) time.Duration {
	return minEndpointPollDelay + randomDelay(rng, minEndpointPollDelay)
}

// serverTable holds the servers of the endpoint list, and removed ones that still have attempts in flight.
// Invariant: list and byID hold the same servers. Server selection shuffles the list.
type serverTable struct {
	list          []*server
	byID          map[string]*server
	weightsDiffer bool // the servers that accept requests have different weights
}

// update applies a complete endpoint list or a delta.
func (t *serverTable) update(kind EndpointUpdateKind, entries []Server) {
	if kind != EndpointsDelta {
		for _, s := range t.list {
			s.isListed = false
		}
	}
	for _, entry := range entries {
		s := t.byID[entry.ID]
		if s == nil {
			s = newServer(entry.ID)
			t.byID[entry.ID] = s
			t.list = append(t.list, s)
		}
		s.update(entry)
	}
	t.prune()
	t.compareWeights()
}

// prune drops removed servers that have no attempts in flight.
func (t *serverTable) prune() {
	kept := t.list[:0]
	for _, s := range t.list {
		if !s.isListed && s.inFlight == 0 {
			delete(t.byID, s.ID)
			continue
		}
		kept = append(kept, s)
	}
	t.list = kept
}

// compareWeights sets weightsDiffer.
func (t *serverTable) compareWeights() {
	t.weightsDiffer = false
	first := 0.0
	for _, s := range t.list {
		if !s.acceptsRequests() {
			continue
		}
		if first == 0 {
			first = s.weight()
		}
		t.weightsDiffer = t.weightsDiffer || s.weight() != first
	}
}

// hasGossipIDTwice reports whether several servers have a gossip ID.
func (t *serverTable) hasGossipIDTwice(id uint16) bool {
	count := 0
	for _, s := range t.list {
		count += boolToInt(s.gossipID == id)
	}
	return count > 1
}

// availableIn yields the servers of a zone that accept requests and are not unresponsive, with the capacity fraction
// of each.
func (t *serverTable) availableIn(
	zone string, now time.Duration, settings *Settings,
) iter.Seq2[*server, float64] {
	return func(yield func(*server, float64) bool) {
		for _, s := range t.list {
			if s.Zone != zone || !s.acceptsRequests() || s.isUnresponsive {
				continue
			}
			if !yield(s, s.capacityFraction(now, settings)) {
				return
			}
		}
	}
}

// inFlightIn returns the attempts in flight at servers of a zone that are not unresponsive.
func (t *serverTable) inFlightIn(zone string) (inFlight float64) {
	for _, s := range t.list {
		if s.Zone == zone && !s.isUnresponsive {
			inFlight += float64(s.inFlight)
		}
	}
	return inFlight
}

// warmUtilization returns the mean utilization of the warm servers of a zone that have reported it within decayTime;
// negative if none has.
func (t *serverTable) warmUtilization(zone string, now time.Duration, settings *Settings) float64 {
	sum, reports := 0.0, 0.0
	for _, s := range t.list {
		if s.Zone != zone || !s.acceptsRequests() || s.capacityFraction(now, settings) < 1 {
			continue
		}
		if s.utilization >= 0 && now-s.reportedAt < decayTime {
			sum += s.utilization
			reports++
		}
	}
	if reports == 0 {
		return -1
	}
	return sum / reports
}

// closeSample ends a sample: it decays the statistics of each server, and returns the total weight of the warm members
// of the subset, each corrected for the number of nodes that have it in their subset.
func (t *serverTable) closeSample(now time.Duration, settings *Settings) (warmWeight float64) {
	keep := math.Exp(-sampleInterval.Seconds() / decayTime.Seconds())
	for _, s := range t.list {
		if s.isWarmMember(now, settings) {
			warmWeight += s.weight() * s.subsetCorrection
		}
		s.decay(keep)
	}
	return warmWeight
}

// ServerCounts returns the number of servers in the endpoint list, and the number of these that are avoided because
// they are unresponsive or ejected.
func (e *Engine) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range e.servers.list {
		if s.isListed {
			listed++
			avoided += boolToInt(s.isEjected(now))
		}
	}
	return listed, avoided
}
