package configstream

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"mulleinmux/clusterconfig"
)

// world plays members, followers and a network between them, from a seed, on a virtual clock.
type world struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Duration
	queue     events
	order     int
	log       []*Version // agreed, by number from 1; of the newest epoch
	state     *clusterconfig.State
	members   []*member
	followers []*follower
	faults    bool
	sessions  uint64
	agreed    map[Ref]agreement
	ever      []*Version // of all epochs
	inForce   int        // versions put in force
	refusals  int
}

// agreement is a version that was agreed on, and when.
type agreement struct {
	v  *Version
	at time.Duration
}

// Prices of plans that no follower can serve: one that is found out, and two that end the process that meets them.
const (
	oddPrice, checkPrice, installPrice = 1, 3, 5
)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

func (w *world) every(d time.Duration, do func()) {
	var again func()
	again = func() { do(); w.after(d, again) }
	w.after(time.Duration(w.rng.Int64N(int64(d))), again)
}

func (w *world) chance(p float64) bool { return w.faults && w.rng.Float64() < p }

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

// member is a member's process.
type member struct {
	id      uint64
	applied int  // entries of the log
	cut     bool // off the other members: it may go on serving followers
	down    bool
	process int
	pub     *Publisher
	streams map[uint64]*stream
}

type stream struct {
	id     uint64
	m      *member
	f      *follower
	began  int // the member's process
	start  int // the follower's
	broken bool
	mute   bool // what is sent on it is lost, and nobody is told
}

// follower is a follower's machine.
type follower struct {
	name    string
	disk    *DurableState
	process int
	up      bool
	f       *Follower
	stream  *stream
	seat    *MemberSelector
	begun   Ref  // agreed on when the process with nothing kept began
	newest  *Ref // that was ever in force, with this disk
	running *Ref // in force now
}

func newWorld(t *testing.T, seed uint64, followers int) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), faults: true, state: clusterconfig.New(nil), agreed: map[Ref]agreement{}}
	cs := []clusterconfig.Change{}
	for i := range followers {
		f := &follower{name: fmt.Sprintf("f%d", i), disk: &DurableState{}}
		f.seat = NewMemberSelector(MemberSelectorConfig{Name: f.name, Members: []uint64{1, 2, 3}, InitialBackoff: 50 * time.Millisecond, MaxBackoff: time.Second}, w.rng)
		w.followers = append(w.followers, f)
		cs = append(cs, clusterconfig.NewPutChange("follower", f.name, clusterconfig.Follower{}))
	}
	w.agree(append(cs, clusterconfig.NewPutChange("epoch", "epoch", clusterconfig.Epoch{Number: 1, ID: "first"}))...)
	for i := range uint64(3) {
		w.members = append(w.members, &member{id: i + 1})
		w.startMember(w.members[i])
	}
	for _, f := range w.followers {
		w.startFollower(f)
	}
	return w
}

// agree adds a version.
func (w *world) agree(cs ...clusterconfig.Change) {
	entry, err := clusterconfig.EncodeProposal(&clusterconfig.Proposal{ID: fmt.Sprint(w.rng.Uint64()), Changes: cs})
	if err == nil {
		var o clusterconfig.Outcome
		if _, o, err = w.state.Apply(entry); err == nil && !o.IsApplied {
			err = errors.New(o.RejectionReason)
		}
	}
	if err != nil {
		w.fail("%v", err)
	}
	var before *Version
	if len(w.log) > 0 {
		before = w.log[len(w.log)-1]
	}
	v := NewVersion(w.state.Freeze(), before)
	w.log = append(w.log, v)
	w.ever = append(w.ever, v)
	w.agreed[v.Ref] = agreement{v, w.now}
}

// change agrees on something by chance. A plan with an odd price is one that no follower can serve.
func (w *world) change() {
	name := fmt.Sprintf("p%d", w.rng.IntN(6))
	price := float64(2 * (1 + w.rng.IntN(50)))
	if w.chance(0.2) {
		price = []float64{oddPrice, oddPrice, checkPrice, installPrice}[w.rng.IntN(4)]
	}
	if _, ok := w.state.Get("plan", name); ok && w.rng.IntN(4) == 0 {
		w.agree(clusterconfig.Change{Op: "remove", Kind: "plan", Name: name})
		return
	}
	w.agree(clusterconfig.NewPutChange("plan", name, clusterconfig.Plan{Rate: float64(len(w.log)), Burst: 1, PriorityFactor: price}))
}

// restore has the service go back to an old version, in a new epoch.
func (w *world) restore() {
	s := clusterconfig.New(nil)
	old := w.log[w.rng.IntN(len(w.log))]
	text, _ := json.Marshal(old.PlanOrder)
	if err := s.Restore([]byte(fmt.Sprintf(`{"format":3,"version":%d,"hash":%q,"homes":%d,"places":%s,"objects":%s}`, old.Number, old.Hash, old.PlacementVersion, text, objectsOf(old)))); err != nil {
		w.fail("%v", err)
	}
	w.state, w.log = s, w.log[:old.Number]
	e := w.epoch()
	w.agree(clusterconfig.NewPutChange("epoch", "epoch", e))
	for _, m := range w.members {
		m.applied = 0
		w.startMember(m)
	}
}

func (w *world) epoch() clusterconfig.Epoch {
	highest := uint64(0)
	for _, f := range w.followers {
		if f.newest != nil {
			highest = max(highest, f.newest.Epoch.Number)
		}
	}
	return clusterconfig.Epoch{Number: max(highest, w.state.Epoch().Number) + 1, ID: fmt.Sprint(w.rng.Uint64())}
}

func objectsOf(v *Version) string {
	all := map[string]json.RawMessage{}
	v.Tree.Root().Walk(func(k []byte, o json.RawMessage) bool { all[string(k)] = o; return false })
	text, _ := json.Marshal(all)
	return string(text)
}

func (w *world) startMember(m *member) {
	w.breakAll(m)
	m.process++
	m.down, m.streams = false, map[uint64]*stream{}
	m.pub = NewPublisher(PublisherConfig{Member: m.id, SilenceTimeout: time.Second, PushReplyTimeout: 2 * time.Second, ConfirmationTimeout: 300 * time.Millisecond, MaxRetainedVersions: 4, MaxFollowers: 100, AdmissionRate: 20, AdmissionBurst: 20}, w.rng.Uint64())
	w.publish(m)
}

func (w *world) publish(m *member) {
	if m.applied > 0 {
		w.carry(m, m.pub.Publish(w.now, w.log[m.applied-1]))
	}
}

// follow has a member apply what is agreed on, and a quorum confirm it.
func (w *world) follow(m *member) {
	if m.down || m.cut {
		return
	}
	asked, agreed, process := w.now, len(w.log), m.process
	w.after(time.Duration(w.rng.IntN(40))*time.Millisecond, func() {
		if m.down || m.cut || m.process != process || agreed > len(w.log) {
			return
		}
		if w.rng.IntN(3) > 0 {
			m.applied = max(m.applied, min(agreed, len(w.log)))
			w.publish(m)
		}
		if m.applied >= agreed {
			w.carry(m, m.pub.Confirm(w.now, asked, w.log[m.applied-1].Ref))
		}
	})
}

func (w *world) breakAll(m *member) {
	for _, id := range slices.Sorted(maps.Keys(m.streams)) {
		w.breakStream(m.streams[id])
	}
}

func (w *world) breakStream(s *stream) {
	if s == nil || s.broken {
		return
	}
	s.broken = true
	if s.m.process == s.began {
		s.m.pub.StreamClosed(w.now, s.id)
		delete(s.m.streams, s.id)
	}
	w.after(time.Duration(w.rng.IntN(20))*time.Millisecond, func() {
		if s.f.stream == s && s.f.up && s.f.process == s.start {
			s.f.stream = nil
			s.f.f.StreamClosed()
			w.dial(s.f, s.f.seat.StreamEnded(true))
		}
	})
}

// carry takes a member's messages to the followers, in their order unless the stream breaks.
func (w *world) carry(m *member, outs []StreamAction) {
	for _, o := range outs {
		s := m.streams[o.SessionID]
		if s == nil {
			continue
		}
		if o.CloseReason != "" {
			w.breakStream(s)
			continue
		}
		if s.mute = s.mute || w.chance(0.005); s.mute {
			continue
		}
		w.after(10*time.Millisecond, func() {
			if s.broken || !s.f.up || s.f.process != s.start || s.f.stream != s {
				return
			}
			if w.chance(0.01) {
				w.breakStream(s)
				return
			}
			if o.Push != nil {
				w.act(s.f, s.f.f.PushReceived(w.now, o.Push))
			} else {
				w.act(s.f, s.f.f.PongReceived(w.now, *o.Pong))
				w.sure(s.f)
			}
		})
	}
}

func (w *world) dial(f *follower, wait time.Duration) {
	process := f.process
	w.after(wait, func() {
		if !f.up || f.process != process || f.stream != nil {
			return
		}
		m := w.members[f.seat.Member()-1]
		if m.down || !m.pub.Admit(w.now) {
			w.dial(f, f.seat.StreamEnded(false))
			return
		}
		w.sessions++
		s := &stream{id: w.sessions, m: m, f: f, began: m.process, start: f.process}
		f.stream, m.streams[s.id] = s, s
		hello := f.f.OpenStream(w.now)
		w.after(5*time.Millisecond, func() {
			if !s.broken && s.m.process == s.began {
				w.carry(m, m.pub.OpenStream(w.now, s.id, hello))
			}
		})
	})
}

func (w *world) startFollower(f *follower) {
	f.process++
	f.up, f.running, f.stream = true, nil, nil
	if f.disk.Accepted == nil && f.disk.Previous == nil {
		f.begun, f.newest = w.log[len(w.log)-1].Ref, nil
	}
	f.disk.StartCount++
	d := *f.disk
	var as []Action
	f.f, as = NewFollower(FollowerConfig{Name: f.name, ProcessID: w.rng.Uint64(), HeartbeatInterval: 200 * time.Millisecond, SilenceTimeout: time.Second, MaxAttempts: 2}, d)
	w.act(f, as)
	w.dial(f, time.Duration(w.rng.IntN(100))*time.Millisecond)
}

func (w *world) crash(f *follower) {
	f.up = false
	f.process++
	w.breakStream(f.stream)
	if w.chance(0.1) {
		f.disk = &DurableState{} // the machine was replaced
	}
	w.after(time.Duration(w.rng.IntN(1500))*time.Millisecond, func() {
		if !f.up {
			w.startFollower(f)
		}
	})
}

// act carries out what a follower wants.
func (w *world) act(f *follower, as []Action) {
	process := f.process
	later := func(do func()) {
		w.after(time.Duration(1+w.rng.IntN(30))*time.Millisecond, func() {
			if f.up && f.process == process {
				do()
			}
		})
	}
	for _, a := range as {
		if !f.up || f.process != process {
			return
		}
		switch {
		case a.Persist != nil:
			d := *a.Persist
			if w.chance(0.02) {
				if w.rng.IntN(2) == 0 {
					f.disk = &d
				}
				w.crash(f)
				return
			}
			failed := w.chance(0.01)
			later(func() {
				var err error
				if failed {
					err = errors.New("no space left")
				} else {
					f.disk = &d
				}
				w.act(f, f.f.PersistCompleted(w.now, err))
			})
		case a.Check != nil:
			later(func() {
				if w.chance(0.02) || w.deadly(a.Check, checkPrice) {
					w.crash(f)
					return
				}
				w.act(f, f.f.CheckCompleted(w.now, w.problems(a.Check)))
			})
		case a.Activate != nil:
			if w.chance(0.01) || w.deadly(a.Activate, installPrice) {
				w.crash(f)
				return
			}
			if w.chance(0.01) {
				later(func() { w.act(f, f.f.ActivationCompleted(w.now, errors.New("could not"))) })
				continue
			}
			w.force(f, a.Activate)
			later(func() { w.act(f, f.f.ActivationCompleted(w.now, nil)) })
		case a.Send != nil:
			if s := f.stream; s != nil && !s.mute {
				r := *a.Send
				w.after(10*time.Millisecond, func() {
					if !s.broken && s.m.process == s.began {
						w.carry(s.m, s.m.pub.ReportReceived(w.now, s.id, r))
					}
				})
			}
		case a.Ping != 0:
			if s := f.stream; s != nil && !s.mute {
				w.after(10*time.Millisecond, func() {
					if !s.broken && s.m.process == s.began {
						w.carry(s.m, s.m.pub.PingReceived(w.now, s.id, a.Ping))
					}
				})
			}
		case a.CloseStream != "":
			w.breakStream(f.stream)
		}
	}
}

// deadly tells whether a version has a plan of that price.
func (w *world) deadly(v *Version, price int) (is bool) {
	v.Tree.Root().WalkPrefix([]byte("plan/"), func(_ []byte, text json.RawMessage) bool {
		var p clusterconfig.Plan
		is = is || json.Unmarshal(text, &p) == nil && int(p.PriorityFactor) == price
		return is
	})
	return is
}

func (w *world) problems(v *Version) (ps []Problem) {
	v.Tree.Root().WalkPrefix([]byte("plan/"), func(k []byte, text json.RawMessage) bool {
		var p clusterconfig.Plan
		if json.Unmarshal(text, &p) == nil && int(p.PriorityFactor) == oddPrice {
			ps = append(ps, Problem{Object: strings.Replace(string(k), "/", " ", 1), Field: "price", Text: "is odd"})
		}
		return false
	})
	return ps
}

// sure is the rule for what a follower holds for confirmed: nothing newer was agreed on when it asked.
func (w *world) sure(f *follower) {
	at, ok := f.f.ConfirmedAt()
	if !ok {
		return
	}
	for ref, a := range w.agreed {
		if a.at < at && ref.Compare(*f.f.Running()) == OrderNewer {
			w.fail("%s holds %v for the newest as of %v, and %v was agreed on at %v", f.name, *f.f.Running(), at, ref, a.at)
		}
	}
}

// force is the rule: what is put in force was kept before, is good, is not older than what was, and was never refused.
func (w *world) force(f *follower, v *Version) {
	w.inForce++
	if w.problems(v) != nil {
		w.fail("%s: version %v is put in force and is none that it can serve", f.name, v.Ref)
	}
	agreed := w.agreed[v.Ref].v
	if agreed == nil {
		w.fail("%s: version %v is put in force and was never agreed on", f.name, v.Ref)
	}
	diff(agreed.Tree, v.Tree, func(key []byte, _, _ json.RawMessage) {
		w.fail("%s: version %v is put in force with another %s than was agreed on", f.name, v.Ref, key)
	})
	if refusalOf(f.disk.Rejections, v.Ref) != nil {
		w.fail("%s: version %v was refused and is put in force", f.name, v.Ref)
	}
	if f.disk.Accepted == nil || f.disk.Accepted.Ref != v.Ref && (f.disk.Previous == nil || f.disk.Previous.Ref != v.Ref) {
		w.fail("%s: version %v is put in force and was not kept", f.name, v.Ref)
	}
	back := f.newest != nil && refusalOf(f.disk.Rejections, *f.newest) != nil // what it goes back from could not be installed
	if f.newest != nil && v.Compare(*f.newest) == OrderOlder && !back {
		w.fail("%s: version %v is put in force after %v", f.name, v.Ref, *f.newest)
	}
	if f.newest == nil && v.Compare(f.begun) == OrderOlder && f.disk.StartCount == 1 {
		w.fail("%s: with nothing kept it takes version %v, older than %v that was agreed on when it began", f.name, v.Ref, f.begun)
	}
	ref := v.Ref
	f.newest, f.running = &ref, &ref
}

// play plays a seed: faults for 8 s, then quiet until all must be well.
func (w *world) play() {
	for _, m := range w.members {
		w.every(60*time.Millisecond, func() { w.follow(m) })
		w.every(50*time.Millisecond, func() {
			if !m.down {
				w.carry(m, m.pub.Tick(w.now))
			}
		})
		w.every(200*time.Millisecond, func() {
			if m.down {
				return
			}
			for _, word := range m.pub.GossipMessages(w.now, 2, int(w.now/(200*time.Millisecond))%3 == 0) {
				for _, o := range w.members {
					if o != m && !w.chance(0.3) {
						w.after(time.Duration(w.rng.IntN(30))*time.Millisecond, func() {
							if !o.down {
								o.pub.GossipReceived(w.now, word)
							}
						})
					}
				}
			}
		})
		w.every(700*time.Millisecond, func() {
			switch {
			case w.chance(0.15):
				m.down = true
				w.breakAll(m)
				w.after(time.Duration(w.rng.IntN(1000))*time.Millisecond, func() { w.startMember(m) })
			case w.chance(0.2):
				m.cut = true
				w.after(time.Duration(w.rng.IntN(2000))*time.Millisecond, func() { m.cut = false })
			}
		})
	}
	for _, f := range w.followers {
		w.every(50*time.Millisecond, func() {
			if f.up {
				w.act(f, f.f.Tick(w.now))
			}
		})
		w.every(900*time.Millisecond, func() {
			if f.up && w.chance(0.2) {
				w.crash(f)
			}
		})
		// A member that is out of its mind: any version of the log, whole or a delta, said to be what it likes.
		w.every(300*time.Millisecond, func() {
			if s := f.stream; f.up && s != nil && w.chance(0.1) {
				v := w.ever[w.rng.IntN(len(w.ever))]
				var base *Version
				if w.rng.IntN(2) == 0 {
					base = w.ever[w.rng.IntN(len(w.ever))]
				}
				b := *v.Body(base)
				if w.rng.IntN(3) == 0 {
					b.Number += uint64(w.rng.IntN(5))
				}
				if w.rng.IntN(3) == 0 {
					b.Put = b.Put[:len(b.Put)/2]
				}
				w.act(f, f.f.PushReceived(w.now, &Push{Nonce: w.rng.Uint64(), Body: &b}))
			}
		})
	}
	w.every(150*time.Millisecond, func() {
		if w.faults && w.rng.IntN(2) == 0 {
			w.change()
		}
	})
	w.after(time.Duration(2+w.rng.IntN(5))*time.Second, func() {
		if w.rng.IntN(3) == 0 {
			w.restore()
		}
	})
	w.after(8*time.Second, func() {
		w.faults = false
		w.change() // one that all can serve, unless a bad plan stands
	})
	for len(w.queue) > 0 && w.now < 16*time.Second {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	newest := w.log[len(w.log)-1]
	for _, f := range w.followers {
		refused := refusalOf(f.f.Rejections(), newest.Ref) != nil
		w.refusals += len(f.f.Rejections())
		if !f.up || !refused && (f.running == nil || *f.running != newest.Ref) || refused && w.problems(newest) == nil && f.disk.StartCount < 2 {
			w.fail("%s runs %v after 8 s without faults, and %v is agreed on (refused: %v, connected: %v, note %q)", f.name, f.running, newest.Ref, refused, f.stream != nil, f.f.Warning())
		}
		if at, ok := f.f.ConfirmedAt(); !refused && (!ok || w.now-at > time.Second) {
			w.fail("%s: confirmed at %v: %v", f.name, at, ok)
		}
		for _, m := range w.members {
			st := m.pub.standing(w.now, f.name)
			if fmt.Sprint(st.Running) != fmt.Sprint(f.running) || f.running != nil && st.State != "running" || st.NameConflict != "" || refused != (st.LatestRejection != nil && st.LatestRejection.Ref == newest.Ref) {
				w.fail("member %d says of %s: %+v; it runs %v", m.id, f.name, st, f.running)
			}
		}
	}
}

// Seeds of members, followers and a network with faults. A failing seed replays exactly.
func TestSeeds(t *testing.T) {
	seeds := 2000
	if raceEnabled || testing.Short() {
		seeds = 150
	}
	inForce, refusals := 0, 0
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, 4)
		w.play()
		inForce += w.inForce
		refusals += w.refusals
	}
	t.Logf("%d seeds: %d versions put in force, %d refusals remembered", seeds, inForce, refusals)
	if inForce < 10*seeds || refusals < seeds {
		t.Errorf("too little happens")
	}
}
