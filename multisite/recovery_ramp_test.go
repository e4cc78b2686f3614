package multisite

import (
	"testing"
	"time"
)

// Instances that reach no warming server lend their shares to those that do, according to their need, within a quarter
// of a second, and get them back when the need has ended.
func TestShareIsLent(t *testing.T) {
	for _, c := range []struct {
		name      string
		demand    []float64 // by member
		minShares []float64
	}{
		{"one of four reaches the site", []float64{1, 0, 0, 0}, []float64{0.97, 0, 0, 0}},
		{"two of four", []float64{1, 1, 0, 0}, []float64{0.48, 0.48, 0, 0}},
		{"one needs little", []float64{0.1, 1, 0, 0}, []float64{0.1, 0.8, 0, 0}},
		{"all of three", []float64{1, 1, 1}, []float64{0.33, 0.33, 0.33}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newRampSimulation(t, 1, len(c.demand))
			s.run(40) // until all members own their equal shares
			for i, demand := range c.demand {
				s.demand[uint64(i+1)] = demand
			}
			s.run(60)
			for i, minShare := range c.minShares {
				if got := s.share(uint64(i + 1)); got < minShare {
					t.Errorf("member %d: got share %.3f, want at least %.2f", i+1, got, minShare)
				}
			}
			clear(s.demand)
			s.run(60)
			want := 1 / float64(len(s.members))
			for _, id := range s.members {
				if got := s.share(id); got < want-1e-9 || got > want+1e-9 {
					t.Errorf("member %d after the loans have ended: got share %.3f, want its own %.3f", id, got, want)
				}
			}
		})
	}
}

// A grant that answers a request of the previous process, or that arrives after the loan's TTL, is ignored.
func TestGrantIsForOwnRequest(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation uint64 // incarnation of the process that made the request
		now         time.Duration
		share       float64
	}{
		{"own", 2, 100 * time.Millisecond, 0.75},
		{"of the process before", 1, 100 * time.Millisecond, 0.5},
		{"of a request a loan's TTL ago", 2, 520 * time.Millisecond, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			requester := newTestRamp(t, 1, c.incarnation)
			r := newTestRamp(t, 1, 2)
			for _, ramp := range []*RecoveryRamp{requester, r} {
				ramp.ApplyAgreed(-time.Hour, []Site{{Name: rampTestSite}}, []uint64{1, 2})
			}
			requestID := requester.NextBroadcast(0, nil).RequestID
			r.NextBroadcast(0, nil)
			r.Receive(c.now, 2, RampMessage{Grants: []ShareGrant{{rampTestSite, 1, requestID, 0.25}}})
			if got := r.Share(c.now, rampTestSite); got != c.share {
				t.Errorf("share: got %v, want %v", got, c.share)
			}
		})
	}
}
