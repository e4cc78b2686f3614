package multisite

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// SiteChange is a loss or a recovery that the members should agree on.
type SiteChange struct {
	Site       string
	IsLost     bool // the site is lost; if false, it recovers
	KeyEighths int  // eighths of its keys that a recovering site accepts; 0 stands for all of them
	Reason     string
}

// ProposeChange returns the loss or recovery of a site that the members should agree on now; ok is false if there is
// none. It returns one change at a time, since the next one depends on its effect. The last site that accepts keys is
// never declared lost: its keys would have no owner.
func (h *HealthMonitor) ProposeChange(now time.Duration) (c SiteChange, ok bool) {
	for _, site := range slices.Sorted(maps.Keys(h.sites)) {
		agreed := h.sites[site]
		if agreed.hasNoKeys() {
			c, ok = h.proposeRecovery(now, site, agreed)
		} else if c, ok = h.proposeLoss(now, site); !ok {
			c, ok = h.proposeMoreKeys(now, site, agreed)
		}
		if ok {
			return c, true
		}
	}
	return SiteChange{}, false
}

// proposeRecovery proposes that a lost site accepts keys again, as many as its capacity allows, once it has answered a
// majority for the recovery delay.
func (h *HealthMonitor) proposeRecovery(now time.Duration, site string, agreed *agreedSite) (c SiteChange, ok bool) {
	delay := agreed.recoveryDelay(now, &h.cfg)
	votes := h.votes(now, site, 0, delay)
	if !h.isMajority(votes.answering) {
		return SiteChange{}, false
	}
	reason := fmt.Sprintf(reasonRecovered, votes.answering, len(h.members), delay)
	return newRecovery(site, h.targetKeyEighths(now, site), reason), true
}

// proposeLoss proposes that a site is lost once it has been silent to a majority for LossTimeout and another site
// accepts keys. Silence to a minority is a fault of the path, which moves no keys.
func (h *HealthMonitor) proposeLoss(now time.Duration, site string) (c SiteChange, ok bool) {
	votes := h.votes(now, site, h.cfg.LossTimeout, 0)
	if !h.isMajority(votes.silent) || !h.hasAlternativeSite(now, site) {
		return SiteChange{}, false
	}
	reason := fmt.Sprintf(reasonSilent, votes.silent, len(h.members), h.cfg.LossTimeout)
	return SiteChange{Site: site, IsLost: true, Reason: reason}, true
}

// proposeMoreKeys proposes that a recovering site accepts more keys once its capacity has grown, RecoveryDelay after
// the last change at the earliest, so that the effect of that change is known. It never proposes fewer keys.
func (h *HealthMonitor) proposeMoreKeys(now time.Duration, site string, agreed *agreedSite) (c SiteChange, ok bool) {
	if !agreed.isLost || now-agreed.changedAt < h.cfg.RecoveryDelay {
		return SiteChange{}, false
	}
	eighths := h.targetKeyEighths(now, site)
	if eighths <= agreed.keyEighths {
		return SiteChange{}, false
	}
	return newRecovery(site, eighths, fmt.Sprintf(reasonCapacity, eighths)), true
}

// newRecovery returns the change by which a site accepts 1 to 8 eighths of its keys again.
func newRecovery(site string, eighths int, reason string) SiteChange {
	return SiteChange{Site: site, KeyEighths: eighths % fullKeyEighths, Reason: reason}
}

// hasAlternativeSite reports whether another site accepts keys and answers a majority.
func (h *HealthMonitor) hasAlternativeSite(now time.Duration, lostSite string) bool {
	for site, agreed := range h.sites {
		if site == lostSite || agreed.hasNoKeys() || agreed.isClosed {
			continue
		}
		if votes := h.votes(now, site, 0, 0); h.isMajority(votes.answering) {
			return true
		}
	}
	return false
}

// recoveryDelay returns the time for which a lost site must answer before it counts as recovered. It doubles with each
// loss within LossWindow, up to MaxRecoveryDelay, so that a flapping site changes the ownership of keys less and less
// often.
func (a *agreedSite) recoveryDelay(now time.Duration, cfg *HealthConfig) time.Duration {
	a.lossTimes = slices.DeleteFunc(a.lossTimes, func(at time.Duration) bool { return now-at > cfg.LossWindow })
	delay := cfg.RecoveryDelay
	for i := 1; i < len(a.lossTimes) && delay < cfg.MaxRecoveryDelay; i++ {
		delay *= 2
	}
	return min(delay, cfg.MaxRecoveryDelay)
}

// targetKeyEighths returns the number of eighths of its keys, 1 to 8, that a site should accept beside the other sites
// that accept keys and whose capacity is known.
func (h *HealthMonitor) targetKeyEighths(now time.Duration, site string) int {
	total, count := 0.0, 0
	for name, agreed := range h.sites {
		capacity, _ := h.Capacity(now, name)
		if name == site || capacity > 0 && !agreed.isClosed && !agreed.hasNoKeys() {
			total += capacity
			count++
		}
	}
	capacity, _ := h.Capacity(now, site)
	return eighthsForEqualUtilization(capacity, total, count)
}

// eighthsForEqualUtilization returns the number of eighths of its keys, 1 to 8, that a recovering site accepts so that
// all sites that accept keys are equally utilized: the site may have recovered with cold servers or with few. capacity
// is that of the site and total that of all siteCount sites, the site included, in warm servers. If no capacity is
// known, the site accepts all keys.
func eighthsForEqualUtilization(capacity, total float64, siteCount int) int {
	if total <= 0 {
		return fullKeyEighths
	}
	eighths := int(fullKeyEighths*capacity*float64(siteCount)/total + 0.5)
	return min(max(eighths, 1), fullKeyEighths)
}

// Capacity returns a site's capacity in warm servers, the median over the members that reach it directly (0 if
// unknown), and the number of these members.
func (h *HealthMonitor) Capacity(now time.Duration, site string) (warmServers float64, directCount int) {
	var known []float64
	for _, member := range h.members {
		o := h.observationOf(member, site)
		if o.isRemote || !o.isCurrent(now, h.cfg.ViewTTL) {
			continue
		}
		directCount++
		if o.capacity > 0 {
			known = append(known, o.capacity)
		}
	}
	if len(known) == 0 {
		return 0, directCount
	}
	slices.Sort(known)
	return known[len(known)/2], directCount
}
