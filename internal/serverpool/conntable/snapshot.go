package conntable

import "time"

// Snapshot is the state of a table at one point in time.
type Snapshot[C any] struct {
	OpenCount int                          // connections in use, idle or being dialled
	Servers   map[string]ServerSnapshot[C] // by ID
}

// ServerSnapshot is the state of a server at one point in time.
type ServerSnapshot[C any] struct {
	IsUp        bool
	Idle        []C // most recently used last
	IdleTimeout time.Duration
}

// Snapshot returns the state of the table.
func (t *Table[C]) Snapshot(now time.Time) Snapshot[C] {
	snapshot := Snapshot[C]{OpenCount: t.openCount, Servers: map[string]ServerSnapshot[C]{}}
	for id, server := range t.servers {
		idle := make([]C, len(server.idle))
		for i, conn := range server.idle {
			idle[i] = conn.HostConn
		}
		snapshot.Servers[id] = ServerSnapshot[C]{
			IsUp:        server.isUp,
			Idle:        idle,
			IdleTimeout: server.idleTimeout.current(now, t.config.MaxIdleTimeout),
		}
	}
	return snapshot
}
