package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/scenario"
	"mulleinmux/internal/testserver"
)

// Processes that agree on their configuration, with traffic and several operators: each
// scenario keeps every rule.
func TestClusterScenarios(t *testing.T) {
	for _, c := range []struct {
		scenario string
		seed     int
		length   string
	}{{"leader-lost", 1, "5s"}, {"minority-cut", 1, "8s"}, {"rolling-restart", 1, "4s"}, {"hall-closes", 1, "5s"}, {"hall-lost", 1, "8s"}, {"chaos-config", 1, "4s"}} {
		t.Run(fmt.Sprint(c.scenario, "-", c.seed), func(t *testing.T) {
			var out, errs, logs bytes.Buffer
			log := filepath.Join(t.TempDir(), "log")
			s := run(context.Background(), []string{"lab", "--scenario", c.scenario, "--for", c.length, "--seed", fmt.Sprint(c.seed), "--json", "--logs", log}, &out, &errs)
			text, _ := os.ReadFile(log)
			logs.Write(text[max(len(text)-8000, 0):])
			var v scenario.Verdict
			if err := json.Unmarshal(out.Bytes(), &v); err != nil {
				t.Fatalf("exit %d: %v: %s%s\n%s", s, err, out.String(), errs.String(), logs.String())
			}
			if s != 0 || !v.OK || v.Served == 0 || v.Figures["changes"] < 20 {
				t.Errorf("exit %d: %s\n%s", s, out.String(), logs.String())
			}
			if (c.scenario == "hall-lost") != (v.Figures["hall_lost_ms_1"] > 0 && v.Figures["hall_back_ms_1"] > 0) {
				t.Errorf("figures %v", v.Figures)
			}
			if (c.scenario == "leader-lost") != (v.Figures["kill_to_change_ms_1"] > 0) {
				t.Errorf("figures %v", v.Figures)
			}
		})
	}
}

// Without the guard of keys the scenario shows double bookings: so it would show those that
// the guard let through.
func TestHallClosesBites(t *testing.T) {
	var out, errs bytes.Buffer
	s := run(context.Background(), []string{"lab", "--scenario", "hall-closes", "--for", "3s", "--keys-anywhere", "--json"}, &out, &errs)
	var v scenario.Verdict
	if err := json.Unmarshal(out.Bytes(), &v); err != nil || s != 1 || v.Duplicates == 0 || v.Rules["no_effect_twice"] == 0 {
		t.Errorf("exit %d, %v: %s%s", s, err, out.String(), errs.String())
	}
}

// The operators' page from its beginning to a change: certificates, files, instances, a first
// configuration, a diff, a change that all have, the history, a backup and its return.
func TestOperators(t *testing.T) {
	dir := t.TempDir()
	free := func() string {
		addr, err := testserver.FreeAddr("tcp")
		if err != nil {
			t.Fatal(err)
		}
		return addr
	}
	certs := filepath.Join(dir, "certs")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	must := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		if got := run(context.Background(), args, &out, &errs); got != want {
			t.Fatalf("%v: exit %d, want %d: %s%s", args, got, want, out.String(), errs.String())
		}
		return out.String() + errs.String()
	}
	must(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--dir", certs)
	example := string(deploy.Member)
	var admins, listens []string
	var pairs []string
	for i := 1; i <= 3; i++ {
		admins = append(admins, free())
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:710%d", i), free(), fmt.Sprintf("127.0.0.1:720%d", i), admins[i-1], fmt.Sprintf("127.0.0.1:794%d", i+5), free())
		listens = append(listens, free())
	}
	swap := strings.NewReplacer(pairs...) // addresses, the same in all files
	ended := make(chan int, 3)
	for i := 1; i <= 3; i++ {
		text := swap.Replace(example)
		udp := []string{"127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"}[i-1]
		for old, to := range map[string]string{`listen = "127.0.0.1:8081"`: fmt.Sprintf("listen = %q", listens[i-1]), "number = 1 ": fmt.Sprintf("number = %d ", i),
			"instance = 0": fmt.Sprintf("instance = %d", i-1), "member-1.db": fmt.Sprintf("member-%d.db", i),
			"peer_listen = " + fmt.Sprintf("%q", swap.Replace("127.0.0.1:7946")): "peer_listen = " + fmt.Sprintf("%q", swap.Replace(udp))} {
			if !strings.Contains(text, old) {
				t.Fatalf("the example lacks %q", old)
			}
			text = strings.Replace(text, old, to, 1)
		}
		config := file(t, dir, fmt.Sprintf("member-%d.toml", i), text)
		must(0, "init", "--config", config, "--new-cluster")
		go func() {
			var errs testserver.Log
			s := run(ctx, []string{"run", "--config", config}, &errs, &errs)
			if s != 0 {
				t.Errorf("member %d: exit %d: %s", i, s, errs.String())
			}
			ended <- s
		}()
	}
	defer func() {
		cancel()
		for range 3 {
			<-ended
		}
	}()
	ask := []string{"config", "--certs", certs, "--operator", "amina", "--at", strings.Join(admins, ",")}
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		var out, errs bytes.Buffer
		if run(ctx, append(ask, "get"), &out, &errs) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal(errs.String())
		}
	}
	file(t, dir, "booking.yaml", string(deploy.Booking))
	first := file(t, dir, "fleet.toml", string(deploy.Fleet))
	if got := must(1, append(ask, "diff", first)...); !strings.Contains(got, "against version 0") || !strings.Contains(got, "+ plan kubwa") {
		t.Error(got)
	}
	must(0, append(ask, "apply", first, "--check")...)
	if got := must(0, append(ask, "apply", first, "--why", "opening day", "--wait", "applied-everywhere")...); !strings.Contains(got, "version 1") {
		t.Error(got)
	}
	must(0, append(ask, "diff", first)...)
	for _, at := range listens {
		for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
			resp, err := http.Get("http://" + at + "/health/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				t.Fatalf("%s is not ready: %v", at, err)
			}
		}
	}
	backup := file(t, dir, "backup.json", must(0, append(ask, "--json", "get")...))
	second := file(t, dir, "fleet2.toml", strings.Replace(string(deploy.Fleet), "rate = 18", "rate = 19", 1))
	if got := must(1, append(ask, "diff", second)...); strings.Count(got, "plan kubwa") != 2 || !strings.Contains(got, "1 changes") {
		t.Error(got)
	}
	must(0, append(ask, "apply", second, "--why", "new tariff", "--id", "one", "--wait", "applied-everywhere")...)
	if got := must(0, append(ask, "get", "plan", "kubwa")...); !strings.Contains(got, `"rate":19`) || !strings.Contains(got, "version 2") {
		t.Error(got)
	}
	if got := must(0, append(ask, "history")...); !strings.Contains(got, "amina") || !strings.Contains(got, "new tariff") || !strings.Contains(got, "put plan kubwa") {
		t.Error(got)
	}
	must(0, append(ask, "apply", backup, "--why", "back", "--wait", "applied-everywhere")...)
	if got := must(0, append(ask, "get", "plan", "kubwa")...); !strings.Contains(got, `"rate":18`) {
		t.Error(got)
	}
	if got := must(0, append(ask, "status")...); strings.Count(got, "true") != 3 {
		t.Error(got)
	}
	must(1, append(ask, "get", "plan", "none")...)
	must(2, append(ask, "members", "remove", "9")...)
	must(2, append(ask, "apply", file(t, dir, "bad.toml", strings.Replace(string(deploy.Fleet), "rate = 18", "rate = -1", 1)))...)
}
