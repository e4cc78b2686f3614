package configstream

import (
	"fmt"
	"time"
)

// findNameConflict looks for another process under a follower's name and returns what is wrong; empty: nothing. Two
// streams that overlap may be one follower that was restarted, or that has lost the older stream without the member's
// knowledge: a conflict is two processes that were both heard after the later one had connected. Both stay at what
// they run.
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
