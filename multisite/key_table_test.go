package multisite

import (
	"runtime"
	"testing"
	"time"
)

// After its start, an instance must not route a key until no client can repeat a key that the previous process sent. A
// key past its site's deduplication window is not sent again. A key that never ran may move to another site.
func TestKeyTableOfOneInstance(t *testing.T) {
	k, epoch := newTestKeyTable(t, 1, 1)
	now := testLeaseTTL / 2
	k.ConfirmEpoch(now)
	if d := k.Route(now, 7); d.Site != "" || d.RetryAfter <= 0 {
		t.Errorf("right after the start: got %+v, want no site and a retry delay", d)
	}
	now = testLeaseTTL + testKeyTTL + time.Millisecond
	k.ConfirmEpoch(now)
	d := k.Route(now, 7)
	if d.Site == "" || !k.BeginAttempt(now, 7, d.Site) {
		t.Fatalf("attempt after the key TTL was not allowed: %+v", d)
	}
	other := map[string]string{"a": "b", "b": "a"}[d.Site]
	if k.BeginAttempt(now, 7, other) {
		t.Error("an attempt at the other site was allowed")
	}
	k.EndAttempt(7, true)
	if k.Len() != 0 {
		t.Error("a key that never ran is still in the ledger")
	}
	k.BeginAttempt(now, 7, d.Site)
	k.EndAttempt(7, false)
	now += testDeduplicationWindow + time.Millisecond
	k.ConfirmEpoch(now)
	if d := k.Route(now, 7); d.Site != "" {
		t.Errorf("key past its site's deduplication window: got %+v, want no site", d)
	}
	epoch.Number, epoch.Sites = 2, []Site{{Name: d.Site}, {Name: other, IsOpen: true}}
	k.InstallEpoch(now, epoch, true)
	k.ConfirmEpoch(now)
	if d := k.Route(now, 7); d.Site != "" {
		t.Errorf("key that may have run at a closed site: got %+v, want no site", d)
	}
	k.InstallEpoch(now, OwnershipEpoch{Number: 1}, true)
	if k.epoch.Number != 2 {
		t.Error("an epoch older than the one in force was installed")
	}
}

func TestNewKeyTableRejectsConfig(t *testing.T) {
	for _, cfg := range []KeyConfig{{}, {LeaseTTL: 1, KeyTTL: 2, MaxKeys: 1}} {
		if _, err := NewKeyTable(cfg, 0); err == nil {
			t.Errorf("NewKeyTable accepted the invalid configuration %+v", cfg)
		}
	}
}

// An instance that starts has no record of the epochs that were in force before. An instance whose messages it does not
// receive may still send by those epochs, and the clients of that instance may retry at this one.
func TestKeyTableAfterStart(t *testing.T) {
	k, _ := newTestKeyTable(t, 1, 1, 2)
	for _, now := range []time.Duration{
		testLeaseTTL, testKeyTTL + time.Millisecond, testLeaseTTL + testKeyTTL - time.Millisecond,
	} {
		k.ConfirmEpoch(now)
		if d := k.Route(now, 7); d.Site != "" || d.RetryAfter <= 0 {
			t.Errorf("%v after the start: got %+v, want no site and a retry delay", now, d)
		}
	}
	now := testLeaseTTL + testKeyTTL + time.Millisecond
	k.ConfirmEpoch(now)
	if d := k.Route(now, 7); d.Site == "" {
		t.Errorf("after no key of earlier epochs can arrive any more: got %+v, want a site", d)
	}
}

// exchangeBroadcasts delivers the next broadcast of each of two tables to the other.
func exchangeBroadcasts(now time.Duration, a, b *KeyTable) {
	m, _ := a.NextBroadcast(now, 100)
	b.Receive(now, m)
	m, _ = b.NextBroadcast(now, 100)
	a.Receive(now, m)
}

// retryCase is a retry at another site's instance while the first attempt is in flight.
type retryCase struct {
	name         string
	epochChanges bool // while the first attempt is in flight
	isAnnounced  bool // the other instance has received the announcement of the attempt
	isOpen       bool // the first attempt's site still accepts keys
	wantRouted   bool // the retry may be sent to the first attempt's site
}

// A client's retry arrives at the other site a moment before the outcome of its first attempt is known. It may be sent
// to the site of the first attempt only, even if the ownership changes meanwhile, and to no site if that one is closed.
func TestRetryAtOtherSite(t *testing.T) {
	for _, c := range []retryCase{
		{"ownership stays", false, false, true, true},
		{"ownership moves, nothing heard", true, false, true, false},
		{"ownership moves, all announced", true, true, true, true},
		{"its site closes, all announced", true, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) { c.check(t) })
	}
}

func (c *retryCase) check(t *testing.T) {
	t.Helper()
	const key = 42
	a, epoch := newTestKeyTable(t, 1, 1, 2)
	b, _ := newTestKeyTable(t, 2, 1, 2)
	now := 10 * time.Second // long after both started
	a.ConfirmEpoch(now)
	b.ConfirmEpoch(now)
	exchangeBroadcasts(now, a, b)
	site := a.Route(now, key).Site
	if site == "" || !a.BeginAttempt(now, key, site) {
		t.Fatalf("the first attempt was not allowed: %+v", a.Route(now, key))
	}
	if c.epochChanges {
		next := nextTestEpoch(epoch, site, c.isOpen)
		for _, k := range []*KeyTable{a, b} {
			k.InstallEpoch(now, next, true)
			k.ConfirmEpoch(now)
		}
	}
	now += 50 * time.Millisecond
	if c.isAnnounced {
		exchangeBroadcasts(now, a, b)
	}
	d := b.Route(now, key)
	if d.Site != "" && d.Site != site || (d.Site != "") != c.wantRouted {
		t.Errorf("retry at the other instance: routed to %q (%s); the first attempt was sent to %s", d.Site, d.Reason, site)
	}
	a.EndAttempt(key, false) // 1 ms later
	if d := a.Route(now+time.Millisecond, key); d.Site != "" && d.Site != site {
		t.Errorf("retry at the first instance: routed to %q, want the first attempt's site or none", d.Site)
	}
}

// nextTestEpoch returns epoch 2, which closes a site or leaves it open while each site accepts one eighth of its keys.
func nextTestEpoch(epoch OwnershipEpoch, site string, isOpen bool) OwnershipEpoch {
	epoch.Number = 2
	if isOpen {
		epoch.Sites = []Site{{Name: "a", IsOpen: true, KeyEighths: 1}, {Name: "b", IsOpen: true, KeyEighths: 1}}
	} else {
		epoch.Sites = []Site{{Name: "a", IsOpen: site != "a"}, {Name: "b", IsOpen: site != "b"}}
	}
	return epoch
}

// A longer TTL applies at once. A shorter TTL and a longer deduplication window apply once no request that was sent
// under the previous values can arrive any more. The longest TTL that any instance announces applies.
func TestLifetimesInForce(t *testing.T) {
	const longTTL = 10 * time.Second
	k, epoch := newTestKeyTable(t, 1, 1, 2)
	now := time.Minute
	expect := func(when string, keyTTL, window time.Duration) {
		t.Helper()
		if k.maxKeyTTL(now) != keyTTL || k.repeatWindow() != window {
			t.Errorf("%s: wrong TTL %v or deduplication window %v", when, k.maxKeyTTL(now), k.repeatWindow())
		}
	}
	expect("at the start", testKeyTTL, testDeduplicationWindow)
	k.SetLifetimes(now, longTTL, 2*testDeduplicationWindow)
	expect("at once", longTTL, testDeduplicationWindow)
	now += testLeaseTTL + testKeyTTL
	expect("later", longTTL, 2*testDeduplicationWindow)
	k.SetLifetimes(now, testKeyTTL, testDeduplicationWindow)
	if at := now + testLeaseTTL + longTTL; k.maxKeyTTL(at-1) != longTTL || k.maxKeyTTL(at) != testKeyTTL {
		t.Errorf("a shorter TTL applies too early or too late: TTL %v, then %v", k.maxKeyTTL(at-1), k.maxKeyTTL(at))
	}
	now += time.Minute
	k.Receive(now, Message{
		From: 2, Incarnation: 1, SequenceNumber: 1, Epoch: epoch.Number, Uptime: time.Hour, KeyTTL: longTTL,
	})
	if k.maxKeyTTL(now) != longTTL {
		t.Errorf("the longer TTL of another instance does not apply: got %v", k.maxKeyTTL(now))
	}
}

// A key that was sent before the TTL grew stays in the ledger for as long as clients may now repeat it. While the
// ledger is full, a key is not sent if its site stops dropping repeats before its client stops repeating it.
func TestLedgerAfterLifetimesChange(t *testing.T) {
	const longTTL = 10 * time.Second
	k, epoch := newTestKeyTable(t, 1, 1, 2)
	now := time.Minute
	k.SetLifetimes(now, longTTL, 2*testDeduplicationWindow)
	now += testLeaseTTL + testKeyTTL
	k.SetLifetimes(now, testKeyTTL, testDeduplicationWindow)
	now += time.Minute
	k.Receive(now, Message{
		From: 2, Incarnation: 1, SequenceNumber: 1, Epoch: epoch.Number, Uptime: time.Hour, KeyTTL: longTTL,
	})
	k.Receive(now, Message{From: 2, Incarnation: 1, SequenceNumber: 2, Epoch: epoch.Number, KeyTTL: testKeyTTL})
	k.ConfirmEpoch(now)
	site := k.Route(now, 7).Site
	if !k.BeginAttempt(now, 7, site) {
		t.Fatal("the first attempt was not allowed")
	}
	k.EndAttempt(7, false)
	k.SetLifetimes(now, longTTL, testDeduplicationWindow)
	k.expire(now + testDeduplicationWindow + testKeyTTL + time.Second)
	if k.Len() != 1 {
		t.Error("the key was dropped after the previous TTL")
	}
	if k.expire(now + testDeduplicationWindow + longTTL); k.Len() != 0 {
		t.Error("the key was not dropped after its retention")
	}
	for key := uint64(100); k.Len() < k.cfg.MaxKeys; key++ {
		k.ledger.entries[key] = ledgerEntry{site: 0, firstSentAt: now, mayHaveRun: true}
	}
	if k.ConfirmEpoch(now); k.BeginAttempt(now, 7, k.Route(now, 7).Site) {
		t.Error("attempt allowed with a full ledger although the deduplication window is shorter than the key TTL")
	}
	k.SetLifetimes(now, testKeyTTL, 2*longTTL)
	now += testLeaseTTL + longTTL
	if k.ConfirmEpoch(now); !k.BeginAttempt(now, 8, k.Route(now, 8).Site) {
		t.Error("attempt refused with a full ledger although the deduplication window is longer than the key TTL")
	}
}

// BenchmarkKeyTable measures the routing of a key with a million keys in the ledger, and the bytes that a key occupies.
func BenchmarkKeyTable(b *testing.B) {
	const keyCount = 1_000_000
	k, err := NewKeyTable(KeyConfig{
		InstanceID: 1, Incarnation: 1, LeaseTTL: time.Hour, KeyTTL: time.Hour, DeduplicationWindow: time.Hour,
		MaxKeys: 1 << 20,
	}, 0)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := 2*time.Hour + time.Second
	k.InstallEpoch(0, OwnershipEpoch{Number: 1, Sites: openSites("east", "west"), Instances: []uint64{1}}, true)
	k.ConfirmEpoch(now)
	for i := range uint64(keyCount) {
		key := i * keyMultiplier
		if !k.BeginAttempt(now, key, k.Route(now, key).Site) {
			b.Fatal("BeginAttempt refused an attempt")
		}
		k.EndAttempt(key, false)
		if i%1000 == 0 {
			k.NextBroadcast(now, 2000)
		}
	}
	k.NextBroadcast(now, 2000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		key := i % keyCount * keyMultiplier
		if k.Route(now, key).Site == "" {
			b.Fatal("Route returned no site")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keyCount, "bytes/key")
}
