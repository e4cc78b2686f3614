package configstream

import (
	"errors"
	"time"
)

// simFollower is the simulated machine of a follower.
type simFollower struct {
	name          string
	disk          *DurableState
	process       int // number of processes started or ended so far; identifies the current one
	isUp          bool
	node          *Follower
	stream        *simStream
	selector      *MemberSelector
	newestAtStart Ref  // newest committed version at the last start with an empty disk
	lastActivated *Ref // last version put in force with this disk
	running       *Ref // version in force
}

func (sim *simulation) startFollower(f *simFollower) {
	f.process++
	f.isUp, f.running, f.stream = true, nil, nil
	if f.disk.Accepted == nil && f.disk.Previous == nil {
		f.newestAtStart, f.lastActivated = sim.newest().Ref, nil
	}
	f.disk.StartCount++
	var actions []FollowerAction
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

// crashFollower ends a follower's process. Another process starts after a delay, by chance on another machine.
func (sim *simulation) crashFollower(f *simFollower) {
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

// scheduleFollower schedules a follower's periodic events and its faults.
func (sim *simulation) scheduleFollower(f *simFollower) {
	sim.every(50*time.Millisecond, func() {
		if f.isUp {
			sim.perform(f, f.node.Tick(sim.now))
		}
	})
	sim.every(900*time.Millisecond, func() {
		if f.isUp && sim.chance(0.2) {
			sim.crashFollower(f)
		}
	})
	sim.every(300*time.Millisecond, func() {
		if f.isUp && f.stream != nil && sim.chance(0.1) {
			sim.perform(f, f.node.PushReceived(sim.now, sim.faultyPush()))
		}
	})
}

// faultyPush returns a push of a faulty member. It contains any version, complete or as a delta, by chance with a wrong
// number or with only a part of the content.
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

// connect opens a stream after a delay, and retries until a member accepts it.
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

// completeLater schedules the completion of a follower's action. It has no effect if the process ends earlier.
func (sim *simulation) completeLater(f *simFollower, do func()) {
	process := f.process
	sim.after(sim.randomMillis(30)+time.Millisecond, func() {
		if f.isUp && f.process == process {
			do()
		}
	})
}

// perform carries out a follower's actions.
func (sim *simulation) perform(f *simFollower, actions []FollowerAction) {
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
			sim.sendToMember(f, func(s *simStream) []PublisherAction {
				return s.member.publisher.ReportReceived(sim.now, s.id, report)
			})
		case a.Ping != 0:
			sim.sendToMember(f, func(s *simStream) []PublisherAction {
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
		sim.crashFollower(f)
		return
	}
	hasFailed := sim.chance(0.01)
	sim.completeLater(f, func() {
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
	sim.completeLater(f, func() {
		if sim.chance(0.02) || hasPlanWithPriorityFactor(v, checkCrashFactor) {
			sim.crashFollower(f)
			return
		}
		sim.perform(f, f.node.CheckCompleted(sim.now, problemsOf(v)))
	})
}

func (sim *simulation) performActivate(f *simFollower, v *Version) {
	if sim.chance(0.01) || hasPlanWithPriorityFactor(v, activationCrashFactor) {
		sim.crashFollower(f)
		return
	}
	if sim.chance(0.01) {
		sim.completeLater(f, func() { sim.perform(f, f.node.ActivationCompleted(sim.now, errors.New("activation failed"))) })
		return
	}
	sim.checkActivation(f, v)
	sim.completeLater(f, func() { sim.perform(f, f.node.ActivationCompleted(sim.now, nil)) })
}

// sendToMember calls receive at the member's end of the follower's stream after the network delay, unless the message
// is lost.
func (sim *simulation) sendToMember(f *simFollower, receive func(*simStream) []PublisherAction) {
	s := f.stream
	if s == nil || s.dropsMessages {
		return
	}
	sim.after(10*time.Millisecond, func() {
		if s.isMemberUp() {
			sim.deliver(s.member, receive(s))
		}
	})
}
