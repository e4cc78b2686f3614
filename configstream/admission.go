package configstream

import (
	"math"
	"time"
)

// admissionLimiter is a token bucket for connections: their handshakes are expensive, and when a member fails, all
// of its followers connect to other members at the same time.
type admissionLimiter struct {
	rate       float64 // tokens per second
	burst      float64 // maximum number of tokens
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

// Admit reports whether a new connection is accepted now, and takes a token for it if so.
func (p *Publisher) Admit(now time.Duration) bool {
	p.admission.refill(now)
	if p.admission.tokens < 1 || p.sessions.count() >= p.cfg.MaxFollowers {
		return false
	}
	p.admission.tokens--
	return true
}
