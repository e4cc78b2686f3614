package raftnode

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"mulleinmux/clusterconfig"
)

// Tests that no acknowledged change is lost when the leader stops during a series of changes. The old leader, restarted
// after the log was compacted past its last entry, must catch up before it is ready, and all members must end with the
// same state.
func TestLeaderLoss(t *testing.T) {
	t.Parallel()
	c := newLiveCluster(t, 3)
	c.await("ready", isLed)
	leader := c.status(1).Leader
	via := leader%3 + 1
	for i := range 20 {
		if o := c.propose(via, putPlanProposal(fmt.Sprint("a", i), i)); !o.IsApplied || o.Version != uint64(i+1) {
			t.Fatalf("outcome of a change: got %+v, want it applied as the next version", o)
		}
	}
	c.stop(leader)
	stoppedAt := time.Now()
	if o := c.propose(via, putPlanProposal("b", 1)); !o.IsApplied || o.Version != 21 {
		t.Fatalf("change after the leader stopped: got %+v, want it applied as version 21", o)
	}
	t.Logf("the next change was applied %v after the leader was stopped", time.Since(stoppedAt))
	// A repeated proposal has its original outcome.
	if o := c.propose(via, putPlanProposal("a3", 3)); !o.IsApplied || o.Version != 4 {
		t.Errorf("repeated proposal: got %+v, want it applied as version 4", o)
	}
	c.proposeConcurrently(via, 8, 60)
	c.start(leader)
	c.awaitConverged(501, via)
	c.checkReads(501)
}

// Tests that a member is ready once any linearizable read is confirmed, not only a read of its own.
func TestReadMakesMemberReady(t *testing.T) {
	t.Parallel()
	core, err := NewCore(Config{ID: 1, Voters: []uint64{1}}, &memoryStorage{})
	if err != nil {
		t.Fatal(err)
	}
	isConfirmed := false
	core.ReadIndex(func(err error) {
		isConfirmed = true
		if err != nil || !core.IsReady() {
			t.Errorf("confirmed read: got error %v, ready %v; want a ready member", err, core.IsReady())
		}
	})
	const maxTicks = 10 * defaultElectionTicks
	for tick := 0; !isConfirmed; tick++ {
		if tick == maxTicks {
			t.Fatalf("the read is not confirmed after %d ticks", maxTicks)
		}
		core.Tick()
		if err := core.ProcessReady(func(*pb.Message) {}); err != nil {
			t.Fatal(err)
		}
	}
}

// checkReads checks that a linearizable read at each member returns the given version.
func (c *liveCluster) checkReads(want uint64) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for id, node := range c.nodes {
		version := uint64(0)
		err := node.LinearizableRead(ctx, func(s *clusterconfig.State) { version = s.Version() })
		if err != nil || version != want {
			c.t.Errorf("read at member %d: got version %d, error %v", id, version, err)
		}
	}
}

// Tests that a minority commits no change and confirms no read, and returns an error for both. After a restart it must
// not be ready until a quorum is running again.
func TestMinorityCannotCommit(t *testing.T) {
	t.Parallel()
	c := newLiveCluster(t, 3)
	c.await("ready", isReady)
	c.propose(1, putPlanProposal("a", 1))
	c.stop(2)
	c.stop(3)
	c.stop(1)
	c.start(1)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := c.nodes[1].Propose(ctx, putPlanProposal("b", 2)); err == nil ||
		!strings.Contains(err.Error(), "leader") {
		t.Errorf("change proposed to a minority: got error %v, want one about the leader", err)
	}
	read := func(*clusterconfig.State) { t.Error("read at a minority: the state was read") }
	if err := c.nodes[1].LinearizableRead(ctx, read); err == nil {
		t.Error("read at a minority: got no error")
	}
	if s := c.status(1); s.Ready || s.Version > 1 {
		t.Errorf("status of a minority: got %+v, want not ready and at most version 1", s)
	}
	c.start(2)
	c.await("ready again", func(s Status) bool { return s.Ready && s.Version >= 1 })
}

// Tests that a change of 8 MiB is applied, and that one over the limit is rejected with an error about its size.
func TestLargeProposal(t *testing.T) {
	t.Parallel()
	c := newLiveClusterWith(t, 3, 200*time.Millisecond, 200) // no election may start while 8 MiB are written
	c.elect(1)
	c.await("ready", isReady)
	text := strings.Repeat("x", 8<<20)
	proposal := putDescriptionProposal(t, "a", clusterconfig.Description{File: "d.yaml", Text: text})
	if o := c.propose(2, proposal); !o.IsApplied {
		t.Errorf("change of 8 MiB: got %+v, want it applied", o)
	}
	c.await("applied everywhere", func(s Status) bool { return s.Version == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	tooLarge := putDescriptionProposal(t, "b", clusterconfig.Description{File: "d.yaml", Text: text + text})
	if _, err := c.nodes[1].Propose(ctx, tooLarge); err == nil || !strings.Contains(err.Error(), "exceed the maximum") {
		t.Errorf("change over the limit: got error %v, want one about its size", err)
	}
}

// Tests that broadcasts reach all other members in order and with the sender's id, and that one that is too long is
// rejected. (TestRejectsForeignPeers tests that receiving one that is too long ends the connection.)
func TestBroadcast(t *testing.T) {
	t.Parallel()
	c := newLiveCluster(t, 3)
	c.await("ready", isLed)
	type delivery struct {
		to, from uint64
		text     string
	}
	deliveries := make(chan delivery, 1000)
	for id, node := range c.nodes {
		node.transport.mu.Lock()
		node.transport.onBroadcast = func(from uint64, text []byte) { deliveries <- delivery{id, from, string(text)} }
		node.transport.mu.Unlock()
	}
	for i := range 20 {
		if err := c.nodes[1].Broadcast([]byte(fmt.Sprint("message ", i))); err != nil {
			t.Fatal(err)
		}
	}
	next := map[uint64]int{} // by receiver
	for range 40 {
		select {
		case d := <-deliveries:
			if d.from != 1 || d.to == 1 || d.text != fmt.Sprint("message ", next[d.to]) {
				t.Fatalf("delivery %+v is misdirected or out of order; next broadcast by receiver: %v", d, next)
			}
			next[d.to]++
		case <-time.After(testTimeout):
			t.Fatalf("broadcasts not received within the timeout; next broadcast by receiver: %v", next)
		}
	}
	if err := c.nodes[1].Broadcast(make([]byte, maxBroadcastBytes+1)); err == nil {
		t.Error("broadcast over the maximum size: got no error")
	}
}

// Guards against a leader that resigns in favour of a member that has died alone: the transfer failed, and the cluster
// had no leader until an election.
func TestResignLeadership(t *testing.T) {
	c := newLiveCluster(t, 3)
	c.elect(3)
	c.await("all are led", isLed)
	c.stop(1) // the first candidate, which looks alive to the leader
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := c.nodes[3].ResignLeadership(ctx); err != nil {
		t.Fatal(err)
	}
	if leader := c.status(3).Leader; leader != 2 {
		t.Errorf("the leader after a resignation is member %d, want 2, the only other one alive", leader)
	}
	if err := c.nodes[3].ResignLeadership(ctx); err != nil {
		t.Errorf("resignation of a member that does not lead: %v", err)
	}
}
