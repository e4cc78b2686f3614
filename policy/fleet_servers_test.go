package policy

import (
	"fmt"
	"time"
)

const (
	fleetCores   = 2
	fleetQueue   = 30
	fleetIdle    = 30 * time.Second
	fleetShake   = 3 * ms // until a new connection stands
	fleetConfirm = 400 * ms
)

type booth struct {
	Server
	n       int
	free    [fleetCores]time.Duration // when each core is
	held    int                       // requests
	conns   int                       // connections
	cap     int
	boot    time.Duration // 0: long ago
	dead    bool
	served  int
	sent    []time.Duration // work begun of late, while cold: at
	work    []float64
	fallen  bool
	got     float64 // work in all
	full    int
	reports [4]float64 // busy share, of late
}

type link struct {
	idle []time.Duration // since when
	out  int
}

// use takes work, in seconds of a warm core, and returns when it is done.
func (b *booth) use(s *fleetSim, work float64) time.Duration {
	warmth := 1.0
	if b.boot > 0 {
		warmth = min(s.set.SlowStartMinFraction+(1-s.set.SlowStartMinFraction)*float64(b.served)/200, 1)
		// Rule 4: what was sent in a window against what the server could do in it.
		b.sent, b.work = append(b.sent, s.now), append(b.work, work)
		for s.now-b.sent[0] > s.set.ColdOverloadWindow {
			b.sent, b.work = b.sent[1:], b.work[1:]
		}
		sum := 0.0
		for _, w := range b.work {
			sum += w
		}
		if can := fleetCores * warmth * s.set.ColdOverloadWindow.Seconds(); warmth < 1 && sum > s.set.ColdOverloadMultiple*can+0.5 && !b.fallen {
			b.fallen = true
			s.total.falls++
		}
	}
	b.got += work
	core := 0
	for c := range b.free {
		if b.free[c] < b.free[core] {
			core = c
		}
	}
	b.free[core] = max(b.free[core], s.now) + time.Duration(work/warmth*float64(time.Second))
	return b.free[core]
}

func (s *fleetSim) work(class string) float64 {
	mean := 0.06
	if class == "keyed" {
		mean = 0.09
	}
	return mean * s.rng.ExpFloat64()
}

func (s *fleetSim) link(gate int, server string) *link {
	l := s.links[gate][server]
	if l == nil {
		l = &link{}
		s.links[gate][server] = l
	}
	return l
}

// add brings a server; one that is cold has just started.
func (s *fleetSim) add(cold bool) {
	k := len(s.booths)
	b := &booth{n: k, cap: 200, Server: Server{ID: fmt.Sprintf("s-%04x", s.rng.IntN(1<<16)*1000+k), Kind: "k", Weight: 1, Zone: []string{"a", "b"}[k%2], Cell: k % 7}}
	if cold {
		b.boot, b.StartedAt = s.now, s.now
	}
	s.booths = append(s.booths, b)
	s.byID[b.ID] = b
}

func (s *fleetSim) list() (l []Server) {
	for _, b := range s.booths {
		if !b.dead {
			l = append(l, b.Server)
		}
	}
	return l
}

func (s *fleetSim) tellList() {
	for i := range s.gates {
		s.after(s.listDelay+time.Duration(s.rng.IntN(700))*ms, func() {
			if s.lives[i] >= 0 {
				s.gates[i].EndpointsChanged(s.now, EndpointsComplete, s.list(), s.acts[i])
			}
		})
	}
}

// replaceServers puts a new cold server in the place of each of some, one by one.
func (s *fleetSim) replaceServers(n int, within time.Duration) {
	for k := range n {
		s.after(within*time.Duration(k)/time.Duration(n), func() {
			b := s.booths[k]
			b.State = Draining
			s.add(true)
			s.booths[len(s.booths)-1].Zone = b.Zone
			s.after(2*time.Second, func() { b.dead = true })
		})
	}
	for at := time.Duration(0); at < within+3*time.Second; at += 300 * ms {
		s.after(at, s.tellList)
	}
}

func (s *fleetSim) loseZone(zone string, d time.Duration) {
	for _, b := range s.booths {
		if b.Zone == zone && !b.dead {
			b.dead, b.conns = true, 0
			s.after(d, func() { b.dead, b.boot, b.StartedAt, b.served = false, s.now, s.now, 0 })
		}
	}
	s.after(d+ms, s.tellList)
}
