package policy

import (
	"fmt"
	"time"
)

const (
	fleetCores       = 2
	fleetQueue       = 30
	fleetIdleTimeout = 30 * time.Second
	connectTime      = 3 * ms // until a new connection stands
	fleetConfirm     = 400 * ms
)

type simServer struct {
	Server
	index          int
	coreFreeAt     [fleetCores]time.Duration // when each core is
	inFlight       int                       // requests
	connections    int                       // connections
	maxConnections int
	bootedAt       time.Duration // 0: long ago
	isDown         bool
	served         int
	warmupSentAt   []time.Duration // work begun of late, while cold: at
	warmupWork     []float64
	isOverloaded   bool
	workReceived   float64 // work in all
	rejections     int
	reports        [4]float64 // busy share, of late
}

type connectionPool struct {
	idleSince []time.Duration // since when
	inUse     int
}

// use takes work, in seconds of a warm core, and returns when it is done.
func (b *simServer) use(s *fleetSim, work float64) time.Duration {
	warmth := 1.0
	if b.bootedAt > 0 {
		warmth = min(s.settings.SlowStartMinFraction+(1-s.settings.SlowStartMinFraction)*float64(b.served)/200, 1)
		// Rule 4: what was sent in a window against what the server could do in it.
		b.warmupSentAt, b.warmupWork = append(b.warmupSentAt, s.now), append(b.warmupWork, work)
		for s.now-b.warmupSentAt[0] > s.settings.ColdOverloadWindow {
			b.warmupSentAt, b.warmupWork = b.warmupSentAt[1:], b.warmupWork[1:]
		}
		sum := 0.0
		for _, w := range b.warmupWork {
			sum += w
		}
		if can := fleetCores * warmth * s.settings.ColdOverloadWindow.Seconds(); warmth < 1 && sum > s.settings.ColdOverloadMultiple*can+0.5 && !b.isOverloaded {
			b.isOverloaded = true
			s.total.serversOverloaded++
		}
	}
	b.workReceived += work
	core := 0
	for c := range b.coreFreeAt {
		if b.coreFreeAt[c] < b.coreFreeAt[core] {
			core = c
		}
	}
	b.coreFreeAt[core] = max(b.coreFreeAt[core], s.now) + time.Duration(work/warmth*float64(time.Second))
	return b.coreFreeAt[core]
}

func (s *fleetSim) work(class string) float64 {
	mean := 0.06
	if class == "keyed" {
		mean = 0.09
	}
	return mean * s.rng.ExpFloat64()
}

func (s *fleetSim) pool(gate int, server string) *connectionPool {
	l := s.pools[gate][server]
	if l == nil {
		l = &connectionPool{}
		s.pools[gate][server] = l
	}
	return l
}

// add brings a server; one that is cold has just started.
func (s *fleetSim) add(cold bool) {
	k := len(s.servers)
	b := &simServer{index: k, maxConnections: 200, Server: Server{ID: fmt.Sprintf("s-%04x", s.rng.IntN(1<<16)*1000+k), Kind: "k", Weight: 1, Zone: []string{"a", "b"}[k%2], Cell: k % 7}}
	if cold {
		b.bootedAt, b.StartedAt = s.now, s.now
	}
	s.servers = append(s.servers, b)
	s.byID[b.ID] = b
}

func (s *fleetSim) list() (l []Server) {
	for _, b := range s.servers {
		if !b.isDown {
			l = append(l, b.Server)
		}
	}
	return l
}

func (s *fleetSim) sendEndpoints() {
	for i := range s.engines {
		s.after(s.listDelay+time.Duration(s.rng.IntN(700))*ms, func() {
			if s.incarnations[i] >= 0 {
				s.engines[i].EndpointsChanged(s.now, EndpointsComplete, s.list(), s.hosts[i])
			}
		})
	}
}

// replaceServers puts a new cold server in the place of each of some, one by one.
func (s *fleetSim) replaceServers(n int, within time.Duration) {
	for k := range n {
		s.after(within*time.Duration(k)/time.Duration(n), func() {
			b := s.servers[k]
			b.State = Draining
			s.add(true)
			s.servers[len(s.servers)-1].Zone = b.Zone
			s.after(2*time.Second, func() { b.isDown = true })
		})
	}
	for at := time.Duration(0); at < within+3*time.Second; at += 300 * ms {
		s.after(at, s.sendEndpoints)
	}
}

func (s *fleetSim) loseZone(zone string, d time.Duration) {
	for _, b := range s.servers {
		if b.Zone == zone && !b.isDown {
			b.isDown, b.connections = true, 0
			s.after(d, func() { b.isDown, b.bootedAt, b.StartedAt, b.served = false, s.now, s.now, 0 })
		}
	}
	s.after(d+ms, s.sendEndpoints)
}
