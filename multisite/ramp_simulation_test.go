package multisite

import (
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/internal/seedtest"
)

const (
	rampTestSite       = "a"
	rampTestInterval   = 2 * time.Millisecond
	rampTestLoanTTL    = 500 * time.Millisecond
	rampTestMultiple   = 1.25
	broadcastIntervals = 10 // number of rampTestInterval from one broadcast to the next
)

func newTestRamp(t *testing.T, id, incarnation uint64) *RecoveryRamp {
	t.Helper()
	r, err := NewRecoveryRamp(RampConfig{
		InstanceID:     id,
		Incarnation:    incarnation,
		LoanTTL:        rampTestLoanTTL,
		LoadTTL:        time.Second,
		BudgetMultiple: rampTestMultiple,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// rampSimulation has instances that share a site's ramp over a network that loses, delays, repeats and reorders
// messages.
type rampSimulation struct {
	t            *testing.T
	rng          *rand.Rand
	now          time.Duration
	members      []uint64
	ramps        map[uint64]*RecoveryRamp
	skew         map[uint64]time.Duration
	incarnations map[uint64]uint64
	isPaused     map[uint64]bool
	demand       map[uint64]float64 // share that an instance could use; 0 if it does not reach the site
	hasFaults    bool
	inTransit    []rampPacket
}

type rampPacket struct {
	arrivesAt time.Duration
	from, to  uint64
	message   RampMessage
}

func newRampSimulation(t *testing.T, seed uint64, memberCount int) *rampSimulation {
	t.Helper()
	s := &rampSimulation{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 11)),
		ramps:        map[uint64]*RecoveryRamp{},
		skew:         map[uint64]time.Duration{},
		incarnations: map[uint64]uint64{},
		isPaused:     map[uint64]bool{},
		demand:       map[uint64]float64{},
	}
	for range memberCount {
		s.addMember()
	}
	for _, id := range s.members {
		s.start(id)
	}
	return s
}

// addMember adds the member with the next ID, without starting it.
func (s *rampSimulation) addMember() uint64 {
	id := uint64(len(s.skew) + 1)
	s.members = append(s.members, id)
	s.skew[id] = time.Duration(s.rng.IntN(7200)) * time.Second
	return id
}

// start starts a process of a member.
func (s *rampSimulation) start(id uint64) {
	s.incarnations[id]++
	s.ramps[id] = newTestRamp(s.t, id, s.incarnations[id])
	s.applyAgreed(id)
}

func (s *rampSimulation) applyAgreed(id uint64) {
	s.ramps[id].ApplyAgreed(s.clock(id), openSites(rampTestSite), s.members)
}

func (s *rampSimulation) clock(id uint64) time.Duration { return s.now + s.skew[id] }

func (s *rampSimulation) share(id uint64) float64 {
	return s.ramps[id].Share(s.clock(id), rampTestSite)
}

// totalShare returns the sum of all shares, including those of paused members, since these may resume at any moment.
func (s *rampSimulation) totalShare() (total float64) {
	for id := range s.ramps {
		total += s.share(id)
	}
	return total
}

func (s *rampSimulation) run(steps int) {
	for range steps {
		s.step()
	}
}

// step simulates 20 ms and returns the largest sum of all shares after any event.
func (s *rampSimulation) step() (maxTotal float64) {
	for range broadcastIntervals {
		s.now += rampTestInterval
		maxTotal = max(maxTotal, s.deliver())
	}
	for _, id := range s.members {
		if s.isPaused[id] {
			continue
		}
		s.recordLoad(id)
		message := s.ramps[id].NextBroadcast(s.clock(id), nil)
		maxTotal = max(maxTotal, s.totalShare())
		for _, to := range s.members {
			if to != id {
				s.send(rampPacket{from: id, to: to, message: message})
			}
		}
	}
	return maxTotal
}

// deliver makes members receive the messages that have arrived, and returns the largest sum of all shares after any of
// them.
func (s *rampSimulation) deliver() (maxTotal float64) {
	left := s.inTransit[:0:0]
	for _, p := range s.inTransit {
		if p.arrivesAt > s.now || s.isPaused[p.to] {
			left = append(left, p)
			continue
		}
		s.ramps[p.to].Receive(s.clock(p.to), p.from, p.message)
		maxTotal = max(maxTotal, s.totalShare())
	}
	s.inTransit = left
	return maxTotal
}

// recordLoad records the load of a member that uses its share up to its demand.
func (s *rampSimulation) recordLoad(id uint64) {
	load := WarmingServersLoad{}
	if demand := s.demand[id]; demand > 0 {
		seconds := (broadcastIntervals * rampTestInterval).Seconds()
		sent := min(demand, s.share(id)) * seconds
		load = WarmingServersLoad{
			ServerWeight: 1 / rampTestMultiple, SentWork: sent, RejectedWork: demand*seconds - sent}
	}
	s.ramps[id].RecordWarmingServersLoad(s.clock(id), rampTestSite, load)
}

// send puts a packet in transit; with faults, it may be lost, late or repeated.
func (s *rampSimulation) send(p rampPacket) {
	for copies := 1; copies > 0; copies-- {
		delay := time.Duration(1+s.rng.IntN(3)) * time.Millisecond
		if s.hasFaults {
			switch s.rng.IntN(8) {
			case 0:
				continue // lost
			case 1:
				delay = time.Duration(s.rng.IntN(900)) * time.Millisecond
			case 2:
				copies++
			}
		}
		p.arrivesAt = s.now + delay
		s.inTransit = append(s.inTransit, p)
	}
}

// injectFault changes a demand, pauses, resumes or restarts a member, or adds one.
func (s *rampSimulation) injectFault() {
	id := s.members[s.rng.IntN(len(s.members))]
	switch x := s.rng.IntN(200); {
	case x < 20:
		s.demand[id] = s.rng.Float64() * float64(s.rng.IntN(2))
	case x < 24:
		s.isPaused[id] = true
	case x < 40:
		s.isPaused[id] = false
	case x == 41 && !s.isPaused[id]: // killed and restarted at once
		s.start(id)
	case x == 42 && len(s.members) < 6:
		s.start(s.addMember())
		for _, other := range s.members {
			s.applyAgreed(other)
		}
	}
}

// TestRampSeeds checks that the sum of all shares never exceeds one while messages are lost, late or repeated, and
// members pause, restart or join.
func TestRampSeeds(t *testing.T) {
	t.Parallel()
	const steps = 150
	seeds := uint64(1000)
	if raceEnabled {
		seeds = 60
	}
	results := seedtest.Collect(t, 0, seeds, func(t *testing.T, seed uint64) (fullSteps int) {
		s := newRampSimulation(t, seed, 2+int(seed%4))
		s.hasFaults = true
		for step := range steps {
			s.injectFault()
			total := s.step()
			if total > 1+1e-9 {
				t.Fatalf("seed %d, step %d: sum of all shares: got %.4f, want at most 1", seed, step, total)
			}
			if total > 0.97 {
				fullSteps++
			}
		}
		return fullSteps
	})
	fullSteps := 0
	for _, count := range results {
		fullSteps += count
	}
	t.Logf("%d seeds: the whole was in use in %d steps", seeds, fullSteps)
	if fullSteps < int(seeds)*8 {
		t.Errorf("the sum of shares was above 0.97 in only %d of %d steps: too few to test the limit",
			fullSteps, int(seeds)*steps)
	}
}
