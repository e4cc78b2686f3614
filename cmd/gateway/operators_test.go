package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/testserver"
)

// operatorTest is a cluster of three members that run in this process, and an operator who has a certificate.
type operatorTest struct {
	t           *testing.T
	dir         string
	certs       string
	adminAddrs  []string // addresses of the members for operators
	listenAddrs []string // addresses of the members for requests
	streamAddrs []string // addresses of the members for followers
	linkAddrs   []string // addresses of the members for other sites' members
}

// mustRun runs a command, checks its exit status, and returns its standard output followed by its standard error.
func (o *operatorTest) mustRun(status int, args ...string) string {
	o.t.Helper()
	var out, errs bytes.Buffer
	if got := runProgram(context.Background(), args, &out, &errs); got != status {
		o.t.Fatalf("%v: got exit status %d, want %d; output:\n%s%s", args, got, status, out.String(), errs.String())
	}
	return out.String() + errs.String()
}

// configArgs returns the command line of gateway config with the operator's flags and args.
func (o *operatorTest) configArgs(args ...string) []string {
	at := []string{"config", "--certs", o.certs, "--operator", "amina", "--at", strings.Join(o.adminAddrs, ",")}
	return append(at, args...)
}

// mustConfig runs gateway config with args like mustRun.
func (o *operatorTest) mustConfig(status int, args ...string) string {
	o.t.Helper()
	return o.mustRun(status, o.configArgs(args...)...)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testserver.FreeAddr("tcp")
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// writeMemberFiles writes the files of the members, with free addresses in place of those in the example.
func (o *operatorTest) writeMemberFiles() (files []string) {
	o.t.Helper()
	var pairs []string
	for i := 1; i <= 3; i++ {
		o.adminAddrs = append(o.adminAddrs, freeAddr(o.t))
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:710%d", i), freeAddr(o.t))
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:720%d", i), o.adminAddrs[i-1])
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:794%d", i+5), freeAddr(o.t))
		o.listenAddrs = append(o.listenAddrs, freeAddr(o.t))
	}
	swap := strings.NewReplacer(pairs...)
	for i := 1; i <= 3; i++ {
		text := swap.Replace(string(deploy.Member))
		udp := []string{"127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"}[i-1]
		for old, to := range map[string]string{
			`listen = "127.0.0.1:8081"`: fmt.Sprintf("listen = %q", o.listenAddrs[i-1]),
			"number = 1 ":               fmt.Sprintf("number = %d ", i),
			"instance = 0":              fmt.Sprintf("instance = %d", i-1),
			"member-1.db":               fmt.Sprintf("member-%d.db", i),
			"peer_listen = " + fmt.Sprintf("%q", swap.Replace("127.0.0.1:7946")): "peer_listen = " +
				fmt.Sprintf("%q", swap.Replace(udp)),
		} {
			if !strings.Contains(text, old) {
				o.t.Fatalf("the example of a member's file does not contain %q", old)
			}
			text = strings.Replace(text, old, to, 1)
		}
		files = append(files, writeFile(o.t, o.dir, fmt.Sprintf("member-%d.toml", i), text))
	}
	return files
}

// startMembers creates the members' data files and starts the members. The returned function stops them and waits until
// they have ended.
func (o *operatorTest) startMembers(files []string) (stop func()) {
	o.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	o.t.Cleanup(stop) // also if the test fails at a later file
	for i, config := range files {
		o.mustRun(0, "init", "--config", config, "--new-cluster")
		running.Go(func() {
			var errs testserver.Log
			if status := runProgram(ctx, []string{"run", "--config", config}, &errs, &errs); status != 0 {
				o.t.Errorf("member %d: got exit status %d, want 0: %s", i+1, status, errs.String())
			}
		})
	}
	return stop
}

// awaitAnswer waits until the members respond to operators' requests.
func (o *operatorTest) awaitAnswer() {
	o.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		var out, errs bytes.Buffer
		if runProgram(context.Background(), o.configArgs("get"), &out, &errs) == 0 {
			return
		}
		if time.Now().After(end) {
			o.t.Fatal(errs.String())
		}
	}
}

// awaitReady waits until all members are ready to serve requests.
func (o *operatorTest) awaitReady() {
	o.t.Helper()
	for _, at := range o.listenAddrs {
		for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
			resp, err := http.Get("http://" + at + "/health/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				o.t.Fatalf("%s is not ready: %v", at, err)
			}
		}
	}
}

// An operator sets up a cluster and changes its configuration: certificates, members' files and data files, a first
// configuration, a diff, a change that all instances install, the history, and a backup that is applied again.
func TestOperators(t *testing.T) {
	dir := t.TempDir()
	o := &operatorTest{t: t, dir: dir, certs: filepath.Join(dir, "certs")}
	o.mustRun(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--dir", o.certs)
	defer o.startMembers(o.writeMemberFiles())()
	o.awaitAnswer()
	o.applyFirst()
	o.awaitReady()
	backup := writeFile(t, dir, "backup.json", o.mustConfig(0, "--json", "get"))
	o.applySecond()
	o.applyBackup(backup)
	o.rejectMistakes()
}

// applyFirst applies a first configuration.
func (o *operatorTest) applyFirst() {
	o.t.Helper()
	writeFile(o.t, o.dir, "booking.yaml", string(deploy.Booking))
	first := writeFile(o.t, o.dir, "fleet.toml", string(deploy.Fleet))
	got := o.mustConfig(1, "diff", first)
	if !strings.Contains(got, "against version 0") || !strings.Contains(got, "+ plan kubwa") {
		o.t.Error(got)
	}
	o.mustConfig(0, "apply", first, "--check")
	got = o.mustConfig(0, "apply", first, "--why", "opening day", "--wait", "applied-everywhere")
	if !strings.Contains(got, "version 1") {
		o.t.Error(got)
	}
	o.mustConfig(0, "diff", first)
}

// applySecond applies a configuration in which one plan differs.
func (o *operatorTest) applySecond() {
	o.t.Helper()
	text := strings.Replace(string(deploy.Fleet), "rate = 18", "rate = 19", 1)
	second := writeFile(o.t, o.dir, "fleet2.toml", text)
	got := o.mustConfig(1, "diff", second)
	if strings.Count(got, "plan kubwa") != 2 || !strings.Contains(got, "1 changes") {
		o.t.Error(got)
	}
	o.mustConfig(0, "apply", second, "--why", "new tariff", "--id", "one", "--wait", "applied-everywhere")
	got = o.mustConfig(0, "get", "plan", "kubwa")
	if !strings.Contains(got, `"rate":19`) || !strings.Contains(got, "version 2") {
		o.t.Error(got)
	}
	got = o.mustConfig(0, "history")
	for _, want := range []string{"amina", "new tariff", "put plan kubwa"} {
		if !strings.Contains(got, want) {
			o.t.Errorf("history lacks %q: got %s", want, got)
		}
	}
}

// applyBackup applies a backup of the first configuration.
func (o *operatorTest) applyBackup(backup string) {
	o.t.Helper()
	o.mustConfig(0, "apply", backup, "--why", "back", "--wait", "applied-everywhere")
	if got := o.mustConfig(0, "get", "plan", "kubwa"); !strings.Contains(got, `"rate":18`) {
		o.t.Error(got)
	}
	if got := o.mustConfig(0, "status"); strings.Count(got, "true") != 3 {
		o.t.Error(got)
	}
}

// rejectMistakes runs commands that the program or the members must reject.
func (o *operatorTest) rejectMistakes() {
	o.t.Helper()
	o.mustConfig(1, "get", "plan", "none")
	o.mustConfig(2, "members", "remove", "9")
	text := strings.Replace(string(deploy.Fleet), "rate = 18", "rate = -1", 1)
	o.mustConfig(2, "apply", writeFile(o.t, o.dir, "bad.toml", text))
}
