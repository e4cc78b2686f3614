package configstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/eventqueue"
)

// simulation simulates members, followers and the network between them from a seed, on a virtual clock.
type simulation struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Duration
	queue     eventqueue.Queue
	lastEvent int // order of the last scheduled event
	hasFaults bool
	members   []*simMember
	followers []*simFollower
	lastID    uint64 // ID of the last stream

	state     *clusterconfig.State
	log       []*Version // committed versions of the newest epoch, by number from 1
	committed map[Ref]commitRecord
	all       []*Version // committed versions of all epochs

	activationCount int
	rejectionCount  int
}

// commitRecord is a committed version and the time of its commit.
type commitRecord struct {
	version *Version
	at      time.Duration
}

// Sizes of a simulation.
const (
	simulatedMembers       = 3
	simulatedFollowers     = 4
	simulatedFaultDuration = 8 * time.Second
	simulatedDuration      = 16 * time.Second
)

// Priority factors of plans that no follower can serve.
const (
	rejectedFactor        = 1 // the check finds a problem
	checkCrashFactor      = 3 // the check ends the process
	activationCrashFactor = 5 // the activation ends the process
)

// newVersionLog returns a simulation without members and followers, for tests that use only its log of versions.
func newVersionLog(t *testing.T, rng *rand.Rand) *simulation {
	return &simulation{t: t, rng: rng, state: clusterconfig.New(nil), committed: map[Ref]commitRecord{}}
}

func newSimulation(t *testing.T, seed uint64, followers int) *simulation {
	sim := newVersionLog(t, rand.New(rand.NewPCG(seed, 7)))
	sim.seed, sim.hasFaults = seed, true
	changes := []clusterconfig.Change{}
	for i := range followers {
		f := &simFollower{name: fmt.Sprintf("f%d", i), disk: &DurableState{}}
		f.selector = NewMemberSelector(MemberSelectorConfig{
			Name:           f.name,
			Members:        []uint64{1, 2, 3},
			InitialBackoff: 50 * time.Millisecond,
			MaxBackoff:     time.Second,
		}, sim.rng)
		sim.followers = append(sim.followers, f)
		changes = append(changes, clusterconfig.NewPutChange("follower", f.name, clusterconfig.Follower{}))
	}
	epoch := clusterconfig.Epoch{Number: 1, ID: "first"}
	sim.commit(append(changes, clusterconfig.NewPutChange("epoch", "epoch", epoch))...)
	for i := range uint64(simulatedMembers) {
		sim.members = append(sim.members, &simMember{id: i + 1})
		sim.startMember(sim.members[i])
	}
	for _, f := range sim.followers {
		sim.startFollower(f)
	}
	return sim
}

// after schedules an event.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastEvent++
	sim.queue.Push(eventqueue.Event{At: sim.now + d, Order: sim.lastEvent, Run: do})
}

// every schedules an event at each interval, starting at a random phase.
func (sim *simulation) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); sim.after(d, again) }
	sim.after(sim.randomDuration(d), again)
}

// runUntil runs the events in order until a time is reached.
func (sim *simulation) runUntil(end time.Duration) {
	for sim.queue.Len() > 0 && sim.now < end {
		e := sim.queue.Pop()
		sim.now = e.At
		e.Run()
	}
}

// randomDuration returns a duration from 0 up to a bound, exclusive.
func (sim *simulation) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(bound)))
}

// randomMillis returns a number of whole milliseconds from 0 up to a bound, exclusive.
func (sim *simulation) randomMillis(bound int) time.Duration {
	return time.Duration(sim.rng.IntN(bound)) * time.Millisecond
}

// chance reports whether a fault occurs, with a probability; without faults it returns false.
func (sim *simulation) chance(p float64) bool { return sim.hasFaults && sim.rng.Float64() < p }

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d, %v: %s", sim.seed, sim.now, fmt.Sprintf(format, args...))
}

// newest returns the newest committed version.
func (sim *simulation) newest() *Version { return sim.log[len(sim.log)-1] }

// commit adds the version that the changes make to the log.
func (sim *simulation) commit(changes ...clusterconfig.Change) {
	sim.t.Helper()
	p := clusterconfig.Proposal{ID: fmt.Sprint(sim.rng.Uint64()), Changes: changes}
	if err := applyProposal(sim.state, &p); err != nil {
		sim.fail("%v", err)
	}
	var before *Version
	if len(sim.log) > 0 {
		before = sim.newest()
	}
	v := NewVersion(sim.state.Freeze(), before)
	sim.log = append(sim.log, v)
	sim.all = append(sim.all, v)
	sim.committed[v.Ref] = commitRecord{v, sim.now}
}

// applyProposal returns an error if the proposal is rejected.
func applyProposal(s *clusterconfig.State, p *clusterconfig.Proposal) error {
	entry, err := clusterconfig.EncodeProposal(p)
	if err != nil {
		return err
	}
	_, o, err := s.Apply(entry)
	if err == nil && !o.IsApplied {
		err = errors.New(o.RejectionReason)
	}
	return err
}

// commitRandomChange commits a plan, by chance one that no follower can serve, or the removal of a plan.
func (sim *simulation) commitRandomChange() {
	name := fmt.Sprintf("p%d", sim.rng.IntN(6))
	factor := float64(2 * (1 + sim.rng.IntN(50)))
	if sim.chance(0.2) {
		factors := []float64{rejectedFactor, rejectedFactor, checkCrashFactor, activationCrashFactor}
		factor = factors[sim.rng.IntN(4)]
	}
	if _, ok := sim.state.Get("plan", name); ok && sim.rng.IntN(4) == 0 {
		sim.commit(clusterconfig.Change{Op: "remove", Kind: "plan", Name: name})
		return
	}
	plan := clusterconfig.Plan{Rate: float64(len(sim.log)), Burst: 1, PriorityFactor: factor}
	sim.commit(clusterconfig.NewPutChange("plan", name, plan))
}

// restoreOldVersion restores the control service to an old version, in a new epoch.
func (sim *simulation) restoreOldVersion() {
	old := sim.log[sim.rng.IntN(len(sim.log))]
	sim.state = sim.stateOf(old)
	sim.log = sim.log[:old.Number]
	sim.commit(clusterconfig.NewPutChange("epoch", "epoch", sim.nextEpoch()))
	for _, m := range sim.members {
		m.applied = 0
		sim.startMember(m)
	}
}

// stateOf returns the state restored from a snapshot of a version.
func (sim *simulation) stateOf(v *Version) *clusterconfig.State {
	objects := map[string]json.RawMessage{}
	v.Tree.Root().Walk(func(key []byte, value json.RawMessage) bool {
		objects[string(key)] = value
		return false
	})
	text, err := json.Marshal(map[string]any{
		"format":  3,
		"version": v.Number,
		"hash":    v.Hash,
		"homes":   v.PlacementVersion,
		"places":  v.PlanOrder,
		"objects": objects,
	})
	if err != nil {
		sim.fail("%v", err)
	}
	s := clusterconfig.New(nil)
	if err := s.Restore(text); err != nil {
		sim.fail("%v", err)
	}
	return s
}

// nextEpoch returns an epoch that is later than the current one and those of all followers.
func (sim *simulation) nextEpoch() clusterconfig.Epoch {
	highest := sim.state.Epoch().Number
	for _, f := range sim.followers {
		if f.lastActivated != nil {
			highest = max(highest, f.lastActivated.Epoch.Number)
		}
	}
	return clusterconfig.Epoch{Number: highest + 1, ID: fmt.Sprint(sim.rng.Uint64())}
}
