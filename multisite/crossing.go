package multisite

import (
	"errors"
	"slices"
	"time"
)

// ExecutionStatus is what a site can say of a request that was sent to it over the link between sites.
type ExecutionStatus int

const (
	// Never: it did not run here and never will; if it still comes it is turned away.
	NeverExecuted ExecutionStatus = iota
	// Underway: it has come and has no final answer yet.
	Executing
	// Ran: it was served; its answer may have been kept.
	Executed
	// Unknown: it may have run.
	ExecutionUnknown
)

func (f ExecutionStatus) String() string {
	return [...]string{"never", "underway", "ran", "unknown"}[f]
}

// ParseExecutionStatus is the inverse of [ExecutionStatus.String]; what it does not know is Unknown.
func ParseExecutionStatus(s string) ExecutionStatus {
	for f := NeverExecuted; f < ExecutionUnknown; f++ {
		if f.String() == s {
			return f
		}
	}
	return ExecutionUnknown
}

// ForwardedRequests is what an instance remembers of the requests that came to it over the link, so that it can
// prove, once a link that dropped is back, what became of one. The other side asks with the crossing's id, new for
// each attempt. Asking about one that has not come voids it: bytes that a broken link still delivers later
// run nothing. So an answer of Never is final, and with it the other side may send the request elsewhere.
//
// A crossing is remembered until the other side has its answer, else for a time after it came or was voided, or after
// its end. What comes later than that after it was sent must be held off by the host (a link delivers in order, and its connections end).
// With no room left, nothing comes in and nothing can be voided: the answer is Unknown then.
//
// It is not safe for concurrent use.
type ForwardedRequests struct {
	life time.Duration
	most int
	byID map[string]*arrival
	ages []agedArrival // by the time at which they are looked at, the oldest first
}

type arrival struct {
	fate  ExecutionStatus
	until time.Time
	kept  any
}

type agedArrival struct {
	until time.Time
	id    string
}

// NewForwardedRequests remembers most crossings, each for life after its last change.
func NewForwardedRequests(life time.Duration, most int) (*ForwardedRequests, error) {
	if life <= 0 || most <= 0 {
		return nil, errors.New("sites: the time and number of crossings to remember must be above 0")
	}
	return &ForwardedRequests{life: life, most: most, byID: map[string]*arrival{}}, nil
}

// Admit takes in a crossing. If it is false, the request must not run: it was voided or there is no room to
// remember it, which is Never, or it has come before, with the fate that it had then.
func (a *ForwardedRequests) Admit(now time.Time, id string) (fate ExecutionStatus, ok bool) {
	a.forget(now)
	if r := a.byID[id]; r != nil {
		return r.fate, false
	}
	if len(a.byID) >= a.most {
		return NeverExecuted, false
	}
	a.note(now, id, Executing)
	return Executing, true
}

// Complete tells the fate of a crossing that Come let in, and what to keep of its answer.
func (a *ForwardedRequests) Complete(now time.Time, id string, fate ExecutionStatus, kept any) {
	if r := a.byID[id]; r != nil && r.fate == Executing {
		r.fate, r.kept, r.until = fate, kept, now.Add(a.life)
	}
}

// ResolveStatus tells what became of a crossing, and what was kept of its answer. One that has not come is void from
// here on.
func (a *ForwardedRequests) ResolveStatus(now time.Time, id string) (ExecutionStatus, any) {
	a.forget(now)
	r := a.byID[id]
	switch {
	case r != nil:
		return r.fate, r.kept
	case len(a.byID) >= a.most:
		return ExecutionUnknown, nil
	}
	a.note(now, id, NeverExecuted)
	return NeverExecuted, nil
}

// Acknowledge tells that the other side has the answer of a crossing: it will not ask, and as it sends each crossing once,
// nothing of it can come any more. So what must be remembered follows from connections that break, not from how many
// requests cross.
func (a *ForwardedRequests) Acknowledge(id string) {
	if r := a.byID[id]; r == nil || r.fate == Executing {
		return
	}
	delete(a.byID, id)
	if len(a.ages) > 2*len(a.byID)+agesLeast {
		a.ages = slices.DeleteFunc(a.ages, func(g agedArrival) bool { return a.byID[g.id] == nil })
	}
}

// agesLeast is for how many settled crossings ages are swept at once.
const agesLeast = 1024

// Len is the number of crossings remembered.
func (a *ForwardedRequests) Len() int { return len(a.byID) }

func (a *ForwardedRequests) note(now time.Time, id string, fate ExecutionStatus) {
	until := now.Add(a.life)
	a.byID[id] = &arrival{fate: fate, until: until}
	a.ages = append(a.ages, agedArrival{until, id})
}

// forget drops what is past its time. One under way stays until it has ended.
func (a *ForwardedRequests) forget(now time.Time) {
	n := 0
	for ; n < len(a.ages) && !now.Before(a.ages[n].until); n++ {
		id := a.ages[n].id
		r := a.byID[id]
		if r == nil {
			continue // settled
		}
		if r.fate == Executing {
			r.until = now.Add(a.life)
		}
		if now.Before(r.until) {
			a.ages = append(a.ages, agedArrival{r.until, id})
		} else {
			delete(a.byID, id)
		}
	}
	a.ages = a.ages[n:]
}

// RelayBudgetConfig bounds what one instance sends over the link.
type RelayBudgetConfig struct {
	MaxInFlight     int     // crossings out at once
	RetryRatio      float64 // further attempts that each first crossing earns
	MaxSavedRetries float64 // further attempts that can be saved up
}

// RelayBudget decides what may cross to another site, so that the loss of one hall can't take the other along.
// Crossings out are bounded; the less a class is worth for its work, the sooner it is kept back: the least
// worthy from half of the bound on. Past half of it no licensee may have more than its equal part, of
// those that cross now. Further attempts have a budget of their own, earned by first ones, so that a link that
// fails is not met by a storm of them.
//
// It is not safe for concurrent use.
type RelayBudget struct {
	cfg   RelayBudgetConfig
	out   int
	by    map[string]int // licensees with crossings out
	saved float64
}

// NewRelayBudget returns a budget of which nothing is out. An error names the figure that can't be.
func NewRelayBudget(cfg RelayBudgetConfig) (*RelayBudget, error) {
	if cfg.MaxInFlight < 2 || cfg.RetryRatio < 0 || cfg.MaxSavedRetries < 0 {
		return nil, errors.New("sites: at least two crossings must be able to be out, and the budget of further ones can't be below 0")
	}
	return &RelayBudget{cfg: cfg, by: map[string]int{}, saved: cfg.MaxSavedRetries}, nil
}

// Acquire takes a place for an attempt of a licensee's request. value is the class's worth for its work as a
// share of the best class's, 0 to 1. If it is false the attempt must not cross now.
func (b *RelayBudget) Acquire(licensee string, value float64, further bool) bool {
	value = min(max(value, 0), 1)
	half := float64(b.cfg.MaxInFlight) / 2
	switch {
	case float64(b.out) >= half+half*value:
		return false
	case float64(b.out) >= half && b.by[licensee] > 0:
		if part := float64(b.cfg.MaxInFlight) / float64(len(b.by)); float64(b.by[licensee]) >= max(part, 1) {
			return false
		}
	}
	if further && b.saved < 1 {
		return false
	}
	if further {
		b.saved--
	} else {
		b.saved = min(b.saved+b.cfg.RetryRatio, b.cfg.MaxSavedRetries)
	}
	b.out++
	b.by[licensee]++
	return true
}

// Release gives a place back.
func (b *RelayBudget) Release(licensee string) {
	if b.by[licensee] == 0 {
		return
	}
	b.out--
	if b.by[licensee]--; b.by[licensee] == 0 {
		delete(b.by, licensee)
	}
}

// InFlight is the number of crossings out.
func (b *RelayBudget) InFlight() int { return b.out }
