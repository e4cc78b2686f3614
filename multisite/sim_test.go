package multisite

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// The simulated world: instances with their views, halls that remember keys for a while,
// clients that repeat at any instance, an agreement on epochs, and faults by a seed. After
// each event it is checked that no key had its effect at two halls.

const (
	simLease  = 500 * time.Millisecond
	simLife   = 2 * time.Second
	simMemory = 4 * time.Second
	simLength = 33 * time.Second
	simFaults = 24 * time.Second // then all heals
	simTell   = 20 * time.Millisecond
)

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

type simInstance struct {
	id          uint64
	keys        *KeyTable
	incarnation uint64
	epoch       int           // applied, as an index of the agreed ones
	cut         bool          // from the agreement and the others
	down        bool          // its process is dead
	asleep      time.Duration // it does nothing until then
	skew        time.Duration // its clock's offset
}

type sim struct {
	t         testing.TB
	seed      uint64
	rng       *rand.Rand
	now       time.Duration
	queue     events
	n         int
	instances []*simInstance
	agreed    []OwnershipEpoch
	lives     []time.Duration                     // of keys, by agreed epoch
	halls     map[string]map[uint64]time.Duration // keys remembered, since when
	effects   map[uint64]string                   // hall of a key's effect
	served    int
	refused   int
	lateNo    int // refused though all had healed long ago
	most      int
	healed    time.Duration // when the last fault ended; 0: it has not
}

func (s *sim) at(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.n, do})
}

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

func (s *sim) clock(i *simInstance) time.Duration { return s.now + i.skew }

func newSim(t testing.TB, seed uint64) *sim {
	s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), halls: map[string]map[uint64]time.Duration{"a": {}, "b": {}}, effects: map[uint64]string{}, most: 1 << 20}
	if seed%5 == 0 {
		s.most = 40 // the ledger fills up
	}
	s.agreed = []OwnershipEpoch{{Number: 1, Sites: []Site{{Name: "a", IsOpen: true}, {Name: "b", IsOpen: true}}, Instances: []uint64{1, 2, 3, 4}}}
	s.lives = []time.Duration{simLife}
	for id := uint64(1); id <= 4; id++ {
		i := &simInstance{id: id, epoch: -1, skew: time.Duration(s.rng.Int64N(int64(2 * time.Hour)))}
		s.instances = append(s.instances, i)
		s.start(i)
	}
	return s
}

func (s *sim) start(i *simInstance) {
	i.incarnation++
	k, err := NewKeyTable(KeyConfig{InstanceID: i.id, Incarnation: i.incarnation, LeaseTTL: simLease, KeyTTL: simLife, DeduplicationWindow: simMemory, MaxKeys: s.most}, s.clock(i))
	if err != nil {
		s.t.Fatal(err)
	}
	i.keys, i.epoch, i.down = k, -1, false
	inc := i.incarnation
	alive := func() bool { return !i.down && i.incarnation == inc }
	// It learns epochs and has them confirmed.
	var learn func()
	learn = func() {
		if !alive() {
			return
		}
		if asked := s.clock(i); !i.cut && s.now >= i.asleep {
			latest := len(s.agreed) - 1
			s.at(s.between(time.Millisecond, 30*time.Millisecond), func() {
				if !alive() || s.now < i.asleep {
					return
				}
				for ; i.epoch < latest; i.epoch++ {
					k.InstallEpoch(s.clock(i), s.agreed[i.epoch+1])
					k.SetLifetimes(s.clock(i), s.lives[i.epoch+1], simMemory)
				}
				k.ConfirmEpoch(asked)
			})
		}
		s.at(s.between(40*time.Millisecond, 80*time.Millisecond), learn)
	}
	learn()
	var tell func()
	tell = func() {
		if !alive() {
			return
		}
		if s.now >= i.asleep {
			m, _ := k.NextBroadcast(s.clock(i), 3)
			for _, o := range s.instances {
				if lost := s.now < simFaults && s.rng.Float64() < 0.002; o != i && !lost && !i.cut {
					s.at(s.between(time.Millisecond, 20*time.Millisecond), func() {
						if !o.down && !o.cut && s.now >= o.asleep && i.incarnation == inc {
							o.keys.Receive(s.clock(o), m)
						}
					})
				}
			}
		}
		s.at(simTell, tell)
	}
	tell()
}

// client tries a key at one instance after the other, within its life.
func (s *sim) client(key uint64) {
	// It goes by what any instance has in force.
	until := s.now + simLife - 100*time.Millisecond
	if i := s.instances[s.rng.IntN(len(s.instances))]; i.epoch >= 0 {
		until = s.now + s.lives[i.epoch] - 100*time.Millisecond
	}
	var try func(left int)
	try = func(left int) {
		if left == 0 || s.now >= until {
			return
		}
		i := s.instances[s.rng.IntN(len(s.instances))]
		again := func() { s.at(s.between(time.Millisecond, 400*time.Millisecond), func() { try(left - 1) }) }
		if i.down || s.now < i.asleep {
			again()
			return
		}
		v := i.keys.Route(s.clock(i), key)
		if v.Site == "" {
			s.refused++
			if s.healed > 0 && s.now > s.healed+simLease+5*time.Second+time.Second {
				s.lateNo++
			}
			again()
			return
		}
		// The module takes its time to pick a server; the attempt may no longer be let through.
		k, inc := i.keys, i.incarnation
		s.at(s.between(0, 20*time.Millisecond), func() {
			if i.down || i.incarnation != inc || s.now < i.asleep || !k.BeginAttempt(s.clock(i), key, v.Site) {
				again()
				return
			}
			fate := s.rng.Float64() // lost on the way, answered, or its answer lost
			s.at(s.between(0, 300*time.Millisecond), func() {
				ran := fate > 0.1 && s.now < until+100*time.Millisecond // the hall drops what has expired
				if ran {
					s.run(v.Site, key)
				}
				s.at(s.between(0, 200*time.Millisecond), func() {
					if !i.down && i.incarnation == inc {
						k.EndAttempt(key, !ran && fate > 0.05)
					}
					if ran && fate > 0.3 {
						s.served++
					} else {
						again()
					}
				})
			})
		})
	}
	try(8)
}

// run has a hall run a request, unless it remembers its key.
func (s *sim) run(hall string, key uint64) {
	if at, ok := s.halls[hall][key]; ok && s.now-at < simMemory {
		return
	}
	s.halls[hall][key] = s.now
	if before, ok := s.effects[key]; ok {
		s.t.Errorf("seed %d, %v: key %d had its effect at %s and at %s", s.seed, s.now, key, before, hall)
		return
	}
	s.effects[key] = hall
}

// faults changes homes and breaks things.
func (s *sim) faults() {
	if s.now > simFaults {
		s.healed = s.now
		for _, i := range s.instances {
			if i.cut, i.asleep = false, 0; i.down {
				s.start(i)
			}
		}
		last := s.agreed[len(s.agreed)-1]
		s.agreed = append(s.agreed, OwnershipEpoch{last.Number + 1, []Site{{Name: "a", IsOpen: true}, {Name: "b", IsOpen: true}}, last.Instances})
		s.lives = append(s.lives, simLife)
		return
	}
	i := s.instances[s.rng.IntN(len(s.instances))]
	switch x := s.rng.Float64(); {
	case x < 0.4: // a hall closes or opens
		last := s.agreed[len(s.agreed)-1]
		halls := []Site{{"a", s.rng.Float64() < 0.7, max(s.rng.IntN(16)-8, 0)}, {"b", s.rng.Float64() < 0.7, max(s.rng.IntN(16)-8, 0)}}
		s.agreed = append(s.agreed, OwnershipEpoch{last.Number + 1, halls, last.Instances})
		life := s.lives[len(s.lives)-1]
		if s.rng.Float64() < 0.4 { // the longest is longer than halls remember
			life = []time.Duration{simLife, 3500 * time.Millisecond, 5 * time.Second}[s.rng.IntN(3)]
		}
		s.lives = append(s.lives, life)
		// Faults come together: what makes a hall close strikes instances as well.
		switch y := s.rng.Float64(); {
		case y < 0.25 && !i.down:
			s.at(s.between(0, 100*time.Millisecond), func() { i.down = true })
			s.at(s.between(110*time.Millisecond, 600*time.Millisecond), func() {
				if i.down {
					s.start(i)
				}
			})
		case y < 0.5:
			i.cut = true
			s.at(s.between(100*time.Millisecond, 4*time.Second), func() { i.cut = false })
		}
	case x < 0.55:
		i.cut = true
		s.at(s.between(100*time.Millisecond, 4*time.Second), func() { i.cut = false })
	case x < 0.7: // a pause; what it wakes to is old
		i.asleep = s.now + s.between(100*time.Millisecond, 3*time.Second)
	case x < 0.85 && !i.down:
		i.down = true
		s.at(s.between(50*time.Millisecond, 3*time.Second), func() {
			if i.down {
				s.start(i)
			}
		})
	}
	s.at(s.between(100*time.Millisecond, 2*time.Second), s.faults)
}

func (s *sim) play() {
	var arrive func()
	key := uint64(0)
	arrive = func() {
		key++
		s.client(key * 0x9e3779b97f4a7c15)
		if s.now < simLength {
			s.at(s.between(time.Millisecond, 20*time.Millisecond), arrive)
		}
	}
	arrive()
	s.at(2*time.Second, s.faults)
	for s.queue.Len() > 0 && s.now < simLength+5*time.Second {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// Over 1,000 seeds no key has its effect at two halls, and all are served again soon after the
// last fault.
func TestSeeds(t *testing.T) {
	seeds := uint64(1000)
	if testing.Short() || raceEnabled {
		seeds = 60
	}
	served, refused := 0, 0
	for seed := uint64(1); seed <= seeds && !t.Failed(); seed++ {
		s := newSim(t, seed)
		s.play()
		served, refused = served+s.served, refused+s.refused
		if s.served < 300 {
			t.Errorf("seed %d: %d served", seed, s.served)
		}
		if s.lateNo > 0 && s.most > 1000 {
			t.Errorf("seed %d: %d refused after all had healed", seed, s.lateNo)
		}
	}
	t.Logf("%d seeds: %d served, %d refused", seeds, served, refused)
}

// The same seed plays the same.
func TestReplay(t *testing.T) {
	figures := func() string {
		s := newSim(t, 17)
		s.play()
		return fmt.Sprint(s.served, s.refused, len(s.effects), s.n)
	}
	if a, b := figures(), figures(); a != b {
		t.Errorf("%s, then %s", a, b)
	}
}

func testKeys(t *testing.T, instances ...uint64) (*KeyTable, OwnershipEpoch) {
	t.Helper()
	k, err := NewKeyTable(KeyConfig{InstanceID: 1, Incarnation: 1, LeaseTTL: simLease, KeyTTL: simLife, DeduplicationWindow: simMemory, MaxKeys: 100}, 0)
	if err != nil {
		t.Fatal(err)
	}
	h := OwnershipEpoch{Number: 1, Sites: []Site{{Name: "a", IsOpen: true}, {Name: "b", IsOpen: true}}, Instances: instances}
	k.InstallEpoch(0, h)
	return k, h
}

// An instance alone does not know what the process before it sent: it waits until no client
// repeats that. A key past a hall's memory is not sent again. A key that never ran moves on.
func TestAlone(t *testing.T) {
	k, h := testKeys(t, 1)
	now := simLease / 2
	k.ConfirmEpoch(now)
	if v := k.Route(now, 7); v.Site != "" || v.RetryAfter <= 0 {
		t.Errorf("right after its start: %+v", v)
	}
	now = simLife + time.Millisecond
	k.ConfirmEpoch(now)
	v := k.Route(now, 7)
	if v.Site == "" || !k.BeginAttempt(now, 7, v.Site) {
		t.Fatalf("%+v", v)
	}
	other := map[string]string{"a": "b", "b": "a"}[v.Site]
	if k.BeginAttempt(now, 7, other) {
		t.Error("the key is let through to the other hall")
	}
	k.EndAttempt(7, true)
	if k.Len() != 0 {
		t.Error("a key that never ran is remembered")
	}
	k.BeginAttempt(now, 7, v.Site)
	k.EndAttempt(7, false)
	now += simMemory + time.Millisecond
	k.ConfirmEpoch(now)
	if v := k.Route(now, 7); v.Site != "" {
		t.Errorf("past its hall's memory: %+v", v)
	}
	h.Number, h.Sites = 2, []Site{{Name: v.Site}, {Name: other, IsOpen: true}}
	k.InstallEpoch(now, h)
	k.ConfirmEpoch(now)
	if v := k.Route(now, 7); v.Site != "" {
		t.Errorf("a key that may have run at a closed hall: %+v", v)
	}
	k.InstallEpoch(now, OwnershipEpoch{Number: 1})
	if k.homes.Number != 2 {
		t.Error("an older epoch is taken")
	}
	for _, c := range []KeyConfig{{}, {LeaseTTL: 1, KeyTTL: 2, MaxKeys: 1}} {
		if _, err := NewKeyTable(c, 0); err == nil {
			t.Errorf("%+v is taken", c)
		}
	}
}

// An instance that starts does not know which homes held before: another that it can't hear
// may still send by those, and its clients come here.
func TestFreshStart(t *testing.T) {
	k, _ := testKeys(t, 1, 2)
	for _, now := range []time.Duration{simLease, simLife + time.Millisecond, simLease + simLife - time.Millisecond} {
		k.ConfirmEpoch(now)
		if v := k.Route(now, 7); v.Site != "" || v.RetryAfter <= 0 {
			t.Errorf("%v after its start: %+v", now, v)
		}
	}
	now := simLease + simLife + time.Millisecond
	k.ConfirmEpoch(now)
	if v := k.Route(now, 7); v.Site == "" {
		t.Errorf("when nothing of other homes can arrive any more: %+v", v)
	}
}

// BenchmarkKeys is a routed and noted key with a million remembered; bytes a key are told.
func BenchmarkKeys(b *testing.B) {
	k, err := NewKeyTable(KeyConfig{InstanceID: 1, Incarnation: 1, LeaseTTL: time.Hour, KeyTTL: time.Hour, DeduplicationWindow: time.Hour, MaxKeys: 1 << 20}, 0)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	now := 2*time.Hour + time.Second
	k.InstallEpoch(0, OwnershipEpoch{Number: 1, Sites: []Site{{Name: "hall-a", IsOpen: true}, {Name: "hall-b", IsOpen: true}}, Instances: []uint64{1}})
	k.ConfirmEpoch(now)
	for i := range uint64(1_000_000) {
		key := i * 0x9e3779b97f4a7c15
		if !k.BeginAttempt(now, key, k.Route(now, key).Site) {
			b.Fatal("not let through")
		}
		k.EndAttempt(key, false)
		if i%1000 == 0 {
			k.NextBroadcast(now, 2000)
		}
	}
	k.NextBroadcast(now, 2000)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		key := i % 1_000_000 * 0x9e3779b97f4a7c15
		if k.Route(now, key).Site == "" {
			b.Fatal("not routed")
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "bytes/key")
}

// A client's repeat comes in by the other site a moment before its first try has its outcome: it may go where that went
// and nowhere else, whatever homes do meanwhile; and if that hall takes no keys, nowhere.
func TestRepeatByTheOtherSite(t *testing.T) {
	key := uint64(42)
	for _, c := range []struct {
		name  string
		moved bool // homes move while the first try is out
		told  bool // and the other instance has heard of it
		open  bool // its hall still takes keys
		want  bool // the repeat may go, to the same hall
	}{
		{"homes stay", false, false, true, true},
		{"homes move, nothing heard", true, false, true, false},
		{"homes move, all told", true, true, true, true},
		{"its hall closes, all told", true, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, h := testKeys(t, 1, 2)
			b, err := NewKeyTable(KeyConfig{InstanceID: 2, Incarnation: 1, LeaseTTL: simLease, KeyTTL: simLife, DeduplicationWindow: simMemory, MaxKeys: 100}, 0)
			if err != nil {
				t.Fatal(err)
			}
			b.InstallEpoch(0, h)
			now := 10 * time.Second // long after both began
			talk := func(from, to *KeyTable) {
				m, _ := from.NextBroadcast(now, 100)
				to.Receive(now, m)
			}
			a.ConfirmEpoch(now)
			b.ConfirmEpoch(now)
			talk(a, b)
			talk(b, a)
			hall := a.Route(now, key).Site
			if hall == "" || !a.BeginAttempt(now, key, hall) {
				t.Fatalf("the first try is not sent: %+v", a.Route(now, key))
			}
			if c.moved { // the key's hall closes; it opens again where the case wants it open
				next := OwnershipEpoch{Number: 2, Sites: []Site{{Name: "a", IsOpen: hall != "a"}, {Name: "b", IsOpen: hall != "b"}}, Instances: h.Instances}
				if c.open {
					next.Sites = []Site{{Name: "a", IsOpen: true, KeyEighths: 1}, {Name: "b", IsOpen: true, KeyEighths: 1}}
				}
				for _, k := range []*KeyTable{a, b} {
					k.InstallEpoch(now, next)
					k.ConfirmEpoch(now)
				}
			}
			now += 50 * time.Millisecond
			if c.told {
				talk(a, b)
				talk(b, a)
			}
			v := b.Route(now, key)
			if v.Site != "" && v.Site != hall || (v.Site != "") != c.want {
				t.Errorf("the repeat may go to %q (%s); the first try is out at %s", v.Site, v.Reason, hall)
			}
			a.EndAttempt(key, false) // 1 ms later
			if v := a.Route(now+time.Millisecond, key); v.Site != "" && v.Site != hall {
				t.Errorf("a repeat at the first instance may go to %q", v.Site)
			}
		})
	}
}

// Lives that change: a longer one counts at once, a shorter one and a longer memory once what went by the old one is over;
// the longest that any instance tells counts; and what a hall would forget before its client is not sent unremembered.
func TestLivesOfKeys(t *testing.T) {
	k, h := testKeys(t, 1, 2)
	now := time.Minute
	if k.longest(now) != simLife || k.memory() != simMemory {
		t.Fatalf("life %v, memory %v", k.longest(now), k.memory())
	}
	long := 10 * time.Second
	k.SetLifetimes(now, long, 2*simMemory)
	if k.longest(now) != long || k.memory() != simMemory {
		t.Errorf("at once: life %v, memory %v", k.longest(now), k.memory())
	}
	if now += simLease + simLife; k.longest(now) != long || k.memory() != 2*simMemory {
		t.Errorf("later: life %v, memory %v", k.longest(now), k.memory())
	}
	k.SetLifetimes(now, simLife, simMemory)
	if at := now + simLease + long; k.longest(at-1) != long || k.longest(at) != simLife {
		t.Errorf("a shorter life counts from %v and %v", k.longest(at-1), k.longest(at))
	}
	now += time.Minute
	k.Receive(now, Message{From: 2, Incarnation: 1, SequenceNumber: 1, Epoch: h.Number, Uptime: time.Hour, KeyTTL: long})
	if k.longest(now) != long {
		t.Errorf("another instance's life does not count: %v", k.longest(now))
	}
	// A key that was sent before lives grew stays remembered for as long as it now may come.
	k.Receive(now, Message{From: 2, Incarnation: 1, SequenceNumber: 2, Epoch: h.Number, KeyTTL: simLife})
	k.ConfirmEpoch(now)
	hall := k.Route(now, 7).Site
	if !k.BeginAttempt(now, 7, hall) {
		t.Fatal("not sent")
	}
	k.EndAttempt(7, false)
	k.SetLifetimes(now, long, simMemory)
	k.forget(now + simMemory + simLife + time.Second)
	if k.Len() != 1 {
		t.Error("forgotten by the life before")
	}
	if k.forget(now + simMemory + long); k.Len() != 0 {
		t.Error("kept for ever")
	}
	// Full: what a hall forgets before its client is not sent.
	for key := uint64(100); k.Len() < k.cfg.MaxKeys; key++ {
		k.keys[key] = entry{hall: 0, first: now, ran: true}
	}
	if k.ConfirmEpoch(now); k.BeginAttempt(now, 7, k.Route(now, 7).Site) {
		t.Error("sent with a full ledger, though its hall forgets it sooner than its client")
	}
	k.SetLifetimes(now, simLife, 2*long)
	now += simLease + long
	if k.ConfirmEpoch(now); !k.BeginAttempt(now, 8, k.Route(now, 8).Site) {
		t.Error("a full ledger stops what its hall remembers")
	}
}
