package multisite

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func healthConfig(me uint64) HealthConfig {
	return HealthConfig{InstanceID: me, MinMisses: 3, LossTimeout: 500 * time.Millisecond, ViewTTL: time.Second, RecoveryDelay: time.Second,
		MaxRecoveryDelay: 8 * time.Second, LossWindow: time.Minute, WarmUpWindow: 5 * time.Second}
}

// world plays instances that attempt, tell each other and agree. Each has a clock of its own.
type healthWorld struct {
	rng     *rand.Rand
	now     time.Duration
	halls   []string
	members []uint64
	skew    map[uint64]time.Duration
	health  map[uint64]*HealthMonitor
	reach   map[uint64]map[string]bool // whether an instance reaches a hall
	hears   map[[2]uint64]bool         // whether one hears another
	paused  map[uint64]bool
	near    map[string][]uint64 // by hall: members that reach it themselves; nil: all do
	lost    map[string]int
	changes int
	lossOf  map[string]int
	carry   map[string]float64 // what each hall can carry; 0: the instances don't know
	errs    []string
}

func newHealthWorld(seed uint64, members int, halls ...string) *healthWorld {
	w := &healthWorld{rng: rand.New(rand.NewPCG(seed, 7)), halls: halls, skew: map[uint64]time.Duration{}, health: map[uint64]*HealthMonitor{},
		reach: map[uint64]map[string]bool{}, hears: map[[2]uint64]bool{}, paused: map[uint64]bool{}, lossOf: map[string]int{}, lost: map[string]int{}, carry: map[string]float64{}}
	for id := uint64(1); id <= uint64(members); id++ {
		w.members = append(w.members, id)
		w.skew[id] = time.Duration(w.rng.IntN(7200)) * time.Second
	}
	for _, id := range w.members {
		h, err := NewHealthMonitor(healthConfig(id))
		if err != nil {
			panic(err)
		}
		w.health[id], w.reach[id] = h, map[string]bool{}
		for _, hall := range halls {
			w.reach[id][hall] = true
		}
		for _, o := range w.members {
			w.hears[[2]uint64{id, o}] = true
		}
	}
	w.agree()
	return w
}

func (w *healthWorld) at(id uint64) time.Duration { return w.now + w.skew[id] }

func (w *healthWorld) agree() {
	var halls []Site
	for _, name := range w.halls {
		halls = append(halls, Site{Name: name, IsOpen: true})
	}
	for _, id := range w.members {
		w.health[id].ApplyAgreed(w.at(id), halls, w.lost, w.members)
	}
}

// reaches tells whether what a member sends to a hall is answered: one of another site goes by way of those that
// reach the hall themselves.
func (w *healthWorld) reaches(id uint64, hall string) bool {
	if !w.isFar(id, hall) {
		return w.reach[id][hall]
	}
	return w.reach[id][hall] && slices.ContainsFunc(w.near[hall], func(o uint64) bool { return w.reach[o][hall] && !w.paused[o] })
}

func (w *healthWorld) isFar(id uint64, hall string) bool {
	return w.near[hall] != nil && !slices.Contains(w.near[hall], id)
}

// step is 20 ms: some attempts, words, and the judgement of the one that leads.
func (w *healthWorld) step(leader uint64) {
	w.now += 20 * time.Millisecond
	for _, id := range w.members {
		if w.paused[id] {
			continue
		}
		h := w.health[id]
		for _, hall := range w.halls {
			h.SetRemote(hall, w.isFar(id, hall))
			switch w.rng.IntN(3) {
			case 0:
				if w.reaches(id, hall) {
					h.RecordAnswer(w.at(id), hall)
				} else {
					h.RecordMiss(w.at(id), hall, w.at(id)-250*time.Millisecond)
				}
			case 1: // one that was lost says nothing where others are answered
				if w.reaches(id, hall) && w.rng.IntN(10) == 0 {
					h.RecordAnswer(w.at(id)-5*time.Millisecond, hall)
					h.RecordMiss(w.at(id), hall, w.at(id)-250*time.Millisecond)
				}
			}
		}
		for _, hall := range w.halls {
			if !w.isFar(id, hall) {
				h.RecordCapacity(hall, w.carry[hall])
			}
		}
		views := h.Views(w.at(id))
		for _, to := range w.members {
			if to != id && !w.paused[to] && w.hears[[2]uint64{to, id}] && w.rng.IntN(10) > 0 {
				w.health[to].Receive(w.at(to), id, views)
			}
		}
	}
	if w.paused[leader] {
		return
	}
	c, ok := w.health[leader].ProposeChange(w.at(leader))
	if !ok {
		return
	}
	w.changes++
	reaches := 0
	for _, id := range w.members {
		if w.reach[id][c.Site] {
			reaches++
		}
	}
	part, is := w.lost[c.Site]
	if c.IsLost && is && part == 0 || !c.IsLost && (!is || c.KeyEighths > 0 && c.KeyEighths <= part) {
		w.errs = append(w.errs, fmt.Sprintf("%v: %+v, and it was so", w.now, c))
	}
	if c.IsLost {
		w.lost[c.Site] = 0
		w.lossOf[c.Site]++
	} else if c.KeyEighths > 0 {
		w.lost[c.Site] = c.KeyEighths
	} else {
		delete(w.lost, c.Site)
	}
	if none := len(w.halls) - w.gone(); none == 0 {
		w.errs = append(w.errs, fmt.Sprintf("%v: every hall is lost", w.now))
	}
	w.agree()
}

// gone counts the halls that take no keys.
func (w *healthWorld) gone() (n int) {
	for _, part := range w.lost {
		if part == 0 {
			n++
		}
	}
	return n
}

func (w *healthWorld) run(leader uint64, d time.Duration, until func() bool) time.Duration {
	began := w.now
	for w.now-began < d && !until() {
		w.step(leader)
	}
	return w.now - began
}

func (w *healthWorld) setHall(hall string, up bool) {
	for _, id := range w.members {
		w.reach[id][hall] = up
	}
}

// A hall that is silent to all is lost within a bound, and back within one that doubles with each loss.
func TestHallLostAndBack(t *testing.T) {
	w := newHealthWorld(1, 3, "a", "b")
	isLost := func() bool { _, is := w.lost["a"]; return is }
	w.run(1, 2*time.Second, isLost)
	if isLost() {
		t.Fatal("lost without a cause")
	}
	for i, hold := range []time.Duration{1, 2, 4, 8, 8} {
		w.setHall("a", false)
		if d := w.run(1, 5*time.Second, isLost); !isLost() || d > 1200*time.Millisecond {
			t.Fatalf("loss %d was agreed on after %v", i, d)
		}
		if s := w.health[2].State(w.at(2), "a"); s != SiteLost {
			t.Errorf("state %v", s)
		}
		w.setHall("a", true)
		w.run(1, 300*time.Millisecond, func() bool { return false })
		if s := w.health[2].State(w.at(2), "a"); s != SiteRecovering {
			t.Errorf("state %v", s)
		}
		d := 300*time.Millisecond + w.run(1, 20*time.Second, func() bool { return !isLost() })
		if isLost() || d < hold*time.Second || d > hold*time.Second+800*time.Millisecond {
			t.Fatalf("return %d was agreed on after %v, want %v", i, d, hold*time.Second)
		}
		if s := w.health[2].State(w.at(2), "a"); s != SiteWarmingUp {
			t.Errorf("state %v", s)
		}
	}
	w.run(1, 6*time.Second, func() bool { return false })
	if s := w.health[2].State(w.at(2), "a"); s != SiteHealthy {
		t.Errorf("state %v", s)
	}
	for _, e := range w.errs {
		t.Error(e)
	}
}

// What a minority meets is a fault of the way there: homes stay, and the state says so.
func TestCutOffIsNoLoss(t *testing.T) {
	for name, c := range map[string]struct{ members, cut int }{"one of three": {3, 1}, "half": {4, 2}, "two of five": {5, 2}} {
		w := newHealthWorld(2, c.members, "a", "b")
		w.run(1, time.Second, func() bool { return false })
		for i := range c.cut {
			w.reach[w.members[i]]["a"] = false
		}
		w.run(1, 10*time.Second, func() bool { return len(w.lost) > 0 })
		if len(w.lost) > 0 {
			t.Errorf("%s: lost to a minority", name)
		}
		if s := w.health[1].State(w.at(1), "a"); s != SitePartitioned {
			t.Errorf("%s: state there %v", name, s)
		}
		if s := w.health[uint64(c.members)].State(w.at(uint64(c.members)), "a"); s != SiteHealthy {
			t.Errorf("%s: state elsewhere %v", name, s)
		}
	}
}

// Silence that is known from old words, or from a member that is no longer one, counts for nothing.
func TestOldViewsDontCount(t *testing.T) {
	w := newHealthWorld(3, 3, "a", "b")
	w.run(1, time.Second, func() bool { return false })
	w.reach[1]["a"], w.reach[2]["a"] = false, false
	w.run(3, 400*time.Millisecond, func() bool { return false })
	w.paused[2] = true
	w.run(1, 5*time.Second, func() bool { return len(w.lost) > 0 })
	if len(w.lost) > 0 {
		t.Error("lost by one view and an old one")
	}
	h := w.health[1]
	h.Receive(w.at(1), 9, []SiteView{{"a", true, time.Hour, 0, false}})
	h.Receive(w.at(1), 1, []SiteView{{"a", true, time.Hour, 0, false}})
	if _, ok := h.ProposeChange(w.at(1)); ok || len(h.others) > 2 {
		t.Error("a stranger's view, or its own that came back, counts")
	}
	// The same by hand: a view of a second ago is none.
	h, _ = NewHealthMonitor(healthConfig(1))
	h.ApplyAgreed(0, []Site{{Name: "a", IsOpen: true}, {Name: "b", IsOpen: true}}, nil, []uint64{1, 2, 3})
	h.Receive(time.Second, 2, []SiteView{{"a", true, time.Minute, 0, false}, {"b", false, time.Minute, 0, false}})
	for at := 1500 * time.Millisecond; at < 3*time.Second; at += 100 * time.Millisecond {
		h.RecordMiss(at, "a", at-50*time.Millisecond)
		h.RecordAnswer(at, "b")
		h.Receive(at, 3, []SiteView{{"b", false, time.Minute, 0, false}})
		if _, ok := h.ProposeChange(at); ok && at > 2*time.Second {
			t.Errorf("%v: lost by a view that is out of date", at)
		}
	}
}

// Nothing asked, nothing known: a hall is not lost for want of requests.
func TestQuietIsNotSilent(t *testing.T) {
	h, _ := NewHealthMonitor(healthConfig(1))
	h.ApplyAgreed(0, []Site{{Name: "a", IsOpen: true}, {Name: "b", IsOpen: true}}, nil, []uint64{1})
	h.RecordAnswer(time.Second, "a")
	h.RecordAnswer(time.Second, "b")
	if _, ok := h.ProposeChange(time.Hour); ok || h.State(time.Hour, "a") != SiteHealthy {
		t.Error("judged by nothing")
	}
	h.RecordMiss(1100*time.Millisecond, "b", 1050*time.Millisecond)
	if h.State(1100*time.Millisecond, "b") != SiteHealthy {
		t.Error("one attempt without an answer is no silence")
	}
	for range 9 { // all sent before it was last heard
		h.RecordMiss(1100*time.Millisecond, "a", 900*time.Millisecond)
	}
	if h.State(1200*time.Millisecond, "a") != SiteHealthy {
		t.Error("an old attempt counts against a newer answer")
	}
}

// The last hall is not given up.
func TestLastHallStays(t *testing.T) {
	w := newHealthWorld(4, 3, "a", "b")
	w.run(1, time.Second, func() bool { return false })
	w.setHall("a", false)
	w.setHall("b", false)
	w.run(1, 10*time.Second, func() bool { return false })
	if len(w.lost) > 0 {
		t.Errorf("lost %v while nothing else answers", w.lost)
	}
	w.setHall("b", true)
	w.run(1, 5*time.Second, func() bool { return len(w.lost) > 0 })
	if _, is := w.lost["a"]; !is || len(w.lost) != 1 {
		t.Errorf("lost %v after b answers again", w.lost)
	}
}

// TestHealthSeeds plays faults from a seed: halls that flap, ways that break, lost words, pauses and changes of
// the lead. Whatever happens, not every hall is lost, nothing is proposed twice, and a flapping hall changes
// the homes no more often than its hold allows; and once the faults end, all halls are back.
func TestHealthSeeds(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() || raceEnabled {
		seeds = 60
	}
	for seed := range seeds {
		w := newHealthWorld(seed, 3+int(seed%3), "a", "b", "c")
		if seed%2 == 1 { // two sites; c is reached from both
			w.near = map[string][]uint64{"a": {1, 2}, "b": {3, 4, 5}}
		}
		leader := uint64(1)
		for w.now < 60*time.Second {
			switch w.rng.IntN(6) {
			case 0, 1:
				w.setHall(w.halls[w.rng.IntN(3)], w.rng.IntN(2) == 0)
			case 2:
				id := w.members[w.rng.IntN(len(w.members))]
				w.reach[id][w.halls[w.rng.IntN(3)]] = w.rng.IntN(2) == 0
			case 3:
				w.carry[w.halls[w.rng.IntN(3)]] = float64(w.rng.IntN(6))
				w.paused[w.members[w.rng.IntN(len(w.members))]] = w.rng.IntN(2) == 0
			case 4:
				a, b := w.members[w.rng.IntN(len(w.members))], w.members[w.rng.IntN(len(w.members))]
				w.hears[[2]uint64{a, b}] = w.rng.IntN(2) == 0
			default:
				leader = w.members[w.rng.IntN(len(w.members))]
			}
			w.run(leader, time.Duration(w.rng.IntN(1500))*time.Millisecond, func() bool { return false })
		}
		// Holds of 1, 2, 4, 8, 8 ... s while losses are of late: 10 in a minute at the most.
		for hall, n := range w.lossOf {
			if n > 10 {
				t.Errorf("seed %d: %s was lost %d times in a minute", seed, hall, n)
			}
		}
		for _, id := range w.members {
			w.paused[id] = false
			for _, o := range w.members {
				w.hears[[2]uint64{id, o}] = true
			}
		}
		for _, hall := range w.halls {
			w.setHall(hall, true)
			w.carry[hall] = 5
		}
		if w.run(leader, 30*time.Second, func() bool { return len(w.lost) == 0 }); len(w.lost) > 0 {
			t.Errorf("seed %d: %v still lost", seed, w.lost)
		}
		for _, e := range w.errs {
			t.Errorf("seed %d: %s", seed, e)
		}
		if t.Failed() {
			return
		}
	}
}

// A hall of one site is lost when those that reach it say so, to the others as well; not when the way between the sites
// breaks, when its site says nothing or when one that reaches it hears it.
func TestHallOfOneSite(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(w *healthWorld)
		lost  bool
		state SiteState // as the other site sees it
		few   bool      // its own site has a minority
	}{
		{"silent to its own site", func(w *healthWorld) { w.reach[1]["a"], w.reach[2]["a"] = false, false }, true, SiteLost, false},
		{"silent to one of its site", func(w *healthWorld) { w.reach[1]["a"] = false }, false, SiteHealthy, false},
		{"the way between the sites is cut", func(w *healthWorld) { w.reach[3]["a"], w.reach[4]["a"] = false, false }, false, SitePartitioned, false},
		{"the way is cut, and most are at the other side", func(w *healthWorld) { w.reach[2]["a"], w.reach[3]["a"], w.reach[4]["a"] = false, false, false }, false, SitePartitioned, true},
		{"its site is gone", func(w *healthWorld) { w.paused[1], w.paused[2] = true, true }, false, SitePartitioned, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newHealthWorld(3, 4, "a", "b")
			if w.near = map[string][]uint64{"a": {1, 2}, "b": {3, 4}}; c.few {
				w.near = map[string][]uint64{"a": {1}, "b": {2, 3, 4}}
			}
			w.run(3, 2*time.Second, func() bool { return false })
			c.fault(w)
			w.run(3, 2*time.Second, func() bool { return false })
			if _, lost := w.lost["a"]; lost != c.lost {
				t.Errorf("lost %v, want %v", lost, c.lost)
			}
			if s := w.health[4].State(w.at(4), "a"); s != c.state {
				t.Errorf("seen as %v from the other site, want %v", s, c.state)
			}
			for _, id := range w.members {
				w.paused[id] = false
			}
			w.setHall("a", true)
			if w.run(3, 4*time.Second, func() bool { return len(w.lost) == 0 }); len(w.lost) > 0 {
				t.Error("it is not back")
			}
		})
	}
}

// A hall that comes back takes keys by what it can carry beside the others, and all of them once it carries
// what they do. One that falls silent on the way is lost again.
func TestReturnByWhatItCarries(t *testing.T) {
	w := newHealthWorld(5, 3, "a", "b")
	w.carry["a"], w.carry["b"] = 5, 5
	w.run(1, time.Second, func() bool { return false })
	w.setHall("a", false)
	w.run(1, 2*time.Second, func() bool { return len(w.lost) > 0 })
	w.carry["a"] = 0.9 // cold
	w.setHall("a", true)
	w.run(1, 3*time.Second, func() bool { return w.lost["a"] > 0 })
	if w.lost["a"] != 2 { // as busy as the other: 0.9 of 5.9 servers, of two halls
		t.Fatalf("back with %d of 8", w.lost["a"])
	}
	if s := w.health[3].State(w.at(3), "a"); s != SiteWarmingUp {
		t.Errorf("state %v", s)
	}
	for _, c := range []struct {
		carry float64
		part  int
	}{{2.5, 5}, {1, 5}, {3.8, 7}} { // what has come back stays, as long as the hall answers
		w.carry["a"] = c.carry
		w.run(1, 3*time.Second, func() bool { return false })
		if w.lost["a"] != c.part {
			t.Errorf("carries %v of 5: %d of 8, want %d", c.carry, w.lost["a"], c.part)
		}
	}
	w.setHall("a", false)
	w.run(1, 2*time.Second, func() bool { return w.lost["a"] == 0 })
	if part, is := w.lost["a"]; !is || part != 0 {
		t.Errorf("silent while it came back: %d, %v", part, is)
	}
	w.setHall("a", true)
	w.carry["a"] = 5
	if d := w.run(1, 5*time.Second, func() bool { return len(w.lost) == 0 }); len(w.lost) > 0 || d < 2*time.Second {
		t.Errorf("after %v: %v; the second loss doubles the hold", d, w.lost)
	}
	for _, e := range w.errs {
		t.Error(e)
	}
}

// A part takes that share of the hall's keys; a larger one takes the same and more; no key moves between other halls.
func TestPartsOfKeys(t *testing.T) {
	homes := func(open bool, part int) []string {
		h := OwnershipEpoch{Sites: []Site{{Name: "a", IsOpen: open, KeyEighths: part}, {Name: "b", IsOpen: true}, {Name: "c", IsOpen: true}}}
		out := make([]string, 30000)
		for i := range out {
			out[i] = h.home(uint64(i) * 0x9e3779b97f4a7c15)
		}
		return out
	}
	without, whole := homes(false, 0), homes(true, 0)
	before := without
	for part := 1; part <= 8; part++ {
		now := homes(true, part%8)
		n := 0
		for i := range now {
			if now[i] != before[i] && now[i] != "a" || now[i] != "a" && now[i] != without[i] || now[i] == "a" && whole[i] != "a" {
				t.Fatalf("part %d: key %d went from %s to %s (without the hall %s, with it %s)", part, i, before[i], now[i], without[i], whole[i])
			}
			if now[i] == "a" {
				n++
			}
		}
		if want := 10000 * part / 8; n < want*9/10 || n > want*11/10 {
			t.Errorf("part %d: %d keys of about %d", part, n, want)
		}
		before = now
	}
	// With no hall that takes a key in whole, each still has a home.
	h := OwnershipEpoch{Sites: []Site{{Name: "a", IsOpen: true, KeyEighths: 1}, {Name: "b", IsOpen: true, KeyEighths: 1}}}
	for key := range uint64(1000) {
		if h.home(key) == "" {
			t.Fatal("no home")
		}
	}
}
