package cluster

import (
	"context"
	"errors"
	"log"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/gateway"
	"mulleinmux/internal/raftnode"
	"mulleinmux/internal/testserver"
	"mulleinmux/policy"
)

// testFollower is a follower in this process.
type testFollower struct {
	*testMember
	cfg      *FollowerConfig
	follower *Follower
	logs     *testserver.Log
}

// newFollower describes one that does not run yet. Its id, above those of members, is for r.ask.
func (r *testCluster) newFollower(id uint64, name string) *testFollower {
	r.t.Helper()
	if err := r.authority.WriteFollower(r.dir, name); err != nil {
		r.t.Fatal(err)
	}
	creds, err := raftnode.LoadNamed(r.dir, raftnode.FollowerFile(name))
	if err != nil {
		r.t.Fatal(err)
	}
	f := &testFollower{testMember: &testMember{listen: freeAddr(r.t)}, cfg: &FollowerConfig{Cluster: "test", Name: name, Credentials: creds,
		DataFile: filepath.Join(r.dir, name+".db"), MemberStreamAddrs: map[uint64]string{}}}
	for m, o := range r.members {
		if o.cfg != nil && o.cfg.StreamListenAddr != "" {
			f.cfg.MemberStreamAddrs[m] = o.cfg.StreamListenAddr
		}
	}
	r.members[id] = f.testMember
	return f
}

func (r *testCluster) startFollower(f *testFollower) error {
	r.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	gate := &gateway.Config{Name: f.cfg.Name, Seed: 9, DrainFor: time.Millisecond,
		Settings: policy.Settings{InstanceCount: 1, Zone: "hall-a", MaxAttempts: 3, AllowsCancel: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MinEventInterval: 2 * time.Millisecond, ResponseSlack: 8 * time.Millisecond, AllowsHealthChecks: true, LoadReports: policy.LoadReportsInHealthChecks}}
	ln, err := net.Listen("tcp", f.listen)
	if err != nil {
		r.t.Fatal(err)
	}
	gate.On(ln, nil)
	f.logs = &testserver.Log{}
	f.done, f.stop = make(chan error, 1), stop
	begun := make(chan *Follower, 1)
	done := f.done
	go func() {
		done <- RunFollower(ctx, f.cfg, gate, log.New(f.logs, "", 0), func(o *Follower) { begun <- o })
	}()
	select {
	case f.follower = <-begun:
		return nil
	case err := <-done:
		ln.Close()
		f.stop = nil
		return err
	case <-time.After(testTimeout):
		return errors.New("a follower does not begin")
	}
}

func operatorCredentials(t *testing.T, r *testCluster) raftnode.Credentials {
	t.Helper()
	creds, err := raftnode.LoadNamed(r.dir, raftnode.OperatorFile("amina"))
	if err != nil {
		t.Fatal(err)
	}
	return creds
}

// awaitFollower waits until a member says that of a follower.
func (r *testCluster) awaitFollower(name, want string) {
	r.t.Helper()
	last := ""
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		fs, err := r.admin.Followers(r.ctx())
		if err != nil {
			last = err.Error()
			continue
		}
		for _, s := range fs.Followers {
			if s.Name == name {
				if last = s.Plain(); strings.Contains(last, want) {
					return
				}
			}
		}
	}
	r.t.Fatalf("follower %s %q, want %q", name, last, want)
}

// Followers from the first version on: told, acknowledged, served on; refused with the reason; served on with no member
// alive, after a restart too; a member that dies; a name that is no follower's, taken away, or used twice.
func TestFollowers(t *testing.T) {
	r := newTestCluster(t, 3)
	for id := uint64(1); id <= 3; id++ {
		r.stop(id)
		r.members[id].cfg.StreamListenAddr = freeAddr(t)
		r.start(id)
	}
	north, south := r.newFollower(101, "north"), r.newFollower(102, "south")
	for _, f := range []*testFollower{north, south} {
		if err := r.startFollower(f); err != nil {
			t.Fatal(err)
		}
	}
	if a := r.get(101, "/slots"); a.status != 503 {
		t.Errorf("with nothing told: %+v", a)
	}
	p := r.initialProposal()
	p.Changes = append(p.Changes, newChange("put", "follower", "north", `{}`), newChange("put", "follower", "south", `{"note":"Kigoma"}`))
	r.propose(p)
	r.awaitInstalled(1)
	for _, id := range []uint64{101, 102} {
		r.awaitServing(id)
		if a := r.get(id, "/slots"); a.body != "1" || a.header.Get("X-Mulleinmux-Version") != "1" {
			t.Errorf("%+v", a)
		}
	}
	// One change, pushed, acknowledged by both and served on.
	r.propose(&clusterconfig.Proposal{ID: "two", Changes: []clusterconfig.Change{putDescription(7)}})
	r.awaitInstalled(2)
	if a := r.get(102, "/slots"); a.body != "2" || a.header.Get("X-Mulleinmux-Units") != "7" {
		t.Errorf("%+v", a)
	}
	// A version that can't be served on: two descriptions. The follower says which object, and goes on; the next one mends it.
	second := putDescription(8)
	second.Name = "e"
	r.propose(&clusterconfig.Proposal{ID: "three", Changes: []clusterconfig.Change{second}})
	r.awaitFollower("north", "refused 3")
	r.awaitFollower("south", "2 descriptions are agreed on")
	if a := r.get(101, "/slots"); a.body != "2" {
		t.Errorf("after a refusal: %+v", a)
	}
	if fs, err := r.admin.Followers(r.ctx()); err != nil || len(fs.Followers) != 2 || !strings.Contains(fs.Followers[0].Explain(fs.NewestVersion), "mends that") {
		t.Errorf("%+v, %v", fs, err)
	}
	// Restarted, it does not try that version again, and serves on what it had before any member has said a word.
	r.stop(101)
	for id := uint64(1); id <= 3; id++ {
		r.stop(id)
	}
	if err := r.startFollower(north); err != nil {
		t.Fatal(err)
	}
	r.awaitServing(101)
	if a := r.get(101, "/slots"); a.body != "2" {
		t.Errorf("with no member alive: %+v", a)
	}
	if s := north.follower.Status(); s.ConfirmedAgeMs != -1 || len(s.Rejected) != 1 || s.MemberID != 0 {
		t.Errorf("%+v", s)
	}
	for id := uint64(2); id <= 3; id++ { // the first stays dead
		r.start(id)
	}
	r.propose(&clusterconfig.Proposal{ID: "four", Changes: []clusterconfig.Change{newChange("remove", "description", "e", "")}})
	r.awaitFollower("north", "runs 4")
	r.awaitFollower("south", "runs 4")
	if s := north.follower.Status(); len(s.Rejected) != 1 || strings.Contains(north.logs.String(), "version 3 is in force") {
		t.Errorf("%+v", s)
	}
	r.await("confirmed", func() bool { s := north.follower.Status(); return s.ConfirmedAgeMs >= 0 && s.IsServing })
	// A copy of its file beside it: found out, both named, and neither takes what is new.
	twin := *south
	twin.testMember = &testMember{listen: freeAddr(t)}
	cfg := *south.cfg
	cfg.DataFile = filepath.Join(r.dir, "copy.db")
	twin.cfg = &cfg
	r.members[103] = twin.testMember
	if err := r.startFollower(&twin); err != nil {
		t.Fatal(err)
	}
	r.awaitFollower("south", "are both called south")
	r.await("both are told", func() bool {
		return strings.Contains(south.logs.String(), "both called") && strings.Contains(twin.logs.String(), "both called")
	})
	r.stop(103)
	r.awaitFollower("south", "runs 4")
	// Taken out of the agreement, it is told nothing any more, and serves on.
	r.propose(&clusterconfig.Proposal{ID: "five", Changes: []clusterconfig.Change{newChange("remove", "follower", "south", "")}})
	r.await("it is turned away", func() bool { return strings.Contains(south.logs.String(), "not agreed on as a follower") })
	if a := r.get(102, "/slots"); a.status != 200 || a.body != "4" {
		t.Errorf("%+v", a)
	}
	r.awaitFollower("north", "runs 5")
	// A follower's certificate is no operator's, and no other follower's.
	if _, err := NewClient("test", south.cfg.Credentials, r.addrs[2].Admin).Status(r.ctx()); err == nil || !strings.Contains(err.Error(), "no operator") {
		t.Errorf("a follower asks as an operator: %v", err)
	}
	for name, creds := range map[string]raftnode.Credentials{"a member": r.members[2].cfg.Credentials, "an operator": operatorCredentials(t, r)} {
		var logs testserver.Log
		ctx, stop := context.WithCancel(r.ctx())
		feed := NewStreamClient(&FollowerConfig{Cluster: "test", Name: "north", Credentials: creds, MemberStreamAddrs: north.cfg.MemberStreamAddrs}, configstream.Disk{Starts: 1}, StreamHandlers{}, log.New(&logs, "", 0))
		done := make(chan struct{})
		go func() { feed.Run(ctx); close(done) }()
		r.await(name+" is told nothing", func() bool { return strings.Contains(logs.String(), "is not of a follower") })
		stop()
		<-done
	}
	wrong := *north
	wrong.testMember, wrong.cfg = &testMember{listen: freeAddr(t)}, &FollowerConfig{Cluster: "test", Name: "west", Credentials: north.cfg.Credentials, DataFile: filepath.Join(r.dir, "w.db"), MemberStreamAddrs: north.cfg.MemberStreamAddrs}
	if err := r.startFollower(&wrong); err == nil || !strings.Contains(err.Error(), `"north"`) {
		t.Errorf("another's certificate: %v", err)
	}
	cfg2 := *north.cfg
	wrong.cfg, cfg2.DataFile = &cfg2, filepath.Join(r.dir, "south.db")
	r.stop(102)
	if err := r.startFollower(&wrong); !errors.Is(err, ErrInvalidFollowerFile) {
		t.Errorf("another's file: %v", err)
	}
	if err := r.stop(101); err != nil {
		t.Errorf("north ends with %v", err)
	}
}
