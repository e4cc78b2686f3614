package configstream

import (
	"fmt"
	"time"
)

// findNameConflict returns a description of the conflict with another process that uses the follower's name, or "".
// During a conflict neither process is sent a newer version.
func (p *Publisher) findNameConflict(now time.Duration, s *session) (conflict string) {
	const text = "processes %x and %x, connected to members %d and %d, are both called %s: " +
		"stop one, and give it a name and a file of its own"
	own := s.observed(now)
	p.forEachObservation(now, s.hello.Name, func(member uint64, o ObservedStream) {
		if !own.conflictsWith(&o, p.cfg.SilenceTimeout) {
			return
		}
		conflict = fmt.Sprintf(text,
			min(own.ProcessID, o.ProcessID), max(own.ProcessID, o.ProcessID),
			min(p.cfg.MemberID, member), max(p.cfg.MemberID, member), own.Name)
	})
	return conflict
}

// conflictsWith reports whether two streams with the same name belong to two processes that are both running. Streams
// can also overlap when a follower was restarted, or when it lost the older stream unnoticed. Therefore both streams
// must have received messages since the later one was opened, and the other stream one within the silence timeout.
func (o *ObservedStream) conflictsWith(other *ObservedStream, silenceTimeout time.Duration) bool {
	areBothActive := max(o.SilentFor, other.SilentFor) < min(o.StreamAge, other.StreamAge)
	return o.ProcessID != other.ProcessID && areBothActive && other.SilentFor < silenceTimeout
}
