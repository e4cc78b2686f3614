package multisite

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// rampWorld plays instances that share a hall's ramp over a network that loses, delays, repeats and reorders.
type rampWorld struct {
	rng     *rand.Rand
	now     time.Duration
	members []uint64
	ramps   map[uint64]*RecoveryRamp
	skew    map[uint64]time.Duration
	starts  map[uint64]uint64
	paused  map[uint64]bool
	demand  map[uint64]float64 // share of the ramp that an instance could use; 0: it does not reach the hall
	faults  bool
	way     []rampLetter
}

type rampLetter struct {
	at       time.Duration
	from, to uint64
	word     RampMessage
}

const rampHallName = "a"

func newRampWorld(seed uint64, n int) *rampWorld {
	w := &rampWorld{rng: rand.New(rand.NewPCG(seed, 11)), ramps: map[uint64]*RecoveryRamp{}, skew: map[uint64]time.Duration{}, starts: map[uint64]uint64{},
		paused: map[uint64]bool{}, demand: map[uint64]float64{}}
	for id := uint64(1); id <= uint64(n); id++ {
		w.members = append(w.members, id)
		w.skew[id] = time.Duration(w.rng.IntN(7200)) * time.Second
	}
	for _, id := range w.members {
		w.start(id)
	}
	return w
}

func (w *rampWorld) at(id uint64) time.Duration { return w.now + w.skew[id] }

func (w *rampWorld) start(id uint64) {
	w.starts[id]++
	r, err := NewRecoveryRamp(RampConfig{InstanceID: id, Incarnation: w.starts[id], LoanTTL: 500 * time.Millisecond, LoadTTL: time.Second, BudgetMultiple: 1.25})
	if err != nil {
		panic(err)
	}
	w.ramps[id] = r
	w.agree(id)
}

func (w *rampWorld) agree(id uint64) {
	w.ramps[id].ApplyAgreed(w.at(id), []Site{{Name: rampHallName, IsOpen: true}}, w.members)
}

// step is 20 ms. It returns what all shares add up to at the most, looked at after each event.
func (w *rampWorld) step() (most float64) {
	look := func() {
		sum := 0.0
		for id, r := range w.ramps {
			sum += r.Share(w.at(id), rampHallName) // a paused one as well: it may wake at any moment
		}
		most = max(most, sum)
	}
	for range 10 {
		w.now += 2 * time.Millisecond
		left := w.way[:0:0]
		for _, l := range w.way {
			if l.at > w.now || w.paused[l.to] {
				left = append(left, l)
			} else if r := w.ramps[l.to]; r != nil {
				r.Receive(w.at(l.to), l.from, l.word)
				look()
			}
		}
		w.way = left
	}
	for _, id := range w.members {
		if w.paused[id] {
			continue
		}
		r := w.ramps[id]
		c := WarmUpLoad{}
		if d := w.demand[id]; d > 0 {
			sent := min(d, r.Share(w.at(id), rampHallName)) * 0.02
			c = WarmUpLoad{ServerWeight: 1 / 1.25, SentWork: sent, RejectedWork: d*0.02 - sent}
		}
		r.RecordWarmUpLoad(w.at(id), rampHallName, c)
		word := r.NextBroadcast(w.at(id), nil)
		look()
		for _, to := range w.members {
			if to == id {
				continue
			}
			for copies := 1; copies > 0; copies-- {
				late := time.Duration(1+w.rng.IntN(3)) * time.Millisecond
				if w.faults {
					switch w.rng.IntN(8) {
					case 0:
						continue // lost
					case 1:
						late = time.Duration(w.rng.IntN(900)) * time.Millisecond
					case 2:
						copies++
					}
				}
				w.way = append(w.way, rampLetter{w.now + late, id, to, word})
			}
		}
	}
	return most
}

// Whatever is lost, late, repeated, paused, restarted, joined or gone: shares never add up to more than one.
func TestRampSeeds(t *testing.T) {
	seeds := 1000
	if raceEnabled {
		seeds = 60
	}
	full := 0
	for seed := range uint64(seeds) {
		w := newRampWorld(seed, 2+int(seed%4))
		w.faults = true
		for n := range 150 {
			id := w.members[w.rng.IntN(len(w.members))]
			switch x := w.rng.IntN(200); {
			case x < 20:
				w.demand[id] = w.rng.Float64() * float64(w.rng.IntN(2))
			case x < 24:
				w.paused[id] = true
			case x < 40:
				w.paused[id] = false
			case x == 41 && !w.paused[id]: // killed and at once back
				w.start(id)
			case x == 42 && len(w.members) < 6: // one more; the others learn of it in their time
				w.members = append(w.members, uint64(len(w.skew)+1))
				w.skew[uint64(len(w.skew)+1)] = time.Duration(w.rng.IntN(7200)) * time.Second
				w.start(uint64(len(w.skew)))
				for _, o := range w.members {
					w.agree(o)
				}
			}
			if most := w.step(); most > 1+1e-9 {
				t.Fatalf("seed %d, step %d: the shares add up to %.4f", seed, n, most)
			} else if most > 0.97 {
				full++
			}
		}
	}
	if full < seeds*8 {
		t.Errorf("the whole was in use in %d steps of %d alone: nothing was put to the test", full, seeds*150)
	}
}

// What instances that reach no cold server own goes to those that do, by what they need, within a quarter of a second,
// and comes back.
func TestRampIsLent(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand []float64 // by member
		least  []float64
	}{
		{"one of four reaches the hall", []float64{1, 0, 0, 0}, []float64{0.97, 0, 0, 0}},
		{"two of four", []float64{1, 1, 0, 0}, []float64{0.48, 0.48, 0, 0}},
		{"one needs little", []float64{0.1, 1, 0, 0}, []float64{0.1, 0.8, 0, 0}},
		{"all of three", []float64{1, 1, 1}, []float64{0.33, 0.33, 0.33}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newRampWorld(1, len(c.demand))
			for range 40 {
				w.step() // so that all own what is theirs
			}
			for i, d := range c.demand {
				w.demand[uint64(i+1)] = d
			}
			for range 60 {
				w.step()
			}
			for i, least := range c.least {
				if got := w.ramps[uint64(i+1)].Share(w.at(uint64(i+1)), rampHallName); got < least {
					t.Errorf("member %d has %.3f, at least %.2f is wanted", i+1, got, least)
				}
			}
			clear(w.demand)
			for range 60 {
				w.step()
			}
			for _, id := range w.members {
				if got, want := w.ramps[id].Share(w.at(id), rampHallName), 1/float64(len(w.members)); got < want-1e-9 || got > want+1e-9 {
					t.Errorf("member %d has %.3f after all, want its own %.3f back", id, got, want)
				}
			}
		})
	}
}

// A grant to the process before this one, under the number of an ask of this one, is none.
func TestRampGrantOfAnotherLife(t *testing.T) {
	lease := 500 * time.Millisecond
	for _, c := range []struct {
		name  string
		old   uint64
		now   time.Duration
		share float64
	}{{"own", 2, 100 * time.Millisecond, 0.75}, {"of the life before", 1, 100 * time.Millisecond, 0.5}, {"of an ask a lease ago", 2, 520 * time.Millisecond, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			old, _ := NewRecoveryRamp(RampConfig{InstanceID: 1, Incarnation: c.old, LoanTTL: lease, LoadTTL: time.Second, BudgetMultiple: 1.25})
			r, _ := NewRecoveryRamp(RampConfig{InstanceID: 1, Incarnation: 2, LoanTTL: lease, LoadTTL: time.Second, BudgetMultiple: 1.25})
			for _, x := range []*RecoveryRamp{old, r} {
				x.ApplyAgreed(-time.Hour, []Site{{Name: rampHallName}}, []uint64{1, 2})
			}
			ask := old.NextBroadcast(0, nil).RequestID
			r.NextBroadcast(0, nil)
			r.Receive(c.now, 2, RampMessage{Grants: []ShareGrant{{rampHallName, 1, ask, 0.25}}})
			if got := r.Share(c.now, rampHallName); got != c.share {
				t.Errorf("share %v, want %v", got, c.share)
			}
		})
	}
}

// What a warm server can take follows from what all send to one and how busy that makes it.
func TestRampLearnsWarmServers(t *testing.T) {
	r, _ := NewRecoveryRamp(RampConfig{InstanceID: 1, LoanTTL: time.Second, LoadTTL: time.Second, BudgetMultiple: 1.25})
	r.ApplyAgreed(0, []Site{{Name: "a"}, {Name: "b"}}, []uint64{1, 2, 3})
	for i, s := range []struct {
		mine, other WarmLoad
		at          time.Duration
		a, b        float64
	}{
		{WarmLoad{"a", 0, -1}, WarmLoad{"a", 0, -1}, 0, 1, 1}, // nothing is known: one second's work a second
		{WarmLoad{"a", 0.5, 0.5}, WarmLoad{"a", 0.7, 0.6}, 100 * time.Millisecond, 2, 2},
		{WarmLoad{"a", 0.1, 0.1}, WarmLoad{"a", 0.1, 0.1}, 200 * time.Millisecond, 2, 2}, // idle: as learned before
		{WarmLoad{"b", 1, 0.25}, WarmLoad{"b", 3, 0.5}, 300 * time.Millisecond, 2, 8},    // another hall's servers are larger
		{WarmLoad{"a", 3, -1}, WarmLoad{"a", 3, -1}, 400 * time.Millisecond, 6, 8},       // no reports: what is carried is a floor
	} {
		r.Receive(s.at, 2, RampMessage{Loads: []WarmLoad{s.other}})
		r.NextBroadcast(s.at, []WarmLoad{s.mine})
		if a, b := r.WarmServerCapacity(s.at, "a"), r.WarmServerCapacity(s.at, "b"); fmt.Sprintf("%.2f %.2f", a, b) != fmt.Sprintf("%.2f %.2f", s.a, s.b) {
			t.Errorf("step %d: %.2f and %.2f, want %.2f and %.2f", i, a, b, s.a, s.b)
		}
	}
	if got := r.WarmServerCapacity(5*time.Second, "a"); got != 2 { // words that are out of date
		t.Errorf("%.2f with old words, want 2", got)
	}
}
