package policy

import "math"

const (
	retryTokensPerRequest = 0.2 // tokens that each forwarded request adds: one retry for five requests
	maxRetryTokens        = 20  // capacity of the budget
)

// retryBudget limits retries to a fraction of the requests forwarded, so that they cannot multiply an overload. A retry
// costs one token. Invariant: 0 <= tokens <= maxRetryTokens.
type retryBudget struct{ tokens float64 }

// earn adds the tokens of one forwarded request.
func (b *retryBudget) earn() { b.tokens = math.Min(b.tokens+retryTokensPerRequest, maxRetryTokens) }

// allows reports whether the budget has a token for a retry.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

// spend takes the token of a retry.
func (b *retryBudget) spend() { b.tokens-- }
