//go:build review

package standin

import (
	"os"
	"os/exec"
	"testing"
)

// RunScript runs the script of a case in the present folder. The test fails if the rule was broken, or if the case could
// not run.
func RunScript(t *testing.T) {
	t.Helper()
	cmd := exec.Command("./run.sh")
	cmd.Env = os.Environ()
	out, err := cmd.CombinedOutput()
	t.Logf("%s", out)
	if err != nil {
		t.Errorf("run.sh: %v (1: the rule was broken, 2: the case could not run)", err)
	}
}
