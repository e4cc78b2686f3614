package multisite

import (
	"testing"
	"time"
)

// An attempt may begin for a while after its request was sent, not after it arrived, and then only after a renewal.
func TestClientLeaseExpires(t *testing.T) {
	sent := time.Unix(100, 0)
	l := NewClientLease(sent)
	if !l.IsValid(sent) || !l.IsValid(sent.Add(clientLeaseTTL-1)) || l.IsValid(sent.Add(clientLeaseTTL)) {
		t.Error("lease of a request: want it valid for clientLeaseTTL from when it was sent")
	}
	l.Renew(sent.Add(time.Second))
	l.Renew(sent.Add(time.Millisecond))
	if !l.IsValid(sent.Add(time.Second)) || l.IsValid(sent.Add(time.Second+clientLeaseTTL)) {
		t.Error("renewed lease: want it valid for clientLeaseTTL from the last renewal")
	}
	if unknown := NewClientLease(time.Time{}); unknown.IsValid(sent) {
		t.Error("lease of a request that was sent at an unknown time: valid, want a question first")
	}
}

// One question is asked at a time. It is asked again once its answer could not renew the lease any more.
func TestLeaseQuestions(t *testing.T) {
	now := time.Unix(100, 0)
	l := NewClientLease(now)
	first, isNew, hasQuestion := l.Question(now)
	if !isNew || !hasQuestion || first != now || l.QuestionExpiresAt() != now.Add(clientLeaseTTL) {
		t.Fatalf("first question: got %v, new %v, has %v", first, isNew, hasQuestion)
	}
	if again, isNew, _ := l.Question(now.Add(clientLeaseTTL - 1)); isNew || again != first {
		t.Errorf("question while the first may be answered: got %v, new %v; want the first", again, isNew)
	}
	if second, isNew, _ := l.Question(now.Add(clientLeaseTTL)); !isNew || second == first {
		t.Errorf("question after the first can't be answered any more: got %v, new %v; want a new one", second, isNew)
	}
}

// A client that has left does not return, whatever arrives later. This holds for every relaying instance.
func TestRevokedLeaseStaysRevoked(t *testing.T) {
	now := time.Unix(100, 0)
	renewable := NewClientLease(now)
	for _, l := range []*ClientLease{{}, &renewable} {
		if !l.IsValid(now) {
			t.Error("new lease: not valid")
		}
		l.Revoke()
		l.Renew(now)
		if l.IsValid(now) || !l.IsRevoked() {
			t.Error("revoked lease: valid after a late renewal")
		}
		if _, _, hasQuestion := l.Question(now); hasQuestion {
			t.Error("revoked lease: got a question, want none")
		}
	}
}

// Instances of versions before leases were added answer no questions: nothing waits for them.
func TestLeaseOfInstanceThatAnswersNothing(t *testing.T) {
	now := time.Unix(100, 0)
	var l ClientLease
	if _, _, hasQuestion := l.Question(now); hasQuestion || !l.IsValid(now.Add(time.Hour)) {
		t.Errorf("got a question %v, valid an hour later %v; want false, true", hasQuestion, l.IsValid(now.Add(time.Hour)))
	}
}

// The time at which a message was sent is known to within half of the shortest round trip, however late it arrives.
func TestPeerClock(t *testing.T) {
	var c PeerClock
	epoch := time.Unix(1000, 0) // when the peer's clock read 0
	at := func(reading time.Duration) time.Time { return epoch.Add(reading) }
	if got := c.SentAt(at(time.Minute), time.Second); !got.IsZero() {
		t.Fatalf("clock without a sample: got %v, want the zero time", got)
	}
	const way = 2 * time.Millisecond
	c.RecordAnswer(at(time.Minute), at(time.Minute+2*way), time.Minute+way)
	c.RecordAnswer(at(time.Minute), at(time.Minute+time.Second), time.Minute+way) // delayed on the way back
	for _, delay := range []time.Duration{way, time.Second} {
		sent := time.Minute + 2*time.Second
		if got := c.SentAt(at(sent+delay), sent); got != at(sent) {
			t.Errorf("message that arrived after %v: got sent at %v, want %v", delay, got, at(sent))
		}
	}
	if got := c.SentAt(at(time.Minute), time.Hour); got != at(time.Minute) {
		t.Errorf("message from the future: got %v, want the present", got)
	}
	if got := c.SentAt(at(time.Minute+clockSampleTTL+2*way), 0); !got.IsZero() {
		t.Errorf("sample of clockSampleTTL ago: got %v, want the zero time", got)
	}
}

// A sample is replaced in time though each later one is less exact, and an answer from the future is none.
func TestPeerClockForgets(t *testing.T) {
	var c PeerClock
	start := time.Unix(1000, 0)
	c.RecordAnswer(start, start.Add(time.Millisecond), 0)
	c.RecordAnswer(start.Add(time.Hour), start, 0)
	for n := range 10 {
		asked := start.Add(time.Duration(n+1) * clockSampleInterval)
		c.RecordAnswer(asked, asked.Add(10*time.Millisecond), asked.Add(5*time.Millisecond).Sub(start)+time.Second)
	}
	now := start.Add(10 * clockSampleInterval)
	if got, want := c.SentAt(now, 40*time.Second), start.Add(39*time.Second); got != want {
		t.Errorf("after the clock was set by a second: got %v, want %v", got, want)
	}
}

// Samples are taken at intervals, and questions that are not answered are repeated after a pause.
func TestPeerClockAsksAtIntervals(t *testing.T) {
	var c PeerClock
	now := time.Unix(1000, 0)
	if !c.IsSampleDue(now) || c.IsSampleDue(now.Add(clockQuestionInterval-1)) || !c.IsSampleDue(now.Add(clockQuestionInterval)) {
		t.Error("questions without an answer: want one each clockQuestionInterval")
	}
	c.RecordAnswer(now, now, 0)
	if c.IsSampleDue(now.Add(clockSampleInterval-1)) || !c.IsSampleDue(now.Add(clockSampleInterval)) {
		t.Error("questions after an answer: want the next after clockSampleInterval")
	}
}
