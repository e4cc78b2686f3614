package raftnode

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/testserver"
)

// testTimeout limits every wait in the tests. It is far longer than any expected wait.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	cryptorand.Reader = jitter
	goleak.VerifyTestMain(m)
}

// Defaults of newLiveCluster.
const (
	liveTickInterval       = 20 * time.Millisecond
	liveEntriesPerSnapshot = 200
	liveCatchUpEntries     = 20
)

// liveCluster is a cluster of nodes that use real time, sockets and files. Its members have ids from 1 on.
type liveCluster struct {
	t                  testing.TB
	dir                string
	authority          *Authority
	addresses          map[uint64]string
	listeners          map[uint64]net.Listener // opened for the first start of a member
	nodes              map[uint64]*Node        // running members
	storages           map[uint64]*BoltStorage // open files
	tickInterval       time.Duration
	entriesPerSnapshot uint64
}

func newLiveCluster(t testing.TB, memberCount int) *liveCluster {
	t.Helper()
	return newLiveClusterWith(t, memberCount, liveTickInterval, liveEntriesPerSnapshot)
}

func newLiveClusterWith(t testing.TB, memberCount int,
	tickInterval time.Duration, entriesPerSnapshot uint64) *liveCluster {
	t.Helper()
	c := &liveCluster{
		t:                  t,
		dir:                t.TempDir(),
		authority:          newAuthority(t, "test"),
		addresses:          map[uint64]string{},
		listeners:          map[uint64]net.Listener{},
		nodes:              map[uint64]*Node{},
		storages:           map[uint64]*BoltStorage{},
		tickInterval:       tickInterval,
		entriesPerSnapshot: entriesPerSnapshot,
	}
	for id := uint64(1); id <= uint64(memberCount); id++ {
		address, err := testserver.FreeAddr("tcp") // stays reserved while the member is stopped
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		c.listeners[id] = listener
		c.addresses[id] = address
	}
	for id := uint64(1); id <= uint64(memberCount); id++ {
		c.start(id)
	}
	t.Cleanup(c.stopAll)
	return c
}

// newAuthority creates the authority of a cluster.
func newAuthority(t testing.TB, cluster string) *Authority {
	t.Helper()
	authority, err := NewAuthority(cluster)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// path returns the path of a member's file.
func (c *liveCluster) path(id uint64) string {
	return filepath.Join(c.dir, fmt.Sprint(id, ".db"))
}

// start starts a member, always at the same address.
func (c *liveCluster) start(id uint64) {
	c.t.Helper()
	listener := c.listeners[id]
	delete(c.listeners, id)
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", c.addresses[id]); err != nil {
			c.t.Fatal(err)
		}
	}
	storage, err := OpenBoltStorage(c.path(id), "test", id)
	if err != nil {
		c.t.Fatal(err)
	}
	credentials, err := c.authority.IssueCredentials(id)
	if err != nil {
		c.t.Fatal(err)
	}
	node, err := Start(NodeConfig{
		Config: Config{
			ID:                 id,
			Voters:             slices.Sorted(maps.Keys(c.addresses)),
			EntriesPerSnapshot: c.entriesPerSnapshot,
			CatchUpEntries:     liveCatchUpEntries,
		},
		Cluster:       "test",
		Credentials:   credentials,
		Incarnation:   storage.Incarnation(),
		TickInterval:  c.tickInterval,
		PeerAddresses: c.addresses,
		Logger:        slog.New(slog.DiscardHandler),
	}, storage, listener)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[id] = node
	c.storages[id] = storage
}

// stop stops a member and closes its file.
func (c *liveCluster) stop(id uint64) {
	c.nodes[id].Stop()
	delete(c.nodes, id)
	if err := c.storages[id].Close(); err != nil {
		c.t.Error(err)
	}
}

func (c *liveCluster) stopAll() {
	for id := range c.nodes {
		c.stop(id)
	}
}

func (c *liveCluster) status(id uint64) Status {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	status, err := c.nodes[id].Status(ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	return status
}

// isReady and isLed are conditions for await.
func isReady(s Status) bool { return s.Ready }
func isLed(s Status) bool   { return s.Ready && s.Leader != 0 }

// await waits until a condition holds for every running member.
func (c *liveCluster) await(what string, condition func(Status) bool) {
	c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !c.holdsForAll(condition) {
		if time.Now().After(deadline) {
			c.t.Fatalf("condition not met within the timeout: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *liveCluster) holdsForAll(condition func(Status) bool) bool {
	c.t.Helper()
	for id := range c.nodes {
		if !condition(c.status(id)) {
			return false
		}
	}
	return true
}

// elect makes a member the leader of a cluster without a leader, without waiting for the election timeout.
func (c *liveCluster) elect(id uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for c.status(id).Leader != id { // repeated, since votes are lost until the members are connected
		node := c.nodes[id]
		if err := node.loop.call(ctx, func() { node.core.rawNode.Campaign() }); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(c.tickInterval / 4)
	}
}

// awaitConverged waits until every running member is ready, has the given version, and has the same state as the member
// reference.
func (c *liveCluster) awaitConverged(version, reference uint64) {
	c.t.Helper()
	c.await("ready and converged", func(s Status) bool {
		return s.Ready && s.Version == version && s.Hash == c.status(reference).Hash
	})
}

// followers returns the two followers of a cluster of three, according to member 1.
func (c *liveCluster) followers() (first, second uint64) {
	c.t.Helper()
	leader := c.status(1).Leader
	first = leader%3 + 1
	return first, 6 - first - leader
}

// propose proposes a change to a member and returns its outcome.
func (c *liveCluster) propose(id uint64, p *clusterconfig.Proposal) clusterconfig.Outcome {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	outcome, err := c.nodes[id].Propose(ctx, p)
	if err != nil {
		c.t.Fatal(err)
	}
	return outcome
}

// proposeConcurrently runs concurrent operators, each of which proposes changesEach changes to a member, and waits for
// all of them.
func (c *liveCluster) proposeConcurrently(id uint64, operators, changesEach int) {
	c.t.Helper()
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			for i := range changesEach {
				c.propose(id, putPlanProposal(fmt.Sprint("operator-", operator, "-", i), i))
			}
		})
	}
	running.Wait()
}

// putPlanProposal returns a proposal that puts a plan, always under the same name.
func putPlanProposal(id string, price int) *clusterconfig.Proposal {
	plan := json.RawMessage(fmt.Sprintf(`{"rate":0,"burst":0,"price":%d}`, price))
	return &clusterconfig.Proposal{
		ID:      id,
		Changes: []clusterconfig.Change{{Op: "put", Kind: "plan", Name: "x", Value: plan}},
	}
}

// putDescriptionProposal returns a proposal that puts a description.
func putDescriptionProposal(t testing.TB, id string, description clusterconfig.Description) *clusterconfig.Proposal {
	t.Helper()
	value, err := json.Marshal(description)
	if err != nil {
		t.Fatal(err)
	}
	return &clusterconfig.Proposal{
		ID:      id,
		Changes: []clusterconfig.Change{{Op: "put", Kind: "description", Name: "d", Value: value}},
	}
}
