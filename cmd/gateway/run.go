package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"mulleinmux/internal/cluster"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/gatewayconfig"
	"mulleinmux/internal/logging"
	"mulleinmux/internal/openapi"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/scenario"
	"mulleinmux/routing"
)

// runCmd runs one instance.
type runCmd struct {
	Config string `help:"Configuration file of the instance." required:"" type:"path"`
	Chaos  uint64 `help:"Seed of the injected faults of the network between members and of the disk, for gateway lab." hidden:""`
}

func (c *runCmd) Run(e *environment) (err error) {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return usageError{fmt.Errorf("--config: %w", err)}
	}
	f, err := gatewayconfig.Parse(c.Config, text)
	if err != nil {
		return usageError{err}
	}
	if f.AccessLog != "" {
		out, openErr := c.openLog("access_log", f.AccessLog)
		if openErr != nil {
			return openErr
		}
		defer out.Close()
		access := gateway.NewAccessLog(out)
		defer func() { err = errors.Join(err, access.Close()) }()
		f.Config.OnAnswer = access.Record
	}
	if f.TraceLog != "" {
		out, openErr := c.openLog("trace_log", f.TraceLog)
		if openErr != nil {
			return openErr
		}
		defer out.Close()
		traces := gateway.NewTraceLog(out)
		defer func() { err = errors.Join(err, traces.Close()) }()
		f.Config.OnTrace = traces.Record
	}
	logger := logging.New(e.stderr)
	// An unhandled SIGHUP would end the process with requests open.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	switch {
	case f.Member != nil:
		defer ignoreReloads(reload, logger)()
		return c.runMember(e, f, logger)
	case f.Follower != nil:
		defer ignoreReloads(reload, logger)()
		return c.runFollower(e, f, logger)
	default:
		return c.runStandalone(e, f, reload, logger)
	}
}

// ignoreReloads logs each signal to reload, until stop is called: the members of a cluster agree on the configuration,
// so that an instance has no file to read again.
func ignoreReloads(reload <-chan os.Signal, logger *slog.Logger) (stop func()) {
	stopping := make(chan struct{})
	var listener sync.WaitGroup
	listener.Go(func() {
		for {
			select {
			case <-reload:
				logger.Warn("reload ignored",
					slog.String("hint", "the configuration is agreed on: change it with gateway config apply"))
			case <-stopping:
				return
			}
		}
	})
	return func() {
		close(stopping)
		listener.Wait()
	}
}

// openLog opens for appending the log that a field of the instance's file names.
func (c *runCmd) openLog(field, name string) (*os.File, error) {
	out, err := os.OpenFile(resolvePath(c.Config, name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", field, err)}
	}
	return out, nil
}

// runStandalone runs an instance without a cluster. On SIGHUP it reads its description again.
func (c *runCmd) runStandalone(
	e *environment, f *gatewayconfig.File, reload <-chan os.Signal, logger *slog.Logger,
) error {
	cfg := &f.Config
	description := resolvePath(c.Config, f.Description)
	table, check, err := loadDescription(description, cfg)
	if err != nil {
		return usageError{err}
	}
	ready, ended := make(chan *gateway.Instance, 1), make(chan error, 1)
	go func() {
		setup := cfg.Setup(1, table, check)
		ended <- gateway.Run(e.ctx, cfg, setup, logger, func(in *gateway.Instance) { ready <- in })
	}()
	var instance *gateway.Instance
	for version := uint64(1); ; {
		select {
		case err := <-ended:
			return err
		case instance = <-ready:
		case <-reload:
			if instance == nil {
				continue
			}
			operationCount, err := reloadDescription(instance, description, cfg, version+1)
			if err != nil {
				logger.Warn("reload failed", slog.Uint64(logging.KeyVersion, version), logging.Error(err))
				continue
			}
			version++
			logger.Info("description reloaded",
				slog.Uint64(logging.KeyVersion, version), slog.Int("operations", operationCount))
		}
	}
}

// reloadDescription reads the description again and installs it as a version. It returns the number of operations.
func reloadDescription(in *gateway.Instance, file string, cfg *gateway.Config, version uint64) (int, error) {
	table, check, err := loadDescription(file, cfg)
	if err != nil {
		return 0, err
	}
	if err := in.Install(cfg.Setup(version, table, check)); err != nil {
		return 0, err
	}
	return len(table.Operations), nil
}

// loadDescription reads and compiles the description.
func loadDescription(file string, cfg *gateway.Config) (*routing.Table, gateway.Checker, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("description: %w", err)
	}
	table, d, err := openapi.Compile(file, text, cfg.Options())
	if err != nil {
		return nil, nil, err
	}
	if !cfg.FullValidation {
		return table, nil, nil
	}
	return table, d.Checker(), nil
}

// runMember runs an instance as a member of a cluster.
func (c *runCmd) runMember(e *environment, f *gatewayconfig.File, logger *slog.Logger) error {
	cfg := memberConfig(c.Config, f)
	creds, err := raftnode.LoadMemberCredentials(resolvePath(c.Config, f.Member.CertDir), cfg.MemberID)
	if err != nil {
		return usageError{fmt.Errorf("cluster.certs: %w", err)}
	}
	cfg.Credentials = creds
	if c.Chaos != 0 {
		scenario.Chaos(cfg, c.Chaos)
	}
	err = cluster.RunMember(e.ctx, cfg, &f.Config, logger, func(*cluster.Member) {})
	if errors.Is(err, cluster.ErrNotInitialized) || errors.Is(err, raftnode.ErrForeignFile) ||
		errors.Is(err, raftnode.ErrCorruptFile) || errors.Is(err, raftnode.ErrRestoredFile) {
		return usageError{err}
	}
	return err
}

// runFollower runs an instance that follows the configuration stream of a cluster's members.
func (c *runCmd) runFollower(e *environment, f *gatewayconfig.File, logger *slog.Logger) error {
	follower := f.Follower
	creds, err := raftnode.LoadCredentialFiles(resolvePath(c.Config, follower.CertDir),
		raftnode.FollowerFilePrefix(follower.Name))
	if err != nil {
		return usageError{fmt.Errorf("follow.certs: %w (made by gateway certs --followers %s)", err, follower.Name)}
	}
	cfg := &cluster.FollowerConfig{
		Cluster:             follower.Cluster,
		Name:                follower.Name,
		DataFile:            resolvePath(c.Config, follower.DataFile),
		Credentials:         creds,
		MemberStreamAddrs:   follower.MemberStreamAddrs,
		DisableKeyOwnership: follower.DisableKeyOwnership,
	}
	err = cluster.RunFollower(e.ctx, cfg, &f.Config, logger, func(*cluster.Follower) {})
	if errors.Is(err, cluster.ErrInvalidFollowerFile) {
		return usageError{err}
	}
	return err
}
