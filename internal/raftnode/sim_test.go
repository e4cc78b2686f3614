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

// memDisk is a disk in memory, which keeps encoded copies: what a member does to a message
// later does not reach it.
type memDisk struct {
	hard, snap []byte
	log        map[uint64][]byte
	fail       func() bool // an fsync that fails; nil: none does
}

var errDisk = errors.New("fsync failed on purpose")

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func (d *memDisk) Load() (k PersistedState, err error) {
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

func (d *memDisk) Save(hs *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot, sync bool) error {
	if !sync {
		return nil // may be lost, and is
	}
	if d.fail != nil && d.fail() {
		return errDisk // nothing of it is kept
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

func (d *memDisk) SaveSnapshot(snap *pb.Snapshot) error {
	if d.fail != nil && d.fail() {
		return errDisk
	}
	d.snap = mustMarshal(snap)
	return nil
}

func (d *memDisk) Compact(index uint64) error {
	for i := index; d.log[i] != nil; i-- {
		delete(d.log, i)
	}
	return nil
}

// seeded is a source of bytes for the engine's election jitter.
type seeded struct{ rng *rand.Rand }

func (s seeded) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(s.rng.Uint32())
	}
	return len(p), nil
}

// ownJitter has the engine's jitter follow from a seed while a test runs.
func ownJitter(t testing.TB, seed uint64) {
	old := cryptorand.Reader
	cryptorand.Reader = io.Reader(seeded{rand.New(rand.NewPCG(seed, 77))})
	t.Cleanup(func() { cryptorand.Reader = old })
}

// packet is a message on its way.
type packet struct {
	at, n int // tick of its arrival, and a number that breaks ties
	text  []byte
}

// member is one member of a simulated cluster.
type member struct {
	id   uint64
	core *Core
	disk *memDisk
	down int    // tick until which it is down; 0: it is up
	told uint64 // the newest version that it has answered a client with
}

// cluster is a simulated cluster and its clients.
type cluster struct {
	t       testing.TB
	seed    uint64
	rng     *rand.Rand
	members []*member
	flying  []packet
	packets int
	tick    int
	cut     map[[2]uint64]bool // one-way cuts
	calm    bool               // no more faults
	hashes  map[uint64]string  // of the chain, by index, as first seen
	events  []porcupine.Event
	ops     int
	values  int
}

func (c *cluster) fatalf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d, tick %d: %s", c.seed, c.tick, fmt.Sprintf(format, args...))
}

func newCluster(t testing.TB, seed uint64, n int) *cluster {
	ownJitter(t, seed)
	c := &cluster{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), cut: map[[2]uint64]bool{}, hashes: map[uint64]string{}}
	for i := range n {
		m := &member{id: uint64(i + 1), disk: &memDisk{}}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

func (c *cluster) voters() (ids []uint64) {
	for _, m := range c.members {
		ids = append(ids, m.id)
	}
	return ids
}

func (c *cluster) start(m *member) {
	core, err := NewCore(Config{ID: m.id, Voters: c.voters(), EntriesPerSnapshot: 20, CatchUpEntries: 5}, m.disk)
	if err != nil {
		c.fatalf("member %d does not start: %v", m.id, err)
	}
	m.core, m.down = core, 0
	core.OnApplied = func(index uint64, id string, o clusterconfig.Outcome) {
		hash := core.State().Hash()
		if first, ok := c.hashes[index]; ok && first != hash {
			c.fatalf("member %d has applied another entry at index %d", m.id, index)
		}
		c.hashes[index] = hash
	}
}

// work has a member do its work; one whose disk fails goes down.
func (c *cluster) work(m *member) {
	if err := m.core.ProcessReady(c.send); err != nil {
		if !errors.Is(err, errDisk) {
			c.fatalf("member %d: %v", m.id, err)
		}
		c.kill(m)
	}
}

func (c *cluster) kill(m *member) {
	m.core, m.down = nil, c.tick+5+c.rng.IntN(60)
}

func (c *cluster) send(msg *pb.Message) {
	from, to := msg.GetFrom(), msg.GetTo()
	if c.cut[[2]uint64{from, to}] || !c.calm && c.rng.Float64() < 0.05 {
		return
	}
	copies := 1
	if !c.calm && c.rng.Float64() < 0.03 {
		copies = 2
	}
	for range copies {
		delay := 1
		if !c.calm {
			delay += c.rng.IntN(3)
			if c.rng.Float64() < 0.05 {
				delay += c.rng.IntN(30)
			}
		}
		c.packets++
		c.flying = append(c.flying, packet{c.tick + delay, c.packets, mustMarshal(msg)})
	}
}

// step is one tick of the world.
func (c *cluster) step() {
	c.tick++
	c.faults()
	var due []packet
	rest := c.flying[:0]
	for _, p := range c.flying {
		if p.at <= c.tick {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	c.flying = rest
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		msg := &pb.Message{}
		if err := proto.Unmarshal(p.text, msg); err != nil {
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
		c.work(m)
	}
	for _, m := range c.members {
		if m.core == nil {
			if m.down <= c.tick {
				c.start(m)
			}
			continue
		}
		m.core.Tick()
		c.work(m)
		c.serve(m)
	}
}

// serve checks the serving rule: a member that would send traffic on does so with a
// version no older than one it has answered with, across its restarts.
func (c *cluster) serve(m *member) {
	if m.core == nil || !m.core.IsReady() {
		return
	}
	v := m.core.State().Version()
	if v < m.told {
		c.fatalf("member %d serves on version %d after it has answered on %d", m.id, v, m.told)
	}
	m.told = v
}

func (c *cluster) faults() {
	if c.calm {
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
		c.cut[[2]uint64{a, b}] = true
		if c.rng.Float64() < 0.5 {
			c.cut[[2]uint64{b, a}] = true
		}
	case x < 0.025: // cut one off altogether
		a := c.members[c.rng.IntN(len(c.members))].id
		for _, m := range c.members {
			c.cut[[2]uint64{a, m.id}], c.cut[[2]uint64{m.id, a}] = true, true
		}
	case x < 0.04:
		clear(c.cut)
	case x < 0.045:
		m, left := c.members[c.rng.IntN(len(c.members))], 1+c.rng.IntN(3)
		m.disk.fail = func() bool { left--; return left == 0 }
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	c.calm = true
	clear(c.cut)
	for _, m := range c.members {
		m.disk.fail = nil
		if m.core == nil {
			m.down = c.tick
		}
	}
}

// The object that clients read and write, as porcupine sees it: a value, and the version
// in force, since a proposal may say on which version it builds.
type input struct {
	read  bool
	value string
	base  int64 // -1: any
}

type output struct {
	value   string
	version uint64
	refused bool
	unknown bool // it may have been applied, then or later, or never
}

type register struct {
	value   string
	version uint64
}

var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, request, answer any) []any {
		s, in, out := state.(register), request.(input), answer.(output)
		if in.read {
			if out.unknown || out.value == s.value && out.version == s.version {
				return []any{s}
			}
			return nil
		}
		next := register{in.value, s.version + 1}
		fits := in.base < 0 || uint64(in.base) == s.version
		switch {
		case out.unknown && fits:
			return []any{s, next}
		case out.unknown:
			return []any{s}
		case out.refused && !fits && out.version == s.version:
			return []any{s}
		case !out.refused && fits && out.version == next.version:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// client is one operator, with one request under way at a time.
type client struct {
	busy    bool
	id      int
	in      input
	p       *clusterconfig.Proposal
	since   int
	version uint64 // last seen
	at      *member
}

func (c *cluster) begin(cl *client) {
	cl.busy, cl.id, cl.since = true, c.ops, c.tick
	c.ops++
	cl.at = c.members[c.rng.IntN(len(c.members))]
	if cl.in = (input{read: true}); c.rng.Float64() < 0.6 {
		c.values++
		cl.in = input{value: fmt.Sprintf("plan-%d", c.values), base: -1}
		if c.rng.Float64() < 0.5 {
			cl.in.base = int64(cl.version)
		}
		cl.p = proposal(fmt.Sprintf("op-%d", c.values), cl.in.value)
		if cl.in.base >= 0 {
			base := cl.version
			cl.p.BaseVersion = &base
		}
	}
	c.events = append(c.events, porcupine.Event{ClientId: 0, Kind: porcupine.CallEvent, Value: cl.in, Id: cl.id})
	c.ask(cl)
}

// proposal puts a plan, under a name of one length, whose price tells the value.
func proposal(id, value string) *clusterconfig.Proposal {
	var n int
	fmt.Sscanf(value, "plan-%d", &n)
	return &clusterconfig.Proposal{ID: id, Changes: []clusterconfig.Change{{Op: "put", Kind: "plan", Name: "x", Value: json.RawMessage(fmt.Sprintf(`{"rate":0,"burst":0,"price":%d}`, n))}}}
}

func valueOf(s *clusterconfig.State) string {
	if p, ok := clusterconfig.ObjectsByName[clusterconfig.Plan](s, "plan")["x"]; ok {
		return fmt.Sprintf("plan-%d", int(p.PriorityFactor))
	}
	return ""
}

// ask sends the client's request to the member that it has chosen. A proposal whose answer
// is lost is repeated, under its id, at another member.
func (c *cluster) ask(cl *client) {
	m, op := cl.at, cl.id
	if m.core == nil {
		return
	}
	core := m.core
	if cl.in.read {
		core.ReadIndex(func(err error) {
			if err == nil && cl.busy && cl.id == op {
				c.done(cl, output{value: valueOf(core.State()), version: core.State().Version()})
			}
		})
		return
	}
	core.Propose(cl.p, func(o clusterconfig.Outcome, err error) {
		if err == nil && cl.busy && cl.id == op {
			c.done(cl, output{version: o.Version, refused: !o.IsApplied})
		}
	})
}

func (c *cluster) done(cl *client, out output) {
	cl.busy = false
	if !out.unknown {
		cl.version = out.version
	}
	c.events = append(c.events, porcupine.Event{ClientId: 0, Kind: porcupine.ReturnEvent, Value: out, Id: cl.id})
}

// play runs a cluster under faults with clients, then without faults until all agree, and
// checks the history.
func play(t testing.TB, seed uint64, ticks int) *cluster {
	n := 3 + int(seed%2)*2
	c := newCluster(t, seed, n)
	clients := make([]*client, 4)
	for i := range clients {
		clients[i] = &client{}
	}
	for c.tick < ticks {
		c.step()
		for _, cl := range clients {
			switch {
			case !cl.busy && c.rng.Float64() < 0.2:
				c.begin(cl)
			case cl.busy && (c.tick-cl.since)%40 == 39:
				if cl.in.read && c.tick-cl.since > 100 {
					c.done(cl, output{unknown: true})
					continue
				}
				cl.at = c.members[c.rng.IntN(n)]
				c.ask(cl)
			}
		}
	}
	c.heal()
	c.settle(clients, 400)
	for _, cl := range clients {
		if cl.busy {
			c.done(cl, output{unknown: true})
		}
	}
	c.check()
	return c
}

// settle waits until all members are up, ready and of one mind: it must come soon after the
// last fault.
func (c *cluster) settle(clients []*client, most int) {
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

func (c *cluster) check() {
	events := c.events
	res := porcupine.CheckEventsTimeout(model.ToModel(), events, 20*time.Second)
	if res != porcupine.Ok {
		c.fatalf("the history of %d operations is %s", c.ops, res)
	}
}

// Under kills, cuts, loss, repeats, reordering and failing disks, all members apply the same
// entries in the same order, histories are linearizable, none serves on an older version
// than it has answered on, and soon after the last fault all agree.
func TestSeeds(t *testing.T) {
	n := 500
	if testing.Short() {
		n = 20
	} else if raceEnabled { // ten times slower: without it all are played
		n = 60
	}
	ops, versions := 0, uint64(0)
	for seed := range uint64(n) {
		c := play(t, seed, 500)
		ops, versions = ops+c.ops, versions+c.members[0].core.State().Version()
	}
	t.Logf("%d seeds, %d operations, %d versions", n, ops, versions)
	if versions < uint64(5*n) {
		t.Errorf("only %d versions: the clusters were down most of the time", versions)
	}
}

// A seed plays out the same every time.
func TestSeedRepeats(t *testing.T) {
	var hashes []string
	for range 3 {
		c := play(t, 11, 400)
		hashes = append(hashes, fmt.Sprint(c.members[0].core.State().Hash(), c.packets, c.ops))
	}
	if hashes[0] != hashes[1] || hashes[1] != hashes[2] {
		t.Errorf("%v", hashes)
	}
}

// calmCluster is a cluster without faults of its own, with a leader.
func calmCluster(t *testing.T, seed uint64) (c *cluster, leader *member) {
	c = newCluster(t, seed, 3)
	c.calm = true
	return c, c.leads()
}

// leads steps until one member leads and all others follow it, of those that are not cut off.
func (c *cluster) leads() *member {
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

// put has a change applied at a member.
func (c *cluster) put(m *member, id string) {
	done := false
	m.core.Propose(planPut(id, 1), func(o clusterconfig.Outcome, err error) {
		if err != nil || !o.IsApplied {
			c.fatalf("%s: %+v, %v", id, o, err)
		}
		done = true
	})
	c.work(m)
	for range 200 {
		if done {
			return
		}
		c.step()
	}
	c.fatalf("%s is not applied", id)
}

func (c *cluster) cutOff(m *member, cut bool) {
	for _, o := range c.members {
		c.cut[[2]uint64{m.id, o.id}], c.cut[[2]uint64{o.id, m.id}] = cut, cut
	}
}

func other(c *cluster, than ...*member) *member {
	for _, m := range c.members {
		if !slices.Contains(than, m) {
			return m
		}
	}
	return nil
}

// A member that was removed while it was cut off does not know it, and calls elections once
// it can be heard again: the leader stays, in its term, and changes go on.
func TestRemovedCallsElections(t *testing.T) {
	c, leader := calmCluster(t, 11)
	gone := other(c, leader)
	c.cutOff(gone, true)
	removed := false
	leader.core.ProposeMembershipChange("remove", []*pb.ConfChangeSingle{{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(gone.id)}}, func(err error) {
		if err != nil {
			c.fatalf("%v", err)
		}
		removed = true
	})
	c.work(leader)
	for range 200 {
		c.step()
	}
	if !removed {
		c.fatalf("the member is not removed")
	}
	term := leader.core.rn.BasicStatus().GetTerm()
	c.cutOff(gone, false)
	for i := range 10 {
		for range 60 {
			c.step()
		}
		c.put(leader, fmt.Sprint("a", i))
	}
	if now := leader.core.rn.BasicStatus().GetTerm(); now != term || leader.core.Leader() != leader.id {
		c.fatalf("term %d became %d, leader %d", term, now, leader.core.Leader())
	}
	if v, _ := gone.core.Members(); len(v) != 3 {
		c.fatalf("the removed member knows it")
	}
}

// A member that was cut off until the log behind it was compacted gets a snapshot when the
// cut heals, and serves on what it then has.
func TestHealsAfterCompaction(t *testing.T) {
	c, leader := calmCluster(t, 12)
	late := other(c, leader)
	c.cutOff(late, true)
	had := late.core.AppliedIndex()
	for i := range 60 {
		c.put(leader, fmt.Sprint("a", i))
	}
	if first, err := leader.core.mem.FirstIndex(); err != nil || first <= had+1 {
		c.fatalf("the log begins at %d, the late member ends at %d", first, had)
	}
	if late.core.AppliedIndex() > had+1 {
		c.fatalf("the cut member has got to %d", late.core.AppliedIndex())
	}
	c.cutOff(late, false)
	for i := 0; late.core.State().Hash() != leader.core.State().Hash(); i++ {
		if c.step(); i > 500 {
			c.fatalf("the late member has version %d of %d", late.core.State().Version(), leader.core.State().Version())
		}
	}
	c.put(late, "through the late one")
}

// A leader that was cut off and deposed, and does not know it, confirms no read, and takes no
// change; what others have agreed on meanwhile stands.
func TestDeposedLeader(t *testing.T) {
	c, old := calmCluster(t, 13)
	c.put(old, "before")
	c.cutOff(old, true)
	var read, proposed bool
	old.core.ReadIndex(func(err error) { read = err == nil })
	old.core.Propose(planPut("lost", 9), func(o clusterconfig.Outcome, err error) { proposed = err == nil && o.Version == 2 })
	c.work(old)
	next := other(c, old)
	for range 400 {
		if c.step(); next.core.Leader() != old.id && next.core.Leader() != 0 {
			break
		}
	}
	c.put(next, "after")
	if read || proposed {
		c.fatalf("the deposed leader has confirmed a read (%v) or a change (%v)", read, proposed)
	}
	c.cutOff(old, false)
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
func TestLostBeforeCommit(t *testing.T) {
	c, old := calmCluster(t, 14)
	c.put(old, "before")
	c.cutOff(old, true)
	old.core.Propose(planPut("once", 7), func(o clusterconfig.Outcome, err error) {
		if err == nil {
			c.fatalf("answered without a quorum: %+v", o)
		}
	})
	c.work(old)
	last, err := old.core.mem.LastIndex()
	if err != nil || old.disk.log[last] == nil {
		c.fatalf("the proposal is not on the leader's disk: index %d, %v", last, err)
	}
	c.kill(old)
	next := other(c, old)
	for range 400 {
		if c.step(); next.core.Leader() != old.id && next.core.Leader() != 0 {
			break
		}
	}
	c.put(next, "meanwhile")
	c.put(next, "once")
	c.put(next, "once")
	c.cutOff(old, false)
	old.down = c.tick
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
