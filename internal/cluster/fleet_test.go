package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/goleak"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
)

// testTimeout bounds every wait of a test; none is expected to come near it.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const description = `openapi: 3.1.0
info: {title: t, version: "1"}
servers: [{url: /}]
paths:
  /slots:
    get:
      operationId: slots
      x-mulleinmux: {class: check, effect: safe, units: %d}
      responses: {"200": {description: ok}}
`

// testCluster is a cluster in this process, with one hall of one server.
type testCluster struct {
	t         *testing.T
	dir       string
	authority *raftnode.Authority
	discovery *testserver.Register
	members   map[uint64]*testMember
	addrs     map[uint64]clusterconfig.Member
	admin     *Client
}

type testMember struct {
	cfg       *MemberConfig
	staleness gateway.Agreed
	listen    string
	link      *gateway.LinkConfig
	member    *Member
	stop      context.CancelFunc
	done      chan error
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testserver.FreeAddr("tcp")
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	auth, err := raftnode.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	r := &testCluster{t: t, dir: t.TempDir(), authority: auth, members: map[uint64]*testMember{}, addrs: map[uint64]clusterconfig.Member{}}
	if r.discovery, err = testserver.NewRegister(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.discovery.Close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { w.Write([]byte(q.Header.Get("X-Mulleinmux-Version"))) })}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	r.discovery.Put(testserver.Entry{InstanceID: "s", HostPort: ln.Addr().String(), Zone: "x", Lifecycle: "up", Weight: 1})
	if err := auth.WriteOperator(r.dir, "amina"); err != nil {
		t.Fatal(err)
	}
	for id := uint64(1); id <= uint64(n); id++ {
		r.addrs[id] = clusterconfig.Member{Raft: freeAddr(t), Admin: freeAddr(t)}
	}
	for id := uint64(1); id <= uint64(n); id++ {
		r.newMember(id)
		if err := InitMember(r.members[id].cfg, false); err != nil {
			t.Fatal(err)
		}
		r.start(id)
	}
	creds, err := raftnode.LoadNamed(writeAuthority(t, auth, r.dir), raftnode.OperatorFile("amina"))
	if err != nil {
		t.Fatal(err)
	}
	var at []string
	for id := uint64(1); id <= uint64(n); id++ {
		at = append(at, r.addrs[id].Admin)
	}
	r.admin = NewClient("test", creds, at...)
	t.Cleanup(func() {
		r.admin.Close()
		for id := range r.members {
			r.stop(id)
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return r
}

func writeAuthority(t *testing.T, a *raftnode.Authority, dir string) string {
	if err := a.Write(dir); err != nil {
		t.Fatal(err)
	}
	return dir
}

// newMember describes a member that does not run yet.
func (r *testCluster) newMember(id uint64) *testMember {
	r.t.Helper()
	creds, err := r.authority.Credentials(id)
	if err != nil {
		r.t.Fatal(err)
	}
	m := &testMember{listen: freeAddr(r.t), cfg: &MemberConfig{Cluster: "test", MemberID: id, DataFile: filepath.Join(r.dir, fmt.Sprint(id, ".db")),
		Credentials: creds, Members: r.addrs, TickInterval: 10 * time.Millisecond}}
	r.members[id] = m
	return m
}

func (r *testCluster) start(id uint64) {
	r.t.Helper()
	m := r.members[id]
	ctx, stop := context.WithCancel(context.Background())
	agreed := m.staleness
	at := m.listen
	gate := &gateway.Config{Name: fmt.Sprint("g", id), Seed: id, Agreed: &agreed, DrainFor: time.Millisecond,
		Settings: policy.Settings{InstanceCount: 1, Zone: "hall-a", MaxAttempts: 3, AllowsCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MinEventInterval: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond, AllowsHealthChecks: true, LoadReports: policy.LoadReportsInHealthChecks}}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		r.t.Fatal(err)
	}
	gate.Link = m.link
	gate.On(ln, nil)
	m.stop, m.done = stop, make(chan error, 1)
	begun := make(chan *Member, 1)
	go func() {
		m.done <- RunMember(ctx, m.cfg, gate, log.New(io.Discard, "", 0), func(f *Member) { begun <- f })
	}()
	select {
	case m.member = <-begun:
	case err := <-m.done:
		r.t.Fatalf("member %d: %v", id, err)
	case <-time.After(testTimeout):
		r.t.Fatal("a member does not begin")
	}
}

// stop stops a member and returns why it ended.
func (r *testCluster) stop(id uint64) error {
	r.t.Helper()
	m := r.members[id]
	if m == nil || m.stop == nil {
		return nil
	}
	m.stop()
	m.stop = nil
	select {
	case err := <-m.done:
		return err
	case <-time.After(testTimeout):
		r.t.Errorf("member %d does not end", id)
		return nil
	}
}

func (r *testCluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	r.t.Cleanup(cancel)
	return ctx
}

type response struct {
	status int
	body   string
	header http.Header
}

func (r *testCluster) get(id uint64, path string) response {
	r.t.Helper()
	q, err := http.NewRequestWithContext(r.ctx(), http.MethodGet, "http://"+r.members[id].listen+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	q.Close = true
	q.Header.Set("X-Licensee", "bahari")
	q.Header.Set("X-Mulleinmux-Explain", "1")
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return response{resp.StatusCode, string(body), resp.Header}
}

func (r *testCluster) await(what string, cond func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

func (r *testCluster) isReady(id uint64) bool { return r.get(id, "/health/ready").status == 200 }

func newChange(op, kind, name, value string) clusterconfig.Change {
	c := clusterconfig.Change{Op: op, Kind: kind, Name: name}
	if value != "" {
		c.Value = []byte(value)
	}
	return c
}

func putDescription(units int) clusterconfig.Change {
	return newChange("put", "description", "d", fmt.Sprintf(`{"file":"d.yaml","text":%s}`, strconv.Quote(fmt.Sprintf(description, units))))
}

// initialProposal is a first configuration.
func (r *testCluster) initialProposal() *clusterconfig.Proposal {
	return &clusterconfig.Proposal{ID: "first", Changes: []clusterconfig.Change{newChange("put", "class", "check", `{"worth":1,"aim_ms":5000,"deadline_ms":10000}`),
		newChange("put", "plan", "wide", `{"rate":1e6,"burst":1e6,"price":1}`), newChange("put", "licensee", "bahari", `{"plan":"wide"}`),
		newChange("put", "hall", "hall-a", fmt.Sprintf(`{"register":%q}`, r.discovery.Addr())), putDescription(1)}}
}

func (r *testCluster) propose(p *clusterconfig.Proposal) clusterconfig.Outcome {
	r.t.Helper()
	o, err := r.admin.Propose(r.ctx(), p)
	if err != nil {
		r.t.Fatal(err)
	}
	return o
}

func (r *testCluster) awaitInstalled(version uint64) {
	r.t.Helper()
	if err := r.admin.AwaitInstalled(r.ctx(), version, 0); err != nil {
		r.t.Fatal(err)
	}
}

// awaitServing waits until a member's server is known, and a request is served.
func (r *testCluster) awaitServing(id uint64) {
	r.t.Helper()
	r.await("a request is served", func() bool { return r.get(id, "/slots").status == 200 })
}

// Instances refuse until a first configuration is agreed on, then all serve on it; a change
// takes force at all; what can't be is refused with its reason; what is repeated takes
// place once; operators of other clusters are turned away.
func TestAgree(t *testing.T) {
	r := newTestCluster(t, 3)
	for id := range r.members {
		if a := r.get(id, "/slots"); a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("before anything is agreed on: %+v", a)
		}
	}
	if o := r.propose(r.initialProposal()); !o.Applied || o.Version != 1 {
		t.Fatalf("%+v", o)
	}
	r.awaitInstalled(1)
	for id := range r.members {
		r.await("ready", func() bool { return r.isReady(id) })
		r.awaitServing(id)
		if a := r.get(id, "/slots"); a.body != "1" || a.header.Get("X-Mulleinmux-Version") != "1" || a.header.Get("X-Mulleinmux-Units") != "1" || a.header.Get("X-Mulleinmux-Config-Age") != "" {
			t.Errorf("%+v", a)
		}
	}
	base := uint64(1)
	p := &clusterconfig.Proposal{ID: "second", Base: &base, Author: "somebody else", Why: "dearer", Changes: []clusterconfig.Change{putDescription(7)}}
	for range 2 {
		if o := r.propose(p); o.Version != 2 {
			t.Errorf("%+v", o)
		}
	}
	r.awaitInstalled(2)
	for id := range r.members {
		if a := r.get(id, "/slots"); a.header.Get("X-Mulleinmux-Units") != "7" || a.body != "2" {
			t.Errorf("%+v", a)
		}
	}
	for name, c := range map[string]struct {
		p    *clusterconfig.Proposal
		want string
	}{
		"old base":    {&clusterconfig.Proposal{ID: "x1", Base: &base, Changes: []clusterconfig.Change{putDescription(8)}}, "version 2 is in force, not 1"},
		"no plan":     {&clusterconfig.Proposal{ID: "x2", Changes: []clusterconfig.Change{newChange("put", "licensee", "l", `{"plan":"none"}`)}}, `plan "none" is not there`},
		"description": {&clusterconfig.Proposal{ID: "x3", Changes: []clusterconfig.Change{putDescription(99)}}, "d.yaml:8"},
	} {
		_, err := r.admin.Propose(r.ctx(), c.p)
		if a, ok := errors.AsType[*ResponseError](err); !ok || a.Status != 409 || !strings.Contains(a.Message, c.want) {
			t.Errorf("%s: %v", name, err)
		}
		_, err = r.admin.Check(r.ctx(), c.p)
		if a, ok := errors.AsType[*ResponseError](err); !ok || a.Status != 409 {
			t.Errorf("%s, checked: %v", name, err)
		}
	}
	h, err := r.admin.History(r.ctx())
	if err != nil || len(h) != 2 || h[1].Author != "amina" || h[1].Why != "dearer" || h[1].AtMs == 0 {
		t.Errorf("history %+v, error %v", h, err)
	}
	if o, err := r.admin.Objects(r.ctx(), false); err != nil || o.Version != 2 || len(o.Objects["plan"]) != 1 {
		t.Errorf("%+v, %v", o, err)
	}
	// A hall and a licensee go at once.
	r.propose(&clusterconfig.Proposal{ID: "third", Changes: []clusterconfig.Change{newChange("remove", "licensee", "bahari", "")}})
	r.awaitInstalled(3)
	if a := r.get(2, "/slots"); a.status != 403 {
		t.Errorf("a licensee that was removed: %+v", a)
	}
	// Another cluster of the same name, and one of another name.
	for _, name := range []string{"test", "other"} {
		stranger, err := raftnode.NewAuthority(name)
		if err != nil {
			t.Fatal(err)
		}
		creds, err := stranger.Credentials(1)
		if err != nil {
			t.Fatal(err)
		}
		cl := NewClient(name, creds, r.addrs[1].Admin)
		if _, err := cl.Status(r.ctx()); !errors.Is(err, raftnode.ErrAuthority) || !strings.Contains(err.Error(), "is not of cluster") {
			t.Errorf("a stranger: %v", err)
		}
		cl.Close()
	}
	// The same authority with another cluster's name in the certificate.
	r.authority.Cluster = "renamed"
	creds, err := r.authority.Credentials(1)
	if err != nil {
		t.Fatal(err)
	}
	cl := NewClient("test", creds, r.addrs[1].Admin)
	defer cl.Close()
	if _, err := cl.Status(r.ctx()); err == nil || !strings.Contains(err.Error(), `is of cluster "renamed"`) {
		t.Errorf("a certificate of another cluster: %v", err)
	}
}

// An instance that starts sends nothing on until a quorum has confirmed its version, which
// it had served on before; then it serves on the newest.
func TestReturnsOnlyConfirmed(t *testing.T) {
	r := newTestCluster(t, 3)
	r.propose(r.initialProposal())
	r.awaitInstalled(1)
	r.awaitServing(1)
	for i := range 5 { // what is known to be committed is written with the entry after it
		r.propose(&clusterconfig.Proposal{ID: fmt.Sprint("more", i), Changes: []clusterconfig.Change{putDescription(2 + i)}})
	}
	r.awaitInstalled(6)
	r.stop(1)
	r.propose(&clusterconfig.Proposal{ID: "newest", Changes: []clusterconfig.Change{putDescription(20)}})
	r.stop(2)
	r.stop(3)
	r.start(1)
	// It has an old version in force, and no one to confirm it.
	r.await("a version is in force", func() bool { return r.members[1].member.Instance().Version() > 0 })
	end := time.Now().Add(500 * time.Millisecond) // 50 ticks: two elections and more
	for time.Now().Before(end) {
		if a := r.get(1, "/slots"); a.status != 503 {
			t.Fatalf("served without a quorum: %+v", a)
		}
		if r.isReady(1) {
			t.Fatal("ready without a quorum")
		}
	}
	r.start(2)
	r.await("ready", func() bool { return r.isReady(1) })
	r.awaitServing(1)
	if a := r.get(1, "/slots"); a.body != "7" || a.header.Get("X-Mulleinmux-Units") != "20" {
		t.Errorf("after its return: %+v", a)
	}
}

// A minority that is cut off serves on within its bound and tells how old its version is;
// past the bound it does what was chosen. When the quorum is back, both serve.
func TestCutOff(t *testing.T) {
	r := newTestCluster(t, 3)
	for id, a := range map[uint64]gateway.Agreed{1: {StaleAfter: time.Second}, 2: {StaleAfter: time.Second, Refuse: true}} {
		r.stop(id)
		r.members[id].staleness = a
		r.start(id)
	}
	r.propose(r.initialProposal())
	r.awaitInstalled(1)
	r.awaitServing(1)
	r.awaitServing(2)
	r.stop(3)
	// Each on its own: the links between them go as well.
	r.members[1].member.node.Peers(nil)
	r.members[2].member.node.Peers(nil)
	cut := time.Now()
	if a := r.get(2, "/slots"); a.status != 200 {
		t.Errorf("within its bound: %+v", a)
	}
	r.await("member 2 refuses", func() bool { return r.get(2, "/slots").status == 503 })
	if after := time.Since(cut); after < 500*time.Millisecond || after > 5*time.Second {
		t.Errorf("refuses after %v", after)
	}
	if r.isReady(2) || !r.isReady(1) {
		t.Error("ready: member 2, or not member 1")
	}
	r.await("member 1 tells an age", func() bool {
		a := r.get(1, "/slots")
		age, _ := strconv.ParseFloat(a.header.Get("X-Mulleinmux-Config-Age"), 64)
		return a.status == 200 && age >= 2
	})
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	_, err := r.admin.Propose(ctx, &clusterconfig.Proposal{ID: "late", Changes: []clusterconfig.Change{putDescription(3)}})
	if a, ok := errors.AsType[*ResponseError](err); !ok || a.Status != 503 || !strings.Contains(a.Message, "member 1") {
		t.Errorf("a change without a quorum: %v", err)
	}
	s, err := r.admin.Status(r.ctx())
	if err != nil || s.ConfirmedAgeMs < 1000 || !s.IsServing {
		t.Errorf("status %+v, %v", s, err)
	}
	for id := range uint64(2) {
		addrs := map[uint64]string{}
		for n, m := range r.addrs {
			addrs[n] = m.Raft
		}
		r.members[id+1].member.node.Peers(addrs)
	}
	r.await("both serve", func() bool {
		return r.isReady(1) && r.isReady(2) && r.get(1, "/slots").header.Get("X-Mulleinmux-Config-Age") == ""
	})
}

// Members are added, replaced and removed while the cluster serves; a learner votes only
// once it has caught up; the lead moves on request; one that was removed ends.
func TestMembers(t *testing.T) {
	r := newTestCluster(t, 3)
	r.propose(r.initialProposal())
	r.awaitInstalled(1)
	join := func(id uint64) {
		t.Helper()
		r.addrs[id] = clusterconfig.Member{Raft: freeAddr(t), Admin: freeAddr(t)}
		m := r.newMember(id)
		m.cfg.Members = map[uint64]clusterconfig.Member{}
		for n, a := range r.addrs {
			m.cfg.Members[n] = a
		}
		if err := InitMember(m.cfg, true); err != nil {
			t.Fatal(err)
		}
		r.start(id)
	}
	at := func(id uint64) *clusterconfig.Member { a := r.addrs[id]; return &a }
	// One that does not run stays a learner and does not count for the quorum.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r.addrs[9] = clusterconfig.Member{Raft: freeAddr(t), Admin: freeAddr(t)}
	_, err := r.admin.ChangeMembers(ctx, &MembershipChange{Op: "add", MemberID: 9, Addrs: at(9)})
	if err == nil || !strings.Contains(err.Error(), "learner") {
		t.Errorf("a member that does not run: %v", err)
	}
	if s, err := r.admin.Status(r.ctx()); err != nil || len(s.Voters) != 3 || len(s.Learners) != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := r.admin.ChangeMembers(r.ctx(), &MembershipChange{Op: "remove", MemberID: 9}); err != nil {
		t.Fatal(err)
	}
	delete(r.addrs, 9)

	join(4)
	s, err := r.admin.ChangeMembers(r.ctx(), &MembershipChange{Op: "add", MemberID: 4, Addrs: at(4)})
	if err != nil || len(s.Voters) != 4 || len(s.Learners) != 0 {
		t.Fatalf("%+v, %v", s, err)
	}
	r.await("member 4 serves", func() bool { return r.isReady(4) })
	// The lead moves to each that is asked for, through whichever member.
	for _, id := range []uint64{4, 2} {
		if s, err := r.admin.ChangeMembers(r.ctx(), &MembershipChange{Op: "transfer", MemberID: id}); err != nil || s.Leader != id {
			t.Errorf("transfer to %d: %+v, %v", id, s, err)
		}
		r.await("all know the leader", func() bool {
			all, failed, err := r.admin.AllStatuses(r.ctx())
			ok := err == nil && len(failed) == 0
			for _, s := range all {
				ok = ok && s.Leader == id
			}
			return ok
		})
	}
	// A dead member is replaced in one step.
	r.stop(3)
	join(5)
	if s, err = r.admin.ChangeMembers(r.ctx(), &MembershipChange{Op: "replace", MemberID: 3, ReplacementID: 5, Addrs: at(5)}); err != nil || fmt.Sprint(s.Voters) != "[1 2 4 5]" {
		t.Fatalf("%+v, %v", s, err)
	}
	// The leader itself is removed: it ends, and the others go on.
	if _, err := r.admin.ChangeMembers(r.ctx(), &MembershipChange{Op: "remove", MemberID: 2}); err != nil && !strings.Contains(err.Error(), "stopped") {
		t.Logf("the leader's answer on its own removal: %v", err)
	}
	select {
	case err := <-r.members[2].done:
		if r.members[2].stop(); !errors.Is(err, raftnode.ErrRemoved) {
			t.Errorf("a removed member ends with %v", err)
		}
		r.members[2].stop = nil
	case <-time.After(testTimeout):
		t.Fatal("a removed member does not end")
	}
	var o clusterconfig.Outcome
	r.await("a change without it", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		o, err = r.admin.Propose(ctx, &clusterconfig.Proposal{ID: "after", Changes: []clusterconfig.Change{putDescription(2)}})
		return err == nil
	})
	r.await("all that are left have it", func() bool {
		all, failed, err := r.admin.AllStatuses(r.ctx())
		ok := err == nil && len(failed) == 0 && len(all) == 3
		for _, s := range all {
			ok = ok && s.InstalledVersion >= o.Version
		}
		return ok
	})
	for _, c := range []*MembershipChange{{Op: "remove", MemberID: 77}, {Op: "shrink", MemberID: 1}, {Op: "add"}, {Op: "replace", MemberID: 1, ReplacementID: 1}} {
		_, err := r.admin.ChangeMembers(r.ctx(), c)
		if a, ok := errors.AsType[*ResponseError](err); !ok || a.Status != 400 {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// A member without its file does not begin anew under its number, nor one with another's
// certificate.
func TestNeverEmptyUnderOldNumber(t *testing.T) {
	auth, err := raftnode.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	creds, err := auth.Credentials(1)
	if err != nil {
		t.Fatal(err)
	}
	cfg := &MemberConfig{Cluster: "test", MemberID: 1, DataFile: filepath.Join(t.TempDir(), "1.db"), Credentials: creds,
		Members: map[uint64]clusterconfig.Member{1: {Raft: "127.0.0.1:0", Admin: "127.0.0.1:0"}}}
	logger := log.New(io.Discard, "", 0)
	if err := RunMember(context.Background(), cfg, &gateway.Config{}, logger, nil); !errors.Is(err, ErrNotInitialized) {
		t.Errorf("without a file: %v", err)
	}
	if err := InitMember(cfg, false); err != nil {
		t.Fatal(err)
	}
	if err := InitMember(cfg, false); err == nil {
		t.Error("a file was made over another")
	}
	cfg.MemberID = 2
	if err := RunMember(context.Background(), cfg, &gateway.Config{}, logger, nil); err == nil || !strings.Contains(err.Error(), "certificate") {
		t.Errorf("with another's certificate: %v", err)
	}
}

// fullDisk is a disk that is full from a moment on.
type fullDisk struct {
	raftnode.Disk
	full *atomic.Bool
}

func (d fullDisk) Save(hs *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, sync bool) error {
	if d.full.Load() && sync {
		return syscall.ENOSPC
	}
	return d.Disk.Save(hs, entries, snap, sync)
}

// A member whose disk is full ends with that as its reason, the leader above all; the others
// go on without a change lost, and it comes back once there is room.
func TestFullDisk(t *testing.T) {
	r := newTestCluster(t, 3)
	r.propose(r.initialProposal())
	r.awaitInstalled(1)
	var full [4]atomic.Bool
	for id := uint64(1); id <= 3; id++ {
		r.stop(id)
		r.members[id].cfg.WrapStorage = func(d raftnode.Disk) raftnode.Disk { return fullDisk{d, &full[id]} }
		r.start(id)
	}
	var leader uint64
	r.await("a leader", func() bool {
		s, err := r.admin.Status(r.ctx())
		leader = s.Leader
		return err == nil && leader != 0
	})
	full[leader].Store(true)
	var mu sync.Mutex
	versions := map[uint64]string{}
	var all sync.WaitGroup
	for i := range 10 {
		all.Go(func() {
			p := &clusterconfig.Proposal{ID: fmt.Sprint("c", i), Changes: []clusterconfig.Change{putDescription(2 + i)}}
			for {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				o, err := r.admin.Propose(ctx, p)
				if cancel(); err == nil {
					mu.Lock()
					if before, twice := versions[o.Version]; twice {
						t.Errorf("%s and %s are both version %d", before, p.ID, o.Version)
					}
					versions[o.Version] = p.ID
					mu.Unlock()
					return
				}
			}
		})
	}
	select {
	case err := <-r.members[leader].done:
		r.members[leader].stop()
		r.members[leader].stop = nil
		if !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("the member ends with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("a member whose disk is full goes on")
	}
	all.Wait()
	full[leader].Store(false)
	r.start(leader)
	r.awaitInstalled(11)
	h, err := r.admin.History(r.ctx())
	if err != nil || len(h) != 11 {
		t.Fatalf("%d versions, error %v", len(h), err)
	}
	for _, rec := range h[1:] {
		if versions[rec.Version] != rec.ID {
			t.Errorf("version %d is %s, and was answered as %s", rec.Version, rec.ID, versions[rec.Version])
		}
	}
}

// A member that does not reach a hall itself sends its requests over the link to one that does.
func TestLinkOfMembers(t *testing.T) {
	r := newTestCluster(t, 2)
	addr := netip.MustParseAddrPort(freeAddr(t))
	for id, l := range map[uint64]*gateway.LinkConfig{
		1: {Own: []string{"hall-z"}, Listen: netip.MustParseAddrPort(freeAddr(t)), Far: map[string][]gateway.LinkPeer{"hall-a": {{Member: 2, Addr: addr}}}},
		2: {Own: []string{"hall-a"}, Listen: addr},
	} {
		r.stop(id)
		r.members[id].link = l
	}
	r.start(1)
	r.start(2)
	o := r.propose(r.initialProposal())
	r.awaitInstalled(o.Version)
	r.awaitServing(1)
	n := int64(0)
	r.members[2].member.Instance().Count(func(_ string, c *gateway.Counters) { n += c.Sent.Load() })
	if n != 0 {
		t.Errorf("the far member counts %d requests that entered at the other", n)
	}
}
