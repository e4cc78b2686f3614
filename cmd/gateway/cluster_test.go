package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"mulleinmux/internal/scenario"
)

// maxLogTail is how many bytes from the end of the instances' logs a failed test shows.
const maxLogTail = 8000

// scenarioRun is the result of a scenario that the lab command ran.
type scenarioRun struct {
	exit    int
	verdict scenario.Verdict
	output  string // what the command printed, and the end of the instances' logs
}

// runScenario runs a scenario with the lab command.
func runScenario(t *testing.T, args ...string) scenarioRun {
	t.Helper()
	var out, errs bytes.Buffer
	log := filepath.Join(t.TempDir(), "log")
	args = append([]string{"lab", "--json", "--logs", log}, args...)
	r := scenarioRun{exit: run(context.Background(), args, &out, &errs)}
	logs, _ := os.ReadFile(log)
	logs = logs[max(len(logs)-maxLogTail, 0):]
	r.output = fmt.Sprintf("exit %d: %s%s\n%s", r.exit, out.String(), errs.String(), logs)
	if err := json.Unmarshal(out.Bytes(), &r.verdict); err != nil {
		t.Fatalf("verdict is not valid JSON: %v: %s", err, r.output)
	}
	return r
}

// maxScenarios is the number of scenarios that run concurrently. Each uses about one core, and otherwise waits for real
// time to pass.
const maxScenarios = 2

// scenarioSlots is a semaphore for the scenarios that run concurrently.
var scenarioSlots = make(chan struct{}, maxScenarios)

// runConcurrently marks a test as parallel and waits until fewer than maxScenarios such tests run.
func runConcurrently(t *testing.T) {
	t.Helper()
	t.Parallel()
	scenarioSlots <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots })
}

// Each scenario runs processes that agree on their configuration, under traffic and changes of several operators, and
// must keep every rule.
func TestClusterScenarios(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		scenario    string
		seed        int
		length      string
		losesSite   bool
		losesLeader bool
		isAlone     bool // runs alone on all cores, because its faults make attempts end near the bounds of the checks
	}{
		{scenario: "leader-lost", seed: 1, length: "5s", losesLeader: true},
		{scenario: "minority-cut", seed: 1, length: "8s"},
		{scenario: "rolling-restart", seed: 1, length: "4s"},
		{scenario: "hall-closes", seed: 1, length: "5s", isAlone: true},
		{scenario: "hall-lost", seed: 1, length: "8s", losesSite: true, isAlone: true},
		{scenario: "chaos-config", seed: 1, length: "4s"},
	} {
		t.Run(fmt.Sprint(c.scenario, "-", c.seed), func(t *testing.T) {
			if !c.isAlone {
				runConcurrently(t)
			}
			r := runScenario(t, "--scenario", c.scenario, "--for", c.length, "--seed", fmt.Sprint(c.seed))
			figures := r.verdict.Figures
			if r.exit != 0 || !r.verdict.OK || r.verdict.Served == 0 || figures["changes"] < 20 {
				t.Error(r.output)
			}
			if lost := figures["hall_lost_ms_1"] > 0 && figures["hall_back_ms_1"] > 0; lost != c.losesSite {
				t.Errorf("hall_lost_ms_1 and hall_back_ms_1 do not match the loss of a site: figures %v", figures)
			}
			if lost := figures["kill_to_change_ms_1"] > 0; lost != c.losesLeader {
				t.Errorf("kill_to_change_ms_1 does not match the loss of a leader: figures %v", figures)
			}
		})
	}
}

// Without key ownership the scenario hall-closes finds double bookings. This shows that the scenario would detect a
// fault of key ownership that let one through.
func TestDoubleBookingsWithoutKeyOwnership(t *testing.T) {
	runConcurrently(t)
	r := runScenario(t, "--scenario", "hall-closes", "--for", "3s", "--keys-anywhere")
	if r.exit != 1 || r.verdict.Duplicates == 0 || r.verdict.Rules["no_effect_twice"] == 0 {
		t.Error(r.output)
	}
}
