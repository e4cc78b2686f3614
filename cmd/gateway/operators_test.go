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

// operatorTest is a cluster of three members that run in this process, and an operator with a certificate.
type operatorTest struct {
	t       *testing.T
	dir     string
	certs   string
	admins  []string // addresses of the members for operators
	listens []string // addresses of the members for requests
}

// must runs a command that has to exit with a status, and returns what it printed on both outputs.
func (o *operatorTest) must(status int, args ...string) string {
	o.t.Helper()
	var out, errs bytes.Buffer
	if got := runProgram(context.Background(), args, &out, &errs); got != status {
		o.t.Fatalf("%v: exit %d, want %d: %s%s", args, got, status, out.String(), errs.String())
	}
	return out.String() + errs.String()
}

// configArgs returns the command line of gateway config with args.
func (o *operatorTest) configArgs(args ...string) []string {
	at := []string{"config", "--certs", o.certs, "--operator", "amina", "--at", strings.Join(o.admins, ",")}
	return append(at, args...)
}

// mustConfig runs gateway config as must.
func (o *operatorTest) mustConfig(status int, args ...string) string {
	o.t.Helper()
	return o.must(status, o.configArgs(args...)...)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testserver.FreeAddr("tcp")
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// writeMemberFiles writes the files of the members, which all have the same free addresses in place of the example's.
func (o *operatorTest) writeMemberFiles() (files []string) {
	o.t.Helper()
	var pairs []string
	for i := 1; i <= 3; i++ {
		o.admins = append(o.admins, freeAddr(o.t))
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:710%d", i), freeAddr(o.t))
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:720%d", i), o.admins[i-1])
		pairs = append(pairs, fmt.Sprintf("127.0.0.1:794%d", i+5), freeAddr(o.t))
		o.listens = append(o.listens, freeAddr(o.t))
	}
	swap := strings.NewReplacer(pairs...)
	for i := 1; i <= 3; i++ {
		text := swap.Replace(string(deploy.Member))
		udp := []string{"127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"}[i-1]
		for old, to := range map[string]string{
			`listen = "127.0.0.1:8081"`: fmt.Sprintf("listen = %q", o.listens[i-1]),
			"number = 1 ":               fmt.Sprintf("number = %d ", i),
			"instance = 0":              fmt.Sprintf("instance = %d", i-1),
			"member-1.db":               fmt.Sprintf("member-%d.db", i),
			"peer_listen = " + fmt.Sprintf("%q", swap.Replace("127.0.0.1:7946")): "peer_listen = " +
				fmt.Sprintf("%q", swap.Replace(udp)),
		} {
			if !strings.Contains(text, old) {
				o.t.Fatalf("the example lacks %q", old)
			}
			text = strings.Replace(text, old, to, 1)
		}
		files = append(files, file(o.t, o.dir, fmt.Sprintf("member-%d.toml", i), text))
	}
	return files
}

// startMembers makes the members' data files and runs the members until the returned function is called, which waits
// for their ends.
func (o *operatorTest) startMembers(files []string) (stop func()) {
	o.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	o.t.Cleanup(stop) // also where a later file makes the test fail
	for i, config := range files {
		o.must(0, "init", "--config", config, "--new-cluster")
		running.Go(func() {
			var errs testserver.Log
			if status := runProgram(ctx, []string{"run", "--config", config}, &errs, &errs); status != 0 {
				o.t.Errorf("member %d: exit %d: %s", i+1, status, errs.String())
			}
		})
	}
	return stop
}

// awaitAnswer waits until the members answer operators.
func (o *operatorTest) awaitAnswer() {
	o.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
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
	for _, at := range o.listens {
		for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
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

// The operators' page from its beginning to a change: certificates, files, instances, a first
// configuration, a diff, a change that all have, the history, a backup and its return.
func TestOperators(t *testing.T) {
	dir := t.TempDir()
	o := &operatorTest{t: t, dir: dir, certs: filepath.Join(dir, "certs")}
	o.must(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--dir", o.certs)
	defer o.startMembers(o.writeMemberFiles())()
	o.awaitAnswer()
	o.applyFirst()
	o.awaitReady()
	backup := file(t, dir, "backup.json", o.mustConfig(0, "--json", "get"))
	o.applySecond()
	o.applyBackup(backup)
	o.rejectMistakes()
}

// applyFirst has the members agree on a first configuration.
func (o *operatorTest) applyFirst() {
	o.t.Helper()
	file(o.t, o.dir, "booking.yaml", string(deploy.Booking))
	first := file(o.t, o.dir, "fleet.toml", string(deploy.Fleet))
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

// applySecond changes a plan.
func (o *operatorTest) applySecond() {
	o.t.Helper()
	text := strings.Replace(string(deploy.Fleet), "rate = 18", "rate = 19", 1)
	second := file(o.t, o.dir, "fleet2.toml", text)
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
			o.t.Errorf("%q is not in %s", want, got)
		}
	}
}

// applyBackup has the members agree on a backup of the first configuration again.
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

// rejectMistakes makes mistakes that the program or the members have to reject.
func (o *operatorTest) rejectMistakes() {
	o.t.Helper()
	o.mustConfig(1, "get", "plan", "none")
	o.mustConfig(2, "members", "remove", "9")
	text := strings.Replace(string(deploy.Fleet), "rate = 18", "rate = -1", 1)
	o.mustConfig(2, "apply", file(o.t, o.dir, "bad.toml", text))
}
