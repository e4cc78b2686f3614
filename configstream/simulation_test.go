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

// simulation runs members, followers and a network between them from a seed, on a virtual clock.
type simulation struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Duration
	queue     eventqueue.Queue
	lastEvent int // its order
	hasFaults bool
	members   []*simMember
	followers []*simFollower
	lastID    uint64 // of streams

	state  *clusterconfig.State
	log    []*Version // agreed on, by number from 1; of the newest epoch
	agreed map[Ref]agreement
	all    []*Version // agreed on in all epochs

	activationCount int
	rejectionCount  int
}

// agreement is a version that was agreed on, and when.
type agreement struct {
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

// Prices of plans that no follower can serve.
const (
	rejectedPrice        = 1 // a check finds it
	checkCrashPrice      = 3 // ends the process that checks it
	activationCrashPrice = 5 // ends the process that puts it in force
)

// newVersionLog returns a simulation without members and followers, for its log of versions.
func newVersionLog(t *testing.T, rng *rand.Rand) *simulation {
	return &simulation{t: t, rng: rng, state: clusterconfig.New(nil), agreed: map[Ref]agreement{}}
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
	sim.agree(append(changes, clusterconfig.NewPutChange("epoch", "epoch", epoch))...)
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

// every schedules an event at each interval, from a random phase on.
func (sim *simulation) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); sim.after(d, again) }
	sim.after(sim.randomDuration(d), again)
}

// runUntil runs the events up to a time.
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

// chance reports whether a fault with a probability happens.
func (sim *simulation) chance(p float64) bool { return sim.hasFaults && sim.rng.Float64() < p }

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d, %v: %s", sim.seed, sim.now, fmt.Sprintf(format, args...))
}

// newest returns the newest version that is agreed on.
func (sim *simulation) newest() *Version { return sim.log[len(sim.log)-1] }

// agree adds a version to the log.
func (sim *simulation) agree(changes ...clusterconfig.Change) {
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
	sim.agreed[v.Ref] = agreement{v, sim.now}
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

// agreeOnRandomChange agrees on a plan, by chance one that no follower can serve, or on the removal of one.
func (sim *simulation) agreeOnRandomChange() {
	name := fmt.Sprintf("p%d", sim.rng.IntN(6))
	price := float64(2 * (1 + sim.rng.IntN(50)))
	if sim.chance(0.2) {
		prices := []float64{rejectedPrice, rejectedPrice, checkCrashPrice, activationCrashPrice}
		price = prices[sim.rng.IntN(4)]
	}
	if _, ok := sim.state.Get("plan", name); ok && sim.rng.IntN(4) == 0 {
		sim.agree(clusterconfig.Change{Op: "remove", Kind: "plan", Name: name})
		return
	}
	plan := clusterconfig.Plan{Rate: float64(len(sim.log)), Burst: 1, PriorityFactor: price}
	sim.agree(clusterconfig.NewPutChange("plan", name, plan))
}

// restoreOldVersion has the service go back to an old version, in a new epoch.
func (sim *simulation) restoreOldVersion() {
	old := sim.log[sim.rng.IntN(len(sim.log))]
	sim.state = sim.stateOf(old)
	sim.log = sim.log[:old.Number]
	sim.agree(clusterconfig.NewPutChange("epoch", "epoch", sim.nextEpoch()))
	for _, m := range sim.members {
		m.applied = 0
		sim.startMember(m)
	}
}

// stateOf returns the state that a snapshot of a version restores.
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

// nextEpoch returns an epoch later than all that followers know.
func (sim *simulation) nextEpoch() clusterconfig.Epoch {
	highest := sim.state.Epoch().Number
	for _, f := range sim.followers {
		if f.newest != nil {
			highest = max(highest, f.newest.Epoch.Number)
		}
	}
	return clusterconfig.Epoch{Number: highest + 1, ID: fmt.Sprint(sim.rng.Uint64())}
}
