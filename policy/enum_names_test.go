package policy

import (
	"fmt"
	"testing"
)

func TestEnumNames(t *testing.T) {
	tests := []struct {
		value fmt.Stringer
		want  string
	}{
		{Up, "up"},
		{Removed, "removed"},
		{EndpointsUnavailable, "unavailable"},
		{OK, "OK"},
		{NotSent, "not sent"},
		{NonIdempotent, "non-idempotent"},
		{DedupCell, "cell"},
		{LoadReportsInHealthChecks, "in health checks"},
		{Result(-1), "Result(-1)"},
		{NotSent + 1, "Result(8)"},
	}
	for _, test := range tests {
		if got := test.value.String(); got != test.want {
			t.Errorf("%T: got name %q, want %q", test.value, got, test.want)
		}
	}
}
