package policy

import "math"

const (
	retryTokensPerRequest = 0.2
	maxRetryTokens        = 20
)

// retryBudget bounds retries by the requests forwarded. Invariant: 0 <= tokens <= maxRetryTokens; 1 is one
// further attempt.
type retryBudget struct{ tokens float64 }

// earn adds what a request forwarded earns.
func (b *retryBudget) earn() { b.tokens = math.Min(b.tokens+retryTokensPerRequest, maxRetryTokens) }

// allows reports whether the budget has a further attempt.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// spend takes a further attempt.
func (b *retryBudget) spend() { b.tokens-- }
