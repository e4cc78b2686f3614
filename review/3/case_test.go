//go:build review

package case3

import (
	"testing"

	"mulleinmux/review/standin"
)

// TestReviewSharedTraceID runs case 3: see claim.txt. Build first: the deploy file's build, then review/build.sh.
func TestReviewSharedTraceID(t *testing.T) { standin.RunScript(t) }
