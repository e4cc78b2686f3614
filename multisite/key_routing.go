package multisite

import (
	"fmt"
	"slices"
	"time"
)

// shortRetryDelay is the RetryAfter of a request that a pending confirmation or broadcast may allow at any moment.
const shortRetryDelay = 100 * time.Millisecond

// RoutingDecision is the site that a request may be sent to, or the reason why it must not be sent.
type RoutingDecision struct {
	Site       string        // empty if the request must not be sent
	RetryAfter time.Duration // if Site is empty: delay after which a retry may succeed; 0 if no retry can
	Reason     string        // if Site is empty: why the request must not be sent, for the access log
}

// Route decides to which site a request with a key may be sent now, so that the key never runs at two sites. No request
// is routed by an epoch that does not list this instance or whose lease has ended: a newer epoch with other key owners
// may have been agreed on. [KeyTable.BeginAttempt] repeats the decision before each attempt.
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

// routeSentKey routes a key that may have run: to the same site, as long as that site drops repeats of the key and is
// open, or else to none.
func (k *KeyTable) routeSentKey(now time.Duration, entry ledgerEntry) RoutingDecision {
	site := k.ledger.siteNames[entry.site]
	switch {
	case now-entry.firstSentAt > k.repeatWindow():
		return RoutingDecision{Reason: reasonWindowPassed}
	case !k.epoch.isOpen(site):
		return RoutingDecision{
			RetryAfter: k.cfg.LeaseTTL,
			Reason:     fmt.Sprintf(reasonSiteClosed, site),
		}
	}
	return RoutingDecision{Site: site}
}

// routeNewKey routes a key that is not in the ledger: to its owner, once no other site can have run it under a previous
// epoch. This holds if the key had the same owner in that epoch, if all instances have announced the keys that they
// sent under it, or if LeaseTTL and the longest key TTL have passed since it ended. Only the last holds for epochs that
// this instance has not received.
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
