package graceful

import (
	"testing"
	"time"
)

// All times of a shutdown count from its signal, and requests are answered before the platform kills the process: the
// longest deadline, 3 s at most, and 0.7 s after the signal.
func TestSchedule(t *testing.T) {
	signaledAt := time.Now()
	for _, c := range []struct{ longestDeadline, acceptFor, answerTimeout time.Duration }{
		{2 * time.Second, 500 * time.Millisecond, 2550 * time.Millisecond},
		{300 * time.Millisecond, 500 * time.Millisecond, 850 * time.Millisecond},
		{300 * time.Millisecond, 0, 850 * time.Millisecond},
		{20 * time.Second, 500 * time.Millisecond, 3550 * time.Millisecond},
		{2 * time.Second, 4 * time.Second, 6050 * time.Millisecond}, // as configured, so the platform kills it later
	} {
		got := NewSchedule(signaledAt, c.acceptFor, c.longestDeadline)
		want := Schedule{
			FinishListeningAt: signaledAt.Add(c.acceptFor),
			AnswerBy:          signaledAt.Add(c.answerTimeout),
			CloseBy:           signaledAt.Add(c.answerTimeout + LastAnswersTimeout),
		}
		if got != want {
			t.Errorf("deadline %v, accepting for %v: got %v, want %v", c.longestDeadline, c.acceptFor, got, want)
		}
	}
}
