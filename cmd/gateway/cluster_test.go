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

// Processes that agree on their configuration, with traffic and several operators: each
// scenario keeps every rule.
func TestClusterScenarios(t *testing.T) {
	for _, c := range []struct {
		scenario string
		seed     int
		length   string
	}{
		{"leader-lost", 1, "5s"},
		{"minority-cut", 1, "8s"},
		{"rolling-restart", 1, "4s"},
		{"hall-closes", 1, "5s"},
		{"hall-lost", 1, "8s"},
		{"chaos-config", 1, "4s"},
	} {
		t.Run(fmt.Sprint(c.scenario, "-", c.seed), func(t *testing.T) {
			var out, errs, logs bytes.Buffer
			log := filepath.Join(t.TempDir(), "log")
			args := []string{
				"lab", "--scenario", c.scenario, "--for", c.length,
				"--seed", fmt.Sprint(c.seed), "--json", "--logs", log,
			}
			s := run(context.Background(), args, &out, &errs)
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
	args := []string{"lab", "--scenario", "hall-closes", "--for", "3s", "--keys-anywhere", "--json"}
	s := run(context.Background(), args, &out, &errs)
	var v scenario.Verdict
	if err := json.Unmarshal(out.Bytes(), &v); err != nil || s != 1 || v.Duplicates == 0 ||
		v.Rules["no_effect_twice"] == 0 {
		t.Errorf("exit %d, %v: %s%s", s, err, out.String(), errs.String())
	}
}
