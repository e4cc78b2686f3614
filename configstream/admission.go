package configstream

import (
	"math"
	"time"
)

// admissionLimiter is a token bucket for connections: their handshakes are expensive, and after a member has failed
// all of its followers come at once.
type admissionLimiter struct {
	rate       float64 // tokens a second
	burst      float64 // the most tokens
	tokens     float64
	refilledAt time.Duration
}

func newAdmissionLimiter(rate, burst float64) admissionLimiter {
	return admissionLimiter{rate: rate, burst: burst, tokens: burst}
}

func (l *admissionLimiter) refill(now time.Duration) {
	l.tokens = math.Min(l.tokens+l.rate*(now-l.refilledAt).Seconds(), l.burst)
	l.refilledAt = now
}

// Admit reports whether a further connection is accepted now, and counts it if it is.
func (p *Publisher) Admit(now time.Duration) bool {
	p.admission.refill(now)
	if p.admission.tokens < 1 || p.sessions.count() >= p.cfg.MaxFollowers {
		return false
	}
	p.admission.tokens--
	return true
}
