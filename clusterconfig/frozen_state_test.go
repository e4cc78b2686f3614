package clusterconfig

import (
	"errors"
	"strings"
	"testing"
)

// An invalid hash of any length results in an error, not in a panic: it is received from another process.
func TestNewFrozenStateChecksHash(t *testing.T) {
	for _, hash := range []string{"", "00", strings.Repeat("0", 63), strings.Repeat("0", 65), strings.Repeat("0", 66),
		strings.Repeat("0", 1000), strings.Repeat("x", 64)} {
		if _, err := NewFrozenState(1, 1, hash, nil, nil); !errors.Is(err, ErrMalformed) {
			t.Errorf("invalid hash of %d digits: got error %v, want ErrMalformed", len(hash), err)
		}
	}
	good := strings.Repeat("0a", 32)
	if s, err := NewFrozenState(1, 1, good, nil, nil); err != nil || s.Hash() != good {
		t.Errorf("valid hash: got error %v or another hash", err)
	}
}
