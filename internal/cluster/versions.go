package cluster

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/logging"
)

const (
	ticksPerConfirmation = 4 // between two reads that have a quorum confirm the version
	confirmationTimeout  = 2 * time.Second
	staleCheckInterval   = time.Second
	staleAge             = 2 * time.Second // of a confirmation, from which on it is logged
	staleLogInterval     = 5 * time.Second
)

// confirmation is a state that a quorum has confirmed to be the newest as of a time.
type confirmation struct {
	askedAt   time.Time
	siteEpoch uint64 // of key ownership
	state     *clusterconfig.State
}

// applyVersions puts each agreed version in force at the instance and passes confirmations on, until ctx ends.
func (m *Member) applyVersions(ctx context.Context) {
	confirmations := make(chan confirmation)
	var confirmer sync.WaitGroup
	defer confirmer.Wait()
	confirmer.Go(func() { m.confirmVersions(ctx, confirmations) })
	staleCheck := time.NewTicker(staleCheckInterval)
	defer staleCheck.Stop()
	lastStaleLog := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-confirmations:
			m.applyConfirmation(ctx, c)
		case <-m.stateChanged:
			if state, err := m.node.AppliedState(ctx); err == nil {
				m.followers.publish(state)
				m.install(state)
				m.applyKeyOwnership(ctx)
			}
		case now := <-staleCheck.C:
			age, isServing := m.instance.Confirmation(now)
			if age > staleAge && now.Sub(lastStaleLog) > staleLogInterval {
				lastStaleLog = now
				m.logger.Warn("version not confirmed", slog.Uint64(logging.KeyVersion, m.instance.Version()),
					slog.Duration("age", age.Round(100*time.Millisecond)), slog.Bool("serving", isServing))
			}
		}
	}
}

// confirmVersions regularly has a quorum confirm the newest state, until ctx or the Raft node ends.
func (m *Member) confirmVersions(ctx context.Context, confirmations chan<- confirmation) {
	for ctx.Err() == nil {
		c := confirmation{askedAt: time.Now()}
		readCtx, cancel := context.WithTimeout(ctx, confirmationTimeout)
		err := m.node.LinearizableRead(readCtx, func(s *clusterconfig.State) {
			c.state = s.Freeze()
			c.siteEpoch = s.PlacementVersion()
		})
		cancel()
		if err == nil {
			select {
			case confirmations <- c:
			case <-ctx.Done():
			}
		}
		select {
		case <-ctx.Done():
		case <-m.node.Done():
			return
		case <-time.After(ticksPerConfirmation * m.cfg.tickInterval()):
		}
	}
}

// applyConfirmation passes the confirmation of a quorum to the followers and the instance.
func (m *Member) applyConfirmation(ctx context.Context, c confirmation) {
	m.followers.confirm(c)
	if !m.install(c.state) {
		return
	}
	m.instance.ConfirmVersion(c.askedAt)
	if m.instanceConfig.Keys != nil && m.applyKeyOwnership(ctx) >= c.siteEpoch {
		m.instance.ConfirmKeyOwners(c.askedAt)
	}
}

// install puts a version in force at the instance, unless it or a newer one is. It returns false if the instance cannot
// serve with it.
func (m *Member) install(state *clusterconfig.State) bool {
	inForce := m.instance.Version()
	if state.Version() < inForce || state.Version() == inForce && m.hasInstalled {
		return true
	}
	setup, err := m.setups.build(state, m.instanceConfig.FullValidation)
	if err == nil {
		m.updateMemberAddrs(state)
		err = m.instance.Install(setup)
	}
	if changed := m.setInstallError(err); err != nil {
		if changed {
			m.logger.Warn("version not installed", slog.Uint64(logging.KeyVersion, state.Version()), logging.Error(err))
		}
		return false
	}
	m.hasInstalled = true
	return true
}

// setInstallError records why the agreed version is not in force, and reports whether that has changed.
func (m *Member) setInstallError(err error) (changed bool) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.installError != text
	m.installError = text
	return changed
}

// updateMemberAddrs sets the agreed addresses of the members.
func (m *Member) updateMemberAddrs(state *clusterconfig.State) {
	agreed := clusterconfig.ObjectsByName[clusterconfig.Member](state, clusterconfig.KindMember)
	if len(agreed) == 0 {
		return
	}
	m.mu.Lock()
	for name, member := range agreed {
		if id, err := strconv.ParseUint(name, 10, 64); err == nil {
			m.members[id] = member
		}
	}
	addrs := raftAddrs(m.members)
	m.mu.Unlock()
	m.node.SetPeers(addrs)
}
