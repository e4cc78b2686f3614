//go:build review

package rig2

import (
	"os/exec"
	"testing"
)

// RunScript runs run.sh of the folder of the test's package. The test fails if the rule was broken or the case could not
// run.
func RunScript(t *testing.T) {
	t.Helper()
	out, err := exec.Command("sh", "run.sh").CombinedOutput()
	if err != nil {
		t.Errorf("run.sh: %v\n%s", err, out)
	}
}
