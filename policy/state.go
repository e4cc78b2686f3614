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
	out      int           // attempts out
	lat      float64       // latency as a multiple of its class's mean, averaged
	seen     time.Duration // last answer or first attempt out
	errs     float64       // share of failures, averaged
	ejected  time.Duration // ejected until then
	strikes  int           // ejections in a row
	queue    float64       // reported queue
	util     float64       // reported busy share, averaged; below 0: not reported
	credit   float64       // work that may be sent while cold; below 0: not begun
	credited time.Duration
	listed   bool
	reported time.Duration
	broke    time.Duration   // last connection that did not come up, and may tell of a restart
	breaks   []time.Duration // all of these, oldest first
	heard    time.Duration   // last sign of life: an answer of any kind
	check    time.Duration   // a connection failed then, and a probe was sent at once to see why; 0: none is out
	probed   time.Duration   // last probe
	lost     bool            // silent to all that was sent of late: out until it is heard
	tag      uint16          // names it in notes to peers
	voices   [2]voices       // who said of late that it is silent, and that it answers again
	suspect  time.Duration   // until then, peers hold it to be silent
	conns    int             // connections that should stand, as far as the module can tell
	used     time.Duration   // when one was last of use
	near     bool            // in this gateway's part of the servers
	lean     float64         // how much oftener it is asked than by its weight, since fewer gateways than others have it in their part
}

type attempt struct {
	server *server
	sent   time.Duration
	zone   string // of the server when it was sent
	cell   int
	done   bool
	begun  bool // its answer streams, or its body does: it counts no more, or not yet, as work out
	noRun  bool // known not to have run
	result Result
}

type request struct {
	Request
	num      uint64
	class    int
	store    *store
	ends     time.Duration // final answer due
	attempts []attempt
	out      int
	inQuota  bool
	late     bool // it is known to come too late for its aim
	drawn    bool // its ask came to nothing: sent by chance or not at all
	asked    bool // its holder was asked, and has not answered
	granted  bool // by its holder, with its part of the ceiling
	holder   int  // gateway that was asked for its units, or this one
	settled  bool
	closed   bool // finally answered
	stream   bool // its stream has begun
}

// classLatency is the latency learned for a class.
type classLatency struct {
	mean, dev float64 // seconds
	n         int
	kinds     []kindLatency
	fresh     time.Duration // wait that a client's first try has left
}

// kindLatency finds the lowest mean latency of a class on one kind of server.
type kindLatency struct {
	sum    float64
	n      int
	lowest float64
}

// kindMean is the latency of a kind as a multiple of the mean.
type kindMean struct{ mean, n float64 }

// store is a customer's quota as this gateway sees it.
type store struct {
	key       uint64
	plan      int
	spread    int
	first     int
	at        time.Duration
	level     float64 // units left of the quota
	ceiling   float64 // units left of this gateway's part of the ceiling
	since     float64 // units sent since the last tell
	untold    float64 // units to tell, settlements included
	out       int     // attempts out
	opened    int     // tries sent since the last tell
	zeros     int     // tells that said nothing is out
	dirty     bool
	levels    []told        // per peer: attempts out there
	wide      bool          // its holder is asked; tells would come too late
	split     int           // gateways over which the room is split
	parts     float64       // stores that the quota is kept in
	pass      float64       // share of asks that were granted of late
	shut      time.Duration // no ask until then: the holder has refused
	asks      []lease       // asks that have taken their units of late
	leases    []lease       // attempts that this holder has granted under an open cap
	burstPart float64       // this gateway's part of the ceiling's burst
	ratePart  float64       // and of its rate
	crowded   time.Duration // refused of late: until then, less is spent on a chance
	dry       float64       // units refused for want of the ceiling since the last tell
	wants     []float64     // per peer: units of the ceiling that it lacks
	lent      [2]float64    // units of the ceiling that were lent and may be under way: of late, and before
	lentAt    time.Duration // since when the first of these counts
}

// lease is a place under an open cap that a holder gave to a gateway.
type lease struct {
	from int
	num  uint64
	ends time.Duration
}

type told struct {
	n  int
	at time.Duration
}

// peer is the state of tells to and from one peer.
type peer struct {
	seq        uint64
	last       []byte // entries of the last tell
	lastN      int
	heard      bool
	inEpoch    uint64
	oldEpoch   uint64
	inSeq      uint64
	unanswered int // asks since its last answer
}

// Engine decides for one edge node.
type Engine struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	out     Actions
	started time.Duration
	epoch   uint64

	servers []*server
	notes   []note    // what it found out of late
	near    []*server // this gateway's part of them, or all
	parted  bool      // the rule leaves servers out of the part
	holders float64   // gateways that have a server of it in their part, on average
	width   subset.WidthController
	watch   *zonehealth.Detector // over the zones, where gateways keep to parts
	byID    map[string]*server
	reqs    map[string]*request
	byNum   map[uint64]*request
	nextNum uint64
	class   map[string]int
	plan    map[string]int
	kinds   map[string]int
	lat     []classLatency

	stores  map[uint64]*store
	order   []*store // the stores, for sweeping
	sweepAt int
	dirty   []*store // stores to tell of
	peers   []peer
	tellGap time.Duration

	refused          [whyCount]uint64 // requests, by what they were refused for
	beyond           OverQuotaUnits
	aro              aro
	deaf             int     // asks in a row that no holder has answered
	retries          float64 // further attempts saved up
	inbox, inboxRate float64 // messages taken in since the last probe, and per second
	held             int     // attempts out
	overdue          float64 // of these, as of the last probe: past their aim, at servers that are not lost
	oks              float64 // answers since the last probe
	okRate           float64 // answers per second, averaged
	cold             map[string]*coldZone
	okWarm           float64       // work answered by warm servers since the last probe
	warmRate         float64       // work answered per second and unit of weight of a warm server, by this gateway
	reported         time.Duration // last load report of any server
	probeDue         float64       // probes earned by sends
	topWeight        float64       // the largest of their weights
	sized            bool          // their weights differ
	kindLat          []*kindMean
	logAt            time.Duration
}

// What goes into the pool.
const (
	poolOcc = iota // sum of the samples of the occupancy
	poolN          // their number
	poolSent
	poolOKs
	poolHeld
	poolSize
)

// aro is the state of the overload control.
type aro struct {
	f, r       float64
	occ, n     [probesKept]float64
	sent       [probesKept]float64
	probes     int
	rho, alpha float64
	mu         float64
	heard      bool              // figures of a peer
	pool       [poolSize]float64 // means per probe, over this gateway and those it hears from
}

// New returns a gateway for the settings, or an error that names a field that cannot be.
func New(s Settings, seed uint64) (*Engine, error) {
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Engine{
		set: s, rng: rand.New(rand.NewPCG(seed, 0x5ea)), byID: map[string]*server{}, reqs: map[string]*request{},
		byNum: map[uint64]*request{}, class: map[string]int{}, plan: map[string]int{}, kinds: map[string]int{},
		stores: map[uint64]*store{}, peers: make([]peer, s.InstanceCount), lat: make([]classLatency, len(s.Classes)), cold: map[string]*coldZone{},
		watch: zonehealth.New(zonehealth.DefaultSettings),
	}
	g.set.Classes = append([]Class(nil), s.Classes...)
	g.set.Plans = append([]Plan(nil), s.Plans...)
	for i, c := range s.Classes {
		g.class[c.Name] = i
	}
	for i, p := range s.Plans {
		g.plan[p.Name] = i
	}
	g.epoch = uint64(g.rng.Uint32() >> 16)
	g.nextNum = uint64(g.rng.Uint32() >> 12) // so that answers to a gateway before its restart match nothing
	return g, nil
}

// Timer tokens: the low bits tell what the timer is for.
const (
	timerProbe = iota
	timerTell
	timerEnd
	timerHedge
	timerList
	timerAsk
	timerBits = 3
)

func fill(units, rate float64) time.Duration {
	return time.Duration(math.Min(math.Max(units/rate, 0), 60) * float64(time.Second))
}

func fillIf(units, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return fill(units, rate)
}

func b2i(b bool) int { return int(b2f(b)) }

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// inSet tells whether a gateway is one of a customer's.
func (g *Engine) inSet(i, first, spread int) bool {
	return (i-first+g.set.InstanceCount)%g.set.InstanceCount < spread
}

func (g *Engine) longestAim() (d time.Duration) {
	for _, c := range g.set.Classes {
		d = max(d, c.LatencyObjective)
	}
	return d
}

func clamp(f float64) float64 { return math.Min(math.Max(f, fLeast), 1) }

func (g *Engine) weight(s *server) float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

func (g *Engine) meanLatency() float64 {
	var sum, n float64
	for i := range g.lat {
		if g.lat[i].mean > 0 {
			sum, n = sum+g.lat[i].mean, n+1
		}
	}
	return sum / math.Max(n, 1)
}

// learnedWork is 0 as long as nothing is known of the class.
func (g *Engine) learnedWork(class int) float64 {
	least := 0.0
	for _, k := range g.lat[class].kinds {
		if k.lowest > 0 && (least == 0 || k.lowest < least) {
			least = k.lowest
		}
	}
	return least
}

func (g *Engine) log(format string, args ...any) {
	if g.now-g.logAt >= time.Second {
		g.logAt = g.now
		g.out.Log(fmt.Sprintf(format, args...))
	}
}

// mix takes figures of this or another gateway into the mean that goes with asks and answers.
func (a *aro) mix(share float64, x [poolSize]float64) {
	for i := range x {
		a.pool[i] += share * (x[i] - a.pool[i])
	}
}

// hear takes in a peer's figures. The first that a gateway hears it takes as they are: after a herd of starts, means that
// all begin at nought would let all in at the same moment, and those of gateways that know nothing yet, which
// are told as noughts, would lower what the others know.
func (a *aro) hear(x [poolSize]float64) {
	if x == [poolSize]float64{} {
		return
	}
	share := poolShare
	if !a.heard {
		a.heard, share = true, 1
	}
	a.mix(share, x)
}

// knows tells whether the gateway's means are worth telling: it has heard some, or measured for long enough.
func (a *aro) knows() bool { return a.heard || a.probes >= knowsAfter }

// knowsAfter is the probes after which a gateway's own means are worth telling: two seconds.
const knowsAfter = 20

func (a *aro) slot() int { return a.probes % probesKept }

// sample enters one reading of the occupancy into the present probe.
func (a *aro) sample(rho float64) {
	a.occ[a.slot()] += rho
	a.n[a.slot()]++
}

func (g *Engine) mark(st *store) {
	if !st.dirty && !st.wide && g.set.AllowsGossip && g.set.InstanceCount > 1 {
		st.dirty = true
		g.dirty = append(g.dirty, st)
	}
}

// breaksKept is the most failed connections that are remembered of a server.
const breaksKept = 8

// doubt takes in a connection that did not come up: the process may have restarted.
func (s *server) doubt(now time.Duration) {
	if len(s.breaks) == breaksKept {
		s.breaks = s.breaks[:breaksKept-1]
	}
	s.breaks = append(s.breaks, now)
	s.broke = now
}

// upSince takes in that the process has been up since a time: connections that failed from then on were no
// sign of a restart.
func (s *server) upSince(at time.Duration) {
	n := len(s.breaks)
	for n > 0 && s.breaks[n-1] >= at {
		n--
	}
	if n == len(s.breaks) {
		return
	}
	s.breaks = s.breaks[:n]
	if s.broke = 0; n > 0 {
		s.broke = s.breaks[n-1]
	}
}

// aside tells whether the server is kept for when no other is left.
func (s *server) aside(now time.Duration) bool { return s.lost || now < s.ejected }

// ServerCounts counts the servers in the list, and those of them that get no request while others are left:
// silent, or ejected for their failures.
func (g *Engine) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range g.servers {
		if s.listed {
			listed++
			avoided += int(b2f(s.aside(now)))
		}
	}
	return listed, avoided
}

// ZoneCapacity is how many warm servers of unit weight those of a zone are worth that take requests and answer.
func (g *Engine) ZoneCapacity(now time.Duration, zone string) (sum float64) {
	g.now = now
	for _, s := range g.servers {
		if s.Zone == zone && s.takes() && !s.lost {
			sum += g.weight(s) * g.warmth(s)
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

// coldZone is a zone that a host has told of, and what came of it.
type coldZone struct {
	ZoneLimits
	jammed      bool    // as of the request under way
	servers     float64 // warm ones, as of the last probe; a cold one as the part of one that it is
	okWarm      float64 // work answered by warm servers since the last probe
	warmRate    float64 // per second and unit of weight, averaged
	oks, okRate float64 // answers since the last probe, and per second, averaged
	sent, short float64 // work sent to cold servers, and work that found no room there, since the last Cold
}

// SetZoneLimits tells of a zone. For its cold servers the gateway goes by the ramp told instead of its own estimate, and the
// bound on work out is the zone's own. It is to be told of all zones or none, again whenever a figure changes; a host that has
// nothing to go by any more tells of a ramp of 0.
func (g *Engine) SetZoneLimits(name string, z ZoneLimits) {
	c := g.cold[name]
	if c == nil {
		c = &coldZone{okRate: g.okRate / float64(len(g.cold)+1)}
		g.cold[name] = c
		g.reachOf(name, c)
	}
	c.ZoneLimits = z
}

// RemoveZoneLimits forgets a zone.
func (g *Engine) RemoveZoneLimits(name string) { delete(g.cold, name) }

// outAt counts the attempts out at servers of a zone that are held to be alive.
func (g *Engine) outAt(zone string) (out float64) {
	for _, s := range g.servers {
		if s.Zone == zone && !s.lost {
			out += float64(s.out)
		}
	}
	return out
}

// reachOf counts the servers of a zone that take requests and answer.
func (g *Engine) reachOf(zone string, c *coldZone) {
	c.servers = 0
	for _, s := range g.servers {
		if s.Zone == zone && s.takes() && !s.lost {
			c.servers += g.warmth(s)
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
		if w := g.warmth(s); s.Zone == zone && s.takes() && !s.lost && w < 1 {
			servers += g.weight(s) * w
		}
	}
	if c := g.cold[zone]; c != nil {
		sent, short = c.sent, c.short
		c.sent, c.short = 0, 0
	}
	return servers, sent, short
}

// WarmServerLoad returns the work a second that this gateway sends to a warm server of unit weight in a zone that it was told of by
// SetZone, and the busy share that those there report, on average; below 0: none does.
func (g *Engine) WarmServerLoad(now time.Duration, zone string) (rate, util float64) {
	g.now = now
	n := 0.0
	for _, s := range g.servers {
		if s.Zone == zone && s.takes() && g.warmth(s) >= 1 && s.util >= 0 && now-s.reported < forgetAfter {
			util += s.util
			n++
		}
	}
	if c := g.cold[zone]; c != nil {
		rate = c.warmRate
	}
	if n == 0 {
		return rate, -1
	}
	return rate, util / n
}

// carried learns, once a probe, what a warm server of each zone that was told of takes from this gateway.
func (g *Engine) carried() {
	for zone, c := range g.cold {
		var weight float64
		for _, s := range g.servers {
			if s.Zone == zone && s.takes() && !s.lost && g.warmth(s) >= 1 {
				weight += g.weight(s)
			}
		}
		if weight > 0 {
			c.warmRate += meanShare * (c.okWarm/weight/probeEvery.Seconds() - c.warmRate)
		} else {
			c.warmRate = 0
		}
		c.okRate += rateShare * (c.oks/probeEvery.Seconds() - c.okRate)
		c.okWarm, c.oks = 0, 0
		g.reachOf(zone, c)
	}
}

// takes tells whether the server is in the list and not draining.
func (s *server) takes() bool { return s.listed && s.State == Up }

// dropLeases removes the leases for which gone holds.
func (st *store) dropLeases(gone func(lease) bool) {
	kept := st.leases[:0]
	for _, l := range st.leases {
		if !gone(l) {
			kept = append(kept, l)
		}
	}
	st.leases = kept
}

// cancelAll asks to stop waiting for the attempts that are still out.
func (g *Engine) cancelAll(r *request) {
	for i := range r.attempts {
		if g.set.AllowsCancel && !r.attempts[i].done {
			g.out.CancelAttempt(r.ID, i)
		}
	}
}

// partRule is how large a gateway's part of the servers is: 12 are enough to lose half of them, and few enough for
// some requests a second to find a connection open; each server is in 16 parts or more, so that gateways with several
// times the mean load do not weigh on single servers.
var partRule = subset.Sizing{TargetServers: 12, MinHolders: 16, MaxOmitted: 8}

// takePart forms this gateway's part of the servers that take requests.
func (g *Engine) takePart() {
	fleet := subset.Tier{Nodes: g.set.InstanceCount, Seed: 1, Sizing: partRule}
	takes := 0
	for _, s := range g.servers {
		takes += b2i(s.takes())
		s.near, s.lean = true, 1
	}
	g.near, g.holders = g.servers, float64(g.set.InstanceCount)
	if g.parted = fleet.SubsetSize(takes) < takes; !g.parted {
		return
	}
	at, list := make([]*server, 0, takes), make([]subset.Server, 0, takes)
	for _, s := range g.servers {
		if s.near = false; s.takes() {
			at, list = append(at, s), append(list, subset.Server{ID: s.ID, Zone: s.Zone, Weight: g.weight(s)})
		}
	}
	members := fleet.Select(list, g.set.InstanceIndex, g.width.Factor())
	g.near, g.holders = make([]*server, 0, len(members)), 0
	for _, m := range members {
		g.holders += float64(m.HolderCount) / float64(len(members))
	}
	g.topWeight = 0
	for _, m := range members {
		s := at[m.Index]
		s.near, s.lean = true, g.holders/float64(m.HolderCount)
		g.near = append(g.near, s)
		g.topWeight = math.Max(g.topWeight, g.weight(s)*s.lean)
	}
}

// widen tells whether the part has to be formed anew, for it can't carry what there is or need not be so large.
func (g *Engine) widen() bool {
	var fit, all float64
	for _, s := range g.near {
		all += g.weight(s) * s.lean
		if !s.aside(g.now) {
			fit += g.weight(s) * s.lean * g.warmth(s)
		}
	}
	return all > 0 && !g.whole() && g.width.Update(g.now, fit/all, len(g.near), float64(g.held))
}

// whole tells whether the rule gives this gateway all servers. A part that has widened to all of them is one still, and shrinks.
func (g *Engine) whole() bool { return !g.parted }

// probeShare is the probes for each request sent on.
func (g *Engine) probeShare() float64 {
	if g.whole() {
		return probesSent
	}
	return partProbes
}

// spareBelow is the occupancy up to which spare capacity may go to extras.
func (g *Engine) spareBelow() float64 {
	if g.whole() {
		return calm
	}
	return calmPart
}

// turn orders servers by when they are to be probed: those of a part that are silent come earlier.
func (g *Engine) turn(s *server) time.Duration {
	if s.lost && !g.whole() {
		return s.probed - lostEarly
	}
	return s.probed
}

// note is what a gateway found out of a server: that it is silent, or that it answers again.
type note struct {
	tag uint16
	up  bool
	at  time.Duration // of its own notes: when
}

// notesMost is the most notes in a message, the latest of those kept.
const notesMost = 4

// noteServer keeps a finding for the next messages to peers.
func (g *Engine) noteServer(s *server, up bool) {
	if g.whole() {
		return
	}
	g.notes = slices.DeleteFunc(g.notes, func(n note) bool { return n.tag == s.tag || g.now-n.at >= noteLasts })
	if g.notes = append(g.notes, note{s.tag, up, g.now}); len(g.notes) > notesMost {
		g.notes = g.notes[1:]
	}
}

// SubsetServerIDs names the servers of this gateway's part, to which the host keeps connections; nil stands for all.
func (g *Engine) SubsetServerIDs() map[string]bool {
	if g.whole() {
		return nil
	}
	near := make(map[string]bool, len(g.near))
	for _, s := range g.near {
		near[s.ID] = true
	}
	return near
}

// SubsetCounts counts the servers of this gateway's part, and those of them that are held to be silent. Where it keeps to no part,
// both are 0.
func (g *Engine) SubsetCounts() (servers, doubted int) {
	if g.whole() {
		return 0, 0
	}
	return len(g.near), g.doubted()
}

// heardZone and failedZone take in what was met at one server of a zone, for the watch over all of it.
func (g *Engine) heardZone(s *server) {
	if !g.whole() {
		g.watch.ObserveResponse(s.Zone, g.now)
	}
}

func (g *Engine) failedZone(s *server, sent time.Duration) {
	if !g.whole() {
		g.watch.ObserveFailure(s.Zone, uint64(s.tag), sent, g.now)
	}
}

// toldZone takes in what a peer says of a server of this gateway's part.
func (g *Engine) toldZone(s *server, from int, up bool) {
	if up {
		g.watch.ObservePeerResponse(s.Zone, from, g.now)
	} else {
		g.watch.ObservePeerFailure(s.Zone, uint64(s.tag), from, g.now)
	}
}

// outages puts in doubt the servers of zones that seem to be lost, so that they get no request while others will do, and the
// bound on work out counts without them. It goes by the attempts that ages found unheard.
func (g *Engine) outages(waits []unheard) {
	if g.whole() {
		return
	}
	slices.SortStableFunc(waits, func(a, b unheard) int { return cmp.Compare(a.num, b.num) }) // not in a map's order
	for _, w := range waits {
		g.watch.ObserveSlowAttempt(w.zone, uint64(w.server.tag), w.sent, g.now)
	}
	seen := map[string]bool{}
	for _, s := range g.near {
		down, ok := seen[s.Zone]
		if !ok {
			var found bool
			if down, found = g.watch.Evaluate(s.Zone, g.now); found {
				g.out.Log("zone " + s.Zone + " is silent: its servers are held to be lost until one answers")
			}
			seen[s.Zone] = down
		}
		if down {
			s.suspect = max(s.suspect, g.now+2*probeEvery)
		}
	}
	g.watch.RetainZones(seen)
}

// doubted counts the servers of the part that are silent to this gateway or, as peers say, to them.
func (g *Engine) doubted() (n int) {
	for _, s := range g.near {
		n += b2i(s.lost || g.now < s.suspect)
	}
	return n
}

// voices are the two peers that said something last.
type voices struct {
	from [2]int
	at   [2]time.Duration
}

// second takes in that a peer says it, and tells whether another one did so of late.
func (v *voices) second(from int, now time.Duration) bool {
	k := 0
	if v.at[0] != 0 && v.from[0] != from && (v.from[1] == from || v.at[1] < v.at[0]) {
		k = 1
	}
	v.from[k], v.at[k] = from, now
	other := v.at[1-k]
	return other != 0 && v.from[1-k] != from && now-other < noteLasts
}

// tagOf names a server in notes. Two that share a tag are probed for each other's sake, and no more.
func tagOf(id string) uint16 {
	f := fnv.New32a()
	f.Write([]byte(id))
	h := f.Sum32()
	return uint16(h ^ h>>16)
}

// asksNoted is the most asks that a holder remembers of a store.
const asksNoted = 32

// note remembers that an ask has taken its units from the store.
func (st *store) note(from int, num uint64, now time.Duration) {
	if st.dropAsks(now); len(st.asks) < asksNoted {
		st.asks = append(st.asks, lease{from, num, now + 2*askWait})
	}
}

func (st *store) dropAsks(now time.Duration) {
	n := 0
	for n < len(st.asks) && now >= st.asks[n].ends {
		n++
	}
	st.asks = st.asks[n:]
}

func (st *store) noted(from int, num uint64) bool {
	return slices.ContainsFunc(st.asks, func(l lease) bool { return l.from == from && l.num == num })
}

// stands tells whether a connection to the server should stand open and idle.
func (s *server) stands(now time.Duration) bool { return s.conns > s.out && now-s.used < connKept }

// recount drops servers that are gone and holds what the list says of all that are up.
func (g *Engine) recount() {
	kept := g.servers[:0]
	g.topWeight, g.sized = 0, false
	for _, s := range g.servers {
		if !s.listed && s.out == 0 {
			delete(g.byID, s.ID)
			continue
		}
		kept = append(kept, s)
		if s.takes() {
			g.sized = g.sized || g.topWeight > 0 && g.weight(s) != g.topWeight
			g.topWeight = math.Max(g.topWeight, g.weight(s))
		}
	}
	g.servers = kept
	g.takePart()
}

// sweep drops idle stores among the next eighth.
func (g *Engine) sweep() {
	for n := len(g.order)/8 + 1; n > 0 && len(g.order) > 0; n-- {
		if g.sweepAt >= len(g.order) {
			g.sweepAt = 0
		}
		st := g.order[g.sweepAt]
		if !g.idle(st) {
			g.sweepAt++
			continue
		}
		delete(g.stores, st.key)
		g.order[g.sweepAt] = g.order[len(g.order)-1]
		g.order = g.order[:len(g.order)-1]
	}
}

// warmth is the least share of its capacity that a server can have by now.
func (g *Engine) warmth(s *server) float64 {
	boot := max(s.StartedAt, s.broke)
	age := g.now - boot
	if boot == 0 || age >= g.set.SlowStartWindow || g.set.SlowStartWindow == 0 {
		return 1
	}
	share := g.set.SlowStartMinFraction + (1-g.set.SlowStartMinFraction)*math.Max(age.Seconds(), 0)/g.set.SlowStartWindow.Seconds()
	return math.Max(share, 0.01)
}

func (g *Engine) fillUp(st *store) {
	p := &g.set.Plans[st.plan]
	dt := (g.now - st.at).Seconds()
	st.at = g.now
	st.level = math.Min(st.level+p.Rate/st.parts*dt, p.Burst/st.parts)
	if age := g.now - st.lentAt; age >= 2*g.lendTime() {
		st.lent, st.lentAt = [2]float64{}, g.now
	} else if age >= g.lendTime() {
		st.lent, st.lentAt = [2]float64{0, st.lent[0]}, st.lentAt+g.lendTime()
	}
	st.ceiling = math.Min(st.ceiling+p.HardLimitRate*st.ratePart*dt, g.ceilingMost(st))
}

// ceilingMost is what this gateway's part of the ceiling holds at most: units that it has lent may be under way.
func (g *Engine) ceilingMost(st *store) float64 {
	return g.set.Plans[st.plan].HardLimitBurst*st.burstPart - st.lent[0] - st.lent[1]
}

// lendTime is how long a tell, and its repeat in the next, may be under way.
func (g *Engine) lendTime() time.Duration { return max(lendLeast, lendGaps*g.tellGap) }

// take takes units of a request inside the quota, now or when it settles.
func (g *Engine) take(st *store, units float64) {
	if g.set.Plans[st.plan].Rate > 0 {
		st.level -= units
		st.since += units
		st.untold += units
	}
	g.mark(st)
}

// savedMost is the work that is saved up for a cold server at least, so that a request of the class can go there. With a part each
// gateway saves for seconds for one request: a light class that looks in must not cut off what has been saved for a heavier one.
func (g *Engine) savedMost(class int) float64 {
	most := g.work(class)
	for c := range g.set.Classes {
		if !g.whole() {
			most = math.Max(most, g.work(c))
		}
	}
	return most
}

// inReach counts the attempts out at servers that are held to be alive, overdue ones aside, and these servers,
// a cold one as the part of one that it is. Of servers outside of its part a gateway knows nothing: they are held
// to be as those of the part are.
func (g *Engine) inReach() (out, servers float64) {
	out = math.Max(float64(g.held)-g.overdue, 0)
	take, near := 0.0, 0.0
	for _, s := range g.servers {
		if s.lost {
			out -= float64(s.out)
		}
		if !s.takes() {
			continue
		}
		if take++; s.near {
			near++
			if !s.lost && g.now >= s.suspect {
				servers += g.warmth(s)
			}
		}
	}
	return out, servers * take / math.Max(near, 1)
}

// unreported tells whether latency has to stand for a server's load report. With a part of the servers, each of which is
// probed seldom, any report of late will do: latencies of a fleet under load have no lowest yet, and would outweigh the reports.
func (g *Engine) unreported(s *server) bool {
	if g.whole() {
		return s.reported == 0
	}
	return g.reported == 0 || g.now-g.reported > forgetAfter
}

// report takes in a load report.
func (g *Engine) report(s *server, l *LoadReport) {
	if l == nil {
		return
	}
	if l.QueueLength >= 0 {
		s.queue = l.QueueLength
	}
	if l.Utilization >= 0 {
		s.reported, g.reported = g.now, g.now
		if s.util < 0 {
			s.util = l.Utilization
		}
		s.util += utilShare * (math.Min(l.Utilization, 1) - s.util)
		g.aro.sample(math.Min(l.Utilization, 1))
	}
}

// What a request was refused for.
const (
	whyNot       = iota
	whyUnknown   // class, plan or wait that can't be
	whyJammed    // the bound on work out
	whyLate      // a late try, under pressure
	whyShort     // less wait left than answers take
	whyQuota     // beyond the quota
	whyCeiling   // beyond this gateway's part of the ceiling
	whyThrottled // the throttle
	whyNoServer  // no server that it may go to
	whySpent     // its attempts came to nothing
	whyCount
)

// whyNames are the names of these, as operators read them.
var whyNames = [whyCount]string{"", "unknown", "jammed", "late", "short", "quota", "ceiling", "throttled", "no_server", "attempts_spent"}

// EachRejectionCount tells how many requests were refused, by the rule that refused them.
func (g *Engine) EachRejectionCount(each func(rule string, n uint64)) {
	for why, n := range g.refused {
		if why != whyNot {
			each(whyNames[why], n)
		}
	}
}

// OverQuotaUnits counts units, since the start, that went to servers beyond customers' quotas.
type OverQuotaUnits struct {
	Sent       float64 // by this gateway, which knew it: they earn more than they cost
	Discovered float64 // by which stores were overdrawn once it was told what others had sent; all of a set find the same
}

// OverQuotaUnits tells what went beyond quotas, as far as this gateway knows.
func (g *Engine) OverQuotaUnits() OverQuotaUnits { return g.beyond }

// spend takes units off a customer's store that another gateway has sent.
func (g *Engine) spend(st *store, units float64) {
	p := &g.set.Plans[st.plan]
	if p.Rate <= 0 {
		return
	}
	g.beyond.Discovered += math.Max(math.Min(units, units-st.level), 0)
	st.level = math.Max(st.level-units, -p.Burst)
}

// refuse refuses a request; trying it again is harmless.
func (g *Engine) refuse(id string, wait time.Duration, why int) {
	g.refused[why]++
	if !g.set.SendsRetryAfter {
		wait = 0
	}
	g.out.RejectRequest(id, min(wait, g.set.MaxRetryAfter))
}

// close marks the request answered; it is kept until its attempts have ended.
func (g *Engine) close(r *request) {
	r.closed = true
	if !r.asked { // else an answer may still grant it units, which are to be given back
		delete(g.byNum, r.num)
	}
	if r.out == 0 {
		delete(g.reqs, r.ID)
		if len(r.attempts) > 0 && g.set.Plans[r.store.plan].MaxInFlight > 0 && r.store.wide {
			g.giveBack(r, 0)
		}
	}
}

// left takes in that its holder has answered a request, or will not, and tells whether its client has left meanwhile: then the
// units that it was granted are given back.
func (g *Engine) left(r *request, granted bool) bool {
	if r.asked = false; !r.closed {
		return false
	}
	r.inQuota = granted
	g.giveBack(r, r.Units)
	delete(g.byNum, r.num)
	return true
}

// DeadlineExceeded tells that the host can wait for a request's answer no longer, as when its process ends: it gets it now.
func (g *Engine) DeadlineExceeded(now time.Duration, id string, out Actions) {
	g.now, g.out = now, out
	g.expire(g.reqs[id])
}

// expire gives a request, if there is one, the answer that is due by now.
func (g *Engine) expire(r *request) {
	if r != nil && !r.closed && !r.stream {
		g.finish(r)
	}
}

// ResponseStarted tells that the answer of an attempt has begun to stream: it is the client's now.
func (g *Engine) ResponseStarted(now time.Duration, id string, n int, out Actions) {
	g.now, g.out = now, out
	if r := g.reqs[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.stream = true
		a := &r.attempts[n]
		if a.server.seen = now; !a.begun && !a.done {
			a.begun = true
			a.server.out--
			g.held--
		}
	}
}

func (g *Engine) holderOf(st *store, part int) int {
	x := (st.key + 1 + uint64(part)<<40) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return (st.first + int((x^x>>32)%uint64(st.spread))) % g.set.InstanceCount
}

func (g *Engine) partsHeld(st *store) (n int) {
	for part := range st.split {
		n += int(b2f(g.holderOf(st, part) == g.set.InstanceIndex))
	}
	return n
}

func (g *Engine) holder(st *store) int {
	return g.holderOf(st, g.set.InstanceIndex%st.split)
}

// silentMeans is the mean latencies after which an attempt at a server that says nothing is no work out.
const silentMeans = 3

// unheard is an attempt, of a request by its number, that has been out for several times as long as answers take at a
// server that has said nothing since.
type unheard struct {
	*attempt
	num uint64
}

// ages counts the attempts out that were sent less than a share of their class's aim ago, and those that are past
// the aim at servers not known to be lost. Where the gateway keeps to a part it tells the unheard ones, in no order.
func (g *Engine) ages(share float64) (younger, overdue float64, waits []unheard) {
	for _, r := range g.reqs {
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.done || a.begun {
				continue
			}
			age, aim := (g.now - a.sent).Seconds(), g.set.Classes[r.class].LatencyObjective.Seconds()
			// One at a server that has said nothing since, for several times as long as answers take, tells of that
			// server and not of work that waits: where a fifth falls silent, the bound would refuse what the others can do.
			silent := !g.whole() && a.server.heard < a.sent && age > math.Max(silentMeans*g.lat[r.class].mean, aim/4)
			if silent {
				waits = append(waits, unheard{a, r.num})
			}
			younger += b2f(age < share*aim && !silent)
			overdue += b2f((age > aim || silent) && !a.server.lost)
		}
	}
	return younger, overdue, waits
}

// ValidateTables tells whether classes and plans can be put in force.
func (g *Engine) ValidateTables(classes []Class, plans []Plan) error {
	set := g.set
	set.Classes, set.Plans = classes, plans
	if err := set.validate(); err != nil {
		return err
	}
	if len(plans) < len(g.set.Plans) {
		return fmt.Errorf("Plans: %d, and %d have a place", len(plans), len(g.set.Plans))
	}
	return nil
}

// SetClasses replaces the table of classes while the gateway runs. A class that has the name of one in force
// goes on with what was learned of it and takes over the new figures. One that is no longer there takes no
// new request; those under way keep its figures. Its place is used again once the last of them has ended.
func (g *Engine) SetClasses(classes []Class) error {
	if err := g.ValidateTables(classes, g.set.Plans); err != nil {
		return err
	}
	used := make([]bool, len(g.set.Classes))
	for _, r := range g.reqs {
		used[r.class] = true
	}
	old := g.class
	g.class = make(map[string]int, len(classes))
	for _, c := range classes {
		if i, ok := old[c.Name]; ok {
			g.class[c.Name], used[i], g.set.Classes[i] = i, true, c
		}
	}
	for name, i := range old {
		if _, ok := g.class[name]; !ok {
			g.set.Classes[i].PriorityWeight = 0 // what is no longer asked for is not weighed against the others
		}
	}
	free := 0
	for _, c := range classes {
		if _, ok := g.class[c.Name]; ok {
			continue
		}
		for free < len(used) && used[free] {
			free++
		}
		if free == len(g.set.Classes) {
			g.set.Classes, g.lat, used = append(g.set.Classes, c), append(g.lat, classLatency{}), append(used, true)
		}
		g.class[c.Name], g.set.Classes[free], g.lat[free], used[free] = free, c, classLatency{}, true
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
	for _, st := range g.order {
		g.fillUp(st)
	}
	old := g.set.Plans
	g.set.Plans = append([]Plan(nil), plans...)
	g.plan = make(map[string]int, len(plans))
	for i, p := range plans {
		g.plan[p.Name] = i
	}
	for _, st := range g.order {
		if old[st.plan] != plans[st.plan] {
			g.replan(st, old[st.plan], st.plan)
		}
	}
	return nil
}

// mayProbe tells whether health checks are allowed and answered with a load report.
func (g *Engine) mayProbe() bool {
	return g.set.AllowsHealthChecks && g.set.LoadReports != LoadReportsNone
}
