package gateway

import (
	"strings"
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// siteCoordinator decides between sites: which one owns a key, which are healthy, and which part of their warming
// servers' capacity this instance has. It has the parts that the configuration names. The mutex of engineHost guards
// it.
type siteCoordinator struct {
	keys         *multisite.KeyTable           // nil: keyed requests are kept to a site for one request only
	health       *multisite.HealthMonitor      // nil: site health is not judged
	confirmation *multisite.QuorumConfirmation // nil: key owners are confirmed by [Instance.ConfirmKeyOwners] alone
	ramp         *multisite.RecoveryRamp       // nil: what cold servers are sent is each instance's own guess
	relay        *relay                        // nil: the instance reaches all sites itself
}

func newSiteCoordinator(config *Config, now time.Duration) (c *siteCoordinator, err error) {
	c = &siteCoordinator{}
	if config.Keys != nil {
		if c.keys, err = multisite.NewKeyTable(*config.Keys, now); err != nil {
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

// maxRequestTransit is how long a request may be on its way beyond its client's deadline.
const maxRequestTransit = 500 * time.Millisecond

// setKeyLifetimes applies a description's longest deadline of keyed requests and its deduplication window.
func (c *siteCoordinator) setKeyLifetimes(now, deadline, window time.Duration) {
	if c.keys != nil && deadline > 0 {
		c.keys.SetLifetimes(now, deadline+maxRequestTransit, window)
	}
}

// installEpoch applies an agreed epoch of key owners, and the voters of that moment.
func (c *siteCoordinator) installEpoch(now time.Duration, epoch multisite.OwnershipEpoch, agreed AgreedVoters) {
	c.keys.InstallEpoch(now, epoch)
	if c.confirmation != nil {
		c.confirmation.ApplyAgreed(agreed.Index, agreed.Voters, agreed.IsJoint)
	}
}

// setAgreedSites applies which sites there are, which of them are lost, and the members.
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

// routeKey decides which site a request's key may go to. A relayed request whose key this instance's site does not own
// is rejected: one of the two sites goes by older key owners.
func (c *siteCoordinator) routeKey(now time.Duration, key uint64, cameByRelay bool) multisite.RoutingDecision {
	decision := c.keys.Route(now, key)
	if decision.Site != "" && cameByRelay && !c.relay.ownsSite(decision.Site) {
		return multisite.RoutingDecision{RetryAfter: minKeyRetryAfter, Reason: reasonSitesDiffer}
	}
	return decision
}

// minKeyRetryAfter is the shortest Retry-After of a request whose key no site owns now: time for a message between
// sites.
const minKeyRetryAfter = 50 * time.Millisecond

// keyRejectionWait decides the Retry-After of a request whose key has no site now, from the one of the routing decision
// and the longest that clients are told. Where a retry can't succeed (0) there is none.
func keyRejectionWait(wait, maxRetryAfter time.Duration) time.Duration {
	if wait == 0 {
		return 0
	}
	return min(max(wait, minKeyRetryAfter), maxRetryAfter)
}

// recordResult records what an attempt or a health check, sent at a time, says of the health of its server's site. An
// answer of any kind is a sign of life; an attempt that this instance itself ended says nothing.
func (c *siteCoordinator) recordResult(now time.Duration, server string, result policy.Result, sentAt time.Duration) {
	if c.health == nil {
		return
	}
	switch result {
	case policy.OK, policy.ErrorResponse, policy.RejectedByServer:
		c.health.RecordAnswer(now, siteOf(server))
	case policy.TimedOut, policy.ConnectFailed:
		c.health.RecordMiss(now, siteOf(server), sentAt)
	}
}

// siteOf returns the site of a server, as the engine names it.
func siteOf(server string) string {
	site, _, _ := strings.Cut(server, "/")
	return site
}

// receive applies a message of another instance.
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

// confirmByQuorum confirms the key owners in force if a quorum does.
func (c *siteCoordinator) confirmByQuorum() {
	if confirmedAt, ok := c.confirmation.ConfirmedAt(); ok {
		c.keys.ConfirmEpoch(confirmedAt)
	}
}
