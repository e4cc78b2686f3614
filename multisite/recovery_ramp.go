package multisite

import (
	"errors"
	"math"
	"slices"
	"time"
)

const (
	neededShareHeadroom     = 1.25                   // multiple of the needed share that an instance keeps or requests
	neededShareTimeConstant = 200 * time.Millisecond // time constant of the needed share's moving average
	minLentShare            = 0.01                   // smaller shares are not lent
	fullShare               = 1.0
)

// RecoveryRamp divides the load that the warming servers of a site may receive among all instances of all sites, since
// the capacity of a server does not depend on how many instances send to it. Each instance owns an equal share. An
// instance that reaches none of the site's servers, or needs less than its share, lends to those that request more. The
// sum of all shares never exceeds one, whatever messages are lost, late or repeated (leases as in Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989):
//
//   - A request for a share has an ID. The borrower uses the granted share for LoanTTL from its request, by its clock;
//     the lender reserves the share for LoanTTL from the grant, by its own clock. Since the grant is later than the
//     request, the borrower's period ends first, and no clocks are compared. A request is granted once.
//   - After a change of members, an instance owns the smallest of its shares by the member counts of the last LoanTTL.
//
// A removed member that has not yet applied its removal adds its own share to the sum until it stops. The rates of
// clocks must not differ by more than loanMargin in a LoanTTL.
//
// The instances also estimate the capacity of a warm server together: see warmCapacity.
//
// It is not safe for concurrent use.
type RecoveryRamp struct {
	cfg          RampConfig
	members      []uint64
	memberCounts []memberCount // past counts that still apply, then the count in force
	requests     requestIDs
	sites        map[string]*rampSite
	broadcastAt  time.Duration // clock reading of the last broadcast
}

// RampConfig configures a [RecoveryRamp].
type RampConfig struct {
	InstanceID     uint64
	Incarnation    uint64        // number of this process, above those of its predecessors and below 1<<31
	LoanTTL        time.Duration // duration of the loan of a share
	LoadTTL        time.Duration // age above which another instance's load is outdated
	BudgetMultiple float64       // multiple of a warming server's capacity that the instances together may send it
}

// memberCount is a number of members that is or was agreed on.
type memberCount struct {
	count  int
	isPast bool
	until  time.Duration // if isPast: time until which the count still applies
}

// rampSite is an instance's state for the ramp of one site.
type rampSite struct {
	neededShare       float64 // share that the instance could use, as a moving average
	hasWarmingServers bool    // the instance reaches some of them directly
	loans             shareLoans
	warm              warmCapacity
}

// WarmingServersLoad is the load of an instance on a site's warming servers since its last broadcast.
type WarmingServersLoad struct {
	ServerWeight float64 // sum of weight times capacity fraction of the servers reached directly; 0 if there are none
	SentWork     float64 // seconds of work sent
	RejectedWork float64 // seconds of work rejected for lack of capacity
}

// NewRecoveryRamp returns a ramp without sites. The error names the fields that are out of range.
func NewRecoveryRamp(cfg RampConfig) (*RecoveryRamp, error) {
	if cfg.LoanTTL <= 0 || cfg.LoadTTL <= 0 || cfg.BudgetMultiple <= 0 {
		return nil, errors.New("multisite: LoanTTL, LoadTTL and BudgetMultiple of a ramp must be above 0")
	}
	return &RecoveryRamp{cfg: cfg, requests: newRequestIDs(cfg.Incarnation), sites: map[string]*rampSite{}}, nil
}

// ApplyAgreed sets the sites and members that are agreed on.
func (r *RecoveryRamp) ApplyAgreed(now time.Duration, sites []Site, members []uint64) {
	r.updateMemberCount(now, len(members))
	r.members = slices.Clone(members)
	for _, site := range sites {
		if r.sites[site.Name] == nil {
			r.sites[site.Name] = &rampSite{loans: newShareLoans(), warm: newWarmCapacity()}
		}
	}
	for name, site := range r.sites {
		if !slices.ContainsFunc(sites, func(s Site) bool { return s.Name == name }) {
			delete(r.sites, name)
			continue
		}
		site.warm.keepMembers(members)
	}
}

// updateMemberCount sets the number of members in force. The previous number also applies until no share that was lent
// under it can be in use.
func (r *RecoveryRamp) updateMemberCount(now time.Duration, count int) {
	last := len(r.memberCounts) - 1
	if last >= 0 && r.memberCounts[last].count == count {
		return
	}
	until := now + r.cfg.LoanTTL + loanMargin
	if last >= 0 {
		r.memberCounts[last].isPast = true
		r.memberCounts[last].until = until
	} else if count > 0 { // the previous process may have lent the whole share that it owned
		r.memberCounts = append(r.memberCounts, memberCount{count: math.MaxInt, isPast: true, until: until})
	}
	r.memberCounts = append(r.memberCounts, memberCount{count: count})
}

// ownedShare returns the share that this instance owns, 0 to 1: one divided by the largest member count that any
// instance may still apply.
func (r *RecoveryRamp) ownedShare(now time.Duration) float64 {
	r.memberCounts = slices.DeleteFunc(r.memberCounts, func(c memberCount) bool { return c.isPast && now >= c.until })
	if !slices.Contains(r.members, r.cfg.InstanceID) {
		return 0
	}
	largestCount := 1
	for _, c := range r.memberCounts {
		largestCount = max(largestCount, c.count)
	}
	return fullShare / float64(largestCount)
}

// Share returns this instance's present share, 0 to 1, of the load that a site's warming servers may receive: the share
// that it owns and has not lent, plus the shares that it has borrowed.
func (r *RecoveryRamp) Share(now time.Duration, site string) float64 {
	s := r.sites[site]
	if s == nil {
		return 0
	}
	return max(r.ownedShare(now)-s.loans.totalLent(now), 0) + s.loans.totalBorrowed(now)
}

// WarmServerCapacity returns the seconds of work per second that a warm server of unit weight can do at a site, as
// estimated from the members' loads there. While there is no estimate, it returns the lowest of all sites' estimates.
func (r *RecoveryRamp) WarmServerCapacity(now time.Duration, site string) float64 {
	if s := r.sites[site]; s != nil {
		if capacity := s.warm.estimate(now, r.cfg.LoadTTL); capacity > 0 {
			return max(capacity, minWarmCapacity)
		}
	}
	lowest := 0.0
	for _, s := range r.sites {
		if capacity := s.warm.estimate(now, r.cfg.LoadTTL); capacity > 0 && (lowest == 0 || capacity < lowest) {
			lowest = capacity
		}
	}
	return max(lowest, minWarmCapacity)
}

// RecordWarmingServersLoad records the instance's load on a site's warming servers since its last broadcast.
func (r *RecoveryRamp) RecordWarmingServersLoad(now time.Duration, site string, load WarmingServersLoad) {
	s := r.sites[site]
	if s == nil {
		return
	}
	s.hasWarmingServers = load.ServerWeight > 0
	if !s.hasWarmingServers {
		s.neededShare = 0
		return
	}
	if s.neededShare == 0 { // the first load: the share that the instance can use is not known yet
		s.neededShare = fullShare
		return
	}
	elapsed := now - r.broadcastAt
	budget := r.cfg.BudgetMultiple * r.WarmServerCapacity(now, site) * load.ServerWeight * elapsed.Seconds()
	s.updateNeededShare(elapsed, budget, load.SentWork+load.RejectedWork)
}

// updateNeededShare updates the moving average of the share that the instance could use: its own work in the time
// elapsed as a fraction of the budget of all instances, both in seconds of work. The average never falls below
// minLentShare while there are warming servers, so that the instance keeps requesting a share.
func (s *rampSite) updateNeededShare(elapsed time.Duration, budget, work float64) {
	if elapsed > 0 && budget > 0 {
		needed := min(work/budget, fullShare)
		weight := 1 - math.Exp(-float64(elapsed)/float64(neededShareTimeConstant))
		s.neededShare += weight * (needed - s.neededShare)
	}
	s.neededShare = max(s.neededShare, minLentShare)
}
