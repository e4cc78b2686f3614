package raftnode

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
)

// pendingReads are the linearizable reads that wait: first for their read index, which a quorum confirms, and then for
// that index to be applied (section 6.4 of Ongaro's dissertation, "Consensus: Bridging Theory and Practice", 2014).
type pendingReads struct {
	byID   map[uint64]*pendingRead
	lastID uint64
}

// pendingRead is one of them.
type pendingRead struct {
	index        uint64 // the read index; 0: not yet confirmed by a quorum
	ticksWaiting int
	done         func(error)
}

func newPendingReads() pendingReads { return pendingReads{byID: map[uint64]*pendingRead{}} }

// isFull reports whether no further read may wait.
func (r *pendingReads) isFull() bool { return len(r.byID) >= maxPendingRequests }

// add adds a read and returns its id.
func (r *pendingReads) add(done func(error)) (id uint64) {
	r.lastID++
	r.byID[r.lastID] = &pendingRead{done: done}
	return r.lastID
}

// ids returns the ids of the reads in ascending order, so that runs of a simulation are repeatable.
func (r *pendingReads) ids() []uint64 { return slices.Sorted(maps.Keys(r.byID)) }

// tick counts a tick and returns the reads whose read index has to be requested again: those without one after each
// election timeout, since a request is lost with a leader or a message.
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

// confirm records the read indexes that a quorum has confirmed.
func (r *pendingReads) confirm(states []raft.ReadState) {
	for _, state := range states {
		read := r.byID[decodeReadID(state.RequestCtx)]
		if read != nil && read.index == 0 {
			read.index = max(state.Index, 1)
		}
	}
}

// complete calls done for the reads whose read index is applied.
func (r *pendingReads) complete(appliedIndex uint64) {
	for _, id := range r.ids() {
		read := r.byID[id]
		if read.index > 0 && read.index <= appliedIndex {
			delete(r.byID, id)
			read.done(nil)
		}
	}
}

// fail calls done with an error for all reads.
func (r *pendingReads) fail(err error) {
	for id, read := range r.byID {
		delete(r.byID, id)
		read.done(err)
	}
}

// encodeReadID returns the context of the engine's request for a read index, and decodeReadID is its inverse.
func encodeReadID(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func decodeReadID(context []byte) uint64 { return binary.BigEndian.Uint64(context) }

// ReadIndex calls done as soon as all entries that were committed at the time of the call, at any member, are applied
// here.
func (c *Core) ReadIndex(done func(error)) {
	switch {
	case c.stopErr != nil:
		done(errors.Join(ErrStopped, c.stopErr))
		return
	case c.reads.isFull():
		done(errTooManyReads)
		return
	}
	c.requestReadIndex(c.reads.add(done))
}

// requestReadIndex asks the leader for the read index of a pending read.
func (c *Core) requestReadIndex(id uint64) { c.rawNode.ReadIndex(encodeReadID(id)) }
