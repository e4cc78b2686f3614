package configstream

import (
	"fmt"
	"time"
)

// findNameConflict returns a description of another process that uses a follower's name; empty: there is none.
// Streams that overlap may also be those of one follower that was restarted or has lost the older stream unnoticed.
// A conflict is therefore two processes that both sent messages after the later one had connected. Neither gets a
// newer version.
func (p *Publisher) findNameConflict(now time.Duration, s *session) (conflict string) {
	const text = "processes %x and %x, at members %d and %d, are both called %s: " +
		"end one, and give it a name and a file of its own"
	own := s.observed(now)
	p.forEachObservation(now, s.hello.Name, func(member uint64, o ObservedStream) {
		areBothActive := max(o.SilentFor, own.SilentFor) < min(o.StreamAge, own.StreamAge)
		if o.ProcessID == own.ProcessID || !areBothActive || o.SilentFor >= p.cfg.SilenceTimeout {
			return
		}
		conflict = fmt.Sprintf(text,
			min(own.ProcessID, o.ProcessID), max(own.ProcessID, o.ProcessID),
			min(p.cfg.Member, member), max(p.cfg.Member, member), own.Name)
	})
	return conflict
}
