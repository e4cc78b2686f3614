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

func (w *simulation) startFollower(f *simFollower) {
	f.process++
	f.isUp, f.running, f.stream = true, nil, nil
	if f.disk.Accepted == nil && f.disk.Previous == nil {
		f.firstRef, f.newest = w.newest().Ref, nil
	}
	f.disk.StartCount++
	var actions []Action
	f.node, actions = NewFollower(FollowerConfig{
		Name:              f.name,
		ProcessID:         w.rng.Uint64(),
		HeartbeatInterval: 200 * time.Millisecond,
		SilenceTimeout:    time.Second,
		MaxAttempts:       2,
	}, *f.disk)
	w.perform(f, actions)
	w.connect(f, w.randomMillis(100))
}

// crash ends a follower's process; another one starts later, by chance on another machine.
func (w *simulation) crash(f *simFollower) {
	f.isUp = false
	f.process++
	w.breakStream(f.stream)
	if w.chance(0.1) {
		f.disk = &DurableState{}
	}
	w.after(w.randomMillis(1500), func() {
		if !f.isUp {
			w.startFollower(f)
		}
	})
}

// scheduleFollower schedules a follower's regular work and its faults.
func (w *simulation) scheduleFollower(f *simFollower) {
	w.every(50*time.Millisecond, func() {
		if f.isUp {
			w.perform(f, f.node.Tick(w.now))
		}
	})
	w.every(900*time.Millisecond, func() {
		if f.isUp && w.chance(0.2) {
			w.crash(f)
		}
	})
	w.every(300*time.Millisecond, func() {
		if f.isUp && f.stream != nil && w.chance(0.1) {
			w.perform(f, f.node.PushReceived(w.now, w.faultyPush()))
		}
	})
}

// faultyPush returns a push of a faulty member: any version, complete or a delta, by chance with another number or a
// part of its content.
func (w *simulation) faultyPush() *Push {
	v := w.all[w.rng.IntN(len(w.all))]
	var base *Version
	if w.rng.IntN(2) == 0 {
		base = w.all[w.rng.IntN(len(w.all))]
	}
	body := *v.Body(base)
	if w.rng.IntN(3) == 0 {
		body.Number += uint64(w.rng.IntN(5))
	}
	if w.rng.IntN(3) == 0 {
		body.Put = body.Put[:len(body.Put)/2]
	}
	return &Push{Nonce: w.rng.Uint64(), Body: &body}
}

// connect opens a stream after a while, and tries again until a member accepts it.
func (w *simulation) connect(f *simFollower, wait time.Duration) {
	process := f.process
	w.after(wait, func() {
		if !f.isUp || f.process != process || f.stream != nil {
			return
		}
		m := w.members[f.selector.Member()-1]
		if m.isDown || !m.publisher.Admit(w.now) {
			w.connect(f, f.selector.StreamEnded(false))
			return
		}
		w.lastID++
		s := &simStream{id: w.lastID, member: m, follower: f, memberProcess: m.process, followerProcess: f.process}
		f.stream, m.streams[s.id] = s, s
		hello := f.node.OpenStream(w.now)
		w.after(5*time.Millisecond, func() {
			if s.isMemberUp() {
				w.deliver(m, m.publisher.OpenStream(w.now, s.id, hello))
			}
		})
	})
}

// later schedules the end of a follower's action, unless the process ends before.
func (w *simulation) later(f *simFollower, do func()) {
	process := f.process
	w.after(w.randomMillis(30)+time.Millisecond, func() {
		if f.isUp && f.process == process {
			do()
		}
	})
}

// perform carries out a follower's actions.
func (w *simulation) perform(f *simFollower, actions []Action) {
	process := f.process
	for _, a := range actions {
		if !f.isUp || f.process != process {
			return
		}
		switch {
		case a.Persist != nil:
			w.performPersist(f, *a.Persist)
		case a.Check != nil:
			w.performCheck(f, a.Check)
		case a.Activate != nil:
			w.performActivate(f, a.Activate)
		case a.Send != nil:
			report := *a.Send
			w.sendToMember(f, func(s *simStream) []StreamAction {
				return s.member.publisher.ReportReceived(w.now, s.id, report)
			})
		case a.Ping != 0:
			w.sendToMember(f, func(s *simStream) []StreamAction {
				return s.member.publisher.PingReceived(w.now, s.id, a.Ping)
			})
		case a.CloseStream != "":
			w.breakStream(f.stream)
		}
	}
}

func (w *simulation) performPersist(f *simFollower, durable DurableState) {
	if w.chance(0.02) {
		if w.rng.IntN(2) == 0 {
			f.disk = &durable
		}
		w.crash(f)
		return
	}
	hasFailed := w.chance(0.01)
	w.later(f, func() {
		var err error
		if hasFailed {
			err = errors.New("no space left")
		} else {
			f.disk = &durable
		}
		w.perform(f, f.node.PersistCompleted(w.now, err))
	})
}

func (w *simulation) performCheck(f *simFollower, v *Version) {
	w.later(f, func() {
		if w.chance(0.02) || hasPlanWithPrice(v, checkCrashPrice) {
			w.crash(f)
			return
		}
		w.perform(f, f.node.CheckCompleted(w.now, problemsOf(v)))
	})
}

func (w *simulation) performActivate(f *simFollower, v *Version) {
	if w.chance(0.01) || hasPlanWithPrice(v, activationCrashPrice) {
		w.crash(f)
		return
	}
	if w.chance(0.01) {
		w.later(f, func() { w.perform(f, f.node.ActivationCompleted(w.now, errors.New("could not"))) })
		return
	}
	w.checkActivation(f, v)
	w.later(f, func() { w.perform(f, f.node.ActivationCompleted(w.now, nil)) })
}

// sendToMember has receive called at the member's end of the follower's stream, unless the message is lost.
func (w *simulation) sendToMember(f *simFollower, receive func(*simStream) []StreamAction) {
	s := f.stream
	if s == nil || s.isMute {
		return
	}
	w.after(10*time.Millisecond, func() {
		if s.isMemberUp() {
			w.deliver(s.member, receive(s))
		}
	})
}
