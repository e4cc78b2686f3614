package policy

// A request meets its customer's quota, ARO, the choice of a server (pick), then maySend and mayRefuse.

import (
	"math"
	"time"
)

// Overload control. The names are those of the paper.
const (
	sampleInterval        = 100 * time.Millisecond // a probe of the occupancy: the paper's figure
	samplesPerAssessment  = 5                      // k, probes in an assessment: half a second follows short bursts
	occupancyTarget       = 0.95                   // occupancy aimed at: the paper's figure
	maxGrowth             = 1.3                    // phi max, growth of f in one assessment
	minAdmitFraction      = 0.1                    // f min, so that recovery is always seen
	throughputWeight      = 0.1                    // share of a new sample in the slow average of mu max
	highOccupancy         = 0.8                    // occupancy from which fA acts: the design page's figure
	lowOccupancy          = 0.5                    // occupancy up to which spare capacity may go to extras
	lowSubsetOccupancy    = 0.7                    // and with a part of the servers, whose reports alone tell it
	minLearnOccupancy     = 0.1                    // occupancy from which mu max is sampled: the design page's figure
	minBatchSamples       = 16                     // samples in a mean that may count as the lowest latency
	queueTimeFraction     = 0.3                    // share of a class's aim that attempts out may take to be answered
	minInFlightPerServer  = 2.0                    // attempts out per server, over all gateways, that the bound leaves
	certainOverloadFactor = 3.0                    // times the bound that can't be out by chance
	youngAttemptFraction  = 0.5                    // share of its aim until which an attempt out counts
	firstTrySteps         = 20                     // parts of an aim in a step of the wait that fresh tries have
	firstTryDecaySteps    = 10                     // times that a step down is smaller: the longest tenth counts
	throttleRetryFraction = 4                      // parts of an aim after which a throttled client should try again
	grantFractionWeight   = 0.1                    // share of a new ask in the share that a holder grants
	minOwnSamples         = 10                     // samples of its own that a gateway goes by alone
	ownMeansWeight        = 0.05                   // share of a probe in the mean over gateways: about two seconds
	peerMeansWeight       = 0.3                    // share of a peer's figures in that mean
	rateWeight            = 0.1                    // share of a probe in the rate of answers: about a second
	lowestLatencyDrift    = 0.01                   // share by which the lowest latency creeps up at each batch
)

// Servers and attempts.
const (
	latencyWeight                = 0.15                   // share of a new sample in a server's latency average
	failureWeight                = 0.2                    // share of a new outcome in a server's error average
	ejectionThreshold            = 0.35                   // error average that ejects: about three failures in a row
	failureCostFactor            = 8                      // cost factor of an error average of 1
	minEjectionTime              = 500 * time.Millisecond // first ejection; doubles up to ejectMost
	maxEjectionTime              = 8 * time.Second
	decayTime                    = 5 * time.Second        // time constant for forgetting what was learned of a server
	coldBudgetFraction           = 0.5                    // share of the fall-over budget that is used: work varies
	slowMeanWeight               = 0.05                   // share of a new sample in the slow means
	utilizationWeight            = 0.3                    // share of a new report in a server's busy share
	triedCostFactor              = 4                      // cost factor of a server that this request has tried
	noConnectionCostFactor       = 1.5                    // cost factor of a server to which no connection stands idle
	coldCostFactor               = 0.5                    // cost factor of a part's cold server that may be sent something
	healthChecksPerForward       = 0.5                    // probes for each request sent on
	subsetHealthChecksPerForward = 0.17                   // and with a part of the servers, which many gateways look at
	unresponsiveCheckLead        = 3 * time.Second        // a silent server's turn to be probed comes earlier by so much
	findingTTL                   = 2 * time.Second        // what peers say of a server counts for so long
	freshEvidenceAge             = 500 * time.Millisecond // own evidence as young as that counts for more
	idleConnectionTimeout        = 10 * time.Second       // a connection that has been idle for so long may have been closed
	crossZoneCostFactor          = 1.1                    // cost factor of another zone where crossing has a price
	slowAttemptDeviations        = 10                     // mean deviations over the mean at which an attempt counts as slow
	contentionWindow             = time.Second            // a customer refused counts as crowded for so long
	contentionTries              = 2                      // and for as long as it takes to fill in so many tries
	peerCountTTLIntervals        = 10                     // gaps between tells after which a level told is forgotten
	idleQuotaTTL                 = 5 * time.Second        // a store without a rate is dropped when idle so long
	retryTokensPerRequest        = 0.2                    // further attempts earned by each first one
	maxRetryTokens               = 20                     // further attempts that can be saved up
	minGossipInterval            = 40 * time.Millisecond  // shortest gap between tells
	gossipIntervalFactor         = 1.3                    // gap between tells as a multiple of what the inbox limit allows
	ownerTimeout                 = 100 * time.Millisecond // an answer to an ask is taken for lost then: two hops' time
	maxOwnerTimeouts             = 3                      // asks without an answer after which a holder is not waited for
	maxTimeoutsInARow            = 6                      // asks in a row without any holder's answer after which none is
	memberBurstFraction          = 0.5                    // part of a ceiling's burst that members have without asking
	memberRateFraction           = 0.4                    // and of its rate
	ownerInboxFraction           = 0.3                    // share of an inbox for a customer's asks granted or refused
	ownerOverloadFraction        = 0.6                    // share of an inbox from which asks in vain have to pause
	transferAheadIntervals       = 4.0                    // gaps between tells that a part of a ceiling should last for
	transferReserveFraction      = 0.25                   // share of its part that a lender keeps
	minTransferTimeout           = 300 * time.Millisecond // a unit lent is under way for at most as long,
	transferTimeoutIntervals     = 3                      // or for so many gaps between tells
)

// Start begins the gateway's work. Call it once, before any other event.
func (g *Engine) Start(now time.Duration, out Actions) {
	g.now, g.actions, g.startedAt, g.overload.admitFraction = now, out, now, 1
	g.gossipInterval = sampleInterval
	if in := g.settings.GossipInboxRate; in > 0 {
		gap := time.Duration(gossipIntervalFactor * float64(g.settings.InstanceCount-1) / in * float64(time.Second))
		g.gossipInterval = max(gap, g.settings.MinEventInterval, minGossipInterval)
	}
	// Gateways started together must not beat in step.
	g.actions.SetTimer(timerSample, time.Duration(g.rng.Int64N(int64(sampleInterval))))
	if g.settings.AllowsGossip && g.settings.InstanceCount > 1 {
		g.actions.SetTimer(timerGossip, time.Duration(g.rng.Int64N(int64(g.gossipInterval))))
	}
	if g.settings.PollsEndpoints {
		g.actions.WatchEndpoints(true)
	}
}

// EndpointsChanged brings the list of servers or changes of it.
func (g *Engine) EndpointsChanged(now time.Duration, form EndpointUpdateKind, entries []Server, out Actions) {
	g.now, g.actions = now, out
	if form == EndpointsUnavailable {
		if g.settings.PollsEndpoints {
			g.actions.SetTimer(timerEndpointPoll, time.Second+time.Duration(g.rng.Int64N(int64(time.Second))))
		}
		return
	}
	if form != EndpointsDelta {
		for _, s := range g.servers {
			s.isListed = false
		}
	}
	for _, e := range entries {
		s := g.serverByID[e.ID]
		if s == nil {
			s = &server{latencyRatio: 1, queueLength: -1, warmupBudget: -1, utilization: -1, subsetCorrection: 1, gossipID: gossipIDOf(e.ID)}
			g.serverByID[e.ID] = s
			g.servers = append(g.servers, s)
		}
		if s.StartedAt != e.StartedAt {
			// A restarted server is another one: nothing learned of it holds.
			s.failureRate, s.consecutiveEjections, s.ejectedUntil, s.latencyRatio, s.queueLength, s.warmupBudget, s.isUnresponsive = 0, 0, 0, 1, -1, -1, false
			s.expectedConnections = 0
		}
		s.Server, s.isListed = e, e.State != Removed
		if _, ok := g.kindIndex[e.Kind]; !ok {
			g.kindIndex[e.Kind] = len(g.kindIndex)
			g.kindRatios = append(g.kindRatios, &kindRatio{mean: 1})
		}
	}
	g.updateServers()
}

// RequestReceived is a new try of a client: it is sent on or refused at once.
func (g *Engine) RequestReceived(now time.Duration, q Request, out Actions) {
	g.now, g.actions = now, out
	if g.requests[q.ID] != nil {
		return
	}
	ci, okClass := g.classIndex[q.Class]
	pi, okPlan := g.planIndex[q.Plan]
	if !okClass || !okPlan || q.Timeout <= 0 {
		g.reject(q.ID, 0, rejectUnknown)
		return
	}
	q.Units = math.Max(q.Units, 0)
	q.InstanceCount = min(max(q.InstanceCount, 1), g.settings.InstanceCount)
	st := g.quotaFor(q.Customer, pi, q.InstanceCount, q.FirstInstance)
	if st.plan != pi { // the customer has changed its plan
		g.changePlan(st, g.settings.Plans[st.plan], pi)
	}
	g.lastRequestNumber++
	r := &request{Request: q, number: g.lastRequestNumber, class: ci, quota: st}
	r.deadline = now + q.BodyTimeout + q.Timeout - 2*g.settings.MinEventInterval
	late, l := g.isTooLate(ci, q.Timeout), &g.latencies[ci]
	wait, why := g.settings.Classes[ci].LatencyObjective/throttleRetryFraction, rejectNone
	switch {
	case g.isOverloaded(ci, q.Zone, g.settings.Plans[pi].PriorityFactor):
		why = rejectOverloaded
	case late && g.overload.occupancy >= highOccupancy:
		why = rejectLate
	case l.samples >= minBatchSamples && q.Timeout.Seconds() < l.mean:
		why = rejectShortTimeout
	case st.usesOwner && !q.IsCharged && now < st.rejectedUntil && g.settings.Plans[pi].OverQuotaFraction == 0:
		wait, why = st.rejectedUntil-now, rejectQuota
	}
	if why != rejectNone {
		g.reject(q.ID, wait, why)
		return
	}
	g.requests[q.ID], g.requestByNumber[r.number] = r, r
	g.actions.SetTimer(r.number<<timerBits|timerDeadline, max(r.deadline-now, 0))
	if q.IsCharged {
		r.Units, r.isGranted = 0, true
		g.admit(r, true, 0)
		return
	}
	if r.owner = g.ownerFor(st); st.usesOwner && r.owner != g.settings.InstanceIndex {
		r.isLate = late
		g.requestQuota(r)
		return
	}
	in, wait := g.checkQuota(st, q.Units, late)
	if in {
		g.takeUnits(st, q.Units)
	}
	g.admit(r, in, wait)
}

// isTooLate tells whether a try is known to come too late for its aim. Each try of a class begins with the same
// wait, of which a later try of the same client has less left. Where its answer would be worth little, it
// gives way to those that can still be answered in time. Clients that give each try a wait of its own
// look younger than they are: those are not held back.
func (g *Engine) isTooLate(class int, grace time.Duration) bool {
	c, l := &g.settings.Classes[class], &g.latencies[class]
	if l.firstTryTimeout == 0 {
		l.firstTryTimeout = grace
	}
	// A high quantile, not the most: single clients must not make all others look late.
	if step := c.LatencyObjective / firstTrySteps; grace > l.firstTryTimeout {
		l.firstTryTimeout += min(step, grace-l.firstTryTimeout)
	} else {
		l.firstTryTimeout -= min(step/firstTryDecaySteps, l.firstTryTimeout-grace)
	}
	return (l.firstTryTimeout-grace).Seconds()+l.mean > c.LatencyObjective.Seconds()
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (g *Engine) admit(r *request, in bool, wait time.Duration) {
	st, p, ci := r.quota, &g.settings.Plans[r.quota.plan], r.class
	r.inQuota = in
	why := rejectQuota
	var s *server
	// Exception: beyond the quota only where that earns more than it costs and the back end is calm.
	if !in && !(p.OverQuotaFraction > p.OverQuotaCost && g.overload.occupancy < g.spareCapacityOccupancy() && g.overload.admitFraction >= 1) {
	} else if !r.isGranted && st.hardLimitTokens < r.Units && p.HardLimitRate > 0 {
		wait, why = refillTime(r.Units-st.hardLimitTokens, p.HardLimitRate*st.rateFraction), rejectHardLimit
		if st.unmetUnits += r.Units; !st.usesOwner {
			wait = min(wait, 2*g.gossipInterval) // a peer may lend
		}
		g.markForGossip(st)
	} else if why, g.overload.throttleCredit = rejectThrottled, g.overload.throttleCredit+g.overload.admitFraction; g.overload.throttleCredit < 1 {
		wait = g.settings.Classes[ci].LatencyObjective / throttleRetryFraction
	} else {
		g.overload.throttleCredit--
		wait, why = samplesPerAssessment*sampleInterval, rejectNoServer
		s = g.selectServer(r)
	}
	if s == nil {
		g.returnUnits(r, r.Units)
		g.reject(r.ID, wait, why)
		g.closeRequest(r)
		return
	}
	if p.HardLimitRate > 0 && !r.isGranted {
		st.hardLimitTokens -= r.Units
	}
	st.startedSinceGossip++
	g.overQuota.Sent += r.Units * boolToFloat(!in)
	g.overload.sent[g.overload.sampleIndex()]++
	g.retryTokens = math.Min(g.retryTokens+retryTokensPerRequest, maxRetryTokens)
	g.startAttempt(r, s)
}

// Quotas.

// quotaFor returns the customer's store, filled up to now.
func (g *Engine) quotaFor(key uint64, plan, spread, first int) *customerQuota {
	st := g.quotas[key]
	p := &g.settings.Plans[plan]
	if st == nil {
		st = &customerQuota{key: key, plan: plan, instanceCount: spread, firstInstance: first, refilledAt: g.now, grantFraction: 1}
		g.splitQuota(st, p)
		// Filled since this gateway's start: a store dropped when full comes back full.
		st.tokens = math.Min(p.Burst, p.Burst/float64(st.instanceSplit)+p.Rate*(g.now-g.startedAt).Seconds())
		if st.usesOwner {
			st.tokens = p.Burst / st.ownerCount
		}
		st.hardLimitTokens = math.Min(p.HardLimitBurst*st.burstFraction,
			p.HardLimitRate*st.rateFraction*(g.now-g.startedAt).Seconds())
		g.quotas[key] = st
		g.quotaList = append(g.quotaList, st)
	}
	g.refill(st)
	return st
}

// splitQuota sets over how many gateways a store is split, and this one's parts.
func (g *Engine) splitQuota(st *customerQuota, p *Plan) {
	if st.instanceSplit = st.instanceCount; g.settings.AllowsGossip && st.instanceCount > 1 && g.gossipInterval > samplesPerAssessment*sampleInterval {
		// As many holders as it takes for their inboxes to hold the asks.
		holders := int(math.Ceil(p.Rate / (ownerInboxFraction * g.settings.GossipInboxRate)))
		st.usesOwner, st.instanceSplit = true, min(max(1, holders), st.instanceCount)
	}
	// Rule 5: the parts of a ceiling sum to the whole. Each counts as empty at its gateway's start, since
	// one killed before may have spent it, and has filled since. A holder has most of it, for its grants.
	st.ownerCount, st.burstFraction = 1, 1/float64(st.instanceCount)
	st.rateFraction = st.burstFraction
	if st.usesOwner {
		st.ownerCount = float64(st.instanceSplit)
		held := float64(g.ownedParts(st)) / st.ownerCount
		st.burstFraction = memberBurstFraction*st.burstFraction + (1-memberBurstFraction)*held
		st.rateFraction = memberRateFraction*st.rateFraction + (1-memberRateFraction)*held
	}
}

// changePlan moves a store, filled up to now, from the figures of one plan to those of another. What was spent
// stays spent, of the quota and of the ceiling; under a first ceiling the store begins empty, as at a start.
func (g *Engine) changePlan(st *customerQuota, old Plan, plan int) {
	p := &g.settings.Plans[plan]
	spent, over := old.Burst/st.ownerCount-st.tokens, old.HardLimitBurst*st.burstFraction-st.hardLimitTokens
	st.plan = plan
	g.splitQuota(st, p)
	st.tokens = math.Max(p.Burst/st.ownerCount-spent, -p.Burst)
	if st.hardLimitTokens = p.HardLimitBurst*st.burstFraction - over; old.HardLimitRate <= 0 {
		st.hardLimitTokens = 0
	}
}

// checkQuota tells whether units are inside the customer's quota and, if not, when to come back. A late try takes
// none of a customer that others were refused of late: it would cost one that can still be answered in time.
func (g *Engine) checkQuota(st *customerQuota, units float64, late bool) (bool, time.Duration) {
	p := &g.settings.Plans[st.plan]
	n := float64(st.instanceSplit)
	if st.usesOwner {
		n = 1
		st.unitsSinceGossip, st.startedSinceGossip = 0, 0 // nothing is spent here without the store's knowing
	}
	if late && g.now < st.contendedUntil {
		return false, 0
	}
	if p.MaxInFlight > 0 {
		room := g.inFlightCapacity(st)
		least := 1
		if g.now < st.contendedUntil && !st.usesOwner {
			least = max(min(st.instanceCount, p.MaxInFlight/2), 1)
		}
		if room < least || st.startedSinceGossip > 0 && float64(st.startedSinceGossip+1) > float64(room+st.startedSinceGossip)/n {
			st.contendedUntil = g.now + contentionWindow
			return false, min(g.gossipInterval, ownerTimeout)
		}
	}
	if p.Rate > 0 {
		room := (st.tokens + st.unitsSinceGossip) / n
		// Exception: one request between tells needs only its units, or the split of a small
		// store would hold none. Not so for a customer that was refused of late: its gateways
		// would all send that one. There the store must have it for each, as far as it can.
		least := units
		if g.now < st.contendedUntil {
			least = math.Max(units, math.Min(units*n, p.Burst/2))
		}
		if st.tokens < least || st.unitsSinceGossip > 0 && st.unitsSinceGossip+units > room {
			// A store that fills slowly is waited for for longer.
			st.contendedUntil = g.now + max(contentionWindow, refillTimeIf(contentionTries*units, p.Rate*boolToFloat(st.usesOwner)/st.ownerCount))
			return false, max(refillTime(units-st.tokens, p.Rate/st.ownerCount), min(g.gossipInterval, ownerTimeout))
		}
	}
	return true, 0
}

// inFlightCapacity is how many more attempts the customer may have out, as far as is known.
func (g *Engine) inFlightCapacity(st *customerQuota) int {
	room := g.settings.Plans[st.plan].MaxInFlight - st.inFlight
	for i, l := range st.peerInFlight {
		// An unheard peer counts as nought.
		if i != g.settings.InstanceIndex && g.now-l.receivedAt < peerCountTTLIntervals*g.gossipInterval {
			room -= l.inFlight
		}
	}
	st.dropLeases(func(l lease) bool { return g.now >= l.expiresAt })
	return room - len(st.leases)
}

// isIdle tells whether a store may be dropped: full for a burst's time, with nothing out and nothing to tell.
// Memory stays bounded when customers come once only.
func (g *Engine) isIdle(st *customerQuota) bool {
	p := &g.settings.Plans[st.plan]
	idle := idleQuotaTTL
	if p.Rate > 0 {
		idle = refillTime(2*p.Burst-st.tokens, p.Rate)
	}
	idle = max(idle, refillTimeIf(p.HardLimitBurst, p.HardLimitRate), 2*g.transferTimeout())
	return st.inFlight == 0 && !st.needsGossip && len(st.leases) == 0 && g.now-st.refilledAt >= idle
}

// Peers. A tell repeats the deltas of the one before: a peer that missed that learns them, and one
// that comes late or twice is known by its number. Attempts out go as levels.

func (g *Engine) receiveEntries(from int, es []gossipEntry) {
	for _, e := range es {
		st := g.quotaFor(e.key, e.plan, e.instanceCount, e.firstInstance)
		// Its plan may have changed at one gateway and not yet at the other: units spent count all the same.
		g.chargeRemoteUnits(st, e.units)
		if g.settings.Plans[e.plan].MaxInFlight > 0 {
			if st.peerInFlight == nil {
				st.peerInFlight = make([]peerCount, g.settings.InstanceCount)
			}
			st.peerInFlight[from] = peerCount{e.inFlight, g.now}
		}
		g.receiveTransfer(st, from, e)
	}
}

// Lending. Each gateway's part of a ceiling is empty at its start and fills at a fixed share of the rate,
// while a customer's requests come unevenly. A gateway tells what its part lacks, and a peer whose part has
// room takes units off it and sends them with its next tell. It holds that much less until they must have
// come, so that all parts together never hold more than the ceiling; units in a lost message are lost.

// quotaDeficit is how many units more the gateway's part of the ceiling should hold.
func (g *Engine) quotaDeficit(st *customerQuota) float64 {
	if g.settings.Plans[st.plan].HardLimitRate <= 0 || st.usesOwner {
		return 0
	}
	want := math.Min(transferAheadIntervals*st.unitsSinceGossip+st.unmetUnits, g.hardLimitCapacity(st)) - st.hardLimitTokens
	return math.Max(math.Ceil(want), 0)
}

// quotaSurplus is how many units the gateway's part of the ceiling can do without.
func (g *Engine) quotaSurplus(st *customerQuota) float64 {
	keep := math.Max(transferAheadIntervals*st.unitsSinceGossip+st.unmetUnits, transferReserveFraction*g.settings.Plans[st.plan].HardLimitBurst*st.burstFraction)
	return math.Max(math.Floor(st.hardLimitTokens-keep), 0)
}

// transferQuota takes units off the gateway's part of the ceiling for a peer that lacks them.
func (g *Engine) transferQuota(st *customerQuota, to int) float64 {
	if st.peerDeficits == nil || st.usesOwner {
		return 0
	}
	units := math.Min(st.peerDeficits[to], math.Ceil(g.quotaSurplus(st)/2))
	st.peerDeficits[to] = 0
	st.hardLimitTokens -= units
	st.unitsInTransit[0] += units
	return units
}

// receiveTransfer takes in the units that a peer lends, and what it lacks.
func (g *Engine) receiveTransfer(st *customerQuota, from int, e gossipEntry) {
	if g.settings.Plans[st.plan].HardLimitRate <= 0 || st.usesOwner {
		return
	}
	st.hardLimitTokens += e.transferred // bounded when it next fills
	if st.peerDeficits == nil && e.deficit > 0 {
		st.peerDeficits = make([]float64, g.settings.InstanceCount)
	}
	if st.peerDeficits != nil {
		st.peerDeficits[from] = e.deficit
	}
	if e.deficit > 0 && g.quotaSurplus(st) > 0 {
		g.markForGossip(st)
	}
}

// broadcast tells each peer of the stores whose sets it is in, and returns the most messages that one was sent.
func (g *Engine) broadcast() (most int) {
	for i := range g.peers {
		if i != g.settings.InstanceIndex {
			most = max(most, g.broadcastTo(i, func(st *customerQuota) bool { return g.isCustomerInstance(i, st.firstInstance, st.instanceCount) }))
		}
	}
	kept := g.gossipPending[:0]
	for _, st := range g.gossipPending {
		st.pendingUnits -= math.Round(st.pendingUnits)
		st.unitsSinceGossip, st.startedSinceGossip, st.unmetUnits = 0, 0, 0
		if st.idleGossipRounds++; st.inFlight > 0 {
			st.idleGossipRounds = 0
		}
		// Levels are told until two tells have said that nothing is out.
		if st.needsGossip = g.settings.Plans[st.plan].MaxInFlight > 0 && st.idleGossipRounds < 3; st.needsGossip {
			kept = append(kept, st)
		}
	}
	g.gossipPending = kept
	return most
}

// GossipReceived brings a message of another gateway. A malformed one is ignored whole.
func (g *Engine) GossipReceived(now time.Duration, from int, message []byte, out Actions) {
	g.now, g.actions = now, out
	if from < 0 || from >= len(g.peers) || from == g.settings.InstanceIndex || len(message) == 0 {
		return
	}
	g.gossipReceived++
	if message[0] != kindGossip && message[0] != kindGossipV1 {
		g.receiveQuotaMessage(from, message)
		return
	}
	epoch, seq, cur, prev, ok := g.decodeGossip(message)
	p := &g.peers[from]
	if !ok || p.isKnown && epoch == p.previousEpoch && epoch != p.epoch {
		return
	}
	if !p.isKnown || epoch != p.epoch {
		// The peer has restarted: its numbers begin anew, and what still comes from before is ignored.
		p.previousEpoch, p.epoch, p.receivedSequence, p.isKnown = p.epoch, epoch, 0, true
		for i := range prev {
			prev[i].transferred = 0 // an earlier life of this gateway may have taken and spent it
		}
	}
	if seq <= p.receivedSequence {
		return
	}
	if seq > p.receivedSequence+1 {
		g.receiveEntries(from, prev)
	}
	p.receivedSequence = seq
	g.receiveEntries(from, cur)
}

// Exception for sets to which tells come late (their gap is longer than an assessment): one gateway of
// the set, by the customer's hash, holds the only store, and the others ask it. It covers wide sets in large
// fleets; it costs two hops of waiting, and a holder that restarts begins with a full store.

func (g *Engine) requestQuota(r *request) {
	g.actions.SendGossip(r.owner, g.encodeQuotaRequest(r, kindQuotaRequest))
	if g.peers[r.owner].unansweredRequests >= maxOwnerTimeouts || g.unansweredByAnyOwner >= maxTimeoutsInARow {
		g.ownerTimedOut(r)
		return
	}
	r.awaitsOwner = true
	g.actions.SetTimer(r.number<<timerBits|timerOwnerTimeout, ownerTimeout)
}

// ownerTimedOut goes by the share of asks that its holder granted of late, as far as heard. It covers lost
// messages, holders that are down, stalled or flooded; it harms while that share changes unheard.
func (g *Engine) ownerTimedOut(r *request) {
	r.ownerUnreachable = true
	g.peers[r.owner].unansweredRequests++
	g.unansweredByAnyOwner++
	in := g.rng.Float64() < r.quota.grantFraction
	g.admit(r, in, ownerTimeout)
	if in && len(r.attempts) > 0 {
		g.actions.SendGossip(r.owner, g.encodeQuotaRequest(r, kindQuotaSpent))
	}
}

// receiveQuotaMessage takes an ask of a member, the answer of a holder, or what a member gives back.
func (g *Engine) receiveQuotaMessage(from int, message []byte) {
	m, ok := g.decodeQuotaMessage(message)
	if !ok {
		return
	}
	g.overload.receiveMeans(m.fleetMeans)
	for _, n := range m.findings {
		g.receiveFinding(from, n)
	}
	switch m.kind {
	case kindQuotaRequest, kindQuotaSpent:
		if !g.isCustomerInstance(from, m.firstInstance, m.instanceCount) || !g.isCustomerInstance(g.settings.InstanceIndex, m.firstInstance, m.instanceCount) {
			return
		}
		st := g.quotaFor(m.key, m.plan, m.instanceCount, m.firstInstance)
		if st.plan != m.plan || !st.usesOwner {
			return
		}
		if m.kind == kindQuotaSpent { // sent without the answer: of an ask that came, it has taken its units
			if !st.hasGrant(from, m.number) {
				st.recordGrant(from, m.number, g.now)
				g.chargeRemoteUnits(st, m.units)
			}
			return
		}
		in, wait := g.checkQuota(st, m.units, m.isLate)
		if in = in && (g.settings.Plans[m.plan].HardLimitRate <= 0 || st.hardLimitTokens >= m.units); in {
			wait, st.hardLimitTokens = 0, st.hardLimitTokens-m.units
			g.takeUnits(st, m.units)
			if g.settings.Plans[m.plan].MaxInFlight > 0 {
				st.leases = append(st.leases, lease{from, m.number, g.now + g.maxLatencyObjective()})
			}
		} else if g.gossipRate > ownerOverloadFraction*g.settings.GossipInboxRate {
			// More members ask in vain than the inbox takes: each pauses until it is their turn again. In
			// large fleets a third of an inbox is what all customers' asks come to on a calm day.
			wait = max(wait, refillTime(float64(st.instanceCount/st.instanceSplit), ownerInboxFraction*g.settings.GossipInboxRate))
		}
		st.grantFraction += grantFractionWeight * (boolToFloat(in) - st.grantFraction) * (1 - boolToFloat(m.isLate))
		if in {
			st.recordGrant(from, m.number, g.now)
		}
		g.actions.SendGossip(from, g.encodeQuotaResponse(m.number, in, wait, st.grantFraction))
	case kindQuotaResponse:
		g.peers[from].unansweredRequests, g.unansweredByAnyOwner = 0, 0
		r := g.requestByNumber[m.number]
		if r == nil || r.owner != from || len(r.attempts) > 0 || g.clientLeft(r, m.isGranted) {
			return
		}
		r.quota.grantFraction = m.grantFraction
		if !m.isGranted {
			r.quota.rejectedUntil = g.now + m.wait
		}
		r.isGranted = m.isGranted
		g.admit(r, m.isGranted, m.wait)
	case kindQuotaReturn:
		if st := g.quotas[m.key]; st != nil && st.usesOwner {
			g.refill(st)
			st.tokens = math.Min(st.tokens+m.units, g.settings.Plans[st.plan].Burst/st.ownerCount)
			st.dropLeases(func(l lease) bool { return l.from == from && l.number == m.number })
		}
	}
}

// returnUnits returns units that were not sent, and a place under an open cap.
func (g *Engine) returnUnits(r *request, units float64) {
	open := g.settings.Plans[r.quota.plan].MaxInFlight > 0
	units *= 1 - boolToFloat(r.ownerUnreachable) // whether its ask was granted is not known: only the place is surely free
	if !r.inQuota && !r.ownerUnreachable || units == 0 && !open {
		return
	}
	if !r.quota.usesOwner || r.owner == g.settings.InstanceIndex {
		g.refill(r.quota)
		g.takeUnits(r.quota, -units)
		return
	}
	msg := encodeQuotaReturn(r.quota.key, r.number, units)
	g.actions.SendGossip(r.owner, msg)
	if open && units == 0 {
		g.actions.SendGossip(r.owner, msg) // a lost one would block a place for long
	}
}

// Overload control (ARO).

// closeSample closes a probe, and every k probes sets f.
func (a *overloadController) closeSample(oks, held float64) {
	i := a.sampleIndex()
	a.mergeMeans(ownMeansWeight, [fleetMeanCount]float64{a.occupancySums[i], a.occupancySamples[i], a.sent[i], oks, held})
	if a.sampleCount++; a.sampleIndex() == 0 {
		var occ, n, sent float64
		for i := range a.occupancySums {
			occ, n, sent = occ+a.occupancySums[i], n+a.occupancySamples[i], sent+a.sent[i]
		}
		a.forwardRate = sent / samplesPerAssessment
		if n < minOwnSamples { // too few of its own: by the mean over the gateways it hears from
			occ, n, a.forwardRate = a.fleetMeans[meanOccupancySum], a.fleetMeans[meanOccupancySamples], a.fleetMeans[meanForwarded]
		}
		if a.occupancy = 0; n > minOwnSamples*ownMeansWeight/25 {
			a.occupancy = math.Min(occ/n, 1)
		}
		fO := clampFraction(math.Min(occupancyTarget/math.Max(a.occupancy, 1e-9), maxGrowth) * a.admitFraction)
		fA := 1.0
		if a.maxThroughput > 0 && a.occupancy >= highOccupancy && a.forwardRate > 0 {
			fA = clampFraction(occupancyTarget * a.maxThroughput / a.forwardRate * a.admitFraction)
		}
		a.admitFraction = math.Min(fA, fO)
		if a.occupancy >= minLearnOccupancy {
			if mu := a.forwardRate / a.occupancy; a.maxThroughput == 0 {
				a.maxThroughput = mu
			} else {
				a.maxThroughput += throughputWeight * (mu - a.maxThroughput)
			}
		}
	}
	a.occupancySums[a.sampleIndex()], a.occupancySamples[a.sampleIndex()], a.sent[a.sampleIndex()] = 0, 0, 0
}

// isOverloaded is an exception to ARO, whose f follows what has been answered and so comes late when work
// piles up. By Little's law the attempts out over the answers per second are the delay that a new
// request meets; where that leaves no hope of its aim, it is refused. It covers overload, stalls,
// lost servers and retry storms alike; it harms where latency is long by nature, not by waiting.
// Where requests are kept to zones, each zone has a bound of its own: work that piles up at one must not keep
// others idle.
func (g *Engine) isOverloaded(class int, zone string, price float64) bool {
	c, value := &g.settings.Classes[class], g.relativeValue(class)
	if len(g.zones) > 0 {
		return g.areZonesOverloaded(zone, queueTimeFraction*(1+value*g.relativePriority(price))/2*c.LatencyObjective.Seconds())
	}
	answered := queueTimeFraction * (1 + value) / 2 * c.LatencyObjective.Seconds() // for all that is out
	bound := g.responseRate * answered
	out, servers := g.reachableInFlight()
	floor := minInFlightPerServer * servers / float64(g.settings.InstanceCount)
	if bound < minOwnSamples && g.gossipRate > 1 && out < certainOverloadFactor*math.Max(bound, floor) {
		// Few attempts are out by chance or not: the mean over the gateways it hears from must say so too.
		// That comes seconds late: what can't be chance doesn't wait for it, or a burst would come in whole.
		bound = g.overload.fleetMeans[meanResponses] / sampleInterval.Seconds() * answered
		return out >= math.Max(bound, floor) && g.overload.fleetMeans[meanInFlight] >= math.Max(bound, floor)
	}
	return out >= math.Max(bound, floor)
}

// relativeValue is what a class is worth for its work, as a share of the best class's.
func (g *Engine) relativeValue(class int) float64 {
	best := 0.0
	for c := range g.settings.Classes {
		best = math.Max(best, g.settings.Classes[c].PriorityWeight/g.expectedWork(c))
	}
	if best <= 0 {
		return 1
	}
	return g.settings.Classes[class].PriorityWeight / g.expectedWork(class) / best
}

// areZonesOverloaded holds each zone to its own bound: what is out there must be answered within a time.
func (g *Engine) areZonesOverloaded(zone string, answered float64) bool {
	jammed := true
	for name, z := range g.zones {
		bound := math.Max(z.responseRate*answered, minInFlightPerServer*z.servers*z.InFlightFraction)
		z.isOverloaded = z.servers == 0 || g.zoneInFlight(name) >= bound
		jammed = jammed && (z.isOverloaded || zone != "" && zone != name)
	}
	return jammed
}

// relativePriority is a plan's price as a share of the dearest.
func (g *Engine) relativePriority(price float64) float64 {
	dearest := price
	for p := range g.settings.Plans {
		dearest = math.Max(dearest, g.settings.Plans[p].PriorityFactor)
	}
	if dearest <= 0 {
		return 1
	}
	return price / dearest
}

// recordLatency learns from one answered attempt.
func (g *Engine) recordLatency(class int, s *server, took time.Duration) {
	c := &g.latencies[class]
	x := took.Seconds()
	if c.mean == 0 {
		c.mean, c.deviation = x, x/2
	}
	c.samples++
	c.deviation += slowMeanWeight * (math.Abs(x-c.mean) - c.deviation)
	c.mean += slowMeanWeight * (x - c.mean)
	s.latencyRatio += latencyWeight * (x/math.Max(c.mean, 1e-6) - s.latencyRatio)
	for len(c.kinds) <= g.kindIndex[s.Kind] {
		c.kinds = append(c.kinds, kindLatency{})
	}
	l := g.kindRatios[g.kindIndex[s.Kind]]
	l.n++
	l.mean += math.Max(1/(l.n+1), slowMeanWeight) * (x/math.Max(c.mean, 1e-6) - l.mean)
	k := &c.kinds[g.kindIndex[s.Kind]]
	k.sum += x
	if k.samples++; k.samples >= minBatchSamples {
		k.lowest *= 1 + lowestLatencyDrift
		if m := k.sum / float64(k.samples); k.lowest == 0 || m < k.lowest {
			k.lowest = m
		}
		k.sum, k.samples = 0, 0
	}
	if g.settings.LoadReports == LoadReportsNone || g.lacksLoadReport(s) {
		if k.lowest > 0 {
			// Each latency weighs by its length, which makes the mean over a probe 1 - lowest/mean.
			g.overload.occupancySums[g.overload.sampleIndex()] += x/k.lowest - 1
			g.overload.occupancySamples[g.overload.sampleIndex()] += x / k.lowest
		} else {
			g.overload.occupancySamples[g.overload.sampleIndex()]++ // or a few full refusals would be all there is
		}
	}
}

// Choice of a server.

// selectServer returns the server that the request goes to, or nil: one of this gateway's part of the servers or, if
// none of these will do, one of all.
func (g *Engine) selectServer(r *request) *server {
	s := g.bestOf(r, g.subset)
	if !g.usesAllServers() && (s == nil || s.isEjected(g.now)) {
		if other := g.bestOf(r, g.servers); other != nil {
			return other
		}
	}
	return s
}

// bestOf returns the one of some servers with the least expected delay that the request may go to, or nil.
func (g *Engine) bestOf(r *request, from []*server) *server {
	var best *server
	var short *zoneState // of a server left out because it is cold
	bestCost := math.Inf(1)
	// Gateways that all took the best of all servers would crowd it. Each looks at a random part.
	looks := max(len(g.servers)/g.settings.InstanceCount+1, 2)
	for i := range from {
		if best != nil && looks == 0 && !best.isEjected(g.now) {
			break
		}
		j := i + g.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		s := from[i]
		if r.Zone != "" && s.Zone != r.Zone || !s.acceptsRequests() || !g.mayAttempt(r, s) {
			continue
		}
		if z := g.zones[s.Zone]; z != nil && z.isOverloaded && r.Zone == "" && len(r.attempts) == 0 {
			continue // it was let in for the sake of another zone
		}
		if !g.hasWarmupBudget(s, r.class) {
			short = g.zones[s.Zone]
			continue
		}
		cost := g.cost(s)
		switch {
		case s.isUnresponsive && len(r.attempts) > 0:
			continue // a further attempt there would only cost the client time
		case s.isEjected(g.now):
			cost += 1e6 // only if no other is left; no look, or those in service would be taken blindly
		case g.now < s.suspectedUntil, g.rng.Float64()*g.maxServerWeight > g.serverSize(s):
			cost += 1e3 // candidates are drawn by their size
		case g.usesAllServers() || g.capacityFraction(s) >= 1: // what a part's cold ones may be sent is to be sent
			looks = max(looks-1, 0)
		}
		for _, a := range r.attempts {
			if a.server == s && a.result != OK {
				cost *= triedCostFactor
			}
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if short != nil && (best == nil || g.zones[best.Zone] != short) {
		short.unmetWork += g.expectedWork(r.class)
	}
	return best
}

func (g *Engine) cost(s *server) float64 {
	lat := s.latencyRatio
	if s.inFlight > 0 {
		// Silence with work out counts as latency: it covers pauses, silent death and cut links alike.
		lat = math.Max(lat, (g.now-s.lastProgressAt).Seconds()/math.Max(g.meanLatency(), 1e-3))
	}
	cost := math.Max(lat, 0.1) * (1 + float64(s.inFlight) + math.Max(s.queueLength, 0)) * (1 + failureCostFactor*s.failureRate)
	if g.usesAllServers() {
		cost /= g.capacityFraction(s)
	} else if g.capacityFraction(s) < 1 {
		cost *= coldCostFactor // coldRoom alone bounds what a part's cold servers get
	} else if !s.hasIdleConnection(g.now) {
		cost *= noConnectionCostFactor
	}
	if s.Zone != g.settings.Zone && g.settings.CrossZonePrice > 0 {
		cost *= crossZoneCostFactor
	}
	return cost
}

// hasWarmupBudget keeps rule 4: this gateway sends a cold server part of the fall-over multiple of what a warm
// one is seen to carry, which all together can't exceed the whole. The credit starts by chance: hundreds
// of gateways with less than one request a window to send must not all send it at once.
func (g *Engine) hasWarmupBudget(s *server, class int) bool {
	w := g.capacityFraction(s)
	c := g.zones[s.Zone]
	if w >= 1 || c != nil && c.IsRemote {
		s.warmupBudget = -1
		return true
	}
	work := g.expectedWork(class)
	if !s.inSubset {
		return false // its holders warm it up
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	carries := math.Max(g.warmRate, 1/g.meanSubsetHolders) * s.subsetCorrection / g.subsetWidth.Factor()
	if c != nil {
		carries = c.WarmServerRate
	}
	rate := coldBudgetFraction * g.settings.ColdOverloadMultiple * w * g.serverWeight(s) * carries
	most := math.Max(g.minWarmupBudget(class), rate*g.settings.ColdOverloadWindow.Seconds()/2)
	if s.warmupBudget < 0 {
		s.warmupBudget = most * g.rng.Float64()
	} else {
		s.warmupBudget = math.Min(s.warmupBudget+rate*(g.now-s.budgetUpdatedAt).Seconds(), most)
	}
	s.budgetUpdatedAt = g.now
	if c != nil && c.WarmServerRate > 0 {
		// What is worth less for its work leaves the others room: it is mostly smaller, and would take all.
		work += (1 - g.relativeValue(class)) * most / 2
	}
	return s.warmupBudget >= work
}

// expectedWork is the work of one request of a class, in seconds of the lowest latency seen.
func (g *Engine) expectedWork(class int) float64 {
	if w := g.learnedWork(class); w > 0 {
		return w
	}
	return g.settings.Classes[class].LatencyObjective.Seconds() / 4
}

// serverSize is the server's size: as listed or, where all are listed alike, by the speed of its kind.
func (g *Engine) serverSize(s *server) float64 {
	if k := g.kindIndex[s.Kind]; !g.weightsDiffer && g.kindRatios[k].n > 0 {
		return g.serverWeight(s) * s.subsetCorrection * math.Min(1/g.kindRatios[k].mean, 1)
	}
	return g.serverWeight(s) * s.subsetCorrection
}

// Attempts.

// neverExecuted tells which results prove that the attempt did not run.
func neverExecuted(r Result) bool { return r == RejectedByServer || r == ConnectFailed || r == NotSent }

// mayAttempt is rule 2 for a further attempt of the request at the server.
func (g *Engine) mayAttempt(r *request, s *server) bool {
	if r.isAnswered || r.isStreaming || r.inFlight > 0 && !g.settings.AllowsHedging ||
		g.settings.MaxAttempts > 0 && len(r.attempts) >= g.settings.MaxAttempts {
		return false
	}
	c := &g.settings.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverExecuted || c.Idempotency == Idempotent {
			continue
		}
		repeats := c.DedupWindow - 2*g.settings.MinEventInterval - g.settings.ConnectTimeout
		if c.Idempotency == NonIdempotent || g.now-a.sentAt > repeats {
			return false
		}
		if c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// mayReject is rule 2 for a refusal, which promises that trying again is harmless.
func (g *Engine) mayReject(r *request) bool {
	c := &g.settings.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAllServers {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverExecuted {
			return false
		}
	}
	return true
}

func (g *Engine) startAttempt(r *request, s *server) {
	c := &g.settings.Classes[r.class]
	l := &g.latencies[r.class]
	timeout := max(r.deadline-g.now, g.settings.MinEventInterval)
	more := g.settings.MaxAttempts == 0 || len(r.attempts)+1 < g.settings.MaxAttempts
	repeatable := c.Idempotency != NonIdempotent && more && r.BodyTimeout == 0
	if repeatable && l.samples >= minBatchSamples && g.overload.occupancy < highOccupancy {
		slow := max(time.Duration((l.mean+slowAttemptDeviations*l.deviation)*float64(time.Second)), c.LatencyObjective/4)
		if g.settings.AllowsHedging {
			g.actions.SetTimer(r.number<<timerBits|timerHedge, slow)
		} else if slow < timeout/2 && slow < c.LatencyObjective {
			timeout = slow
		}
	}
	if s.inFlight == 0 {
		s.lastProgressAt = g.now
	}
	if !s.hasIdleConnection(g.now) {
		s.expectedConnections = s.inFlight + 1
	}
	// A body that is still coming is no work out yet, nor is an answer that has begun.
	if r.BodyTimeout == 0 {
		s.inFlight++
		g.inFlight++
	}
	r.inFlight++
	r.quota.inFlight++
	g.markForGossip(r.quota)
	if g.capacityFraction(s) < 1 {
		s.warmupBudget = math.Max(s.warmupBudget-g.expectedWork(r.class), 0)
		if c := g.zones[s.Zone]; c != nil {
			c.sentWork += g.expectedWork(r.class)
		}
	}
	a := attempt{server: s, sentAt: g.now, zone: s.Zone, cell: s.Cell, isStreaming: r.BodyTimeout > 0}
	r.attempts = append(r.attempts, a)
	g.actions.SendAttempt(r.ID, s.ID, timeout)
}

// retry sends a further attempt if one is legal, affordable and of use.
func (g *Engine) retry(r *request) bool {
	if g.retryTokens < 1 || g.now+time.Duration(g.latencies[r.class].mean*float64(time.Second)) > r.deadline {
		return false
	}
	s := g.selectServer(r)
	if s != nil {
		g.retryTokens--
		g.startAttempt(r, s)
	}
	return s != nil
}

// finish gives the final answer: a refusal where that promise holds.
func (g *Engine) finish(r *request) {
	if r.isAnswered {
		return
	}
	if g.mayReject(r) {
		g.reject(r.ID, samplesPerAssessment*sampleInterval, rejectAttemptsSpent)
	} else {
		g.actions.FailRequest(r.ID)
	}
	g.closeRequest(r)
	g.cancelAttempts(r)
}

// AttemptCompleted is the end of an attempt.
func (g *Engine) AttemptCompleted(now time.Duration, o AttemptResult, out Actions) {
	g.now, g.actions = now, out
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].isDone {
		return
	}
	a := &r.attempts[o.Attempt]
	a.isDone, a.result, a.neverExecuted = true, o.Result, neverExecuted(o.Result)
	s := a.server
	if !a.isStreaming {
		s.inFlight--
		g.inFlight--
	}
	switch o.Result {
	case OK, RejectedByServer, ErrorResponse:
		s.lastUsedAt = g.now
	case TimedOut, ConnectFailed:
		s.expectedConnections = 0 // the host closes the idle ones as well
	default:
		s.expectedConnections = max(s.expectedConnections-1, 0)
	}
	r.inFlight--
	r.quota.inFlight--
	g.markForGossip(r.quota)
	g.updateHealth(r, s, o)
	if o.Result == OK && g.settings.SettlesUnits && o.Units > 0 && r.inQuota && !r.isSettled {
		r.isSettled = true
		g.refill(r.quota)
		g.returnUnits(r, r.Units-o.Units)
	}
	if o.RequestAnswered || o.Result == OK {
		g.closeRequest(r)
	}
	if r.isAnswered {
		g.closeRequest(r)
		return
	}
	if r.inFlight > 0 {
		return
	}
	if o.Result == NotSent || !g.retry(r) {
		g.finish(r)
	}
}

// updateHealth keeps a server's health.
func (g *Engine) updateHealth(r *request, s *server, o AttemptResult) {
	if g.settings.LoadReports == LoadReportsInResponses { // elsewhere an answer has none to give
		g.recordLoadReport(s, o.LoadReport)
	}
	bad := 1.0
	switch o.Result {
	case OK, RejectedByServer, ErrorResponse:
		g.serverResponded(s)
		if o.ConnectedAt > 0 {
			s.confirmUpSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		g.attemptUnanswered(s, g.now-o.Latency)
	}
	switch o.Result {
	case OK:
		bad = 0
		s.lastProgressAt, s.consecutiveEjections = g.now, 0
		g.responses++
		if c := g.zones[s.Zone]; c != nil {
			c.responses++
		}
		g.recordLatency(r.class, s, o.Latency)
		// Rule 4: only of servers that count in the mean, and only work that is known: answers of
		// draining servers or a guess that proves too high would inflate what cold ones may be sent.
		if g.capacityFraction(s) >= 1 && s.acceptsRequests() && s.inSubset {
			g.warmWork += g.learnedWork(r.class)
			if c := g.zones[s.Zone]; c != nil {
				c.warmWork += g.learnedWork(r.class)
			}
		}
	case NotSent, Cancelled:
		return
	case RejectedByServer:
		s.lastProgressAt = g.now
		if z := g.zones[s.Zone]; z != nil && z.IsRemote {
			return // the other site's gateway refuses one request; it has room for others
		}
		g.overload.addOccupancy(1)
		s.ejectedUntil = max(s.ejectedUntil, g.now+sampleInterval)
		return
	case TimedOut:
		g.overload.addOccupancy(1)
		s.latencyRatio += latencyWeight * (o.Latency.Seconds()/math.Max(g.latencies[r.class].mean, 1e-3) - s.latencyRatio)
		bad = 0.5
	case ErrorResponse:
		s.lastProgressAt = g.now
	}
	if o.Result == ConnectFailed {
		// The process may have restarted and be cold, long before the list says so. Also covers one
		// that comes back after a cut. A reset alone is no sign: where connections break one by one,
		// all servers would count as cold, and one that dies refuses new connections as well.
		// Single connections fail at servers that live too: an answer on one made before takes it back, or
		// that to a probe sent at once, before any process could have started.
		s.recordConnectFailure(g.now)
		if g.mayProbe() && s.healthCheckSince == 0 && s.acceptsRequests() {
			s.healthCheckSince, s.lastHealthCheckAt = g.now, g.now
			g.actions.CheckHealth(s.ID)
		}
	}
	s.failureRate += failureWeight * (bad - s.failureRate)
	if (s.failureRate > ejectionThreshold || o.Result == ConnectFailed) && g.now >= s.ejectedUntil {
		s.ejectedUntil = g.now + min(minEjectionTime<<min(s.consecutiveEjections, 10), maxEjectionTime)
		s.consecutiveEjections++
		s.failureRate = ejectionThreshold / 2
		g.log("ejected server %s after result %d, strike %d", s.ID, o.Result, s.consecutiveEjections)
	}
}

// attemptUnanswered takes in that something sent to the server at a time came to nothing. If all else sent since did as
// well, the machine has died, vanished or is cut off, long before the list says so. It gets no request until
// it is heard again: probes find that out, where an ejection's end would risk a request, or several at once,
// each time. It covers lost halls, single machines and cut links; it harms where servers answer nothing at
// all for as long as a probe waits and then go on: for a round of probes the others carry their load.
func (g *Engine) attemptUnanswered(s *server, sent time.Duration) {
	if !g.mayProbe() || s.lastHeardAt >= sent {
		return
	}
	if g.zoneFailed(s, sent); s.isUnresponsive {
		return
	}
	s.isUnresponsive = true
	g.addFinding(s, false)
	g.log("server %s is silent: out until it answers a probe", s.ID)
}

// serverResponded takes in an answer of any kind.
func (g *Engine) serverResponded(s *server) {
	if s.isUnresponsive {
		s.isUnresponsive, s.ejectedUntil, s.consecutiveEjections = false, 0, 0
		g.addFinding(s, true)
		g.log("server %s answers again", s.ID)
	}
	s.lastHeardAt, s.suspectedUntil = g.now, 0
	g.zoneResponded(s)
}

// receiveFinding takes in what a peer says of a server of this gateway's part: that it was silent to it, or answers
// it again. One voice counts for nothing, and two never put a server out: it gets no request while others of
// the part will do, and a probe at once, whose end is this gateway's own evidence. Where half of the part is
// in doubt, nothing more is believed: a spoilt gateway, or a cut between peers and servers, can't empty it.
func (g *Engine) receiveFinding(from int, n serverFinding) {
	for _, s := range g.subset {
		if s.gossipID != n.serverID || g.usesAllServers() {
			continue
		}
		g.zoneReported(s, from, n.isUp)
		if !s.suspicionReports[boolToInt(n.isUp)].confirms(from, g.now) || s.isUnresponsive != n.isUp {
			continue
		}
		if !n.isUp && (g.now-s.lastHeardAt < freshEvidenceAge || 2*g.suspectedCount() >= len(g.subset)) {
			continue
		}
		if !n.isUp {
			s.suspectedUntil = g.now + findingTTL
		}
		if g.now-s.lastHealthCheckAt >= freshEvidenceAge && g.settings.AllowsHealthChecks {
			s.lastHealthCheckAt = g.now
			g.actions.CheckHealth(s.ID)
		}
	}
}

// ClientDisconnected tells that a request is over without an answer of the gateway.
func (g *Engine) ClientDisconnected(now time.Duration, id string, out Actions) {
	g.now, g.actions = now, out
	r := g.requests[id]
	if r == nil || r.isAnswered {
		return
	}
	g.closeRequest(r)
	if !r.isStreaming {
		g.cancelAttempts(r)
	}
}

// HealthCheckCompleted brings the result of a probe.
func (g *Engine) HealthCheckCompleted(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	g.now, g.actions = now, out
	s := g.serverByID[id]
	if s == nil {
		return
	}
	switch res {
	case OK:
		g.recordLoadReport(s, l)
		fallthrough
	case RejectedByServer, ErrorResponse:
		g.serverResponded(s)
		s.expectedConnections, s.lastUsedAt = max(s.expectedConnections, s.inFlight+1), g.now
		if s.healthCheckSince > 0 {
			s.confirmUpSince(s.healthCheckSince)
		}
	case ConnectFailed:
		s.recordConnectFailure(g.now)
		fallthrough
	case TimedOut:
		g.attemptUnanswered(s, s.lastHealthCheckAt)
	}
	s.healthCheckSince = 0
}

// TimerFired is the firing of a timer.
func (g *Engine) TimerFired(now time.Duration, token uint64, out Actions) {
	g.now, g.actions = now, out
	r := g.requestByNumber[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerSample:
		g.runSample()
		g.actions.SetTimer(timerSample, sampleInterval)
	case timerGossip:
		// Each message takes its gap, so that long tells stay within the inbox limit too.
		g.actions.SetTimer(timerGossip, g.gossipInterval*time.Duration(max(g.broadcast(), 1)))
	case timerEndpointPoll:
		g.actions.WatchEndpoints(true)
	case timerDeadline:
		g.expireRequest(r)
	case timerOwnerTimeout:
		if r != nil && len(r.attempts) == 0 && !g.clientLeft(r, false) {
			g.ownerTimedOut(r)
		}
	case timerHedge:
		if r != nil && !r.isAnswered && !r.isStreaming && r.inFlight == 1 && g.overload.occupancy < highOccupancy {
			// A second copy counts as out: it must not push the customer's next try beyond its cap.
			if g.settings.Plans[r.quota.plan].MaxInFlight == 0 || g.inFlightCapacity(r.quota) > r.quota.instanceCount {
				g.retry(r)
			}
		}
	}
}

// runSample is the work of each probe.
func (g *Engine) runSample() {
	f := g.overload.admitFraction
	young, overdue, waits := g.attemptAges(youngAttemptFraction)
	g.overdue = overdue
	g.overload.closeSample(g.responses, young) // attempts at a few silent servers must not read as a jam of all
	if f >= 1 && g.overload.admitFraction < 1 {
		g.log("overload: sending on %.2f of what quotas admit, occupancy %.2f", g.overload.admitFraction, g.overload.occupancy)
	}
	g.updateZoneHealth(waits)
	g.dropIdleQuotas()
	if g.needsNewSubset() {
		g.formSubset()
	}
	var weight float64
	keep := math.Exp(-sampleInterval.Seconds() / decayTime.Seconds())
	for _, s := range g.servers {
		if s.acceptsRequests() && s.inSubset && g.capacityFraction(s) >= 1 {
			weight += g.serverWeight(s) * s.subsetCorrection
		}
		if s.inFlight == 0 {
			s.latencyRatio = 1 + (s.latencyRatio-1)*keep
			s.failureRate *= keep
		}
	}
	if weight > 0 {
		g.warmRate += slowMeanWeight * (g.warmWork/weight/sampleInterval.Seconds() - g.warmRate)
	}
	// After a start the average is over what there is, or the first second would be refused.
	share := math.Max(rateWeight, 1/(1+float64(g.now-g.startedAt)/float64(sampleInterval)))
	g.responseRate += share * (g.responses/sampleInterval.Seconds() - g.responseRate)
	g.gossipRate += rateWeight * (g.gossipReceived/sampleInterval.Seconds() - g.gossipRate)
	g.warmWork, g.responses, g.gossipReceived = 0, 0, 0
	g.updateZoneRates()
	// Probes are priced and cost work: a gateway that sends seldom probes seldom.
	g.healthCheckCredit = math.Min(g.healthCheckCredit+g.overload.fleetMeans[meanForwarded]*g.healthChecksPerRequest(), 1)
	if g.mayProbe() && len(g.servers) > 0 && g.healthCheckCredit >= 1 {
		g.healthCheckCredit = 0
		var next *server // the one whose last probe is longest ago; pick shuffles the servers
		for _, s := range g.subset {
			if s.acceptsRequests() && (next == nil || g.healthCheckOrder(s) < g.healthCheckOrder(next)) {
				next = s
			}
		}
		if next != nil {
			next.lastHealthCheckAt = g.now
			g.actions.CheckHealth(next.ID)
		}
	}
}
