package cluster

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/logging"
)

const (
	ticksPerConfirmation = 4               // Raft ticks between two reads by which a quorum confirms the version
	confirmationTimeout  = 2 * time.Second // timeout of each of these reads
	staleCheckInterval   = time.Second
	staleAge             = 2 * time.Second // age of a confirmation beyond which it is logged
	staleLogInterval     = 5 * time.Second
	staleAgePrecision    = 100 * time.Millisecond // to which logged ages are rounded
)

// confirmation is a state that a quorum has confirmed to be the newest as of requestedAt.
type confirmation struct {
	requestedAt    time.Time
	ownershipEpoch uint64
	state          *clusterconfig.State
}

// versionInstaller puts the agreed versions in force at a member's instance and passes the confirmations of a quorum to
// it. Only the goroutine of run uses it.
type versionInstaller struct {
	member       *Member
	setups       setupBuilder
	hasInstalled bool     // whether a version was put in force since the start
	staleLog     staleLog // limits the log messages about unconfirmed versions
}

func newVersionInstaller(m *Member) *versionInstaller {
	return &versionInstaller{member: m, staleLog: newStaleLog(time.Now())}
}

// run puts each agreed version in force at the instance and passes the confirmations to it, until ctx ends.
func (v *versionInstaller) run(ctx context.Context) {
	m := v.member
	confirmations := make(chan confirmation)
	var confirmer sync.WaitGroup
	defer confirmer.Wait()
	confirmer.Go(func() { m.confirmVersions(ctx, confirmations) })
	staleCheck := time.NewTicker(staleCheckInterval)
	defer staleCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-confirmations:
			v.confirm(ctx, c)
		case <-m.stateChanged:
			if state, err := m.node.AppliedState(ctx); err == nil {
				m.followers.publish(state)
				v.install(state)
				m.applyKeyOwnership(ctx)
			}
		case now := <-staleCheck.C:
			age, isServing := m.instance.Confirmation(now)
			age = v.staleLog.unconfirmedFor(age, isServing, now)
			if v.staleLog.isDue(age, now) {
				m.logger.Warn("version not confirmed", slog.Uint64(logging.KeyVersion, m.instance.Version()),
					slog.Duration("age", age.Round(staleAgePrecision)), slog.Bool("serving", isServing))
			}
		}
	}
}

// staleLog decides when a member logs that its version is not confirmed.
type staleLog struct {
	startedAt time.Time
	loggedAt  time.Time // time of the last log message; initially the start
}

func newStaleLog(start time.Time) staleLog { return staleLog{startedAt: start, loggedAt: start} }

// unconfirmedFor returns how long the version has not been confirmed: the age of its confirmation, or the time since
// the start if it has none. An instance without a confirmation reports an age of 0 and does not serve.
func (l *staleLog) unconfirmedFor(age time.Duration, isServing bool, now time.Time) time.Duration {
	if age == 0 && !isServing {
		return now.Sub(l.startedAt)
	}
	return age
}

// isDue reports whether a confirmation of this age is to be logged now, and if so records the time. Ages above staleAge
// are logged once per staleLogInterval.
func (l *staleLog) isDue(age time.Duration, now time.Time) bool {
	if age <= staleAge || now.Sub(l.loggedAt) <= staleLogInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// confirm passes the confirmation of a quorum to the followers and the instance. The version is confirmed only if it
// or a newer one is in force, and the key owners only if their epoch is that of the confirmed state or a later one.
func (v *versionInstaller) confirm(ctx context.Context, c confirmation) {
	m := v.member
	m.followers.confirm(c)
	if !v.install(c.state) {
		return
	}
	m.instance.ConfirmVersion(c.requestedAt)
	if m.instanceConfig.Keys != nil && m.applyKeyOwnership(ctx) >= c.ownershipEpoch {
		m.instance.ConfirmKeyOwners(c.requestedAt)
	}
}

// needsInstall reports whether a version has to be put in force, which is the case unless it or a newer one is in
// force. The first version is put in force even if it is empty, so that the instance's responses say why it does not
// serve.
func (v *versionInstaller) needsInstall(version, inForce uint64) bool {
	return version > inForce || version == inForce && !v.hasInstalled
}

// install puts a version in force at the instance if that is necessary. It returns false if the instance cannot serve
// with it. The previous version then stays in force, and the reason is logged if it has changed.
func (v *versionInstaller) install(state *clusterconfig.State) bool {
	m := v.member
	if !v.needsInstall(state.Version(), m.instance.Version()) {
		return true
	}
	setup, err := v.setups.build(state, m.instanceConfig.FullValidation)
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
	v.hasInstalled = true
	return true
}

// confirmVersions regularly reads the newest state, as confirmed by a quorum, until ctx or the Raft node ends.
func (m *Member) confirmVersions(ctx context.Context, confirmations chan<- confirmation) {
	for ctx.Err() == nil {
		c := confirmation{requestedAt: time.Now()}
		readCtx, cancel := context.WithTimeout(ctx, confirmationTimeout)
		err := m.node.LinearizableRead(readCtx, func(s *clusterconfig.State) {
			c.state = s.Freeze()
			c.ownershipEpoch = s.PlacementVersion()
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
