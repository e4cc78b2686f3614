package cluster

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"mulleinmux/configstream"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/raftnode"
)

// keyHeartbeatInterval is the heartbeat interval of followers that forward requests with idempotency keys. Each
// response to a heartbeat confirms the key ownership, and its lease (ownershipLeaseTTL) must not expire between two
// responses.
const keyHeartbeatInterval = 300 * time.Millisecond

// FollowerConfig configures a [Follower].
type FollowerConfig struct {
	Cluster             string
	Name                string // as in its certificate
	DataFile            string
	Credentials         raftnode.Credentials
	MemberStreamAddrs   map[uint64]string // by member ID
	DisableKeyOwnership bool              // requests with an idempotency key may go to any site
	HeartbeatInterval   time.Duration     // 0 means one second, or keyHeartbeatInterval with key ownership
}

// checkIdentity checks that the certificate identifies this follower.
func (c *FollowerConfig) checkIdentity() error {
	return checkCertificate(c.Credentials, raftnode.Identity{Cluster: c.Cluster, Follower: c.Name})
}

// setHeartbeatInterval replaces a zero interval by keyHeartbeatInterval if key ownership is enabled.
func (c *FollowerConfig) setHeartbeatInterval() {
	if !c.DisableKeyOwnership && c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = keyHeartbeatInterval
	}
}

// FollowerStatus is a follower's view of itself.
type FollowerStatus struct {
	Name           string                   `json:"name"`
	Running        *configstream.Ref        `json:"running,omitempty"`
	MemberID       uint64                   `json:"member,omitempty"` // that serves its stream; 0 if none
	ConfirmedAgeMs int64                    `json:"age_ms"`           // since Running was last confirmed; -1 if never
	IsServing      bool                     `json:"serves"`
	Note           string                   `json:"note,omitempty"`
	Rejected       []configstream.Rejection `json:"refused,omitempty"`
}

// Follower is a gateway instance that is not a member of the cluster and receives the agreed configuration.
type Follower struct {
	cfg            *FollowerConfig
	instanceConfig *gateway.Config
	instance       *gateway.Instance
	client         *StreamClient

	// Used only by the goroutine of the stream client that calls check and install.
	setups       setupBuilder
	checkedSetup gateway.Setup // setup of the version checked last
	hasRestored  bool          // whether the version to be installed first was in force before the process started
	placement    followerPlacement
}

// RunFollower runs a follower and its instance until ctx ends. It serves immediately with the version that was in force
// before the restart, without contacting a member, as long as the setting for stale configurations allows. started is
// called once the instance has started. The error of an unusable file wraps [ErrInvalidFollowerFile].
func RunFollower(ctx context.Context, cfg *FollowerConfig, instanceConfig *gateway.Config, logger *slog.Logger,
	started func(*Follower)) (err error) {
	if err := cfg.checkIdentity(); err != nil {
		return err
	}
	file, durable, err := openFollowerFile(cfg.DataFile, cfg.Cluster, cfg.Name)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.close()) }()
	if durable.Accepted == nil {
		logger.Info("waiting for a confirmed version",
			slog.String(logging.KeyFollower, cfg.Name), slog.String("file", cfg.DataFile))
	}
	if !cfg.DisableKeyOwnership {
		instanceConfig.Keys = keyOwnershipConfig(anyFollower, durable.StartCount)
	}
	if instanceConfig.Agreement == nil {
		instanceConfig.Agreement = &gateway.Agreement{}
	}
	if ctx.Err() != nil {
		return nil
	}
	serving, drain := context.WithCancel(context.Background())
	defer drain()
	instance, instanceEnded, err := startInstance(serving, instanceConfig, logger)
	if instance == nil {
		return err
	}
	cfg.setHeartbeatInterval()
	f := &Follower{cfg: cfg, instanceConfig: instanceConfig, instance: instance, hasRestored: durable.Accepted != nil}
	handlers := StreamHandlers{Persist: file.save, Check: f.check, Install: f.install, Confirm: f.confirm}
	f.client = NewStreamClient(cfg, durable, handlers, logger)
	receiving, stopReceiving := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stopReceiving()
	tasks.Go(func() { f.client.Run(receiving) })
	started(f)
	select {
	case err := <-instanceEnded:
		return err
	case <-ctx.Done():
	}
	drain()
	return <-instanceEnded
}

// check builds the setup of a version, and returns the problems that prevent serving with it.
func (f *Follower) check(version *configstream.Version) []configstream.Problem {
	state, err := version.State()
	if err == nil {
		f.checkedSetup, err = f.setups.build(state, f.instanceConfig.FullValidation)
	}
	if err != nil {
		return problemsOf(err)
	}
	return nil
}

// install puts a version in force at the instance.
func (f *Follower) install(version *configstream.Version) error {
	state, err := version.State()
	if err != nil {
		return err
	}
	if f.checkedSetup.Number != version.Number {
		if f.checkedSetup, err = f.setups.build(state, f.instanceConfig.FullValidation); err != nil {
			return err
		}
	}
	if err := f.instance.Install(f.checkedSetup); err != nil {
		return err
	}
	if f.instanceConfig.Keys != nil {
		ownership := keyOwnershipOf(state, []uint64{anyFollower, anyMember})
		ownership.epoch.Service = version.Epoch.Number
		isDirectSuccessor := f.placement.record(version)
		f.instance.InstallKeyOwners(ownership.epoch, isDirectSuccessor, gateway.AgreedVoters{})
	}
	f.confirmRestored()
	return nil
}

// confirmRestored treats the version that was in force before the process started as confirmed at the start of the
// process, so that it is served for as long as a stale configuration may be. Later versions need a quorum's
// confirmation.
func (f *Follower) confirmRestored() {
	if f.hasRestored {
		f.hasRestored = false
		f.instance.ConfirmVersion(f.client.startedAt)
	}
}

// confirm passes the confirmations of a quorum to the instance.
func (f *Follower) confirm(confirmed VersionConfirmation) {
	if !confirmed.VersionAt.IsZero() {
		f.instance.ConfirmVersion(confirmed.VersionAt)
	}
	if !confirmed.OwnershipAt.IsZero() && f.instanceConfig.Keys != nil {
		f.instance.ConfirmKeyOwners(confirmed.OwnershipAt)
	}
}

// problemsOf converts the error of a version that can't be served to problems. It parses the object and the field in
// texts such as "kind name: field: ...".
func problemsOf(err error) []configstream.Problem {
	problem := configstream.Problem{Text: err.Error()}
	for _, kind := range objectKinds {
		rest, ok := strings.CutPrefix(problem.Text, kind+" ")
		if !ok {
			continue
		}
		name, text, _ := strings.Cut(rest, ": ")
		problem = configstream.Problem{Object: kind + " " + name, Text: text}
		if field, text, ok := strings.Cut(text, ": "); ok && !strings.Contains(field, " ") {
			problem.Field, problem.Text = field, text
		}
		break
	}
	return []configstream.Problem{problem}
}

// Status returns the follower's view of itself.
func (f *Follower) Status() FollowerStatus {
	status := f.client.Status()
	_, status.IsServing = f.instance.Confirmation(time.Now())
	return status
}
