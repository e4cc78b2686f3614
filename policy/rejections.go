package policy

import (
	"time"
)

// reject refuses a request; trying it again is harmless.
func (e *Engine) reject(id string, wait time.Duration, why int) {
	e.rejections[why]++
	if !e.settings.SendsRetryAfter {
		wait = 0
	}
	e.actions.RejectRequest(id, min(wait, e.settings.MaxRetryAfter))
}

// What a request was refused for.
const (
	rejectNone          = iota
	rejectUnknown       // class, plan or wait that can't be
	rejectOverloaded    // the bound on work out
	rejectLate          // a late try, under pressure
	rejectShortTimeout  // less wait left than answers take
	rejectQuota         // beyond the quota
	rejectHardLimit     // beyond this gateway's part of the ceiling
	rejectThrottled     // the throttle
	rejectNoServer      // no server that it may go to
	rejectAttemptsSpent // its attempts came to nothing
	rejectReasonCount
)

// rejectReasonNames are the names of these, as operators read them.
var rejectReasonNames = [rejectReasonCount]string{"", "unknown", "jammed", "late", "short", "quota", "ceiling", "throttled", "no_server", "attempts_spent"}

// EachRejectionCount tells how many requests were refused, by the rule that refused them.
func (e *Engine) EachRejectionCount(each func(rule string, n uint64)) {
	for why, n := range e.rejections {
		if why != rejectNone {
			each(rejectReasonNames[why], n)
		}
	}
}
