package raftnode

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// encodeFrame returns an encoded frame, and encodeFrameHeader an encoded header.
func encodeFrame(kind frameKind, payload []byte) []byte {
	return append(encodeFrameHeader(kind, len(payload)), payload...)
}

func encodeFrameHeader(kind frameKind, length int) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(kind)<<28|uint32(length))
}

// Tests that a member closes the connection of a peer that is not a member of the cluster, sends messages in the name
// of another member, or sends invalid frames, and that the cluster continues to work. The test is not parallel, since a
// leader must be known at its end.
func TestRejectsForeignPeers(t *testing.T) {
	c := newLiveCluster(t, 3)
	c.await("ready", isReady)
	otherAuthority := newAuthority(t, "test") // the same cluster name with another key
	otherClusterAuthority := newAuthority(t, "elsewhere")
	voteFrame := encodeFrame(frameMessage, mustMarshal(voteOfMember3()))
	helloFrame := encodeFrame(frameHello, hello{}.encode())
	tooLongBroadcast := encodeFrameHeader(frameBroadcast, maxBroadcastBytes+1)
	for _, test := range []struct {
		name      string
		authority *Authority
		member    uint64
		stream    []byte
	}{
		{"another authority", otherAuthority, 2, slices.Concat(helloFrame, voteFrame)},
		{"another cluster", otherClusterAuthority, 2, slices.Concat(helloFrame, voteFrame)},
		{"in another's name", c.authority, 2, slices.Concat(helloFrame, voteFrame)},
		{"unbounded frame", c.authority, 2, binary.BigEndian.AppendUint32(nil, 1<<31)},
		{"noise", c.authority, 2, []byte{0, 0, 0, 3, 0xff, 0xff, 0xff}},
		{"broadcast too long", c.authority, 3, slices.Concat(helloFrame, tooLongBroadcast)},
		{"no hello", c.authority, 3, voteFrame},
	} {
		t.Run(test.name, func(t *testing.T) { c.checkRejectsStream(t, test.authority, test.member, test.stream) })
	}
	if s := c.status(1); s.Leader == 0 {
		t.Errorf("status after the rejected peers: got %+v, want a leader", s)
	}
	if o := c.propose(1, putPlanProposal("a", 1)); !o.IsApplied {
		t.Errorf("change after the rejected peers: got %+v, want it applied", o)
	}
}

// voteOfMember3 returns a vote request of member 3 in a term so high that it would disrupt the cluster.
func voteOfMember3() *pb.Message {
	return &pb.Message{
		Type: pb.MsgVote.Enum(),
		From: proto.Uint64(3),
		To:   proto.Uint64(1),
		Term: proto.Uint64(1 << 40),
	}
}

// checkRejectsStream checks that member 1 closes the connection of a peer that sends the given stream.
func (c *liveCluster) checkRejectsStream(t *testing.T, authority *Authority, member uint64, stream []byte) {
	t.Helper()
	credentials, err := authority.IssueCredentials(member)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", c.addresses[1], &tls.Config{
		Certificates:       []tls.Certificate{credentials.Certificate},
		InsecureSkipVerify: true,
	})
	if err != nil {
		return // rejected in the handshake
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	conn.Write(stream)
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the member responded to the peer instead of closing the connection")
	}
}

// Tests that a member that restarts with an older copy of its file stops and is rejected by the others, since it could
// vote again in a term in which it has voted, and that it is accepted when it restarts with its newest file. The test
// is not parallel, since the leader must not change: only the leader whose entries the member has acknowledged sends it
// the entries that follow them.
func TestRejectsOlderFile(t *testing.T) {
	c := newLiveCluster(t, 3)
	c.await("ready", isLed)
	id, other := c.followers()
	c.stop(id)
	old := readFile(t, c.path(id))
	c.start(id)
	c.await("ready again", isReady)
	c.propose(other, putPlanProposal("a", 1))
	// A majority is not enough: this member must have acknowledged the change.
	c.await("all have it", func(s Status) bool { return s.Version == 1 })
	c.stop(id)
	newest := readFile(t, c.path(id))
	writeFile(t, c.path(id), old)
	c.start(id)
	// The leader sends entries that follow the ones that the member has acknowledged and now lacks.
	select {
	case <-c.nodes[id].Done():
		if err := c.nodes[id].Err(); !errors.Is(err, ErrStaleStorage) {
			t.Errorf("member with an old copy stopped: got error %v, want ErrStaleStorage", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("member with an old copy did not stop within the timeout")
	}
	c.checkHelloIsRemembered(other, id)
	if o := c.propose(other, putPlanProposal("b", 1)); !o.IsApplied {
		t.Errorf("change by the other members: got %+v, want it applied", o)
	}
	c.stop(id)
	writeFile(t, c.path(id), newest)
	c.start(id)
	c.await("ready with its own file", func(s Status) bool { return s.Ready && s.Version == 2 })
}

// checkHelloIsRemembered checks that a peer rejects hellos from older copies of the file of a member, which was started
// three times. It then removes the peer's record of the member's hello.
func (c *liveCluster) checkHelloIsRemembered(peer, member uint64) {
	c.t.Helper()
	transport := c.nodes[peer].transport
	for _, old := range []hello{{1, 5}, {2, 99}} {
		if err := transport.acceptHello(member, old.encode()); err == nil {
			c.t.Error("hello from an old copy of the file: got no error")
		}
	}
	if err := transport.acceptHello(member, hello{4, 99}.encode()); err != nil {
		c.t.Errorf("hello from a new incarnation: %v", err)
	}
	transport.mu.Lock()
	defer transport.mu.Unlock()
	delete(transport.newestHello, member)
}

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func writeFile(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Tests two clusters of the same name with swapped peer addresses. Neither may accept members of the other, and both
// must continue when the addresses are corrected.
func TestSwappedClusterAddresses(t *testing.T) {
	t.Parallel()
	a := newLiveCluster(t, 3)
	b := newLiveCluster(t, 3)
	a.await("ready", isLed)
	b.await("ready", isLed)
	a.propose(1, putPlanProposal("a", 1))
	b.propose(1, putPlanProposal("b", 1))
	b.propose(1, putPlanProposal("b2", 2))
	a.setPeers(b.addresses)
	b.setPeers(a.addresses)
	for end := time.Now().Add(40 * a.tickInterval); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for id := range a.nodes {
			if statusA, statusB := a.status(id), b.status(id); statusA.Version > 1 || statusB.Version > 2 {
				t.Fatalf("versions with swapped addresses: got %d and %d, want at most 1 and 2", statusA.Version, statusB.Version)
			}
		}
	}
	a.setPeers(a.addresses)
	b.setPeers(b.addresses)
	if o := a.propose(2, putPlanProposal("a2", 1)); o.Version != 2 {
		t.Errorf("change in cluster a: got %+v, want version 2", o)
	}
	if o := b.propose(2, putPlanProposal("b3", 1)); o.Version != 3 {
		t.Errorf("change in cluster b: got %+v, want version 3", o)
	}
}

// setPeers sets the peer addresses of all members.
func (c *liveCluster) setPeers(addresses map[uint64]string) {
	for _, node := range c.nodes {
		node.SetPeers(addresses)
	}
}

// Tests that a snapshot in many parts brings a member up to date whose missing entries are no longer in the log.
func TestSnapshotTransfer(t *testing.T) {
	t.Parallel()
	c := newLiveClusterWith(t, 3, 40*time.Millisecond, 30)
	c.await("ready", isLed)
	lagging, other := c.followers()
	c.stop(lagging)
	long := clusterconfig.Description{File: "f", Text: strings.Repeat("x", 10*snapshotPartBytes)}
	c.propose(other, putDescriptionProposal(t, "long", long))
	c.proposeConcurrently(other, 6, 10) // more entries than are kept after a snapshot
	c.start(lagging)
	c.awaitConverged(61, other)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	state, err := c.nodes[lagging].AppliedState(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if value, ok := state.Get("description", "d"); !ok || len(value) < 10*snapshotPartBytes {
		t.Errorf("description after the snapshot: got %d bytes, want at least 10 snapshot parts", len(value))
	}
}
