package cluster

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mulleinmux/configstream"
	"mulleinmux/internal/configstreampb"
	"mulleinmux/internal/logging"
)

const (
	maxMissedHeartbeats = 5 // heartbeat intervals without a message after which the stream is closed
	maxInstallAttempts  = 2 // attempts to install a version that ends the process
	minRetryDelay       = 100 * time.Millisecond
	maxRetryDelay       = 3 * time.Second // short, so that all followers reconnect soon after the members are back
)

// StreamHandlers are the callbacks of a [StreamClient]. Persist, Check and Install are called one at a time by one
// goroutine and may block.
type StreamHandlers struct {
	// Persist returns once the state is synced to disk.
	Persist func(*configstream.DurableState) error
	// Check returns the problems because of which a version must not be put in force, if any.
	Check func(*configstream.Version) []configstream.Problem
	// Install puts a version in force.
	Install func(*configstream.Version) error
	// Confirm is called with the latest confirmations of the running version.
	Confirm func(VersionConfirmation)
}

// VersionConfirmation holds the times at which a quorum last confirmed that a follower's version and its key ownership
// were the newest. A zero time means that there was no confirmation since the version was put in force.
type VersionConfirmation struct {
	VersionAt   time.Time
	OwnershipAt time.Time
}

// StreamClient is a follower's client of the configuration stream, without an instance. It connects to one member at a
// time and carries out the actions of the state machine in package configstream.
type StreamClient struct {
	cfg       *FollowerConfig
	handlers  StreamHandlers
	logger    *slog.Logger
	startedAt time.Time

	jobs      chan configstream.FollowerAction // Persist, Check or Activate; at most one is in progress
	sendQueue chan any                         // configstream.Report, or a ping's sequence number

	mu          sync.Mutex
	follower    *configstream.Follower
	stream      *configstreampb.FollowerStream // nil if not connected
	member      uint64                         // member that serves the stream; 0 if not connected
	hasReceived bool                           // whether a message was received on this stream
}

// NewStreamClient returns the client of a follower with the state that its file holds. It does nothing before
// [StreamClient.Run].
func NewStreamClient(cfg *FollowerConfig, durable configstream.DurableState, handlers StreamHandlers,
	logger *slog.Logger) *StreamClient {
	c := &StreamClient{
		cfg:       cfg,
		handlers:  handlers,
		logger:    logger.With(slog.String(logging.KeyFollower, cfg.Name)),
		startedAt: time.Now(),
		jobs:      make(chan configstream.FollowerAction, 1),
		sendQueue: make(chan any, streamSendQueueSize),
	}
	follower, actions := configstream.NewFollower(configstream.FollowerConfig{
		Name:              cfg.Name,
		ProcessID:         rand.Uint64(),
		HeartbeatInterval: c.heartbeatInterval(),
		SilenceTimeout:    silenceTimeout(c.heartbeatInterval()),
		MaxAttempts:       maxInstallAttempts,
	}, durable)
	c.follower = follower
	c.dispatch(actions)
	return c
}

func (c *StreamClient) heartbeatInterval() time.Duration {
	return cmp.Or(c.cfg.HeartbeatInterval, streamHeartbeatInterval)
}

// silenceTimeout returns how long a follower waits for a message before it tries the next member: maxMissedHeartbeats
// intervals, but no longer than a member waits for a message of the follower.
func silenceTimeout(heartbeat time.Duration) time.Duration {
	return min(maxMissedHeartbeats*heartbeat, streamSilenceTimeout)
}

// Run receives the configuration until ctx ends, and returns once its goroutines have ended.
func (c *StreamClient) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { c.runJobs(ctx) })
	c.followMembers(ctx)
}

func (c *StreamClient) now() time.Duration { return time.Since(c.startedAt) }

// followerEvent passes an event to the state machine and returns the resulting actions.
type followerEvent func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction

// handle passes an event to the state machine and dispatches the resulting actions.
func (c *StreamClient) handle(event followerEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(event(c.follower, c.now()))
}

// dispatch executes or queues actions, without blocking. The caller holds the mutex.
func (c *StreamClient) dispatch(actions []configstream.FollowerAction) {
	for _, action := range actions {
		switch {
		case action.Send != nil:
			c.enqueue(*action.Send)
		case action.Ping != 0:
			c.enqueue(action.Ping)
		case action.CloseStream != "":
			c.abortStream(action.CloseStream)
		case action.Warning != "":
			c.logger.Warn("configuration stream warning", slog.String("warning", action.Warning))
		case action.Rejected != nil:
			c.logger.Warn("version rejected", slog.Any(logging.KeyVersion, action.Rejected.Ref),
				slog.Any(logging.KeyProblems, action.Rejected.Problems))
		default:
			c.jobs <- action // does not block: at most one is in progress
		}
	}
}

// enqueue queues a message. It aborts the stream if the queue is full because the member does not read. The caller
// holds the mutex.
func (c *StreamClient) enqueue(message any) {
	select {
	case c.sendQueue <- message:
	default:
		c.abortStream("the member does not read its messages")
	}
}

// abortStream aborts the current stream, if any. The caller holds the mutex.
func (c *StreamClient) abortStream(reason string) {
	if c.stream != nil {
		c.logger.Info("leaving member",
			slog.Uint64(logging.KeyMember, c.member), slog.String(logging.KeyReason, reason))
		c.stream.Abort()
	}
}

// runJobs persists, checks and installs versions, which may block, until ctx ends.
func (c *StreamClient) runJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-c.jobs:
			c.handle(c.runJob(job))
		}
	}
}

// runJob runs one job and returns the event of its completion.
func (c *StreamClient) runJob(job configstream.FollowerAction) followerEvent {
	switch {
	case job.Persist != nil:
		err := c.handlers.Persist(job.Persist)
		return func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction {
			return f.PersistCompleted(now, err)
		}
	case job.Check != nil:
		problems := c.handlers.Check(job.Check)
		return func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction {
			return f.CheckCompleted(now, problems)
		}
	case job.Activate != nil:
		err := c.handlers.Install(job.Activate)
		if err == nil {
			c.logger.Info("version installed", slog.Any(logging.KeyVersion, job.Activate.Ref))
		}
		return func(f *configstream.Follower, now time.Duration) []configstream.FollowerAction {
			return f.ActivationCompleted(now, err)
		}
	default:
		return func(*configstream.Follower, time.Duration) []configstream.FollowerAction { return nil }
	}
}

// followMembers runs a stream to one member after the other until ctx ends.
func (c *StreamClient) followMembers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	selector := configstream.NewMemberSelector(configstream.MemberSelectorConfig{
		Name:           c.cfg.Name,
		Members:        slices.Sorted(maps.Keys(c.cfg.MemberStreamAddrs)),
		InitialBackoff: minRetryDelay,
		MaxBackoff:     maxRetryDelay,
	}, rng)
	for ctx.Err() == nil {
		member := selector.Member()
		hasReceived, err := c.runStream(ctx, member)
		if ctx.Err() != nil {
			return
		}
		reason := configstreampb.EndReason(err)
		if reason == "" {
			reason = err.Error()
		}
		delay := selector.StreamEnded(hasReceived)
		c.logger.Warn("configuration stream ended",
			slog.Uint64(logging.KeyMember, member), slog.String(logging.KeyReason, reason),
			slog.Uint64("next_member", selector.Member()),
			slog.Duration("retry_delay", delay.Round(time.Millisecond)))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// confirm passes the latest confirmations of the running version to the handler.
func (c *StreamClient) confirm() {
	c.mu.Lock()
	versionAt, isVersionConfirmed := c.follower.ConfirmedAt()
	ownershipAt, isOwnershipConfirmed := c.follower.PlacementConfirmedAt()
	c.mu.Unlock()
	var confirmed VersionConfirmation
	if isVersionConfirmed {
		confirmed.VersionAt = c.startedAt.Add(versionAt)
	}
	if isOwnershipConfirmed {
		confirmed.OwnershipAt = c.startedAt.Add(ownershipAt)
	}
	c.handlers.Confirm(confirmed)
}

// Status returns the follower's view of itself, without IsServing.
func (c *StreamClient) Status() FollowerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := FollowerStatus{
		Name:           c.cfg.Name,
		Running:        c.follower.Running(),
		ConfirmedAgeMs: -1,
		Note:           c.follower.Warning(),
		Rejected:       slices.Clone(c.follower.Rejections()),
	}
	if c.hasReceived {
		status.MemberID = c.member
	}
	if at, isConfirmed := c.follower.ConfirmedAt(); isConfirmed {
		status.ConfirmedAgeMs = (c.now() - at).Milliseconds()
	}
	return status
}
