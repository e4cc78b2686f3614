package configstream

import "time"

// Hello is the first message of a follower on a stream. A follower without a version in force accepts only a push that
// a quorum has confirmed since the stream began: it could not recognize an outdated one.
type Hello struct {
	Name         string // name in the follower's certificate
	ProcessID    uint64 // random, chosen at the start of the process
	StartCount   uint64 // number of processes that have used the follower's file, including this one
	StreamNumber uint64 // number of streams that the process has opened, including this one
	Running      *Ref   // version in force; nil until the process has put one in force, even if one is persisted
	RunningFor   time.Duration
	Rejections   []Rejection
	MaxFormat    int // newest format that the follower can read
}

// Push offers a version to a follower.
type Push struct {
	Nonce       uint64
	Body        *Body
	IsConfirmed bool // a quorum has confirmed, since the stream began, that no newer version had been committed
}

// PushResult is the outcome of a push at its follower.
type PushResult int

// Results of a push.
const (
	ResultStatusOnly  PushResult = iota // the report is not a reply to a push and contains the version in force only
	ResultApplied                       // the version is in force and persisted
	ResultRejected                      // the version will never be in force; the report contains the problems
	ResultNeedsFull                     // the base of the delta is missing, or the body is corrupt
	ResultNotNewer                      // the version in force is the same or newer
	ResultUnconfirmed                   // no version is in force, and the pushed one is not confirmed
	ResultDiverged                      // two control services use the same epoch
)

// String returns the name that logs use for the result.
func (r PushResult) String() string { return resultNames[r] }

// Report is a follower's reply to a push, or a report of its status.
type Report struct {
	Nonce               uint64 // nonce of the push; 0 if the report is not a reply
	Result              PushResult
	Ref                 Ref  // pushed version
	Running             *Ref // version in force; nil if there is none
	Problems            []Problem
	IsUnsupportedFormat bool // see [Rejection]
}

// Pong is the reply to a ping.
type Pong struct {
	Sequence         uint64 // sequence number of the ping
	Newest           Ref    // newest version at this member
	PlacementVersion uint64 // placement version of Newest
	IsConfirmed      bool   // a quorum has confirmed, since the ping, that no newer version had been committed
	NameConflict     string // describes another process with this follower's name, which blocks updates; empty if none
}
