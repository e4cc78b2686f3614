package multisite

import (
	"errors"
	"maps"
	"math"
	"slices"
	"time"
)

// RecoveryRamp shares out, among all instances of all sites, what may be sent to the cold servers of a hall: what one server
// can take is a fact of that server, however many instances send to it. Each instance owns an equal share of it. One
// that reaches none of the hall's servers, or needs less, lends to those that ask for more. Shares never add up to
// more than one, whatever is lost, late or repeated between them:
//
//   - An instance asks, and its ask has a number. What is granted holds for Lease from the ask, by the asker's clock,
//     and is kept back for Lease from the grant, by the lender's. The grant comes after the ask, so that the
//     lender's time ends later, with no clock compared. One ask is granted once.
//   - When members come or go, an instance owns the least of the shares by the numbers of members of the last Lease.
//
// A member that was removed and does not know it yet adds its own share until it ends. Clocks must run equally fast to within what is kept back: see rampMargin. (Leases so counted: Gray and Cheriton,
// "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989.)
//
// What a warm server can take is learned together too: what all members send to one, by the share of it that is busy.
//
// It is not safe for concurrent use.
type RecoveryRamp struct {
	cfg     RampConfig
	members []uint64
	counts  []memberCount // of late
	asked   uint64        // number of the last ask
	askedAt [rampAsks]time.Duration
	halls   map[string]*rampHall
	told    time.Duration
}

// RampConfig is what an instance is told at its start.
type RampConfig struct {
	InstanceID     uint64
	Incarnation    uint64        // of this process, above those of the processes before it; below 1<<31
	LoanTTL        time.Duration // of what is lent
	LoadTTL        time.Duration // what another instance told is out of date after this
	BudgetMultiple float64       // of what a cold server can take that the instances together may send it
}

// WarmLoad is what an instance sends to a warm server of a hall that it reaches itself, and how busy that is.
type WarmLoad struct {
	Site        string
	Rate        float64 // work a second, for a server of unit weight
	Utilization float64 // busy share of its cores; below 0: not known
}

// WarmUpLoad is what an instance has met at a hall's cold servers since it last told.
type WarmUpLoad struct {
	ServerWeight float64 // those there are, by weight and warmth; 0: there is none that it reaches itself
	SentWork     float64 // work
	RejectedWork float64 // work that found no room
}

// RampMessage is what an instance tells the others, in each of its words.
type RampMessage struct {
	RequestID uint64         // number of its asks
	Loads     []WarmLoad     `json:",omitempty"`
	Requests  []ShareRequest `json:",omitempty"`
	Grants    []ShareGrant   `json:",omitempty"`
}

// ShareRequest asks for a share beyond what an instance owns.
type ShareRequest struct {
	Site  string
	Share float64
}

// ShareGrant lends a share.
type ShareGrant struct {
	Site      string
	Borrower  uint64
	RequestID uint64 // that it answers
	Share     float64
}

type memberCount struct {
	n     int
	past  bool
	until time.Duration // one that is past counts until then
}

type carriedBy struct {
	WarmLoad
	at time.Duration
}

// rampHall is an instance's part in one hall.
type rampHall struct {
	need float64             // share that it could use, averaged
	cold bool                // it reaches cold servers there
	lent map[uint64][]loan   // by borrower: what may be in use
	held map[uint64]borrowed // by lender
	asks map[uint64]heardAsk // by borrower: not granted yet

	carried map[uint64]carriedBy // by member: what it sends to a warm server here
	warm    float64              // work a second that one can take, as last learned; 0: not known
}

type loan struct {
	share float64
	until time.Duration
}

type borrowed struct {
	ask   uint64
	share float64
	until time.Duration
}

type heardAsk struct {
	ask   uint64
	share float64
	at    time.Duration
}

const (
	rampAsks    = 256                   // asks whose time is known; they go out each 20 ms, a lease lasts for 25
	rampMargin  = 50 * time.Millisecond // kept back beyond the lease
	rampRoom    = 1.25                  // of what an instance needs it keeps or asks for
	rampAverage = 200 * time.Millisecond
	rampLeast   = 0.01 // smaller shares are not lent
	utilLeast   = 0.3  // below, the share that is busy says little of what a server can take
	warmLeast   = 1.0  // a server does at least a second's work a second
)

// NewRecoveryRamp returns a part in no hall. An error names the figure that can't be.
func NewRecoveryRamp(cfg RampConfig) (*RecoveryRamp, error) {
	if cfg.LoanTTL <= 0 || cfg.LoadTTL <= 0 || cfg.BudgetMultiple <= 0 {
		return nil, errors.New("sites: Lease, Fresh and Multiple of a ramp must be above 0")
	}
	// Numbers of asks go on from process to process: a grant to the one before is not taken for one's own.
	return &RecoveryRamp{cfg: cfg, asked: cfg.Incarnation << 32, halls: map[string]*rampHall{}}, nil
}

// ApplyAgreed takes over the members and halls that are agreed on.
func (r *RecoveryRamp) ApplyAgreed(now time.Duration, halls []Site, members []uint64) {
	if n := len(members); len(r.counts) == 0 || r.counts[len(r.counts)-1].n != n {
		if k := len(r.counts); k > 0 {
			r.counts[k-1].past, r.counts[k-1].until = true, now+r.cfg.LoanTTL+rampMargin
		} else if n > 0 { // a process that has just started: the one before it may have lent all that it owned
			r.counts = append(r.counts, memberCount{math.MaxInt, true, now + r.cfg.LoanTTL + rampMargin})
		}
		r.counts = append(r.counts, memberCount{n: n})
	}
	r.members = slices.Clone(members)
	for _, h := range halls {
		if r.halls[h.Name] == nil {
			r.halls[h.Name] = &rampHall{lent: map[uint64][]loan{}, held: map[uint64]borrowed{}, asks: map[uint64]heardAsk{}, carried: map[uint64]carriedBy{}}
		}
	}
	for name := range r.halls {
		if !slices.ContainsFunc(halls, func(h Site) bool { return h.Name == name }) {
			delete(r.halls, name)
		}
	}
	for _, h := range r.halls {
		for id := range h.carried {
			if !slices.Contains(members, id) {
				delete(h.carried, id)
			}
		}
	}
}

// owns is the share that this instance has by itself.
func (r *RecoveryRamp) owns(now time.Duration) float64 {
	r.counts = slices.DeleteFunc(r.counts, func(c memberCount) bool { return c.past && now >= c.until })
	if !slices.Contains(r.members, r.cfg.InstanceID) {
		return 0
	}
	most := 0
	for _, c := range r.counts {
		most = max(most, c.n)
	}
	return 1 / float64(max(most, 1))
}

// lentOut is what of an instance's share others may be using.
func (h *rampHall) lentOut(now time.Duration) (sum float64) {
	for to, loans := range h.lent {
		loans = slices.DeleteFunc(loans, func(l loan) bool { return now >= l.until })
		if h.lent[to] = loans; len(loans) == 0 {
			delete(h.lent, to)
		}
		sum += h.most(to)
	}
	return sum
}

// borrowedNow is what others lend to an instance.
func (h *rampHall) borrowedNow(now time.Duration) (sum float64) {
	for from, b := range h.held {
		if now >= b.until {
			delete(h.held, from)
			continue
		}
		sum += b.share
	}
	return sum
}

// Share is the share of what a hall's cold servers may be sent that this instance has now, 0 to 1.
func (r *RecoveryRamp) Share(now time.Duration, hall string) float64 {
	h := r.halls[hall]
	if h == nil {
		return 0
	}
	return max(r.owns(now)-h.lentOut(now), 0) + h.borrowedNow(now)
}

// WarmServerCapacity is the work a second that a warm server of unit weight can take at a hall, as the members have learned together
// there or, as long as nothing is known of that, at the hall whose servers can take least.
func (r *RecoveryRamp) WarmServerCapacity(now time.Duration, hall string) float64 {
	if h := r.halls[hall]; h != nil {
		if w := h.learn(now, r.cfg.LoadTTL); w > 0 {
			return max(w, warmLeast)
		}
	}
	least := 0.0
	for _, h := range r.halls {
		if w := h.learn(now, r.cfg.LoadTTL); w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return max(least, warmLeast)
}

// learn takes what all send to one warm server, by the share of it that is busy as most of them see it.
func (h *rampHall) learn(now, fresh time.Duration) float64 {
	rate, busy := 0.0, make([]float64, 0, 8)
	for _, c := range h.carried {
		if now-c.at > fresh {
			continue
		}
		if rate += c.Rate; c.Utilization >= 0 {
			busy = append(busy, c.Utilization)
		}
	}
	if len(busy) > 0 && rate > 0 {
		slices.Sort(busy)
		if util := busy[len(busy)/2]; util >= utilLeast { // where little is busy, what was learned before says more
			h.warm = rate / min(util, 1)
		}
	}
	return max(h.warm, rate)
}

// RecordWarmUpLoad takes in what the instance has met at a hall since it last told.
func (r *RecoveryRamp) RecordWarmUpLoad(now time.Duration, hall string, c WarmUpLoad) {
	h := r.halls[hall]
	if h == nil {
		return
	}
	gap := now - r.told
	if h.cold = c.ServerWeight > 0; !h.cold {
		h.need = 0
		return
	}
	if h.need == 0 {
		h.need = 1 // it has met none so far: what it can use shows soon
		return
	}
	if most := r.cfg.BudgetMultiple * r.WarmServerCapacity(now, hall) * c.ServerWeight * gap.Seconds(); gap > 0 && most > 0 {
		x := min((c.SentWork+c.RejectedWork)/most, 1)
		h.need += (1 - math.Exp(-float64(gap)/float64(rampAverage))) * (x - h.need)
	}
	h.need = max(h.need, rampLeast)
}

// NextBroadcast returns what to tell the others now. carried is what the instance sends to warm servers, by hall.
func (r *RecoveryRamp) NextBroadcast(now time.Duration, carried []WarmLoad) RampMessage {
	r.told = now
	r.carry(now, r.cfg.InstanceID, carried)
	r.asked++
	r.askedAt[r.asked%rampAsks] = now
	w := RampMessage{RequestID: r.asked, Loads: carried}
	own := r.owns(now)
	for _, name := range slices.Sorted(maps.Keys(r.halls)) {
		h := r.halls[name]
		keep := min(rampRoom*h.need, 1)
		if h.cold && keep > own {
			w.Requests = append(w.Requests, ShareRequest{name, keep - own})
		}
		w.Grants = append(w.Grants, h.grant(now, name, own-keep, r.cfg)...)
	}
	return w
}

// grant lends what an instance can spare to those that have asked: to each its part of all that is asked for.
func (h *rampHall) grant(now time.Duration, name string, spare float64, cfg RampConfig) (grants []ShareGrant) {
	var sum float64
	ids := make([]uint64, 0, len(h.asks))
	for id, a := range h.asks {
		if now-a.at > cfg.LoanTTL {
			delete(h.asks, id)
			continue
		}
		sum += a.share
		ids = append(ids, id)
	}
	if spare < rampLeast || sum <= 0 {
		return nil
	}
	slices.Sort(ids)
	for _, id := range ids {
		a := h.asks[id]
		delete(h.asks, id)
		share := min(spare*a.share/sum, a.share)
		// What it has already been lent counts once; what others have been lent must have come back first.
		others := h.lentOut(now) - h.most(id)
		if share = min(share, spare-others); share < rampLeast {
			continue
		}
		h.lent[id] = append(h.lent[id], loan{share, now + cfg.LoanTTL + rampMargin})
		grants = append(grants, ShareGrant{name, id, a.ask, share})
	}
	return grants
}

// most is the largest share that a borrower may be using: it uses the last one that it has heard.
func (h *rampHall) most(id uint64) (share float64) {
	for _, l := range h.lent[id] {
		share = max(share, l.share)
	}
	return share
}

// carry notes what a member sends to warm servers.
func (r *RecoveryRamp) carry(now time.Duration, member uint64, carried []WarmLoad) {
	for _, c := range carried {
		if h := r.halls[c.Site]; h != nil && c.Rate >= 0 && !math.IsInf(c.Rate, 0) && !math.IsNaN(c.Utilization) {
			h.carried[member] = carriedBy{c, now}
		}
	}
}

// Receive takes in what another member told.
func (r *RecoveryRamp) Receive(now time.Duration, from uint64, w RampMessage) {
	if from == r.cfg.InstanceID || !slices.Contains(r.members, from) {
		return
	}
	r.carry(now, from, w.Loads)
	for _, a := range w.Requests {
		if h := r.halls[a.Site]; h != nil && a.Share > 0 && w.RequestID > h.asks[from].ask {
			h.asks[from] = heardAsk{w.RequestID, min(a.Share, 1), now}
		}
	}
	for _, g := range w.Grants {
		h := r.halls[g.Site]
		if h == nil || g.Borrower != r.cfg.InstanceID || g.RequestID > r.asked || r.asked-g.RequestID >= rampAsks || !(g.Share >= 0) {
			continue
		}
		if g.RequestID <= h.held[from].ask {
			continue // a later one of this lender has come
		}
		if until := r.askedAt[g.RequestID%rampAsks] + r.cfg.LoanTTL; now < until {
			h.held[from] = borrowed{g.RequestID, min(g.Share, 1), until}
		}
	}
}
