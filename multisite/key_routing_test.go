package multisite

import (
	"testing"
	"time"
)

// TestRouteReasons pins the texts that operators read in the access log, and when to retry.
func TestRouteReasons(t *testing.T) {
	const key = 7
	now := time.Minute
	// send has key 7 sent at the start of its deduplication window and returns its site.
	send := func(t *testing.T, k *KeyTable) string {
		t.Helper()
		k.ConfirmEpoch(now)
		site := k.Route(now, key).Site
		if !k.BeginAttempt(now, key, site) {
			t.Fatal("not sent")
		}
		return site
	}
	for _, c := range []struct {
		name    string
		prepare func(t *testing.T, k *KeyTable, epoch OwnershipEpoch)
		now     time.Duration
		want    RoutingDecision
	}{
		{"the instance is not listed", func(_ *testing.T, k *KeyTable, epoch OwnershipEpoch) {
			k.InstallEpoch(now, OwnershipEpoch{Number: 2, Sites: epoch.Sites, Instances: []uint64{2}})
			k.ConfirmEpoch(now)
		}, now, RoutingDecision{"", testLeaseTTL, "this instance has no part in the homes"}},
		{"the epoch is not confirmed", func(*testing.T, *KeyTable, OwnershipEpoch) {},
			now, RoutingDecision{"", shortRetryDelay, "the homes are not confirmed"}},
		{"the lease has ended", func(_ *testing.T, k *KeyTable, _ OwnershipEpoch) { k.ConfirmEpoch(now) },
			now + testLeaseTTL + 1, RoutingDecision{"", shortRetryDelay, "the homes are not confirmed"}},
		{"no site is open", func(_ *testing.T, k *KeyTable, epoch OwnershipEpoch) {
			k.InstallEpoch(now, OwnershipEpoch{Number: 2, Sites: []Site{{Name: "a"}}, Instances: epoch.Instances})
			k.ConfirmEpoch(now)
		}, now, RoutingDecision{"", testLeaseTTL, "no hall takes keys"}},
		{"its site has closed", func(t *testing.T, k *KeyTable, epoch OwnershipEpoch) {
			if site := send(t, k); site != "b" {
				t.Fatalf("key %d is owned by %q", key, site)
			}
			k.InstallEpoch(now, nextTestEpoch(epoch, "b", false))
		}, now, RoutingDecision{"", testLeaseTTL, "it may have run at b, which takes no keys"}},
		{"past its deduplication window", func(t *testing.T, k *KeyTable, _ OwnershipEpoch) {
			send(t, k)
			k.ConfirmEpoch(now + testDeduplicationWindow)
		}, now + testDeduplicationWindow + 1,
			RoutingDecision{"", 0, "it may have run so long ago that its hall no longer knows it"}},
		{"its owner has just changed", func(_ *testing.T, k *KeyTable, epoch OwnershipEpoch) {
			epoch.Instances = []uint64{1, 2} // 2 was never heard
			k.InstallEpoch(now, nextTestEpoch(epoch, "b", false))
			k.ConfirmEpoch(now)
		}, now, RoutingDecision{"", shortRetryDelay, "its home has moved, and it may have been sent to the old one"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			k, epoch := newTestKeyTable(t, 1, 1)
			c.prepare(t, k, epoch)
			if got := k.Route(c.now, key); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}
