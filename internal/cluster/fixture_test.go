package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"mulleinmux/clusterconfig"
	"mulleinmux/configstream"
	"mulleinmux/internal/fixture"
	"mulleinmux/multisite"
)

// A follower's file that was recorded is read, and a new one holds the same values under the same keys.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/cluster -run Fixture
func TestFixtureFollowerFile(t *testing.T) {
	s := clusterconfig.New(nil)
	version := func(before *configstream.Version, id string, changes ...clusterconfig.Change) *configstream.Version {
		entry, err := clusterconfig.Encode(&clusterconfig.Proposal{ID: id, Changes: changes})
		if err != nil {
			t.Fatal(err)
		}
		if _, o, err := s.Apply(entry); err != nil || !o.Applied {
			t.Fatal(o, err)
		}
		return configstream.Of(s.Freeze(), before)
	}
	one := version(nil, "p1", clusterconfig.Put("epoch", "epoch", clusterconfig.Epoch{Number: 2, ID: "one"}), clusterconfig.Put("plan", "kati", clusterconfig.Plan{Price: 1}),
		clusterconfig.Put("hall", "hall-a", clusterconfig.Hall{Register: "127.0.0.1:1"}))
	two := version(one, "p2", clusterconfig.Put("plan", "kubwa", clusterconfig.Plan{Price: 2}))
	three := version(two, "p3", clusterconfig.Put("plan", "kati", clusterconfig.Plan{Price: 3}))
	dump := func(path string) []byte {
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		defer db.Close()
		var out bytes.Buffer
		if err := db.View(func(tx *bbolt.Tx) error {
			return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
				return b.ForEach(func(k, v []byte) error {
					fmt.Fprintf(&out, "%s %s %s\n", name, k, v)
					return nil
				})
			})
		}); err != nil {
			t.Fatal(err)
		}
		return out.Bytes()
	}
	fresh := filepath.Join(t.TempDir(), "fresh.db")
	f, d, err := openFollowerFile(fresh, "c", "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "follower-new.txt", func() []byte {
		if err := f.close(); err != nil {
			t.Fatal(err)
		}
		return dump(fresh)
	}())
	if f, d, err = openFollowerFile(fresh, "c", "edge-1"); err != nil {
		t.Fatal(err)
	}
	d.Good, d.InForce, d.Tries, d.Previous, d.Received, d.Checks = two, true, 2, one, three.Ref, 1
	d.Refused = []configstream.Refusal{{Ref: three.Ref, Problems: []configstream.Problem{{Object: "plan/kati", Field: "price", Text: "is odd"}}, Unread: true}}
	if err := errors.Join(f.save(&d), f.close()); err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "follower.txt", dump(fresh))
	fixture.Record(t, "follower.db.gz", func() []byte {
		file, err := os.ReadFile(fresh)
		if err != nil {
			t.Fatal(err)
		}
		return file
	})
	old := filepath.Join(t.TempDir(), "old.db")
	if err := os.WriteFile(old, fixture.Read(t, "follower.db.gz"), 0o600); err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "follower.txt", dump(old))
	f, got, err := openFollowerFile(old, "c", "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	if got.Starts != d.Starts+1 || got.Good.Ref != two.Ref || got.Good.Hash != two.Hash || got.Previous.Ref != one.Ref || !got.InForce || got.Tries != 2 ||
		got.Received != three.Ref || got.Checks != 1 || !reflect.DeepEqual(got.Refused, d.Refused) {
		t.Errorf("%+v", got)
	}
	got.Starts--
	if err := errors.Join(f.save(&got), f.close()); err != nil {
		t.Fatal(err)
	}
	fixture.Compare(t, "follower.txt", dump(old))
}

// The words on keys, halls and ramps that members send each other are as they were recorded, and read as what was sent.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/cluster -run Fixture
func TestFixtureWordOnKeys(t *testing.T) {
	var out bytes.Buffer
	full := multisite.Message{From: 1, Incarnation: 2, Seq: 3, Age: 4, Epoch: 5, Sent: []multisite.Sent{{Key: 6, Hall: "hall-a", Ago: 7}}, Full: true, Life: 8,
		Views: []multisite.View{{Hall: "hall-a", Silent: true, For: 9, Carry: 1.5}, {Hall: "hall-b", For: -1, Far: true}},
		Ramp: &multisite.RampWord{Ask: 10, Carried: []multisite.Carried{{Hall: "hall-a", Rate: 2.5, Util: 0.5}}, Asks: []multisite.RampAsk{{Hall: "hall-b", Share: 0.25}},
			Grants: []multisite.RampGrant{{Hall: "hall-b", To: 11, Ask: 12, Share: 0.125}}},
		Consent: &multisite.ConsentWord{Ask: 13, Fence: 14, Heard: []multisite.ConsentAnswer{{Of: 15, Ask: 16}}}}
	all := []multisite.Message{{}, full, {Ramp: &multisite.RampWord{}, Consent: &multisite.ConsentWord{}}}
	for _, m := range all {
		if err := json.NewEncoder(&out).Encode(&m); err != nil {
			t.Fatal(err)
		}
	}
	fixture.Compare(t, "words.txt", out.Bytes())
	dec := json.NewDecoder(bytes.NewReader(fixture.Read(t, "words.txt")))
	for _, m := range all {
		var got multisite.Message
		if err := dec.Decode(&got); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v, want %+v: %v", got, m, err)
		}
	}
}

// The answers of the admin side of a member that is alone: status, layout and keys, headers and figures. What differs from
// run to run (ports, times, terms, indices, hashes) is masked.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/cluster -run Fixture
func TestFixtureAdmin(t *testing.T) {
	r := newTestCluster(t, 1)
	m := r.members[1]
	r.stop(1)
	m.cfg.StreamListenAddr = freeAddr(t)
	r.start(1)
	r.await("it leads", func() bool { _, err := r.admin.Objects(r.ctx(), false); return err == nil })
	r.propose(r.initialProposal())
	r.awaitInstalled(1)
	r.propose(&clusterconfig.Proposal{ID: "second", Why: "a follower", Changes: []clusterconfig.Change{newChange("put", "follower", "edge-1", `{"note":"x"}`)}})
	r.await("it has the second", func() bool { // the follower never comes
		s, err := r.admin.Status(r.ctx())
		return err == nil && s.InstalledVersion == 2
	})
	r.await("it is ready", func() bool { return r.isReady(1) })
	masks := []struct {
		of *regexp.Regexp
		to string
	}{{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDR"}, {regexp.MustCompile(`"(hash|digest)":"[0-9a-f]{64}"`), `"$1":"HASH"`},
		{regexp.MustCompile(`"(age_ms|at_ms|term|index|number|since_ns)":\d+`), `"$1":N`}, {regexp.MustCompile(`(?m)^(mulleingate_(?:config_age_seconds|raft_applied_index)) .*$`), "$1 N"}}
	var out bytes.Buffer
	for _, q := range []struct{ method, path, body string }{
		{"GET", "/v1/status", ""}, {"GET", "/v1/config", ""}, {"GET", "/v1/config?local=1", ""}, {"GET", "/v1/history", ""}, {"GET", "/v1/stream", ""}, {"GET", "/metrics", ""},
		{"POST", "/v1/check", `{"id":"x","changes":[{"op":"put","kind":"plan","name":"a","value":{"rate":1,"burst":1,"price":1}}]}`},
		{"POST", "/v1/check", `{"id":"x","changes":[]}`}, {"POST", "/v1/check", `{"ids":"x"}`}, {"POST", "/v1/check", ``},
		{"POST", "/v1/propose", `{"id":"x","base":1,"changes":[{"op":"remove","kind":"plan","name":"a"}]}`},
		{"POST", "/v1/propose", `{"id":"y","changes":[{"op":"put","kind":"member","name":"7","value":{"raft":"127.0.0.1:1","admin":"127.0.0.1:2"}}]}`},
		{"POST", "/v1/propose", `{"id":"second","changes":[{"op":"remove","kind":"plan","name":"a"}]}`},
		{"POST", "/v1/members", `{"op":"move","member":1}`}, {"POST", "/v1/members", `{"op":"remove","member":9}`}, {"POST", "/v1/members", `{"op":"remove","member":1}`},
		{"POST", "/v1/members", `{"op":"add","member":1}`}, {"POST", "/v1/members", `{"op":"transfer","member":9}`},
		{"GET", "/v1/none", ""}, {"POST", "/v1/status", ""},
	} {
		req, err := http.NewRequestWithContext(r.ctx(), q.method, "https://"+r.addrs[1].Admin+q.path, strings.NewReader(q.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := r.admin.httpClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range masks {
			text = m.of.ReplaceAll(text, []byte(m.to))
		}
		resp.Header.Del("Date")
		resp.Header.Del("Content-Length")
		fmt.Fprintf(&out, "%s %s %s\n%d", q.method, q.path, q.body, resp.StatusCode)
		for _, k := range slices.Sorted(maps.Keys(resp.Header)) {
			fmt.Fprintf(&out, " %s: %s", k, resp.Header.Get(k))
		}
		fmt.Fprintf(&out, "\n%s\n", text)
	}
	fixture.Compare(t, "admin.txt", out.Bytes())
}

// The forms of answers are as they were recorded: all fields set, and none.
//
// Recorded with: MULLEINMUX_RECORD=1 go test ./internal/cluster -run Fixture
func TestFixtureAnswers(t *testing.T) {
	at := &clusterconfig.Member{Raft: "a", Admin: "b"}
	full := Status{Cluster: "c", InstalledVersion: 1, ConfirmedAgeMs: -1, IsServing: true, InstallError: "note", SiteStates: map[string]string{"hall-a": "well"}, Members: map[uint64]clusterconfig.Member{1: *at}}
	full.ID, full.Leader, full.Ready, full.Index, full.Version, full.Hash, full.Voters, full.Learners = 1, 2, true, 4, 5, "hash", []uint64{1}, []uint64{2}
	w := httptest.NewRecorder()
	for _, v := range []any{Status{}, full, Objects{}, MembershipChange{}, MembershipChange{Op: "add", MemberID: 1, ReplacementID: 2, Addrs: at}, errorResponse{"why"}, FollowerList{},
		FollowerList{MemberID: 1, NewestVersion: 2, Followers: []configstream.Standing{{}}}, FollowerStatus{}} {
		writeJSON(w, 200, v)
	}
	fixture.Compare(t, "answers.txt", w.Body.Bytes())
}
