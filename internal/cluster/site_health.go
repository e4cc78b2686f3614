package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/logging"
	"mulleinmux/multisite"
)

// Parameters of site health. The loss of a site moves keys to other sites, so it takes a majority and half a second. If
// a site flaps, the delay until it counts as recovered grows to half a minute.
const (
	minSiteUnanswered    = 3 // consecutive unanswered attempts or health checks
	siteLossTimeout      = 500 * time.Millisecond
	siteViewTTL          = time.Second // lifetime of another member's view of a site
	siteRecoveryDelay    = time.Second
	maxSiteRecoveryDelay = 30 * time.Second
	siteLossWindow       = time.Minute // a site that is lost again within it counts as flapping
	siteMonitorInterval  = 50 * time.Millisecond
	rampLoanTTL          = 500 * time.Millisecond

	siteProposalTimeout = 2 * time.Second
)

func siteHealthConfig(instance uint64, warmUpWindow time.Duration) *multisite.HealthConfig {
	return &multisite.HealthConfig{
		InstanceID:       instance,
		MinUnanswered:    minSiteUnanswered,
		LossTimeout:      siteLossTimeout,
		ViewTTL:          siteViewTTL,
		RecoveryDelay:    siteRecoveryDelay,
		MaxRecoveryDelay: maxSiteRecoveryDelay,
		LossWindow:       siteLossWindow,
		WarmUpWindow:     warmUpWindow,
	}
}

func recoveryRampConfig(instance, incarnation uint64, budgetMultiple float64) *multisite.RampConfig {
	return &multisite.RampConfig{
		InstanceID:     instance,
		Incarnation:    incarnation,
		LoanTTL:        rampLoanTTL,
		LoadTTL:        siteViewTTL,
		BudgetMultiple: budgetMultiple,
	}
}

// siteMonitor logs changes of the sites' health and, on the leader, proposes which sites are lost and recovered. Only
// the goroutine of run uses it.
type siteMonitor struct {
	member *Member
	states map[string]string // last logged state by site
}

func newSiteMonitor(m *Member) *siteMonitor {
	return &siteMonitor{member: m, states: map[string]string{}}
}

// run logs and proposes changes of the sites' health until ctx ends.
func (s *siteMonitor) run(ctx context.Context) {
	runEvery(ctx, siteMonitorInterval, func() {
		s.logChanges(s.member.instance.SiteStates())
		change, ok := s.member.instance.ProposeSiteChange()
		if !ok || !s.isProposer(ctx) {
			return
		}
		if err := s.member.proposeSiteChange(ctx, change); err != nil {
			s.member.logger.Warn("site change proposal failed",
				slog.String(logging.KeySite, change.Site), logging.Error(err))
		}
	})
}

// isProposer reports whether this member proposes changes of sites. Only the leader does. Proposals by several members
// would do no harm, because a second proposal of the same change is rejected.
func (s *siteMonitor) isProposer(ctx context.Context) bool {
	status, err := s.member.node.Status(ctx)
	return err == nil && status.Leader == status.ID
}

// logChanges logs the sites whose state has changed since the last call. A new site is not logged.
func (s *siteMonitor) logChanges(states map[string]string) {
	previous := s.states
	s.states = states
	for name, state := range states {
		if before, known := previous[name]; known && before != state {
			s.member.logger.Info("site state changed", slog.String(logging.KeySite, name),
				slog.String("state", state), slog.String("previous_state", before))
		}
	}
}

// proposeSiteChange proposes that a site is lost, or owns some or all of its keys again.
func (m *Member) proposeSiteChange(ctx context.Context, site multisite.SiteChange) error {
	ctx, cancel := context.WithTimeout(ctx, siteProposalTimeout)
	defer cancel()
	state, err := m.node.AppliedState(ctx)
	if err != nil {
		return err
	}
	change := siteChange(site)
	proposal := &clusterconfig.Proposal{
		ID:           siteProposalID(site, state),
		Author:       memberAuthor(m.cfg.MemberID),
		Reason:       site.Reason,
		ProposedAtMs: time.Now().UnixMilli(),
		Changes:      []clusterconfig.Change{change},
	}
	if err := state.Check(proposal); err != nil {
		return err
	}
	outcome, err := m.node.Propose(ctx, proposal)
	if err == nil && outcome.IsApplied {
		m.logger.Info("site change agreed", slog.String(logging.KeySite, site.Site), slog.Bool("lost", site.IsLost),
			slog.Int("key_eighths", site.KeyEighths), slog.String(logging.KeyReason, site.Reason))
	}
	return err
}

// siteProposalID returns an ID that is the same for all members that propose a change at the same placement version, so
// that it is applied once.
func siteProposalID(site multisite.SiteChange, state *clusterconfig.State) string {
	const kind = clusterconfig.KindSite
	return fmt.Sprintf("%s-%s-%v-%d-%d", kind, site.Site, site.IsLost, site.KeyEighths, state.PlacementVersion())
}

// siteChange converts a change of a site's health to a change of the agreed configuration.
func siteChange(site multisite.SiteChange) clusterconfig.Change {
	if !site.IsLost && site.KeyEighths == 0 {
		return clusterconfig.Change{Op: clusterconfig.OpRemove, Kind: clusterconfig.KindLostSite, Name: site.Site}
	}
	lost := clusterconfig.LostSite{Reason: site.Reason, RecoveredEighths: site.KeyEighths}
	return clusterconfig.NewPutChange(clusterconfig.KindLostSite, site.Site, lost)
}

// memberAuthor is the author of a member's own proposals.
func memberAuthor(id uint64) string { return fmt.Sprint("member ", id) }
