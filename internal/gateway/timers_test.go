package gateway

import (
	"testing"
	"time"

	"mulleinmux/policy"
)

// The timer queue keeps its heap order, and an instance keeps serving after a panic in an event of the engine.
func TestTimersAndPanics(t *testing.T) {
	h := newTestSites(t)
	g := startInstance(t, h, 0, nil)
	g.host.handleEvent(func(time.Duration, policy.Actions) { panic("on purpose") })
	g.host.mu.Lock()
	var ts timerQueue
	for _, at := range []time.Duration{5, 3, 9, 1, 7, 3} {
		ts.push(timer{at: at})
	}
	g.host.mu.Unlock()
	for i := 1; i < len(ts); i++ {
		if ts[(i-1)/2].at > ts[i].at {
			t.Errorf("timer queue: got %v, which violates the heap order", ts)
		}
	}
	if r := dial(t, g.addr).roundTrip(getRequest("GET /health/ready")); r.Status != 200 {
		t.Errorf("health check after the panic: got %+v, want status 200", r)
	}
}
