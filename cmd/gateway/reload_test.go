package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinmux/deploy"
	"mulleinmux/internal/testserver"
)

// Guards against members and followers of a cluster that end at SIGHUP with requests open.
func TestClusterInstancesSurviveReload(t *testing.T) {
	dir := t.TempDir()
	o := &operatorTest{t: t, dir: dir, certs: filepath.Join(dir, "certs")}
	o.mustRun(0, "certs", "--cluster", "dodoma", "--members", "1,2,3", "--operators", "amina", "--followers", "edge-1",
		"--dir", o.certs)
	member := o.writeMemberFiles()[0]
	o.mustRun(0, "init", "--config", member, "--new-cluster")
	text := strings.NewReplacer("127.0.0.1:8084", "127.0.0.1:0", "127.0.0.1:7949", freeAddr(t)).
		Replace(string(deploy.Follower))
	for _, c := range []struct{ name, config string }{
		{"member", member},
		{"follower", writeFile(t, dir, "follower.toml", text)},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var log testserver.Log
			exit := make(chan int, 1)
			go func() { exit <- runProgram(ctx, []string{"run", "--config", c.config}, &log, &log) }()
			awaitText(t, &log, "msg=listening ")
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			awaitText(t, &log, `msg="reload ignored"`)
			stop()
			if status := <-exit; status != 0 {
				t.Errorf("exit status: got %d, want 0: %s", status, log.String())
			}
		})
	}
}

// awaitText waits until a log contains a text.
func awaitText(t *testing.T, log *testserver.Log, text string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !strings.Contains(log.String(), text); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("log lacks %q:\n%s", text, log.String())
		}
	}
}
