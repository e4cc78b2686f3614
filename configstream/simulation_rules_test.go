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

func hasPlanWithPrice(v *Version, price int) (found bool) {
	forEachPlan(v, func(_ string, plan clusterconfig.Plan) {
		found = found || int(plan.PriorityFactor) == price
	})
	return found
}

// problemsOf returns what a follower's check finds in a version.
func problemsOf(v *Version) (problems []Problem) {
	forEachPlan(v, func(key string, plan clusterconfig.Plan) {
		if int(plan.PriorityFactor) == rejectedPrice {
			object := strings.Replace(key, "/", " ", 1)
			problems = append(problems, Problem{Object: object, Field: "price", Text: "is odd"})
		}
	})
	return problems
}

// checkConfirmation fails the test if a follower holds its version for confirmed as of a time when something newer had
// been agreed on.
func (sim *simulation) checkConfirmation(f *simFollower) {
	at, ok := f.node.ConfirmedAt()
	if !ok {
		return
	}
	running := *f.node.Running()
	for ref, a := range sim.agreed {
		if a.at < at && ref.Compare(running) == OrderNewer {
			const text = "%s holds %v for the newest as of %v, and %v was agreed on at %v"
			sim.fail(text, f.name, running, at, ref, a.at)
		}
	}
}

// checkActivation fails the test unless a version that is put in force was agreed on and persisted, is good, was never
// rejected, and is not older than what was in force.
func (sim *simulation) checkActivation(f *simFollower, v *Version) {
	sim.activationCount++
	if problemsOf(v) != nil {
		sim.fail("%s: version %v is put in force and is none that it can serve", f.name, v.Ref)
	}
	agreed := sim.agreed[v.Ref].version
	if agreed == nil {
		sim.fail("%s: version %v is put in force and was never agreed on", f.name, v.Ref)
	}
	forEachDifference(agreed.Tree, v.Tree, func(key []byte, _, _ json.RawMessage) {
		sim.fail("%s: version %v is put in force with another %s than was agreed on", f.name, v.Ref, key)
	})
	if findRejection(f.disk.Rejections, v.Ref) != nil {
		sim.fail("%s: version %v was rejected and is put in force", f.name, v.Ref)
	}
	isAccepted := f.disk.Accepted != nil && f.disk.Accepted.Ref == v.Ref
	isPrevious := f.disk.Accepted != nil && f.disk.Previous != nil && f.disk.Previous.Ref == v.Ref
	if !isAccepted && !isPrevious {
		sim.fail("%s: version %v is put in force and was not persisted", f.name, v.Ref)
	}
	sim.checkActivationOrder(f, v)
	ref := v.Ref
	f.newest, f.running = &ref, &ref
}

// checkActivationOrder fails the test if a version that is put in force is older than what was, unless that could not
// be put in force, or older than what was agreed on when a follower with nothing persisted began.
func (sim *simulation) checkActivationOrder(f *simFollower, v *Version) {
	if f.newest == nil {
		if v.Compare(f.firstRef) == OrderOlder && f.disk.StartCount == 1 {
			const text = "%s: with nothing persisted it takes version %v, older than %v " +
				"that was agreed on when it began"
			sim.fail(text, f.name, v.Ref, f.firstRef)
		}
		return
	}
	isFallback := findRejection(f.disk.Rejections, *f.newest) != nil
	if v.Compare(*f.newest) == OrderOlder && !isFallback {
		sim.fail("%s: version %v is put in force after %v", f.name, v.Ref, *f.newest)
	}
}

// run runs a seed: faults for a while, then quiet until all must be well.
func (sim *simulation) run() {
	for _, m := range sim.members {
		sim.scheduleMember(m)
	}
	for _, f := range sim.followers {
		sim.scheduleFollower(f)
	}
	sim.every(150*time.Millisecond, func() {
		if sim.hasFaults && sim.rng.IntN(2) == 0 {
			sim.agreeOnRandomChange()
		}
	})
	sim.after(time.Duration(2+sim.rng.IntN(5))*time.Second, func() {
		if sim.rng.IntN(3) == 0 {
			sim.restoreOldVersion()
		}
	})
	sim.after(simulatedFaultDuration, func() {
		sim.hasFaults = false
		sim.agreeOnRandomChange() // one that all can serve, unless a bad plan stands
	})
	sim.runUntil(simulatedDuration)
	for _, f := range sim.followers {
		sim.rejectionCount += len(f.node.Rejections())
		sim.checkRecovered(f)
	}
}

// checkRecovered fails the test unless a follower runs the newest version, or has rejected it with reason, and all
// members know.
func (sim *simulation) checkRecovered(f *simFollower) {
	newest := sim.newest()
	isRejected := findRejection(f.node.Rejections(), newest.Ref) != nil
	isCurrent := f.running != nil && *f.running == newest.Ref
	isWronglyRejected := isRejected && problemsOf(newest) == nil && f.disk.StartCount < 2
	if !f.isUp || !isRejected && !isCurrent || isWronglyRejected {
		const text = "%s runs %v after 8 s without faults, and %v is agreed on " +
			"(rejected: %v, connected: %v, warning %q)"
		sim.fail(text, f.name, f.running, newest.Ref, isRejected, f.stream != nil, f.node.Warning())
	}
	if at, ok := f.node.ConfirmedAt(); !isRejected && (!ok || sim.now-at > time.Second) {
		sim.fail("%s: confirmed at %v: %v", f.name, at, ok)
	}
	for _, m := range sim.members {
		st := m.publisher.status(sim.now, f.name)
		showsRunning := fmt.Sprint(st.Running) == fmt.Sprint(f.running)
		showsState := f.running == nil || st.State == StateRunning
		showsRejection := st.LatestRejection != nil && st.LatestRejection.Ref == newest.Ref
		if !showsRunning || !showsState || st.NameConflict != "" || showsRejection != isRejected {
			sim.fail("member %d says of %s: %+v; it runs %v", m.id, f.name, st, f.running)
		}
	}
}

// Seeds of members, followers and a network with faults. A failing seed replays exactly.
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
		t.Errorf("too little happens")
	}
}
