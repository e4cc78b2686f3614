package conntable

import (
	"errors"
	"slices"
	"time"
)

// The errors of [Table.Acquire].
var (
	ErrServerNotUp  = errors.New("server is not up in the endpoint list")
	ErrNoDescriptor = errors.New("limit of open connections reached and none is idle")
)

// StepKind is the action that the caller takes next to get a connection.
type StepKind int

// The kinds of steps.
const (
	Reuse  StepKind = iota // use Conn if it is quiet; otherwise close it, call [Table.RecordClosed] and acquire again
	Expire                 // close Conn, call [Table.RecordClosed] and acquire again
	Dial                   // close Evicted, then dial Server; the new connection is already counted as open
)

// Step is the result of [Table.Acquire].
type Step[C any] struct {
	Kind    StepKind
	Conn    *Conn[C]   // set for Reuse and Expire
	Server  *Server[C] // set for Dial
	Evicted *Conn[C]   // may be set for Dial
}

// Acquire decides how to get a connection to the server with the given ID: by reusing the most recently used idle one
// that is reusable, or by dialling a new one. The error is ErrServerNotUp or ErrNoDescriptor.
func (t *Table[C]) Acquire(now time.Time, id string) (Step[C], error) {
	server := t.servers[id]
	if server == nil || !server.isUp {
		return Step[C]{}, ErrServerNotUp
	}
	if conn := server.takeLatestIdle(now, t.config.MinIdleBeforeReuse); conn != nil {
		conn.idleTime = now.Sub(conn.idleSince)
		if conn.idleTime < server.idleTimeout.current(now, t.config.MaxIdleTimeout) {
			return Step[C]{Kind: Reuse, Conn: conn}, nil
		}
		return Step[C]{Kind: Expire, Conn: conn}, nil
	}
	evicted, err := t.reserveDial()
	if err != nil {
		return Step[C]{}, err
	}
	return Step[C]{Kind: Dial, Server: server, Evicted: evicted}, nil
}

// takeLatestIdle removes and returns the most recently used connection that has been idle for at least minIdleTime, or
// nil if there is none. Since the most recently used one is preferred, the others time out when there is little
// traffic.
func (s *Server[C]) takeLatestIdle(now time.Time, minIdleTime time.Duration) *Conn[C] {
	for n := len(s.idle) - 1; n >= 0; n-- {
		if conn := s.idle[n]; now.Sub(conn.idleSince) >= minIdleTime {
			s.idle = slices.Delete(s.idle, n, n+1)
			return conn
		}
	}
	return nil
}

// reserveDial counts a new connection as open if it may be dialled. At the limit of open connections it evicts the one
// that has been idle for longest, of whichever server; if none is idle it returns ErrNoDescriptor.
func (t *Table[C]) reserveDial() (evicted *Conn[C], err error) {
	if t.openCount >= t.config.MaxOpen {
		if evicted = t.takeLongestIdle(); evicted == nil {
			return nil, ErrNoDescriptor
		}
	}
	t.openCount++
	return evicted, nil
}

// takeLongestIdle removes and returns the connection that has been idle for longest, or nil if none is idle.
func (t *Table[C]) takeLongestIdle() *Conn[C] {
	var longest *Server[C]
	for _, server := range t.servers {
		if len(server.idle) > 0 && (longest == nil || server.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = server
		}
	}
	if longest == nil {
		return nil
	}
	conn := longest.idle[0]
	longest.idle = longest.idle[1:]
	t.openCount--
	return conn
}

// CompleteDial returns the connection for a dial that succeeded. It returns nil if the endpoint list changed in the
// meantime, so that no new request may be sent to the server; the caller then closes hostConn and calls
// [Table.RecordClosed].
func (t *Table[C]) CompleteDial(server *Server[C], hostConn C) *Conn[C] {
	if !server.isUp {
		return nil
	}
	return &Conn[C]{HostConn: hostConn, server: server}
}

// RecordClosed counts a connection as closed after its use, or a dial as failed or cancelled.
func (t *Table[C]) RecordClosed() { t.openCount-- }

// Release makes a connection idle after its use. It returns false if no new request may be sent on it; the caller then
// closes it and calls [Table.RecordClosed].
func (t *Table[C]) Release(now time.Time, conn *Conn[C]) bool {
	if !conn.server.isUp {
		return false
	}
	conn.idleSince = now
	conn.server.idle = append(conn.server.idle, conn)
	return true
}
