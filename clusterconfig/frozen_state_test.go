package clusterconfig

import (
	"errors"
	"strings"
	"testing"
)

// A hash that is no hash is an error, whatever its length: it comes from another process.
func TestNewFrozenStateChecksHash(t *testing.T) {
	for _, hash := range []string{"", "00", strings.Repeat("0", 63), strings.Repeat("0", 65), strings.Repeat("0", 66),
		strings.Repeat("0", 1000), strings.Repeat("x", 64)} {
		if _, err := NewFrozenState(1, 1, hash, nil, nil); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d digits: %v", len(hash), err)
		}
	}
	good := strings.Repeat("0a", 32)
	if s, err := NewFrozenState(1, 1, good, nil, nil); err != nil || s.Hash() != good {
		t.Errorf("a hash: %v", err)
	}
}
