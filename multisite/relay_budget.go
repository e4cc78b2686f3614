package multisite

import "errors"

const (
	minInFlightLimit     = 2   // lowest MaxInFlight: the unrestricted part of it must be at least one request
	unrestrictedFraction = 0.5 // fraction of MaxInFlight that is open to any value and any customer
)

// RelayBudgetConfig configures a [RelayBudget].
type RelayBudgetConfig struct {
	MaxInFlight     int     // maximum number of forwarded requests in flight
	RetryRatio      float64 // number of retries that each first attempt earns
	MaxSavedRetries float64 // maximum number of earned retries that are saved for later
}

// RelayBudget limits the requests that are forwarded to another site, so that the loss of one site cannot overload the
// other. Forwarded requests in flight are bounded: see hasCapacity. Retries have a budget of their own, earned by first
// attempts, so that a failing link does not cause a retry storm.
//
// It is not safe for concurrent use.
type RelayBudget struct {
	cfg          RelayBudgetConfig
	inFlight     int
	byCustomer   map[string]int // requests in flight by customer; their sum is inFlight
	savedRetries float64
}

// NewRelayBudget returns a budget with nothing in flight. The error names the fields that are out of range.
func NewRelayBudget(cfg RelayBudgetConfig) (*RelayBudget, error) {
	if cfg.MaxInFlight < minInFlightLimit || cfg.RetryRatio < 0 || cfg.MaxSavedRetries < 0 {
		return nil, errors.New("multisite: MaxInFlight must be at least 2, RetryRatio and MaxSavedRetries not below 0")
	}
	return &RelayBudget{cfg: cfg, byCustomer: map[string]int{}, savedRetries: cfg.MaxSavedRetries}, nil
}

// Acquire decides whether an attempt of a customer's request may be forwarded now, and counts it as in flight if so.
// value is the priority weight of the class per work, as a fraction of the highest of all classes, 0 to 1.
func (b *RelayBudget) Acquire(customer string, value float64, isRetry bool) bool {
	if !b.hasCapacity(customer, min(max(value, 0), 1)) {
		return false
	}
	if isRetry && !b.spendRetry() {
		return false
	}
	if !isRetry {
		b.savedRetries = min(b.savedRetries+b.cfg.RetryRatio, b.cfg.MaxSavedRetries)
	}
	b.inFlight++
	b.byCustomer[customer]++
	return true
}

// hasCapacity reports whether the bounds for a class's value, 0 to 1, and for a customer allow one more request. Half
// of MaxInFlight is open to all requests. Above it, requests of lower values are rejected first, and a customer is
// limited to an equal part of MaxInFlight.
func (b *RelayBudget) hasCapacity(customer string, value float64) bool {
	inFlight := float64(b.inFlight)
	unrestricted := float64(b.cfg.MaxInFlight) * unrestrictedFraction
	restricted := float64(b.cfg.MaxInFlight) - unrestricted
	if inFlight >= unrestricted+restricted*value {
		return false
	}
	own := float64(b.byCustomer[customer])
	if inFlight < unrestricted || own == 0 {
		return true
	}
	equalPart := float64(b.cfg.MaxInFlight) / float64(len(b.byCustomer))
	return own < max(equalPart, 1)
}

// spendRetry uses one saved retry; it returns false if there is none.
func (b *RelayBudget) spendRetry() bool {
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}

// Release removes a request that [RelayBudget.Acquire] allowed from those in flight.
func (b *RelayBudget) Release(customer string) {
	if b.byCustomer[customer] == 0 {
		return
	}
	b.inFlight--
	b.byCustomer[customer]--
	if b.byCustomer[customer] == 0 {
		delete(b.byCustomer, customer)
	}
}

// InFlight returns the number of forwarded requests in flight.
func (b *RelayBudget) InFlight() int { return b.inFlight }
