//go:build review

package case7

import (
	"testing"

	"mulleinmux/review/rig2"
)

// TestReviewLeaderStopBesideDeadMember runs case 7: see claim.txt. Build first: the deploy file's build, then review/build-2.sh.
func TestReviewLeaderStopBesideDeadMember(t *testing.T) { rig2.RunScript(t) }
