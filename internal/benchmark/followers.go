package benchmark

import (
	"context"
	"fmt"
	"io"
	"log"
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

// FollowersResult is what followers cost and how soon they have a change.
type FollowersResult struct {
	Full        bool    // by whole versions alone
	Followers   int     //
	JoinS       float64 // until all had the first version
	P50Ms       float64 // from agreed to in force, over all followers and changes of one plan
	P99Ms       float64 //
	AllMs       float64 // until the last has it: the median of the changes
	MemoryKB    float64 // of the first member, for each follower that it serves
	MemberCores float64 // of the first member at ten changes a second
	BackS       float64 // after the first member was killed, until all its followers had the next version
}

// quiet is a follower without an instance: it takes every version and keeps it in memory.
type quiet struct {
	feed *cluster.StreamClient
	mu   sync.Mutex
	at   map[uint64]time.Time // by version, when it was in force
}

// Followers measures a cluster with so many followers, which all run in this process.
func Followers(ctx context.Context, opt Options, n, changes int, full bool) (r FollowersResult, err error) {
	r = FollowersResult{Full: full, Followers: n}
	c, err := startCluster(ctx, opt, true, full)
	if err != nil {
		return r, err
	}
	defer func() {
		if e := c.end(); err == nil {
			err = e
		}
	}()
	// One certificate for all would make twins of them: each has its own name.
	p := &clusterconfig.Proposal{ID: "followers"}
	for i := range n {
		p.Changes = append(p.Changes, clusterconfig.NewPutChange("follower", followerName(i), clusterconfig.Follower{}))
	}
	o, err := c.client.Propose(ctx, p)
	if err != nil {
		return r, err
	}
	before, err := resident(c.members[0])
	if err != nil {
		return r, err
	}
	life, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	qs := make([]*quiet, n)
	began := time.Now()
	for i := range qs {
		name := followerName(i)
		if err := c.auth.WriteFollower(c.dir, name); err != nil {
			return r, err
		}
		creds, err := raftnode.LoadCredentialFiles(c.dir, raftnode.FollowerFilePrefix(name))
		if err != nil {
			return r, err
		}
		q := &quiet{at: map[uint64]time.Time{}}
		q.feed = cluster.NewStreamClient(&cluster.FollowerConfig{Cluster: "bench", Name: name, Credentials: creds, MemberStreamAddrs: c.streams}, configstream.DurableState{StartCount: 1}, cluster.StreamHandlers{
			Persist: func(*configstream.DurableState) error { return nil },
			Check:   func(*configstream.Version) []configstream.Problem { return nil },
			Install: func(v *configstream.Version) error {
				q.mu.Lock()
				q.at[v.Number] = time.Now()
				q.mu.Unlock()
				return nil
			},
			Confirm: func(time.Time, time.Time, bool, bool) {},
		}, log.New(io.Discard, "", 0))
		qs[i] = q
		all.Go(func() { q.feed.Run(life) })
	}
	if _, err := awaitAll(ctx, qs, o.Version, time.Now()); err != nil {
		return r, err
	}
	r.JoinS = time.Since(began).Seconds()
	after, err := resident(c.members[0])
	if err != nil {
		return r, err
	}
	mine := 0
	for _, q := range qs {
		if q.feed.Status().MemberID == 1 {
			mine++
		}
	}
	r.MemoryKB = float64(after-before) / float64(max(mine, 1))
	var each, last []float64
	for i := range changes {
		o, err := c.client.Propose(ctx, onePlan(i))
		agreed := time.Now()
		if err != nil {
			return r, err
		}
		took, err := awaitAll(ctx, qs, o.Version, agreed)
		if err != nil {
			return r, err
		}
		each, last = append(each, took...), append(last, took[len(took)-1])
	}
	r.P50Ms, r.P99Ms, r.AllMs = quantile(each, 0.5), quantile(each, 0.99), quantile(last, 0.5)
	if r.MemberCores, err = coresAtTen(ctx, opt, c); err != nil {
		return r, err
	}
	// The first member is killed: its followers go to the others.
	if err := c.members[0].cmd.Process.Kill(); err != nil {
		return r, err
	}
	killed := time.Now()
	for o.Version = 0; o.Version == 0; {
		if o, err = c.client.Propose(ctx, onePlan(changes)); err != nil && ctx.Err() != nil {
			return r, err
		}
	}
	if _, err := awaitAll(ctx, qs, o.Version, killed); err != nil {
		return r, err
	}
	r.BackS = time.Since(killed).Seconds()
	return r, nil
}

func followerName(i int) string { return fmt.Sprintf("follower-%04d", i) }

func onePlan(i int) *clusterconfig.Proposal {
	return &clusterconfig.Proposal{ID: fmt.Sprint("plan-", time.Now().UnixNano()), Changes: []clusterconfig.Change{
		clusterconfig.NewPutChange("plan", "kubwa", clusterconfig.Plan{Rate: 1e5, Burst: 1e5, HardLimitRate: 2e5, HardLimitBurst: 2e5, PriorityFactor: 1 + float64(i+1)/1000})}}
}

// coresAtTen is the processors that the first member takes at ten changes a second.
func coresAtTen(ctx context.Context, opt Options, c *benchCluster) (float64, error) {
	cpu, _, err := c.members[0].used()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	changing, stop := context.WithTimeout(ctx, opt.For)
	defer stop()
	change(changing, c.client, 100*time.Millisecond)
	more, _, err := c.members[0].used()
	return (more - cpu).Seconds() / time.Since(began).Seconds(), err
}

// awaitAll waits until a version, or a later one, is in force at all followers, and returns how long each took, sorted.
func awaitAll(ctx context.Context, qs []*quiet, version uint64, from time.Time) (ms []float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for _, q := range qs {
		for {
			took, ok := q.took(version, from)
			if ok {
				ms = append(ms, took)
				break
			}
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("%s does not have version %d: %+v", q.feed.Status().Name, version, q.feed.Status())
			case <-time.After(time.Millisecond):
			}
		}
	}
	slices.Sort(ms)
	return ms, nil
}

// took is the time until a version, or a later one, was in force.
func (q *quiet) took(version uint64, from time.Time) (ms float64, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for v, at := range q.at {
		if d := max(at.Sub(from).Seconds()*1000, 0); v >= version && (!ok || d < ms) {
			ms, ok = d, true
		}
	}
	return ms, ok
}

// resident is the memory of a process, in KB.
func resident(p *process) (int, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			return strconv.Atoi(f[1])
		}
	}
	return 0, fmt.Errorf("no resident memory in the status of process %d", p.cmd.Process.Pid)
}
