package policy

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinmux/subset"
	"mulleinmux/zonehealth"
)

// What a gateway remembers. How it is used is decided in choice.go.

// server is what is known of one server.
type server struct {
	Server
	inFlight             int           // attempts out
	latencyRatio         float64       // latency as a multiple of its class's mean, averaged
	lastProgressAt       time.Duration // last answer or first attempt out
	failureRate          float64       // share of failures, averaged
	ejectedUntil         time.Duration // ejected until then
	consecutiveEjections int           // ejections in a row
	queueLength          float64       // reported queue
	utilization          float64       // reported busy share, averaged; below 0: not reported
	warmupBudget         float64       // work that may be sent while cold; below 0: not begun
	budgetUpdatedAt      time.Duration
	isListed             bool
	reportedAt           time.Duration
	connectFailedAt      time.Duration       // last connection that did not come up, and may tell of a restart
	connectFailures      []time.Duration     // all of these, oldest first
	lastHeardAt          time.Duration       // last sign of life: an answer of any kind
	healthCheckSince     time.Duration       // a connection failed then, and a probe was sent at once to see why; 0: none is out
	lastHealthCheckAt    time.Duration       // last probe
	isUnresponsive       bool                // silent to all that was sent of late: out until it is heard
	gossipID             uint16              // names it in notes to peers
	suspicionReports     [2]suspicionReports // who said of late that it is silent, and that it answers again
	suspectedUntil       time.Duration       // until then, peers hold it to be silent
	expectedConnections  int                 // connections that should stand, as far as the module can tell
	lastUsedAt           time.Duration       // when one was last of use
	inSubset             bool                // in this gateway's part of the servers
	subsetCorrection     float64             // how much oftener it is asked than by its weight, since fewer gateways than others have it in their part
}

type attempt struct {
	server        *server
	sentAt        time.Duration
	zone          string // of the server when it was sent
	cell          int
	isDone        bool
	isStreaming   bool // its answer streams, or its body does: it counts no more, or not yet, as work out
	neverExecuted bool // known not to have run
	result        Result
}

type request struct {
	Request
	number           uint64
	class            int
	quota            *customerQuota
	deadline         time.Duration // final answer due
	attempts         []attempt
	inFlight         int
	inQuota          bool
	isLate           bool // it is known to come too late for its aim
	ownerUnreachable bool // its ask came to nothing: sent by chance or not at all
	awaitsOwner      bool // its holder was asked, and has not answered
	isGranted        bool // by its holder, with its part of the ceiling
	owner            int  // gateway that was asked for its units, or this one
	isSettled        bool
	isAnswered       bool // finally answered
	isStreaming      bool // its stream has begun
}

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, deviation float64 // seconds
	samples         int
	kinds           []kindLatency
	firstTryTimeout time.Duration // wait that a client's first try has left
}

// kindLatency finds the lowest mean latency of a class on one kind of server.
type kindLatency struct {
	sum     float64
	samples int
	lowest  float64
}

// kindRatio is the latency of a kind as a multiple of the mean.
type kindRatio struct{ mean, n float64 }

// customerQuota is a customer's quota as this gateway sees it.
type customerQuota struct {
	key                uint64
	plan               int
	instanceCount      int
	firstInstance      int
	refilledAt         time.Duration
	tokens             float64 // units left of the quota
	hardLimitTokens    float64 // units left of this gateway's part of the ceiling
	unitsSinceGossip   float64 // units sent since the last tell
	pendingUnits       float64 // units to tell, settlements included
	inFlight           int     // attempts out
	startedSinceGossip int     // tries sent since the last tell
	idleGossipRounds   int     // tells that said nothing is out
	needsGossip        bool
	peerInFlight       []peerCount   // per peer: attempts out there
	usesOwner          bool          // its holder is asked; tells would come too late
	instanceSplit      int           // gateways over which the room is split
	ownerCount         float64       // stores that the quota is kept in
	grantFraction      float64       // share of asks that were granted of late
	rejectedUntil      time.Duration // no ask until then: the holder has refused
	recentGrants       []lease       // asks that have taken their units of late
	leases             []lease       // attempts that this holder has granted under an open cap
	burstFraction      float64       // this gateway's part of the ceiling's burst
	rateFraction       float64       // and of its rate
	contendedUntil     time.Duration // refused of late: until then, less is spent on a chance
	unmetUnits         float64       // units refused for want of the ceiling since the last tell
	peerDeficits       []float64     // per peer: units of the ceiling that it lacks
	unitsInTransit     [2]float64    // units of the ceiling that were lent and may be under way: of late, and before
	transitSince       time.Duration // since when the first of these counts
}

// lease is a place under an open cap that a holder gave to a gateway.
type lease struct {
	from      int
	number    uint64
	expiresAt time.Duration
}

type peerCount struct {
	inFlight   int
	receivedAt time.Duration
}

// peer is the state of tells to and from one peer.
type peer struct {
	sequence           uint64
	lastEntries        []byte // entries of the last tell
	lastEntryCount     int
	isKnown            bool
	epoch              uint64
	previousEpoch      uint64
	receivedSequence   uint64
	unansweredRequests int // asks since its last answer
}

// Engine decides for one edge node.
type Engine struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	actions   Actions
	startedAt time.Duration
	epoch     uint64

	servers           []*server
	findings          []serverFinding // what it found out of late
	subset            []*server       // this gateway's part of them, or all
	usesSubset        bool            // the rule leaves servers out of the part
	meanSubsetHolders float64         // gateways that have a server of it in their part, on average
	subsetWidth       subset.Width
	zoneWatch         *zonehealth.Watch // over the zones, where gateways keep to parts
	serverByID        map[string]*server
	requests          map[string]*request
	requestByNumber   map[uint64]*request
	lastRequestNumber uint64
	classIndex        map[string]int
	planIndex         map[string]int
	kindIndex         map[string]int
	latencies         []classLatency

	quotas         map[uint64]*customerQuota
	quotaList      []*customerQuota // the stores, for sweeping
	sweepAt        int
	gossipPending  []*customerQuota // stores to tell of
	peers          []peer
	gossipInterval time.Duration

	rejections                 [rejectReasonCount]uint64 // requests, by what they were refused for
	overQuota                  OverQuotaUnits
	overload                   overloadController
	unansweredByAnyOwner       int     // asks in a row that no holder has answered
	retryTokens                float64 // further attempts saved up
	gossipReceived, gossipRate float64 // messages taken in since the last probe, and per second
	inFlight                   int     // attempts out
	overdue                    float64 // of these, as of the last probe: past their aim, at servers that are not lost
	responses                  float64 // answers since the last probe
	responseRate               float64 // answers per second, averaged
	zones                      map[string]*zoneState
	warmWork                   float64       // work answered by warm servers since the last probe
	warmRate                   float64       // work answered per second and unit of weight of a warm server, by this gateway
	lastLoadReportAt           time.Duration // last load report of any server
	healthCheckCredit          float64       // probes earned by sends
	maxServerWeight            float64       // the largest of their weights
	weightsDiffer              bool          // their weights differ
	kindRatios                 []*kindRatio
	lastLogAt                  time.Duration
}

// What goes into the pool.
const (
	meanOccupancySum     = iota // sum of the samples of the occupancy
	meanOccupancySamples        // their number
	meanForwarded
	meanResponses
	meanInFlight
	fleetMeanCount
)

// overloadController is the state of the overload control.
type overloadController struct {
	admitFraction, throttleCredit   float64
	occupancySums, occupancySamples [samplesPerAssessment]float64
	sent                            [samplesPerAssessment]float64
	sampleCount                     int
	occupancy, forwardRate          float64
	maxThroughput                   float64
	hasPeerMeans                    bool                    // figures of a peer
	fleetMeans                      [fleetMeanCount]float64 // means per probe, over this gateway and those it hears from
}

// New returns a gateway for the settings, or an error that names a field that cannot be.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Engine{
		settings: s, rng: rand.New(rand.NewPCG(seed, 0x5ea)), serverByID: map[string]*server{}, requests: map[string]*request{},
		requestByNumber: map[uint64]*request{}, classIndex: map[string]int{}, planIndex: map[string]int{}, kindIndex: map[string]int{},
		quotas: map[uint64]*customerQuota{}, peers: make([]peer, s.InstanceCount), latencies: make([]classLatency, len(s.Classes)), zones: map[string]*zoneState{},
		zoneWatch: zonehealth.New(zonehealth.Usual),
	}
	g.settings.Classes = append([]Class(nil), s.Classes...)
	g.settings.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		g.classIndex[c.Name] = i
	}
	for i, p := range s.Plans {
		g.planIndex[p.Name] = i
	}
	g.epoch = uint64(g.rng.Uint32() >> 16)
	g.lastRequestNumber = uint64(g.rng.Uint32() >> 12) // so that answers to a gateway before its restart match nothing
	return g, nil
}

// Timer tokens: the low bits tell what the timer is for.
const (
	timerSample = iota
	timerGossip
	timerDeadline
	timerHedge
	timerEndpointPoll
	timerOwnerTimeout
	timerBits = 3
)

func refillTime(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), 60) * float64(time.Second))
}

func refillTimeIf(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return refillTime(units, rate)
}

func boolToInt(b bool) int { return int(boolToFloat(b)) }

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// isCustomerInstance tells whether a gateway is one of a customer's.
func (g *Engine) isCustomerInstance(i, first, spread int) bool {
	return (i-first+g.settings.InstanceCount)%g.settings.InstanceCount < spread
}

func (g *Engine) maxLatencyObjective() (d time.Duration) {
	for _, c := range g.settings.Classes {
		d = max(d, c.LatencyObjective)
	}
	return d
}

func clampFraction(f float64) float64 { return math.Min(math.Max(f, minAdmitFraction), 1) }

func (g *Engine) serverWeight(s *server) float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

func (g *Engine) meanLatency() float64 {
	var sum, n float64
	for i := range g.latencies {
		if g.latencies[i].mean > 0 {
			sum, n = sum+g.latencies[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork is 0 as long as nothing is known of the class.
func (g *Engine) learnedWork(class int) float64 {
	least := 0.0
	for _, k := range g.latencies[class].kinds {
		if k.lowest > 0 && (least == 0 || k.lowest < least) {
			least = k.lowest
		}
	}
	return least
}

func (g *Engine) log(format string, args ...any) {
	if g.now-g.lastLogAt >= time.Second {
		g.lastLogAt = g.now
		g.actions.Log(fmt.Sprintf(format, args...))
	}
}

// mergeMeans takes figures of this or another gateway into the mean that goes with asks and answers.
func (a *overloadController) mergeMeans(share float64, x [fleetMeanCount]float64) {
	for i := range x {
		a.fleetMeans[i] += share * (x[i] - a.fleetMeans[i])
	}
}

// receiveMeans takes in a peer's figures. The first that a gateway hears it takes as they are: after a herd of starts, means that
// all begin at nought would let all in at the same moment, and those of gateways that know nothing yet, which
// are told as noughts, would lower what the others know.
func (a *overloadController) receiveMeans(x [fleetMeanCount]float64) {
	if x == [fleetMeanCount]float64{} {
		return
	}
	share := peerMeansWeight
	if !a.hasPeerMeans {
		a.hasPeerMeans, share = true, 1
	}
	a.mergeMeans(share, x)
}

// hasMeans tells whether the gateway's means are worth telling: it has heard some, or measured for long enough.
func (a *overloadController) hasMeans() bool {
	return a.hasPeerMeans || a.sampleCount >= minMeanSamples
}

// minMeanSamples is the probes after which a gateway's own means are worth telling: two seconds.
const minMeanSamples = 20

func (a *overloadController) sampleIndex() int { return a.sampleCount % samplesPerAssessment }

// addOccupancy enters one reading of the occupancy into the present probe.
func (a *overloadController) addOccupancy(rho float64) {
	a.occupancySums[a.sampleIndex()] += rho
	a.occupancySamples[a.sampleIndex()]++
}

func (g *Engine) markForGossip(st *customerQuota) {
	if !st.needsGossip && !st.usesOwner && g.settings.AllowsGossip && g.settings.InstanceCount > 1 {
		st.needsGossip = true
		g.gossipPending = append(g.gossipPending, st)
	}
}

// maxConnectFailures is the most failed connections that are remembered of a server.
const maxConnectFailures = 8

// recordConnectFailure takes in a connection that did not come up: the process may have restarted.
func (s *server) recordConnectFailure(now time.Duration) {
	if len(s.connectFailures) == maxConnectFailures {
		s.connectFailures = s.connectFailures[:maxConnectFailures-1]
	}
	s.connectFailures = append(s.connectFailures, now)
	s.connectFailedAt = now
}

// confirmUpSince takes in that the process has been up since a time: connections that failed from then on were no
// sign of a restart.
func (s *server) confirmUpSince(at time.Duration) {
	n := len(s.connectFailures)
	for n > 0 && s.connectFailures[n-1] >= at {
		n--
	}
	if n == len(s.connectFailures) {
		return
	}
	s.connectFailures = s.connectFailures[:n]
	if s.connectFailedAt = 0; n > 0 {
		s.connectFailedAt = s.connectFailures[n-1]
	}
}

// isEjected tells whether the server is kept for when no other is left.
func (s *server) isEjected(now time.Duration) bool { return s.isUnresponsive || now < s.ejectedUntil }

// ServerCounts counts the servers in the list, and those of them that get no request while others are left:
// silent, or ejected for their failures.
func (g *Engine) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range g.servers {
		if s.isListed {
			listed++
			avoided += int(boolToFloat(s.isEjected(now)))
		}
	}
	return listed, avoided
}

// ZoneCapacity is how many warm servers of unit weight those of a zone are worth that take requests and answer.
func (g *Engine) ZoneCapacity(now time.Duration, zone string) (sum float64) {
	g.now = now
	for _, s := range g.servers {
		if s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive {
			sum += g.serverWeight(s) * g.capacityFraction(s)
		}
	}
	return sum
}

// ZoneLimits is what a host tells of a zone where gateways share out what its servers may be sent.
type ZoneLimits struct {
	IsRemote          bool    // its servers are gateways of another site, which need no ramp
	WarmServerRate    float64 // this gateway's part of what a warm server of unit weight can take, work a second (seconds of a request served alone)
	InFlightFraction  float64 // this gateway's part of the attempts that may be out there
	RemoteServerCount float64 // with Far: warm servers behind them all; 0: not known
}

// zoneState is a zone that a host has told of, and what came of it.
type zoneState struct {
	ZoneLimits
	isOverloaded            bool    // as of the request under way
	servers                 float64 // warm ones, as of the last probe; a cold one as the part of one that it is
	warmWork                float64 // work answered by warm servers since the last probe
	warmRate                float64 // per second and unit of weight, averaged
	responses, responseRate float64 // answers since the last probe, and per second, averaged
	sentWork, unmetWork     float64 // work sent to cold servers, and work that found no room there, since the last Cold
}

// SetZoneLimits tells of a zone. For its cold servers the gateway goes by the ramp told instead of its own estimate, and the
// bound on work out is the zone's own. It is to be told of all zones or none, again whenever a figure changes; a host that has
// nothing to go by any more tells of a ramp of 0.
func (g *Engine) SetZoneLimits(name string, z ZoneLimits) {
	c := g.zones[name]
	if c == nil {
		c = &zoneState{responseRate: g.responseRate / float64(len(g.zones)+1)}
		g.zones[name] = c
		g.countZoneServers(name, c)
	}
	c.ZoneLimits = z
}

// RemoveZoneLimits forgets a zone.
func (g *Engine) RemoveZoneLimits(name string) { delete(g.zones, name) }

// zoneInFlight counts the attempts out at servers of a zone that are held to be alive.
func (g *Engine) zoneInFlight(zone string) (out float64) {
	for _, s := range g.servers {
		if s.Zone == zone && !s.isUnresponsive {
			out += float64(s.inFlight)
		}
	}
	return out
}

// countZoneServers counts the servers of a zone that take requests and answer.
func (g *Engine) countZoneServers(zone string, c *zoneState) {
	c.servers = 0
	for _, s := range g.servers {
		if s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive {
			c.servers += g.capacityFraction(s)
		}
	}
	if c.IsRemote && c.servers > 0 && c.RemoteServerCount > 0 {
		c.servers = c.RemoteServerCount
	}
}

// ColdServerWork returns what the cold servers of a zone are worth, by weight and warmth; the work that was sent to them since it was last
// called; and the work for which they had no room.
func (g *Engine) ColdServerWork(now time.Duration, zone string) (servers, sent, short float64) {
	g.now = now
	for _, s := range g.servers {
		if w := g.capacityFraction(s); s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive && w < 1 {
			servers += g.serverWeight(s) * w
		}
	}
	if c := g.zones[zone]; c != nil {
		sent, short = c.sentWork, c.unmetWork
		c.sentWork, c.unmetWork = 0, 0
	}
	return servers, sent, short
}

// WarmServerLoad returns the work a second that this gateway sends to a warm server of unit weight in a zone that it was told of by
// SetZone, and the busy share that those there report, on average; below 0: none does.
func (g *Engine) WarmServerLoad(now time.Duration, zone string) (rate, util float64) {
	g.now = now
	n := 0.0
	for _, s := range g.servers {
		if s.Zone == zone && s.acceptsRequests() && g.capacityFraction(s) >= 1 && s.utilization >= 0 && now-s.reportedAt < decayTime {
			util += s.utilization
			n++
		}
	}
	if c := g.zones[zone]; c != nil {
		rate = c.warmRate
	}
	if n == 0 {
		return rate, -1
	}
	return rate, util / n
}

// updateZoneRates learns, once a probe, what a warm server of each zone that was told of takes from this gateway.
func (g *Engine) updateZoneRates() {
	for zone, c := range g.zones {
		var weight float64
		for _, s := range g.servers {
			if s.Zone == zone && s.acceptsRequests() && !s.isUnresponsive && g.capacityFraction(s) >= 1 {
				weight += g.serverWeight(s)
			}
		}
		if weight > 0 {
			c.warmRate += slowMeanWeight * (c.warmWork/weight/sampleInterval.Seconds() - c.warmRate)
		} else {
			c.warmRate = 0
		}
		c.responseRate += rateWeight * (c.responses/sampleInterval.Seconds() - c.responseRate)
		c.warmWork, c.responses = 0, 0
		g.countZoneServers(zone, c)
	}
}

// acceptsRequests tells whether the server is in the list and not draining.
func (s *server) acceptsRequests() bool { return s.isListed && s.State == Up }

// dropLeases removes the leases for which gone holds.
func (st *customerQuota) dropLeases(gone func(lease) bool) {
	kept := st.leases[:0]
	for _, l := range st.leases {
		if !gone(l) {
			kept = append(kept, l)
		}
	}
	st.leases = kept
}

// cancelAttempts asks to stop waiting for the attempts that are still out.
func (g *Engine) cancelAttempts(r *request) {
	for i := range r.attempts {
		if g.settings.AllowsCancel && !r.attempts[i].isDone {
			g.actions.CancelAttempt(r.ID, i)
		}
	}
}

// subsetRule is how large a gateway's part of the servers is: 12 are enough to lose half of them, and few enough for
// some requests a second to find a connection open; each server is in 16 parts or more, so that gateways with several
// times the mean load do not weigh on single servers.
var subsetRule = subset.Rule{Servers: 12, Holders: 16, Spare: 8}

// formSubset forms this gateway's part of the servers that take requests.
func (g *Engine) formSubset() {
	fleet := subset.Fleet{Nodes: g.settings.InstanceCount, Seed: 1, Rule: subsetRule}
	takes := 0
	for _, s := range g.servers {
		takes += boolToInt(s.acceptsRequests())
		s.inSubset, s.subsetCorrection = true, 1
	}
	g.subset, g.meanSubsetHolders = g.servers, float64(g.settings.InstanceCount)
	if g.usesSubset = fleet.Size(takes) < takes; !g.usesSubset {
		return
	}
	at, list := make([]*server, 0, takes), make([]subset.Server, 0, takes)
	for _, s := range g.servers {
		if s.inSubset = false; s.acceptsRequests() {
			at, list = append(at, s), append(list, subset.Server{ID: s.ID, Zone: s.Zone, Size: g.serverWeight(s)})
		}
	}
	members := fleet.Form(list, g.settings.InstanceIndex, g.subsetWidth.Factor())
	g.subset, g.meanSubsetHolders = make([]*server, 0, len(members)), 0
	for _, m := range members {
		g.meanSubsetHolders += float64(m.Held) / float64(len(members))
	}
	g.maxServerWeight = 0
	for _, m := range members {
		s := at[m.Index]
		s.inSubset, s.subsetCorrection = true, g.meanSubsetHolders/float64(m.Held)
		g.subset = append(g.subset, s)
		g.maxServerWeight = math.Max(g.maxServerWeight, g.serverWeight(s)*s.subsetCorrection)
	}
}

// needsNewSubset tells whether the part has to be formed anew, for it can't carry what there is or need not be so large.
func (g *Engine) needsNewSubset() bool {
	var fit, all float64
	for _, s := range g.subset {
		all += g.serverWeight(s) * s.subsetCorrection
		if !s.isEjected(g.now) {
			fit += g.serverWeight(s) * s.subsetCorrection * g.capacityFraction(s)
		}
	}
	return all > 0 && !g.usesAllServers() && g.subsetWidth.Now(g.now, fit/all, len(g.subset), float64(g.inFlight))
}

// usesAllServers tells whether the rule gives this gateway all servers. A part that has widened to all of them is one still, and shrinks.
func (g *Engine) usesAllServers() bool { return !g.usesSubset }

// healthChecksPerRequest is the probes for each request sent on.
func (g *Engine) healthChecksPerRequest() float64 {
	if g.usesAllServers() {
		return healthChecksPerForward
	}
	return subsetHealthChecksPerForward
}

// spareCapacityOccupancy is the occupancy up to which spare capacity may go to extras.
func (g *Engine) spareCapacityOccupancy() float64 {
	if g.usesAllServers() {
		return lowOccupancy
	}
	return lowSubsetOccupancy
}

// healthCheckOrder orders servers by when they are to be probed: those of a part that are silent come earlier.
func (g *Engine) healthCheckOrder(s *server) time.Duration {
	if s.isUnresponsive && !g.usesAllServers() {
		return s.lastHealthCheckAt - unresponsiveCheckLead
	}
	return s.lastHealthCheckAt
}

// serverFinding is what a gateway found out of a server: that it is silent, or that it answers again.
type serverFinding struct {
	serverID uint16
	isUp     bool
	foundAt  time.Duration // of its own notes: when
}

// maxFindings is the most notes in a message, the latest of those kept.
const maxFindings = 4

// addFinding keeps a finding for the next messages to peers.
func (g *Engine) addFinding(s *server, up bool) {
	if g.usesAllServers() {
		return
	}
	g.findings = slices.DeleteFunc(g.findings, func(n serverFinding) bool { return n.serverID == s.gossipID || g.now-n.foundAt >= findingTTL })
	if g.findings = append(g.findings, serverFinding{s.gossipID, up, g.now}); len(g.findings) > maxFindings {
		g.findings = g.findings[1:]
	}
}

// SubsetServerIDs names the servers of this gateway's part, to which the host keeps connections; nil stands for all.
func (g *Engine) SubsetServerIDs() map[string]bool {
	if g.usesAllServers() {
		return nil
	}
	near := make(map[string]bool, len(g.subset))
	for _, s := range g.subset {
		near[s.ID] = true
	}
	return near
}

// SubsetCounts counts the servers of this gateway's part, and those of them that are held to be silent. Where it keeps to no part,
// both are 0.
func (g *Engine) SubsetCounts() (servers, doubted int) {
	if g.usesAllServers() {
		return 0, 0
	}
	return len(g.subset), g.suspectedCount()
}

// zoneResponded and failedZone take in what was met at one server of a zone, for the watch over all of it.
func (g *Engine) zoneResponded(s *server) {
	if !g.usesAllServers() {
		g.zoneWatch.Heard(s.Zone, g.now)
	}
}

func (g *Engine) zoneFailed(s *server, sent time.Duration) {
	if !g.usesAllServers() {
		g.zoneWatch.Failed(s.Zone, uint64(s.gossipID), sent, g.now)
	}
}

// zoneReported takes in what a peer says of a server of this gateway's part.
func (g *Engine) zoneReported(s *server, from int, up bool) {
	if up {
		g.zoneWatch.Met(s.Zone, from, g.now)
	} else {
		g.zoneWatch.Told(s.Zone, uint64(s.gossipID), from, g.now)
	}
}

// updateZoneHealth puts in doubt the servers of zones that seem to be lost, so that they get no request while others will do, and the
// bound on work out counts without them. It goes by the attempts that ages found unheard.
func (g *Engine) updateZoneHealth(waits []unansweredAttempt) {
	if g.usesAllServers() {
		return
	}
	slices.SortStableFunc(waits, func(a, b unansweredAttempt) int { return cmp.Compare(a.requestNumber, b.requestNumber) }) // not in a map's order
	for _, w := range waits {
		g.zoneWatch.Waits(w.zone, uint64(w.server.gossipID), w.sentAt, g.now)
	}
	seen := map[string]bool{}
	for _, s := range g.subset {
		down, ok := seen[s.Zone]
		if !ok {
			var found bool
			if down, found = g.zoneWatch.Down(s.Zone, g.now); found {
				g.actions.Log("zone " + s.Zone + " is silent: its servers are held to be lost until one answers")
			}
			seen[s.Zone] = down
		}
		if down {
			s.suspectedUntil = max(s.suspectedUntil, g.now+2*sampleInterval)
		}
	}
	g.zoneWatch.Keep(seen)
}

// suspectedCount counts the servers of the part that are silent to this gateway or, as peers say, to them.
func (g *Engine) suspectedCount() (n int) {
	for _, s := range g.subset {
		n += boolToInt(s.isUnresponsive || g.now < s.suspectedUntil)
	}
	return n
}

// suspicionReports are the two peers that said something last.
type suspicionReports struct {
	from       [2]int
	reportedAt [2]time.Duration
}

// confirms takes in that a peer says it, and tells whether another one did so of late.
func (v *suspicionReports) confirms(from int, now time.Duration) bool {
	k := 0
	if v.reportedAt[0] != 0 && v.from[0] != from && (v.from[1] == from || v.reportedAt[1] < v.reportedAt[0]) {
		k = 1
	}
	v.from[k], v.reportedAt[k] = from, now
	other := v.reportedAt[1-k]
	return other != 0 && v.from[1-k] != from && now-other < findingTTL
}

// gossipIDOf names a server in notes. Two that share a tag are probed for each other's sake, and no more.
func gossipIDOf(id string) uint16 {
	f := fnv.New32a()
	f.Write([]byte(id))
	h := f.Sum32()
	return uint16(h ^ h>>16)
}

// maxRecentGrants is the most asks that a holder remembers of a store.
const maxRecentGrants = 32

// recordGrant remembers that an ask has taken its units from the store.
func (st *customerQuota) recordGrant(from int, num uint64, now time.Duration) {
	if st.expireGrants(now); len(st.recentGrants) < maxRecentGrants {
		st.recentGrants = append(st.recentGrants, lease{from, num, now + 2*ownerTimeout})
	}
}

func (st *customerQuota) expireGrants(now time.Duration) {
	n := 0
	for n < len(st.recentGrants) && now >= st.recentGrants[n].expiresAt {
		n++
	}
	st.recentGrants = st.recentGrants[n:]
}

func (st *customerQuota) hasGrant(from int, num uint64) bool {
	return slices.ContainsFunc(st.recentGrants, func(l lease) bool { return l.from == from && l.number == num })
}

// hasIdleConnection tells whether a connection to the server should stand open and idle.
func (s *server) hasIdleConnection(now time.Duration) bool {
	return s.expectedConnections > s.inFlight && now-s.lastUsedAt < idleConnectionTimeout
}

// updateServers drops servers that are gone and holds what the list says of all that are up.
func (g *Engine) updateServers() {
	kept := g.servers[:0]
	g.maxServerWeight, g.weightsDiffer = 0, false
	for _, s := range g.servers {
		if !s.isListed && s.inFlight == 0 {
			delete(g.serverByID, s.ID)
			continue
		}
		kept = append(kept, s)
		if s.acceptsRequests() {
			g.weightsDiffer = g.weightsDiffer || g.maxServerWeight > 0 && g.serverWeight(s) != g.maxServerWeight
			g.maxServerWeight = math.Max(g.maxServerWeight, g.serverWeight(s))
		}
	}
	g.servers = kept
	g.formSubset()
}

// dropIdleQuotas drops idle stores among the next eighth.
func (g *Engine) dropIdleQuotas() {
	for n := len(g.quotaList)/8 + 1; n > 0 && len(g.quotaList) > 0; n-- {
		if g.sweepAt >= len(g.quotaList) {
			g.sweepAt = 0
		}
		st := g.quotaList[g.sweepAt]
		if !g.isIdle(st) {
			g.sweepAt++
			continue
		}
		delete(g.quotas, st.key)
		g.quotaList[g.sweepAt] = g.quotaList[len(g.quotaList)-1]
		g.quotaList = g.quotaList[:len(g.quotaList)-1]
	}
}

// capacityFraction is the least share of its capacity that a server can have by now.
func (g *Engine) capacityFraction(s *server) float64 {
	boot := max(s.StartedAt, s.connectFailedAt)
	age := g.now - boot
	if boot == 0 || age >= g.settings.SlowStartWindow || g.settings.SlowStartWindow == 0 {
		return 1
	}
	share := g.settings.SlowStartMinFraction + (1-g.settings.SlowStartMinFraction)*math.Max(age.Seconds(), 0)/g.settings.SlowStartWindow.Seconds()
	return math.Max(share, 0.01)
}

func (g *Engine) refill(st *customerQuota) {
	p := &g.settings.Plans[st.plan]
	dt := (g.now - st.refilledAt).Seconds()
	st.refilledAt = g.now
	st.tokens = math.Min(st.tokens+p.Rate/st.ownerCount*dt, p.Burst/st.ownerCount)
	if age := g.now - st.transitSince; age >= 2*g.transferTimeout() {
		st.unitsInTransit, st.transitSince = [2]float64{}, g.now
	} else if age >= g.transferTimeout() {
		st.unitsInTransit, st.transitSince = [2]float64{0, st.unitsInTransit[0]}, st.transitSince+g.transferTimeout()
	}
	st.hardLimitTokens = math.Min(st.hardLimitTokens+p.HardLimitRate*st.rateFraction*dt, g.hardLimitCapacity(st))
}

// hardLimitCapacity is what this gateway's part of the ceiling holds at most: units that it has lent may be under way.
func (g *Engine) hardLimitCapacity(st *customerQuota) float64 {
	return g.settings.Plans[st.plan].HardLimitBurst*st.burstFraction - st.unitsInTransit[0] - st.unitsInTransit[1]
}

// transferTimeout is how long a tell, and its repeat in the next, may be under way.
func (g *Engine) transferTimeout() time.Duration {
	return max(minTransferTimeout, transferTimeoutIntervals*g.gossipInterval)
}

// takeUnits takes units of a request inside the quota, now or when it settles.
func (g *Engine) takeUnits(st *customerQuota, units float64) {
	if g.settings.Plans[st.plan].Rate > 0 {
		st.tokens -= units
		st.unitsSinceGossip += units
		st.pendingUnits += units
	}
	g.markForGossip(st)
}

// minWarmupBudget is the work that is saved up for a cold server at least, so that a request of the class can go there. With a part each
// gateway saves for seconds for one request: a light class that looks in must not cut off what has been saved for a heavier one.
func (g *Engine) minWarmupBudget(class int) float64 {
	most := g.expectedWork(class)
	for c := range g.settings.Classes {
		if !g.usesAllServers() {
			most = math.Max(most, g.expectedWork(c))
		}
	}
	return most
}

// reachableInFlight counts the attempts out at servers that are held to be alive, overdue ones aside, and these servers,
// a cold one as the part of one that it is. Of servers outside of its part a gateway knows nothing: they are held
// to be as those of the part are.
func (g *Engine) reachableInFlight() (out, servers float64) {
	out = math.Max(float64(g.inFlight)-g.overdue, 0)
	take, near := 0.0, 0.0
	for _, s := range g.servers {
		if s.isUnresponsive {
			out -= float64(s.inFlight)
		}
		if !s.acceptsRequests() {
			continue
		}
		if take++; s.inSubset {
			near++
			if !s.isUnresponsive && g.now >= s.suspectedUntil {
				servers += g.capacityFraction(s)
			}
		}
	}
	return out, servers * take / math.Max(near, 1)
}

// lacksLoadReport tells whether latency has to stand for a server's load report. With a part of the servers, each of which is
// probed seldom, any report of late will do: latencies of a fleet under load have no lowest yet, and would outweigh the reports.
func (g *Engine) lacksLoadReport(s *server) bool {
	if g.usesAllServers() {
		return s.reportedAt == 0
	}
	return g.lastLoadReportAt == 0 || g.now-g.lastLoadReportAt > decayTime
}

// recordLoadReport takes in a load report.
func (g *Engine) recordLoadReport(s *server, l *LoadReport) {
	if l == nil {
		return
	}
	if l.QueueLength >= 0 {
		s.queueLength = l.QueueLength
	}
	if l.Utilization >= 0 {
		s.reportedAt, g.lastLoadReportAt = g.now, g.now
		if s.utilization < 0 {
			s.utilization = l.Utilization
		}
		s.utilization += utilizationWeight * (math.Min(l.Utilization, 1) - s.utilization)
		g.overload.addOccupancy(math.Min(l.Utilization, 1))
	}
}

// What a request was refused for.
const (
	rejectNone          = iota
	rejectUnknown       // class, plan or wait that can't be
	rejectOverloaded    // the bound on work out
	rejectLate          // a late try, under pressure
	rejectShortTimeout  // less wait left than answers take
	rejectQuota         // beyond the quota
	rejectHardLimit     // beyond this gateway's part of the ceiling
	rejectThrottled     // the throttle
	rejectNoServer      // no server that it may go to
	rejectAttemptsSpent // its attempts came to nothing
	rejectReasonCount
)

// rejectReasonNames are the names of these, as operators read them.
var rejectReasonNames = [rejectReasonCount]string{"", "unknown", "jammed", "late", "short", "quota", "ceiling", "throttled", "no_server", "attempts_spent"}

// EachRejectionCount tells how many requests were refused, by the rule that refused them.
func (g *Engine) EachRejectionCount(each func(rule string, n uint64)) {
	for why, n := range g.rejections {
		if why != rejectNone {
			each(rejectReasonNames[why], n)
		}
	}
}

// OverQuotaUnits counts units, since the start, that went to servers beyond customers' quotas.
type OverQuotaUnits struct {
	Sent       float64 // by this gateway, which knew it: they earn more than they cost
	Discovered float64 // by which stores were overdrawn once it was told what others had sent; all of a set find the same
}

// OverQuotaUnits tells what went beyond quotas, as far as this gateway knows.
func (g *Engine) OverQuotaUnits() OverQuotaUnits { return g.overQuota }

// chargeRemoteUnits takes units off a customer's store that another gateway has sent.
func (g *Engine) chargeRemoteUnits(st *customerQuota, units float64) {
	p := &g.settings.Plans[st.plan]
	if p.Rate <= 0 {
		return
	}
	g.overQuota.Discovered += math.Max(math.Min(units, units-st.tokens), 0)
	st.tokens = math.Max(st.tokens-units, -p.Burst)
}

// reject refuses a request; trying it again is harmless.
func (g *Engine) reject(id string, wait time.Duration, why int) {
	g.rejections[why]++
	if !g.settings.SendsRetryAfter {
		wait = 0
	}
	g.actions.RejectRequest(id, min(wait, g.settings.MaxRetryAfter))
}

// closeRequest marks the request answered; it is kept until its attempts have ended.
func (g *Engine) closeRequest(r *request) {
	r.isAnswered = true
	if !r.awaitsOwner { // else an answer may still grant it units, which are to be given back
		delete(g.requestByNumber, r.number)
	}
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
		if len(r.attempts) > 0 && g.settings.Plans[r.quota.plan].MaxInFlight > 0 && r.quota.usesOwner {
			g.returnUnits(r, 0)
		}
	}
}

// clientLeft takes in that its holder has answered a request, or will not, and tells whether its client has left meanwhile: then the
// units that it was granted are given back.
func (g *Engine) clientLeft(r *request, granted bool) bool {
	if r.awaitsOwner = false; !r.isAnswered {
		return false
	}
	r.inQuota = granted
	g.returnUnits(r, r.Units)
	delete(g.requestByNumber, r.number)
	return true
}

// DeadlineExceeded tells that the host can wait for a request's answer no longer, as when its process ends: it gets it now.
func (g *Engine) DeadlineExceeded(now time.Duration, id string, out Actions) {
	g.now, g.actions = now, out
	g.expireRequest(g.requests[id])
}

// expireRequest gives a request, if there is one, the answer that is due by now.
func (g *Engine) expireRequest(r *request) {
	if r != nil && !r.isAnswered && !r.isStreaming {
		g.finish(r)
	}
}

// ResponseStarted tells that the answer of an attempt has begun to stream: it is the client's now.
func (g *Engine) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	g.now, g.actions = now, out
	if r := g.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.isStreaming = true
		a := &r.attempts[n]
		if a.server.lastProgressAt = now; !a.isStreaming && !a.isDone {
			a.isStreaming = true
			a.server.inFlight--
			g.inFlight--
		}
	}
}

func (g *Engine) ownerOfPart(st *customerQuota, part int) int {
	x := (st.key + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return (st.firstInstance + int((x^x>>32)%uint64(st.instanceCount))) % g.settings.InstanceCount
}

func (g *Engine) ownedParts(st *customerQuota) (n int) {
	for part := range st.instanceSplit {
		n += int(boolToFloat(g.ownerOfPart(st, part) == g.settings.InstanceIndex))
	}
	return n
}

func (g *Engine) ownerFor(st *customerQuota) int {
	return g.ownerOfPart(st, g.settings.InstanceIndex%st.instanceSplit)
}

// unansweredLatencyFactor is the mean latencies after which an attempt at a server that says nothing is no work out.
const unansweredLatencyFactor = 3

// unansweredAttempt is an attempt, of a request by its number, that has been out for several times as long as answers take at a
// server that has said nothing since.
type unansweredAttempt struct {
	*attempt
	requestNumber uint64
}

// attemptAges counts the attempts out that were sent less than a share of their class's aim ago, and those that are past
// the aim at servers not known to be lost. Where the gateway keeps to a part it tells the unheard ones, in no order.
func (g *Engine) attemptAges(share float64) (younger, overdue float64, waits []unansweredAttempt) {
	for _, r := range g.requests {
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.isDone || a.isStreaming {
				continue
			}
			age, aim := (g.now - a.sentAt).Seconds(), g.settings.Classes[r.class].LatencyObjective.Seconds()
			// One at a server that has said nothing since, for several times as long as answers take, tells of that
			// server and not of work that waits: where a fifth falls silent, the bound would refuse what the others can do.
			silent := !g.usesAllServers() && a.server.lastHeardAt < a.sentAt && age > math.Max(unansweredLatencyFactor*g.latencies[r.class].mean, aim/4)
			if silent {
				waits = append(waits, unansweredAttempt{a, r.number})
			}
			younger += boolToFloat(age < share*aim && !silent)
			overdue += boolToFloat((age > aim || silent) && !a.server.isUnresponsive)
		}
	}
	return younger, overdue, waits
}

// ValidateTables tells whether classes and plans can be put in force.
func (g *Engine) ValidateTables(classes []Class, plans []Plan) error {
	set := g.settings
	set.Classes, set.Plans = classes, plans
	if err := set.validate(); err != nil {
		return err
	}
	if len(plans) < len(g.settings.Plans) {
		return fmt.Errorf("Plans: %d, and %d have a place", len(plans), len(g.settings.Plans))
	}
	return nil
}

// SetClasses replaces the table of classes while the gateway runs. A class that has the name of one in force
// goes on with what was learned of it and takes over the new figures. One that is no longer there takes no
// new request; those under way keep its figures. Its place is used again once the last of them has ended.
func (g *Engine) SetClasses(classes []Class) error {
	if err := g.ValidateTables(classes, g.settings.Plans); err != nil {
		return err
	}
	used := make([]bool, len(g.settings.Classes))
	for _, r := range g.requests {
		used[r.class] = true
	}
	old := g.classIndex
	g.classIndex = make(map[string]int, len(classes))
	for _, c := range classes {
		if i, ok := old[c.Name]; ok {
			g.classIndex[c.Name], used[i], g.settings.Classes[i] = i, true, c
		}
	}
	for name, i := range old {
		if _, ok := g.classIndex[name]; !ok {
			g.settings.Classes[i].PriorityWeight = 0 // what is no longer asked for is not weighed against the others
		}
	}
	free := 0
	for _, c := range classes {
		if _, ok := g.classIndex[c.Name]; ok {
			continue
		}
		for free < len(used) && used[free] {
			free++
		}
		if free == len(g.settings.Classes) {
			g.settings.Classes, g.latencies, used = append(g.settings.Classes, c), append(g.latencies, classLatency{}), append(used, true)
		}
		g.classIndex[c.Name], g.settings.Classes[free], g.latencies[free], used[free] = free, c, classLatency{}, true
	}
	return nil
}

// SetPlans replaces the table of plans while the gateway runs. Gateways name a plan to each other by its
// place: all must have one order, in which a plan keeps its place for good. A customer's store goes over to
// the new figures with what it has spent.
func (g *Engine) SetPlans(now time.Duration, plans []Plan) error {
	if err := g.ValidateTables([]Class{{}}, plans); err != nil {
		return err
	}
	g.now = now
	for _, st := range g.quotaList {
		g.refill(st)
	}
	old := g.settings.Plans
	g.settings.Plans = append([]Plan(nil), plans...)
	g.planIndex = make(map[string]int, len(plans))
	for i, p := range plans {
		g.planIndex[p.Name] = i
	}
	for _, st := range g.quotaList {
		if old[st.plan] != plans[st.plan] {
			g.changePlan(st, old[st.plan], st.plan)
		}
	}
	return nil
}

// mayProbe tells whether health checks are allowed and answered with a load report.
func (g *Engine) mayProbe() bool {
	return g.settings.AllowsHealthChecks && g.settings.LoadReports != LoadReportsNone
}
