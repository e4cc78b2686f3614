package configstream

import "time"

// Hello is the first message of a follower on a stream. Name is the one in its certificate.
type Hello struct {
	Name         string
	ProcessID    uint64 // drawn by the process at its start
	StartCount   uint64 // processes that have used the follower's file, this one too
	StreamNumber uint64 // streams of the process, this one too
	Running      *Ref   // nil: it has persisted nothing, and takes only versions that a quorum confirms from here on
	RunningFor   time.Duration
	Rejections   []Rejection
	MaxFormat    int // the newest that it reads
}

// Push offers a version to a follower.
type Push struct {
	Nonce       uint64
	Body        *Body
	IsConfirmed bool // a quorum has confirmed, since the stream began, that nothing newer was agreed on
}

// Result is what a follower has done about a push.
type Result int

// Results.
const (
	ResultStatusOnly  Result = iota // no reply to a push: the follower reports what it runs
	ResultApplied                   // the version is in force, and persisted
	ResultRejected                  // it never will be; the report says why
	ResultNeedsFull                 // the base of the delta is missing, or the body is corrupt
	ResultNotNewer                  // what runs is as new or newer
	ResultUnconfirmed               // nothing runs, and no quorum has confirmed the version since the stream began
	ResultDiverged                  // two services have the epoch
)

var resultNames = [...]string{"stated", "applied", "refused", "needs-full", "not-newer", "unconfirmed", "foreign"}

// String returns the result as it is logged.
func (r Result) String() string { return resultNames[r] }

// Report is a follower's reply to a push, or a report of its status.
type Report struct {
	Nonce               uint64 // of the push; 0: none
	Result              Result
	Ref                 Ref  // that was pushed
	Running             *Ref // nil: nothing
	Problems            []Problem
	IsUnsupportedFormat bool // of a rejection: see [Rejection]
}

// Pong answers a ping.
type Pong struct {
	Sequence         uint64 // of the ping
	Newest           Ref    // at this member
	PlacementVersion uint64 // of Newest
	IsConfirmed      bool   // a quorum has confirmed, since the ping came, that nothing newer was agreed on
	NameConflict     string // why this follower receives nothing new: another process has its name; empty: none has
}
