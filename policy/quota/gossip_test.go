package quota

import (
	"testing"
	"time"
)

// TestGossipInterval checks that broadcasts are as frequent as the peers' inbox limit allows, with a reserve of 0.3,
// and at most every 40 ms.
func TestGossipInterval(t *testing.T) {
	for _, c := range []struct {
		name          string
		inboxRate     float64 // messages per second
		instanceCount int
		minEvent      time.Duration
		want          time.Duration
	}{
		{"no limit", 0, 3, ms, 100 * ms},
		{"two instances", 60, 2, ms, 40 * ms},
		{"three instances", 60, 3, ms, 43333333 * time.Nanosecond},
		{"large fleet", 40, 300, ms, 9717500 * time.Microsecond},
		{"events are rarer", 60, 2, 70 * ms, 70 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := GossipInterval(c.inboxRate, c.instanceCount, c.minEvent); got != c.want {
				t.Errorf("gossip interval: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestNextBroadcastDelay checks that the delay after a broadcast is one interval for each message that it sent to a
// peer.
func TestNextBroadcastDelay(t *testing.T) {
	fleet := Fleet{GossipInterval: 50 * ms}
	for messages, want := range []time.Duration{50 * ms, 50 * ms, 100 * ms, 150 * ms} {
		if got := fleet.NextBroadcastDelay(messages); got != want {
			t.Errorf("delay: got %v after %d messages, want %v", got, messages, want)
		}
	}
}
