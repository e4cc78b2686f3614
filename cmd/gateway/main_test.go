package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/testserver"
)

// patience bounds every wait of a test; none is expected to come near it.
const patience = 30 * time.Second

// The test's binary is the program for the processes of the lab.
func TestMain(m *testing.M) {
	if os.Getenv("MULLEINGATE_TEST_MAIN") != "" {
		main()
	}
	labEnv = []string{"MULLEINGATE_TEST_MAIN=1"}
	os.Exit(m.Run())
}

func file(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Bad input is told with its place and exits with 2; good files are shown.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	booking := string(deploy.Booking)
	good := file(t, dir, "booking.yaml", booking)
	config := file(t, dir, "gateway.toml", string(deploy.Gateway))
	replaced := func(old, to string) string {
		if !strings.Contains(booking+string(deploy.Gateway), old) {
			t.Fatalf("the examples lack %q", old)
		}
		return strings.Replace(booking, old, to, 1)
	}
	toml := func(name, old, to string) string {
		if !strings.Contains(string(deploy.Gateway), old) {
			t.Fatalf("the example lacks %q", old)
		}
		return file(t, dir, name, strings.Replace(string(deploy.Gateway), old, to, 1))
	}
	member := file(t, dir, "member.toml", string(deploy.Member))
	memberWith := func(name, old, to string) string {
		if !strings.Contains(string(deploy.Member), old) {
			t.Fatalf("the example lacks %q", old)
		}
		return file(t, dir, name, strings.Replace(string(deploy.Member), old, to, 1))
	}
	followerWith := func(name, old, to string) string {
		if !strings.Contains(string(deploy.Follower), old) {
			t.Fatalf("the example lacks %q", old)
		}
		return file(t, dir, name, strings.Replace(string(deploy.Follower), old, to, 1))
	}
	for _, c := range []struct {
		args   []string
		status int
		want   []string
	}{
		{[]string{"check", good, config}, 0, []string{"booking.yaml: can be used, 21 operations", "gateway.toml: can be used", "1 to 4 by body property installers, else 1"}},
		{[]string{"check", "--config", config, good}, 0, []string{"can be used"}},
		{[]string{"check", file(t, dir, "cheap.yaml", replaced("x-mulleinmux: {class: visit-book, units: 2}\n", "description: cheap\n"))}, 0, []string{"warning", "PATCH /v1/visits/{visit} changes something and takes its class and units"}},
		{[]string{"check", file(t, dir, "bad.yaml", replaced("{class: visit-book, units: 2}", "{class: visit-bok, units: 0}"))}, 2, []string{"bad.yaml:", `class "visit-bok"`, "0 is outside 1 to 50", "paths./visits/{visit}.patch.x-mulleinmux.class"}},
		{[]string{"check", filepath.Join(dir, "none.yaml")}, 2, []string{"no such file"}},
		{[]string{"check", toml("a.toml", `plan = "kubwa"`, `plan = "kubva"`)}, 2, []string{"a.toml:81", "licensee[0].plan", `"kubva" is no [[plan]]`}},
		{[]string{"check", toml("b.toml", `zone = "hall-a"`, `zone = "hall-c"`)}, 2, []string{"b.toml:6", "zone"}},
		{[]string{"check", toml("c.toml", "rate = 18", "rat = 18")}, 2, []string{"c.toml:", "plan.rat", "is no field of this file"}},
		{[]string{"check", toml("d.toml", `aim = "400ms"`, `aim = 400`)}, 2, []string{"d.toml:"}},
		{[]string{"check", toml("e.toml", `"127.0.0.1:8501"`, `"127.0.0.1"`)}, 2, []string{"e.toml:", "hall[1].register"}},
		{[]string{"check", toml("f.toml", "ceiling_rate = 40", "ceiling_rate = 10")}, 2, []string{"plan[2].ceiling_rate", "lies above the rate"}},
		{[]string{"check", toml("g.toml", "[limits]", "[limits")}, 2, []string{"g.toml:16"}},
		{[]string{"check", toml("h.toml", `description = "booking.yaml"`, `description = "nowhere.yaml"`)}, 2, []string{"nowhere.yaml"}},
		{[]string{"check"}, 2, []string{"<file>"}},
		{[]string{"check", "--config", filepath.Join(dir, "none.toml"), good}, 2, []string{"--config"}},
		{[]string{"run", "--config", filepath.Join(dir, "none.toml")}, 2, []string{"--config"}},
		{[]string{"run", "--config", filepath.Join(dir, "b.toml")}, 2, []string{"b.toml:6"}},
		{[]string{"lab", "--scenario", "storm"}, 2, []string{"storm", "--list"}},
		{[]string{"lab", "--for", "1ms"}, 2, []string{"--for"}},
		{[]string{"lab", "--list"}, 0, []string{"calm", "mixed", "contract-change"}},
		{[]string{"bench", "--rounds", "0"}, 2, []string{"--rounds"}},
		{[]string{"bench", "--parts", "--size", "0"}, 2, []string{"--size"}},
		{[]string{"certs", "--cluster", "c", "--members", "1,2", "--dir", filepath.Join(dir, "certs")}, 0, []string{"cluster c for members [1 2]"}},
		{[]string{"certs", "--members", "3", "--dir", filepath.Join(dir, "certs")}, 0, []string{"cluster c for members [3]"}},
		{[]string{"certs", "--cluster", "d", "--members", "4", "--dir", filepath.Join(dir, "certs")}, 2, []string{"authority-key.pem", "exists"}},
		{[]string{"certs", "--members", "2", "--dir", filepath.Join(dir, "certs")}, 2, []string{"member-2", "exists"}},
		{[]string{"certs", "--members", "1", "--dir", filepath.Join(dir, "none")}, 2, []string{"authority"}},
		{[]string{"certs", "--operators", "amina", "--dir", filepath.Join(dir, "certs")}, 0, []string{"operators [amina]"}},
		{[]string{"certs", "--dir", filepath.Join(dir, "certs")}, 2, []string{"none is named"}},
		{[]string{"check", member}, 0, []string{"can be used"}},
		{[]string{"check", memberWith("m1.toml", "number = 1 ", "number = 7 ")}, 2, []string{"m1.toml:33", "cluster.number", "7 is no [[cluster.member]]"}},
		{[]string{"check", memberWith("m2.toml", `raft = "127.0.0.1:7102"`, `raft = "127.0.0.1"`)}, 2, []string{"cluster.member[1].raft", "no address"}},
		{[]string{"check", memberWith("m3.toml", `"serve"`, `"maybe"`)}, 2, []string{"cluster.when_stale", "maybe"}},
		{[]string{"check", memberWith("m4.toml", `zone = "hall-a"`, "zone = \"hall-a\"\ndescription = \"x.yaml\"")}, 2, []string{"description", "agreed on by the cluster"}},
		{[]string{"check", memberWith("m6.toml", `"home"`, `"here"`)}, 2, []string{"cluster.keys", "here"}},
		{[]string{"check", memberWith("m5.toml", "number = 2", "number = 1")}, 2, []string{"cluster.member[1].number", "stands twice"}},
		{[]string{"check", followerWith("f0.toml", "", "")}, 0, []string{"can be used"}},
		{[]string{"check", followerWith("f1.toml", `stream = "127.0.0.1:7302"`, `stream = "nowhere"`)}, 2, []string{"f1.toml:", "follow.member[1].stream", "no address"}},
		{[]string{"check", followerWith("f2.toml", "number = 3", "number = 2")}, 2, []string{"follow.member[2].number", "stands twice"}},
		{[]string{"check", followerWith("f3.toml", `keys = "home"`, `keys = "here"`)}, 2, []string{"follow.keys", "here"}},
		{[]string{"check", followerWith("f4.toml", "[limits]", "[[plan]]\nname = \"a\"\n[limits]")}, 2, []string{"plan", "agreed on by the cluster"}},
		{[]string{"run", "--config", followerWith("f5.toml", `certs = "certs"`, `certs = "nowhere"`)}, 2, []string{"follow.certs", "--followers edge-1"}},
		{[]string{"certs", "--followers", "edge-1", "--dir", filepath.Join(dir, "certs")}, 0, []string{"followers [edge-1]"}},
		{[]string{"stream", "pin", "edge-1", "0"}, 2, []string{"version"}},
		{[]string{"config", "apply", good, "--wait", "all-but-some"}, 2, []string{"all-but-N"}},
		{[]string{"run", "--config", member}, 2, []string{"member-1.db", "gateway init"}},
		{[]string{"init", "--config", member}, 2, []string{"--new-cluster", "--join"}},
		{[]string{"init", "--config", config, "--join"}, 2, []string{"cluster: is missing"}},
		{[]string{"init", "--config", member, "--new-cluster"}, 0, []string{"member 1 of cluster dodoma"}},
		{[]string{"init", "--config", member, "--join"}, 2, []string{"exists"}},
		{[]string{"config", "--certs", filepath.Join(dir, "certs"), "--operator", "zuri", "status"}, 2, []string{"--operator", "zuri", "gateway certs"}},
		{[]string{"config", "--certs", filepath.Join(dir, "certs"), "--operator", "amina", "--at", "127.0.0.1:1", "status"}, 1, []string{"127.0.0.1:1", "refused"}},
		{[]string{"config", "--timeout", "1h", "status"}, 2, []string{"--timeout"}},
		{[]string{"config", "apply", file(t, dir, "empty.toml", "description = \"none.yaml\"\n")}, 2, []string{"empty.toml", "hall", "class"}},
		{[]string{"nothing"}, 2, []string{"nothing"}},
		{[]string{"--help"}, 0, []string{"gateway", "lab", "check", "run"}},
	} {
		var out, errs bytes.Buffer
		status := run(context.Background(), c.args, &out, &errs)
		if status != c.status {
			t.Errorf("%v: exit %d, want %d: %s%s", c.args, status, c.status, out.String(), errs.String())
		}
		for _, want := range c.want {
			if !strings.Contains(out.String()+errs.String(), want) {
				t.Errorf("%v: %q is not in %s%s", c.args, want, out.String(), errs.String())
			}
		}
	}
	var out bytes.Buffer
	run(context.Background(), []string{"check", "--json", good, filepath.Join(dir, "bad.yaml")}, &out, io.Discard)
	var got []checked
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || len(got) != 2 || !got[0].OK || got[1].OK || len(got[1].Problems) != 2 || got[1].Problems[0].Line == 0 {
		t.Errorf("%v %+v", err, got)
	}
}

// An instance that runs from its files takes a new description on SIGHUP, keeps the old
// one where the new is bad, and drains on SIGTERM.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	text := string(deploy.Gateway)
	for _, port := range []string{"8500", "8501"} {
		reg, err := testserver.NewDiscovery()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(reg.Close)
		text = strings.Replace(text, "127.0.0.1:"+port, reg.Addr().String(), 1)
	}
	text = strings.Replace(text, "127.0.0.1:8080", "127.0.0.1:0", 1)
	text = strings.Replace(text, `access_log = ""`, `access_log = "access.log"`, 1)
	booking := file(t, dir, "booking.yaml", string(deploy.Booking))
	config := file(t, dir, "gateway.toml", text)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	errs := &testserver.Log{}
	done := make(chan int, 1)
	go func() { done <- run(ctx, []string{"run", "--config", config}, io.Discard, errs) }()
	log := func(pattern string) []string {
		t.Helper()
		re := regexp.MustCompile(pattern)
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			if m := re.FindStringSubmatch(errs.String()); m != nil {
				return m
			}
			if time.Now().After(end) {
				t.Fatalf("the log never has %q:\n%s", pattern, errs.String())
			}
		}
	}
	addr := log(`ready on (\S+), 21 operations`)[1]
	status := func(path string) int {
		t.Helper()
		resp, err := http.Get("http://" + addr + path)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode
	}
	hup := func() {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if s := status("/health/ready"); s != 200 {
		t.Errorf("ready: %d", s)
	}
	if s := status("/v1/extra"); s != 404 {
		t.Errorf("an operation to come: %d", s)
	}
	more := string(deploy.Booking) + ""
	more = strings.Replace(more, "paths:\n", "paths:\n  /extra:\n    get: {responses: {\"200\": {description: x}}}\n", 1)
	file(t, dir, "booking.yaml", strings.Replace(more, "units: 1", "units: -1", 1))
	hup()
	log(`reload: the description in force stays, version 1:\n.*booking.yaml:10`)
	if s := status("/v1/extra"); s != 404 {
		t.Errorf("after a bad description: %d", s)
	}
	if err := os.WriteFile(booking, []byte(more), 0o600); err != nil {
		t.Fatal(err)
	}
	hup()
	log(`reload: version 2 is in force, 22 operations`)
	if s := status("/v1/extra"); s != 400 { // it has no licensee
		t.Errorf("after a good description: %d", s)
	}
	r, err := http.NewRequest("GET", "http://"+addr+"/v1/installers", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Licensee", "bahari-net")
	r.Header.Set("X-Trace-Id", "logged")
	resp, err := http.DefaultClient.Do(r)
	if err != nil || resp.StatusCode != 429 { // no hall has a server
		t.Fatalf("%+v %v", resp, err)
	}
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	stop()
	select {
	case s := <-done:
		if s != 0 {
			t.Errorf("exit %d", s)
		}
	case <-time.After(patience):
		t.Error("the instance does not end")
	}
	log("drained")
	access, err := os.ReadFile(filepath.Join(dir, "access.log"))
	if err != nil || !strings.Contains(string(access), `"trace":"logged","operation":"listInstallers","licensee":"bahari-net","version":2,"units":2,"sent":false`) {
		t.Errorf("%s %v", access, err)
	}
}

// The verdict goes out as JSON, and the exit status says whether every rule was kept.
func TestLab(t *testing.T) {
	var out, errs bytes.Buffer
	if s := run(context.Background(), []string{"lab", "--for", "2s", "--seed", "3", "--json"}, &out, &errs); s != 0 {
		t.Errorf("exit %d: %s", s, errs.String())
	}
	var v map[string]any
	if err := json.Unmarshal(out.Bytes(), &v); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"scenario", "seed", "ok", "rules", "requests", "served", "refused", "failed", "units_declared", "units_counted", "duplicates", "unanswered", "figures"} {
		if _, ok := v[name]; !ok {
			t.Errorf("%s is missing", name)
		}
	}
	if v["units_counted"] != v["units_declared"] || v["served"].(float64) == 0 {
		t.Errorf("%v", v)
	}
	if !strings.Contains(errs.String(), "calm 1s of 2s") {
		t.Errorf("progress: %q", errs.String())
	}
}
