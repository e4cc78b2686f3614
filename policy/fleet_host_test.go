package policy

import (
	"time"
)

type fleetHost struct {
	sim         *fleetSim
	engine      int
	incarnation int
}

func (a *fleetHost) isLive() bool { return a.sim.incarnations[a.engine] == a.incarnation }

func (a *fleetHost) SendAttempt(id, server string, timeout time.Duration) {
	s := a.sim
	r := s.requests[id]
	b := s.byID[server]
	n := len(r.attempts)
	r.attempts = append(r.attempts, fleetAttempt{server: b, incarnation: a.incarnation, sentAt: s.now})
	if n == 0 {
		s.total.firstAttemptDelay += s.now - r.at
		s.ledger.requestForwarded(s.now, r)
	}
	s.total.attempts++
	if timeout <= 0 || timeout > r.deadline-s.now {
		timeout = r.deadline - s.now
	}
	l := s.pool(a.engine, server)
	l.inUse++
	for len(l.idleSince) > 0 {
		last := l.idleSince[len(l.idleSince)-1]
		if l.idleSince = l.idleSince[:len(l.idleSince)-1]; s.now-last < fleetIdleTimeout && b != nil && !b.isDown && (b.bootedAt == 0 || last > b.bootedAt) {
			r.attempts[n].reusesConnection = true
			break
		}
		if b != nil {
			b.connections--
		}
	}
	finish := func(res Result, took time.Duration) {
		s.after(took, func() {
			at := &r.attempts[n]
			if at.isDone {
				return
			}
			at.isDone = true
			l.inUse--
			if b != nil && (res == OK || res == RejectedByServer) && !b.isDown && !at.isCancelled {
				l.idleSince = append(l.idleSince, s.now)
			} else if b != nil && res != ConnectFailed {
				b.connections--
			}
			if res == OK && !r.isDone {
				s.answer(r, true, 0)
			}
			if a.isLive() {
				s.engines[a.engine].AttemptCompleted(s.now, AttemptResult{ID: id, Attempt: n, RequestAnswered: r.isDone, Result: res, Server: server, Latency: s.now - at.sentAt, ConnectedAt: at.sentAt}, a)
			}
		})
	}
	if b == nil || b.isDown {
		s.total.connectionsFailed++
		if b == nil || r.attempts[n].reusesConnection {
			finish(TimedOut, timeout)
		} else {
			finish(ConnectFailed, min(timeout, 250*ms))
		}
		return
	}
	delay := ms
	if !r.attempts[n].reusesConnection {
		s.total.connectionsOpened++
		if b.connections >= b.maxConnections {
			s.total.connectionsFailed++
			finish(ConnectFailed, ms)
			return
		}
		b.connections++
		delay += connectTime
		b.use(s, 0.0015)
	}
	boot := b.bootedAt
	s.after(delay, func() {
		at := &r.attempts[n]
		if at.isDone {
			return
		}
		if b.inFlight >= fleetQueue {
			b.rejections++
			s.total.serverRejections++
			finish(RejectedByServer, ms)
			return
		}
		b.inFlight++
		end := b.use(s, s.work(r.class))
		s.after(end-s.now, func() {
			b.inFlight--
			if b.bootedAt == boot && !b.isDown {
				b.served++
			}
		})
		if left := at.sentAt + timeout - s.now; end-s.now > left || b.isOverloaded {
			finish(TimedOut, left)
		} else {
			finish(OK, end-s.now+ms)
		}
	})
}

func (a *fleetHost) RejectRequest(id string, d time.Duration) {
	a.sim.answer(a.sim.requests[id], false, d)
}

func (a *fleetHost) FailRequest(id string) { a.sim.answer(a.sim.requests[id], false, 0) }

func (a *fleetHost) WatchEndpoints(bool) {}

func (a *fleetHost) Log(string) {}

func (a *fleetHost) SetTimer(t uint64, d time.Duration) {
	a.sim.after(d, func() {
		if a.isLive() {
			a.sim.engines[a.engine].TimerFired(a.sim.now, t, a)
		}
	})
}

func (a *fleetHost) CancelAttempt(id string, n int) {
	r := a.sim.requests[id]
	at := &r.attempts[n]
	if at.isDone {
		return
	}
	at.isDone, at.isCancelled = true, true
	a.sim.pool(a.engine, at.server.ID).inUse--
	at.server.connections--
	a.sim.after(0, func() {
		if a.isLive() {
			a.sim.engines[a.engine].AttemptCompleted(a.sim.now, AttemptResult{ID: id, Attempt: n, RequestAnswered: r.isDone, Result: Cancelled, Server: at.server.ID, Latency: a.sim.now - at.sentAt}, a)
		}
	})
}

func (a *fleetHost) CheckHealth(server string) {
	s, b := a.sim, a.sim.byID[server]
	s.total.healthChecks++
	l := s.pool(a.engine, server)
	res, took := OK, 4*ms
	if b == nil || b.isDown {
		res, took = ConnectFailed, 250*ms
	} else if len(l.idleSince) == 0 {
		if b.connections >= b.maxConnections {
			res = ConnectFailed
		} else {
			b.connections++
			s.total.connectionsOpened++
			l.idleSince = append(l.idleSince, s.now)
			b.use(s, 0.0015)
		}
	}
	var load *LoadReport
	if res == OK {
		busy := 0.0
		for _, f := range b.coreFreeAt {
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
		load = &LoadReport{InFlight: -1, Utilization: util, QueueLength: max(float64(b.inFlight-fleetCores), 0)}
	}
	s.after(took, func() {
		if a.isLive() {
			s.engines[a.engine].HealthCheckCompleted(s.now, server, res, load, a)
		}
	})
}

func (a *fleetHost) SendGossip(peer int, m []byte) {
	s := a.sim
	s.total.gossipMessages++
	if s.dropsGossip || s.rng.Float64() < s.loss {
		return
	}
	m = append([]byte(nil), m...)
	hear := func() { s.engines[peer].GossipReceived(s.now, a.engine, m, s.hosts[peer]) }
	took := time.Duration(1+s.rng.IntN(30)) * ms
	if s.reordersGossip && s.rng.Float64() < 0.05 {
		s.after(took+time.Duration(s.rng.IntN(300))*ms, hear)
	}
	if s.reordersGossip && s.rng.Float64() < 0.05 {
		took += time.Duration(s.rng.IntN(300)) * ms
	}
	s.after(took, hear)
}
