package multisite

import (
	"testing"
	"time"
)

const (
	testKey       = 7
	testRouteTime = time.Minute // when the key of a case is routed, unless the case has a delay
)

// routeCase is a state of a key table and its routing decision for testKey. The reasons are texts of the access log.
type routeCase struct {
	name    string
	prepare func(t *testing.T, k *KeyTable, epoch OwnershipEpoch)
	delay   time.Duration // time after testRouteTime at which the key is routed
	want    RoutingDecision
}

var routeCases = []routeCase{
	{"the instance is not listed", installWithoutInstance, 0,
		RoutingDecision{"", testLeaseTTL, "this instance has no part in the homes"}},
	{"the epoch is not confirmed", func(*testing.T, *KeyTable, OwnershipEpoch) {}, 0,
		RoutingDecision{"", shortRetryDelay, "the homes are not confirmed"}},
	{"the lease has ended", func(_ *testing.T, k *KeyTable, _ OwnershipEpoch) { k.ConfirmEpoch(testRouteTime) },
		testLeaseTTL + 1, RoutingDecision{"", shortRetryDelay, "the homes are not confirmed"}},
	{"no site is open", installClosedSite, 0, RoutingDecision{"", testLeaseTTL, "no hall takes keys"}},
	{"its site has closed", closeSiteOfSentKey, 0,
		RoutingDecision{"", testLeaseTTL, "it may have run at b, which takes no keys"}},
	{"past its deduplication window", func(t *testing.T, k *KeyTable, _ OwnershipEpoch) {
		sendTestKey(t, k)
		k.ConfirmEpoch(testRouteTime + testDeduplicationWindow)
	}, testDeduplicationWindow + 1,
		RoutingDecision{"", 0, "it may have run so long ago that its hall no longer knows it"}},
	{"its owner has just changed", changeOwnerWithoutAnnouncement, 0,
		RoutingDecision{"", shortRetryDelay, "its home has moved, and it may have been sent to the old one"}},
}

func installWithoutInstance(_ *testing.T, k *KeyTable, epoch OwnershipEpoch) {
	k.InstallEpoch(testRouteTime, OwnershipEpoch{Number: 2, Sites: epoch.Sites, Instances: []uint64{2}}, true)
	k.ConfirmEpoch(testRouteTime)
}

func installClosedSite(_ *testing.T, k *KeyTable, epoch OwnershipEpoch) {
	k.InstallEpoch(testRouteTime, OwnershipEpoch{Number: 2, Sites: []Site{{Name: "a"}}, Instances: epoch.Instances}, true)
	k.ConfirmEpoch(testRouteTime)
}

func closeSiteOfSentKey(t *testing.T, k *KeyTable, epoch OwnershipEpoch) {
	t.Helper()
	if site := sendTestKey(t, k); site != "b" {
		t.Fatalf("key %d is owned by %q", testKey, site)
	}
	k.InstallEpoch(testRouteTime, nextTestEpoch(epoch, "b", false), true)
}

// changeOwnerWithoutAnnouncement moves the key while a second instance has not announced the keys that it has sent.
func changeOwnerWithoutAnnouncement(_ *testing.T, k *KeyTable, epoch OwnershipEpoch) {
	epoch.Instances = []uint64{1, 2}
	k.InstallEpoch(testRouteTime, nextTestEpoch(epoch, "b", false), true)
	k.ConfirmEpoch(testRouteTime)
}

// sendTestKey begins an attempt with the key, at the start of its deduplication window, and returns the site.
func sendTestKey(t *testing.T, k *KeyTable) string {
	t.Helper()
	k.ConfirmEpoch(testRouteTime)
	site := k.Route(testRouteTime, testKey).Site
	if !k.BeginAttempt(testRouteTime, testKey, site) {
		t.Fatal("BeginAttempt refused the attempt with testKey")
	}
	return site
}

// TestRouteReasons pins the texts that operators read in the access log, and when to retry.
func TestRouteReasons(t *testing.T) {
	for _, c := range routeCases {
		t.Run(c.name, func(t *testing.T) {
			k, epoch := newTestKeyTable(t, 1, 1)
			c.prepare(t, k, epoch)
			if got := k.Route(testRouteTime+c.delay, testKey); got != c.want {
				t.Errorf("routing decision: got %+v, want %+v", got, c.want)
			}
		})
	}
}
