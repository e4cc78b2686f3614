//go:build review

package case1

import (
	"testing"

	"mulleinmux/review/standin"
)

// TestReviewSkippedEpoch runs case 1: see claim.txt. Build first: the deploy file's build, then review/build.sh.
func TestReviewSkippedEpoch(t *testing.T) { standin.RunScript(t) }
