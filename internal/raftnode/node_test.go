package raftnode

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"mulleinmux/clusterconfig"
)

// patience bounds every wait of a test; none is expected to come near it.
const patience = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// real is a cluster on real sockets and files.
type real struct {
	t     testing.TB
	dir   string
	auth  *Authority
	addrs map[uint64]string
	nodes map[uint64]*Node
	disks map[uint64]*BoltStorage
	lns   map[uint64]net.Listener
	tick  time.Duration
	every uint64 // entries between snapshots
}

func newReal(t testing.TB, n int) *real { return newRealAt(t, n, 20*time.Millisecond, 200) }

func newRealAt(t testing.TB, n int, tick time.Duration, snapshotEvery uint64) *real {
	t.Helper()
	auth, err := NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	r := &real{t: t, dir: t.TempDir(), auth: auth, addrs: map[uint64]string{}, nodes: map[uint64]*Node{}, disks: map[uint64]*BoltStorage{}, lns: map[uint64]net.Listener{}, tick: tick, every: snapshotEvery}
	for id := uint64(1); id <= uint64(n); id++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.lns[id], r.addrs[id] = ln, ln.Addr().String()
	}
	for id := uint64(1); id <= uint64(n); id++ {
		r.start(id)
	}
	t.Cleanup(func() {
		for id := range r.nodes {
			r.kill(id)
		}
	})
	return r
}

func (r *real) start(id uint64) {
	r.t.Helper()
	ln := r.lns[id]
	if ln == nil { // it was up before: its address is free again
		var err error
		if ln, err = net.Listen("tcp", r.addrs[id]); err != nil {
			r.t.Fatal(err)
		}
	}
	r.lns[id] = nil
	disk, err := OpenBoltStorage(filepath.Join(r.dir, fmt.Sprint(id, ".db")), "test", id)
	if err != nil {
		r.t.Fatal(err)
	}
	creds, err := r.auth.IssueCredentials(id)
	if err != nil {
		r.t.Fatal(err)
	}
	var voters []uint64
	for v := range r.addrs {
		voters = append(voters, v)
	}
	slices.Sort(voters)
	n, err := Start(NodeConfig{Config: Config{ID: id, Voters: voters, EntriesPerSnapshot: r.every, CatchUpEntries: 20}, Cluster: "test", Credentials: creds,
		TickInterval: r.tick, PeerAddresses: r.addrs, Incarnation: disk.Incarnation(), Logger: log.New(io.Discard, "", 0)}, disk, ln)
	if err != nil {
		r.t.Fatal(err)
	}
	r.nodes[id], r.disks[id] = n, disk
}

func (r *real) kill(id uint64) {
	r.nodes[id].Stop()
	delete(r.nodes, id)
	if err := r.disks[id].Close(); err != nil {
		r.t.Error(err)
	}
}

func (r *real) status(id uint64) Status {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := r.nodes[id].Status(ctx)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// await waits until a condition holds of every member that is up.
func (r *real) await(what string, cond func(Status) bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		all := true
		for id := range r.nodes {
			all = all && cond(r.status(id))
		}
		if all {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

func (r *real) propose(id uint64, p *clusterconfig.Proposal) clusterconfig.Outcome {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	o, err := r.nodes[id].Propose(ctx, p)
	if err != nil {
		r.t.Fatal(err)
	}
	return o
}

func planPut(id string, price int) *clusterconfig.Proposal {
	return &clusterconfig.Proposal{ID: id, Changes: []clusterconfig.Change{{Op: "put", Kind: "plan", Name: "x", Value: json.RawMessage(fmt.Sprintf(`{"rate":0,"burst":0,"price":%d}`, price))}}}
}

// On real sockets and files: a leader that is killed under a stream of changes takes none
// of the answered ones along; one that comes back, and one that missed so much that the log
// was compacted, catch up before they are ready; all have one chain.
func TestLeaderLost(t *testing.T) {
	r := newReal(t, 3)
	r.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
	leader := r.status(1).Leader
	via := leader%3 + 1
	for i := range 20 {
		if o := r.propose(via, planPut(fmt.Sprint("a", i), i)); !o.IsApplied || o.Version != uint64(i+1) {
			t.Fatalf("%+v", o)
		}
	}
	r.kill(leader)
	began := time.Now()
	if o := r.propose(via, planPut("b", 1)); !o.IsApplied || o.Version != 21 {
		t.Fatalf("after the leader was lost: %+v", o)
	}
	t.Logf("the next change was applied %v after the leader was killed", time.Since(began))
	// A repeated proposal comes to what it came to.
	if o := r.propose(via, planPut("a3", 3)); !o.IsApplied || o.Version != 4 {
		t.Errorf("repeated: %+v", o)
	}
	var all sync.WaitGroup
	for c := range 8 {
		all.Go(func() {
			for i := range 60 {
				r.propose(via, planPut(fmt.Sprint("c", c, "-", i), i))
			}
		})
	}
	all.Wait()
	r.start(leader)
	r.await("ready and of one mind", func(s Status) bool { return s.Ready && s.Version == 501 && s.Hash == r.status(via).Hash })
	// A read sees all that was answered, at any member.
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for id := range r.nodes {
		version := uint64(0)
		if err := r.nodes[id].LinearizableRead(ctx, func(s *clusterconfig.State) { version = s.Version() }); err != nil || version != 501 {
			t.Errorf("member %d reads version %d, error %v", id, version, err)
		}
	}
}

// A minority takes no change and confirms no read, and says so; it is not ready after a
// restart until a quorum is back.
func TestMinority(t *testing.T) {
	r := newReal(t, 3)
	r.await("ready", func(s Status) bool { return s.Ready })
	r.propose(1, planPut("a", 1))
	r.kill(2)
	r.kill(3)
	r.kill(1)
	r.start(1)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := r.nodes[1].Propose(ctx, planPut("b", 2)); err == nil || !strings.Contains(err.Error(), "leader") {
		t.Errorf("a change by a minority: %v", err)
	}
	if err := r.nodes[1].LinearizableRead(ctx, func(*clusterconfig.State) { t.Error("a read by a minority") }); err == nil {
		t.Error("a read by a minority is confirmed")
	}
	if s := r.status(1); s.Ready || s.Version > 1 {
		t.Errorf("%+v", s)
	}
	r.start(2)
	r.await("ready again", func(s Status) bool { return s.Ready && s.Version >= 1 })
}

// A certificate makes a member of its cluster's member alone: no follower or operator that is called like one may vote.
func TestMemberOf(t *testing.T) {
	auth, err := NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]uint64{"test/member/3": 0, memberName("test", 3): 3, memberName("test2", 3): 0, "test/follower/3": 0, "test/operator/3": 0, "test/3x": 0} {
		text, _, err := auth.issue(name)
		if err != nil {
			t.Fatal(err)
		}
		block, _ := pem.Decode(text)
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			t.Fatal(err)
		}
		if id, err := VerifyMember("test", tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}); id != want || (err == nil) != (want > 0) {
			t.Errorf("%s is taken for member %d: %v", name, id, err)
		}
	}
}

// Who is no member of this cluster, speaks in another's name or sends frames without end is
// turned away, and the member goes on.
func TestStrangers(t *testing.T) {
	r := newReal(t, 3)
	r.await("ready", func(s Status) bool { return s.Ready })
	other, err := NewAuthority("test") // of the same name, with another key
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := NewAuthority("elsewhere")
	if err != nil {
		t.Fatal(err)
	}
	frame := func(m *pb.Message) []byte {
		text, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return append(append(binary.BigEndian.AppendUint32(nil, frameHello<<28|16), hello{}.encode()...), append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)...)
	}
	vote := &pb.Message{Type: pb.MsgVote.Enum(), From: proto.Uint64(3), To: proto.Uint64(1), Term: proto.Uint64(1 << 40)}
	for name, c := range map[string]struct {
		auth *Authority
		id   uint64
		text []byte
	}{
		"another authority":   {other, 2, frame(vote)},
		"another cluster":     {foreign, 2, frame(vote)},
		"in another's name":   {r.auth, 2, frame(vote)},
		"a frame without end": {r.auth, 2, binary.BigEndian.AppendUint32(nil, 1<<31)},
		"noise":               {r.auth, 2, []byte{0, 0, 0, 3, 0xff, 0xff, 0xff}},
		"a word too long":     {r.auth, 3, append(frame(vote)[:20:20], binary.BigEndian.AppendUint32(nil, frameWord<<28|maxWord+1)...)},
		"no hello":            {r.auth, 3, frame(vote)[20:]},
	} {
		creds, err := c.auth.IssueCredentials(c.id)
		if err != nil {
			t.Fatal(err)
		}
		nc, err := tls.Dial("tcp", r.addrs[1], &tls.Config{Certificates: []tls.Certificate{creds.Certificate}, InsecureSkipVerify: true})
		if err == nil {
			nc.SetDeadline(time.Now().Add(patience))
			nc.Write(c.text)
			if _, err = nc.Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: is answered", name)
			}
			nc.Close()
		}
	}
	if s := r.status(1); s.Leader == 0 {
		t.Errorf("%+v", s)
	}
	if o := r.propose(1, planPut("a", 1)); !o.IsApplied {
		t.Errorf("%+v", o)
	}
}

// A member that comes back with an older copy of its file is not heard: it could vote again in
// a term in which it has voted. Once it comes with its own, it is.
func TestOldCopy(t *testing.T) {
	r := newReal(t, 3)
	r.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
	id := r.status(1).Leader%3 + 1 // a follower
	other := 6 - id - r.status(1).Leader
	r.kill(id)
	path := filepath.Join(r.dir, fmt.Sprint(id, ".db"))
	old, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	r.start(id)
	r.await("ready again", func(s Status) bool { return s.Ready })
	r.propose(other, planPut("a", 1))
	r.await("all have it", func(s Status) bool { return s.Version == 1 }) // not a majority alone: id is to have said so
	r.kill(id)
	newest, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, old, 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(id)
	// Its leader tells it of entries that it has acknowledged and no longer has.
	select {
	case <-r.nodes[id].Done():
		if err := r.nodes[id].Err(); !errors.Is(err, ErrStaleStorage) {
			t.Errorf("ends with %v", err)
		}
	case <-time.After(patience):
		t.Fatal("a member with an old copy goes on")
	}
	// Without being told, it is not heard all the same: its peers remember.
	net := r.nodes[other].net
	for _, h := range []hello{{1, 5}, {2, 99}} {
		if err := net.knows(id, h.encode()); err == nil {
			t.Error("an old copy is heard")
		}
	}
	if err := net.knows(id, hello{4, 99}.encode()); err != nil {
		t.Errorf("a new start is not heard: %v", err)
	}
	delete(net.seen, id)
	if o := r.propose(other, planPut("b", 1)); !o.IsApplied {
		t.Errorf("the others: %+v", o)
	}
	r.kill(id)
	if err := os.WriteFile(path, newest, 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(id)
	r.await("ready with its own file", func(s Status) bool { return s.Ready && s.Version == 2 })
}

// Two clusters of one name whose addresses were swapped: neither hears the other, and both go
// on when the addresses are right again.
func TestSwappedClusters(t *testing.T) {
	a, b := newReal(t, 3), newReal(t, 3)
	a.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
	b.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
	a.propose(1, planPut("a", 1))
	b.propose(1, planPut("b", 1))
	b.propose(1, planPut("b2", 2))
	swap := func(x, y map[uint64]string) {
		for id := range a.nodes {
			a.nodes[id].SetPeers(x)
			b.nodes[id].SetPeers(y)
		}
	}
	swap(b.addrs, a.addrs)
	for end := time.Now().Add(40 * a.tick); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for id := range a.nodes {
			if x, y := a.status(id), b.status(id); x.Version > 1 || y.Version > 2 {
				t.Fatalf("versions %d and %d", x.Version, y.Version)
			}
		}
	}
	swap(a.addrs, b.addrs)
	if o := a.propose(2, planPut("a2", 1)); o.Version != 2 {
		t.Errorf("%+v", o)
	}
	if o := b.propose(2, planPut("b3", 1)); o.Version != 3 {
		t.Errorf("%+v", o)
	}
}

// A change of 8 MB goes through, and one over the most is refused with its size.
func TestLargeChange(t *testing.T) {
	r := newRealAt(t, 3, 200*time.Millisecond, 200) // an election must not come while 8 MB are written and read
	r.await("ready", func(s Status) bool { return s.Ready })
	text := strings.Repeat("x", 8<<20)
	p := func(id, text string) *clusterconfig.Proposal {
		v, err := json.Marshal(clusterconfig.Description{File: "d.yaml", Text: text})
		if err != nil {
			t.Fatal(err)
		}
		return &clusterconfig.Proposal{ID: id, Changes: []clusterconfig.Change{{Op: "put", Kind: "description", Name: "d", Value: v}}}
	}
	if o := r.propose(2, p("a", text)); !o.IsApplied {
		t.Errorf("%+v", o)
	}
	r.await("applied everywhere", func(s Status) bool { return s.Version == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := r.nodes[1].Propose(ctx, p("b", text+text)); err == nil || !strings.Contains(err.Error(), "are the most") {
		t.Errorf("%v", err)
	}
}

// A snapshot of many parts brings a member up that the log no longer reaches.
func TestSnapshotInParts(t *testing.T) {
	r := newRealAt(t, 3, 40*time.Millisecond, 30)
	r.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
	id := r.status(1).Leader%3 + 1
	other := 6 - id - r.status(1).Leader
	r.kill(id)
	text, err := json.Marshal(clusterconfig.Description{File: "f", Text: strings.Repeat("x", 10*partSize)})
	if err != nil {
		t.Fatal(err)
	}
	r.propose(other, &clusterconfig.Proposal{ID: "long", Changes: []clusterconfig.Change{{Op: "put", Kind: "description", Name: "d", Value: text}}})
	for i := range 60 { // past a snapshot and what is kept behind it
		r.propose(other, planPut(fmt.Sprint("a", i), i))
	}
	r.start(id)
	r.await("ready and of one mind", func(s Status) bool { return s.Ready && s.Version == 61 && s.Hash == r.status(other).Hash })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := r.nodes[id].AppliedState(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := s.Get("description", "d"); !ok || len(got) < 10*partSize {
		t.Errorf("%d bytes of the long change", len(got))
	}
}

// Certificates are written once and read back; a further member's comes from the same
// authority.
func TestCertificates(t *testing.T) {
	dir := t.TempDir()
	a, err := NewAuthority("c")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(a.Write(dir), a.WriteMembers(dir, []uint64{1, 2})); err != nil {
		t.Fatal(err)
	}
	if err := a.Write(dir); !errors.Is(err, fs.ErrExist) {
		t.Errorf("the authority was written over: %v", err)
	}
	if err := a.WriteMembers(dir, []uint64{1}); !errors.Is(err, fs.ErrExist) {
		t.Errorf("a member's files were written over: %v", err)
	}
	b, err := LoadAuthority(dir)
	if err != nil || b.Cluster != "c" {
		t.Fatalf("%+v %v", b, err)
	}
	if _, err := LoadMemberCredentials(dir, 2); err != nil {
		t.Error(err)
	}
	if _, err := LoadMemberCredentials(dir, 3); err == nil {
		t.Error("member 3 has no certificate")
	}
	if _, _, err := b.IssueMember(3); err != nil {
		t.Error(err)
	}
}

// Words go to all other members, in order and under the sender's number; one that is too
// long is refused, and one that comes too long ends the connection.
func TestWords(t *testing.T) {
	r := newReal(t, 3)
	r.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
	type word struct {
		to, from uint64
		text     string
	}
	heard := make(chan word, 1000)
	for id, n := range r.nodes {
		n.net.mu.Lock()
		n.net.word = func(from uint64, text []byte) { heard <- word{id, from, string(text)} }
		n.net.mu.Unlock()
	}
	for i := range 20 {
		if err := r.nodes[1].Broadcast([]byte(fmt.Sprint("word ", i))); err != nil {
			t.Fatal(err)
		}
	}
	next := map[uint64]int{}
	for range 40 {
		select {
		case w := <-heard:
			if w.from != 1 || w.to == 1 || w.text != fmt.Sprint("word ", next[w.to]) {
				t.Fatalf("%+v after %v", w, next)
			}
			next[w.to]++
		case <-time.After(patience):
			t.Fatalf("words are missing: %v", next)
		}
	}
	if err := r.nodes[1].Broadcast(make([]byte, maxWord+1)); err == nil {
		t.Error("a word that is too long is taken")
	}
}

// A member whose clock is an hour behind the one that made the certificates takes them.
func TestClockBehind(t *testing.T) {
	auth, err := NewAuthority("c")
	if err != nil {
		t.Fatal(err)
	}
	creds, err := auth.IssueCredentials(1)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(creds.Certificate.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, off := range []time.Duration{-59 * time.Minute, time.Hour, 24 * time.Hour} {
		if _, err := leaf.Verify(x509.VerifyOptions{Roots: creds.Authority, CurrentTime: time.Now().Add(off), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
			t.Errorf("at %v: %v", off, err)
		}
	}
}

// BenchmarkCommit is a change over three members on loopback beside one synced commit of
// the same file system, with one operator and with 64.
func BenchmarkCommit(b *testing.B) {
	b.Run("bbolt", func(b *testing.B) {
		db, err := bbolt.Open(filepath.Join(b.TempDir(), "x.db"), 0o600, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		var lat []time.Duration
		for i := 0; b.Loop(); i++ {
			at := time.Now()
			err := db.Update(func(tx *bbolt.Tx) error {
				k, err := tx.CreateBucketIfNotExists([]byte("b"))
				if err != nil {
					return err
				}
				return k.Put(binary.BigEndian.AppendUint64(nil, uint64(i)), make([]byte, 150))
			})
			if err != nil {
				b.Fatal(err)
			}
			lat = append(lat, time.Since(at))
		}
		report(b, lat)
	})
	for _, operators := range []int{1, 64} {
		b.Run(fmt.Sprintf("operators=%d", operators), func(b *testing.B) {
			r := newRealAt(b, 3, 10*time.Millisecond, 2000)
			r.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
			leader := r.status(1).Leader
			var mu sync.Mutex
			var lat []time.Duration
			n := 0
			b.ResetTimer()
			var all sync.WaitGroup
			for range operators {
				all.Go(func() {
					for {
						mu.Lock()
						n++
						i := n
						mu.Unlock()
						if i > b.N {
							return
						}
						at := time.Now()
						r.propose(leader, planPut(fmt.Sprint("p", i), i))
						mu.Lock()
						lat = append(lat, time.Since(at))
						mu.Unlock()
					}
				})
			}
			all.Wait()
			b.StopTimer()
			report(b, lat)
		})
	}
}

func report(b *testing.B, lat []time.Duration) {
	slices.Sort(lat)
	b.ReportMetric(float64(lat[len(lat)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(lat[len(lat)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(len(lat))/b.Elapsed().Seconds(), "changes/s")
}

// BenchmarkCatchUp is the time in which a member with an empty disk catches up with 50,000
// versions of the two others.
func BenchmarkCatchUp(b *testing.B) {
	const versions = 50_000
	for b.Loop() {
		b.StopTimer()
		r := newRealAt(b, 3, 20*time.Millisecond, 2000)
		r.await("ready", func(s Status) bool { return s.Ready && s.Leader != 0 })
		late := r.status(1).Leader%3 + 1
		r.kill(late)
		var all sync.WaitGroup
		for c := range 64 {
			all.Go(func() {
				for i := range versions / 64 {
					r.propose(late%3+1, planPut(fmt.Sprint(c, "-", i), i))
				}
			})
		}
		all.Wait()
		want := r.status(late%3 + 1).Version
		r.start(late) // its file holds what it had before the changes: nothing but its vote
		b.StartTimer()
		for r.status(late).Version < want || !r.status(late).Ready {
			time.Sleep(time.Millisecond)
		}
		b.StopTimer()
		b.ReportMetric(float64(want), "versions")
		for id := range r.nodes {
			r.kill(id)
		}
		b.StartTimer()
	}
}
