package gateway

import (
	"strings"
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// siteCoordinator decides which site owns a key, which sites are healthy, and which share of the capacity of a site's
// cold servers this instance may use. Components that the configuration leaves out are nil. The mutex of engineHost
// guards it.
type siteCoordinator struct {
	keys         *multisite.KeyTable           // nil: only the attempts of one keyed request are kept to one site
	health       *multisite.HealthMonitor      // nil: site health is not monitored
	confirmation *multisite.QuorumConfirmation // nil: only [Instance.ConfirmKeyOwners] confirms key owners
	ramp         *multisite.RecoveryRamp       // nil: each instance estimates by itself what cold servers may be sent
	relay        *relay                        // nil: the instance reaches all sites directly
}

func newSiteCoordinator(config *Config, now time.Duration) (c *siteCoordinator, err error) {
	c = &siteCoordinator{}
	if config.Keys != nil {
		keys := *config.Keys
		keys.MaxSendDelay = config.ConnectTimeout
		if c.keys, err = multisite.NewKeyTable(keys, now); err != nil {
			return nil, err
		}
	}
	if config.Relay != nil {
		if c.relay, err = newRelay(config.Relay); err != nil {
			return nil, err
		}
	}
	if config.Health != nil {
		if c.health, err = multisite.NewHealthMonitor(*config.Health); err != nil {
			return nil, err
		}
	}
	if config.QuorumConfirmation != nil {
		if c.confirmation, err = multisite.NewQuorumConfirmation(*config.QuorumConfirmation); err != nil {
			return nil, err
		}
	}
	if config.RecoveryRamp != nil {
		if c.ramp, err = multisite.NewRecoveryRamp(*config.RecoveryRamp); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// maxRequestTransit is how long a request may be in transit beyond its client's deadline.
const maxRequestTransit = 500 * time.Millisecond

// setKeyLifetimes applies a description's longest deadline of keyed requests and its deduplication window.
func (c *siteCoordinator) setKeyLifetimes(now, deadline, window time.Duration) {
	if c.keys != nil && deadline > 0 {
		c.keys.SetLifetimes(now, deadline+maxRequestTransit, window)
	}
}

// installEpoch applies an agreed ownership epoch and the voters as of the same log entry.
func (c *siteCoordinator) installEpoch(
	now time.Duration, epoch multisite.OwnershipEpoch, isDirectSuccessor bool, agreed AgreedVoters,
) {
	c.keys.InstallEpoch(now, epoch, isDirectSuccessor)
	if c.confirmation != nil {
		c.confirmation.ApplyAgreed(agreed.Index, agreed.Voters, agreed.IsJoint)
	}
}

// setAgreedSites applies the agreed sites, which of them are lost, and the members.
func (c *siteCoordinator) setAgreedSites(
	now time.Duration, sites []multisite.Site, lost map[string]int, members []uint64,
) {
	if c.health != nil {
		c.health.ApplyAgreed(now, sites, lost, members)
	}
	if c.ramp != nil {
		c.ramp.ApplyAgreed(now, sites, members)
	}
}

// routeKey decides which site may serve a request with a key. A relayed request whose key is owned by none of this
// instance's sites is rejected: this instance or the relaying one has outdated key owners.
func (c *siteCoordinator) routeKey(now time.Duration, key uint64, cameByRelay bool) multisite.RoutingDecision {
	decision := c.keys.Route(now, key)
	if decision.Site != "" && cameByRelay && !c.relay.ownsSite(decision.Site) {
		return multisite.RoutingDecision{RetryAfter: minKeyRetryAfter, Reason: reasonSitesDiffer}
	}
	return decision
}

// minKeyRetryAfter is the shortest Retry-After of a request whose key has no owning site now. It leaves time for a
// message between sites.
const minKeyRetryAfter = 50 * time.Millisecond

// keyRejectionWait decides the Retry-After of a request whose key has no owning site now: the wait of the routing
// decision, raised to minKeyRetryAfter and limited to maxRetryAfter. A wait of 0 means that a retry cannot succeed; the
// result is then 0, for no Retry-After.
func keyRejectionWait(wait, maxRetryAfter time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	return min(max(wait, minKeyRetryAfter), maxRetryAfter)
}

// recordResult records what the result of an attempt or a health check, sent at sentAt, indicates about the health of
// its server's site. Any response shows that the site is alive. An attempt that this instance itself ended is not
// recorded.
func (c *siteCoordinator) recordResult(now time.Duration, server string, result policy.Result, sentAt time.Duration) {
	if c.health == nil {
		return
	}
	switch result {
	case policy.OK, policy.ErrorResponse, policy.RejectedByServer:
		c.health.RecordAnswer(now, siteOf(server))
	case policy.TimedOut, policy.ConnectFailed:
		c.health.RecordUnanswered(now, siteOf(server), sentAt)
	}
}

// siteOf returns the site part of a server ID of the engine.
func siteOf(server string) string {
	site, _, _ := strings.Cut(server, "/")
	return site
}

// receive applies a message from another instance.
func (c *siteCoordinator) receive(now time.Duration, message multisite.Message) {
	c.keys.Receive(now, message)
	if c.health != nil && message.Views != nil {
		c.health.Receive(now, message.From, message.Views)
	}
	if c.ramp != nil && message.Ramp != nil {
		c.ramp.Receive(now, message.From, *message.Ramp)
	}
	if c.confirmation != nil && message.Confirmation != nil {
		c.confirmation.Receive(message.From, *message.Confirmation)
		c.confirmByQuorum()
	}
}

// confirmByQuorum confirms the key owners in force if a quorum of the voters has confirmed them.
func (c *siteCoordinator) confirmByQuorum() {
	if confirmedAt, ok := c.confirmation.ConfirmedAt(); ok {
		c.keys.ConfirmEpoch(confirmedAt)
	}
}
