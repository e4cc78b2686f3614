package multisite

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/internal/eventqueue"
	"mulleinmux/internal/seedtest"
)

// The simulation has instances with their key tables, sites that drop repeated keys for a while, clients that repeat
// keys at any instance, an agreement on epochs (key_simulation_agreement_test.go), and faults that follow from a seed. At
// each execution it checks that the key was not executed before.

const (
	testLeaseTTL            = 500 * time.Millisecond
	testKeyTTL              = 2 * time.Second
	testDeduplicationWindow = 4 * time.Second

	simulationLength   = 33 * time.Second
	simulationFaultEnd = 24 * time.Second // when all faults end
	recoveryTimeout    = 6 * time.Second  // time after the faults, in addition to a lease, until all requests are served
	simulationDrain    = 5 * time.Second  // time for which the simulation continues after the last client has started
	broadcastInterval  = 20 * time.Millisecond
	clientMargin       = 100 * time.Millisecond // a client gives up this long before the TTL ends
	maxClientAttempts  = 8
	keyMultiplier      = 0x9e3779b97f4a7c15 // spreads consecutive numbers over all keys
)

type simulatedInstance struct {
	id            uint64
	table         *KeyTable
	incarnation   uint64
	isFollower    bool          // it neither sends nor receives messages on keys
	installed     int           // index of the agreed state that its process has installed last; -1 if none
	stored        int           // index of the agreed state that a follower has in its file; -1 if none
	isPartitioned bool          // cut off from the agreement and from the other instances
	isDown        bool          // its process has been killed
	isRemoved     bool          // it has learnt that it is not a member any more
	pausedUntil   time.Duration // time until which its process is stopped
	skew          time.Duration // offset of its clock
}

// isRunning reports whether the given process of the instance is still running.
func (i *simulatedInstance) isRunning(incarnation uint64) bool {
	return !i.isDown && i.incarnation == incarnation
}

type keySimulation struct {
	t                    testing.TB
	seed                 uint64
	rng                  *rand.Rand
	now                  time.Duration
	queue                eventqueue.Queue
	eventCount           int
	instances            []*simulatedInstance
	agreed               []agreedState
	lastMember           uint64                              // ID of the member that was added last
	deduplicationEntries map[string]map[uint64]time.Duration // by site and key: time of the last execution
	executionSite        map[uint64]string                   // site of a key's execution
	maxKeys              int
	maxFaultInterval     time.Duration // shorter than the fence time or longer, by the seed

	servedCount       int
	rejectedCount     int
	lateRejectedCount int           // rejected later than a lease and recoveryTimeout after faultsEndedAt
	faultsEndedAt     time.Duration // when the last fault ended; 0 if faults still occur
}

func newKeySimulation(t testing.TB, seed uint64) *keySimulation {
	s := &keySimulation{
		t:                    t,
		seed:                 seed,
		rng:                  rand.New(rand.NewPCG(seed, 3)),
		deduplicationEntries: map[string]map[uint64]time.Duration{"a": {}, "b": {}},
		executionSite:        map[uint64]string{},
		maxKeys:              1 << 20,
		agreed:               []agreedState{{sites: openSites("a", "b"), keyTTL: testKeyTTL}},
		maxFaultInterval:     2 * time.Second,
	}
	if seed%3 != 0 && seed%5 != 0 {
		s.maxFaultInterval = 6 * time.Second
	}
	if seed%5 == 0 {
		s.maxKeys = 40 // so few that the ledger fills up
	}
	for range 4 {
		s.addMember()
	}
	if seed%2 == 0 {
		s.addFollower()
		s.addFollower()
	}
	return s
}

func (s *keySimulation) after(delay time.Duration, run func()) {
	s.eventCount++
	s.queue.Push(eventqueue.Event{At: s.now + max(delay, 0), Order: s.eventCount, Run: run})
}

func (s *keySimulation) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

func (s *keySimulation) anyInstance() *simulatedInstance {
	for {
		if i := s.instances[s.rng.IntN(len(s.instances))]; !i.isRemoved {
			return i
		}
	}
}

func (s *keySimulation) clock(i *simulatedInstance) time.Duration { return s.now + i.skew }

func (s *keySimulation) haveFaultsEnded() bool { return s.faultsEndedAt > 0 }

func (s *keySimulation) isPaused(i *simulatedInstance) bool { return s.now < i.pausedUntil }

// start starts a process of an instance.
func (s *keySimulation) start(i *simulatedInstance) {
	i.incarnation++
	table, err := NewKeyTable(KeyConfig{
		InstanceID:          i.id,
		Incarnation:         i.incarnation,
		LeaseTTL:            testLeaseTTL,
		KeyTTL:              testKeyTTL,
		DeduplicationWindow: testDeduplicationWindow,
		MaxKeys:             s.maxKeys,
	}, s.clock(i))
	if err != nil {
		s.t.Fatal(err)
	}
	i.table, i.installed, i.isDown = table, -1, false
	if i.isFollower && i.stored >= 0 {
		s.install(i, i.stored)
	}
	s.receiveAgreed(i, i.incarnation)
	s.broadcast(i, i.incarnation)
}

// broadcast makes a process send its messages to the other instances, repeatedly. Some messages are lost.
func (s *keySimulation) broadcast(i *simulatedInstance, incarnation uint64) {
	if !i.isRunning(incarnation) || i.isFollower {
		return
	}
	if !s.isPaused(i) {
		m, _ := i.table.NextBroadcast(s.clock(i), 3)
		for _, to := range s.instances {
			isLost := s.now < simulationFaultEnd && s.rng.Float64() < 0.002
			if to == i || to.isFollower || isLost || i.isPartitioned {
				continue
			}
			s.after(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() {
				if !to.isDown && !to.isPartitioned && !s.isPaused(to) && i.incarnation == incarnation {
					to.table.Receive(s.clock(to), m)
				}
			})
		}
	}
	s.after(broadcastInterval, func() { s.broadcast(i, incarnation) })
}

// simulatedClient sends a key to one instance after the other, within the key's TTL.
type simulatedClient struct {
	*keySimulation
	key   uint64
	until time.Duration
}

func (s *keySimulation) startClient(key uint64) {
	// The client uses the key TTL that is in force at some instance.
	c := &simulatedClient{s, key, s.now + testKeyTTL - clientMargin}
	if i := s.anyInstance(); i.installed >= 0 {
		c.until = s.now + s.agreed[i.installed].keyTTL - clientMargin
	}
	c.attempt(maxClientAttempts)
}

func (c *simulatedClient) retry(attemptsLeft int) {
	c.after(c.randomDuration(time.Millisecond, 400*time.Millisecond), func() { c.attempt(attemptsLeft - 1) })
}

func (c *simulatedClient) attempt(attemptsLeft int) {
	if attemptsLeft == 0 || c.now >= c.until {
		return
	}
	i := c.anyInstance()
	if i.isDown || c.isPaused(i) {
		c.retry(attemptsLeft)
		return
	}
	d := i.table.Route(c.clock(i), c.key)
	if d.Site == "" {
		c.rejectedCount++
		if c.haveFaultsEnded() && c.now > c.faultsEndedAt+testLeaseTTL+recoveryTimeout {
			c.lateRejectedCount++
		}
		c.retry(attemptsLeft)
		return
	}
	// The selection of a server takes time; after it, the attempt may no longer be allowed.
	table, incarnation := i.table, i.incarnation
	c.after(c.randomDuration(0, 20*time.Millisecond), func() {
		if !i.isRunning(incarnation) || c.isPaused(i) || !table.BeginAttempt(c.clock(i), c.key, d.Site) {
			c.retry(attemptsLeft)
			return
		}
		c.send(attemptsLeft, i, incarnation, d.Site)
	})
}

// send sends an attempt to a site. The request or its answer may be lost.
func (c *simulatedClient) send(attemptsLeft int, i *simulatedInstance, incarnation uint64, site string) {
	table := i.table
	outcome := c.rng.Float64()
	c.after(c.randomDuration(0, 300*time.Millisecond), func() {
		hasRun := outcome > 0.1 && c.now < c.until+clientMargin // the site drops an expired request
		if hasRun {
			c.execute(site, c.key)
		}
		c.after(c.randomDuration(0, 200*time.Millisecond), func() {
			if i.isRunning(incarnation) {
				table.EndAttempt(c.key, !hasRun && outcome > 0.05)
			}
			if hasRun && outcome > 0.3 {
				c.servedCount++
			} else {
				c.retry(attemptsLeft)
			}
		})
	})
}

// execute makes a site execute a request, unless the site still drops repeats of its key.
func (s *keySimulation) execute(site string, key uint64) {
	if at, ok := s.deduplicationEntries[site][key]; ok && s.now-at < testDeduplicationWindow {
		return
	}
	s.deduplicationEntries[site][key] = s.now
	if before, ok := s.executionSite[key]; ok {
		s.t.Errorf("seed %d, at %v: key %d was executed at %s and at %s", s.seed, s.now, key, before, site)
		return
	}
	s.executionSite[key] = site
}

// injectFaults changes the epoch, or partitions, pauses or kills an instance, repeatedly.
func (s *keySimulation) injectFaults() {
	if s.now > simulationFaultEnd {
		s.endFaults()
		return
	}
	i := s.anyInstance()
	switch x := s.rng.Float64(); {
	case s.seed%4 == 1:
		s.skipEpochs(i)
	case x < 0.4:
		s.agreeOnChanges()
		s.injectSecondFault(i)
	case x < 0.55:
		s.partition(i)
	case x < 0.7: // a pause; the instance resumes with outdated state
		i.pausedUntil = s.now + s.randomDuration(100*time.Millisecond, 3*time.Second)
	case x < 0.85 && !i.isDown:
		i.isDown = true
		s.restartAfter(i, s.randomDuration(50*time.Millisecond, 3*time.Second))
	case x < 0.92:
		s.agreeOnMembers()
	case x < 0.94:
		s.replaceService()
	}
	s.after(s.randomDuration(100*time.Millisecond, s.maxFaultInterval), s.injectFaults)
}

func (s *keySimulation) randomSite(name string) Site {
	isOpen := s.rng.Float64() < 0.7
	return Site{name, isOpen, max(s.rng.IntN(16)-8, 0)}
}

// injectSecondFault may kill or partition an instance: the fault that closes a site may affect an instance as well.
func (s *keySimulation) injectSecondFault(i *simulatedInstance) {
	switch y := s.rng.Float64(); {
	case y < 0.25 && !i.isDown:
		s.after(s.randomDuration(0, 100*time.Millisecond), func() { i.isDown = true })
		s.restartAfter(i, s.randomDuration(110*time.Millisecond, 600*time.Millisecond))
	case y < 0.5:
		s.partition(i)
	}
}

func (s *keySimulation) partition(i *simulatedInstance) {
	i.isPartitioned = true
	s.after(s.randomDuration(100*time.Millisecond, 4*time.Second), func() { i.isPartitioned = false })
}

func (s *keySimulation) restartAfter(i *simulatedInstance, delay time.Duration) {
	s.after(delay, func() {
		if i.isDown && !i.isRemoved {
			s.start(i)
		}
	})
}

// endFaults ends all faults. Both sites are open from then on.
func (s *keySimulation) endFaults() {
	s.faultsEndedAt = s.now
	for _, i := range s.instances {
		i.isPartitioned, i.pausedUntil = false, 0
		if i.isDown && !i.isRemoved {
			s.start(i)
		}
	}
	s.agreeOnSites(openSites("a", "b"), testKeyTTL)
}

func (s *keySimulation) run() {
	s.startClients(1)
	s.after(2*time.Second, s.injectFaults)
	for s.queue.Len() > 0 && s.now < simulationLength+simulationDrain {
		e := s.queue.Pop()
		s.now = e.At
		e.Run()
	}
}

// startClients starts a client with the key of the given number, and later the clients of the following numbers.
func (s *keySimulation) startClients(number uint64) {
	s.startClient(number * keyMultiplier)
	if s.now < simulationLength {
		s.after(s.randomDuration(time.Millisecond, 20*time.Millisecond), func() { s.startClients(number + 1) })
	}
}

// TestKeySimulationSeeds checks over 1,000 seeds that no key is executed at two sites, and that all requests are served
// again soon after the last fault.
func TestKeySimulationSeeds(t *testing.T) {
	t.Parallel()
	seeds := uint64(1000)
	if testing.Short() || raceEnabled {
		seeds = 60
	}
	type requestCounts struct{ served, rejected int }
	results := seedtest.Collect(t, 1, seeds, func(t *testing.T, seed uint64) requestCounts {
		s := newKeySimulation(t, seed)
		s.run()
		if s.servedCount < 300 {
			t.Errorf("seed %d: %d requests served, want at least 300", seed, s.servedCount)
		}
		if s.lateRejectedCount > 0 && s.maxKeys > 1000 {
			t.Errorf("seed %d: %d requests rejected after the faults and recoveryTimeout, want none", seed, s.lateRejectedCount)
		}
		return requestCounts{s.servedCount, s.rejectedCount}
	})
	served, rejected := 0, 0
	for _, counts := range results {
		served, rejected = served+counts.served, rejected+counts.rejected
	}
	t.Logf("%d seeds: %d served, %d rejected", seeds, served, rejected)
}

// TestKeySimulationIsDeterministic checks that two runs with the same seed have the same results.
func TestKeySimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	figures := func() string {
		s := newKeySimulation(t, 17)
		s.run()
		return fmt.Sprint(s.servedCount, s.rejectedCount, len(s.executionSite), s.eventCount)
	}
	if a, b := figures(), figures(); a != b {
		t.Errorf("two runs with the same seed differ: %s and %s", a, b)
	}
}
