package configstream

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
	"mulleinmux/internal/seedtest"
)

// forEachPlan calls f for each plan of a version.
func forEachPlan(v *Version, f func(key string, plan clusterconfig.Plan)) {
	v.Tree.Root().WalkPrefix([]byte("plan/"), func(key []byte, text json.RawMessage) bool {
		var plan clusterconfig.Plan
		if json.Unmarshal(text, &plan) == nil {
			f(string(key), plan)
		}
		return false
	})
}

func hasPlanWithPriorityFactor(v *Version, factor int) (found bool) {
	forEachPlan(v, func(_ string, plan clusterconfig.Plan) {
		found = found || int(plan.PriorityFactor) == factor
	})
	return found
}

// problemsOf returns the problems that a follower's check finds in a version.
func problemsOf(v *Version) (problems []Problem) {
	forEachPlan(v, func(key string, plan clusterconfig.Plan) {
		if int(plan.PriorityFactor) == rejectedFactor {
			object := strings.Replace(key, "/", " ", 1)
			problems = append(problems, Problem{Object: object, Field: "price", Text: "is odd"})
		}
	})
	return problems
}

// checkConfirmation fails the test if a follower's version is confirmed as of a time when a newer version had already
// been committed.
func (sim *simulation) checkConfirmation(f *simFollower) {
	at, ok := f.node.ConfirmedAt()
	if !ok {
		return
	}
	running := *f.node.Running()
	for ref, a := range sim.committed {
		if a.at < at && ref.Compare(running) == OrderNewer {
			const text = "%s: version %v is confirmed as the newest as of %v, but %v was committed at %v"
			sim.fail(text, f.name, running, at, ref, a.at)
		}
	}
}

// checkActivation fails the test unless a version that is put in force was committed and persisted, has no problems,
// was not rejected, and is not older than the previous version in force.
func (sim *simulation) checkActivation(f *simFollower, v *Version) {
	sim.activationCount++
	if problemsOf(v) != nil {
		sim.fail("%s: version %v is put in force, but its check must find problems", f.name, v.Ref)
	}
	committed := sim.committed[v.Ref].version
	if committed == nil {
		sim.fail("%s: version %v is put in force, but was never committed", f.name, v.Ref)
	}
	forEachDifference(committed.Tree, v.Tree, func(key []byte, _, _ json.RawMessage) {
		sim.fail("%s: version %v is put in force with an object %s that differs from the committed one", f.name, v.Ref, key)
	})
	if findRejection(f.disk.Rejections, v.Ref) != nil {
		sim.fail("%s: version %v is put in force, but was rejected", f.name, v.Ref)
	}
	isAccepted := f.disk.Accepted != nil && f.disk.Accepted.Ref == v.Ref
	isPrevious := f.disk.Accepted != nil && f.disk.Previous != nil && f.disk.Previous.Ref == v.Ref
	if !isAccepted && !isPrevious {
		sim.fail("%s: version %v is put in force, but was not persisted", f.name, v.Ref)
	}
	sim.checkActivationOrder(f, v)
	ref := v.Ref
	f.lastActivated, f.running = &ref, &ref
}

// checkActivationOrder fails the test if a version that is put in force is older than the previous one, unless that one
// was rejected. A follower with an empty disk must not put a version in force that is older than the newest committed
// one at its start.
func (sim *simulation) checkActivationOrder(f *simFollower, v *Version) {
	if f.lastActivated == nil {
		if v.Compare(f.newestAtStart) == OrderOlder && f.disk.StartCount == 1 {
			const text = "%s: version %v is put in force with an empty disk, older than %v, " +
				"the newest committed version at the start"
			sim.fail(text, f.name, v.Ref, f.newestAtStart)
		}
		return
	}
	isFallback := findRejection(f.disk.Rejections, *f.lastActivated) != nil
	if v.Compare(*f.lastActivated) == OrderOlder && !isFallback {
		sim.fail("%s: version %v is put in force after the newer version %v", f.name, v.Ref, *f.lastActivated)
	}
}

// run simulates a period with faults and one without, and checks that all followers have recovered at the end.
func (sim *simulation) run() {
	for _, m := range sim.members {
		sim.scheduleMember(m)
	}
	for _, f := range sim.followers {
		sim.scheduleFollower(f)
	}
	sim.every(150*time.Millisecond, func() {
		if sim.hasFaults && sim.rng.IntN(2) == 0 {
			sim.commitRandomChange()
		}
	})
	sim.after(time.Duration(2+sim.rng.IntN(5))*time.Second, func() {
		if sim.rng.IntN(3) == 0 {
			sim.restoreOldVersion()
		}
	})
	sim.after(simulatedFaultDuration, func() {
		sim.hasFaults = false
		sim.commitRandomChange() // all followers can serve it, unless an earlier unservable plan remains
	})
	sim.runUntil(simulatedDuration)
	for _, f := range sim.followers {
		sim.rejectionCount += len(f.node.Rejections())
		sim.checkRecovered(f)
	}
}

// checkRecovered fails the test unless a follower runs the newest version, or has rejected it for a valid reason, and
// all members report that status.
func (sim *simulation) checkRecovered(f *simFollower) {
	newest := sim.newest()
	isRejected := findRejection(f.node.Rejections(), newest.Ref) != nil
	isCurrent := f.running != nil && *f.running == newest.Ref
	isWronglyRejected := isRejected && problemsOf(newest) == nil && f.disk.StartCount < 2
	if !f.isUp || !isRejected && !isCurrent || isWronglyRejected {
		const text = "%s: got version %v in force after 8 s without faults, want %v " +
			"(rejected: %v, connected: %v, warning %q)"
		sim.fail(text, f.name, f.running, newest.Ref, isRejected, f.stream != nil, f.node.Warning())
	}
	if at, ok := f.node.ConfirmedAt(); !isRejected && (!ok || sim.now-at > time.Second) {
		sim.fail("%s: got confirmation as of %v (valid: %v), want one within the last second", f.name, at, ok)
	}
	for _, m := range sim.members {
		st := m.publisher.status(sim.now, f.name)
		showsRunning := fmt.Sprint(st.Running) == fmt.Sprint(f.running)
		showsState := f.running == nil || st.State == StateRunning
		showsRejection := st.LatestRejection != nil && st.LatestRejection.Ref == newest.Ref
		if !showsRunning || !showsState || st.NameConflict != "" || showsRejection != isRejected {
			sim.fail("member %d: got status of %s %+v, but version %v is in force", m.id, f.name, st, f.running)
		}
	}
}

// Members, followers and a network with faults, simulated from many seeds, keep the rules. A failing seed can be
// replayed exactly.
func TestSeeds(t *testing.T) {
	t.Parallel()
	seeds := 2000
	if raceEnabled || testing.Short() {
		seeds = 150
	}
	type counts struct{ activations, rejections int }
	results := seedtest.Collect(t, 0, uint64(seeds), func(t *testing.T, seed uint64) counts {
		sim := newSimulation(t, seed, simulatedFollowers)
		sim.run()
		return counts{sim.activationCount, sim.rejectionCount}
	})
	activations, rejections := 0, 0
	for _, result := range results {
		activations += result.activations
		rejections += result.rejections
	}
	t.Logf("%d seeds: %d versions put in force, %d rejections retained", seeds, activations, rejections)
	if activations < 10*seeds || rejections < seeds {
		t.Errorf("too few versions were put in force or rejected for the number of seeds")
	}
}
