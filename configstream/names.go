package configstream

// This file maps terms of the code to the older words that operators read in logs, statuses and summaries. The words
// that are used as JSON keys are in the tags of the types: "refused" means rejected, "twin" a name conflict, "homes"
// the placement and "places" the plan order.

// wordRejected is the word for a rejected version.
const wordRejected = "refused"

// resultNames are the names of results in logs, by [PushResult].
var resultNames = [...]string{
	ResultStatusOnly:  "stated",
	ResultApplied:     "applied",
	ResultRejected:    wordRejected,
	ResultNeedsFull:   "needs-full",
	ResultNotNewer:    "not-newer",
	ResultUnconfirmed: "unconfirmed",
	ResultDiverged:    "foreign",
}

// States of an [ObservedStatus]. They are part of the management API's JSON.
const (
	StateRunning        = "running" // the follower has a version in force
	StateWaiting        = "waiting" // the follower is connected and has no version in force
	StateUnknown        = "unknown" // no message was received for longer than the silence timeout
	StateNeverConnected = "never"   // no member has observed a stream of the follower
)
