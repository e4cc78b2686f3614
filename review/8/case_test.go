//go:build review

package case8

import (
	"testing"

	"mulleinmux/review/rig2"
)

// TestReviewRelayRetriesForClientThatLeft runs case 8: see claim.txt. Build first: the deploy file's build, then review/build-2.sh.
func TestReviewRelayRetriesForClientThatLeft(t *testing.T) { rig2.RunScript(t) }
