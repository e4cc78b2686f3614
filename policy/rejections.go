package policy

import (
	"time"
)

// rejection says why a request is rejected, and after how long its client should retry.
type rejection struct {
	reason     rejectReason
	retryAfter time.Duration
}

// reject gives a request its final answer: nothing happened, and trying again is harmless.
func (e *Engine) reject(id string, why rejection) {
	e.rejections[why.reason]++
	retryAfter := why.retryAfter
	if !e.settings.SendsRetryAfter {
		retryAfter = 0
	}
	e.actions.RejectRequest(id, min(retryAfter, e.settings.MaxRetryAfter))
}

// rejectReason says by which rule a request was rejected.
type rejectReason int

const (
	rejectNone          rejectReason = iota
	rejectUnknown                    // class, plan or timeout that cannot be
	rejectOverloaded                 // the bound on work in flight
	rejectLate                       // a late try, under pressure
	rejectShortTimeout               // less time left than responses take
	rejectQuota                      // beyond the quota
	rejectHardLimit                  // beyond this node's part of the hard limit
	rejectThrottled                  // overload control
	rejectNoServer                   // no server that it may go to
	rejectAttemptsSpent              // its attempts came to nothing
	rejectReasonCount
)

// rejectReasonNames are the names of the reasons, as operators read them.
var rejectReasonNames = [rejectReasonCount]string{
	rejectUnknown:       "unknown",
	rejectOverloaded:    "jammed",
	rejectLate:          "late",
	rejectShortTimeout:  "short",
	rejectQuota:         "quota",
	rejectHardLimit:     "ceiling",
	rejectThrottled:     "throttled",
	rejectNoServer:      "no_server",
	rejectAttemptsSpent: "attempts_spent",
}

// String returns the reason's name.
func (r rejectReason) String() string { return rejectReasonNames[r] }

// EachRejectionCount tells how many requests were rejected, by the rule that rejected them.
func (e *Engine) EachRejectionCount(each func(rule string, n uint64)) {
	for i, n := range e.rejections {
		if why := rejectReason(i); why != rejectNone {
			each(why.String(), n)
		}
	}
}
