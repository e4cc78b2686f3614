package edgeproxy

import "time"

// A drain by an operator's word: the node is no longer ready and each answer closes its
// connection. The front notices within 0.1 s and clients still come for 0.2 s more; they go
// on using the connections that they have. So idle ones stay open for the next request at
// first, which loses nothing; then those that nobody used go, and soon the rest.
const (
	shedEvery  = 50 * time.Millisecond
	shedFrom   = 600 * time.Millisecond  // from the word; no new client comes any more
	shedIdle   = 1 * time.Second         // idle for so long goes from then on
	shedAll    = 1700 * time.Millisecond // every idle connection goes from then on: a request that still came
	shedSilent = 400 * time.Millisecond  // on one would keep the node from being empty
)

// leave takes the node out of service until enter. It does not wait for the node to be
// empty; a second call changes nothing.
func (f *front) leave() {
	f.outMu.Lock()
	defer f.outMu.Unlock()
	if f.outEnd != nil {
		return
	}
	end := make(chan struct{})
	f.outEnd = end
	f.outOfService.Store(true)
	f.node.log.Printf("out of service")
	f.node.spawn(func() {
		began, tick := time.Now(), time.NewTicker(shedEvery)
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-f.node.ctx.Done():
				return
			case <-tick.C:
			}
			idle := shedIdle
			switch age := time.Since(began); {
			case age < shedFrom:
				continue
			case age >= shedAll:
				idle = 0
			}
			for _, c := range f.slots.shed(idle, shedSilent) {
				c.Conn.Close()
			}
		}
	})
}

// enter ends a drain: the node is ready again.
func (f *front) enter() {
	f.outMu.Lock()
	defer f.outMu.Unlock()
	if f.outEnd == nil {
		return
	}
	close(f.outEnd)
	f.outEnd = nil
	f.outOfService.Store(false)
	f.node.log.Printf("in service")
}

// empties tells whether answers should close their connections.
func (f *front) empties() bool { return f.draining.Load() || f.outOfService.Load() }

// takes tells whether the front may send clients here.
func (f *front) takes() bool { return f.ready.Load() && !f.outOfService.Load() }
