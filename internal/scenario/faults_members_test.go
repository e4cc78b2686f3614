package scenario

import (
	"context"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// fakeInstanceEnv is the environment variable that makes the test binary a fake instance, which listens on the
// variable's value and answers every request with 200.
const fakeInstanceEnv = "SCENARIO_TEST_FAKE_INSTANCE"

func TestMain(m *testing.M) {
	if addr := os.Getenv(fakeInstanceEnv); addr != "" {
		http.ListenAndServe(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// A killed leader must be restarted even if the scenario's time ends before the next change is applied.
func TestKilledLeaderIsRestartedAtTheEnd(t *testing.T) {
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	addr, err := testserver.FreeAddr("tcp")
	if err != nil {
		t.Fatal(err)
	}
	run := &clusterRun{dir: t.TempDir(), environment: &environment{options: Options{
		Program: program, Env: []string{fakeInstanceEnv + "=" + addr}, Log: io.Discard,
	}}}
	leader := &clusterInstance{id: 1, listen: addr}
	run.members = []*clusterInstance{leader}
	if err := run.restart(t.Context(), leader); err != nil {
		t.Fatal(err)
	}
	defer run.close()

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if run.failLeader(ctx, leader) {
		t.Error("failLeader reports an applied change, but there was none")
	}
	if !isReady(t.Context(), leader) {
		t.Error("the killed leader was not restarted")
	}
	if now := time.Now(); leader.wasDown(now, now.Add(time.Second)) {
		t.Error("the restarted leader is still marked as down")
	}
	if run.killCount != 1 || len(run.environment.scenarioViolations) != 1 {
		t.Errorf("got %d kills and violations %q, want one of each", run.killCount, run.environment.scenarioViolations)
	}
}
