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

// The wait for a change after a leader's kill must not be cut short by the end of the scenario's time: only the full
// maxLeaderLossTime without a change is a violation.
func TestAwaitChangeAfterKill(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		sinceKill  time.Duration // at the start of the wait
		appliedIn  time.Duration // from the start of the wait until a change is applied; 0: none is
		isCanceled bool          // the whole run, not only the scenario's time, has ended
		want       bool
		violations int
	}{
		{name: "change after the scenario's end", appliedIn: 50 * time.Millisecond, want: true},
		{name: "no change in the full time", sinceKill: maxLeaderLossTime - 50*time.Millisecond, violations: 1},
		{name: "canceled run", isCanceled: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			run := &clusterRun{environment: &environment{}}
			if test.appliedIn > 0 {
				timer := time.AfterFunc(test.appliedIn, func() {
					run.mu.Lock()
					defer run.mu.Unlock()
					run.configOperations = []configOperation{{isApplied: true, returned: time.Now()}}
				})
				defer timer.Stop()
			}
			runCtx, cancelRun := context.WithCancel(t.Context())
			defer cancelRun()
			if test.isCanceled {
				cancelRun()
			}
			ctx, cancel := context.WithTimeout(runCtx, 0)
			defer cancel()
			killedAt := time.Now().Add(-test.sinceKill)
			got := run.awaitChangeAfterKill(ctx, 0, killedAt)
			violations := run.environment.scenarioViolations
			if got != test.want || len(violations) != test.violations {
				t.Errorf("got %v, violations %q; want %v and %d", got, violations, test.want, test.violations)
			}
			if waited := time.Since(killedAt); len(violations) > 0 && waited < maxLeaderLossTime {
				t.Errorf("violation %v after the kill, want none before %v", waited, maxLeaderLossTime)
			}
		})
	}
}
