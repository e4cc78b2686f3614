package multisite

import "time"

const (
	// clockSampleWindow is the time of which the best sample is kept. Two clocks drift apart by a few milliseconds
	// meanwhile at most.
	clockSampleWindow = 15 * time.Second

	// clockSampleTTL is for how long a sample is used.
	clockSampleTTL = 2 * clockSampleWindow

	// clockSampleInterval is the time after a sample at which the next one is due.
	clockSampleInterval = 5 * time.Second

	// clockQuestionInterval is the time between two questions while a sample is due.
	clockQuestionInterval = 500 * time.Millisecond
)

// PeerClock estimates when a process of another site's instance sent its messages, by the clock of this process. A
// message carries the reading of its sender's clock; samples of both clocks are taken by a question and its answer. The
// answer was sent between the two: half of the round trip after the question, as in NTP. The sample with the shortest
// round trip is the most exact one. Wall clocks play no part.
//
// The zero value has no sample. It is not safe for concurrent use.
type PeerClock struct {
	current, previous clockSample // the best samples of two windows
	sampledAt         time.Time   // when the last sample was taken
	askedAt           time.Time   // when the last question was due
}

// clockSample is one comparison of the two clocks. The zero value is none.
type clockSample struct {
	takenAt   time.Time
	roundTrip time.Duration
	epoch     time.Time // when the peer's clock read 0
}

func (s *clockSample) isUsable(now time.Time) bool {
	return !s.takenAt.IsZero() && now.Sub(s.takenAt) < clockSampleTTL
}

// RecordAnswer takes a sample: the peer has answered a question that was asked at a time, and sent the answer when its
// own clock read peerReading.
func (c *PeerClock) RecordAnswer(askedAt, now time.Time, peerReading time.Duration) {
	roundTrip := now.Sub(askedAt)
	if askedAt.IsZero() || roundTrip < 0 {
		return
	}
	c.sampledAt = now
	sample := clockSample{takenAt: now, roundTrip: roundTrip, epoch: askedAt.Add(roundTrip/2 - peerReading)}
	switch {
	case now.Sub(c.current.takenAt) >= clockSampleWindow:
		c.previous, c.current = c.current, sample
	case roundTrip < c.current.roundTrip:
		c.current = sample
	}
}

// SentAt returns when a message was sent, given the reading of the peer's clock in it. The zero time means that it is
// not known.
func (c *PeerClock) SentAt(now time.Time, peerReading time.Duration) time.Time {
	best := &c.current
	if c.previous.isUsable(now) && (!best.isUsable(now) || c.previous.roundTrip < best.roundTrip) {
		best = &c.previous
	}
	if !best.isUsable(now) {
		return time.Time{}
	}
	sentAt := best.epoch.Add(peerReading)
	if sentAt.After(now) { // within the error of the sample
		return now
	}
	return sentAt
}

// IsSampleDue reports whether a question is to be asked now for the next sample. It is due again after a pause if there
// is no answer.
func (c *PeerClock) IsSampleDue(now time.Time) bool {
	if now.Sub(c.sampledAt) < clockSampleInterval || now.Sub(c.askedAt) < clockQuestionInterval {
		return false
	}
	c.askedAt = now
	return true
}
