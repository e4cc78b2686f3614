package multisite

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
)

const healthStep = 20 * time.Millisecond

func testHealthConfig(id uint64) HealthConfig {
	return HealthConfig{
		InstanceID:       id,
		MinUnanswered:    3,
		LossTimeout:      500 * time.Millisecond,
		ViewTTL:          time.Second,
		RecoveryDelay:    time.Second,
		MaxRecoveryDelay: 8 * time.Second,
		LossWindow:       time.Minute,
		WarmUpWindow:     5 * time.Second,
	}
}

// healthSimulation has instances that send attempts to sites, announce their views to each other and agree on changes.
// Each instance has its own clock.
type healthSimulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	sites    []string
	members  []uint64
	skew     map[uint64]time.Duration
	monitors map[uint64]*HealthMonitor

	reaches      map[uint64]map[string]bool // by member: the sites that it reaches
	receivesFrom map[[2]uint64]bool         // whether the first member receives messages from the second
	isPaused     map[uint64]bool
	direct       map[string][]uint64 // by site: the members that reach it directly; nil if all do
	capacity     map[string]float64  // by site; 0 if unknown

	lost        map[string]int // agreed: eighths of the keys of lost sites
	changeCount int
	lossCount   map[string]int // by site
}

func newHealthSimulation(t *testing.T, seed uint64, memberCount int, sites ...string) *healthSimulation {
	t.Helper()
	s := &healthSimulation{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 7)),
		sites:        sites,
		skew:         map[uint64]time.Duration{},
		monitors:     map[uint64]*HealthMonitor{},
		reaches:      map[uint64]map[string]bool{},
		receivesFrom: map[[2]uint64]bool{},
		isPaused:     map[uint64]bool{},
		capacity:     map[string]float64{},
		lost:         map[string]int{},
		lossCount:    map[string]int{},
	}
	for id := uint64(1); id <= uint64(memberCount); id++ {
		s.members = append(s.members, id)
		s.skew[id] = time.Duration(s.rng.IntN(7200)) * time.Second
	}
	for _, id := range s.members {
		monitor, err := NewHealthMonitor(testHealthConfig(id))
		if err != nil {
			t.Fatal(err)
		}
		s.monitors[id], s.reaches[id] = monitor, map[string]bool{}
	}
	for _, site := range sites {
		s.setReachable(site, true)
	}
	s.resumeAll()
	s.applyAgreed()
	return s
}

func (s *healthSimulation) clock(id uint64) time.Duration { return s.now + s.skew[id] }

func (s *healthSimulation) anyMember() uint64 { return s.members[s.rng.IntN(len(s.members))] }

func (s *healthSimulation) anySite() string { return s.sites[s.rng.IntN(len(s.sites))] }

func (s *healthSimulation) anyBool() bool { return s.rng.IntN(2) == 0 }

func (s *healthSimulation) stateAt(id uint64, site string) SiteState {
	return s.monitors[id].State(s.clock(id), site)
}

// setReachable sets whether any member reaches a site.
func (s *healthSimulation) setReachable(site string, isReachable bool) {
	for _, id := range s.members {
		s.reaches[id][site] = isReachable
	}
}

// disconnect makes a site unreachable for the given members.
func (s *healthSimulation) disconnect(site string, members ...uint64) {
	for _, id := range members {
		s.reaches[id][site] = false
	}
}

// resumeAll ends all pauses and connects all members to each other.
func (s *healthSimulation) resumeAll() {
	for _, id := range s.members {
		s.isPaused[id] = false
		for _, other := range s.members {
			s.receivesFrom[[2]uint64{id, other}] = true
		}
	}
}

func (s *healthSimulation) applyAgreed() {
	for _, id := range s.members {
		s.monitors[id].ApplyAgreed(s.clock(id), openSites(s.sites...), s.lost, s.members)
	}
}

func (s *healthSimulation) isLost(site string) bool {
	_, isLost := s.lost[site]
	return isLost
}

func (s *healthSimulation) isRemote(id uint64, site string) bool {
	return s.direct[site] != nil && !slices.Contains(s.direct[site], id)
}

// isAnswered reports whether a member's attempts at a site are answered. A remote member needs another one that reaches
// the site directly.
func (s *healthSimulation) isAnswered(id uint64, site string) bool {
	if !s.isRemote(id, site) {
		return s.reaches[id][site]
	}
	return s.reaches[id][site] && slices.ContainsFunc(s.direct[site], func(other uint64) bool {
		return s.reaches[other][site] && !s.isPaused[other]
	})
}

// run simulates steps for the given time, or until a condition holds, and returns the simulated time.
func (s *healthSimulation) run(leader uint64, length time.Duration, until func() bool) time.Duration {
	startedAt := s.now
	for s.now-startedAt < length && !until() {
		s.step(leader)
	}
	return s.now - startedAt
}

func (s *healthSimulation) runFor(leader uint64, length time.Duration) {
	s.run(leader, length, func() bool { return false })
}

// runUntilRecovered runs until no site is lost.
func (s *healthSimulation) runUntilRecovered(leader uint64, length time.Duration) time.Duration {
	return s.run(leader, length, func() bool { return len(s.lost) == 0 })
}

// runUntilLoss runs until a site is lost.
func (s *healthSimulation) runUntilLoss(leader uint64, length time.Duration) time.Duration {
	return s.run(leader, length, func() bool { return len(s.lost) > 0 })
}

// step simulates attempts and announcements of each member, and the leader's proposal.
func (s *healthSimulation) step(leader uint64) {
	s.now += healthStep
	for _, id := range s.members {
		if s.isPaused[id] {
			continue
		}
		for _, site := range s.sites {
			s.monitors[id].SetRemote(site, s.isRemote(id, site))
			s.sendAttempts(id, site)
		}
		for _, site := range s.sites {
			if !s.isRemote(id, site) {
				s.monitors[id].RecordCapacity(site, s.capacity[site])
			}
		}
		s.announce(id)
	}
	if s.isPaused[leader] {
		return
	}
	if change, ok := s.monitors[leader].ProposeChange(s.clock(leader)); ok {
		s.agreeOn(change)
	}
}

func (s *healthSimulation) sendAttempts(id uint64, site string) {
	monitor, now := s.monitors[id], s.clock(id)
	switch s.rng.IntN(3) {
	case 0:
		if s.isAnswered(id, site) {
			monitor.RecordAnswer(now, site)
		} else {
			monitor.RecordUnanswered(now, site, now-250*time.Millisecond)
		}
	case 1: // an unanswered attempt has no effect if a later one is answered
		if s.isAnswered(id, site) && s.rng.IntN(10) == 0 {
			monitor.RecordAnswer(now-5*time.Millisecond, site)
			monitor.RecordUnanswered(now, site, now-250*time.Millisecond)
		}
	}
}

// announce sends a member's views to the other members. Some messages are lost.
func (s *healthSimulation) announce(id uint64) {
	views := s.monitors[id].Views(s.clock(id))
	for _, to := range s.members {
		if to != id && !s.isPaused[to] && s.receivesFrom[[2]uint64{to, id}] && s.rng.IntN(10) > 0 {
			s.monitors[to].Receive(s.clock(to), id, views)
		}
	}
}

// agreeOn agrees on a change. It checks that the change is not already in force, and that a site that accepts keys is
// left.
func (s *healthSimulation) agreeOn(c SiteChange) {
	s.t.Helper()
	s.changeCount++
	eighths, isLost := s.lost[c.Site]
	if c.IsLost && isLost && eighths == 0 || !c.IsLost && (!isLost || c.KeyEighths > 0 && c.KeyEighths <= eighths) {
		s.t.Errorf("at %v: proposed change %+v is already in force", s.now, c)
	}
	switch {
	case c.IsLost:
		s.lost[c.Site] = 0
		s.lossCount[c.Site]++
	case c.KeyEighths > 0:
		s.lost[c.Site] = c.KeyEighths
	default:
		delete(s.lost, c.Site)
	}
	if s.sitesWithoutKeys() == len(s.sites) {
		s.t.Errorf("at %v: every site is lost, want at least one that accepts keys", s.now)
	}
	s.applyAgreed()
}

func (s *healthSimulation) sitesWithoutKeys() (count int) {
	for _, eighths := range s.lost {
		if eighths == 0 {
			count++
		}
	}
	return count
}

// injectFault injects or ends a random fault, or changes the leader, and returns the leader from then on.
func (s *healthSimulation) injectFault(leader uint64) uint64 {
	switch s.rng.IntN(6) {
	case 0, 1:
		s.setReachable(s.anySite(), s.anyBool())
	case 2:
		id := s.anyMember()
		site := s.anySite()
		s.reaches[id][site] = s.anyBool()
	case 3:
		site := s.anySite()
		s.capacity[site] = float64(s.rng.IntN(6))
		id := s.anyMember()
		s.isPaused[id] = s.anyBool()
	case 4:
		receiver, sender := s.anyMember(), s.anyMember()
		s.receivesFrom[[2]uint64{receiver, sender}] = s.anyBool()
	default:
		return s.anyMember()
	}
	return leader
}

// TestSiteHealthSeeds injects faults that follow from a seed: flapping sites, broken paths, lost messages, pauses and
// changes of the leader. It checks that at least one site is never lost, that no change is proposed twice, that a
// flapping site changes ownership no more often than its recovery delay allows, and that all sites recover once the
// faults end.
func TestSiteHealthSeeds(t *testing.T) {
	t.Parallel()
	seeds := uint64(1000)
	if testing.Short() || raceEnabled {
		seeds = 60
	}
	results := seedtest.Collect(t, 0, seeds, runHealthSeed)
	changes, losses := 0, 0
	for _, counts := range results {
		changes, losses = changes+counts.changes, losses+counts.losses
	}
	t.Logf("%d seeds: %d changes, %d losses", seeds, changes, losses)
}

// healthSeedCounts are the numbers of agreed changes and losses in one simulation.
type healthSeedCounts struct{ changes, losses int }

// runHealthSeed checks one minute with faults, and that all sites recover after it.
func runHealthSeed(t *testing.T, seed uint64) (counts healthSeedCounts) {
	s := newHealthSimulation(t, seed, 3+int(seed%3), "a", "b", "c")
	if seed%2 == 1 { // the instances are at two sites; both reach c directly
		s.direct = map[string][]uint64{"a": {1, 2}, "b": {3, 4, 5}}
	}
	leader := uint64(1)
	for s.now < time.Minute {
		leader = s.injectFault(leader)
		s.runFor(leader, time.Duration(s.rng.IntN(1500))*time.Millisecond)
	}
	// While losses are recent, the recovery delay is 1, 2, 4, 8, 8 ... s: at most 10 losses in a minute.
	for site, count := range s.lossCount {
		counts.losses += count
		if count > 10 {
			t.Errorf("site %s was lost %d times in a minute, want at most 10", site, count)
		}
	}
	s.resumeAll()
	for _, site := range s.sites {
		s.setReachable(site, true)
		s.capacity[site] = 5
	}
	if s.runUntilRecovered(leader, 30*time.Second); len(s.lost) > 0 {
		t.Errorf("lost sites 30s after the last fault: got %v, want none", s.lost)
	}
	if t.Failed() {
		t.Fatalf("simulation with seed %d failed", seed)
	}
	counts.changes = s.changeCount
	return counts
}
