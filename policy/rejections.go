package policy

import (
	"time"

	"mulleinmux/policy/quota"
)

// rejection is the reason why a request is rejected, and the delay after which its client should retry.
type rejection struct {
	reason     rejectReason
	retryAfter time.Duration
}

// quotaRejection returns the rejection of a request that is not within its customer's quota or, if an owner has decided
// on it, not within the owner's share of the hard limit.
func quotaRejection(decision quota.Decision) rejection {
	reason := rejectQuota
	if decision.ExceedsHardLimit {
		reason = rejectHardLimit
	}
	return rejection{reason, decision.RetryAfter}
}

// reject sends the final answer of a request that is rejected by a rule, which states to its client that a retry is
// safe.
func (e *Engine) reject(id string, rejected rejection) {
	e.rejections[rejected.reason]++
	e.actions.RejectRequest(id, e.settings.clientRetryAfter(rejected.retryAfter))
}

// clientRetryAfter returns the retry delay that is sent to the client, given the delay of the rule that rejected the
// request.
func (s *Settings) clientRetryAfter(wait time.Duration) time.Duration {
	if !s.SendsRetryAfter {
		wait = 0
	}
	return min(wait, s.MaxRetryAfter)
}

// rejectReason is the rule by which a request was rejected.
type rejectReason int

const (
	rejectNone         rejectReason = iota
	rejectUnknown                   // unknown class or plan, or no timeout
	rejectOverloaded                // too much work in flight
	rejectLate                      // late request at high occupancy
	rejectShortTimeout              // a timeout shorter than the mean latency
	rejectQuota                     // beyond the quota
	rejectHardLimit                 // beyond this node's part of the hard limit, or the owner's
	rejectThrottled                 // throttled by overload control
	rejectNoServer                  // no server may serve it
	rejectCustomers                 // a customer beyond those whose quotas are kept
	rejectUnserved                  // no attempt succeeded in time, and a retry by the client is safe
	rejectReasonCount
)

// rejectReasonNames are the names in the metrics and in the operators' documentation; they must not change.
var rejectReasonNames = [rejectReasonCount]string{
	rejectUnknown:      "unknown",
	rejectOverloaded:   "jammed",
	rejectLate:         "late",
	rejectShortTimeout: "short",
	rejectQuota:        "quota",
	rejectHardLimit:    "ceiling",
	rejectThrottled:    "throttled",
	rejectNoServer:     "no_server",
	rejectCustomers:    "customers",
	rejectUnserved:     "attempts_spent",
}

// String returns the reason's name.
func (r rejectReason) String() string { return rejectReasonNames[r] }

// EachRejectionCount calls a function with the number of requests rejected by each rule since the start.
func (e *Engine) EachRejectionCount(each func(rule string, n uint64)) {
	for i, n := range e.rejections {
		if reason := rejectReason(i); reason != rejectNone {
			each(reason.String(), n)
		}
	}
}
