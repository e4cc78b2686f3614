package multisite

import (
	"slices"
	"time"
)

// loanMargin is the time after a loan's TTL for which the lender still reserves the share for the borrower.
const loanMargin = 50 * time.Millisecond

// shareLoans are the shares of one site's ramp that an instance has lent and borrowed. Invariant: the shares lent never
// exceed the share that the instance could spare at the time of the grant.
type shareLoans struct {
	lent     map[uint64][]lentShare    // by borrower; loans that may still be in use
	borrowed map[uint64]borrowedShare  // by lender
	requests map[uint64]pendingRequest // by borrower; requests that have not been granted yet
}

type lentShare struct {
	share float64
	until time.Duration
}

type borrowedShare struct {
	requestID uint64
	share     float64
	until     time.Duration
}

type pendingRequest struct {
	requestID  uint64
	share      float64
	receivedAt time.Duration
}

func newShareLoans() shareLoans {
	return shareLoans{
		lent:     map[uint64][]lentShare{},
		borrowed: map[uint64]borrowedShare{},
		requests: map[uint64]pendingRequest{},
	}
}

// totalLent returns the sum of the shares that borrowers may be using.
func (l *shareLoans) totalLent(now time.Duration) (total float64) {
	for borrower, loans := range l.lent {
		loans = slices.DeleteFunc(loans, func(loan lentShare) bool { return now >= loan.until })
		l.lent[borrower] = loans
		if len(loans) == 0 {
			delete(l.lent, borrower)
		}
		total += l.maxLentTo(borrower)
	}
	return total
}

// maxLentTo returns the largest share that a borrower may be using. A borrower uses one grant at a time, the last one
// that it received.
func (l *shareLoans) maxLentTo(borrower uint64) (share float64) {
	for _, loan := range l.lent[borrower] {
		share = max(share, loan.share)
	}
	return share
}

// totalBorrowed returns the sum of the shares that other members lend to this instance.
func (l *shareLoans) totalBorrowed(now time.Duration) (total float64) {
	for lender, loan := range l.borrowed {
		if now >= loan.until {
			delete(l.borrowed, lender)
			continue
		}
		total += loan.share
	}
	return total
}

// recordRequest records another instance's request, unless the same or a newer request of that instance is recorded.
func (l *shareLoans) recordRequest(now time.Duration, from, requestID uint64, share float64) {
	if share > 0 && requestID > l.requests[from].requestID {
		l.requests[from] = pendingRequest{requestID, min(share, fullShare), now}
	}
}

// recordGrant records a lender's grant, which ends at a given time, unless a grant of that lender for the same or a
// newer request is recorded.
func (l *shareLoans) recordGrant(now time.Duration, lender uint64, grant ShareGrant, until time.Duration) {
	if grant.RequestID > l.borrowed[lender].requestID && now < until {
		l.borrowed[lender] = borrowedShare{grant.RequestID, min(grant.Share, fullShare), until}
	}
}

// lend lends the spare share to the members that have requested one, in proportion to their requests. For the
// lender, each loan lasts for ttl from the grant.
func (l *shareLoans) lend(now time.Duration, site string, spare float64, ttl time.Duration) (grants []ShareGrant) {
	total, borrowers := l.pendingRequests(now, ttl)
	if spare < minLentShare || total <= 0 {
		return nil
	}
	for _, borrower := range borrowers {
		request := l.requests[borrower]
		delete(l.requests, borrower)
		share := min(spare*request.share/total, request.share)
		// This loan replaces earlier ones to the same borrower; shares lent to others stay lent until their loans end.
		lentToOthers := l.totalLent(now) - l.maxLentTo(borrower)
		share = min(share, spare-lentToOthers)
		if share < minLentShare {
			continue
		}
		l.lent[borrower] = append(l.lent[borrower], lentShare{share, now + ttl + loanMargin})
		grants = append(grants, ShareGrant{site, borrower, request.requestID, share})
	}
	return grants
}

// pendingRequests drops outdated requests and returns the sum of the other requests and their borrowers, sorted.
func (l *shareLoans) pendingRequests(now, ttl time.Duration) (total float64, borrowers []uint64) {
	for borrower, request := range l.requests {
		if now-request.receivedAt > ttl {
			delete(l.requests, borrower)
			continue
		}
		total += request.share
		borrowers = append(borrowers, borrower)
	}
	slices.Sort(borrowers)
	return total, borrowers
}
