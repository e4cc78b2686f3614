package soak

import (
	"net/http"
	"testing"
	"time"

	"mulleinmux/internal/testserver"
)

// A client waits after a rejection as long as its Retry-After says, unless it is of the kind that does not heed it.
func TestRetryAfterIsHeeded(t *testing.T) {
	for _, test := range []struct {
		kind       clientKind
		status     int
		retryAfter string
		want       time.Duration
	}{
		{clientSequential, 429, "0.250", 250 * time.Millisecond},
		{clientReconnects, 503, "1", time.Second},
		{clientSequential, 503, "", 0},
		{clientSequential, 503, "soon", 0},
		{clientSequential, 200, "1", 0},
		{clientPipelines, 429, "1", 0},
	} {
		c := &client{run: &run{}, kind: test.kind}
		r := &request{}
		header := http.Header{"Retry-After": {test.retryAfter}}
		c.recordResponse(r, testserver.Response{Status: test.status, Header: header})
		if got := max(c.retryAt.Sub(r.endedAt), 0); got != test.want {
			t.Errorf("kind %s, status %d with Retry-After %q: got a wait of %v, want %v", test.kind, test.status,
				test.retryAfter, got, test.want)
		}
	}
}
