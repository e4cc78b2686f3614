package policy

import (
	"fmt"
	"time"
)

const (
	fleetCores          = 2
	fleetMaxInFlight    = 30 // requests that a server accepts at once
	fleetIdleTimeout    = 30 * time.Second
	fleetConnectTime    = 3 * ms // time to open a connection
	fleetWarmupRequests = 200    // requests after which a server is warm
)

// simServer is a simulated server. It queues requests, limits its connections, starts cold and can be overloaded while
// cold.
type simServer struct {
	Server
	coreFreeAt     [fleetCores]time.Duration
	inFlight       int // requests
	connections    int
	maxConnections int
	bootedAt       time.Duration // 0: long ago
	isDown         bool
	served         int
	warmupSentAt   []time.Duration // times at which work was sent within the last ColdOverloadWindow
	warmupWork     []float64       // work sent at each of these times
	isOverloaded   bool            // it was sent more work than it can take while cold
	workReceived   float64         // since the last summary
	rejections     int
	utilizations   [4]float64 // samples of health checks
}

// connectionPool is an engine's connections to one server.
type connectionPool struct {
	idleSince []time.Duration
	inUse     int
}

// addWork adds work, in seconds of a warm core, and returns the time at which it is done.
func (b *simServer) addWork(s *fleetSim, work float64) time.Duration {
	capacity := 1.0
	if b.bootedAt > 0 {
		least := s.settings.SlowStartMinFraction
		capacity = min(least+(1-least)*float64(b.served)/fleetWarmupRequests, 1)
		b.recordWarmupWork(s, work, capacity)
	}
	b.workReceived += work
	core := 0
	for c := range b.coreFreeAt {
		if b.coreFreeAt[c] < b.coreFreeAt[core] {
			core = c
		}
	}
	b.coreFreeAt[core] = max(b.coreFreeAt[core], s.now) + time.Duration(work/capacity*float64(time.Second))
	return b.coreFreeAt[core]
}

// recordWarmupWork compares the work sent within ColdOverloadWindow with the server's capacity in that time. A cold
// server that is sent more than ColdOverloadMultiple times its capacity becomes overloaded.
func (b *simServer) recordWarmupWork(s *fleetSim, work, capacity float64) {
	b.warmupSentAt, b.warmupWork = append(b.warmupSentAt, s.now), append(b.warmupWork, work)
	for s.now-b.warmupSentAt[0] > s.settings.ColdOverloadWindow {
		b.warmupSentAt, b.warmupWork = b.warmupSentAt[1:], b.warmupWork[1:]
	}
	sum := 0.0
	for _, w := range b.warmupWork {
		sum += w
	}
	possible := fleetCores * capacity * s.settings.ColdOverloadWindow.Seconds()
	if capacity < 1 && sum > s.settings.ColdOverloadMultiple*possible+0.5 && !b.isOverloaded {
		b.isOverloaded = true
		s.total.serversOverloaded++
	}
}

// loadReport returns the load report of a health check, which itself costs work.
func (b *simServer) loadReport(s *fleetSim) *LoadReport {
	busy := 0.0
	for _, freeAt := range b.coreFreeAt {
		if freeAt > s.now {
			busy += 1.0 / fleetCores
		}
	}
	b.addWork(s, fleetCheckWork)
	b.utilizations[s.rng.IntN(len(b.utilizations))] = busy
	mean := 0.0
	for _, u := range b.utilizations {
		mean += u / float64(len(b.utilizations))
	}
	return &LoadReport{InFlight: -1, Utilization: mean, QueueLength: max(float64(b.inFlight-fleetCores), 0)}
}

// drawWork returns the random work of a request, in seconds of a warm core.
func (s *fleetSim) drawWork(class string) float64 {
	mean := 0.06
	if class == "keyed" {
		mean = 0.09
	}
	return mean * s.rng.ExpFloat64()
}

// pool returns an engine's connections to a server.
func (s *fleetSim) pool(engine int, server string) *connectionPool {
	pool := s.pools[engine][server]
	if pool == nil {
		pool = &connectionPool{}
		s.pools[engine][server] = pool
	}
	return pool
}

// addServer adds a warm server.
func (s *fleetSim) addServer() *simServer {
	k := len(s.servers)
	id := fmt.Sprintf("s-%04x", s.rng.IntN(1<<16)*1000+k)
	listed := Server{ID: id, Kind: "k", Weight: 1, Zone: []string{"a", "b"}[k%2], Cell: k % 7}
	b := &simServer{Server: listed, maxConnections: 200}
	s.servers = append(s.servers, b)
	s.serversByID[b.ID] = b
	return b
}

// endpointList returns the current endpoint list.
func (s *fleetSim) endpointList() (servers []Server) {
	for _, b := range s.servers {
		if !b.isDown {
			servers = append(servers, b.Server)
		}
	}
	return servers
}

// sendEndpoints sends the endpoint list to each engine after a delay.
func (s *fleetSim) sendEndpoints() {
	for i := range s.engines {
		s.schedule(s.endpointListDelay+time.Duration(s.rng.IntN(700))*ms, func() {
			if s.incarnations[i] >= 0 {
				s.engines[i].EndpointsChanged(s.now, EndpointsComplete, s.endpointList(), s.hosts[i])
			}
		})
	}
}

// replaceServers replaces the first n servers by cold ones, one by one.
func (s *fleetSim) replaceServers(n int, within time.Duration) {
	for k := range n {
		s.schedule(within*time.Duration(k)/time.Duration(n), func() {
			old := s.servers[k]
			old.State = Draining
			next := s.addServer()
			next.Zone = old.Zone
			next.bootedAt, next.StartedAt = s.now, s.now
			s.schedule(2*time.Second, func() { old.isDown = true })
		})
	}
	for at := time.Duration(0); at < within+3*time.Second; at += 300 * ms {
		s.schedule(at, s.sendEndpoints)
	}
}

// failZone stops the servers of a zone, which restart cold after the downtime.
func (s *fleetSim) failZone(zone string, downtime time.Duration) {
	for _, b := range s.servers {
		if b.Zone == zone && !b.isDown {
			b.isDown, b.connections = true, 0
			s.schedule(downtime, func() { b.isDown, b.bootedAt, b.StartedAt, b.served = false, s.now, s.now, 0 })
		}
	}
	s.schedule(downtime+ms, s.sendEndpoints)
}
