package multisite

import (
	"fmt"
	"slices"
	"time"
)

// shortRetryDelay is the RetryAfter where routing may become possible at any moment.
const shortRetryDelay = 100 * time.Millisecond

// The reasons of rejections, as texts of the access log.
const (
	reasonNotListed      = "this instance has no part in the homes"
	reasonNotConfirmed   = "the homes are not confirmed"
	reasonWindowPassed   = "it may have run so long ago that its hall no longer knows it"
	reasonSiteClosed     = "it may have run at %s, which takes no keys"
	reasonNoOpenSite     = "no hall takes keys"
	reasonOwnerJustMoved = "its home has moved, and it may have been sent to the old one"
)

// RoutingDecision is the site that a request may go to, or why there is none.
type RoutingDecision struct {
	Site       string        // empty: nowhere
	RetryAfter time.Duration // without a site: after which a retry may succeed; 0: never
	Reason     string        // without a site: why, for the access log
}

// Route returns where a request with a key may go now. [KeyTable.BeginAttempt] repeats the decision before each
// attempt.
func (k *KeyTable) Route(now time.Duration, key uint64) RoutingDecision {
	switch {
	case k.epoch == nil || !slices.Contains(k.epoch.Instances, k.cfg.InstanceID):
		return RoutingDecision{RetryAfter: k.cfg.LeaseTTL, Reason: reasonNotListed}
	case !k.hasLease(now):
		return RoutingDecision{RetryAfter: shortRetryDelay, Reason: reasonNotConfirmed}
	}
	if entry, isKnown := k.ledger.entries[key]; isKnown {
		return k.routeSentKey(now, entry)
	}
	return k.routeNewKey(now, key)
}

// routeSentKey routes a key that may have run: to the same site or nowhere.
func (k *KeyTable) routeSentKey(now time.Duration, entry ledgerEntry) RoutingDecision {
	site := k.ledger.siteNames[entry.site]
	switch {
	case now-entry.firstSentAt > k.minDeduplicationWindow():
		return RoutingDecision{Reason: reasonWindowPassed}
	case !k.epoch.isOpen(site):
		return RoutingDecision{
			RetryAfter: k.cfg.LeaseTTL,
			Reason:     fmt.Sprintf(reasonSiteClosed, site),
		}
	}
	return RoutingDecision{Site: site}
}

// routeNewKey routes a key that is not in the ledger: to its owner, once no other site can have run it.
func (k *KeyTable) routeNewKey(now time.Duration, key uint64) RoutingDecision {
	owner := k.epoch.owner(key)
	if owner == "" {
		return RoutingDecision{RetryAfter: k.cfg.LeaseTTL, Reason: reasonNoOpenSite}
	}
	k.dropEndedEpochs(now)
	for _, previous := range k.previousEpochs {
		if previous.hasOwner(key, owner) || k.haveAllAnnounced(now, previous.epoch) {
			continue
		}
		return RoutingDecision{
			RetryAfter: min(shortRetryDelay, previous.endedAt+k.cfg.LeaseTTL+k.maxKeyTTL(now)-now),
			Reason:     reasonOwnerJustMoved,
		}
	}
	return RoutingDecision{Site: owner}
}
