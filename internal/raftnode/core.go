// Package raftnode has the instances of a gateway agree on their configuration through the
// Raft protocol (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014), with go.etcd.io/raft as the engine.
//
// [Core] is the whole of one member but for its clock and its network: ticks and messages
// go in, messages come out. It starts no goroutine, so that a test can own the world.
package raftnode

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// Config is what a member is told at its start.
type Config struct {
	ID                 uint64   // of this member, above 0, never used again after it was removed
	Voters             []uint64 // of a new cluster; nil: this member joins one, or comes back
	ElectionTicks      int      // without a leader's message until an election; 10 where 0
	EntriesPerSnapshot uint64   // entries between snapshots; 2,000 where 0
	CatchUpEntries     uint64   // behind a snapshot, for members that are a little late; 500 where 0
	Validate           clusterconfig.Validator
	Logger             raft.Logger // nil: none
}

// Storage keeps what a member must not forget. What Save was given is durable when it
// returns; after an error nothing that was promised with it may go out.
type Storage interface {
	Load() (PersistedState, error)
	// Save keeps what is not nil. A snapshot here comes from the leader: it takes the place
	// of the whole log, of which nothing may come back.
	Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error
	// SaveSnapshot keeps a snapshot of the member's own beside its log.
	SaveSnapshot(snap *pb.Snapshot) error
	// Compact drops entries up to and with an index, which a saved snapshot covers.
	Compact(index uint64) error
}

// PersistedState is what a Disk holds.
type PersistedState struct {
	HardState *pb.HardState // nil: nothing was ever saved
	Snapshot  *pb.Snapshot  // nil: none
	Entries   []*pb.Entry   // behind the snapshot
}

// Errors of a member.
var (
	ErrNoLeader       = errors.New("no leader is known: a quorum of members is needed")
	ErrStopped        = errors.New("the member has stopped")
	ErrStaleStorage   = errors.New("the member's file lacks what it has promised to others, as an old copy does: let it join again under a new number")
	ErrRemoved        = errors.New("this member was removed from the cluster: its number is not used again")
	ErrOutcomeUnknown = errors.New("the leader changed meanwhile: it is not known whether the proposal will be applied; repeat it with the same id")
)

// Core is one member. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rn      *raft.RawNode
	mem     *raft.MemoryStorage // what disk holds, for the engine to read
	disk    Storage
	state   *clusterconfig.State
	applied uint64
	snapAt  uint64 // index of the last snapshot
	snapNow bool   // the members have changed: a new one takes no snapshot that lacks it
	conf    *pb.ConfState
	fence   uint64        // index of the last entry applied here that changed homes or members, or a later one
	tail    []uint64      // of those saved behind the applied ones, in order
	fenced  atomic.Uint64 // the last of all these, for [Core.FenceIndex]

	ready   bool // a quorum has confirmed, since the start, a version that is applied here
	reads   map[uint64]*read
	readSeq uint64
	waiting map[string][]func(clusterconfig.Outcome, error)
	changes map[string]func(error) // of members, by the context of the entry
	sent    map[uint64]int         // ticks since a snapshot went to a member, until it is known what became of it
	failed  error                  // why the member has stopped

	// Applied, if set, is called after each entry of the state was applied.
	OnApplied func(index uint64, id string, o clusterconfig.Outcome)
}

// read is a read that waits for its index, and that index for being applied.
type read struct {
	index uint64 // 0: not confirmed
	asked int    // ticks since it was asked
	done  func(error)
}

const (
	maxPerMessage  = 1 << 20 // bytes of entries in one message; one entry may be longer
	maxInflight    = 64      // messages of entries that a follower has not acknowledged
	maxInflightB   = 32 << 20
	maxUncommitted = 64 << 20 // bytes of proposals that wait for a quorum
	maxWaiting     = 10_000   // proposals and reads under way
	heartbeatTicks = 1

	snapshotElections = 10 // election time-outs after which a snapshot is taken for lost
)

// NewCore starts a member from its disk.
func NewCore(cfg Config, disk Storage) (*Core, error) {
	kept, err := disk.Load()
	if err != nil {
		return nil, err
	}
	if cfg.ElectionTicks == 0 {
		cfg.ElectionTicks = 10
	}
	if cfg.EntriesPerSnapshot == 0 {
		cfg.EntriesPerSnapshot = 2000
	}
	if cfg.CatchUpEntries == 0 {
		cfg.CatchUpEntries = 500
	}
	if cfg.Logger == nil {
		cfg.Logger = quiet{}
	}
	c := &Core{cfg: cfg, mem: raft.NewMemoryStorage(), disk: disk, state: clusterconfig.New(cfg.Validate), conf: &pb.ConfState{},
		reads: map[uint64]*read{}, waiting: map[string][]func(clusterconfig.Outcome, error){}, changes: map[string]func(error){}, sent: map[uint64]int{}}
	if kept.HardState == nil && kept.Snapshot == nil && len(cfg.Voters) > 0 {
		// Every member of a new cluster begins with the same snapshot of nothing, at index 1.
		data, err := c.state.Snapshot()
		if err != nil {
			return nil, err
		}
		kept.Snapshot = &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: cfg.Voters}, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
		kept.HardState = &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if err := disk.Save(kept.HardState, nil, kept.Snapshot, true); err != nil {
			return nil, err
		}
	}
	if kept.Snapshot != nil {
		if err := c.restore(kept.Snapshot); err != nil {
			return nil, err
		}
		if err := c.mem.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
	}
	if hs := kept.HardState; hs != nil && hs.GetCommit() < c.snapAt {
		// A commit index alone is not saved. What a snapshot of our own covers was committed.
		hs.Commit = proto.Uint64(c.snapAt)
	}
	if kept.HardState != nil {
		if err := c.mem.SetHardState(kept.HardState); err != nil {
			return nil, err
		}
	}
	if err := c.mem.Append(kept.Entries); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	c.fences(kept.Entries)
	c.rn, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: cfg.ElectionTicks, HeartbeatTick: heartbeatTicks, Storage: c.mem, Applied: c.applied,
		MaxSizePerMsg: maxPerMessage, MaxCommittedSizePerReady: 16 << 20, MaxUncommittedEntriesSize: maxUncommitted, MaxInflightMsgs: maxInflight,
		MaxInflightBytes: maxInflightB, CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, StepDownOnRemoval: true, Logger: cfg.Logger})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// State is the configuration as applied here. It must not be changed.
func (c *Core) State() *clusterconfig.State { return c.state }

// IsReady tells whether a quorum has confirmed, since this member's start, that the version
// applied here was current then. Until it has, the member must send no traffic on.
func (c *Core) IsReady() bool { return c.ready }

// Leader is the member that leads as far as is known, or 0.
func (c *Core) Leader() uint64 { return c.rn.BasicStatus().Lead }

// Members are the voters and learners of the configuration in force.
func (c *Core) Members() (voters, learners []uint64) { return c.conf.GetVoters(), c.conf.GetLearners() }

// all are all members: voters, those that are leaving, and learners.
func (c *Core) all() []uint64 {
	ids := slices.Concat(c.conf.GetVoters(), c.conf.GetVotersOutgoing(), c.conf.GetLearners(), c.conf.GetLearnersNext())
	slices.Sort(ids)
	return slices.Compact(ids)
}

// holds tells whether a member is one of the configuration in force.
func (c *Core) holds(id uint64) bool {
	for _, ids := range [][]uint64{c.conf.GetVoters(), c.conf.GetVotersOutgoing(), c.conf.GetLearners(), c.conf.GetLearnersNext()} {
		if slices.Contains(ids, id) {
			return true
		}
	}
	return false
}

// ReplicationLag is how many entries a member is known to lack of those committed; only the leader
// knows.
func (c *Core) ReplicationLag(id uint64) (entries uint64, known bool) {
	s := c.rn.Status()
	p, ok := s.Progress[id]
	if !ok || p.Match == 0 {
		return 0, false
	}
	commit := s.HardState.GetCommit()
	return commit - min(p.Match, commit), true
}

// AppliedIndex is the index of the last entry applied.
func (c *Core) AppliedIndex() uint64 { return c.applied }

// Tick tells that a tick of the clock has passed.
func (c *Core) Tick() {
	if c.failed != nil {
		return
	}
	c.rn.Tick()
	for _, id := range slices.Sorted(maps.Keys(c.sent)) {
		// The engine sends a member nothing more until it hears what became of its snapshot: one
		// that was lost with the word of it would leave the member behind for good.
		if c.sent[id]++; c.sent[id] > snapshotElections*c.cfg.ElectionTicks {
			c.ReportSnapshot(id, false)
		}
	}
	if !c.ready && len(c.reads) == 0 {
		c.ReadIndex(func(err error) { c.ready = c.ready || err == nil })
	}
	for _, seq := range slices.Sorted(maps.Keys(c.reads)) { // one order: runs must be repeatable
		r := c.reads[seq]
		// An ask is lost with a leader or a message: it is made again.
		if r.asked++; r.index == 0 && r.asked%c.cfg.ElectionTicks == 0 {
			c.askIndex(seq)
		}
	}
}

// Step takes in a message of another member.
func (c *Core) Step(m *pb.Message) {
	if c.failed != nil || raft.IsLocalMsg(m.GetType()) {
		return
	}
	defer c.caught()
	// What can't be in place (from a removed member, or a late one) is dropped.
	_ = c.rn.Step(m)
}

// caught has a panic of the engine, which finds that its log lacks what was committed, stop
// the member with a plain error.
func (c *Core) caught() {
	if p := recover(); p != nil {
		c.fail(fmt.Errorf("%w (%v)", ErrStaleStorage, p))
	}
}

// Propose has a proposal applied, if it passes the check here. done is called with its
// outcome once it is applied here, or with an error.
func (c *Core) Propose(p *clusterconfig.Proposal, done func(clusterconfig.Outcome, error)) {
	entry, err := clusterconfig.EncodeProposal(p)
	switch {
	case err != nil:
	case c.failed != nil:
		err = c.failed
	case len(c.waiting) >= maxWaiting:
		err = errors.New("too many proposals are under way")
	case c.Leader() == raft.None:
		err = ErrNoLeader
	default:
		if err = c.rn.Propose(entry); errors.Is(err, raft.ErrProposalDropped) {
			err = ErrNoLeader
		}
	}
	if err != nil {
		done(clusterconfig.Outcome{}, err)
		return
	}
	c.waiting[p.ID] = append(c.waiting[p.ID], done)
}

// AbandonProposal ends the waiting for a proposal, whose outcome stays unknown here.
func (c *Core) AbandonProposal(id string) {
	for _, done := range c.waiting[id] {
		done(clusterconfig.Outcome{}, ErrOutcomeUnknown)
	}
	delete(c.waiting, id)
}

// ReadIndex calls done once all that was committed anywhere when it was asked is applied here
// (Raft's ReadIndex, section 6.4 of Ongaro's dissertation).
func (c *Core) ReadIndex(done func(error)) {
	if c.failed != nil || len(c.reads) >= maxWaiting {
		done(errors.Join(ErrStopped, c.failed))
		return
	}
	c.readSeq++
	c.reads[c.readSeq] = &read{done: done}
	c.askIndex(c.readSeq)
}

func (c *Core) askIndex(seq uint64) {
	c.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, seq))
}

// ProposeMembershipChange changes the members: joint where several change at once. done is called when the
// change is applied here.
func (c *Core) ProposeMembershipChange(id string, changes []*pb.ConfChangeSingle, done func(error)) {
	if c.failed != nil {
		done(c.failed)
		return
	}
	err := c.rn.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: []byte(id)})
	if err != nil {
		done(ErrNoLeader)
		return
	}
	c.changes[id] = done
}

// AbandonMembershipChange ends the waiting for a change of members.
func (c *Core) AbandonMembershipChange(id string) { delete(c.changes, id) }

// TransferLeadership asks the leader to hand its lead to another member.
func (c *Core) TransferLeadership(to uint64) { c.rn.TransferLeader(to) }

// ReportUnreachable tells that messages to a member don't go out.
func (c *Core) ReportUnreachable(id uint64) { c.rn.ReportUnreachable(id) }

// ReportSnapshot tells what became of a snapshot to a member.
func (c *Core) ReportSnapshot(id uint64, ok bool) {
	delete(c.sent, id)
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.rn.ReportSnapshot(id, status)
}

// ProcessReady does what the member has to do and hands send the messages as soon as they may go
// out: what a message promises of this member's disk is on it. A leader's entries go out
// while it writes its own copy, which counts for the quorum only once it is written
// (section 10.2.1 of Ongaro's dissertation). An error means that the member has stopped and must not be
// driven further; another Open may bring it back.
func (c *Core) ProcessReady(send func(*pb.Message)) error {
	for c.failed == nil && c.rn.HasReady() {
		rd := c.rn.Ready()
		for _, m := range rd.Messages {
			if early(m) {
				send(m)
			}
		}
		if err := c.keep(&rd); err != nil {
			return c.fail(err)
		}
		for _, m := range rd.Messages {
			if m.GetType() == pb.MsgSnap {
				c.sent[m.GetTo()] = 0
			}
			if !early(m) {
				send(m)
			}
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := c.restore(rd.Snapshot); err != nil {
				return c.fail(err)
			}
		}
		for _, e := range rd.CommittedEntries {
			if err := c.apply(e); err != nil {
				return c.fail(err)
			}
		}
		c.setFence()
		for _, rs := range rd.ReadStates {
			if r := c.reads[binary.BigEndian.Uint64(rs.RequestCtx)]; r != nil && r.index == 0 {
				r.index = max(rs.Index, 1)
			}
		}
		c.rn.Advance(rd)
		c.answerReads()
		if err := c.snapshot(); err != nil {
			return c.fail(err)
		}
	}
	return c.failed
}

// early tells whether a message says nothing of its sender's disk: what a leader replicates.
func early(m *pb.Message) bool {
	return m.GetType() == pb.MsgApp || m.GetType() == pb.MsgHeartbeat
}

// keep saves what a Ready promises.
func (c *Core) keep(rd *raft.Ready) error {
	var snap *pb.Snapshot
	if !raft.IsEmptySnap(rd.Snapshot) {
		snap = rd.Snapshot
	}
	if rd.HardState == nil && len(rd.Entries) == 0 && snap == nil {
		return nil
	}
	hs, sync := rd.HardState, rd.MustSync || snap != nil
	if hs == nil && sync { // a commit index that came alone goes along, so that a restart knows it
		if last, _, err := c.mem.InitialState(); err == nil && !raft.IsEmptyHardState(last) {
			hs = last
		}
	}
	if err := c.disk.Save(hs, rd.Entries, snap, sync); err != nil {
		return fmt.Errorf("saving: %w", err)
	}
	if snap != nil {
		if err := c.mem.ApplySnapshot(snap); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if rd.HardState != nil {
		if err := c.mem.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if err := c.mem.Append(rd.Entries); err != nil {
		return err
	}
	c.fences(rd.Entries)
	return nil
}

// FenceIndex is the index of the last entry saved here that changes homes of keys or members, committed or not. It is
// told before any message goes out that acknowledges the entry. It may be called from any goroutine.
func (c *Core) FenceIndex() uint64 { return c.fenced.Load() }

// fences takes in entries that were saved: those behind the first of them are gone.
func (c *Core) fences(entries []*pb.Entry) {
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		c.tail = slices.DeleteFunc(c.tail, func(i uint64) bool { return i >= first })
	}
	for _, e := range entries {
		if e.GetType() != pb.EntryNormal || len(e.GetData()) > 0 && clusterconfig.ChangesPlacement(e.GetData()) {
			c.tail = append(c.tail, e.GetIndex())
		}
	}
	c.setFence()
}

// setFence moves what is applied out of the tail.
func (c *Core) setFence() {
	n := 0
	for ; n < len(c.tail) && c.tail[n] <= c.applied; n++ {
		c.fence = max(c.fence, c.tail[n])
	}
	c.tail = c.tail[n:]
	last := c.fence
	if k := len(c.tail); k > 0 {
		last = max(last, c.tail[k-1])
	}
	c.fenced.Store(last)
}

// restore takes over a snapshot.
func (c *Core) restore(s *pb.Snapshot) error {
	if err := c.state.Restore(s.GetData()); err != nil {
		return err
	}
	c.applied, c.snapAt, c.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	c.fence = max(c.fence, c.snapAt) // which entry it was is not known any more
	c.setFence()
	return nil
}

// apply applies one committed entry.
func (c *Core) apply(e *pb.Entry) error {
	index := e.GetIndex()
	if index <= c.applied {
		return nil
	}
	c.applied = index
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		var cc pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &cc); err != nil {
			return fmt.Errorf("entry %d: change of members: %w", index, err)
		}
		was := c.holds(c.cfg.ID)
		c.conf, c.snapNow = c.rn.ApplyConfChange(&cc), true
		if was && !c.holds(c.cfg.ID) {
			return ErrRemoved
		}
		if done := c.changes[string(cc.GetContext())]; done != nil {
			delete(c.changes, string(cc.GetContext()))
			done(nil)
		}
		return nil
	}
	if len(e.GetData()) == 0 {
		return nil // a new leader's first
	}
	id, o, err := c.state.Apply(e.GetData())
	if err != nil {
		return fmt.Errorf("entry %d: %w", index, err)
	}
	if c.OnApplied != nil {
		c.OnApplied(index, id, o)
	}
	for _, done := range c.waiting[id] {
		done(o, nil)
	}
	delete(c.waiting, id)
	return nil
}

// answerReads ends the reads whose index is applied.
func (c *Core) answerReads() {
	for _, seq := range slices.Sorted(maps.Keys(c.reads)) {
		if r := c.reads[seq]; r.index > 0 && r.index <= c.applied {
			delete(c.reads, seq)
			r.done(nil)
		}
	}
}

// snapshot takes one when enough was applied since the last, and drops what it covers.
func (c *Core) snapshot() error {
	if c.applied-c.snapAt < c.cfg.EntriesPerSnapshot && !(c.snapNow && c.applied > c.snapAt) {
		return nil
	}
	c.snapNow = false
	data, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	snap, err := c.mem.CreateSnapshot(c.applied, c.conf, data)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := c.disk.SaveSnapshot(snap); err != nil {
		return fmt.Errorf("saving a snapshot: %w", err)
	}
	c.snapAt = c.applied
	if c.applied <= c.cfg.CatchUpEntries {
		return nil
	}
	upTo := c.applied - c.cfg.CatchUpEntries
	if err := c.mem.Compact(upTo); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("log: %w", err)
	}
	return c.disk.Compact(upTo)
}

// fail stops the member: all that waits is told.
func (c *Core) fail(err error) error {
	c.failed = err
	for id, dones := range c.waiting {
		delete(c.waiting, id)
		for _, done := range dones {
			done(clusterconfig.Outcome{}, errors.Join(ErrStopped, err))
		}
	}
	for seq, r := range c.reads {
		delete(c.reads, seq)
		r.done(errors.Join(ErrStopped, err))
	}
	for id, done := range c.changes {
		delete(c.changes, id)
		done(errors.Join(ErrStopped, err))
	}
	return err
}

// quiet is a logger of the engine that says nothing. Its panics stay.
type quiet struct{}

func (quiet) Debug(...any)                   {}
func (quiet) Debugf(string, ...any)          {}
func (quiet) Error(...any)                   {}
func (quiet) Errorf(string, ...any)          {}
func (quiet) Info(...any)                    {}
func (quiet) Infof(string, ...any)           {}
func (quiet) Warning(...any)                 {}
func (quiet) Warningf(string, ...any)        {}
func (quiet) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (quiet) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
