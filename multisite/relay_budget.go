package multisite

import "errors"

// minInFlightLimit is the least bound of a budget: half of it must be a whole place.
const minInFlightLimit = 2

// RelayBudgetConfig bounds what one instance forwards to another site.
type RelayBudgetConfig struct {
	MaxInFlight     int     // forwarded requests in flight
	RetryRatio      float64 // retries that each first attempt earns
	MaxSavedRetries float64 // retries that can be saved up
}

// RelayBudget decides what may be forwarded to another site, so that the loss of one site can't take the other along.
// Forwarded requests in flight are bounded. The lower the value of a class for its work, the sooner it is rejected: the
// lowest from half of the bound on. Past half of it no customer may have more than an equal part among those that have
// requests in flight. Retries have a budget of their own, earned by first attempts, so that a link that fails is not
// met by a storm of them.
//
// It is not safe for concurrent use.
type RelayBudget struct {
	cfg          RelayBudgetConfig
	inFlight     int
	byCustomer   map[string]int // customers with requests in flight; their sum is inFlight
	savedRetries float64
}

// NewRelayBudget returns a budget with nothing in flight. An error names the figure that is out of range.
func NewRelayBudget(cfg RelayBudgetConfig) (*RelayBudget, error) {
	if cfg.MaxInFlight < minInFlightLimit || cfg.RetryRatio < 0 || cfg.MaxSavedRetries < 0 {
		return nil, errors.New("multisite: MaxInFlight must be at least 2, RetryRatio and MaxSavedRetries not below 0")
	}
	return &RelayBudget{cfg: cfg, byCustomer: map[string]int{}, savedRetries: cfg.MaxSavedRetries}, nil
}

// Acquire takes a place for an attempt of a customer's request. value is the priority weight of the class for its work
// as a fraction of the best class's, 0 to 1. If it is false the attempt must not be forwarded now.
func (b *RelayBudget) Acquire(customer string, value float64, isRetry bool) bool {
	if !b.hasPlace(customer, min(max(value, 0), 1)) {
		return false
	}
	if isRetry {
		if b.savedRetries < 1 {
			return false
		}
		b.savedRetries--
	} else {
		b.savedRetries = min(b.savedRetries+b.cfg.RetryRatio, b.cfg.MaxSavedRetries)
	}
	b.inFlight++
	b.byCustomer[customer]++
	return true
}

// hasPlace reports whether the bounds for a class of a value and for a customer leave a place.
func (b *RelayBudget) hasPlace(customer string, value float64) bool {
	inFlight, half := float64(b.inFlight), float64(b.cfg.MaxInFlight)/2
	if inFlight >= half+half*value {
		return false
	}
	own := float64(b.byCustomer[customer])
	if inFlight < half || own == 0 {
		return true
	}
	equalPart := float64(b.cfg.MaxInFlight) / float64(len(b.byCustomer))
	return own < max(equalPart, 1)
}

// Release gives a place back.
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

// InFlight is the number of forwarded requests in flight.
func (b *RelayBudget) InFlight() int { return b.inFlight }
