package graceful

import "time"

// After SIGTERM the platform kills a process once the longest deadline, limited to maxKillDeadline, and killGrace have
// passed.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	killMargin      = 150 * time.Millisecond // everything is answered this long before the kill

	// LastAnswersTimeout is the time in which the answers are written that a shutdown's AnswerBy causes.
	LastAnswersTimeout = killMargin / 2

	lastRequestMargin = 50 * time.Millisecond // for the way of the last client's request
)

// AnswerTimeout returns within what time after the signal that ends a process each request has its final answer:
// killMargin before the platform kills the process. A process that accepts clients for longer than the platform sends
// any also gives the last of them their deadline.
func AnswerTimeout(longestDeadline, acceptFor time.Duration) time.Duration {
	return min(longestDeadline, maxKillDeadline) + max(killGrace-killMargin, acceptFor+lastRequestMargin)
}

// Schedule holds the times of a process's shutdown. All of them count from the signal that began it, so that nothing
// that a shutdown waits for can postpone what follows.
type Schedule struct {
	FinishListeningAt time.Time // clients are accepted until then
	AnswerBy          time.Time // each request has its final answer
	CloseBy           time.Time // the last answers are written; connections that are left are closed
}

// NewSchedule returns the schedule of a shutdown that began at a time, of a process that accepts clients for acceptFor
// more and whose requests take longestDeadline at most.
func NewSchedule(signaledAt time.Time, acceptFor, longestDeadline time.Duration) Schedule {
	answerBy := signaledAt.Add(AnswerTimeout(longestDeadline, acceptFor))
	return Schedule{
		FinishListeningAt: signaledAt.Add(acceptFor),
		AnswerBy:          answerBy,
		CloseBy:           answerBy.Add(LastAnswersTimeout),
	}
}
