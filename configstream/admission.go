package configstream

import (
	"math"
	"time"
)

// admissionLimiter decides which connections and streams of followers a member accepts. A token bucket limits the rate
// of new connections: their handshakes are expensive, and when a member fails, all of its followers connect to other
// members at the same time.
type admissionLimiter struct {
	maxStreams int     // maximum number of open streams
	rate       float64 // tokens per second
	burst      float64 // maximum number of tokens
	tokens     float64
	refilledAt time.Duration
}

// newAdmissionLimiter returns a limiter with a full bucket.
func newAdmissionLimiter(cfg *PublisherConfig) admissionLimiter {
	return admissionLimiter{
		maxStreams: cfg.MaxFollowers,
		rate:       cfg.AdmissionRate,
		burst:      cfg.AdmissionBurst,
		tokens:     cfg.AdmissionBurst,
	}
}

// admitConnection reports whether a new connection is accepted before its handshake, and takes a token if it is. The
// connection is rejected while the bucket is empty or the member has maxStreams open streams; the follower then tries
// the next member.
func (l *admissionLimiter) admitConnection(now time.Duration, openStreams int) bool {
	l.refill(now)
	if l.tokens < 1 || !l.admitStream(openStreams) {
		return false
	}
	l.tokens--
	return true
}

// admitStream reports whether another stream is accepted. It is checked again when a stream opens, since connections
// that were admitted earlier may have opened streams in the meantime.
func (l *admissionLimiter) admitStream(openStreams int) bool { return openStreams < l.maxStreams }

func (l *admissionLimiter) refill(now time.Duration) {
	l.tokens = math.Min(l.tokens+l.rate*(now-l.refilledAt).Seconds(), l.burst)
	l.refilledAt = now
}
