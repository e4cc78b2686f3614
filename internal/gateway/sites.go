package gateway

import (
	"context"
	"fmt"
	"time"

	"mulleinmux/multisite"
	"mulleinmux/policy"
)

// AgreedVoters are the voting members as of a log entry. An instance that is not a member uses the zero value.
type AgreedVoters struct {
	Index   uint64 // of the log entry
	Voters  []uint64
	IsJoint bool // a change of the voters is in progress
}

// InstallKeyOwners applies an agreed ownership epoch and the voters as of the same log entry. For isDirectSuccessor, see
// [multisite.KeyTable.InstallEpoch].
func (in *Instance) InstallKeyOwners(epoch multisite.OwnershipEpoch, isDirectSuccessor bool, agreed AgreedVoters) {
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.sites.installEpoch(now, epoch, isDirectSuccessor, agreed)
	})
}

// ConfirmKeyOwners records that a quorum, queried at queriedAt, has confirmed the ownership epoch in force.
func (in *Instance) ConfirmKeyOwners(queriedAt time.Time) {
	in.host.handleEvent(func(time.Duration, policy.Actions) {
		in.sites.keys.ConfirmEpoch(in.host.reading(queriedAt))
	})
}

// NextMessage returns the next message to the other instances, with at most maxKeys keys, and whether more messages are
// due now. The last of them also carries this instance's reports on the sites. fence returns this member's fence index:
// see [multisite.QuorumConfirmation].
func (in *Instance) NextMessage(maxKeys int, fence func() uint64) (message multisite.Message, hasMore bool) {
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) {
		message, hasMore = in.sites.keys.NextBroadcast(now, maxKeys)
		if !hasMore {
			broadcast := siteBroadcast{in.sites, in.host.engine, &in.config.Settings, in.watches.bySite}
			broadcast.addReports(now, &message, fence)
		}
	})
	return message, hasMore
}

// ReceiveMessage applies a message from another instance.
func (in *Instance) ReceiveMessage(message multisite.Message) {
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) { in.sites.receive(now, message) })
}

// SetAgreedSites applies the agreed sites, which of them are lost, and the members.
func (in *Instance) SetAgreedSites(sites []multisite.Site, lost map[string]int, members []uint64) {
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) {
		in.sites.setAgreedSites(now, sites, lost, members)
	})
}

// ProposeSiteChange calls [multisite.HealthMonitor.ProposeChange]. ok is false if site health is not monitored.
func (in *Instance) ProposeSiteChange() (change multisite.SiteChange, ok bool) {
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) {
		if in.sites.health != nil {
			change, ok = in.sites.health.ProposeChange(now)
		}
	})
	return change, ok
}

// SiteStates returns the health state of each site by name, as this instance observes it.
func (in *Instance) SiteStates() map[string]string {
	states := map[string]string{}
	in.host.handleEvent(func(now time.Duration, _ policy.Actions) {
		for name := range in.watches.bySite {
			if in.sites.health != nil {
				states[name] = in.sites.health.State(now, name).String()
			}
		}
	})
	return states
}

// serverPollInterval is the interval at which AwaitServers checks the number of servers.
const serverPollInterval = 5 * time.Millisecond

// AwaitServers waits until at least minCount servers are known over all sites.
func (in *Instance) AwaitServers(ctx context.Context, minCount int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(serverPollInterval)
	defer ticker.Stop()
	for {
		known := in.serverCount()
		if known >= minCount {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: discovered %d of %d servers: %w", in.config.Name, known, minCount, ctx.Err())
		case <-ticker.C:
		}
	}
}

// serverCount returns the number of servers known over all sites.
func (in *Instance) serverCount() int {
	in.host.mu.Lock()
	defer in.host.mu.Unlock()
	return in.endpoints.count()
}
