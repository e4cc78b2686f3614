package policy

import (
	"time"
)

type fleetActs struct {
	s    *fleetSim
	gate int
	life int
}

func (a *fleetActs) live() bool { return a.s.lives[a.gate] == a.life }

func (a *fleetActs) SendAttempt(id, server string, timeout time.Duration) {
	s := a.s
	r := s.reqs[id]
	b := s.byID[server]
	n := len(r.attempts)
	r.attempts = append(r.attempts, fleetAttempt{server: b, life: a.life, at: s.now})
	if n == 0 {
		s.total.wait += s.now - r.at
		s.ledger.sent(s.now, r)
	}
	s.total.attempts++
	if timeout <= 0 || timeout > r.ends-s.now {
		timeout = r.ends - s.now
	}
	l := s.link(a.gate, server)
	l.out++
	for len(l.idle) > 0 {
		last := l.idle[len(l.idle)-1]
		if l.idle = l.idle[:len(l.idle)-1]; s.now-last < fleetIdle && b != nil && !b.dead && (b.boot == 0 || last > b.boot) {
			r.attempts[n].reused = true
			break
		}
		if b != nil {
			b.conns--
		}
	}
	finish := func(res Result, took time.Duration) {
		s.after(took, func() {
			at := &r.attempts[n]
			if at.done {
				return
			}
			at.done = true
			l.out--
			if b != nil && (res == OK || res == RejectedByServer) && !b.dead && !at.cancel {
				l.idle = append(l.idle, s.now)
			} else if b != nil && res != ConnectFailed {
				b.conns--
			}
			if res == OK && !r.done {
				s.answer(r, true, 0)
			}
			if a.live() {
				s.gates[a.gate].AttemptCompleted(s.now, AttemptResult{ID: id, Attempt: n, RequestAnswered: r.done, Result: res, Server: server, Latency: s.now - at.at, ConnectedAt: at.at}, a)
			}
		})
	}
	if b == nil || b.dead {
		s.total.noConn++
		if b == nil || r.attempts[n].reused {
			finish(TimedOut, timeout)
		} else {
			finish(ConnectFailed, min(timeout, 250*ms))
		}
		return
	}
	delay := ms
	if !r.attempts[n].reused {
		s.total.opened++
		if b.conns >= b.cap {
			s.total.noConn++
			finish(ConnectFailed, ms)
			return
		}
		b.conns++
		delay += fleetShake
		b.use(s, 0.0015)
	}
	boot := b.boot
	s.after(delay, func() {
		at := &r.attempts[n]
		if at.done {
			return
		}
		if b.held >= fleetQueue {
			b.full++
			s.total.full++
			finish(RejectedByServer, ms)
			return
		}
		b.held++
		end := b.use(s, s.work(r.class))
		s.after(end-s.now, func() {
			b.held--
			if b.boot == boot && !b.dead {
				b.served++
			}
		})
		if left := at.at + timeout - s.now; end-s.now > left || b.fallen {
			finish(TimedOut, left)
		} else {
			finish(OK, end-s.now+ms)
		}
	})
}

func (a *fleetActs) RejectRequest(id string, d time.Duration) { a.s.answer(a.s.reqs[id], false, d) }

func (a *fleetActs) FailRequest(id string) { a.s.answer(a.s.reqs[id], false, 0) }

func (a *fleetActs) WatchEndpoints(bool) {}

func (a *fleetActs) Log(string) {}

func (a *fleetActs) SetTimer(t uint64, d time.Duration) {
	a.s.after(d, func() {
		if a.live() {
			a.s.gates[a.gate].TimerFired(a.s.now, t, a)
		}
	})
}

func (a *fleetActs) CancelAttempt(id string, n int) {
	r := a.s.reqs[id]
	at := &r.attempts[n]
	if at.done {
		return
	}
	at.done, at.cancel = true, true
	a.s.link(a.gate, at.server.ID).out--
	at.server.conns--
	a.s.after(0, func() {
		if a.live() {
			a.s.gates[a.gate].AttemptCompleted(a.s.now, AttemptResult{ID: id, Attempt: n, RequestAnswered: r.done, Result: Cancelled, Server: at.server.ID, Latency: a.s.now - at.at}, a)
		}
	})
}

func (a *fleetActs) CheckHealth(server string) {
	s, b := a.s, a.s.byID[server]
	s.total.probes++
	l := s.link(a.gate, server)
	res, took := OK, 4*ms
	if b == nil || b.dead {
		res, took = ConnectFailed, 250*ms
	} else if len(l.idle) == 0 {
		if b.conns >= b.cap {
			res = ConnectFailed
		} else {
			b.conns++
			s.total.opened++
			l.idle = append(l.idle, s.now)
			b.use(s, 0.0015)
		}
	}
	var load *LoadReport
	if res == OK {
		busy := 0.0
		for _, f := range b.free {
			if f > s.now {
				busy += 1.0 / fleetCores
			}
		}
		b.use(s, 0.0002)
		b.reports[s.rng.IntN(4)] = busy
		util := 0.0
		for _, u := range b.reports {
			util += u / 4
		}
		load = &LoadReport{InFlight: -1, Utilization: util, QueueLength: max(float64(b.held-fleetCores), 0)}
	}
	s.after(took, func() {
		if a.live() {
			s.gates[a.gate].HealthCheckCompleted(s.now, server, res, load, a)
		}
	})
}

func (a *fleetActs) SendGossip(peer int, m []byte) {
	s := a.s
	s.total.tells++
	if s.deaf || s.rng.Float64() < s.loss {
		return
	}
	m = append([]byte(nil), m...)
	hear := func() { s.gates[peer].GossipReceived(s.now, a.gate, m, s.acts[peer]) }
	took := time.Duration(1+s.rng.IntN(30)) * ms
	if s.spoilt && s.rng.Float64() < 0.05 {
		s.after(took+time.Duration(s.rng.IntN(300))*ms, hear)
	}
	if s.spoilt && s.rng.Float64() < 0.05 {
		took += time.Duration(s.rng.IntN(300)) * ms
	}
	s.after(took, hear)
}
