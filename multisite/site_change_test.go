package multisite

import (
	"testing"
	"time"
)

// TestChangeReasons pins the proposed changes and the reasons that are stored with them.
func TestChangeReasons(t *testing.T) {
	h := newTestMonitor(t, 1)
	expect := func(now time.Duration, want SiteChange) {
		t.Helper()
		got, ok := h.ProposeChange(now)
		if !ok || got != want {
			t.Fatalf("proposed change at %v: got %+v (ok %v), want %+v", now, got, ok, want)
		}
	}
	for now := time.Second; now <= 2*time.Second; now += 100 * time.Millisecond {
		h.RecordUnanswered(now, "a", now)
		h.RecordAnswer(now, "b")
	}
	expect(2*time.Second, SiteChange{"a", true, 0, "1 of 1 members have met silence for 500ms"})

	h.ApplyAgreed(2*time.Second, openSites("a", "b"), map[string]int{"a": 0}, []uint64{1})
	h.RecordCapacity("a", 1)
	h.RecordCapacity("b", 3)
	for now := 3 * time.Second; now <= 4*time.Second; now += 100 * time.Millisecond {
		h.RecordAnswer(now, "a")
		h.RecordAnswer(now, "b")
	}
	expect(4*time.Second, SiteChange{"a", false, 4, "1 of 1 members have heard it for 1s"})

	h.ApplyAgreed(4*time.Second, openSites("a", "b"), map[string]int{"a": 4}, []uint64{1})
	h.RecordCapacity("a", 2)
	h.RecordAnswer(5*time.Second, "a")
	h.RecordAnswer(5*time.Second, "b")
	expect(5*time.Second, SiteChange{"a", false, 6, "it can carry 6 of 8"})
}
