//go:build review

package case9

import (
	"testing"

	"mulleinmux/review/rig2"
)

// TestReviewSlowAnswerCutOff runs case 9: see claim.txt. Build first: the deploy file's build, then review/build-2.sh.
func TestReviewSlowAnswerCutOff(t *testing.T) { rig2.RunScript(t) }
