package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/raftnode"
)

// fullStorage is a storage whose synced writes fail with ENOSPC while isFull is set.
type fullStorage struct {
	raftnode.Storage
	isFull *atomic.Bool
}

func (s fullStorage) Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, sync bool) error {
	if s.isFull.Load() && sync {
		return syscall.ENOSPC
	}
	return s.Storage.Save(hs, entries, snap, sync)
}

// A leader whose storage is full stops with that error. The other members lose no change, and the stopped member can
// rejoin once there is space.
func TestFullStorage(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3)
	c.propose(c.initialProposal())
	c.awaitInstalled(1)
	var isFull [4]atomic.Bool // by member
	for id := uint64(1); id <= 3; id++ {
		c.stop(id)
		c.members[id].cfg.WrapStorage = func(d raftnode.Storage) raftnode.Storage { return fullStorage{d, &isFull[id]} }
		c.start(id)
	}
	var leader uint64
	c.await("a leader", func() bool {
		s, err := c.admin.Status(c.ctx())
		leader = s.Leader
		return err == nil && leader != 0
	})
	isFull[leader].Store(true)
	awaitChanges := c.startConcurrentChanges(10)
	if err := c.awaitEnd(leader); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("leader stopped with error %v, want ENOSPC", err)
	}
	proposals := awaitChanges()
	isFull[leader].Store(false)
	c.start(leader)
	c.awaitInstalled(11)
	h, err := c.admin.History(c.ctx())
	if err != nil || len(h) != 11 {
		t.Fatalf("got %d versions, error %v, want 11", len(h), err)
	}
	for _, record := range h[1:] {
		if proposals[record.Version] != record.ID {
			t.Errorf("version %d: got proposal %s, want %s", record.Version, record.ID, proposals[record.Version])
		}
	}
}

// startConcurrentChanges proposes count changes concurrently and retries each until it is applied. The returned
// function waits for all of them, and returns the IDs of the proposals by version.
func (c *testCluster) startConcurrentChanges(count int) (wait func() map[uint64]string) {
	var mu sync.Mutex
	proposals := map[uint64]string{}
	var clients sync.WaitGroup
	for i := range count {
		p := &clusterconfig.Proposal{ID: fmt.Sprint("c", i), Changes: []clusterconfig.Change{putDescription(2 + i)}}
		clients.Go(func() {
			outcome := c.proposeUntilApplied(p)
			mu.Lock()
			defer mu.Unlock()
			if before, exists := proposals[outcome.Version]; exists {
				c.t.Errorf("proposals %s and %s both have version %d", before, p.ID, outcome.Version)
			}
			proposals[outcome.Version] = p.ID
		})
	}
	return func() map[uint64]string {
		clients.Wait()
		return proposals
	}
}

func (c *testCluster) proposeUntilApplied(p *clusterconfig.Proposal) clusterconfig.Outcome {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		outcome, err := c.admin.Propose(ctx, p)
		cancel()
		if err == nil {
			return outcome
		}
	}
}
