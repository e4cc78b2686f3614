package raftnode

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
)

// pendingReads holds the pending linearizable reads. A read waits first until a quorum confirms its read index, and
// then until that index is applied (section 6.4 of Ongaro's dissertation, "Consensus: Bridging Theory and Practice",
// 2014).
type pendingReads struct {
	byID   map[uint64]*pendingRead
	lastID uint64
}

// pendingRead is one pending linearizable read.
type pendingRead struct {
	index        uint64 // the read index, or 0 until a quorum has confirmed it
	ticksWaiting int
	done         func(error)
}

func newPendingReads() pendingReads { return pendingReads{byID: map[uint64]*pendingRead{}} }

// isFull reports whether maxPendingRequests reads are pending.
func (r *pendingReads) isFull() bool { return len(r.byID) >= maxPendingRequests }

// add adds a read, whose result is passed to done, and returns its id.
func (r *pendingReads) add(done func(error)) (id uint64) {
	r.lastID++
	r.byID[r.lastID] = &pendingRead{done: done}
	return r.lastID
}

// ids returns the ids of the reads in ascending order, so that simulations are deterministic.
func (r *pendingReads) ids() []uint64 { return slices.Sorted(maps.Keys(r.byID)) }

// tick advances the clock by one tick and returns the ids of the reads whose read index has to be requested again.
// These are the reads without a read index, after each election timeout: a request may be lost with a message or a
// leader.
func (r *pendingReads) tick(electionTicks int) (due []uint64) {
	for _, id := range r.ids() {
		read := r.byID[id]
		read.ticksWaiting++
		if read.index == 0 && read.ticksWaiting%electionTicks == 0 {
			due = append(due, id)
		}
	}
	return due
}

// confirm records read indexes that a quorum has confirmed.
func (r *pendingReads) confirm(states []raft.ReadState) {
	for _, state := range states {
		read := r.byID[decodeReadID(state.RequestCtx)]
		if read != nil && read.index == 0 {
			read.index = max(state.Index, 1)
		}
	}
}

// complete removes the reads whose read index is applied and calls their done.
func (r *pendingReads) complete(appliedIndex uint64) {
	for _, id := range r.ids() {
		read := r.byID[id]
		if read.index > 0 && read.index <= appliedIndex {
			delete(r.byID, id)
			read.done(nil)
		}
	}
}

// fail removes all reads and calls their done with an error.
func (r *pendingReads) fail(err error) {
	for id, read := range r.byID {
		delete(r.byID, id)
		read.done(err)
	}
}

// encodeReadID encodes a read's id as the context of the engine's request for a read index. decodeReadID is its
// inverse.
func encodeReadID(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func decodeReadID(context []byte) uint64 { return binary.BigEndian.Uint64(context) }

// ReadIndex calls done with nil as soon as this member has applied all entries that were committed in the cluster at
// the time of the call, or with an error. The member is then ready (see [Core.IsReady]) unless there was an error.
func (c *Core) ReadIndex(done func(error)) {
	switch {
	case c.stopErr != nil:
		done(errors.Join(ErrStopped, c.stopErr))
		return
	case c.reads.isFull():
		done(errTooManyReads)
		return
	}
	c.requestReadIndex(c.reads.add(func(err error) {
		if err == nil {
			c.quorumConfirmed = true
		}
		done(err)
	}))
}

// requestReadIndex requests the read index of a pending read from the leader.
func (c *Core) requestReadIndex(id uint64) { c.rawNode.ReadIndex(encodeReadID(id)) }
