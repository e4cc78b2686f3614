package configstream

import "time"

// pushDecision is whether a version is pushed to a follower now, or why not.
type pushDecision int

const (
	pushNow              pushDecision = iota
	withheldNoVersion                 // the follower's target version is not retained at this member
	withheldReplyPending              // only one push is in flight at a time; after its reply the newest is pushed
	withheldNameConflict              // two processes use the name, and neither is sent a newer version
	withheldUnconfirmed               // without a version in force, the follower cannot recognize an outdated one
	withheldNotNewer                  // the follower runs the target version or a newer one
	withheldRejected                  // the follower has rejected the target version
)

// decidePush decides whether the target version is pushed now.
func (s *session) decidePush(target *Version, c confirmation) pushDecision {
	switch {
	case target == nil:
		return withheldNoVersion
	case s.pendingNonce != 0:
		return withheldReplyPending
	case s.nameConflict != "":
		return withheldNameConflict
	case s.running == nil && !s.isConfirmedSinceStreamBegan(c):
		return withheldUnconfirmed
	case s.running != nil && target.Compare(*s.running) != OrderNewer:
		return withheldNotNewer
	case findRejection(s.rejections, target.Ref) != nil:
		return withheldRejected
	}
	return pushNow
}

// isConfirmedSinceStreamBegan reports whether a quorum confirmation was requested after the stream began.
func (s *session) isConfirmedSinceStreamBegan(c confirmation) bool {
	return c.isValid && c.requestedAt >= s.beganAt
}

// bodyBase returns the version that the next push may be a difference from, or nil if the push must be complete.
func (s *session) bodyBase() *Ref {
	if s.needsFull {
		return nil
	}
	return s.running
}

// recordPush records a push that is being sent.
func (s *session) recordPush(now time.Duration, nonce uint64, ref Ref) {
	s.pendingNonce = nonce
	s.offered = &ref
	s.pushedAt = now
}

// reportDecision is what a member does after a report from a follower.
type reportDecision int

const (
	noAction        reportDecision = iota // the next push follows the next version or confirmation
	pushTargetIfDue                       // push the version that the follower should run, if it is due
	closeCorrupt                          // close the stream: a complete version was received corrupt
)

// handleReply returns what to do after a report, and ends the push that the report replies to. A follower that could
// not use a difference is sent the complete version once.
func (s *session) handleReply(r *Report, newest *Version) reportDecision {
	if r.Nonce == 0 || r.Nonce != s.pendingNonce {
		return noAction // the report is a status, or the reply to a push on another stream
	}
	s.pendingNonce = 0
	switch r.Result {
	case ResultApplied, ResultRejected:
		s.needsFull = false
		return pushTargetIfDue
	case ResultNeedsFull:
		if s.needsFull {
			return closeCorrupt
		}
		s.needsFull = true
		return pushTargetIfDue
	case ResultNotNewer:
		isBehind := r.Running != nil && newest.Compare(*r.Running) == OrderNewer
		if isBehind && s.offered != nil && newest.Ref != *s.offered {
			return pushTargetIfDue
		}
	}
	return noAction
}

// recordReport updates the follower's state from a report and returns whether it has changed.
func (s *session) recordReport(now time.Duration, r *Report) (hasChanged bool) {
	s.receivedAt = now
	if r.Running != nil && (s.running == nil || *s.running != *r.Running) {
		s.running = r.Running
		s.runningSince = now
		hasChanged = true
	}
	if r.Result == ResultRejected {
		rejection := Rejection{Ref: r.Ref, Problems: r.Problems, IsUnsupportedFormat: r.IsUnsupportedFormat}
		s.rejections = appendRejection(s.rejections, rejection)
		hasChanged = true
	}
	return hasChanged
}
