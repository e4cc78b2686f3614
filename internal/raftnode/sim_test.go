package raftnode

import (
	cryptorand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// memoryStorage is a disk in memory, which keeps encoded copies: what a member does to a message
// later does not reach it.
type memoryStorage struct {
	hard, snap []byte
	log        map[uint64][]byte
	failsSync  func() bool // an fsync that fails; nil: none does
}

var errSyncFailed = errors.New("fsync failed on purpose")

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func (d *memoryStorage) Load() (k PersistedState, err error) {
	if d.hard != nil {
		k.HardState = &pb.HardState{}
		err = proto.Unmarshal(d.hard, k.HardState)
	}
	next := uint64(1)
	if d.snap != nil {
		k.Snapshot = &pb.Snapshot{}
		err = errors.Join(err, proto.Unmarshal(d.snap, k.Snapshot))
		next = k.Snapshot.GetMetadata().GetIndex() + 1
	}
	for ; d.log[next] != nil; next++ {
		e := &pb.Entry{}
		err = errors.Join(err, proto.Unmarshal(d.log[next], e))
		k.Entries = append(k.Entries, e)
	}
	return k, err
}

func (d *memoryStorage) Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error {
	if !sync {
		return nil // may be lost, and is
	}
	if d.failsSync != nil && d.failsSync() {
		return errSyncFailed // nothing of it is kept
	}
	if snap != nil {
		d.snap, d.log = mustMarshal(snap), map[uint64][]byte{}
	}
	if hs != nil {
		d.hard = mustMarshal(hs)
	}
	if d.log == nil {
		d.log = map[uint64][]byte{}
	}
	if len(entries) > 0 {
		for i := entries[0].GetIndex(); d.log[i] != nil; i++ {
			delete(d.log, i)
		}
	}
	for _, e := range entries {
		d.log[e.GetIndex()] = mustMarshal(e)
	}
	return nil
}

func (d *memoryStorage) SaveSnapshot(snap *pb.Snapshot) error {
	if d.failsSync != nil && d.failsSync() {
		return errSyncFailed
	}
	d.snap = mustMarshal(snap)
	return nil
}

func (d *memoryStorage) Compact(index uint64) error {
	for i := index; d.log[i] != nil; i-- {
		delete(d.log, i)
	}
	return nil
}

// seededReader is a source of bytes for the engine's election jitter.
type seededReader struct{ rng *rand.Rand }

func (s seededReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rng.Uint32())
	}
	return len(p), nil
}

// seedElectionJitter has the engine's jitter follow from a seed while a test runs.
func seedElectionJitter(t testing.TB, seed uint64) {
	old := cryptorand.Reader
	cryptorand.Reader = io.Reader(seededReader{rand.New(rand.NewPCG(seed, 77))})
	t.Cleanup(func() { cryptorand.Reader = old })
}

// inFlightMessage is a message on its way.
type inFlightMessage struct {
	arrivalTick, sequence int // tick of its arrival, and a number that breaks ties
	encoded               []byte
}

// simMember is one member of a simulated cluster.
type simMember struct {
	id            uint64
	core          *Core
	storage       *memoryStorage
	restartTick   int    // tick until which it is down; 0: it is up
	servedVersion uint64 // the newest version that it has answered a client with
}

// simCluster is a simulated cluster and its clients.
type simCluster struct {
	t              testing.TB
	seed           uint64
	rng            *rand.Rand
	members        []*simMember
	inFlight       []inFlightMessage
	sentCount      int
	tick           int
	cutLinks       map[[2]uint64]bool // one-way cuts
	faultsEnded    bool               // no more faults
	hashByIndex    map[uint64]string  // of the chain, by index, as first seen
	events         []porcupine.Event
	operationCount int
	valueCount     int
}

func (c *simCluster) fatalf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d, tick %d: %s", c.seed, c.tick, fmt.Sprintf(format, args...))
}

func newSimCluster(t testing.TB, seed uint64, n int) *simCluster {
	seedElectionJitter(t, seed)
	c := &simCluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), cutLinks: map[[2]uint64]bool{}, hashByIndex: map[uint64]string{}}
	for i := range n {
		m := &simMember{id: uint64(i + 1), storage: &memoryStorage{}}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

func (c *simCluster) voters() (ids []uint64) {
	for _, m := range c.members {
		ids = append(ids, m.id)
	}
	return ids
}

func (c *simCluster) start(m *simMember) {
	core, err := NewCore(Config{ID: m.id, Voters: c.voters(), EntriesPerSnapshot: 20, CatchUpEntries: 5}, m.storage)
	if err != nil {
		c.fatalf("member %d does not start: %v", m.id, err)
	}
	m.core, m.restartTick = core, 0
	core.OnApplied = func(index uint64, id string, o clusterconfig.Outcome) {
		hash := core.State().Hash()
		if first, ok := c.hashByIndex[index]; ok && first != hash {
			c.fatalf("member %d has applied another entry at index %d", m.id, index)
		}
		c.hashByIndex[index] = hash
	}
}

// processReady has a member do its work; one whose disk fails goes down.
func (c *simCluster) processReady(m *simMember) {
	if err := m.core.ProcessReady(c.send); err != nil {
		if !errors.Is(err, errSyncFailed) {
			c.fatalf("member %d: %v", m.id, err)
		}
		c.kill(m)
	}
}

func (c *simCluster) kill(m *simMember) {
	m.core, m.restartTick = nil, c.tick+5+c.rng.IntN(60)
}

func (c *simCluster) send(msg *pb.Message) {
	from, to := msg.GetFrom(), msg.GetTo()
	if c.cutLinks[[2]uint64{from, to}] || !c.faultsEnded && c.rng.Float64() < 0.05 {
		return
	}
	copies := 1
	if !c.faultsEnded && c.rng.Float64() < 0.03 {
		copies = 2
	}
	for range copies {
		delay := 1
		if !c.faultsEnded {
			delay += c.rng.IntN(3)
			if c.rng.Float64() < 0.05 {
				delay += c.rng.IntN(30)
			}
		}
		c.sentCount++
		c.inFlight = append(c.inFlight, inFlightMessage{c.tick + delay, c.sentCount, mustMarshal(msg)})
	}
}

// step is one tick of the world.
func (c *simCluster) step() {
	c.tick++
	c.injectFaults()
	var due []inFlightMessage
	rest := c.inFlight[:0]
	for _, p := range c.inFlight {
		if p.arrivalTick <= c.tick {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.inFlight = rest
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		msg := &pb.Message{}
		if err := proto.Unmarshal(p.encoded, msg); err != nil {
			c.fatalf("%v", err)
		}
		m := c.members[msg.GetTo()-1]
		if m.core == nil {
			continue
		}
		m.core.Step(msg)
		if msg.GetType() == pb.MsgSnap { // the sender learns that it came
			if s := c.members[msg.GetFrom()-1]; s.core != nil {
				s.core.ReportSnapshot(m.id, true)
			}
		}
		c.processReady(m)
	}
	for _, m := range c.members {
		if m.core == nil {
			if m.restartTick <= c.tick {
				c.start(m)
			}
			continue
		}
		m.core.Tick()
		c.processReady(m)
		c.checkServedVersion(m)
	}
}

// checkServedVersion checks the serving rule: a member that would send traffic on does so with a
// version no older than one it has answered with, across its restarts.
func (c *simCluster) checkServedVersion(m *simMember) {
	if m.core == nil || !m.core.IsReady() {
		return
	}
	v := m.core.State().Version()
	if v < m.servedVersion {
		c.fatalf("member %d serves on version %d after it has answered on %d", m.id, v, m.servedVersion)
	}
	m.servedVersion = v
}

func (c *simCluster) injectFaults() {
	if c.faultsEnded {
		return
	}
	switch x := c.rng.Float64(); {
	case x < 0.01: // kill one, the leader rather than another
		m := c.members[c.rng.IntN(len(c.members))]
		for _, l := range c.members {
			if l.core != nil && l.core.Leader() == l.id && c.rng.Float64() < 0.6 {
				m = l
			}
		}
		if m.core != nil {
			c.kill(m)
		}
	case x < 0.02: // cut links, one way or both
		a, b := c.members[c.rng.IntN(len(c.members))].id, c.members[c.rng.IntN(len(c.members))].id
		c.cutLinks[[2]uint64{a, b}] = true
		if c.rng.Float64() < 0.5 {
			c.cutLinks[[2]uint64{b, a}] = true
		}
	case x < 0.025: // cut one off altogether
		a := c.members[c.rng.IntN(len(c.members))].id
		for _, m := range c.members {
			c.cutLinks[[2]uint64{a, m.id}], c.cutLinks[[2]uint64{m.id, a}] = true, true
		}
	case x < 0.04:
		clear(c.cutLinks)
	case x < 0.045:
		m, left := c.members[c.rng.IntN(len(c.members))], 1+c.rng.IntN(3)
		m.storage.failsSync = func() bool { left--; return left == 0 }
	}
}

// endFaults ends all faults.
func (c *simCluster) endFaults() {
	c.faultsEnded = true
	clear(c.cutLinks)
	for _, m := range c.members {
		m.storage.failsSync = nil
		if m.core == nil {
			m.restartTick = c.tick
		}
	}
}

// The object that clients read and write, as porcupine sees it: a value, and the version
// in force, since a proposal may say on which version it builds.
type registerRequest struct {
	read  bool
	value string
	base  int64 // -1: any
}

type registerResponse struct {
	value    string
	version  uint64
	rejected bool
	unknown  bool // it may have been applied, then or later, or never
}

type registerState struct {
	value   string
	version uint64
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, request, answer any) []any {
		s, in, out := state.(registerState), request.(registerRequest), answer.(registerResponse)
		if in.read {
			if out.unknown || out.value == s.value && out.version == s.version {
				return []any{s}
			}
			return nil
		}
		next := registerState{in.value, s.version + 1}
		fits := in.base < 0 || uint64(in.base) == s.version
		switch {
		case out.unknown && fits:
			return []any{s, next}
		case out.unknown:
			return []any{s}
		case out.rejected && !fits && out.version == s.version:
			return []any{s}
		case !out.rejected && fits && out.version == next.version:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// simClient is one operator, with one request under way at a time.
type simClient struct {
	isWaiting   bool
	operationID int
	request     registerRequest
	proposal    *clusterconfig.Proposal
	sentTick    int
	version     uint64 // last seen
	member      *simMember
}

func (c *simCluster) beginRequest(cl *simClient) {
	cl.isWaiting, cl.operationID, cl.sentTick = true, c.operationCount, c.tick
	c.operationCount++
	cl.member = c.members[c.rng.IntN(len(c.members))]
	if cl.request = (registerRequest{read: true}); c.rng.Float64() < 0.6 {
		c.valueCount++
		cl.request = registerRequest{value: fmt.Sprintf("plan-%d", c.valueCount), base: -1}
		if c.rng.Float64() < 0.5 {
			cl.request.base = int64(cl.version)
		}
		cl.proposal = planProposal(fmt.Sprintf("op-%d", c.valueCount), cl.request.value)
		if cl.request.base >= 0 {
			base := cl.version
			cl.proposal.Base = &base
		}
	}
	c.events = append(c.events, porcupine.Event{ClientId: 0, Kind: porcupine.CallEvent, Value: cl.request, Id: cl.operationID})
	c.sendRequest(cl)
}

// planProposal puts a plan, under a name of one length, whose price tells the value.
func planProposal(id, value string) *clusterconfig.Proposal {
	var n int
	fmt.Sscanf(value, "plan-%d", &n)
	return &clusterconfig.Proposal{ID: id, Changes: []clusterconfig.Change{{Op: "put", Kind: "plan", Name: "x", Value: json.RawMessage(fmt.Sprintf(`{"rate":0,"burst":0,"price":%d}`, n))}}}
}

func valueOf(s *clusterconfig.State) string {
	if p, ok := clusterconfig.Read[clusterconfig.Plan](s, "plan")["x"]; ok {
		return fmt.Sprintf("plan-%d", int(p.Price))
	}
	return ""
}

// sendRequest sends the client's request to the member that it has chosen. A proposal whose answer
// is lost is repeated, under its id, at another member.
func (c *simCluster) sendRequest(cl *simClient) {
	m, op := cl.member, cl.operationID
	if m.core == nil {
		return
	}
	core := m.core
	if cl.request.read {
		core.ReadIndex(func(err error) {
			if err == nil && cl.isWaiting && cl.operationID == op {
				c.completeRequest(cl, registerResponse{value: valueOf(core.State()), version: core.State().Version()})
			}
		})
		return
	}
	core.Propose(cl.proposal, func(o clusterconfig.Outcome, err error) {
		if err == nil && cl.isWaiting && cl.operationID == op {
			c.completeRequest(cl, registerResponse{version: o.Version, rejected: !o.Applied})
		}
	})
}

func (c *simCluster) completeRequest(cl *simClient, out registerResponse) {
	cl.isWaiting = false
	if !out.unknown {
		cl.version = out.version
	}
	c.events = append(c.events, porcupine.Event{ClientId: 0, Kind: porcupine.ReturnEvent, Value: out, Id: cl.operationID})
}

// runSeed runs a cluster under faults with clients, then without faults until all agree, and
// checks the history.
func runSeed(t testing.TB, seed uint64, ticks int) *simCluster {
	n := 3 + int(seed%2)*2
	c := newSimCluster(t, seed, n)
	clients := make([]*simClient, 4)
	for i := range clients {
		clients[i] = &simClient{}
	}
	for c.tick < ticks {
		c.step()
		for _, cl := range clients {
			switch {
			case !cl.isWaiting && c.rng.Float64() < 0.2:
				c.beginRequest(cl)
			case cl.isWaiting && (c.tick-cl.sentTick)%40 == 39:
				if cl.request.read && c.tick-cl.sentTick > 100 {
					c.completeRequest(cl, registerResponse{unknown: true})
					continue
				}
				cl.member = c.members[c.rng.IntN(n)]
				c.sendRequest(cl)
			}
		}
	}
	c.endFaults()
	c.awaitConvergence(clients, 400)
	for _, cl := range clients {
		if cl.isWaiting {
			c.completeRequest(cl, registerResponse{unknown: true})
		}
	}
	c.checkHistory()
	return c
}

// awaitConvergence waits until all members are up, ready and of one mind: it must come soon after the
// last fault.
func (c *simCluster) awaitConvergence(clients []*simClient, most int) {
	for end := c.tick + most; ; {
		c.step()
		agreed := true
		for _, m := range c.members {
			agreed = agreed && m.core != nil && m.core.IsReady() && m.core.Leader() != 0 && m.core.AppliedIndex() == c.members[0].core.AppliedIndex() &&
				m.core.State().Hash() == c.members[0].core.State().Hash()
		}
		if agreed && c.tick > end-most+60 {
			return
		}
		if c.tick > end {
			for _, m := range c.members {
				if m.core != nil {
					c.t.Logf("member %d: leader %d, index %d, ready %v", m.id, m.core.Leader(), m.core.AppliedIndex(), m.core.IsReady())
				}
			}
			c.fatalf("not of one mind %d ticks after the last fault", most)
		}
	}
}

func (c *simCluster) checkHistory() {
	events := c.events
	res := porcupine.CheckEventsTimeout(registerModel.ToModel(), events, 20*time.Second)
	if res != porcupine.Ok {
		c.fatalf("the history of %d operations is %s", c.operationCount, res)
	}
}

// Under kills, cuts, loss, repeats, reordering and failing disks, all members apply the same
// entries in the same order, histories are linearizable, none serves on an older version
// than it has answered on, and soon after the last fault all agree.
func TestLinearizableUnderFaults(t *testing.T) {
	n := 500
	if testing.Short() {
		n = 20
	} else if raceEnabled { // ten times slower: without it all are played
		n = 60
	}
	ops, versions := 0, uint64(0)
	for seed := range uint64(n) {
		c := runSeed(t, seed, 500)
		ops, versions = ops+c.operationCount, versions+c.members[0].core.State().Version()
	}
	t.Logf("%d seeds, %d operations, %d versions", n, ops, versions)
	if versions < uint64(5*n) {
		t.Errorf("only %d versions: the clusters were down most of the time", versions)
	}
}

// A seed plays out the same every time.
func TestSeedIsDeterministic(t *testing.T) {
	var hashes []string
	for range 3 {
		c := runSeed(t, 11, 400)
		hashes = append(hashes, fmt.Sprint(c.members[0].core.State().Hash(), c.sentCount, c.operationCount))
	}
	if hashes[0] != hashes[1] || hashes[1] != hashes[2] {
		t.Errorf("%v", hashes)
	}
}

// newFaultlessCluster is a cluster without faults of its own, with a leader.
func newFaultlessCluster(t *testing.T, seed uint64) (c *simCluster, leader *simMember) {
	c = newSimCluster(t, seed, 3)
	c.faultsEnded = true
	return c, c.awaitLeader()
}

// awaitLeader steps until one member leads and all others follow it, of those that are not cut off.
func (c *simCluster) awaitLeader() *simMember {
	for range 2000 {
		c.step()
		for _, m := range c.members {
			if m.core != nil && m.core.Leader() == m.id && m.core.IsReady() {
				return m
			}
		}
	}
	c.fatalf("no leader")
	return nil
}

// propose has a change applied at a member.
func (c *simCluster) propose(m *simMember, id string) {
	done := false
	m.core.Propose(putPlanProposal(id, 1), func(o clusterconfig.Outcome, err error) {
		if err != nil || !o.Applied {
			c.fatalf("%s: %+v, %v", id, o, err)
		}
		done = true
	})
	c.processReady(m)
	for range 200 {
		if done {
			return
		}
		c.step()
	}
	c.fatalf("%s is not applied", id)
}

func (c *simCluster) setIsolated(m *simMember, cut bool) {
	for _, o := range c.members {
		c.cutLinks[[2]uint64{m.id, o.id}], c.cutLinks[[2]uint64{o.id, m.id}] = cut, cut
	}
}

func otherMember(c *simCluster, than ...*simMember) *simMember {
	for _, m := range c.members {
		if !slices.Contains(than, m) {
			return m
		}
	}
	return nil
}

// A member that was removed while it was cut off does not know it, and calls elections once
// it can be heard again: the leader stays, in its term, and changes go on.
func TestRemovedMemberCannotDisrupt(t *testing.T) {
	c, leader := newFaultlessCluster(t, 11)
	gone := otherMember(c, leader)
	c.setIsolated(gone, true)
	removed := false
	leader.core.ProposeMembershipChange("remove", []*pb.ConfChangeSingle{{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(gone.id)}}, func(err error) {
		if err != nil {
			c.fatalf("%v", err)
		}
		removed = true
	})
	c.processReady(leader)
	for range 200 {
		c.step()
	}
	if !removed {
		c.fatalf("the member is not removed")
	}
	term := leader.core.rawNode.BasicStatus().GetTerm()
	c.setIsolated(gone, false)
	for i := range 10 {
		for range 60 {
			c.step()
		}
		c.propose(leader, fmt.Sprint("a", i))
	}
	if now := leader.core.rawNode.BasicStatus().GetTerm(); now != term || leader.core.Leader() != leader.id {
		c.fatalf("term %d became %d, leader %d", term, now, leader.core.Leader())
	}
	if v, _ := gone.core.Members(); len(v) != 3 {
		c.fatalf("the removed member knows it")
	}
}

// A member that was cut off until the log behind it was compacted gets a snapshot when the
// cut heals, and serves on what it then has.
func TestSnapshotAfterCompaction(t *testing.T) {
	c, leader := newFaultlessCluster(t, 12)
	late := otherMember(c, leader)
	c.setIsolated(late, true)
	had := late.core.AppliedIndex()
	for i := range 60 {
		c.propose(leader, fmt.Sprint("a", i))
	}
	if first, err := leader.core.raftLog.FirstIndex(); err != nil || first <= had+1 {
		c.fatalf("the log begins at %d, the late member ends at %d", first, had)
	}
	if late.core.AppliedIndex() > had+1 {
		c.fatalf("the cut member has got to %d", late.core.AppliedIndex())
	}
	c.setIsolated(late, false)
	for i := 0; late.core.State().Hash() != leader.core.State().Hash(); i++ {
		if c.step(); i > 500 {
			c.fatalf("the late member has version %d of %d", late.core.State().Version(), leader.core.State().Version())
		}
	}
	c.propose(late, "through the late one")
}

// A leader that was cut off and deposed, and does not know it, confirms no read, and takes no
// change; what others have agreed on meanwhile stands.
func TestDeposedLeader(t *testing.T) {
	c, old := newFaultlessCluster(t, 13)
	c.propose(old, "before")
	c.setIsolated(old, true)
	var read, proposed bool
	old.core.ReadIndex(func(err error) { read = err == nil })
	old.core.Propose(putPlanProposal("lost", 9), func(o clusterconfig.Outcome, err error) { proposed = err == nil && o.Version == 2 })
	c.processReady(old)
	next := otherMember(c, old)
	for range 400 {
		if c.step(); next.core.Leader() != old.id && next.core.Leader() != 0 {
			break
		}
	}
	c.propose(next, "after")
	if read || proposed {
		c.fatalf("the deposed leader has confirmed a read (%v) or a change (%v)", read, proposed)
	}
	c.setIsolated(old, false)
	for i := 0; old.core.State().Hash() != next.core.State().Hash(); i++ {
		if c.step(); i > 500 {
			c.fatalf("the deposed leader does not follow")
		}
	}
	// Its read may be answered now: with all that was agreed on.
	if v := old.core.State().Version(); v < 2 || proposed {
		c.fatalf("version %d, proposed %v", v, proposed)
	}
}

// A leader is lost after a proposal is on its disk and before anyone else has it: the
// proposal comes to nothing there, is applied once when its client repeats it, and the old
// leader gives its entry up when it comes back.
func TestUncommittedProposalIsRetried(t *testing.T) {
	c, old := newFaultlessCluster(t, 14)
	c.propose(old, "before")
	c.setIsolated(old, true)
	old.core.Propose(putPlanProposal("once", 7), func(o clusterconfig.Outcome, err error) {
		if err == nil {
			c.fatalf("answered without a quorum: %+v", o)
		}
	})
	c.processReady(old)
	last, err := old.core.raftLog.LastIndex()
	if err != nil || old.storage.log[last] == nil {
		c.fatalf("the proposal is not on the leader's disk: index %d, %v", last, err)
	}
	c.kill(old)
	next := otherMember(c, old)
	for range 400 {
		if c.step(); next.core.Leader() != old.id && next.core.Leader() != 0 {
			break
		}
	}
	c.propose(next, "meanwhile")
	c.propose(next, "once")
	c.propose(next, "once")
	c.setIsolated(old, false)
	old.restartTick = c.tick
	for i := 0; old.core == nil || old.core.State().Hash() != next.core.State().Hash(); i++ {
		if c.step(); i > 500 {
			c.fatalf("the old leader does not follow")
		}
	}
	h := old.core.State().History()
	if len(h) != 3 || h[1].ID != "meanwhile" || h[2].ID != "once" {
		c.fatalf("history %+v", h)
	}
}
