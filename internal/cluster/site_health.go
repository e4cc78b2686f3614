package cluster

import (
	"context"
	"fmt"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/multisite"
)

// Site health: a loss moves keys to other sites, so it takes a majority and half a second; the delay before a site
// counts as back grows to half a minute where it flaps.
const (
	minSiteMisses        = 3
	siteLossTimeout      = 500 * time.Millisecond
	siteViewTTL          = time.Second
	siteRecoveryDelay    = time.Second
	maxSiteRecoveryDelay = 30 * time.Second
	siteLossWindow       = time.Minute
	siteJudgeInterval    = 50 * time.Millisecond
	rampLoanTTL          = 500 * time.Millisecond

	siteProposalTimeout = 2 * time.Second
)

func siteHealthConfig(instance uint64, warmUpWindow time.Duration) *multisite.HealthConfig {
	return &multisite.HealthConfig{
		Me:        instance,
		Least:     minSiteMisses,
		LostAfter: siteLossTimeout,
		Fresh:     siteViewTTL,
		Hold:      siteRecoveryDelay,
		HoldMost:  maxSiteRecoveryDelay,
		Calm:      siteLossWindow,
		Ramp:      warmUpWindow,
	}
}

func recoveryRampConfig(instance, incarnation uint64, budgetMultiple float64) *multisite.RampConfig {
	return &multisite.RampConfig{
		Me:          instance,
		Incarnation: incarnation,
		Lease:       rampLoanTTL,
		Fresh:       siteViewTTL,
		Multiple:    budgetMultiple,
	}
}

// judgeSites logs changes of the sites' health and, on the leader, proposes which sites are lost and recovered, until
// ctx ends. Any member could propose: a second proposal of the same change is rejected.
func (m *Member) judgeSites(ctx context.Context) {
	tick := time.NewTicker(siteJudgeInterval)
	defer tick.Stop()
	states := map[string]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		previous := states
		states = m.instance.HallStates()
		for name, state := range states {
			if before, known := previous[name]; known && before != state {
				m.logger.Printf("hall %s is %s (was %s)", name, state, before)
			}
		}
		change, ok := m.instance.JudgeHalls()
		if !ok {
			continue
		}
		status, err := m.node.Status(ctx)
		if err != nil || status.Leader != status.ID {
			continue
		}
		if err := m.proposeSiteChange(ctx, change); err != nil {
			m.logger.Printf("hall %s: %v", change.Hall, err)
		}
	}
}

// proposeSiteChange proposes that a site is lost, or has some or all of its keys back.
func (m *Member) proposeSiteChange(ctx context.Context, site multisite.HallChange) error {
	ctx, cancel := context.WithTimeout(ctx, siteProposalTimeout)
	defer cancel()
	state, err := m.node.Freeze(ctx)
	if err != nil {
		return err
	}
	change, summary := siteChange(site)
	proposal := &clusterconfig.Proposal{
		ID:      fmt.Sprintf("hall-%s-%v-%d-%d", site.Hall, site.Lost, site.Part, state.Homes()),
		Author:  memberAuthor(m.cfg.MemberID),
		Why:     site.Why,
		AtMs:    time.Now().UnixMilli(),
		Changes: []clusterconfig.Change{change},
	}
	if err := state.Check(proposal); err != nil {
		return err
	}
	outcome, err := m.node.Propose(ctx, proposal)
	if err == nil && outcome.Applied {
		m.logger.Printf("hall %s is agreed to be %s: %s", site.Hall, summary, site.Why)
	}
	return err
}

// siteChange returns the change of the agreed configuration that a change of a site's health comes to, and its summary
// for the log.
func siteChange(site multisite.HallChange) (change clusterconfig.Change, summary string) {
	if !site.Lost && site.Part == 0 {
		return clusterconfig.Change{Op: changeRemove, Kind: kindLostSite, Name: site.Hall}, "back"
	}
	summary = "lost"
	if !site.Lost {
		summary = fmt.Sprintf("back with %d of 8 of its keys", site.Part)
	}
	lost := clusterconfig.LostHall{Why: site.Why, Part: site.Part}
	return clusterconfig.Put(kindLostSite, site.Hall, lost), summary
}

// memberAuthor is the author of a member's own proposals.
func memberAuthor(id uint64) string { return fmt.Sprint("member ", id) }
