package configstream

import (
	"errors"
	"time"
)

// simFollower is a follower's machine.
type simFollower struct {
	name     string
	disk     *DurableState
	process  int // counts processes
	isUp     bool
	node     *Follower
	stream   *simStream
	selector *MemberSelector
	firstRef Ref  // agreed on when the process with nothing persisted began
	newest   *Ref // that was ever in force, with this disk
	running  *Ref // in force now
}

func (sim *simulation) startFollower(f *simFollower) {
	f.process++
	f.isUp, f.running, f.stream = true, nil, nil
	if f.disk.Accepted == nil && f.disk.Previous == nil {
		f.firstRef, f.newest = sim.newest().Ref, nil
	}
	f.disk.StartCount++
	var actions []Action
	f.node, actions = NewFollower(FollowerConfig{
		Name:              f.name,
		ProcessID:         sim.rng.Uint64(),
		HeartbeatInterval: 200 * time.Millisecond,
		SilenceTimeout:    time.Second,
		MaxAttempts:       2,
	}, *f.disk)
	sim.perform(f, actions)
	sim.connect(f, sim.randomMillis(100))
}

// crash ends a follower's process; another one starts later, by chance on another machine.
func (sim *simulation) crash(f *simFollower) {
	f.isUp = false
	f.process++
	sim.breakStream(f.stream)
	if sim.chance(0.1) {
		f.disk = &DurableState{}
	}
	sim.after(sim.randomMillis(1500), func() {
		if !f.isUp {
			sim.startFollower(f)
		}
	})
}

// scheduleFollower schedules a follower's regular work and its faults.
func (sim *simulation) scheduleFollower(f *simFollower) {
	sim.every(50*time.Millisecond, func() {
		if f.isUp {
			sim.perform(f, f.node.Tick(sim.now))
		}
	})
	sim.every(900*time.Millisecond, func() {
		if f.isUp && sim.chance(0.2) {
			sim.crash(f)
		}
	})
	sim.every(300*time.Millisecond, func() {
		if f.isUp && f.stream != nil && sim.chance(0.1) {
			sim.perform(f, f.node.PushReceived(sim.now, sim.faultyPush()))
		}
	})
}

// faultyPush returns a push of a faulty member: any version, complete or a delta, by chance with another number or a
// part of its content.
func (sim *simulation) faultyPush() *Push {
	v := sim.all[sim.rng.IntN(len(sim.all))]
	var base *Version
	if sim.rng.IntN(2) == 0 {
		base = sim.all[sim.rng.IntN(len(sim.all))]
	}
	body := *v.Body(base)
	if sim.rng.IntN(3) == 0 {
		body.Number += uint64(sim.rng.IntN(5))
	}
	if sim.rng.IntN(3) == 0 {
		body.Put = body.Put[:len(body.Put)/2]
	}
	return &Push{Nonce: sim.rng.Uint64(), Body: &body}
}

// connect opens a stream after a while, and tries again until a member accepts it.
func (sim *simulation) connect(f *simFollower, wait time.Duration) {
	process := f.process
	sim.after(wait, func() {
		if !f.isUp || f.process != process || f.stream != nil {
			return
		}
		m := sim.members[f.selector.Member()-1]
		if m.isDown || !m.publisher.Admit(sim.now) {
			sim.connect(f, f.selector.StreamEnded(false))
			return
		}
		sim.lastID++
		s := &simStream{id: sim.lastID, member: m, follower: f, memberProcess: m.process, followerProcess: f.process}
		f.stream, m.streams[s.id] = s, s
		hello := f.node.OpenStream(sim.now)
		sim.after(5*time.Millisecond, func() {
			if s.isMemberUp() {
				sim.deliver(m, m.publisher.OpenStream(sim.now, s.id, hello))
			}
		})
	})
}

// later schedules the end of a follower's action, unless the process ends before.
func (sim *simulation) later(f *simFollower, do func()) {
	process := f.process
	sim.after(sim.randomMillis(30)+time.Millisecond, func() {
		if f.isUp && f.process == process {
			do()
		}
	})
}

// perform carries out a follower's actions.
func (sim *simulation) perform(f *simFollower, actions []Action) {
	process := f.process
	for _, a := range actions {
		if !f.isUp || f.process != process {
			return
		}
		switch {
		case a.Persist != nil:
			sim.performPersist(f, *a.Persist)
		case a.Check != nil:
			sim.performCheck(f, a.Check)
		case a.Activate != nil:
			sim.performActivate(f, a.Activate)
		case a.Send != nil:
			report := *a.Send
			sim.sendToMember(f, func(s *simStream) []StreamAction {
				return s.member.publisher.ReportReceived(sim.now, s.id, report)
			})
		case a.Ping != 0:
			sim.sendToMember(f, func(s *simStream) []StreamAction {
				return s.member.publisher.PingReceived(sim.now, s.id, a.Ping)
			})
		case a.CloseStream != "":
			sim.breakStream(f.stream)
		}
	}
}

func (sim *simulation) performPersist(f *simFollower, durable DurableState) {
	if sim.chance(0.02) {
		if sim.rng.IntN(2) == 0 {
			f.disk = &durable
		}
		sim.crash(f)
		return
	}
	hasFailed := sim.chance(0.01)
	sim.later(f, func() {
		var err error
		if hasFailed {
			err = errors.New("no space left")
		} else {
			f.disk = &durable
		}
		sim.perform(f, f.node.PersistCompleted(sim.now, err))
	})
}

func (sim *simulation) performCheck(f *simFollower, v *Version) {
	sim.later(f, func() {
		if sim.chance(0.02) || hasPlanWithPrice(v, checkCrashPrice) {
			sim.crash(f)
			return
		}
		sim.perform(f, f.node.CheckCompleted(sim.now, problemsOf(v)))
	})
}

func (sim *simulation) performActivate(f *simFollower, v *Version) {
	if sim.chance(0.01) || hasPlanWithPrice(v, activationCrashPrice) {
		sim.crash(f)
		return
	}
	if sim.chance(0.01) {
		sim.later(f, func() { sim.perform(f, f.node.ActivationCompleted(sim.now, errors.New("could not"))) })
		return
	}
	sim.checkActivation(f, v)
	sim.later(f, func() { sim.perform(f, f.node.ActivationCompleted(sim.now, nil)) })
}

// sendToMember has receive called at the member's end of the follower's stream, unless the message is lost.
func (sim *simulation) sendToMember(f *simFollower, receive func(*simStream) []StreamAction) {
	s := f.stream
	if s == nil || s.isMute {
		return
	}
	sim.after(10*time.Millisecond, func() {
		if s.isMemberUp() {
			sim.deliver(s.member, receive(s))
		}
	})
}
