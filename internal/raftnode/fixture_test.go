package raftnode

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/fixture"
	"mulleinmux/internal/logging"
)

// dumpMemberFile returns the content of a member's file as text. The time of writing and the incarnation are replaced
// by their lengths, since they differ between runs.
func dumpMemberFile(t *testing.T, path string) []byte {
	t.Helper()
	return fixture.DumpBolt(t, path, func(bucket, key, value []byte) string {
		isMeta := bytes.Equal(bucket, bucketMeta)
		if isMeta && (bytes.Equal(key, keyWrittenAt) || bytes.Equal(key, keyIncarnation)) {
			value = fmt.Appendf(nil, "%d bytes", len(value))
		}
		return fmt.Sprintf("%s %q %q", bucket, key, value)
	})
}

// fixtureState returns a log entry and the snapshot of the state after it.
func fixtureState(t *testing.T) (text, snapshot []byte) {
	t.Helper()
	text, err := clusterconfig.EncodeProposal(&clusterconfig.Proposal{
		ID: "p1",
		Changes: []clusterconfig.Change{
			clusterconfig.NewPutChange("plan", "kati", clusterconfig.Plan{PriorityFactor: 1}),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	state := clusterconfig.New(nil)
	if _, _, err := state.Apply(text); err != nil {
		t.Fatal(err)
	}
	if snapshot, err = state.Snapshot(); err != nil {
		t.Fatal(err)
	}
	return text, snapshot
}

// Tests that a newly written member file holds the recorded keys and values.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/raftnode -run Fixture
func TestFixtureFileWritten(t *testing.T) {
	t.Parallel()
	text, snapshot := fixtureState(t)
	path := filepath.Join(t.TempDir(), "fresh.db")
	storage := openStorage(t, path)
	first := []*pb.Entry{entry(1, 1, ""), entry(2, 1, string(text)), entry(3, 1, "lost")}
	second := []*pb.Entry{entry(3, 4, ""), entry(4, 4, "tail")}
	must(t,
		storage.Save(hardState(1, 2, 0), first, nil, true),
		storage.Save(hardState(4, 1, 3), second, nil, true),
		storage.SaveSnapshot(snapshotOf(2, 1, string(snapshot))),
		storage.Compact(1),
		storage.Close(),
	)
	fixture.Compare(t, "member.txt", dumpMemberFile(t, path))
	fixture.RecordFile(t, "member.db.gz", path)
}

// Tests that the recorded member file is read with the recorded hard state, log and snapshot.
func TestFixtureFileRead(t *testing.T) {
	t.Parallel()
	_, snapshot := fixtureState(t)
	path := fixture.Restore(t, "member.db.gz")
	fixture.Compare(t, "member.txt", dumpMemberFile(t, path))
	if err := AdoptFile(path, "c", 1); err != nil {
		t.Fatal(err)
	}
	storage := openStorage(t, path)
	defer storage.Close()
	persisted, err := storage.Load()
	if err != nil {
		t.Fatal(err)
	}
	if storage.Incarnation() != 3 || !proto.Equal(persisted.HardState, hardState(4, 1, 3)) ||
		!proto.Equal(persisted.Snapshot, snapshotOf(2, 1, string(snapshot))) || len(persisted.Entries) != 2 ||
		!proto.Equal(persisted.Entries[0], entry(3, 4, "")) || !proto.Equal(persisted.Entries[1], entry(4, 4, "tail")) {
		t.Errorf("recorded file: got incarnation %d, state %+v", storage.Incarnation(), persisted)
	}
	if err := clusterconfig.New(nil).Restore(persisted.Snapshot.GetData()); err != nil {
		t.Error(err)
	}
}

// fixtureTransport returns the transport of a member of cluster "c" on a new listener. It discards received messages.
func fixtureTransport(t *testing.T, member uint64, credentials Credentials) *transport {
	t.Helper()
	return &transport{
		cluster:      "c",
		memberID:     member,
		credentials:  credentials,
		listener:     listenLoopback(t),
		onMessage:    func(*pb.Message) {},
		onSendResult: func(*pb.Message, bool) {},
		logger:       logging.New(t.Output()),
	}
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// fixtureCredentials returns the credentials of members 1 and 2 of cluster "c".
func fixtureCredentials(t *testing.T) (one, two Credentials) {
	t.Helper()
	authority := newAuthority(t, "c")
	one, err := authority.IssueCredentials(1)
	if err != nil {
		t.Fatal(err)
	}
	if two, err = authority.IssueCredentials(2); err != nil {
		t.Fatal(err)
	}
	return one, two
}

// fixtureMessages returns the recorded messages from member 1 to member 2.
func fixtureMessages() []*pb.Message {
	message := func(kind pb.MessageType, index uint64) *pb.Message {
		return &pb.Message{
			Type:    kind.Enum(),
			From:    proto.Uint64(1),
			To:      proto.Uint64(2),
			Term:    proto.Uint64(3),
			Index:   proto.Uint64(index),
			LogTerm: proto.Uint64(2),
			Commit:  proto.Uint64(1),
		}
	}
	appends := message(pb.MsgApp, 5)
	appends.Entries = []*pb.Entry{entry(6, 3, "one"), entry(7, 3, "two")}
	snapshot := message(pb.MsgSnap, 0)
	snapshot.Snapshot = snapshotOf(9, 2, string(bytes.Repeat([]byte("0123456789abcdef"), snapshotPartBytes/16+10)))
	return []*pb.Message{message(pb.MsgHeartbeat, 0), appends, message(pb.MsgVote, 4), snapshot}
}

// acceptFrames accepts a connection as a member. It returns the connection and a function that copies the next frame to
// out.
func acceptFrames(t *testing.T, listener net.Listener, credentials Credentials, out io.Writer) (
	conn *tls.Conn, copyFrame func()) {
	t.Helper()
	rawConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { rawConn.Close() })
	rawConn.SetDeadline(time.Now().Add(testTimeout))
	conn = tls.Server(rawConn, credentials.TLSConfig())
	return conn, func() {
		t.Helper()
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(io.TeeReader(conn, out), header[:]); err != nil {
			t.Fatal(err)
		}
		length := int64(header[1])<<16 | int64(header[2])<<8 | int64(header[3])
		if _, err := io.CopyN(out, conn, length); err != nil {
			t.Fatal(err)
		}
	}
}

// Tests that a member sends the recorded frames to another one.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/raftnode -run Fixture
func TestFixtureFramesSent(t *testing.T) {
	t.Parallel()
	ownCredentials, peerCredentials := fixtureCredentials(t)
	peer := listenLoopback(t)
	defer peer.Close()
	sender := fixtureTransport(t, 1, ownCredentials)
	sender.hello = hello{7, 8}
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	sender.start(ctx)
	defer sender.wait()
	defer stop()
	sender.setPeers(map[uint64]string{2: peer.Addr().String()})

	var sent bytes.Buffer
	conn, copyFrame := acceptFrames(t, peer, peerCredentials, &sent)
	copyFrame() // the hello
	for _, m := range fixtureMessages() {
		sender.send(m)
		copyFrame() // sent one at a time, so that the order does not depend on the sender's queues
	}
	copyFrame() // the end of the snapshot
	sender.broadcast([]byte("a word"))
	copyFrame()
	fixture.Compare(t, "frames.bin.gz", sent.Bytes())
	fixture.Compare(
		t, "names.txt",
		fmt.Appendln(
			nil, memberCommonName("c", 12), conn.ConnectionState().PeerCertificates[0].Subject, memberFilePrefix(3),
			OperatorFilePrefix("asha"), FollowerFilePrefix("edge-1"), authorityFile, authorityKeyFile,
		),
	)
}

// Tests that the recorded frames are read as the messages that were sent.
func TestFixtureFramesReceived(t *testing.T) {
	t.Parallel()
	peerCredentials, ownCredentials := fixtureCredentials(t)
	want := fixtureMessages()
	received := make(chan *pb.Message, len(want))
	broadcasts := make(chan string, 1)
	receiver := fixtureTransport(t, 2, ownCredentials)
	receiver.onMessage = func(m *pb.Message) { received <- m }
	receiver.onBroadcast = func(from uint64, text []byte) { broadcasts <- fmt.Sprint(from, " ", string(text)) }
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	receiver.start(ctx)
	defer receiver.wait()
	defer stop()

	conn, err := tls.Dial("tcp", receiver.listener.Addr().String(), peerCredentials.TLSConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(fixture.Read(t, "frames.bin.gz")); err != nil {
		t.Fatal(err)
	}
	for _, message := range want {
		if m := receiveNext(ctx, t, received); !proto.Equal(m, message) {
			t.Errorf("received message: got %v, want %v", m.GetType(), message.GetType())
		}
	}
	if text := receiveNext(ctx, t, broadcasts); text != "1 a word" {
		t.Errorf("received broadcast: got %q, want \"1 a word\"", text)
	}
}

// receiveNext returns the next value of a channel. It fails the test if ctx ends first.
func receiveNext[T any](ctx context.Context, t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case value := <-values:
		return value
	case <-ctx.Done():
		t.Fatal(ctx.Err())
		panic("unreachable")
	}
}
