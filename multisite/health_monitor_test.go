package multisite

import (
	"testing"
	"time"
)

func (s *healthSimulation) expectState(id uint64, site string, want SiteState) {
	s.t.Helper()
	if got := s.stateAt(id, site); got != want {
		s.t.Errorf("member %d sees %s as %v, want %v", id, site, got, want)
	}
}

// A site that is silent to all members is lost within a time limit, and recovers within a limit that doubles with each
// loss.
func TestSiteIsLostAndRecovers(t *testing.T) {
	s := newHealthSimulation(t, 1, 3, "a", "b")
	isLost := func() bool { return s.isLost("a") }
	s.run(1, 2*time.Second, isLost)
	if isLost() {
		t.Fatal("site a was lost although it answered")
	}
	for i, seconds := range []time.Duration{1, 2, 4, 8, 8} {
		delay := seconds * time.Second
		s.setReachable("a", false)
		if d := s.run(1, 5*time.Second, isLost); !isLost() || d > 1200*time.Millisecond {
			t.Fatalf("loss %d: agreed on after %v, or not at all; want at most 1.2s", i, d)
		}
		s.expectState(2, "a", SiteLost)
		s.setReachable("a", true)
		s.runFor(1, 300*time.Millisecond)
		s.expectState(2, "a", SiteRecovering)
		d := 300*time.Millisecond + s.run(1, 20*time.Second, func() bool { return !isLost() })
		if isLost() || d < delay || d > delay+800*time.Millisecond {
			t.Fatalf("recovery %d: agreed on after %v, or not at all; want %v and at most 800ms more", i, d, delay)
		}
		s.expectState(2, "a", SiteWarmingUp)
	}
	s.runFor(1, 6*time.Second)
	s.expectState(2, "a", SiteHealthy)
}

// Silence to a minority is a fault of the path: the ownership of keys does not change, and the state is partitioned for
// that minority.
func TestPartitionIsNoLoss(t *testing.T) {
	for name, c := range map[string]struct{ members, cutOff int }{
		"one of three": {3, 1},
		"half":         {4, 2},
		"two of five":  {5, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHealthSimulation(t, 2, c.members, "a", "b")
			s.runFor(1, time.Second)
			s.disconnect("a", s.members[:c.cutOff]...)
			s.runUntilLoss(1, 10*time.Second)
			if len(s.lost) > 0 {
				t.Error("site a was lost although it was silent only to a minority")
			}
			s.expectState(1, "a", SitePartitioned)
			s.expectState(uint64(c.members), "a", SiteHealthy)
		})
	}
}

// Views that are outdated, or from an instance that is not a member, are ignored.
func TestOutdatedViewsAreIgnored(t *testing.T) {
	s := newHealthSimulation(t, 3, 3, "a", "b")
	s.runFor(1, time.Second)
	s.disconnect("a", 1, 2)
	s.runFor(3, 400*time.Millisecond)
	s.isPaused[2] = true
	s.runUntilLoss(1, 5*time.Second)
	if len(s.lost) > 0 {
		t.Error("site a was lost by one current view and an outdated one")
	}
	h := s.monitors[1]
	silent := []SiteView{{Site: "a", IsSilent: true, Duration: time.Hour}}
	h.Receive(s.clock(1), 9, silent)
	h.Receive(s.clock(1), 1, silent)
	if _, ok := h.ProposeChange(s.clock(1)); ok || len(h.peers) > 2 {
		t.Error("the view of a non-member, or the instance's own view received again, was counted")
	}
}

// newTestMonitor returns the monitor of member 1 with two agreed sites.
func newTestMonitor(t *testing.T, members ...uint64) *HealthMonitor {
	t.Helper()
	h, err := NewHealthMonitor(testHealthConfig(1))
	if err != nil {
		t.Fatal(err)
	}
	h.ApplyAgreed(0, openSites("a", "b"), nil, members)
	return h
}

// A view that is older than its TTL is ignored.
func TestViewExpires(t *testing.T) {
	h := newTestMonitor(t, 1, 2, 3)
	answeringB := SiteView{Site: "b", Duration: time.Minute}
	h.Receive(time.Second, 2, []SiteView{{Site: "a", IsSilent: true, Duration: time.Minute}, answeringB})
	for now := 1500 * time.Millisecond; now < 3*time.Second; now += 100 * time.Millisecond {
		h.RecordUnanswered(now, "a", now-50*time.Millisecond)
		h.RecordAnswer(now, "b")
		h.Receive(now, 3, []SiteView{answeringB})
		if _, ok := h.ProposeChange(now); ok && now > 2*time.Second {
			t.Errorf("at %v: site a was lost by an outdated view", now)
		}
	}
}

// A site to which no requests are sent is not lost.
func TestSiteWithoutRequestsIsNotSilent(t *testing.T) {
	h := newTestMonitor(t, 1)
	h.RecordAnswer(time.Second, "a")
	h.RecordAnswer(time.Second, "b")
	if _, ok := h.ProposeChange(time.Hour); ok || h.State(time.Hour, "a") != SiteHealthy {
		t.Error("site a is not healthy, or a change is proposed, although no request was sent to it for an hour")
	}
	h.RecordUnanswered(1100*time.Millisecond, "b", 1050*time.Millisecond)
	if h.State(1100*time.Millisecond, "b") != SiteHealthy {
		t.Error("one attempt without an answer made site b silent")
	}
	for range 9 { // all sent before the last answer
		h.RecordUnanswered(1100*time.Millisecond, "a", 900*time.Millisecond)
	}
	if h.State(1200*time.Millisecond, "a") != SiteHealthy {
		t.Error("attempts that were sent before the last answer made site a silent")
	}
}

// The last site that accepts keys is never lost.
func TestLastSiteIsNeverLost(t *testing.T) {
	s := newHealthSimulation(t, 4, 3, "a", "b")
	s.runFor(1, time.Second)
	s.setReachable("a", false)
	s.setReachable("b", false)
	s.runFor(1, 10*time.Second)
	if len(s.lost) > 0 {
		t.Errorf("lost sites %v while no other site answers, want none", s.lost)
	}
	s.setReachable("b", true)
	s.runUntilLoss(1, 5*time.Second)
	if !s.isLost("a") || len(s.lost) != 1 {
		t.Errorf("lost sites %v after b answers again, want only a", s.lost)
	}
}

// A site that some members reach only through another site is lost to all members when it is silent to those that reach
// it directly. It is not lost when the path to it is cut, when no views of the direct members arrive, or when one of
// them is answered.
func TestSiteWithRemoteMembers(t *testing.T) {
	halves := map[string][]uint64{"a": {1, 2}, "b": {3, 4}}
	minority := map[string][]uint64{"a": {1}, "b": {2, 3, 4}}
	for _, c := range []struct {
		name   string
		direct map[string][]uint64
		fault  func(s *healthSimulation)
		isLost bool
		state  SiteState // state that a remote member observes
	}{
		{"silent to its direct members", halves, func(s *healthSimulation) { s.disconnect("a", 1, 2) }, true, SiteLost},
		{"silent to one of them", halves, func(s *healthSimulation) { s.disconnect("a", 1) }, false, SiteHealthy},
		{"the path is cut", halves, func(s *healthSimulation) { s.disconnect("a", 3, 4) }, false, SitePartitioned},
		{"the path is cut, and most are at the other side", minority,
			func(s *healthSimulation) { s.disconnect("a", 2, 3, 4) }, false, SitePartitioned},
		{"its direct members are gone", halves,
			func(s *healthSimulation) { s.isPaused[1], s.isPaused[2] = true, true }, false, SitePartitioned},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHealthSimulation(t, 3, 4, "a", "b")
			s.direct = c.direct
			s.runFor(3, 2*time.Second)
			c.fault(s)
			s.runFor(3, 2*time.Second)
			if isLost := s.isLost("a"); isLost != c.isLost {
				t.Errorf("site a is lost: got %v, want %v", isLost, c.isLost)
			}
			s.expectState(4, "a", c.state)
			s.resumeAll()
			s.setReachable("a", true)
			if s.runUntilRecovered(3, 4*time.Second); len(s.lost) > 0 {
				t.Error("site a did not recover")
			}
		})
	}
}

// A recovering site accepts keys in proportion to its capacity relative to the other sites', and all of its keys once
// it has the same capacity. If it becomes silent while it recovers, it is lost again.
func TestRecoveryByCapacity(t *testing.T) {
	s := newHealthSimulation(t, 5, 3, "a", "b")
	s.capacity["a"], s.capacity["b"] = 5, 5
	s.runFor(1, time.Second)
	s.setReachable("a", false)
	s.runUntilLoss(1, 2*time.Second)
	s.capacity["a"] = 0.9 // cold
	s.setReachable("a", true)
	s.run(1, 3*time.Second, func() bool { return s.lost["a"] > 0 })
	if s.lost["a"] != 2 { // utilized like the other site: 0.9 of 5.9 servers, of two sites
		t.Fatalf("site a recovered with %d of 8 eighths of its keys, want 2", s.lost["a"])
	}
	s.expectState(3, "a", SiteWarmingUp)
	for _, c := range []struct {
		capacity float64
		eighths  int
	}{{2.5, 5}, {1, 5}, {3.8, 7}} { // the part of the keys never shrinks as long as the site answers
		s.capacity["a"] = c.capacity
		s.runFor(1, 3*time.Second)
		if s.lost["a"] != c.eighths {
			t.Errorf("capacity %v of 5: site a accepts %d of 8 eighths, want %d", c.capacity, s.lost["a"], c.eighths)
		}
	}
	s.setReachable("a", false)
	s.run(1, 2*time.Second, func() bool { return s.lost["a"] == 0 })
	if s.lost["a"] != 0 || !s.isLost("a") {
		t.Errorf("site a became silent while it recovered: lost sites %v, want a with 0 eighths", s.lost)
	}
	s.setReachable("a", true)
	s.capacity["a"] = 5
	if d := s.runUntilRecovered(1, 5*time.Second); len(s.lost) > 0 || d < 2*time.Second {
		t.Errorf("recovery after %v, want at least 2s as the second loss doubles the delay; lost sites %v, want none",
			d, s.lost)
	}
}
