package multisite

import (
	"testing"
	"time"
)

// Guards against a key that runs twice because a further attempt begins while its site still drops repeats, and arrives,
// over a connection that comes up late, when the site does not drop them any more.
func TestRepeatArrivesWithinDeduplicationWindow(t *testing.T) {
	const maxSendDelay = 300 * time.Millisecond
	k, _ := newTestKeyTable(t, 1, 1)
	k.cfg.MaxSendDelay = maxSendDelay
	site := sendTestKey(t, k)
	k.EndAttempt(testKey, false)
	latest := testRouteTime + testDeduplicationWindow - maxSendDelay
	k.ConfirmEpoch(latest)
	if d := k.Route(latest, testKey); d.Site != site {
		t.Errorf("repeat that arrives within the window: got %+v, want site %s", d, site)
	}
	if d := k.Route(latest+1, testKey); d.Site != "" {
		t.Errorf("repeat that may arrive after the window: got %+v, want no site", d)
	}
}
