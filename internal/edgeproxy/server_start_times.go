package edgeproxy

import (
	"time"

	"mulleinmux/policy"
)

// maxStartTimeLead is by how much a server's start time may be ahead of the node's clock: clocks of machines differ.
const maxStartTimeLead = time.Second

// serverStartTimes converts the start times of the endpoint list, which are readings of wall clocks, to the node's
// clock, on which a start can't be ahead, nor earlier than that of the server's last process. Where a server's clock was
// stepped by an unknown time, its start counts from when the node learns of it. It does no I/O; the caller guards it
// with a mutex.
type serverStartTimes struct {
	known map[string]serverStartTime // by the server's ID
}

// serverStartTime is the start of a server's present process.
type serverStartTime struct {
	listed    time.Duration // as in the endpoint list; 0: long ago
	converted time.Duration // on the node's clock
}

// nodeTime is the present time on both clocks of a node.
type nodeTime struct {
	clock time.Duration // the node's clock, which is never stepped
	wall  time.Duration // Unix time
}

// convert returns the server with its start time on the node's clock.
func (s *serverStartTimes) convert(now nodeTime, server policy.Server) policy.Server {
	if server.State == policy.Removed {
		delete(s.known, server.ID)
		return server
	}
	last, isKnown := s.known[server.ID]
	if !isKnown || last.listed != server.StartedAt {
		converted := now.startTime(server.StartedAt)
		if isKnown && server.StartedAt > 0 && server.StartedAt < last.listed && converted < last.converted {
			converted = now.clock
		}
		last = serverStartTime{server.StartedAt, converted}
		s.known[server.ID] = last
	}
	server.StartedAt = last.converted
	return server
}

// startTime returns a listed start time on the node's clock. If the machine's wall clock was stepped since the node's
// clock began, a start time may be a reading from before or after that.
func (n nodeTime) startTime(listed time.Duration) time.Duration {
	lead := n.wall - n.clock
	switch {
	case listed == 0:
		return 0
	case lead < -maxStartTimeLead && listed-lead <= n.clock: // from after a step back, or long ago
		return listed - lead
	case listed <= n.clock+maxStartTimeLead:
		return listed
	case lead > maxStartTimeLead: // from after a step forward
		return min(listed-lead, n.clock)
	}
	return n.clock
}

// retain forgets all servers but those of a complete list.
func (s *serverStartTimes) retain(servers []policy.Server) {
	listed := map[string]serverStartTime{}
	for _, server := range servers {
		if start, isKnown := s.known[server.ID]; isKnown {
			listed[server.ID] = start
		}
	}
	s.known = listed
}
