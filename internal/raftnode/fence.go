package raftnode

import (
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
)

// FenceIndex returns the index of the last entry saved here that changes key owners or the
// membership, committed or not. It is updated before any message that acknowledges
// the entry is sent. It is safe for concurrent use.
func (c *Core) FenceIndex() uint64 { return c.fenceIndex.Load() }

// recordFences records the fences among entries that were saved. The entries replace all that
// were saved before from the first one's index on.
func (c *Core) recordFences(entries []*pb.Entry) {
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		c.unappliedFences = slices.DeleteFunc(c.unappliedFences, func(index uint64) bool { return index >= first })
	}
	for _, entry := range entries {
		if isFence(entry) {
			c.unappliedFences = append(c.unappliedFences, entry.GetIndex())
		}
	}
	c.updateFence()
}

// isFence reports whether an entry changes the membership or key owners.
func isFence(entry *pb.Entry) bool {
	if entry.GetType() != pb.EntryNormal {
		return true
	}
	return len(entry.GetData()) > 0 && clusterconfig.ChangesPlacement(entry.GetData())
}

// updateFence moves the entries that have been applied to appliedFence and publishes the index.
func (c *Core) updateFence() {
	applied := 0
	for ; applied < len(c.unappliedFences) && c.unappliedFences[applied] <= c.appliedIndex; applied++ {
		c.appliedFence = max(c.appliedFence, c.unappliedFences[applied])
	}
	c.unappliedFences = c.unappliedFences[applied:]
	last := c.appliedFence
	if n := len(c.unappliedFences); n > 0 {
		last = max(last, c.unappliedFences[n-1])
	}
	c.fenceIndex.Store(last)
}
