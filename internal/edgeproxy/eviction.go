package edgeproxy

import (
	"time"
)

// Ages of a connection's state that decide on its eviction.
const (
	silentGrace  = 100 * time.Millisecond // most clients send a request as soon as they have connected
	idleGrace    = 2 * time.Second        // clients may expect an idle connection to stay open this long
	readingGrace = 500 * time.Millisecond // since the start of a head, and since its latest piece
	newConnGrace = 20 * time.Millisecond  // the same on a connection on which no request was served yet
	writtenGrace = 100 * time.Millisecond // for the last response to reach the client
	endingGrace  = 500 * time.Millisecond // for the close of a connection after its last response
)

// nearConnLimitPercent is the percentage of a limiter's connections in use from which on responses close their
// connections.
const nearConnLimitPercent = 75

// isNearConnLimit decides whether responses should close their connections, given the connections in use and their
// limit. A client whose response announces the close loses nothing, while a client whose idle connection is evicted
// loses its next request. Connections on which no request has been received completely don't count as in use, because
// evicting them costs nothing.
func isNearConnLimit(inUse, maxConns int) bool { return inUse*100 >= maxConns*nearConnLimitPercent }

// connActivity describes a client connection at one moment.
type connActivity struct {
	state     clientConnState
	age       time.Duration // of the state
	sinceRead time.Duration // since data was last received
	hasServed bool          // a request was served on the connection
	isEnding  bool          // it is closed after its last answer
}

// endsSoon reports whether the connection is about to be closed, because its last answer was given a moment ago. A
// client that does not read that answer may keep the connection open for longer.
func (a connActivity) endsSoon() bool {
	return a.isEnding && a.state.isBetweenRequests() && a.age < endingGrace
}

// evictionPriority orders connections for eviction; the highest is evicted first.
type evictionPriority int

const (
	evictNever       evictionPriority = iota
	evictSlowHead                     // still sending a request, but slowly
	evictIdleShort                    // idle for long enough that the last response has reached the client
	evictNewStalled                   // stopped in the middle of its first request
	evictSilent                       // silent for a shorter time
	evictStalledHead                  // stopped in the middle of a head
	evictIdleLong                     // idle for longer than idleGrace
	evictSilentLong                   // silent for longer than silentGrace
)

// evictionPriority returns the priority with which a connection is evicted for a new one at the limit of connections.
// First are long-silent connections, which some clients open by the hundred, then connections that have been idle for
// long or stalled in a request, first of all in their first one, then the rest. A connection with an active request is
// never evicted. With evictsOldest all other connections have the same priority.
func (a connActivity) evictionPriority(evictsOldest bool) evictionPriority {
	switch {
	case evictsOldest:
		if a.state == stateActive {
			return evictNever
		}
		return evictSlowHead
	case a.state == stateSilent && a.age >= silentGrace:
		return evictSilentLong
	case a.state.isBetweenRequests() && a.age >= idleGrace:
		return evictIdleLong
	case a.state == stateReading && a.age >= readingGrace && a.sinceRead >= readingGrace:
		return evictStalledHead
	case a.state == stateSilent:
		return evictSilent
	case a.state == stateReading && !a.hasServed && a.age >= newConnGrace && a.sinceRead >= newConnGrace:
		return evictNewStalled
	case a.state.isBetweenRequests() && a.age >= writtenGrace:
		return evictIdleShort
	case a.state == stateReading && a.age >= readingGrace:
		return evictSlowHead
	}
	return evictNever
}

// minIdlePart is the part of the limit, as a divisor, from which on idle connections are evicted after a short time.
const minIdlePart = 8

// prefersRefusal reports whether a new connection is refused rather than one of this priority evicted for it, as long
// as refusals are possible: few connections are idle, so that others take the room, and the client of this one is
// sound.
func (p evictionPriority) prefersRefusal(idleConns, maxConns int) bool {
	return p == evictIdleShort && idleConns*minIdlePart < maxConns
}

// isUnusedFor reports whether a drain evicts a connection: one that has been between requests for at least minIdle and
// long enough for its last response to reach the client, or one that has been silent since it was accepted for at least
// minSilent.
func (a connActivity) isUnusedFor(minIdle, minSilent time.Duration) bool {
	if a.state == stateSilent {
		return a.age >= minSilent
	}
	return a.state.isBetweenRequests() && a.age >= max(minIdle, writtenGrace)
}
