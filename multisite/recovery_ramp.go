package multisite

import (
	"errors"
	"math"
	"slices"
	"time"
)

const (
	needHeadroom      = 1.25 // of the share that it needs, an instance keeps or requests so much
	needAverageWindow = 200 * time.Millisecond
	minLentShare      = 0.01 // smaller shares are not lent
	fullShare         = 1.0
)

// RecoveryRamp shares out, among all instances of all sites, what may be sent to the warming servers of a site: what
// one server can take is a fact of that server, however many instances send to it. Each instance owns an equal share.
// One that reaches none of the site's servers, or needs less, lends to those that request more. Shares never add up to
// more than one, whatever is lost, late or repeated between instances (leases as in Gray and Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989):
//
//   - A request for a share has a number. What is granted holds for LoanTTL from the request, by the borrower's clock,
//     and is kept back for LoanTTL from the grant, by the lender's. The grant comes after the request, so that the
//     lender's time ends later, with no clock compared. One request is granted once.
//   - When members come or go, an instance owns the least of its shares by the member counts of the last LoanTTL.
//
// A member that was removed and does not know it yet adds its own share until it stops. Clocks must run
// equally fast to within loanMargin in a LoanTTL.
//
// The capacity of a warm server is learned together too: see warmCapacity.
//
// It is not safe for concurrent use.
type RecoveryRamp struct {
	cfg          RampConfig
	members      []uint64
	memberCounts []memberCount // the one in force last, before it those that still count
	requests     requestIDs
	sites        map[string]*rampSite
	broadcastAt  time.Duration
}

// RampConfig holds what a [RecoveryRamp] needs to know of its instance.
type RampConfig struct {
	InstanceID     uint64
	Incarnation    uint64        // of this process: above those of the processes before it, below 1<<31
	LoanTTL        time.Duration // of a share that is lent
	LoadTTL        time.Duration // another instance's load is out of date after this
	BudgetMultiple float64       // of what a warming server can take that the instances together may send it
}

// memberCount is a number of members that was agreed on.
type memberCount struct {
	count  int
	isPast bool
	until  time.Duration // a past one counts until then
}

// rampSite is an instance's part in the ramp of one site.
type rampSite struct {
	neededShare       float64 // that the instance could use, averaged
	hasWarmingServers bool    // the instance reaches some itself
	loans             shareLoans
	warm              warmCapacity
}

// WarmUpLoad is what an instance has sent to a site's warming servers since its last broadcast.
type WarmUpLoad struct {
	ServerWeight float64 // of the warming servers that the instance reaches itself, by warmth; 0: there is none
	SentWork     float64
	RejectedWork float64 // for which there was no capacity
}

// NewRecoveryRamp returns a ramp without sites. An error names the figure that is out of range.
func NewRecoveryRamp(cfg RampConfig) (*RecoveryRamp, error) {
	if cfg.LoanTTL <= 0 || cfg.LoadTTL <= 0 || cfg.BudgetMultiple <= 0 {
		return nil, errors.New("multisite: LoanTTL, LoadTTL and BudgetMultiple of a ramp must be above 0")
	}
	return &RecoveryRamp{cfg: cfg, requests: newRequestIDs(cfg.Incarnation), sites: map[string]*rampSite{}}, nil
}

// ApplyAgreed takes over the sites and members that are agreed on.
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

// updateMemberCount puts a number of members in force. The one before it counts until nothing that was lent by it can
// be in use.
func (r *RecoveryRamp) updateMemberCount(now time.Duration, count int) {
	last := len(r.memberCounts) - 1
	if last >= 0 && r.memberCounts[last].count == count {
		return
	}
	until := now + r.cfg.LoanTTL + loanMargin
	if last >= 0 {
		r.memberCounts[last].isPast, r.memberCounts[last].until = true, until
	} else if count > 0 { // the process before this one may have lent all that it owned
		r.memberCounts = append(r.memberCounts, memberCount{count: math.MaxInt, isPast: true, until: until})
	}
	r.memberCounts = append(r.memberCounts, memberCount{count: count})
}

// ownedShare is the share that this instance owns.
func (r *RecoveryRamp) ownedShare(now time.Duration) float64 {
	r.memberCounts = slices.DeleteFunc(r.memberCounts, func(c memberCount) bool { return c.isPast && now >= c.until })
	if !slices.Contains(r.members, r.cfg.InstanceID) {
		return 0
	}
	most := 1
	for _, c := range r.memberCounts {
		most = max(most, c.count)
	}
	return fullShare / float64(most)
}

// Share is the share, 0 to 1, of what a site's warming servers may be sent that this instance has now.
func (r *RecoveryRamp) Share(now time.Duration, site string) float64 {
	s := r.sites[site]
	if s == nil {
		return 0
	}
	return max(r.ownedShare(now)-s.loans.totalLent(now), 0) + s.loans.totalBorrowed(now)
}

// WarmServerCapacity is the work a second that a warm server of unit weight can take at a site, as the members have
// learned together there or, as long as nothing is known of that, at the site whose servers can take least.
func (r *RecoveryRamp) WarmServerCapacity(now time.Duration, site string) float64 {
	if s := r.sites[site]; s != nil {
		if capacity := s.warm.estimate(now, r.cfg.LoadTTL); capacity > 0 {
			return max(capacity, minWarmCapacity)
		}
	}
	least := 0.0
	for _, s := range r.sites {
		if capacity := s.warm.estimate(now, r.cfg.LoadTTL); capacity > 0 && (least == 0 || capacity < least) {
			least = capacity
		}
	}
	return max(least, minWarmCapacity)
}

// RecordWarmUpLoad takes in what the instance has sent to a site's warming servers since its last broadcast.
func (r *RecoveryRamp) RecordWarmUpLoad(now time.Duration, site string, load WarmUpLoad) {
	s := r.sites[site]
	if s == nil {
		return
	}
	s.hasWarmingServers = load.ServerWeight > 0
	if !s.hasWarmingServers {
		s.neededShare = 0
		return
	}
	if s.neededShare == 0 { // there was none so far: what the instance can use will show soon
		s.neededShare = fullShare
		return
	}
	elapsed := now - r.broadcastAt
	budget := r.cfg.BudgetMultiple * r.WarmServerCapacity(now, site) * load.ServerWeight * elapsed.Seconds()
	if elapsed > 0 && budget > 0 {
		needed := min((load.SentWork+load.RejectedWork)/budget, fullShare)
		weight := 1 - math.Exp(-float64(elapsed)/float64(needAverageWindow))
		s.neededShare += weight * (needed - s.neededShare)
	}
	s.neededShare = max(s.neededShare, minLentShare)
}
