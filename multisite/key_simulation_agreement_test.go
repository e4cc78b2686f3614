package multisite

import (
	"slices"
	"time"
)

// Instance IDs that the hosts use for followers and for the members as their followers see them: the followers do not
// exchange messages on keys.
const (
	testAnyFollower = 1 << 32
	testAnyMember   = testAnyFollower + 1
)

// agreedState is a state of the agreed configuration, as of a log entry. Entries change the sites, the members, the
// keys' TTL or anything else, and several are applied in one step.
type agreedState struct {
	service    uint64 // control service that has agreed on it
	version    uint64 // of the configuration; counts the service's entries that are not changes of members
	placement  uint64 // version of the last change of sites
	membership int    // index of the state with the last change of members
	sites      []Site
	members    []uint64
	keyTTL     time.Duration
}

func (s *keySimulation) latest() int { return len(s.agreed) - 1 }

// agree adds a state, which change makes from the latest one.
func (s *keySimulation) agree(change func(next *agreedState)) {
	next := s.agreed[s.latest()]
	change(&next)
	s.agreed = append(s.agreed, next)
}

// agreeOnSites agrees on the sites, and on the keys' TTL in the same entry.
func (s *keySimulation) agreeOnSites(sites []Site, keyTTL time.Duration) {
	s.agree(func(next *agreedState) {
		next.version++
		next.placement, next.sites, next.keyTTL = next.version, sites, keyTTL
	})
}

// agreeOnChanges agrees on sites that open and close, mostly once, and on entries between that change nothing here. It
// may change the keys' TTL. An instance that is cut off, paused or slow meanwhile skips the epochs between.
func (s *keySimulation) agreeOnChanges() {
	if s.haveFaultsEnded() {
		return
	}
	if s.rng.Float64() < 0.3 {
		s.agree(func(next *agreedState) { next.version++ })
	}
	ttl := s.agreed[s.latest()].keyTTL
	if s.rng.Float64() < 0.7 { // the longest TTL exceeds the deduplication window
		ttl = []time.Duration{testKeyTTL, testKeyTTL, 3500 * time.Millisecond, 5 * time.Second}[s.rng.IntN(4)]
	}
	s.agreeOnSites([]Site{s.randomSite("a"), s.randomSite("b")}, ttl)
	if ttl > testDeduplicationWindow { // while it lasts, a full ledger sends nothing
		s.after(s.randomDuration(500*time.Millisecond, 3*time.Second), s.agreeOnShortTTL)
	}
	if s.rng.Float64() < 0.4 {
		s.partition(s.anyInstance())
		s.after(s.randomDuration(0, 1500*time.Millisecond), s.agreeOnChanges)
	}
}

// agreeOnShortTTL agrees on the short TTL, without a change of sites.
func (s *keySimulation) agreeOnShortTTL() {
	s.agree(func(next *agreedState) {
		next.version++
		next.keyTTL = testKeyTTL
	})
}

// skipEpochs cuts an instance off, or pauses it, while sites close and open again. The other instances wait for it, so
// that keys move only if it is away for longer than a lease and the TTL. The last change comes shortly before its return.
func (s *keySimulation) skipEpochs(i *simulatedInstance) {
	const fenceTime = testLeaseTTL + testKeyTTL
	length := s.randomDuration(fenceTime+500*time.Millisecond, 2*fenceTime)
	if s.rng.Float64() < 0.3 {
		i.pausedUntil = s.now + length
	} else {
		i.isPartitioned = true
		s.after(length, func() { i.isPartitioned = false })
	}
	before := s.agreed[s.latest()].sites
	s.agreeOnSites([]Site{s.randomSite("a"), s.randomSite("b")}, testKeyTTL)
	s.after(s.randomDuration(length-time.Second, length), func() {
		if !s.haveFaultsEnded() {
			s.agreeOnSites(before, testKeyTTL)
		}
	})
}

// addMember agrees on a further member and starts it.
func (s *keySimulation) addMember() {
	s.lastMember++
	i := &simulatedInstance{id: s.lastMember, stored: -1, skew: time.Duration(s.rng.Int64N(int64(2 * time.Hour)))}
	s.instances = append(s.instances, i)
	s.agree(func(next *agreedState) {
		next.members, next.membership = append(slices.Clone(next.members), i.id), len(s.agreed)
	})
	s.start(i)
}

// addFollower starts a follower without a version.
func (s *keySimulation) addFollower() {
	i := &simulatedInstance{
		id:         testAnyFollower,
		isFollower: true,
		stored:     -1,
		skew:       time.Duration(s.rng.Int64N(int64(2 * time.Hour))),
	}
	s.instances = append(s.instances, i)
	s.start(i)
}

// agreeOnMembers adds a member, removes one, or adds one and removes it again soon.
func (s *keySimulation) agreeOnMembers() {
	members := s.agreed[s.latest()].members
	switch x := s.rng.Float64(); {
	case x < 0.3 && len(members) < 6:
		s.addMember()
	case x < 0.7 && len(members) > 3:
		s.removeMember(members[s.rng.IntN(len(members))])
	case len(members) < 6:
		s.addMember()
		id := s.lastMember
		s.after(s.randomDuration(time.Millisecond, 5*time.Second), func() { s.removeMember(id) })
	}
}

// removeMember agrees on the removal of a member. The member may be cut off just before, and not learn of it. Sites may
// change just after it, when the member still has its lease.
func (s *keySimulation) removeMember(id uint64) {
	members := s.agreed[s.latest()].members
	if !slices.Contains(members, id) || len(members) <= 3 || s.haveFaultsEnded() {
		return
	}
	if s.rng.Float64() < 0.6 {
		s.partition(s.instances[slices.IndexFunc(s.instances, func(i *simulatedInstance) bool { return i.id == id })])
	}
	if s.rng.Float64() < 0.6 {
		s.after(s.randomDuration(0, testLeaseTTL), s.agreeOnChanges)
	}
	s.agree(func(next *agreedState) {
		next.members = slices.DeleteFunc(slices.Clone(members), func(m uint64) bool { return m == id })
		next.membership = len(s.agreed)
	})
}

// replaceService ends all members and starts them again as those of a control service that numbers its versions anew.
func (s *keySimulation) replaceService() {
	s.agree(func(next *agreedState) {
		next.service++
		next.version, next.placement = 1, 1
		next.sites = []Site{s.randomSite("a"), s.randomSite("b")}
	})
	for _, i := range s.instances {
		if !i.isFollower && !i.isRemoved {
			i.isDown = true
			s.restartAfter(i, s.randomDuration(10*time.Millisecond, 300*time.Millisecond))
		}
	}
}

// receiveAgreed makes a process install the newest agreed state alone and confirm it, repeatedly.
func (s *keySimulation) receiveAgreed(i *simulatedInstance, incarnation uint64) {
	if !i.isRunning(incarnation) {
		return
	}
	if requestedAt := s.clock(i); !i.isPartitioned && !s.isPaused(i) {
		latest := s.latest()
		s.after(s.randomDuration(time.Millisecond, 30*time.Millisecond), func() {
			if !i.isRunning(incarnation) || s.isPaused(i) {
				return
			}
			s.install(i, latest)
			if s.isNewest(i, latest) {
				i.table.ConfirmEpoch(requestedAt)
			}
		})
	}
	s.after(s.randomDuration(40*time.Millisecond, 80*time.Millisecond), func() { s.receiveAgreed(i, incarnation) })
}

// isNewest reports whether the state that an instance has installed is at least as new as the given one.
func (s *keySimulation) isNewest(i *simulatedInstance, index int) bool {
	return !i.isRemoved && i.installed >= index
}

// install installs an agreed state, whatever lies between the one installed before and this one.
func (s *keySimulation) install(i *simulatedInstance, index int) {
	if index <= i.installed {
		return
	}
	state := &s.agreed[index]
	if !i.isFollower && !slices.Contains(state.members, i.id) && i.isMemberBefore(s, index) {
		i.isRemoved, i.isDown = true, true // its process ends
		return
	}
	epoch := OwnershipEpoch{Service: state.service, Number: state.placement, Sites: state.sites}
	if i.isFollower {
		epoch.Instances = []uint64{testAnyFollower, testAnyMember}
	} else {
		epoch.Instances = slices.Clone(state.members)
		if s.hasFollowers() {
			epoch.Instances = append(epoch.Instances, testAnyFollower)
		}
	}
	i.table.InstallEpoch(s.clock(i), epoch, s.isDirectSuccessor(i, index))
	i.table.SetLifetimes(s.clock(i), state.keyTTL, testDeduplicationWindow)
	i.installed, i.stored = index, index
}

// isMemberBefore reports whether the instance was a member in any state before the given one.
func (i *simulatedInstance) isMemberBefore(s *keySimulation, index int) bool {
	return slices.ContainsFunc(s.agreed[:index], func(a agreedState) bool { return slices.Contains(a.members, i.id) })
}

func (s *keySimulation) hasFollowers() bool {
	return slices.ContainsFunc(s.instances, func(i *simulatedInstance) bool { return i.isFollower })
}

// isDirectSuccessor decides, as the hosts do, whether a state directly succeeds the one that an instance has installed.
// A member has applied each entry between. A follower knows the two versions alone.
func (s *keySimulation) isDirectSuccessor(i *simulatedInstance, index int) bool {
	if i.installed < 0 {
		return false
	}
	before, after := &s.agreed[i.installed], &s.agreed[index]
	if i.isFollower {
		isNext := after.placement == before.placement || after.placement == before.version+1
		return before.service == after.service && isNext
	}
	placements, memberships := 0, 0
	for n := i.installed + 1; n <= index; n++ {
		if s.agreed[n].placement != s.agreed[n-1].placement {
			placements++
		}
		if s.agreed[n].membership != s.agreed[n-1].membership {
			memberships++
		}
	}
	return placements <= 1 && memberships <= 1
}
