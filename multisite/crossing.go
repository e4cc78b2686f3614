package multisite

import (
	"errors"
	"slices"
	"time"
)

// Fate is what a site can say of a request that was sent to it over the link between sites.
type Fate int

const (
	// Never: it did not run here and never will; if it still comes it is turned away.
	Never Fate = iota
	// Underway: it has come and has no final answer yet.
	Underway
	// Ran: it was served; its answer may have been kept.
	Ran
	// Unknown: it may have run.
	Unknown
)

func (f Fate) String() string { return [...]string{"never", "underway", "ran", "unknown"}[f] }

// ParseFate is the inverse of [Fate.String]; what it does not know is Unknown.
func ParseFate(s string) Fate {
	for f := Never; f < Unknown; f++ {
		if f.String() == s {
			return f
		}
	}
	return Unknown
}

// Arrivals is what an instance remembers of the requests that came to it over the link, so that it can
// prove, once a link that dropped is back, what became of one. The other side asks with the crossing's id, new for
// each attempt. Asking about one that has not come voids it: bytes that a broken link still delivers later
// run nothing. So an answer of Never is final, and with it the other side may send the request elsewhere.
//
// A crossing is remembered until the other side has its answer, else for a time after it came or was voided, or after
// its end. What comes later than that after it was sent must be held off by the host (a link delivers in order, and its connections end).
// With no room left, nothing comes in and nothing can be voided: the answer is Unknown then.
//
// It is not safe for concurrent use.
type Arrivals struct {
	life time.Duration
	most int
	byID map[string]*arrival
	ages []agedArrival // by the time at which they are looked at, the oldest first
}

type arrival struct {
	fate  Fate
	until time.Time
	kept  any
}

type agedArrival struct {
	until time.Time
	id    string
}

// NewArrivals remembers most crossings, each for life after its last change.
func NewArrivals(life time.Duration, most int) (*Arrivals, error) {
	if life <= 0 || most <= 0 {
		return nil, errors.New("sites: the time and number of crossings to remember must be above 0")
	}
	return &Arrivals{life: life, most: most, byID: map[string]*arrival{}}, nil
}

// Come takes in a crossing. If it is false, the request must not run: it was voided or there is no room to
// remember it, which is Never, or it has come before, with the fate that it had then.
func (a *Arrivals) Come(now time.Time, id string) (fate Fate, ok bool) {
	a.forget(now)
	if r := a.byID[id]; r != nil {
		return r.fate, false
	}
	if len(a.byID) >= a.most {
		return Never, false
	}
	a.note(now, id, Underway)
	return Underway, true
}

// Ended tells the fate of a crossing that Come let in, and what to keep of its answer.
func (a *Arrivals) Ended(now time.Time, id string, fate Fate, kept any) {
	if r := a.byID[id]; r != nil && r.fate == Underway {
		r.fate, r.kept, r.until = fate, kept, now.Add(a.life)
	}
}

// Ask tells what became of a crossing, and what was kept of its answer. One that has not come is void from
// here on.
func (a *Arrivals) Ask(now time.Time, id string) (Fate, any) {
	a.forget(now)
	r := a.byID[id]
	switch {
	case r != nil:
		return r.fate, r.kept
	case len(a.byID) >= a.most:
		return Unknown, nil
	}
	a.note(now, id, Never)
	return Never, nil
}

// Settled tells that the other side has the answer of a crossing: it will not ask, and as it sends each crossing once,
// nothing of it can come any more. So what must be remembered follows from connections that break, not from how many
// requests cross.
func (a *Arrivals) Settled(id string) {
	if r := a.byID[id]; r == nil || r.fate == Underway {
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
func (a *Arrivals) Len() int { return len(a.byID) }

func (a *Arrivals) note(now time.Time, id string, fate Fate) {
	until := now.Add(a.life)
	a.byID[id] = &arrival{fate: fate, until: until}
	a.ages = append(a.ages, agedArrival{until, id})
}

// forget drops what is past its time. One under way stays until it has ended.
func (a *Arrivals) forget(now time.Time) {
	n := 0
	for ; n < len(a.ages) && !now.Before(a.ages[n].until); n++ {
		id := a.ages[n].id
		r := a.byID[id]
		if r == nil {
			continue // settled
		}
		if r.fate == Underway {
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

// BudgetConfig bounds what one instance sends over the link.
type BudgetConfig struct {
	Most    int     // crossings out at once
	Retries float64 // further attempts that each first crossing earns
	Saved   float64 // further attempts that can be saved up
}

// Budget decides what may cross to another site, so that the loss of one hall can't take the other along.
// Crossings out are bounded; the less a class is worth for its work, the sooner it is kept back: the least
// worthy from half of the bound on. Past half of it no licensee may have more than its equal part, of
// those that cross now. Further attempts have a budget of their own, earned by first ones, so that a link that
// fails is not met by a storm of them.
//
// It is not safe for concurrent use.
type Budget struct {
	cfg   BudgetConfig
	out   int
	by    map[string]int // licensees with crossings out
	saved float64
}

// NewBudget returns a budget of which nothing is out. An error names the figure that can't be.
func NewBudget(cfg BudgetConfig) (*Budget, error) {
	if cfg.Most < 2 || cfg.Retries < 0 || cfg.Saved < 0 {
		return nil, errors.New("sites: at least two crossings must be able to be out, and the budget of further ones can't be below 0")
	}
	return &Budget{cfg: cfg, by: map[string]int{}, saved: cfg.Saved}, nil
}

// Take takes a place for an attempt of a licensee's request. value is the class's worth for its work as a
// share of the best class's, 0 to 1. If it is false the attempt must not cross now.
func (b *Budget) Take(licensee string, value float64, further bool) bool {
	value = min(max(value, 0), 1)
	half := float64(b.cfg.Most) / 2
	switch {
	case float64(b.out) >= half+half*value:
		return false
	case float64(b.out) >= half && b.by[licensee] > 0:
		if part := float64(b.cfg.Most) / float64(len(b.by)); float64(b.by[licensee]) >= max(part, 1) {
			return false
		}
	}
	if further && b.saved < 1 {
		return false
	}
	if further {
		b.saved--
	} else {
		b.saved = min(b.saved+b.cfg.Retries, b.cfg.Saved)
	}
	b.out++
	b.by[licensee]++
	return true
}

// Done gives a place back.
func (b *Budget) Done(licensee string) {
	if b.by[licensee] == 0 {
		return
	}
	b.out--
	if b.by[licensee]--; b.by[licensee] == 0 {
		delete(b.by, licensee)
	}
}

// Out is the number of crossings out.
func (b *Budget) Out() int { return b.out }
