package raftnode

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// Settings of simulated members. Snapshots are frequent, so that a lagging member often needs one.
const (
	simEntriesPerSnapshot = 20
	simCatchUpEntries     = 5
)

// simMember is one member of a simulated cluster.
type simMember struct {
	id            uint64
	core          *Core // nil while it is down
	storage       *memoryStorage
	restartTick   int    // tick from which a killed member is restarted
	servedVersion uint64 // the newest version with which it was ready
}

// inFlightMessage is an encoded message in flight.
type inFlightMessage struct {
	arrivalTick int
	encoded     []byte
}

// link is a one-way link between two members, by member id.
type link struct {
	from, to uint64
}

// simCluster is a simulated cluster with its network and clients. Its run depends only on the seed.
type simCluster struct {
	t    testing.TB
	seed uint64
	rng  *rand.Rand
	tick int

	members     []*simMember
	hashByIndex map[uint64]string // hash of the first state seen at each applied index

	inFlight    []inFlightMessage
	sentCount   int
	cutLinks    map[link]bool
	faultsEnded bool

	events         []porcupine.Event // the clients' history
	operationCount int
	valueCount     int
}

func newSimCluster(t testing.TB, seed uint64, memberCount int) *simCluster {
	jitter.seed(t, seed)
	c := &simCluster{
		t:           t,
		seed:        seed,
		rng:         rand.New(rand.NewPCG(seed, 5)),
		cutLinks:    map[link]bool{},
		hashByIndex: map[uint64]string{},
	}
	for i := range memberCount {
		c.members = append(c.members, &simMember{id: uint64(i + 1), storage: &memoryStorage{}})
	}
	for _, m := range c.members {
		c.start(m)
	}
	return c
}

// fatalf fails the test with a message that includes the seed and the tick.
func (c *simCluster) fatalf(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d, tick %d: %s", c.seed, c.tick, fmt.Sprintf(format, args...))
}

func (c *simCluster) voters() (ids []uint64) {
	for _, m := range c.members {
		ids = append(ids, m.id)
	}
	return ids
}

// start starts a member from its storage. It checks that the member's state after each applied entry equals the states
// of the other members at the same index.
func (c *simCluster) start(m *simMember) {
	core, err := NewCore(Config{
		ID:                 m.id,
		Voters:             c.voters(),
		EntriesPerSnapshot: simEntriesPerSnapshot,
		CatchUpEntries:     simCatchUpEntries,
	}, m.storage)
	if err != nil {
		c.fatalf("start of member %d: %v", m.id, err)
	}
	m.core = core
	core.OnApplied = func(index uint64, _ string, _ clusterconfig.Outcome) {
		hash := core.State().Hash()
		if first, ok := c.hashByIndex[index]; ok && first != hash {
			c.fatalf("member %d: state after entry %d differs from that of another member", m.id, index)
		}
		c.hashByIndex[index] = hash
	}
}

// processReady processes a member's pending output. It kills the member if its storage fails.
func (c *simCluster) processReady(m *simMember) {
	err := m.core.ProcessReady(c.send)
	if err == nil {
		return
	}
	if !errors.Is(err, errSyncFailed) {
		c.fatalf("member %d: %v", m.id, err)
	}
	c.kill(m)
}

// kill stops a member for a random time.
func (c *simCluster) kill(m *simMember) {
	m.core = nil
	m.restartTick = c.tick + 5 + c.rng.IntN(60)
}

// send sends a message through the simulated network, which may lose, duplicate or delay it.
func (c *simCluster) send(msg *pb.Message) {
	isCut := c.cutLinks[link{msg.GetFrom(), msg.GetTo()}]
	if isCut || !c.faultsEnded && c.rng.Float64() < 0.05 {
		return
	}
	copies := 1
	if !c.faultsEnded && c.rng.Float64() < 0.03 {
		copies = 2
	}
	for range copies {
		c.sentCount++
		arrivalTick := c.tick + c.drawDelay()
		c.inFlight = append(c.inFlight, inFlightMessage{arrivalTick, mustMarshal(msg)})
	}
}

// drawDelay returns a random delivery delay in ticks.
func (c *simCluster) drawDelay() int {
	delay := 1
	if c.faultsEnded {
		return delay
	}
	delay += c.rng.IntN(3)
	if c.rng.Float64() < 0.05 {
		delay += c.rng.IntN(30)
	}
	return delay
}

// step runs one tick of the simulation.
func (c *simCluster) step() {
	c.tick++
	c.injectFaults()
	for _, message := range c.takeDue() {
		c.deliver(message)
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

// takeDue removes the messages that are due from the network and returns them in random order.
func (c *simCluster) takeDue() []inFlightMessage {
	var due []inFlightMessage
	remaining := c.inFlight[:0]
	for _, message := range c.inFlight {
		if message.arrivalTick <= c.tick {
			due = append(due, message)
		} else {
			remaining = append(remaining, message)
		}
	}
	c.inFlight = remaining
	c.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	return due
}

// deliver passes a message to its receiver, if the receiver is running.
func (c *simCluster) deliver(message inFlightMessage) {
	msg := &pb.Message{}
	if err := proto.Unmarshal(message.encoded, msg); err != nil {
		c.fatalf("%v", err)
	}
	receiver := c.members[msg.GetTo()-1]
	if receiver.core == nil {
		return
	}
	receiver.core.Step(msg)
	if msg.GetType() == pb.MsgSnap {
		sender := c.members[msg.GetFrom()-1]
		if sender.core != nil {
			sender.core.ReportSnapshot(receiver.id, true)
		}
	}
	c.processReady(receiver)
}

// checkServedVersion checks that the version of a ready member is never older than an earlier version with which it was
// ready, also across restarts.
func (c *simCluster) checkServedVersion(m *simMember) {
	if m.core == nil || !m.core.IsReady() {
		return
	}
	version := m.core.State().Version()
	if version < m.servedVersion {
		c.fatalf("member %d is ready with version %d after it was ready with version %d", m.id, version, m.servedVersion)
	}
	m.servedVersion = version
}

// awaitLeader steps until a leader is ready and returns it.
func (c *simCluster) awaitLeader() *simMember {
	for range 2000 {
		c.step()
		for _, m := range c.members {
			if m.core != nil && m.core.Leader() == m.id && m.core.IsReady() {
				return m
			}
		}
	}
	c.fatalf("no leader is ready after the maximum number of ticks")
	return nil
}

// propose proposes a change to a member and steps until it is applied.
func (c *simCluster) propose(m *simMember, id string) {
	isApplied := false
	m.core.Propose(putPlanProposal(id, 1), func(o clusterconfig.Outcome, err error) {
		if err != nil || !o.IsApplied {
			c.fatalf("proposal %s: got %+v, error %v, want it applied", id, o, err)
		}
		isApplied = true
	})
	c.processReady(m)
	for range 200 {
		if isApplied {
			return
		}
		c.step()
	}
	c.fatalf("proposal %s is not applied after the maximum number of ticks", id)
}

// otherMember returns the first member that is not among the given ones.
func (c *simCluster) otherMember(excluded ...*simMember) *simMember {
	for _, m := range c.members {
		if !slices.Contains(excluded, m) {
			return m
		}
	}
	return nil
}
