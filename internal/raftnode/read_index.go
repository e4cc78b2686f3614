package raftnode

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
)

// pendingRead is a linearizable read that waits for its read index, and then for that index
// to be applied.
type pendingRead struct {
	index        uint64 // the read index; 0: not yet confirmed by a quorum
	ticksWaiting int
	done         func(error)
}

// ReadIndex calls done as soon as all entries that were committed at the time of the call, at
// any member, are applied here (section 6.4 of Ongaro's dissertation, "Consensus: Bridging Theory and
// Practice", 2014).
func (c *Core) ReadIndex(done func(error)) {
	if c.stopErr != nil || len(c.pendingReads) >= maxPendingRequests {
		done(errors.Join(ErrStopped, c.stopErr))
		return
	}
	c.lastReadID++
	c.pendingReads[c.lastReadID] = &pendingRead{done: done}
	c.requestReadIndex(c.lastReadID)
}

// requestReadIndex asks the leader for the read index of a pending read.
func (c *Core) requestReadIndex(id uint64) {
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, id))
}

// repeatReadRequests repeats each request for a read index after every election timeout without
// an answer: requests are lost with a leader or a message.
func (c *Core) repeatReadRequests() {
	for _, id := range c.pendingReadIDs() {
		read := c.pendingReads[id]
		read.ticksWaiting++
		if read.index == 0 && read.ticksWaiting%c.cfg.ElectionTicks == 0 {
			c.requestReadIndex(id)
		}
	}
}

// pendingReadIDs returns the ids of the pending reads in ascending order, so that runs of a
// simulation are repeatable.
func (c *Core) pendingReadIDs() []uint64 {
	return slices.Sorted(maps.Keys(c.pendingReads))
}

// recordReadIndexes records the read indexes that a quorum has confirmed.
func (c *Core) recordReadIndexes(states []raft.ReadState) {
	for _, state := range states {
		read := c.pendingReads[binary.BigEndian.Uint64(state.RequestCtx)]
		if read != nil && read.index == 0 {
			read.index = max(state.Index, 1)
		}
	}
}

// completeReads calls done for the reads whose read index is applied.
func (c *Core) completeReads() {
	for _, id := range c.pendingReadIDs() {
		read := c.pendingReads[id]
		if read.index > 0 && read.index <= c.appliedIndex {
			delete(c.pendingReads, id)
			read.done(nil)
		}
	}
}

// failReads calls done with an error for all pending reads.
func (c *Core) failReads(err error) {
	for id, read := range c.pendingReads {
		delete(c.pendingReads, id)
		read.done(err)
	}
}
