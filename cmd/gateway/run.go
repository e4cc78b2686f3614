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
	"mulleinmux/internal/reload"
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
	e.queueStderr()
	logger := logging.New(e.stderr)
	// An unhandled SIGHUP would end the process with requests open.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	switch {
	case f.Member != nil:
		defer ignoreReloads(reloads, logger)()
		return c.runMember(e, f, logger)
	case f.Follower != nil:
		defer ignoreReloads(reloads, logger)()
		return c.runFollower(e, f, logger)
	default:
		return c.runStandalone(e, f, reloads, logger)
	}
}

// ignoreReloads logs each signal to reloads, until stop is called: the members of a cluster agree on the configuration,
// so that an instance has no file to read again.
func ignoreReloads(reloads <-chan os.Signal, logger *slog.Logger) (stop func()) {
	stopping := make(chan struct{})
	var listener sync.WaitGroup
	listener.Go(func() {
		for {
			select {
			case <-reloads:
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
	e *environment, f *gatewayconfig.File, reloads <-chan os.Signal, logger *slog.Logger,
) error {
	cfg := &f.Config
	load := func() (compiledDescription, error) { return loadDescription(resolvePath(c.Config, f.Description), cfg) }
	first, err := load()
	if err != nil {
		return usageError{err}
	}
	description := reload.NewReader(load)
	ready, ended := make(chan *gateway.Instance, 1), make(chan error, 1)
	go func() {
		setup := cfg.Setup(1, first.table, first.check)
		ended <- gateway.Run(e.ctx, cfg, setup, logger, func(in *gateway.Instance) { ready <- in })
	}()
	var instance *gateway.Instance
	for version := uint64(1); ; {
		select {
		case err := <-ended:
			return err
		case instance = <-ready:
		case <-reloads:
			if instance != nil {
				description.Start()
			}
		case read := <-description.Results():
			description.Finish()
			if installDescription(instance, read, cfg, version+1, logger) {
				version++
			}
		}
	}
}

// compiledDescription is the table of a description and, for full validation, its checker.
type compiledDescription struct {
	table *routing.Table
	check gateway.Checker
}

// installDescription installs a description that was read again as a version. It reports whether it did, and logs the
// result.
func installDescription(in *gateway.Instance, read reload.Result[compiledDescription], cfg *gateway.Config,
	version uint64, logger *slog.Logger) bool {
	err := read.Err
	if err == nil {
		err = in.Install(cfg.Setup(version, read.Value.table, read.Value.check))
	}
	if err != nil {
		logger.Warn("reload failed", slog.Uint64(logging.KeyVersion, version-1), logging.Error(err))
		return false
	}
	logger.Info("description reloaded",
		slog.Uint64(logging.KeyVersion, version), slog.Int("operations", len(read.Value.table.Operations)))
	return true
}

// loadDescription reads and compiles the description.
func loadDescription(file string, cfg *gateway.Config) (compiled compiledDescription, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return compiled, fmt.Errorf("description: %w", err)
	}
	table, d, err := openapi.Compile(file, text, cfg.Options())
	if err != nil {
		return compiled, err
	}
	compiled.table = table
	if cfg.FullValidation {
		compiled.check = d.Checker()
	}
	return compiled, nil
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
