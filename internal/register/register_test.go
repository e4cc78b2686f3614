package register

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// A node that holds a list waits for its turn before the first call; one that holds none asks at once.
func TestFirstCallOfANode(t *testing.T) {
	calls := make(chan time.Time, 10)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer agent.Close()
	addr := netip.MustParseAddrPort(strings.TrimPrefix(agent.URL, "http://"))
	for _, wait := range []bool{false, true} {
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan bool)
		pace := NewPace(12, 3) // up to 1.2 s
		due := time.Duration(0)
		if wait {
			due = NewPace(12, 3).First()
		}
		start := time.Now()
		f := &Follower{Addr: addr, Silent: time.Second, Apply: func(List) {}, Logf: t.Logf, Pace: pace, Wait: wait}
		go func() {
			defer close(ended)
			f.Run(ctx)
		}()
		if at := (<-calls).Sub(start); at < due {
			t.Errorf("wait %v: called after %v, its turn comes after %v", wait, at, due)
		}
		stop()
		<-ended
	}
	if NewPace(12, 3).First() < 100*time.Millisecond {
		t.Error("the seed of this test gives no wait to speak of")
	}
}
