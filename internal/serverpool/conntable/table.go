// Package conntable decides about a host's connections to app servers: which idle connection is reused, when a new one
// is dialled, which one is evicted at the limit of open connections and which ones are closed. It does no I/O and reads
// no clock: package serverpool passes it events with the current time, executes its decisions and guards it with a
// mutex.
//
// A connection counts as open from the [Dial] step on, until [Table.RecordClosed] is called. The connections that a
// method returns for the caller to close are already counted as closed.
package conntable

import (
	"net/netip"
	"time"

	"mulleinmux/policy"
)

// Config holds the limits of a table.
type Config struct {
	MaxIdleTimeout     time.Duration // idle timeout for servers without a shorter learned one
	MinIdleBeforeReuse time.Duration // time that a connection must be idle before it is reused
	MaxOpen            int           // limit of open connections, since file descriptors are limited
}

// Table holds the app servers of the endpoint list and their idle connections. C is the host's connection type, which
// is opaque to the table. Of the servers that the list has at one address, only the one that started last is used: the
// others have gone, and the list does not say so yet. Invariant: latest holds, for each address in use, that server.
type Table[C any] struct {
	config    Config
	servers   map[string]*Server[C] // by ID
	latest    map[netip.AddrPort]*Server[C]
	openCount int // connections in use, idle or being dialled
}

// Server is one run of an app server at one address. A server that moves or restarts is represented by a new Server.
type Server[C any] struct {
	ID   string
	Addr netip.AddrPort

	startedAt   time.Duration
	isListedUp  bool       // the endpoint list has it as up
	isReplaced  bool       // a server that started later has its address
	isUp        bool       // new requests may be sent to it: it is listed as up and not replaced
	idle        []*Conn[C] // most recently used last
	idleTimeout learnedIdleTimeout
}

// Conn is a connection to an app server, in use or idle.
type Conn[C any] struct {
	HostConn C

	server    *Server[C]    // no longer in the table if the server moved, restarted or was removed
	idleSince time.Time     // valid while the connection is idle
	idleTime  time.Duration // how long it was idle before its current use; 0 for a new connection
}

// New returns a table without servers.
func New[C any](config Config) *Table[C] {
	return &Table[C]{config: config, servers: map[string]*Server[C]{}, latest: map[netip.AddrPort]*Server[C]{}}
}

// UpdateServer applies the endpoint list's entry for one server and returns the idle connections that may no longer be
// used. A server that is draining, moved, restarted, was removed or replaced at its address keeps none. A connection in
// use does not become idle while its server is draining, and never again if the server moved, restarted or was removed.
func (t *Table[C]) UpdateServer(entry policy.Server, addr netip.AddrPort) (stale []*Conn[C]) {
	if entry.State == policy.Removed {
		return t.removeServer(entry.ID)
	}
	server := t.servers[entry.ID]
	if server != nil && (server.Addr != addr || server.startedAt != entry.StartedAt) {
		stale = t.removeServer(entry.ID)
		server = nil
	}
	if server == nil {
		server = &Server[C]{ID: entry.ID, Addr: addr, startedAt: entry.StartedAt}
		t.servers[entry.ID] = server
		stale = append(stale, t.claimAddress(server)...)
	}
	server.isListedUp = entry.State == policy.Up
	server.isUp = server.isListedUp && !server.isReplaced
	if !server.isUp {
		stale = append(stale, t.takeIdle(server)...)
	}
	return stale
}

// claimAddress records that a server has its address, and returns the idle connections of the one that it replaces
// there. Of two servers that started at the same time, neither replaces the other.
func (t *Table[C]) claimAddress(server *Server[C]) (stale []*Conn[C]) {
	holder := t.latest[server.Addr]
	switch {
	case holder == nil:
	case holder.startedAt > server.startedAt:
		server.isReplaced = true
		return nil
	case holder.startedAt < server.startedAt:
		holder.isReplaced, holder.isUp = true, false
		stale = t.takeIdle(holder)
	}
	t.latest[server.Addr] = server
	return stale
}

// RemoveUnlisted removes the servers that are not in a complete list and returns their idle connections.
func (t *Table[C]) RemoveUnlisted(listed map[string]bool) (stale []*Conn[C]) {
	for id := range t.servers {
		if !listed[id] {
			stale = append(stale, t.removeServer(id)...)
		}
	}
	return stale
}

// removeServer removes a server if it is in the table, and returns its idle connections.
func (t *Table[C]) removeServer(id string) []*Conn[C] {
	server := t.servers[id]
	if server == nil {
		return nil
	}
	server.isUp = false
	delete(t.servers, id)
	if t.latest[server.Addr] == server {
		delete(t.latest, server.Addr)
		t.releaseAddress(server.Addr)
	}
	return t.takeIdle(server)
}

// releaseAddress gives an address whose server was removed to the remaining one there that started last, if there is
// one. A start time can be too early because its machine's clock was set back.
func (t *Table[C]) releaseAddress(addr netip.AddrPort) {
	var next *Server[C]
	for _, server := range t.servers {
		if server.Addr == addr && (next == nil || server.startedAt > next.startedAt) {
			next = server
		}
	}
	if next != nil {
		t.latest[addr] = next
		next.isReplaced, next.isUp = false, next.isListedUp
	}
}

// IsServerUp reports whether a new request may be sent on a connection according to the endpoint list.
func (t *Table[C]) IsServerUp(conn *Conn[C]) bool { return conn.server.isUp }

// TakeIdleOf removes the idle connections of the server of conn and returns them for the caller to close.
func (t *Table[C]) TakeIdleOf(conn *Conn[C]) []*Conn[C] { return t.takeIdle(conn.server) }

// TakeAllIdle removes all idle connections and returns them for the caller to close.
func (t *Table[C]) TakeAllIdle() (idle []*Conn[C]) {
	for _, server := range t.servers {
		idle = append(idle, t.takeIdle(server)...)
	}
	return idle
}

// takeIdle removes and returns the idle connections of a server.
func (t *Table[C]) takeIdle(server *Server[C]) []*Conn[C] {
	idle := server.idle
	server.idle = nil
	t.openCount -= len(idle)
	return idle
}
