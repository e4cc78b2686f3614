package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"mulleinmux/internal/httpwire"
	"mulleinmux/routing"
)

// version is a setup in force and the counters of its operations. It is immutable.
type version struct {
	number    uint64
	table     *routing.Table
	counters  []*Counters // by Operation.Index
	checker   Checker     // nil: only the values that determine the cost are checked
	licensees map[string]Licensee
}

// Checker checks a request's parameters and body against everything that the description specifies for them.
type Checker interface {
	// Check returns an error if the request violates the description.
	Check(op *routing.Operation, head *httpwire.Head, body []byte) error
}

// versions holds the version in force and when a quorum last confirmed it. All fields are atomic or immutable, so any
// goroutine may read them.
type versions struct {
	agreement *Agreement // nil: no confirmation is required
	startedAt time.Time

	current     atomic.Pointer[version]
	confirmedAt atomic.Int64 // ns since startedAt; 0: not confirmed since the start

	unconfirmedCount atomic.Int64 // requests rejected because the version in force was not confirmed
}

// confirm records that the version in force was confirmed as of a time. An earlier time than the last one is ignored.
func (v *versions) confirm(at time.Time) {
	since := max(int64(at.Sub(v.startedAt)), 1)
	for {
		previous := v.confirmedAt.Load()
		if since <= previous || v.confirmedAt.CompareAndSwap(previous, since) {
			return
		}
	}
}

// confirmation returns how long ago the version in force was confirmed, and whether requests are served on it. None are
// served before the first confirmation, since another version may have been agreed on while this process was down.
func (v *versions) confirmation(now time.Time) (age time.Duration, serves bool) {
	if v.agreement == nil {
		return 0, true
	}
	confirmedAt := v.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	age = now.Sub(v.startedAt) - time.Duration(confirmedAt)
	return age, v.agreement.serves(age)
}

// serves decides whether requests are served on a setup whose last confirmation has a given age. Operators choose with
// RejectsStale: a stale setup may have been replaced, but an instance that rejects requests on it serves none while it
// cannot reach a quorum.
func (a *Agreement) serves(age time.Duration) bool { return !a.RejectsStale || age <= a.StaleAfter }

// forRequest returns the version for a request received now and how long ago it was confirmed, or an error that rejects
// the request. The confirmation is read before the version, as a version put in force in between is confirmed as well.
func (v *versions) forRequest(now time.Time) (*version, time.Duration, error) {
	age, serves := v.confirmation(now)
	if !serves {
		v.unconfirmedCount.Add(1)
		return nil, age, errUnconfirmed
	}
	return v.current.Load(), age, nil
}

// errUnconfirmed rejects a request because the setup in force was not confirmed in time.
var errUnconfirmed = &badRequest{
	status:     http.StatusServiceUnavailable,
	retryAfter: unconfirmedRetryAfter,
	text:       textUnconfirmed,
}

// unconfirmedRetryAfter is the Retry-After while the version in force is not confirmed.
const unconfirmedRetryAfter = time.Second
