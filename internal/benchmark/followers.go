package benchmark

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/cluster"
	"mulleinmux/internal/raftnode"
)

// FollowersResult holds what followers cost and how long they take to install a change.
type FollowersResult struct {
	Full        bool    // members send full versions only, no deltas
	Followers   int     // number of followers
	JoinS       float64 // seconds until all followers have installed the first version
	P50Ms       float64 // median time from commit to installation of a plan change, over all followers and changes
	P99Ms       float64 // 99th percentile of the same times
	AllMs       float64 // time from commit until the last follower has installed the change, median over changes
	MemoryKB    float64 // memory growth of the first member per follower that it serves
	MemberCores float64 // processors used by the first member at ten changes a second
	BackS       float64 // seconds from the kill of the first member until all followers have the next version
}

// stubFollower is a follower without an instance: it accepts every version and persists nothing.
type stubFollower struct {
	stream *cluster.StreamClient

	mu          sync.Mutex
	installedAt map[uint64]time.Time // by version number
}

// FollowersLoad are the parameters of MeasureFollowers.
type FollowersLoad struct {
	Followers    int
	Changes      int  // number of configuration changes, made one after the other
	FullVersions bool // members send full versions only, no deltas
}

// MeasureFollowers measures a cluster with followers, all of which run in this process.
func MeasureFollowers(ctx context.Context, opt Options, load FollowersLoad) (r FollowersResult, err error) {
	r = FollowersResult{Full: load.FullVersions, Followers: load.Followers}
	service := followersGetDeltas
	if load.FullVersions {
		service = followersGetFullVersions
	}
	c, err := startCluster(ctx, opt, service)
	if err != nil {
		return r, err
	}
	defer func() {
		if e := c.stop(); err == nil {
			err = e
		}
	}()
	followersCtx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	followers, err := r.join(ctx, c, load.Followers, func(f *stubFollower) {
		running.Go(func() { f.stream.Run(followersCtx) })
	})
	if err != nil {
		return r, err
	}
	if err := r.measureChanges(ctx, c, followers, load.Changes); err != nil {
		return r, err
	}
	if r.MemberCores, err = measureMemberCores(ctx, opt, c); err != nil {
		return r, err
	}
	r.BackS, err = measureFailover(ctx, c, followers, load.Changes)
	return r, err
}

// join starts followers. It sets r.JoinS, the time until all have installed the first version, and r.MemoryKB, the
// memory that each costs the first member.
func (r *FollowersResult) join(
	ctx context.Context, c *benchCluster, count int, start func(*stubFollower),
) ([]*stubFollower, error) {
	version, err := proposeFollowers(ctx, c, count)
	if err != nil {
		return nil, err
	}
	before, err := residentKB(c.members[0])
	if err != nil {
		return nil, err
	}
	followers := make([]*stubFollower, count)
	began := time.Now()
	for i := range followers {
		if followers[i], err = newStubFollower(c, followerName(i)); err != nil {
			return nil, err
		}
		start(followers[i])
	}
	if _, err := awaitInstalled(ctx, followers, version, time.Now()); err != nil {
		return nil, err
	}
	r.JoinS = time.Since(began).Seconds()
	after, err := residentKB(c.members[0])
	if err != nil {
		return nil, err
	}
	r.MemoryKB = float64(after-before) / float64(max(countFirstMemberFollowers(followers), 1))
	return followers, nil
}

// proposeFollowers adds n followers to the configuration and returns the version. Each has a name of its own, because
// members would take followers that share a certificate for one follower that runs more than once.
func proposeFollowers(ctx context.Context, c *benchCluster, n int) (version uint64, err error) {
	p := &clusterconfig.Proposal{ID: "followers"}
	for i := range n {
		change := clusterconfig.NewPutChange(clusterconfig.KindFollower, followerName(i), clusterconfig.Follower{})
		p.Changes = append(p.Changes, change)
	}
	outcome, err := c.client.Propose(ctx, p)
	return outcome.Version, err
}

// newStubFollower returns a follower with a certificate of its own. Its stream has not been started.
func newStubFollower(c *benchCluster, name string) (*stubFollower, error) {
	if err := c.authority.WriteFollower(c.dir, name); err != nil {
		return nil, err
	}
	creds, err := raftnode.LoadCredentialFiles(c.dir, raftnode.FollowerFilePrefix(name))
	if err != nil {
		return nil, err
	}
	f := &stubFollower{installedAt: map[uint64]time.Time{}}
	cfg := &cluster.FollowerConfig{Cluster: clusterName, Name: name, Credentials: creds, MemberStreamAddrs: c.streams}
	handlers := cluster.StreamHandlers{
		Persist: func(*configstream.DurableState) error { return nil },
		Check:   func(*configstream.Version) []configstream.Problem { return nil },
		Install: f.install,
		Confirm: func(cluster.VersionConfirmation) {},
	}
	disk := configstream.DurableState{StartCount: 1}
	f.stream = cluster.NewStreamClient(cfg, disk, handlers, slog.New(slog.DiscardHandler))
	return f, nil
}

func (f *stubFollower) install(v *configstream.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.installedAt[v.Number] = time.Now()
	return nil
}

// countFirstMemberFollowers returns the number of followers that the first member serves.
func countFirstMemberFollowers(followers []*stubFollower) (count int) {
	for _, f := range followers {
		if f.stream.Status().MemberID == 1 {
			count++
		}
	}
	return count
}

// measureChanges changes a plan several times and sets the percentiles of the followers' installation delays.
func (r *FollowersResult) measureChanges(
	ctx context.Context, c *benchCluster, followers []*stubFollower, changes int,
) error {
	var delays, lastDelays []float64
	for i := range changes {
		outcome, err := c.client.Propose(ctx, planChange(i))
		agreed := time.Now()
		if err != nil {
			return err
		}
		took, err := awaitInstalled(ctx, followers, outcome.Version, agreed)
		if err != nil {
			return err
		}
		delays, lastDelays = append(delays, took...), append(lastDelays, took[len(took)-1])
	}
	r.P50Ms, r.P99Ms, r.AllMs = quantile(delays, 0.5), quantile(delays, 0.99), quantile(lastDelays, 0.5)
	return nil
}

// measureFailover kills the first member, so that its followers reconnect to the others, and returns the seconds until
// all followers have installed the next version.
func measureFailover(
	ctx context.Context, c *benchCluster, followers []*stubFollower, changes int,
) (seconds float64, err error) {
	if err := c.members[0].cmd.Process.Kill(); err != nil {
		return 0, err
	}
	killed := time.Now()
	var outcome clusterconfig.Outcome
	for outcome.Version == 0 {
		if outcome, err = c.client.Propose(ctx, planChange(changes)); err != nil && ctx.Err() != nil {
			return 0, err
		}
	}
	if _, err := awaitInstalled(ctx, followers, outcome.Version, killed); err != nil {
		return 0, err
	}
	return time.Since(killed).Seconds(), nil
}

func followerName(i int) string { return fmt.Sprintf("follower-%04d", i) }

// planChange returns a proposal that sets the priority factor of a plan to the i-th value.
func planChange(i int) *clusterconfig.Proposal {
	plan := clusterconfig.Plan{
		Rate:           1e5,
		Burst:          1e5,
		HardLimitRate:  2e5,
		HardLimitBurst: 2e5,
		PriorityFactor: 1 + float64(i+1)/1000,
	}
	return &clusterconfig.Proposal{
		ID:      fmt.Sprint("plan-", time.Now().UnixNano()),
		Changes: []clusterconfig.Change{clusterconfig.NewPutChange(clusterconfig.KindPlan, "kubwa", plan)},
	}
}

// measureMemberCores returns how many processors the first member uses at ten changes a second.
func measureMemberCores(ctx context.Context, opt Options, c *benchCluster) (float64, error) {
	before, err := c.members[0].queryUsage()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	changing, stop := context.WithTimeout(ctx, opt.Duration)
	defer stop()
	changeRepeatedly(changing, c.client, 100*time.Millisecond)
	after, err := c.members[0].queryUsage()
	return (after.cpu - before.cpu).Seconds() / time.Since(began).Seconds(), err
}

// awaitInstalled waits until all followers have installed a version or a later one, and returns the delays from a time
// until then in milliseconds, sorted.
func awaitInstalled(
	ctx context.Context, followers []*stubFollower, version uint64, from time.Time) (ms []float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, follower := range followers {
		for {
			took, ok := follower.installDelay(version, from)
			if ok {
				ms = append(ms, took)
				break
			}
			select {
			case <-ctx.Done():
				status := follower.stream.Status()
				return nil, fmt.Errorf("benchmark: follower %s did not install version %d: %+v", status.Name, version, status)
			case <-time.After(time.Millisecond):
			}
		}
	}
	slices.Sort(ms)
	return ms, nil
}

// installDelay returns the milliseconds from a time until the follower installed a version or a later one, whichever
// came first. ok is false if it has installed neither.
func (f *stubFollower) installDelay(version uint64, from time.Time) (ms float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for v, at := range f.installedAt {
		if d := max(at.Sub(from).Seconds()*1000, 0); v >= version && (!ok || d < ms) {
			ms, ok = d, true
		}
	}
	return ms, ok
}

// residentKB returns the resident memory of a process in KB.
func residentKB(p *process) (int, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			return strconv.Atoi(f[1])
		}
	}
	return 0, fmt.Errorf("benchmark: status of process %d has no VmRSS line", p.cmd.Process.Pid)
}
