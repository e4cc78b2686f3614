package policy

// A request meets its customer's quota, ARO, the choice of a server (pick), then maySend and mayRefuse.

import (
	"math"
	"time"
)

// Overload control. The names are those of the paper.
const (
	probeEvery   = 100 * time.Millisecond // a probe of the occupancy: the paper's figure
	probesKept   = 5                      // k, probes in an assessment: half a second follows short bursts
	rhoTarget    = 0.95                   // occupancy aimed at: the paper's figure
	growMost     = 1.3                    // phi max, growth of f in one assessment
	fLeast       = 0.1                    // f min, so that recovery is always seen
	slowShare    = 0.1                    // share of a new sample in the slow average of mu max
	pressed      = 0.8                    // occupancy from which fA acts: the design page's figure
	calm         = 0.5                    // occupancy up to which spare capacity may go to extras
	calmPart     = 0.7                    // and with a part of the servers, whose reports alone tell it
	learnLeast   = 0.1                    // occupancy from which mu max is sampled: the design page's figure
	batchLeast   = 16                     // samples in a mean that may count as the lowest latency
	jamShare     = 0.3                    // share of a class's aim that attempts out may take to be answered
	jamFloor     = 2.0                    // attempts out per server, over all gateways, that the bound leaves
	jamSure      = 3.0                    // times the bound that can't be out by chance
	jamAge       = 0.5                    // share of its aim until which an attempt out counts
	freshParts   = 20                     // parts of an aim in a step of the wait that fresh tries have
	freshDown    = 10                     // times that a step down is smaller: the longest tenth counts
	comeBack     = 4                      // parts of an aim after which a throttled client should try again
	passShare    = 0.1                    // share of a new ask in the share that a holder grants
	samplesLeast = 10                     // samples of its own that a gateway goes by alone
	ownShare     = 0.05                   // share of a probe in the mean over gateways: about two seconds
	poolShare    = 0.3                    // share of a peer's figures in that mean
	rateShare    = 0.1                    // share of a probe in the rate of answers: about a second
	lowestForgs  = 0.01                   // share by which the lowest latency creeps up at each batch
)

// Servers and attempts.
const (
	latencyShare = 0.15                   // share of a new sample in a server's latency average
	errorShare   = 0.2                    // share of a new outcome in a server's error average
	ejectAt      = 0.35                   // error average that ejects: about three failures in a row
	errorWeight  = 8                      // cost factor of an error average of 1
	ejectFirst   = 500 * time.Millisecond // first ejection; doubles up to ejectMost
	ejectMost    = 8 * time.Second
	forgetAfter  = 5 * time.Second        // time constant for forgetting what was learned of a server
	coldShare    = 0.5                    // share of the fall-over budget that is used: work varies
	meanShare    = 0.05                   // share of a new sample in the slow means
	utilShare    = 0.3                    // share of a new report in a server's busy share
	triedWeight  = 4                      // cost factor of a server that this request has tried
	openWeight   = 1.5                    // cost factor of a server to which no connection stands idle
	coldWeight   = 0.5                    // cost factor of a part's cold server that may be sent something
	probesSent   = 0.5                    // probes for each request sent on
	partProbes   = 0.17                   // and with a part of the servers, which many gateways look at
	lostEarly    = 3 * time.Second        // a silent server's turn to be probed comes earlier by so much
	noteLasts    = 2 * time.Second        // what peers say of a server counts for so long
	noteFresh    = 500 * time.Millisecond // own evidence as young as that counts for more
	connKept     = 10 * time.Second       // a connection that has been idle for so long may have been closed
	crossWeight  = 1.1                    // cost factor of another zone where crossing has a price
	slowDevs     = 10                     // mean deviations over the mean at which an attempt counts as slow
	crowdedFor   = time.Second            // a customer refused counts as crowded for so long
	crowdedTries = 2                      // and for as long as it takes to fill in so many tries
	unheardGaps  = 10                     // gaps between tells after which a level told is forgotten
	idleOpen     = 5 * time.Second        // a store without a rate is dropped when idle so long
	retryEarn    = 0.2                    // further attempts earned by each first one
	retryMost    = 20                     // further attempts that can be saved up
	tellFastest  = 40 * time.Millisecond  // shortest gap between tells
	inboxRoom    = 1.3                    // gap between tells as a multiple of what the inbox limit allows
	askWait      = 100 * time.Millisecond // an answer to an ask is taken for lost then: two hops' time
	silentAsks   = 3                      // asks without an answer after which a holder is not waited for
	deafAsks     = 6                      // asks in a row without any holder's answer after which none is
	memberBurst  = 0.5                    // part of a ceiling's burst that members have without asking
	memberRate   = 0.4                    // and of its rate
	askShare     = 0.3                    // share of an inbox for a customer's asks granted or refused
	askFlood     = 0.6                    // share of an inbox from which asks in vain have to pause
	lendAhead    = 4.0                    // gaps between tells that a part of a ceiling should last for
	lendKeep     = 0.25                   // share of its part that a lender keeps
	lendLeast    = 300 * time.Millisecond // a unit lent is under way for at most as long,
	lendGaps     = 3                      // or for so many gaps between tells
)

// Start begins the gateway's work. Call it once, before any other event.
func (g *Engine) Start(now time.Duration, out Actions) {
	g.now, g.out, g.started, g.aro.f = now, out, now, 1
	g.tellGap = probeEvery
	if in := g.set.GossipInboxRate; in > 0 {
		gap := time.Duration(inboxRoom * float64(g.set.InstanceCount-1) / in * float64(time.Second))
		g.tellGap = max(gap, g.set.MinEventInterval, tellFastest)
	}
	// Gateways started together must not beat in step.
	g.out.SetTimer(timerProbe, time.Duration(g.rng.Int64N(int64(probeEvery))))
	if g.set.AllowsGossip && g.set.InstanceCount > 1 {
		g.out.SetTimer(timerTell, time.Duration(g.rng.Int64N(int64(g.tellGap))))
	}
	if g.set.PollsEndpoints {
		g.out.WatchEndpoints(true)
	}
}

// EndpointsChanged brings the list of servers or changes of it.
func (g *Engine) EndpointsChanged(now time.Duration, form EndpointUpdateKind, entries []Server, out Actions) {
	g.now, g.out = now, out
	if form == EndpointsUnavailable {
		if g.set.PollsEndpoints {
			g.out.SetTimer(timerList, time.Second+time.Duration(g.rng.Int64N(int64(time.Second))))
		}
		return
	}
	if form != EndpointsDelta {
		for _, s := range g.servers {
			s.listed = false
		}
	}
	for _, e := range entries {
		s := g.byID[e.ID]
		if s == nil {
			s = &server{lat: 1, queue: -1, credit: -1, util: -1, lean: 1, tag: tagOf(e.ID)}
			g.byID[e.ID] = s
			g.servers = append(g.servers, s)
		}
		if s.StartedAt != e.StartedAt {
			// A restarted server is another one: nothing learned of it holds.
			s.errs, s.strikes, s.ejected, s.lat, s.queue, s.credit, s.lost = 0, 0, 0, 1, -1, -1, false
			s.conns = 0
		}
		s.Server, s.listed = e, e.State != Removed
		if _, ok := g.kinds[e.Kind]; !ok {
			g.kinds[e.Kind] = len(g.kinds)
			g.kindLat = append(g.kindLat, &kindMean{mean: 1})
		}
	}
	g.recount()
}

// RequestReceived is a new try of a client: it is sent on or refused at once.
func (g *Engine) RequestReceived(now time.Duration, q Request, out Actions) {
	g.now, g.out = now, out
	if g.reqs[q.ID] != nil {
		return
	}
	ci, okClass := g.class[q.Class]
	pi, okPlan := g.plan[q.Plan]
	if !okClass || !okPlan || q.Timeout <= 0 {
		g.refuse(q.ID, 0, whyUnknown)
		return
	}
	q.Units = math.Max(q.Units, 0)
	q.InstanceCount = min(max(q.InstanceCount, 1), g.set.InstanceCount)
	st := g.storeFor(q.Customer, pi, q.InstanceCount, q.FirstInstance)
	if st.plan != pi { // the customer has changed its plan
		g.replan(st, g.set.Plans[st.plan], pi)
	}
	g.nextNum++
	r := &request{Request: q, num: g.nextNum, class: ci, store: st}
	r.ends = now + q.BodyTimeout + q.Timeout - 2*g.set.MinEventInterval
	late, l := g.late(ci, q.Timeout), &g.lat[ci]
	wait, why := g.set.Classes[ci].LatencyObjective/comeBack, whyNot
	switch {
	case g.jammed(ci, q.Zone, g.set.Plans[pi].PriorityFactor):
		why = whyJammed
	case late && g.aro.rho >= pressed:
		why = whyLate
	case l.n >= batchLeast && q.Timeout.Seconds() < l.mean:
		why = whyShort
	case st.wide && !q.IsCharged && now < st.shut && g.set.Plans[pi].OverQuotaFraction == 0:
		wait, why = st.shut-now, whyQuota
	}
	if why != whyNot {
		g.refuse(q.ID, wait, why)
		return
	}
	g.reqs[q.ID], g.byNum[r.num] = r, r
	g.out.SetTimer(r.num<<timerBits|timerEnd, max(r.ends-now, 0))
	if q.IsCharged {
		r.Units, r.granted = 0, true
		g.admit(r, true, 0)
		return
	}
	if r.holder = g.holder(st); st.wide && r.holder != g.set.InstanceIndex {
		r.late = late
		g.ask(r)
		return
	}
	in, wait := g.quota(st, q.Units, late)
	if in {
		g.take(st, q.Units)
	}
	g.admit(r, in, wait)
}

// late tells whether a try is known to come too late for its aim. Each try of a class begins with the same
// wait, of which a later try of the same client has less left. Where its answer would be worth little, it
// gives way to those that can still be answered in time. Clients that give each try a wait of its own
// look younger than they are: those are not held back.
func (g *Engine) late(class int, grace time.Duration) bool {
	c, l := &g.set.Classes[class], &g.lat[class]
	if l.fresh == 0 {
		l.fresh = grace
	}
	// A high quantile, not the most: single clients must not make all others look late.
	if step := c.LatencyObjective / freshParts; grace > l.fresh {
		l.fresh += min(step, grace-l.fresh)
	} else {
		l.fresh -= min(step/freshDown, l.fresh-grace)
	}
	return (l.fresh-grace).Seconds()+l.mean > c.LatencyObjective.Seconds()
}

// admit goes on with a request once it is known whether it is inside the quota, which its units have left.
func (g *Engine) admit(r *request, in bool, wait time.Duration) {
	st, p, ci := r.store, &g.set.Plans[r.store.plan], r.class
	r.inQuota = in
	why := whyQuota
	var s *server
	// Exception: beyond the quota only where that earns more than it costs and the back end is calm.
	if !in && !(p.OverQuotaFraction > p.OverQuotaCost && g.aro.rho < g.spareBelow() && g.aro.f >= 1) {
	} else if !r.granted && st.ceiling < r.Units && p.HardLimitRate > 0 {
		wait, why = fill(r.Units-st.ceiling, p.HardLimitRate*st.ratePart), whyCeiling
		if st.dry += r.Units; !st.wide {
			wait = min(wait, 2*g.tellGap) // a peer may lend
		}
		g.mark(st)
	} else if why, g.aro.r = whyThrottled, g.aro.r+g.aro.f; g.aro.r < 1 {
		wait = g.set.Classes[ci].LatencyObjective / comeBack
	} else {
		g.aro.r--
		wait, why = probesKept*probeEvery, whyNoServer
		s = g.pick(r)
	}
	if s == nil {
		g.giveBack(r, r.Units)
		g.refuse(r.ID, wait, why)
		g.close(r)
		return
	}
	if p.HardLimitRate > 0 && !r.granted {
		st.ceiling -= r.Units
	}
	st.opened++
	g.beyond.Sent += r.Units * b2f(!in)
	g.aro.sent[g.aro.slot()]++
	g.retries = math.Min(g.retries+retryEarn, retryMost)
	g.send(r, s)
}

// Quotas.

// storeFor returns the customer's store, filled up to now.
func (g *Engine) storeFor(key uint64, plan, spread, first int) *store {
	st := g.stores[key]
	p := &g.set.Plans[plan]
	if st == nil {
		st = &store{key: key, plan: plan, spread: spread, first: first, at: g.now, pass: 1}
		g.split(st, p)
		// Filled since this gateway's start: a store dropped when full comes back full.
		st.level = math.Min(p.Burst, p.Burst/float64(st.split)+p.Rate*(g.now-g.started).Seconds())
		if st.wide {
			st.level = p.Burst / st.parts
		}
		st.ceiling = math.Min(p.HardLimitBurst*st.burstPart,
			p.HardLimitRate*st.ratePart*(g.now-g.started).Seconds())
		g.stores[key] = st
		g.order = append(g.order, st)
	}
	g.fillUp(st)
	return st
}

// split sets over how many gateways a store is split, and this one's parts.
func (g *Engine) split(st *store, p *Plan) {
	if st.split = st.spread; g.set.AllowsGossip && st.spread > 1 && g.tellGap > probesKept*probeEvery {
		// As many holders as it takes for their inboxes to hold the asks.
		holders := int(math.Ceil(p.Rate / (askShare * g.set.GossipInboxRate)))
		st.wide, st.split = true, min(max(1, holders), st.spread)
	}
	// Rule 5: the parts of a ceiling sum to the whole. Each counts as empty at its gateway's start, since
	// one killed before may have spent it, and has filled since. A holder has most of it, for its grants.
	st.parts, st.burstPart = 1, 1/float64(st.spread)
	st.ratePart = st.burstPart
	if st.wide {
		st.parts = float64(st.split)
		held := float64(g.partsHeld(st)) / st.parts
		st.burstPart = memberBurst*st.burstPart + (1-memberBurst)*held
		st.ratePart = memberRate*st.ratePart + (1-memberRate)*held
	}
}

// replan moves a store, filled up to now, from the figures of one plan to those of another. What was spent
// stays spent, of the quota and of the ceiling; under a first ceiling the store begins empty, as at a start.
func (g *Engine) replan(st *store, old Plan, plan int) {
	p := &g.set.Plans[plan]
	spent, over := old.Burst/st.parts-st.level, old.HardLimitBurst*st.burstPart-st.ceiling
	st.plan = plan
	g.split(st, p)
	st.level = math.Max(p.Burst/st.parts-spent, -p.Burst)
	if st.ceiling = p.HardLimitBurst*st.burstPart - over; old.HardLimitRate <= 0 {
		st.ceiling = 0
	}
}

// quota tells whether units are inside the customer's quota and, if not, when to come back. A late try takes
// none of a customer that others were refused of late: it would cost one that can still be answered in time.
func (g *Engine) quota(st *store, units float64, late bool) (bool, time.Duration) {
	p := &g.set.Plans[st.plan]
	n := float64(st.split)
	if st.wide {
		n = 1
		st.since, st.opened = 0, 0 // nothing is spent here without the store's knowing
	}
	if late && g.now < st.crowded {
		return false, 0
	}
	if p.MaxInFlight > 0 {
		room := g.openRoom(st)
		least := 1
		if g.now < st.crowded && !st.wide {
			least = max(min(st.spread, p.MaxInFlight/2), 1)
		}
		if room < least || st.opened > 0 && float64(st.opened+1) > float64(room+st.opened)/n {
			st.crowded = g.now + crowdedFor
			return false, min(g.tellGap, askWait)
		}
	}
	if p.Rate > 0 {
		room := (st.level + st.since) / n
		// Exception: one request between tells needs only its units, or the split of a small
		// store would hold none. Not so for a customer that was refused of late: its gateways
		// would all send that one. There the store must have it for each, as far as it can.
		least := units
		if g.now < st.crowded {
			least = math.Max(units, math.Min(units*n, p.Burst/2))
		}
		if st.level < least || st.since > 0 && st.since+units > room {
			// A store that fills slowly is waited for for longer.
			st.crowded = g.now + max(crowdedFor, fillIf(crowdedTries*units, p.Rate*b2f(st.wide)/st.parts))
			return false, max(fill(units-st.level, p.Rate/st.parts), min(g.tellGap, askWait))
		}
	}
	return true, 0
}

// openRoom is how many more attempts the customer may have out, as far as is known.
func (g *Engine) openRoom(st *store) int {
	room := g.set.Plans[st.plan].MaxInFlight - st.out
	for i, l := range st.levels {
		// An unheard peer counts as nought.
		if i != g.set.InstanceIndex && g.now-l.at < unheardGaps*g.tellGap {
			room -= l.n
		}
	}
	st.dropLeases(func(l lease) bool { return g.now >= l.ends })
	return room - len(st.leases)
}

// idle tells whether a store may be dropped: full for a burst's time, with nothing out and nothing to tell.
// Memory stays bounded when customers come once only.
func (g *Engine) idle(st *store) bool {
	p := &g.set.Plans[st.plan]
	idle := idleOpen
	if p.Rate > 0 {
		idle = fill(2*p.Burst-st.level, p.Rate)
	}
	idle = max(idle, fillIf(p.HardLimitBurst, p.HardLimitRate), 2*g.lendTime())
	return st.out == 0 && !st.dirty && len(st.leases) == 0 && g.now-st.at >= idle
}

// Peers. A tell repeats the deltas of the one before: a peer that missed that learns them, and one
// that comes late or twice is known by its number. Attempts out go as levels.

func (g *Engine) hear(from int, es []entry) {
	for _, e := range es {
		st := g.storeFor(e.key, e.plan, e.spread, e.first)
		// Its plan may have changed at one gateway and not yet at the other: units spent count all the same.
		g.spend(st, e.units)
		if g.set.Plans[e.plan].MaxInFlight > 0 {
			if st.levels == nil {
				st.levels = make([]told, g.set.InstanceCount)
			}
			st.levels[from] = told{e.out, g.now}
		}
		g.heedLoan(st, from, e)
	}
}

// Lending. Each gateway's part of a ceiling is empty at its start and fills at a fixed share of the rate,
// while a customer's requests come unevenly. A gateway tells what its part lacks, and a peer whose part has
// room takes units off it and sends them with its next tell. It holds that much less until they must have
// come, so that all parts together never hold more than the ceiling; units in a lost message are lost.

// lack is how many units more the gateway's part of the ceiling should hold.
func (g *Engine) lack(st *store) float64 {
	if g.set.Plans[st.plan].HardLimitRate <= 0 || st.wide {
		return 0
	}
	want := math.Min(lendAhead*st.since+st.dry, g.ceilingMost(st)) - st.ceiling
	return math.Max(math.Ceil(want), 0)
}

// spare is how many units the gateway's part of the ceiling can do without.
func (g *Engine) spare(st *store) float64 {
	keep := math.Max(lendAhead*st.since+st.dry, lendKeep*g.set.Plans[st.plan].HardLimitBurst*st.burstPart)
	return math.Max(math.Floor(st.ceiling-keep), 0)
}

// lend takes units off the gateway's part of the ceiling for a peer that lacks them.
func (g *Engine) lend(st *store, to int) float64 {
	if st.wants == nil || st.wide {
		return 0
	}
	units := math.Min(st.wants[to], math.Ceil(g.spare(st)/2))
	st.wants[to] = 0
	st.ceiling -= units
	st.lent[0] += units
	return units
}

// heedLoan takes in the units that a peer lends, and what it lacks.
func (g *Engine) heedLoan(st *store, from int, e entry) {
	if g.set.Plans[st.plan].HardLimitRate <= 0 || st.wide {
		return
	}
	st.ceiling += e.lent // bounded when it next fills
	if st.wants == nil && e.lacks > 0 {
		st.wants = make([]float64, g.set.InstanceCount)
	}
	if st.wants != nil {
		st.wants[from] = e.lacks
	}
	if e.lacks > 0 && g.spare(st) > 0 {
		g.mark(st)
	}
}

// tell tells each peer of the stores whose sets it is in, and returns the most messages that one was sent.
func (g *Engine) tell() (most int) {
	for i := range g.peers {
		if i != g.set.InstanceIndex {
			most = max(most, g.tellPeer(i, func(st *store) bool { return g.inSet(i, st.first, st.spread) }))
		}
	}
	kept := g.dirty[:0]
	for _, st := range g.dirty {
		st.untold -= math.Round(st.untold)
		st.since, st.opened, st.dry = 0, 0, 0
		if st.zeros++; st.out > 0 {
			st.zeros = 0
		}
		// Levels are told until two tells have said that nothing is out.
		if st.dirty = g.set.Plans[st.plan].MaxInFlight > 0 && st.zeros < 3; st.dirty {
			kept = append(kept, st)
		}
	}
	g.dirty = kept
	return most
}

// GossipReceived brings a message of another gateway. A malformed one is ignored whole.
func (g *Engine) GossipReceived(now time.Duration, from int, message []byte, out Actions) {
	g.now, g.out = now, out
	if from < 0 || from >= len(g.peers) || from == g.set.InstanceIndex || len(message) == 0 {
		return
	}
	g.inbox++
	if message[0] != kindTell && message[0] != kindOldTell {
		g.heed(from, message)
		return
	}
	epoch, seq, cur, prev, ok := g.decodeTell(message)
	p := &g.peers[from]
	if !ok || p.heard && epoch == p.oldEpoch && epoch != p.inEpoch {
		return
	}
	if !p.heard || epoch != p.inEpoch {
		// The peer has restarted: its numbers begin anew, and what still comes from before is ignored.
		p.oldEpoch, p.inEpoch, p.inSeq, p.heard = p.inEpoch, epoch, 0, true
		for i := range prev {
			prev[i].lent = 0 // an earlier life of this gateway may have taken and spent it
		}
	}
	if seq <= p.inSeq {
		return
	}
	if seq > p.inSeq+1 {
		g.hear(from, prev)
	}
	p.inSeq = seq
	g.hear(from, cur)
}

// Exception for sets to which tells come late (their gap is longer than an assessment): one gateway of
// the set, by the customer's hash, holds the only store, and the others ask it. It covers wide sets in large
// fleets; it costs two hops of waiting, and a holder that restarts begins with a full store.

func (g *Engine) ask(r *request) {
	g.out.SendGossip(r.holder, g.encodeAsk(r, kindAsk))
	if g.peers[r.holder].unanswered >= silentAsks || g.deaf >= deafAsks {
		g.unanswered(r)
		return
	}
	r.asked = true
	g.out.SetTimer(r.num<<timerBits|timerAsk, askWait)
}

// unanswered goes by the share of asks that its holder granted of late, as far as heard. It covers lost
// messages, holders that are down, stalled or flooded; it harms while that share changes unheard.
func (g *Engine) unanswered(r *request) {
	r.drawn = true
	g.peers[r.holder].unanswered++
	g.deaf++
	in := g.rng.Float64() < r.store.pass
	g.admit(r, in, askWait)
	if in && len(r.attempts) > 0 {
		g.out.SendGossip(r.holder, g.encodeAsk(r, kindSpent))
	}
}

// heed takes an ask of a member, the answer of a holder, or what a member gives back.
func (g *Engine) heed(from int, message []byte) {
	m, ok := g.decodeAsk(message)
	if !ok {
		return
	}
	g.aro.hear(m.pool)
	for _, n := range m.notes {
		g.heedNote(from, n)
	}
	switch m.kind {
	case kindAsk, kindSpent:
		if !g.inSet(from, m.first, m.spread) || !g.inSet(g.set.InstanceIndex, m.first, m.spread) {
			return
		}
		st := g.storeFor(m.key, m.plan, m.spread, m.first)
		if st.plan != m.plan || !st.wide {
			return
		}
		if m.kind == kindSpent { // sent without the answer: of an ask that came, it has taken its units
			if !st.noted(from, m.num) {
				st.note(from, m.num, g.now)
				g.spend(st, m.units)
			}
			return
		}
		in, wait := g.quota(st, m.units, m.late)
		if in = in && (g.set.Plans[m.plan].HardLimitRate <= 0 || st.ceiling >= m.units); in {
			wait, st.ceiling = 0, st.ceiling-m.units
			g.take(st, m.units)
			if g.set.Plans[m.plan].MaxInFlight > 0 {
				st.leases = append(st.leases, lease{from, m.num, g.now + g.longestAim()})
			}
		} else if g.inboxRate > askFlood*g.set.GossipInboxRate {
			// More members ask in vain than the inbox takes: each pauses until it is their turn again. In
			// large fleets a third of an inbox is what all customers' asks come to on a calm day.
			wait = max(wait, fill(float64(st.spread/st.split), askShare*g.set.GossipInboxRate))
		}
		st.pass += passShare * (b2f(in) - st.pass) * (1 - b2f(m.late))
		if in {
			st.note(from, m.num, g.now)
		}
		g.out.SendGossip(from, g.encodeAnswer(m.num, in, wait, st.pass))
	case kindAnswer:
		g.peers[from].unanswered, g.deaf = 0, 0
		r := g.byNum[m.num]
		if r == nil || r.holder != from || len(r.attempts) > 0 || g.left(r, m.granted) {
			return
		}
		r.store.pass = m.pass
		if !m.granted {
			r.store.shut = g.now + m.wait
		}
		r.granted = m.granted
		g.admit(r, m.granted, m.wait)
	case kindBack:
		if st := g.stores[m.key]; st != nil && st.wide {
			g.fillUp(st)
			st.level = math.Min(st.level+m.units, g.set.Plans[st.plan].Burst/st.parts)
			st.dropLeases(func(l lease) bool { return l.from == from && l.num == m.num })
		}
	}
}

// giveBack returns units that were not sent, and a place under an open cap.
func (g *Engine) giveBack(r *request, units float64) {
	open := g.set.Plans[r.store.plan].MaxInFlight > 0
	units *= 1 - b2f(r.drawn) // whether its ask was granted is not known: only the place is surely free
	if !r.inQuota && !r.drawn || units == 0 && !open {
		return
	}
	if !r.store.wide || r.holder == g.set.InstanceIndex {
		g.fillUp(r.store)
		g.take(r.store, -units)
		return
	}
	msg := encodeBack(r.store.key, r.num, units)
	g.out.SendGossip(r.holder, msg)
	if open && units == 0 {
		g.out.SendGossip(r.holder, msg) // a lost one would block a place for long
	}
}

// Overload control (ARO).

// assess closes a probe, and every k probes sets f.
func (a *aro) assess(oks, held float64) {
	i := a.slot()
	a.mix(ownShare, [poolSize]float64{a.occ[i], a.n[i], a.sent[i], oks, held})
	if a.probes++; a.slot() == 0 {
		var occ, n, sent float64
		for i := range a.occ {
			occ, n, sent = occ+a.occ[i], n+a.n[i], sent+a.sent[i]
		}
		a.alpha = sent / probesKept
		if n < samplesLeast { // too few of its own: by the mean over the gateways it hears from
			occ, n, a.alpha = a.pool[poolOcc], a.pool[poolN], a.pool[poolSent]
		}
		if a.rho = 0; n > samplesLeast*ownShare/25 {
			a.rho = math.Min(occ/n, 1)
		}
		fO := clamp(math.Min(rhoTarget/math.Max(a.rho, 1e-9), growMost) * a.f)
		fA := 1.0
		if a.mu > 0 && a.rho >= pressed && a.alpha > 0 {
			fA = clamp(rhoTarget * a.mu / a.alpha * a.f)
		}
		a.f = math.Min(fA, fO)
		if a.rho >= learnLeast {
			if mu := a.alpha / a.rho; a.mu == 0 {
				a.mu = mu
			} else {
				a.mu += slowShare * (mu - a.mu)
			}
		}
	}
	a.occ[a.slot()], a.n[a.slot()], a.sent[a.slot()] = 0, 0, 0
}

// jammed is an exception to ARO, whose f follows what has been answered and so comes late when work
// piles up. By Little's law the attempts out over the answers per second are the delay that a new
// request meets; where that leaves no hope of its aim, it is refused. It covers overload, stalls,
// lost servers and retry storms alike; it harms where latency is long by nature, not by waiting.
// Where requests are kept to zones, each zone has a bound of its own: work that piles up at one must not keep
// others idle.
func (g *Engine) jammed(class int, zone string, price float64) bool {
	c, value := &g.set.Classes[class], g.value(class)
	if len(g.cold) > 0 {
		return g.zonesJammed(zone, jamShare*(1+value*g.priced(price))/2*c.LatencyObjective.Seconds())
	}
	answered := jamShare * (1 + value) / 2 * c.LatencyObjective.Seconds() // for all that is out
	bound := g.okRate * answered
	out, servers := g.inReach()
	floor := jamFloor * servers / float64(g.set.InstanceCount)
	if bound < samplesLeast && g.inboxRate > 1 && out < jamSure*math.Max(bound, floor) {
		// Few attempts are out by chance or not: the mean over the gateways it hears from must say so too.
		// That comes seconds late: what can't be chance doesn't wait for it, or a burst would come in whole.
		bound = g.aro.pool[poolOKs] / probeEvery.Seconds() * answered
		return out >= math.Max(bound, floor) && g.aro.pool[poolHeld] >= math.Max(bound, floor)
	}
	return out >= math.Max(bound, floor)
}

// value is what a class is worth for its work, as a share of the best class's.
func (g *Engine) value(class int) float64 {
	best := 0.0
	for c := range g.set.Classes {
		best = math.Max(best, g.set.Classes[c].PriorityWeight/g.work(c))
	}
	if best <= 0 {
		return 1
	}
	return g.set.Classes[class].PriorityWeight / g.work(class) / best
}

// zonesJammed holds each zone to its own bound: what is out there must be answered within a time.
func (g *Engine) zonesJammed(zone string, answered float64) bool {
	jammed := true
	for name, z := range g.cold {
		bound := math.Max(z.okRate*answered, jamFloor*z.servers*z.InFlightFraction)
		z.jammed = z.servers == 0 || g.outAt(name) >= bound
		jammed = jammed && (z.jammed || zone != "" && zone != name)
	}
	return jammed
}

// priced is a plan's price as a share of the dearest.
func (g *Engine) priced(price float64) float64 {
	dearest := price
	for p := range g.set.Plans {
		dearest = math.Max(dearest, g.set.Plans[p].PriorityFactor)
	}
	if dearest <= 0 {
		return 1
	}
	return price / dearest
}

// observe learns from one answered attempt.
func (g *Engine) observe(class int, s *server, took time.Duration) {
	c := &g.lat[class]
	x := took.Seconds()
	if c.mean == 0 {
		c.mean, c.dev = x, x/2
	}
	c.n++
	c.dev += meanShare * (math.Abs(x-c.mean) - c.dev)
	c.mean += meanShare * (x - c.mean)
	s.lat += latencyShare * (x/math.Max(c.mean, 1e-6) - s.lat)
	for len(c.kinds) <= g.kinds[s.Kind] {
		c.kinds = append(c.kinds, kindLatency{})
	}
	l := g.kindLat[g.kinds[s.Kind]]
	l.n++
	l.mean += math.Max(1/(l.n+1), meanShare) * (x/math.Max(c.mean, 1e-6) - l.mean)
	k := &c.kinds[g.kinds[s.Kind]]
	k.sum += x
	if k.n++; k.n >= batchLeast {
		k.lowest *= 1 + lowestForgs
		if m := k.sum / float64(k.n); k.lowest == 0 || m < k.lowest {
			k.lowest = m
		}
		k.sum, k.n = 0, 0
	}
	if g.set.LoadReports == LoadReportsNone || g.unreported(s) {
		if k.lowest > 0 {
			// Each latency weighs by its length, which makes the mean over a probe 1 - lowest/mean.
			g.aro.occ[g.aro.slot()] += x/k.lowest - 1
			g.aro.n[g.aro.slot()] += x / k.lowest
		} else {
			g.aro.n[g.aro.slot()]++ // or a few full refusals would be all there is
		}
	}
}

// Choice of a server.

// pick returns the server that the request goes to, or nil: one of this gateway's part of the servers or, if
// none of these will do, one of all.
func (g *Engine) pick(r *request) *server {
	s := g.best(r, g.near)
	if !g.whole() && (s == nil || s.aside(g.now)) {
		if other := g.best(r, g.servers); other != nil {
			return other
		}
	}
	return s
}

// best returns the one of some servers with the least expected delay that the request may go to, or nil.
func (g *Engine) best(r *request, from []*server) *server {
	var best *server
	var short *coldZone // of a server left out because it is cold
	bestCost := math.Inf(1)
	// Gateways that all took the best of all servers would crowd it. Each looks at a random part.
	looks := max(len(g.servers)/g.set.InstanceCount+1, 2)
	for i := range from {
		if best != nil && looks == 0 && !best.aside(g.now) {
			break
		}
		j := i + g.rng.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		s := from[i]
		if r.Zone != "" && s.Zone != r.Zone || !s.takes() || !g.maySend(r, s) {
			continue
		}
		if z := g.cold[s.Zone]; z != nil && z.jammed && r.Zone == "" && len(r.attempts) == 0 {
			continue // it was let in for the sake of another zone
		}
		if !g.coldRoom(s, r.class) {
			short = g.cold[s.Zone]
			continue
		}
		cost := g.cost(s)
		switch {
		case s.lost && len(r.attempts) > 0:
			continue // a further attempt there would only cost the client time
		case s.aside(g.now):
			cost += 1e6 // only if no other is left; no look, or those in service would be taken blindly
		case g.now < s.suspect, g.rng.Float64()*g.topWeight > g.share(s):
			cost += 1e3 // candidates are drawn by their size
		case g.whole() || g.warmth(s) >= 1: // what a part's cold ones may be sent is to be sent
			looks = max(looks-1, 0)
		}
		for _, a := range r.attempts {
			if a.server == s && a.result != OK {
				cost *= triedWeight
			}
		}
		if cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if short != nil && (best == nil || g.cold[best.Zone] != short) {
		short.short += g.work(r.class)
	}
	return best
}

func (g *Engine) cost(s *server) float64 {
	lat := s.lat
	if s.out > 0 {
		// Silence with work out counts as latency: it covers pauses, silent death and cut links alike.
		lat = math.Max(lat, (g.now-s.seen).Seconds()/math.Max(g.meanLatency(), 1e-3))
	}
	cost := math.Max(lat, 0.1) * (1 + float64(s.out) + math.Max(s.queue, 0)) * (1 + errorWeight*s.errs)
	if g.whole() {
		cost /= g.warmth(s)
	} else if g.warmth(s) < 1 {
		cost *= coldWeight // coldRoom alone bounds what a part's cold servers get
	} else if !s.stands(g.now) {
		cost *= openWeight
	}
	if s.Zone != g.set.Zone && g.set.CrossZonePrice > 0 {
		cost *= crossWeight
	}
	return cost
}

// coldRoom keeps rule 4: this gateway sends a cold server part of the fall-over multiple of what a warm
// one is seen to carry, which all together can't exceed the whole. The credit starts by chance: hundreds
// of gateways with less than one request a window to send must not all send it at once.
func (g *Engine) coldRoom(s *server, class int) bool {
	w := g.warmth(s)
	c := g.cold[s.Zone]
	if w >= 1 || c != nil && c.IsRemote {
		s.credit = -1
		return true
	}
	work := g.work(class)
	if !s.near {
		return false // its holders warm it up
	}
	// A server does at least a second's work a second, which counts where no warm one is seen.
	carries := math.Max(g.warmRate, 1/g.holders) * s.lean / g.width.Factor()
	if c != nil {
		carries = c.WarmServerRate
	}
	rate := coldShare * g.set.ColdOverloadMultiple * w * g.weight(s) * carries
	most := math.Max(g.savedMost(class), rate*g.set.ColdOverloadWindow.Seconds()/2)
	if s.credit < 0 {
		s.credit = most * g.rng.Float64()
	} else {
		s.credit = math.Min(s.credit+rate*(g.now-s.credited).Seconds(), most)
	}
	s.credited = g.now
	if c != nil && c.WarmServerRate > 0 {
		// What is worth less for its work leaves the others room: it is mostly smaller, and would take all.
		work += (1 - g.value(class)) * most / 2
	}
	return s.credit >= work
}

// work is the work of one request of a class, in seconds of the lowest latency seen.
func (g *Engine) work(class int) float64 {
	if w := g.learnedWork(class); w > 0 {
		return w
	}
	return g.set.Classes[class].LatencyObjective.Seconds() / 4
}

// share is the server's size: as listed or, where all are listed alike, by the speed of its kind.
func (g *Engine) share(s *server) float64 {
	if k := g.kinds[s.Kind]; !g.sized && g.kindLat[k].n > 0 {
		return g.weight(s) * s.lean * math.Min(1/g.kindLat[k].mean, 1)
	}
	return g.weight(s) * s.lean
}

// Attempts.

// neverRan tells which results prove that the attempt did not run.
func neverRan(r Result) bool { return r == RejectedByServer || r == ConnectFailed || r == NotSent }

// maySend is rule 2 for a further attempt of the request at the server.
func (g *Engine) maySend(r *request, s *server) bool {
	if r.closed || r.stream || r.out > 0 && !g.set.AllowsHedging ||
		g.set.MaxAttempts > 0 && len(r.attempts) >= g.set.MaxAttempts {
		return false
	}
	c := &g.set.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.noRun || c.Idempotency == Idempotent {
			continue
		}
		repeats := c.DedupWindow - 2*g.set.MinEventInterval - g.set.ConnectTimeout
		if c.Idempotency == NonIdempotent || g.now-a.sent > repeats {
			return false
		}
		if c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell {
			return false
		}
	}
	return true
}

// mayRefuse is rule 2 for a refusal, which promises that trying again is harmless.
func (g *Engine) mayRefuse(r *request) bool {
	c := &g.set.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupAllServers {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].noRun {
			return false
		}
	}
	return true
}

func (g *Engine) send(r *request, s *server) {
	c := &g.set.Classes[r.class]
	l := &g.lat[r.class]
	timeout := max(r.ends-g.now, g.set.MinEventInterval)
	more := g.set.MaxAttempts == 0 || len(r.attempts)+1 < g.set.MaxAttempts
	repeatable := c.Idempotency != NonIdempotent && more && r.BodyTimeout == 0
	if repeatable && l.n >= batchLeast && g.aro.rho < pressed {
		slow := max(time.Duration((l.mean+slowDevs*l.dev)*float64(time.Second)), c.LatencyObjective/4)
		if g.set.AllowsHedging {
			g.out.SetTimer(r.num<<timerBits|timerHedge, slow)
		} else if slow < timeout/2 && slow < c.LatencyObjective {
			timeout = slow
		}
	}
	if s.out == 0 {
		s.seen = g.now
	}
	if !s.stands(g.now) {
		s.conns = s.out + 1
	}
	// A body that is still coming is no work out yet, nor is an answer that has begun.
	if r.BodyTimeout == 0 {
		s.out++
		g.held++
	}
	r.out++
	r.store.out++
	g.mark(r.store)
	if g.warmth(s) < 1 {
		s.credit = math.Max(s.credit-g.work(r.class), 0)
		if c := g.cold[s.Zone]; c != nil {
			c.sent += g.work(r.class)
		}
	}
	a := attempt{server: s, sent: g.now, zone: s.Zone, cell: s.Cell, begun: r.BodyTimeout > 0}
	r.attempts = append(r.attempts, a)
	g.out.SendAttempt(r.ID, s.ID, timeout)
}

// retry sends a further attempt if one is legal, affordable and of use.
func (g *Engine) retry(r *request) bool {
	if g.retries < 1 || g.now+time.Duration(g.lat[r.class].mean*float64(time.Second)) > r.ends {
		return false
	}
	s := g.pick(r)
	if s != nil {
		g.retries--
		g.send(r, s)
	}
	return s != nil
}

// finish gives the final answer: a refusal where that promise holds.
func (g *Engine) finish(r *request) {
	if r.closed {
		return
	}
	if g.mayRefuse(r) {
		g.refuse(r.ID, probesKept*probeEvery, whySpent)
	} else {
		g.out.FailRequest(r.ID)
	}
	g.close(r)
	g.cancelAll(r)
}

// AttemptCompleted is the end of an attempt.
func (g *Engine) AttemptCompleted(now time.Duration, o AttemptResult, out Actions) {
	g.now, g.out = now, out
	r := g.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, a.result, a.noRun = true, o.Result, neverRan(o.Result)
	s := a.server
	if !a.begun {
		s.out--
		g.held--
	}
	switch o.Result {
	case OK, RejectedByServer, ErrorResponse:
		s.used = g.now
	case TimedOut, ConnectFailed:
		s.conns = 0 // the host closes the idle ones as well
	default:
		s.conns = max(s.conns-1, 0)
	}
	r.out--
	r.store.out--
	g.mark(r.store)
	g.learn(r, s, o)
	if o.Result == OK && g.set.SettlesUnits && o.Units > 0 && r.inQuota && !r.settled {
		r.settled = true
		g.fillUp(r.store)
		g.giveBack(r, r.Units-o.Units)
	}
	if o.RequestAnswered || o.Result == OK {
		g.close(r)
	}
	if r.closed {
		g.close(r)
		return
	}
	if r.out > 0 {
		return
	}
	if o.Result == NotSent || !g.retry(r) {
		g.finish(r)
	}
}

// learn keeps a server's health.
func (g *Engine) learn(r *request, s *server, o AttemptResult) {
	if g.set.LoadReports == LoadReportsInResponses { // elsewhere an answer has none to give
		g.report(s, o.LoadReport)
	}
	bad := 1.0
	switch o.Result {
	case OK, RejectedByServer, ErrorResponse:
		g.alive(s)
		if o.ConnectedAt > 0 {
			s.upSince(o.ConnectedAt)
		}
	case TimedOut, ConnectFailed:
		g.silent(s, g.now-o.Latency)
	}
	switch o.Result {
	case OK:
		bad = 0
		s.seen, s.strikes = g.now, 0
		g.oks++
		if c := g.cold[s.Zone]; c != nil {
			c.oks++
		}
		g.observe(r.class, s, o.Latency)
		// Rule 4: only of servers that count in the mean, and only work that is known: answers of
		// draining servers or a guess that proves too high would inflate what cold ones may be sent.
		if g.warmth(s) >= 1 && s.takes() && s.near {
			g.okWarm += g.learnedWork(r.class)
			if c := g.cold[s.Zone]; c != nil {
				c.okWarm += g.learnedWork(r.class)
			}
		}
	case NotSent, Cancelled:
		return
	case RejectedByServer:
		s.seen = g.now
		if z := g.cold[s.Zone]; z != nil && z.IsRemote {
			return // the other site's gateway refuses one request; it has room for others
		}
		g.aro.sample(1)
		s.ejected = max(s.ejected, g.now+probeEvery)
		return
	case TimedOut:
		g.aro.sample(1)
		s.lat += latencyShare * (o.Latency.Seconds()/math.Max(g.lat[r.class].mean, 1e-3) - s.lat)
		bad = 0.5
	case ErrorResponse:
		s.seen = g.now
	}
	if o.Result == ConnectFailed {
		// The process may have restarted and be cold, long before the list says so. Also covers one
		// that comes back after a cut. A reset alone is no sign: where connections break one by one,
		// all servers would count as cold, and one that dies refuses new connections as well.
		// Single connections fail at servers that live too: an answer on one made before takes it back, or
		// that to a probe sent at once, before any process could have started.
		s.doubt(g.now)
		if g.mayProbe() && s.check == 0 && s.takes() {
			s.check, s.probed = g.now, g.now
			g.out.CheckHealth(s.ID)
		}
	}
	s.errs += errorShare * (bad - s.errs)
	if (s.errs > ejectAt || o.Result == ConnectFailed) && g.now >= s.ejected {
		s.ejected = g.now + min(ejectFirst<<min(s.strikes, 10), ejectMost)
		s.strikes++
		s.errs = ejectAt / 2
		g.log("ejected server %s after result %d, strike %d", s.ID, o.Result, s.strikes)
	}
}

// silent takes in that something sent to the server at a time came to nothing. If all else sent since did as
// well, the machine has died, vanished or is cut off, long before the list says so. It gets no request until
// it is heard again: probes find that out, where an ejection's end would risk a request, or several at once,
// each time. It covers lost halls, single machines and cut links; it harms where servers answer nothing at
// all for as long as a probe waits and then go on: for a round of probes the others carry their load.
func (g *Engine) silent(s *server, sent time.Duration) {
	if !g.mayProbe() || s.heard >= sent {
		return
	}
	if g.failedZone(s, sent); s.lost {
		return
	}
	s.lost = true
	g.noteServer(s, false)
	g.log("server %s is silent: out until it answers a probe", s.ID)
}

// alive takes in an answer of any kind.
func (g *Engine) alive(s *server) {
	if s.lost {
		s.lost, s.ejected, s.strikes = false, 0, 0
		g.noteServer(s, true)
		g.log("server %s answers again", s.ID)
	}
	s.heard, s.suspect = g.now, 0
	g.heardZone(s)
}

// heedNote takes in what a peer says of a server of this gateway's part: that it was silent to it, or answers
// it again. One voice counts for nothing, and two never put a server out: it gets no request while others of
// the part will do, and a probe at once, whose end is this gateway's own evidence. Where half of the part is
// in doubt, nothing more is believed: a spoilt gateway, or a cut between peers and servers, can't empty it.
func (g *Engine) heedNote(from int, n note) {
	for _, s := range g.near {
		if s.tag != n.tag || g.whole() {
			continue
		}
		g.toldZone(s, from, n.up)
		if !s.voices[b2i(n.up)].second(from, g.now) || s.lost != n.up {
			continue
		}
		if !n.up && (g.now-s.heard < noteFresh || 2*g.doubted() >= len(g.near)) {
			continue
		}
		if !n.up {
			s.suspect = g.now + noteLasts
		}
		if g.now-s.probed >= noteFresh && g.set.AllowsHealthChecks {
			s.probed = g.now
			g.out.CheckHealth(s.ID)
		}
	}
}

// ClientDisconnected tells that a request is over without an answer of the gateway.
func (g *Engine) ClientDisconnected(now time.Duration, id string, out Actions) {
	g.now, g.out = now, out
	r := g.reqs[id]
	if r == nil || r.closed {
		return
	}
	g.close(r)
	if !r.stream {
		g.cancelAll(r)
	}
}

// HealthCheckCompleted brings the result of a probe.
func (g *Engine) HealthCheckCompleted(now time.Duration, id string, res Result, l *LoadReport, out Actions) {
	g.now, g.out = now, out
	s := g.byID[id]
	if s == nil {
		return
	}
	switch res {
	case OK:
		g.report(s, l)
		fallthrough
	case RejectedByServer, ErrorResponse:
		g.alive(s)
		s.conns, s.used = max(s.conns, s.out+1), g.now
		if s.check > 0 {
			s.upSince(s.check)
		}
	case ConnectFailed:
		s.doubt(g.now)
		fallthrough
	case TimedOut:
		g.silent(s, s.probed)
	}
	s.check = 0
}

// TimerFired is the firing of a timer.
func (g *Engine) TimerFired(now time.Duration, token uint64, out Actions) {
	g.now, g.out = now, out
	r := g.byNum[token>>timerBits]
	switch token & (1<<timerBits - 1) {
	case timerProbe:
		g.tick()
		g.out.SetTimer(timerProbe, probeEvery)
	case timerTell:
		// Each message takes its gap, so that long tells stay within the inbox limit too.
		g.out.SetTimer(timerTell, g.tellGap*time.Duration(max(g.tell(), 1)))
	case timerList:
		g.out.WatchEndpoints(true)
	case timerEnd:
		g.expire(r)
	case timerAsk:
		if r != nil && len(r.attempts) == 0 && !g.left(r, false) {
			g.unanswered(r)
		}
	case timerHedge:
		if r != nil && !r.closed && !r.stream && r.out == 1 && g.aro.rho < pressed {
			// A second copy counts as out: it must not push the customer's next try beyond its cap.
			if g.set.Plans[r.store.plan].MaxInFlight == 0 || g.openRoom(r.store) > r.store.spread {
				g.retry(r)
			}
		}
	}
}

// tick is the work of each probe.
func (g *Engine) tick() {
	f := g.aro.f
	young, overdue, waits := g.ages(jamAge)
	g.overdue = overdue
	g.aro.assess(g.oks, young) // attempts at a few silent servers must not read as a jam of all
	if f >= 1 && g.aro.f < 1 {
		g.log("overload: sending on %.2f of what quotas admit, occupancy %.2f", g.aro.f, g.aro.rho)
	}
	g.outages(waits)
	g.sweep()
	if g.widen() {
		g.takePart()
	}
	var weight float64
	keep := math.Exp(-probeEvery.Seconds() / forgetAfter.Seconds())
	for _, s := range g.servers {
		if s.takes() && s.near && g.warmth(s) >= 1 {
			weight += g.weight(s) * s.lean
		}
		if s.out == 0 {
			s.lat = 1 + (s.lat-1)*keep
			s.errs *= keep
		}
	}
	if weight > 0 {
		g.warmRate += meanShare * (g.okWarm/weight/probeEvery.Seconds() - g.warmRate)
	}
	// After a start the average is over what there is, or the first second would be refused.
	share := math.Max(rateShare, 1/(1+float64(g.now-g.started)/float64(probeEvery)))
	g.okRate += share * (g.oks/probeEvery.Seconds() - g.okRate)
	g.inboxRate += rateShare * (g.inbox/probeEvery.Seconds() - g.inboxRate)
	g.okWarm, g.oks, g.inbox = 0, 0, 0
	g.carried()
	// Probes are priced and cost work: a gateway that sends seldom probes seldom.
	g.probeDue = math.Min(g.probeDue+g.aro.pool[poolSent]*g.probeShare(), 1)
	if g.mayProbe() && len(g.servers) > 0 && g.probeDue >= 1 {
		g.probeDue = 0
		var next *server // the one whose last probe is longest ago; pick shuffles the servers
		for _, s := range g.near {
			if s.takes() && (next == nil || g.turn(s) < g.turn(next)) {
				next = s
			}
		}
		if next != nil {
			next.probed = g.now
			g.out.CheckHealth(next.ID)
		}
	}
}
